//! Tests of the selection by expected latency.

use std::time::Duration;

use hazeltiller_engine::calls;
use hazeltiller_testkit::node;
use hazeltiller_units::ids;
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;
use serde_json::json;

const SLOTS_PER_TARGET: u32 = 6;

struct IngressNode {
    node: node::NodeReducer,
    last_call: u64,
}

impl IngressNode {
    /// Creates targets given as (name, data centre, run time in milliseconds); each reports its run
    /// time once.
    fn new(targets: &[(&str, &str, u32)]) -> Self {
        let entries = json!([
            {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
            {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
            {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
            {"kind": "route", "name": "any", "owner": "registru", "class": "counter",
             "service": "registru", "match": {"path_prefix": "/"}, "target_latency_ms": 300},
        ]);
        let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries);
        node.state.settings.tunables.routing.compared = 16;
        node.state.settings.tunables.retry.free_placements = 3;
        for (name, data_centre, _) in targets {
            let identity = node::identity(&format!("node-{name}"), data_centre, "ro-centru");
            node.receive_record(
                &identity,
                1,
                vec![node::target(name, "registru", SLOTS_PER_TARGET)],
            );
        }
        let mut ingress = Self { node, last_call: 0 };
        // The first call creates the views of the targets.
        ingress.arrive();
        let first = calls::CallEvent::Finished(ids::CallId(ingress.last_call));
        ingress.node.call(first);
        for (name, _, run_ms) in targets {
            ingress.report(name, 0, run_ms * 1000);
        }
        ingress
    }

    fn report(&mut self, target: &str, in_flight: u32, service_us: u32) {
        self.report_of_route(target, in_flight, service_us, service_us);
    }

    /// Reports from a target that runs several routes: `service_us` is its mean over all routes,
    /// `route_us` that of the tested one.
    fn report_of_route(&mut self, target: &str, in_flight: u32, service_us: u32, route_us: u32) {
        let load = wire::LoadReport {
            in_flight,
            queued: 0,
            slots: SLOTS_PER_TARGET,
            service_us,
            route_us,
            is_failing: false,
        };
        let name = target.parse().expect("it is a name");
        let now = self.node.now;
        let [service, route] = ["registru", "any"].map(|name| name.parse().expect("it is a name"));
        let routing = &mut self.node.state.routing;
        routing.record_load_report(&service, &route, &name, load, now);
    }

    fn arrive(&mut self) -> calls::AttemptPlan {
        self.last_call += 1;
        let arrival = node::arrival(self.last_call, "/vehicles");
        let effects = self.node.call(calls::CallEvent::Arrived(arrival));
        let plan = effects.into_iter().find_map(|effect| match effect {
            calls::CallEffect::Attempt(_, plan) => Some(*plan),
            _ => None,
        });
        plan.expect("there are targets")
    }

    /// Counts the targets of `count` calls that do not end.
    fn spread(&mut self, count: u32) -> IndexMap<String, u32> {
        let mut spread = IndexMap::new();
        for _ in 0..count {
            let target = self.arrive().offer.target.to_string();
            *spread.entry(target).or_default() += 1;
        }
        spread
    }
}

#[test]
fn fast_first() {
    let mut ingress = IngressNode::new(&[("slow", "brasov-a", 300), ("fast", "brasov-a", 100)]);
    let spread = ingress.spread(6);
    assert!(spread["fast"] >= 5, "{spread:?}");
    // Twelve calls queued at the fast target wait 200 ms, which is the difference in run time.
    let more = ingress.spread(24);
    let slow = more.get("slow").copied().unwrap_or_default();
    assert!((3..=12).contains(&slow), "{more:?}");
}

/// A target that also runs many short calls of another route must not count as fast for a long one.
#[test]
fn short_runs_not_speed() {
    let mut ingress = IngressNode::new(&[("mixed", "brasov-a", 100), ("plain", "brasov-a", 100)]);
    ingress.report_of_route("mixed", SLOTS_PER_TARGET, 20_000, 100_000);
    ingress.report_of_route("plain", SLOTS_PER_TARGET - 2, 100_000, 100_000);
    let spread = ingress.spread(2);
    assert_eq!(
        spread,
        IndexMap::from([("plain".into(), 2)]),
        "only this target has free slots"
    );
}

#[test]
fn near_first() {
    let mut ingress = IngressNode::new(&[("near", "brasov-a", 100), ("far", "sibiu-a", 100)]);
    let spread = ingress.spread(4);
    assert_eq!(spread, IndexMap::from([("near".into(), 4)]));
    ingress.report("near", 3 * SLOTS_PER_TARGET, 100_000);
    let spread = ingress.spread(4);
    assert_eq!(spread, IndexMap::from([("far".into(), 4)]));
}

/// A node without a free slot refuses the offer; this uses up neither an attempt of the route nor
/// retry budget.
#[test]
fn next_place_free() {
    let names = ["one", "two", "three"];
    let mut ingress = IngressNode::new(&names.map(|name| (name, "brasov-a", 100)));
    let mut plan = ingress.arrive();
    let call = ids::CallId(ingress.last_call);
    let mut attempted = vec![plan.offer.target.to_string()];
    for _ in 0..2 {
        assert!(
            plan.offer.patience_ms < 1000,
            "another target may be better"
        );
        let code = hazeltiller_units::code::ResultCode::LatencyUnreachable;
        let refusal = wire::CallRefusal::not_run(code).elsewhere();
        let result = calls::AttemptResult::Refused(refusal);
        let ended = calls::CallEvent::AttemptEnded {
            call,
            result,
            report: calls::AttemptReport::default(),
        };
        let effects = ingress.node.call(ended);
        plan = effects
            .into_iter()
            .find_map(|effect| match effect {
                calls::CallEffect::Attempt(_, plan) => Some(*plan),
                _ => None,
            })
            .expect("there is another target");
        attempted.push(plan.offer.target.to_string());
    }
    attempted.sort();
    assert_eq!(attempted, ["one", "three", "two"]);
    assert_eq!(plan.offer.patience_ms, u32::MAX, "there is no other target");
    ingress.node.advance(Duration::from_millis(20));
}

impl IngressNode {
    /// Sends 20 calls to which a near target responds with a body of `bytes`.
    fn respond(&mut self, bytes: u64) {
        for _ in 0..20 {
            self.arrive();
            let call = ids::CallId(self.last_call);
            self.node.call(calls::CallEvent::AttemptEnded {
                call,
                result: calls::AttemptResult::Answered { status: 200 },
                report: calls::AttemptReport {
                    bytes,
                    ..calls::AttemptReport::default()
                },
            });
            self.node.call(calls::CallEvent::Finished(call));
        }
    }

    /// Refuses one offer after the given time.
    fn refuse_after(&mut self, took: Duration) {
        self.arrive();
        let call = ids::CallId(self.last_call);
        self.node.advance(took);
        let code = hazeltiller_units::code::ResultCode::LatencyUnreachable;
        self.node.call(calls::CallEvent::AttemptEnded {
            call,
            result: calls::AttemptResult::Refused(wire::CallRefusal::not_run(code)),
            report: calls::AttemptReport::default(),
        });
        self.node.call(calls::CallEvent::Finished(call));
    }
}

/// Traffic between data centres is costly: where the near target is 60 ms slower, a small response
/// comes from the other data centre and one of 20 kilobytes does not.
#[test]
fn large_stay_near() {
    for (bytes, expected) in [(200, "far"), (20_000, "near")] {
        let mut ingress = IngressNode::new(&[("near", "brasov-a", 100), ("far", "sibiu-a", 100)]);
        ingress.respond(bytes);
        ingress.report("near", 2 * SLOTS_PER_TARGET - 2, 100_000);
        ingress.report("far", 0, 100_000);
        let spread = ingress.spread(1);
        assert_eq!(spread, IndexMap::from([(expected.into(), 1)]), "{bytes}");
    }
}

/// A node that measures a high cost of offers makes fewer of them: it prefers its own target, and
/// offers a call elsewhere only if that saves more queue wait than an offer costs.
#[test]
fn costly_offers() {
    let mut ingress = IngressNode::new(&[("other", "brasov-a", 100)]);
    ingress
        .node
        .announce(node::target("own", "registru", SLOTS_PER_TARGET));
    let first = ingress.arrive();
    assert_eq!(
        first.offer.target.as_str(),
        "own",
        "its own target needs no offer"
    );
    let mut cheap = IngressNode::new(&[("one", "brasov-a", 100), ("two", "brasov-a", 100)]);
    let before = cheap.arrive().offer.patience_ms;
    for _ in 0..60 {
        cheap.refuse_after(Duration::from_millis(80));
    }
    cheap.report("one", 0, 100_000);
    cheap.report("two", 0, 100_000);
    let after = cheap.arrive().offer.patience_ms;
    assert!(after >= before + 50, "{before} ms, then {after} ms");
}

/// The old report of a target decays to the mean load of its service and not to zero, so the target
/// that was not used for longest does not seem idle.
#[test]
fn old_reports_decay() {
    let mut ingress = IngressNode::new(&[("old", "brasov-a", 100), ("new", "brasov-a", 100)]);
    ingress.report("old", 2 * SLOTS_PER_TARGET, 100_000);
    ingress.node.advance(Duration::from_secs(4));
    for _ in 0..40 {
        ingress.report("new", SLOTS_PER_TARGET + 1, 100_000);
    }
    let spread = ingress.spread(1);
    assert_eq!(spread, IndexMap::from([("new".into(), 1)]));
}
