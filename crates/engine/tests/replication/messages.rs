//! Individual messages, for tests that control the order of delivery.

use std::time::Duration;

use hazeltiller_engine::{event, replication};
use hazeltiller_testkit::node;
use hazeltiller_units::ids;
use hazeltiller_wire::{dissemination, message, replication as wire};

use super::{FakeMessage, FakeNetwork, address};

impl FakeNetwork {
    /// A node that has just started asks a control for the floor.
    pub(crate) fn ask_floor(&mut self, index: usize) {
        let message = dissemination::DisseminationMessage::FloorQuestion;
        let event = event::Event::Received {
            from: node::identity("node-1", "brasov-a", "ro-centru"),
            message: message::PeerMessage::Dissemination(message),
        };
        self.reduce(index, event);
    }

    /// Last position of a control's log.
    pub(crate) fn last(&self, index: usize) -> ids::LogPosition {
        let view = replication::GroupView::of(&self.controls[index].state);
        view.expect("the process has the control role").last
    }

    /// Current term of a control.
    pub(crate) fn term(&self, index: usize) -> ids::LeaderTerm {
        let view = replication::GroupView::of(&self.controls[index].state);
        view.expect("the process has the control role").term
    }

    /// Drops all snapshots in transit.
    pub(crate) fn drop_snapshots(&mut self) {
        self.messages.retain(|sent| {
            let message::PeerMessage::Replication(message) = &sent.message else {
                return true;
            };
            !matches!(message.body, wire::ReplicationBody::Install { .. })
        });
    }

    /// Drops all entries and snapshots in transit to a control.
    pub(crate) fn drop_entries(&mut self, to: usize) {
        self.messages.retain(|sent| {
            let message::PeerMessage::Replication(message) = &sent.message else {
                return true;
            };
            let is_content = match &message.body {
                wire::ReplicationBody::Append(request) => !request.entries.is_empty(),
                wire::ReplicationBody::Install { .. } => true,
                _ => false,
            };
            sent.to != to || !is_content
        });
    }

    fn is_between(message: &FakeMessage, from: usize, to: usize) -> bool {
        message.to == to && message.from.address == address(from)
    }

    /// Takes the messages in transit from one control to another.
    pub(crate) fn take_messages(&mut self, from: usize, to: usize) -> Vec<FakeMessage> {
        let messages = std::mem::take(&mut self.messages).into_iter();
        let (selected, rest) = messages.partition(|sent| Self::is_between(sent, from, to));
        self.messages = rest;
        selected
    }

    /// Delivers the messages in transit from one control to another.
    pub(crate) fn deliver_between(&mut self, from: usize, to: usize) {
        for message in self.take_messages(from, to) {
            self.messages.insert(0, message);
            self.deliver(0, true);
        }
    }

    /// Whether a control has sent an acknowledgement of entries.
    pub(crate) fn has_acknowledged(&self, from: usize) -> bool {
        self.messages.iter().any(|sent| {
            let message::PeerMessage::Replication(message) = &sent.message else {
                return false;
            };
            let is_appended = matches!(message.body, wire::ReplicationBody::Appended(_));
            sent.from.address == address(from) && is_appended
        })
    }

    /// Lets one control be elected with the vote of another and drops all other messages.
    pub(crate) fn elect(&mut self, index: usize, voter: usize) {
        self.messages.clear();
        while self.leader() != Some(index) {
            self.now = self.now + Duration::from_millis(50);
            self.reduce(index, event::Event::Tick);
            self.sync(index);
            self.deliver_between(index, voter);
            self.sync(voter);
            self.deliver_between(voter, index);
            self.sync(index);
        }
        self.messages.clear();
    }

    /// Acknowledges entries up to a position to the leader in the name of a control.
    pub(crate) fn acknowledge_as(&mut self, from: usize, to: usize, position: ids::LogPosition) {
        let answer = wire::AppendAnswer {
            is_accepted: true,
            position,
            sent: self.now,
            at: self.now,
        };
        let replica = self.log(from).replica();
        self.send_as(
            from,
            to,
            replica,
            wire::ReplicationBody::Appended(answer),
            0,
        );
    }

    fn send_as(
        &mut self,
        from: usize,
        to: usize,
        replica: ids::ReplicaId,
        body: wire::ReplicationBody,
        term_offset: u64,
    ) {
        let term = replication::GroupView::of(&self.controls[to].state);
        let term = term.expect("the process has the control role").term.0 + term_offset;
        let message = wire::ReplicationMessage {
            group: ids::GroupId::default(),
            from: replica,
            to: None,
            term: ids::LeaderTerm(term),
            body,
        };
        let message = message::PeerMessage::Replication(message);
        let from = self.controls[from].state.settings.identity.clone();
        self.messages.insert(0, FakeMessage { from, to, message });
        self.deliver(0, true);
    }

    /// Requests a pre-vote and a vote from a control in the name of another; returns whether each
    /// was granted.
    pub(crate) fn request_votes(&mut self, from: usize, to: usize) -> (Option<bool>, Option<bool>) {
        let replica = self.log(from).replica();
        self.now = self.now + Duration::from_secs(5);
        let pre_vote = self.request_vote(from, to, replica, wire::ReplicationBody::PreVote, 1);
        let vote = self.request_vote(from, to, replica, wire::ReplicationBody::Vote, 1);
        (pre_vote, vote)
    }

    /// Requests a vote in the receiver's current term, in the name of a replica with another id.
    pub(crate) fn request_votes_as(
        &mut self,
        from: usize,
        to: usize,
        replica: ids::ReplicaId,
    ) -> (Option<bool>, Option<bool>) {
        let vote = self.request_vote(from, to, replica, wire::ReplicationBody::Vote, 0);
        (None, vote)
    }

    fn request_vote(
        &mut self,
        from: usize,
        to: usize,
        replica: ids::ReplicaId,
        body: fn(wire::LogMark) -> wire::ReplicationBody,
        term_offset: u64,
    ) -> Option<bool> {
        let log = self.log(from);
        let last = log.committed_entries().last().map(wire::LogEntry::mark);
        self.send_as(
            from,
            to,
            replica,
            body(last.unwrap_or_default()),
            term_offset,
        );
        self.sync(to);
        let answers = self.take_messages(to, from);
        answers.iter().rev().find_map(|sent| match &sent.message {
            message::PeerMessage::Replication(message) => match message.body {
                wire::ReplicationBody::PreVoted { is_granted }
                | wire::ReplicationBody::Voted { is_granted } => Some(is_granted),
                _ => None,
            },
            _ => None,
        })
    }
}
