//! Mean load that other nodes cause on the targets of a service.
//!
//! A node learns the load of a target only when it sends it a call, so in a large fleet most of
//! what it knows is seconds old. The mean of the recent reports of all targets of a service is the
//! estimate for a target whose own report is old. Without an estimate, every node would assume that
//! the target it has not used for longest is idle, and all nodes would select the same one.

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Weight of a new report in the moving average, which thus spans about the last twenty reports.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Exponential moving average of the requests of other nodes per slot, by service.
#[derive(Debug, Clone, Default)]
pub struct ServiceMeanLoads(IndexMap<ids::EntryName, f64>);

impl ServiceMeanLoads {
    /// Records the load that one report gives, in requests of other nodes per slot.
    pub fn record(&mut self, service: &ids::EntryName, requests_per_slot: f64) {
        match self.0.get_mut(service) {
            Some(mean) => *mean += SMOOTHING_FACTOR * (requests_per_slot - *mean),
            None => {
                self.0.insert(service.clone(), requests_per_slot);
            }
        }
    }

    /// Returns the mean of a service; zero before the first report.
    pub fn of_service(&self, service: &ids::EntryName) -> f64 {
        self.0.get(service).copied().unwrap_or_default()
    }
}
