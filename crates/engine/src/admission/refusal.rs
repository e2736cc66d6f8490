//! Refusals of offered calls: none of them ran, and each names the limit that did it and when there would
//! be room.

use std::time::Duration;

use hazeltiller_catalogue::entry;
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::calls as wire;

use super::urgency;
use crate::{admission, reducer};

/// The refusal of a call that waited too long for a slot.
pub fn refuse_waited(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    deadline: time::MonotonicTime,
) -> wire::CallRefusal {
    if deadline <= state.now {
        let late = wire::CallRefusal::not_run(code::ResultCode::DeadlineExceeded);
        let limit = route_limit(offer, wire::LimitField::Deadline);
        return with_load(state, offer, late.with_limit(limit, 0));
    }
    let latency = Duration::from_millis(u64::from(offer.latency_left_ms));
    if urgency::is_bounded(state, offer) && admission::longest_wait(state, offer) > latency {
        let admission = state.admission.targets.get(&offer.target);
        let wait = admission.map_or(Duration::ZERO, |admission| {
            admission.time_to_drain(admission::slots(state, &offer.target))
        });
        return refuse_late(state, offer, wait);
    }
    let limit = limit(
        entry::EntryKind::Class,
        &offer.class,
        wire::LimitField::QueueTime,
    );
    refuse_capacity(state, offer, limit)
}

/// The refusal of a call that lost its place in a full queue.
pub fn refuse_displaced(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
) -> wire::CallRefusal {
    let limit = limit(
        entry::EntryKind::Service,
        &offer.service,
        wire::LimitField::Queue,
    );
    refuse_capacity(state, offer, limit)
}

pub(super) fn refuse_capacity(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    limit: wire::CallLimit,
) -> wire::CallRefusal {
    let slots = admission::slots(state, &offer.target);
    let target = state.admission.targets.get(&offer.target);
    let drained = target.map_or(Duration::ZERO, |target| target.time_to_drain(slots));
    let code = code::ResultCode::CapacityExceeded;
    refuse(state, offer, code, limit, drained)
}

/// The refusal of a call that another target may answer sooner, or that would wait for longer than
/// its answer is of full worth: it is told at once, when it can still be of use elsewhere.
pub(super) fn refuse_late(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    room_in: Duration,
) -> wire::CallRefusal {
    let limit = route_limit(offer, wire::LimitField::TargetLatency);
    let code = code::ResultCode::LatencyUnreachable;
    refuse(state, offer, code, limit, room_in)
}

pub(super) fn refuse_unreachable(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    wait: Duration,
) -> wire::CallRefusal {
    let limit = route_limit(offer, wire::LimitField::Deadline);
    let code = code::ResultCode::DeadlineUnreachable;
    refuse(state, offer, code, limit, wait)
}

/// A refusal that another target may not have, with the time until there is room.
fn refuse(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    code: code::ResultCode,
    limit: wire::CallLimit,
    room_in: Duration,
) -> wire::CallRefusal {
    let refusal = wire::CallRefusal::not_run(code)
        .elsewhere()
        .with_limit(limit, whole_millis(room_in));
    with_load(state, offer, refusal)
}

fn route_limit(offer: &wire::CallOffer, field: wire::LimitField) -> wire::CallLimit {
    limit(entry::EntryKind::Route, &offer.route, field)
}

pub(super) fn with_load(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
    refusal: wire::CallRefusal,
) -> wire::CallRefusal {
    wire::CallRefusal {
        load: Some(admission::report(state, offer)),
        ..refusal
    }
}

pub(super) fn limit(
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

/// A time in milliseconds, at least one: zero means that it is not known.
pub(super) fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX).max(1)
}
