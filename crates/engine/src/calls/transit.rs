//! Measurement of the queueing delay of offers on the link between two nodes.
//!
//! An offer states the time its call has left when the offer is sent. On a congested link the offer
//! can be delayed for longer than that. The cancellation that is sent when the caller disconnects
//! follows on the same connection and is delayed as well. Without a measurement of the delay, a
//! target would run calls that nobody waits for any more.
//!
//! The clocks of two nodes have an unknown offset, and wall clocks jump. Boot clocks run at the
//! same rate, even while a node is suspended. The smallest difference between receive and send time
//! among the offers of one peer is therefore the baseline, and every other offer was delayed by its
//! excess over the baseline. The baseline is shared by the connections of a peer and holds for at
//! least a minute, so that a link that is congested for seconds, or opened while congested, is not
//! taken for one with a long propagation delay. It expires after that, since clocks drift. If a
//! clock did stall, offers seem delayed by more than any link can delay them, and the baseline is
//! measured anew.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Minimum time for which a baseline holds; it holds for at most twice this. Clocks with a relative
/// drift of 100 ppm, the most that quartz shows, differ by 12 ms after twice this time.
const BASELINE_WINDOW: Duration = Duration::from_secs(60);
/// Longest delay that a link can cause: a link that receives nothing for 1.8 s is closed.
const MAX_LINK_DELAY: Duration = Duration::from_secs(2);
/// Time for which all offers must exceed that delay before a clock is assumed to have stalled.
const CLOCK_STALL_TIME: Duration = Duration::from_secs(2);

/// Meter of the delay of offers from one peer.
#[derive(Debug, Clone, Copy, Default)]
pub struct TransitMeter {
    /// Smallest difference of receive and send time in the current window, in microseconds.
    min_offset_us: Option<i64>,
    /// Smallest difference in the previous window, in microseconds.
    previous_min_offset_us: Option<i64>,
    window_start: Duration,
    /// When all offers began to exceed the longest delay of a link, and the smallest difference
    /// among them, in microseconds.
    outliers: Option<(Duration, i64)>,
}

impl TransitMeter {
    /// Records an offer that was sent at `sent` by the sender's boot clock and received at
    /// `received` by the receiver's; returns its delay beyond the baseline.
    pub fn record(&mut self, sent: Duration, received: Duration) -> Duration {
        let offset_us = received.as_micros() as i64 - sent.as_micros() as i64;
        let baseline_us = [self.min_offset_us, self.previous_min_offset_us]
            .into_iter()
            .flatten()
            .min();
        let delay = baseline_us.map_or(0, |baseline_us| (offset_us - baseline_us).max(0));
        let delay = Duration::from_micros(delay.unsigned_abs());
        if delay > MAX_LINK_DELAY {
            self.record_outlier(offset_us, received);
            return delay;
        }
        self.outliers = None;
        if received.saturating_sub(self.window_start) >= BASELINE_WINDOW {
            self.previous_min_offset_us = self.min_offset_us.take();
            self.window_start = received;
        }
        self.min_offset_us = Some(
            self.min_offset_us
                .map_or(offset_us, |min_offset_us| min_offset_us.min(offset_us)),
        );
        delay
    }

    fn record_outlier(&mut self, offset_us: i64, received: Duration) {
        let (since, min_offset_us) = self.outliers.unwrap_or((received, offset_us));
        let min_offset_us = min_offset_us.min(offset_us);
        self.outliers = Some((since, min_offset_us));
        if received.saturating_sub(since) >= CLOCK_STALL_TIME {
            *self = Self {
                min_offset_us: Some(min_offset_us),
                window_start: received,
                ..Self::default()
            };
        }
    }
}

/// Meter of one peer, shared by the peer's connections.
pub type SharedMeter = Arc<Mutex<TransitMeter>>;

/// Meters of all peers.
#[derive(Debug, Default)]
pub struct TransitMeterTable {
    /// Meters by peer, each with the incarnation that it measures: a new incarnation may run on a
    /// machine that rebooted, whose boot clock started anew.
    meters: Mutex<IndexMap<ids::InstanceName, (ids::IncarnationNumber, SharedMeter)>>,
}

impl TransitMeterTable {
    /// Returns the meter of an incarnation of a peer.
    pub fn of_peer(
        &self,
        peer: &ids::InstanceName,
        incarnation: ids::IncarnationNumber,
    ) -> SharedMeter {
        let mut meters = self.meters.lock().expect("no holder of the lock panics");
        let (known_incarnation, meter) = meters.entry(peer.clone()).or_default();
        if *known_incarnation != incarnation {
            *known_incarnation = incarnation;
            *meter = SharedMeter::default();
        }
        Arc::clone(meter)
    }
}
