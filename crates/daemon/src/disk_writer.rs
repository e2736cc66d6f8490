//! The loop of a thread that writes to disk, so that a slow sync never blocks the reducer.
//!
//! Queued batches are written together and share one sync. After a failure nothing is written or
//! reported as persisted until a batch arrives that replaces the whole file: a repeated sync can
//! succeed although the data of the failed one was lost. The reducer decides when to send such a
//! batch.

use std::sync::mpsc;

use hazeltiller_engine::{ledger, replication};
use hazeltiller_store::error;

/// A batch of records that is written as a unit.
pub trait DiskBatch {
    /// Returns the number of the batch, which is larger than those of all earlier batches.
    fn number(&self) -> u64;

    /// Returns whether the batch contains everything to be kept and replaces the existing data.
    fn replaces_all(&self) -> bool;
}

impl DiskBatch for replication::PersistBatch {
    fn number(&self) -> u64 {
        self.batch
    }

    fn replaces_all(&self) -> bool {
        self.is_full_rewrite
    }
}

impl DiskBatch for ledger::ClaimBatch {
    fn number(&self) -> u64 {
        self.batch
    }

    fn replaces_all(&self) -> bool {
        self.is_full_rewrite
    }
}

/// Result of writing batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The batch of this number and all earlier ones are on disk.
    Persisted(u64),
    /// A write failed: nothing is persisted until a batch that replaces everything.
    Failed,
}

/// Writes batches until the sender is dropped. `name` identifies the file in log messages.
pub fn run<B: DiskBatch>(
    name: &str,
    batches: &mpsc::Receiver<B>,
    mut write: impl FnMut(Vec<B>) -> Result<(), error::StoreError>,
    report: impl Fn(WriteResult),
) {
    let mut last_failure: Option<String> = None;
    while let Ok(first) = batches.recv() {
        let mut group: Vec<_> = std::iter::once(first).chain(batches.try_iter()).collect();
        if last_failure.is_some() {
            let rewrite_index = group.iter().position(DiskBatch::replaces_all);
            group.drain(..rewrite_index.unwrap_or(group.len()));
        }
        let Some(last) = group.last().map(DiskBatch::number) else {
            continue;
        };
        if let Err(error) = write(group) {
            let text = format!("{}: {name}: {error}", error.code());
            // While the disk keeps failing in the same way, writes are retried but logged once.
            if last_failure.as_ref() != Some(&text) {
                log::error!("{text}; nothing is persisted until all data has been rewritten");
            }
            last_failure = Some(text);
            report(WriteResult::Failed);
            continue;
        }
        if last_failure.take().is_some() {
            log::warn!("{name}: writing succeeds again; all data has been rewritten");
        }
        report(WriteResult::Persisted(last));
    }
}
