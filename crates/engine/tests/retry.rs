//! Tests of retries: only if harmless, within their budget, and without multiplying over hops.

use std::time::Duration;

use hazeltiller_engine::{calls, retry, settings};
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids, time};
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
        Self::with_entries(targets, &entries())
    }

    fn with_entries(targets: u32, entries: &Value) -> Self {
        let mut node = node::NodeReducer::new("node-1", "brasov-a", entries);
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

    /// Lets a first attempt of a `GET` request arrive.
    fn arrive_at(&mut self, path: &str) -> calls::CallEffect {
        self.last_call += 1;
        let arrival = node::arrival(self.last_call, path);
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
    let now = time::MonotonicTime::default();
    for nodes in [1, 15, 100, 1000] {
        let policy = retry::BudgetPolicy::for_retries(&tunables, nodes);
        let mut budget = retry::RetryBudget::new(now);
        (0..10_000).for_each(|_| budget.earn(&policy, now));
        let spent = (0..1000)
            .filter(|_| budget.spend(&policy, now, 1.0, 0.5).is_some())
            .count();
        assert_eq!(spent as u64, tunables.budget_reserve, "{nodes} nodes");
    }
}

/// Retries per request that the services grant, over all nodes and in any ten seconds.
const GRANTED_RATIO: f64 = 0.2;
/// Retries that the services of a fleet of 15 nodes grant in addition.
const GRANTED_SLACK: f64 = 62.0;

/// Two kinds of calls of one service, which differ in class.
fn two_classes() -> Value {
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "class", "name": "desk", "owner": "registru", "class": "counter", "rank": 2},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "desk",
         "service": "registru", "match": {"path_prefix": "/lookup"}, "limits": {"tries": 3}},
        {"kind": "route", "name": "issue", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/issue"}, "limits": {"tries": 3}},
    ])
}

/// A node of a large fleet, which sees few of its calls.
struct FleetNode {
    ingress: IngressNode,
    /// Attempts beyond the first of their call.
    retries: u32,
}

impl FleetNode {
    fn new(index: usize, nodes: usize) -> Self {
        let mut ingress = IngressNode::with_entries(3, &two_classes());
        ingress.node.state.membership.node_count = nodes;
        ingress.node.state.random = rand::SeedableRng::seed_from_u64(index as u64);
        Self {
            ingress,
            retries: 0,
        }
    }

    /// Makes one call each of `lookup` and `issue`, of whose attempts the targets shed every
    /// `shed_interval`-th.
    fn call(&mut self, attempts: &mut u32, shed_interval: Option<u32>) {
        for path in ["/lookup", "/issue"] {
            let mut effect = self.ingress.arrive_at(path);
            let mut call_attempts = 0;
            while let calls::CallEffect::Attempt(..) = effect {
                call_attempts += 1;
                *attempts += 1;
                let is_shed =
                    shed_interval.is_some_and(|interval| attempts.is_multiple_of(interval));
                effect = self.ingress.end(if is_shed {
                    let declined = refused(code::ResultCode::TargetDeclined).elsewhere();
                    calls::AttemptResult::Refused(declined)
                } else {
                    calls::AttemptResult::Answered { status: 200 }
                });
            }
            self.retries += call_attempts - 1;
            let call = ids::CallId(self.ingress.last_call);
            self.ingress.node.call(calls::CallEvent::Finished(call));
        }
    }
}

/// The nodes of a large fleet each had a few retries in reserve. When half of a service's targets
/// shed what they received, all nodes spent them within the same seconds, and the service received
/// more retries than its callers' requests entitle it to.
#[test]
fn reserves_add_up() {
    const CALLS_BEFORE: u32 = 10;
    const CALLS_WHILE_SHEDDING: u32 = 12;
    const CALL_INTERVAL: Duration = Duration::from_millis(800);
    for (nodes, shed_interval) in [(15, 2), (15, 1), (1000, 1), (2000, 2)] {
        let (mut attempts, mut requests, mut retries) = (0, 0, 0);
        for index in 0..nodes {
            let mut node = FleetNode::new(index, nodes);
            for _ in 0..CALLS_BEFORE {
                node.call(&mut attempts, None);
                node.ingress.node.now = node.ingress.node.now + CALL_INTERVAL;
            }
            for _ in 0..CALLS_WHILE_SHEDDING {
                node.call(&mut attempts, Some(shed_interval));
                node.ingress.node.now = node.ingress.node.now + CALL_INTERVAL;
            }
            requests += 2 * CALLS_WHILE_SHEDDING;
            retries += node.retries;
        }
        let granted = GRANTED_RATIO * f64::from(requests) + GRANTED_SLACK;
        assert!(
            f64::from(retries) <= granted,
            "{nodes} nodes, 1 of {shed_interval} shed: {retries} retries, {granted} granted"
        );
        let is_served = shed_interval == 1 || f64::from(retries) > 0.05 * f64::from(requests);
        assert!(is_served, "{nodes} nodes hardly retry: {retries}");
    }
}
