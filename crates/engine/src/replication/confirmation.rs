//! Answers that are valid only while this replica leads (ReadIndex in Raft).
//!
//! A read of the current revision, and a rejection based on the leader's own log, are correct only
//! if no other replica has become leader meanwhile. A clock-based lease cannot ensure this, since
//! the clock of a suspended process stands still. Such an answer is therefore held until a majority
//! has acknowledged a request that was sent after the question arrived.

use std::collections::VecDeque;

use hazeltiller_units::{ids, time};
use hazeltiller_wire::replication as wire;

use super::{
    ProposalAnswer, ProposalNumber, ReplicaContext, ReplicaRole, ReplicationState, leader,
};

/// An answer to give once a majority has confirmed that this replica still leads.
#[derive(Debug, Clone)]
pub(super) enum ConfirmedAnswer {
    /// The rejection of a proposal.
    Rejection(ProposalAnswer),
    /// The current revision at the time of the confirmation.
    Revision,
}

#[derive(Debug, Clone)]
struct PendingConfirmation {
    /// Acknowledgements of requests with this stamp or a later one confirm the answer.
    stamp: time::MonotonicTime,
    /// Position that must be committed first.
    position: ids::LogPosition,
    number: ProposalNumber,
    answer: ConfirmedAnswer,
}

/// Answers that wait for confirmation, and the stamp of the latest requests to the other replicas.
///
/// A stamp is the leader's time of sending, made strictly increasing. Replicas return it in their
/// acknowledgements.
#[derive(Debug, Clone, Default)]
pub(super) struct ConfirmationQueue {
    pending: VecDeque<PendingConfirmation>,
    last_stamp: time::MonotonicTime,
}

impl ConfirmationQueue {
    /// Advances the stamp. It increases strictly even if the clock stands still.
    pub(super) fn stamp(&mut self, now: time::MonotonicTime) {
        let later = time::MonotonicTime(self.last_stamp.0 + 1);
        self.last_stamp = later.max(now);
    }

    /// Stamp of the requests sent now.
    pub(super) fn last_stamp(&self) -> time::MonotonicTime {
        self.last_stamp
    }

    /// Numbers of all waiting proposals and reads.
    pub(super) fn into_numbers(self) -> impl Iterator<Item = ProposalNumber> {
        self.pending.into_iter().map(|pending| pending.number)
    }
}

impl ReplicationState {
    /// Handles a read of the current revision.
    pub(super) fn read_revision(&mut self, context: &mut ReplicaContext, number: ProposalNumber) {
        if let Some(answer) = self.unavailable_answer(context) {
            return context.answer(number, answer);
        }
        let last = self.log.last().position;
        self.answer_confirmed(context, last, number, ConfirmedAnswer::Revision);
    }

    /// Answers once a position is committed and a majority has confirmed this leader.
    pub(super) fn answer_confirmed(
        &mut self,
        context: &mut ReplicaContext,
        position: ids::LogPosition,
        number: ProposalNumber,
        answer: ConfirmedAnswer,
    ) {
        self.broadcast(context);
        if let ReplicaRole::Leader(leader) = &mut self.role {
            leader.confirmations.pending.push_back(PendingConfirmation {
                stamp: leader.confirmations.last_stamp,
                position,
                number,
                answer,
            });
        }
        self.release_confirmed(context);
    }

    /// Releases the answers that are confirmed by now.
    pub(super) fn release_confirmed(&mut self, context: &mut ReplicaContext) {
        let group = self.log.group();
        let (own, commit) = (self.hard_state.replica, self.commit);
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let confirmed = majority_stamp(leader, group, own);
        while let Some(front) = leader.confirmations.pending.front() {
            if front.stamp > confirmed || front.position > commit {
                return;
            }
            let front = leader.confirmations.pending.pop_front();
            let released = front.expect("the queue is not empty");
            let answer = match released.answer {
                ConfirmedAnswer::Rejection(answer) => answer,
                ConfirmedAnswer::Revision => ProposalAnswer::Current {
                    version: self.state_machine.catalogue.version,
                    revision: self.state_machine.revision.clone(),
                },
            };
            context.answer(released.number, answer);
        }
    }
}

/// Latest stamp that a majority has acknowledged.
fn majority_stamp(
    leader: &leader::LeaderState,
    group: &wire::ControlGroup,
    own: ids::ReplicaId,
) -> time::MonotonicTime {
    let stamp_of = |voter: &wire::GroupMember| {
        if voter.replica == own {
            return leader.confirmations.last_stamp;
        }
        let progress = leader.replicas.get(&voter.replica);
        progress.map_or(time::MonotonicTime::default(), |known| known.acked_stamp)
    };
    let mut stamps: Vec<time::MonotonicTime> = group.voters.iter().map(stamp_of).collect();
    stamps.sort_unstable_by(|one, other| other.cmp(one));
    let stamp = stamps.get(group.majority().saturating_sub(1));
    stamp.copied().unwrap_or_default()
}
