//! Answers that rest on this replica being the leader at the moment.
//!
//! A read of the revision in place, and a refusal that was judged by the leader's own log, are true
//! only if no other replica leads by now. A clock cannot tell: one of a process that was suspended
//! stands still meanwhile. So such an answer waits until a majority has answered a request that
//! was sent after the question came.

use std::collections::VecDeque;

use hazeltiller_units::{ids, time};
use hazeltiller_wire::replication as wire;

use super::{
    ProposalAnswer, ProposalNumber, ReplicaContext, ReplicaRole, ReplicationState, leader,
};

/// What is answered once it is proven that this replica still leads.
#[derive(Debug, Clone)]
pub(super) enum ProvenAnswer {
    /// The refusal of a proposal.
    Judged(ProposalAnswer),
    /// The revision in place by then.
    Revision,
}

#[derive(Debug, Clone)]
struct WaitingProof {
    /// Requests with this stamp or a later one count.
    stamp: time::MonotonicTime,
    /// Position that must be committed.
    position: ids::LogPosition,
    number: ProposalNumber,
    answer: ProvenAnswer,
}

/// Answers that wait, and the stamp of what is sent to the others.
#[derive(Debug, Clone, Default)]
pub(super) struct ProofQueue {
    waiting: VecDeque<WaitingProof>,
    last_stamp: time::MonotonicTime,
}

impl ProofQueue {
    /// Makes the stamp later than every one before, also where the clock stands still.
    pub(super) fn stamp(&mut self, now: time::MonotonicTime) {
        let later = time::MonotonicTime(self.last_stamp.0 + 1);
        self.last_stamp = later.max(now);
    }

    /// Stamp of what is sent now.
    pub(super) fn last_stamp(&self) -> time::MonotonicTime {
        self.last_stamp
    }

    /// Numbers of all that waits.
    pub(super) fn into_numbers(self) -> impl Iterator<Item = ProposalNumber> {
        self.waiting.into_iter().map(|waiting| waiting.number)
    }
}

impl ReplicationState {
    /// Takes a read of the revision in place.
    pub(super) fn read(&mut self, context: &mut ReplicaContext, number: ProposalNumber) {
        if let Some(answer) = self.unready(context) {
            return context.answer(number, answer);
        }
        let last = self.log.last().position;
        self.answer_proven(context, last, number, ProvenAnswer::Revision);
    }

    /// Answers once a position is committed and a majority has confirmed this leader.
    pub(super) fn answer_proven(
        &mut self,
        context: &mut ReplicaContext,
        position: ids::LogPosition,
        number: ProposalNumber,
        answer: ProvenAnswer,
    ) {
        self.broadcast(context);
        if let ReplicaRole::Leader(leader) = &mut self.role {
            leader.proofs.waiting.push_back(WaitingProof {
                stamp: leader.proofs.last_stamp,
                position,
                number,
                answer,
            });
        }
        self.give_proofs(context);
    }

    /// Gives the answers that are proven by now.
    pub(super) fn give_proofs(&mut self, context: &mut ReplicaContext) {
        let group = self.log.group();
        let (own, commit) = (self.hard.replica, self.commit);
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let confirmed = confirmed_stamp(leader, group, own);
        while let Some(front) = leader.proofs.waiting.front() {
            if front.stamp > confirmed || front.position > commit {
                return;
            }
            let front = leader.proofs.waiting.pop_front();
            let proven = front.expect("front was just seen");
            let answer = match proven.answer {
                ProvenAnswer::Judged(answer) => answer,
                ProvenAnswer::Revision => ProposalAnswer::Current {
                    version: self.machine.catalogue.version,
                    revision: self.machine.revision.clone(),
                },
            };
            context.answer(proven.number, answer);
        }
    }
}

/// The latest stamp that a majority has answered.
fn confirmed_stamp(
    leader: &leader::LeaderState,
    group: &wire::ControlGroup,
    own: ids::ReplicaId,
) -> time::MonotonicTime {
    let stamp_of = |voter: &wire::GroupMember| {
        if voter.replica == own {
            return leader.proofs.last_stamp;
        }
        let progress = leader.replicas.get(&voter.replica);
        progress.map_or(time::MonotonicTime::default(), |one| one.confirmed)
    };
    let mut stamps: Vec<time::MonotonicTime> = group.voters.iter().map(stamp_of).collect();
    stamps.sort_unstable_by(|one, other| other.cmp(one));
    let stamp = stamps.get(group.majority().saturating_sub(1));
    stamp.copied().unwrap_or_default()
}
