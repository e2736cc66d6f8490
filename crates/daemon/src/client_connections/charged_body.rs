//! Response bodies whose bytes stay on the account of their connection until they are written.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::{ClientConnection, HeldBytes, OpenRequest};
use crate::http;

/// Bytes counted for a body that is passed on as it comes.
const STREAMED_BYTES: u64 = 32_768;

/// A response body and what it holds.
#[derive(Debug)]
pub struct ChargedBody {
    body: http::StreamBody,
    /// What is held of the body apart from the frames that were passed on.
    held: HeldBytes,
    /// What is held beside the body until its end.
    beside: Option<HeldBytes>,
    _request: OpenRequest,
}

impl ChargedBody {
    /// Charges a body to the connection that its request came on. A body of at most
    /// `max_held_bytes` counts as held whole.
    pub fn new(body: http::StreamBody, request: OpenRequest, max_held_bytes: u64) -> Self {
        let whole_bytes = body.size_hint().exact();
        let bytes = whole_bytes.filter(|bytes| *bytes <= max_held_bytes);
        let held = request.0.hold(bytes.unwrap_or(STREAMED_BYTES));
        Self {
            body,
            held,
            beside: None,
            _request: request,
        }
    }

    /// Keeps something on the account for as long as the body.
    #[must_use]
    pub fn beside(mut self, held: HeldBytes) -> Self {
        self.beside = Some(held);
        self
    }

    /// Moves the bytes of a frame from the body's account to their own, which ends when the last copy
    /// of them is dropped.
    fn charge(&mut self, data: Bytes) -> Bytes {
        let connection = self.held.connection.clone();
        let bytes = data.len() as u64;
        let moved_bytes = bytes.min(self.held.bytes);
        self.held.bytes -= moved_bytes;
        let table = &mut connection.registry.state().table;
        table.hold(connection.id, bytes - moved_bytes);
        table.hand_over(connection.id, bytes);
        Bytes::from_owner(UnwrittenBytes {
            data,
            connection: self.held.connection.clone(),
        })
    }
}

impl Body for ChargedBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = ready!(Pin::new(&mut self.body).poll_frame(cx));
        Poll::Ready(polled.map(|frame| Ok(frame?.map_data(|data| self.charge(data)))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Bytes of a response that a connection has not written.
struct UnwrittenBytes {
    data: Bytes,
    connection: ClientConnection,
}

impl AsRef<[u8]> for UnwrittenBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for UnwrittenBytes {
    fn drop(&mut self) {
        let (id, bytes) = (self.connection.id, self.data.len() as u64);
        let table = &mut self.connection.registry.state().table;
        table.release(id, bytes);
        table.written(id, bytes);
    }
}
