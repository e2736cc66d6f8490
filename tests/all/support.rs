//! What the modules share: the catalogue they start from and the stand-ins behind it.

use std::time::Duration;

use hazeltiller_standin::{behaviour, settings, target};
use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};

/// The daemon that was built with these tests.
pub(crate) const DAEMON: &str = env!("CARGO_BIN_EXE_hazeltillerd");

/// A catalogue with one owner, class and service and two routes.
pub(crate) fn first_change() -> Value {
    json!({"change_id": "first", "expects": 0, "put": [
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/vehicles", "methods": ["GET"]}},
        {"kind": "route", "name": "issue", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/certificates", "methods": ["POST"]}},
    ]})
}

/// A stand-in of the service `registru` at a node of the fleet.
pub(crate) async fn stand_in(
    fleet: &mut fleet::Fleet,
    node: &str,
    name: &str,
) -> target::StandInTarget {
    stand_in_with(fleet, node, name, behaviour::StandInBehaviour::default()).await
}

/// The same with a behaviour of its own.
pub(crate) async fn stand_in_with(
    fleet: &mut fleet::Fleet,
    node: &str,
    name: &str,
    behaviour: behaviour::StandInBehaviour,
) -> target::StandInTarget {
    let kind = StandInKind {
        behaviour,
        version: None,
    };
    stand_in_of(fleet, node, name, kind).await
}

/// What a stand-in is like.
pub(crate) struct StandInKind<'a> {
    pub(crate) behaviour: behaviour::StandInBehaviour,
    /// Version of its software that it tells.
    pub(crate) version: Option<&'a str>,
}

/// A stand-in of the service `registru` with a behaviour and a version of its own.
pub(crate) async fn stand_in_of(
    fleet: &mut fleet::Fleet,
    node: &str,
    name: &str,
    kind: StandInKind<'_>,
) -> target::StandInTarget {
    let node = fleet.instance(node).addresses["target"];
    let name = name.parse().expect("it is a name");
    let service = "registru".parse().expect("it is a name");
    let settings = settings::StandInSettings::builder(name, service, node)
        .lease(Duration::from_secs(10))
        .version(kind.version.and_then(|version| version.parse().ok()))
        .behaviour(kind.behaviour)
        .build();
    target::StandInTarget::start(settings)
        .await
        .expect("loopback has a free port")
}

/// One control and one node that hold the first change.
pub(crate) async fn small_fleet() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    fleet.add_node("brasov-a", "node-1").await;
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&["node-1"], &[]).await;
    accept_first(&fleet).await;
    fleet
}

/// Has the first change accepted and waits until every started node holds it.
pub(crate) async fn accept_first(fleet: &fleet::Fleet) {
    wait::until("the first change", || async {
        let (status, _answer) = fleet.change("control-1", &first_change()).await?;
        (status == 200).then_some(())
    })
    .await;
    fleet.wait_version(&["node-1"], 1).await;
}

/// Waits until `node-1` has a whole answer for a path.
pub(crate) async fn wait_answer(fleet: &fleet::Fleet, path: &str) {
    wait::until("a whole answer", || async {
        let request = Request::get(path).body(Full::default()).ok()?;
        let response = fleet.send_request("node-1", "callers", request).await?;
        (response.status() == StatusCode::OK).then_some(())
    })
    .await;
}

/// Waits until a node passes requests on to some target.
pub(crate) async fn wait_routed(fleet: &fleet::Fleet, node: &str) {
    wait::until("a target behind the node", || async {
        let request = Request::get("/vehicles/ready").body(Full::default()).ok()?;
        let response = fleet.send_request(node, "callers", request).await?;
        (response.status() != StatusCode::SERVICE_UNAVAILABLE).then_some(())
    })
    .await;
}
