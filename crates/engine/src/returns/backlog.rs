//! Callers who were told when to return and for whom the rate has not yet made up.

use std::time::Duration;

/// Number of such callers, which falls at the rate at which callers are served.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReturnBacklog(f64);

impl ReturnBacklog {
    /// Adds a caller, up to a maximum number.
    pub fn add(&mut self, max_callers: f64) {
        self.0 = (self.0 + 1.0).min(max_callers);
    }

    /// Removes the callers for whom the rate has made up.
    pub fn drain(&mut self, served: f64) {
        self.0 = (self.0 - served).max(0.0);
    }

    /// Returns the time in which a rate, in callers per second, makes up for all callers.
    pub fn time_to_drain(self, rate: f64) -> Duration {
        if self.0 > 0.0 {
            Duration::try_from_secs_f64(self.0 / rate).unwrap_or(Duration::MAX)
        } else {
            Duration::ZERO
        }
    }
}
