//! Links between processes whose other side goes silent without a word of the network.

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

/// Time for which a node gives no sign of life: longer than the silence after which it is asked for one.
const STANDSTILL: Duration = Duration::from_secs(1);

fn credentials(name: &str) -> handshake::LinkCredentials {
    handshake::LinkCredentials {
        identity: node::identity(name, "brasov-a", "ro-centru"),
        key: wire::GroupKey::new(b"secret".to_vec()),
    }
}

fn frame() -> message::PeerFrame {
    let probe = membership::MembershipMessage::Introduction(Vec::new());
    message::PeerFrame {
        clock: hazeltiller_daemon::timeline::HybridClock::default().tick(),
        message: message::PeerMessage::Membership(probe),
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

/// Takes a link and greets.
async fn accept(listener: &TcpListener) -> TcpStream {
    let (mut stream, _from) = listener.accept().await.expect("the link opens");
    let greeted = credentials("other").accept(&mut stream).await;
    greeted.expect("the key is the same");
    stream
}

async fn read_frame(stream: &mut TcpStream) {
    let mut prefix = [0; codec::LENGTH_PREFIX_BYTES];
    stream.read_exact(&mut prefix).await.expect("a frame comes");
    let size = codec::frame_length(prefix).expect("its length is sound");
    let mut body = vec![0; size];
    stream.read_exact(&mut body).await.expect("it is whole");
}

#[tokio::test(flavor = "multi_thread")]
async fn silence_found() {
    let (listener, address) = listen().await;
    let counts = byte_counts::ByteCounts::default();
    let (table, mut losses) = links::LinkTable::new(credentials("own"), counts);
    table.send(address, &frame());
    let mut silent = accept(&listener).await;
    read_frame(&mut silent).await;
    // The network still takes what is written; nobody says that it was read.
    assert_eq!(losses.recv().await, Some(address));
    table.send(address, &frame());
    let mut next = accept(&listener).await;
    read_frame(&mut next).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reading_told() {
    let (listener, address) = listen().await;
    let counts = byte_counts::ByteCounts::default();
    let (table, mut losses) = links::LinkTable::new(credentials("own"), counts);
    table.send(address, &frame());
    let mut stream = accept(&listener).await;
    for _ in 0..3 {
        read_frame(&mut stream).await;
        let told = stream.write_all(&[links::ACK_BYTE]).await;
        told.expect("the link is open");
        table.send(address, &frame());
    }
    read_frame(&mut stream).await;
    assert!(losses.try_recv().is_err(), "one link carried all of it");
}

/// A node that stands still for a time with the first call that comes, and answers it then.
fn slow_node(listener: std::net::TcpListener) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    runtime.block_on(async move {
        let listener = TcpListener::from_std(listener).expect("it is bound");
        let stream = accept(&listener).await;
        let answer = service::service_fn(|_request| async {
            // The whole thread, so that nothing answers for it meanwhile.
            std::thread::sleep(STANDSTILL);
            Ok::<_, std::convert::Infallible>(Response::new(http::full_body("")))
        });
        let server = http2::Builder::new(rt::TokioExecutor::new());
        // The caller may have left.
        drop(
            server
                .serve_connection(rt::TokioIo::new(stream), answer)
                .await,
        );
    });
}

async fn call_slow_node(sign_time: Duration) -> Result<StatusCode, pool::SendError> {
    let (listener, address) = listen().await;
    let listener = listener.into_std().expect("it is bound");
    std::thread::spawn(|| slow_node(listener));
    let nodes = pool::NodePool::with_keepalive_timeout(credentials("own"), sign_time);
    let request = Request::get(format!("http://{address}/")).body(http::full_body(""));
    let sent = nodes.send(address, request.expect("it is a URI")).await;
    sent.map(|response| response.status())
}

/// On a link that has much to carry, a sign of life comes late; its calls are not given up for that.
#[tokio::test(flavor = "multi_thread")]
async fn late_sign_awaited() {
    let answered = call_slow_node(Duration::from_secs(600)).await;
    assert_eq!(answered.expect("the node lives"), StatusCode::OK);
}

/// Calls on a link without any sign of life are given up, and it is not said that they did not run.
#[tokio::test(flavor = "multi_thread")]
async fn no_sign_given_up() {
    let answered = call_slow_node(Duration::from_millis(1)).await;
    let is_broken = matches!(answered, Err(pool::SendError::ConnectionLost { .. }));
    assert!(is_broken, "{answered:?}");
}

/// Calls to a node that cannot be reached share one dial, and each is told that nothing of it was sent.
#[tokio::test(flavor = "multi_thread")]
async fn dial_shared() {
    let (listener, address) = listen().await;
    let nodes = pool::NodePool::new(credentials("own"));
    let send = || {
        let request = Request::get(format!("http://{address}/")).body(http::full_body(""));
        nodes.send(address, request.expect("it is a URI"))
    };
    // The node takes connections and says nothing.
    let (one, other, third) = tokio::join!(send(), send(), send());
    for sent in [one, other, third] {
        let is_unsent = matches!(sent, Err(pool::SendError::NotConnected { .. }));
        assert!(is_unsent, "{sent:?}");
    }
    let listener = listener.into_std().expect("it is bound");
    let dials = std::iter::from_fn(|| listener.accept().ok()).count();
    assert_eq!(dials, 1);
}
