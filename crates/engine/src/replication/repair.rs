//! Answers to changes while a lost voter is being replaced.
//!
//! An accepted change must survive the loss of one more disk right after its answer. While a vote
//! belongs to a disk that is lost, the group needs all of its other voters, so the loss of one would
//! leave it without a majority for good. Answers therefore wait until the vote has moved to a replica
//! that holds the log. The wait is bounded, since the replacement may be impossible for the moment;
//! commits and nodes never wait.
//!
//! A new leader does not know which disks were lost before its term. It asks every voter's address when
//! its term begins and allows for one introduction period to hear from it.

use hazeltiller_units::{ids, time};

use super::{ReplicaContext, ReplicaRole, ReplicationState, leader};
use crate::settings;

/// Progress of a repair, as known to the leader.
#[derive(Debug, Clone)]
pub(super) struct RepairState {
    /// When the leader's term began.
    term_started_at: time::MonotonicTime,
    /// Since when the group has been under repair without interruption.
    since: Option<time::MonotonicTime>,
}

impl RepairState {
    pub(super) fn new(now: time::MonotonicTime) -> Self {
        Self {
            term_started_at: now,
            since: None,
        }
    }
}

impl ReplicationState {
    /// Answers committed proposals, unless the group is under repair.
    pub(super) fn release_answers(&mut self, context: &mut ReplicaContext) {
        if self.must_hold_answers(context) {
            return;
        }
        let commit = self.commit;
        if let ReplicaRole::Leader(leader) = &mut self.role {
            leader.answer_committed(commit, context);
        }
    }

    fn must_hold_answers(&mut self, context: &ReplicaContext) -> bool {
        let is_under_repair = self.is_under_repair(context);
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return false;
        };
        if !is_under_repair {
            leader.repair.since = None;
            return false;
        }
        let since = *leader.repair.since.get_or_insert(context.now);
        context.now.since(since) < settings::millis(context.tunables().repair_ms)
    }

    /// Whether the vote of a lost disk is about to move, or may have to.
    fn is_under_repair(&self, context: &ReplicaContext) -> bool {
        let wanted = context.tunables().voters as usize;
        let ReplicaRole::Leader(leader) = &self.role else {
            return false;
        };
        if wanted == 0 {
            return false;
        }
        let voters = &self.log.group().voters;
        let is_changing = self.log.group_position() > self.commit || voters.len() > wanted;
        let lacks_voter = voters.len() < wanted && self.has_live_learner(context, leader);
        let period = settings::millis(context.tunables().introduction_ms);
        let is_young = context.now.since(leader.repair.term_started_at) < period;
        let is_doubtful = |replica: ids::ReplicaId| {
            let progress = leader.replicas.get(&replica);
            is_young && !progress.is_some_and(leader::ReplicaProgress::has_answered)
        };
        is_changing
            || lacks_voter
            || voters.iter().any(|voter| {
                voter.replica != self.hard_state.replica
                    && (self.has_successor(context, leader, voter) || is_doubtful(voter.replica))
            })
    }

    fn has_live_learner(&self, context: &ReplicaContext, leader: &leader::LeaderState) -> bool {
        let mut learners = self.learners(leader);
        learners.any(|(_, progress)| context.is_recent(progress.heard_at))
    }
}
