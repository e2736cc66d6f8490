//! End-to-end paths of a change and of a request through separate processes.

use bytes::Bytes;
use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::{Request, StatusCode};

use crate::support;

async fn start_fleet() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    fleet.add_node("brasov-a", "node-1").await;
    fleet.add_node("sibiu-a", "node-2").await;
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&["node-1", "node-2"], &[]).await;
    fleet
}

async fn apply_first_version(fleet: &fleet::Fleet) {
    let answer = wait::until("acceptance of the first change", || async {
        let (status, answer) = fleet.change("control-1", &support::first_change()).await?;
        (status == 200).then_some(answer)
    })
    .await;
    assert_eq!(answer["version"], 1);
    fleet.wait_version(&["node-1", "node-2"], 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_answered() {
    let mut fleet = start_fleet().await;
    let target = support::start_stand_in(&mut fleet, "node-2", "registru-sibiu-1").await;
    apply_first_version(&fleet).await;
    let response = wait::until("a response through the other node", || async {
        let request = Request::post("/certificates/7")
            .body(Full::from("one body"))
            .ok()?;
        let response = fleet.send_request("node-1", "callers", request).await?;
        (response.status() == StatusCode::OK).then_some(response)
    })
    .await;
    assert_eq!(response.headers()["hazeltiller-target"], "registru-sibiu-1");
    assert_eq!(
        response.body(),
        &Bytes::from("registru-sibiu-1 ran POST /certificates/7\n")
    );
    assert_eq!(target.runs().len(), 1);
    assert_eq!(target.runs()[0].body_bytes, 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn change_survives() {
    let mut fleet = start_fleet().await;
    apply_first_version(&fleet).await;
    fleet.kill(&["control-1"]).await;
    fleet.start(&["control-1"], &[]).await;
    fleet.wait_version(&["control-1"], 1).await;
    // Until the group has elected a leader, controls answer 503 with the outcome `not-run`.
    let (status, resent) = wait::until("a response of the leader", || async {
        let answer = fleet.change("control-1", &support::first_change()).await?;
        (answer.0 != 503).then_some(answer)
    })
    .await;
    assert_eq!(
        (status, &resent["version"]),
        (200, &1.into()),
        "a resend gets the response to the first change"
    );
}
