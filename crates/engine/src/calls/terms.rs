//! What a call's request and route say of it: the same at every try, before any target is chosen.

use std::time::Duration;

use hazeltiller_catalogue::{entry, state as catalogue_state};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::{calls as wire, ledger};

use crate::calls;

/// Longest time to the first byte of an answer where the service is not in the catalogue any more.
const FIRST_BYTE_MS: u32 = 5000;

/// The terms of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallTerms {
    /// Route that it took.
    pub route: ids::EntryName,
    /// Service that it goes to.
    pub service: ids::EntryName,
    /// Owner that it is counted for.
    pub owner: ids::EntryName,
    /// Class that it is served in.
    pub class: ids::EntryName,
    /// Its cost in units.
    pub cost: u32,
    /// Longest time to the first byte of the answer, in milliseconds.
    pub first_byte_ms: u32,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// The caller's key.
    pub key: Option<String>,
    /// Digest that stands for the request, where it can be told from others.
    pub fingerprint: Option<ledger::RequestDigest>,
    /// Service whose target it came from, where it did.
    pub caller: Option<ids::EntryName>,
}

/// What changes from one try to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TryTimes {
    /// Number of the try, from 1.
    pub attempt: u32,
    /// Time until the call must be over.
    pub deadline_left: Duration,
    /// Time in which an answer is within the route's target latency.
    pub latency_left: Duration,
    /// Longest wait that is better than another target; absent: any.
    pub patience: Option<Duration>,
}

impl CallTerms {
    /// The terms of a request that takes a route to one of its services.
    pub fn new(
        catalogue: &catalogue_state::CatalogueState,
        route: &entry::RouteEntry,
        service: ids::EntryName,
        arrival: &calls::CallArrival,
    ) -> Self {
        let entry = catalogue.service(&service);
        Self {
            route: route.name.clone(),
            first_byte_ms: entry.map_or(FIRST_BYTE_MS, |entry| entry.limits.first_byte_ms),
            service,
            owner: route.owner.clone(),
            class: route.class.clone(),
            cost: route.cost(&arrival.method, &arrival.path),
            is_idempotent: route.is_idempotent(&arrival.method),
            key: arrival.key.clone(),
            fingerprint: arrival.fingerprint,
            caller: arrival.caller.clone(),
        }
    }

    /// Whether the call must be claimed before it is sent anywhere.
    pub fn is_claimed(&self) -> bool {
        !self.is_idempotent && self.key.is_some() && self.fingerprint.is_some()
    }

    /// The offer of a try to a target.
    pub fn offer(&self, target: ids::TargetName, times: TryTimes) -> wire::CallOffer {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        wire::CallOffer {
            target,
            route: self.route.clone(),
            service: self.service.clone(),
            owner: self.owner.clone(),
            class: self.class.clone(),
            cost: self.cost,
            deadline_left_ms: millis(times.deadline_left),
            first_byte_ms: self.first_byte_ms,
            attempt: times.attempt,
            is_idempotent: self.is_idempotent,
            key: self.key.clone(),
            fingerprint: self.fingerprint,
            latency_left_ms: millis(times.latency_left),
            patience_ms: times.patience.map_or(u32::MAX, millis),
            caller: self.caller.clone(),
        }
    }
}

/// When a call is over, and until when an answer is of full worth.
#[derive(Debug, Clone, Copy)]
pub struct CallTimes {
    /// When it must be over.
    pub deadline: time::MonotonicTime,
    /// When an answer is no longer within the route's target latency.
    pub latency_until: time::MonotonicTime,
}

impl CallTimes {
    /// The times of a call that came now: the shorter of the route's and the caller's holds. What its
    /// caller has `spent` on earlier sends is no longer left of the target latency.
    pub fn new(
        route: &entry::RouteEntry,
        left: Option<Duration>,
        spent: Duration,
        now: time::MonotonicTime,
    ) -> Self {
        let longest = Duration::from_millis(u64::from(route.limits.deadline_ms));
        let left = left.map_or(longest, |left| left.min(longest));
        let latency = route.target_latency_ms.map_or(left, |latency| {
            let latency = Duration::from_millis(u64::from(latency));
            latency.saturating_sub(spent).min(left)
        });
        Self {
            deadline: now + left,
            latency_until: now + latency,
        }
    }
}
