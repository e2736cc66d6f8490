//! A disk in memory: what is written is kept once it is synced, unless the disk refuses.

use hazeltiller_engine::replication;
use hazeltiller_wire::replication as wire;

/// A control's disk and what is on its way there.
#[derive(Debug, Default)]
pub(crate) struct FakeDisk {
    /// What a restarted process finds.
    pub(crate) kept: replication::RecoveredLog,
    unsynced: Vec<replication::PersistBatch>,
    /// State beside the log as it was last handed over.
    last_hard: Option<wire::HardState>,
    /// Whether it takes no bytes now.
    pub(crate) is_refusing: bool,
    /// A store keeps nothing after an error until a whole batch, see `hazeltiller_store::LogStore`.
    has_failed: bool,
}

impl FakeDisk {
    pub(crate) fn new(kept: replication::RecoveredLog) -> Self {
        Self {
            last_hard: Some(kept.hard),
            kept,
            ..Self::default()
        }
    }

    /// Takes a batch, to be written at the next sync. Each must be worth one: of two writes that
    /// are not synced a loss of power may keep the second alone, and no record stands behind a hole.
    pub(crate) fn take(&mut self, batch: replication::PersistBatch) {
        let hard = |hard: wire::HardState| (hard.replica, hard.term, hard.vote, hard.is_forming);
        let is_needed = batch.truncate.is_some()
            || !batch.entries.is_empty()
            || batch.snapshot.is_some()
            || batch.hard.map(hard) != self.last_hard.map(hard);
        assert!(is_needed, "a write that nothing rests on");
        self.last_hard = batch.hard.or(self.last_hard);
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
        self.last_hard = Some(self.kept.hard);
    }

    /// What a store would write now.
    fn writable(&mut self) -> Vec<replication::PersistBatch> {
        let mut batches = std::mem::take(&mut self.unsynced);
        if self.has_failed {
            let whole = batches.iter().position(|batch| batch.is_full_rewrite);
            batches.drain(..whole.unwrap_or(batches.len()));
        }
        batches
    }

    fn write(&mut self, batch: replication::PersistBatch) {
        let kept = &mut self.kept;
        kept.hard = batch.hard.unwrap_or(kept.hard);
        if batch.is_full_rewrite {
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
