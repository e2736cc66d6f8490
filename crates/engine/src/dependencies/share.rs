//! Share of recent events that had a property, with exponential decay.

use std::time::Duration;

use hazeltiller_units::time;

/// Time constant of the decay.
const DECAY_TIME: Duration = Duration::from_millis(500);
/// Decayed number of events below which nothing is concluded from them.
const MIN_EVENTS: f64 = 2.0;

/// Decayed counts of all events and of those with the property.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayedShare {
    all: f64,
    matching: f64,
    decayed_at: time::MonotonicTime,
}

impl DecayedShare {
    /// Counts an event.
    pub fn record(&mut self, now: time::MonotonicTime) {
        self.decay(now);
        self.all += 1.0;
    }

    /// Counts the property for an event that was counted before.
    pub fn record_match(&mut self, now: time::MonotonicTime) {
        self.decay(now);
        self.matching += 1.0;
    }

    /// Returns the share of events with the property; zero if there are too few.
    pub fn share(&self, now: time::MonotonicTime) -> f64 {
        if self.all * self.decay_factor(now) < MIN_EVENTS {
            return 0.0;
        }
        (self.matching / self.all).min(1.0)
    }

    fn decay(&mut self, now: time::MonotonicTime) {
        let factor = self.decay_factor(now);
        self.all *= factor;
        self.matching *= factor;
        self.decayed_at = now;
    }

    fn decay_factor(&self, now: time::MonotonicTime) -> f64 {
        let time_constants = now.since(self.decayed_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        (-time_constants).exp()
    }
}
