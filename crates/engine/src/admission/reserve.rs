//! Slots that are kept free for calls of better classes.
//!
//! A run is never interrupted, so a call of a better class waits until a slot frees, also where it
//! is the first in the queue. That is nothing to a call that has seconds, and much to one that has
//! a tenth of one: a short call made on behalf of a long one, which holds a slot elsewhere
//! meanwhile. So where the time until a slot frees is a good part of what such calls have, as many
//! slots as they use on average are given to nobody else.

use std::time::Duration;

use hazeltiller_units::time;

/// Time over which the use by better classes is averaged.
const AVERAGE_TIME: Duration = Duration::from_secs(2);
/// Part of a call's target latency that the wait for a slot may take before slots are reserved.
const BEARABLE_SHARE: f64 = 0.1;
/// Largest part of the slots that is reserved: most of the work is still everybody's.
const LARGEST_PART: u32 = 3;
/// Part of a new call's target latency in the smoothed one.
const SMOOTHING: f64 = 0.05;

/// What calls of better classes use of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UrgentUse {
    /// Slot-seconds, fading.
    slot_s: f64,
    at: time::MonotonicTime,
    /// Smoothed target latency, in seconds.
    latency_s: f64,
}

impl UrgentUse {
    /// Takes a run of a better class that ended.
    pub fn note_run(&mut self, took: Duration, latency: Duration, now: time::MonotonicTime) {
        self.slot_s = self.faded(now) + took.as_secs_f64();
        self.at = now;
        let latency_s = latency.as_secs_f64();
        if self.latency_s > 0.0 {
            self.latency_s += SMOOTHING * (latency_s - self.latency_s);
        } else {
            self.latency_s = latency_s;
        }
    }

    /// Slots that no other class gets, where one frees every `turnover`.
    pub fn reserved(&self, slots: u32, turnover: Duration, now: time::MonotonicTime) -> u32 {
        if turnover.as_secs_f64() <= self.latency_s * BEARABLE_SHARE {
            return 0;
        }
        self.used(now).min(slots / LARGEST_PART)
    }

    /// Slots that better classes use on average.
    pub fn used(&self, now: time::MonotonicTime) -> u32 {
        let used = self.faded(now) / AVERAGE_TIME.as_secs_f64();
        used.round() as u32
    }

    fn faded(&self, now: time::MonotonicTime) -> f64 {
        let ages = now.since(self.at).as_secs_f64() / AVERAGE_TIME.as_secs_f64();
        self.slot_s * (-ages).exp()
    }
}
