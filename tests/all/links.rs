//! Links between processes whose other side goes silent without a word of the network.

use std::net::SocketAddr;

use hazeltiller_daemon::{byte_counts, handshake, links};
use hazeltiller_testkit::node;
use hazeltiller_wire::{codec, handshake as wire, membership, message};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

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
    let mut prefix = [0; codec::LENGTH_BYTES];
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
