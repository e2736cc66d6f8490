//! Callers that disconnect in bursts, whose requests are cancelled on the links between nodes.

use tokio::io::AsyncWriteExt;

use crate::scene;

const CLIENTS: usize = 40;
const RESPONSE_BYTES: usize = 60_000;
/// Requests that each client sends at once before it disconnects.
const REQUESTS: usize = 16;
const HEAD_BYTES: usize = 30_000;

/// Guards against a link between two nodes that ends, with all calls on it, because many of them were
/// cancelled at once.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_calls() {
    let mut scene = scene::CrowdScene::start_with_debug_log(RESPONSE_BYTES).await;
    let address = scene.address("callers");
    let head = format!(
        "GET /vehicles/burst HTTP/1.1\r\nhost: a\r\nx-large: {}\r\n\r\n",
        "h".repeat(HEAD_BYTES)
    );
    let request = head.repeat(REQUESTS);
    let client = move |_number| {
        let request = request.clone();
        async move {
            let mut stream = scene::connect(address).await?;
            stream.write_all(request.as_bytes()).await
        }
    };
    scene.withstand("disconnects", CLIENTS, client).await;
    let log = scene.fleet.log("node-2");
    let ended: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("call connection ended"))
        .collect();
    assert!(ended.is_empty(), "{ended:#?}");
}
