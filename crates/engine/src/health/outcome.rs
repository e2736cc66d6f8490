//! Outcome counts of a target with exponential decay.

use std::time::Duration;

use hazeltiller_units::time;

use crate::settings;

/// Decayed number of outcomes below which there are too few to judge a target by.
const MIN_OUTCOMES: f64 = 0.5;

/// Counts of successful and failed outcomes that decay with a half-life.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OutcomeWindow {
    succeeded: f64,
    failed: f64,
    consecutive_failures: u32,
    updated_at: time::MonotonicTime,
}

impl OutcomeWindow {
    /// Records an outcome.
    pub fn record(&mut self, is_success: bool, now: time::MonotonicTime, half_life: Duration) {
        let decay = self.decay_factor(now, half_life);
        self.succeeded *= decay;
        self.failed *= decay;
        self.updated_at = now;
        if is_success {
            self.succeeded += 1.0;
            self.consecutive_failures = 0;
        } else {
            self.failed += 1.0;
            self.consecutive_failures += 1;
        }
    }

    /// Returns whether there are too few recent outcomes to judge the target by.
    pub fn is_empty(&self, now: time::MonotonicTime, tunables: &settings::HealthTunables) -> bool {
        let decay = self.decay_factor(now, settings::millis(tunables.half_life_ms));
        self.consecutive_failures == 0 && (self.succeeded + self.failed) * decay < MIN_OUTCOMES
    }

    /// Returns whether the target is failing: either enough consecutive failures, or a high enough
    /// share of failures among enough outcomes.
    pub fn is_failing(
        &self,
        now: time::MonotonicTime,
        tunables: &settings::HealthTunables,
    ) -> bool {
        let decay = self.decay_factor(now, settings::millis(tunables.half_life_ms));
        let min_failed = tunables.failed_in_row as f64;
        let has_enough_failures = self.failed * decay >= min_failed;
        let failed_percent =
            settings::PERCENT * self.failed / (self.succeeded + self.failed).max(1.0);
        u64::from(self.consecutive_failures) >= tunables.failed_in_row
            || has_enough_failures && failed_percent >= tunables.failed_percent as f64
    }

    fn decay_factor(&self, now: time::MonotonicTime, half_life: Duration) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / half_life.as_secs_f64()).exp2()
    }
}
