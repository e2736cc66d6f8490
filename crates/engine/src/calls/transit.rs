//! How long an offer was on its way.
//!
//! An offer says how much time its call has left when it is sent. On a link with more to carry than it
//! can, it may wait for longer than that, and so does the word that its caller has left, which follows it
//! on the same connection: without a look at the way, the target would run calls that nobody waits for.
//!
//! The clocks of two nodes cannot be compared, and those of the day jump. But their boot clocks run
//! alike, also while a node is suspended: of the offers of one connection, the one that was on its way
//! for the shortest time shows by how much they differ, and the others were late by what they show
//! beyond that. The shortest counts for a few seconds only, so that clocks may drift, and that a clock
//! which did stand still makes offers seem late no longer than that.

use std::time::Duration;

/// Time for which the shortest way counts at least, and at most twice. A link that is choked all the
/// while passes for a slow one after it.
const WINDOW: Duration = Duration::from_secs(2);

/// What the offers of one connection show of its way.
#[derive(Debug, Clone, Copy, Default)]
pub struct TransitMeter {
    /// Least difference of the clocks in this window and in the one before, in microseconds.
    least: Option<i64>,
    least_before: Option<i64>,
    window_began: Duration,
}

impl TransitMeter {
    /// Takes an offer by the sender's boot clock as it was sent and by the receiver's as it came;
    /// returns how much longer it was on its way than the fastest one lately.
    pub fn note(&mut self, sent: Duration, came: Duration) -> Duration {
        if came.saturating_sub(self.window_began) >= WINDOW {
            self.least_before = self.least.take();
            self.window_began = came;
        }
        let difference = came.as_micros() as i64 - sent.as_micros() as i64;
        let least = self.least.map_or(difference, |least| least.min(difference));
        self.least = Some(least);
        let least = self
            .least_before
            .map_or(least, |before| before.min(difference).min(least));
        Duration::from_micros((difference - least).unsigned_abs())
    }
}
