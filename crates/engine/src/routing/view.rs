//! What this process knows of one target's load and health.

use std::time::Duration;

use hazeltiller_units::{ids, time};
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;

use crate::health;

/// Share of its calls with which a new target's slow start begins.
const FIRST_WARMTH: f64 = 0.1;
/// Half-lives after which a measured time of a run is old.
const FRESH_HALF_LIVES: u32 = 5;
/// Routes whose times are remembered for a target.
const MOST_ROUTES: usize = 16;

/// One target as the ingress side of this process sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Calls of this process that it has not finished.
    pub outstanding: u32,
    /// The life that this is known of.
    life: ids::IncarnationNumber,
    /// What outcomes say of it.
    pub health: health::EjectionState,
    /// When it was first seen ready; absent when it was ready before this process looked.
    ready_since: Option<time::MonotonicTime>,
    report: Option<HeldReport>,
    /// Times of runs by route; routes differ several times over, and targets run them in different parts.
    runs: IndexMap<ids::EntryName, HeldRun>,
}

/// Time of a run of one route with when it was told.
#[derive(Debug, Clone, Copy, PartialEq)]
struct HeldRun {
    time: Duration,
    at: time::MonotonicTime,
}

/// A report with what it was taken at.
#[derive(Debug, Clone, Copy, PartialEq)]
struct HeldReport {
    load: wire::LoadReport,
    at: time::MonotonicTime,
    /// Requests of other nodes that it counts.
    of_others: u32,
}

impl TargetView {
    /// The view of a target that is seen for the first time.
    pub fn first_seen(
        now: time::MonotonicTime,
        was_ready_before: bool,
        life: ids::IncarnationNumber,
    ) -> Self {
        Self {
            outstanding: 0,
            life,
            health: health::EjectionState::default(),
            ready_since: (!was_ready_before).then_some(now),
            report: None,
            runs: IndexMap::new(),
        }
    }

    /// Forgets what was measured and believed of an earlier life; calls count until they end.
    pub fn begin_life(&mut self, life: ids::IncarnationNumber, now: time::MonotonicTime) {
        if self.life != life {
            *self = Self {
                outstanding: self.outstanding,
                ..Self::first_seen(now, false, life)
            };
        }
    }

    /// Takes a report that came with an answer, while the answered call is still counted.
    pub fn record_load_report(
        &mut self,
        route: &ids::EntryName,
        load: wire::LoadReport,
        now: time::MonotonicTime,
    ) {
        if load.route_us > 0 {
            let time = Duration::from_micros(u64::from(load.route_us));
            self.runs.insert(route.clone(), HeldRun { time, at: now });
        }
        while self.runs.len() > MOST_ROUTES {
            self.runs.shift_remove_index(0);
        }
        let of_others = (load.in_flight + load.queued).saturating_sub(self.outstanding);
        self.report = Some(HeldReport {
            load,
            at: now,
            of_others,
        });
    }

    /// Requests per slot that it would have with one more: others' by its last report, and this
    /// process's own as they are. What a report said is worth half as much for each `half_life` that
    /// it is old; what other nodes send to a slot of the service on average takes its place, so that
    /// a busy service's targets do not look idle only because they were not asked lately.
    pub fn pressure(
        &self,
        slots: u32,
        typical: f64,
        now: time::MonotonicTime,
        half_life: Duration,
    ) -> f64 {
        // One that nothing was heard of yet is taken for idle: a call finds out.
        let of_others = self.report.map_or(0.0, |report| {
            let ages = now.since(report.at).as_secs_f64() / half_life.as_secs_f64();
            let typical = typical * f64::from(slots);
            let faded = typical + (f64::from(report.of_others) - typical) * (-ages).exp2();
            // Whole requests only: else the last target to report few would win for ever.
            faded.round()
        });
        (of_others + f64::from(self.outstanding) + 1.0) / f64::from(slots.max(1))
    }

    /// Requests of other nodes per slot, by its last report; zero before the first.
    pub fn others_per_slot(&self) -> f64 {
        self.report.map_or(0.0, |report| {
            f64::from(report.of_others) / f64::from(report.load.slots.max(1))
        })
    }

    /// Slots that its node uses of those announced, by its last report.
    pub fn usable_slots(&self, announced: u32) -> u32 {
        let reported = self.report.map_or(announced, |report| report.load.slots);
        reported.min(announced).max(1)
    }

    /// Measured time of a run of a route in seconds, unless it was told long ago: then the target is tried
    /// again.
    pub fn fresh_run_s(
        &self,
        route: &ids::EntryName,
        now: time::MonotonicTime,
        half_life: Duration,
    ) -> Option<f64> {
        let run = self.runs.get(route)?;
        let is_fresh = now.since(run.at) < half_life * FRESH_HALF_LIVES;
        is_fresh.then_some(run.time.as_secs_f64())
    }

    /// Measured time of a run of any route in seconds: how long a slot is held; unless the report is old.
    pub fn fresh_service_s(&self, now: time::MonotonicTime, half_life: Duration) -> Option<f64> {
        let is_fresh = |report: &HeldReport| now.since(report.at) < half_life * FRESH_HALF_LIVES;
        let report = self.report.filter(is_fresh)?;
        (report.load.service_us > 0).then(|| f64::from(report.load.service_us) / 1e6)
    }

    /// Measured time of a run of a route; zero before the first report.
    pub fn run_time(&self, route: &ids::EntryName) -> Duration {
        let run = self.runs.get(route);
        run.map_or(Duration::ZERO, |run| run.time)
    }

    /// Whether it may take a call beside those that it has: after an ejection it takes one at a
    /// time, until one was answered.
    pub fn has_room(&self, now: time::MonotonicTime) -> bool {
        self.outstanding == 0 || !self.health.is_on_trial(now)
    }

    /// Share of its calls that it takes by now: grows over the slow start.
    pub fn warmth(&self, now: time::MonotonicTime, slow_start: Duration) -> f64 {
        let Some(start) = self.ready_since else {
            return 1.0;
        };
        let share = now.since(start).as_secs_f64() / slow_start.as_secs_f64().max(f64::EPSILON);
        share.clamp(FIRST_WARMTH, 1.0)
    }
}
