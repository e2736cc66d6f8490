//! Health of targets by the outcomes of calls.
//!
//! The owner node sees every outcome of its target and says so with each answer; an ingress node
//! keeps its calls away from a target that is said to fail, and from one whose node it cannot
//! reach. A health page counts only while there are no outcomes to go by: a good page never
//! overrules failing answers, and a bad one never overrules good answers.

use std::time::Duration;

use hazeltiller_units::{ids, time};
use indexmap::{IndexMap, IndexSet};

use crate::{calls, event, reducer, settings};

mod ejection;
mod outcome;

pub use ejection::{EjectionState, connect_retry_delay, ejected_targets};
pub use outcome::OutcomeWindow;

/// Events of health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthEvent {
    /// An own target's health page was asked for.
    Probed {
        /// Which target.
        target: ids::TargetName,
        /// Whether it said good in time.
        is_healthy: bool,
    },
}

/// Effects of health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthEffect {
    /// Ask for an own target's health page.
    Probe(ProbePlan),
}

/// A probe to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbePlan {
    /// Which target.
    pub target: ids::TargetName,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Path of its health page.
    pub path: String,
    /// Longest time to an answer.
    pub timeout: Duration,
}

/// What the owner node knows of an own target.
#[derive(Debug, Clone, Default)]
pub struct OwnHealth {
    /// Outcomes of runs.
    pub outcomes: OutcomeWindow,
    /// Bad probes in a row.
    bad_probes: u32,
    next_probe: time::MonotonicTime,
}

/// State of health.
#[derive(Debug, Clone, Default)]
pub struct HealthState {
    /// Own targets by name.
    pub own: IndexMap<ids::TargetName, OwnHealth>,
}

/// Whether the owner node holds an own target unhealthy.
pub fn is_failing(state: &reducer::EngineState, target: &ids::TargetName) -> bool {
    let Some(health) = state.health.own.get(target) else {
        return false;
    };
    let tunables = &state.settings.tunables.health;
    if health.outcomes.is_empty(state.now, tunables) {
        return u64::from(health.bad_probes) >= tunables.bad_probes;
    }
    health.outcomes.is_failing(state.now, tunables)
}

/// Takes how a run of an own target ended; `is_late` when its deadline was over by then.
pub fn record_run_result(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
    result: calls::RunResult,
    is_late: bool,
) {
    let is_good = match result {
        // It shed the call: admission gives it less work, which is no verdict on its health.
        calls::RunResult::Done { status: 503 } | calls::RunResult::Declined => return,
        calls::RunResult::Done { status } => status < 500,
        calls::RunResult::NotConnected
        | calls::RunResult::WrongTarget
        | calls::RunResult::Malformed
        | calls::RunResult::Crashed
        | calls::RunResult::TimedOut
        | calls::RunResult::Truncated => false,
        calls::RunResult::CallerGone if is_late => false,
        calls::RunResult::CallerGone => return,
    };
    note(state, target, is_good);
}

/// Notes an outcome of an own target.
pub fn note(state: &mut reducer::EngineState, target: &ids::TargetName, is_good: bool) {
    let half_life = settings::millis(state.settings.tunables.health.half_life_ms);
    let health = state.health.own.entry(target.clone()).or_default();
    health.outcomes.note(is_good, state.now, half_life);
}

/// Forgets the outcomes of a target that started again.
pub fn end_incarnation(state: &mut reducer::EngineState, target: &ids::TargetName) {
    state.health.own.shift_remove(target);
}

/// Takes an event of health.
pub fn handle_event(state: &mut reducer::EngineState, event: HealthEvent) {
    let HealthEvent::Probed { target, is_healthy } = event;
    if !state.membership.targets.contains_key(&target) {
        return;
    }
    let health = state.health.own.entry(target).or_default();
    health.bad_probes = if is_healthy { 0 } else { health.bad_probes + 1 };
}

/// Takes the passing of time: probes that are due are made, and targets that left are forgotten.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let own: IndexSet<ids::TargetName> = state.membership.targets.keys().cloned().collect();
    state.health.own.retain(|target, _| own.contains(target));
    for target in own {
        probe(state, target, output);
    }
}

fn probe(
    state: &mut reducer::EngineState,
    target: ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    let record = &state.membership.targets[&target].record;
    let service = state.dissemination.in_force.service(&record.service);
    let Some(probe) = service.and_then(|service| service.probe.as_ref()) else {
        return;
    };
    let now = state.now;
    let health = state.health.own.entry(target.clone()).or_default();
    if now < health.next_probe {
        return;
    }
    let period = Duration::from_millis(u64::from(probe.period_ms));
    health.next_probe = now + period;
    let plan = ProbePlan {
        target,
        address: record.address,
        path: probe.path.clone(),
        timeout: period,
    };
    output
        .effects
        .push(event::Effect::Health(HealthEffect::Probe(plan)));
}
