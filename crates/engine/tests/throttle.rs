//! Throttling at the ingress node while targets lack capacity for most calls.

use std::time::Duration;

use hazeltiller_engine::calls;
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use serde_json::{Value, json};

/// Time between consecutive calls.
const CALL_INTERVAL: Duration = Duration::from_millis(10);
/// Retry delay that targets return with their refusals.
const RETRY_DELAY_MS: u32 = 80;

fn entries() -> Value {
    let route = |name: &str| {
        json!({"kind": "route", "name": name, "owner": "registru", "class": "counter",
               "service": "registru", "match": {"path_prefix": format!("/{name}/")},
               "target_latency_ms": 300, "limits": {"deadline_ms": 2000}})
    };
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
        route("lookup"),
        route("issue"),
    ])
}

struct IngressNode {
    node: node::NodeReducer,
    last_call: u64,
    /// Code with which targets refuse calls.
    code: code::ResultCode,
}

impl IngressNode {
    fn new() -> Self {
        let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
        let identity = node::identity("node-2", "brasov-a", "ro-centru");
        node.receive_record(
            &identity,
            1,
            vec![node::target("registru-1", "registru", 4)],
        );
        Self {
            node,
            last_call: 0,
            code: code::ResultCode::LatencyUnreachable,
        }
    }

    /// Sends a call whose target accepts or refuses an offer; returns the refusal if the call is
    /// throttled without an offer.
    fn send(&mut self, path: &str, has_capacity: bool) -> Option<wire::CallRefusal> {
        self.last_call += 1;
        self.node.now = self.node.now + CALL_INTERVAL;
        let call = ids::CallId(self.last_call);
        let arrival = node::arrival(self.last_call, path);
        let effects = self.node.call(calls::CallEvent::Arrived(arrival));
        let is_offered = effects
            .iter()
            .any(|effect| matches!(effect, calls::CallEffect::Attempt(..)));
        if is_offered {
            self.end_attempt(call, has_capacity);
        }
        self.node.call(calls::CallEvent::Finished(call));
        effects.into_iter().find_map(|effect| match effect {
            calls::CallEffect::Refuse(_, refusal) => Some(refusal),
            _ => None,
        })
    }

    fn end_attempt(&mut self, call: ids::CallId, has_capacity: bool) {
        let refusal = wire::CallRefusal {
            retry_after_ms: RETRY_DELAY_MS,
            ..wire::CallRefusal::not_run(self.code).elsewhere()
        };
        let result = if has_capacity {
            calls::AttemptResult::Answered { status: 200 }
        } else {
            calls::AttemptResult::Refused(refusal)
        };
        let report = calls::AttemptReport::default();
        self.node.call(calls::CallEvent::AttemptEnded {
            call,
            result,
            report,
        });
    }

    /// Sends a hundred calls; returns how many are refused without an offer.
    fn count_refused(&mut self, path: &str, has_capacity: bool) -> usize {
        let refused = (0..100).filter(|_| self.send(path, has_capacity).is_some());
        refused.count()
    }
}

/// Most calls are refused without an offer while no target has capacity.
#[test]
fn saturated_service_throttled() {
    let mut ingress = IngressNode::new();
    ingress.count_refused("/lookup/1", false);
    let refused = ingress.count_refused("/lookup/1", false);
    assert!(refused >= 70, "{refused} of 100 refused without an offer");
    let refusal = (0..10).find_map(|_| ingress.send("/lookup/1", false));
    let refusal = refusal.expect("most calls are refused");
    assert_eq!(refusal.code, code::ResultCode::ServiceSaturated);
    assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
    let jitter = RETRY_DELAY_MS / 2..=RETRY_DELAY_MS * 3 / 2;
    assert!(jitter.contains(&refusal.retry_after_ms), "{refusal:?}");
}

/// Throttling ends once targets have capacity again.
#[test]
fn capacity_found_again() {
    let mut ingress = IngressNode::new();
    ingress.count_refused("/lookup/1", false);
    let seconds = (0..4).map(|_| ingress.count_refused("/lookup/1", true));
    let refused: Vec<usize> = seconds.collect();
    assert!(refused[3] == 0, "refused in each second: {refused:?}");
}

#[test]
fn other_route_offered() {
    let mut ingress = IngressNode::new();
    ingress.count_refused("/lookup/1", false);
    assert_eq!(ingress.count_refused("/issue/1", true), 0);
}

#[test]
fn few_calls_offered() {
    let mut ingress = IngressNode::new();
    let refused = (0..20).filter(|_| {
        ingress.node.now = ingress.node.now + Duration::from_millis(500);
        ingress.send("/lookup/1", false).is_some()
    });
    assert_eq!(
        refused.count(),
        0,
        "two calls a second are too few to throttle"
    );
}

/// A refusal for the owner's rate does not indicate a lack of capacity: calls over the rate are
/// still offered, so that their callers get the refusal that names the rate limit.
#[test]
fn rate_not_throttled() {
    let mut ingress = IngressNode::new();
    ingress.code = code::ResultCode::RateExceeded;
    let refusals = (0..200).filter_map(|_| ingress.send("/lookup/1", false));
    assert_eq!(refusals.count(), 0, "each call is offered");
}

/// A route that becomes busy after many other routes were seen is throttled: a full table evicts
/// its oldest throttle, not the new one.
#[test]
fn busy_route_remembered() {
    let mut table = calls::throttle::ThrottleTable::default();
    let name = |text: String| -> ids::EntryName { text.parse().expect("it is a name") };
    let (service, busy) = (name("registru".into()), name("lookup".into()));
    let now = hazeltiller_units::time::MonotonicTime::default();
    for number in 0..600 {
        table.refused_share(&service, &name(format!("idle-{number}")), now);
    }
    for _ in 0..20 {
        table.refused_share(&service, &busy, now);
        table.record_arrival(&service, &busy, false);
    }
    assert!(table.refused_share(&service, &busy, now) > 0.5);
}
