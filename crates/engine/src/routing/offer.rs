//! Cost of an offer to another node.
//!
//! An offer that is refused has cost a round trip and work on both nodes: some tens of milliseconds
//! if a node has a narrow link or a tenth of a core. The cost is measured, so that nodes which are
//! short of either make fewer offers: they accept a short queue wait instead of offering the call
//! elsewhere, and prefer their own target.

use std::time::Duration;

/// Cost in seconds before the first measurement: a round trip between data centres and the work of
/// two nodes under light load.
const INITIAL_COST_S: f64 = 0.01;
/// Upper bound of a sample in seconds. An offer that took longer was queued for a slot in vain,
/// which is not part of the cost of the offer itself.
const MAX_COST_SAMPLE_S: f64 = 0.1;
/// Weight of a new sample in the moving average, which thus spans about the last twenty offers.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Exponential moving average of the time from an offer until it is refused, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RefusedOfferCost(f64);

impl Default for RefusedOfferCost {
    fn default() -> Self {
        Self(INITIAL_COST_S)
    }
}

impl RefusedOfferCost {
    /// Records the duration of an offer that was refused without queueing.
    pub fn record(&mut self, duration: Duration) {
        let sample_s = duration.as_secs_f64().min(MAX_COST_SAMPLE_S);
        self.0 += SMOOTHING_FACTOR * (sample_s - self.0);
    }

    /// Returns the cost in seconds.
    pub fn seconds(self) -> f64 {
        self.0
    }
}
