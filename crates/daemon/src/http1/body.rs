//! The body of a request: taken off the connection as it comes, read by whoever serves it.

use std::{
    pin::Pin,
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

/// Pieces of a body that wait for whoever serves the request; then the caller is read no further.
const WAITING_PIECES: usize = 4;
/// Longest line of a chunk's size, in bytes.
const LONGEST_SIZE_LINE: usize = 1024;
/// Most header lines after the last chunk.
const TRAILER_LINES: usize = 32;
/// Largest trailers, in bytes.
const LARGEST_TRAILERS: usize = 16_384;

/// Where a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
}

/// The body is not what its head said: where the next request begins is unknown.
#[derive(Debug)]
pub(super) struct BodyFault;

/// How far a body has been read.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum BodyProgress {
    /// All of it was taken.
    Whole,
    /// More is to come from the caller.
    Wanted,
}

/// Why a body broke off.
#[derive(Debug, Snafu)]
enum BodyBroken {
    /// The caller went.
    #[snafu(display("the caller went before its body was whole"))]
    Gone,
    /// It is malformed.
    #[snafu(display("the body is malformed"))]
    Malformed,
}

#[derive(Debug, Clone, Copy)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailers,
}

/// The connection's side of a body.
#[derive(Debug)]
pub(super) struct BodySender {
    frames: mpsc::Sender<Result<Frame<Bytes>, http::BodyError>>,
    state: BodyState,
}

#[derive(Debug, Clone, Copy)]
enum BodyState {
    Length(u64),
    Chunked(ChunkState),
}

/// Opens a body. One that is in the buffer already, and one of no length, needs no sender.
pub(super) fn open(
    framing: BodyFraming,
    buffer: &mut BytesMut,
) -> (Option<BodySender>, http::StreamBody) {
    let (state, length) = match framing {
        BodyFraming::Length(length) if length <= buffer.len() as u64 => {
            let whole = buffer.split_to(length as usize).freeze();
            return (None, http::full_body(whole));
        }
        BodyFraming::Length(length) => (BodyState::Length(length), Some(length)),
        BodyFraming::Chunked => (BodyState::Chunked(ChunkState::Size), None),
    };
    let (frames, receiver) = mpsc::channel(WAITING_PIECES);
    let body = RequestBody {
        frames: receiver,
        left: length,
        is_ended: false,
    };
    (Some(BodySender { frames, state }), body.boxed_unsync())
}

impl BodySender {
    /// Takes what the buffer holds of the body.
    pub(super) async fn feed(&mut self, buffer: &mut BytesMut) -> Result<BodyProgress, BodyFault> {
        loop {
            let step = match self.state {
                BodyState::Length(left) => self.feed_length(left, buffer).await,
                BodyState::Chunked(state) => match self.feed_chunk(state, buffer).await {
                    Ok(step) => step,
                    Err(fault) => {
                        self.send(Err(BodyBroken::Malformed.into())).await;
                        return Err(fault);
                    }
                },
            };
            match step {
                FeedStep::Whole => return Ok(BodyProgress::Whole),
                FeedStep::Wanted => return Ok(BodyProgress::Wanted),
                FeedStep::Next(state) => self.state = state,
            }
        }
    }

    /// Tells whoever serves the request that the caller went.
    pub(super) async fn break_off(&self) {
        self.send(Err(BodyBroken::Gone.into())).await;
    }

    async fn feed_length(&self, left: u64, buffer: &mut BytesMut) -> FeedStep {
        if left == 0 {
            return FeedStep::Whole;
        }
        let count = left.min(buffer.len() as u64);
        if count == 0 {
            return FeedStep::Wanted;
        }
        let piece = buffer.split_to(count as usize).freeze();
        self.send(Ok(Frame::data(piece))).await;
        FeedStep::Next(BodyState::Length(left - count))
    }

    async fn feed_chunk(
        &self,
        state: ChunkState,
        buffer: &mut BytesMut,
    ) -> Result<FeedStep, BodyFault> {
        let next = |state| FeedStep::Next(BodyState::Chunked(state));
        match state {
            ChunkState::Size => match httparse::parse_chunk_size(buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    buffer.advance(length);
                    Ok(next(match size {
                        0 => ChunkState::Trailers,
                        size => ChunkState::Data(size),
                    }))
                }
                Ok(httparse::Status::Partial) if buffer.len() <= LONGEST_SIZE_LINE => {
                    Ok(FeedStep::Wanted)
                }
                _ => Err(BodyFault),
            },
            ChunkState::Data(0) => Ok(next(ChunkState::DataEnd)),
            ChunkState::Data(left) => {
                let count = left.min(buffer.len() as u64);
                if count == 0 {
                    return Ok(FeedStep::Wanted);
                }
                let piece = buffer.split_to(count as usize).freeze();
                self.send(Ok(Frame::data(piece))).await;
                Ok(next(ChunkState::Data(left - count)))
            }
            ChunkState::DataEnd if buffer.len() < 2 => Ok(FeedStep::Wanted),
            ChunkState::DataEnd if buffer.starts_with(b"\r\n") => {
                buffer.advance(2);
                Ok(next(ChunkState::Size))
            }
            ChunkState::DataEnd => Err(BodyFault),
            ChunkState::Trailers => self.feed_trailers(buffer).await,
        }
    }

    async fn feed_trailers(&self, buffer: &mut BytesMut) -> Result<FeedStep, BodyFault> {
        let mut lines = [httparse::EMPTY_HEADER; TRAILER_LINES];
        let (length, trailers) = match httparse::parse_headers(buffer, &mut lines) {
            Ok(httparse::Status::Complete((length, lines))) => (length, read_trailers(lines)),
            Ok(httparse::Status::Partial) if buffer.len() <= LARGEST_TRAILERS => {
                return Ok(FeedStep::Wanted);
            }
            _ => return Err(BodyFault),
        };
        let trailers = trailers.ok_or(BodyFault)?;
        buffer.advance(length);
        if !trailers.is_empty() {
            self.send(Ok(Frame::trailers(trailers))).await;
        }
        Ok(FeedStep::Whole)
    }

    /// Hands a piece on. Where nobody reads the body any more it is dropped, so that the next
    /// request on the connection can be found.
    async fn send(&self, frame: Result<Frame<Bytes>, http::BodyError>) {
        drop(self.frames.send(frame).await);
    }
}

enum FeedStep {
    Whole,
    Wanted,
    Next(BodyState),
}

fn read_trailers(lines: &[httparse::Header]) -> Option<HeaderMap> {
    let mut trailers = HeaderMap::new();
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        trailers.append(name, HeaderValue::from_bytes(line.value).ok()?);
    }
    Some(trailers)
}

/// The body of a request as it is read.
#[derive(Debug)]
pub struct RequestBody {
    frames: mpsc::Receiver<Result<Frame<Bytes>, http::BodyError>>,
    /// Bytes to come, where the head told.
    left: Option<u64>,
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
        if let (Some(Ok(frame)), Some(left)) = (&frame, &mut self.left) {
            *left -= frame.data_ref().map_or(0, |data| data.len() as u64);
        }
        self.is_ended = frame.is_none();
        if frame.is_none() && self.left.is_some_and(|left| left > 0) {
            self.left = None;
            return Poll::Ready(Some(Err(BodyBroken::Gone.into())));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended || self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
