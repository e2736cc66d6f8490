//! A follower's work: takes entries or a snapshot and says what it keeps.

use std::net::SocketAddr;

use hazeltiller_units::{ids, time};
use hazeltiller_wire::replication as wire;

use super::{ReplicaContext, ReplicationState, machine, window};
use crate::{dissemination, event};

impl ReplicationState {
    /// Takes entries of the leader.
    pub(super) fn append(
        &mut self,
        context: &mut ReplicaContext,
        address: SocketAddr,
        replica: ids::ReplicaId,
        is_current: bool,
        request: wire::AppendRequest,
    ) {
        let (sent, at) = (request.sent, context.now);
        let refused = |position| wire::AppendAnswer {
            is_accepted: false,
            position,
            sent,
            at,
        };
        if !is_current {
            let answer = refused(ids::LogPosition::default());
            return self.answer_leader(address, replica, answer);
        }
        self.heard_leader(context, address);
        if !self.holds(request.previous) {
            let answer = refused(self.commit.next());
            return self.answer_leader(address, replica, answer);
        }
        let is_heartbeat = request.entries.is_empty();
        let reached = request.previous.position.0 + request.entries.len() as u64;
        let reached = ids::LogPosition(reached);
        self.take_entries(request.entries);
        let commit = request.commit.min(reached);
        if commit > self.commit {
            self.commit_to(context, commit);
        }
        if request.is_proven && self.commit >= request.commit {
            self.proven = self.proven.max(Some(request.echo));
        }
        let mut answer = wire::AppendAnswer {
            is_accepted: true,
            position: reached,
            sent,
            at,
        };
        if is_heartbeat && self.writes.is_hard_kept() {
            answer.position = reached.min(self.writes.synced());
            let message = self.message(Some(replica), wire::ReplicationBody::Appended(answer));
            context.output.send(address, message);
        } else {
            self.answer_leader(address, replica, answer);
        }
    }

    /// Takes a snapshot of the leader in place of entries that it no longer holds.
    pub(super) fn install(
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
            return self.answer_leader(address, replica, answer);
        }
        self.heard_leader(context, address);
        if !snapshot.catalogue.is_sound() {
            return;
        }
        answer.is_accepted = true;
        answer.position = snapshot.mark.position;
        if snapshot.mark.position > self.commit {
            self.restore(context, snapshot);
        }
        self.answer_leader(address, replica, answer);
    }

    fn restore(&mut self, context: &mut ReplicaContext, snapshot: wire::LogSnapshot) {
        let position = snapshot.mark.position;
        if self.holds(snapshot.mark) {
            self.log.compact(position);
        } else {
            self.log = window::LogWindow::after(snapshot.mark, snapshot.group.clone());
            self.writes.forget_from(self.commit.next());
        }
        let machine = machine::LogMachine::restore(&snapshot);
        if machine.catalogue.version > self.machine.catalogue.version {
            let restored = dissemination::DisseminationEvent::Restored(machine.catalogue.clone());
            context
                .output
                .enqueue(event::Event::Dissemination(restored));
        }
        self.machine = machine;
        self.commit = position;
        self.writes.keep_snapshot(snapshot);
    }

    fn heard_leader(&mut self, context: &mut ReplicaContext, address: SocketAddr) {
        let term = self.hard.term;
        self.follow(context, term);
        self.leader = Some(address);
        self.leader_heard = Some(context.now);
        self.reset_election(context);
    }

    fn holds(&self, mark: wire::LogMark) -> bool {
        // What lies before the base is committed, and every leader holds the same there.
        mark.position < self.log.base().position
            || self.log.term_at(mark.position) == Some(mark.term)
    }

    /// Appends what is missing; drops own entries only where one conflicts.
    fn take_entries(&mut self, entries: Vec<wire::LogEntry>) {
        for entry in entries {
            if entry.position <= self.log.base().position {
                continue;
            }
            match self.log.term_at(entry.position) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    assert!(
                        entry.position > self.commit,
                        "a committed entry never changes"
                    );
                    self.log.truncate(entry.position);
                    self.writes.keep_truncation(entry.position);
                }
                None => {}
            }
            self.log.append(entry.clone());
            self.writes.keep_entry(entry);
        }
    }

    fn answer_leader(
        &mut self,
        address: SocketAddr,
        replica: ids::ReplicaId,
        answer: wire::AppendAnswer,
    ) {
        let message = self.message(Some(replica), wire::ReplicationBody::Appended(answer));
        self.send_kept(address, message);
    }
}
