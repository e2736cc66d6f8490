//! Callers that read their responses at a few bytes a second.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time,
};

use crate::scene;

/// Several for each slot of the targets.
const CLIENTS: usize = 60;
const RESPONSE_BYTES: usize = 3_000_000;
const BYTE_PAUSE: Duration = Duration::from_millis(100);

/// Each byte that was read counted as progress, so that every slot stayed taken.
#[tokio::test(flavor = "multi_thread")]
async fn single_bytes_read() {
    let mut scene = scene::CrowdScene::start_with_little_memory(RESPONSE_BYTES).await;
    let address = scene.address("callers");
    let client = move |_number| async move {
        let mut stream = scene::connect(address).await?;
        let request = b"GET /vehicles/slow HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await?;
        while stream.read_u8().await.is_ok() {
            time::sleep(BYTE_PAUSE).await;
        }
        Ok(())
    };
    scene.withstand("slow readers", CLIENTS, client).await;
}
