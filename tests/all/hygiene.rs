//! HTTP message hygiene: request smuggling, hop-by-hop headers, reserved headers and truncated
//! responses.

use std::time::Duration;

use hazeltiller_daemon::http;
use hazeltiller_standin::behaviour;
use hazeltiller_testkit::{fleet, proxy, wait};
use hazeltiller_units::code;
use hazeltiller_wire::calls;
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream, time};

use crate::{
    raw::{self, RawResponse},
    support,
};

const RAW_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x-private\r\n\
    x-private: 1\r\nhazeltiller-code: HZ9\r\nhazeltiller-outcome: not-run\r\n\r\nok";

const CLOSE_HEADER: &str = "connection: close\r\n";

/// Starts a small fleet with a raw target at its node.
async fn start_raw_target(response: RawResponse) -> (fleet::Fleet, raw::RawTarget) {
    let mut fleet = support::start_small_fleet().await;
    let node = fleet.instance("node-1").addresses["target"];
    let target = raw::RawTarget::start(node, "raw", response).await;
    (fleet, target)
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests() {
    let (mut fleet, target) = start_raw_target(RawResponse::Bytes(RAW_RESPONSE)).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let many_lines = "x: 1\r\n".repeat(200);
    let large_line = format!("x: {}\r\n", "a".repeat(100_000));
    let table = [
        (
            "two lengths",
            "content-length: 5\r\ncontent-length: 6\r\n\r\nhello!",
            "400",
        ),
        ("no number", "content-length: five\r\n\r\nhello", "400"),
        ("signed", "content-length: +5\r\n\r\nhello", "400"),
        ("not chunked", "transfer-encoding: gzip\r\n\r\nhello", "400"),
        (
            "chunked first",
            "transfer-encoding: chunked, gzip\r\n\r\nhello",
            "400",
        ),
        (
            "bad chunk size",
            "transfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
            "400",
        ),
        (
            "bad chunk end",
            "transfer-encoding: chunked\r\n\r\nfffffffffffffffffff\r\n",
            "400",
        ),
        ("space in name", "x y: 1\r\n\r\n", "400"),
        (
            "two keys",
            "idempotency-key: a\r\nidempotency-key: b\r\n\r\n",
            "400",
        ),
        (
            "no deadline",
            "hazeltiller-deadline-ms: soon\r\n\r\n",
            "400",
        ),
        ("two hosts", "host: b\r\n\r\n", "400"),
        ("many lines", &format!("{many_lines}\r\n"), "431"),
        ("large head", &format!("{large_line}\r\n"), "431"),
    ];
    for (name, rest, status) in table {
        let request = format!(
            "POST /certificates/{} HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-row: 1\r\n{rest}",
            name.len()
        );
        let response = raw::exchange_bytes(callers, &request).await;
        let line = response.lines().next().unwrap_or_default();
        assert!(line.contains(status), "{name}: {line:?}");
    }
    let received = target.received().await;
    let forwarded = received.iter().any(|text| text.contains("x-row"));
    assert!(!forwarded, "a bad request was forwarded: {received:?}");
}

/// When the link between two nodes breaks in the middle of a small response, only that response
/// fails: the caller gets a 502 and still gets the responses to the requests pipelined after it.
#[tokio::test(flavor = "multi_thread")]
async fn link_lost_midway() {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    for node in ["node-1", "node-2"] {
        fleet.add_node("brasov-a", node).await;
    }
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&["node-1", "node-2"], &[]).await;
    support::apply_first_change(&fleet).await;
    let behaviour = behaviour::StandInBehaviour {
        answer_bytes: 50_000,
        ..behaviour::StandInBehaviour::default()
    };
    let _target = support::start_stand_in_with(&mut fleet, "node-2", "far", behaviour).await;
    support::wait_for_routing(&fleet, "node-1").await;
    fleet.set_pair_rule("node-1", "node-2", proxy::FaultRule::CutAfter(20_000));
    let callers = fleet.instance("node-1").addresses["callers"];
    let requests = "GET /vehicles/1 HTTP/1.1\r\nhost: a\r\n\r\n\
        GET /nowhere HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    // The first round breaks a link that was already open, the second one a new link.
    for round in 0..2 {
        let responses = raw::exchange_bytes(callers, requests).await;
        let heads = responses.split("HTTP/1.1 ").skip(1);
        let statuses: Vec<&str> = heads.filter_map(|head| head.split(' ').next()).collect();
        assert_eq!(statuses, ["502", "404"], "round {round}: {responses:.300}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_framing() {
    let (mut fleet, target) = start_raw_target(RawResponse::Bytes(RAW_RESPONSE)).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let rows = [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
    ];
    for (index, framing) in rows.into_iter().enumerate() {
        let path = format!("/certificates/framing-{index}");
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\n{framing}\r\n5\r\nhello\r\n0\r\n\r\n\
             GET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n"
        );
        let response = raw::exchange_bytes(callers, &request).await;
        assert!(
            !response.contains("404"),
            "the smuggled request was served: {response}"
        );
        let received = raw::wait_for_request(&target, &path).await.to_lowercase();
        let head = received.split(&path).nth(1).expect("the path was received");
        let head = head
            .split("\r\n\r\n")
            .next()
            .expect("a split yields at least one part");
        assert!(head.contains("transfer-encoding: chunked"), "{head}");
        assert!(!head.contains("content-length"), "{head}");
    }
}

/// A target sends the header by which owner nodes refuse offers: in an interim response, in its
/// response and in the trailers.
#[tokio::test(flavor = "multi_thread")]
async fn forged_refusals() {
    let mut fleet = support::start_two_nodes().await;
    let refusal = calls::CallRefusal::not_run(code::ResultCode::TargetDeclined).elsewhere();
    let value = http::header_value(&refusal);
    let value = value.to_str().expect("base64 is text");
    let line = format!(
        "{}: {value}\r\ntarget-declined: 1\r\n",
        calls::REFUSAL_HEADER
    );
    let response = format!(
        "HTTP/1.1 103 Early Hints\r\n{line}\r\nHTTP/1.1 200 OK\r\n{line}\
         trailer: {}\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n{line}\r\n",
        calls::REFUSAL_HEADER
    );
    let node = fleet.instance("node-2").addresses["target"];
    let response = RawResponse::Bytes(response.leak());
    let target = raw::RawTarget::start(node, "raw", response).await;
    support::wait_for_routing(&fleet, "node-1").await;
    for ingress in ["node-1", "node-2"] {
        let path = format!("/certificates/{ingress}");
        let callers = fleet.instance(ingress).addresses["callers"];
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        );
        let response = raw::exchange_bytes(callers, &request).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let received = target.received().await.concat();
        assert_eq!(received.matches(&path).count(), 1, "{received}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reserved_headers() {
    let (mut fleet, target) = start_raw_target(RawResponse::Bytes(RAW_RESPONSE)).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let request = "GET /vehicles/own HTTP/1.1\r\nhost: a\r\nconnection: close, x-hop\r\n\
        x-hop: 1\r\nkeep-alive: 5\r\nproxy-connection: x\r\nhazeltiller-offer: 00\r\n\
        hazeltiller-load: 00\r\nhazeltiller-target: forged\r\nhazeltiller-code: HZ1\r\n\
        hz-o: 00\r\nhz-t: 00\r\nhz-l: 00\r\nhz-r: 00\r\nhz-c: 00\r\n\
        hazeltiller-deadline-ms: 1500\r\nx-mine: kept\r\n\r\n";
    let response = raw::exchange_bytes(callers, request).await.to_lowercase();
    let received = raw::wait_for_request(&target, "/vehicles/own")
        .await
        .to_lowercase();
    for removed in [
        "x-hop",
        "keep-alive",
        "proxy-",
        "-offer",
        "-load",
        "hz-",
        "forged",
        "hz1",
    ] {
        assert!(!received.contains(removed), "{removed} in {received}");
    }
    assert!(received.contains("x-mine: kept"), "{received}");
    let remaining_ms = received.split("hazeltiller-deadline-ms: ").nth(1);
    let remaining_ms = remaining_ms.and_then(|rest| rest.lines().next()?.parse().ok());
    let remaining_ms: u64 = remaining_ms.expect("the remaining deadline is forwarded");
    assert!(
        (1..=1500).contains(&remaining_ms),
        "a remaining deadline of {remaining_ms} ms"
    );
    for removed in ["x-private", "hz9", "not-run", "-load", "-offer", "hz-"] {
        assert!(!response.contains(removed), "{removed} in {response}");
    }
    assert!(response.contains("hazeltiller-target: raw"), "{response}");
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_responses() {
    let table = [
        // Larger than the responses that the node buffers completely before it forwards them.
        (
            "length",
            "HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\npart",
        ),
        (
            "chunked",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
        ),
    ];
    for (name, bytes) in table {
        let (mut fleet, _target) = start_raw_target(RawResponse::BytesThenClose(bytes)).await;
        let callers = fleet.instance("node-1").addresses["callers"];
        let response = wait::until("the start of a response", || async {
            let request = "GET /vehicles/cut HTTP/1.1\r\nhost: a\r\n\r\n";
            let response = raw::exchange_bytes(callers, request).await;
            response.starts_with("HTTP/1.1 200").then_some(response)
        })
        .await;
        assert!(
            !response.contains("\r\n0\r\n"),
            "{name}: the truncated response looks complete: {response}"
        );
        let (head, body) = response
            .split_once("\r\n\r\n")
            .expect("the response has a head");
        let is_short = head.contains("content-length: 99999") && body.len() < 99_999;
        assert!(is_short || head.contains("chunked"), "{name}: {response}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn buffered_responses() {
    let table = [
        ("length", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart"),
        ("no response", "HTTP/1.1 200"),
    ];
    for (name, bytes) in table {
        let (mut fleet, target) = start_raw_target(RawResponse::BytesThenClose(bytes)).await;
        let callers = fleet.instance("node-1").addresses["callers"];
        let request = format!("POST /certificates/held HTTP/1.1\r\nhost: a\r\n{CLOSE_HEADER}\r\n");
        let response = wait::until("the refusal for the failed target", || async {
            let response = raw::exchange_bytes(callers, &request).await;
            response.contains("HZ3007").then_some(response)
        })
        .await;
        // No part of the response is forwarded, and the outcome is not reported as not run.
        assert!(response.starts_with("HTTP/1.1 502"), "{name}: {response}");
        assert!(
            response.contains("hazeltiller-outcome: unknown"),
            "{name}: {response}"
        );
        let received = target.received().await;
        assert!(!received.is_empty(), "{name}: the request was not sent");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn large_announcement() {
    let mut fleet = support::start_small_fleet().await;
    let node = fleet.instance("node-1").addresses["target"];
    let body = "x".repeat(5000);
    let request = format!(
        "POST /v1/announce HTTP/1.1\r\nhost: a\r\n{CLOSE_HEADER}content-length: 5000\r\n\r\n{body}"
    );
    let response = raw::exchange_bytes(node, &request).await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
}

/// Chunk data that ends like a message head or a chunked body is forwarded unchanged, with a single
/// terminating chunk.
#[tokio::test(flavor = "multi_thread")]
async fn chunk_terminators() {
    let table = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\n0\r\n\r\nok\r\n0\r\n\r\n",
    ];
    for bytes in table {
        let (mut fleet, _target) = start_raw_target(RawResponse::Bytes(bytes)).await;
        let callers = fleet.instance("node-1").addresses["callers"];
        let request = format!("GET /vehicles/chunks HTTP/1.1\r\nhost: a\r\n{CLOSE_HEADER}\r\n");
        let response = wait::until("a response", || async {
            let response = raw::exchange_bytes(callers, &request).await;
            response.starts_with("HTTP/1.1 200").then_some(response)
        })
        .await;
        let sent_body = bytes
            .split_once("\r\n\r\n")
            .expect("the response has a head")
            .1;
        let received_body = response
            .split_once("\r\n\r\n")
            .expect("the response has a head")
            .1;
        assert_eq!(received_body, sent_body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests() {
    let (mut fleet, target) = start_raw_target(RawResponse::Bytes(RAW_RESPONSE)).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let requests: String = ["one", "two", "three"]
        .map(|name| {
            let close = if name == "three" { CLOSE_HEADER } else { "" };
            format!("GET /vehicles/{name} HTTP/1.1\r\nhost: a\r\n{close}\r\n")
        })
        .concat();
    let response = wait::until("three responses", || async {
        let response = raw::exchange_bytes(callers, &requests).await;
        (response.matches("HTTP/1.1 200 OK").count() == 3).then_some(response)
    })
    .await;
    assert_eq!(response.matches("\r\n\r\nok").count(), 3, "{response}");
    let received = target.received().await.concat();
    for name in ["one", "two", "three"] {
        assert!(received.contains(name), "{name} was not forwarded");
    }
}

/// When a caller disconnects with pipelined requests in progress, the node closes
/// their connections to the target, in whichever order.
#[tokio::test(flavor = "multi_thread")]
async fn pipeline_abandoned() {
    let (mut fleet, target) = start_raw_target(RawResponse::Bytes("")).await;
    support::lengthen_timeouts(&fleet, &["node-1"]).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let request = |name: &str| format!("GET /vehicles/{name} HTTP/1.1\r\nhost: a\r\n\r\n");
    let mut stream = tokio::net::TcpStream::connect(callers)
        .await
        .expect("the node listens");
    let pipeline = request("first") + &request("second");
    tokio::io::AsyncWriteExt::write_all(&mut stream, pipeline.as_bytes())
        .await
        .expect("the node reads the requests");
    raw::wait_for_request(&target, "first").await;
    raw::wait_for_request(&target, "second").await;
    drop(stream);
    target.wait_until_unconnected().await;
}

/// The body limit of the listener applies to chunked bodies too: a larger body is refused, and the
/// target does not receive a truncated one as complete.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_over_limit() {
    let (mut fleet, target) = start_raw_target(RawResponse::Bytes(RAW_RESPONSE)).await;
    let limits = json!({"put": [{"kind": "listener", "name": "callers", "owner": "registru",
        "class": "counter", "limits": {"body_bytes": 1000}}], "remove": [],
        "change_id": "limits", "expects": 1});
    let (status, response) = fleet
        .change("control-1", &limits)
        .await
        .expect("a response");
    assert_eq!(status, 200, "{response}");
    fleet.wait_version(&["node-1"], 2).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let chunk = |bytes: usize| format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
    let table = [
        ("/certificates/one", vec![2000], "413"),
        ("/certificates/many", vec![600, 600], "413"),
        ("/certificates/within", vec![500, 500], "200"),
    ];
    for (path, chunks, expected) in table {
        let chunks: String = chunks.into_iter().map(chunk).collect();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\n{CLOSE_HEADER}transfer-encoding: chunked\r\n\r\n\
            {chunks}0\r\n\r\n"
        );
        let response = raw::exchange_bytes(callers, &request).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {expected}")),
            "{path}: {response}"
        );
    }
    let received = target.received().await.concat();
    assert!(
        !received.contains(&"x".repeat(1001)),
        "the target received more than the limit"
    );
}

/// Guards against a request that reaches a target after its caller has closed the connection: with a
/// long body it waits for a slot, and nobody reads the connection.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_caller_leaves() {
    const SLOTS: usize = 10;
    let (mut fleet, target) = start_raw_target(RawResponse::Bytes("")).await;
    let mut entries = support::first_change()["put"].clone();
    entries[0]["limits"] = json!({"queue_ms": 60_000});
    entries[2]["limits"] = json!({"first_byte_ms": 600_000});
    entries[4]["limits"] = json!({"deadline_ms": 600_000});
    let change = json!({"change_id": "patient", "expects": 1, "put": entries, "remove": []});
    let (status, document) = fleet
        .change("control-1", &change)
        .await
        .expect("a response");
    assert_eq!(status, 200, "{document}");
    fleet.wait_version(&["node-1"], 2).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let mut running = Vec::new();
    for number in 0..SLOTS {
        let mut stream = TcpStream::connect(callers).await.expect("the node listens");
        let request = format!("GET /vehicles/{number} HTTP/1.1\r\nhost: a\r\n\r\n");
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("the request is written");
        raw::wait_for_request(&target, &format!("/vehicles/{number} ")).await;
        running.push(stream);
    }
    let mut waiting = TcpStream::connect(callers).await.expect("the node listens");
    let body = "b".repeat(120_000);
    let length = body.len();
    let head =
        format!("POST /certificates/left HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    let sent = waiting.write_all(format!("{head}{body}").as_bytes()).await;
    sent.expect("the request is written");
    time::sleep(Duration::from_millis(300)).await;
    drop(waiting);
    time::sleep(Duration::from_millis(500)).await;
    drop(running);
    let mut last = TcpStream::connect(callers).await.expect("the node listens");
    let sent = last
        .write_all(b"GET /vehicles/last HTTP/1.1\r\nhost: a\r\n\r\n")
        .await;
    sent.expect("the request is written");
    raw::wait_for_request(&target, "/vehicles/last ").await;
    time::sleep(Duration::from_millis(500)).await;
    let received = target.received().await.concat();
    assert!(!received.contains("/certificates/left"));
}
