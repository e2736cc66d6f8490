//! Admission control: slots, queues, class ranks, guaranteed shares, owner weights, rate limits and
//! deadlines.

use std::time::Duration;

use hazeltiller_engine::calls;
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire, membership};
use indexmap::IndexMap;
use proptest::prelude::*;
use serde_json::{Value, json};

const TARGET: &str = "registru-1";
const MILLISECOND: Duration = Duration::from_millis(1);

fn entries(guaranteed_share: f64) -> Value {
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter", "rank": 1,
         "limits": {"queue_ms": 500}},
        {"kind": "class", "name": "batch", "owner": "registru", "class": "counter", "rank": 5,
         "limits": {"queue_ms": 500, "guaranteed_share": guaranteed_share}},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter", "weight": 3},
        {"kind": "owner", "name": "rally", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "metered", "owner": "registru", "class": "counter",
         "limits": {"rate": "10/s"}},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
         "limits": {"queue": 8}},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/"}},
    ])
}

/// An owner node with one target, and the outcome of each call offered to it.
struct OwnerNode {
    node: node::NodeReducer,
    last_call: u64,
    offers: IndexMap<ids::CallId, wire::CallOffer>,
    running: Vec<ids::CallId>,
    refusals: IndexMap<ids::CallId, wire::CallRefusal>,
    started: Vec<ids::CallId>,
}

impl OwnerNode {
    fn new(slots: u32, guaranteed_share: f64) -> Self {
        let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries(guaranteed_share));
        node.announce(node::target(TARGET, "registru", slots));
        Self {
            node,
            last_call: 0,
            offers: IndexMap::new(),
            running: Vec::new(),
            refusals: IndexMap::new(),
            started: Vec::new(),
        }
    }

    fn offer(&mut self, offer: wire::CallOffer) -> ids::CallId {
        self.last_call += 1;
        let call = ids::CallId(self.last_call);
        self.offers.insert(call, offer.clone());
        let effects = self.node.call(calls::CallEvent::Offered { call, offer });
        self.record_effects(effects);
        call
    }

    fn offer_for(&mut self, owner: &str, class: &str) -> ids::CallId {
        self.offer(node::offer(TARGET, owner, class))
    }

    fn end_oldest_run(&mut self, elapsed: Duration, status: u16) {
        self.node.now = self.node.now + elapsed;
        let call = self.running.remove(0);
        let result = calls::RunResult::Done { status };
        let effects = self.node.call(calls::CallEvent::RunEnded { call, result });
        self.record_effects(effects);
    }

    fn record_effects(&mut self, effects: Vec<calls::CallEffect>) {
        for effect in effects {
            match effect {
                calls::CallEffect::Run(call, _) => {
                    self.started.push(call);
                    self.running.push(call);
                }
                calls::CallEffect::Refuse(call, refusal) => {
                    self.refusals.insert(call, refusal);
                }
                other => panic!("unexpected effect at an owner node: {other:?}"),
            }
        }
    }

    /// Returns the number of started calls of an owner or a class.
    fn count_started(&self, name: &str) -> f64 {
        let matches_name = |call: &&ids::CallId| {
            let offer = &self.offers[*call];
            offer.owner.as_str() == name || offer.class.as_str() == name
        };
        self.started.iter().filter(matches_name).count() as f64
    }

    fn limit(&self, call: ids::CallId) -> String {
        let refusal = &self.refusals[&call];
        assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
        let limit = refusal.limit.as_ref();
        limit.expect("a refusal names its limit").to_string()
    }

    /// Offers one call of each pair of owner and class for each run that ends, so that more calls
    /// arrive than can run.
    fn overload(&mut self, pairs: &[(&str, &str)], rounds: u32) {
        for _ in 0..rounds {
            for (owner, class) in pairs {
                self.offer_for(owner, class);
            }
            self.end_oldest_run(MILLISECOND, 200);
        }
    }
}

#[test]
fn slots_counted() {
    let mut owner_node = OwnerNode::new(2, 0.0);
    for _ in 0..5 {
        owner_node.offer_for("registru", "counter");
    }
    assert_eq!(owner_node.running.len(), 2);
    owner_node.end_oldest_run(MILLISECOND, 200);
    assert_eq!(
        owner_node.running.len(),
        2,
        "a released slot goes to a queued call"
    );
}

#[test]
fn rank_first() {
    let mut owner_node = OwnerNode::new(2, 0.0);
    owner_node.overload(&[("registru", "batch"), ("rally", "counter")], 200);
    assert!(
        owner_node.count_started("counter") >= 195.0,
        "{}",
        owner_node.count_started("counter")
    );
    let is_counter = |call: &&ids::CallId| owner_node.offers[*call].class.as_str() == "counter";
    let refused = owner_node.refusals.keys().filter(is_counter).count();
    assert_eq!(
        refused, 0,
        "calls of the highest-priority class are not refused"
    );
}

#[test]
fn share_kept() {
    let mut owner_node = OwnerNode::new(2, 0.25);
    let pairs = [
        ("registru", "counter"),
        ("registru", "counter"),
        ("rally", "batch"),
    ];
    owner_node.overload(&pairs, 400);
    let batch = owner_node.count_started("batch");
    assert!(
        (90.0..=125.0).contains(&batch),
        "guaranteed share of a quarter of 400: {batch}"
    );
}

#[test]
fn weights_shared() {
    let mut owner_node = OwnerNode::new(2, 0.0);
    owner_node.overload(&[("registru", "counter"), ("rally", "counter")], 400);
    let ratio = owner_node.count_started("registru") / owner_node.count_started("rally");
    assert!((2.5..=3.5).contains(&ratio), "weights 3 and 1: {ratio}");
}

#[test]
fn cost_counted() {
    let mut owner_node = OwnerNode::new(1, 0.0);
    for _ in 0..400 {
        owner_node.offer_for("rally", "counter");
        let mut expensive = node::offer(TARGET, "registru", "counter");
        expensive.cost = 9;
        owner_node.offer(expensive);
        owner_node.end_oldest_run(MILLISECOND, 200);
    }
    let ratio = owner_node.count_started("rally") / owner_node.count_started("registru");
    assert!((2.5..=3.5).contains(&ratio), "9 units at weight 3: {ratio}");
}

#[test]
fn refusal_names_limit() {
    let mut owner_node = OwnerNode::new(1, 0.0);
    let calls: Vec<_> = (0..10)
        .map(|_| owner_node.offer_for("registru", "counter"))
        .collect();
    assert_eq!(owner_node.limit(calls[9]), "service registru limits.queue");
    let refusal = &owner_node.refusals[&calls[9]];
    assert!(refusal.elsewhere && refusal.retry_after_ms > 0);
    assert_eq!(refusal.load.map(|load| load.queued), Some(8));
    let late = owner_node.node.advance(Duration::from_millis(501));
    owner_node.record_effects(late);
    assert_eq!(owner_node.limit(calls[1]), "class counter limits.queue_ms");
    assert_eq!(
        owner_node.refusals.len(),
        9,
        "one call runs, nine are refused"
    );
}

#[test]
fn late_calls_refused() {
    let mut owner_node = OwnerNode::new(1, 0.0);
    owner_node.offer_for("registru", "counter");
    owner_node.end_oldest_run(Duration::from_millis(100), 200);
    owner_node.offer_for("registru", "counter");
    let mut urgent = node::offer(TARGET, "registru", "counter");
    urgent.deadline_left_ms = 150;
    let call = owner_node.offer(urgent);
    assert_eq!(owner_node.limit(call), "route lookup limits.deadline_ms");
    let code = owner_node.refusals[&call].code;
    assert_eq!(code, code::ResultCode::DeadlineUnreachable);
    let waiting: Vec<_> = (0..6)
        .map(|_| owner_node.offer_for("registru", "counter"))
        .collect();
    assert_eq!(
        owner_node.limit(waiting[5]),
        "class counter limits.queue_ms"
    );
}

#[test]
fn rate_by_share() {
    let mut owner_node = OwnerNode::new(10, 0.0);
    let other = node::identity("node-2", "sibiu-a", "ro-centru");
    let elsewhere = vec![node::target("registru-2", "registru", 10)];
    owner_node.node.receive_record(&other, 1, elsewhere);
    // 20 calls a second against a limit of 10 for all nodes, for 10 s each with the node owning
    // half and all of the service's slots.
    let mut passed = [0, 0];
    for passed in &mut passed {
        for _ in 0..200 {
            let call = owner_node.offer_for("metered", "counter");
            if owner_node.refusals.contains_key(&call) {
                assert_eq!(owner_node.limit(call), "owner metered limits.rate");
            } else {
                *passed += 1;
                owner_node.end_oldest_run(Duration::ZERO, 200);
            }
            owner_node.node.advance(Duration::from_millis(50));
        }
        owner_node.node.receive_record(&other, 2, Vec::new());
    }
    assert!(
        (54..=57).contains(&passed[0]),
        "half of the rate: {passed:?}"
    );
    assert!(
        (99..=102).contains(&passed[1]),
        "the whole rate: {passed:?}"
    );
}

#[test]
fn draining_refuses() {
    let mut owner_node = OwnerNode::new(2, 0.0);
    let mut record = node::target(TARGET, "registru", 2);
    record.state = membership::TargetState::Draining;
    owner_node.node.announce(record);
    let call = owner_node.offer_for("registru", "counter");
    assert_eq!(
        owner_node.refusals[&call].code,
        code::ResultCode::TargetMissing
    );
    assert!(owner_node.refusals[&call].elsewhere);
}

#[test]
fn shedding_reduces_slots() {
    let mut owner_node = OwnerNode::new(10, 0.0);
    for _ in 0..10 {
        owner_node.offer_for("registru", "counter");
    }
    for _ in 0..10 {
        owner_node.end_oldest_run(MILLISECOND, 503);
    }
    for _ in 0..5 {
        owner_node.offer_for("registru", "counter");
    }
    assert_eq!(owner_node.running.len(), 1, "slots shrink to one");
    for _ in 0..200 {
        owner_node.end_oldest_run(MILLISECOND, 200);
        owner_node.offer_for("registru", "counter");
        owner_node.offer_for("registru", "counter");
    }
    assert_eq!(
        owner_node.running.len(),
        10,
        "successful runs restore the slots"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// For any sequence of arrivals and ends, no more calls run than there are slots, and each call
    /// either starts or is refused, once.
    #[test]
    fn ends_once(steps in prop::collection::vec((0..4_u8, 0..3_usize, 1..6_u32), 1..200)) {
        let mut owner_node = OwnerNode::new(3, 0.2);
        let owners = ["registru", "rally", "metered"];
        for (step, owner, cost) in steps {
            match step {
                0 | 1 => {
                    let class = if step == 0 { "counter" } else { "batch" };
                    let mut offer = node::offer(TARGET, owners[owner], class);
                    offer.cost = cost;
                    owner_node.offer(offer);
                }
                2 if !owner_node.running.is_empty() => owner_node.end_oldest_run(MILLISECOND * cost, 200),
                _ => {
                    let effects = owner_node.node.advance(MILLISECOND * 20 * cost);
                    owner_node.record_effects(effects);
                }
            }
            prop_assert!(owner_node.running.len() <= 3);
        }
        while !owner_node.running.is_empty() {
            owner_node.end_oldest_run(MILLISECOND, 200);
        }
        let ended = owner_node.started.len() + owner_node.refusals.len();
        prop_assert_eq!(ended as u64, owner_node.last_call);
        prop_assert!(owner_node.node.state.calls.owner.is_empty());
    }
}
