//! Keeping calls away from targets that fail, for a time and up to a ceiling.
//!
//! An ejected target comes back by itself: after its time it takes one call at a time, and the first
//! answer decides. Above the ceiling the fault is taken to be elsewhere, and no target is
//! kept away: too few targets would fail under the load of all.
//!
//! A target whose node could not be connected to is another matter. Nothing runs there, so the ceiling
//! does not bring it back, and no call is sent there as a last resort; and it costs one call a
//! quarter of a second to find out that it is back, so it is tried again each second, however long a cut
//! lasts.

use std::time::Duration;

use hazeltiller_units::{ids, time};
use indexmap::IndexSet;

use crate::{reducer, routing::table, settings};

/// Doublings of the time of an ejection, at most.
const MOST_DOUBLINGS: u32 = 4;

/// Ejections of one target as one ingress node decides them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EjectionState {
    until: Option<time::MonotonicTime>,
    /// Whether that is because its node could not be connected to.
    is_connect_failing: bool,
    in_row: u32,
    failed_in_row: u32,
}

impl EjectionState {
    /// Whether calls are kept away.
    pub fn is_ejected(&self, now: time::MonotonicTime) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether it is back from an ejection and has not answered yet.
    pub fn is_on_probation(&self, now: time::MonotonicTime) -> bool {
        self.until.is_some_and(|until| now >= until)
    }

    /// Whether calls are kept away because its node could not be connected to.
    pub fn is_connect_failing(&self, now: time::MonotonicTime) -> bool {
        self.is_connect_failing && self.is_ejected(now)
    }

    /// Time for which calls are still kept away.
    fn remaining(&self, now: time::MonotonicTime) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Keeps calls away from a target whose node could not be connected to, for half of a first ejection.
    pub fn record_connect_failure(&mut self, now: time::MonotonicTime, first: Duration) {
        if !self.is_ejected(now) {
            self.until = Some(now + first / 2);
            self.is_connect_failing = true;
        }
    }

    /// Takes an answer whose report holds the target healthy.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Keeps calls away, each time in a row for twice as long.
    pub fn eject(&mut self, now: time::MonotonicTime, first: Duration) {
        if self.is_ejected(now) {
            return;
        }
        let doublings = self.in_row.min(MOST_DOUBLINGS);
        self.until = Some(now + first * (1 << doublings));
        self.is_connect_failing = false;
        self.in_row += 1;
    }

    /// Takes a failure that this process saw itself.
    pub fn record_failure(
        &mut self,
        now: time::MonotonicTime,
        first: Duration,
        tunables: &settings::HealthTunables,
    ) {
        self.failed_in_row += 1;
        let is_trial = self.is_on_probation(now);
        if is_trial || u64::from(self.failed_in_row) >= tunables.failed_in_row {
            self.eject(now, first);
        }
    }
}

/// Places, in the service's list, of the targets that are kept out of choice; none in panic mode.
pub fn ejected_targets(
    state: &reducer::EngineState,
    service: &ids::EntryName,
    spill: bool,
) -> IndexSet<usize> {
    let is_permitted = |target: &&table::ReadyTarget| {
        target.is_reachable && (spill || target.distance == table::TargetDistance::SameDataCentre)
    };
    let health = |target: &table::ReadyTarget| {
        let view = state.routing.views.get(&target.target);
        view.map(|view| view.health).unwrap_or_default()
    };
    let targets = state.routing.table.of_service(service).iter().enumerate();
    let permitted = targets.filter(|(_, target)| is_permitted(target));
    let (unreached, reached): (Vec<_>, Vec<_>) =
        permitted.partition(|(_, target)| health(target).is_connect_failing(state.now));
    let place = |(place, _): &(usize, &table::ReadyTarget)| *place;
    let ejected = reached
        .iter()
        .filter(|(_, target)| health(target).is_ejected(state.now));
    let ejected: Vec<usize> = ejected.map(place).collect();
    let ceiling = state.settings.tunables.health.ejected_percent as usize;
    let is_above = ejected.len() * 100 > ceiling * reached.len();
    let ejected = ejected.into_iter().filter(|_| !is_above);
    ejected.chain(unreached.iter().map(place)).collect()
}

/// Shortest time until a target of a service that could not be connected to is tried again; `None` when
/// there is no such one.
pub fn connect_retry_delay(
    state: &reducer::EngineState,
    service: &ids::EntryName,
) -> Option<Duration> {
    let targets = state.routing.table.of_service(service).iter();
    let views = targets.filter_map(|target| state.routing.views.get(&target.target));
    let unreached = views.filter(|view| view.health.is_connect_failing(state.now));
    unreached.map(|view| view.health.remaining(state.now)).min()
}
