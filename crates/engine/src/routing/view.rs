//! Load and health of one target as known to this process.

use std::time::Duration;

use hazeltiller_units::{ids, time};
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;

use crate::health;

/// Share of its usual calls that a target gets at the beginning of its slow start.
const MIN_SLOW_START_SHARE: f64 = 0.1;
/// Age in half-lives from which a measured run time is ignored.
const MAX_AGE_HALF_LIVES: u32 = 5;
/// Maximum number of routes whose run times are kept for each target.
const MAX_ROUTES: usize = 16;

/// The state of one target on the ingress side of this process.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Calls of this process that the target has not finished.
    pub outstanding: u32,
    /// Incarnation of the target that this state belongs to.
    incarnation: ids::IncarnationNumber,
    /// Ejection state derived from the outcomes of calls.
    pub health: health::EjectionState,
    /// Time at which the target was first seen ready; `None` if it was ready before this process
    /// started.
    ready_since: Option<time::MonotonicTime>,
    last_report: Option<LoadSample>,
    /// Run times by route. Routes differ in run time by a factor of several, and targets run
    /// different mixes of them.
    run_times: IndexMap<ids::EntryName, RunTimeSample>,
}

/// The run time of one route and the time of the report that gave it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RunTimeSample {
    time: Duration,
    reported_at: time::MonotonicTime,
}

/// A load report and the state at the time it arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LoadSample {
    load: wire::LoadReport,
    reported_at: time::MonotonicTime,
    /// Requests of other nodes that the report includes.
    from_others: u32,
}

impl TargetView {
    /// Returns the view of a target that is seen for the first time.
    pub fn first_seen(
        now: time::MonotonicTime,
        was_ready_before: bool,
        incarnation: ids::IncarnationNumber,
    ) -> Self {
        Self {
            outstanding: 0,
            incarnation,
            health: health::EjectionState::default(),
            ready_since: (!was_ready_before).then_some(now),
            last_report: None,
            run_times: IndexMap::new(),
        }
    }

    /// Returns the incarnation of the target that the view belongs to.
    pub fn incarnation(&self) -> ids::IncarnationNumber {
        self.incarnation
    }

    /// Resets the view if the target has restarted. Outstanding calls still count until they end.
    pub fn begin_incarnation(
        &mut self,
        incarnation: ids::IncarnationNumber,
        now: time::MonotonicTime,
    ) {
        if self.incarnation != incarnation {
            *self = Self {
                outstanding: self.outstanding,
                ..Self::first_seen(now, false, incarnation)
            };
        }
    }

    /// Records a report that came with the end of a call. Must be called while the call is still
    /// counted as outstanding.
    pub fn record_load_report(
        &mut self,
        route: &ids::EntryName,
        load: wire::LoadReport,
        now: time::MonotonicTime,
    ) {
        if load.route_us > 0 {
            let time = Duration::from_micros(u64::from(load.route_us));
            self.run_times.insert(
                route.clone(),
                RunTimeSample {
                    time,
                    reported_at: now,
                },
            );
        }
        while self.run_times.len() > MAX_ROUTES {
            self.run_times.shift_remove_index(0);
        }
        let from_others = (load.in_flight + load.queued).saturating_sub(self.outstanding);
        self.last_report = Some(LoadSample {
            load,
            reported_at: now,
            from_others,
        });
    }

    /// Returns the requests per slot that the target would have with one more call: those of other
    /// nodes as of the last report, plus those of this process as of now.
    ///
    /// The reported load decays with `half_life` towards `service_load`, the mean load from other
    /// nodes per slot of the service. Without that, the targets of a busy service would look idle
    /// only because this node has sent them nothing lately.
    pub fn pressure(
        &self,
        slots: u32,
        service_load: f64,
        now: time::MonotonicTime,
        half_life: Duration,
    ) -> f64 {
        // A target without a report is assumed to be idle; the first call to it brings a report.
        let from_others = self.last_report.map_or(0.0, |sample| {
            let age_half_lives =
                now.since(sample.reported_at).as_secs_f64() / half_life.as_secs_f64();
            let mean = service_load * f64::from(slots);
            let estimate = mean + (f64::from(sample.from_others) - mean) * (-age_half_lives).exp2();
            // Rounded to whole requests: otherwise the target that last reported a low load would
            // always win by a fraction.
            estimate.round()
        });
        (from_others + f64::from(self.outstanding) + 1.0) / f64::from(slots.max(1))
    }

    /// Returns the requests of other nodes per slot as of the last report; zero before the first.
    pub fn others_per_slot(&self) -> f64 {
        self.last_report.map_or(0.0, |sample| {
            f64::from(sample.from_others) / f64::from(sample.load.slots.max(1))
        })
    }

    /// Returns how many of the announced slots the owner node uses, as of the last report.
    pub fn usable_slots(&self, announced_slots: u32) -> u32 {
        let reported_slots = self
            .last_report
            .map_or(announced_slots, |sample| sample.load.slots);
        reported_slots.min(announced_slots).max(1)
    }

    /// Returns the measured run time of a route in seconds; `None` if it is too old, so that the
    /// target is measured again.
    pub fn recent_run_time_s(
        &self,
        route: &ids::EntryName,
        now: time::MonotonicTime,
        half_life: Duration,
    ) -> Option<f64> {
        let sample = self.run_times.get(route)?;
        let is_recent = now.since(sample.reported_at) < half_life * MAX_AGE_HALF_LIVES;
        is_recent.then_some(sample.time.as_secs_f64())
    }

    /// Returns the mean time in seconds that a run holds a slot, over all routes; `None` if there
    /// is no recent report.
    pub fn recent_slot_hold_s(&self, now: time::MonotonicTime, half_life: Duration) -> Option<f64> {
        let is_recent =
            |sample: &LoadSample| now.since(sample.reported_at) < half_life * MAX_AGE_HALF_LIVES;
        let sample = self.last_report.filter(is_recent)?;
        (sample.load.service_us > 0).then(|| f64::from(sample.load.service_us) / 1e6)
    }

    /// Returns the measured run time of a route; zero before the first report.
    pub fn run_time(&self, route: &ids::EntryName) -> Duration {
        let sample = self.run_times.get(route);
        sample.map_or(Duration::ZERO, |sample| sample.time)
    }

    /// Returns whether the target may take another call. After an ejection it gets one call at a
    /// time until one has been answered.
    pub fn admits_call(&self, now: time::MonotonicTime) -> bool {
        self.outstanding == 0 || !self.health.is_on_probation(now)
    }

    /// Returns the share of its calls that the target gets, which grows linearly over the slow
    /// start.
    pub fn slow_start_share(&self, now: time::MonotonicTime, slow_start: Duration) -> f64 {
        let Some(ready_since) = self.ready_since else {
            return 1.0;
        };
        let share =
            now.since(ready_since).as_secs_f64() / slow_start.as_secs_f64().max(f64::EPSILON);
        share.clamp(MIN_SLOW_START_SHARE, 1.0)
    }
}
