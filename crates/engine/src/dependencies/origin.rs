//! Recognises routes whose calls are made by runs, by the nodes at which the calls begin.
//!
//! Calls of callers begin at the nodes of all services alike. Calls that a service's runs make
//! begin only at that service's nodes. The owner node of a target compares the services at whose
//! nodes the calls of a route began with the share that each service has in the nodes.

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Number of calls of a route below which it is not recognised.
const MIN_CALLS: f64 = 32.0;
/// Number of calls at which the counts of a route are halved.
const MAX_CALLS: f64 = 256.0;
/// Divergence of a route's origins from the nodes, in nats, from which its calls are made by runs.
const MIN_DIVERGENCE: f64 = 0.3;
/// Maximum number of routes.
const MAX_ROUTES: usize = 512;

/// Services at whose nodes the calls of one route began.
#[derive(Debug, Clone, Default)]
struct RouteOrigins {
    all: f64,
    callers: IndexMap<ids::EntryName, f64>,
}

impl RouteOrigins {
    fn record(&mut self, caller: Option<&ids::EntryName>) {
        if self.all >= MAX_CALLS {
            self.all /= 2.0;
            self.callers.values_mut().for_each(|count| *count /= 2.0);
        }
        self.all += 1.0;
        if let Some(caller) = caller {
            *self.callers.entry(caller.clone()).or_default() += 1.0;
        }
    }

    /// Returns the divergence of the origins from the shares of the nodes, in nats. Calls of
    /// unknown origin count as calls that begin at all nodes alike.
    fn divergence(&self, shares: &IndexMap<ids::EntryName, f64>) -> f64 {
        let parts = self.callers.iter().filter_map(|(caller, count)| {
            let observed = count / self.all;
            let expected = shares.get(caller).filter(|expected| **expected > 0.0)?;
            (observed > 0.0).then(|| observed * (observed / expected).ln())
        });
        parts.sum()
    }
}

/// Origins of the calls to own targets, by route.
#[derive(Debug, Clone, Default)]
pub struct OriginTable {
    routes: IndexMap<ids::EntryName, RouteOrigins>,
    /// Share of each service in the nodes with targets.
    shares: IndexMap<ids::EntryName, f64>,
}

impl OriginTable {
    /// Sets the shares from the services of all known targets.
    pub fn set_nodes<'a>(&mut self, services: impl Iterator<Item = &'a ids::EntryName>) {
        self.shares.clear();
        for service in services {
            *self.shares.entry(service.clone()).or_default() += 1.0;
        }
        let nodes: f64 = self.shares.values().sum();
        self.shares.values_mut().for_each(|share| *share /= nodes);
    }

    /// Records where a call of a route began.
    pub fn record(&mut self, route: &ids::EntryName, caller: Option<&ids::EntryName>) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.shift_remove_index(0);
        }
        self.routes.entry(route.clone()).or_default().record(caller);
    }

    /// Returns whether the calls of a route are made by runs.
    pub fn is_nested(&self, route: &ids::EntryName) -> bool {
        self.routes.get(route).is_some_and(|origins| {
            origins.all >= MIN_CALLS && origins.divergence(&self.shares) >= MIN_DIVERGENCE
        })
    }
}
