//! Share of a route's calls that an ingress node begins while the calls of its runs find no room.
//!
//! Owner nodes report which share of the runs is expected to fail. The ingress node refuses calls in
//! proportion to it, but tolerates a small share, by which it notices returning room. A report that
//! is not confirmed expires.

use std::time::Duration;

use hazeltiller_units::{ids, time};
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;

/// Share of runs that may fail for want of room before calls are refused.
const TOLERATED_SHORT_SHARE: f64 = 0.1;
/// Share of calls to refuse for each share of runs that fail beyond that. Fewer calls leave more
/// room for each, so that twice the share is refused that would fail if nothing changed.
const REFUSED_PER_SHORT: f64 = 1.5;
/// Weight of a new report in the smoothed share.
const REPORT_SMOOTHING: f64 = 0.2;
/// Age up to which a report counts in full.
const FULL_REPORT_AGE: Duration = Duration::from_millis(500);
/// Age at which a report has expired.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1000);
/// Maximum number of routes.
const MAX_ROUTES: usize = 512;

/// Shortage of room for the calls that the runs of one route make.
#[derive(Debug, Clone)]
pub struct RouteShortage {
    /// Smoothed share of runs that are expected to fail.
    short_share: f64,
    /// Service without room.
    service: Option<ids::EntryName>,
    /// When a shortage was last reported.
    reported_at: time::MonotonicTime,
    /// Whether the shortage stands in the timeline.
    pub is_recorded: bool,
}

impl RouteShortage {
    fn new(now: time::MonotonicTime) -> Self {
        Self {
            short_share: 0.0,
            service: None,
            reported_at: now,
            is_recorded: false,
        }
    }

    /// Returns the service without room.
    pub fn service(&self) -> Option<&ids::EntryName> {
        self.service.as_ref()
    }

    /// Returns the share of calls to refuse at present, at most `max_share`.
    pub fn refused_share(&self, max_share: f64, now: time::MonotonicTime) -> f64 {
        let excess = (self.short_share - TOLERATED_SHORT_SHARE).max(0.0);
        (REFUSED_PER_SHORT * excess).min(max_share) * self.freshness(now)
    }

    /// Returns whether the latest report of a shortage has expired.
    pub fn is_over(&self, now: time::MonotonicTime) -> bool {
        now.since(self.reported_at) >= MAX_REPORT_AGE
    }

    fn record(&mut self, report: Option<&wire::RoomReport>, now: time::MonotonicTime) {
        let short_permille = report.map_or(0, |report| report.short_permille.min(1000));
        let short_share = f64::from(short_permille) / 1000.0;
        self.short_share += REPORT_SMOOTHING * (short_share - self.short_share);
        if short_permille > 0 {
            self.reported_at = now;
            self.service = report.and_then(|report| report.service.clone());
        }
    }

    /// Returns how far the latest report counts, from 1 to 0.
    fn freshness(&self, now: time::MonotonicTime) -> f64 {
        let expired = now.since(self.reported_at).saturating_sub(FULL_REPORT_AGE);
        let expiry = MAX_REPORT_AGE.saturating_sub(FULL_REPORT_AGE);
        (1.0 - expired.as_secs_f64() / expiry.as_secs_f64()).max(0.0)
    }
}

/// Shortages by route.
#[derive(Debug, Clone, Default)]
pub struct ShortageTable(IndexMap<ids::EntryName, RouteShortage>);

impl ShortageTable {
    /// Records the report that accompanied a response to a call, or that there was none.
    pub fn record(
        &mut self,
        route: &ids::EntryName,
        report: Option<&wire::RoomReport>,
        now: time::MonotonicTime,
    ) {
        let is_short = report.is_some_and(|report| report.short_permille > 0);
        if is_short && !self.0.contains_key(route) {
            if self.0.len() >= MAX_ROUTES {
                self.0.shift_remove_index(0);
            }
            self.0.insert(route.clone(), RouteShortage::new(now));
        }
        if let Some(shortage) = self.0.get_mut(route) {
            shortage.record(report, now);
        }
    }

    /// Returns the shortage of a route, if there is one.
    pub fn get(&self, route: &ids::EntryName) -> Option<&RouteShortage> {
        self.0.get(route)
    }

    /// Returns all shortages.
    pub fn iter(&self) -> impl Iterator<Item = (&ids::EntryName, &RouteShortage)> {
        self.0.iter()
    }

    /// Returns all shortages for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&ids::EntryName, &mut RouteShortage)> {
        self.0.iter_mut()
    }

    /// Forgets the shortages that are over.
    pub fn expire(&mut self, now: time::MonotonicTime) {
        self.0.retain(|_, shortage| !shortage.is_over(now));
    }
}
