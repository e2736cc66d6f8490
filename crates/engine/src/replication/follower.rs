//! The follower's part: accepts entries and snapshots from the leader and acknowledges what is on
//! disk.

use std::net::SocketAddr;

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::replication as wire;

use super::{ReplicaContext, ReplicationState, state_machine, window};
use crate::{dissemination, event};

impl ReplicationState {
    /// Handles entries or a heartbeat from the leader.
    pub(super) fn handle_append(
        &mut self,
        context: &mut ReplicaContext,
        address: SocketAddr,
        replica: ids::ReplicaId,
        is_current: bool,
        request: wire::AppendRequest,
    ) {
        let (sent, at) = (request.sent, context.now);
        let rejection = |position| wire::AppendAnswer {
            is_accepted: false,
            position,
            sent,
            at,
        };
        if !is_current {
            let answer = rejection(ids::LogPosition::default());
            return self.acknowledge(address, replica, answer);
        }
        self.record_leader_contact(context, address);
        let conflict = self.find_conflict(&request);
        if let Some(message) = &conflict {
            context.report(code::ResultCode::LogConflict, message.clone());
        }
        if conflict.is_some() || !self.has_entry(request.previous) {
            let answer = rejection(self.commit.next());
            return self.acknowledge(address, replica, answer);
        }
        let is_heartbeat = request.entries.is_empty();
        let last_position = request.previous.position.0 + request.entries.len() as u64;
        let last_position = ids::LogPosition(last_position);
        self.merge_entries(request.entries);
        let commit = request.commit.min(last_position);
        if commit > self.commit {
            self.commit_to(context, commit);
        }
        if request.is_proven && self.commit >= request.commit {
            self.proven_at = self.proven_at.max(Some(request.echo));
        }
        let mut answer = wire::AppendAnswer {
            is_accepted: true,
            position: last_position,
            sent,
            at,
        };
        if is_heartbeat && self.write_queue.is_hard_state_synced() {
            answer.position = last_position.min(self.write_queue.synced());
            let message = self.message(Some(replica), wire::ReplicationBody::Appended(answer));
            context.output.send(address, message);
        } else {
            self.acknowledge(address, replica, answer);
        }
    }

    /// Handles a snapshot, which the leader sends when it no longer holds the next entry.
    pub(super) fn handle_snapshot(
        &mut self,
        context: &mut ReplicaContext,
        address: SocketAddr,
        replica: ids::ReplicaId,
        is_current: bool,
        snapshot: wire::LogSnapshot,
        sent: time::MonotonicTime,
    ) {
        let mut answer = wire::AppendAnswer {
            is_accepted: false,
            position: ids::LogPosition::default(),
            sent,
            at: context.now,
        };
        if !is_current {
            return self.acknowledge(address, replica, answer);
        }
        self.record_leader_contact(context, address);
        if !snapshot.catalogue.has_valid_digest() {
            return;
        }
        answer.is_accepted = true;
        answer.position = snapshot.mark.position;
        if snapshot.mark.position > self.commit {
            self.install_snapshot(context, snapshot);
        }
        self.acknowledge(address, replica, answer);
    }

    /// Replaces the committed state by a snapshot. Keeps the entries after it if the log contains
    /// its last entry, and otherwise discards the log.
    fn install_snapshot(&mut self, context: &mut ReplicaContext, snapshot: wire::LogSnapshot) {
        let position = snapshot.mark.position;
        if self.has_entry(snapshot.mark) {
            self.log.compact(position);
        } else {
            self.log = window::LogWindow::after(snapshot.mark, snapshot.group.clone());
            self.write_queue.mark_unsynced_from(self.commit.next());
        }
        let state_machine = state_machine::StateMachine::restore(&snapshot);
        if state_machine.catalogue.version > self.state_machine.catalogue.version {
            let restored =
                dissemination::DisseminationEvent::Restored(state_machine.catalogue.clone());
            context
                .output
                .enqueue(event::Event::Dissemination(restored));
        }
        self.state_machine = state_machine;
        self.commit = position;
        self.write_queue.queue_snapshot(snapshot);
    }

    fn record_leader_contact(&mut self, context: &mut ReplicaContext, address: SocketAddr) {
        let term = self.hard_state.term;
        self.become_follower(context, term);
        self.leader = Some(address);
        self.leader_heard_at = Some(context.now);
        self.schedule_election(context);
    }

    /// Whether this replica's log has the entry with this term and position, compacted or not.
    fn has_entry(&self, mark: wire::LogMark) -> bool {
        // Everything before the base is committed and therefore identical on every leader.
        mark.position < self.log.base().position
            || self.log.term_at(mark.position) == Some(mark.term)
    }

    /// Returns why the entries of a request cannot belong to the log that this replica has committed
    /// a part of, if they cannot.
    fn find_conflict(&self, request: &wire::AppendRequest) -> Option<String> {
        let mut expected = request.previous.position;
        for entry in &request.entries {
            expected = expected.next();
            if entry.position != expected {
                let found = entry.position;
                return Some(format!(
                    "entry {found} was sent in place of entry {expected}"
                ));
            }
            let is_committed = expected > self.log.base().position && expected <= self.commit;
            if is_committed && self.log.term_at(expected) != Some(entry.term) {
                let term = entry.term;
                return Some(format!(
                    "entry {expected} is committed with another term than {term}"
                ));
            }
        }
        None
    }

    /// Appends missing entries. Truncates the log only at an entry that conflicts with the
    /// leader's.
    fn merge_entries(&mut self, entries: Vec<wire::LogEntry>) {
        for entry in entries {
            if entry.position <= self.log.base().position {
                continue;
            }
            match self.log.term_at(entry.position) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.log.truncate(entry.position);
                    self.write_queue.queue_truncation(entry.position);
                }
                None => {}
            }
            self.log.append(entry.clone());
            self.write_queue.queue_entry(entry);
        }
    }

    /// Answers the leader once all writes so far are synced.
    fn acknowledge(
        &mut self,
        address: SocketAddr,
        replica: ids::ReplicaId,
        answer: wire::AppendAnswer,
    ) {
        let message = self.message(Some(replica), wire::ReplicationBody::Appended(answer));
        self.send_when_synced(address, message);
    }
}
