//! Estimates of a target's service time and of the concurrency that it really accepts.
//!
//! A target may accept fewer concurrent requests than it announced and shed the others. The slots
//! in use are then reduced by a factor with each shed call, and grow back slowly with good runs.

use std::time::Duration;

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Minimum weight of a new sample in the smoothed run time. The first samples have a larger weight,
/// so that they are averaged.
const MIN_SAMPLE_WEIGHT: f64 = 0.03;
/// Minimum weight of a new sample in the smoothed run time of a route. A route has fewer runs than
/// its target, and about ten of them suffice to detect that the target became slow.
const MIN_ROUTE_SAMPLE_WEIGHT: f64 = 0.1;
/// Runs of a route from which on its own run time is used.
const MIN_ROUTE_RUNS: u32 = 3;
/// Factor by which each new call reduces the weight of earlier ones in the share of calls shed
/// while idle; about the last 30 calls count.
const IDLE_DECAY_FACTOR: f64 = 0.97;
/// Decayed number of calls shed while idle from which on a target is considered faulty. A single
/// one may have coincided with a call that reached the target in another way.
const MIN_IDLE_SHEDS: f64 = 2.5;
/// Share of the calls while idle that must have been shed for a target to be considered faulty.
const MIN_IDLE_SHED_SHARE: f64 = 0.1;
/// Maximum number of routes with run times for each target.
const MAX_ROUTES: usize = 64;
/// Factor that reduces the slots in use when a target sheds a call.
const SLOT_DECREASE_FACTOR: f64 = 0.8;

/// Estimates of the run times and the usable slots of one target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TargetEstimate {
    /// Smoothed run time for each cost unit, in microseconds; zero before the first run.
    unit_us: f64,
    /// Smoothed run time, in microseconds; zero before the first run.
    run_us: f64,
    /// Number of runs measured.
    runs: u32,
    /// Smoothed run time by route, in microseconds, with the number of runs measured. The run times
    /// of one service's routes differ by a multiple.
    by_route: IndexMap<ids::EntryName, (f64, u32)>,
    /// Estimated number of calls that the target accepts at once; absent while it accepts as many
    /// as it announced.
    slots: Option<f64>,
    /// Calls shed while the target was nearly idle.
    idle_shedding: IdleShedding,
}

/// Detects targets that shed calls for reasons other than their load.
///
/// A target that accepts fewer concurrent calls than it announced sheds the excess, and sheds none
/// once fewer slots are used. A faulty target sheds a share of all calls regardless of concurrency.
/// Using fewer slots would not reduce that share, but only waste the calls it would have served.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct IdleShedding {
    /// Decayed number of calls that were shed while the target was nearly idle.
    shed: f64,
    /// Decayed number of all calls that ended while the target was nearly idle.
    all: f64,
}

impl IdleShedding {
    fn record(&mut self, is_shed: bool) {
        self.all = self.all * IDLE_DECAY_FACTOR + 1.0;
        self.shed = self.shed * IDLE_DECAY_FACTOR + f64::from(u8::from(is_shed));
    }

    fn is_faulty(&self) -> bool {
        self.shed >= MIN_IDLE_SHEDS && self.shed >= self.all * MIN_IDLE_SHED_SHARE
    }
}

impl TargetEstimate {
    /// Records a successful run, where `announced_slots` is the target's slot count without
    /// estimates and `running` the number of running calls including this one.
    pub fn record_run(
        &mut self,
        route: &ids::EntryName,
        elapsed: Duration,
        cost: u32,
        announced_slots: u32,
        running: u32,
    ) {
        if self.is_idle(running, announced_slots) {
            self.idle_shedding.record(false);
        }
        let micros = elapsed.as_secs_f64() * 1e6;
        let (route_us, runs) = self.by_route.entry(route.clone()).or_default();
        *runs = runs.saturating_add(1);
        *route_us += MIN_ROUTE_SAMPLE_WEIGHT.max(1.0 / f64::from(*runs)) * (micros - *route_us);
        while self.by_route.len() > MAX_ROUTES {
            self.by_route.shift_remove_index(0);
        }
        self.runs = self.runs.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.runs));
        let unit_us = micros / f64::from(cost.max(1));
        self.unit_us += weight * (unit_us - self.unit_us);
        self.run_us += weight * (micros - self.run_us);
        if let Some(slots) = self.slots {
            let grown = slots + 1.0 / slots;
            self.slots = (grown < f64::from(announced_slots)).then_some(grown);
        }
    }

    /// Returns whether the target is nearly idle: at most half of its slots are in use.
    fn is_idle(&self, running: u32, announced_slots: u32) -> bool {
        running <= (self.slots(announced_slots) / 2).max(1)
    }

    /// Records a call that the target shed while `running` calls ran, including the shed one.
    pub fn record_shed(&mut self, running: u32, announced_slots: u32) {
        if self.is_idle(running, announced_slots) {
            self.idle_shedding.record(true);
        }
        if self.idle_shedding.is_faulty() {
            self.slots = None;
            return;
        }
        let running_calls = f64::from(running);
        let base = self
            .slots
            .map_or(running_calls, |slots| slots.min(running_calls));
        self.slots = Some((base * SLOT_DECREASE_FACTOR).max(1.0));
    }

    /// Returns the expected run time of a call of a route. Until the route has enough runs, the run
    /// time for each cost unit of all routes is used.
    pub fn run_time(&self, route: &ids::EntryName, cost: u32) -> Duration {
        match self.by_route.get(route) {
            Some((micros, MIN_ROUTE_RUNS..)) => Duration::from_secs_f64(micros / 1e6),
            _ => self.time_for(f64::from(cost), 1),
        }
    }

    /// Returns how many of the announced slots to use.
    pub fn slots(&self, announced_slots: u32) -> u32 {
        self.slots
            .map_or(announced_slots, |slots| announced_slots.min(slots as u32))
    }

    /// Returns the time to run `cost` units on `slots` slots; zero before the first run.
    pub fn time_for(&self, cost: f64, slots: u32) -> Duration {
        Duration::from_secs_f64(cost * self.unit_us / 1e6 / f64::from(slots.max(1)))
    }

    /// Returns the smoothed run time, in microseconds.
    pub fn service_us(&self) -> u32 {
        self.run_us as u32
    }
}
