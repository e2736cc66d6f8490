//! Detection of standing queues: distinguishes a burst that is being drained from sustained
//! overload.
//!
//! Under overload that lasts for seconds, more calls arrive than the slots can run. A queue that
//! absorbs a burst keeps its calls until they are served. A queue that never empties serves no more
//! calls than a short one, but delays each of them by its length, so that most responses arrive
//! near or after the end of their target latency. Once a queue has not been empty for a while,
//! calls are therefore admitted only as long as it is short.

use std::time::Duration;

use hazeltiller_units::time;

/// Time without an empty queue after which the queue counts as standing. It is longer than the
/// slots take to drain a burst, and shorter than callers take to retry.
const STANDING_TIME: Duration = Duration::from_millis(300);
/// Share of its useful wait that a call may wait in a standing queue.
const STANDING_WAIT_SHARE: f64 = 0.25;
/// Minimum number of slot releases that a call may wait for in a standing queue, so that no slot
/// becomes idle for lack of a queued call.
const MIN_STANDING_RELEASES: u32 = 2;

/// Detector of a standing queue at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StandingDetector {
    /// Time since when the queue has not been empty.
    since: Option<time::MonotonicTime>,
}

impl StandingDetector {
    /// Records whether the queue holds a call now.
    pub fn record(&mut self, is_occupied: bool, now: time::MonotonicTime) {
        if is_occupied {
            self.since.get_or_insert(now);
        } else {
            self.since = None;
        }
    }

    /// Returns the longest wait with which a call is admitted whose response would still be useful
    /// after a wait of `useful_wait`, where a slot is released every `release_interval` on average.
    pub fn max_queue_wait(
        self,
        useful_wait: Duration,
        release_interval: Duration,
        now: time::MonotonicTime,
    ) -> Duration {
        let is_standing = self
            .since
            .is_some_and(|since| now.since(since) >= STANDING_TIME);
        if !is_standing {
            return useful_wait;
        }
        let min_wait = release_interval * MIN_STANDING_RELEASES;
        useful_wait
            .mul_f64(STANDING_WAIT_SHARE)
            .max(min_wait)
            .min(useful_wait)
    }
}
