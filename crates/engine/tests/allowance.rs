//! Tests of the allowances of organisations: the nodes of a fleet together stay under each one,
//! whatever they can reach, and refuse next to nothing below it.

use std::time::Duration;

use hazeltiller_catalogue::change;
use hazeltiller_engine::{calls, event, membership, organisations, settings};
use hazeltiller_testkit::{node, reducers};
use hazeltiller_units::{code, ids};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

const CENTRES: [&str; 4] = ["brasov-a", "brasov-b", "sibiu-a", "sibiu-b"];
const CONTROLS: [(&str, &str); 3] = [
    ("control-1", "brasov-a"),
    ("control-2", "brasov-b"),
    ("control-3", "sibiu-a"),
];
const NODES_PER_CENTRE: usize = 18;
/// Rates of the organisations in requests per second; the burst of each is one second of its rate.
const RATES: [f64; 12] = [
    200.0, 60.0, 40.0, 20.0, 12.0, 8.0, 6.0, 4.0, 3.0, 3.0, 2.0, 2.0,
];
/// Window of the bound, and what is tolerated beyond rate and burst in it.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const STEP: Duration = Duration::from_millis(5);
const SERVICE: &str = "soci";

fn key(index: usize) -> ids::StateDigest {
    change::token_hash(&format!("key-{index}"))
}

fn organisation(index: usize, rate: f64) -> serde_json::Value {
    json!({"kind": "organisation", "name": format!("organisation-{index}"),
        "owner": "registru", "class": "counter", "keys": [key(index)],
        "limits": {"rate": format!("{rate}/s"), "burst": rate as u32}})
}

/// A fleet whose nodes each have a target, and the requests of its organisations.
struct Market {
    fleet: reducers::ReducerFleet,
    nodes: Vec<String>,
    random: ChaCha8Rng,
    last_call: u64,
    /// Organisation of each call.
    calls: IndexMap<ids::CallId, usize>,
    /// Times at which requests passed, by organisation.
    passed: Vec<Vec<Duration>>,
    refused: Vec<u64>,
    sent: Vec<u64>,
    /// Requests per second of each organisation.
    demand: Vec<f64>,
}

impl Market {
    fn new(seed: u64, demand_share: f64) -> Self {
        let mut tunables = settings::EngineTunables::default();
        tunables.allowance.spare = 5;
        let mut fleet = reducers::ReducerFleet::new(seed, tunables, &CONTROLS);
        let mut put = vec![
            json!({"kind": "class", "name": "counter", "owner": "registru", "class": "counter"}),
            json!({"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"}),
            json!({"kind": "service", "name": SERVICE, "owner": "registru", "class": "counter"}),
            json!({"kind": "route", "name": "booking", "owner": "registru", "class": "counter",
                "service": SERVICE, "match": {"path_prefix": "/"}}),
        ];
        put.extend(
            RATES
                .iter()
                .enumerate()
                .map(|(index, rate)| organisation(index, *rate)),
        );
        let controls = CONTROLS.map(|(name, _)| name);
        let set = serde_json::from_value(json!({"put": put})).expect("the entries are valid");
        fleet.accept(set, &controls);
        let nodes: Vec<String> = CENTRES
            .iter()
            .flat_map(|centre| fleet.add_nodes(centre, NODES_PER_CENTRE))
            .collect();
        let count = RATES.len();
        let mut market = Self {
            fleet,
            nodes,
            random: ChaCha8Rng::seed_from_u64(seed),
            last_call: 0,
            calls: IndexMap::new(),
            passed: vec![Vec::new(); count],
            refused: vec![0; count],
            sent: vec![0; count],
            demand: RATES.iter().map(|rate| rate * demand_share).collect(),
        };
        for node in market.nodes.clone() {
            market.announce(&node);
        }
        market.fleet.run(Duration::from_secs(8));
        market
    }

    fn announce(&mut self, node: &str) {
        let announcement = membership::TargetAnnouncement {
            record: node::target(&format!("target-{node}"), SERVICE, 10),
            lease: Duration::from_hours(1),
            sequence: None,
            warm_up_left: Duration::ZERO,
        };
        let announced = membership::MembershipEvent::Announced(announcement);
        self.fleet.inject(node, event::Event::Membership(announced));
    }

    /// Lets the organisations send their requests to random running nodes for a time.
    fn run(&mut self, span: Duration) {
        let end = self.fleet.now() + span;
        while self.fleet.now() < end {
            let running = self.fleet.running_nodes();
            for index in 0..RATES.len() {
                let mut expected = self.demand[index] * STEP.as_secs_f64();
                while expected > 0.0 && self.random.random_bool(expected.min(1.0)) {
                    self.send(index, &running);
                    expected -= 1.0;
                }
            }
            self.fleet.run(STEP);
            self.collect();
        }
    }

    fn send(&mut self, index: usize, running: &[String]) {
        self.last_call += 1;
        let call = ids::CallId(self.last_call);
        let arrival = calls::CallArrival {
            api_key: organisations::RequestKey::Hashed(key(index)),
            ..node::arrival(self.last_call, "/booking")
        };
        let node = running.choose(&mut self.random).expect("a node runs");
        self.calls.insert(call, index);
        self.sent[index] += 1;
        let arrived = event::Event::Calls(calls::CallEvent::Arrived(arrival));
        self.fleet.inject(node, arrived);
    }

    /// Counts calls that passed or were refused, and ends them.
    fn collect(&mut self) {
        for observed in std::mem::take(&mut self.fleet.call_effects) {
            let (call, refusal) = match observed.effect {
                calls::CallEffect::Attempt(call, _) => (call, None),
                calls::CallEffect::Refuse(call, refusal) => (call, Some(refusal)),
                _ => continue,
            };
            let Some(index) = self.calls.swap_remove(&call) else {
                continue;
            };
            match refusal {
                None => self.passed[index].push(observed.at),
                Some(refusal) => {
                    let is_allowance = refusal.code == code::ResultCode::AllowanceExceeded;
                    self.refused[index] += u64::from(is_allowance);
                }
            }
            let finished = calls::CallEvent::Finished(call);
            self.fleet
                .inject(&observed.process, event::Event::Calls(finished));
        }
    }

    /// Asserts that no window has more requests than a rate allows.
    fn assert_bounded(&self, what: &str) {
        for (index, rate) in RATES.iter().enumerate() {
            let allowed = (rate * WINDOW.as_secs_f64() + rate) * (1.0 + OVERAGE) + SLACK;
            let most = most_in_window(&self.passed[index]);
            assert!(
                most as f64 <= allowed,
                "{what}: {most} requests of organisation {index} at {rate}/s, {allowed} allowed"
            );
        }
    }
}

/// Returns the largest number of requests in any window.
fn most_in_window(passed: &[Duration]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (index, at) in passed.iter().enumerate() {
        while passed[first] + WINDOW < *at {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

#[test]
fn calm_demand_passes() {
    let mut market = Market::new(1, 0.6);
    market.run(Duration::from_secs(12));
    let (sent, refused): (u64, u64) = (market.sent.iter().sum(), market.refused.iter().sum());
    assert!(
        refused * 1000 < sent,
        "{refused} of {sent} refused: {:?}",
        market.refused
    );
    let passed: usize = market.passed.iter().map(Vec::len).sum();
    assert!(passed as u64 + 20 > sent, "{passed} of {sent} passed");
    market.assert_bounded("calm");
}

#[test]
fn excess_refused() {
    let mut market = Market::new(2, 0.6);
    market.demand[1] = RATES[1] * 10.0;
    market.demand[7] = RATES[7] * 10.0;
    market.run(Duration::from_secs(10));
    market.assert_bounded("one far over its limit");
    for index in [1, 7] {
        let passed = market.passed[index].len() as f64;
        assert!(
            passed > RATES[index] * 10.0 * 0.8,
            "{passed} of organisation {index} passed"
        );
    }
    let others = (0..RATES.len()).filter(|index| ![1, 7].contains(index));
    let refused: u64 = others.map(|index| market.refused[index]).sum();
    assert_eq!(
        refused, 0,
        "the others' requests pass: {:?}",
        market.refused
    );
}

/// All organisations ask for ten times their limit while homes change.
#[test]
fn bounded_under_faults() {
    for seed in 10..14 {
        let mut market = Market::new(seed, 10.0);
        market.demand[0] = RATES[0] * 3.0;
        market.run(Duration::from_secs(2));
        match seed {
            10 => market.fleet.drop_messages(|from, to| {
                let is_cut = |identity: &hazeltiller_wire::membership::PeerIdentity| {
                    identity.data_centre.as_str() == "sibiu-b"
                };
                is_cut(from) != is_cut(to)
            }),
            11 => {
                for name in market.nodes.clone().iter().step_by(3) {
                    market.fleet.kill(name);
                }
            }
            12 => restart(&mut market, 2),
            _ => {
                let controls = CONTROLS.map(|(name, _)| name);
                let put = [organisation(1, RATES[1] / 4.0)];
                let set = serde_json::from_value(json!({"put": put})).expect("a valid entry");
                market.fleet.accept(set, &controls);
            }
        }
        market.run(Duration::from_secs(9));
        market.assert_bounded(&format!("seed {seed}"));
    }
}

/// Restarts every `interval`-th node at the same moment.
fn restart(market: &mut Market, interval: usize) {
    let names: Vec<String> = market.nodes.iter().step_by(interval).cloned().collect();
    for name in &names {
        market.fleet.kill(name);
    }
    market.run(Duration::from_millis(500));
    for name in &names {
        market.fleet.start(name);
        market.announce(name);
    }
}
