//! Slots reserved for calls of higher-priority classes.
//!
//! A run is never preempted, so even the first call in the queue waits until a slot is released.
//! That delay is negligible for a call with a target latency of seconds, but not for one with a
//! tenth of a second, such as a short call made on behalf of a long one that holds a slot elsewhere
//! meanwhile. If the time until a slot is released is a considerable part of the target latency of
//! higher-priority calls, as many slots as they use on average are withheld from the
//! lowest-priority class.

use std::time::Duration;

use hazeltiller_units::time;

/// Time constant of the average of the slot usage by higher-priority classes.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Share of the target latency that the wait for a slot may take before slots are reserved.
const MAX_WAIT_SHARE: f64 = 0.1;
/// Divisor of the slots that bounds the reserve, so that most slots stay open to all classes.
const RESERVE_DIVISOR: u32 = 3;
/// Weight of a new sample in the smoothed target latency.
const LATENCY_SMOOTHING: f64 = 0.05;

/// Slot usage of a target by higher-priority classes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PriorityUsage {
    /// Exponentially decayed slot time, in seconds.
    slot_s: f64,
    /// When the slot time was last updated.
    updated_at: time::MonotonicTime,
    /// Smoothed target latency, in seconds.
    latency_s: f64,
}

impl PriorityUsage {
    /// Records a run of a higher-priority class that ended.
    pub fn record_run(&mut self, elapsed: Duration, latency: Duration, now: time::MonotonicTime) {
        self.slot_s = self.decayed_slot_s(now) + elapsed.as_secs_f64();
        self.updated_at = now;
        let latency_s = latency.as_secs_f64();
        if self.latency_s > 0.0 {
            self.latency_s += LATENCY_SMOOTHING * (latency_s - self.latency_s);
        } else {
            self.latency_s = latency_s;
        }
    }

    /// Returns the number of reserved slots, where a slot is released every `release_interval` on
    /// average.
    pub fn reserved(
        &self,
        slots: u32,
        release_interval: Duration,
        now: time::MonotonicTime,
    ) -> u32 {
        if release_interval.as_secs_f64() <= self.latency_s * MAX_WAIT_SHARE {
            return 0;
        }
        self.used(now).min(slots / RESERVE_DIVISOR)
    }

    /// Returns the number of slots that higher-priority classes use on average.
    pub fn used(&self, now: time::MonotonicTime) -> u32 {
        let used = self.decayed_slot_s(now) / DECAY_TIME.as_secs_f64();
        used.round() as u32
    }

    fn decayed_slot_s(&self, now: time::MonotonicTime) -> f64 {
        let time_constants = now.since(self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.slot_s * (-time_constants).exp()
    }
}
