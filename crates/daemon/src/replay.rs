//! Request bodies that are buffered so that a retry can send them again.
//!
//! The buffer is bounded, so that callers cannot exhaust memory. A body that exceeds the bound
//! continues to be streamed without buffering, and the request cannot be retried.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError};
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::time;

use crate::http;

/// The body belongs to an earlier attempt, and a later attempt is now reading from the source.
#[derive(Debug, Snafu)]
#[snafu(display("a later attempt has taken over the request body"))]
struct BodySuperseded;

/// The caller sends its body too slowly.
#[derive(Debug, Snafu)]
#[snafu(display("the request body comes too slowly"))]
pub struct BodyTooSlow;

/// State of a source, shared by the bodies of all attempts.
#[derive(Debug)]
struct SourceState {
    incoming: http::StreamBody,
    buffered: Vec<Bytes>,
    buffered_len: usize,
    max_buffered_len: usize,
    trailers: Option<hyper::HeaderMap>,
    is_ended: bool,
    /// Whether the buffer has overflowed, so that the body cannot be sent again.
    is_buffer_exceeded: bool,
    has_failed: bool,
    /// Whether reading failed because the body exceeds its size limit.
    exceeds_limit: bool,
    /// Number of attempts that have taken a body. Only the body of the latest one can be read.
    attempts: u32,
}

/// The body of a caller's request, and the part of it that is buffered.
#[derive(Debug, Clone)]
pub struct BodySource(Arc<Mutex<SourceState>>);

impl BodySource {
    /// Returns a source that buffers at most `max_buffered_len` bytes.
    pub fn new(incoming: http::StreamBody, max_buffered_len: usize) -> Self {
        let is_ended = incoming.is_end_stream();
        Self(Arc::new(Mutex::new(SourceState {
            incoming,
            buffered: Vec::new(),
            buffered_len: 0,
            max_buffered_len,
            trailers: None,
            is_ended,
            is_buffer_exceeded: false,
            has_failed: false,
            exceeds_limit: false,
            attempts: 0,
        })))
    }

    /// Buffers the next frame. Called before the first attempt, so that a body that is invalid from
    /// the start is never forwarded.
    pub async fn buffer_next_frame(&self) -> Result<(), http::BodyError> {
        std::future::poll_fn(|cx| self.state().poll_read(cx)).await
    }

    /// Buffers the whole body. The caller has to check that its length is within the bound. Fails with
    /// [`BodyTooSlow`] if fewer than `min_bytes` come within a window.
    pub async fn buffer_all(
        &self,
        min_bytes: u64,
        window: Duration,
    ) -> Result<(), http::BodyError> {
        while !self.is_ended() {
            let before = self.buffered_bytes();
            self.buffer_some(usize::MAX, window).await?;
            if !self.is_ended() && self.buffered_bytes() - before < min_bytes {
                return Err(BodyTooSlow.into());
            }
        }
        Ok(())
    }

    /// Buffers the body until it ends, enough of it is buffered, or a time has passed.
    pub async fn buffer_some(
        &self,
        wanted_bytes: usize,
        max_time: Duration,
    ) -> Result<(), http::BodyError> {
        let end = time::Instant::now() + max_time;
        while !self.is_ended() && self.buffered_bytes() < wanted_bytes as u64 {
            match time::timeout_at(end, self.buffer_next_frame()).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return Err(error),
                Err(_elapsed) => break,
            }
        }
        Ok(())
    }

    /// Returns whether the whole body is buffered.
    pub fn is_ended(&self) -> bool {
        self.state().is_ended
    }

    /// Returns the buffered frames.
    pub fn buffered_frames(&self) -> Vec<Bytes> {
        self.state().buffered.clone()
    }

    /// Returns the number of bytes that have been read so far and are buffered.
    pub fn buffered_bytes(&self) -> u64 {
        self.state().buffered_len as u64
    }

    /// Returns whether reading failed, because the caller disconnected or the body is invalid.
    pub fn has_failed(&self) -> bool {
        self.state().has_failed
    }

    /// Returns whether reading failed because the body exceeds its size limit.
    pub fn exceeds_limit(&self) -> bool {
        self.state().exceeds_limit
    }

    /// Returns the body for the next attempt, or `None` if the start of the body is no longer
    /// buffered.
    pub fn body(&self) -> Option<http::StreamBody> {
        let mut state = self.state();
        if state.is_buffer_exceeded {
            return None;
        }
        state.attempts += 1;
        let body = ReplayBody {
            source: self.clone(),
            attempt: state.attempts,
            next_index: 0,
            has_sent_trailers: false,
        };
        Some(body.boxed_unsync())
    }

    fn state(&self) -> MutexGuard<'_, SourceState> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl SourceState {
    /// Reads one frame into the buffer.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), http::BodyError>> {
        if self.is_ended {
            return Poll::Ready(Ok(()));
        }
        match std::task::ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
            None => self.is_ended = true,
            Some(Err(error)) => {
                self.has_failed = true;
                self.exceeds_limit = error.is::<LengthLimitError>();
                return Poll::Ready(Err(error));
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => {
                    self.buffered_len += data.len();
                    self.buffered.push(data);
                    self.is_ended = self.incoming.is_end_stream();
                }
                Err(frame) => {
                    self.trailers = frame.into_trailers().ok();
                    self.is_ended = true;
                }
            },
        }
        Poll::Ready(Ok(()))
    }

    /// Discards the frames that have been sent if the buffer exceeds its bound. Returns the index
    /// of the next frame to send.
    fn trim_to_bound(&mut self, next_index: usize) -> usize {
        if self.buffered_len <= self.max_buffered_len {
            return next_index;
        }
        self.is_buffer_exceeded = true;
        let sent_len: usize = self
            .buffered
            .drain(..next_index)
            .map(|chunk| chunk.len())
            .sum();
        self.buffered_len -= sent_len;
        0
    }
}

/// The body that one attempt sends.
#[derive(Debug)]
struct ReplayBody {
    source: BodySource,
    attempt: u32,
    /// Index of the next buffered frame to send.
    next_index: usize,
    has_sent_trailers: bool,
}

impl Body for ReplayBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let source = self.source.clone();
        let mut state = source.state();
        if state.attempts != self.attempt {
            return Poll::Ready(Some(Err(BodySuperseded.into())));
        }
        loop {
            if let Some(chunk) = state.buffered.get(self.next_index).cloned() {
                self.next_index = state.trim_to_bound(self.next_index + 1);
                return Poll::Ready(Some(Ok(Frame::data(chunk))));
            }
            if state.is_ended {
                let trailers = state.trailers.clone().filter(|_| !self.has_sent_trailers);
                self.has_sent_trailers = true;
                return Poll::Ready(trailers.map(|trailers| Ok(Frame::trailers(trailers))));
            }
            if let Err(error) = std::task::ready!(state.poll_read(cx)) {
                return Poll::Ready(Some(Err(error)));
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let state = self.source.state();
        let are_trailers_done = self.has_sent_trailers || state.trailers.is_none();
        state.is_ended && self.next_index >= state.buffered.len() && are_trailers_done
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.source.state();
        let remaining: usize = state
            .buffered
            .iter()
            .skip(self.next_index)
            .map(Bytes::len)
            .sum();
        let incoming = state.incoming.size_hint();
        let mut hint = SizeHint::new();
        if let Some(upper) = incoming.upper() {
            hint.set_upper(upper + remaining as u64);
        }
        hint.set_lower(incoming.lower() + remaining as u64);
        hint
    }
}
