//! Refusals of offered calls. A refused call did not run; its refusal names the limit that caused
//! it and the time after which to retry.

use std::time::Duration;

use hazeltiller_catalogue::entry;
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::calls as wire;

use super::latency;
use crate::{admission, bandwidth, reducer};

/// Returns the refusal of a call that expired in the queue.
pub fn expired_refusal(
    state: &mut reducer::EngineState,
    offer: &wire::CallOffer,
    deadline: time::MonotonicTime,
) -> wire::CallRefusal {
    if deadline <= state.now {
        let refusal = wire::CallRefusal::not_run(code::ResultCode::DeadlineExceeded);
        let limit = route_limit(offer, wire::LimitField::Deadline);
        return with_load(state, offer, refusal.with_limit(limit, 0));
    }
    let (rank, now) = (admission::class_rank(state, &offer.class), state.now);
    if !state
        .signals
        .limit_wait(&offer.target, rank, 0, now)
        .is_zero()
    {
        let retry_delay = state.signals.defer(&offer.target, now);
        return limit_refusal(state, offer, retry_delay);
    }
    let latency_left = Duration::from_millis(u64::from(offer.latency_left_ms));
    if latency::is_lowest_priority(state, offer)
        && admission::max_queue_time(state, offer) > latency_left
    {
        let admission = state.admission.targets.get(&offer.target);
        let wait = admission.map_or(Duration::ZERO, |admission| {
            admission.time_to_drain(admission::slots(state, &offer.target))
        });
        return latency_refusal(state, offer, wait);
    }
    let limit = call_limit(
        entry::EntryKind::Class,
        &offer.class,
        wire::LimitField::QueueTime,
    );
    capacity_refusal(state, offer, limit)
}

/// Returns the refusal of a call that lost its place in a full queue.
pub fn displaced_refusal(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
) -> wire::CallRefusal {
    let limit = call_limit(
        entry::EntryKind::Service,
        &offer.service,
        wire::LimitField::Queue,
    );
    capacity_refusal(state, offer, limit)
}

/// Returns the refusal of a call for which the target has no slot or place in the queue.
pub(super) fn capacity_refusal(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    limit: wire::CallLimit,
) -> wire::CallRefusal {
    let slots = admission::slots(state, &offer.target);
    let target = state.admission.targets.get(&offer.target);
    let drain_time = target.map_or(Duration::ZERO, |target| target.time_to_drain(slots));
    let code = code::ResultCode::CapacityExceeded;
    target_refusal(state, offer, code, limit, drain_time)
}

/// Returns the refusal of a call whose queue wait would be too long: another target is expected to
/// respond sooner, or no response could meet the target latency. It is sent without delay, while
/// another target may still respond in time.
pub(super) fn latency_refusal(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    retry_delay: Duration,
) -> wire::CallRefusal {
    let limit = route_limit(offer, wire::LimitField::TargetLatency);
    let code = code::ResultCode::LatencyUnreachable;
    target_refusal(state, offer, code, limit, retry_delay)
}

/// Returns the refusal of a call that could not be finished by its deadline.
pub(super) fn deadline_refusal(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    wait: Duration,
) -> wire::CallRefusal {
    let limit = route_limit(offer, wire::LimitField::Deadline);
    let code = code::ResultCode::DeadlineUnreachable;
    target_refusal(state, offer, code, limit, wait)
}

/// Returns the refusal of a call whose response this node's link would deliver too late.
pub(super) fn link_refusal(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    late: bandwidth::LateDelivery,
) -> wire::CallRefusal {
    match late.limit {
        wire::LimitField::Deadline => deadline_refusal(state, offer, late.excess),
        _ => latency_refusal(state, offer, late.excess),
    }
}

/// Returns the refusal of a call that would exceed the rate limit that its target names.
pub(super) fn limit_refusal(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    retry_delay: Duration,
) -> wire::CallRefusal {
    let limit = target_rate_limit(&offer.service);
    let code = code::ResultCode::TargetLimited;
    target_refusal(state, offer, code, limit, retry_delay)
}

/// Returns the limit that a target of a service names.
pub fn target_rate_limit(service: &ids::EntryName) -> wire::CallLimit {
    call_limit(
        entry::EntryKind::Service,
        service,
        wire::LimitField::TargetRate,
    )
}

/// Returns a refusal that allows attempts at other targets, with the time after which to retry.
fn target_refusal(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    code: code::ResultCode,
    limit: wire::CallLimit,
    retry_delay: Duration,
) -> wire::CallRefusal {
    let refusal = wire::CallRefusal::not_run(code)
        .elsewhere()
        .with_limit(limit, nonzero_millis(retry_delay));
    with_load(state, offer, refusal)
}

fn route_limit(offer: &wire::CallOffer, field: wire::LimitField) -> wire::CallLimit {
    call_limit(entry::EntryKind::Route, &offer.route, field)
}

/// Adds the target's load report to a refusal.
pub(super) fn with_load(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    refusal: wire::CallRefusal,
) -> wire::CallRefusal {
    wire::CallRefusal {
        load: Some(admission::load_report(state, offer)),
        ..refusal
    }
}

pub(super) fn call_limit(
    kind: entry::EntryKind,
    name: &ids::EntryName,
    field: wire::LimitField,
) -> wire::CallLimit {
    let name = name.clone();
    wire::CallLimit {
        entry: entry::EntryKey { kind, name },
        field,
    }
}

/// Returns a time in whole milliseconds, at least one, since zero stands for an unknown time.
pub(super) fn nonzero_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX).max(1)
}
