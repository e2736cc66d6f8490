//! The owner node of a second service recognises calls that runs of the first one make, and tells
//! the node at which they begin.

use std::net::SocketAddr;

use hazeltiller_standin::{behaviour, settings, target};
use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

use crate::support;

/// Nodes with the services of their targets.
const NODES: [(&str, &str); 2] = [("node-1", "registru"), ("node-2", "arhiva")];

fn second_change() -> Value {
    json!({"change_id": "second", "expects": 1, "put": [
        {"kind": "service", "name": "arhiva", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "detail", "owner": "registru", "class": "counter",
         "service": "arhiva", "match": {"path_prefix": "/files", "methods": ["GET"]}},
    ]})
}

/// Starts a target with one slot, whose runs call `/files` at a node if `next` is one.
async fn start_target(
    fleet: &mut fleet::Fleet,
    (node, service): (&str, &str),
    next: Option<SocketAddr>,
) -> target::StandInTarget {
    let next = next.map(|callers| behaviour::NextService {
        callers,
        path: Some("/files/7".into()),
    });
    let behaviour = behaviour::StandInBehaviour {
        latency_ms: 5,
        next,
        ..behaviour::StandInBehaviour::default()
    };
    let address = fleet.instance(node).addresses["target"];
    let name = service.parse().expect("a valid name");
    let service = service.parse().expect("a valid name");
    let settings = settings::StandInSettings::builder(name, service, address)
        .slots(1)
        .behaviour(behaviour)
        .build();
    let target = target::StandInTarget::start(settings).await;
    target.expect("a free loopback port")
}

#[tokio::test(flavor = "multi_thread")]
async fn nested_reported() {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    for (node, service) in NODES {
        fleet.add_node("brasov-a", node).await;
        let settings = &mut fleet.instance(node).settings;
        settings["caller_service"] = json!(service);
        settings["tunables"] = json!({"dependencies": {"nested_first": 1}});
    }
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&NODES.map(|(node, _)| node), &[]).await;
    support::apply_first_change(&fleet).await;
    let changed = fleet.change("control-1", &second_change()).await;
    assert_eq!(changed.map(|(status, _)| status), Some(200));
    fleet.wait_version(&NODES.map(|(node, _)| node), 2).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let _first = start_target(&mut fleet, NODES[0], Some(callers)).await;
    let _second = start_target(&mut fleet, NODES[1], None).await;
    let get = |path: &str| {
        let request = Request::get(path).body(Full::default());
        request.expect("the path is a URI")
    };
    wait::until("a report on the calls of runs", || async {
        let lookup = get("/vehicles/7");
        fleet.send_request("node-1", "callers", lookup).await?;
        let metrics = get("/metrics");
        let metrics = fleet.send_request("node-1", "operators", metrics).await?;
        let text = String::from_utf8_lossy(metrics.body()).into_owned();
        let gauge = r#"hazeltiller_nested_refused_permille{route="detail"}"#;
        text.contains(gauge).then_some(())
    })
    .await;
}
