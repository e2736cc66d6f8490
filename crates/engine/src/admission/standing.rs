//! Whether a target's queue is a burst that is being worked off, or stands for as long as the load lasts.
//!
//! The load it answers: more calls than the slots can run, for seconds. A queue that takes up a burst keeps
//! its calls until they are served. One that never empties serves no more calls than a short one does, and
//! every one of them as late as it is long: most of the answers come near or after the end of their target
//! latency. So once a queue has stood for a while, calls are admitted to a short one only.

use std::time::Duration;

use hazeltiller_units::time;

/// Time without a moment at which nobody waited after which a queue counts as standing: longer than a burst
/// that the slots work off, shorter than callers take to come back.
const STANDING_TIME: Duration = Duration::from_millis(300);
/// Part of the time that a call could wait that it may wait in a standing queue.
const STANDING_SHARE: f64 = 0.25;
/// Slots that free meanwhile at the least, so that none of them is idle for want of a call.
const STANDING_TURNS: u32 = 2;

/// How long somebody has waited for a target without a break.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueStanding {
    since: Option<time::MonotonicTime>,
}

impl QueueStanding {
    /// Takes whether anybody waits now.
    pub fn note(&mut self, is_anyone_waiting: bool, now: time::MonotonicTime) {
        if is_anyone_waiting {
            self.since.get_or_insert(now);
        } else {
            self.since = None;
        }
    }

    /// Longest wait with which a call is admitted that could wait for `room`, where a slot frees every
    /// `turnover`.
    pub fn bearable_wait(
        self,
        room: Duration,
        turnover: Duration,
        now: time::MonotonicTime,
    ) -> Duration {
        let is_standing = self
            .since
            .is_some_and(|since| now.since(since) >= STANDING_TIME);
        if !is_standing {
            return room;
        }
        let turns = turnover * STANDING_TURNS;
        room.mul_f64(STANDING_SHARE).max(turns).min(room)
    }
}
