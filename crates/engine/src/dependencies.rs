//! Room before work: calls that runs make go first, and a run begins only if its calls can be had.
//!
//! A run holds a slot until the calls that it makes have ended, and fails if one of them is
//! refused. A node that owns a target is also the ingress node of the calls that the target's runs
//! make. It learns which calls these are, sees which of them are refused, and reports with its
//! responses which share of a route's runs is expected to fail. Ingress nodes refuse calls of the
//! route in proportion, before they begin.

use std::time::Duration;

use hazeltiller_catalogue::entry;
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::calls as wire;
use rand::RngExt;

use crate::{
    admission,
    calls::{self, attributes},
    event, reducer, settings, timeline,
};

mod fan_out;
mod origin;
mod outcomes;
mod share;
mod shortage;

/// Smallest share of runs expected to fail that is reported.
const MIN_SHORT_SHARE: f64 = 0.02;
/// Share of refused calls from which a shortage stands in the timeline.
const MIN_RECORDED_SHARE: f64 = 0.05;
/// Interval at which the shares of the services in the nodes are counted, and shortages recorded.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Retry delay of a call that is refused while half of its route's calls are.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Calls that runs make, and the room for them.
#[derive(Debug, Clone, Default)]
pub struct DependencyState {
    origins: origin::OriginTable,
    fan_outs: fan_out::FanOutTable,
    outcomes: outcomes::OutcomeTable,
    shortages: shortage::ShortageTable,
    updated_at: Option<time::MonotonicTime>,
}

impl DependencyState {
    /// Records that a run has ended.
    pub fn end_run(&mut self, call: ids::CallId) {
        self.fan_outs.end(call);
    }

    /// Returns the mean number of calls of a route that a run of another one makes, as far as this
    /// node has learnt it.
    pub fn mean_calls(&self, route: &ids::EntryName, nested: &ids::EntryName) -> f64 {
        self.fan_outs.mean_calls(route, nested)
    }

    /// Returns the routes of calls that runs at this node make, and the share of them that was
    /// refused lately.
    pub fn nested_routes(
        &self,
        now: time::MonotonicTime,
    ) -> impl Iterator<Item = (&ids::EntryName, f64)> {
        let nested = self.outcomes.nested(now);
        nested.map(move |(route, calls)| (route, calls.refused_share(now)))
    }

    /// Returns the routes of which this node refuses calls for want of room, with the share.
    pub fn refused_routes(
        &self,
        tunables: &settings::DependencyTunables,
        now: time::MonotonicTime,
    ) -> impl Iterator<Item = (&ids::EntryName, f64)> {
        let max_share = max_refused_share(tunables);
        let shortages = self.shortages.iter();
        shortages.map(move |(route, shortage)| (route, shortage.refused_share(max_share, now)))
    }
}

/// Decision on a call at its ingress node.
#[derive(Debug, Clone, PartialEq)]
pub enum RoomDecision {
    /// The call may begin.
    Begin,
    /// The call may begin, and a run waits for it.
    BeginNested,
    /// The call is refused, since calls that its run would make find no room.
    Refuse(wire::CallRefusal),
}

/// Counts the nodes of each service and records changes of shortages.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let is_due = |at: time::MonotonicTime| now.since(at) >= UPDATE_INTERVAL;
    if !is_enabled(state) || !state.dependencies.updated_at.is_none_or(is_due) {
        return;
    }
    state.dependencies.updated_at = Some(now);
    let targets = state.membership.present();
    let targets = targets.flat_map(|member| member.targets.iter());
    let origins = &mut state.dependencies.origins;
    origins.set_nodes(targets.map(|target| &target.service));
    record_shortages(state, output);
}

/// Owner node: records where an offered call began, and lets it go first if a run makes it.
pub fn recognise(state: &mut reducer::EngineState, offer: &mut wire::CallOffer) {
    if !is_enabled(state) || !may_be_nested(state, &offer.route) {
        return;
    }
    let origins = &mut state.dependencies.origins;
    origins.record(&offer.route, offer.caller.as_ref());
    if origins.is_nested(&offer.route) && is_nested_first(state) {
        offer.precedence = wire::CallPrecedence::Nested;
    }
}

/// Owner node: records that the run of a call starts. Returns the report for its ingress node.
pub fn begin_run(state: &mut reducer::EngineState, call: ids::CallId) -> Option<wire::RoomReport> {
    if !is_enabled(state) {
        return None;
    }
    let offer = &state.calls.owner.get(&call)?.offer;
    state.dependencies.fan_outs.begin(call, &offer.route);
    report(state, offer)
}

/// Ingress node: decides whether a call may begin.
pub fn check(state: &mut reducer::EngineState, call: ids::CallId) -> RoomDecision {
    let Some(record) = state.calls.ingress.get(&call).filter(|_| is_enabled(state)) else {
        return RoomDecision::Begin;
    };
    let (route, service) = (
        record.attributes.route.clone(),
        record.attributes.service.clone(),
    );
    let rank = admission::class_rank(state, &record.attributes.class);
    let may_be_nested = record.organisation.is_none() && may_be_nested(state, &route);
    let dependencies = &mut state.dependencies;
    let is_idle = dependencies.fan_outs.is_idle() || !may_be_nested;
    if !is_idle {
        dependencies.fan_outs.attribute(&route);
    }
    let now = state.now;
    let outcomes = &mut dependencies.outcomes;
    let is_nested = outcomes.record(&route, (&service, rank), is_idle, now);
    if is_nested && is_nested_first(state) {
        let record = &mut state.calls.ingress[&call];
        record.attributes.precedence = wire::CallPrecedence::Nested;
        return RoomDecision::BeginNested;
    }
    if is_nested {
        return RoomDecision::Begin;
    }
    draw_refusal(state, &route)
}

/// Ingress node: records that a call that had begun found no room.
pub fn record_refusal(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    refusal: &wire::CallRefusal,
) {
    let is_for_room = matches!(
        refusal.code,
        code::ResultCode::LatencyUnreachable
            | code::ResultCode::ServiceSaturated
            | code::ResultCode::CapacityExceeded
            | code::ResultCode::DeadlineUnreachable
            | code::ResultCode::DeadlineExceeded
            | code::ResultCode::TargetLimited
            | code::ResultCode::TargetDeclined
    );
    if !is_for_room || !is_enabled(state) {
        return;
    }
    let Some(record) = state.calls.ingress.get(&call) else {
        return;
    };
    let attributes = &record.attributes;
    let rank = admission::class_rank(state, &attributes.class);
    let (route, service) = (&attributes.route, &attributes.service);
    let outcomes = &mut state.dependencies.outcomes;
    outcomes.record_refused(route, (service, rank), state.now);
}

/// Ingress node: takes over what the owner node reported with the result of an attempt.
pub fn receive_report(
    state: &mut reducer::EngineState,
    attributes: &attributes::CallAttributes,
    result: &calls::AttemptResult,
    report: Option<wire::RoomReport>,
) {
    if !is_enabled(state) {
        return;
    }
    let now = state.now;
    let dependencies = &mut state.dependencies;
    if report.as_ref().is_some_and(|report| report.is_nested) {
        dependencies.outcomes.recognise(&attributes.route, now);
    }
    if matches!(result, calls::AttemptResult::Answered { .. }) {
        let shortages = &mut dependencies.shortages;
        shortages.record(&attributes.route, report.as_ref(), now);
    }
}

/// Returns what to report with the response to a run, while there is a shortage.
fn report(state: &reducer::EngineState, offer: &wire::CallOffer) -> Option<wire::RoomReport> {
    let (short_share, service) = expected_shortage(state, offer);
    let is_short = short_share >= MIN_SHORT_SHARE;
    let is_busy = state
        .admission
        .targets
        .get(&offer.target)
        .is_some_and(|target| target.running >= admission::slots(state, &offer.target));
    let is_nested = is_busy && state.dependencies.origins.is_nested(&offer.route);
    (is_nested || is_short).then(|| wire::RoomReport {
        is_nested,
        short_permille: if is_short {
            (short_share * 1000.0) as u16
        } else {
            0
        },
        service: service.filter(|_| is_short),
    })
}

/// Returns the share of a call's route's runs that are expected to fail because their calls find
/// no room, and the service that has the least. A run takes no room from new work that goes before
/// it: what such work lacks counts as if the run's own calls lacked it.
fn expected_shortage(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
) -> (f64, Option<ids::EntryName>) {
    let (now, dependencies) = (state.now, &state.dependencies);
    let rank = admission::class_rank(state, &offer.class);
    let mut success_share = 1.0;
    let mut least: Option<(f64, &ids::EntryName)> = None;
    for (nested, calls) in dependencies.outcomes.nested(now) {
        let mean_calls = dependencies.fan_outs.mean_calls(&offer.route, nested);
        let outcomes = &dependencies.outcomes;
        let refused_before = outcomes.refused_before(&calls.service, rank, now);
        let refused_share = calls.refused_share(now).max(refused_before);
        let success = (1.0 - refused_share).powf(mean_calls);
        success_share *= success;
        if least.is_none_or(|(least_success, _)| success < least_success) {
            least = Some((success, &calls.service));
        }
    }
    let service = least.map(|(_, service)| service.clone());
    (1.0 - success_share, service)
}

/// Refuses a call at random, by the share of its route's calls to refuse.
fn draw_refusal(state: &mut reducer::EngineState, route: &ids::EntryName) -> RoomDecision {
    let (now, max_share) = (
        state.now,
        max_refused_share(&state.settings.tunables.dependencies),
    );
    let Some(shortage) = state.dependencies.shortages.get(route) else {
        return RoomDecision::Begin;
    };
    let share = shortage.refused_share(max_share, now);
    if share <= 0.0 || !state.random.random_bool(share) {
        return RoomDecision::Begin;
    }
    let refusal = wire::CallRefusal::not_run(code::ResultCode::DependencySaturated);
    let retry_delay = RETRY_DELAY.mul_f64(2.0 * share);
    let limit = shortage.service().map(|service| wire::CallLimit {
        entry: entry::EntryKey {
            kind: entry::EntryKind::Service,
            name: service.clone(),
        },
        field: wire::LimitField::Slots,
    });
    RoomDecision::Refuse(wire::CallRefusal {
        retry_after_ms: (retry_delay.as_millis() as u32).max(1),
        limit,
        ..refusal
    })
}

/// Records in the timeline which shortages have begun or ended.
fn record_shortages(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let (now, max_share) = (
        state.now,
        max_refused_share(&state.settings.tunables.dependencies),
    );
    for (route, shortage) in state.dependencies.shortages.iter_mut() {
        let share = shortage.refused_share(max_share, now);
        let is_short = share >= MIN_RECORDED_SHARE;
        let is_ended = shortage.is_over(now);
        if is_short && !shortage.is_recorded {
            shortage.is_recorded = true;
            output.record_event(timeline::TimelineEvent::DependencyShort {
                route: route.clone(),
                service: shortage.service().cloned(),
                refused_permille: (share * 1000.0) as u16,
            });
        } else if is_ended && shortage.is_recorded {
            let route = route.clone();
            output.record_event(timeline::TimelineEvent::DependencyShortEnded { route });
        }
    }
    state.dependencies.shortages.expire(now);
}

/// Returns whether calls of a route may be made by runs: they carry no API key.
fn may_be_nested(state: &reducer::EngineState, route: &ids::EntryName) -> bool {
    let catalogue = &state.dissemination.in_force;
    !catalogue.requires_keys() || catalogue.is_public(route)
}

fn is_enabled(state: &reducer::EngineState) -> bool {
    let tunables = &state.settings.tunables.dependencies;
    tunables.nested_first > 0 || tunables.held_percent > 0
}

fn is_nested_first(state: &reducer::EngineState) -> bool {
    state.settings.tunables.dependencies.nested_first > 0
}

fn max_refused_share(tunables: &settings::DependencyTunables) -> f64 {
    tunables.held_percent as f64 / settings::PERCENT
}
