//! A call at its ingress node: its route, its tries and how each of them ended.

use std::{sync::Arc, time::Duration};

use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use rand::RngExt;

use super::terms;
use crate::{calls, event, health, ledger, quarantine, reducer, retry, rollout, routing, settings};

/// Shares of the time after which there is room between which callers come back.
const EARLIEST_RETURN: f64 = 0.75;
const LATEST_RETURN: f64 = 1.5;

/// Time after which a caller may come back to a node that holds no catalogue yet: it has just started.
const CATALOGUE_RETURN: Duration = Duration::from_millis(500);
/// Time after which a caller may come back where no target is known that may take its call: one that starts
/// or stops announces itself within about this time.
const TARGET_RETURN: Duration = Duration::from_secs(1);

/// Takes a caller's request and makes its first try.
pub fn arrive(
    state: &mut reducer::EngineState,
    arrival: calls::CallArrival,
    output: &mut event::ReducerOutput,
) {
    let record = match admit_arrival(state, &arrival) {
        Ok(record) => record,
        Err(code) => {
            let mut refusal = ledger::early_refusal(&arrival, code);
            if code == code::ResultCode::CatalogueMissing {
                refusal.retry_after_ms = spread(state, CATALOGUE_RETURN.as_millis() as u32);
            }
            return output.refuse(arrival.call, refusal);
        }
    };
    let is_claimed = record.attributes.is_claimed();
    let claimed = arrival.fingerprint.filter(|_| is_claimed);
    state.calls.ingress.insert(arrival.call, record);
    match claimed {
        Some(request) => ledger::begin(state, arrival.call, request, output),
        None => begin(state, arrival.call, output),
    }
}

/// What is kept of a request that may be tried, or why it may not.
fn admit_arrival(
    state: &mut reducer::EngineState,
    arrival: &calls::CallArrival,
) -> Result<calls::IngressCall, code::ResultCode> {
    let standing = quarantine::standing(state, arrival.fingerprint.as_ref());
    if standing == quarantine::RequestStanding::Quarantined {
        return Err(code::ResultCode::RequestQuarantined);
    }
    let catalogue = Arc::clone(&state.dissemination.in_force);
    if catalogue.version == ids::CatalogueVersion::default() {
        return Err(code::ResultCode::CatalogueMissing);
    }
    let host = arrival.host.as_deref();
    state.routing.routes.refresh(&catalogue);
    let routes = &state.routing.routes;
    let route = routes.find(&catalogue, host, &arrival.path, &arrival.method);
    let route = route.ok_or(code::ResultCode::RouteNotFound)?;
    let service = state.routing.splits.choose(route, &mut state.random);
    let told = arrival.deadline_left;
    let spent = told.map_or(Duration::ZERO, |left| {
        state.calls.usual.spent(&route.name, left)
    });
    let times = terms::CallTimes::new(route, told, spent, state.now);
    let cohort = rollout::draw_cohort(state, &service);
    Ok(calls::IngressCall {
        attributes: terms::CallTerms::new(&catalogue, route, service, arrival),
        target: None,
        deadline: times.deadline,
        latency_until: times.latency_until,
        placements: 0,
        tried: Vec::new(),
        most_tries: route.limits.tries,
        spill: route.spill,
        arrived_attempt: arrival.attempt.max(1),
        may_have_run: false,
        is_outstanding: false,
        tried_at: state.now,
        cohort,
    })
}

/// Makes the first try of a call.
pub fn begin(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    output: &mut event::ReducerOutput,
) {
    if is_throttled(state, call) {
        return refuse_throttled(state, call, output);
    }
    if !attempt(state, call, false, output) {
        let refusal = wire::CallRefusal::not_run(code::ResultCode::TargetMissing);
        refuse_missing(state, call, refusal, output);
    }
}

/// Whether a call is refused without an offer, since most of the latest ones found no room.
fn is_throttled(state: &mut reducer::EngineState, call: ids::CallId) -> bool {
    let Some(record) = state.calls.ingress.get(&call) else {
        return false;
    };
    let (service, route) = (&record.attributes.service, &record.attributes.route);
    let throttles = &mut state.calls.throttles;
    let share = throttles.refused_share(service, route, state.now);
    let is_overdue = record.latency_until <= state.now;
    // Those that come back too late say nothing of how many could be served in time.
    if is_overdue && share > 0.0 {
        return true;
    }
    let is_refused = state.random.random_bool(share);
    throttles.note(service, route, !is_refused);
    is_refused
}

fn refuse_throttled(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    output: &mut event::ReducerOutput,
) {
    let Some(record) = state.calls.ingress.get(&call) else {
        return;
    };
    let (service, route) = (&record.attributes.service, &record.attributes.route);
    let mut refusal = state.calls.throttles.refusal(service, route);
    refusal.retry_after_ms = spread(state, refusal.retry_after_ms);
    output.refuse(call, refusal);
}

/// Refuses a call that no target could be offered, saying when one may be there: when the first of those
/// that could not be reached is tried again.
fn refuse_missing(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    refusal: wire::CallRefusal,
    output: &mut event::ReducerOutput,
) {
    let service = state
        .calls
        .ingress
        .get(&call)
        .map(|record| &record.attributes.service);
    let tried_in = service.and_then(|service| health::connect_retry_delay(state, service));
    let room_in = tried_in.unwrap_or(TARGET_RETURN).as_millis() as u32;
    let retry_after_ms = spread(state, room_in.max(1));
    let refusal = wire::CallRefusal {
        retry_after_ms,
        ..refusal
    };
    output.refuse(call, refusal);
}

/// Offers a call to a target that was not tried; false when there is none.
fn attempt(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    prefers_other_centres: bool,
    output: &mut event::ReducerOutput,
) -> bool {
    let Some(record) = state.calls.ingress.get(&call) else {
        return false;
    };
    let (service, tried) = (record.attributes.service.clone(), record.tried.clone());
    let route = record.attributes.route.clone();
    let mut request = routing::SelectionRequest {
        service: &service,
        spill: record.spill,
        tried: &tried,
        prefers_other_centres,
        route: &route,
        cohort: record.cohort,
    };
    let candidate = loop {
        if let Some(candidate) = routing::choose(state, &request) {
            break candidate;
        }
        match request.cohort.fallback() {
            Some(cohort) => request.cohort = cohort,
            None => return false,
        }
    };
    // A new version on trial gets one try of a call at most.
    let cohort = request.cohort.after_attempt();
    let now = state.now;
    let most_placements = state.settings.tunables.retry.free_placements as u32;
    if let Some(view) = state.routing.views.get_mut(&candidate.target) {
        view.outstanding += 1;
    }
    let record = state.calls.ingress.get_mut(&call);
    let record = record.expect("it was just found");
    let tries = record.tried.len() as u32;
    record.is_outstanding = true;
    record.cohort = cohort;
    record.tried_at = now;
    record.tried.push(candidate.target.clone());
    record.target = Some(candidate.target.clone());
    let has_places_left = record.placements < most_placements;
    let times = terms::TryTimes {
        attempt: record.arrived_attempt + tries,
        deadline_left: record.deadline.since(now),
        latency_left: reachable(record.latency_until.since(now), candidate.shortest_run_time),
        patience: candidate.patience.filter(|_| has_places_left),
    };
    let offer = record.attributes.offer(candidate.target.clone(), times);
    let is_claimed = record.attributes.is_claimed();
    let plan = calls::AttemptPlan {
        candidate,
        offer,
        is_claimed,
    };
    let effect = calls::CallEffect::Attempt(call, plan);
    output.effects.push(event::Effect::Calls(effect));
    true
}

/// What is left of the target latency, or nothing where not even the fastest of the targets compared
/// answers within it.
fn reachable(left: Duration, shortest_run_time: Option<Duration>) -> Duration {
    if shortest_run_time.is_some_and(|run| run > left) {
        Duration::ZERO
    } else {
        left
    }
}

/// Takes how a try ended: passes the answer on, refuses, or tries again.
pub fn end_attempt(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    result: calls::AttemptResult,
    report: calls::AttemptReport,
    output: &mut event::ReducerOutput,
) {
    let Some(record) = state.calls.ingress.get(&call) else {
        return;
    };
    let (terms, target) = (record.attributes.clone(), record.target.clone());
    let is_own = target
        .as_ref()
        .is_some_and(|target| state.membership.targets.contains_key(target));
    if !is_own && is_given_back(&result) {
        let took = state.now.since(record.tried_at);
        state.routing.offer_cost.record(took);
    }
    if let Some(target) = target {
        learn(state, &terms, &target, &result, report.load);
    }
    if report.bytes > 0 {
        state.routing.sizes.record(&terms.route, report.bytes);
    }
    let Some(proof) = retry::FailureProof::of(&result) else {
        earn(state, &terms, &result);
        return pass(call, output);
    };
    put_back(state, call);
    if try_again(state, call, proof, is_over_rate(&result), output) {
        return;
    }
    if let calls::AttemptResult::Answered { .. } = result {
        return pass(call, output);
    }
    let may_have_run = state.calls.ingress[&call].may_have_run;
    let mut refusal = retry::final_refusal(result, may_have_run);
    if refusal.code == code::ResultCode::TargetMissing {
        return refuse_missing(state, call, refusal, output);
    }
    let is_over_rate = refusal.code == code::ResultCode::RateExceeded;
    if proof == retry::FailureProof::NotOffered && !is_over_rate {
        let throttles = &mut state.calls.throttles;
        throttles.note_no_room(&terms.service, &terms.route, &refusal);
    }
    refusal.retry_after_ms = spread(state, refusal.retry_after_ms);
    output.refuse(call, refusal);
}

/// Draws the time after which a caller may come back around the one that was found, so that those
/// refused together do not return together.
fn spread(state: &mut reducer::EngineState, retry_after_ms: u32) -> u32 {
    let share = state.random.random_range(EARLIEST_RETURN..LATEST_RETURN);
    (f64::from(retry_after_ms) * share).ceil() as u32
}

fn try_again(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    proof: retry::FailureProof,
    prefers_other_centres: bool,
    output: &mut event::ReducerOutput,
) -> bool {
    let now = state.now;
    let tunables = &state.settings.tunables.retry;
    let Some(record) = state.calls.ingress.get_mut(&call) else {
        return false;
    };
    let target = record.target.as_ref();
    let view = target.and_then(|target| state.routing.views.get(target));
    let question = retry::RetryQuestion {
        proof,
        is_idempotent: record.attributes.is_idempotent,
        tries: (record.tried.len() as u32).saturating_sub(record.placements),
        most_tries: record.most_tries,
        is_placement: u64::from(record.placements) < proof.placements(tunables),
        arrived_attempt: record.arrived_attempt,
        left: record.deadline.since(now),
        service_time: view.map_or(Duration::ZERO, |view| {
            view.run_time(&record.attributes.route)
        }),
    };
    let terms = record.attributes.clone();
    if !question.is_allowed() {
        return false;
    }
    let is_search = question.is_placement && proof == retry::FailureProof::NotOffered;
    if is_search && !state.retry.placements(&terms, tunables).spend() {
        return false;
    }
    let is_paid = proof.is_paid() && !question.is_placement;
    if is_paid && !state.retry.budget(&terms, tunables).spend() {
        return false;
    }
    record.placements += u32::from(question.is_placement);
    record.may_have_run |= proof == retry::FailureProof::MayHaveRun;
    let is_tried = attempt(state, call, prefers_other_centres, output);
    if !is_tried && is_paid {
        let tunables = &state.settings.tunables.retry;
        state.retry.budget(&terms, tunables).give_back();
    }
    is_tried
}

/// Takes what the end of a try says of the target.
fn learn(
    state: &mut reducer::EngineState,
    terms: &terms::CallTerms,
    target: &ids::TargetName,
    result: &calls::AttemptResult,
    load: Option<wire::LoadReport>,
) {
    let now = state.now;
    let tunables = &state.settings.tunables.health;
    let first = settings::millis(tunables.ejection_ms);
    let load = match result {
        calls::AttemptResult::Refused(refusal) => refusal.load.or(load),
        _ => load,
    };
    if let Some(load) = load {
        let routing = &mut state.routing;
        routing.record_load_report(&terms.service, &terms.route, target, load, now);
    }
    let Some(view) = state.routing.views.get_mut(target) else {
        return;
    };
    let is_failing = load.is_some_and(|load| load.is_failing);
    match result {
        _ if is_failing => view.health.eject(now, first),
        calls::AttemptResult::NotReached => view.health.record_connect_failure(now, first),
        calls::AttemptResult::Lost => view.health.record_failure(now, first, tunables),
        calls::AttemptResult::Refused(refusal) => {
            if refusal.outcome == wire::CallOutcome::Unknown {
                view.health.record_failure(now, first, tunables);
            } else if retry::is_leaving(refusal) {
                view.health.eject(now, first);
            }
        }
        calls::AttemptResult::Answered { .. } => view.health.clear(),
    }
}

fn earn(state: &mut reducer::EngineState, terms: &terms::CallTerms, result: &calls::AttemptResult) {
    if retry::is_good(result) {
        let tunables = &state.settings.tunables.retry;
        state.retry.budget(terms, tunables).earn();
        state.retry.placements(terms, tunables).earn();
    }
}

/// Whether the target's node gave an offer back at once because a wait there would be too long.
fn is_given_back(result: &calls::AttemptResult) -> bool {
    match result {
        calls::AttemptResult::Refused(refusal) => {
            refusal.code == code::ResultCode::LatencyUnreachable
        }
        _ => false,
    }
}

/// Whether the owner is over its rate at this target's node; a node elsewhere may have some left.
fn is_over_rate(result: &calls::AttemptResult) -> bool {
    match result {
        calls::AttemptResult::Refused(refusal) => refusal.code == code::ResultCode::RateExceeded,
        _ => false,
    }
}

/// Counts a call out of its target's outstanding ones.
fn put_back(state: &mut reducer::EngineState, call: ids::CallId) {
    let Some(record) = state.calls.ingress.get_mut(&call) else {
        return;
    };
    if std::mem::take(&mut record.is_outstanding)
        && let Some(target) = &record.target
        && let Some(view) = state.routing.views.get_mut(target)
    {
        view.outstanding = view.outstanding.saturating_sub(1);
    }
}

fn pass(call: ids::CallId, output: &mut event::ReducerOutput) {
    let effect = calls::CallEffect::ForwardAnswer(call);
    output.effects.push(event::Effect::Calls(effect));
}

/// Forgets a call that the ingress node is done with.
pub fn finish(state: &mut reducer::EngineState, call: ids::CallId) {
    put_back(state, call);
    state.calls.ingress.swap_remove(&call);
}
