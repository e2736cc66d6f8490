//! Input events and output effects of the reducer, with one variant per submodule.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use hazeltiller_wire::{calls as wire_calls, membership as wire_membership, message};

use crate::{
    bandwidth, calls, dissemination, health, ledger, membership, quarantine, replication, signals,
    timeline,
};

/// An input of the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed; occurs every few milliseconds.
    Tick,
    /// A message arrived from a peer that has proven knowledge of the group key.
    Received {
        /// Sender of the message.
        from: wire_membership::PeerIdentity,
        /// The message.
        message: message::PeerMessage,
    },
    /// A link to a peer broke or could not be opened; messages sent on it may be lost.
    LinkLost {
        /// Peer address of the other side.
        address: SocketAddr,
    },
    /// An event of the replicated log.
    Replication(replication::ReplicationEvent),
    /// An event of catalogue dissemination.
    Dissemination(dissemination::DisseminationEvent),
    /// An event of membership.
    Membership(membership::MembershipEvent),
    /// An event of a call.
    Calls(calls::CallEvent),
    /// An event of the ledger of claims on requests with an idempotency key.
    Ledger(ledger::LedgerEvent),
    /// An event of the quarantine.
    Quarantine(quarantine::QuarantineEvent),
    /// An event of target health.
    Health(health::HealthEvent),
    /// An event of the signals that targets send in their responses.
    Signals(signals::SignalEvent),
    /// An event of the links of nodes.
    Bandwidth(bandwidth::BandwidthEvent),
}

/// An output of the reducer, to be carried out by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message to the peer address of a process; delivery is not guaranteed.
    Send {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        message: message::PeerMessage,
    },
    /// An effect of the replicated log.
    Replication(replication::ReplicationEffect),
    /// An effect of catalogue dissemination.
    Dissemination(dissemination::DisseminationEffect),
    /// An effect of membership.
    Membership(membership::MembershipEffect),
    /// An effect of a call.
    Calls(calls::CallEffect),
    /// An effect of the ledger.
    Ledger(ledger::LedgerEffect),
    /// An effect of target health.
    Health(health::HealthEffect),
    /// Record an event in the timeline.
    RecordEvent(timeline::TimelineEvent),
}

/// Effects and follow-up events that an input event produces.
#[derive(Debug, Default)]
pub struct ReducerOutput {
    /// Effects in order.
    pub effects: Vec<Effect>,
    /// Events for other submodules, which are processed before `reduce` returns.
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

    /// Records an event in the timeline.
    pub fn record_event(&mut self, event: timeline::TimelineEvent) {
        self.effects.push(Effect::RecordEvent(event));
    }

    /// Queues an event for another submodule.
    pub fn enqueue(&mut self, event: Event) {
        self.queued_events.push_back(event);
    }
}
