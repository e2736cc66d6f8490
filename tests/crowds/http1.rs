//! HTTP/1.1 requests that are sent ahead, with their responses unread.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::io::AsyncWriteExt;

use crate::scene;

const CLIENTS: usize = 150;
/// Clients of large responses, several for each slot of the targets.
const LARGE_CLIENTS: usize = 60;
/// Size of a response that a node holds whole.
const RESPONSE_BYTES: usize = 60_000;
/// Size of a response that a node passes on as it comes.
const LARGE_RESPONSE_BYTES: usize = 3_000_000;
/// Size of a body that a node keeps for another attempt.
const BODY_BYTES: usize = 60_000;
/// Size of a head that a node takes.
const HEAD_BYTES: usize = 60_000;
const SMALL_RESPONSE_BYTES: usize = 100;

/// Sends a request again and again and reads nothing.
async fn send_ahead(address: SocketAddr, request: &str) -> std::io::Result<()> {
    let mut stream = scene::connect(address).await?;
    loop {
        stream.write_all(request.as_bytes()).await?;
    }
}

async fn withstand_requests(scene: &mut scene::CrowdScene, name: &str, count: usize, text: String) {
    let (address, text) = (scene.address("callers"), Arc::new(text));
    let client = move |_number| {
        let text = Arc::clone(&text);
        async move { send_ahead(address, &text).await }
    };
    scene.withstand(name, count, client).await;
}

fn get_request() -> String {
    "GET /vehicles/ahead HTTP/1.1\r\nhost: a\r\n\r\n".into()
}

fn post_request() -> String {
    let body = "b".repeat(BODY_BYTES);
    let head = "POST /certificates/ahead HTTP/1.1\r\nhost: a";
    format!("{head}\r\ncontent-length: {BODY_BYTES}\r\n\r\n{body}")
}

fn large_head_request() -> String {
    let value = "h".repeat(HEAD_BYTES);
    format!("GET /vehicles/ahead HTTP/1.1\r\nhost: a\r\nx-large: {value}\r\n\r\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_responses() {
    let mut scene = scene::CrowdScene::start_with_little_memory(RESPONSE_BYTES).await;
    let text = get_request();
    withstand_requests(&mut scene, "unread responses", CLIENTS, text).await;
}

/// Each such response holds a slot of its target, so that no other caller got one.
#[tokio::test(flavor = "multi_thread")]
async fn unread_large_responses() {
    let mut scene = scene::CrowdScene::start_with_little_memory(LARGE_RESPONSE_BYTES).await;
    let text = get_request();
    withstand_requests(&mut scene, "large responses", LARGE_CLIENTS, text).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_ahead() {
    let mut scene = scene::CrowdScene::start_with_little_memory(RESPONSE_BYTES).await;
    let text = post_request();
    withstand_requests(&mut scene, "bodies sent ahead", CLIENTS, text).await;
}

/// A request with a key continues after its caller has gone.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_bodies_ahead() {
    let mut scene = scene::CrowdScene::start_with_little_memory(RESPONSE_BYTES).await;
    let address = scene.address("callers");
    let (head, rest) = {
        let request = post_request();
        let (head, rest) = request.split_once("\r\n").expect("a request line");
        (head.to_owned(), Arc::new(rest.to_owned()))
    };
    let last_key = Arc::new(AtomicU64::new(0));
    let client = move |_number| {
        let (head, rest, last_key) = (head.clone(), Arc::clone(&rest), Arc::clone(&last_key));
        async move {
            let mut stream = scene::connect(address).await?;
            loop {
                let key = last_key.fetch_add(1, Ordering::Relaxed);
                let keyed = format!("{head}\r\nidempotency-key: crowd-{key}\r\n");
                stream.write_all(keyed.as_bytes()).await?;
                stream.write_all(rest.as_bytes()).await?;
            }
        }
    };
    scene.withstand("keyed bodies", CLIENTS, client).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_ahead() {
    let mut scene = scene::CrowdScene::start_with_little_memory(RESPONSE_BYTES).await;
    let text = large_head_request();
    withstand_requests(&mut scene, "large heads", CLIENTS, text).await;
}

/// A second crowd of another kind starts from the memory that the first one has left.
#[tokio::test(flavor = "multi_thread")]
async fn crowds_in_series() {
    let mut scene = scene::CrowdScene::start_with_little_memory(SMALL_RESPONSE_BYTES).await;
    for text in [large_head_request(), post_request(), get_request()] {
        withstand_requests(&mut scene, "one crowd of several", CLIENTS, text).await;
    }
}
