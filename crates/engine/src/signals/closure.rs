//! Times at which an ingress node offers no calls to a target that is at its rate limit.
//!
//! The owner node refuses a call over the limit with a retry delay. Until then the ingress node
//! sends the calls of that class, and of classes with lower priority, elsewhere without an
//! offer. The retry delays grow with the number of refusals, so that the refused offers of all ingress
//! nodes together stay in proportion to the limit.

use std::time::Duration;

use hazeltiller_units::time;
use indexmap::IndexMap;

/// Ends of the closures of a target, by rank of the class whose call was refused.
#[derive(Debug, Clone, Default)]
pub struct ClosureTable(IndexMap<u32, time::MonotonicTime>);

impl ClosureTable {
    /// Closes the target for a class for a time.
    pub fn close(&mut self, rank: u32, delay: Duration, now: time::MonotonicTime) {
        self.0.retain(|_, until| *until > now);
        self.0.insert(rank, now + delay);
    }

    /// Reopens the target for all classes.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the time until the target is open for a class; zero if it is.
    pub fn time_left(&self, rank: u32, now: time::MonotonicTime) -> Duration {
        let closures = self.0.iter().filter(|(closed, _)| **closed <= rank);
        let times_left = closures.map(|(_, until)| until.since(now));
        times_left.max().unwrap_or(Duration::ZERO)
    }
}
