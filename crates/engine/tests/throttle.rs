//! Calls that are refused where they come in, while no target has room for most of them.

use std::time::Duration;

use hazeltiller_engine::calls;
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use serde_json::{Value, json};

/// Time between two calls.
const PAUSE: Duration = Duration::from_millis(10);
/// When the targets say that there will be room.
const ROOM_IN_MS: u32 = 80;

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

struct Ingress {
    node: node::NodeReducer,
    last: u64,
    /// Why targets give calls back.
    code: code::ResultCode,
}

impl Ingress {
    fn new() -> Self {
        let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
        let identity = node::identity("node-2", "brasov-a", "ro-centru");
        node.hear(
            &identity,
            1,
            vec![node::target("registru-1", "registru", 4)],
        );
        Self {
            node,
            last: 0,
            code: code::ResultCode::LatencyUnreachable,
        }
    }

    /// Has a call come; returns the refusal of one that is not offered, whose target has room or not.
    fn ask(&mut self, path: &str, has_room: bool) -> Option<wire::CallRefusal> {
        self.last += 1;
        self.node.now = self.node.now + PAUSE;
        let call = ids::CallId(self.last);
        let arrival = node::arrival(self.last, path);
        let effects = self.node.call(calls::CallEvent::Arrived(arrival));
        let is_offered = effects
            .iter()
            .any(|effect| matches!(effect, calls::CallEffect::Attempt(..)));
        if is_offered {
            self.end(call, has_room);
        }
        self.node.call(calls::CallEvent::Finished(call));
        effects.into_iter().find_map(|effect| match effect {
            calls::CallEffect::Refuse(_, refusal) => Some(refusal),
            _ => None,
        })
    }

    fn end(&mut self, call: ids::CallId, has_room: bool) {
        let full = wire::CallRefusal {
            retry_after_ms: ROOM_IN_MS,
            ..wire::CallRefusal::not_run(self.code).elsewhere()
        };
        let result = if has_room {
            calls::AttemptResult::Answered { status: 200 }
        } else {
            calls::AttemptResult::Refused(full)
        };
        let report = calls::AttemptReport::default();
        self.node.call(calls::CallEvent::AttemptEnded {
            call,
            result,
            report,
        });
    }

    /// How many of a hundred calls are refused without an offer.
    fn refused(&mut self, path: &str, has_room: bool) -> usize {
        let refused = (0..100).filter(|_| self.ask(path, has_room).is_some());
        refused.count()
    }
}

#[test]
fn full_service_not_asked() {
    let mut ingress = Ingress::new();
    ingress.refused("/lookup/1", false);
    let refused = ingress.refused("/lookup/1", false);
    assert!(refused >= 70, "{refused} of 100 without an offer");
    let refusal = (0..10).find_map(|_| ingress.ask("/lookup/1", false));
    let refusal = refusal.expect("most of them are refused");
    assert_eq!(refusal.code, code::ResultCode::ServiceSaturated);
    assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
    let spread = ROOM_IN_MS / 2..=ROOM_IN_MS * 3 / 2;
    assert!(spread.contains(&refusal.retry_after_ms), "{refusal:?}");
}

#[test]
fn room_found_again() {
    let mut ingress = Ingress::new();
    ingress.refused("/lookup/1", false);
    let seconds = (0..4).map(|_| ingress.refused("/lookup/1", true));
    let refused: Vec<usize> = seconds.collect();
    assert!(refused[3] == 0, "{refused:?} in each second");
}

#[test]
fn other_route_asked() {
    let mut ingress = Ingress::new();
    ingress.refused("/lookup/1", false);
    assert_eq!(ingress.refused("/issue/1", true), 0);
}

#[test]
fn few_calls_asked() {
    let mut ingress = Ingress::new();
    let refused = (0..20).filter(|_| {
        ingress.node.now = ingress.node.now + Duration::from_millis(500);
        ingress.ask("/lookup/1", false).is_some()
    });
    assert_eq!(refused.count(), 0, "two a second tell nothing");
}

/// A call over its owner's rate says nothing of room, and its caller is told of the rate.
#[test]
fn rate_still_told() {
    let mut ingress = Ingress::new();
    ingress.code = code::ResultCode::RateExceeded;
    let asked = (0..200).filter_map(|_| ingress.ask("/lookup/1", false));
    assert_eq!(asked.count(), 0, "each call is offered");
}

/// A busy route is still known after many others were asked for.
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
        table.note(&service, &busy, false);
    }
    assert!(table.refused_share(&service, &busy, now) > 0.5);
}
