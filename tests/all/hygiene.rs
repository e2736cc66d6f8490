//! What must not get through: ambiguous requests, connection headers, the system's own headers.

use hazeltiller_standin::behaviour;
use hazeltiller_testkit::{fleet, proxy, wait};
use serde_json::json;

use crate::{
    raw::{self, RawAnswer},
    support,
};

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x-private\r\n\
    x-private: 1\r\nhazeltiller-code: HZ9\r\nhazeltiller-outcome: not-run\r\n\r\nok";

const CLOSE: &str = "connection: close\r\n";

/// One node and a raw target behind it.
async fn raw_path(answer: RawAnswer) -> (fleet::Fleet, raw::RawTarget) {
    let mut fleet = support::small_fleet().await;
    let node = fleet.instance("node-1").addresses["target"];
    let target = raw::RawTarget::start(node, "raw", answer).await;
    (fleet, target)
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests() {
    let (mut fleet, target) = raw_path(RawAnswer::Bytes(ANSWER)).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let many = "x: 1\r\n".repeat(200);
    let large = format!("x: {}\r\n", "a".repeat(100_000));
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
        ("many lines", &format!("{many}\r\n"), "431"),
        ("large head", &format!("{large}\r\n"), "431"),
    ];
    for (name, rest, status) in table {
        let request = format!(
            "POST /certificates/{} HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-row: 1\r\n{rest}",
            name.len()
        );
        let answer = raw::say(callers, &request).await;
        let line = answer.lines().next().unwrap_or_default();
        assert!(line.contains(status), "{name}: {line:?}");
    }
    let received = target.received().await;
    let forwarded = received.iter().any(|text| text.contains("x-row"));
    assert!(!forwarded, "nothing was forwarded: {received:?}");
}

/// A link between two nodes that is lost in the middle of a small answer costs that answer only: the caller gets
/// a failure, and the answers to what it sent behind.
#[tokio::test(flavor = "multi_thread")]
async fn link_lost_midway() {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    for node in ["node-1", "node-2"] {
        fleet.add_node("brasov-a", node).await;
    }
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&["node-1", "node-2"], &[]).await;
    support::accept_first(&fleet).await;
    let behaviour = behaviour::StandInBehaviour {
        answer_bytes: 50_000,
        ..behaviour::StandInBehaviour::default()
    };
    let _target = support::stand_in_with(&mut fleet, "node-2", "far", behaviour).await;
    support::wait_routed(&fleet, "node-1").await;
    fleet.set_pair_rule("node-1", "node-2", proxy::FaultRule::CutAfter(20_000));
    let callers = fleet.instance("node-1").addresses["callers"];
    let requests = "GET /vehicles/1 HTTP/1.1\r\nhost: a\r\n\r\n\
        GET /nowhere HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    // The first round loses the link that was open before, the second one a new link.
    for round in 0..2 {
        let answers = raw::say(callers, requests).await;
        let heads = answers.split("HTTP/1.1 ").skip(1);
        let statuses: Vec<&str> = heads.filter_map(|head| head.split(' ').next()).collect();
        assert_eq!(statuses, ["502", "404"], "round {round}: {answers:.300}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_framing() {
    let (mut fleet, target) = raw_path(RawAnswer::Bytes(ANSWER)).await;
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
        let answer = raw::say(callers, &request).await;
        assert!(
            !answer.contains("404"),
            "the connection was closed first: {answer}"
        );
        let received = raw::wait_received(&target, &path).await.to_lowercase();
        let head = received.split(&path).nth(1).expect("it was just found");
        let head = head
            .split("\r\n\r\n")
            .next()
            .expect("a split has a first part");
        assert!(head.contains("transfer-encoding: chunked"), "{head}");
        assert!(!head.contains("content-length"), "{head}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn own_headers() {
    let (mut fleet, target) = raw_path(RawAnswer::Bytes(ANSWER)).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let request = "GET /vehicles/own HTTP/1.1\r\nhost: a\r\nconnection: close, x-hop\r\n\
        x-hop: 1\r\nkeep-alive: 5\r\nproxy-connection: x\r\nhazeltiller-offer: 00\r\n\
        hazeltiller-load: 00\r\nhazeltiller-target: forged\r\nhazeltiller-code: HZ1\r\n\
        hz-o: 00\r\nhz-t: 00\r\nhz-l: 00\r\nhz-r: 00\r\nhz-c: 00\r\n\
        hazeltiller-deadline-ms: 1500\r\nx-mine: kept\r\n\r\n";
    let answer = raw::say(callers, request).await.to_lowercase();
    let received = raw::wait_received(&target, "/vehicles/own")
        .await
        .to_lowercase();
    for gone in [
        "x-hop",
        "keep-alive",
        "proxy-",
        "-offer",
        "-load",
        "hz-",
        "forged",
        "hz1",
    ] {
        assert!(!received.contains(gone), "{gone} in {received}");
    }
    assert!(received.contains("x-mine: kept"), "{received}");
    let left = received.split("hazeltiller-deadline-ms: ").nth(1);
    let left = left.and_then(|rest| rest.lines().next()?.parse().ok());
    let left: u64 = left.expect("the time left is sent on");
    assert!((1..=1500).contains(&left), "{left} ms are left");
    for gone in ["x-private", "hz9", "not-run", "-load", "-offer", "hz-"] {
        assert!(!answer.contains(gone), "{gone} in {answer}");
    }
    assert!(answer.contains("hazeltiller-target: raw"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_answers() {
    let table = [
        // Above what is read whole before any of it is passed on.
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
        let (mut fleet, _target) = raw_path(RawAnswer::BytesThenClose(bytes)).await;
        let callers = fleet.instance("node-1").addresses["callers"];
        let answer = wait::until("an answer that began", || async {
            let request = "GET /vehicles/cut HTTP/1.1\r\nhost: a\r\n\r\n";
            let answer = raw::say(callers, request).await;
            answer.starts_with("HTTP/1.1 200").then_some(answer)
        })
        .await;
        assert!(
            !answer.contains("\r\n0\r\n"),
            "{name} passes for whole: {answer}"
        );
        let (head, body) = answer.split_once("\r\n\r\n").expect("it has a head");
        let is_short = head.contains("content-length: 99999") && body.len() < 99_999;
        assert!(is_short || head.contains("chunked"), "{name}: {answer}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn held_answers() {
    let table = [
        ("length", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart"),
        ("no answer", "HTTP/1.1 200"),
    ];
    for (name, bytes) in table {
        let (mut fleet, target) = raw_path(RawAnswer::BytesThenClose(bytes)).await;
        let callers = fleet.instance("node-1").addresses["callers"];
        let request = format!("POST /certificates/held HTTP/1.1\r\nhost: a\r\n{CLOSE}\r\n");
        let answer = wait::until("the target's failure", || async {
            let answer = raw::say(callers, &request).await;
            answer.contains("HZ3007").then_some(answer)
        })
        .await;
        // Nothing of it was passed on, and it is not told as not run.
        assert!(answer.starts_with("HTTP/1.1 502"), "{name}: {answer}");
        assert!(
            answer.contains("hazeltiller-outcome: unknown"),
            "{name}: {answer}"
        );
        let received = target.received().await;
        assert!(!received.is_empty(), "{name}: it was sent");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn large_announcement() {
    let mut fleet = support::small_fleet().await;
    let node = fleet.instance("node-1").addresses["target"];
    let body = "x".repeat(5000);
    let request = format!(
        "POST /v1/announce HTTP/1.1\r\nhost: a\r\n{CLOSE}content-length: 5000\r\n\r\n{body}"
    );
    let answer = raw::say(node, &request).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

/// Chunks whose last bytes look like the end of a head or of a body.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_ended_once() {
    let table = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\n0\r\n\r\nok\r\n0\r\n\r\n",
    ];
    for bytes in table {
        let (mut fleet, _target) = raw_path(RawAnswer::Bytes(bytes)).await;
        let callers = fleet.instance("node-1").addresses["callers"];
        let request = format!("GET /vehicles/chunks HTTP/1.1\r\nhost: a\r\n{CLOSE}\r\n");
        let answer = wait::until("an answer", || async {
            let answer = raw::say(callers, &request).await;
            answer.starts_with("HTTP/1.1 200").then_some(answer)
        })
        .await;
        let sent = bytes.split_once("\r\n\r\n").expect("it has a head").1;
        let got = answer.split_once("\r\n\r\n").expect("it has a head").1;
        assert_eq!(got, sent);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests() {
    let (mut fleet, target) = raw_path(RawAnswer::Bytes(ANSWER)).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let requests: String = ["one", "two", "three"]
        .map(|name| {
            let close = if name == "three" { CLOSE } else { "" };
            format!("GET /vehicles/{name} HTTP/1.1\r\nhost: a\r\n{close}\r\n")
        })
        .concat();
    let answer = wait::until("three answers", || async {
        let answer = raw::say(callers, &requests).await;
        (answer.matches("HTTP/1.1 200 OK").count() == 3).then_some(answer)
    })
    .await;
    assert_eq!(answer.matches("\r\n\r\nok").count(), 3, "{answer}");
    let received = target.received().await.concat();
    for name in ["one", "two", "three"] {
        assert!(received.contains(name), "{name} was sent on");
    }
}

/// The caller goes while its first request runs and others wait behind it on its connection.
#[tokio::test(flavor = "multi_thread")]
async fn pipeline_left() {
    let (mut fleet, target) = raw_path(RawAnswer::Bytes("")).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let request = |name: &str| format!("GET /vehicles/{name} HTTP/1.1\r\nhost: a\r\n\r\n");
    let mut stream = tokio::net::TcpStream::connect(callers)
        .await
        .expect("the node listens");
    let both = request("first") + &request("second");
    tokio::io::AsyncWriteExt::write_all(&mut stream, both.as_bytes())
        .await
        .expect("the node reads");
    raw::wait_received(&target, "first").await;
    raw::wait_received(&target, "second").await;
    drop(stream);
    target.ended.notified().await;
    target.ended.notified().await;
}

/// A body in chunks is held to the listener's limit too: it is refused, and the target does not get it
/// as if it were whole.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_over_limit() {
    let (mut fleet, target) = raw_path(RawAnswer::Bytes(ANSWER)).await;
    let limits = json!({"put": [{"kind": "listener", "name": "callers", "owner": "registru",
        "class": "counter", "limits": {"body_bytes": 1000}}], "remove": [],
        "change_id": "limits", "expects": 1});
    let (status, answer) = fleet.change("control-1", &limits).await.expect("an answer");
    assert_eq!(status, 200, "{answer}");
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
            "POST {path} HTTP/1.1\r\nhost: a\r\n{CLOSE}transfer-encoding: chunked\r\n\r\n\
            {chunks}0\r\n\r\n"
        );
        let answer = raw::say(callers, &request).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {expected}")),
            "{path}: {answer}"
        );
    }
    let received = target.received().await.concat();
    assert!(
        !received.contains(&"x".repeat(1001)),
        "more than the limit went on"
    );
}
