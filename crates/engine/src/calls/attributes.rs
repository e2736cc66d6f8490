//! Attributes of a call that follow from its request and route and are the same for each attempt.

use std::time::Duration;

use hazeltiller_catalogue::{entry, state as catalogue_state};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::{calls as wire, ledger};

use crate::calls;

/// Timeout for the first byte of a response if the service is no longer in the catalogue.
const DEFAULT_FIRST_BYTE_TIMEOUT_MS: u32 = 5000;

/// Attributes of a call that do not depend on the chosen target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAttributes {
    /// Route that the request matched.
    pub route: ids::EntryName,
    /// Service that the call is sent to.
    pub service: ids::EntryName,
    /// Owner to whose rate and weight the call is charged.
    pub owner: ids::EntryName,
    /// Class that the call is served in.
    pub class: ids::EntryName,
    /// Cost of the call, in cost units.
    pub cost: u32,
    /// Timeout for the first byte of the response, in milliseconds.
    pub first_byte_ms: u32,
    /// Whether the call may safely run more than once.
    pub is_idempotent: bool,
    /// Idempotency key that the caller sent.
    pub key: Option<String>,
    /// Digest that identifies the request, if it can be distinguished from other requests.
    pub fingerprint: Option<ledger::RequestDigest>,
    /// Service of the target that sent the request, if a target sent it.
    pub caller: Option<ids::EntryName>,
    /// Precedence among the calls of the class.
    pub precedence: wire::CallPrecedence,
}

/// Number and time limits of a single attempt of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTimes {
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Time left until the call's deadline.
    pub deadline_left: Duration,
    /// Time left in which a response meets the route's target latency.
    pub latency_left: Duration,
    /// Longest queue wait for which no other compared target is better; absent if unlimited.
    pub max_queue_wait: Option<Duration>,
}

impl CallAttributes {
    /// Returns the attributes of a request that takes a route to one of the route's services. The
    /// class of its organisation's calls goes before the class of the route.
    pub fn new(
        catalogue: &catalogue_state::CatalogueState,
        route: &entry::RouteEntry,
        service: ids::EntryName,
        organisation: Option<&ids::EntryName>,
        arrival: &calls::CallArrival,
    ) -> Self {
        let organisation = organisation.and_then(|name| catalogue.organisation(name));
        let call_class = organisation.and_then(|entry| entry.call_class.clone());
        let entry = catalogue.service(&service);
        Self {
            route: route.name.clone(),
            first_byte_ms: entry.map_or(DEFAULT_FIRST_BYTE_TIMEOUT_MS, |entry| {
                entry.limits.first_byte_ms
            }),
            service,
            owner: route.owner.clone(),
            class: call_class.unwrap_or_else(|| route.class.clone()),
            cost: route.cost(&arrival.method, &arrival.path),
            is_idempotent: route.is_idempotent(&arrival.method),
            key: arrival.key.clone(),
            fingerprint: arrival.fingerprint,
            caller: arrival.caller.clone(),
            precedence: wire::CallPrecedence::default(),
        }
    }

    /// Returns whether the call must be claimed before it is sent to any target, so that it runs
    /// at most once.
    pub fn is_claimed(&self) -> bool {
        !self.is_idempotent && self.key.is_some() && self.fingerprint.is_some()
    }

    /// Returns the offer that an attempt sends to the owner node of a target.
    pub fn offer(&self, target: ids::TargetName, times: AttemptTimes) -> wire::CallOffer {
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
            patience_ms: times.max_queue_wait.map_or(u32::MAX, millis),
            caller: self.caller.clone(),
            precedence: self.precedence,
        }
    }
}

/// Deadline and target latency of a call as points in time.
#[derive(Debug, Clone, Copy)]
pub struct CallDeadlines {
    /// Deadline of the call.
    pub deadline: time::MonotonicTime,
    /// Time after which a response exceeds the route's target latency.
    pub latency_deadline: time::MonotonicTime,
}

impl CallDeadlines {
    /// Returns the deadlines of a call that arrives at `now`. The shorter of the route's deadline
    /// and the caller's applies. The target latency is reduced by `elapsed`, the time that the
    /// caller already spent on earlier sends of the call.
    pub fn new(
        route: &entry::RouteEntry,
        time_left: Option<Duration>,
        elapsed: Duration,
        now: time::MonotonicTime,
    ) -> Self {
        let route_deadline = Duration::from_millis(u64::from(route.limits.deadline_ms));
        let time_left = time_left.map_or(route_deadline, |time_left| time_left.min(route_deadline));
        let latency = route.target_latency_ms.map_or(time_left, |latency| {
            let latency = Duration::from_millis(u64::from(latency));
            latency.saturating_sub(elapsed).min(time_left)
        });
        Self {
            deadline: now + time_left,
            latency_deadline: now + latency,
        }
    }
}
