//! The leader's part: replicates entries to every replica and commits what a majority has on disk.

use std::{collections::VecDeque, net::SocketAddr};

use hazeltiller_catalogue::change;
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::replication as wire;
use indexmap::IndexMap;

use super::{
    ProposalAnswer, ProposalNumber, ReplicaContext, ReplicaRole, ReplicationState, confirmation,
    repair, state_machine,
};
use crate::{dissemination, event, settings};

/// Number of election timeouts after which an unacknowledged snapshot is sent again.
const SNAPSHOT_RESEND_TIMEOUTS: u32 = 4;

/// Replication progress of another replica, as known to the leader.
#[derive(Debug, Clone)]
pub(super) struct ReplicaProgress {
    pub(super) instance: Option<ids::InstanceName>,
    pub(super) address: SocketAddr,
    /// Last position known to be on its disk.
    pub(super) matched: ids::LogPosition,
    /// Sending time, by the leader's clock, of the latest request that it acknowledged.
    pub(super) heard_at: time::MonotonicTime,
    /// Stamp of the latest request that it acknowledged.
    pub(super) acked_stamp: time::MonotonicTime,
    /// The replica's own clock, from its latest acknowledgement.
    replica_clock: time::MonotonicTime,
    /// Position of the next entry to send.
    next: ids::LogPosition,
    /// Whether `next` is known to match the replica's log, so that further entries can be sent
    /// before the previous ones are acknowledged.
    is_pipelining: bool,
    /// When a snapshot was sent that the replica has not yet acknowledged.
    snapshot_sent_at: Option<time::MonotonicTime>,
}

impl ReplicaProgress {
    pub(super) fn new(
        instance: Option<ids::InstanceName>,
        address: SocketAddr,
        next: ids::LogPosition,
        heard_at: time::MonotonicTime,
    ) -> Self {
        Self {
            instance,
            address,
            matched: ids::LogPosition::default(),
            heard_at,
            acked_stamp: time::MonotonicTime::default(),
            replica_clock: time::MonotonicTime::default(),
            next,
            is_pipelining: false,
            snapshot_sent_at: None,
        }
    }

    /// Whether it has acknowledged a request of this leader.
    pub(super) fn has_answered(&self) -> bool {
        self.acked_stamp > time::MonotonicTime::default()
    }
}

/// State that only a leader has.
#[derive(Debug, Clone)]
pub(super) struct LeaderState {
    pub(super) replicas: IndexMap<ids::ReplicaId, ReplicaProgress>,
    /// State after applying the whole log, including uncommitted entries.
    pub(super) head: state_machine::StateMachine,
    /// Position of the last entry that `head` includes.
    head_end: ids::LogPosition,
    /// Position of the first entry of the leader's own term.
    pub(super) term_start: ids::LogPosition,
    /// Answers to proposals whose log entries are not committed yet, ordered by position.
    pending_answers: VecDeque<(ids::LogPosition, ProposalNumber, ProposalAnswer)>,
    /// Answers that wait until a majority confirms that this replica still leads.
    pub(super) confirmations: confirmation::ConfirmationQueue,
    pub(super) repair: repair::RepairState,
    /// When entries or a heartbeat were last sent to all replicas.
    last_heartbeat: Option<time::MonotonicTime>,
}

impl LeaderState {
    /// Holds an answer back until a position is committed.
    pub(super) fn hold_answer(
        &mut self,
        position: ids::LogPosition,
        number: ProposalNumber,
        answer: ProposalAnswer,
    ) {
        let place = self
            .pending_answers
            .partition_point(|(awaited, _, _)| *awaited <= position);
        self.pending_answers
            .insert(place, (position, number, answer));
    }

    /// Answers all pending proposals and reads when the leader steps down. Those that wait for a
    /// commit get [`ProposalAnswer::Unknown`], since the entry may still be committed; those that
    /// wait for a confirmation of leadership are rejected.
    pub(super) fn fail_pending(self, version: ids::CatalogueVersion, context: &mut ReplicaContext) {
        for (_, number, _) in self.pending_answers {
            context.answer(number, ProposalAnswer::Unknown);
        }
        for number in self.confirmations.into_numbers() {
            let refused = ProposalAnswer::Refused {
                code: code::ResultCode::LeaderUnknown,
                version,
                faults: Vec::new(),
            };
            context.answer(number, refused);
        }
    }

    pub(super) fn answer_committed(
        &mut self,
        commit: ids::LogPosition,
        context: &mut ReplicaContext,
    ) {
        while self
            .pending_answers
            .front()
            .is_some_and(|(position, _, _)| *position <= commit)
        {
            let front = self.pending_answers.pop_front();
            let (_, number, answer) = front.expect("the queue is not empty");
            context.answer(number, answer);
        }
    }
}

impl ReplicationState {
    /// Becomes the leader of the current term.
    pub(super) fn become_leader(&mut self, context: &mut ReplicaContext) {
        let mut head = self.state_machine.clone();
        let mut head_end = self.commit;
        let max_accepted = context.tunables().changes_kept as usize;
        for entry in self.log.entries_from(self.commit.next()) {
            if let wire::LogPayload::Change(change) = &entry.payload {
                // An entry that does not apply has no effect, here as when it is committed; it is
                // reported then.
                let _applied = head.apply(entry.term, change, max_accepted);
            }
            head_end = entry.position;
        }
        let next = self.log.last().position.next();
        let progress = |voter: wire::GroupMember| {
            let heard_at = context.now;
            let progress =
                ReplicaProgress::new(Some(voter.instance), voter.address, next, heard_at);
            (voter.replica, progress)
        };
        let replicas = self.other_voters().into_iter().map(progress).collect();
        self.role = ReplicaRole::Leader(Box::new(LeaderState {
            replicas,
            head,
            head_end,
            term_start: next,
            pending_answers: VecDeque::new(),
            confirmations: confirmation::ConfirmationQueue::default(),
            repair: repair::RepairState::new(context.now),
            last_heartbeat: None,
        }));
        self.leader = None;
        self.leader_heard_at = None;
        self.proven_at = None;
        self.introduce(context);
        self.append_and_replicate(context, wire::LogPayload::Empty);
    }

    /// Applies a change to the state at the end of the log, and appends it there. A change that does
    /// not apply to that state is not logged.
    pub(super) fn append_change(
        &mut self,
        context: &mut ReplicaContext,
        change: wire::LoggedChange,
    ) -> Result<(ids::LogPosition, change::ChangeReceipt), state_machine::ApplyError> {
        let max_accepted = context.tunables().changes_kept as usize;
        let end = self.log.last().position;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return state_machine::NotAtEndSnafu { end }.fail();
        };
        snafu::ensure!(leader.head_end == end, state_machine::NotAtEndSnafu { end });
        let receipt = leader
            .head
            .apply(self.hard_state.term, &change, max_accepted)?;
        let position = self.append_and_replicate(context, wire::LogPayload::Change(change));
        Ok((position, receipt))
    }

    /// Appends an entry to the own log and sends it to all other replicas. The state at the end of
    /// the log already includes the entry.
    pub(super) fn append_and_replicate(
        &mut self,
        context: &mut ReplicaContext,
        payload: wire::LogPayload,
    ) -> ids::LogPosition {
        let entry = wire::LogEntry {
            position: self.log.last().position.next(),
            term: self.hard_state.term,
            payload,
        };
        let position = entry.position;
        self.log.append(entry.clone());
        self.write_queue.queue_entry(entry);
        if let ReplicaRole::Leader(leader) = &mut self.role
            && leader.head_end.next() == position
        {
            leader.head_end = position;
        }
        self.broadcast(context);
        position
    }

    /// Sends heartbeats when due. Steps down if a majority has not answered within the election
    /// timeout.
    pub(super) fn tick_leader(&mut self, context: &mut ReplicaContext) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        if !self.has_quorum(context.now, context.election_timeout()) {
            let term = self.hard_state.term;
            return self.become_follower(context, term);
        }
        let period = settings::millis(context.tunables().heartbeat_ms);
        let is_due = leader
            .last_heartbeat
            .is_none_or(|last_heartbeat| context.now.since(last_heartbeat) >= period);
        if is_due {
            self.broadcast(context);
        }
        self.release_confirmed(context);
        self.release_answers(context);
    }

    /// Whether a majority has answered requests that were sent within the period.
    pub(super) fn has_quorum(&self, now: time::MonotonicTime, period: std::time::Duration) -> bool {
        let ReplicaRole::Leader(leader) = &self.role else {
            return false;
        };
        let group = self.log.group();
        let is_heard = |voter: &&wire::GroupMember| {
            voter.replica == self.hard_state.replica
                || leader
                    .replicas
                    .get(&voter.replica)
                    .is_some_and(|progress| now.since(progress.heard_at) < period)
        };
        group.voters.iter().filter(is_heard).count() >= group.majority()
    }

    /// Whether this replica has heard from a majority within the period and holds all that was
    /// committed at that time.
    pub(super) fn is_proven(&self, now: time::MonotonicTime, period: std::time::Duration) -> bool {
        if self.has_failed() {
            return false;
        }
        match &self.role {
            ReplicaRole::Leader(leader) => {
                self.commit >= leader.term_start && self.has_quorum(now, period)
            }
            _ => self
                .proven_at
                .is_some_and(|proven| proven <= now && now.since(proven) < period),
        }
    }

    /// Sends each replica the entries that it lacks, or a heartbeat.
    pub(super) fn broadcast(&mut self, context: &mut ReplicaContext) {
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader.last_heartbeat = Some(context.now);
        leader.confirmations.stamp(context.now);
        let replicas: Vec<ids::ReplicaId> = leader.replicas.keys().copied().collect();
        for replica in replicas {
            self.send_entries(context, replica);
        }
    }

    /// Sends one replica the entries that it lacks, or a heartbeat.
    pub(super) fn send_entries(&mut self, context: &mut ReplicaContext, replica: ids::ReplicaId) {
        let is_proven = self.is_proven(context.now, context.election_timeout());
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
        let request = wire::AppendRequest {
            previous: wire::LogMark { term, position },
            entries: self.log.message_entries(progress.next, context.tunables()),
            commit: self.commit,
            is_proven,
            sent: leader.confirmations.last_stamp(),
            echo: progress.replica_clock,
        };
        if progress.is_pipelining {
            progress.next = ids::LogPosition(progress.next.0 + request.entries.len() as u64);
        }
        let address = progress.address;
        let message = self.message(Some(replica), wire::ReplicationBody::Append(request));
        context.output.send(address, message);
    }

    fn send_snapshot(&mut self, context: &mut ReplicaContext, replica: ids::ReplicaId) {
        let resend_timeout = context.election_timeout() * SNAPSHOT_RESEND_TIMEOUTS;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.replicas.get_mut(&replica) else {
            return;
        };
        let is_under_way = |since: time::MonotonicTime| context.now.since(since) < resend_timeout;
        if progress.snapshot_sent_at.is_some_and(is_under_way) {
            return self.send_heartbeat(context, replica);
        }
        progress.snapshot_sent_at = Some(context.now);
        let address = progress.address;
        let sent = leader.confirmations.last_stamp();
        let body = wire::ReplicationBody::Install {
            snapshot: Box::new(self.snapshot()),
            sent,
        };
        let message = self.message(Some(replica), body);
        context.output.send(address, message);
    }

    /// Sends a heartbeat to a replica that is waiting for a snapshot, so that it doesn't start an
    /// election and its answers show that it is alive. The request refers to the empty start of the
    /// log, which every replica holds.
    fn send_heartbeat(&self, context: &mut ReplicaContext, replica: ids::ReplicaId) {
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
            sent: leader.confirmations.last_stamp(),
            echo: progress.replica_clock,
        };
        let message = self.message(Some(replica), wire::ReplicationBody::Append(request));
        context.output.send(progress.address, message);
    }

    /// Snapshot of the committed state.
    pub(super) fn snapshot(&self) -> wire::LogSnapshot {
        let term = self.log.term_at(self.commit);
        let mark = wire::LogMark {
            term: term.expect("the log window covers the last committed entry"),
            position: self.commit,
        };
        self.state_machine
            .snapshot(mark, self.log.group_at(self.commit).clone())
    }

    /// Handles an acknowledgement of entries, a heartbeat or a snapshot.
    pub(super) fn handle_append_answer(
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
        progress.heard_at = progress.heard_at.max(answer.sent.min(context.now));
        progress.acked_stamp = progress.acked_stamp.max(answer.sent);
        progress.replica_clock = answer.at;
        if progress.snapshot_sent_at.is_some() && answer.position <= progress.matched {
            // This acknowledges only a heartbeat; the snapshot is still in transit or lost.
            return self.release_confirmed(context);
        }
        if answer.is_accepted {
            progress.matched = progress.matched.max(answer.position.min(last));
            progress.next = progress.next.max(progress.matched.next());
            progress.is_pipelining = true;
            progress.snapshot_sent_at = None;
            if progress.next <= last {
                self.send_entries(context, replica);
            }
            self.advance_commit(context);
        } else {
            let next = answer.position.min(last.next());
            let has_changed = next != progress.next || progress.is_pipelining;
            progress.next = next.max(progress.matched.next());
            progress.is_pipelining = false;
            if has_changed {
                self.send_entries(context, replica);
            }
        }
        self.release_confirmed(context);
    }

    /// Commits up to the last position that a majority of voters has on disk, if that entry is of
    /// the current term.
    pub(super) fn advance_commit(&mut self, context: &mut ReplicaContext) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        let group = self.log.group();
        let durable_position = |voter: &wire::GroupMember| {
            if voter.replica == self.hard_state.replica {
                return self.write_queue.synced();
            }
            let progress = leader.replicas.get(&voter.replica);
            progress.map_or(ids::LogPosition::default(), |progress| progress.matched)
        };
        let mut positions: Vec<ids::LogPosition> =
            group.voters.iter().map(durable_position).collect();
        positions.sort_unstable_by(|one, other| other.cmp(one));
        let Some(majority_position) = positions.get(group.majority() - 1).copied() else {
            return;
        };
        if majority_position > self.commit
            && self.log.term_at(majority_position) == Some(self.hard_state.term)
        {
            let was_changing = self.log.group_position() > self.commit;
            self.commit_to(context, majority_position);
            if majority_position == self.log.last().position {
                // No further entry will carry the new commit position to the followers.
                self.broadcast(context);
            }
            self.step_down_if_removed(context);
            if was_changing {
                // Until the next change of the voters the group may have none to spare.
                self.tick_healing(context);
            }
        }
    }

    /// Applies entries up to a committed position and releases the answers that waited for them.
    pub(super) fn commit_to(&mut self, context: &mut ReplicaContext, position: ids::LogPosition) {
        let max_accepted = context.tunables().changes_kept as usize;
        while self.commit < position {
            let (entry, applied) = self.apply_next(max_accepted);
            let has_effect = applied.is_ok();
            if let Err(error) = applied {
                self.report_inapplicable(context, error);
            }
            if let wire::LogPayload::Change(change) = &entry.payload
                && has_effect
            {
                let committed = self.state_machine.committed_version(entry.term, change);
                let follow_up = dissemination::DisseminationEvent::Committed(committed);
                context
                    .output
                    .enqueue(event::Event::Dissemination(follow_up));
            }
        }
        self.release_answers(context);
        self.release_confirmed(context);
        let since_snapshot = position.0 - self.write_queue.snapshot_position.0;
        if since_snapshot >= context.tunables().snapshot_entries {
            let snapshot = self.snapshot();
            self.write_queue.queue_snapshot(snapshot);
        }
        let trailing = context.tunables().trailing_entries;
        let compact_to = self
            .write_queue
            .snapshot_position
            .0
            .saturating_sub(trailing);
        self.log.compact(ids::LogPosition(compact_to));
    }

    /// Reports a committed entry that has no effect. A leader that has accepted the entry judged it
    /// by another state, so it steps down; the next one starts from the committed state.
    fn report_inapplicable(
        &mut self,
        context: &mut ReplicaContext,
        error: state_machine::InapplicableEntry,
    ) {
        context.report(code::ResultCode::EntryInapplicable, error.to_string());
        let has_accepted = matches!(&self.role, ReplicaRole::Leader(leader)
            if error.position > leader.term_start);
        if has_accepted {
            let term = self.hard_state.term;
            self.become_follower(context, term);
        }
    }

    /// Steps down once the removal of this replica from the voters is committed.
    fn step_down_if_removed(&mut self, context: &mut ReplicaContext) {
        if !self.is_voter() && self.log.group_position() <= self.commit {
            let term = self.hard_state.term;
            self.become_follower(context, term);
        }
    }
}
