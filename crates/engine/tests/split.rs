//! Tests of routes whose calls are split between services.

use hazeltiller_engine::calls;
use hazeltiller_testkit::node;
use indexmap::IndexMap;
use serde_json::{Value, json};

fn entries(weights: [u32; 2]) -> Value {
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "old", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "new", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "old", "match": {"path_prefix": "/"},
         "split": [{"service": "old", "weight": weights[0]}, {"service": "new", "weight": weights[1]}]},
    ])
}

fn ingress(weights: [u32; 2], services: &[&str]) -> node::NodeReducer {
    let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries(weights));
    for service in services {
        let identity = node::identity(&format!("node-{service}"), "brasov-a", "ro-centru");
        let target = node::target(&format!("target-{service}"), service, 1000);
        node.receive_record(&identity, 1, vec![target]);
    }
    node
}

/// Counts the targets of `count` calls; refused calls count under an empty name.
fn shares(node: &mut node::NodeReducer, first: u64, count: u64) -> IndexMap<String, u64> {
    let mut shares = IndexMap::new();
    for call in first..first + count {
        let effects = node.call(calls::CallEvent::Arrived(node::arrival(call, "/")));
        let target = effects.into_iter().find_map(|effect| match effect {
            calls::CallEffect::Attempt(_, plan) => Some(plan.offer.target.to_string()),
            _ => None,
        });
        *shares.entry(target.unwrap_or_default()).or_default() += 1;
    }
    shares
}

#[test]
fn weights_kept() {
    let mut node = ingress([90, 10], &["old", "new"]);
    let counts = shares(&mut node, 1, 100);
    assert!((9..=11).contains(&counts["target-new"]), "{counts:?}");
    node.apply_entries(&entries([0, 1]));
    let counts = shares(&mut node, 101, 20);
    assert_eq!(counts, IndexMap::from([("target-new".into(), 20)]));
}

#[test]
fn missing_part_refused() {
    let mut node = ingress([50, 50], &["old"]);
    let counts = shares(&mut node, 1, 100);
    assert!(
        (49..=51).contains(&counts["target-old"]),
        "the other part's calls are refused, not moved: {counts:?}"
    );
}
