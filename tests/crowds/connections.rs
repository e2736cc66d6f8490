//! More connections than a process has descriptors, without a whole request.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time,
};

use crate::scene;

/// More than the descriptors of a process.
const CLIENTS: usize = 400;
const BYTE_PAUSE: Duration = Duration::from_secs(1);
const HTTP2_PREFACE: &str = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// A frame with no settings.
const EMPTY_SETTINGS: [u8; 9] = [0, 0, 0, 4, 0, 0, 0, 0, 0];

/// Sends bytes and keeps the connection open until the node closes it.
async fn send_and_stay(address: SocketAddr, bytes: &[u8]) -> std::io::Result<()> {
    let mut stream = scene::connect(address).await?;
    stream.write_all(bytes).await?;
    let mut rest = [0; 64];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}

/// Sends one byte after the other, then the last of them without end.
async fn send_slowly(address: SocketAddr, bytes: &[u8]) -> std::io::Result<()> {
    let mut stream = scene::connect(address).await?;
    let last = bytes.last().copied().unwrap_or(b'a');
    for byte in bytes.iter().copied().chain(std::iter::repeat(last)) {
        stream.write_all(&[byte]).await?;
        time::sleep(BYTE_PAUSE).await;
    }
    Ok(())
}

async fn withstand_bytes(name: &str, instance: &str, listener: &str, bytes: &'static [u8]) {
    let mut scene = scene::CrowdScene::start_with_few_descriptors().await;
    let address = scene.address_at(instance, listener);
    let client = move |_number| send_and_stay(address, bytes);
    scene.withstand(name, CLIENTS, client).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_callers() {
    withstand_bytes("silent callers", "node-1", "callers", b"").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_targets() {
    withstand_bytes("silent targets", "node-1", "target", b"").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_operators() {
    withstand_bytes("silent operators", "node-1", "operators", b"").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_operators_of_control() {
    withstand_bytes("silent operators", "control-1", "operators", b"").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_peers() {
    withstand_bytes("silent peers", "node-1", "peers", b"").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_caller_heads() {
    let mut scene = scene::CrowdScene::start_with_few_descriptors().await;
    let address = scene.address("callers");
    let head = b"GET /vehicles/slow HTTP/1.1\r\nhost: a\r\nx-slow: a";
    let client = move |_number| send_slowly(address, head);
    scene.withstand("endless heads", CLIENTS, client).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_prefaces() {
    let mut scene = scene::CrowdScene::start_with_few_descriptors().await;
    let address = scene.address("callers");
    let client = move |_number| send_slowly(address, &HTTP2_PREFACE.as_bytes()[..14]);
    scene.withstand("slow prefaces", CLIENTS, client).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streamless_connections() {
    let mut scene = scene::CrowdScene::start_with_few_descriptors().await;
    let address = scene.address("callers");
    let client = move |_number| async move {
        let opening = [HTTP2_PREFACE.as_bytes(), &EMPTY_SETTINGS].concat();
        send_and_stay(address, &opening).await
    };
    scene.withstand("no streams", CLIENTS, client).await;
}
