//! The order of return: callers that are refused for want of capacity are told when their turn is
//! expected.
//!
//! Each ingress node keeps a line for each service, route and rank. A refusal is an appointment in
//! it, at the rate at which the node's calls of that kind are answered. A caller that returns on
//! time goes before a new one of equal rank: it is offered whatever the throttle decides, searches
//! for room beyond the placement budget and is queued ahead at the owner node. A caller whose turn
//! would come too late is told so by a time beyond its deadline.
//!
//! Organisations over their allowance have lines of their own, at the rate at which the node lets
//! their requests pass.
//!
//! The lines are state of one process only. If they are lost, callers return as new ones.

use std::time::Duration;

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::calls as wire;
use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::{admission, calls, reducer, settings};

pub mod backlog;
pub mod line;
pub mod table;

/// Part of its remaining time for which a caller waits before it sends a request again.
const MAX_WAIT_DIVISOR: u32 = 3;
/// Response times that an appointment leaves before the target latency. The excess covers the wait
/// for a slot.
const RESERVED_RESPONSE_TIMES: f64 = 1.5;

/// Calls that wait in one line.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RouteKey {
    /// Service of the calls.
    pub service: ids::EntryName,
    /// Route of the calls.
    pub route: ids::EntryName,
    /// Rank of the calls' class.
    pub rank: u32,
}

/// Lines of this node.
#[derive(Debug, Clone, Default)]
pub struct ReturnState {
    /// Callers refused for want of capacity.
    pub routes: table::LineTable<RouteKey>,
    /// Callers refused because their organisation is over its allowance.
    pub organisations: table::LineTable<ids::EntryName>,
}

/// What a caller was told, or did, about its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerTurn {
    /// It returned when it was told to.
    Kept,
    /// It was told when its turn is expected.
    Appointed,
    /// It was told that no turn comes within its time.
    NoneLeft,
}

/// Times until which a caller can wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CallerTimes {
    /// Deadline that the caller states, or that of the route if it states none.
    deadline: time::MonotonicTime,
    /// Time until that deadline.
    deadline_left: Duration,
    /// Time left of the route's target latency.
    latency_left: Duration,
}

impl CallerTimes {
    fn of(record: &calls::IngressCall, now: time::MonotonicTime) -> Self {
        let deadline = caller_deadline(record);
        Self {
            deadline,
            deadline_left: deadline.since(now),
            latency_left: record.latency_deadline.since(now),
        }
    }

    /// Returns the longest wait that the caller observes and after which its call can still be
    /// answered in time.
    fn max_wait(&self, response_time: Duration) -> Duration {
        let reserved = response_time.mul_f64(RESERVED_RESPONSE_TIMES);
        let patience = self.deadline_left / MAX_WAIT_DIVISOR;
        patience.min(self.latency_left.saturating_sub(reserved))
    }

    /// Returns a time, in milliseconds, after which no send can meet the deadline.
    fn never_ms(&self) -> u32 {
        whole_millis(self.deadline_left).saturating_add(1)
    }
}

/// Recognises a caller that returns on time and gives its call precedence over new ones.
pub fn recognise(state: &mut reducer::EngineState, call: ids::CallId) -> bool {
    if !is_enabled(state) {
        return false;
    }
    let Some(record) = state.calls.ingress.get(&call) else {
        return false;
    };
    let (deadline, key, now) = (caller_deadline(record), route_key(state, record), state.now);
    let line = state.calls.returns.routes.line_mut(key, now);
    let is_returning = line.keep(deadline, now);
    if is_returning && let Some(record) = state.calls.ingress.get_mut(&call) {
        record.attributes.precedence = wire::CallPrecedence::Returning;
        record.turn = Some(CallerTurn::Kept);
    }
    is_returning
}

/// Records that a call was answered by a target.
pub fn record_answer(state: &mut reducer::EngineState, call: ids::CallId) {
    if !is_enabled(state) {
        return;
    }
    let Some(record) = state.calls.ingress.get(&call) else {
        return;
    };
    let (key, now) = (route_key(state, record), state.now);
    let response_time = now.since(record.attempted_at);
    let line = state.calls.returns.routes.line_mut(key, now);
    line.record_answer(response_time, now);
}

/// Returns the time after which the caller of a refused call is to return, in milliseconds; `None`
/// if the refusal is not for want of capacity.
pub fn appoint(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    refusal: &wire::CallRefusal,
) -> Option<u32> {
    if !is_enabled(state) || !is_for_capacity(refusal) {
        return None;
    }
    let record = state.calls.ingress.get(&call)?;
    let (key, now, policy) = (route_key(state, record), state.now, line_policy(state));
    let (times, turn) = (CallerTimes::of(record, now), record.turn);
    let draw = state.random.random();
    let line = state.calls.returns.routes.line_mut(key, now);
    if turn == Some(CallerTurn::Kept) {
        line.record_refusal();
    }
    let max_wait = times.max_wait(line.response_time());
    let request = line::TurnRequest {
        deadline: times.deadline,
        max_wait,
        draw,
    };
    let wait = line.appoint(policy, request, now);
    Some(tell(state, call, times, wait))
}

/// Records that a request of an organisation may pass.
pub fn record_passage(state: &mut reducer::EngineState, organisation: &ids::EntryName) {
    if is_enabled(state) {
        let now = state.now;
        let lines = &mut state.calls.returns.organisations;
        let line = lines.line_mut(organisation.clone(), now);
        line.record_answer(Duration::ZERO, now);
    }
}

/// Records that a request that was let pass did not run.
pub fn record_refund(state: &mut reducer::EngineState, organisation: &ids::EntryName) {
    if is_enabled(state) {
        let now = state.now;
        let lines = &mut state.calls.returns.organisations;
        lines.line_mut(organisation.clone(), now).withdraw_answer();
    }
}

/// Returns the time after which a caller is to return whose organisation is over its allowance, in
/// milliseconds.
pub fn appoint_passage(
    state: &mut reducer::EngineState,
    organisation: &ids::EntryName,
    call: ids::CallId,
) -> Option<u32> {
    if !is_enabled(state) {
        return None;
    }
    let record = state.calls.ingress.get(&call)?;
    let (now, policy) = (state.now, line_policy(state));
    let (key, times) = (route_key(state, record), CallerTimes::of(record, now));
    let draw = state.random.random();
    let returns = &mut state.calls.returns;
    let response_time = returns.routes.line_mut(key, now).response_time();
    let request = line::TurnRequest {
        deadline: times.deadline,
        max_wait: times.max_wait(response_time),
        draw,
    };
    let line = returns.organisations.line_mut(organisation.clone(), now);
    let wait = line.appoint(policy, request, now);
    Some(tell(state, call, times, wait))
}

/// Notes what the caller is told, and returns it in milliseconds.
fn tell(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    times: CallerTimes,
    wait: Option<Duration>,
) -> u32 {
    let turn = if wait.is_some() {
        CallerTurn::Appointed
    } else {
        CallerTurn::NoneLeft
    };
    if let Some(record) = state.calls.ingress.get_mut(&call) {
        record.turn = Some(turn);
    }
    wait.map_or(times.never_ms(), whole_millis)
}

fn is_enabled(state: &reducer::EngineState) -> bool {
    state.settings.tunables.returns.appointments > 0
}

fn line_policy(state: &reducer::EngineState) -> line::LinePolicy {
    let share_percent = state.settings.tunables.returns.share_percent;
    line::LinePolicy {
        share: share_percent as f64 / settings::PERCENT,
    }
}

/// Returns whether a call was refused because nobody had room for it.
fn is_for_capacity(refusal: &wire::CallRefusal) -> bool {
    refusal.outcome == wire::CallOutcome::NotRun
        && matches!(
            refusal.code,
            code::ResultCode::CapacityExceeded
                | code::ResultCode::DeadlineUnreachable
                | code::ResultCode::DependencySaturated
                | code::ResultCode::LatencyUnreachable
                | code::ResultCode::ServiceSaturated
                | code::ResultCode::TargetDeclined
        )
}

fn route_key(state: &reducer::EngineState, record: &calls::IngressCall) -> RouteKey {
    let attributes = &record.attributes;
    RouteKey {
        service: attributes.service.clone(),
        route: attributes.route.clone(),
        rank: admission::class_rank(state, &attributes.class),
    }
}

fn caller_deadline(record: &calls::IngressCall) -> time::MonotonicTime {
    record.caller_deadline.unwrap_or(record.deadline)
}

fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX).max(1)
}
