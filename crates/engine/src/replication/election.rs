//! Leader election: a non-binding pre-vote, then a vote that is synced to disk before it is sent.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use hazeltiller_wire::replication as wire;
use indexmap::IndexSet;
use rand::RngExt;

use super::{ReplicaContext, ReplicaRole, ReplicationState};
use crate::settings;

/// Bounds of the wait before the first candidacy after a start, as divisors of `election_ms`. It is
/// shorter than an election timeout since a replica that has just started follows no leader, and a
/// pre-vote does not disturb an existing one; it only leaves the other replicas time to start.
const INITIAL_ELECTION_WAIT_DIVISORS: (u64, u64) = (5, 2);

impl ReplicationState {
    /// Draws the time of the first candidacy after a start.
    fn schedule_first_election(&mut self, context: &mut ReplicaContext) {
        let period = context.tunables().election_ms;
        let (shortest, longest) = INITIAL_ELECTION_WAIT_DIVISORS;
        let wait = context
            .random
            .random_range(period / shortest..=period / longest);
        self.election_at = Some(context.now + settings::millis(wait));
    }

    /// Draws a new random time for the next candidacy.
    pub(super) fn schedule_election(&mut self, context: &mut ReplicaContext) {
        let shortest = context.tunables().election_ms;
        let wait = context.random.random_range(shortest..=2 * shortest);
        self.election_at = Some(context.now + settings::millis(wait));
    }

    /// Starts a pre-vote once the election timeout has passed without contact from a leader.
    pub(super) fn tick_election(&mut self, context: &mut ReplicaContext) {
        let is_leader = matches!(self.role, ReplicaRole::Leader(_));
        if is_leader || self.has_failed() || !self.is_voter() {
            return;
        }
        let is_alone = self.log.group().voters.len() == 1;
        match self.election_at {
            None if !is_alone => self.schedule_first_election(context),
            Some(at) if context.now < at && !is_alone => {}
            _ => self.start_pre_vote(context),
        }
    }

    fn start_pre_vote(&mut self, context: &mut ReplicaContext) {
        self.schedule_election(context);
        self.leader = None;
        self.proven_at = None;
        self.role = ReplicaRole::PreCandidate(IndexSet::from([self.hard_state.replica]));
        if self.log.group().majority() == 1 {
            return self.start_election(context);
        }
        let last = self.log.last();
        for voter in self.other_voters() {
            let term = self.hard_state.term.next();
            let body = wire::ReplicationBody::PreVote(last);
            let message = self.message_in_term(term, Some(voter.replica), body);
            context.output.send(voter.address, message);
        }
    }

    fn start_election(&mut self, context: &mut ReplicaContext) {
        self.schedule_election(context);
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.hard_state.replica);
        self.write_queue.queue_hard_state();
        // The replica's own vote is counted in `handle_persisted`, once it is on disk.
        self.role = ReplicaRole::Candidate(IndexSet::new());
        let last = self.log.last();
        for voter in self.other_voters() {
            let message = self.message(Some(voter.replica), wire::ReplicationBody::Vote(last));
            self.send_when_synced(voter.address, message);
        }
    }

    /// Answers a pre-vote request: granted for a later term, unless a leader is alive or this
    /// replica's log is more up to date.
    pub(super) fn handle_pre_vote(
        &mut self,
        context: &mut ReplicaContext,
        address: SocketAddr,
        replica: ids::ReplicaId,
        term: ids::LeaderTerm,
        last: wire::LogMark,
    ) {
        let has_leader = match &self.role {
            ReplicaRole::Leader(_) => true,
            _ => self
                .leader_heard_at
                .is_some_and(|heard_at| context.is_recent(heard_at)),
        };
        let is_granted = term > self.hard_state.term && last >= self.log.last() && !has_leader;
        let body = wire::ReplicationBody::PreVoted { is_granted };
        let term = if is_granted {
            term
        } else {
            self.hard_state.term
        };
        let message = self.message_in_term(term, Some(replica), body);
        context.output.send(address, message);
    }

    /// Records a granted pre-vote; a majority starts the election.
    pub(super) fn record_pre_vote(
        &mut self,
        context: &mut ReplicaContext,
        replica: ids::ReplicaId,
        term: ids::LeaderTerm,
    ) {
        let group = self.log.group();
        let ReplicaRole::PreCandidate(granted) = &mut self.role else {
            return;
        };
        if term != self.hard_state.term.next() || !group.has_voter(replica) {
            return;
        }
        granted.insert(replica);
        if granted.len() >= group.majority() {
            self.start_election(context);
        }
    }

    /// Answers a vote request: granted to the first candidate of the term whose log is at least as
    /// up to date as this replica's.
    pub(super) fn handle_vote_request(
        &mut self,
        context: &mut ReplicaContext,
        address: SocketAddr,
        replica: ids::ReplicaId,
        term: ids::LeaderTerm,
        last: wire::LogMark,
    ) {
        let is_free = self.hard_state.vote.is_none_or(|vote| vote == replica);
        let is_granted = term == self.hard_state.term && is_free && last >= self.log.last();
        if is_granted {
            if self.hard_state.vote.is_none() {
                self.hard_state.vote = Some(replica);
                self.write_queue.queue_hard_state();
            }
            self.schedule_election(context);
        }
        let body = wire::ReplicationBody::Voted { is_granted };
        let message = self.message(Some(replica), body);
        self.send_when_synced(address, message);
    }

    /// Records a granted vote; a majority makes this replica the leader.
    pub(super) fn record_vote(&mut self, context: &mut ReplicaContext, replica: ids::ReplicaId) {
        let group = self.log.group();
        let ReplicaRole::Candidate(granted) = &mut self.role else {
            return;
        };
        if !group.has_voter(replica) {
            return;
        }
        granted.insert(replica);
        if granted.len() >= group.majority() {
            self.become_leader(context);
        }
    }

    /// All voters except this replica.
    pub(super) fn other_voters(&self) -> Vec<wire::GroupMember> {
        let voters = self.log.group().voters.iter();
        let others = voters.filter(|voter| voter.replica != self.hard_state.replica);
        others.cloned().collect()
    }
}
