//! Request bodies: decoded from the connection and streamed to the request's handler.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    body::{Body, Frame, SizeHint},
    http::{HeaderName, HeaderValue},
};
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::http;

/// Body frames queued for the handler. When the queue is full, the connection is not read.
const QUEUE_CAPACITY_FRAMES: usize = 4;
/// Maximum length of a chunk-size line, including chunk extensions.
const MAX_SIZE_LINE_BYTES: usize = 1024;
/// Maximum number of trailer fields.
const MAX_TRAILERS: usize = 32;
/// Maximum size of the trailer section.
const MAX_TRAILER_BYTES: usize = 16_384;

/// How the end of a request body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// By its length, in bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
}

/// The body's chunked encoding is invalid, so that the start of the next request is unknown, or too
/// far away in a body that is discarded.
#[derive(Debug)]
pub(super) struct FramingError;

/// How far a body has been decoded.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum BodyProgress {
    /// The end of the body was reached.
    Complete,
    /// More data is needed from the connection.
    Incomplete,
}

/// Why reading a request body failed.
#[derive(Debug, Snafu)]
enum BodyReadError {
    /// The caller disconnected.
    #[snafu(display("caller disconnected before the request body was complete"))]
    Disconnected,
    /// The chunked encoding is invalid.
    #[snafu(display("chunked encoding of the request body is invalid"))]
    Malformed,
}

/// Which element of the chunked encoding comes next.
#[derive(Debug, Clone, Copy)]
enum ChunkState {
    Size,
    /// Chunk data, of which this many bytes remain.
    Data(u64),
    /// The line end after the data of a chunk.
    DataEnd,
    Trailers,
}

/// Decodes a body from the connection's buffer and sends it to the [`RequestBody`].
#[derive(Debug)]
pub(super) struct BodySender {
    frames: mpsc::Sender<Result<Frame<Bytes>, http::BodyError>>,
    /// Set once the whole body was sent to the handler.
    is_complete: Arc<AtomicBool>,
    state: BodyState,
    /// Bytes that came after the handler had stopped reading.
    discarded_bytes: usize,
}

#[derive(Debug, Clone, Copy)]
enum BodyState {
    /// This many bytes remain.
    Length(u64),
    Chunked(ChunkState),
}

/// Creates a body and its sender. A body that is empty or already buffered in full needs no sender.
pub(super) fn open(
    framing: BodyFraming,
    buffer: &mut BytesMut,
) -> (Option<BodySender>, http::StreamBody) {
    let (state, length) = match framing {
        BodyFraming::Length(length) if length <= buffer.len() as u64 => {
            let data = buffer.split_to(length as usize).freeze();
            return (None, http::full_body(data));
        }
        BodyFraming::Length(length) => (BodyState::Length(length), Some(length)),
        BodyFraming::Chunked => (BodyState::Chunked(ChunkState::Size), None),
    };
    let (frames, receiver) = mpsc::channel(QUEUE_CAPACITY_FRAMES);
    let is_complete = Arc::<AtomicBool>::default();
    let body = RequestBody {
        frames: receiver,
        is_complete: Arc::clone(&is_complete),
        remaining: length,
        is_ended: false,
    };
    let sender = BodySender {
        frames,
        is_complete,
        state,
        discarded_bytes: 0,
    };
    (Some(sender), body.boxed_unsync())
}

impl BodySender {
    /// Decodes the buffered part of the body.
    pub(super) async fn feed(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<BodyProgress, FramingError> {
        loop {
            let step = match self.state {
                BodyState::Length(remaining) => self.feed_length(remaining, buffer).await?,
                BodyState::Chunked(state) => match self.feed_chunk(state, buffer).await {
                    Ok(step) => step,
                    Err(fault) => {
                        self.notify(BodyReadError::Malformed).await;
                        return Err(fault);
                    }
                },
            };
            match step {
                BodyDecodeStep::Complete => {
                    self.is_complete.store(true, Ordering::Release);
                    return Ok(BodyProgress::Complete);
                }
                BodyDecodeStep::Incomplete => return Ok(BodyProgress::Incomplete),
                BodyDecodeStep::Next(state) => self.state = state,
            }
        }
    }

    /// Notifies the handler that the caller disconnected.
    pub(super) async fn abort(&self) {
        self.notify(BodyReadError::Disconnected).await;
    }

    async fn feed_length(
        &mut self,
        remaining: u64,
        buffer: &mut BytesMut,
    ) -> Result<BodyDecodeStep, FramingError> {
        if remaining == 0 {
            return Ok(BodyDecodeStep::Complete);
        }
        let count = remaining.min(buffer.len() as u64);
        if count == 0 {
            return Ok(BodyDecodeStep::Incomplete);
        }
        let data = buffer.split_to(count as usize).freeze();
        self.send(Frame::data(data)).await?;
        Ok(BodyDecodeStep::Next(BodyState::Length(remaining - count)))
    }

    async fn feed_chunk(
        &mut self,
        state: ChunkState,
        buffer: &mut BytesMut,
    ) -> Result<BodyDecodeStep, FramingError> {
        let next = |state| BodyDecodeStep::Next(BodyState::Chunked(state));
        match state {
            ChunkState::Size => match httparse::parse_chunk_size(buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    buffer.advance(length);
                    Ok(next(match size {
                        0 => ChunkState::Trailers,
                        size => ChunkState::Data(size),
                    }))
                }
                Ok(httparse::Status::Partial) if buffer.len() <= MAX_SIZE_LINE_BYTES => {
                    Ok(BodyDecodeStep::Incomplete)
                }
                _ => Err(FramingError),
            },
            ChunkState::Data(0) => Ok(next(ChunkState::DataEnd)),
            ChunkState::Data(remaining) => {
                let count = remaining.min(buffer.len() as u64);
                if count == 0 {
                    return Ok(BodyDecodeStep::Incomplete);
                }
                let data = buffer.split_to(count as usize).freeze();
                self.send(Frame::data(data)).await?;
                Ok(next(ChunkState::Data(remaining - count)))
            }
            ChunkState::DataEnd if buffer.len() < 2 => Ok(BodyDecodeStep::Incomplete),
            ChunkState::DataEnd if buffer.starts_with(b"\r\n") => {
                buffer.advance(2);
                Ok(next(ChunkState::Size))
            }
            ChunkState::DataEnd => Err(FramingError),
            ChunkState::Trailers => self.feed_trailers(buffer).await,
        }
    }

    async fn feed_trailers(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<BodyDecodeStep, FramingError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_TRAILERS];
        let (length, trailers) = match httparse::parse_headers(buffer, &mut headers) {
            Ok(httparse::Status::Complete((length, headers))) => (length, read_trailers(headers)),
            Ok(httparse::Status::Partial) if buffer.len() <= MAX_TRAILER_BYTES => {
                return Ok(BodyDecodeStep::Incomplete);
            }
            _ => return Err(FramingError),
        };
        let trailers = trailers.ok_or(FramingError)?;
        buffer.advance(length);
        if !trailers.is_empty() {
            self.send(Frame::trailers(trailers)).await?;
        }
        Ok(BodyDecodeStep::Complete)
    }

    /// Sends a frame to the handler. If the handler no longer reads the body, the frame is
    /// discarded, and decoding goes on to find the start of the next request.
    async fn send(&mut self, frame: Frame<Bytes>) -> Result<(), FramingError> {
        let size = frame.data_ref().map_or(0, Bytes::len);
        if self.frames.send(Ok(frame)).await.is_err() {
            self.discarded_bytes += size;
        }
        if self.discarded_bytes > super::MAX_DISCARDED_BYTES {
            return Err(FramingError);
        }
        Ok(())
    }

    /// Sends an error to the handler, which may no longer read the body.
    async fn notify(&self, error: BodyReadError) {
        drop(self.frames.send(Err(error.into())).await);
    }
}

/// Result of decoding one element of a body.
enum BodyDecodeStep {
    Complete,
    Incomplete,
    Next(BodyState),
}

fn read_trailers(headers: &[httparse::Header]) -> Option<HeaderMap> {
    let mut trailers = HeaderMap::new();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        trailers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(trailers)
}

/// The body of a request as read by its handler.
#[derive(Debug)]
pub struct RequestBody {
    frames: mpsc::Receiver<Result<Frame<Bytes>, http::BodyError>>,
    is_complete: Arc<AtomicBool>,
    /// Bytes not yet read, if the head declared a length.
    remaining: Option<u64>,
    is_ended: bool,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = std::task::ready!(self.frames.poll_recv(cx));
        if let (Some(Ok(frame)), Some(remaining)) = (&frame, &mut self.remaining) {
            *remaining -= frame.data_ref().map_or(0, |data| data.len() as u64);
        }
        let was_ended = std::mem::replace(&mut self.is_ended, frame.is_none());
        // Without a length, only the sender knows whether the body ended or its connection did.
        let is_whole = self.remaining == Some(0) || self.is_complete.load(Ordering::Acquire);
        if frame.is_none() && !was_ended && !is_whole {
            return Poll::Ready(Some(Err(BodyReadError::Disconnected.into())));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended || self.remaining == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
