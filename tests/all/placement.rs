//! Requests whose target's node does not answer: a request that was never sent, or whose place at
//! its target was never given, is refused as not run.

use std::time::Duration;

use bytes::Bytes;
use hazeltiller_standin::target;
use hazeltiller_testkit::{fleet, proxy, wait};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

use crate::support;

/// Line of the metrics of a node that knows one ready target.
const KNOWN_TARGET_METRIC: &str = "hazeltiller_targets{service=\"registru\",state=\"ready\"} 1";

/// Starts a control, an ingress node and an owner node with a target, and waits until the ingress
/// node knows the target. It has not opened a connection for calls.
async fn start_pair() -> (fleet::Fleet, target::StandInTarget) {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    for node in ["node-1", "node-2"] {
        fleet.add_node("brasov-a", node).await;
    }
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&["node-1", "node-2"], &[]).await;
    support::apply_first_change(&fleet).await;
    let target = support::start_stand_in(&mut fleet, "node-2", "far").await;
    wait_for_metric(&fleet, "node-1", KNOWN_TARGET_METRIC).await;
    (fleet, target)
}

/// Waits until a line stands in the metrics of an instance.
async fn wait_for_metric(fleet: &fleet::Fleet, name: &str, line: &str) {
    wait::until(line, || async {
        let request = Request::get("/metrics").body(Full::default()).ok()?;
        let response = fleet.send_request(name, "operators", request).await?;
        let text = String::from_utf8_lossy(response.body()).into_owned();
        text.lines().any(|known| known == line).then_some(())
    })
    .await;
}

/// Sends a request that must not run twice to the ingress node.
async fn send_issue(
    fleet: &fleet::Fleet,
    body: impl Into<Bytes>,
    deadline: Duration,
) -> Response<Bytes> {
    let request = Request::post("/certificates/1")
        .header("hazeltiller-deadline-ms", deadline.as_millis() as u64)
        .body(Full::new(body.into()))
        .expect("a valid request");
    let response = fleet.send_request("node-1", "callers", request).await;
    response.expect("the ingress node answers")
}

fn assert_not_run(response: &Response<Bytes>) {
    assert_eq!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE,
        "{response:?}"
    );
    assert_eq!(response.headers()["hazeltiller-outcome"], "not-run");
}

/// Guards against the answer 504 to a request whose deadline passes while the connection to the
/// target's node is still being opened: nothing of it has been sent.
#[tokio::test(flavor = "multi_thread")]
async fn unsent_not_run() {
    let (fleet, _target) = start_pair().await;
    // A connection is accepted, but the handshake on it is never answered.
    fleet.set_pair_rule("node-1", "node-2", proxy::FaultRule::Silent);
    let response = send_issue(&fleet, "x", Duration::from_millis(100)).await;
    assert_not_run(&response);
}
