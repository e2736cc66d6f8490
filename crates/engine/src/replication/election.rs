//! Who leads: a pre-vote that binds nobody, then a vote that is kept before it is given.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use hazeltiller_wire::replication as wire;
use indexmap::IndexSet;
use rand::RngExt;

use super::{ReplicaContext, ReplicaRole, ReplicationState};
use crate::settings;

/// Shortest and longest time before the first candidacy of a replica that has just started, in parts of
/// `election_ms`. It has heard of no leader, and a pre-vote binds nobody where there is one, so there is
/// nothing to wait for but that the others start too.
const FIRST_WAIT_PARTS: (u64, u64) = (5, 2);

impl ReplicationState {
    /// Draws the time of the first candidacy after a start.
    fn begin_election(&mut self, context: &mut ReplicaContext) {
        let period = context.tunables().election_ms;
        let (shortest, longest) = FIRST_WAIT_PARTS;
        let wait = context
            .random
            .random_range(period / shortest..=period / longest);
        self.election_at = Some(context.now + settings::millis(wait));
    }

    /// Draws the time of the next candidacy anew.
    pub(super) fn reset_election(&mut self, context: &mut ReplicaContext) {
        let shortest = context.tunables().election_ms;
        let wait = context.random.random_range(shortest..=2 * shortest);
        self.election_at = Some(context.now + settings::millis(wait));
    }

    /// Stands for election when nothing was heard of a leader for long enough.
    pub(super) fn tick_election(&mut self, context: &mut ReplicaContext) {
        let is_leader = matches!(self.role, ReplicaRole::Leader(_));
        if is_leader || self.has_failed() || !self.is_voter() {
            return;
        }
        let is_alone = self.log.group().voters.len() == 1;
        match self.election_at {
            None if !is_alone => self.begin_election(context),
            Some(at) if context.now < at && !is_alone => {}
            _ => self.start_pre_vote(context),
        }
    }

    fn start_pre_vote(&mut self, context: &mut ReplicaContext) {
        self.reset_election(context);
        self.leader = None;
        self.proven = None;
        self.role = ReplicaRole::PreCandidate(IndexSet::from([self.hard.replica]));
        if self.log.group().majority() == 1 {
            return self.start_vote(context);
        }
        let last = self.log.last();
        for voter in self.other_voters() {
            let term = self.hard.term.next();
            let body = wire::ReplicationBody::PreVote(last);
            let message = self.message_in(term, Some(voter.replica), body);
            context.output.send(voter.address, message);
        }
    }

    fn start_vote(&mut self, context: &mut ReplicaContext) {
        self.reset_election(context);
        self.hard.term = self.hard.term.next();
        self.hard.vote = Some(self.hard.replica);
        self.writes.keep_hard();
        // The own vote counts once it is kept, see `persisted`.
        self.role = ReplicaRole::Candidate(IndexSet::new());
        let last = self.log.last();
        for voter in self.other_voters() {
            let message = self.message(Some(voter.replica), wire::ReplicationBody::Vote(last));
            self.send_kept(voter.address, message);
        }
    }

    /// Answers a pre-vote: yes unless a leader is alive or the own log is longer.
    pub(super) fn pre_vote(
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
                .leader_heard
                .is_some_and(|heard| context.is_fresh(heard)),
        };
        let is_granted = term > self.hard.term && last >= self.log.last() && !has_leader;
        let body = wire::ReplicationBody::PreVoted { is_granted };
        let term = if is_granted { term } else { self.hard.term };
        let message = self.message_in(term, Some(replica), body);
        context.output.send(address, message);
    }

    /// Takes a yes to a pre-vote.
    pub(super) fn pre_voted(
        &mut self,
        context: &mut ReplicaContext,
        replica: ids::ReplicaId,
        term: ids::LeaderTerm,
    ) {
        let group = self.log.group();
        let ReplicaRole::PreCandidate(granted) = &mut self.role else {
            return;
        };
        if term != self.hard.term.next() || !group.has(replica) {
            return;
        }
        granted.insert(replica);
        if granted.len() >= group.majority() {
            self.start_vote(context);
        }
    }

    /// Answers a vote: the first candidate of a term whose log is not behind gets it.
    pub(super) fn vote(
        &mut self,
        context: &mut ReplicaContext,
        address: SocketAddr,
        replica: ids::ReplicaId,
        term: ids::LeaderTerm,
        last: wire::LogMark,
    ) {
        let is_free = self.hard.vote.is_none_or(|vote| vote == replica);
        let is_granted = term == self.hard.term && is_free && last >= self.log.last();
        if is_granted {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(replica);
                self.writes.keep_hard();
            }
            self.reset_election(context);
        }
        let body = wire::ReplicationBody::Voted { is_granted };
        let message = self.message(Some(replica), body);
        self.send_kept(address, message);
    }

    /// Takes a vote; a majority makes a leader.
    pub(super) fn voted(&mut self, context: &mut ReplicaContext, replica: ids::ReplicaId) {
        let group = self.log.group();
        let ReplicaRole::Candidate(granted) = &mut self.role else {
            return;
        };
        if !group.has(replica) {
            return;
        }
        granted.insert(replica);
        if granted.len() >= group.majority() {
            self.lead(context);
        }
    }

    /// Every voter but this replica.
    pub(super) fn other_voters(&self) -> Vec<wire::GroupMember> {
        let voters = self.log.group().voters.iter();
        let others = voters.filter(|voter| voter.replica != self.hard.replica);
        others.cloned().collect()
    }
}
