//! Tests of retries: only if harmless, within their budget, and without multiplying over hops.

use std::time::Duration;

use hazeltiller_engine::{calls, retry, settings};
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use serde_json::{Value, json};

fn entries() -> Value {
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/"}, "limits": {"tries": 3}},
    ])
}

fn refused(code: code::ResultCode) -> wire::CallRefusal {
    wire::CallRefusal::not_run(code)
}

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
            let targets = vec![node::target(&name, "registru", 10)];
            node.receive_record(&identity, 1, targets);
        }
        // Ejection would remove targets from selection.
        node.state.settings.tunables.health.ejected_percent = 0;
        Self { node, last_call: 0 }
    }

    fn arrive(&mut self, method: &str, attempt: u32) -> calls::CallEffect {
        self.last_call += 1;
        let arrival = calls::CallArrival {
            method: method.into(),
            attempt,
            ..node::arrival(self.last_call, "/")
        };
        self.single_effect(calls::CallEvent::Arrived(arrival))
    }

    fn end(&mut self, result: calls::AttemptResult) -> calls::CallEffect {
        let call = ids::CallId(self.last_call);
        self.single_effect(calls::CallEvent::AttemptEnded {
            call,
            result,
            report: calls::AttemptReport::default(),
        })
    }

    /// Returns the only effect of an event.
    fn single_effect(&mut self, event: calls::CallEvent) -> calls::CallEffect {
        let mut effects = self.node.call(event);
        assert_eq!(effects.len(), 1, "{effects:?}");
        effects.remove(0)
    }
}

/// What the ingress node does after the first attempt.
#[derive(Debug, PartialEq)]
enum FollowUp {
    Retried,
    Refused(wire::CallOutcome),
    Forwarded,
}

fn follow_up(effect: &calls::CallEffect) -> FollowUp {
    match effect {
        calls::CallEffect::Attempt(..) => FollowUp::Retried,
        calls::CallEffect::Refuse(_, refusal) => FollowUp::Refused(refusal.outcome),
        _ => FollowUp::Forwarded,
    }
}

#[test]
fn harmless_only() {
    let failed = || wire::CallRefusal::unknown(code::ResultCode::TargetFailed);
    let full = || refused(code::ResultCode::CapacityExceeded);
    let answered = |status| calls::AttemptResult::Answered { status };
    let not_run = FollowUp::Refused(wire::CallOutcome::NotRun);
    let unknown = || FollowUp::Refused(wire::CallOutcome::Unknown);
    let table = [
        (
            "POST",
            1,
            calls::AttemptResult::NotReached,
            FollowUp::Retried,
        ),
        ("POST", 1, calls::AttemptResult::Lost, unknown()),
        ("GET", 1, calls::AttemptResult::Lost, FollowUp::Retried),
        ("GET", 2, calls::AttemptResult::Lost, unknown()),
        (
            "GET",
            2,
            calls::AttemptResult::NotReached,
            FollowUp::Retried,
        ),
        (
            "GET",
            1,
            calls::AttemptResult::Refused(failed()),
            FollowUp::Retried,
        ),
        (
            "POST",
            1,
            calls::AttemptResult::Refused(failed()),
            unknown(),
        ),
        (
            "POST",
            1,
            calls::AttemptResult::Refused(full().elsewhere()),
            FollowUp::Retried,
        ),
        ("GET", 1, calls::AttemptResult::Refused(full()), not_run),
        ("GET", 1, answered(200), FollowUp::Forwarded),
        ("GET", 1, answered(500), FollowUp::Forwarded),
        ("GET", 1, answered(503), FollowUp::Retried),
        ("POST", 1, answered(503), FollowUp::Forwarded),
        ("GET", 2, answered(503), FollowUp::Forwarded),
    ];
    for (method, attempt, result, expected) in table {
        let mut ingress = IngressNode::new(3);
        ingress.arrive(method, attempt);
        let text = format!("{method} attempt {attempt} {result:?}");
        assert_eq!(follow_up(&ingress.end(result)), expected, "{text}");
    }
}

#[test]
fn other_target_each_try() {
    // The route's limit counts attempts that were sent to a target. Attempts at nodes that were not
    // reached are made in addition, up to a bound.
    let declined = refused(code::ResultCode::TargetDeclined).elsewhere();
    let declined = calls::AttemptResult::Refused(declined);
    let free_placements = settings::RetryTunables::default().leaving_placements as usize;
    let table = [
        (declined, 3, "the route's limit"),
        (
            calls::AttemptResult::NotReached,
            3 + free_placements,
            "the route's limit and free placements",
        ),
    ];
    for (result, count, what) in table {
        let mut ingress = IngressNode::new(9);
        let mut attempted = Vec::new();
        let mut effect = ingress.arrive("GET", 1);
        while let calls::CallEffect::Attempt(_, plan) = &effect {
            attempted.push((plan.offer.target.clone(), plan.offer.attempt));
            effect = ingress.end(result.clone());
        }
        assert_eq!(attempted.len(), count, "{what}");
        assert_eq!(attempted[2].1, 3, "the offer carries the attempt number");
        let targets: indexmap::IndexSet<_> = attempted.iter().map(|(target, _)| target).collect();
        assert_eq!(targets.len(), count, "each attempt goes to another target");
        let calls::CallEffect::Refuse(_, refusal) = effect else {
            panic!("no attempt is left: {effect:?}");
        };
        assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
    }
}

#[test]
fn proof_covers_all_tries() {
    let mut ingress = IngressNode::new(5);
    ingress.arrive("GET", 1);
    ingress.end(calls::AttemptResult::Lost);
    let full = refused(code::ResultCode::CapacityExceeded);
    let effect = ingress.end(calls::AttemptResult::Refused(full));
    let unknown = FollowUp::Refused(wire::CallOutcome::Unknown);
    assert_eq!(
        follow_up(&effect),
        unknown,
        "the first attempt may have run"
    );
}

#[test]
fn no_target_left() {
    let mut ingress = IngressNode::new(1);
    ingress.arrive("GET", 1);
    let shed = calls::AttemptResult::Answered { status: 503 };
    assert_eq!(follow_up(&ingress.end(shed)), FollowUp::Forwarded);
}

#[test]
fn too_late() {
    let mut ingress = IngressNode::new(3);
    ingress.arrive("GET", 1);
    ingress.node.now = ingress.node.now + Duration::from_secs(5);
    let effect = ingress.end(calls::AttemptResult::NotReached);
    assert_eq!(
        follow_up(&effect),
        FollowUp::Refused(wire::CallOutcome::NotRun)
    );
}

/// Sends `count` calls, of which `successes` in ten are answered and the others lost at every
/// attempt; returns the number of attempts.
fn count_attempts(ingress: &mut IngressNode, count: u32, successes: u32) -> u32 {
    let mut attempts = 0;
    for number in 0..count {
        let mut effect = ingress.arrive("GET", 1);
        let is_success = number % 10 < successes;
        while let calls::CallEffect::Attempt(..) = effect {
            attempts += 1;
            effect = if is_success {
                ingress.end(calls::AttemptResult::Answered { status: 200 })
            } else {
                ingress.end(calls::AttemptResult::Lost)
            };
        }
        let call = ids::CallId(ingress.last_call);
        ingress.node.call(calls::CallEvent::Finished(call));
    }
    attempts
}

#[test]
fn budget_kept() {
    let mut ingress = IngressNode::new(3);
    assert_eq!(
        count_attempts(&mut ingress, 1000, 0),
        1003,
        "the initial budget and no more"
    );
    let mut ingress = IngressNode::new(3);
    let half = count_attempts(&mut ingress, 1000, 5);
    let range = 1050..=1053;
    assert!(
        range.contains(&half),
        "a tenth of the successful calls, and the initial budget: {half}"
    );
}

#[test]
fn leaving_costs_none() {
    let mut ingress = IngressNode::new(3);
    count_attempts(&mut ingress, 10, 0);
    let leaving = refused(code::ResultCode::NodeStopping).elsewhere();
    let leaving = calls::AttemptResult::Refused(leaving);
    for result in [leaving, calls::AttemptResult::NotReached] {
        ingress.arrive("POST", 2);
        let effect = ingress.end(result);
        assert_eq!(follow_up(&effect), FollowUp::Retried, "the budget is spent");
    }
}

#[test]
fn nine_hops() {
    // In a chain of services, each hop receives the status of the next one; all runs of the last
    // service fail.
    const HOP_COUNT: usize = 9;
    const CALLS: u32 = 500;
    let mut hops: Vec<IngressNode> = (0..HOP_COUNT).map(|_| IngressNode::new(3)).collect();
    let mut sent = [0_u32; HOP_COUNT];
    for _ in 0..CALLS {
        call_hop(&mut hops, &mut sent, 0, 1);
    }
    let all: u32 = sent.iter().sum();
    let callers = CALLS * HOP_COUNT as u32;
    assert!(all * 10 < callers * 12, "{sent:?}");
    assert!(sent[HOP_COUNT - 1] * 10 < CALLS * 12, "{sent:?}");
}

/// Sends a call at one hop and counts its attempts there in `sent`; returns the status that the
/// caller receives.
fn call_hop(hops: &mut [IngressNode], sent: &mut [u32], depth: usize, attempt: u32) -> u16 {
    let mut effect = hops[depth].arrive("GET", attempt);
    loop {
        let calls::CallEffect::Attempt(_, plan) = &effect else {
            return 503;
        };
        sent[depth] += 1;
        let attempt = plan.offer.attempt;
        let call = ids::CallId(hops[depth].last_call);
        let result = if depth + 1 == hops.len() {
            calls::AttemptResult::Refused(wire::CallRefusal::unknown(
                code::ResultCode::TargetFailed,
            ))
        } else {
            let status = call_hop(hops, sent, depth + 1, attempt);
            calls::AttemptResult::Answered { status }
        };
        effect = hops[depth].single_effect(calls::CallEvent::AttemptEnded {
            call,
            result,
            report: calls::AttemptReport::default(),
        });
        if let calls::CallEffect::ForwardResponse(_) = effect {
            return 503;
        }
    }
}

#[test]
fn budget_capped() {
    let tunables = settings::RetryTunables::default();
    let mut budget = retry::RetryBudget::new(retry::BudgetPolicy::for_retries(&tunables));
    (0..10_000).for_each(|_| budget.earn());
    let spent = (0..1000).filter(|_| budget.spend()).count();
    assert_eq!(spent as u64, tunables.budget_reserve);
}
