//! Roll-outs: a service's calls move to targets of another version, or are taken back.
//!
//! The order and each phase are entries of the replicated log, so a new leader goes on where the
//! old one was. A node obeys the phase that it has in force: it draws for each call whether the new
//! version may take it, which needs no memory and no agreement between nodes, and it refuses what
//! is offered to a version that was taken back. Counts of runs go to the leader, which compares
//! both versions over the same seconds and decides.

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

/// Time between two looks of the leader at the evidence.
const JUDGE_PERIOD: Duration = Duration::from_millis(250);
/// Time after which a step that was proposed and did not come into force is proposed again.
const STEP_PATIENCE: Duration = Duration::from_secs(1);

/// What this process knows of a service's roll-out beside its entry.
#[derive(Debug, Clone)]
struct KnownRollout {
    order: ids::CatalogueVersion,
    phase: rollout::RolloutPhase,
    /// When it was first seen here.
    seen: time::MonotonicTime,
    /// When its phase was first seen here, and in which version.
    phase_seen: time::MonotonicTime,
    phase_version: ids::CatalogueVersion,
    /// Whether this process saw its beginning, so that it knows how long it has gone on.
    is_from_start: bool,
    /// When the leader proposed its next step.
    proposed: Option<time::MonotonicTime>,
}

/// State of roll-outs.
#[derive(Debug, Clone, Default)]
pub struct RolloutState {
    /// Runs of own targets.
    pub tallies: tally::TallyTable,
    /// Runs of all targets, at the leader.
    pub evidence: IndexMap<ids::EntryName, evidence::RolloutEvidence>,
    known: IndexMap<ids::EntryName, KnownRollout>,
    /// Version that `known` was read from; absent before the first look.
    read: Option<ids::CatalogueVersion>,
    judged: time::MonotonicTime,
}

impl RolloutState {
    /// Milliseconds since a service's latest order, where this process saw it.
    pub fn elapsed(&self, service: &ids::EntryName, now: time::MonotonicTime) -> Option<u64> {
        let known = self.known.get(service)?;
        let seen = known.is_from_start.then_some(known.seen)?;
        Some(now.since(seen).as_millis() as u64)
    }
}

/// Takes the passing of time.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    refresh(state, output);
    if state.rollout.known.is_empty() {
        return;
    }
    tally::report(state, output);
    if state.now.since(state.rollout.judged) >= JUDGE_PERIOD {
        let span = state.now.since(state.rollout.judged);
        state.rollout.judged = state.now;
        judge(state, span, output);
    }
}

/// Takes tallies of other processes' targets: the leader keeps them, another control passes them on.
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
            output.send(leader, message_of(message));
        }
        return;
    }
    for tally in message.tallies {
        let entry = state.dissemination.in_force.rollout(&tally.service);
        if entry.is_some_and(|entry| entry.order == tally.order && entry.phase.is_running()) {
            let evidence = &mut state.rollout.evidence;
            let of_service = evidence.entry(tally.service.clone()).or_default();
            of_service.take(tally, state.now);
        }
    }
}

/// Notes a run of an own target that ended.
pub fn note_run(
    state: &mut reducer::EngineState,
    offer: &wire_calls::CallOffer,
    took: Duration,
    result: calls::RunResult,
) {
    let Some(entry) = state.dissemination.in_force.rollout(&offer.service) else {
        return;
    };
    let Some(own) = state.membership.targets.get(&offer.target) else {
        return;
    };
    // A target that has just started is slow, whatever its version.
    let began_warm = own.warm_at + took <= state.now;
    if entry.phase.is_running() && began_warm {
        let version = own.record.version.as_ref();
        let tallies = &mut state.rollout.tallies;
        let target = tallies.of_target(&offer.target, entry, version);
        target.note(&offer.route, took, result);
    }
}

/// Whether an own target is of a version whose roll-out was taken back.
pub fn is_rolled_back(state: &reducer::EngineState, own: &membership::OwnTarget) -> bool {
    let entry = state.dissemination.in_force.rollout(&own.record.service);
    entry.is_some_and(|entry| {
        entry.phase == rollout::RolloutPhase::RolledBack
            && own.record.version.as_ref() == Some(&entry.to)
    })
}

/// Draws which of a service's targets a call may go to.
pub fn draw_cohort(
    state: &mut reducer::EngineState,
    service: &ids::EntryName,
) -> cohort::CallCohort {
    let Some(entry) = state.dissemination.in_force.rollout(service) else {
        return cohort::CallCohort::Any;
    };
    let (phase, share_permille, within_ms) = (entry.phase, entry.share_permille, entry.within_ms);
    let share = f64::from(share_permille) / f64::from(rollout::WHOLE_PERMILLE);
    match phase {
        rollout::RolloutPhase::Succeeded | rollout::RolloutPhase::RolledBack => {
            cohort::CallCohort::Any
        }
        rollout::RolloutPhase::Switched => cohort::CallCohort::Coming,
        rollout::RolloutPhase::Widening => {
            if state.random.random_bool(share.min(1.0)) {
                cohort::CallCohort::Coming
            } else {
                cohort::CallCohort::Present
            }
        }
        rollout::RolloutPhase::Trial => {
            table::refresh(state);
            let share = share.min(state.routing.table.max_trial_share(service));
            let is_tried = state.random.random_bool(share.clamp(0.0, 1.0));
            if !is_tried || !is_guided(state, service, within_ms) {
                cohort::CallCohort::Present
            } else if state.random.random_bool(cohort::CANARY_PART) {
                cohort::CallCohort::Canary
            } else {
                cohort::CallCohort::Reserve
            }
        }
    }
}

/// Whether somebody watches a trial: one that has outlasted its time here, or whose controls
/// cannot be reached, gets no more calls.
fn is_guided(state: &reducer::EngineState, service: &ids::EntryName, within_ms: u32) -> bool {
    let longest = Duration::from_millis(u64::from(within_ms));
    let known = state.rollout.known.get(service);
    let is_over = known.is_some_and(|known| state.now.since(known.seen) > longest);
    let mut controls = state
        .membership
        .others()
        .map(|member| &member.record.identity)
        .filter(|identity| identity.is_control);
    let own = &state.settings.identity;
    let is_reachable = own.is_control
        || controls.any(|identity| state.membership.is_reachable(&identity.instance));
    !is_over && is_reachable
}

/// Notes the roll-outs of the version in force, and when each phase began here.
fn refresh(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let in_force = std::sync::Arc::clone(&state.dissemination.in_force);
    let is_first = state.rollout.read.is_none();
    if state.rollout.read.replace(in_force.version) == Some(in_force.version) {
        return;
    }
    let mut known: IndexMap<ids::EntryName, KnownRollout> = IndexMap::new();
    let is_recovered = |order| {
        let replication = state.replication.as_ref();
        replication.is_some_and(|replication| replication.is_recovered(order))
    };
    for entry in in_force.rollouts() {
        let before = state.rollout.known.get(&entry.name);
        let before = before.filter(|before| before.order == entry.order);
        let is_news = before.is_none_or(|before| before.phase != entry.phase);
        if is_news {
            output.note(timeline::TimelineEvent::RolloutAdvanced {
                service: entry.name.clone(),
                to: entry.to.clone(),
                phase: entry.phase,
                reason: entry.reason.clone(),
            });
        }
        let fresh = KnownRollout {
            order: entry.order,
            phase: entry.phase,
            seen: state.now,
            phase_seen: state.now,
            phase_version: in_force.version,
            is_from_start: !is_first
                && entry.phase == rollout::RolloutPhase::Trial
                && !is_recovered(entry.order),
            proposed: None,
        };
        let now_known = match before {
            Some(before) if !is_news => before.clone(),
            Some(before) => KnownRollout {
                seen: before.seen,
                is_from_start: before.is_from_start,
                ..fresh
            },
            None => fresh,
        };
        known.insert(entry.name.clone(), now_known);
    }
    let running = |service: &ids::EntryName| {
        let entry = in_force.rollout(service);
        entry.filter(|entry| entry.phase.is_running())
    };
    state.rollout.tallies.keep_running(running);
    state.rollout.evidence.retain(|service, evidence| {
        running(service).is_some_and(|entry| evidence.is_of(entry.order))
    });
    state.rollout.known = known;
}

/// At the leader: looks at the evidence of each roll-out under way and moves it on.
fn judge(state: &mut reducer::EngineState, span: Duration, output: &mut event::ReducerOutput) {
    let leads = |replication: &replication::ReplicationState| replication.leading_term().is_some();
    if !state.replication.as_ref().is_some_and(leads) || !replication::is_proven_current(state) {
        // Another one judges; what was heard here does not count as its evidence.
        return state.rollout.evidence.clear();
    }
    let in_force = std::sync::Arc::clone(&state.dissemination.in_force);
    for entry in in_force.rollouts().filter(|entry| entry.phase.is_running()) {
        let evidence = state.rollout.evidence.entry(entry.name.clone());
        evidence.or_default().weigh(entry, &in_force, span);
        let Some(step) = plan::next_step(&situation(state, entry)) else {
            continue;
        };
        let now = state.now;
        let Some(known) = state.rollout.known.get_mut(&entry.name) else {
            continue;
        };
        let is_pending = |at: time::MonotonicTime| now.since(at) < STEP_PATIENCE;
        if known.proposed.is_some_and(is_pending) {
            continue;
        }
        known.proposed = Some(now);
        let elapsed = now.since(known.seen);
        let next = entry.in_phase(step.phase, step.share_permille, step.reason);
        let step = replication::RolloutTransition {
            entry: next.with_old_versions(seen_versions(state, &entry.name)),
            elapsed,
        };
        let advance = replication::ReplicationEvent::AdvanceRollout(Box::new(step));
        output.follow(event::Event::Replication(advance));
    }
}

/// What the next step of a roll-out is decided on.
fn situation(
    state: &reducer::EngineState,
    entry: &rollout::RolloutEntry,
) -> plan::RolloutSituation {
    let known = &state.rollout.known[&entry.name];
    let evidence = &state.rollout.evidence[&entry.name];
    let view = convergence::view(state, known.phase_version);
    let (nodes, behind) = view.map_or((0, usize::MAX), |view| {
        let unreachable = membership::reach::Reachability::Unreachable;
        let behind = view.behind.iter();
        let behind = behind.filter(|node| node.reachability != unreachable);
        (view.nodes_known, behind.count())
    });
    let slots = cohort::SlotCount::of(state, entry);
    plan::RolloutSituation {
        phase: entry.phase,
        share: f64::from(entry.share_permille) / f64::from(rollout::WHOLE_PERMILLE),
        within: Duration::from_millis(u64::from(entry.within_ms)),
        elapsed: known.is_from_start.then(|| state.now.since(known.seen)),
        in_phase: state.now.since(known.phase_seen),
        finding: evidence.finding(&entry.to),
        watched: evidence.watched(),
        slots,
        nodes,
        behind,
        present_in_flight: evidence.present_in_flight(
            &entry.to,
            known.phase_seen + plan::SETTLE_TIME,
            state.now,
        ),
    }
}

/// Versions of a service's targets that this process knows of, by gossip or by their tallies.
fn seen_versions(
    state: &reducer::EngineState,
    service: &ids::EntryName,
) -> Vec<ids::SoftwareVersion> {
    let targets = state
        .membership
        .present()
        .flat_map(|member| &member.targets);
    let told = targets
        .filter(|target| target.service == *service)
        .filter_map(|target| target.version.clone());
    let tallied = state.rollout.evidence.get(service);
    let tallied = tallied.map(evidence::RolloutEvidence::by_version);
    let tallied = tallied.into_iter().flatten();
    told.chain(tallied.filter_map(|(version, _)| version))
        .collect()
}

/// Calls at an own target that run or wait.
fn in_flight(state: &reducer::EngineState, target: &ids::TargetName) -> u32 {
    admission::in_use(state, target)
}

fn message_of(message: wire::RolloutMessage) -> hazeltiller_wire::message::PeerMessage {
    hazeltiller_wire::message::PeerMessage::Rollout(message)
}
