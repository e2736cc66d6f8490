//! Buffers small responses in full before any part of them is passed on.
//!
//! A target may fail in the middle of a response. As long as nothing has been sent to the caller,
//! the call can be retried if that is safe. Buffering also establishes that a response delimited by
//! the end of its connection is complete. Larger responses and chunked ones are streamed.
//!
//! The connection between two nodes can be lost in the middle of a response as well, so the ingress
//! node buffers, too. Otherwise it would have to close the caller's connection on a truncated
//! response, which fails the requests pipelined behind it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{body::Body, header, http as hyper_http};
use snafu::Snafu;
use tokio::time;

use crate::http;

/// Why a response cannot be passed on.
#[derive(Debug, Snafu)]
pub enum BufferError {
    /// The body ended early.
    #[snafu(display("response body ended early: {message}"))]
    Truncated {
        /// The cause.
        message: String,
    },
    /// The deadline passed before the body was complete.
    #[snafu(display("deadline exceeded before the response body was complete"))]
    DeadlineExceeded,
}

/// A body, of which the beginning or all may have been read.
#[derive(Debug)]
pub struct BufferedBody {
    /// The body.
    pub body: http::StreamBody,
    /// Whether all of it has been read.
    pub is_complete: bool,
}

/// Buffers a body of at most `max_bytes` until `deadline`. A larger body is streamed.
pub async fn buffer<B>(
    body: B,
    head: &hyper_http::response::Parts,
    max_bytes: u64,
    deadline: time::Instant,
) -> Result<BufferedBody, BufferError>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<http::BodyError>,
{
    if !should_buffer(&body, head, max_bytes) {
        let is_complete = body.is_end_stream();
        let body = http::stream_body(body);
        return Ok(BufferedBody { body, is_complete });
    }
    let reading = read(body, max_bytes as usize);
    time::timeout_at(deadline, reading)
        .await
        .unwrap_or(Err(BufferError::DeadlineExceeded))
}

/// Returns whether the declared length of a body is within the limit, or the body is delimited by
/// the end of its connection.
fn should_buffer(body: &impl Body, head: &hyper_http::response::Parts, max_bytes: u64) -> bool {
    match body.size_hint().exact() {
        Some(length) => length > 0 && length <= max_bytes,
        None => max_bytes > 0 && !head.headers.contains_key(header::TRANSFER_ENCODING),
    }
}

async fn read<B>(mut body: B, max_bytes: usize) -> Result<BufferedBody, BufferError>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<http::BodyError>,
{
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BufferError::Truncated {
            message: error.into().to_string(),
        })?;
        // Only chunked responses have trailers, and those are not buffered.
        if let Ok(data) = frame.into_data() {
            buffered.extend_from_slice(&data);
        }
        if buffered.len() > max_bytes {
            return Ok(BufferedBody {
                body: http::chain_body(buffered.freeze(), http::stream_body(body)),
                is_complete: false,
            });
        }
    }
    Ok(BufferedBody {
        body: http::full_body(buffered.freeze()),
        is_complete: true,
    })
}

/// Reads a body of unknown length until it ends, exceeds a number of bytes or a time has passed.
/// Frames stay as they are, trailers included.
pub async fn hold(
    mut body: http::StreamBody,
    max_bytes: usize,
    max_time: Duration,
) -> Result<BufferedBody, BufferError> {
    let end = time::Instant::now() + max_time;
    let mut frames = Vec::new();
    let mut held_bytes = 0;
    let mut is_complete = false;
    while held_bytes <= max_bytes && !is_complete {
        match time::timeout_at(end, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                held_bytes += frame.data_ref().map_or(0, Bytes::len);
                frames.push(frame);
            }
            Ok(Some(Err(error))) => {
                let message = error.to_string();
                return Err(BufferError::Truncated { message });
            }
            Ok(None) => is_complete = true,
            Err(_elapsed) => break,
        }
    }
    Ok(BufferedBody {
        body: http::chain_frames(frames, body),
        is_complete,
    })
}
