//! The way back of a store that has refused a write.
//!
//! After a failed write or sync nobody can tell what the disk holds: a sync that is tried again may
//! succeed although the first one has lost what it was for. So nothing is added to what is there.
//! The store is given everything that it must keep in one batch, which replaces what it held, as
//! often as it takes; until one of these is kept, its owner acknowledges nothing.
//!
//! A fault of seconds, such as a disk that is full, must not cost a replica for the rest of its
//! process's life: the group would bear one loss less from then on, with nobody there to restart it.

use std::time::Duration;

use hazeltiller_units::time;

/// A store that keeps nothing until it has been given everything anew.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FailedStore {
    retry_at: time::MonotonicTime,
    /// Number of the batch that holds everything, once it is on its way.
    awaited: Option<u64>,
}

impl FailedStore {
    /// A store that refused now and is given everything after `period`.
    pub(crate) fn new(now: time::MonotonicTime, period: Duration) -> Self {
        Self {
            retry_at: now + period,
            awaited: None,
        }
    }

    /// Whether it is time to give it everything.
    pub(crate) fn is_due(&self, now: time::MonotonicTime) -> bool {
        self.awaited.is_none() && now >= self.retry_at
    }

    /// Notes that this batch holds everything and is on its way.
    pub(crate) fn record_rewrite(&mut self, batch: u64) {
        self.awaited = Some(batch);
    }

    /// Whether a batch that is kept now was the one that holds everything.
    pub(crate) fn is_recovered(&self, kept: u64) -> bool {
        self.awaited.is_some_and(|awaited| awaited <= kept)
    }
}
