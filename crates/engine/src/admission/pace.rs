//! What runs of a target show of its speed, and of how many requests it really takes at once.

use std::time::Duration;

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Least part of a new measurement in the smoothed time of a run; of the first ones it is more, so
/// that they are averaged.
const SMOOTHING: f64 = 0.03;
/// Least part of a new measurement in a route's time: a route sees fewer runs than its target, and
/// a target that turned slow shows within about ten of them.
const ROUTE_SMOOTHING: f64 = 0.1;
/// Runs of a route before its own time counts.
const FEWEST_RUNS: u32 = 3;
/// What is left of earlier calls, with each new one, in the share of idle sheds: about the last 30.
const IDLE_MEMORY: f64 = 0.97;
/// Sheds of an idle target that show a fault, where they are this share of its calls: a single one
/// may have crossed a call that the target took from elsewhere.
const FEWEST_IDLE_SHEDS: f64 = 2.5;
const LEAST_IDLE_SHARE: f64 = 0.1;
/// Routes that are remembered for a target.
const MOST_ROUTES: usize = 64;
/// What is left of the slots in use after a target has shed a call.
const SHED_SHARE: f64 = 0.8;

/// Pace of one target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TargetPace {
    /// Smoothed time of a run for each cost unit, in microseconds; zero before the first.
    unit_us: f64,
    /// Smoothed time of a run, in microseconds; zero before the first.
    run_us: f64,
    runs: u32,
    /// Smoothed time of a run by route, in microseconds, with the runs that it rests on: routes of
    /// one service differ several times over.
    by_route: IndexMap<ids::EntryName, (f64, u32)>,
    /// Slots that it was found to take, while that is less than it announced.
    slots: Option<f64>,
    /// What it does with calls while it has little to do.
    idle: IdleSheds,
}

/// Whether a target sheds calls that its load is no reason for.
///
/// One that takes fewer calls at once than it announced sheds those beyond; with fewer slots it
/// sheds none. One that is at fault sheds a part of all, however few it has: with fewer slots it
/// sheds as many, and giving it less work only wastes what it would have served.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct IdleSheds {
    shed: f64,
    all: f64,
}

impl IdleSheds {
    fn note(&mut self, is_shed: bool) {
        self.all = self.all * IDLE_MEMORY + 1.0;
        self.shed = self.shed * IDLE_MEMORY + f64::from(u8::from(is_shed));
    }

    fn is_faulty(&self) -> bool {
        self.shed >= FEWEST_IDLE_SHEDS && self.shed >= self.all * LEAST_IDLE_SHARE
    }
}

impl TargetPace {
    /// Takes a run that ended well.
    pub fn note_run(
        &mut self,
        route: &ids::EntryName,
        took: Duration,
        cost: u32,
        announced: u32,
        running: u32,
    ) {
        if self.is_idle(running, announced) {
            self.idle.note(false);
        }
        let micros = took.as_secs_f64() * 1e6;
        let (of_route, runs) = self.by_route.entry(route.clone()).or_default();
        *runs = runs.saturating_add(1);
        *of_route += ROUTE_SMOOTHING.max(1.0 / f64::from(*runs)) * (micros - *of_route);
        while self.by_route.len() > MOST_ROUTES {
            self.by_route.shift_remove_index(0);
        }
        self.runs = self.runs.saturating_add(1);
        let part = SMOOTHING.max(1.0 / f64::from(self.runs));
        let unit = micros / f64::from(cost.max(1));
        self.unit_us += part * (unit - self.unit_us);
        self.run_us += part * (micros - self.run_us);
        if let Some(slots) = self.slots {
            let grown = slots + 1.0 / slots;
            self.slots = (grown < f64::from(announced)).then_some(grown);
        }
    }

    fn is_idle(&self, running: u32, announced: u32) -> bool {
        running <= (self.slots(announced) / 2).max(1)
    }

    /// Takes a call that the target shed while `running` ran, the shed one among them.
    pub fn note_shed(&mut self, running: u32, announced: u32) {
        if self.is_idle(running, announced) {
            self.idle.note(true);
        }
        if self.idle.is_faulty() {
            self.slots = None;
            return;
        }
        let in_use = f64::from(running);
        let least = self.slots.map_or(in_use, |slots| slots.min(in_use));
        self.slots = Some((least * SHED_SHARE).max(1.0));
    }

    /// Time that a run of a route takes; by what all runs took before there were any of it.
    pub fn run_time(&self, route: &ids::EntryName, cost: u32) -> Duration {
        match self.by_route.get(route) {
            Some((micros, FEWEST_RUNS..)) => Duration::from_secs_f64(micros / 1e6),
            _ => self.time_for(f64::from(cost), 1),
        }
    }

    /// Slots to use of those announced.
    pub fn slots(&self, announced: u32) -> u32 {
        self.slots
            .map_or(announced, |slots| announced.min(slots as u32))
    }

    /// Time until this much cost has run on these slots; zero before the first run.
    pub fn time_for(&self, cost: f64, slots: u32) -> Duration {
        Duration::from_secs_f64(cost * self.unit_us / 1e6 / f64::from(slots.max(1)))
    }

    /// Smoothed time of a run.
    pub fn service_us(&self) -> u32 {
        self.run_us as u32
    }
}
