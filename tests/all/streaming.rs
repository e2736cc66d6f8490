//! Bodies both ways, trailers, deadlines, and calls that their callers give up.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hazeltiller_testkit::wait;
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
    raw::{self, RawAnswer},
    support,
};

type EchoBody = UnsyncBoxBody<Bytes, hyper::Error>;

/// A target that answers with the body it is sent, piece by piece, trailers too.
async fn echo_target(node: SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _from)) = listener.accept().await {
            let echo = service::service_fn(|request: Request<Incoming>| async move {
                let mut response = Response::new(request.into_body().boxed_unsync());
                let names = response.headers_mut();
                names.insert("trailer", "x-sum".parse().expect("it is a header's value"));
                Ok::<Response<EchoBody>, Infallible>(response)
            });
            let server = server::conn::http1::Builder::new();
            tokio::spawn(server.serve_connection(rt::TokioIo::new(stream), echo));
        }
    });
    raw::announce(node, "echo", address, "ready").await;
}

type Pieces = channel::Channel<Bytes, Infallible>;

async fn connected(address: SocketAddr, is_h2: bool) -> Sender {
    let stream = TcpStream::connect(address).await.expect("the node listens");
    let stream = rt::TokioIo::new(stream);
    if is_h2 {
        let handshake = http2::handshake(rt::TokioExecutor::new(), stream).await;
        let (sender, connection) = handshake.expect("the node speaks HTTP/2");
        tokio::spawn(connection);
        Sender::H2(sender)
    } else {
        let handshake = http1::handshake(stream).await;
        let (sender, connection) = handshake.expect("the node speaks HTTP/1.1");
        tokio::spawn(connection);
        Sender::H1(sender)
    }
}

enum Sender {
    H1(http1::SendRequest<Pieces>),
    H2(http2::SendRequest<Pieces>),
}

impl Sender {
    async fn send(&mut self, request: Request<Pieces>) -> hyper::Result<Response<Incoming>> {
        match self {
            Self::H1(sender) => sender.send_request(request).await,
            Self::H2(sender) => sender.send_request(request).await,
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn both_ways() {
    let mut fleet = support::small_fleet().await;
    fleet.add_node("brasov-a", "node-2").await;
    fleet.start(&["node-2"], &[]).await;
    fleet.wait_version(&["node-2"], 1).await;
    echo_target(fleet.instance("node-1").addresses["target"]).await;
    support::wait_routed(&fleet, "node-2").await;
    for (node, is_h2) in [
        ("node-1", false),
        ("node-1", true),
        ("node-2", false),
        ("node-2", true),
    ] {
        let callers = fleet.instance(node).addresses["callers"];
        let mut sender = connected(callers, is_h2).await;
        let (mut pieces, body) = channel::Channel::<Bytes, Infallible>::new(1);
        let request = Request::post("http://registru/certificates/9")
            .header("host", "registru")
            .header("te", "trailers")
            .header("trailer", "x-sum")
            .body(body);
        let writer = tokio::spawn(async move {
            pieces
                .send_data(Bytes::from("first"))
                .await
                .expect("the call is open");
            pieces
        });
        let response = sender.send(request.expect("it is a request")).await;
        let mut answer = response
            .expect("an answer begins before the request ends")
            .into_body();
        let first = answer.frame().await.expect("a piece").expect("a sound one");
        assert_eq!(
            first.into_data().expect("data"),
            "first",
            "{node} h2={is_h2}"
        );
        let mut pieces = writer.await.expect("the writer does not panic");
        pieces
            .send_data(Bytes::from("second"))
            .await
            .expect("the call is open");
        let mut trailers = HeaderMap::new();
        trailers.insert("x-sum", "11".parse().expect("it is a header's value"));
        pieces
            .send_trailers(trailers)
            .await
            .expect("the call is open");
        drop(pieces);
        let rest = answer.collect().await.expect("the answer is whole");
        let trailers = rest.trailers().cloned().expect("trailers passed both ways");
        assert_eq!(trailers["x-sum"], "11", "{node} h2={is_h2}");
        assert_eq!(rest.to_bytes(), "second");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_reader() {
    let mut fleet = support::small_fleet().await;
    let node = fleet.instance("node-1").addresses["target"];
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let written = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    raw::announce(
        node,
        "endless",
        listener.local_addr().expect("bound"),
        "ready",
    )
    .await;
    let count = Arc::clone(&written);
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
    let mut stream = wait::until("an answer that began", || async {
        let mut stream = TcpStream::connect(callers).await.ok()?;
        let request = b"GET /vehicles/endless HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut line = [0; 15];
        stream.read_exact(&mut line).await.ok()?;
        (line.as_slice() == b"HTTP/1.1 200 OK").then_some(stream)
    })
    .await;
    let stuck = wait::until("a target that is held back", || async {
        let before = written.load(std::sync::atomic::Ordering::Relaxed);
        time::sleep(Duration::from_millis(300)).await;
        let after = written.load(std::sync::atomic::Ordering::Relaxed);
        (before == after && before > 0).then_some(after)
    })
    .await;
    assert!(
        stuck < 64 << 20,
        "{stuck} bytes went out to a caller that does not read"
    );
    let mut piece = vec![0; 1 << 20];
    for _ in 0..64 {
        stream
            .read_exact(&mut piece)
            .await
            .expect("the answer goes on");
    }
    drop(stream);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_gone() {
    let mut fleet = support::small_fleet().await;
    fleet.add_node("brasov-a", "node-2").await;
    fleet.start(&["node-2"], &[]).await;
    fleet.wait_version(&["node-2"], 1).await;
    let node = fleet.instance("node-1").addresses["target"];
    let silent = raw::RawTarget::start(node, "silent", RawAnswer::Bytes("")).await;
    for (node, is_h2) in [
        ("node-1", false),
        ("node-2", false),
        ("node-1", true),
        ("node-2", true),
    ] {
        let path = format!("/vehicles/{node}-{is_h2}");
        let callers = fleet.instance(node).addresses["callers"];
        wait::until("the request at the target", || async {
            let mut sender = connected(callers, is_h2).await;
            let (pieces, body) = channel::Channel::new(1);
            drop(pieces);
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
        let ended = time::timeout(wait::WAIT_TIMEOUT, silent.ended.notified()).await;
        ended.expect("the target's connection ends when its caller goes");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_over() {
    let mut fleet = support::small_fleet().await;
    fleet.add_node("brasov-a", "node-2").await;
    fleet.start(&["node-2"], &[]).await;
    fleet.wait_version(&["node-2"], 1).await;
    let node = fleet.instance("node-1").addresses["target"];
    let silent = raw::RawTarget::start(node, "silent", RawAnswer::Bytes("")).await;
    for node in ["node-1", "node-2"] {
        let answer = wait::until("a target that is known", || async {
            let request = Request::get(format!("/vehicles/{node}"))
                .header("hazeltiller-deadline-ms", "300")
                .body(Full::default())
                .ok()?;
            let answer = fleet.send_request(node, "callers", request).await?;
            (answer.status() != 503).then_some(answer)
        })
        .await;
        assert_eq!(answer.status(), 504, "{node}");
        assert_eq!(answer.headers()["hazeltiller-code"], "HZ3005");
        assert_eq!(answer.headers()["hazeltiller-outcome"], "unknown");
        raw::wait_received(&silent, node).await;
        silent.ended.notified().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies() {
    let mut fleet = support::small_fleet().await;
    echo_target(fleet.instance("node-1").addresses["target"]).await;
    support::wait_routed(&fleet, "node-1").await;
    let callers = fleet.instance("node-1").addresses["callers"];
    for size in [0, 1, 65_535, 65_536, 65_537, 3 << 20] {
        let body = Bytes::from(vec![b'x'; size]);
        let frames = body.chunks(10_000).map(Bytes::copy_from_slice);
        let frames: Vec<_> = frames
            .map(|piece| Ok::<_, Infallible>(Frame::data(piece)))
            .collect();
        let stream = TcpStream::connect(callers).await.expect("the node listens");
        let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.expect("the node speaks HTTP/1.1");
        tokio::spawn(connection);
        let request = Request::post("/certificates/large")
            .header("host", "registru")
            .body(StreamBody::new(futures_util::stream::iter(frames)));
        let response = sender.send_request(request.expect("it is a request")).await;
        let answer = response.expect("an answer").into_body().collect().await;
        assert_eq!(answer.expect("a whole one").to_bytes().len(), size);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn few_connections() {
    let mut fleet = support::small_fleet().await;
    let node = fleet.instance("node-1").addresses["target"];
    let settings = hazeltiller_standin::settings::StandInSettings::builder(
        "few".parse().expect("it is a name"),
        "registru".parse().expect("it is a name"),
        node,
    )
    .slots(10)
    .connections(2)
    .build();
    let target = hazeltiller_standin::target::StandInTarget::start(settings).await;
    let target = target.expect("loopback has a free port");
    support::wait_routed(&fleet, "node-1").await;
    let calls = (0..12).map(|number| {
        let request = Request::get(format!("/vehicles/{number}")).body(Full::default());
        fleet.send_request("node-1", "callers", request.expect("it is a request"))
    });
    for answer in futures_util::future::join_all(calls).await {
        assert!(answer.is_some(), "each caller is answered");
    }
    assert!(
        target.log().most_running() <= 2,
        "each run takes a connection"
    );
}
