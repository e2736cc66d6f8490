//! Recovery of a store after a failed write.
//!
//! After a failed write or sync the contents of the disk are unknown: a repeated sync may succeed
//! although the first one has lost its data. Nothing is therefore appended to the existing files.
//! The store is rewritten with everything that it must hold, in one batch that replaces its
//! contents. This is repeated until such a batch is durable, and until then the owner of the store
//! acknowledges nothing.
//!
//! A fault of a few seconds, such as a full disk, must not disable a replica until its process is
//! restarted: the group would tolerate one failure less, possibly with nobody there to restart it.

use std::time::Duration;

use hazeltiller_units::time;

/// A store that is unusable until it has been rewritten as a whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailedStore {
    retry_at: time::MonotonicTime,
    /// Number of the rewriting batch that is in progress.
    rewrite_batch: Option<u64>,
}

impl FailedStore {
    /// Returns the state of a store that has just failed and is to be rewritten after `period`.
    pub(crate) fn new(now: time::MonotonicTime, period: Duration) -> Self {
        Self {
            retry_at: now + period,
            rewrite_batch: None,
        }
    }

    /// Returns whether a rewrite should be started.
    pub(crate) fn is_due(&self, now: time::MonotonicTime) -> bool {
        self.rewrite_batch.is_none() && now >= self.retry_at
    }

    /// Records that a rewrite with this batch number has been started.
    pub(crate) fn record_rewrite(&mut self, batch: u64) {
        self.rewrite_batch = Some(batch);
    }

    /// Returns whether the rewrite has become durable, given the last durable batch.
    pub(crate) fn is_recovered(&self, durable_batch: u64) -> bool {
        self.rewrite_batch
            .is_some_and(|rewrite| rewrite <= durable_batch)
    }
}
