//! Single messages of the group, for the scenes that need one after another.

use std::time::Duration;

use hazeltiller_engine::{event, replication};
use hazeltiller_testkit::node;
use hazeltiller_units::ids;
use hazeltiller_wire::{dissemination, message, replication as wire};

use super::{FakeMessage, FakeNetwork, address};

impl FakeNetwork {
    /// A node without memory asks a control for the floor.
    pub(crate) fn ask_floor(&mut self, index: usize) {
        let message = dissemination::DisseminationMessage::FloorQuestion;
        let event = event::Event::Received {
            from: node::identity("node-1", "brasov-a", "ro-centru"),
            message: message::PeerMessage::Dissemination(message),
        };
        self.reduce(index, event);
    }

    /// The end of a control's log.
    pub(crate) fn last(&self, index: usize) -> ids::LogPosition {
        let view = replication::GroupView::of(&self.controls[index].state);
        view.expect("it is a control").last
    }

    /// The latest term that a control has seen.
    pub(crate) fn term(&self, index: usize) -> ids::LeaderTerm {
        let view = replication::GroupView::of(&self.controls[index].state);
        view.expect("it is a control").term
    }

    /// Loses every snapshot on its way.
    pub(crate) fn drop_snapshots(&mut self) {
        self.messages.retain(|one| {
            let message::PeerMessage::Replication(message) = &one.message else {
                return true;
            };
            !matches!(message.body, wire::ReplicationBody::Install { .. })
        });
    }

    fn is_between(message: &FakeMessage, from: usize, to: usize) -> bool {
        message.to == to && message.from.address == address(from)
    }

    /// Takes what is on its way from one control to another.
    pub(crate) fn take_messages(&mut self, from: usize, to: usize) -> Vec<FakeMessage> {
        let messages = std::mem::take(&mut self.messages).into_iter();
        let (wanted, rest) = messages.partition(|one| Self::is_between(one, from, to));
        self.messages = rest;
        wanted
    }

    /// Delivers what is on its way from one control to another.
    pub(crate) fn deliver_between(&mut self, from: usize, to: usize) {
        for message in self.take_messages(from, to) {
            self.messages.insert(0, message);
            self.deliver(0, true);
        }
    }

    /// Whether a control has said what it keeps.
    pub(crate) fn has_answer(&self, from: usize) -> bool {
        self.messages.iter().any(|one| {
            let message::PeerMessage::Replication(message) = &one.message else {
                return false;
            };
            let is_appended = matches!(message.body, wire::ReplicationBody::Appended(_));
            one.from.address == address(from) && is_appended
        })
    }

    /// Has a control elected by another one, and delivers nothing beyond that.
    pub(crate) fn lead(&mut self, index: usize, voter: usize) {
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

    /// Tells a leader that a control keeps the log up to a position.
    pub(crate) fn answer_as(&mut self, from: usize, to: usize, position: ids::LogPosition) {
        let answer = wire::AppendAnswer {
            is_accepted: true,
            position,
            sent: self.now,
            at: self.now,
        };
        let replica = self.log(from).replica();
        self.say(
            from,
            to,
            replica,
            wire::ReplicationBody::Appended(answer),
            0,
        );
    }

    fn say(
        &mut self,
        from: usize,
        to: usize,
        replica: ids::ReplicaId,
        body: wire::ReplicationBody,
        later: u64,
    ) {
        let term = replication::GroupView::of(&self.controls[to].state);
        let term = term.expect("it is a control").term.0 + later;
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

    /// Has one control ask another for a pre-vote and for a vote; returns what it is told.
    pub(crate) fn ask_votes(&mut self, from: usize, to: usize) -> (Option<bool>, Option<bool>) {
        let replica = self.log(from).replica();
        self.now = self.now + Duration::from_secs(5);
        let pre_vote = self.ask_vote(from, to, replica, wire::ReplicationBody::PreVote, 1);
        let vote = self.ask_vote(from, to, replica, wire::ReplicationBody::Vote, 1);
        (pre_vote, vote)
    }

    /// The same in the term that the other control is already in, for a replica of another id.
    pub(crate) fn ask_votes_as(
        &mut self,
        from: usize,
        to: usize,
        replica: ids::ReplicaId,
    ) -> (Option<bool>, Option<bool>) {
        let vote = self.ask_vote(from, to, replica, wire::ReplicationBody::Vote, 0);
        (None, vote)
    }

    fn ask_vote(
        &mut self,
        from: usize,
        to: usize,
        replica: ids::ReplicaId,
        body: fn(wire::LogMark) -> wire::ReplicationBody,
        later: u64,
    ) -> Option<bool> {
        let log = self.log(from);
        let last = log.committed_entries().last().map(wire::LogEntry::mark);
        self.say(from, to, replica, body(last.unwrap_or_default()), later);
        self.sync(to);
        let answers = self.take_messages(to, from);
        answers.iter().rev().find_map(|one| match &one.message {
            message::PeerMessage::Replication(message) => match message.body {
                wire::ReplicationBody::PreVoted { is_granted }
                | wire::ReplicationBody::Voted { is_granted } => Some(is_granted),
                _ => None,
            },
            _ => None,
        })
    }
}
