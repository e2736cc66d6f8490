//! Backoff of an ingress node from a target that is at its rate limit.
//!
//! The owner node refuses a call over the limit with a retry delay. Until then the ingress node
//! offers the target no calls of that class, or of classes with lower priority. The retry delays
//! grow with the number of refusals, so that the refused offers of all ingress nodes together stay
//! in proportion to the limit.

use std::time::Duration;

use hazeltiller_units::time;
use indexmap::IndexMap;

/// Ends of the backoffs from a target, by rank of the class whose call was refused.
#[derive(Debug, Clone, Default)]
pub struct BackoffTable(IndexMap<u32, time::MonotonicTime>);

impl BackoffTable {
    /// Begins or replaces the backoff of a class.
    pub fn begin(&mut self, rank: u32, delay: Duration, now: time::MonotonicTime) {
        self.0.retain(|_, until| *until > now);
        self.0.insert(rank, now + delay);
    }

    /// Ends all backoffs.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the time until the target may be offered a call of a class; zero if it may now.
    pub fn time_left(&self, rank: u32, now: time::MonotonicTime) -> Duration {
        let backoffs = self.0.iter().filter(|(refused, _)| **refused <= rank);
        let times_left = backoffs.map(|(_, until)| until.since(now));
        times_left.max().unwrap_or(Duration::ZERO)
    }
}
