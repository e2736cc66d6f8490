//! Time within which the response to a call is useful to its caller.
//!
//! A route may set a target latency, after which a response is worth less. Under sustained
//! overload, a queue that holds calls beyond their target latency serves all of them late. If it
//! refuses them instead, as many calls as the slots can run are served in time, and the other
//! callers learn without delay that they should retry. This applies to the lowest-priority class of
//! a service, and to the routes of that class whatever the class of the organisation that calls. A
//! call of a higher-priority class displaces such calls, and is often made on behalf
//! of a call that already holds a slot, so refusing it saves nothing: it is kept until its
//! deadline.
//!
//! A class of higher priority may also exceed the capacity by itself, and then displaces nothing but
//! its own calls. If the settings say so, calls of all classes are held to their target latency.
//! Calls that a run makes are never held: if one is refused, the run was for nothing.
//!
//! A call of the lowest-priority class may arrive after its target latency has passed or when it is
//! out of reach, because its caller was refused elsewhere or every target is slow. Its response
//! still has some value, so it gets a slot that no other call wants, or the next one if no other
//! call waits. If it took a slot while others wait, one of those would become late in turn, and so
//! on for as long as the overload lasts. A queue that is kept short is often empty for a moment, so
//! the settings can ask that the target has turned no other call away for a while.

use std::time::Duration;

use hazeltiller_wire::calls as wire;

use crate::reducer;

/// Returns the time from now within which the response to a call is useful.
pub(super) fn useful_time(state: &reducer::EngineState, offer: &wire::CallOffer) -> Duration {
    let millis = if is_held_to_latency(state, offer) && !is_overdue(state, offer) {
        offer.latency_left_ms
    } else {
        offer.deadline_left_ms
    };
    Duration::from_millis(u64::from(millis))
}

/// Returns whether a call that is held to its route's target latency can no longer be answered
/// within it.
pub(super) fn is_overdue(state: &reducer::EngineState, offer: &wire::CallOffer) -> bool {
    offer.latency_left_ms == 0 && is_held_to_latency(state, offer)
}

/// Returns whether a call is held to its route's target latency: its class, or that of its route, is
/// the lowest-priority one, or calls of all classes are held. The class of an organisation orders its
/// calls before those of others, but tells nothing of whether a late response is of use.
pub(super) fn is_held_to_latency(state: &reducer::EngineState, offer: &wire::CallOffer) -> bool {
    if offer.precedence == wire::CallPrecedence::Nested {
        return false;
    }
    if state.settings.tunables.admission.latency_for_all > 0 {
        return true;
    }
    let catalogue = &state.dissemination.in_force;
    let route_class = catalogue.route(&offer.route).map(|route| &route.class);
    let route_rank = route_class
        .and_then(|class| catalogue.class(class))
        .map(|class| class.rank);
    let max_route_rank = state.routing.routes.max_route_rank(&offer.service);
    route_rank.is_some() && route_rank >= max_route_rank || is_lowest_priority(state, offer)
}

/// Returns whether a call's class is the lowest-priority class of the calls to its service.
pub(super) fn is_lowest_priority(state: &reducer::EngineState, offer: &wire::CallOffer) -> bool {
    let catalogue = &state.dissemination.in_force;
    let rank = catalogue.class(&offer.class).map(|class| class.rank);
    let max_rank = state.routing.routes.max_rank(&offer.service);
    rank >= max_rank
}
