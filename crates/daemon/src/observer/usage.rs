//! What calls use, by route and second: time that callers waited for refusals, and time of slots by what came
//! of their runs.
//!
//! Single requests are logged within bounds, and those that failed before the others, so their lines tell what
//! happened to a request but not what the whole was spent on. These sums cover every call.

use std::time::Duration;

use hazeltiller_engine::timeline as engine_timeline;
use hazeltiller_units::{ids, time};
use indexmap::IndexMap;

use super::OpenCall;
use crate::{metrics, timeline};

/// Span of one line.
const LINE_SPAN: Duration = Duration::from_secs(1);
/// Routes that are told of in a span: those with the most refusals.
const MOST_LINES: usize = 16;
/// Routes that are counted in a span.
const MOST_ROUTES: usize = 256;

/// Use of one route since the last line.
#[derive(Debug, Default)]
pub(super) struct UsageSums {
    pub(super) answered: u64,
    pub(super) tries: u64,
    pub(super) offers: u64,
    refused: CountedTime,
    given_back: CountedTime,
    declined: CountedTime,
    in_time: CountedTime,
    late: CountedTime,
    failed: CountedTime,
}

/// How many, and their times together.
#[derive(Debug, Default)]
struct CountedTime {
    count: u64,
    time: Duration,
}

impl CountedTime {
    fn add(&mut self, time: Duration) {
        self.count += 1;
        self.time += time;
    }

    fn millis(&self) -> u64 {
        self.time.as_millis() as u64
    }
}

impl UsageSums {
    /// Takes an offer that its target's node gave back after a time.
    pub(super) fn note_given_back(&mut self, took: Duration) {
        self.given_back.add(took);
    }

    /// Takes a refusal of a caller's request or of another node's offer.
    pub(super) fn note_refusal(&mut self, is_ingress: bool, took: Duration) {
        let sums = if is_ingress {
            &mut self.refused
        } else {
            &mut self.declined
        };
        sums.add(took);
    }

    fn usage(&self) -> engine_timeline::RouteUsage {
        engine_timeline::RouteUsage {
            answered: self.answered,
            refused: self.refused.count,
            refused_ms: self.refused.millis(),
            tries: self.tries,
            given_back: self.given_back.count,
            given_back_ms: self.given_back.millis(),
            offers: self.offers,
            declined: self.declined.count,
            declined_ms: self.declined.millis(),
            in_time: self.in_time.count,
            in_time_ms: self.in_time.millis(),
            late: self.late.count,
            late_ms: self.late.millis(),
            failed: self.failed.count,
            failed_ms: self.failed.millis(),
        }
    }
}

/// Use by route.
#[derive(Debug, Default)]
pub(super) struct UsageTable {
    routes: IndexMap<ids::EntryName, UsageSums>,
    /// What is counted for routes beyond the bound, and told of nowhere.
    others: UsageSums,
    began: time::MonotonicTime,
}

impl UsageTable {
    /// The sums of a route.
    pub(super) fn of_route(&mut self, route: &ids::EntryName) -> &mut UsageSums {
        if self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(route) {
            return &mut self.others;
        }
        self.routes.entry(route.clone()).or_default()
    }

    /// Takes the end of an offered call, which held a slot unless it still waited.
    pub(super) fn end_run(
        &mut self,
        open: &OpenCall,
        is_good: bool,
        metrics: &metrics::ProcessMetrics,
    ) {
        let Some(route) = open.route.as_ref().filter(|_| open.has_slot) else {
            return;
        };
        let took = open.step_began.elapsed();
        let sums = self.of_route(route);
        let (sum, result) = if !is_good {
            (&mut sums.failed, "failed")
        } else if open.began.elapsed() <= open.latency_left {
            (&mut sums.in_time, "in_time")
        } else {
            (&mut sums.late, "late")
        };
        sum.add(took);
        let [service, class] = open.labels();
        let metric = metrics
            .slot_time
            .with_label_values(&[service, class, result]);
        metric.inc_by(took.as_micros() as u64);
    }

    /// Once a span, tells of the routes whose calls did not all end well.
    pub(super) fn look(&mut self, now: time::MonotonicTime, timeline: &timeline::Timeline) {
        if now.since(self.began) < LINE_SPAN {
            return;
        }
        self.began = now;
        self.others = UsageSums::default();
        let used = self.routes.drain(..);
        let used = used.map(|(route, sums)| (route, sums.usage()));
        let mut troubled: Vec<_> = used.filter(|(_, usage)| usage.has_failures()).collect();
        troubled.sort_by_key(|(_, usage)| std::cmp::Reverse(usage.refused + usage.declined));
        troubled.truncate(MOST_LINES);
        for (route, usage) in troubled {
            timeline.record(engine_timeline::TimelineEvent::RouteUsage { route, usage });
        }
    }
}
