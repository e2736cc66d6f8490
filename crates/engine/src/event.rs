//! Events that go into the reducer and effects that come out: one variant a submodule.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use hazeltiller_wire::{calls as wire_calls, membership as wire_membership, message};

use crate::{calls, dissemination, health, ledger, membership, quarantine, replication, timeline};

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time passed; comes every few milliseconds.
    Tick,
    /// A message came from a peer that has proven the group key.
    Received {
        /// Who sent it.
        from: wire_membership::PeerIdentity,
        /// What it says.
        message: message::PeerMessage,
    },
    /// A link to a peer could not be opened or broke; messages on it may be lost.
    LinkLost {
        /// Peers address of the other side.
        address: SocketAddr,
    },
    /// Of the replicated log.
    Replication(replication::ReplicationEvent),
    /// Of the catalogue's way to the nodes.
    Dissemination(dissemination::DisseminationEvent),
    /// Of members and targets.
    Membership(membership::MembershipEvent),
    /// Of calls.
    Calls(calls::CallEvent),
    /// Of claims on keyed requests.
    Ledger(ledger::LedgerEvent),
    /// Of requests that crash targets.
    Quarantine(quarantine::QuarantineEvent),
    /// Of targets' health.
    Health(health::HealthEvent),
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message to the peers address of a process; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: message::PeerMessage,
    },
    /// Of the replicated log.
    Replication(replication::ReplicationEffect),
    /// Of the catalogue's way to the nodes.
    Dissemination(dissemination::DisseminationEffect),
    /// Of members and targets.
    Membership(membership::MembershipEffect),
    /// Of calls.
    Calls(calls::CallEffect),
    /// Of claims on keyed requests.
    Ledger(ledger::LedgerEffect),
    /// Of targets' health.
    Health(health::HealthEffect),
    /// Put an event into the time line.
    RecordEvent(timeline::TimelineEvent),
}

/// Where a submodule puts what follows from an event.
#[derive(Debug, Default)]
pub struct ReducerOutput {
    /// Effects, in order.
    pub effects: Vec<Effect>,
    /// Events for other submodules, reduced before `reduce` returns.
    pub queued_events: std::collections::VecDeque<Event>,
}

impl ReducerOutput {
    /// Sends a message.
    pub fn send(&mut self, to: SocketAddr, message: message::PeerMessage) {
        self.effects.push(Effect::Send { to, message });
    }

    /// Refuses a call.
    pub fn refuse(&mut self, call: ids::CallId, refusal: wire_calls::CallRefusal) {
        let effect = calls::CallEffect::Refuse(call, refusal);
        self.effects.push(Effect::Calls(effect));
    }

    /// Puts an event into the time line.
    pub fn record_event(&mut self, event: timeline::TimelineEvent) {
        self.effects.push(Effect::RecordEvent(event));
    }

    /// Has another submodule take an event.
    pub fn enqueue(&mut self, event: Event) {
        self.queued_events.push_back(event);
    }
}
