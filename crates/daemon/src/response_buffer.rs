//! Reads small answers whole before any of them is passed on.
//!
//! A target may break off in the middle of an answer. As long as nothing went out to the caller,
//! another try can be made where that does no harm, and an answer that ends with its connection is
//! known to be whole. Larger answers, and those whose end only time tells, stream on.
//!
//! The same holds for the way between two nodes: a link may be lost in the middle of an answer. The caller's
//! node holds it too, since a caller's connection that must be closed for an answer that broke off takes the
//! requests along that stand behind it.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{body::Body, header, http as hyper_http};
use snafu::Snafu;
use tokio::time;

use crate::http;

/// Why an answer cannot be passed on.
#[derive(Debug, Snafu)]
pub enum BufferError {
    /// It broke off.
    #[snafu(display("broken off: {message}"))]
    Interrupted {
        /// Why.
        message: String,
    },
    /// The deadline passed before it was whole.
    #[snafu(display("late"))]
    DeadlineExceeded,
}

/// Reads a body of at most `bound` bytes whole, until `due`; a larger one is passed through.
pub async fn buffer<B>(
    body: B,
    head: &hyper_http::response::Parts,
    bound: u64,
    due: time::Instant,
) -> Result<http::StreamBody, BufferError>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<http::BodyError>,
{
    if !is_held(&body, head, bound) {
        return Ok(http::stream_body(body));
    }
    let reading = read(body, bound as usize);
    time::timeout_at(due, reading)
        .await
        .unwrap_or(Err(BufferError::DeadlineExceeded))
}

/// Whether a body is small by its own word, or ends with its connection.
fn is_held(body: &impl Body, head: &hyper_http::response::Parts, bound: u64) -> bool {
    match body.size_hint().exact() {
        Some(length) => length > 0 && length <= bound,
        None => bound > 0 && !head.headers.contains_key(header::TRANSFER_ENCODING),
    }
}

async fn read<B>(mut body: B, bound: usize) -> Result<http::StreamBody, BufferError>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<http::BodyError>,
{
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BufferError::Interrupted {
            message: error.into().to_string(),
        })?;
        // Only chunked answers have trailers, and those are not held.
        if let Ok(data) = frame.into_data() {
            held.extend_from_slice(&data);
        }
        if held.len() > bound {
            return Ok(http::chain(held.freeze(), http::stream_body(body)));
        }
    }
    Ok(http::full_body(held.freeze()))
}
