//! Learns which calls the runs of a route make.
//!
//! Nothing in a call tells which run made it. A call that begins at this node is attributed to the
//! runs in progress at the node's targets, in proportion to the calls of its route that earlier
//! runs of theirs made.

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Number of runs of a route below which nothing is concluded from them.
const MIN_RUNS: f64 = 8.0;
/// Number of runs at which the counts of a route are halved.
const MAX_RUNS: f64 = 256.0;
/// Calls of a run that are assumed before any has been seen, as the weight of its attribution.
const PRIOR_CALLS: f64 = 0.05;

/// Runs of one route and the calls that they made.
#[derive(Debug, Clone, Default)]
struct RouteRuns {
    running: u32,
    runs: f64,
    calls: IndexMap<ids::EntryName, f64>,
}

impl RouteRuns {
    fn mean_calls(&self, nested: &ids::EntryName) -> f64 {
        if self.runs < MIN_RUNS {
            return 0.0;
        }
        self.calls
            .get(nested)
            .map_or(0.0, |calls| calls / self.runs)
    }

    fn weight(&self, nested: &ids::EntryName) -> f64 {
        f64::from(self.running) * (self.mean_calls(nested) + PRIOR_CALLS)
    }
}

/// Calls that the runs of each route make.
#[derive(Debug, Clone, Default)]
pub struct FanOutTable {
    /// Routes of the runs in progress.
    running: IndexMap<ids::CallId, ids::EntryName>,
    routes: IndexMap<ids::EntryName, RouteRuns>,
}

impl FanOutTable {
    /// Records that a run of a route starts.
    pub fn begin(&mut self, call: ids::CallId, route: &ids::EntryName) {
        let record = self.routes.entry(route.clone()).or_default();
        if record.runs >= MAX_RUNS {
            record.runs /= 2.0;
            record.calls.values_mut().for_each(|calls| *calls /= 2.0);
        }
        record.runs += 1.0;
        record.running += 1;
        self.running.insert(call, route.clone());
    }

    /// Records that a run has ended.
    pub fn end(&mut self, call: ids::CallId) {
        let route = self.running.swap_remove(&call);
        if let Some(record) = route.and_then(|route| self.routes.get_mut(&route)) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// Returns whether no run is in progress.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Attributes a call that begins at this node to the runs in progress.
    pub fn attribute(&mut self, nested: &ids::EntryName) {
        let weights = self.routes.values().map(|record| record.weight(nested));
        let sum: f64 = weights.sum();
        if sum <= 0.0 {
            return;
        }
        for record in self.routes.values_mut() {
            let credit = record.weight(nested) / sum;
            if credit > 0.0 {
                *record.calls.entry(nested.clone()).or_default() += credit;
            }
        }
    }

    /// Returns the mean number of calls of a route that a run of another one makes.
    pub fn mean_calls(&self, route: &ids::EntryName, nested: &ids::EntryName) -> f64 {
        let record = self.routes.get(route);
        record.map_or(0.0, |record| record.mean_calls(nested))
    }
}
