//! Callers that are refused in a burst must return when there is room for them, and not together.

use std::time::Duration;

use hazeltiller_catalogue::change;
use hazeltiller_engine::{calls, organisations, returns::line};
use hazeltiller_testkit::{model, node};
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::calls as wire;
use serde_json::{Value, json};

/// Requests per second that the targets can run.
const CAPACITY: f64 = 450.0;
/// Load relative to the capacity before, in and after the burst, and after calm must have returned.
const LOADS: [f64; 4] = [0.8, 2.5, 0.8, 0.8];
/// Durations of these phases.
const PHASE_TIMES: [Duration; 4] = [
    Duration::from_secs(6),
    Duration::from_secs(3),
    Duration::from_secs(2),
    Duration::from_secs(6),
];
/// Target latency and time limit of lookups and of issues.
const TIMES_MS: [(u64, u64); 2] = [(500, 1500), (800, 2000)];
/// Ingress nodes of a model, each with a small share of the load.
const INGRESSES: usize = 24;

fn entries() -> Value {
    let route = |name: &str, class: &str, (latency_ms, deadline_ms): (u64, u64)| {
        json!({"kind": "route", "name": name, "owner": "registru", "class": class, "service": "registru",
               "match": {"path_prefix": format!("/{name}/")}, "idempotent": true,
               "target_latency_ms": latency_ms, "limits": {"deadline_ms": deadline_ms}})
    };
    let class = |name: &str, rank: u32| {
        json!({"kind": "class", "name": name, "owner": "registru", "class": name, "rank": rank,
               "limits": {"queue_ms": 60_000}})
    };
    json!([
        class("urgent", 1),
        class("common", 2),
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "urgent"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "urgent",
         "limits": {"queue": 200}},
        route("lookup", "common", TIMES_MS[0]),
        route("issue", "urgent", TIMES_MS[1]),
    ])
}

/// Returns lookups and issues whose callers retry once; a tenth of them ignore the time that a
/// refusal names.
fn kinds(load: f64) -> Vec<model::CallKind> {
    let kind = |path, share, timeout_ms| model::CallKind {
        caller_policy: model::CallerPolicy {
            retries: 1,
            timeout: Some(Duration::from_millis(timeout_ms)),
            impatient_share: 0.1,
        },
        ..model::CallKind::plain(path, share * CAPACITY * load)
    };
    vec![
        kind("/lookup/7", 0.8, TIMES_MS[0].1),
        kind("/issue/7", 0.2, TIMES_MS[1].1),
    ]
}

fn model(seed: u64, appointments: u64) -> model::CallModel {
    let target = |service_ms: u64| model::ModelTarget {
        service_name: "registru",
        slots: 6,
        announced_slots: 6,
        mean_run_time: Duration::from_millis(service_ms),
        queue_capacity: 40,
        is_broken: false,
    };
    let service_times_ms = [120, 140, 160, 160, 180, 200].repeat(2);
    let settings = model::ModelSettings {
        seed,
        ingresses: INGRESSES,
        targets: service_times_ms.into_iter().map(target).collect(),
        entries: entries(),
        link: Duration::from_millis(2),
        policy: model::BalancingPolicy::Reducer,
    };
    let model = model::CallModel::new(settings).with_ingresses(|node| {
        node.state.settings.tunables.routing.compared = 3;
        node.state.settings.tunables.retry.free_placements = 3;
        node.state.settings.tunables.returns.appointments = appointments;
    });
    model.with_processors(Duration::from_millis(2))
}

/// What callers got in one phase.
#[derive(Debug, Clone, Copy, Default)]
struct PhaseResult {
    sent: f64,
    answered: f64,
    /// Requests answered within their target latency.
    in_time: f64,
    refusals: f64,
    refused_twice: f64,
    /// Callers that returned when they were told to, and those of them that were refused again.
    returned: f64,
    broken: f64,
}

impl PhaseResult {
    fn add(&mut self, kinds: &[model::KindStats]) {
        for (stats, (latency_ms, _)) in kinds.iter().zip(TIMES_MS) {
            self.sent += stats.sent as f64;
            self.answered += stats.good as f64;
            self.in_time += stats.count_within(Duration::from_millis(latency_ms)) as f64;
            self.refusals += stats.refusals.len() as f64;
            self.refused_twice += stats.refused_again as f64;
            self.returned += stats.invited as f64;
            self.broken += stats.invited_refused as f64;
        }
    }
}

fn run_burst(model: &mut model::CallModel) -> Vec<Vec<model::KindStats>> {
    let phases = LOADS.map(kinds).into_iter().zip(PHASE_TIMES);
    model.run_phases(phases.collect())
}

/// Returns the sums over some seeds for each phase.
fn burst_results(appointments: u64) -> [PhaseResult; 4] {
    let mut results = [PhaseResult::default(); 4];
    for seed in 1..=4 {
        let phases = run_burst(&mut model(seed, appointments));
        for (result, kinds) in results.iter_mut().zip(phases) {
            result.add(&kinds);
        }
    }
    println!("appointments {appointments}: {results:#?}");
    results
}

/// Most callers that return when they were told to are served, also in the burst. Fewer are refused
/// twice, and fewer refusals are made for each answer, than without appointments. As many answers as
/// before are in time in the burst, and nothing is left of it two seconds later.
#[test]
fn turns_kept() {
    let [before, burst, decline, after] = burst_results(1);
    let [_, other_burst, other_decline, _] = burst_results(0);
    assert!(burst.returned > 1000.0 && burst.broken <= 0.2 * burst.returned);
    for (result, other) in [(burst, other_burst), (decline, other_decline)] {
        assert!(result.refused_twice / result.sent <= other.refused_twice / other.sent);
        assert!(result.refusals / result.answered <= other.refusals / other.answered);
    }
    let [before_time, burst_time, _, _] = PHASE_TIMES.map(|span| span.as_secs_f64());
    assert!(burst.in_time / burst_time >= before.in_time / before_time);
    assert!(after.in_time / after.sent >= 0.95 * before.in_time / before.sent);
    assert!(after.refused_twice <= 0.02 * after.sent);
}

/// A node that restarts in the burst forgets whom it told to return. Its callers are served like
/// those of the others, and the returns to the others are not bunched.
#[test]
fn restart_in_burst() {
    let restart_at = PHASE_TIMES[0] + PHASE_TIMES[1] / 2;
    let after = Duration::from_secs(1);
    for seed in 1..=3 {
        let mut model = model(seed, 1);
        model.schedule_ingress_restart(restart_at, 0);
        run_burst(&mut model);
        let restarted = time::MonotonicTime::default() + restart_at;
        let recent = |arrival: &&model::TargetArrival| {
            arrival.at >= restarted && arrival.at < restarted + after
        };
        let arrivals: Vec<_> = model.arrivals().iter().filter(recent).collect();
        let own = arrivals.iter().filter(|arrival| arrival.ingress == 0);
        let mean = arrivals.len() / INGRESSES;
        let own = own.count();
        assert!(own * 2 >= mean, "seed {seed}: {own} of {mean}");
        let mut bins = [0; 10];
        for arrival in &arrivals {
            bins[(arrival.at.since(restarted).as_millis() / 100) as usize] += 1;
        }
        let most = bins.iter().max().expect("there are bins");
        assert!(*most * 10 <= arrivals.len() * 2, "seed {seed}: {bins:?}");
    }
}

const ALL_RETURNING: line::LinePolicy = line::LinePolicy { share: 1.0 };

/// Returns a line that serves 20 callers per second, and the time at which it does.
fn busy_line() -> (line::ReturnLine, time::MonotonicTime) {
    let mut now = time::MonotonicTime::default();
    let mut line = line::ReturnLine::new(now);
    for _ in 0..100 {
        now = now + Duration::from_millis(50);
        line.record_answer(Duration::from_millis(100), now);
    }
    (line, now)
}

/// Returns the request of a caller that can wait for half a second.
fn request(now: time::MonotonicTime) -> line::TurnRequest {
    line::TurnRequest {
        deadline: now + Duration::from_millis(1500),
        max_wait: Duration::from_millis(500),
        draw: 0.5,
    }
}

/// Callers that are refused together return one by one, and who would come too late is told so.
#[test]
fn returns_spread() {
    let (mut line, now) = busy_line();
    let waits: Vec<_> = (0..50)
        .map_while(|_| line.appoint(ALL_RETURNING, request(now), now))
        .collect();
    assert!((8..=11).contains(&waits.len()), "{waits:?}");
    assert!(
        waits
            .windows(2)
            .skip(1)
            .all(|pair| pair[1] >= pair[0] + Duration::from_millis(20)),
        "{waits:?}"
    );
    assert!(waits.iter().all(|wait| *wait <= request(now).max_wait));
    assert_eq!(line.appoint(ALL_RETURNING, request(now), now), None);
}

/// A node that has seen no answer yet tells one caller to return.
#[test]
fn first_turn_given() {
    let now = time::MonotonicTime::default();
    let mut line = line::ReturnLine::new(now);
    assert!(line.appoint(ALL_RETURNING, request(now), now).is_some());
    assert_eq!(line.appoint(ALL_RETURNING, request(now), now), None);
}

/// A caller is recognised by its deadline, once, when its time has come.
#[test]
fn return_recognised() {
    let (mut line, now) = busy_line();
    let request = request(now);
    let wait = line.appoint(ALL_RETURNING, request, now);
    let due = now + wait.expect("the line is empty");
    assert!(!line.keep(request.deadline, now), "it is too early");
    let other_deadline = request.deadline + Duration::from_millis(100);
    assert!(!line.keep(other_deadline, due), "another caller");
    assert!(line.keep(request.deadline, due));
    assert!(!line.keep(request.deadline, due), "it has returned");
}

/// An appointment that is not kept lapses, and its caller is a new one.
#[test]
fn appointment_lapses() {
    let (mut line, now) = busy_line();
    let request = request(now);
    line.appoint(ALL_RETURNING, request, now);
    assert!(!line.keep(request.deadline, now + Duration::from_secs(1)));
    assert_eq!(line.counts().lapsed, 1);
    assert!(line.is_empty());
}

fn key() -> ids::StateDigest {
    change::token_hash("key")
}

/// Returns the refusal that a node gives a caller with 1.5 s left.
fn refuse(
    node: &mut node::NodeReducer,
    call: u64,
    refusal: Option<wire::CallRefusal>,
) -> Option<u32> {
    let arrival = calls::CallArrival {
        deadline_left: Some(Duration::from_millis(1500)),
        api_key: organisations::RequestKey::Hashed(key()),
        ..node::arrival(call, "/lookup/7")
    };
    let mut effects = node.call(calls::CallEvent::Arrived(arrival));
    let result = match refusal {
        Some(refusal) => calls::AttemptResult::Refused(refusal),
        None => calls::AttemptResult::Answered { status: 200 },
    };
    effects.extend(node.call(calls::CallEvent::AttemptEnded {
        call: ids::CallId(call),
        result,
        report: calls::AttemptReport::default(),
    }));
    node.call(calls::CallEvent::Finished(ids::CallId(call)));
    effects.into_iter().find_map(|effect| match effect {
        calls::CallEffect::Refuse(_, refusal) => Some(refusal.retry_after_ms),
        _ => None,
    })
}

/// Returns the only node of a fleet, with a target of its own.
fn ingress(appointments: u64, entries: &Value) -> node::NodeReducer {
    let mut node = node::NodeReducer::new("node-1", "brasov-a", entries);
    node.announce(node::target("registru-1", "registru", 4));
    node.state.settings.tunables.returns.appointments = appointments;
    node
}

/// A target that declines a request names no time. Its callers are not told to return at once.
#[test]
fn declined_not_at_once() {
    for (appointments, is_spread) in [(0, false), (1, true)] {
        let mut node = ingress(appointments, &entries());
        for call in 0..20 {
            node.advance(Duration::from_millis(50));
            assert_eq!(refuse(&mut node, call, None), None);
        }
        let declined = wire::CallRefusal::not_run(code::ResultCode::TargetDeclined);
        let times = (20..24).filter_map(|call| refuse(&mut node, call, Some(declined.clone())));
        let times: Vec<_> = times.collect();
        let increases = times.windows(2).all(|pair| pair[0] < pair[1]);
        assert_eq!(times.len(), 4);
        assert_eq!(times[0] > 0 && increases, is_spread, "{times:?}");
    }
}

/// Callers of an organisation over its allowance are told times at its rate, and those beyond what
/// fits are told that none is left.
#[test]
fn allowance_spread() {
    let mut with_organisation = entries();
    let list = with_organisation.as_array_mut().expect("it is a list");
    list.push(
        json!({"kind": "organisation", "name": "growers", "owner": "registru", "class": "urgent",
               "keys": [key()], "limits": {"rate": "20/s", "burst": 5}}),
    );
    let mut node = ingress(1, &with_organisation);
    for _ in 0..100 {
        node.advance(Duration::from_millis(20));
    }
    let mut call = 0;
    for _ in 0..20 {
        node.advance(Duration::from_millis(50));
        call += 1;
        refuse(&mut node, call, None);
    }
    let times: Vec<_> = (0..40)
        .filter_map(|offset| refuse(&mut node, call + 1 + offset, None))
        .collect();
    let (soon, never): (Vec<u32>, Vec<u32>) = times.iter().partition(|time| **time <= 500);
    // Half a second of its rate, and its burst.
    assert!(!soon.is_empty() && soon.len() <= 15, "{times:?}");
    assert!(never.len() >= 20, "{times:?}");
    assert!(never.iter().all(|time| *time > 1500), "{times:?}");
    assert!(soon.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
}
