//! Adaptive throttling at the ingress node: refuses calls without an offer while no target has
//! capacity for most of the recent ones.
//!
//! An offer that is refused costs processor time on two nodes and delays the caller. While more
//! calls arrive than targets admit, the ingress node offers only twice as many as were recently
//! admitted, which is enough to detect returning capacity, and refuses the rest immediately. The
//! statistics are kept for each pair of service and route, since targets do not admit all routes of
//! a service alike.

use std::time::Duration;

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;

/// Time constant of the exponential decay of the counts.
const DECAY_TIME: Duration = Duration::from_millis(500);
/// Calls that are offered for each recently admitted call.
const OFFERS_PER_ADMITTED_CALL: f64 = 2.0;
/// Largest share of calls that is refused; the remaining offers detect returning capacity.
const MAX_REFUSED_SHARE: f64 = 0.8;
/// Decayed number of calls below which no call is refused.
const MIN_CALLS: f64 = 8.0;
/// Weight of a new sample in the smoothed retry delay.
const RETRY_DELAY_SMOOTHING: f64 = 0.1;
/// Maximum number of throttles; the one that was created first is evicted first.
const MAX_THROTTLES: usize = 512;

/// Exponentially decayed statistics on the recent calls of one route to one service.
#[derive(Debug, Clone, Default)]
pub struct RouteThrottle {
    /// Calls that arrived.
    arrived: f64,
    /// Arrived calls that were offered to a target.
    offered: f64,
    /// Offered calls for which no target had capacity.
    without_capacity: f64,
    /// Arrived calls whose callers returned when they were told to; they are always offered.
    returned: f64,
    /// When the counts were last decayed.
    decayed_at: time::MonotonicTime,
    /// Smoothed retry delay that targets returned with their refusals.
    retry_delay: Duration,
    /// Limit named by the latest of these refusals.
    limit: Option<wire::CallLimit>,
}

impl RouteThrottle {
    /// Returns the share of calls to refuse without an offer at present.
    fn refused_share(&mut self, now: time::MonotonicTime) -> f64 {
        self.decay(now);
        if self.arrived < MIN_CALLS {
            return 0.0;
        }
        let max_offered = OFFERS_PER_ADMITTED_CALL * self.admitted() - self.returned;
        let arrived = (self.arrived - self.returned).max(f64::EPSILON);
        (1.0 - max_offered / arrived).clamp(0.0, MAX_REFUSED_SHARE)
    }

    /// Returns the decayed number of offered calls for which a target had capacity.
    fn admitted(&self) -> f64 {
        (self.offered - self.without_capacity).max(0.0)
    }

    fn record_no_capacity(&mut self, refusal: &wire::CallRefusal) {
        let retry_delay = Duration::from_millis(u64::from(refusal.retry_after_ms));
        self.without_capacity += 1.0;
        self.limit.clone_from(&refusal.limit);
        self.retry_delay = if self.retry_delay.is_zero() {
            retry_delay
        } else {
            self.retry_delay.mul_f64(1.0 - RETRY_DELAY_SMOOTHING)
                + retry_delay.mul_f64(RETRY_DELAY_SMOOTHING)
        };
    }

    fn decay(&mut self, now: time::MonotonicTime) {
        let time_constants = now.since(self.decayed_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        let factor = (-time_constants).exp();
        self.arrived *= factor;
        self.offered *= factor;
        self.without_capacity *= factor;
        self.returned *= factor;
        self.decayed_at = now;
    }
}

/// Throttles by service and route.
#[derive(Debug, Clone, Default)]
pub struct ThrottleTable(IndexMap<(ids::EntryName, ids::EntryName), RouteThrottle>);

impl ThrottleTable {
    /// Returns the share of calls to refuse without an offer at present.
    pub fn refused_share(
        &mut self,
        service: &ids::EntryName,
        route: &ids::EntryName,
        now: time::MonotonicTime,
    ) -> f64 {
        let key = (service.clone(), route.clone());
        let share = self.0.entry(key).or_default().refused_share(now);
        while self.0.len() > MAX_THROTTLES {
            self.0.shift_remove_index(0);
        }
        share
    }

    /// Counts an arrived call and whether it is offered to a target.
    pub fn record_arrival(
        &mut self,
        service: &ids::EntryName,
        route: &ids::EntryName,
        is_offered: bool,
    ) {
        if let Some(throttle) = self.0.get_mut(&(service.clone(), route.clone())) {
            throttle.arrived += 1.0;
            throttle.offered += f64::from(u8::from(is_offered));
        }
    }

    /// Counts an arrived call that is offered because its caller returned when it was told to.
    pub fn record_returning(
        &mut self,
        service: &ids::EntryName,
        route: &ids::EntryName,
        now: time::MonotonicTime,
    ) {
        if let Some(throttle) = self.0.get_mut(&(service.clone(), route.clone())) {
            throttle.decay(now);
            throttle.arrived += 1.0;
            throttle.offered += 1.0;
            throttle.returned += 1.0;
        }
    }

    /// Records the refusal of an offered call for which no target had capacity.
    pub fn record_no_capacity(
        &mut self,
        service: &ids::EntryName,
        route: &ids::EntryName,
        refusal: &wire::CallRefusal,
    ) {
        if let Some(throttle) = self.0.get_mut(&(service.clone(), route.clone())) {
            throttle.record_no_capacity(refusal);
        }
    }

    /// Returns the refusal of a call that is not offered, with the limit and the retry delay that
    /// targets returned for recent offers.
    pub fn refusal(&self, service: &ids::EntryName, route: &ids::EntryName) -> wire::CallRefusal {
        let throttle = self.0.get(&(service.clone(), route.clone()));
        let retry_delay = throttle.map_or(Duration::ZERO, |throttle| throttle.retry_delay);
        wire::CallRefusal {
            retry_after_ms: (retry_delay.as_millis() as u32).max(1),
            limit: throttle.and_then(|throttle| throttle.limit.clone()),
            ..wire::CallRefusal::not_run(code::ResultCode::ServiceSaturated)
        }
    }
}
