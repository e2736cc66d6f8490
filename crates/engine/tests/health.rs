//! Tests of health decisions, including for targets whose health endpoint contradicts the outcomes
//! of their calls.

use std::time::Duration;

use hazeltiller_engine::{calls, event, health};
use hazeltiller_testkit::node;
use hazeltiller_units::ids;
use hazeltiller_wire::calls as wire;
use serde_json::{Value, json};

const TARGET: &str = "registru-1";

fn entries() -> Value {
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
         "probe": {"path": "/health", "period_ms": 1000}},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/"}, "limits": {"tries": 1}},
    ])
}

fn name(name: &str) -> ids::TargetName {
    name.parse().expect("it is a name")
}

/// The owner node of the target.
struct Owner {
    node: node::NodeReducer,
    last_call: u64,
}

impl Owner {
    fn new() -> Self {
        let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
        node.announce(node::target(TARGET, "registru", 10));
        Self { node, last_call: 0 }
    }

    fn run(&mut self, duration: Duration, result: calls::RunResult) {
        self.last_call += 1;
        let call = ids::CallId(self.last_call);
        let offer = node::offer(TARGET, "registru", "counter");
        self.node.call(calls::CallEvent::Offered { call, offer });
        self.node.now = self.node.now + duration;
        self.node.call(calls::CallEvent::RunEnded { call, result });
    }

    fn probe(&mut self, is_healthy: bool) {
        let target = name(TARGET);
        let probed = health::HealthEvent::Probed { target, is_healthy };
        self.node.reduce(event::Event::Health(probed));
    }

    fn is_failing(&self) -> bool {
        health::is_failing(&self.node.state, &name(TARGET))
    }
}

#[test]
fn outcomes_decide() {
    let short = Duration::from_millis(5);
    let long = Duration::from_secs(6);
    let done = |status| calls::RunResult::Done { status };
    let table = [
        ("every response is a failure", short, done(500), true),
        (
            "truncates responses",
            short,
            calls::RunResult::Truncated,
            true,
        ),
        ("never responds", short, calls::RunResult::TimedOut, true),
        (
            "never responds, callers disconnect",
            long,
            calls::RunResult::CallerGone,
            true,
        ),
        ("crashes", short, calls::RunResult::Crashed, true),
        (
            "accepts no connection",
            short,
            calls::RunResult::NotConnected,
            true,
        ),
        (
            "callers disconnect early",
            short,
            calls::RunResult::CallerGone,
            false,
        ),
        ("rejects faulty requests", short, done(404), false),
        ("sheds", short, done(503), false),
        ("responds", short, done(200), false),
    ];
    for (case, duration, result, expected) in table {
        let mut owner = Owner::new();
        for round in 0..5 {
            assert!(
                !owner.is_failing(),
                "{case}: failing too early, after {round} outcomes"
            );
            owner.run(duration, result);
            owner.probe(true);
        }
        let failing = owner.is_failing();
        assert_eq!(failing, expected, "{case}, while its health check passes");
    }
}

#[test]
fn share_of_failures() {
    let mut owner = Owner::new();
    for _ in 0..20 {
        owner.run(Duration::ZERO, calls::RunResult::Done { status: 500 });
        owner.run(Duration::ZERO, calls::RunResult::Done { status: 200 });
    }
    assert!(owner.is_failing(), "half of 40 outcomes failed");
    let mut owner = Owner::new();
    for number in 0..100 {
        let status = if number % 3 == 0 { 500 } else { 200 };
        owner.run(Duration::ZERO, calls::RunResult::Done { status });
    }
    assert!(!owner.is_failing(), "a third of 100 outcomes failed");
}

#[test]
fn bad_page_alone() {
    let mut owner = Owner::new();
    (0..3).for_each(|_| owner.probe(false));
    assert!(owner.is_failing(), "there are no outcomes");
    owner.run(Duration::ZERO, calls::RunResult::Done { status: 200 });
    assert!(
        !owner.is_failing(),
        "a successful call overrides health checks"
    );
    owner.node.advance(Duration::from_mins(1));
    assert!(owner.is_failing(), "the outcome has decayed");
    owner.probe(true);
    assert!(!owner.is_failing());
}

#[test]
fn probes_made() {
    let mut owner = Owner::new();
    let mut probes = 0;
    for _ in 0..100 {
        owner.node.now = owner.node.now + Duration::from_millis(50);
        let effects = owner.node.reduce(event::Event::Tick);
        for effect in effects {
            if let event::Effect::Health(health::HealthEffect::Probe(plan)) = effect {
                assert_eq!(plan.path, "/health");
                probes += 1;
            }
        }
    }
    assert_eq!(probes, 5, "one per second");
}

/// An ingress node with targets on other nodes.
struct IngressNode {
    node: node::NodeReducer,
    last_call: u64,
}

impl IngressNode {
    fn new(targets: u32) -> Self {
        let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
        for number in 0..targets {
            let name = format!("registru-{number}");
            let identity = node::identity(&format!("node-{name}"), "brasov-a", "ro-centru");
            node.receive_record(&identity, 1, vec![node::target(&name, "registru", 10)]);
        }
        Self { node, last_call: 0 }
    }

    /// Makes calls, of which those at the first `failing` targets fail; returns the number of
    /// failed calls.
    fn call(&mut self, count: u32, failing: u32) -> u32 {
        let mut failed = 0;
        for _ in 0..count {
            self.last_call += 1;
            let call = ids::CallId(self.last_call);
            let arrival = node::arrival(self.last_call, "/");
            let effects = self.node.call(calls::CallEvent::Arrived(arrival));
            let [calls::CallEffect::Attempt(_, plan)] = effects.as_slice() else {
                panic!("there are targets: {effects:?}");
            };
            let is_failing_target =
                (0..failing).any(|bad| plan.offer.target.as_str() == format!("registru-{bad}"));
            failed += u32::from(is_failing_target);
            let load = wire::LoadReport {
                in_flight: 1,
                queued: 0,
                slots: 10,
                service_us: 1000,
                route_us: 1000,
                is_failing: is_failing_target,
            };
            let result = calls::AttemptResult::Answered {
                status: if is_failing_target { 500 } else { 200 },
            };
            let load = Some(load);
            self.node.call(calls::CallEvent::AttemptEnded {
                call,
                result,
                report: calls::AttemptReport {
                    load,
                    ..calls::AttemptReport::default()
                },
            });
            self.node.call(calls::CallEvent::Finished(call));
        }
        failed
    }

    /// Makes one call whose connection fails if its first target satisfies `is_unreachable`;
    /// returns whether the target was reached.
    fn reach(&mut self, is_unreachable: impl Fn(&str) -> bool) -> bool {
        self.last_call += 1;
        let call = ids::CallId(self.last_call);
        let arrival = node::arrival(self.last_call, "/");
        let effects = self.node.call(calls::CallEvent::Arrived(arrival));
        let [calls::CallEffect::Attempt(_, plan)] = effects.as_slice() else {
            panic!("there are targets: {effects:?}");
        };
        let is_reached = !is_unreachable(plan.offer.target.as_str());
        let result = if is_reached {
            calls::AttemptResult::Answered { status: 200 }
        } else {
            calls::AttemptResult::NotReached
        };
        self.node.call(calls::CallEvent::AttemptEnded {
            call,
            result,
            report: calls::AttemptReport::default(),
        });
        self.node.call(calls::CallEvent::Finished(call));
        is_reached
    }
}

#[test]
fn ejected_on_first_report() {
    let mut ingress = IngressNode::new(4);
    assert_eq!(ingress.call(100, 1), 1, "the first report ejects it");
    ingress.node.advance(Duration::from_secs(3));
    assert_eq!(
        ingress.call(100, 1),
        1,
        "one probing call after the ejection"
    );
    ingress.node.advance(Duration::from_secs(3));
    assert_eq!(ingress.call(100, 1), 0, "the second ejection is longer");
    ingress.node.advance(Duration::from_secs(2));
    ingress.call(100, 0);
    ingress.node.advance(Duration::from_secs(1));
    let recovered = ingress.node.state.routing.views[&name("registru-0")].health;
    assert_eq!(
        recovered,
        health::EjectionState::default(),
        "a healthy report clears it"
    );
}

#[test]
fn ceiling_on_ejection() {
    let mut ingress = IngressNode::new(4);
    assert_eq!(
        ingress.call(200, 2),
        2,
        "half of the targets may be ejected"
    );
    let mut ingress = IngressNode::new(4);
    let failed = ingress.call(400, 3);
    assert!(
        failed > 200,
        "above the ceiling no target is ejected: {failed}"
    );
}

#[test]
fn ejected_on_failed_connection() {
    let mut ingress = IngressNode::new(2);
    let is_unreachable = |target: &str| target == "registru-0";
    let reached: Vec<bool> = (0..20).map(|_| ingress.reach(is_unreachable)).collect();
    let missed = reached.iter().filter(|reached| !**reached).count();
    assert!(
        missed <= 1,
        "one failed connection ejects the target: {reached:?}"
    );
}

/// Three of four targets are behind a network partition. The ceiling must not bring them back into
/// selection, since each call there would wait for a connection in vain.
#[test]
fn cut_off_kept_away() {
    let mut ingress = IngressNode::new(4);
    let mut missed = 0;
    for _ in 0..200 {
        missed += u32::from(!ingress.reach(|target| target != "registru-3"));
        ingress.node.advance(Duration::from_millis(10));
    }
    assert!(missed <= 6, "each is retried once a second: {missed}");
}

/// With every target behind a partition a call is refused at once, and one call a second retries
/// the connection.
#[test]
fn all_cut_off() {
    let mut ingress = IngressNode::new(1);
    let mut attempts = Vec::new();
    for number in 1..=300 {
        let call = ids::CallId(number);
        let arrival = node::arrival(number, "/");
        let effects = ingress.node.call(calls::CallEvent::Arrived(arrival));
        if let [calls::CallEffect::Attempt(..)] = effects.as_slice() {
            attempts.push(number);
            let ended = calls::CallEvent::AttemptEnded {
                call,
                result: calls::AttemptResult::NotReached,
                report: calls::AttemptReport::default(),
            };
            let effects = ingress.node.call(ended);
            let [calls::CallEffect::Refuse(_, refusal)] = effects.as_slice() else {
                panic!("there is no other target: {effects:?}");
            };
            assert!(
                (750..=1500).contains(&refusal.retry_after_ms),
                "{refusal:?}"
            );
        }
        ingress.node.call(calls::CallEvent::Finished(call));
        ingress.node.advance(Duration::from_millis(10));
    }
    assert_eq!(attempts, [1, 101, 201], "one per second");
}
