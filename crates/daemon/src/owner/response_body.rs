//! Body of a target's response while it is streamed. Its slot is freed when it ends, is dropped or
//! has used up its time, whether or not it is read.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, Weak},
    task::{Context, Poll},
};

use bytes::Bytes;
use hazeltiller_engine::calls;
use hyper::{
    StatusCode,
    body::{Body, Frame, SizeHint},
};
use snafu::Snafu;
use tokio::{
    task::JoinHandle,
    time::{self, Instant},
};

use super::RunGuard;
use crate::{http, pool};

/// The deadline passed while the response body was being streamed.
#[derive(Debug, Snafu)]
#[snafu(display("deadline exceeded before the response body was complete"))]
struct ResponseTimedOut;

/// A response that holds a slot of its target.
pub(super) struct OpenResponse {
    pub(super) body: http::StreamBody,
    pub(super) status: StatusCode,
    pub(super) address: SocketAddr,
    pub(super) guard: RunGuard,
    pub(super) connection: Option<pool::TargetConnection>,
}

impl OpenResponse {
    fn finish(&mut self) {
        self.guard.result = calls::RunResult::Done {
            status: self.status.as_u16(),
        };
        if let Some(connection) = self.connection.take() {
            let targets = &self.guard.context.targets;
            targets.put_idle(self.address, connection);
        }
    }
}

impl Drop for OpenResponse {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.finish();
        }
    }
}

/// A response; absent once its deadline has passed.
type HeldResponse = Mutex<Option<OpenResponse>>;

fn lock(held: &HeldResponse) -> MutexGuard<'_, Option<OpenResponse>> {
    held.lock().expect("no holder of the lock panics")
}

/// The body as it is passed on.
pub(super) struct ResponseBody {
    response: Arc<HeldResponse>,
    /// Ends once the deadline has passed and the response is gone.
    deadline: JoinHandle<()>,
}

impl ResponseBody {
    /// Passes a response on until `deadline`. A body that nobody polls, because its caller does not
    /// read, ends then as well.
    pub(super) fn new(response: OpenResponse, deadline: Instant) -> Self {
        let response = Arc::new(Mutex::new(Some(response)));
        let held = Arc::downgrade(&response);
        let deadline = tokio::spawn(async move {
            time::sleep_until(deadline).await;
            end_response(&held);
        });
        Self { response, deadline }
    }
}

/// Ends a response whose deadline has passed.
fn end_response(held: &Weak<HeldResponse>) {
    let response = held.upgrade().and_then(|held| lock(&held).take());
    if let Some(mut response) = response {
        response.guard.result = calls::RunResult::Truncated;
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let Self { response, deadline } = self.get_mut();
        let mut held = lock(response);
        let Some(response) = held.as_mut() else {
            return Poll::Ready(Some(Err(ResponseTimedOut.into())));
        };
        let polled = Pin::new(&mut response.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => response.finish(),
            Poll::Ready(Some(Err(_))) => response.guard.result = calls::RunResult::Truncated,
            Poll::Ready(Some(Ok(_))) => {}
            Poll::Pending => {
                // Not ready while the response is there: it wakes this task after it has taken it.
                drop(Pin::new(deadline).poll(cx));
            }
        }
        polled.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        let held = lock(&self.response);
        held.as_ref()
            .is_some_and(|response| response.body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let held = lock(&self.response);
        held.as_ref()
            .map_or_else(SizeHint::default, |response| response.body.size_hint())
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.deadline.abort();
    }
}
