//! How many bytes the calls of a route move.
//!
//! Bytes between data centres cost, and routes differ a hundredfold in what they move: a small answer
//! may well come from afar when that is a little sooner, a large one only when it is much sooner.

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Part of a new call in the mean: about the last twenty.
const SMOOTHING: f64 = 0.05;
/// Routes that are remembered; the one that was seen first is forgotten first.
const MOST_ROUTES: usize = 1024;
/// Bytes of a call's heads on both ways between two nodes.
const HEAD_BYTES: f64 = 1000.0;

/// Mean bytes of bodies by route.
#[derive(Debug, Clone, Default)]
pub struct RouteSizes(IndexMap<ids::EntryName, f64>);

impl RouteSizes {
    /// Takes the bytes of the bodies of one call.
    pub fn record(&mut self, route: &ids::EntryName, bytes: u64) {
        let bytes = bytes as f64;
        match self.0.get_mut(route) {
            Some(mean) => *mean += SMOOTHING * (bytes - *mean),
            None => {
                self.0.insert(route.clone(), bytes);
            }
        }
        while self.0.len() > MOST_ROUTES {
            self.0.shift_remove_index(0);
        }
    }

    /// Bytes that a call of a route moves, its heads included.
    pub fn of_route(&self, route: &ids::EntryName) -> f64 {
        HEAD_BYTES + self.0.get(route).copied().unwrap_or_default()
    }
}
