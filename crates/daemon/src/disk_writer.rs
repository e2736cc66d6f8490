//! The loop of a thread that writes to the disk, so that a slow sync never holds the reducer up.
//!
//! Batches that wait share one write. After a failure nothing is written or reported as kept until
//! a batch that is whole: a sync that is tried again may succeed although the first one has lost
//! what it was for. When such a batch is due is the reducer's to decide.

use std::sync::mpsc;

use hazeltiller_engine::{ledger, replication};
use hazeltiller_store::error;

/// What is written in one piece.
pub trait DiskBatch {
    /// Its number, larger than those of the batches before it.
    fn number(&self) -> u64;

    /// Whether it holds everything that the disk must keep and replaces what is there.
    fn is_whole(&self) -> bool;
}

impl DiskBatch for replication::PersistBatch {
    fn number(&self) -> u64 {
        self.batch
    }

    fn is_whole(&self) -> bool {
        self.is_full_rewrite
    }
}

impl DiskBatch for ledger::ClaimBatch {
    fn number(&self) -> u64 {
        self.batch
    }

    fn is_whole(&self) -> bool {
        self.is_full_rewrite
    }
}

/// What has become of batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteReport {
    /// The batch of this number and all before it are kept.
    Kept(u64),
    /// The disk refused: nothing is kept until a whole batch.
    Failed,
}

/// Writes batches until the sender is gone; `name` stands in the log.
pub fn run<B: DiskBatch>(
    name: &str,
    batches: &mpsc::Receiver<B>,
    mut write: impl FnMut(Vec<B>) -> Result<(), error::StoreError>,
    report: impl Fn(WriteReport),
) {
    let mut refusal: Option<String> = None;
    while let Ok(first) = batches.recv() {
        let mut group: Vec<_> = std::iter::once(first).chain(batches.try_iter()).collect();
        if refusal.is_some() {
            let whole = group.iter().position(DiskBatch::is_whole);
            group.drain(..whole.unwrap_or(group.len()));
        }
        let Some(last) = group.last().map(DiskBatch::number) else {
            continue;
        };
        if let Err(error) = write(group) {
            let text = format!("{}: {name}: {error}", error.code());
            // A disk that goes on refusing is tried again and again, and told once.
            if refusal.as_ref() != Some(&text) {
                log::error!("{text}; nothing is kept until everything is written anew");
            }
            refusal = Some(text);
            report(WriteReport::Failed);
            continue;
        }
        if refusal.take().is_some() {
            log::warn!("{name}: the disk takes writes again, everything is written anew");
        }
        report(WriteReport::Kept(last));
    }
}
