//! Temporary ejection of failing targets from selection, up to a ceiling.
//!
//! An ejection ends after a set time. The target then gets one call at a time, and the first result
//! decides whether it is ejected again. If more targets would be ejected than the ceiling allows,
//! none is: the fault is then presumed to lie elsewhere, and the few remaining targets would fail
//! under the load of all.
//!
//! Targets whose node cannot be connected to are treated differently. Nothing runs there, so the
//! ceiling does not bring them back, and they get no calls as a last resort. A connection attempt
//! costs one call a quarter of a second, so the target is retried every second, however long a
//! network partition lasts.

use std::time::Duration;

use hazeltiller_units::{ids, time};
use indexmap::IndexSet;

use crate::{reducer, routing::table, settings};

/// Upper bound of the number of times that the ejection time is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Ejection state of one target on one ingress node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EjectionState {
    ejected_until: Option<time::MonotonicTime>,
    /// Whether the ejection is due to a failed connection to the owner node.
    is_connect_failing: bool,
    consecutive_ejections: u32,
    consecutive_failures: u32,
}

impl EjectionState {
    /// Returns whether the target is ejected.
    pub fn is_ejected(&self, now: time::MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|end| now < end)
    }

    /// Returns whether an ejection has ended and no call has succeeded since.
    pub fn is_on_probation(&self, now: time::MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|end| now >= end)
    }

    /// Returns whether the target is ejected because its node could not be connected to.
    pub fn is_connect_failing(&self, now: time::MonotonicTime) -> bool {
        self.is_connect_failing && self.is_ejected(now)
    }

    /// Returns the remaining time of the ejection.
    fn remaining(&self, now: time::MonotonicTime) -> Duration {
        self.ejected_until
            .map_or(Duration::ZERO, |end| end.since(now))
    }

    /// Ejects a target whose node could not be connected to, for half the time of a first ejection.
    pub fn record_connect_failure(&mut self, now: time::MonotonicTime, base_duration: Duration) {
        if !self.is_ejected(now) {
            self.ejected_until = Some(now + base_duration / 2);
            self.is_connect_failing = true;
        }
    }

    /// Resets the state after a response whose load report does not report the target as failing.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Ejects the target; each consecutive ejection lasts twice as long as the one before.
    pub fn eject(&mut self, now: time::MonotonicTime, base_duration: Duration) {
        if self.is_ejected(now) {
            return;
        }
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = Some(now + base_duration * (1 << doublings));
        self.is_connect_failing = false;
        self.consecutive_ejections += 1;
    }

    /// Records a failure that this process observed itself.
    pub fn record_failure(
        &mut self,
        now: time::MonotonicTime,
        base_duration: Duration,
        tunables: &settings::HealthTunables,
    ) {
        self.consecutive_failures += 1;
        let is_on_probation = self.is_on_probation(now);
        if is_on_probation || u64::from(self.consecutive_failures) >= tunables.failed_in_row {
            self.eject(now, base_duration);
        }
    }
}

/// Returns those of some targets of a service that are to be left out of selection. Above the
/// ceiling, only those that cannot be connected to are left out; the share that is compared with
/// the ceiling is that of the given targets.
pub fn ejected_targets(
    state: &reducer::EngineState,
    service: &ids::EntryName,
    indexes: &[table::TargetIndex],
) -> IndexSet<table::TargetIndex> {
    let health = |target: &table::ReadyTarget| {
        let view = state.routing.views.get(&target.target);
        view.map(|view| view.health).unwrap_or_default()
    };
    let targets = state.routing.table.of_service(service);
    let targets = indexes.iter().map(|index| (*index, targets.get(*index)));
    let permitted = targets.filter(|(_, target)| target.is_reachable);
    let (connect_failed, connectable): (Vec<_>, Vec<_>) =
        permitted.partition(|(_, target)| health(target).is_connect_failing(state.now));
    let index = |(index, _): &(table::TargetIndex, &table::ReadyTarget)| *index;
    let ejected = connectable
        .iter()
        .filter(|(_, target)| health(target).is_ejected(state.now));
    let ejected: Vec<table::TargetIndex> = ejected.map(index).collect();
    let ceiling_percent = state.settings.tunables.health.ejected_percent as usize;
    let exceeds_ceiling = ejected.len() * 100 > ceiling_percent * connectable.len();
    let ejected = ejected.into_iter().filter(|_| !exceeds_ceiling);
    ejected.chain(connect_failed.iter().map(index)).collect()
}

/// Returns the shortest time until a target of the service that could not be connected to is
/// retried; `None` if there is no such target.
pub fn connect_retry_delay(
    state: &reducer::EngineState,
    service: &ids::EntryName,
) -> Option<Duration> {
    let targets = state.routing.table.of_service(service).iter();
    let views = targets.filter_map(|(_, target)| state.routing.views.get(&target.target));
    let connect_failed = views.filter(|view| view.health.is_connect_failing(state.now));
    connect_failed
        .map(|view| view.health.remaining(state.now))
        .min()
}
