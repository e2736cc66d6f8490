//! Estimates of the timeout with which the callers of each route usually send their calls.
//!
//! A route's target latency counts from the caller's first send, but a caller that retries after a
//! refusal states only the time it has left. If most calls of a route arrive with the same time
//! left, a call that arrives with less has already spent the difference on earlier sends. A slot is
//! better given to a call that can still meet the target latency than to one that cannot.

use std::{collections::VecDeque, time::Duration};

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Number of the latest calls of a route from which the typical timeout is estimated.
const SAMPLE_CALLS: usize = 64;
/// Number of calls after which the estimate is computed anew.
const ESTIMATE_INTERVAL_CALLS: usize = 16;
/// Quantile of the recorded times that is taken as the typical timeout. Retries arrive with less
/// time left and are fewer than this share of all calls, except in the worst overload.
const TYPICAL_QUANTILE: f64 = 0.8;
/// Share of the calls that must arrive within the tolerance of the typical timeout. If timeouts
/// differ from caller to caller, a shorter one does not indicate a retry.
const MIN_TYPICAL_SHARE: f64 = 0.4;
/// Tolerance around the typical timeout, as a share of it.
const TYPICAL_TOLERANCE: f64 = 0.05;
/// Maximum number of routes with recorded times; the route that was seen first is evicted first.
const MAX_ROUTES: usize = 512;

/// Times left with which the latest calls of one route arrived.
#[derive(Debug, Clone, Default)]
struct RouteTimeouts {
    latest: VecDeque<Duration>,
    /// Typical timeout; absent while the recorded times differ too much.
    typical: Option<Duration>,
    /// Calls since the estimate was computed.
    calls_since_estimate: usize,
}

impl RouteTimeouts {
    fn record(&mut self, time_left: Duration) {
        self.latest.push_back(time_left);
        if self.latest.len() > SAMPLE_CALLS {
            self.latest.pop_front();
        }
        self.calls_since_estimate += 1;
        if self.calls_since_estimate >= ESTIMATE_INTERVAL_CALLS {
            self.calls_since_estimate = 0;
            self.typical = self.estimate_typical();
        }
    }

    fn estimate_typical(&self) -> Option<Duration> {
        let mut times: Vec<Duration> = self.latest.iter().copied().collect();
        times.sort_unstable();
        let typical = times[(times.len() as f64 * TYPICAL_QUANTILE) as usize];
        let lower = typical.mul_f64(1.0 - TYPICAL_TOLERANCE);
        let upper = typical.mul_f64(1.0 + TYPICAL_TOLERANCE);
        let near_typical = times.iter().filter(|time| (lower..=upper).contains(time));
        let is_typical = near_typical.count() as f64 >= times.len() as f64 * MIN_TYPICAL_SHARE;
        is_typical.then_some(typical)
    }
}

/// Typical caller timeouts by route.
#[derive(Debug, Clone, Default)]
pub struct TimeoutTable(IndexMap<ids::EntryName, RouteTimeouts>);

impl TimeoutTable {
    /// Records the time left of an arriving call; returns the time that its caller is estimated to
    /// have spent on earlier sends, or zero.
    pub fn record_arrival(&mut self, route: &ids::EntryName, time_left: Duration) -> Duration {
        let times = self.0.entry(route.clone()).or_default();
        times.record(time_left);
        let typical = times.typical;
        while self.0.len() > MAX_ROUTES {
            self.0.shift_remove_index(0);
        }
        let elapsed = typical.map_or(Duration::ZERO, |typical| typical.saturating_sub(time_left));
        let tolerance =
            typical.map_or(Duration::ZERO, |typical| typical.mul_f64(TYPICAL_TOLERANCE));
        if elapsed > tolerance {
            elapsed
        } else {
            Duration::ZERO
        }
    }
}
