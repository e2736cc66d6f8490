//! Tests of how calls of organisations are admitted at their targets.

use std::time::Duration;

use hazeltiller_engine::calls;
use hazeltiller_testkit::node;
use hazeltiller_units::ids;
use hazeltiller_wire::calls as wire;
use serde_json::json;

const TARGET: &str = "desk-1";

/// The class of an organisation kept calls of the lowest-priority route in the queue until their
/// deadlines. They finished late or not at all, and held up all others.
#[test]
fn organisation_calls_kept_too_long() {
    let entries = json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter", "rank": 1},
        {"kind": "class", "name": "night", "owner": "registru", "class": "night", "rank": 3,
         "limits": {"queue_ms": 60_000}},
        {"kind": "class", "name": "large", "owner": "registru", "class": "large", "rank": 1,
         "limits": {"queue_ms": 60_000}},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
         "limits": {"queue": 200}},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "night",
         "service": "registru", "target_latency_ms": 600, "match": {"path_prefix": "/"}},
        {"kind": "organisation", "name": "growers", "owner": "registru", "class": "counter",
         "call_class": "large"},
    ]);
    let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries);
    node.announce(node::target(TARGET, "registru", 1));
    // Refreshes the index of routes.
    node.call(calls::CallEvent::Arrived(node::arrival(1, "/")));
    let offer = |class: &str| wire::CallOffer {
        latency_left_ms: 600,
        deadline_left_ms: 2000,
        ..node::offer(TARGET, "registru", class)
    };
    let mut call = 100;
    for class in ["night", "large"] {
        // Teaches the target's run time of 200 ms.
        for _ in 0..5 {
            call += 1;
            let offered = calls::CallEvent::Offered {
                call: ids::CallId(call),
                offer: offer(class),
            };
            node.call(offered);
            node.now = node.now + Duration::from_millis(200);
            let result = calls::RunResult::Done { status: 200 };
            let call = ids::CallId(call);
            node.call(calls::CallEvent::RunEnded { call, result });
        }
        let first = call + 1;
        let mut admitted = 0;
        for _ in 0..20 {
            call += 1;
            let offered = calls::CallEvent::Offered {
                call: ids::CallId(call),
                offer: offer(class),
            };
            let effects = node.call(offered);
            let is_refused = |effect: &calls::CallEffect| matches!(effect, calls::CallEffect::Refuse(refused, _) if refused.0 == call);
            admitted += u32::from(!effects.iter().any(is_refused));
        }
        assert!(
            (2..=3).contains(&admitted),
            "{class}: {admitted} calls of 200 ms within 600 ms"
        );
        for ended in first..=call {
            let result = calls::RunResult::CallerGone;
            let call = ids::CallId(ended);
            node.call(calls::CallEvent::RunEnded { call, result });
        }
    }
}
