//! What a request knows of the requests behind it on its connection.
//!
//! A response whose length is unknown can end the connection when it breaks off, and the requests
//! behind it then get no response although they may run. So such a response is held while requests are
//! behind it, and once it is being passed on no further request is dispatched until it has ended.
//! Either side announces itself before it looks for the other, so that at least one sees the other.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use tokio::sync::Notify;

/// The requests of a connection.
#[derive(Debug, Default)]
pub(super) struct PipelineState {
    /// Requests that were dispatched or wait for that.
    announced: AtomicUsize,
    /// Responses of unknown length that have begun and not ended.
    open_streams: AtomicUsize,
    stream_ended: Notify,
}

impl PipelineState {
    /// Announces a request that follows all earlier ones.
    pub(super) fn announce(self: &Arc<Self>) -> PipelinePosition {
        let index = self.announced.fetch_add(1, Ordering::SeqCst);
        PipelinePosition {
            pipeline: Arc::clone(self),
            index,
            is_streaming: AtomicBool::new(false),
        }
    }

    /// Returns once no response of unknown length is being passed on.
    pub(super) async fn wait_for_streams(&self) {
        loop {
            let ended = self.stream_ended.notified();
            if self.open_streams.load(Ordering::SeqCst) == 0 {
                return;
            }
            ended.await;
        }
    }
}

/// The place of a request on its connection. Dropped once its response is written.
#[derive(Debug)]
pub struct PipelinePosition {
    pipeline: Arc<PipelineState>,
    index: usize,
    is_streaming: AtomicBool,
}

impl PipelinePosition {
    /// Notes that a response of unknown length has begun. Returns whether requests are behind it.
    pub fn begin_stream(&self) -> bool {
        if !self.is_streaming.swap(true, Ordering::SeqCst) {
            self.pipeline.open_streams.fetch_add(1, Ordering::SeqCst);
        }
        self.pipeline.announced.load(Ordering::SeqCst) > self.index + 1
    }

    /// Notes that the response can no longer break off.
    pub fn end_stream(&self) {
        if self.is_streaming.swap(false, Ordering::SeqCst) {
            self.pipeline.open_streams.fetch_sub(1, Ordering::SeqCst);
            self.pipeline.stream_ended.notify_waiters();
        }
    }
}

impl Drop for PipelinePosition {
    fn drop(&mut self) {
        self.end_stream();
    }
}
