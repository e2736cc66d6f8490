//! What goes to the disk, and what waits for it.
//!
//! The position up to which the log is committed goes along with what is written next. Nothing
//! rests on it, and a write of its own would cost a sync, or stand unsynced before the next one.

use std::collections::VecDeque;

use hazeltiller_units::ids;
use hazeltiller_wire::{message, replication as wire};

use super::{ReplicaContext, ReplicaRole, ReplicationEffect, ReplicationState};
use crate::event;

/// What the store must write and sync, in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PersistBatch {
    /// Number of the batch, growing by one.
    pub batch: u64,
    /// Whether it holds everything that the disk must keep and replaces what is there.
    pub is_whole: bool,
    /// State to keep beside the log.
    pub hard: Option<wire::HardState>,
    /// Position from which entries are dropped.
    pub truncate: Option<ids::LogPosition>,
    /// Entries to append.
    pub entries: Vec<wire::LogEntry>,
    /// Snapshot that replaces the entries that it covers.
    pub snapshot: Option<Box<wire::LogSnapshot>>,
}

/// What a store gives back when it is opened.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecoveredLog {
    /// State kept beside the log.
    pub hard: wire::HardState,
    /// Latest snapshot.
    pub snapshot: Option<wire::LogSnapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<wire::LogEntry>,
}

/// A batch that the store has not reported yet.
#[derive(Debug, Clone)]
struct PendingBatch {
    batch: u64,
    has_hard: bool,
    reaches: ids::LogPosition,
    held: Vec<event::Effect>,
}

/// Batches on their way to the disk, and the one that this step makes.
#[derive(Debug, Clone, Default)]
pub(super) struct WriteQueue {
    /// The log is kept up to here.
    synced: ids::LogPosition,
    /// The log before this is in a snapshot.
    pub(super) snapshot: ids::LogPosition,
    draft: PersistBatch,
    wants_hard: bool,
    held: Vec<event::Effect>,
    pending: VecDeque<PendingBatch>,
    last: u64,
}

impl WriteQueue {
    /// A queue whose disk holds the log up to `synced`.
    pub(super) fn after(synced: ids::LogPosition, snapshot: ids::LogPosition) -> Self {
        Self {
            synced,
            snapshot,
            ..Self::default()
        }
    }

    /// Position up to which the own disk keeps the log.
    pub(super) fn synced(&self) -> ids::LogPosition {
        self.synced
    }

    /// Has term and vote kept.
    pub(super) fn keep_hard(&mut self) {
        self.wants_hard = true;
    }

    /// Has an entry kept.
    pub(super) fn keep_entry(&mut self, entry: wire::LogEntry) {
        self.draft.entries.push(entry);
    }

    /// Has entries dropped from a position on.
    pub(super) fn keep_truncation(&mut self, from: ids::LogPosition) {
        self.draft.truncate = Some(from);
        self.forget_from(from);
    }

    /// Has a snapshot kept.
    pub(super) fn keep_snapshot(&mut self, snapshot: wire::LogSnapshot) {
        self.snapshot = snapshot.mark.position;
        self.draft.snapshot = Some(Box::new(snapshot));
    }

    /// Entries from a position on are no longer the log's, kept or not.
    pub(super) fn forget_from(&mut self, from: ids::LogPosition) {
        let last = ids::LogPosition(from.0.saturating_sub(1));
        self.synced = self.synced.min(last);
        for pending in &mut self.pending {
            pending.reaches = pending.reaches.min(last);
        }
    }

    /// Has an effect wait for everything that was written so far, this step's writes included.
    pub(super) fn hold(&mut self, effect: event::Effect) {
        self.held.push(effect);
    }

    /// Whether term and vote are on the disk as they are in memory.
    pub(super) fn is_hard_kept(&self) -> bool {
        !self.wants_hard && !self.pending.iter().any(|pending| pending.has_hard)
    }

    /// Forgets all that waits, for the disk and from it.
    pub(super) fn abandon(&mut self) {
        *self = Self {
            synced: self.synced,
            snapshot: self.snapshot,
            last: self.last,
            ..Self::default()
        };
    }

    /// Takes it that the disk holds the log up to `synced`, behind a snapshot.
    pub(super) fn resume(&mut self, synced: ids::LogPosition, snapshot: ids::LogPosition) {
        self.abandon();
        self.synced = synced;
        self.snapshot = snapshot;
    }

    /// A batch with a number of its own, to be filled.
    pub(super) fn next_batch(&mut self) -> PersistBatch {
        self.last += 1;
        PersistBatch {
            batch: self.last,
            ..PersistBatch::default()
        }
    }

    fn has_draft(&self) -> bool {
        self.wants_hard
            || self.draft.truncate.is_some()
            || !self.draft.entries.is_empty()
            || self.draft.snapshot.is_some()
    }

    fn take_draft(&mut self, hard: wire::HardState, reaches: ids::LogPosition) -> PersistBatch {
        let mut batch = std::mem::take(&mut self.draft);
        batch.batch = self.next_batch().batch;
        batch.hard = Some(hard);
        self.pending.push_back(PendingBatch {
            batch: self.last,
            has_hard: self.wants_hard,
            reaches,
            held: std::mem::take(&mut self.held),
        });
        self.wants_hard = false;
        batch
    }
}

impl ReplicationState {
    /// Sends a message to an address once everything written so far is kept.
    pub(super) fn send_kept(&mut self, to: std::net::SocketAddr, message: message::PeerMessage) {
        self.writes.hold(event::Effect::Send { to, message });
    }

    /// Ends a step: hands its writes to the store.
    pub(super) fn flush(&mut self, context: &mut ReplicaContext) {
        if self.has_failed() {
            self.writes.abandon();
            return;
        }
        if self.writes.has_draft() {
            self.hard.commit = self.commit;
            let batch = self.writes.take_draft(self.hard, self.log.last().position);
            let effect = ReplicationEffect::Persist(Box::new(batch));
            context
                .output
                .effects
                .push(event::Effect::Replication(effect));
            return;
        }
        let held = std::mem::take(&mut self.writes.held);
        match self.writes.pending.back_mut() {
            Some(pending) => pending.held.extend(held),
            None => context.output.effects.extend(held),
        }
    }

    /// The store has kept a batch and all before it.
    pub(super) fn persisted(&mut self, context: &mut ReplicaContext, batch: u64) {
        if let Some(failure) = self.failure {
            if failure.is_recovered(batch) {
                self.store_returned(context);
            }
            return;
        }
        let is_kept = |pending: &PendingBatch| pending.batch <= batch;
        while self.writes.pending.front().is_some_and(is_kept) {
            let pending = self.writes.pending.pop_front();
            let pending = pending.expect("front was just seen");
            self.writes.synced = self.writes.synced.max(pending.reaches);
            context.output.effects.extend(pending.held);
        }
        if matches!(self.role, ReplicaRole::Candidate(_)) && self.writes.is_hard_kept() {
            self.voted(context, self.hard.replica);
        }
        self.advance_commit(context);
    }
}
