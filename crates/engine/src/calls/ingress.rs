//! Calls at their ingress node: matches the route, makes attempts and evaluates their results.

use std::{sync::Arc, time::Duration};

use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use rand::RngExt;

use super::attributes;
use crate::{
    admission, allowance, calls, dependencies, dissemination, event, health, ledger, organisations,
    quarantine, reducer, retry, returns, rollout, routing, settings,
};

/// Bounds of the random factor that is applied to a retry delay.
const MIN_RETRY_JITTER: f64 = 0.75;
const MAX_RETRY_JITTER: f64 = 1.5;

/// Retry delay of a call to a node that holds no catalogue yet because it has just started, or not
/// the latest.
const CATALOGUE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retry delay of a call for which no target is known: targets that start or stop announce
/// themselves within about this time.
const TARGET_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Accepts a caller's request and makes the first attempt, after the allowance of its organisation
/// has let it pass and the call is claimed if required.
pub fn accept(
    state: &mut reducer::EngineState,
    arrival: calls::CallArrival,
    output: &mut event::ReducerOutput,
) {
    let record = match resolve_route(state, &arrival) {
        Ok(record) => record,
        Err(code) => {
            let code = current_code(state, code);
            let mut refusal = ledger::early_refusal(&arrival, code);
            if matches!(
                code,
                code::ResultCode::CatalogueMissing | code::ResultCode::CatalogueOutdated
            ) {
                refusal.retry_after_ms =
                    add_jitter(state, CATALOGUE_RETRY_DELAY.as_millis() as u32);
            }
            return output.refuse(arrival.call, refusal);
        }
    };
    let organisation = record.organisation.clone();
    state.calls.ingress.insert(arrival.call, record);
    let may_pass = match &organisation {
        Some(organisation) => allowance::request(state, organisation, arrival.call, output),
        None => true,
    };
    if may_pass {
        claim(state, arrival.call, output);
    }
}

/// Returns the code for a request that the catalogue held does not allow. A node that lags must not
/// tell a caller for good that a route or key does not exist: a later catalogue may have it.
fn current_code(state: &reducer::EngineState, code: code::ResultCode) -> code::ResultCode {
    match code {
        code::ResultCode::RouteNotFound | code::ResultCode::KeyUnknown
            if dissemination::pull::is_behind(state) =>
        {
            code::ResultCode::CatalogueOutdated
        }
        _ => code,
    }
}

/// Claims a call if required, and otherwise makes its first attempt.
pub fn claim(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    output: &mut event::ReducerOutput,
) {
    let Some(record) = state.calls.ingress.get(&call) else {
        return;
    };
    let is_claimed = record.attributes.is_claimed();
    match record.attributes.fingerprint.filter(|_| is_claimed) {
        Some(request) => ledger::claim_call(state, call, request, output),
        None => begin(state, call, output),
    }
}

/// Refuses a call. One that did not run does not count against its organisation's allowance.
fn refuse(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    refusal: wire::CallRefusal,
    output: &mut event::ReducerOutput,
) {
    dependencies::record_refusal(state, call, &refusal);
    let record = state.calls.ingress.get(&call);
    let organisation = record.and_then(|record| record.organisation.clone());
    if let Some(organisation) = organisation
        && refusal.outcome == wire::CallOutcome::NotRun
    {
        allowance::refund(state, &organisation);
    }
    output.refuse(call, refusal);
}

/// Returns the record of a request that may be attempted, or the code that refuses it.
fn resolve_route(
    state: &mut reducer::EngineState,
    arrival: &calls::CallArrival,
) -> Result<calls::IngressCall, code::ResultCode> {
    let standing = quarantine::standing(state, arrival.fingerprint.as_ref());
    if standing == quarantine::CrashSuspicion::Quarantined {
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
    let organisation = organisations::identify(state, &catalogue, route, arrival.api_key)?;
    let service = state.routing.splits.choose(route, &mut state.random);
    let deadline_left = arrival.deadline_left;
    let elapsed = deadline_left.map_or(Duration::ZERO, |left| {
        state
            .calls
            .caller_timeouts
            .record_arrival(&route.name, left)
    });
    let deadlines = attributes::CallDeadlines::new(route, deadline_left, elapsed, state.now);
    let cohort = rollout::draw_cohort(state, &service);
    Ok(calls::IngressCall {
        attributes: attributes::CallAttributes::new(
            &catalogue,
            route,
            service,
            organisation.as_ref(),
            arrival,
        ),
        organisation,
        target: None,
        deadline: deadlines.deadline,
        caller_deadline: deadline_left.map(|left| state.now + left),
        latency_deadline: deadlines.latency_deadline,
        free_placements: 0,
        attempted_targets: Vec::new(),
        max_attempts: route.limits.tries,
        spill: route.spill,
        arrived_attempt: arrival.attempt.max(1),
        may_have_run: false,
        is_outstanding: false,
        attempted_at: state.now,
        cohort,
        turn: None,
    })
}

/// Makes the first attempt of a call.
pub fn begin(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    output: &mut event::ReducerOutput,
) {
    let decision = dependencies::check(state, call);
    if let dependencies::RoomDecision::Refuse(mut refusal) = decision {
        set_retry_delay(state, call, &mut refusal);
        return refuse(state, call, refusal, output);
    }
    if decision == dependencies::RoomDecision::Begin {
        if returns::recognise(state, call) {
            record_returning(state, call);
        } else if draw_throttled(state, call) {
            return refuse_throttled(state, call, output);
        }
    }
    if attempt(state, call, false, output) {
        return;
    }
    let Some(mut refusal) = limit_refusal(state, call) else {
        let refusal = wire::CallRefusal::not_run(code::ResultCode::TargetMissing);
        return refuse_no_target(state, call, refusal, output);
    };
    refusal.retry_after_ms = add_jitter(state, refusal.retry_after_ms);
    refuse(state, call, refusal, output);
}

/// Returns the refusal of a call to a service whose targets are at the rate limits that they name;
/// `None` if that is not why there is no target. The retry delay ends when the first of them is
/// offered calls again.
fn limit_refusal(state: &reducer::EngineState, call: ids::CallId) -> Option<wire::CallRefusal> {
    let attributes = &state.calls.ingress.get(&call)?.attributes;
    let rank = admission::class_rank(state, &attributes.class);
    let backoff_time = routing::shortest_backoff(state, &attributes.service, rank)?;
    let retry_after_ms = u32::try_from(backoff_time.as_millis()).unwrap_or(u32::MAX);
    let limit = admission::target_rate_limit(&attributes.service);
    let refusal = wire::CallRefusal::not_run(code::ResultCode::TargetLimited);
    Some(refusal.with_limit(limit, retry_after_ms.max(1)))
}

/// Decides at random, by the share to refuse, whether a call is refused without an offer because
/// targets lacked capacity for most of the recent ones.
fn draw_throttled(state: &mut reducer::EngineState, call: ids::CallId) -> bool {
    let Some(record) = state.calls.ingress.get(&call) else {
        return false;
    };
    let (service, route) = (&record.attributes.service, &record.attributes.route);
    let throttles = &mut state.calls.throttles;
    let share = throttles.refused_share(service, route, state.now);
    let is_overdue = record.latency_deadline <= state.now;
    // A call past its target latency is not recorded: it does not indicate how many calls could
    // be served in time.
    if is_overdue && share > 0.0 {
        return true;
    }
    let is_refused = state.random.random_bool(share);
    throttles.record_arrival(service, route, !is_refused);
    is_refused
}

/// Counts a call that is offered because its caller returns when it was told to.
fn record_returning(state: &mut reducer::EngineState, call: ids::CallId) {
    if let Some(record) = state.calls.ingress.get(&call) {
        let (service, route) = (&record.attributes.service, &record.attributes.route);
        let throttles = &mut state.calls.throttles;
        throttles.record_returning(service, route, state.now);
    }
}

/// Refuses a call without an offer, with the retry delay of recent refusals.
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
    set_retry_delay(state, call, &mut refusal);
    refuse(state, call, refusal, output);
}

/// Refuses a call for which no target is available. The retry delay ends when the first of the
/// service's targets that could not be connected to is retried.
fn refuse_no_target(
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
    let connect_delay = service.and_then(|service| health::connect_retry_delay(state, service));
    let retry_delay = connect_delay.unwrap_or(TARGET_RETRY_DELAY).as_millis() as u32;
    let retry_after_ms = add_jitter(state, retry_delay.max(1));
    let refusal = wire::CallRefusal {
        retry_after_ms,
        ..refusal
    };
    refuse(state, call, refusal, output);
}

/// Offers a call to a target that it has not been offered to yet; returns false if there is none.
fn attempt(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    prefers_other_centres: bool,
    output: &mut event::ReducerOutput,
) -> bool {
    let Some(record) = state.calls.ingress.get(&call) else {
        return false;
    };
    let (service, attempted_targets) = (
        record.attributes.service.clone(),
        record.attempted_targets.clone(),
    );
    let route = record.attributes.route.clone();
    let mut request = routing::SelectionRequest {
        service: &service,
        spill: record.spill,
        attempted_targets: &attempted_targets,
        prefers_other_centres,
        route: &route,
        cohort: record.cohort,
        rank: admission::class_rank(state, &record.attributes.class),
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
    // At most one attempt of a call goes to a new version on trial.
    let cohort = request.cohort.after_attempt();
    let now = state.now;
    let max_free_placements = state.settings.tunables.retry.free_placements as u32;
    if let Some(view) = state.routing.views.get_mut(&candidate.target) {
        view.outstanding += 1;
    }
    let may_place_again = may_place_again(state, call);
    let record = state.calls.ingress.get_mut(&call);
    let record = record.expect("it was found above");
    let earlier_attempts = record.attempted_targets.len() as u32;
    record.is_outstanding = true;
    record.cohort = cohort;
    record.attempted_at = now;
    record.attempted_targets.push(candidate.target.clone());
    record.target = Some(candidate.target.clone());
    let has_free_placements_left = record.free_placements < max_free_placements && may_place_again;
    let times = attributes::AttemptTimes {
        attempt: record.arrived_attempt + earlier_attempts,
        deadline_left: record.deadline.since(now),
        latency_left: attainable_latency(
            record.latency_deadline.since(now),
            candidate.shortest_run_time,
        ),
        max_queue_wait: candidate
            .max_queue_wait
            .filter(|_| has_free_placements_left),
    };
    let offer = record.attributes.offer(candidate.target.clone(), times);
    let is_claimed = record.attributes.is_claimed();
    let organisation = record.organisation.clone();
    let plan = calls::AttemptPlan {
        signals: state.signals.report(&candidate.target),
        candidate,
        offer,
        is_claimed,
        organisation,
    };
    let effect = calls::CallEffect::Attempt(call, Box::new(plan));
    output.effects.push(event::Effect::Calls(effect));
    true
}

/// Returns whether the placement budget would pay for another offer of a call. If it would not, a
/// call that its target turns away for its queue wait is refused, although it might have been served
/// there in time. Callers that return on time search for room without that budget.
fn may_place_again(state: &mut reducer::EngineState, call: ids::CallId) -> bool {
    let tunables = &state.settings.tunables.retry;
    if tunables.funded_patience == 0 {
        return true;
    }
    let Some(record) = state.calls.ingress.get(&call) else {
        return false;
    };
    if record.attributes.precedence == wire::CallPrecedence::Returning {
        return true;
    }
    let policy = retry::BudgetPolicy::for_placements(tunables);
    let budget = state.retry.placement_budget(&record.attributes, state.now);
    budget.available(&policy, state.now) >= 1.0
}

/// Returns the time left of the target latency, or zero if not even the fastest of the compared
/// targets can respond within it.
fn attainable_latency(left: Duration, shortest_run_time: Option<Duration>) -> Duration {
    if shortest_run_time.is_some_and(|run| run > left) {
        Duration::ZERO
    } else {
        left
    }
}

/// Evaluates the result of an attempt: forwards the response, retries or refuses the call.
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
    let (attributes, target) = (record.attributes.clone(), record.target.clone());
    let is_own_target = target
        .as_ref()
        .is_some_and(|target| state.membership.targets.contains_key(target));
    if !is_own_target && is_latency_refusal(&result) {
        let elapsed = state.now.since(record.attempted_at);
        state.routing.offer_cost.record(elapsed);
    }
    if let Some(target) = target {
        update_view(state, &attributes, &target, &result, report.load);
        back_off_limited(state, &attributes, &target, &result);
    }
    dependencies::receive_report(state, &attributes, &result, report.room);
    if report.bytes > 0 {
        state.routing.sizes.record(&attributes.route, report.bytes);
    }
    let Some(proof) = retry::FailureProof::from_result(&result) else {
        credit_budgets(state, &attributes, &result);
        returns::record_answer(state, call);
        return forward_response(call, output);
    };
    release_outstanding(state, call);
    if retry_elsewhere(state, call, proof, is_rate_refusal(&result), output) {
        return;
    }
    if let calls::AttemptResult::Answered { .. } = result {
        return forward_response(call, output);
    }
    let may_have_run = state.calls.ingress[&call].may_have_run;
    let mut refusal = retry::final_refusal(result, may_have_run);
    if refusal.code == code::ResultCode::TargetMissing {
        return refuse_no_target(state, call, refusal, output);
    }
    let is_rate_refusal = refusal.code == code::ResultCode::RateExceeded;
    if proof == retry::FailureProof::NotAdmitted && !is_rate_refusal {
        let throttles = &mut state.calls.throttles;
        throttles.record_no_capacity(&attributes.service, &attributes.route, &refusal);
    }
    set_retry_delay(state, call, &mut refusal);
    refuse(state, call, refusal, output);
}

/// Sets the time of a caller's turn as the retry delay, or adds jitter to the delay that the refusal
/// has.
fn set_retry_delay(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    refusal: &mut wire::CallRefusal,
) {
    refusal.retry_after_ms = match returns::appoint(state, call, refusal) {
        Some(retry_after_ms) => retry_after_ms,
        None => add_jitter(state, refusal.retry_after_ms),
    };
}

/// Applies random jitter to a retry delay, so that callers refused together do not retry together.
fn add_jitter(state: &mut reducer::EngineState, retry_after_ms: u32) -> u32 {
    let factor = state
        .random
        .random_range(MIN_RETRY_JITTER..MAX_RETRY_JITTER);
    (f64::from(retry_after_ms) * factor).ceil() as u32
}

/// Offers a call to another target if the retry policy allows it; returns whether it did.
fn retry_elsewhere(
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
    let context = retry::RetryContext {
        proof,
        is_idempotent: record.attributes.is_idempotent,
        attempts: (record.attempted_targets.len() as u32).saturating_sub(record.free_placements),
        max_attempts: record.max_attempts,
        is_free_placement: u64::from(record.free_placements) < proof.max_free_placements(tunables),
        arrived_attempt: record.arrived_attempt,
        time_left: record.deadline.since(now),
        run_time: view.map_or(Duration::ZERO, |view| {
            view.run_time(&record.attributes.route)
        }),
    };
    let attributes = record.attributes.clone();
    if !context.is_allowed() {
        return false;
    }
    // Returning callers come no faster than they are served, which bounds their offers.
    let is_returning = attributes.precedence == wire::CallPrecedence::Returning;
    let spends_placement =
        context.is_free_placement && proof == retry::FailureProof::NotAdmitted && !is_returning;
    if spends_placement {
        let policy = retry::BudgetPolicy::for_placements(tunables);
        let budget = state.retry.placement_budget(&attributes, now);
        if budget.spend(&policy, now, 1.0, 1.0).is_none() {
            return false;
        }
    }
    let mut retry_cost = None;
    if proof.uses_budget() && !context.is_free_placement {
        let policy = retry::BudgetPolicy::for_retries(tunables, state.membership.node_count);
        let draw = state.random.random();
        let budget = state.retry.retry_budget(&attributes, now);
        retry_cost = budget.spend(&policy, now, proof.retry_cost(), draw);
        if retry_cost.is_none() {
            return false;
        }
    }
    record.free_placements += u32::from(context.is_free_placement);
    record.may_have_run |= proof == retry::FailureProof::MayHaveRun;
    let is_attempted = attempt(state, call, prefers_other_centres, output);
    if let Some(cost) = retry_cost.filter(|_| !is_attempted) {
        state.retry.retry_budget(&attributes, now).refund(cost);
    }
    is_attempted
}

/// Updates the ingress node's view of a target from the result of an attempt.
fn update_view(
    state: &mut reducer::EngineState,
    attributes: &attributes::CallAttributes,
    target: &ids::TargetName,
    result: &calls::AttemptResult,
    load: Option<wire::LoadReport>,
) {
    let now = state.now;
    let tunables = &state.settings.tunables.health;
    let first_ejection = settings::millis(tunables.ejection_ms);
    let load = match result {
        calls::AttemptResult::Refused(refusal) => refusal.load.or(load),
        _ => load,
    };
    if let Some(load) = load {
        let routing = &mut state.routing;
        routing.record_load_report(&attributes.service, &attributes.route, target, load, now);
    }
    let Some(view) = state.routing.views.get_mut(target) else {
        return;
    };
    let is_failing = load.is_some_and(|load| load.is_failing);
    match result {
        _ if is_failing => view.health.eject(now, first_ejection),
        calls::AttemptResult::NotReached => view.health.record_connect_failure(now, first_ejection),
        calls::AttemptResult::Lost => view.health.record_failure(now, first_ejection, tunables),
        calls::AttemptResult::Refused(refusal) => {
            if refusal.outcome == wire::CallOutcome::Unknown {
                view.health.record_failure(now, first_ejection, tunables);
            } else if retry::is_target_leaving(refusal) {
                view.health.eject(now, first_ejection);
            }
        }
        calls::AttemptResult::Answered { .. } => view.health.clear(),
    }
}

/// Offers a target no more calls of a class for as long as its owner node asked for, if the target is
/// at the rate limit that it names.
fn back_off_limited(
    state: &mut reducer::EngineState,
    attributes: &attributes::CallAttributes,
    target: &ids::TargetName,
    result: &calls::AttemptResult,
) {
    if let calls::AttemptResult::Refused(refusal) = result
        && refusal.code == code::ResultCode::TargetLimited
    {
        let rank = admission::class_rank(state, &attributes.class);
        let delay = Duration::from_millis(u64::from(refusal.retry_after_ms));
        let Some(view) = state.routing.views.get(target) else {
            return;
        };
        let (incarnation, now) = (view.incarnation(), state.now);
        state
            .signals
            .back_off(target, incarnation, (rank, delay), now);
    }
}

/// Credits the retry and placement budgets for a successful attempt.
fn credit_budgets(
    state: &mut reducer::EngineState,
    attributes: &attributes::CallAttributes,
    result: &calls::AttemptResult,
) {
    if retry::is_success(result) {
        let (tunables, now) = (&state.settings.tunables.retry, state.now);
        let policy = retry::BudgetPolicy::for_retries(tunables, state.membership.node_count);
        state.retry.retry_budget(attributes, now).earn(&policy, now);
        let policy = retry::BudgetPolicy::for_placements(tunables);
        let budget = state.retry.placement_budget(attributes, now);
        budget.earn(&policy, now);
    }
}

/// Returns whether the owner node turned an offer away because the queue wait would be too long.
fn is_latency_refusal(result: &calls::AttemptResult) -> bool {
    match result {
        calls::AttemptResult::Refused(refusal) => {
            refusal.code == code::ResultCode::LatencyUnreachable
        }
        _ => false,
    }
}

/// Returns whether the call's owner exceeded its rate at the target's owner node; another node may
/// have tokens left.
fn is_rate_refusal(result: &calls::AttemptResult) -> bool {
    match result {
        calls::AttemptResult::Refused(refusal) => refusal.code == code::ResultCode::RateExceeded,
        _ => false,
    }
}

/// Removes a call from the outstanding calls of its target.
fn release_outstanding(state: &mut reducer::EngineState, call: ids::CallId) {
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

fn forward_response(call: ids::CallId, output: &mut event::ReducerOutput) {
    let effect = calls::CallEffect::ForwardResponse(call);
    output.effects.push(event::Effect::Calls(effect));
}

/// Drops the record of a call that the ingress node has finished.
pub fn finish(state: &mut reducer::EngineState, call: ids::CallId) {
    release_outstanding(state, call);
    state.calls.ingress.swap_remove(&call);
}
