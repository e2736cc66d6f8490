//! The timeline of this process: a hybrid logical clock and bounded ring buffers of events.
//!
//! Events of calls have a buffer of their own, so that load does not evict events of the
//! configuration. Events are timestamped when they are recorded. The clock is merged with the
//! timestamp of every received message, which orders causes before their effects across all
//! processes.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};

use hazeltiller_engine::{settings, timeline};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::message;
use serde::Serialize;

use crate::logging;

/// Limit on the log lines about requests per second, so that logging does not aggravate overload.
/// At 300 bytes per line it allows about 120 KB/s.
const MAX_CALL_LINES_PER_SECOND: u32 = 400;
const MS_PER_SECOND: u64 = 1000;

/// The hybrid logical clock of a process.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: Arc<Mutex<message::HybridTime>>,
}

impl HybridClock {
    /// Returns the timestamp of a local event or of a message to send.
    pub fn tick(&self) -> message::HybridTime {
        let mut last = self.lock();
        *last = last.tick(time::WallTime::now());
        *last
    }

    /// Merges the timestamp of a received message.
    pub fn merge(&self, sent: message::HybridTime) {
        let mut last = self.lock();
        *last = last.merge(sent, time::WallTime::now());
    }

    fn lock(&self) -> MutexGuard<'_, message::HybridTime> {
        self.last
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

/// A recorded event.
#[derive(Debug, Clone, Serialize)]
pub struct TimelineRecord {
    /// Sequence number in this process, from 1.
    pub sequence: u64,
    /// Time of the event.
    pub at: message::HybridTime,
    /// The event.
    #[serde(flatten)]
    pub event: timeline::TimelineEvent,
}

/// Events after a sequence number.
#[derive(Debug, Clone, Serialize)]
pub struct TimelinePage {
    /// Instance that recorded the events.
    pub instance: ids::InstanceName,
    /// Sequence number from which the next request continues.
    pub last: u64,
    /// Number of requested events that are no longer retained.
    pub dropped: u64,
    /// Retained events in order.
    pub events: Vec<TimelineRecord>,
}

/// A ring buffer of events.
#[derive(Debug, Default)]
struct EventRing {
    records: VecDeque<TimelineRecord>,
    capacity: usize,
}

#[derive(Debug, Default)]
struct TimelineState {
    last_sequence: u64,
    system: EventRing,
    calls: EventRing,
    line_budget: LogLineBudget,
}

/// Rate limit on the log lines about calls.
#[derive(Debug, Default)]
struct LogLineBudget {
    second: u64,
    used: u32,
    suppressed: u64,
}

/// A recorded event as it is logged.
#[derive(Debug, Serialize)]
struct RecordLine<'a> {
    level: &'static str,
    instance: &'a ids::InstanceName,
    #[serde(flatten)]
    record: &'a TimelineRecord,
}

/// Reports that lines about calls were suppressed.
#[derive(Debug, Serialize)]
struct SuppressedLine<'a> {
    level: &'static str,
    instance: &'a ids::InstanceName,
    kind: &'static str,
    count: u64,
}

/// The timeline of a process.
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
    /// Returns an empty timeline.
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

    /// Records an event and logs it.
    pub fn record(&self, event: timeline::TimelineEvent) {
        let record = self.record_unlogged(event);
        self.log(&record);
    }

    /// Records an event of a request without logging it. Whether it is logged is decided once the
    /// request has ended.
    pub fn record_unlogged(&self, event: timeline::TimelineEvent) -> TimelineRecord {
        let at = self.clock.tick();
        let mut state = self.lock();
        state.last_sequence += 1;
        let record = TimelineRecord {
            sequence: state.last_sequence,
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

    /// Logs all events of a request that has ended, if it has failed or is sampled.
    pub fn log_request(&self, records: &[TimelineRecord]) {
        let has_failed = records.iter().any(|record| record.event.needs_attention());
        let request = records.iter().find_map(|record| record.event.request());
        if !has_failed && !request.is_some_and(is_sampled) {
            return;
        }
        let second = time::WallTime::now().0 / MS_PER_SECOND;
        let admission = self.lock().line_budget.admit(records.len() as u32, second);
        if let LogLineAdmission::AdmittedInNewSecond { suppressed } = admission
            && suppressed > 0
        {
            logging::write(&SuppressedLine {
                level: "warn",
                instance: &self.instance,
                kind: "lines_suppressed",
                count: suppressed,
            });
        }
        if admission != LogLineAdmission::Suppressed {
            for record in records {
                self.log(record);
            }
        }
    }

    /// Logs a recorded event.
    pub fn log(&self, record: &TimelineRecord) {
        let level = record_level(&record.event);
        if level <= log::max_level() {
            logging::write(&RecordLine {
                level: logging::level_name(level),
                instance: &self.instance,
                record,
            });
        }
    }

    /// Returns the retained events after a sequence number, in order.
    pub fn since(&self, since: u64) -> TimelinePage {
        let state = self.lock();
        let system = state.system.since(since);
        let calls = state.calls.since(since);
        let mut events: Vec<TimelineRecord> = system.chain(calls).cloned().collect();
        events.sort_unstable_by_key(|record| record.sequence);
        let requested = state.last_sequence.saturating_sub(since);
        TimelinePage {
            instance: self.instance.clone(),
            last: state.last_sequence,
            dropped: requested - events.len() as u64,
            events,
        }
    }

    fn lock(&self) -> MutexGuard<'_, TimelineState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

/// Whether lines may be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogLineAdmission {
    Admitted,
    /// They may be logged, and are the first ones in a new second.
    AdmittedInNewSecond {
        /// Number of lines suppressed in the last second that had any.
        suppressed: u64,
    },
    Suppressed,
}

impl LogLineBudget {
    fn admit(&mut self, lines: u32, second: u64) -> LogLineAdmission {
        if second != self.second {
            let suppressed = self.suppressed;
            *self = Self {
                second,
                used: lines,
                ..Self::default()
            };
            return LogLineAdmission::AdmittedInNewSecond { suppressed };
        }
        if self.used >= MAX_CALL_LINES_PER_SECOND {
            self.suppressed += u64::from(lines);
            return LogLineAdmission::Suppressed;
        }
        self.used += lines;
        LogLineAdmission::Admitted
    }
}

/// Returns whether a successful request is sampled for the log. The decision is derived from the
/// request id, so that all nodes log the same requests.
fn is_sampled(request: &ids::RequestId) -> bool {
    let interval = logging::sample_interval();
    let hash = blake3::hash(request.as_str().as_bytes());
    let number = u64::from_le_bytes(
        *hash
            .as_bytes()
            .first_chunk()
            .expect("a hash has more than 8 bytes"),
    );
    interval > 0 && number.is_multiple_of(interval)
}

fn record_level(event: &timeline::TimelineEvent) -> log::Level {
    if event.needs_attention() {
        log::Level::Warn
    } else {
        log::Level::Info
    }
}
