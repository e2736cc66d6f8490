//! Large responses that are sent by turns over the link of a node.

use bytes::Bytes;
use hazeltiller_testkit::fleet;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt;
use serde_json::json;
use tokio::net::TcpStream;

use crate::{streaming, support};

const LINK_KBITS: u64 = 40_000;

/// Starts two nodes that know the rate of their links; the target echoes at `node-1`.
async fn start_fleet() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    let nodes = ["node-1", "node-2"];
    for node in nodes {
        fleet.add_node("brasov-a", node).await;
        let tunables = json!({"bandwidth": {"link_kbits": LINK_KBITS},
            "requests": {"leave_ms": 100}});
        fleet.instance(node).settings["tunables"] = tunables;
    }
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&nodes, &[]).await;
    support::apply_first_change(&fleet).await;
    fleet.wait_version(&nodes, 1).await;
    streaming::start_echo_target(fleet.instance("node-1").addresses["target"]).await;
    support::wait_for_routing(&fleet, "node-2").await;
    fleet
}

fn body(size: usize) -> Bytes {
    (0..size).map(|index| (index % 251) as u8).collect()
}

/// Sends a request to `node-2` and returns the response once its head has arrived.
async fn send(fleet: &mut fleet::Fleet, body: Bytes) -> Response<Incoming> {
    let callers = fleet.instance("node-2").addresses["callers"];
    let stream = TcpStream::connect(callers).await.expect("the node listens");
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.expect("the node speaks HTTP/1.1");
    tokio::spawn(connection);
    let request = Request::post("/certificates/1").header("host", "registru");
    let request = request.body(Full::new(body)).expect("a valid request");
    sender.send_request(request).await.expect("a response")
}

/// A response passes whole through a node that sends it by turns, whether it is buffered or
/// streamed, also after the caller of an earlier one went away midway.
#[tokio::test(flavor = "multi_thread")]
async fn paced_whole() {
    let mut fleet = start_fleet().await;
    let abandoned = send(&mut fleet, body(2_000_000)).await;
    drop(abandoned);
    let mut large_bytes = 0;
    for size in [0, 1, 8191, 8192, 40_000, 65_537, 700_000] {
        let response = send(&mut fleet, body(size)).await;
        assert_eq!(response.status(), 200, "{size} bytes");
        let received = response.into_body().collect().await;
        let received = received.expect("a complete response").to_bytes();
        assert!(received == body(size), "{size} bytes");
        large_bytes += if size >= 8192 { size } else { 0 };
    }
    let request = Request::get("/metrics").body(Full::default());
    let request = request.expect("a valid request");
    let metrics = fleet.send_request("node-1", "operators", request).await;
    let metrics = metrics.expect("the node serves metrics").into_body();
    let metrics = String::from_utf8(metrics.to_vec()).expect("metrics are text");
    let sent = metrics.lines().find_map(|line| {
        let value = line.strip_prefix("hazeltiller_link_bytes_total{size=\"large\"} ")?;
        value.parse::<usize>().ok()
    });
    assert!(sent >= Some(large_bytes), "{sent:?} of {large_bytes}");
}

/// A node that is stopped while it sends a response by turns sends it to the end.
#[tokio::test(flavor = "multi_thread")]
async fn stop_finishes_turns() {
    let mut fleet = start_fleet().await;
    let response = send(&mut fleet, body(2_000_000)).await;
    let (received, exit) = tokio::join!(response.into_body().collect(), fleet.stop("node-1"));
    let received = received.expect("a complete response").to_bytes();
    assert!(received == body(2_000_000), "{} bytes", received.len());
    assert_eq!(exit, Some(0));
}
