//! The reducer, which dispatches each event to the submodule that handles it.

use hazeltiller_units::time;
use hazeltiller_wire::message;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    admission, allowance, bandwidth, calls, dependencies, dissemination, event, health, ledger,
    membership, organisations, quarantine, replication, retry, rollout, routing, settings, signals,
};

/// The state of all decisions of a process.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// Settings that the process was started with.
    pub settings: settings::EngineSettings,
    /// Time of the event that is being processed.
    pub now: time::MonotonicTime,
    /// Source of all random choices.
    pub random: ChaCha8Rng,
    /// The replicated log; `None` without the control role.
    pub replication: Option<replication::ReplicationState>,
    /// The catalogue in force and its dissemination.
    pub dissemination: dissemination::DisseminationState,
    /// Members and targets.
    pub membership: membership::MembershipState,
    /// Routes and target selection.
    pub routing: routing::RoutingState,
    /// Slots and queues of own targets.
    pub admission: admission::AdmissionState,
    /// Health of own targets.
    pub health: health::HealthState,
    /// Retry budgets.
    pub retry: retry::RetryState,
    /// Organisations by API key.
    pub keys: organisations::KeyIndex,
    /// Allowances of organisations.
    pub allowance: allowance::AllowanceState,
    /// Calls that pass through this process.
    pub calls: calls::CallState,
    /// Calls that runs make, and the room for them.
    pub dependencies: dependencies::DependencyState,
    /// Claims on requests with an idempotency key.
    pub ledger: ledger::LedgerState,
    /// Requests that crash targets.
    pub quarantine: quarantine::QuarantineState,
    /// Rollouts of new versions.
    pub rollout: rollout::RolloutState,
    /// Signals that targets sent in their responses.
    pub signals: signals::SignalState,
    /// Links of this node and of others.
    pub bandwidth: bandwidth::BandwidthState,
}

impl EngineState {
    /// Returns the state of a process that starts.
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
            keys: organisations::KeyIndex::default(),
            allowance: allowance::AllowanceState::default(),
            calls: calls::CallState::default(),
            dependencies: dependencies::DependencyState::default(),
            ledger: ledger::LedgerState::default(),
            quarantine: quarantine::QuarantineState::default(),
            rollout: rollout::RolloutState::default(),
            signals: signals::SignalState::default(),
            bandwidth: bandwidth::BandwidthState::default(),
            settings,
        }
    }
}

/// Processes one event: updates the state, and returns the effects in order.
pub fn reduce(
    state: &mut EngineState,
    now: time::MonotonicTime,
    event: event::Event,
) -> Vec<event::Effect> {
    state.now = state.now.max(now);
    let mut output = event::ReducerOutput::default();
    output.enqueue(event);
    while let Some(next_event) = output.queued_events.pop_front() {
        let first_effect = output.effects.len();
        dispatch(state, next_event, &mut output);
        ledger::settle_refusals(state, first_effect, &mut output);
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
            dependencies::tick(state, output);
            ledger::tick(state, output);
            quarantine::tick(state, output);
            health::tick(state, output);
            rollout::tick(state, output);
            allowance::tick(state, output);
            signals::tick(state, output);
            bandwidth::tick(state, output);
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
                message::PeerMessage::Allowance(message) => {
                    allowance::receive(state, &from, message, output);
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
        event::Event::Ledger(event) => ledger::handle_event(state, event, output),
        event::Event::Quarantine(event) => quarantine::handle_event(state, event, output),
        event::Event::Health(event) => health::handle_event(state, event),
        event::Event::Signals(event) => signals::handle_event(state, event, output),
        event::Event::Bandwidth(event) => bandwidth::handle_event(state, event),
    }
}
