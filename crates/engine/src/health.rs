//! Health of targets, derived from the outcomes of calls.
//!
//! The owner node sees every outcome of its target and reports the target's health with each
//! response. An ingress node ejects targets that are reported as failing and targets whose node it
//! cannot connect to. Active health checks count only while there are no recent outcomes: a passing
//! check never overrides failed calls, and a failing check never overrides successful ones.

use std::time::Duration;

use hazeltiller_units::{ids, time};
use indexmap::{IndexMap, IndexSet};

use crate::{calls, event, reducer, settings};

mod ejection;
mod outcome;

pub use ejection::{EjectionState, connect_retry_delay, ejected_targets};
pub use outcome::OutcomeWindow;

/// Events of health checking.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthEvent {
    /// An active health check of an own target has completed.
    Probed {
        /// The checked target.
        target: ids::TargetName,
        /// Whether the target reported itself healthy within the timeout.
        is_healthy: bool,
    },
}

/// Effects of health checking.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthEffect {
    /// Run an active health check of an own target.
    Probe(ProbePlan),
}

/// An active health check to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbePlan {
    /// Target to check.
    pub target: ids::TargetName,
    /// Address that the target listens on.
    pub address: std::net::SocketAddr,
    /// Path of the health endpoint.
    pub path: String,
    /// Time limit for the response.
    pub timeout: Duration,
}

/// Health of an own target as its owner node knows it.
#[derive(Debug, Clone, Default)]
pub struct OwnTargetHealth {
    /// Recent outcomes of runs.
    pub outcomes: OutcomeWindow,
    /// Number of consecutive failed health checks.
    consecutive_failed_probes: u32,
    /// When the next health check is due.
    next_probe_at: time::MonotonicTime,
}

/// Health state of the own targets.
#[derive(Debug, Clone, Default)]
pub struct HealthState {
    /// Health of each own target.
    pub own: IndexMap<ids::TargetName, OwnTargetHealth>,
}

/// Returns whether the owner node considers an own target unhealthy.
pub fn is_failing(state: &reducer::EngineState, target: &ids::TargetName) -> bool {
    let Some(health) = state.health.own.get(target) else {
        return false;
    };
    let tunables = &state.settings.tunables.health;
    if health.outcomes.is_empty(state.now, tunables) {
        return u64::from(health.consecutive_failed_probes) >= tunables.bad_probes;
    }
    health.outcomes.is_failing(state.now, tunables)
}

/// Records the result of a run of an own target. `is_late` tells whether its deadline had passed by
/// then.
pub fn record_run_result(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
    result: calls::RunResult,
    is_late: bool,
) {
    let is_success = match result {
        // The target shed the call. Admission reduces its load in response; the outcome says
        // nothing about the target's health.
        calls::RunResult::Done { status: 503 } | calls::RunResult::Declined => return,
        calls::RunResult::Done { status } => status < 500,
        calls::RunResult::NotConnected
        | calls::RunResult::WrongTarget
        | calls::RunResult::Invalid
        | calls::RunResult::Crashed
        | calls::RunResult::TimedOut
        | calls::RunResult::Truncated => false,
        calls::RunResult::CallerGone if is_late => false,
        calls::RunResult::CallerGone => return,
    };
    record_outcome(state, target, is_success);
}

/// Records an outcome of an own target.
pub fn record_outcome(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
    is_success: bool,
) {
    let half_life = settings::millis(state.settings.tunables.health.half_life_ms);
    let health = state.health.own.entry(target.clone()).or_default();
    health.outcomes.record(is_success, state.now, half_life);
}

/// Discards the outcomes of a target that has restarted.
pub fn end_incarnation(state: &mut reducer::EngineState, target: &ids::TargetName) {
    state.health.own.shift_remove(target);
}

/// Handles the result of a health check.
pub fn handle_event(state: &mut reducer::EngineState, event: HealthEvent) {
    let HealthEvent::Probed { target, is_healthy } = event;
    if !state.membership.targets.contains_key(&target) {
        return;
    }
    let health = state.health.own.entry(target).or_default();
    health.consecutive_failed_probes = if is_healthy {
        0
    } else {
        health.consecutive_failed_probes + 1
    };
}

/// Starts the health checks that are due, and drops targets that are no longer present.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let own: IndexSet<ids::TargetName> = state.membership.targets.keys().cloned().collect();
    state.health.own.retain(|target, _| own.contains(target));
    for target in own {
        start_probe(state, target, output);
    }
}

/// Starts the health check of an own target if it is due.
fn start_probe(
    state: &mut reducer::EngineState,
    target: ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    let record = &state.membership.targets[&target].record;
    // A health check is a request too. A target that names a rate limit is left to its calls, whose
    // responses tell more.
    let signals = &state.signals;
    if signals.rate_limit(&target).is_some() || signals.is_leaving(&target, record.incarnation) {
        return;
    }
    let service = state.dissemination.in_force.service(&record.service);
    let Some(probe_settings) = service.and_then(|service| service.probe.as_ref()) else {
        return;
    };
    let now = state.now;
    let health = state.health.own.entry(target.clone()).or_default();
    if now < health.next_probe_at {
        return;
    }
    let period = Duration::from_millis(u64::from(probe_settings.period_ms));
    health.next_probe_at = now + period;
    let plan = ProbePlan {
        target,
        address: record.address,
        path: probe_settings.path.clone(),
        timeout: period,
    };
    output
        .effects
        .push(event::Effect::Health(HealthEffect::Probe(plan)));
}
