//! Retries: where they are harmless, within their budget, and without multiplying over hops.

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

struct Ingress {
    node: node::NodeReducer,
    last: u64,
}

impl Ingress {
    fn new(targets: u32) -> Self {
        let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
        for number in 0..targets {
            let name = format!("registru-{number}");
            let identity = node::identity(&format!("node-{name}"), "brasov-a", "ro-centru");
            let targets = vec![node::target(&name, "registru", 10)];
            node.hear(&identity, 1, targets);
        }
        // Ejections are another matter.
        node.state.settings.tunables.health.ejected_percent = 0;
        Self { node, last: 0 }
    }

    fn arrive(&mut self, method: &str, attempt: u32) -> calls::CallEffect {
        self.last += 1;
        let arrival = calls::CallArrival {
            method: method.into(),
            attempt,
            ..node::arrival(self.last, "/")
        };
        self.only(calls::CallEvent::Arrived(arrival))
    }

    fn end(&mut self, result: calls::AttemptResult) -> calls::CallEffect {
        let call = ids::CallId(self.last);
        self.only(calls::CallEvent::AttemptEnded {
            call,
            result,
            report: calls::AttemptReport::default(),
        })
    }

    fn only(&mut self, event: calls::CallEvent) -> calls::CallEffect {
        let mut effects = self.node.call(event);
        assert_eq!(effects.len(), 1, "{effects:?}");
        effects.remove(0)
    }
}

/// What follows the end of a first try.
#[derive(Debug, PartialEq)]
enum Follow {
    Again,
    Refused(wire::CallOutcome),
    Passed,
}

fn follow(effect: &calls::CallEffect) -> Follow {
    match effect {
        calls::CallEffect::Attempt(..) => Follow::Again,
        calls::CallEffect::Refuse(_, refusal) => Follow::Refused(refusal.outcome),
        _ => Follow::Passed,
    }
}

#[test]
fn harmless_only() {
    let failed = || wire::CallRefusal::unknown(code::ResultCode::TargetFailed);
    let full = || refused(code::ResultCode::CapacityExceeded);
    let answered = |status| calls::AttemptResult::Answered { status };
    let not_run = Follow::Refused(wire::CallOutcome::NotRun);
    let unknown = || Follow::Refused(wire::CallOutcome::Unknown);
    let table = [
        ("POST", 1, calls::AttemptResult::NotReached, Follow::Again),
        ("POST", 1, calls::AttemptResult::Lost, unknown()),
        ("GET", 1, calls::AttemptResult::Lost, Follow::Again),
        ("GET", 2, calls::AttemptResult::Lost, unknown()),
        ("GET", 2, calls::AttemptResult::NotReached, Follow::Again),
        (
            "GET",
            1,
            calls::AttemptResult::Refused(failed()),
            Follow::Again,
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
            Follow::Again,
        ),
        ("GET", 1, calls::AttemptResult::Refused(full()), not_run),
        ("GET", 1, answered(200), Follow::Passed),
        ("GET", 1, answered(500), Follow::Passed),
        ("GET", 1, answered(503), Follow::Again),
        ("POST", 1, answered(503), Follow::Passed),
        ("GET", 2, answered(503), Follow::Passed),
    ];
    for (method, attempt, result, expected) in table {
        let mut ingress = Ingress::new(3);
        ingress.arrive(method, attempt);
        let text = format!("{method} attempt {attempt} {result:?}");
        assert_eq!(follow(&ingress.end(result)), expected, "{text}");
    }
}

#[test]
fn other_target_each_try() {
    // The route's tries are those that a target was sent; nodes that took nothing are searched
    // beyond them, a bounded number of times.
    let declined = refused(code::ResultCode::TargetDeclined).elsewhere();
    let declined = calls::AttemptResult::Refused(declined);
    let searched = settings::RetryTunables::default().leaving_placements as usize;
    let table = [
        (declined, 3, "the route's tries"),
        (
            calls::AttemptResult::NotReached,
            3 + searched,
            "and the search for a place",
        ),
    ];
    for (result, count, what) in table {
        let mut ingress = Ingress::new(9);
        let mut tried = Vec::new();
        let mut effect = ingress.arrive("GET", 1);
        while let calls::CallEffect::Attempt(_, plan) = &effect {
            tried.push((plan.offer.target.clone(), plan.offer.attempt));
            effect = ingress.end(result.clone());
        }
        assert_eq!(tried.len(), count, "{what}");
        assert_eq!(tried[2].1, 3, "the try's number travels along");
        let targets: indexmap::IndexSet<_> = tried.iter().map(|(target, _)| target).collect();
        assert_eq!(targets.len(), count, "another target each time");
        let calls::CallEffect::Refuse(_, refusal) = effect else {
            panic!("no try is left: {effect:?}");
        };
        assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
    }
}

#[test]
fn proof_covers_all_tries() {
    let mut ingress = Ingress::new(5);
    ingress.arrive("GET", 1);
    ingress.end(calls::AttemptResult::Lost);
    let full = refused(code::ResultCode::CapacityExceeded);
    let effect = ingress.end(calls::AttemptResult::Refused(full));
    let unknown = Follow::Refused(wire::CallOutcome::Unknown);
    assert_eq!(follow(&effect), unknown, "the first try may have run");
}

#[test]
fn no_target_left() {
    let mut ingress = Ingress::new(1);
    ingress.arrive("GET", 1);
    let shed = calls::AttemptResult::Answered { status: 503 };
    assert_eq!(follow(&ingress.end(shed)), Follow::Passed);
}

#[test]
fn too_late() {
    let mut ingress = Ingress::new(3);
    ingress.arrive("GET", 1);
    ingress.node.now = ingress.node.now + Duration::from_secs(5);
    let effect = ingress.end(calls::AttemptResult::NotReached);
    assert_eq!(follow(&effect), Follow::Refused(wire::CallOutcome::NotRun));
}

/// Tries that `count` calls make when the share of `good` in ten of the first tries is answered.
fn tries(ingress: &mut Ingress, count: u32, good: u32) -> u32 {
    let mut tries = 0;
    for number in 0..count {
        let mut effect = ingress.arrive("GET", 1);
        let is_good = number % 10 < good;
        while let calls::CallEffect::Attempt(..) = effect {
            tries += 1;
            effect = if is_good {
                ingress.end(calls::AttemptResult::Answered { status: 200 })
            } else {
                ingress.end(calls::AttemptResult::Lost)
            };
        }
        let call = ids::CallId(ingress.last);
        ingress.node.call(calls::CallEvent::Finished(call));
    }
    tries
}

#[test]
fn budget_kept() {
    let mut ingress = Ingress::new(3);
    assert_eq!(
        tries(&mut ingress, 1000, 0),
        1003,
        "the reserve and no more"
    );
    let mut ingress = Ingress::new(3);
    let half = tries(&mut ingress, 1000, 5);
    let range = 1050..=1053;
    assert!(
        range.contains(&half),
        "a tenth of the good ones, and the reserve: {half}"
    );
}

#[test]
fn leaving_costs_none() {
    let mut ingress = Ingress::new(3);
    tries(&mut ingress, 10, 0);
    let leaving = refused(code::ResultCode::NodeStopping).elsewhere();
    let leaving = calls::AttemptResult::Refused(leaving);
    for result in [leaving, calls::AttemptResult::NotReached] {
        ingress.arrive("POST", 2);
        let effect = ingress.end(result);
        assert_eq!(follow(&effect), Follow::Again, "the budget is spent");
    }
}

#[test]
fn nine_hops() {
    // A chain whose hops each see what the next one answers; the deepest service fails whole.
    const HOPS: usize = 9;
    const CALLS: u32 = 500;
    let mut hops: Vec<Ingress> = (0..HOPS).map(|_| Ingress::new(3)).collect();
    let mut sent = [0_u32; HOPS];
    for _ in 0..CALLS {
        call_hop(&mut hops, &mut sent, 0, 1);
    }
    let all: u32 = sent.iter().sum();
    let callers = CALLS * HOPS as u32;
    assert!(all * 10 < callers * 12, "{sent:?}");
    assert!(sent[HOPS - 1] * 10 < CALLS * 12, "{sent:?}");
}

/// Sends a call at one hop; returns the status that its caller sees.
fn call_hop(hops: &mut [Ingress], sent: &mut [u32], depth: usize, attempt: u32) -> u16 {
    let mut effect = hops[depth].arrive("GET", attempt);
    loop {
        let calls::CallEffect::Attempt(_, plan) = &effect else {
            return 503;
        };
        sent[depth] += 1;
        let attempt = plan.offer.attempt;
        let call = ids::CallId(hops[depth].last);
        let result = if depth + 1 == hops.len() {
            calls::AttemptResult::Refused(wire::CallRefusal::unknown(
                code::ResultCode::TargetFailed,
            ))
        } else {
            let status = call_hop(hops, sent, depth + 1, attempt);
            calls::AttemptResult::Answered { status }
        };
        effect = hops[depth].only(calls::CallEvent::AttemptEnded {
            call,
            result,
            report: calls::AttemptReport::default(),
        });
        if let calls::CallEffect::ForwardAnswer(_) = effect {
            return 503;
        }
    }
}

#[test]
fn reserve_is_most() {
    let tunables = settings::RetryTunables::default();
    let mut budget = retry::RetryBudget::new(retry::BudgetTerms::of_retries(&tunables));
    (0..10_000).for_each(|_| budget.earn());
    let spent = (0..1000).filter(|_| budget.spend()).count();
    assert_eq!(spent as u64, tunables.budget_reserve);
}
