//! A request's body that can be sent again, as far as it is kept.
//!
//! Bytes are kept up to a stated bound, so that memory does not grow with what callers send. Past
//! the bound the body streams on, nothing is kept any more, and a second try is refused.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError};
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;

use crate::http;

/// A body of an earlier try, which a later try has taken the source from.
#[derive(Debug, Snafu)]
#[snafu(display("a later try has the body now"))]
struct BodyTakenOver;

#[derive(Debug)]
struct SourceState {
    incoming: http::StreamBody,
    kept: Vec<Bytes>,
    kept_bytes: usize,
    bound: usize,
    trailers: Option<hyper::HeaderMap>,
    is_ended: bool,
    is_over_bound: bool,
    is_broken: bool,
    /// Whether it broke off because it was larger than its limit.
    is_over_limit: bool,
    tries: u32,
}

/// The body as the caller sends it, and what is kept of it.
#[derive(Debug, Clone)]
pub struct BodySource(Arc<Mutex<SourceState>>);

impl BodySource {
    /// A source that keeps at most `bound` bytes.
    pub fn new(incoming: http::StreamBody, bound: usize) -> Self {
        let is_ended = incoming.is_end_stream();
        Self(Arc::new(Mutex::new(SourceState {
            incoming,
            kept: Vec::new(),
            kept_bytes: 0,
            bound,
            trailers: None,
            is_ended,
            is_over_bound: false,
            is_broken: false,
            is_over_limit: false,
            tries: 0,
        })))
    }

    /// Reads the first piece, so that a body that is broken from the start is never sent on.
    pub async fn buffer_first_frame(&self) -> Result<(), http::BodyError> {
        std::future::poll_fn(|cx| self.state().poll_read(cx)).await
    }

    /// Reads the whole body; the caller has checked that its length is within the bound.
    pub async fn buffer_all(&self) -> Result<(), http::BodyError> {
        while !self.state().is_ended {
            self.buffer_first_frame().await?;
        }
        Ok(())
    }

    /// The pieces that are kept.
    pub fn buffered_frames(&self) -> Vec<Bytes> {
        self.state().kept.clone()
    }

    /// Bytes that have been read of it so far and are kept.
    pub fn buffered_bytes(&self) -> u64 {
        self.state().kept_bytes as u64
    }

    /// Whether the caller's side broke off or sent what is no body.
    pub fn has_failed(&self) -> bool {
        self.state().is_broken
    }

    /// Whether it broke off because it was larger than its limit.
    pub fn exceeds_limit(&self) -> bool {
        self.state().is_over_limit
    }

    /// The body for the next try; `None` when what was sent before is no longer kept.
    pub fn body(&self) -> Option<http::StreamBody> {
        let mut state = self.state();
        if state.is_over_bound {
            return None;
        }
        state.tries += 1;
        let body = ReplayBody {
            source: self.clone(),
            number: state.tries,
            next: 0,
            are_trailers_sent: false,
        };
        Some(body.boxed_unsync())
    }

    fn state(&self) -> MutexGuard<'_, SourceState> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl SourceState {
    /// Reads one frame into what is kept.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), http::BodyError>> {
        if self.is_ended {
            return Poll::Ready(Ok(()));
        }
        match std::task::ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
            None => self.is_ended = true,
            Some(Err(error)) => {
                self.is_broken = true;
                self.is_over_limit = error.is::<LengthLimitError>();
                return Poll::Ready(Err(error));
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => {
                    self.kept_bytes += data.len();
                    self.kept.push(data);
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

    /// Forgets what was sent once the bound is passed; returns where the reader stands now.
    fn keep_within_bound(&mut self, next: usize) -> usize {
        if self.kept_bytes <= self.bound {
            return next;
        }
        self.is_over_bound = true;
        let sent: usize = self.kept.drain(..next).map(|piece| piece.len()).sum();
        self.kept_bytes -= sent;
        0
    }
}

/// The body as one try sends it.
#[derive(Debug)]
struct ReplayBody {
    source: BodySource,
    number: u32,
    next: usize,
    are_trailers_sent: bool,
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
        if state.tries != self.number {
            return Poll::Ready(Some(Err(BodyTakenOver.into())));
        }
        loop {
            if let Some(piece) = state.kept.get(self.next).cloned() {
                self.next = state.keep_within_bound(self.next + 1);
                return Poll::Ready(Some(Ok(Frame::data(piece))));
            }
            if state.is_ended {
                let trailers = state.trailers.clone().filter(|_| !self.are_trailers_sent);
                self.are_trailers_sent = true;
                return Poll::Ready(trailers.map(|trailers| Ok(Frame::trailers(trailers))));
            }
            if let Err(error) = std::task::ready!(state.poll_read(cx)) {
                return Poll::Ready(Some(Err(error)));
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let state = self.source.state();
        let are_trailers_sent = self.are_trailers_sent || state.trailers.is_none();
        state.is_ended && self.next >= state.kept.len() && are_trailers_sent
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.source.state();
        let left: usize = state.kept.iter().skip(self.next).map(Bytes::len).sum();
        let incoming = state.incoming.size_hint();
        let mut hint = SizeHint::new();
        if let Some(upper) = incoming.upper() {
            hint.set_upper(upper + left as u64);
        }
        hint.set_lower(incoming.lower() + left as u64);
        hint
    }
}
