//! How long a call is of use to its caller.
//!
//! A route may say within which time an answer is of full worth. Under load that lasts, a queue
//! that holds calls beyond it serves everyone late; one that gives them up serves as many as there
//! are slots for in time, and the others learn at once that they should come back. That holds for
//! the calls that are served last. A call of a better class takes the place of those, and is often
//! made for one of them that holds a slot already, so giving it up saves nothing: it is kept as
//! long as its caller waits.
//!
//! A call of the class that is served last may come when its target latency is over or out of reach:
//! its caller was refused elsewhere, or every target is slow. Its answer is still worth something, so
//! it gets a slot that nobody else wants, or the next one where nobody else waits; but a slot that goes
//! to it while others wait makes one of those late in turn, and so on for as long as the load lasts.

use std::time::Duration;

use hazeltiller_wire::calls as wire;

use crate::reducer;

/// Time from now within which a call's answer is of use.
pub(super) fn useful_time(state: &reducer::EngineState, offer: &wire::CallOffer) -> Duration {
    let millis = if is_bounded(state, offer) && !is_overdue(state, offer) {
        offer.latency_left_ms
    } else {
        offer.deadline_left_ms
    };
    Duration::from_millis(u64::from(millis))
}

/// Whether a call of the class that is served last can no longer be answered within its route's target
/// latency.
pub(super) fn is_overdue(state: &reducer::EngineState, offer: &wire::CallOffer) -> bool {
    offer.latency_left_ms == 0 && is_bounded(state, offer)
}

/// Whether a call is held to its route's target latency: no class that is served after its own has
/// a route to its service.
pub(super) fn is_bounded(state: &reducer::EngineState, offer: &wire::CallOffer) -> bool {
    let catalogue = &state.dissemination.in_force;
    let rank = catalogue.class(&offer.class).map(|class| class.rank);
    let last = state.routing.routes.max_rank(&offer.service);
    rank >= last
}
