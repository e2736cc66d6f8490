//! Reducer of one node with a catalogue and known members, for tests and benchmarks.
//!
//! Tests drive it with the events that the daemon would send, so they do not depend on the
//! reducer's internals.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hazeltiller_catalogue::{change, state as catalogue_state};
use hazeltiller_engine::{calls, event, membership, organisations, reducer, settings};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::{calls as wire, membership as wire_membership, message};
use serde_json::Value;

const SEED: u64 = 7;
const LONG_LEASE: Duration = Duration::from_hours(1);

/// Reducer and its clock.
#[derive(Debug, Clone)]
pub struct NodeReducer {
    /// State of the reducer.
    pub state: reducer::EngineState,
    /// Current time of the reducer.
    pub now: time::MonotonicTime,
}

impl NodeReducer {
    /// Creates the reducer of a node in region `ro-centru`.
    pub fn new(instance: &str, data_centre: &str, entries: &Value) -> Self {
        let settings = settings::EngineSettings {
            identity: identity(instance, data_centre, "ro-centru"),
            control: Vec::new(),
            seed: SEED,
            tunables: settings::EngineTunables::default(),
        };
        let mut node = Self {
            state: reducer::EngineState::new(settings, None),
            now: time::MonotonicTime::default(),
        };
        node.apply_entries(entries);
        node
    }

    /// Puts entries into the catalogue in force.
    pub fn apply_entries(&mut self, entries: &Value) {
        let set = change::ChangeSet {
            put: serde_json::from_value(entries.clone()).expect("the test's entries are valid"),
            remove: Vec::new(),
        };
        let old: &catalogue_state::CatalogueState = &self.state.dissemination.in_force;
        let new = old.apply(&set, ids::LeaderTerm(1));
        let new = new.expect("the test's entries pass validation");
        self.state.dissemination.in_force = Arc::new(new);
    }

    /// Handles an event and returns its effects.
    pub fn reduce(&mut self, event: event::Event) -> Vec<event::Effect> {
        reducer::reduce(&mut self.state, self.now, event)
    }

    /// Handles an event of a call and returns the effects that concern calls.
    pub fn call(&mut self, event: calls::CallEvent) -> Vec<calls::CallEffect> {
        call_effects(self.reduce(event::Event::Calls(event)))
    }

    /// Advances the clock and handles a tick; returns the effects that concern calls.
    pub fn advance(&mut self, span: Duration) -> Vec<calls::CallEffect> {
        self.now = self.now + span;
        call_effects(self.reduce(event::Event::Tick))
    }

    /// Announces a target at this node, with a lease of an hour.
    pub fn announce(&mut self, record: wire_membership::TargetRecord) {
        let announcement = membership::TargetAnnouncement {
            record,
            lease: LONG_LEASE,
            sequence: None,
            warm_up_left: Duration::ZERO,
        };
        let event = membership::MembershipEvent::Announced(announcement);
        self.reduce(event::Event::Membership(event));
    }

    /// Receives a member's record, with its targets, from that member.
    pub fn receive_record(
        &mut self,
        identity: &wire_membership::PeerIdentity,
        sequence: u64,
        targets: Vec<wire_membership::TargetRecord>,
    ) {
        let record = wire_membership::MemberRecord {
            identity: identity.clone(),
            sequence,
            has_left: false,
            targets,
        };
        let message = wire_membership::MembershipMessage::Records(vec![record]);
        self.reduce(event::Event::Received {
            from: identity.clone(),
            message: message::PeerMessage::Membership(message),
        });
    }
}

/// Selects the effects that concern calls.
pub fn call_effects(effects: Vec<event::Effect>) -> Vec<calls::CallEffect> {
    let call_effect = |effect| match effect {
        event::Effect::Calls(effect) => Some(effect),
        _ => None,
    };
    effects.into_iter().filter_map(call_effect).collect()
}

/// Returns the identity of a node. Its address is derived from its name.
pub fn identity(instance: &str, data_centre: &str, region: &str) -> wire_membership::PeerIdentity {
    let byte_sum: u32 = instance.bytes().map(u32::from).sum();
    let octets = [127, 0, (byte_sum / 250) as u8, (byte_sum % 250) as u8 + 1];
    wire_membership::PeerIdentity {
        instance: instance.parse().expect("the name is valid"),
        data_centre: data_centre.parse().expect("the name is valid"),
        region: region.parse().expect("the name is valid"),
        address: SocketAddr::from((octets, 7000)),
        operators: None,
        is_control: false,
        is_node: true,
        incarnation: ids::IncarnationNumber(1),
    }
}

/// Returns the record of a ready target.
pub fn target(name: &str, service: &str, slots: u32) -> wire_membership::TargetRecord {
    wire_membership::TargetRecord {
        name: name.parse().expect("the name is valid"),
        service: service.parse().expect("the name is valid"),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        slots,
        connections: 100,
        state: wire_membership::TargetState::Ready,
        incarnation: ids::IncarnationNumber::default(),
        version: None,
    }
}

/// Returns the offer of a call of cost 1 to a target of service `registru`, with 5 s left.
pub fn offer(target: &str, owner: &str, class: &str) -> wire::CallOffer {
    wire::CallOffer {
        target: target.parse().expect("the name is valid"),
        route: "lookup".parse().expect("the name is valid"),
        service: "registru".parse().expect("the name is valid"),
        owner: owner.parse().expect("the name is valid"),
        class: class.parse().expect("the name is valid"),
        cost: 1,
        deadline_left_ms: 5000,
        first_byte_ms: 2000,
        attempt: 1,
        is_idempotent: true,
        key: None,
        fingerprint: None,
        latency_left_ms: 5000,
        patience_ms: 5000,
        caller: None,
        precedence: wire::CallPrecedence::default(),
    }
}

/// Returns the arrival of a caller's `GET` request.
pub fn arrival(call: u64, path: &str) -> calls::CallArrival {
    calls::CallArrival {
        call: ids::CallId(call),
        host: None,
        path: path.into(),
        method: "GET".into(),
        key: None,
        deadline_left: None,
        attempt: 1,
        fingerprint: None,
        caller: None,
        api_key: organisations::RequestKey::Absent,
    }
}
