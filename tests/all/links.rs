//! Links between processes whose peer stops responding while the connection stays open.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_daemon::{byte_counts, handshake, http, links, pool};
use hazeltiller_testkit::node;
use hazeltiller_wire::{codec, handshake as wire, membership, message};
use hyper::{Request, Response, StatusCode, server::conn::http2, service};
use hyper_util::rt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime,
};

/// Time for which a node blocks: longer than the idle time after which it is sent a keepalive ping.
const BLOCKED_TIME: Duration = Duration::from_secs(1);

fn credentials(name: &str) -> handshake::LinkCredentials {
    handshake::LinkCredentials {
        identity: node::identity(name, "brasov-a", "ro-centru"),
        key: wire::GroupKey::new(b"secret".to_vec()),
    }
}

fn sample_frame() -> message::PeerFrame {
    let probe = membership::MembershipMessage::Introduction(Vec::new());
    message::PeerFrame {
        clock: hazeltiller_daemon::timeline::HybridClock::default().tick(),
        message: message::PeerMessage::Membership(probe),
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    (listener, address)
}

/// Accepts a link and completes the handshake.
async fn accept(listener: &TcpListener) -> TcpStream {
    let (mut stream, _from) = listener.accept().await.expect("a link is opened");
    let handshake_result = credentials("other").accept(&mut stream).await;
    handshake_result.expect("both sides have the same key");
    stream
}

async fn read_frame(stream: &mut TcpStream) {
    let mut prefix = [0; codec::LENGTH_PREFIX_BYTES];
    stream
        .read_exact(&mut prefix)
        .await
        .expect("a frame arrives");
    let size = codec::frame_length(prefix).expect("a valid frame length");
    let mut body = vec![0; size];
    stream
        .read_exact(&mut body)
        .await
        .expect("the frame is complete");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_link_lost() {
    let (listener, address) = listen().await;
    let counts = byte_counts::ByteCounts::default();
    let (table, mut losses) = links::LinkTable::new(credentials("own"), counts);
    table.send(address, &sample_frame());
    let mut silent_peer = accept(&listener).await;
    read_frame(&mut silent_peer).await;
    // The connection still accepts writes, but the peer acknowledges nothing.
    assert_eq!(losses.recv().await, Some(address));
    table.send(address, &sample_frame());
    let mut reopened = accept(&listener).await;
    read_frame(&mut reopened).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_link_kept() {
    let (listener, address) = listen().await;
    let counts = byte_counts::ByteCounts::default();
    let (table, mut losses) = links::LinkTable::new(credentials("own"), counts);
    table.send(address, &sample_frame());
    let mut stream = accept(&listener).await;
    for _ in 0..3 {
        read_frame(&mut stream).await;
        let acknowledged = stream.write_all(&[links::ACK_BYTE]).await;
        acknowledged.expect("the link is open");
        table.send(address, &sample_frame());
    }
    read_frame(&mut stream).await;
    assert!(
        losses.try_recv().is_err(),
        "the link is kept while frames are acknowledged"
    );
}

/// Runs a node that blocks for `BLOCKED_TIME` on the first call and then answers it.
fn run_blocking_node(listener: std::net::TcpListener) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    runtime.block_on(async move {
        let listener = TcpListener::from_std(listener).expect("the listener is bound");
        let stream = accept(&listener).await;
        let answer = service::service_fn(|_request| async {
            // Blocks the only thread of the runtime, so that no keepalive ping is answered.
            std::thread::sleep(BLOCKED_TIME);
            Ok::<_, std::convert::Infallible>(Response::new(http::full_body("")))
        });
        let server = http2::Builder::new(rt::TokioExecutor::new());
        // The caller may have disconnected.
        drop(
            server
                .serve_connection(rt::TokioIo::new(stream), answer)
                .await,
        );
    });
}

async fn call_blocking_node(keepalive_timeout: Duration) -> Result<StatusCode, pool::SendError> {
    let (listener, address) = listen().await;
    let listener = listener.into_std().expect("the listener is bound");
    std::thread::spawn(|| run_blocking_node(listener));
    let nodes = pool::NodePool::with_keepalive_timeout(credentials("own"), keepalive_timeout);
    let request = Request::get(format!("http://{address}/")).body(http::full_body(""));
    let sent = nodes
        .send(address, request.expect("a valid request URI"))
        .await;
    sent.map(|response| response.status())
}

/// A keepalive response can be late on a busy link; the calls on it must not fail before the
/// timeout.
#[tokio::test(flavor = "multi_thread")]
async fn late_keepalive_tolerated() {
    let answered = call_blocking_node(Duration::from_secs(600)).await;
    assert_eq!(answered.expect("the call succeeds"), StatusCode::OK);
}

/// Calls on a link without a keepalive response fail, and are not reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn missing_keepalive_fails() {
    let answered = call_blocking_node(Duration::from_millis(1)).await;
    let is_broken = matches!(answered, Err(pool::SendError::ConnectionLost { .. }));
    assert!(is_broken, "{answered:?}");
}

/// Concurrent calls to an unreachable node share one connection attempt, and each fails as not
/// sent.
#[tokio::test(flavor = "multi_thread")]
async fn connect_shared() {
    let (listener, address) = listen().await;
    let nodes = pool::NodePool::new(credentials("own"));
    let send = || {
        let request = Request::get(format!("http://{address}/")).body(http::full_body(""));
        nodes.send(address, request.expect("a valid request URI"))
    };
    // The node accepts connections but never sends its handshake.
    let (first, second, third) = tokio::join!(send(), send(), send());
    for sent in [first, second, third] {
        let is_unsent = matches!(sent, Err(pool::SendError::NotConnected { .. }));
        assert!(is_unsent, "{sent:?}");
    }
    let listener = listener.into_std().expect("the listener is bound");
    let connection_count = std::iter::from_fn(|| listener.accept().ok()).count();
    assert_eq!(connection_count, 1);
}
