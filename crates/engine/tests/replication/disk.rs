//! A disk that stores batches once they are synced, or fails every write. It is in memory, or a data
//! folder of the real store.

use hazeltiller_engine::replication;
use hazeltiller_wire::replication as wire;

use super::files;

/// A control's disk with its unsynced writes.
#[derive(Debug, Default)]
pub(crate) struct FakeDisk {
    /// What a restarted process recovers.
    pub(crate) stored: replication::RecoveredLog,
    unsynced: Vec<replication::PersistBatch>,
    /// Hard state of the last batch, synced or not.
    last_hard_state: Option<wire::HardState>,
    /// Whether writes and syncs fail at present.
    pub(crate) is_failing: bool,
    /// Set from a failed sync until the next full rewrite, as in `hazeltiller_store::LogStore`.
    has_failed: bool,
    /// The data folder, unless the disk is in memory.
    files: Option<files::FileDisk>,
}

impl FakeDisk {
    pub(crate) fn new(stored: replication::RecoveredLog, files: Option<files::FileDisk>) -> Self {
        Self {
            last_hard_state: Some(stored.hard),
            stored,
            files,
            ..Self::default()
        }
    }

    /// Queues a batch for the next sync. Rejects unnecessary batches: after a power loss the later
    /// of two unsynced writes may be the only one on disk, and recovery stops at the gap.
    pub(crate) fn enqueue(&mut self, batch: replication::PersistBatch) {
        let hard = |hard: wire::HardState| (hard.replica, hard.term, hard.vote, hard.is_forming);
        let is_needed = batch.truncate.is_some()
            || !batch.entries.is_empty()
            || batch.snapshot.is_some()
            || batch.hard.map(hard) != self.last_hard_state.map(hard);
        assert!(is_needed, "the batch is unnecessary");
        self.last_hard_state = batch.hard.or(self.last_hard_state);
        self.unsynced.push(batch);
    }

    /// Syncs all queued batches and returns the event that the store reports.
    pub(crate) fn sync(&mut self) -> Option<replication::ReplicationEvent> {
        let batches = self.take_writable();
        let last = batches.last()?.batch;
        if self.is_failing {
            self.has_failed = true;
            return Some(replication::ReplicationEvent::StoreFailed);
        }
        self.has_failed = false;
        self.write_all(batches);
        Some(replication::ReplicationEvent::Persisted { batch: last })
    }

    /// Simulates a crash that leaves the first `kept` unsynced batches on disk.
    pub(crate) fn crash(&mut self, kept: usize) {
        let batches = self.take_writable();
        let kept = if self.is_failing { 0 } else { kept };
        self.write_all(batches.into_iter().take(kept).collect());
        self.has_failed = false;
        self.last_hard_state = Some(self.stored.hard);
    }

    /// Simulates a loss of power during the next write, of which any part stays on disk.
    pub(crate) fn cut_power(&mut self, luck: u64) {
        let batches = self.take_writable();
        if let Some(files) = self.files.as_mut().filter(|_| !self.is_failing) {
            files.write_torn(batches, luck);
        }
        self.has_failed = false;
    }

    /// Reads what a starting process recovers; returns whether it takes its folder.
    pub(crate) fn open(&mut self) -> bool {
        if let Some(files) = &mut self.files {
            match files.open() {
                Some(stored) => self.stored = stored,
                None => return false,
            }
        }
        self.last_hard_state = Some(self.stored.hard);
        true
    }

    fn write_all(&mut self, batches: Vec<replication::PersistBatch>) {
        match &mut self.files {
            Some(files) => files.write(batches),
            None => batches.into_iter().for_each(|batch| self.write(batch)),
        }
    }

    /// Takes the queued batches that a store would write: after a failure only those from a full
    /// rewrite on.
    fn take_writable(&mut self) -> Vec<replication::PersistBatch> {
        let mut batches = std::mem::take(&mut self.unsynced);
        if self.has_failed {
            let rewrite = batches.iter().position(|batch| batch.is_full_rewrite);
            batches.drain(..rewrite.unwrap_or(batches.len()));
        }
        batches
    }

    fn write(&mut self, batch: replication::PersistBatch) {
        let stored = &mut self.stored;
        stored.hard = batch.hard.unwrap_or(stored.hard);
        if batch.is_full_rewrite {
            stored.snapshot = batch.snapshot.map(|snapshot| *snapshot);
            stored.entries = batch.entries;
            return;
        }
        if let Some(from) = batch.truncate {
            stored.entries.retain(|entry| entry.position < from);
        }
        stored.entries.extend(batch.entries);
        if let Some(snapshot) = batch.snapshot {
            let mark = snapshot.mark;
            let covered = stored.entries.iter().position(|entry| entry.mark() == mark);
            let entries = covered.map(|index| stored.entries.split_off(index + 1));
            stored.entries = entries.unwrap_or_default();
            stored.snapshot = Some(*snapshot);
        }
    }
}
