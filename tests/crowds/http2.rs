//! HTTP/2 connections with many streams, little of which is read.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use h2::client;
use hyper::Request;
use tokio::{net::TcpStream, time};

use crate::scene;

const CLIENTS: usize = 40;
const RESPONSE_BYTES: usize = 60_000;
const LARGE_RESPONSE_BYTES: usize = 3_000_000;
const BODY_BYTES: usize = 60_000;
/// Size of the headers of a request that a node takes.
const HEAD_BYTES: usize = 40_000;
/// Streams of a connection, as many as most servers allow.
const STREAMS: usize = 100;
/// Window of a stream and of a connection whose client grants much and reads nothing.
const LARGE_WINDOW_BYTES: u32 = 16 << 20;
/// Time in which a client drives its connection, before it stops to read.
const SEND_TIME: Duration = Duration::from_secs(2);

/// What a client does on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamMisuse {
    /// Grants no bytes of a response.
    ClosedWindow,
    /// Grants many bytes, and stops to read the connection.
    Unread,
    /// Sends as many bytes of headers as are taken, and reads nothing.
    LargeHeads,
    /// Sends bodies, and reads nothing.
    Bodies,
    /// Resets each stream as soon as it has begun.
    Resets,
}

impl StreamMisuse {
    fn request(self) -> Request<()> {
        let request = match self {
            Self::Bodies => Request::post("http://a/certificates/streams"),
            Self::LargeHeads => {
                let value = "h".repeat(HEAD_BYTES);
                Request::get("http://a/vehicles/streams").header("x-large", value)
            }
            _ => Request::get("http://a/vehicles/streams"),
        };
        request.body(()).expect("a valid request")
    }

    fn has_body(self) -> bool {
        self == Self::Bodies
    }

    /// Time for which the connection is read.
    fn read_time(self) -> Duration {
        match self {
            Self::ClosedWindow | Self::Resets => Duration::MAX,
            _ => SEND_TIME,
        }
    }
}

async fn open_streams(address: SocketAddr, misuse: StreamMisuse) -> std::io::Result<()> {
    let stream = scene::connect(address).await?;
    let window = match misuse {
        StreamMisuse::ClosedWindow => 0,
        _ => LARGE_WINDOW_BYTES,
    };
    let opened = client::Builder::new()
        .initial_window_size(window)
        .initial_connection_window_size(LARGE_WINDOW_BYTES)
        .handshake::<TcpStream, Bytes>(stream);
    let (sender, connection) = opened.await.map_err(std::io::Error::other)?;
    let mut connection = std::pin::pin!(connection);
    let sending = async {
        // Ends with the connection.
        drop(send_requests(sender, misuse).await);
        std::future::pending::<()>().await;
    };
    let mut sending = std::pin::pin!(sending);
    tokio::select! {
        ended = connection.as_mut() => return ended.map_err(std::io::Error::other),
        () = sending.as_mut() => {}
        () = time::sleep(misuse.read_time()) => {}
    }
    std::future::pending().await
}

async fn send_requests(
    sender: client::SendRequest<Bytes>,
    misuse: StreamMisuse,
) -> Result<(), h2::Error> {
    let mut open = std::collections::VecDeque::new();
    let mut sender = sender;
    loop {
        sender = sender.ready().await?;
        let (response, mut body) = sender.send_request(misuse.request(), !misuse.has_body())?;
        if misuse.has_body() {
            body.send_data(Bytes::from(vec![b'b'; BODY_BYTES]), true)?;
        }
        if misuse == StreamMisuse::Resets {
            body.send_reset(h2::Reason::CANCEL);
            tokio::task::yield_now().await;
        }
        open.push_back((response, body));
        if open.len() > STREAMS {
            if misuse != StreamMisuse::Resets {
                return std::future::pending().await;
            }
            open.pop_front();
        }
    }
}

async fn withstand_streams(misuse: StreamMisuse, response_bytes: usize) {
    let mut scene = scene::CrowdScene::start_with_little_memory(response_bytes).await;
    let address = scene.address("callers");
    let client = move |_number| open_streams(address, misuse);
    scene
        .withstand(&format!("{misuse:?}"), CLIENTS, client)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn closed_windows() {
    withstand_streams(StreamMisuse::ClosedWindow, RESPONSE_BYTES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_streams() {
    withstand_streams(StreamMisuse::Unread, RESPONSE_BYTES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_large_streams() {
    withstand_streams(StreamMisuse::Unread, LARGE_RESPONSE_BYTES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_stream_heads() {
    withstand_streams(StreamMisuse::LargeHeads, RESPONSE_BYTES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_bodies() {
    withstand_streams(StreamMisuse::Bodies, RESPONSE_BYTES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reset_streams() {
    withstand_streams(StreamMisuse::Resets, RESPONSE_BYTES).await;
}
