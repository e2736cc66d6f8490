//! The leader's work: copies entries to every replica and commits what a majority keeps.

use std::{collections::VecDeque, net::SocketAddr};

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::replication as wire;
use indexmap::IndexMap;

use super::{
    ProposalAnswer, ProposalNumber, ReplicaContext, ReplicaRole, ReplicationState, machine, proof,
};
use crate::{dissemination, event, settings};

/// A snapshot that was sent is taken for lost after this many election timeouts.
const INSTALL_PATIENCE: u32 = 4;

/// How far a replica is, as its leader knows.
#[derive(Debug, Clone)]
pub(super) struct ReplicaProgress {
    pub(super) instance: Option<ids::InstanceName>,
    pub(super) address: SocketAddr,
    /// It keeps the log up to here.
    pub(super) matched: ids::LogPosition,
    /// Sending time, by the leader's clock, of the latest request that it answered.
    pub(super) heard: time::MonotonicTime,
    /// Stamp of the latest request that it answered.
    pub(super) confirmed: time::MonotonicTime,
    /// Its own clock in its latest answer.
    echo: time::MonotonicTime,
    next: ids::LogPosition,
    /// Whether `next` is known to fit, so that entries are sent ahead of answers.
    is_following: bool,
    installing: Option<time::MonotonicTime>,
}

impl ReplicaProgress {
    pub(super) fn new(
        instance: Option<ids::InstanceName>,
        address: SocketAddr,
        next: ids::LogPosition,
        heard: time::MonotonicTime,
    ) -> Self {
        Self {
            instance,
            address,
            matched: ids::LogPosition::default(),
            heard,
            confirmed: time::MonotonicTime::default(),
            echo: time::MonotonicTime::default(),
            next,
            is_following: false,
            installing: None,
        }
    }
}

/// State that only a leader has.
#[derive(Debug, Clone)]
pub(super) struct LeaderState {
    pub(super) replicas: IndexMap<ids::ReplicaId, ReplicaProgress>,
    /// What the whole log leads to, committed or not.
    pub(super) head: machine::LogMachine,
    /// The leader's first own entry.
    pub(super) first: ids::LogPosition,
    /// Proposals that are in the log and wait for its commit.
    waiting: VecDeque<(ids::LogPosition, ProposalNumber, ProposalAnswer)>,
    /// Answers that wait for a majority to say that this is still the leader.
    pub(super) proofs: proof::ProofQueue,
    beat: Option<time::MonotonicTime>,
}

impl LeaderState {
    /// Has an answer wait for the commit of a position, which is not before those that wait.
    pub(super) fn wait(
        &mut self,
        position: ids::LogPosition,
        number: ProposalNumber,
        answer: ProposalAnswer,
    ) {
        let place = self
            .waiting
            .partition_point(|(waiting, _, _)| *waiting <= position);
        self.waiting.insert(place, (position, number, answer));
    }

    /// Answers every proposal that waits, as a leader that leads no more.
    pub(super) fn abandon(self, version: ids::CatalogueVersion, context: &mut ReplicaContext) {
        for (_, number, _) in self.waiting {
            context.answer(number, ProposalAnswer::Unknown);
        }
        for number in self.proofs.into_numbers() {
            let refused = ProposalAnswer::Refused {
                code: code::ResultCode::LeaderUnknown,
                version,
                faults: Vec::new(),
            };
            context.answer(number, refused);
        }
    }

    fn answer_up_to(&mut self, commit: ids::LogPosition, context: &mut ReplicaContext) {
        while self
            .waiting
            .front()
            .is_some_and(|(position, _, _)| *position <= commit)
        {
            let front = self.waiting.pop_front();
            let (_, number, answer) = front.expect("front was just seen");
            context.answer(number, answer);
        }
    }
}

impl ReplicationState {
    /// Becomes the leader of the present term.
    pub(super) fn lead(&mut self, context: &mut ReplicaContext) {
        let mut head = self.machine.clone();
        let kept = context.tunables().changes_kept as usize;
        for entry in self.log.slice(self.commit.next(), usize::MAX) {
            if let wire::LogPayload::Change(change) = &entry.payload {
                head.apply(entry.term, change, kept);
            }
        }
        let next = self.log.last().position.next();
        let progress = |voter: wire::GroupMember| {
            let heard = context.now;
            let progress = ReplicaProgress::new(Some(voter.instance), voter.address, next, heard);
            (voter.replica, progress)
        };
        let replicas = self.other_voters().into_iter().map(progress).collect();
        self.role = ReplicaRole::Leader(Box::new(LeaderState {
            replicas,
            head,
            first: next,
            waiting: VecDeque::new(),
            proofs: proof::ProofQueue::default(),
            beat: None,
        }));
        self.leader = None;
        self.leader_heard = None;
        self.proven = None;
        self.write(context, wire::LogPayload::Empty);
    }

    /// Writes an entry to the own log and sends it to all others.
    pub(super) fn write(
        &mut self,
        context: &mut ReplicaContext,
        payload: wire::LogPayload,
    ) -> ids::LogPosition {
        let entry = wire::LogEntry {
            position: self.log.last().position.next(),
            term: self.hard.term,
            payload,
        };
        let position = entry.position;
        self.log.append(entry.clone());
        self.writes.keep_entry(entry);
        self.broadcast(context);
        position
    }

    /// Steps down without a majority; gives signs of life.
    pub(super) fn tick_leader(&mut self, context: &mut ReplicaContext) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        if !self.has_quorum(context.now, context.election_time()) {
            let term = self.hard.term;
            return self.follow(context, term);
        }
        let period = settings::millis(context.tunables().heartbeat_ms);
        let is_due = leader
            .beat
            .is_none_or(|beat| context.now.since(beat) >= period);
        if is_due {
            self.broadcast(context);
        }
        self.give_proofs(context);
    }

    /// Whether a majority answered what this leader sent within the period.
    pub(super) fn has_quorum(&self, now: time::MonotonicTime, period: std::time::Duration) -> bool {
        let ReplicaRole::Leader(leader) = &self.role else {
            return false;
        };
        let group = self.log.group();
        let is_heard = |voter: &&wire::GroupMember| {
            voter.replica == self.hard.replica
                || leader
                    .replicas
                    .get(&voter.replica)
                    .is_some_and(|progress| now.since(progress.heard) < period)
        };
        group.voters.iter().filter(is_heard).count() >= group.majority()
    }

    /// Whether this replica has just heard a majority and holds all that it had committed.
    pub(super) fn is_proven(&self, now: time::MonotonicTime, period: std::time::Duration) -> bool {
        if self.has_failed() {
            return false;
        }
        match &self.role {
            ReplicaRole::Leader(leader) => {
                self.commit >= leader.first && self.has_quorum(now, period)
            }
            _ => self
                .proven
                .is_some_and(|proven| proven <= now && now.since(proven) < period),
        }
    }

    /// Sends every replica what it misses, or a sign of life.
    pub(super) fn broadcast(&mut self, context: &mut ReplicaContext) {
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader.beat = Some(context.now);
        leader.proofs.stamp(context.now);
        let replicas: Vec<ids::ReplicaId> = leader.replicas.keys().copied().collect();
        for replica in replicas {
            self.send_entries(context, replica);
        }
    }

    /// Sends one replica what it misses, or a sign of life.
    pub(super) fn send_entries(&mut self, context: &mut ReplicaContext, replica: ids::ReplicaId) {
        let is_proven = self.is_proven(context.now, context.election_time());
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.replicas.get_mut(&replica) else {
            return;
        };
        let position = ids::LogPosition(progress.next.0 - 1);
        let Some(term) = self.log.term_at(position) else {
            return self.send_snapshot(context, replica);
        };
        let limit = context.tunables().append_entries as usize;
        let request = wire::AppendRequest {
            previous: wire::LogMark { term, position },
            entries: self.log.slice(progress.next, limit),
            commit: self.commit,
            is_proven,
            sent: leader.proofs.last_stamp(),
            echo: progress.echo,
        };
        if progress.is_following {
            progress.next = ids::LogPosition(progress.next.0 + request.entries.len() as u64);
        }
        let address = progress.address;
        let message = self.message(Some(replica), wire::ReplicationBody::Append(request));
        context.output.send(address, message);
    }

    fn send_snapshot(&mut self, context: &mut ReplicaContext, replica: ids::ReplicaId) {
        let patience = context.election_time() * INSTALL_PATIENCE;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.replicas.get_mut(&replica) else {
            return;
        };
        let is_under_way = |since: time::MonotonicTime| context.now.since(since) < patience;
        if progress.installing.is_some_and(is_under_way) {
            return self.send_sign_of_life(context, replica);
        }
        progress.installing = Some(context.now);
        let address = progress.address;
        let sent = leader.proofs.last_stamp();
        let body = wire::ReplicationBody::Install {
            snapshot: Box::new(self.snapshot()),
            sent,
        };
        let message = self.message(Some(replica), body);
        context.output.send(address, message);
    }

    /// Keeps a replica that waits for a snapshot from standing for election, and hears from it: a
    /// request that rests on the very beginning of the log, which everyone holds.
    fn send_sign_of_life(&self, context: &mut ReplicaContext, replica: ids::ReplicaId) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        let Some(progress) = leader.replicas.get(&replica) else {
            return;
        };
        let request = wire::AppendRequest {
            previous: wire::LogMark::default(),
            entries: Vec::new(),
            commit: self.commit,
            is_proven: false,
            sent: leader.proofs.last_stamp(),
            echo: progress.echo,
        };
        let message = self.message(Some(replica), wire::ReplicationBody::Append(request));
        context.output.send(progress.address, message);
    }

    /// The snapshot of all that is committed.
    pub(super) fn snapshot(&self) -> wire::LogSnapshot {
        let term = self.log.term_at(self.commit);
        let mark = wire::LogMark {
            term: term.expect("the last committed entry's term is kept"),
            position: self.commit,
        };
        self.machine
            .snapshot(mark, self.log.group_at(self.commit).clone())
    }

    /// Takes a replica's answer.
    pub(super) fn appended(
        &mut self,
        context: &mut ReplicaContext,
        replica: ids::ReplicaId,
        answer: wire::AppendAnswer,
    ) {
        let last = self.log.last().position;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.replicas.get_mut(&replica) else {
            return;
        };
        progress.heard = progress.heard.max(answer.sent.min(context.now));
        progress.confirmed = progress.confirmed.max(answer.sent);
        progress.echo = answer.at;
        if progress.installing.is_some() && answer.position <= progress.matched {
            // The snapshot is still on its way, or lost; this only answers a sign of life.
            return self.give_proofs(context);
        }
        if answer.is_accepted {
            progress.matched = progress.matched.max(answer.position.min(last));
            progress.next = progress.next.max(progress.matched.next());
            progress.is_following = true;
            progress.installing = None;
            if progress.next <= last {
                self.send_entries(context, replica);
            }
            self.advance_commit(context);
        } else {
            let next = answer.position.min(last.next());
            let is_news = next != progress.next || progress.is_following;
            progress.next = next.max(progress.matched.next());
            progress.is_following = false;
            if is_news {
                self.send_entries(context, replica);
            }
        }
        self.give_proofs(context);
    }

    /// Commits what a majority of the voters keeps, if this leader's own term wrote it.
    pub(super) fn advance_commit(&mut self, context: &mut ReplicaContext) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        let group = self.log.group();
        let kept = |voter: &wire::GroupMember| {
            if voter.replica == self.hard.replica {
                return self.writes.synced();
            }
            let progress = leader.replicas.get(&voter.replica);
            progress.map_or(ids::LogPosition::default(), |progress| progress.matched)
        };
        let mut positions: Vec<ids::LogPosition> = group.voters.iter().map(kept).collect();
        positions.sort_unstable_by(|one, other| other.cmp(one));
        let Some(reached) = positions.get(group.majority() - 1).copied() else {
            return;
        };
        if reached > self.commit && self.log.term_at(reached) == Some(self.hard.term) {
            self.commit_to(context, reached);
            if reached == self.log.last().position {
                // No entry follows that would tell the others of the commit.
                self.broadcast(context);
            }
            self.leave_if_removed(context);
        }
    }

    /// Applies entries up to a committed position and tells all that wait for them.
    pub(super) fn commit_to(&mut self, context: &mut ReplicaContext, position: ids::LogPosition) {
        let kept = context.tunables().changes_kept as usize;
        while self.commit < position {
            let entry = self.apply_next(kept);
            if let wire::LogPayload::Change(change) = &entry.payload {
                let committed = self.machine.committed_version(entry.term, change);
                let follow_up = dissemination::DisseminationEvent::Committed(committed);
                context
                    .output
                    .enqueue(event::Event::Dissemination(follow_up));
            }
        }
        if let ReplicaRole::Leader(leader) = &mut self.role {
            leader.answer_up_to(position, context);
        }
        self.give_proofs(context);
        let logged = position.0 - self.writes.snapshot.0;
        if logged >= context.tunables().snapshot_entries {
            let snapshot = self.snapshot();
            self.writes.keep_snapshot(snapshot);
        }
        let trailing = context.tunables().trailing_entries;
        let dropped = self.writes.snapshot.0.saturating_sub(trailing);
        self.log.compact(ids::LogPosition(dropped));
    }

    /// A leader that has committed its own removal leads no more.
    fn leave_if_removed(&mut self, context: &mut ReplicaContext) {
        if !self.is_voter() && self.log.group_position() <= self.commit {
            let term = self.hard.term;
            self.follow(context, term);
        }
    }
}
