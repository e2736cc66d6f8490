//! Offered calls at the owner node of their target: admits, runs and completes them.

use std::time::Duration;

use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;

use crate::{
    admission, calls, dependencies, event, health, membership, quarantine, reducer, rollout,
};

/// Refuses queued calls that waited too long and starts queued calls on free slots.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    for call in admission::expire(state) {
        if let Some(record) = state.calls.owner.swap_remove(&call) {
            let refusal = admission::expired_refusal(state, &record.offer, record.deadline);
            output.refuse(call, refusal);
        }
    }
    let targets: Vec<ids::TargetName> = state.admission.targets.keys().cloned().collect();
    for target in targets {
        start_queued(state, &target, output);
    }
}

/// Handles an offered call: starts its run, queues it or refuses it.
pub fn handle_offer(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    mut offer: wire::CallOffer,
    output: &mut event::ReducerOutput,
) {
    dependencies::recognise(state, &mut offer);
    if offer.deadline_left_ms == 0 {
        return calls::refuse(call, code::ResultCode::DeadlineExceeded, output);
    }
    if let Some(refusal) = quarantine::check_offer(state, call, &offer) {
        return output.refuse(call, refusal);
    }
    let deadline = state.now + Duration::from_millis(u64::from(offer.deadline_left_ms));
    let decision = admission::admit(state, call, &offer);
    if let admission::AdmissionDecision::Refuse(refusal) = decision {
        return output.refuse(call, refusal);
    }
    let record = calls::OwnerCall {
        incarnation: incarnation_of(state, &offer.target),
        offer,
        deadline,
        started: None,
    };
    state.calls.owner.insert(call, record);
    match decision {
        admission::AdmissionDecision::Run => start_run(state, call, output),
        admission::AdmissionDecision::Wait { displaced } => {
            if let Some(displaced) = displaced {
                refuse_displaced(state, displaced, output);
            }
        }
        admission::AdmissionDecision::Refuse(_) => unreachable!("refusals were handled above"),
    }
}

/// Refuses the queued calls of a target that accepts no more calls; they did not run.
pub fn evict(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    while let Some(call) = admission::evict(state, target) {
        state.calls.owner.swap_remove(&call);
        let refusal = wire::CallRefusal::not_run(code::ResultCode::TargetMissing);
        output.refuse(call, refusal.elsewhere());
    }
}

/// Discards the state of a target's incarnation that has ended: refuses its queued calls and resets
/// its slots, so that calls still running hold no slot of the next incarnation.
pub fn end_incarnation(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    evict(state, target, output);
    admission::end_incarnation(state, target);
    health::end_incarnation(state, target);
}

/// Returns the current incarnation of a target that this node owns.
fn incarnation_of(
    state: &reducer::EngineState,
    target: &ids::TargetName,
) -> ids::IncarnationNumber {
    let own_target = state.membership.targets.get(target);
    own_target.map_or_else(Default::default, |own_target| own_target.record.incarnation)
}

/// Refuses a queued call that lost its place in a full queue.
fn refuse_displaced(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    output: &mut event::ReducerOutput,
) {
    if let Some(record) = state.calls.owner.swap_remove(&call) {
        let refusal = admission::displaced_refusal(state, &record.offer);
        output.refuse(call, refusal);
    }
}

/// Starts queued calls while slots are free.
fn start_queued(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    while let Some(next) = admission::start_next(state, target) {
        start_run(state, next, output);
    }
}

/// Orders the run of a call that got a slot.
fn start_run(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let Some(record) = state.calls.owner.get_mut(&call) else {
        return;
    };
    record.started = Some(now);
    state.signals.count_request(&record.offer.target, now);
    let target = record.offer.target.clone();
    let (deadline, first_byte_ms) = (record.deadline, record.offer.first_byte_ms);
    let room = dependencies::begin_run(state, call);
    let Some(own_target) = state.membership.targets.get(&target) else {
        return calls::refuse(call, code::ResultCode::TargetMissing, output);
    };
    let load = admission::load_report(state, &state.calls.owner[&call].offer);
    let plan = calls::RunPlan {
        address: own_target.record.address,
        first_byte: Duration::from_millis(u64::from(first_byte_ms)).min(deadline.since(now)),
        deadline,
        load,
        room,
        is_signalling: state.signals.report(&target).is_some(),
        target,
    };
    output
        .effects
        .push(event::Effect::Calls(calls::CallEffect::Run(call, plan)));
}

/// Handles the end of a run and gives its slot to the next queued call.
pub fn end_run(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    result: calls::RunResult,
    output: &mut event::ReducerOutput,
) {
    state.quarantine.end_call(call);
    state.dependencies.end_run(call);
    state.bandwidth.end_call(call);
    let Some(record) = state.calls.owner.swap_remove(&call) else {
        return;
    };
    let offer = &record.offer;
    let Some(started) = record.started else {
        return admission::remove_queued(state, &offer.target, call);
    };
    let is_same_incarnation = record.incarnation == incarnation_of(state, &offer.target);
    let is_registered = state.membership.targets.contains_key(&offer.target);
    if is_registered && !is_same_incarnation {
        return;
    }
    let is_late = record.deadline <= state.now;
    health::record_run_result(state, &offer.target, result, is_late);
    if result == calls::RunResult::WrongTarget {
        let wrong_target = membership::MembershipEvent::WrongTarget(offer.target.clone());
        output.enqueue(event::Event::Membership(wrong_target));
    }
    let elapsed = state.now.since(started);
    rollout::record_run(state, offer, elapsed, result);
    admission::end_run(state, offer, elapsed, result);
    start_queued(state, &offer.target, output);
}
