//! A disk in memory: what is written is kept once it is synced, unless the disk refuses.

use hazeltiller_engine::replication;

/// A control's disk and what is on its way there.
#[derive(Debug, Default)]
pub(crate) struct FakeDisk {
    /// What a restarted process finds.
    pub(crate) kept: replication::RecoveredLog,
    unsynced: Vec<replication::PersistBatch>,
    /// Whether it takes no bytes now.
    pub(crate) is_refusing: bool,
    /// A store keeps nothing after an error until a whole batch, see `hazeltiller_store::LogStore`.
    has_failed: bool,
}

impl FakeDisk {
    pub(crate) fn new(kept: replication::RecoveredLog) -> Self {
        Self {
            kept,
            ..Self::default()
        }
    }

    /// Takes a batch, to be written at the next sync.
    pub(crate) fn take(&mut self, batch: replication::PersistBatch) {
        self.unsynced.push(batch);
    }

    /// Syncs what it was given; returns what the store reports.
    pub(crate) fn sync(&mut self) -> Option<replication::ReplicationEvent> {
        let batches = self.writable();
        let last = batches.last()?.batch;
        if self.is_refusing {
            self.has_failed = true;
            return Some(replication::ReplicationEvent::StoreFailed);
        }
        self.has_failed = false;
        for batch in batches {
            self.write(batch);
        }
        Some(replication::ReplicationEvent::Persisted { batch: last })
    }

    /// The process dies: of what was not synced the first `kept` batches are there all the same.
    pub(crate) fn crash(&mut self, kept: usize) {
        let batches = self.writable();
        let kept = if self.is_refusing { 0 } else { kept };
        for batch in batches.into_iter().take(kept) {
            self.write(batch);
        }
        self.has_failed = false;
    }

    /// What a store would write now.
    fn writable(&mut self) -> Vec<replication::PersistBatch> {
        let mut batches = std::mem::take(&mut self.unsynced);
        if self.has_failed {
            let whole = batches.iter().position(|batch| batch.is_whole);
            batches.drain(..whole.unwrap_or(batches.len()));
        }
        batches
    }

    fn write(&mut self, batch: replication::PersistBatch) {
        let kept = &mut self.kept;
        kept.hard = batch.hard.unwrap_or(kept.hard);
        if batch.is_whole {
            kept.snapshot = batch.snapshot.map(|snapshot| *snapshot);
            kept.entries = batch.entries;
            return;
        }
        if let Some(from) = batch.truncate {
            kept.entries.retain(|entry| entry.position < from);
        }
        kept.entries.extend(batch.entries);
        if let Some(snapshot) = batch.snapshot {
            let mark = snapshot.mark;
            let covered = kept.entries.iter().position(|entry| entry.mark() == mark);
            let entries = covered.map(|place| kept.entries.split_off(place + 1));
            kept.entries = entries.unwrap_or_default();
            kept.snapshot = Some(*snapshot);
        }
    }
}
