//! Bodies and heads without end at the listeners of operators and targets.

use tokio::io::AsyncWriteExt;

use crate::scene;

const CLIENTS: usize = 40;
/// Bytes that each client sends of a body that it announces to be larger.
const SENT_BYTES: usize = 8_000_000;
const DECLARED_BYTES: usize = 30_000_000;
/// Bytes of a head that has no end; more than a listener takes of one.
const HEAD_BYTES: usize = 400_000;

async fn withstand_text(name: &str, instance: &str, listener: &str, text: String) {
    let mut scene = scene::CrowdScene::start_with_little_memory(100).await;
    let address = scene.address_at(instance, listener);
    let text = std::sync::Arc::new(text);
    let client = move |_number| {
        let text = std::sync::Arc::clone(&text);
        async move {
            let mut stream = scene::connect(address).await?;
            stream.write_all(text.as_bytes()).await?;
            std::future::pending().await
        }
    };
    scene.withstand(name, CLIENTS, client).await;
}

/// Bodies of changes were collected side by side, each up to its own limit.
#[tokio::test(flavor = "multi_thread")]
async fn incomplete_changes() {
    let head = "POST /v1/changes HTTP/1.1\r\nhost: a";
    let body = " ".repeat(SENT_BYTES);
    let text = format!("{head}\r\ncontent-length: {DECLARED_BYTES}\r\n\r\n{body}");
    withstand_text("incomplete changes", "control-1", "operators", text).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_operator_heads() {
    let text = format!("GET /{}", "a".repeat(HEAD_BYTES));
    withstand_text("endless heads", "node-1", "operators", text).await;
}
