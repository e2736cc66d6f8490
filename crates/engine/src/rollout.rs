//! Rollouts: moving the calls of a service to targets of a new version, or rolling them back.
//!
//! The order and each phase are entries of the replicated log, so a new leader continues where the
//! old one stopped. A node follows the phase in its catalogue version in force. For each call it
//! draws at random whether the new version may take it, which needs neither stored state nor
//! coordination between nodes, and it refuses offers to a version that was rolled back. Nodes
//! report run counts to the leader, which compares both versions over the same period and decides
//! on the next phase.

pub mod cohort;
pub mod evidence;
pub mod plan;
pub mod tally;
pub mod verdict;

use std::time::Duration;

use hazeltiller_catalogue::rollout;
use hazeltiller_units::{ids, time};
use hazeltiller_wire::{calls as wire_calls, rollout as wire};
use indexmap::IndexMap;
use rand::RngExt;

use crate::{
    admission, calls, dissemination::convergence, event, membership, reducer, replication,
    routing::table, timeline,
};

/// Interval at which the leader evaluates the evidence.
const EVALUATION_PERIOD: Duration = Duration::from_millis(250);
/// Delay after which the leader proposes a step again that has not come into force.
const STEP_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Local state of a service's rollout, in addition to its catalogue entry.
#[derive(Debug, Clone)]
struct LocalRollout {
    /// Catalogue version that the order created, which identifies the rollout.
    order: ids::CatalogueVersion,
    phase: rollout::RolloutPhase,
    /// Time at which this process first saw the rollout.
    first_seen_at: time::MonotonicTime,
    /// Time at which this process first saw the current phase.
    phase_seen_at: time::MonotonicTime,
    /// Catalogue version with which the current phase came into force on this process.
    phase_version: ids::CatalogueVersion,
    /// Whether this process saw the start of the rollout, so that it knows the elapsed time.
    has_seen_start: bool,
    /// Time at which the leader proposed the next step.
    proposed_at: Option<time::MonotonicTime>,
}

/// State of the rollouts.
#[derive(Debug, Clone, Default)]
pub struct RolloutState {
    /// Run counts of the own targets.
    pub tallies: tally::RunTallyTable,
    /// On the leader: run counts of all targets, by service.
    pub evidence: IndexMap<ids::EntryName, evidence::RolloutEvidence>,
    /// Local state of the rollouts in the catalogue, by service.
    local_rollouts: IndexMap<ids::EntryName, LocalRollout>,
    /// Catalogue version that `local_rollouts` was read from; `None` before the first read.
    read_version: Option<ids::CatalogueVersion>,
    evaluated_at: time::MonotonicTime,
}

impl RolloutState {
    /// Returns the milliseconds since a service's latest order; `None` if this process did not see
    /// it start.
    pub fn elapsed_ms(&self, service: &ids::EntryName, now: time::MonotonicTime) -> Option<u64> {
        let local = self.local_rollouts.get(service)?;
        let first_seen_at = local.has_seen_start.then_some(local.first_seen_at)?;
        Some(now.since(first_seen_at).as_millis() as u64)
    }
}

/// Reports run counts and, on the leader, evaluates the rollouts.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    refresh(state, output);
    if state.rollout.local_rollouts.is_empty() {
        return;
    }
    tally::report(state, output);
    if state.now.since(state.rollout.evaluated_at) >= EVALUATION_PERIOD {
        let window_span = state.now.since(state.rollout.evaluated_at);
        state.rollout.evaluated_at = state.now;
        evaluate(state, window_span, output);
    }
}

/// Handles run counts of other processes' targets: the leader records them, any other control
/// forwards them to the leader once.
pub fn receive(
    state: &mut reducer::EngineState,
    message: wire::RolloutMessage,
    output: &mut event::ReducerOutput,
) {
    let Some(replication) = &state.replication else {
        return;
    };
    if replication.leading_term().is_none() {
        if let Some(leader) = replication.live_leader(state)
            && !message.is_passed_on
        {
            let message = wire::RolloutMessage {
                is_passed_on: true,
                ..message
            };
            output.send(leader, peer_message(message));
        }
        return;
    }
    for tally in message.tallies {
        let entry = state.dissemination.in_force.rollout(&tally.service);
        if entry.is_some_and(|entry| entry.order == tally.order && entry.phase.is_running()) {
            let evidence = &mut state.rollout.evidence;
            let service_evidence = evidence.entry(tally.service.clone()).or_default();
            service_evidence.record_tally(tally, state.now);
        }
    }
}

/// Counts a completed run of an own target.
pub fn record_run(
    state: &mut reducer::EngineState,
    offer: &wire_calls::CallOffer,
    elapsed: Duration,
    result: calls::RunResult,
) {
    let Some(entry) = state.dissemination.in_force.rollout(&offer.service) else {
        return;
    };
    let Some(own_target) = state.membership.targets.get(&offer.target) else {
        return;
    };
    // A target that has just started is slow whatever its version, so its first runs do not count.
    let started_warm = own_target.warm_at + elapsed <= state.now;
    if entry.phase.is_running() && started_warm {
        let version = own_target.record.version.as_ref();
        let tallies = &mut state.rollout.tallies;
        let target = tallies.target_tally(&offer.target, entry, version);
        target.record(&offer.route, elapsed, result);
    }
}

/// Returns whether an own target runs a version that was rolled back.
pub fn is_rolled_back(state: &reducer::EngineState, own_target: &membership::OwnTarget) -> bool {
    let entry = state
        .dissemination
        .in_force
        .rollout(&own_target.record.service);
    entry.is_some_and(|entry| {
        entry.phase == rollout::RolloutPhase::RolledBack
            && own_target.record.version.as_ref() == Some(&entry.to)
    })
}

/// Draws at random, by the shares of the current phase, the cohort of targets that a call may go
/// to.
pub fn draw_cohort(
    state: &mut reducer::EngineState,
    service: &ids::EntryName,
) -> cohort::CallCohort {
    let Some(entry) = state.dissemination.in_force.rollout(service) else {
        return cohort::CallCohort::Any;
    };
    let (phase, share_permille, within_ms) = (entry.phase, entry.share_permille, entry.within_ms);
    let share = f64::from(share_permille) / f64::from(rollout::FULL_SHARE_PERMILLE);
    match phase {
        rollout::RolloutPhase::Succeeded | rollout::RolloutPhase::RolledBack => {
            cohort::CallCohort::Any
        }
        rollout::RolloutPhase::Switched => cohort::CallCohort::New,
        rollout::RolloutPhase::Widening => {
            if state.random.random_bool(share.min(1.0)) {
                cohort::CallCohort::New
            } else {
                cohort::CallCohort::Old
            }
        }
        rollout::RolloutPhase::Trial => {
            table::refresh(state);
            let share = share.min(state.routing.table.max_trial_share(service));
            let is_trial_call = state.random.random_bool(share.clamp(0.0, 1.0));
            if !is_trial_call || !may_continue_trial(state, service, within_ms) {
                cohort::CallCohort::Old
            } else if state.random.random_bool(cohort::CANARY_TRIAL_SHARE) {
                cohort::CallCohort::Canary
            } else {
                cohort::CallCohort::Reserve
            }
        }
    }
}

/// Returns whether the new version may get calls in the trial: the time limit has not passed on
/// this node, and a control is reachable. Otherwise a bad version might not be rolled back.
fn may_continue_trial(
    state: &reducer::EngineState,
    service: &ids::EntryName,
    within_ms: u32,
) -> bool {
    let time_limit = Duration::from_millis(u64::from(within_ms));
    let local = state.rollout.local_rollouts.get(service);
    let has_expired = local.is_some_and(|local| state.now.since(local.first_seen_at) > time_limit);
    let mut controls = state
        .membership
        .others()
        .map(|member| &member.record.identity)
        .filter(|identity| identity.is_control);
    let identity = &state.settings.identity;
    let is_control_reachable = identity.is_control
        || controls.any(|identity| state.membership.is_reachable(&identity.instance));
    !has_expired && is_control_reachable
}

/// Updates the local state of the rollouts from the catalogue in force, and records when each phase
/// was first seen here.
fn refresh(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let in_force = std::sync::Arc::clone(&state.dissemination.in_force);
    let is_first_read = state.rollout.read_version.is_none();
    if state.rollout.read_version.replace(in_force.version) == Some(in_force.version) {
        return;
    }
    let mut local_rollouts: IndexMap<ids::EntryName, LocalRollout> = IndexMap::new();
    let is_recovered = |order| {
        let replication = state.replication.as_ref();
        replication.is_some_and(|replication| replication.is_recovered(order))
    };
    for entry in in_force.rollouts() {
        let previous = state.rollout.local_rollouts.get(&entry.name);
        let previous = previous.filter(|previous| previous.order == entry.order);
        let is_new_phase = previous.is_none_or(|previous| previous.phase != entry.phase);
        if is_new_phase {
            output.record_event(timeline::TimelineEvent::RolloutAdvanced {
                service: entry.name.clone(),
                to: entry.to.clone(),
                phase: entry.phase,
                reason: entry.reason.clone(),
            });
        }
        let new_state = LocalRollout {
            order: entry.order,
            phase: entry.phase,
            first_seen_at: state.now,
            phase_seen_at: state.now,
            phase_version: in_force.version,
            has_seen_start: !is_first_read
                && entry.phase == rollout::RolloutPhase::Trial
                && !is_recovered(entry.order),
            proposed_at: None,
        };
        let current = match previous {
            Some(previous) if !is_new_phase => previous.clone(),
            Some(previous) => LocalRollout {
                first_seen_at: previous.first_seen_at,
                has_seen_start: previous.has_seen_start,
                ..new_state
            },
            None => new_state,
        };
        local_rollouts.insert(entry.name.clone(), current);
    }
    let running = |service: &ids::EntryName| {
        let entry = in_force.rollout(service);
        entry.filter(|entry| entry.phase.is_running())
    };
    state.rollout.tallies.retain_running(running);
    state.rollout.evidence.retain(|service, evidence| {
        running(service).is_some_and(|entry| evidence.belongs_to(entry.order))
    });
    state.rollout.local_rollouts = local_rollouts;
}

/// On the leader: evaluates the evidence of each running rollout and proposes its next step.
fn evaluate(
    state: &mut reducer::EngineState,
    window_span: Duration,
    output: &mut event::ReducerOutput,
) {
    let is_leader =
        |replication: &replication::ReplicationState| replication.leading_term().is_some();
    if !state.replication.as_ref().is_some_and(is_leader) || !replication::is_proven_current(state)
    {
        // Only a leader that is proven current evaluates rollouts. What this process has collected
        // does not count as evidence.
        return state.rollout.evidence.clear();
    }
    let in_force = std::sync::Arc::clone(&state.dissemination.in_force);
    for entry in in_force.rollouts().filter(|entry| entry.phase.is_running()) {
        let evidence = state.rollout.evidence.entry(entry.name.clone());
        evidence.or_default().observe(entry, &in_force, window_span);
        let Some(decision) = plan::next_step(&collect_situation(state, entry)) else {
            continue;
        };
        let now = state.now;
        let Some(local) = state.rollout.local_rollouts.get_mut(&entry.name) else {
            continue;
        };
        let is_pending = |at: time::MonotonicTime| now.since(at) < STEP_RETRY_DELAY;
        if local.proposed_at.is_some_and(is_pending) {
            continue;
        }
        local.proposed_at = Some(now);
        let elapsed = now.since(local.first_seen_at);
        let next = entry.in_phase(decision.phase, decision.share_permille, decision.reason);
        let proposal = replication::RolloutTransition {
            entry: next.with_old_versions(known_versions(state, &entry.name)),
            elapsed,
        };
        let proposal_event = replication::ReplicationEvent::AdvanceRollout(Box::new(proposal));
        output.enqueue(event::Event::Replication(proposal_event));
    }
}

/// Collects the inputs for the next step of a rollout.
fn collect_situation(
    state: &reducer::EngineState,
    entry: &rollout::RolloutEntry,
) -> plan::RolloutSituation {
    let local = &state.rollout.local_rollouts[&entry.name];
    let evidence = &state.rollout.evidence[&entry.name];
    let view = convergence::view(state, local.phase_version);
    let (known_nodes, nodes_behind) = view.map_or((0, usize::MAX), |view| {
        let unreachable = membership::reach::Reachability::Unreachable;
        let behind = view.behind.iter();
        let behind = behind.filter(|node| node.reachability != unreachable);
        (view.nodes_known, behind.count())
    });
    let slots = cohort::SlotCount::of(state, entry);
    plan::RolloutSituation {
        phase: entry.phase,
        share: f64::from(entry.share_permille) / f64::from(rollout::FULL_SHARE_PERMILLE),
        within: Duration::from_millis(u64::from(entry.within_ms)),
        elapsed: local
            .has_seen_start
            .then(|| state.now.since(local.first_seen_at)),
        time_in_phase: state.now.since(local.phase_seen_at),
        finding: evidence.finding(&entry.to),
        observed: evidence.observed(),
        slots,
        known_nodes,
        nodes_behind,
        old_in_flight: evidence.old_in_flight(
            &entry.to,
            local.phase_seen_at + plan::SETTLE_TIME,
            state.now,
        ),
    }
}

/// Returns the versions of a service's targets known to this process from gossip or run counts.
fn known_versions(
    state: &reducer::EngineState,
    service: &ids::EntryName,
) -> Vec<ids::SoftwareVersion> {
    let targets = state
        .membership
        .present()
        .flat_map(|member| &member.targets);
    let announced = targets
        .filter(|target| target.service == *service)
        .filter_map(|target| target.version.clone());
    let reported = state.rollout.evidence.get(service);
    let reported = reported.map(evidence::RolloutEvidence::by_version);
    let reported = reported.into_iter().flatten();
    announced
        .chain(reported.filter_map(|(version, _)| version))
        .collect()
}

/// Returns the number of calls that run or wait at an own target.
fn in_flight(state: &reducer::EngineState, target: &ids::TargetName) -> u32 {
    admission::in_flight(state, target)
}

fn peer_message(message: wire::RolloutMessage) -> hazeltiller_wire::message::PeerMessage {
    hazeltiller_wire::message::PeerMessage::Rollout(message)
}
