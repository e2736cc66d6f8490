//! Outcomes of the calls that begin at this node: which calls of runs found no room, and which
//! services refuse new work of a rank.

use std::time::Duration;

use hazeltiller_units::{ids, time};
use indexmap::IndexMap;

use super::share;

/// Time for which a route counts as one of calls of runs after an owner node reported it.
const RECOGNITION_TIME: Duration = Duration::from_secs(10);
/// Share of a route's calls that begin while no run is in progress, above which runs do not make
/// them.
const MAX_IDLE_SHARE: f64 = 0.1;
/// Number of calls at which the counts of idle ones are halved.
const MAX_COUNTED_CALLS: f64 = 256.0;
/// Maximum number of routes, and of services and ranks.
const MAX_ENTRIES: usize = 512;

/// Calls of one route that began at this node.
#[derive(Debug, Clone)]
pub struct RouteCalls {
    /// Service that the calls go to.
    pub service: ids::EntryName,
    recognised_at: Option<time::MonotonicTime>,
    refused: share::DecayedShare,
    all: f64,
    /// Calls that began while no run was in progress.
    idle: f64,
}

impl RouteCalls {
    fn new(service: &ids::EntryName) -> Self {
        Self {
            service: service.clone(),
            recognised_at: None,
            refused: share::DecayedShare::default(),
            all: 0.0,
            idle: 0.0,
        }
    }

    fn record(&mut self, is_idle: bool, now: time::MonotonicTime) {
        if self.all >= MAX_COUNTED_CALLS {
            self.all /= 2.0;
            self.idle /= 2.0;
        }
        self.all += 1.0;
        self.idle += f64::from(u8::from(is_idle));
        self.refused.record(now);
    }

    /// Returns whether the calls are made by runs at this node.
    pub fn is_nested(&self, now: time::MonotonicTime) -> bool {
        let is_recognised = self
            .recognised_at
            .is_some_and(|at| now.since(at) < RECOGNITION_TIME);
        is_recognised && self.idle <= MAX_IDLE_SHARE * self.all
    }

    /// Returns the share of the calls that was refused lately.
    pub fn refused_share(&self, now: time::MonotonicTime) -> f64 {
        self.refused.share(now)
    }
}

/// Outcomes of the calls that begin at this node.
#[derive(Debug, Clone, Default)]
pub struct OutcomeTable {
    routes: IndexMap<ids::EntryName, RouteCalls>,
    /// Refused new calls by service and rank.
    new_calls: IndexMap<(ids::EntryName, u32), share::DecayedShare>,
}

impl OutcomeTable {
    /// Records a call of a route and service that begins. `is_idle` tells that no run of this node
    /// is in progress. Returns whether the call is made by a run.
    pub fn record(
        &mut self,
        route: &ids::EntryName,
        (service, rank): (&ids::EntryName, u32),
        is_idle: bool,
        now: time::MonotonicTime,
    ) -> bool {
        evict_oldest(&mut self.routes, route);
        let calls = self.routes.entry(route.clone());
        let calls = calls.or_insert_with(|| RouteCalls::new(service));
        calls.record(is_idle, now);
        let is_nested = calls.is_nested(now);
        if !is_nested {
            let key = (service.clone(), rank);
            evict_oldest(&mut self.new_calls, &key);
            self.new_calls.entry(key).or_default().record(now);
        }
        is_nested
    }

    /// Records that a call found no room.
    pub fn record_refused(
        &mut self,
        route: &ids::EntryName,
        (service, rank): (&ids::EntryName, u32),
        now: time::MonotonicTime,
    ) {
        let Some(calls) = self.routes.get_mut(route) else {
            return;
        };
        calls.refused.record_match(now);
        if !calls.is_nested(now)
            && let Some(share) = self.new_calls.get_mut(&(service.clone(), rank))
        {
            share.record_match(now);
        }
    }

    /// Records that an owner node reports the calls of a route as made by runs.
    pub fn recognise(&mut self, route: &ids::EntryName, now: time::MonotonicTime) {
        if let Some(calls) = self.routes.get_mut(route) {
            calls.recognised_at = Some(now);
        }
    }

    /// Returns the routes of calls that runs at this node make.
    pub fn nested(
        &self,
        now: time::MonotonicTime,
    ) -> impl Iterator<Item = (&ids::EntryName, &RouteCalls)> {
        let routes = self.routes.iter();
        routes.filter(move |(_, calls)| calls.is_nested(now))
    }

    /// Returns the largest share of refused calls among the new calls to a service whose rank goes
    /// before `rank`.
    pub fn refused_before(
        &self,
        service: &ids::EntryName,
        rank: u32,
        now: time::MonotonicTime,
    ) -> f64 {
        let shares = self.new_calls.iter();
        shares
            .filter(|((of_service, of_rank), _)| of_service == service && *of_rank < rank)
            .map(|(_, share)| share.share(now))
            .fold(0.0, f64::max)
    }
}

/// Removes the entry that was created first if a new one would exceed the maximum.
fn evict_oldest<K: std::hash::Hash + Eq, V>(table: &mut IndexMap<K, V>, key: &K) {
    if table.len() >= MAX_ENTRIES && !table.contains_key(key) {
        table.shift_remove_index(0);
    }
}
