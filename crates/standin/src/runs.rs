//! The run log of a stand-in.
//!
//! A run is logged before any part of its response is sent, so that the log contains every answered
//! request.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The whole response was handed to the HTTP connection.
    Answered,
    /// The response was truncated as scripted.
    Cut,
    /// The request crashed the target.
    Crashed,
    /// The caller disconnected, or another request crashed the target.
    Dropped,
}

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Idempotency key of the caller.
    pub key: Option<String>,
    /// Size of the request body, in bytes.
    pub body_bytes: usize,
    /// Sequence number of the start of the run among all starts and ends of runs at this target.
    pub began: u64,
    /// Sequence number of the end of the run among them, and how the run ended.
    pub ended: Option<(u64, RunOutcome)>,
}

/// Arrival of a request, which was then run or shed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ArrivalRecord {
    /// Time of the arrival.
    pub at: Instant,
    /// Path of the request.
    pub path: String,
}

#[derive(Debug, Default)]
struct LogState {
    arrivals: Vec<ArrivalRecord>,
    records: Vec<RunRecord>,
    last_sequence: u64,
    running: u32,
    most_running: u32,
    shed: u64,
}

/// The run log of a stand-in.
#[derive(Debug, Clone, Default)]
pub struct RunLog {
    state: Arc<Mutex<LogState>>,
}

/// A run in progress. If it is dropped before [`OpenRun::end`] is called, the run is logged as
/// [`RunOutcome::Dropped`].
#[derive(Debug)]
pub struct OpenRun {
    log: RunLog,
    index: usize,
    end: RunOutcome,
}

impl RunLog {
    /// Returns the runs so far, in the order of their start.
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock().records.clone()
    }

    /// Returns the arrivals so far, in order.
    pub fn arrivals(&self) -> Vec<ArrivalRecord> {
        self.lock().arrivals.clone()
    }

    /// Logs the arrival of a request and returns its number, from 1.
    pub fn record_arrival(&self, path: &str) -> u64 {
        let arrival = ArrivalRecord {
            at: Instant::now(),
            path: path.into(),
        };
        let arrivals = &mut self.lock().arrivals;
        arrivals.push(arrival);
        arrivals.len() as u64
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Returns the highest number of requests that have run at the same time.
    pub fn most_running(&self) -> u32 {
        self.lock().most_running
    }

    /// Returns the number of shed requests.
    pub fn shed(&self) -> u64 {
        self.lock().shed
    }

    /// Logs the start of a run. Sheds the request and returns `None` if `slots` requests are
    /// running.
    pub fn begin(&self, mut record: RunRecord, slots: u32) -> Option<OpenRun> {
        let mut state = self.lock();
        if state.running >= slots {
            state.shed += 1;
            return None;
        }
        state.running += 1;
        state.most_running = state.most_running.max(state.running);
        state.last_sequence += 1;
        record.began = state.last_sequence;
        state.records.push(record);
        Some(OpenRun {
            log: self.clone(),
            index: state.records.len() - 1,
            end: RunOutcome::Dropped,
        })
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl OpenRun {
    /// Logs the end of the run.
    pub fn end(mut self, end: RunOutcome) {
        self.end = end;
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        let mut state = self.log.lock();
        state.running -= 1;
        state.last_sequence += 1;
        let sequence = state.last_sequence;
        state.records[self.index].ended = Some((sequence, self.end));
    }
}
