//! How long an offer was on its way.
//!
//! An offer says how much time its call has left when it is sent. On a link with more to carry than it
//! can, it may wait for longer than that, and so does the word that its caller has left, which follows it
//! on the same connection: without a look at the way, the target would run calls that nobody waits for.
//!
//! The clocks of two nodes cannot be compared, and those of the day jump. But their boot clocks run
//! alike, also while a node is suspended: of the offers of one peer, the one that was on its way
//! for the shortest time shows by how much they differ, and the others were late by what they show
//! beyond that. The shortest counts for a minute at least, over connections, so that a link that is
//! choked for seconds or opened while it is choked does not pass for a slow one; not for longer, for clocks
//! drift. A clock that did stand still makes offers seem late by more than any link holds them back;
//! then the shortest is found anew.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Time for which the shortest way counts at least, and at most twice: clocks that drift apart by 100
/// parts in a million, as much as quartz does, differ by 12 ms after it.
const WINDOW: Duration = Duration::from_secs(60);
/// Longest time that an offer is on its way: a link that gives no sign of life for 1.8 s is given up.
const LONGEST_WAY: Duration = Duration::from_secs(2);
/// Time for which all offers seem later than that before a clock is taken to have stood still.
const STOPPED_TIME: Duration = Duration::from_secs(2);

/// What the offers of one peer show of their way.
#[derive(Debug, Clone, Copy, Default)]
pub struct TransitMeter {
    /// Least difference of the clocks in this window and in the one before, in microseconds.
    least: Option<i64>,
    least_before: Option<i64>,
    window_began: Duration,
    /// Since when all offers seem later than any link holds them back, and the least difference of theirs.
    beyond: Option<(Duration, i64)>,
}

impl TransitMeter {
    /// Takes an offer by the sender's boot clock as it was sent and by the receiver's as it came;
    /// returns how much longer it was on its way than the fastest one.
    pub fn record(&mut self, sent: Duration, came: Duration) -> Duration {
        let difference = came.as_micros() as i64 - sent.as_micros() as i64;
        let least = [self.least, self.least_before].into_iter().flatten().min();
        let late = least.map_or(0, |least| (difference - least).max(0));
        let late = Duration::from_micros(late.unsigned_abs());
        if late > LONGEST_WAY {
            self.note_beyond(difference, came);
            return late;
        }
        self.beyond = None;
        if came.saturating_sub(self.window_began) >= WINDOW {
            self.least_before = self.least.take();
            self.window_began = came;
        }
        self.least = Some(self.least.map_or(difference, |least| least.min(difference)));
        late
    }

    fn note_beyond(&mut self, difference: i64, came: Duration) {
        let (since, least) = self.beyond.unwrap_or((came, difference));
        let least = least.min(difference);
        self.beyond = Some((since, least));
        if came.saturating_sub(since) >= STOPPED_TIME {
            *self = Self {
                least: Some(least),
                window_began: came,
                ..Self::default()
            };
        }
    }
}

/// The meter of one peer, shared by its connections.
pub type SharedMeter = Arc<Mutex<TransitMeter>>;

/// The meters of all peers.
#[derive(Debug, Default)]
pub struct MeterTable {
    /// By peer, of the life that it was in; another life may be on a machine that started again.
    meters: Mutex<IndexMap<ids::InstanceName, (ids::IncarnationNumber, SharedMeter)>>,
}

impl MeterTable {
    /// The meter of a life of a peer.
    pub fn of_peer(&self, peer: &ids::InstanceName, life: ids::IncarnationNumber) -> SharedMeter {
        let mut meters = self.meters.lock().expect("no holder of the lock panics");
        let (known, meter) = meters.entry(peer.clone()).or_default();
        if *known != life {
            *known = life;
            *meter = SharedMeter::default();
        }
        Arc::clone(meter)
    }
}
