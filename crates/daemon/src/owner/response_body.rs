//! Body of a target's response while it is streamed. Its slot is freed when it ends or is dropped, and
//! also when nobody reads it, or next to nothing of it.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, Weak},
    task::{Context, Poll},
    time::Duration,
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

/// Time over which the rate is averaged at which a response is read. On a narrow link a large response
/// waits for its next turn for less.
const READ_WINDOW: Duration = Duration::from_secs(5);
/// Bytes that are read of a response within a window at least; fewer do not keep the slot.
const MIN_WINDOW_BYTES: u64 = 5 * 1024;

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
    /// Number of bytes passed on.
    pub(super) passed_bytes: u64,
    /// Whether its reader waits for more bytes of the target.
    pub(super) is_awaited: bool,
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

/// A response; absent once it has been ended.
type HeldResponse = Mutex<Option<OpenResponse>>;

fn lock(held: &HeldResponse) -> MutexGuard<'_, Option<OpenResponse>> {
    held.lock().expect("no holder of the lock panics")
}

/// The body as it is passed on.
pub(super) struct ResponseBody {
    response: Arc<HeldResponse>,
    timeout: Option<ResponseTimeout>,
}

/// Ends a response that is not complete when its deadline passes, or when it is not read.
struct ResponseTimeout {
    deadline: Pin<Box<time::Sleep>>,
    unread: JoinHandle<()>,
}

impl ResponseBody {
    /// Passes a response on. With a deadline it ends once nobody reads it, and after the deadline also
    /// as soon as its target has nothing to pass on.
    pub(super) fn new(response: OpenResponse, deadline: Option<Instant>) -> Self {
        let response = Arc::new(Mutex::new(Some(response)));
        let timeout = deadline.map(|deadline| ResponseTimeout {
            deadline: Box::pin(time::sleep_until(deadline)),
            unread: tokio::spawn(end_unread(Arc::downgrade(&response))),
        });
        Self { response, timeout }
    }
}

/// Ends a response once its reader has taken next to nothing of it for a window, although the target
/// had more.
async fn end_unread(held: Weak<HeldResponse>) {
    let mut last = None;
    loop {
        time::sleep(READ_WINDOW).await;
        let Some(held) = held.upgrade() else {
            return;
        };
        let mut response = lock(&held);
        let Some(open) = response.as_ref() else {
            return;
        };
        let passed_bytes = (!open.is_awaited).then_some(open.passed_bytes);
        if let (Some(last), Some(passed)) = (last, passed_bytes)
            && passed - last < MIN_WINDOW_BYTES
        {
            return truncate(&mut response);
        }
        last = passed_bytes;
    }
}

fn truncate(held: &mut Option<OpenResponse>) {
    if let Some(mut response) = held.take() {
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
        let Self { response, timeout } = self.get_mut();
        let mut held = lock(response);
        let Some(response) = held.as_mut() else {
            return Poll::Ready(Some(Err(ResponseTimedOut.into())));
        };
        let polled = Pin::new(&mut response.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => response.finish(),
            Poll::Ready(Some(Err(_))) => response.guard.result = calls::RunResult::Truncated,
            Poll::Ready(Some(Ok(frame))) => {
                response.is_awaited = false;
                response.passed_bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
            }
            Poll::Pending => {
                response.is_awaited = true;
                let deadline = timeout.as_mut().map(|timeout| timeout.deadline.as_mut());
                if deadline.is_some_and(|deadline| deadline.poll(cx).is_ready()) {
                    truncate(&mut held);
                    return Poll::Ready(Some(Err(ResponseTimedOut.into())));
                }
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
        if let Some(timeout) = &self.timeout {
            timeout.unread.abort();
        }
    }
}
