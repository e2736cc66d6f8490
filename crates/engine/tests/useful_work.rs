//! Work that is of use under overload: calls of every class are held to their target latency, and a
//! call is not turned away for its queue wait if nothing pays for another offer.

use std::time::Duration;

use hazeltiller_engine::calls;
use hazeltiller_testkit::{model, node};
use hazeltiller_units::ids;
use hazeltiller_wire::calls as wire;
use serde_json::{Value, json};

/// Target latency of issues.
const TARGET_LATENCY: Duration = Duration::from_millis(300);
/// Duration of the overload.
const OVERLOAD_TIME: Duration = Duration::from_secs(10);
/// Calls that the targets can run, per second: two targets of four slots with runs of 100 ms.
const CAPACITY: f64 = 80.0;
/// Rate of the issues, by which they exceed the capacity without any other class.
const OVERLOAD: f64 = 1.6;
/// Part of the goodput of the lowest-priority class that a class of higher priority must reach in
/// the same overload.
const MIN_GOODPUT_RATIO: f64 = 0.9;

/// Returns entries in which issues have a class of this rank and few lookups of rank 2 go to the same
/// service.
fn entries(issue_rank: u32) -> Value {
    let route = |name: &str, class: &str, latency_ms: u32| {
        json!({"kind": "route", "name": name, "owner": "registru", "class": class,
               "service": "registru", "match": {"path_prefix": format!("/{name}/")},
               "idempotent": true, "target_latency_ms": latency_ms,
               "limits": {"deadline_ms": 1500}})
    };
    json!([
        {"kind": "class", "name": "urgent", "owner": "registru", "class": "urgent", "rank": issue_rank,
         "limits": {"queue_ms": 60_000}},
        {"kind": "class", "name": "common", "owner": "registru", "class": "urgent", "rank": 2,
         "limits": {"queue_ms": 60_000}},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "urgent"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "urgent",
         "limits": {"queue": 200}},
        route("issue", "urgent", 300),
        route("lookup", "common", 600),
    ])
}

/// Returns the share of the capacity that was used for issues answered in time while issues alone
/// exceed the capacity.
fn useful_share(seed: u64, issue_rank: u32, latency_for_all: u64) -> f64 {
    let target = model::ModelTarget {
        service_name: "registru",
        slots: 4,
        announced_slots: 4,
        mean_run_time: Duration::from_millis(100),
        queue_capacity: 40,
        is_broken: false,
    };
    let settings = model::ModelSettings {
        seed,
        ingresses: 3,
        targets: vec![target, target],
        entries: entries(issue_rank),
        link: Duration::from_millis(1),
        policy: model::BalancingPolicy::Reducer,
    };
    let kinds = [
        model::CallKind::plain("/issue/7", CAPACITY * OVERLOAD),
        model::CallKind::plain("/lookup/7", 1.0),
    ];
    let mut model = model::CallModel::new(settings)
        .with_ingresses(|node| node.state.settings.tunables.routing.compared = 3)
        .with_owners(|node| {
            node.state.settings.tunables.admission.latency_for_all = latency_for_all;
            // A call at the ingress side of a node builds its route table.
            node.call(calls::CallEvent::Arrived(node::arrival(1, "/lookup/7")));
            node.call(calls::CallEvent::Finished(ids::CallId(1)));
        });
    let counts = model.run(&kinds, OVERLOAD_TIME);
    let in_time = counts[0].count_within(TARGET_LATENCY) as f64;
    in_time / (CAPACITY * OVERLOAD_TIME.as_secs_f64())
}

/// A class that exceeds the capacity by itself is not served late as a whole, whatever its priority.
#[test]
fn urgent_in_time() {
    for seed in 1..=3 {
        let lowest = useful_share(seed, 3, 0);
        let [kept, held] = [0, 1].map(|latency_for_all| useful_share(seed, 1, latency_for_all));
        println!(
            "seed {seed}: in time, lowest class {lowest:.3}, urgent {kept:.3}, held {held:.3}"
        );
        assert!(kept < lowest * MIN_GOODPUT_RATIO, "seed {seed}: {kept:.3}");
        assert!(held >= lowest * MIN_GOODPUT_RATIO, "seed {seed}: {held:.3}");
    }
}

/// Sends one call to a node that knows two targets, and returns its offer.
fn offer(funded_patience: u64, placement_reserve: u64) -> wire::CallOffer {
    let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries(1));
    let tunables = &mut node.state.settings.tunables;
    tunables.routing.compared = 3;
    tunables.retry.free_placements = 3;
    tunables.retry.funded_patience = funded_patience;
    tunables.retry.placement_reserve = placement_reserve;
    for (number, name) in [(2, "registru-2"), (3, "registru-3")] {
        let identity = node::identity(&format!("node-{number}"), "brasov-a", "ro-centru");
        node.receive_record(&identity, 1, vec![node::target(name, "registru", 4)]);
    }
    let arrival = node::arrival(1, "/issue/7");
    let effects = node.call(calls::CallEvent::Arrived(arrival));
    let plan = effects.into_iter().find_map(|effect| match effect {
        calls::CallEffect::Attempt(ids::CallId(1), plan) => Some(plan),
        _ => None,
    });
    plan.expect("a target is available").offer
}

/// An offer lets the owner node turn the call away only if another offer would be made.
#[test]
fn patience_funded() {
    assert!(offer(1, 10).patience_ms < u32::MAX);
    assert_eq!(offer(1, 0).patience_ms, u32::MAX);
    assert!(offer(0, 0).patience_ms < u32::MAX, "switched off");
}

/// An owner node with one target of one slot, whose runs are known to take 100 ms.
struct OwnerNode {
    node: node::NodeReducer,
    last_call: u64,
}

impl OwnerNode {
    const RUN_TIME: Duration = Duration::from_millis(100);

    fn new(overdue_calm_ms: u64) -> Self {
        let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries(1));
        let tunables = &mut node.state.settings.tunables.admission;
        tunables.latency_for_all = 1;
        tunables.overdue_calm_ms = overdue_calm_ms;
        node.announce(node::target("registru-1", "registru", 1));
        let mut owner_node = Self { node, last_call: 0 };
        for _ in 0..5 {
            assert!(owner_node.offer(300).is_none(), "the target is idle");
            owner_node.end_run(owner_node.last_call);
        }
        owner_node
    }

    /// Offers an issue with a rest of its target latency; returns the refusal, if it is refused.
    fn offer(&mut self, latency_left_ms: u32) -> Option<wire::CallRefusal> {
        self.last_call += 1;
        let call = ids::CallId(self.last_call);
        let offer = wire::CallOffer {
            route: "issue".parse().expect("it is a name"),
            deadline_left_ms: 1200,
            latency_left_ms,
            ..node::offer("registru-1", "registru", "urgent")
        };
        let effects = self.node.call(calls::CallEvent::Offered { call, offer });
        effects.into_iter().find_map(|effect| match effect {
            calls::CallEffect::Refuse(refused, refusal) if refused == call => Some(refusal),
            _ => None,
        })
    }

    fn end_run(&mut self, call: u64) {
        self.node.now = self.node.now + Self::RUN_TIME;
        self.node.call(calls::CallEvent::RunEnded {
            call: ids::CallId(call),
            result: calls::RunResult::Done { status: 200 },
        });
    }

    /// Offers calls until one is turned away, and ends the runs of the others.
    fn overload(&mut self) {
        let first = self.last_call + 1;
        while self.offer(300).is_none() {}
        (first..self.last_call).for_each(|call| self.end_run(call));
    }
}

/// A call that can only be answered late takes no slot that another call was just refused.
#[test]
fn overdue_yields() {
    let mut owner_node = OwnerNode::new(500);
    owner_node.overload();
    assert!(owner_node.offer(0).is_some(), "another was just refused");
    assert!(owner_node.offer(300).is_none(), "a call in time runs");
    owner_node.end_run(owner_node.last_call);
    owner_node.node.now = owner_node.node.now + Duration::from_millis(500);
    assert!(owner_node.offer(0).is_none(), "the target has been calm");

    let mut owner_node = OwnerNode::new(0);
    owner_node.overload();
    assert!(owner_node.offer(0).is_none(), "switched off");
}
