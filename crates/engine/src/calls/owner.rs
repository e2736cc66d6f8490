//! An offered call at the owner node of its target: admitted, run, ended.

use std::time::Duration;

use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;

use crate::{admission, calls, event, health, membership, quarantine, reducer, rollout};

/// Takes the passing of time: calls that waited too long are refused, and free slots given out.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    for call in admission::expire(state) {
        if let Some(record) = state.calls.owner.swap_remove(&call) {
            let refusal = admission::refuse_waited(state, &record.offer, record.deadline);
            output.refuse(call, refusal);
        }
    }
    let targets: Vec<ids::TargetName> = state.admission.targets.keys().cloned().collect();
    for target in targets {
        run_next(state, &target, output);
    }
}

/// Takes an offered call: it runs, waits or is refused.
pub fn take_offer(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    offer: wire::CallOffer,
    output: &mut event::ReducerOutput,
) {
    if offer.deadline_left_ms == 0 {
        return calls::refuse(call, code::ResultCode::DeadlineExceeded, output);
    }
    if let Some(refusal) = quarantine::check_offer(state, call, &offer) {
        return output.refuse(call, refusal);
    }
    let deadline = state.now + Duration::from_millis(u64::from(offer.deadline_left_ms));
    let answer = admission::admit(state, call, &offer);
    if let admission::AdmissionAnswer::Refuse(refusal) = answer {
        return output.refuse(call, refusal);
    }
    let record = calls::OwnerCall {
        life: life_of(state, &offer.target),
        offer,
        deadline,
        started: None,
    };
    state.calls.owner.insert(call, record);
    match answer {
        admission::AdmissionAnswer::Run => run(state, call, output),
        admission::AdmissionAnswer::Wait { displaced } => {
            if let Some(displaced) = displaced {
                refuse_displaced(state, displaced, output);
            }
        }
        admission::AdmissionAnswer::Refuse(_) => unreachable!("refusals were handled"),
    }
}

/// Gives back the calls that wait for a target that takes no more: they did not run.
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

/// Forgets what belongs to a life of a target that is over: what waits is given back, and what runs
/// holds no slot of the next life.
pub fn end_incarnation(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    evict(state, target, output);
    admission::end_life(state, target);
    health::end_incarnation(state, target);
}

/// The life that an own target is in.
fn life_of(state: &reducer::EngineState, target: &ids::TargetName) -> ids::IncarnationNumber {
    let own = state.membership.targets.get(target);
    own.map_or_else(Default::default, |own| own.record.incarnation)
}

fn refuse_displaced(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    output: &mut event::ReducerOutput,
) {
    if let Some(record) = state.calls.owner.swap_remove(&call) {
        let refusal = admission::refuse_displaced(state, &record.offer);
        output.refuse(call, refusal);
    }
}

/// Starts waiting calls while slots are free.
fn run_next(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    while let Some(next) = admission::next(state, target) {
        run(state, next, output);
    }
}

fn run(state: &mut reducer::EngineState, call: ids::CallId, output: &mut event::ReducerOutput) {
    let now = state.now;
    let Some(record) = state.calls.owner.get_mut(&call) else {
        return;
    };
    record.started = Some(now);
    let target = record.offer.target.clone();
    let (deadline, first_byte_ms) = (record.deadline, record.offer.first_byte_ms);
    let Some(own) = state.membership.targets.get(&target) else {
        return calls::refuse(call, code::ResultCode::TargetMissing, output);
    };
    let load = admission::report(state, &state.calls.owner[&call].offer);
    let plan = calls::RunPlan {
        address: own.record.address,
        first_byte: Duration::from_millis(u64::from(first_byte_ms)).min(deadline.since(now)),
        deadline,
        load,
        target,
    };
    output
        .effects
        .push(event::Effect::Calls(calls::CallEffect::Run(call, plan)));
}

/// Takes how a run ended and gives its slot to the next.
pub fn end_run(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    result: calls::RunResult,
    output: &mut event::ReducerOutput,
) {
    state.quarantine.end_call(call);
    let Some(record) = state.calls.owner.swap_remove(&call) else {
        return;
    };
    let offer = &record.offer;
    let Some(started) = record.started else {
        return admission::forget(state, &offer.target, call);
    };
    let is_of_this_life = record.life == life_of(state, &offer.target);
    let is_known = state.membership.targets.contains_key(&offer.target);
    if is_known && !is_of_this_life {
        return;
    }
    let is_late = record.deadline <= state.now;
    health::record_run_result(state, &offer.target, result, is_late);
    if result == calls::RunResult::WrongTarget {
        let gone = membership::MembershipEvent::WrongTarget(offer.target.clone());
        output.enqueue(event::Event::Membership(gone));
    }
    let took = state.now.since(started);
    rollout::record_run(state, offer, took, result);
    admission::end_run(state, offer, took, result);
    run_next(state, &offer.target, output);
}
