//! Writes the responses of a connection in the order of the requests.

use std::sync::atomic::Ordering;

use bytes::{BufMut, BytesMut};
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Body, header};
use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    sync::mpsc,
};

use super::{CallResponse, ConnectionProgress, QueuedResponse, RequestTask};
use crate::{drain, http};

/// Seconds after which the caller of a request that was not read may return.
const RETRY_AFTER_S: u32 = 1;

/// Properties of a request that determine how its response is encoded.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each reflects an independent part of the request head"
)]
pub(super) struct ResponseOptions {
    /// The method is HEAD, so that the response has no body.
    pub(super) is_head: bool,
    /// The request is HTTP/1.0, so that chunked encoding cannot be used.
    pub(super) is_http10: bool,
    /// The connection closes after the response.
    pub(super) closes_connection: bool,
    /// The caller sent `te: trailers`.
    pub(super) accepts_trailers: bool,
}

/// How the end of a response body is indicated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseFraming {
    None,
    /// By its length, in bytes.
    Length(u64),
    Chunked,
    Close,
}

/// Whether the connection can carry another response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    Open,
    Closed,
}

/// Writes responses until the connection closes.
pub(super) struct ResponseWriter<'a, W> {
    writer: W,
    queue: mpsc::Receiver<QueuedResponse>,
    drain: drain::DrainState,
    progress: &'a ConnectionProgress,
    buffer: BytesMut,
}

impl<'a, W: AsyncWrite + Unpin> ResponseWriter<'a, W> {
    pub(super) fn new(
        writer: W,
        queue: mpsc::Receiver<QueuedResponse>,
        drain: drain::DrainState,
        progress: &'a ConnectionProgress,
    ) -> Self {
        Self {
            writer,
            queue,
            drain,
            progress,
            buffer: BytesMut::new(),
        }
    }

    /// Writes queued responses. Returns when the connection has to be closed.
    pub(super) async fn run(mut self) {
        while let Some(queued) = self.queue.recv().await {
            let state = match queued {
                QueuedResponse::Continue => self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await,
                QueuedResponse::Error(status) => {
                    self.write_error(status).await;
                    ConnectionState::Closed
                }
                QueuedResponse::Refused { response, options } => {
                    let options = ResponseOptions {
                        closes_connection: true,
                        ..options
                    };
                    self.write_response(*response, options).await;
                    ConnectionState::Closed
                }
                QueuedResponse::Served {
                    request,
                    position,
                    options,
                } => {
                    let state = self.write_served(request, options).await;
                    drop(position);
                    state
                }
            };
            self.progress.pending.fetch_sub(1, Ordering::Relaxed);
            if state == ConnectionState::Closed {
                break;
            }
        }
        // Fails if the caller has already closed the connection.
        drop(self.writer.shutdown().await);
    }

    async fn write_served(
        &mut self,
        mut request: RequestTask,
        options: ResponseOptions,
    ) -> ConnectionState {
        let Ok(response) = (&mut request.0).await else {
            // The handler panicked. The connection is closed without a response.
            return ConnectionState::Closed;
        };
        let is_draining = self.drain.phase() > drain::DrainPhase::Serving;
        // While draining, the connection closes once all requests that were read are answered.
        let closes_connection = options.closes_connection || is_draining && self.queue.is_empty();
        self.write_response(
            response,
            ResponseOptions {
                closes_connection,
                ..options
            },
        )
        .await
    }

    async fn write_error(&mut self, status: StatusCode) {
        let mut response = Response::new(http::full_body(""));
        *response.status_mut() = status;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let seconds = header::HeaderValue::from(RETRY_AFTER_S);
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        let options = ResponseOptions {
            is_head: false,
            is_http10: false,
            closes_connection: true,
            accepts_trailers: false,
        };
        self.write_response(response, options).await;
    }

    async fn write_response(
        &mut self,
        response: CallResponse,
        options: ResponseOptions,
    ) -> ConnectionState {
        let (mut parts, mut body) = response.into_parts();
        let closes_connection = options.closes_connection || has_connection_close(&parts.headers);
        let framing = choose_framing(&parts, &body, options);
        let closes_connection = closes_connection || framing == ResponseFraming::Close;
        if closes_connection {
            self.progress.is_closing.store(true, Ordering::Relaxed);
        }
        set_framing_headers(&mut parts.headers, framing, closes_connection);
        self.put_response_head(&parts);
        let mut wrote_last_chunk = false;
        // What is charged for the data of a frame ends when it is dropped.
        let mut unwritten = None;
        let mut length_left = match framing {
            ResponseFraming::Length(length) => Some(length),
            _ => None,
        };
        if framing != ResponseFraming::None {
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else {
                    // The body failed. The connection is closed without the last chunk or byte, so
                    // that the caller sees that the response is truncated.
                    self.flush().await;
                    return ConnectionState::Closed;
                };
                if let (Some(left), Some(data)) = (&mut length_left, frame.data_ref()) {
                    let Some(rest) = left.checked_sub(data.len() as u64) else {
                        // What exceeds the length would be read as the next response.
                        self.flush().await;
                        return ConnectionState::Closed;
                    };
                    *left = rest;
                }
                drop(unwritten.replace(frame.data_ref().cloned()));
                wrote_last_chunk |= self.put_frame(frame, framing, options);
                let is_ended = body.is_end_stream();
                if !is_ended && self.flush().await == ConnectionState::Closed {
                    return ConnectionState::Closed;
                }
            }
        }
        if framing == ResponseFraming::Chunked && !wrote_last_chunk {
            self.buffer.put_slice(b"0\r\n\r\n");
        }
        let state = self.flush().await;
        drop(unwritten);
        let is_short = length_left.is_some_and(|left| left > 0);
        if closes_connection || is_short {
            ConnectionState::Closed
        } else {
            state
        }
    }

    fn put_response_head(&mut self, parts: &hyper::http::response::Parts) {
        let status = parts.status;
        self.buffer.put_slice(b"HTTP/1.1 ");
        self.buffer.put_slice(status.as_str().as_bytes());
        self.buffer.put_u8(b' ');
        let reason = status.canonical_reason().unwrap_or_default();
        self.buffer.put_slice(reason.as_bytes());
        self.buffer.put_slice(b"\r\n");
        for (name, value) in &parts.headers {
            self.put_header(name, value);
        }
        self.buffer.put_slice(b"\r\n");
    }

    fn put_header(&mut self, name: &header::HeaderName, value: &header::HeaderValue) {
        self.buffer.put_slice(name.as_str().as_bytes());
        self.buffer.put_slice(b": ");
        self.buffer.put_slice(value.as_bytes());
        self.buffer.put_slice(b"\r\n");
    }

    /// Encodes a frame into the buffer. Returns whether it wrote the last chunk, which precedes the
    /// trailers.
    fn put_frame(
        &mut self,
        frame: hyper::body::Frame<bytes::Bytes>,
        framing: ResponseFraming,
        options: ResponseOptions,
    ) -> bool {
        let is_chunked = framing == ResponseFraming::Chunked;
        match frame.into_data() {
            Ok(data) if data.is_empty() => {}
            Ok(data) if is_chunked => {
                let size = format!("{:x}\r\n", data.len());
                self.buffer.put_slice(size.as_bytes());
                self.buffer.put_slice(&data);
                self.buffer.put_slice(b"\r\n");
            }
            Ok(data) => self.buffer.put_slice(&data),
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers()
                    && is_chunked
                    && options.accepts_trailers
                {
                    self.buffer.put_slice(b"0\r\n");
                    for (name, value) in &trailers {
                        self.put_header(name, value);
                    }
                    self.buffer.put_slice(b"\r\n");
                    return true;
                }
            }
        }
        false
    }

    async fn flush(&mut self) -> ConnectionState {
        let bytes = self.buffer.split();
        self.write(&bytes).await
    }

    async fn write(&mut self, bytes: &[u8]) -> ConnectionState {
        match self.writer.write_all(bytes).await {
            Ok(()) => ConnectionState::Open,
            Err(_gone) => ConnectionState::Closed,
        }
    }
}

/// Returns whether the handler's response asks to close the connection.
fn has_connection_close(headers: &hyper::HeaderMap) -> bool {
    headers
        .get(header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn choose_framing(
    parts: &hyper::http::response::Parts,
    body: &http::StreamBody,
    options: ResponseOptions,
) -> ResponseFraming {
    let is_bodiless = parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED
        || parts.status.is_informational();
    if options.is_head || is_bodiless {
        ResponseFraming::None
    } else if let Some(length) = declared_length(parts, body) {
        ResponseFraming::Length(length)
    } else if options.is_http10 {
        ResponseFraming::Close
    } else {
        ResponseFraming::Chunked
    }
}

/// Returns the length of a body, if it is known or declared in the head.
fn declared_length(parts: &hyper::http::response::Parts, body: &http::StreamBody) -> Option<u64> {
    let declared = || {
        let value = parts.headers.get(header::CONTENT_LENGTH)?;
        value.to_str().ok()?.parse().ok()
    };
    body.size_hint().exact().or_else(declared)
}

fn set_framing_headers(
    headers: &mut hyper::HeaderMap,
    framing: ResponseFraming,
    closes_connection: bool,
) {
    headers.remove(header::TRANSFER_ENCODING);
    match framing {
        ResponseFraming::Length(length) => {
            headers.insert(header::CONTENT_LENGTH, length.into());
        }
        ResponseFraming::Chunked => {
            headers.remove(header::CONTENT_LENGTH);
            let chunked = header::HeaderValue::from_static("chunked");
            headers.insert(header::TRANSFER_ENCODING, chunked);
        }
        ResponseFraming::Close => {
            headers.remove(header::CONTENT_LENGTH);
        }
        ResponseFraming::None => {}
    }
    if closes_connection {
        let close = header::HeaderValue::from_static("close");
        headers.insert(header::CONNECTION, close);
    }
}
