//! The order in which large responses are sent over the link of a node.
//!
//! The schedule tracks when the link will have sent all that was handed to it. Small messages are
//! sent without asking and only charged; large responses ask for a turn, the bytes that the link
//! sends in a few milliseconds, and get one while the link is no more than the time of a turn
//! behind. So a small message waits behind two turns at most, however many large responses are
//! being sent.
//!
//! Turns go to the share that has been sent the least, by start-time fair queueing. A response keeps
//! its place for [`BURST_TIME`] of the link: if all responses took turns in a circle, all of them
//! would end late, and later than was expected when they were admitted.

use std::time::Duration;

use hazeltiller_units::{ids, measure, time};
use indexmap::IndexMap;

/// Time of the link after which a response gives way to those of other shares.
pub const BURST_TIME: Duration = Duration::from_millis(100);
/// Time without asking for a turn after which a stream counts as one whose caller does not read. The
/// flow control of a connection makes shorter pauses.
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// Bounds of the bytes of one turn: two full packets, since shorter turns cost more wake-ups than
/// they are worth, and what is sent at once even on a wide link.
const MIN_TURN_BYTES: usize = 2800;
const MAX_TURN_BYTES: usize = 16 * 1024;

/// A response that is sent by turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

/// Who shares the link.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ShareKey {
    /// All responses of one organisation.
    Organisation(ids::EntryName),
    /// A response that belongs to no organisation.
    Stream(StreamId),
}

/// A stream that waits for its turn.
#[derive(Debug, Clone)]
struct WaitingStream {
    share: ShareKey,
    turn_bytes: usize,
}

/// What is left of a stream.
#[derive(Debug, Clone, Copy)]
struct StreamRest {
    bytes: u64,
    /// When the stream asked for its latest turn.
    asked_at: time::MonotonicTime,
}

/// The place of a stream in the order of turns.
#[derive(Debug, Clone, Copy)]
struct StreamBurst {
    start: f64,
    /// Bytes for which the stream keeps the place.
    left_bytes: f64,
}

/// The order of turns on one link.
#[derive(Debug, Clone)]
pub struct LinkSchedule {
    rate: measure::LinkRate,
    turn_time: Duration,
    max_turn_bytes: usize,
    /// Time at which the link will have sent all that was handed to it.
    free_at: time::MonotonicTime,
    /// Waiting streams, the one that has waited longest first.
    waiting: IndexMap<StreamId, WaitingStream>,
    /// Bytes of turns that were granted and not taken yet.
    granted: IndexMap<StreamId, usize>,
    /// What is left of all streams.
    rests: IndexMap<StreamId, StreamRest>,
    /// Places that streams keep.
    bursts: IndexMap<StreamId, StreamBurst>,
    /// Latest start of a burst, in bytes of fair share.
    virtual_bytes: f64,
    /// Start of the next burst of each share that is ahead of `virtual_bytes`.
    next_starts: IndexMap<ShareKey, f64>,
}

impl LinkSchedule {
    /// Returns the schedule of an idle link, which sends a turn in `turn_time`.
    pub fn new(rate: measure::LinkRate, turn_time: Duration) -> Self {
        let turn_bytes = rate.bytes_in(turn_time) as usize;
        Self {
            rate,
            turn_time,
            max_turn_bytes: turn_bytes.clamp(MIN_TURN_BYTES, MAX_TURN_BYTES),
            free_at: time::MonotonicTime::default(),
            waiting: IndexMap::new(),
            granted: IndexMap::new(),
            rests: IndexMap::new(),
            bursts: IndexMap::new(),
            virtual_bytes: 0.0,
            next_starts: IndexMap::new(),
        }
    }

    /// Charges bytes that are sent at once.
    pub fn charge(&mut self, bytes: u64, now: time::MonotonicTime) {
        self.free_at = self.free_at.max(now) + self.rate.transfer_time(bytes as f64);
    }

    /// Asks for a turn of a stream that has `ready_bytes` at hand and `left_bytes` to send in all.
    /// A stream that waits already, or was granted a turn, keeps it.
    pub fn request(
        &mut self,
        stream: StreamId,
        share: &ShareKey,
        ready_bytes: usize,
        left_bytes: u64,
        now: time::MonotonicTime,
    ) {
        if self.granted.contains_key(&stream) || self.waiting.contains_key(&stream) {
            return;
        }
        let waiting = WaitingStream {
            share: share.clone(),
            turn_bytes: ready_bytes.min(self.max_turn_bytes),
        };
        self.waiting.insert(stream, waiting);
        let rest = StreamRest {
            bytes: left_bytes.max(ready_bytes as u64),
            asked_at: now,
        };
        self.rests.insert(stream, rest);
    }

    /// Grants the turns that are due, and returns their streams.
    pub fn grant(&mut self, now: time::MonotonicTime) -> Vec<StreamId> {
        let mut streams = Vec::new();
        while self.free_at <= now + self.turn_time
            && let Some((stream, waiting)) = self.pop_next()
        {
            self.charge(waiting.turn_bytes as u64, now);
            self.granted.insert(stream, waiting.turn_bytes);
            if let Some(rest) = self.rests.get_mut(&stream) {
                rest.bytes = rest.bytes.saturating_sub(waiting.turn_bytes as u64);
            }
            streams.push(stream);
        }
        streams
    }

    /// Returns the bytes of a stream's turn if it was granted one; they count as sent.
    pub fn take(&mut self, stream: StreamId) -> Option<usize> {
        self.granted.swap_remove(&stream)
    }

    /// Forgets a stream that has ended or was abandoned. A turn that it has not taken goes to the
    /// others.
    pub fn leave(&mut self, stream: StreamId) {
        self.waiting.shift_remove(&stream);
        self.rests.swap_remove(&stream);
        self.bursts.swap_remove(&stream);
        self.next_starts.swap_remove(&ShareKey::Stream(stream));
        if let Some(bytes) = self.granted.swap_remove(&stream) {
            let unused = self.rate.transfer_time(bytes as f64);
            let micros = u64::try_from(unused.as_micros()).unwrap_or(u64::MAX);
            self.free_at = time::MonotonicTime(self.free_at.0.saturating_sub(micros));
        }
    }

    /// Returns when the next turn is due; `None` if no stream waits.
    pub fn next_grant_at(&self) -> Option<time::MonotonicTime> {
        let ahead_micros = self.turn_time.as_micros() as u64;
        let due = time::MonotonicTime(self.free_at.0.saturating_sub(ahead_micros));
        (!self.waiting.is_empty()).then_some(due)
    }

    /// Returns the bytes that wait for the link: those handed to it, and all that is left of the
    /// streams that wait or have asked for a turn lately. One whose caller does not read asks for
    /// none and is not included.
    pub fn backlog_bytes(&self, now: time::MonotonicTime) -> u64 {
        let handed_over = self.rate.bytes_in(self.free_at.since(now));
        let is_active = |stream: &StreamId, rest: &StreamRest| {
            self.waiting.contains_key(stream) || now.since(rest.asked_at) < MAX_PAUSE
        };
        let active = self.rests.iter();
        let active = active.filter(|(stream, rest)| is_active(stream, rest));
        handed_over as u64 + active.map(|(_, rest)| rest.bytes).sum::<u64>()
    }

    /// Returns whether nothing of any stream is kept.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.granted.is_empty() && self.rests.is_empty()
    }

    /// Removes the waiting stream whose turn is next.
    fn pop_next(&mut self) -> Option<(StreamId, WaitingStream)> {
        let start = |(stream, waiting): (&StreamId, &WaitingStream)| {
            let kept = self.bursts.get(stream).map(|burst| burst.start);
            let next = || self.next_starts.get(&waiting.share).copied();
            let start = kept.unwrap_or_else(|| next().unwrap_or_default().max(self.virtual_bytes));
            (start, *stream)
        };
        // Of equal starts the older stream goes first.
        let (start, stream) = self
            .waiting
            .iter()
            .map(start)
            .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)))?;
        let waiting = self.waiting.shift_remove(&stream)?;
        self.virtual_bytes = self.virtual_bytes.max(start);
        let turn_bytes = waiting.turn_bytes as f64;
        self.use_burst(stream, start, turn_bytes);
        let next_start = self.next_starts.entry(waiting.share.clone());
        *next_start.or_insert(start) += turn_bytes;
        // A share that is not ahead of the others needs no record.
        self.next_starts
            .retain(|_, next| *next > self.virtual_bytes);
        Some((stream, waiting))
    }

    /// Deducts a turn from the burst of a stream.
    fn use_burst(&mut self, stream: StreamId, start: f64, turn_bytes: f64) {
        let burst = self.bursts.entry(stream).or_insert(StreamBurst {
            start,
            left_bytes: self.rate.bytes_in(BURST_TIME),
        });
        burst.left_bytes -= turn_bytes;
        if burst.left_bytes <= 0.0 {
            self.bursts.swap_remove(&stream);
        }
    }
}
