//! Raw TCP callers and targets, for malformed messages and for checks of the exact bytes received.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use hazeltiller_testkit::wait;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Mutex,
};

/// How a raw target answers each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RawResponse {
    /// Writes these bytes after a request head and keeps the connection open.
    Bytes(&'static str),
    /// Writes these bytes after a request head and closes the connection.
    BytesThenClose(&'static str),
    /// Writes the first bytes and closes the connection after a request with this text in its head,
    /// and the second bytes after others.
    BreaksOff(&'static str, &'static str, &'static str),
    /// Writes a response with the status that ends the path of the request, and closes the connection.
    Status,
}

/// A target that records the bytes it receives.
#[derive(Debug, Clone)]
pub(crate) struct RawTarget {
    received: Arc<Mutex<Vec<String>>>,
    /// Number of connections that have ended.
    ended: Arc<AtomicUsize>,
}

impl RawTarget {
    /// Starts a target and announces it as target `name` of the service `registru`.
    pub(crate) async fn start(node: SocketAddr, name: &str, response: RawResponse) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let target = Self {
            received: Arc::default(),
            ended: Arc::default(),
        };
        let server = target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _from)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream, response));
            }
        });
        announce(node, name, address, "ready").await;
        target
    }

    async fn serve(self, mut stream: TcpStream, response: RawResponse) {
        let index = {
            let mut received = self.received.lock().await;
            received.push(String::new());
            received.len() - 1
        };
        let mut buffer = vec![0; 65_536];
        while let Ok(count) = stream.read(&mut buffer).await {
            if count == 0 {
                break;
            }
            let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
            self.received.lock().await[index].push_str(&text);
            if !text.contains("\r\n\r\n") {
                continue;
            }
            match response {
                RawResponse::Bytes(bytes) => drop(stream.write_all(bytes.as_bytes()).await),
                RawResponse::BytesThenClose(bytes) => {
                    drop(stream.write_all(bytes.as_bytes()).await);
                    break;
                }
                RawResponse::Status => {
                    let path = text.split_whitespace().nth(1).unwrap_or_default();
                    let status = path.rsplit('-').next().unwrap_or_default();
                    let head = format!("HTTP/1.1 {status} None\r\ncontent-length: 2\r\n\r\nok");
                    drop(stream.write_all(head.as_bytes()).await);
                    break;
                }
                RawResponse::BreaksOff(marker, broken, _) if text.contains(marker) => {
                    drop(stream.write_all(broken.as_bytes()).await);
                    break;
                }
                RawResponse::BreaksOff(_, _, whole) => {
                    drop(stream.write_all(whole.as_bytes()).await);
                }
            }
        }
        drop(stream);
        self.ended.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the received text of each connection, in the order of accepting them.
    pub(crate) async fn received(&self) -> Vec<String> {
        self.received.lock().await.clone()
    }

    /// Waits until every connection that was opened to this target has ended.
    pub(crate) async fn wait_until_unconnected(&self) {
        wait::until("the end of every connection to the target", || async {
            let opened = self.received.lock().await.len();
            (self.ended.load(Ordering::Relaxed) == opened).then_some(())
        })
        .await;
    }
}

/// Announces a target of the service `registru` to a node.
pub(crate) async fn announce(node: SocketAddr, name: &str, address: SocketAddr, state: &str) {
    let text = json!({
        "service": "registru", "name": name, "address": address, "slots": 10,
        "connections": 130, "state": state, "lease_ms": 60_000,
    });
    let request = Request::post("/v1/announce").body(Full::from(text.to_string()));
    let response =
        hazeltiller_standin::client::exchange(node, request.expect("a valid request URI")).await;
    assert_eq!(response.expect("the node answers").status(), 200);
}

/// Sends bytes on a new connection and returns everything received until the peer closes it.
pub(crate) async fn exchange_bytes(to: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(to).await.expect("the node listens");
    drop(stream.write_all(bytes.as_bytes()).await);
    let mut response = Vec::new();
    drop(stream.read_to_end(&mut response).await);
    String::from_utf8_lossy(&response).into_owned()
}

/// Waits until a connection of the target has received `pattern` and returns all text of it.
pub(crate) async fn wait_for_request(target: &RawTarget, pattern: &str) -> String {
    wait::until(&format!("{pattern:?} at the target"), || async {
        let received = target.received().await;
        received.into_iter().find(|text| text.contains(pattern))
    })
    .await
}
