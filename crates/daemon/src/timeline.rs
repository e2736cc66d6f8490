//! The time line of this process: a clock that follows causes, and bounded rings of events.
//!
//! Calls have a ring of their own, so that a busy minute does not push out what happened to the
//! configuration. An event is stamped when it is noted; a clock that takes in the stamp of every
//! message keeps causes before their consequences over all processes.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};

use hazeltiller_engine::{settings, timeline};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::message;
use serde::Serialize;

use crate::logging;

/// Lines of the log that requests may take in a second; overload is not made worse by telling of
/// it. At 300 bytes a line this is 120 KB/s at most.
const CALL_LINES_A_SECOND: u32 = 400;
const SECOND_MS: u64 = 1000;

/// The hybrid logical clock of a process.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: Arc<Mutex<message::HybridTime>>,
}

impl HybridClock {
    /// The time of a local event or of a message that is sent.
    pub fn tick(&self) -> message::HybridTime {
        let mut last = self.lock();
        *last = last.tick(time::WallTime::now());
        *last
    }

    /// Takes in the time of a message that came.
    pub fn merge(&self, sent: message::HybridTime) {
        let mut last = self.lock();
        *last = last.merge(sent, time::WallTime::now());
    }

    fn lock(&self) -> MutexGuard<'_, message::HybridTime> {
        self.last.lock().expect("no holder of the lock panics")
    }
}

/// An event as it is kept and shown.
#[derive(Debug, Clone, Serialize)]
pub struct TimelineRecord {
    /// Its number in this process, from 1.
    pub sequence: u64,
    /// When it happened.
    pub at: message::HybridTime,
    /// What happened.
    #[serde(flatten)]
    pub event: timeline::TimelineEvent,
}

/// Events since a number.
#[derive(Debug, Clone, Serialize)]
pub struct TimelinePage {
    /// This process.
    pub instance: ids::InstanceName,
    /// The number to ask with next.
    pub last: u64,
    /// Events that were asked for and are no longer kept.
    pub dropped: u64,
    /// The others, in order.
    pub events: Vec<TimelineRecord>,
}

#[derive(Debug, Default)]
struct EventRing {
    records: VecDeque<TimelineRecord>,
    capacity: usize,
}

#[derive(Debug, Default)]
struct TimelineState {
    last: u64,
    system: EventRing,
    calls: EventRing,
    lines: LineBudget,
}

/// Bounds the log lines of calls.
#[derive(Debug, Default)]
struct LineBudget {
    second: u64,
    used: u32,
    suppressed: u64,
}

/// A record as it stands in the log.
#[derive(Debug, Serialize)]
struct RecordLine<'a> {
    level: &'static str,
    instance: &'a ids::InstanceName,
    #[serde(flatten)]
    record: &'a TimelineRecord,
}

/// Says that lines of calls were left out.
#[derive(Debug, Serialize)]
struct SuppressedLine<'a> {
    level: &'static str,
    instance: &'a ids::InstanceName,
    kind: &'static str,
    count: u64,
}

/// The time line of a process.
#[derive(Debug, Clone)]
pub struct Timeline {
    instance: ids::InstanceName,
    clock: HybridClock,
    state: Arc<Mutex<TimelineState>>,
}

impl EventRing {
    fn new(capacity: u64) -> Self {
        Self {
            capacity: capacity as usize,
            ..Self::default()
        }
    }

    fn push(&mut self, record: TimelineRecord) {
        if self.capacity == 0 {
            return;
        }
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    fn since(&self, since: u64) -> impl Iterator<Item = &TimelineRecord> {
        let from = self
            .records
            .partition_point(|record| record.sequence <= since);
        self.records.range(from..)
    }
}

impl Timeline {
    /// An empty time line.
    pub fn new(
        instance: ids::InstanceName,
        clock: HybridClock,
        tunables: &settings::TimelineTunables,
    ) -> Self {
        let state = TimelineState {
            system: EventRing::new(tunables.events),
            calls: EventRing::new(tunables.call_events),
            ..TimelineState::default()
        };
        Self {
            instance,
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Notes an event and logs it.
    pub fn record(&self, event: timeline::TimelineEvent) {
        let record = self.record_unlogged(event);
        self.log(&record);
    }

    /// Notes an event; whether it is logged is seen when its request has ended.
    pub fn record_unlogged(&self, event: timeline::TimelineEvent) -> TimelineRecord {
        let at = self.clock.tick();
        let mut state = self.lock();
        state.last += 1;
        let record = TimelineRecord {
            sequence: state.last,
            at,
            event,
        };
        let ring = if record.event.is_call_event() {
            &mut state.calls
        } else {
            &mut state.system
        };
        ring.push(record.clone());
        record
    }

    /// Logs all that was kept of a request that has ended, if it did not end well or is one of those
    /// that are logged anyway.
    pub fn log_request(&self, records: &[TimelineRecord]) {
        let is_trouble = records.iter().any(|record| record.event.needs_attention());
        let request = records.iter().find_map(|record| record.event.request());
        if !is_trouble && !request.is_some_and(is_sampled) {
            return;
        }
        let second = time::WallTime::now().0 / SECOND_MS;
        let taken = self.lock().lines.takes(records.len() as u32, second);
        if let LineAnswer::Again { suppressed } = taken
            && suppressed > 0
        {
            logging::write(&SuppressedLine {
                level: "warn",
                instance: &self.instance,
                kind: "lines_suppressed",
                count: suppressed,
            });
        }
        if taken != LineAnswer::Suppressed {
            for record in records {
                self.log(record);
            }
        }
    }

    fn log(&self, record: &TimelineRecord) {
        let level = record_level(&record.event);
        if level <= log::max_level() {
            logging::write(&RecordLine {
                level: logging::level_word(level),
                instance: &self.instance,
                record,
            });
        }
    }

    /// Events after a number, in order.
    pub fn since(&self, since: u64) -> TimelinePage {
        let state = self.lock();
        let system = state.system.since(since);
        let calls = state.calls.since(since);
        let mut events: Vec<TimelineRecord> = system.chain(calls).cloned().collect();
        events.sort_unstable_by_key(|record| record.sequence);
        let all = state.last.saturating_sub(since);
        TimelinePage {
            instance: self.instance.clone(),
            last: state.last,
            dropped: all - events.len() as u64,
            events,
        }
    }

    fn lock(&self) -> MutexGuard<'_, TimelineState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// Whether lines may be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LineAnswer {
    Taken,
    /// They may, and they are the first of a new second.
    Again {
        suppressed: u64,
    },
    Suppressed,
}

impl LineBudget {
    fn takes(&mut self, lines: u32, second: u64) -> LineAnswer {
        if second != self.second {
            let suppressed = self.suppressed;
            *self = Self {
                second,
                used: lines,
                ..Self::default()
            };
            return LineAnswer::Again { suppressed };
        }
        if self.used >= CALL_LINES_A_SECOND {
            self.suppressed += u64::from(lines);
            return LineAnswer::Suppressed;
        }
        self.used += lines;
        LineAnswer::Taken
    }
}

/// Whether a request that ended well is logged: by its id, so that every node logs the same ones.
fn is_sampled(request: &ids::RequestId) -> bool {
    let sample = logging::sample();
    let hash = blake3::hash(request.as_str().as_bytes());
    let number = u64::from_le_bytes(*hash.as_bytes().first_chunk().expect("a hash is longer"));
    sample > 0 && number.is_multiple_of(sample)
}

fn record_level(event: &timeline::TimelineEvent) -> log::Level {
    if event.needs_attention() {
        log::Level::Warn
    } else {
        log::Level::Info
    }
}
