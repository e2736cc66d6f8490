//! Answers on their way out, in the order of the requests.

use std::sync::atomic::Ordering;

use bytes::{BufMut, BytesMut};
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Body, header};
use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    sync::mpsc,
};

use super::{CallResponse, ConnectionProgress, QueuedAnswer, ServedRequest};
use crate::{drain, http};

/// What the request says of the form of its answer.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one word of the head"
)]
pub(super) struct AnswerForm {
    /// No body follows the head.
    pub(super) is_head: bool,
    /// The caller knows HTTP/1.0 only.
    pub(super) is_old: bool,
    /// The connection closes after the answer.
    pub(super) closes: bool,
    /// The caller reads what follows the last chunk.
    pub(super) takes_trailers: bool,
}

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerFraming {
    None,
    Length,
    Chunked,
    Close,
}

/// Whether the connection can carry another answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteEnd {
    Open,
    Closed,
}

/// Writes answers until the connection closes.
pub(super) struct AnswerWriter<'a, W> {
    writer: W,
    queue: mpsc::Receiver<QueuedAnswer>,
    drain: drain::DrainState,
    progress: &'a ConnectionProgress,
    buffer: BytesMut,
}

impl<'a, W: AsyncWrite + Unpin> AnswerWriter<'a, W> {
    pub(super) fn new(
        writer: W,
        queue: mpsc::Receiver<QueuedAnswer>,
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

    /// Writes what is queued; returns when the connection is to be closed.
    pub(super) async fn run(mut self) {
        while let Some(queued) = self.queue.recv().await {
            let end = match queued {
                QueuedAnswer::Continue => self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await,
                QueuedAnswer::Fault(status) => {
                    self.write_fault(status).await;
                    WriteEnd::Closed
                }
                QueuedAnswer::Served { request, form } => self.write_served(request, form).await,
            };
            self.progress.owed.fetch_sub(1, Ordering::Relaxed);
            if end == WriteEnd::Closed {
                break;
            }
        }
        // The other side may have gone first.
        drop(self.writer.shutdown().await);
    }

    async fn write_served(&mut self, mut request: ServedRequest, form: AnswerForm) -> WriteEnd {
        let Ok(response) = (&mut request.0).await else {
            // The task that served it panicked: the caller sees a connection that closes.
            return WriteEnd::Closed;
        };
        let is_leaving = self.drain.phase() > drain::DrainPhase::Serving;
        // What was read behind it is answered first; the last answer closes.
        let closes = form.closes || is_leaving && self.queue.is_empty();
        self.write_answer(response, AnswerForm { closes, ..form })
            .await
    }

    async fn write_fault(&mut self, status: StatusCode) {
        let mut response = Response::new(http::full_body(""));
        *response.status_mut() = status;
        let form = AnswerForm {
            is_head: false,
            is_old: false,
            closes: true,
            takes_trailers: false,
        };
        self.write_answer(response, form).await;
    }

    async fn write_answer(&mut self, response: CallResponse, form: AnswerForm) -> WriteEnd {
        let (mut parts, mut body) = response.into_parts();
        let closes = form.closes || asks_close(&parts.headers);
        let framing = choose_framing(&parts, &body, form);
        let closes = closes || framing == AnswerFraming::Close;
        if closes {
            self.progress.is_closing.store(true, Ordering::Relaxed);
        }
        write_framing(&mut parts.headers, &body, framing, closes);
        self.put_head(&parts);
        let mut has_last_chunk = false;
        if framing != AnswerFraming::None {
            while let Some(frame) = body.frame().await {
                let Ok(frame) = frame else {
                    // It broke off: the caller must see that it is not whole.
                    self.flush().await;
                    return WriteEnd::Closed;
                };
                has_last_chunk |= self.put_frame(frame, framing, form);
                let is_ended = body.is_end_stream();
                if !is_ended && self.flush().await == WriteEnd::Closed {
                    return WriteEnd::Closed;
                }
            }
        }
        if framing == AnswerFraming::Chunked && !has_last_chunk {
            self.buffer.put_slice(b"0\r\n\r\n");
        }
        let end = self.flush().await;
        if closes { WriteEnd::Closed } else { end }
    }

    fn put_head(&mut self, parts: &hyper::http::response::Parts) {
        let status = parts.status;
        self.buffer.put_slice(b"HTTP/1.1 ");
        self.buffer.put_slice(status.as_str().as_bytes());
        self.buffer.put_u8(b' ');
        let reason = status.canonical_reason().unwrap_or_default();
        self.buffer.put_slice(reason.as_bytes());
        self.buffer.put_slice(b"\r\n");
        for (name, value) in &parts.headers {
            self.put_line(name, value);
        }
        self.buffer.put_slice(b"\r\n");
    }

    fn put_line(&mut self, name: &header::HeaderName, value: &header::HeaderValue) {
        self.buffer.put_slice(name.as_str().as_bytes());
        self.buffer.put_slice(b": ");
        self.buffer.put_slice(value.as_bytes());
        self.buffer.put_slice(b"\r\n");
    }

    /// Puts a frame into the buffer; says whether the last chunk went with it.
    fn put_frame(
        &mut self,
        frame: hyper::body::Frame<bytes::Bytes>,
        framing: AnswerFraming,
        form: AnswerForm,
    ) -> bool {
        let is_chunked = framing == AnswerFraming::Chunked;
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
                    && form.takes_trailers
                {
                    self.buffer.put_slice(b"0\r\n");
                    for (name, value) in &trailers {
                        self.put_line(name, value);
                    }
                    self.buffer.put_slice(b"\r\n");
                    return true;
                }
            }
        }
        false
    }

    async fn flush(&mut self) -> WriteEnd {
        let bytes = self.buffer.split();
        self.write(&bytes).await
    }

    async fn write(&mut self, bytes: &[u8]) -> WriteEnd {
        match self.writer.write_all(bytes).await {
            Ok(()) => WriteEnd::Open,
            Err(_gone) => WriteEnd::Closed,
        }
    }
}

fn asks_close(headers: &hyper::HeaderMap) -> bool {
    headers
        .get(header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn choose_framing(
    parts: &hyper::http::response::Parts,
    body: &http::StreamBody,
    form: AnswerForm,
) -> AnswerFraming {
    let has_none = parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED
        || parts.status.is_informational();
    if form.is_head || has_none {
        AnswerFraming::None
    } else if body.size_hint().exact().is_some() || parts.headers.contains_key("content-length") {
        AnswerFraming::Length
    } else if form.is_old {
        AnswerFraming::Close
    } else {
        AnswerFraming::Chunked
    }
}

fn write_framing(
    headers: &mut hyper::HeaderMap,
    body: &http::StreamBody,
    framing: AnswerFraming,
    closes: bool,
) {
    headers.remove(header::TRANSFER_ENCODING);
    match framing {
        AnswerFraming::Length => {
            if let Some(length) = body.size_hint().exact() {
                headers.insert(header::CONTENT_LENGTH, length.into());
            }
        }
        AnswerFraming::Chunked => {
            headers.remove(header::CONTENT_LENGTH);
            let chunked = header::HeaderValue::from_static("chunked");
            headers.insert(header::TRANSFER_ENCODING, chunked);
        }
        AnswerFraming::Close => {
            headers.remove(header::CONTENT_LENGTH);
        }
        AnswerFraming::None => {}
    }
    if closes {
        let close = header::HeaderValue::from_static("close");
        headers.insert(header::CONNECTION, close);
    }
}
