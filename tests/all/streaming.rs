//! Streamed bodies in both directions, trailers, deadlines, back pressure and callers that
//! disconnect.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hazeltiller_standin::behaviour;
use hazeltiller_testkit::{proxy, wait};
use http_body_util::{BodyExt, Full, StreamBody, channel, combinators::UnsyncBoxBody};
use hyper::{
    HeaderMap, Request, Response,
    body::{Frame, Incoming},
    client::conn::{http1, http2},
    server, service,
};
use hyper_util::rt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

use crate::{
    raw::{self, RawResponse},
    support,
};

type EchoBody = UnsyncBoxBody<Bytes, hyper::Error>;

/// Starts a target that streams the body and trailers of each request back as its response.
pub(crate) async fn start_echo_target(node: SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _from)) = listener.accept().await {
            let echo = service::service_fn(|request: Request<Incoming>| async move {
                let mut response = Response::new(request.into_body().boxed_unsync());
                let header_map = response.headers_mut();
                header_map.insert("trailer", "x-sum".parse().expect("a valid header value"));
                Ok::<Response<EchoBody>, Infallible>(response)
            });
            let server = server::conn::http1::Builder::new();
            tokio::spawn(server.serve_connection(rt::TokioIo::new(stream), echo));
        }
    });
    raw::announce(node, "echo", address, "ready").await;
}

type BodyChannel = channel::Channel<Bytes, Infallible>;

async fn open_connection(address: SocketAddr, is_h2: bool) -> CallerConnection {
    let stream = TcpStream::connect(address).await.expect("the node listens");
    let stream = rt::TokioIo::new(stream);
    if is_h2 {
        let handshake = http2::handshake(rt::TokioExecutor::new(), stream).await;
        let (sender, connection) = handshake.expect("the node speaks HTTP/2");
        tokio::spawn(connection);
        CallerConnection::H2(sender)
    } else {
        let handshake = http1::handshake(stream).await;
        let (sender, connection) = handshake.expect("the node speaks HTTP/1.1");
        tokio::spawn(connection);
        CallerConnection::H1(sender)
    }
}

enum CallerConnection {
    H1(http1::SendRequest<BodyChannel>),
    H2(http2::SendRequest<BodyChannel>),
}

impl CallerConnection {
    async fn send(&mut self, request: Request<BodyChannel>) -> hyper::Result<Response<Incoming>> {
        match self {
            Self::H1(sender) => sender.send_request(request).await,
            Self::H2(sender) => sender.send_request(request).await,
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bidirectional_streaming() {
    let mut fleet = support::start_two_nodes().await;
    start_echo_target(fleet.instance("node-1").addresses["target"]).await;
    support::wait_for_routing(&fleet, "node-2").await;
    for (node, is_h2) in [
        ("node-1", false),
        ("node-1", true),
        ("node-2", false),
        ("node-2", true),
    ] {
        let callers = fleet.instance(node).addresses["callers"];
        let mut sender = open_connection(callers, is_h2).await;
        let (mut body_sender, body) = channel::Channel::<Bytes, Infallible>::new(1);
        let request = Request::post("http://registru/certificates/9")
            .header("host", "registru")
            .header("te", "trailers")
            .header("trailer", "x-sum")
            .body(body);
        let writer = tokio::spawn(async move {
            body_sender
                .send_data(Bytes::from("first"))
                .await
                .expect("the request body is open");
            body_sender
        });
        let response = sender.send(request.expect("a valid request")).await;
        let mut response_body = response
            .expect("the response begins before the request body ends")
            .into_body();
        let first = response_body
            .frame()
            .await
            .expect("a body frame")
            .expect("the body is readable");
        assert_eq!(
            first.into_data().expect("a data frame"),
            "first",
            "{node} h2={is_h2}"
        );
        let mut body_sender = writer.await.expect("the writer task does not panic");
        body_sender
            .send_data(Bytes::from("second"))
            .await
            .expect("the request body is open");
        let mut trailers = HeaderMap::new();
        trailers.insert("x-sum", "11".parse().expect("a valid header value"));
        body_sender
            .send_trailers(trailers)
            .await
            .expect("the request body is open");
        drop(body_sender);
        let rest = response_body
            .collect()
            .await
            .expect("the response is complete");
        let trailers = rest
            .trailers()
            .cloned()
            .expect("the response has the trailers");
        assert_eq!(trailers["x-sum"], "11", "{node} h2={is_h2}");
        assert_eq!(rest.to_bytes(), "second");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_reader() {
    let mut fleet = support::start_small_fleet().await;
    let node = fleet.instance("node-1").addresses["target"];
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let written_bytes = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    raw::announce(
        node,
        "endless",
        listener.local_addr().expect("the listener is bound"),
        "ready",
    )
    .await;
    let count = Arc::clone(&written_bytes);
    tokio::spawn(async move {
        while let Ok((mut stream, _from)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                let mut head = [0; 4096];
                drop(stream.read(&mut head).await);
                let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n";
                drop(stream.write_all(head).await);
                while stream.write_all(&[0; 8192]).await.is_ok() {
                    count.fetch_add(8192, std::sync::atomic::Ordering::Relaxed);
                }
            });
        }
    });
    let callers = fleet.instance("node-1").addresses["callers"];
    let mut stream = wait::until("the start of a response", || async {
        let mut stream = TcpStream::connect(callers).await.ok()?;
        let request = b"GET /vehicles/endless HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut line = [0; 15];
        stream.read_exact(&mut line).await.ok()?;
        (line.as_slice() == b"HTTP/1.1 200 OK").then_some(stream)
    })
    .await;
    let buffered_bytes = wait::until("back pressure on the target", || async {
        let before = written_bytes.load(std::sync::atomic::Ordering::Relaxed);
        time::sleep(Duration::from_millis(300)).await;
        let after = written_bytes.load(std::sync::atomic::Ordering::Relaxed);
        (before == after && before > 0).then_some(after)
    })
    .await;
    assert!(
        buffered_bytes < 64 << 20,
        "{buffered_bytes} bytes were buffered for a caller that does not read"
    );
    let mut chunk = vec![0; 1 << 20];
    for _ in 0..64 {
        stream
            .read_exact(&mut chunk)
            .await
            .expect("the response continues");
    }
    drop(stream);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects() {
    let mut fleet = support::start_two_nodes().await;
    support::lengthen_timeouts(&fleet, &["node-1", "node-2"]).await;
    let node = fleet.instance("node-1").addresses["target"];
    let silent = raw::RawTarget::start(node, "silent", RawResponse::Bytes("")).await;
    for (node, is_h2) in [
        ("node-1", false),
        ("node-2", false),
        ("node-1", true),
        ("node-2", true),
    ] {
        let path = format!("/vehicles/{node}-{is_h2}");
        let callers = fleet.instance(node).addresses["callers"];
        wait::until("the request at the target", || async {
            let mut sender = open_connection(callers, is_h2).await;
            let (body_sender, body) = channel::Channel::new(1);
            drop(body_sender);
            let request = Request::get(format!("http://registru{path}"))
                .header("host", "registru")
                .body(body)
                .ok()?;
            let waited = time::timeout(Duration::from_millis(500), sender.send(request)).await;
            drop(waited);
            let received = silent.received().await;
            received
                .iter()
                .any(|text| text.contains(&path))
                .then_some(())
        })
        .await;
        silent.wait_until_unconnected().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_exceeded() {
    let mut fleet = support::start_two_nodes().await;
    let node = fleet.instance("node-1").addresses["target"];
    let silent = raw::RawTarget::start(node, "silent", RawResponse::Bytes("")).await;
    for node in ["node-1", "node-2"] {
        let response = wait::until("a target that the node can reach", || async {
            let request = Request::get(format!("/vehicles/{node}"))
                .header("hazeltiller-deadline-ms", "300")
                .body(Full::default())
                .ok()?;
            let response = fleet.send_request(node, "callers", request).await?;
            (response.status() != 503).then_some(response)
        })
        .await;
        assert_eq!(response.status(), 504, "{node}");
        assert_eq!(response.headers()["hazeltiller-code"], "HZ3005");
        assert_eq!(response.headers()["hazeltiller-outcome"], "unknown");
        raw::wait_for_request(&silent, node).await;
        silent.wait_until_unconnected().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies() {
    let mut fleet = support::start_small_fleet().await;
    start_echo_target(fleet.instance("node-1").addresses["target"]).await;
    support::wait_for_routing(&fleet, "node-1").await;
    let callers = fleet.instance("node-1").addresses["callers"];
    for size in [0, 1, 65_535, 65_536, 65_537, 3 << 20] {
        let body = Bytes::from(vec![b'x'; size]);
        let frames = body.chunks(10_000).map(Bytes::copy_from_slice);
        let frames: Vec<_> = frames
            .map(|chunk| Ok::<_, Infallible>(Frame::data(chunk)))
            .collect();
        let stream = TcpStream::connect(callers).await.expect("the node listens");
        let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.expect("the node speaks HTTP/1.1");
        tokio::spawn(connection);
        let request = Request::post("/certificates/large")
            .header("host", "registru")
            .body(StreamBody::new(futures_util::stream::iter(frames)));
        let response = sender.send_request(request.expect("a valid request")).await;
        let collected = response.expect("a response").into_body().collect().await;
        assert_eq!(
            collected.expect("a complete response").to_bytes().len(),
            size
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_limit() {
    let mut fleet = support::start_small_fleet().await;
    let node = fleet.instance("node-1").addresses["target"];
    let settings = hazeltiller_standin::settings::StandInSettings::builder(
        "few".parse().expect("a valid name"),
        "registru".parse().expect("a valid name"),
        node,
    )
    .slots(10)
    .connections(2)
    .build();
    let target = hazeltiller_standin::target::StandInTarget::start(settings).await;
    let target = target.expect("a free loopback port");
    support::wait_for_routing(&fleet, "node-1").await;
    let calls = (0..12).map(|number| {
        let request = Request::get(format!("/vehicles/{number}")).body(Full::default());
        fleet.send_request("node-1", "callers", request.expect("a valid request"))
    });
    for response in futures_util::future::join_all(calls).await {
        assert!(response.is_some(), "each request is answered");
    }
    assert!(
        target.log().most_running() <= 2,
        "each run uses one connection"
    );
}

/// Answers requests for `/vehicles/small` and starts an endless response to all others.
async fn serve_endless(listener: TcpListener) {
    while let Ok((mut stream, _from)) = listener.accept().await {
        tokio::spawn(async move {
            let mut head = vec![0; 4096];
            let length = stream.read(&mut head).await.unwrap_or(0);
            let is_small = head[..length].starts_with(b"GET /vehicles/small");
            if is_small {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                drop(stream.write_all(answer).await);
                return;
            }
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n";
            drop(stream.write_all(head).await);
            while stream.write_all(&[0; 8192]).await.is_ok() {}
        });
    }
}

/// Callers that did not read their large responses filled the connection between two nodes, and the
/// responses to other callers waited behind them until their deadlines.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_callers() {
    const STALLED_CALLERS: usize = 8;
    let mut fleet = support::start_two_nodes().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(serve_endless(listener));
    let owner_node = fleet.instance("node-1").addresses["target"];
    raw::announce(owner_node, "endless", address, "ready").await;
    let callers = fleet.instance("node-2").addresses["callers"];
    let mut stalled = Vec::new();
    for _ in 0..STALLED_CALLERS {
        let started = wait::until("the start of a response", || async {
            let mut stream = TcpStream::connect(callers).await.ok()?;
            let request = b"GET /vehicles/endless HTTP/1.1\r\nhost: a\r\n\r\n";
            stream.write_all(request).await.ok()?;
            let mut line = [0; 15];
            stream.read_exact(&mut line).await.ok()?;
            (line.as_slice() == b"HTTP/1.1 200 OK").then_some(stream)
        });
        stalled.push(started.await);
    }
    // Time for the responses to fill all buffers on their way.
    time::sleep(Duration::from_secs(1)).await;
    let request = "GET /vehicles/small HTTP/1.1\r\nhost: a\r\nhazeltiller-deadline-ms: 2000\r\n\
        connection: close\r\n\r\n";
    let response = raw::exchange_bytes(callers, request).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    drop(stalled);
}

/// A node that stopped closed its links a moment after the last response was buffered, and cut it
/// where the link was slow.
#[tokio::test(flavor = "multi_thread")]
async fn stop_on_slow_link() {
    for wait_ms in [0, 200] {
        stop_during_response(Duration::from_millis(wait_ms)).await;
    }
}

/// Stops a node after a time from the sending of a request, whose response goes over a slow link.
async fn stop_during_response(wait: Duration) {
    const BODY_BYTES: usize = 300_000;
    const LINK_BYTES_PER_S: usize = 100_000;
    let mut fleet = support::start_two_nodes().await;
    let behaviour = behaviour::StandInBehaviour {
        answer_bytes: BODY_BYTES,
        ..behaviour::StandInBehaviour::default()
    };
    let _target = support::start_stand_in_with(&mut fleet, "node-1", "large", behaviour).await;
    support::wait_for_routing(&fleet, "node-2").await;
    fleet.set_pair_rule(
        "node-1",
        "node-2",
        proxy::FaultRule::Throttle(LINK_BYTES_PER_S),
    );
    let callers = fleet.instance("node-2").addresses["callers"];
    let request = "GET /vehicles/2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let response = tokio::spawn(raw::exchange_bytes(callers, request));
    time::sleep(wait).await;
    assert_eq!(fleet.stop("node-1").await, Some(0));
    let response = response.await.expect("the caller does not panic");
    assert!(response.starts_with("HTTP/1.1 200"), "{}", &response[..60]);
    assert!(
        response.len() > BODY_BYTES,
        "{} bytes of the response",
        response.len()
    );
}

/// A complete response that waited behind an earlier one on its connection was cut at its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn complete_response_waits() {
    let mut fleet = support::start_small_fleet().await;
    let slow = behaviour::StandInBehaviour {
        latency_ms: 4000,
        ..behaviour::StandInBehaviour::default()
    };
    let target = support::start_stand_in(&mut fleet, "node-1", "target-1").await;
    support::wait_for_routing(&fleet, "node-1").await;
    target.set_behaviour(slow);
    let callers = fleet.instance("node-1").addresses["callers"];
    let mut stream = TcpStream::connect(callers).await.expect("the node listens");
    let request = |path: &str, lines: &str| {
        format!("GET /vehicles/{path} HTTP/1.1\r\nhost: a\r\n{lines}\r\n")
    };
    let first = request("first", "");
    let written = stream.write_all(first.as_bytes()).await;
    written.expect("the node reads the request");
    wait::until("the run of the first request", || async {
        let mut runs = target.runs().into_iter();
        runs.any(|run| run.path == "/vehicles/first").then_some(())
    })
    .await;
    target.set_behaviour(behaviour::StandInBehaviour::default());
    let second = request("second", "hazeltiller-deadline-ms: 2000\r\n");
    let third = request("third", "connection: close\r\n");
    let written = stream.write_all((second + &third).as_bytes()).await;
    written.expect("the node reads the requests");
    let mut received = String::new();
    let reading = stream.read_to_string(&mut received);
    let read = wait::complete("the end of the responses", reading).await;
    read.expect("the responses are text");
    for path in ["first", "second", "third"] {
        let body = format!("ran GET /vehicles/{path}\n");
        assert!(received.contains(&body), "{path}: {received}");
    }
}
