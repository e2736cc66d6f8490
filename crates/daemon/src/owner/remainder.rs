//! The rest of a declined response, which is read so that its connection can be reused.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time;

use crate::{http, pool, process};

/// Time allowed to read the rest. The connection is closed afterwards.
const MAX_REMAINDER_TIME: Duration = Duration::from_millis(200);
/// Bytes read of the rest. More of them cost more than a new connection.
const MAX_REMAINDER_BYTES: usize = 65_536;

/// Discards the rest of a declined response, then returns its connection to the pool.
pub(super) fn drain_and_reuse(
    context: Arc<process::ProcessContext>,
    address: SocketAddr,
    body: Incoming,
    connection: pool::TargetConnection,
) {
    tokio::spawn(async move {
        match time::timeout(MAX_REMAINDER_TIME, discard(body)).await {
            Ok(Ok(())) => context.targets.put_idle(address, connection),
            Ok(Err(error)) => log::debug!("declined response of target {address}: {error}"),
            Err(_elapsed) => {
                log::debug!("declined response of target {address} has no end in time");
            }
        }
    });
}

async fn discard(body: Incoming) -> Result<(), http::BodyError> {
    let mut body = Limited::new(body, MAX_REMAINDER_BYTES);
    while let Some(frame) = body.frame().await {
        frame?;
    }
    Ok(())
}
