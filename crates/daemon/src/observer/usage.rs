//! Totals per route and second: how long callers waited for refusals, and the slot time spent on
//! runs by their outcome.
//!
//! The log lines of individual requests are rate-limited and cover mainly failed ones. They show
//! what happened to a request, but not where time was spent overall. These totals cover all calls.

use std::time::Duration;

use hazeltiller_engine::timeline as engine_timeline;
use hazeltiller_units::{ids, time};
use indexmap::IndexMap;

use super::open_calls::OpenCall;
use crate::{metrics, timeline};

/// Interval at which totals are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of routes reported per interval. Those with the most refusals are selected.
const MAX_REPORTED_ROUTES: usize = 16;
/// Maximum number of routes with totals of their own in an interval.
const MAX_COUNTED_ROUTES: usize = 256;

/// Totals of a route since the last report.
#[derive(Debug, Default)]
pub(super) struct UsageTotals {
    pub(super) answered: u64,
    pub(super) attempts: u64,
    pub(super) offers: u64,
    /// Requests of callers that were refused.
    refused_requests: DurationTotal,
    /// Attempts of this node that the owner node of the target refused.
    refused_attempts: DurationTotal,
    /// Offers of other nodes that this node refused.
    refused_offers: DurationTotal,
    /// Successful runs that ended within the target latency.
    in_time: DurationTotal,
    /// Successful runs that ended later.
    late: DurationTotal,
    /// Failed runs.
    failed: DurationTotal,
}

/// A count and the total duration.
#[derive(Debug, Default)]
struct DurationTotal {
    count: u64,
    total: Duration,
}

impl DurationTotal {
    fn add(&mut self, duration: Duration) {
        self.count += 1;
        self.total += duration;
    }

    fn total_ms(&self) -> u64 {
        self.total.as_millis() as u64
    }
}

impl UsageTotals {
    /// Adds an attempt that the owner node of the target refused.
    pub(super) fn add_refused_attempt(&mut self, duration: Duration) {
        self.refused_attempts.add(duration);
    }

    /// Adds a refusal of a caller's request, or of another node's offer.
    pub(super) fn add_refusal(&mut self, is_ingress: bool, duration: Duration) {
        let counted_time = if is_ingress {
            &mut self.refused_requests
        } else {
            &mut self.refused_offers
        };
        counted_time.add(duration);
    }

    fn usage(&self) -> engine_timeline::RouteUsage {
        engine_timeline::RouteUsage {
            answered: self.answered,
            refused: self.refused_requests.count,
            refused_ms: self.refused_requests.total_ms(),
            tries: self.attempts,
            given_back: self.refused_attempts.count,
            given_back_ms: self.refused_attempts.total_ms(),
            offers: self.offers,
            declined: self.refused_offers.count,
            declined_ms: self.refused_offers.total_ms(),
            in_time: self.in_time.count,
            in_time_ms: self.in_time.total_ms(),
            late: self.late.count,
            late_ms: self.late.total_ms(),
            failed: self.failed.count,
            failed_ms: self.failed.total_ms(),
        }
    }
}

/// Totals by route.
#[derive(Debug, Default)]
pub(super) struct UsageTable {
    routes: IndexMap<ids::EntryName, UsageTotals>,
    /// Totals of routes beyond the limit, which are not reported.
    excess_routes: UsageTotals,
    interval_start: time::MonotonicTime,
}

impl UsageTable {
    /// Returns the totals of a route.
    pub(super) fn of_route(&mut self, route: &ids::EntryName) -> &mut UsageTotals {
        if self.routes.len() >= MAX_COUNTED_ROUTES && !self.routes.contains_key(route) {
            return &mut self.excess_routes;
        }
        self.routes.entry(route.clone()).or_default()
    }

    /// Adds the slot time of an offered call that has ended, unless it ended while it was queued.
    pub(super) fn end_run(
        &mut self,
        open_call: &OpenCall,
        is_success: bool,
        metrics: &metrics::ProcessMetrics,
    ) {
        let Some(route) = open_call.route.as_ref().filter(|_| open_call.has_slot) else {
            return;
        };
        let slot_time = open_call.step_started_at.elapsed();
        let totals = self.of_route(route);
        let (counted_time, result) = if !is_success {
            (&mut totals.failed, "failed")
        } else if open_call.started_at.elapsed() <= open_call.latency_left {
            (&mut totals.in_time, "in_time")
        } else {
            (&mut totals.late, "late")
        };
        counted_time.add(slot_time);
        let [service, class] = open_call.labels();
        let metric = metrics
            .slot_time
            .with_label_values(&[service, class, result]);
        metric.inc_by(slot_time.as_micros() as u64);
    }

    /// Once per interval, records the totals of routes with refused or failed calls.
    pub(super) fn report(&mut self, now: time::MonotonicTime, timeline: &timeline::Timeline) {
        if now.since(self.interval_start) < REPORT_INTERVAL {
            return;
        }
        self.interval_start = now;
        self.excess_routes = UsageTotals::default();
        let drained = self.routes.drain(..);
        let usages = drained.map(|(route, totals)| (route, totals.usage()));
        let mut reported: Vec<_> = usages.filter(|(_, usage)| usage.has_failures()).collect();
        reported.sort_by_key(|(_, usage)| std::cmp::Reverse(usage.refused + usage.declined));
        reported.truncate(MAX_REPORTED_ROUTES);
        for (route, usage) in reported {
            timeline.record(engine_timeline::TimelineEvent::RouteUsage { route, usage });
        }
    }
}
