//! One node's reducer with a catalogue and members at hand, for tests and measurements.
//!
//! It takes events only, as the daemon would send them, so it holds for any inside of the reducer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hazeltiller_catalogue::{change, state as catalogue_state};
use hazeltiller_engine::{calls, event, membership, reducer, settings};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::{calls as wire, membership as wire_membership, message};
use serde_json::Value;

const SEED: u64 = 7;
const LONG_LEASE: Duration = Duration::from_hours(1);

/// A reducer and its clock.
#[derive(Debug, Clone)]
pub struct NodeReducer {
    /// Its state.
    pub state: reducer::EngineState,
    /// Its clock.
    pub now: time::MonotonicTime,
}

impl NodeReducer {
    /// The reducer of a node in region `ro-centru`.
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

    /// Has a change of the catalogue come into force.
    pub fn apply_entries(&mut self, entries: &Value) {
        let set = change::ChangeSet {
            put: serde_json::from_value(entries.clone()).expect("the test's entries are valid"),
            remove: Vec::new(),
        };
        let old: &catalogue_state::CatalogueState = &self.state.dissemination.in_force;
        let new = old.apply(&set, ids::LeaderTerm(1));
        let new = new.expect("the test's entries are without faults");
        self.state.dissemination.in_force = Arc::new(new);
    }

    /// Takes an event.
    pub fn reduce(&mut self, event: event::Event) -> Vec<event::Effect> {
        reducer::reduce(&mut self.state, self.now, event)
    }

    /// Takes an event of a call; returns the effects of calls.
    pub fn call(&mut self, event: calls::CallEvent) -> Vec<calls::CallEffect> {
        call_effects(self.reduce(event::Event::Calls(event)))
    }

    /// Lets time pass; returns the effects of calls.
    pub fn advance(&mut self, span: Duration) -> Vec<calls::CallEffect> {
        self.now = self.now + span;
        call_effects(self.reduce(event::Event::Tick))
    }

    /// Has a target announce itself at this node.
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

    /// Has a member tell of itself and its targets.
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

/// The effects of calls among all.
pub fn call_effects(effects: Vec<event::Effect>) -> Vec<calls::CallEffect> {
    let of_call = |effect| match effect {
        event::Effect::Calls(effect) => Some(effect),
        _ => None,
    };
    effects.into_iter().filter_map(of_call).collect()
}

/// A node's identity; its address follows from its name.
pub fn identity(instance: &str, data_centre: &str, region: &str) -> wire_membership::PeerIdentity {
    let sum: u32 = instance.bytes().map(u32::from).sum();
    let octets = [127, 0, (sum / 250) as u8, (sum % 250) as u8 + 1];
    wire_membership::PeerIdentity {
        instance: instance.parse().expect("it is a name"),
        data_centre: data_centre.parse().expect("it is a name"),
        region: region.parse().expect("it is a name"),
        address: SocketAddr::from((octets, 7000)),
        operators: None,
        is_control: false,
        is_node: true,
        incarnation: ids::IncarnationNumber(1),
    }
}

/// A ready target.
pub fn target(name: &str, service: &str, slots: u32) -> wire_membership::TargetRecord {
    wire_membership::TargetRecord {
        name: name.parse().expect("it is a name"),
        service: service.parse().expect("it is a name"),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        slots,
        connections: 100,
        state: wire_membership::TargetState::Ready,
        incarnation: ids::IncarnationNumber::default(),
        version: None,
    }
}

/// An offer of a call of cost 1 to a target of service `registru`, with 5 s left.
pub fn offer(target: &str, owner: &str, class: &str) -> wire::CallOffer {
    wire::CallOffer {
        target: target.parse().expect("it is a name"),
        route: "lookup".parse().expect("it is a name"),
        service: "registru".parse().expect("it is a name"),
        owner: owner.parse().expect("it is a name"),
        class: class.parse().expect("it is a name"),
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
    }
}

/// A caller's `GET` of a path.
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
    }
}
