//! Body of a target's response while it is streamed. Its slot is freed when it ends or is dropped, and
//! after its deadline also when nobody reads it.

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

/// Time after the deadline without a read after which a response ends. On a narrow link a large
/// response waits for its next turn for less.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

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
    /// Number of frames passed on.
    pub(super) passed_frames: u64,
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

/// Ends a response that is not complete when its deadline passes.
struct ResponseTimeout {
    deadline: Pin<Box<time::Sleep>>,
    unread: JoinHandle<()>,
}

impl ResponseBody {
    /// Passes a response on. After `deadline`, if there is one, it ends as soon as its target has
    /// nothing to pass on, or once nobody reads it.
    pub(super) fn new(response: OpenResponse, deadline: Option<Instant>) -> Self {
        let response = Arc::new(Mutex::new(Some(response)));
        let timeout = deadline.map(|deadline| ResponseTimeout {
            deadline: Box::pin(time::sleep_until(deadline)),
            unread: tokio::spawn(end_unread(Arc::downgrade(&response), deadline)),
        });
        Self { response, timeout }
    }
}

/// Ends a response once none of it has been read for `UNREAD_TIMEOUT` after its deadline.
async fn end_unread(held: Weak<HeldResponse>, deadline: Instant) {
    time::sleep_until(deadline).await;
    let mut last_frames = None;
    loop {
        let Some(held) = held.upgrade() else {
            return;
        };
        let passed_frames = lock(&held).as_ref().map(|response| response.passed_frames);
        if passed_frames.is_none() {
            return;
        }
        if passed_frames == last_frames {
            return truncate(&mut lock(&held));
        }
        last_frames = passed_frames;
        drop(held);
        time::sleep(UNREAD_TIMEOUT).await;
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
            Poll::Ready(Some(Ok(_))) => response.passed_frames += 1,
            Poll::Pending => {
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
