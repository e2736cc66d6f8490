//! Tests of route matching and target selection.

use std::{sync::Arc, time::Duration};

use hazeltiller_engine::{calls, event, routing::index};
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire, membership, message};
use indexmap::IndexMap;
use serde_json::{Value, json};

fn route(name: &str, host: Option<&str>, prefix: &str, methods: &[&str]) -> Value {
    json!({"kind": "route", "name": name, "owner": "registru", "class": "counter",
           "service": "registru", "spill": name != "near",
           "match": {"host": host, "path_prefix": prefix, "methods": methods}})
}

fn entries() -> Value {
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
         "slow_start_ms": 10_000},
        route("any", None, "/", &[]),
        route("near", None, "/near", &[]),
        route("vehicles", None, "/vehicles", &["GET"]),
        route("reports", None, "/vehicles/reports", &["GET"]),
        route("named", Some("arhiva.ro"), "/vehicles", &[]),
    ])
}

#[test]
fn longest_wins() {
    let node = node::NodeReducer::new("node-1", "brasov-a", &entries());
    let catalogue = &node.state.dissemination.in_force;
    let index = index::RouteIndex::build(catalogue);
    let table = [
        (None, "/", "GET", "any"),
        (None, "/vehicles/7", "GET", "vehicles"),
        (None, "/vehicles/7", "POST", "any"),
        (None, "/vehicles/reports/7", "GET", "reports"),
        (Some("arhiva.ro"), "/vehicles/7", "GET", "named"),
        (Some("arhiva.ro"), "/vehicles/reports/7", "GET", "reports"),
        (Some("arhiva.ro"), "/other", "GET", "any"),
        (Some("else.ro"), "/vehicles", "GET", "vehicles"),
        (None, "/véhicule", "GET", "any"),
    ];
    for (host, path, method, expected) in table {
        let found = index.find(catalogue, host, path, method);
        let found = found.map(|route| route.name.as_str());
        assert_eq!(found, Some(expected), "{host:?} {method} {path}");
    }
    assert!(index.find(catalogue, None, "", "GET").is_none());
}

/// An ingress node with targets on other nodes.
struct IngressNode {
    node: node::NodeReducer,
    last_call: u64,
    service_us: fn(&str) -> u32,
}

impl IngressNode {
    /// Creates targets given as (name, data centre, region, slots), each on a node of its own.
    fn new(targets: &[(&str, &str, &str, u32)]) -> Self {
        let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
        for (name, data_centre, region, slots) in targets {
            let identity = node::identity(&format!("node-{name}"), data_centre, region);
            let targets = vec![node::target(name, "registru", *slots)];
            node.receive_record(&identity, 1, targets);
        }
        Self {
            node,
            last_call: 0,
            service_us: |_| 1000,
        }
    }

    /// Returns the id and target of a new call; `None` if the call was refused.
    fn arrive(&mut self, path: &str) -> Option<(ids::CallId, String)> {
        self.last_call += 1;
        let arrival = node::arrival(self.last_call, path);
        let effects = self.node.call(calls::CallEvent::Arrived(arrival));
        let target = effects.into_iter().find_map(|effect| match effect {
            calls::CallEffect::Attempt(_, plan) => Some(plan.offer.target.to_string()),
            _ => None,
        })?;
        Some((ids::CallId(self.last_call), target))
    }

    fn answer(&mut self, call: ids::CallId, load: Option<wire::LoadReport>) {
        let result = calls::AttemptResult::Answered { status: 200 };
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

    /// Counts the targets of `count` calls that are answered at once with the in-flight number
    /// `load` in their report.
    fn spread(
        &mut self,
        path: &str,
        count: u32,
        load: impl Fn(&str) -> u32,
    ) -> IndexMap<String, u32> {
        let mut spread = IndexMap::new();
        for _ in 0..count {
            let (call, target) = self.arrive(path).expect("there are targets");
            let report = wire::LoadReport {
                in_flight: load(&target),
                queued: 0,
                slots: 10,
                service_us: (self.service_us)(&target),
                route_us: (self.service_us)(&target),
                is_failing: false,
            };
            self.answer(call, Some(report));
            *spread.entry(target).or_default() += 1;
        }
        spread
    }
}

const NEAR: (&str, &str, &str, u32) = ("near", "brasov-a", "ro-centru", 10);
const SECOND_NEAR: (&str, &str, &str, u32) = ("near-2", "brasov-a", "ro-centru", 10);
const REGION: (&str, &str, &str, u32) = ("region", "sibiu-a", "ro-centru", 10);
const REMOTE: (&str, &str, &str, u32) = ("remote", "iasi-a", "ro-est", 10);

#[test]
fn near_first() {
    let mut ingress = IngressNode::new(&[REMOTE, REGION, NEAR]);
    let spread = ingress.spread("/", 50, |_| 3);
    assert_eq!(spread, IndexMap::from([("near".into(), 50)]));
}

#[test]
fn spills_by_pressure() {
    let mut ingress = IngressNode::new(&[REMOTE, REGION, NEAR]);
    let full = |target: &str| if target == "near" { 15 } else { 2 };
    let spread = ingress.spread("/", 50, full);
    assert!(spread["region"] >= 45, "{spread:?}");
    assert!(!spread.contains_key("remote"), "{spread:?}");
    let stays = ingress.spread("/near", 50, full);
    assert_eq!(stays, IndexMap::from([("near".into(), 50)]));
}

#[test]
fn none_near_without_spill() {
    let mut ingress = IngressNode::new(&[REGION, REMOTE]);
    assert_eq!(ingress.arrive("/near"), None);
    assert!(ingress.arrive("/").is_some());
}

#[test]
fn own_calls_counted() {
    let mut ingress = IngressNode::new(&[NEAR, SECOND_NEAR]);
    let mut counts = IndexMap::<String, u32>::new();
    for _ in 0..10 {
        let (_, target) = ingress.arrive("/").expect("there are targets");
        *counts.entry(target).or_default() += 1;
    }
    assert_eq!(
        counts["near"], 5,
        "unanswered calls count as load: {counts:?}"
    );
}

#[test]
fn slow_gets_less() {
    let mut ingress = IngressNode::new(&[NEAR, SECOND_NEAR]);
    ingress.service_us = |target| if target == "near" { 5000 } else { 1000 };
    let spread = ingress.spread("/", 100, |_| 3);
    assert!(spread["near"] <= 2, "it is five times slower: {spread:?}");
    let full = |target: &str| if target == "near" { 1 } else { 30 };
    let spread = ingress.spread("/", 100, full);
    assert!(spread["near"] >= 98, "the fast target is full: {spread:?}");
    let mut ingress = IngressNode::new(&[NEAR, SECOND_NEAR]);
    ingress.service_us = |target| if target == "near" { 1300 } else { 1000 };
    let spread = ingress.spread("/", 100, |_| 3);
    assert!(
        spread["near"] >= 30,
        "the difference is within measurement error: {spread:?}"
    );
}

#[test]
fn reports_fade() {
    let mut ingress = IngressNode::new(&[NEAR, SECOND_NEAR]);
    let spread = ingress.spread("/", 100, |target| if target == "near" { 9 } else { 1 });
    assert!(spread["near"] <= 2, "{spread:?}");
    ingress.node.advance(Duration::from_secs(30));
    let spread = ingress.spread("/", 100, |_| 1);
    assert!(
        spread["near"] >= 30,
        "the old report has decayed: {spread:?}"
    );
}

#[test]
fn new_starts_slowly() {
    let mut ingress = IngressNode::new(&[NEAR]);
    ingress.spread("/", 10, |_| 0);
    let identity = node::identity("node-new", "brasov-a", "ro-centru");
    let new = vec![node::target("new", "registru", 10)];
    ingress.node.receive_record(&identity, 1, new);
    let load = |_: &str| 1;
    let mut shares = Vec::new();
    for _ in 0..3 {
        shares.push(ingress.spread("/", 1000, load)["new"]);
        ingress.node.advance(Duration::from_secs(5));
    }
    assert!(
        (20..=150).contains(&shares[0]),
        "a tenth of its share at first: {shares:?}"
    );
    assert!(
        (180..=380).contains(&shares[1]),
        "half of its share at half time: {shares:?}"
    );
    assert!(
        (400..=600).contains(&shares[2]),
        "its full share at the end: {shares:?}"
    );
}

#[test]
fn leaving_is_out() {
    let mut ingress = IngressNode::new(&[NEAR, SECOND_NEAR]);
    ingress.spread("/", 10, |_| 0);
    let identity = node::identity("node-near", "brasov-a", "ro-centru");
    let mut record = node::target("near", "registru", 10);
    record.state = hazeltiller_wire::membership::TargetState::Draining;
    ingress.node.receive_record(&identity, 2, vec![record]);
    let spread = ingress.spread("/", 50, |_| 0);
    assert_eq!(spread, IndexMap::from([("near-2".into(), 50)]));
}

#[test]
fn silent_is_last() {
    let mut ingress = IngressNode::new(&[NEAR]);
    // No messages arrive for long enough that membership considers the node unreachable.
    for _ in 0..600 {
        ingress.node.advance(Duration::from_millis(100));
    }
    let near: ids::InstanceName = "node-near".parse().expect("it is a name");
    assert!(!ingress.node.state.membership.is_reachable(&near));
    let identity = node::identity("node-region", "sibiu-a", "ro-centru");
    let region = vec![node::target("region", "registru", 10)];
    ingress.node.receive_record(&identity, 1, region);
    let spread = ingress.spread("/", 20, |_| 0);
    assert_eq!(spread, IndexMap::from([("region".into(), 20)]));
    let chosen = ingress.arrive("/near").map(|(_, target)| target);
    assert_eq!(
        chosen.as_deref(),
        Some("near"),
        "an unreachable target is the last resort"
    );
}

/// A caller that is refused because there is no catalogue or no target is told when to retry.
#[test]
fn retry_after_given() {
    let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
    let held = Arc::clone(&node.state.dissemination.in_force);
    let absent = Arc::default();
    let table = [
        (held, code::ResultCode::TargetMissing, 750..=1500),
        (absent, code::ResultCode::CatalogueMissing, 375..=750),
    ];
    for (call, (catalogue, code, retry_after_ms)) in table.into_iter().enumerate() {
        node.state.dissemination.in_force = catalogue;
        let arrival = node::arrival(call as u64, "/");
        let effects = node.call(calls::CallEvent::Arrived(arrival));
        let [calls::CallEffect::Refuse(_, refusal)] = effects.as_slice() else {
            panic!("there is no catalogue or no target: {effects:?}");
        };
        assert_eq!(refusal.code, code);
        assert!(
            retry_after_ms.contains(&refusal.retry_after_ms),
            "{refusal:?}"
        );
    }
}

/// A node that had heard of a later catalogue told callers that a route which it lacked did not exist.
#[test]
fn outdated_not_final() {
    let entries = json!(&entries().as_array().expect("a JSON array")[..3]);
    let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries);
    let held = node.state.dissemination.in_force.version;
    let refusal = |node: &mut node::NodeReducer| {
        let arrival = node::arrival(1, "/vehicles");
        let effects = node.call(calls::CallEvent::Arrived(arrival));
        let [calls::CallEffect::Refuse(_, refusal)] = effects.as_slice() else {
            panic!("the node has no route: {effects:?}");
        };
        refusal.clone()
    };
    assert_eq!(refusal(&mut node).code, code::ResultCode::RouteNotFound);
    let mut gossip = membership::GossipMessage::default();
    gossip.held.version = held.next().next();
    node.reduce(event::Event::Received {
        from: node::identity("node-2", "brasov-a", "ro-centru"),
        message: message::PeerMessage::Membership(membership::MembershipMessage::Rumour(gossip)),
    });
    for is_taken in [false, true] {
        if is_taken {
            node.apply_entries(&entries);
            assert!(node.state.dissemination.in_force.version > held);
        }
        let outdated = refusal(&mut node);
        assert_eq!(outdated.code, code::ResultCode::CatalogueOutdated);
        assert_eq!(outdated.outcome, wire::CallOutcome::NotRun);
        assert!(outdated.retry_after_ms > 0, "{outdated:?}");
    }
    node.apply_entries(&entries);
    assert_eq!(refusal(&mut node).code, code::ResultCode::RouteNotFound);
}
