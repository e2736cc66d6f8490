//! Bytes without end from a target: in heads, bodies, between responses and in health probes.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_standin::{
    behaviour,
    endless::{EndlessPlace, EndlessScript},
    target,
};
use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::support;

/// What a node may use at the design size, its peak included.
const MAX_NODE_BYTES: u64 = 64_000_000;
/// Connections on which a target sends without end at once.
const CONCURRENT_REQUESTS: usize = 8;

/// More than a node discards of a request's body, with what the sockets hold.
const MAX_UPLOAD_BYTES: usize = 512 << 20;

const DECLINED: [EndlessPlace; 4] = [
    EndlessPlace::DeclinedChunks,
    EndlessPlace::DeclinedBody,
    EndlessPlace::DeclinedSurplus,
    EndlessPlace::DeclinedCopies,
];
const NO_RESPONSE: [EndlessPlace; 3] = [
    EndlessPlace::Garbage,
    EndlessPlace::Head,
    EndlessPlace::Interim,
];

/// A node with one target.
struct EndlessScene {
    fleet: fleet::Fleet,
    target: target::StandInTarget,
    callers: SocketAddr,
}

/// What a caller received on a connection.
#[derive(Debug, Default)]
struct ReceivedResponse {
    bytes: usize,
    /// The last bytes.
    text: String,
}

impl ReceivedResponse {
    fn is_complete(&self) -> bool {
        self.text.ends_with("0\r\n\r\n")
    }
}

impl EndlessScene {
    async fn start() -> Self {
        let mut fleet = support::start_small_fleet().await;
        let target = support::start_stand_in(&mut fleet, "node-1", "target-1").await;
        support::wait_for_routing(&fleet, "node-1").await;
        let callers = fleet.instance("node-1").addresses["callers"];
        Self {
            fleet,
            target,
            callers,
        }
    }

    /// Starts a scene in which no request ends by a timeout.
    async fn start_untimed() -> Self {
        let scene = Self::start().await;
        support::lengthen_timeouts(&scene.fleet, &["node-1"]).await;
        scene
    }

    fn set_script(&self, script: Option<EndlessScript>) {
        let behaviour = behaviour::StandInBehaviour {
            endless: script,
            ..behaviour::StandInBehaviour::default()
        };
        self.target.set_behaviour(behaviour);
    }

    /// Sends a request; returns the status and the outcome that its caller was told.
    async fn send(&self, path: &str) -> (StatusCode, String) {
        let request = Request::get(path).body(Full::default());
        let request = request.expect("a valid request");
        let sending = self.fleet.send_request("node-1", "callers", request);
        let response = wait::complete("a response to the caller", sending).await;
        let response = response.expect("the node responds");
        let outcome = response.headers().get("hazeltiller-outcome");
        let outcome = outcome.and_then(|outcome| outcome.to_str().ok());
        (response.status(), outcome.unwrap_or_default().to_owned())
    }

    /// Sends a request that has two seconds and returns its connection.
    async fn request(&self, path: &str) -> TcpStream {
        let callers = self.callers;
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
             hazeltiller-deadline-ms: 2000\r\n\r\n"
        );
        let mut stream = TcpStream::connect(callers).await.expect("the node listens");
        let written = stream.write_all(request.as_bytes()).await;
        written.expect("the node reads the request");
        stream
    }

    /// Sends such a request and reads what comes until the connection is closed.
    async fn read_response(&self, path: &str) -> ReceivedResponse {
        let mut stream = self.request(path).await;
        let mut received = ReceivedResponse::default();
        let mut buffer = vec![0; 65_536];
        let reading = async {
            while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                received.bytes += count;
                received.text = String::from_utf8_lossy(&buffer[..count]).into_owned();
            }
        };
        wait::complete("the end of the response", reading).await;
        received
    }

    /// Waits until each connection with bytes without end has been closed, checks the node's memory
    /// and that it serves the next request.
    async fn assert_over(&self, place: EndlessPlace) {
        let log = self.target.endless();
        assert!(log.begun() > 0, "{place:?}: no bytes were sent");
        wait::until(&format!("the end of {place:?} connections"), || async {
            (log.ended() == log.begun()).then_some(())
        })
        .await;
        self.set_script(None);
        wait::until("a response to the next request", || async {
            let (status, _) = self.send("/vehicles/next").await;
            (status == StatusCode::OK).then_some(())
        })
        .await;
        let peak = self.peak_bytes();
        assert!(
            peak < MAX_NODE_BYTES,
            "{place:?}: the node held {peak} bytes"
        );
    }

    /// Returns the peak memory of the node.
    fn peak_bytes(&self) -> u64 {
        let id = self.fleet.process_id("node-1").expect("the node runs");
        let status = std::fs::read_to_string(format!("/proc/{id}/status"));
        let status = status.expect("the node runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        let kilobytes: u64 = peak.expect("a size in kB").parse().expect("a number");
        kilobytes * 1024
    }
}

fn script(place: EndlessPlace) -> EndlessScript {
    EndlessScript {
        place,
        interval: 1,
        is_at_probes: false,
        piece_bytes: 0,
        piece_pause_ms: 0,
    }
}

/// Sends a few bytes ten times a second.
fn slow_script(place: EndlessPlace) -> EndlessScript {
    EndlessScript {
        piece_bytes: 4,
        piece_pause_ms: 100,
        ..script(place)
    }
}

/// The rest of a declined response was collected for 200 ms, however many bytes that took.
#[tokio::test(flavor = "multi_thread")]
async fn endless_declines() {
    for place in DECLINED {
        let scene = EndlessScene::start_untimed().await;
        scene.set_script(Some(script(place)));
        let requests = (0..CONCURRENT_REQUESTS).map(|_| scene.send("/vehicles/declined"));
        for (status, outcome) in futures_util::future::join_all(requests).await {
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{place:?}");
            assert_eq!(outcome, "not-run", "{place:?}");
        }
        scene.assert_over(place).await;
    }
}

/// Interim responses were read for as long as the request had time.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads() {
    for place in NO_RESPONSE {
        let scene = EndlessScene::start_untimed().await;
        scene.set_script(Some(script(place)));
        let requests = (0..CONCURRENT_REQUESTS).map(|_| scene.send("/vehicles/headless"));
        for (status, outcome) in futures_util::future::join_all(requests).await {
            assert_eq!(status, StatusCode::BAD_GATEWAY, "{place:?}");
            assert_eq!(outcome, "unknown", "{place:?}");
        }
        scene.assert_over(place).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies() {
    let scene = EndlessScene::start().await;
    for place in [EndlessPlace::Chunks, EndlessPlace::Body] {
        scene.set_script(Some(script(place)));
        let received = scene.read_response("/vehicles/endless").await;
        assert!(received.bytes > 0, "{place:?}");
        assert!(!received.is_complete(), "{place:?} looks complete");
        scene.assert_over(place).await;
    }
}

/// A caller that did not read its response held the target's slot for longer than the request had.
#[tokio::test(flavor = "multi_thread")]
async fn unread_bodies() {
    let scene = EndlessScene::start().await;
    for place in [EndlessPlace::Chunks, EndlessPlace::Body] {
        scene.set_script(Some(script(place)));
        let begun = scene.target.endless().begun();
        let stream = scene.request("/vehicles/unread").await;
        wait::until("bytes without end", || async {
            (scene.target.endless().begun() > begun).then_some(())
        })
        .await;
        scene.assert_over(place).await;
        drop(stream);
    }
}

/// A response that nobody read kept its slot until its deadline, however far away that was.
#[tokio::test(flavor = "multi_thread")]
async fn unread_before_deadline() {
    let scene = EndlessScene::start_untimed().await;
    scene.set_script(Some(script(EndlessPlace::Body)));
    let mut stream = TcpStream::connect(scene.callers)
        .await
        .expect("the node listens");
    let request = b"GET /vehicles/unread HTTP/1.1\r\nhost: a\r\n\r\n";
    stream
        .write_all(request)
        .await
        .expect("it reads the request");
    wait::until("bytes without end", || async {
        (scene.target.endless().begun() > 0).then_some(())
    })
    .await;
    scene.assert_over(EndlessPlace::Body).await;
    drop(stream);
}

/// The body of a request that was not offered yet had no time limit.
#[tokio::test(flavor = "multi_thread")]
async fn slow_request_body() {
    let scene = EndlessScene::start().await;
    let mut stream = TcpStream::connect(scene.callers)
        .await
        .expect("the node listens");
    let head = b"POST /certificates/slow HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n";
    stream.write_all(head).await.expect("it reads the request");
    let (mut reader, mut writer) = stream.into_split();
    let mut response = String::new();
    let sending = async {
        while writer.write_all(b"b").await.is_ok() {
            time::sleep(Duration::from_millis(100)).await;
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        read = wait::complete("the end of the connection", reader.read_to_string(&mut response)) => {
            drop(read);
        }
        () = sending => {}
    }
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(response.contains("outcome: not-run"), "{response}");
    assert!(response.contains("HZ3031"), "{response}");
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_ends() {
    let scene = EndlessScene::start_untimed().await;
    for place in [EndlessPlace::Surplus, EndlessPlace::Idle] {
        scene.set_script(Some(script(place)));
        let (status, _) = scene.send("/vehicles/complete").await;
        assert_eq!(status, StatusCode::OK, "{place:?}");
        scene.assert_over(place).await;
    }
    for place in [EndlessPlace::ChunkExtension, EndlessPlace::Trailers] {
        scene.set_script(Some(script(place)));
        let received = scene.read_response("/vehicles/incomplete").await;
        assert!(!received.is_complete(), "{place:?} looks complete");
        scene.assert_over(place).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_bytes() {
    let scene = EndlessScene::start().await;
    let table = [
        (EndlessPlace::Head, "504"),
        (EndlessPlace::Interim, "504"),
        (EndlessPlace::DeclinedBody, "503"),
        (EndlessPlace::Body, "504"),
    ];
    for (place, status) in table {
        scene.set_script(Some(slow_script(place)));
        let received = scene.read_response("/vehicles/slow").await;
        assert!(
            received.text.contains(status),
            "{place:?}: {}",
            received.text
        );
        scene.assert_over(place).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_probes() {
    let scene = EndlessScene::start().await;
    let mut service = support::first_change()["put"][2].clone();
    service["probe"] = json!({"path": "/health", "period_ms": 100});
    let change = json!({"change_id": "probe", "expects": 1, "put": [service], "remove": []});
    let response = scene.fleet.change("control-1", &change).await;
    assert_eq!(response.expect("a response").0, 200);
    let scripts = NO_RESPONSE.map(script).into_iter();
    for script in scripts.chain([
        script(EndlessPlace::Body),
        slow_script(EndlessPlace::Interim),
    ]) {
        let begun = scene.target.endless().begun();
        let script = EndlessScript {
            interval: 0,
            is_at_probes: true,
            ..script
        };
        scene.set_script(Some(script));
        wait::until("several probes", || async {
            (scene.target.endless().begun() > begun + 3).then_some(())
        })
        .await;
        scene.assert_over(script.place).await;
    }
}

/// A target that sent bytes unasked counted as one that no longer listens, and its request as the
/// cause of a crash.
#[tokio::test(flavor = "multi_thread")]
async fn unasked_bytes() {
    let mut fleet = support::start_two_nodes().await;
    let behaviour = behaviour::StandInBehaviour {
        endless: Some(script(EndlessPlace::Accept)),
        ..behaviour::StandInBehaviour::default()
    };
    for node in ["node-1", "node-2"] {
        let name = format!("at-{node}");
        support::start_stand_in_with(&mut fleet, node, &name, behaviour.clone()).await;
        support::wait_for_routing(&fleet, node).await;
    }
    for round in 0..20 {
        for node in ["node-1", "node-2"] {
            let request = Request::post("/certificates/unasked").body(Full::from("body"));
            let request = request.expect("a valid request");
            let response = fleet.send_request(node, "callers", request).await;
            let response = response.expect("the node responds");
            let code = response.headers().get("hazeltiller-code");
            let is_quarantined = code.is_some_and(|code| code == "HZ3008");
            assert!(!is_quarantined, "quarantined in round {round}");
        }
    }
}

/// What a caller sent on of a body after the response to it was discarded without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn endless_upload() {
    let scene = EndlessScene::start().await;
    let mut stream = TcpStream::connect(scene.callers)
        .await
        .expect("the node listens");
    let head = "POST /nowhere HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("the node reads the request");
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    let mut bytes = 0;
    let uploading = async {
        while bytes < MAX_UPLOAD_BYTES && stream.write_all(chunk.as_bytes()).await.is_ok() {
            bytes += chunk.len();
        }
    };
    wait::complete("the end of the upload", uploading).await;
    assert!(bytes < MAX_UPLOAD_BYTES, "the node took {bytes} bytes");
}
