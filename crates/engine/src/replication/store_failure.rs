//! Recovery of a replica after a failed write or sync.
//!
//! After a failed sync the state of the disk is unknown. All that must be durable is still in
//! memory, so it is written again as one full batch. Until that batch is synced the replica sends
//! no message and takes no proposal. It can then continue in its group without a restart and
//! without data loss.

use hazeltiller_units::code;

use super::{ReplicaContext, ReplicationEffect, ReplicationState, persist};
use crate::{event, failed_store, settings};

impl ReplicationState {
    /// Whether the store has failed and its full rewrite is not synced yet.
    pub(super) fn has_failed(&self) -> bool {
        self.store_failure.is_some()
    }

    /// Handles a failed write: steps down and falls silent, so that other replicas can take over.
    /// All earlier messages are still covered by what is on disk.
    pub(super) fn handle_store_failure(&mut self, context: &mut ReplicaContext) {
        let is_first = !self.has_failed();
        let period = settings::millis(context.tunables().rewrite_ms);
        self.store_failure = Some(failed_store::FailedStore::new(context.now, period));
        if !is_first {
            return;
        }
        self.write_queue.clear();
        let term = self.hard_state.term;
        self.become_follower(context, term);
        self.leader = None;
        self.leader_heard_at = None;
        self.proven_at = None;
        let message = "this control takes no part in its group until the disk takes writes";
        context.report(code::ResultCode::StoreFailed, message.into());
    }

    /// Retries a failed store with a full rewrite: a snapshot of the committed state, the
    /// uncommitted entries and the hard state. None of these change while the store has failed.
    pub(super) fn tick_store_recovery(&mut self, context: &mut ReplicaContext) {
        let Some(mut failure) = self.store_failure else {
            return;
        };
        if !failure.is_due(context.now) {
            return;
        }
        self.hard_state.commit = self.commit;
        let batch = persist::PersistBatch {
            is_full_rewrite: true,
            hard: Some(self.hard_state),
            entries: self.log.entries_from(self.commit.next()).cloned().collect(),
            snapshot: Some(Box::new(self.snapshot())),
            ..self.write_queue.next_batch()
        };
        failure.record_rewrite(batch.batch);
        self.store_failure = Some(failure);
        let effect = ReplicationEffect::Persist(Box::new(batch));
        context
            .output
            .effects
            .push(event::Effect::Replication(effect));
    }

    /// Resumes after the full rewrite is synced, with the state from before the failure.
    pub(super) fn handle_store_recovered(&mut self, context: &mut ReplicaContext) {
        self.store_failure = None;
        self.write_queue
            .resume(self.log.last().position, self.commit);
        self.schedule_election(context);
        let message = "this control takes part in its group again";
        context.report(code::ResultCode::StoreRecovered, message.into());
    }
}
