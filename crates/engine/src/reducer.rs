//! The one reducer: hands each event to the submodule it is for.

use hazeltiller_units::time;
use hazeltiller_wire::message;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    admission, calls, dissemination, event, health, ledger, membership, quarantine, replication,
    retry, rollout, routing, settings,
};

/// The whole state of a process's decisions.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// What the process was started with.
    pub settings: settings::EngineSettings,
    /// Time of the event that is being reduced.
    pub now: time::MonotonicTime,
    /// Every random choice comes from here.
    pub random: ChaCha8Rng,
    /// The replicated log; absent without the control role.
    pub replication: Option<replication::ReplicationState>,
    /// The catalogue in force and its way here.
    pub dissemination: dissemination::DisseminationState,
    /// Members and targets.
    pub membership: membership::MembershipState,
    /// Choice of targets.
    pub routing: routing::RoutingState,
    /// Slots and queues of own targets.
    pub admission: admission::AdmissionState,
    /// Health of own targets.
    pub health: health::HealthState,
    /// Budgets of second tries.
    pub retry: retry::RetryState,
    /// Calls on their way through this process.
    pub calls: calls::CallState,
    /// Claims on keyed requests.
    pub ledger: ledger::LedgerState,
    /// Requests that crash targets.
    pub quarantine: quarantine::QuarantineState,
    /// Moves of services to other versions.
    pub rollout: rollout::RolloutState,
}

impl EngineState {
    /// The state of a process that starts.
    pub fn new(
        settings: settings::EngineSettings,
        replication: Option<replication::ReplicationState>,
    ) -> Self {
        let membership = membership::MembershipState::new(&settings);
        Self {
            now: time::MonotonicTime::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            replication,
            dissemination: dissemination::DisseminationState::new(&settings),
            membership,
            routing: routing::RoutingState::default(),
            admission: admission::AdmissionState::default(),
            health: health::HealthState::default(),
            retry: retry::RetryState::default(),
            calls: calls::CallState::default(),
            ledger: ledger::LedgerState::default(),
            quarantine: quarantine::QuarantineState::default(),
            rollout: rollout::RolloutState::default(),
            settings,
        }
    }
}

/// Takes one event: changes the state and returns what is to be done, in order.
pub fn reduce(
    state: &mut EngineState,
    now: time::MonotonicTime,
    event: event::Event,
) -> Vec<event::Effect> {
    state.now = state.now.max(now);
    let mut output = event::ReducerOutput::default();
    output.enqueue(event);
    while let Some(next) = output.queued_events.pop_front() {
        let first = output.effects.len();
        dispatch(state, next, &mut output);
        ledger::settle_refusals(state, first, &mut output);
    }
    output.effects
}

fn dispatch(state: &mut EngineState, event: event::Event, output: &mut event::ReducerOutput) {
    match event {
        event::Event::Tick => {
            replication::tick(state, output);
            dissemination::tick(state, output);
            membership::tick(state, output);
            calls::tick(state, output);
            ledger::tick(state, output);
            quarantine::tick(state);
            health::tick(state, output);
            rollout::tick(state, output);
        }
        event::Event::Received { from, message } => {
            membership::record_contact(state, &from);
            match message {
                message::PeerMessage::Replication(message) => {
                    replication::receive(state, &from, message, output);
                }
                message::PeerMessage::Dissemination(message) => {
                    dissemination::receive(state, &from, message, output);
                }
                message::PeerMessage::Membership(message) => {
                    membership::receive(state, &from, message, output);
                }
                message::PeerMessage::Ledger(message) => {
                    ledger::receive(state, &from, message, output);
                }
                message::PeerMessage::Quarantine(message) => quarantine::receive(state, &message),
                message::PeerMessage::Rollout(message) => {
                    rollout::receive(state, message, output);
                }
            }
        }
        event::Event::LinkLost { address } => {
            membership::link_lost(state, address);
            dissemination::link_lost(state, address, output);
        }
        event::Event::Replication(event) => replication::handle_event(state, event, output),
        event::Event::Dissemination(event) => dissemination::handle_event(state, event, output),
        event::Event::Membership(event) => membership::handle_event(state, event, output),
        event::Event::Calls(event) => calls::handle_event(state, event, output),
        event::Event::Ledger(event) => ledger::take(state, event, output),
        event::Event::Quarantine(event) => quarantine::handle_event(state, event, output),
        event::Event::Health(event) => health::handle_event(state, event),
    }
}
