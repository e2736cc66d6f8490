//! A replica whose disk has refused a write, until the disk holds everything again.
//!
//! Nothing rests on what a failed sync has left: all that the disk must keep is in memory, it is
//! written anew as one whole, and until that is kept the replica neither says nor answers anything.
//! So it may go on as what it was, without a restart and without a loss.

use hazeltiller_units::code;

use super::{ReplicaContext, ReplicationEffect, ReplicationState, persist};
use crate::{event, failed_store, settings};

impl ReplicationState {
    /// Whether the store keeps nothing at the moment.
    pub(super) fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    /// The disk has refused: nothing is said or answered until it has taken everything anew, so that
    /// others take over. What was said before rests on what it keeps.
    pub(super) fn fail(&mut self, context: &mut ReplicaContext) {
        let is_first = !self.has_failed();
        let period = settings::millis(context.tunables().rewrite_ms);
        self.failure = Some(failed_store::FailedStore::new(context.now, period));
        if !is_first {
            return;
        }
        self.writes.abandon();
        let term = self.hard.term;
        self.follow(context, term);
        self.leader = None;
        self.leader_heard = None;
        self.proven = None;
        let message = "this control takes no part in its group until the disk takes writes";
        context.report(code::ResultCode::StoreFailed, message.into());
    }

    /// Gives a disk that has refused everything anew: the state that is committed, the log behind it,
    /// term and vote. Nothing of these changes while the store has failed.
    pub(super) fn tick_store(&mut self, context: &mut ReplicaContext) {
        let Some(mut failure) = self.failure else {
            return;
        };
        if !failure.is_due(context.now) {
            return;
        }
        self.hard.commit = self.commit;
        let batch = persist::PersistBatch {
            is_whole: true,
            hard: Some(self.hard),
            entries: self.log.slice_all(self.commit.next()),
            snapshot: Some(Box::new(self.snapshot())),
            ..self.writes.next_batch()
        };
        failure.record_rewrite(batch.batch);
        self.failure = Some(failure);
        let effect = ReplicationEffect::Persist(Box::new(batch));
        context
            .output
            .effects
            .push(event::Effect::Replication(effect));
    }

    /// The disk holds everything again: the replica is what it was when the disk refused.
    pub(super) fn store_returned(&mut self, context: &mut ReplicaContext) {
        self.failure = None;
        self.writes.resume(self.log.last().position, self.commit);
        self.reset_election(context);
        let message = "this control takes part in its group again";
        context.report(code::ResultCode::StoreReturned, message.into());
    }
}
