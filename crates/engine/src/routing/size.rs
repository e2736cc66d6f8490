//! Mean body size of the calls of each route.
//!
//! Traffic between data centres is costly, and routes differ a hundredfold in body size. A small
//! response may come from another data centre if that saves a little time, a large one only if it
//! saves much.

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Weight of a new call in the moving average, which thus spans about the last twenty calls.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Number of routes that are tracked; the one that was added first is evicted first.
const MAX_ROUTES: usize = 1024;
/// Bytes of the request and response heads of a call between two nodes.
const CALL_HEAD_BYTES: f64 = 1000.0;

/// Exponential moving average of the body bytes of a call, by route.
#[derive(Debug, Clone, Default)]
pub struct RouteBodySizes(IndexMap<ids::EntryName, f64>);

impl RouteBodySizes {
    /// Records the body bytes of one call.
    pub fn record(&mut self, route: &ids::EntryName, bytes: u64) {
        let bytes = bytes as f64;
        match self.0.get_mut(route) {
            Some(mean) => *mean += SMOOTHING_FACTOR * (bytes - *mean),
            None => {
                self.0.insert(route.clone(), bytes);
            }
        }
        while self.0.len() > MAX_ROUTES {
            self.0.shift_remove_index(0);
        }
    }

    /// Returns the mean bytes that a call of a route transfers, heads included.
    pub fn of_route(&self, route: &ids::EntryName) -> f64 {
        CALL_HEAD_BYTES + self.0.get(route).copied().unwrap_or_default()
    }
}
