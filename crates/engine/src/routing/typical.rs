//! What nodes send to a service on the whole.
//!
//! A node hears of a target's load only when it sends it a call, so in a large fleet most of what it
//! knows is seconds old. The mean of what was heard lately of all targets is a better guess of an old
//! one's load than none at all: with none, every node takes the target that it has not asked for
//! longest for idle, and all of them choose it.

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Part of a new report in the mean: about the last twenty.
const SMOOTHING: f64 = 0.05;

/// Mean requests of other nodes per slot, by service.
#[derive(Debug, Clone, Default)]
pub struct TypicalUses(IndexMap<ids::EntryName, f64>);

impl TypicalUses {
    /// Takes what one report said.
    pub fn note(&mut self, service: &ids::EntryName, per_slot: f64) {
        match self.0.get_mut(service) {
            Some(mean) => *mean += SMOOTHING * (per_slot - *mean),
            None => {
                self.0.insert(service.clone(), per_slot);
            }
        }
    }

    /// The mean of a service; zero before the first report.
    pub fn of_service(&self, service: &ids::EntryName) -> f64 {
        self.0.get(service).copied().unwrap_or_default()
    }
}
