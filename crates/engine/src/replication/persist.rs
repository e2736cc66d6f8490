//! Writes to the store, and the effects that wait for them.
//!
//! The commit position is stored along with the next write. It need not be durable by itself, since
//! recovery is correct with an older one; a separate write would cost a sync or leave an unsynced
//! write behind.

use std::collections::VecDeque;

use hazeltiller_units::ids;
use hazeltiller_wire::{message, replication as wire};

use super::{ReplicaContext, ReplicaRole, ReplicationEffect, ReplicationState};
use crate::event;

/// A batch for the store to write and sync, in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PersistBatch {
    /// Sequence number of the batch.
    pub batch: u64,
    /// Whether the batch holds the complete state and replaces all that is on disk.
    pub is_full_rewrite: bool,
    /// Raft hard state: term, vote and commit position.
    pub hard: Option<wire::HardState>,
    /// Position from which existing entries are dropped.
    pub truncate: Option<ids::LogPosition>,
    /// Entries to append.
    pub entries: Vec<wire::LogEntry>,
    /// Snapshot, which replaces the entries that it covers.
    pub snapshot: Option<Box<wire::LogSnapshot>>,
}

/// Content of a store when it is opened.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecoveredLog {
    /// Raft hard state.
    pub hard: wire::HardState,
    /// The latest snapshot.
    pub snapshot: Option<wire::LogSnapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<wire::LogEntry>,
}

/// A batch that the store has not yet reported as synced.
#[derive(Debug, Clone)]
struct PendingBatch {
    batch: u64,
    has_hard_state: bool,
    last_position: ids::LogPosition,
    held_effects: Vec<event::Effect>,
}

/// Batches in flight to the store, and the draft that collects the writes of the current step.
#[derive(Debug, Clone, Default)]
pub(super) struct WriteQueue {
    /// Last position of the log that is on disk.
    synced: ids::LogPosition,
    /// Last position covered by the latest snapshot.
    pub(super) snapshot_position: ids::LogPosition,
    draft: PersistBatch,
    /// Whether the hard state has changed since the last batch.
    is_hard_state_dirty: bool,
    /// Effects of the current step that wait for its writes.
    held_effects: Vec<event::Effect>,
    in_flight: VecDeque<PendingBatch>,
    last_batch: u64,
}

impl WriteQueue {
    /// A queue for a store that holds the log up to `synced` and a snapshot up to
    /// `snapshot_position`.
    pub(super) fn after(synced: ids::LogPosition, snapshot_position: ids::LogPosition) -> Self {
        Self {
            synced,
            snapshot_position,
            ..Self::default()
        }
    }

    /// Last position of the log that is on the own disk.
    pub(super) fn synced(&self) -> ids::LogPosition {
        self.synced
    }

    /// Queues a write of the hard state.
    pub(super) fn queue_hard_state(&mut self) {
        self.is_hard_state_dirty = true;
    }

    /// Queues an entry to be appended.
    pub(super) fn queue_entry(&mut self, entry: wire::LogEntry) {
        self.draft.entries.push(entry);
    }

    /// Queues the removal of all entries from a position on.
    pub(super) fn queue_truncation(&mut self, from: ids::LogPosition) {
        self.draft.truncate = Some(from);
        self.mark_unsynced_from(from);
    }

    /// Queues a snapshot.
    pub(super) fn queue_snapshot(&mut self, snapshot: wire::LogSnapshot) {
        self.snapshot_position = snapshot.mark.position;
        self.draft.snapshot = Some(Box::new(snapshot));
    }

    /// Marks entries from a position on as not on disk, because they are no longer part of the log.
    pub(super) fn mark_unsynced_from(&mut self, from: ids::LogPosition) {
        let last = ids::LogPosition(from.0.saturating_sub(1));
        self.synced = self.synced.min(last);
        for pending in &mut self.in_flight {
            pending.last_position = pending.last_position.min(last);
        }
    }

    /// Holds an effect back until all writes so far are synced, including those of this step.
    pub(super) fn hold_effect(&mut self, effect: event::Effect) {
        self.held_effects.push(effect);
    }

    /// Whether the hard state on disk matches the one in memory.
    pub(super) fn is_hard_state_synced(&self) -> bool {
        !self.is_hard_state_dirty && !self.in_flight.iter().any(|pending| pending.has_hard_state)
    }

    /// Drops queued writes and all effects that wait for a sync.
    pub(super) fn clear(&mut self) {
        *self = Self {
            synced: self.synced,
            snapshot_position: self.snapshot_position,
            last_batch: self.last_batch,
            ..Self::default()
        };
    }

    /// Starts over after a full rewrite that put a snapshot and the log up to `synced` on disk.
    pub(super) fn resume(&mut self, synced: ids::LogPosition, snapshot_position: ids::LogPosition) {
        self.clear();
        self.synced = synced;
        self.snapshot_position = snapshot_position;
    }

    /// Returns an empty batch with the next sequence number.
    pub(super) fn next_batch(&mut self) -> PersistBatch {
        self.last_batch += 1;
        PersistBatch {
            batch: self.last_batch,
            ..PersistBatch::default()
        }
    }

    fn has_draft(&self) -> bool {
        self.is_hard_state_dirty
            || self.draft.truncate.is_some()
            || !self.draft.entries.is_empty()
            || self.draft.snapshot.is_some()
    }

    fn take_draft(
        &mut self,
        hard: wire::HardState,
        last_position: ids::LogPosition,
    ) -> PersistBatch {
        let mut batch = std::mem::take(&mut self.draft);
        batch.batch = self.next_batch().batch;
        batch.hard = Some(hard);
        self.in_flight.push_back(PendingBatch {
            batch: self.last_batch,
            has_hard_state: self.is_hard_state_dirty,
            last_position,
            held_effects: std::mem::take(&mut self.held_effects),
        });
        self.is_hard_state_dirty = false;
        batch
    }
}

impl ReplicationState {
    /// Sends a message once all writes so far are synced.
    pub(super) fn send_when_synced(
        &mut self,
        to: std::net::SocketAddr,
        message: message::PeerMessage,
    ) {
        self.write_queue
            .hold_effect(event::Effect::Send { to, message });
    }

    /// Ends a step: sends its writes to the store, or releases the held effects if nothing is
    /// unsynced.
    pub(super) fn flush(&mut self, context: &mut ReplicaContext) {
        if self.has_failed() {
            self.write_queue.clear();
            return;
        }
        if self.write_queue.has_draft() {
            self.hard_state.commit = self.commit;
            let batch = self
                .write_queue
                .take_draft(self.hard_state, self.log.last().position);
            let effect = ReplicationEffect::Persist(Box::new(batch));
            context
                .output
                .effects
                .push(event::Effect::Replication(effect));
            return;
        }
        let held_effects = std::mem::take(&mut self.write_queue.held_effects);
        match self.write_queue.in_flight.back_mut() {
            Some(pending) => pending.held_effects.extend(held_effects),
            None => context.output.effects.extend(held_effects),
        }
    }

    /// Handles the report that a batch and all earlier ones are synced.
    pub(super) fn handle_persisted(&mut self, context: &mut ReplicaContext, batch: u64) {
        if let Some(failure) = self.store_failure {
            if failure.is_recovered(batch) {
                self.handle_store_recovered(context);
            }
            return;
        }
        let is_synced = |pending: &PendingBatch| pending.batch <= batch;
        while self.write_queue.in_flight.front().is_some_and(is_synced) {
            let pending = self.write_queue.in_flight.pop_front();
            let pending = pending.expect("the queue is not empty");
            self.write_queue.synced = self.write_queue.synced.max(pending.last_position);
            context.output.effects.extend(pending.held_effects);
        }
        if matches!(self.role, ReplicaRole::Candidate(_)) && self.write_queue.is_hard_state_synced()
        {
            self.record_vote(context, self.hard_state.replica);
        }
        self.advance_commit(context);
    }
}
