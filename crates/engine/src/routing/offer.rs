//! What it costs to ask another node.
//!
//! An offer that is given back has taken a round trip and the work of both nodes: some tens of
//! milliseconds where a node has a narrow link or a tenth of a core. The cost is measured, so that nodes
//! which are short of either ask fewer others: they leave a call where it waits a little, and prefer
//! their own target.

use std::time::Duration;

/// Cost before the first measurement, in seconds: a round trip between data centres and the work of
/// two nodes that have little to do.
const FIRST_S: f64 = 0.01;
/// Largest time that counts, in seconds: an offer that took longer waited for a slot in vain, which is
/// no cost of asking.
const LARGEST_S: f64 = 0.1;
/// Part of a new measurement in the smoothed cost: about the last twenty offers.
const SMOOTHING: f64 = 0.05;

/// Smoothed time from an offer until it is given back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OfferCost(f64);

impl Default for OfferCost {
    fn default() -> Self {
        Self(FIRST_S)
    }
}

impl OfferCost {
    /// Takes the time that an offer took which was given back at once.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64().min(LARGEST_S);
        self.0 += SMOOTHING * (took - self.0);
    }

    /// The cost in seconds.
    pub fn seconds(self) -> f64 {
        self.0
    }
}
