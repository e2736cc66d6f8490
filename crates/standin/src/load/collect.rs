//! Collects the results of a load: counts and latency histograms by class and kind, and a time
//! series by class.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::load::{call, mix, settings};

/// Highest number of points of the time series.
const MAX_POINTS: u32 = 120;
const MIN_POINT_DURATION: Duration = Duration::from_millis(250);
const MAX_LATENCY: Duration = Duration::from_secs(600);
/// Significant decimal digits of the latencies by kind and class.
const REPORT_SIGNIFICANT_DIGITS: u8 = 3;
/// Significant decimal digits of the latencies in the time series.
const SERIES_SIGNIFICANT_DIGITS: u8 = 2;

/// Progress of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadProgress {
    /// Time since the start.
    pub elapsed: Duration,
    /// Number of started requests.
    pub started: u64,
    /// Number of requests answered by a target.
    pub answered: u64,
    /// Number of requests that ended otherwise.
    pub not_answered: u64,
}

/// Results of a kind or a class of requests.
#[derive(Debug, Clone)]
pub struct GroupStatistics {
    /// Number of requests.
    pub sent: u64,
    /// Number of resends.
    pub resends: u64,
    /// Number of requests answered by a target.
    pub answered: u64,
    /// Sum of the values of the answered requests.
    pub value: u64,
    /// Latencies of the answered requests, in microseconds.
    pub latency: Histogram<u64>,
}

/// One point of the time series of a class.
#[derive(Debug, Clone)]
pub struct SeriesPoint {
    /// Sum of the values of the answered requests.
    pub value: u64,
    /// Latencies of the answered requests, in microseconds.
    pub latency: Histogram<u64>,
}

#[derive(Debug, Default)]
struct CollectorState {
    records: Vec<call::CallRecord>,
    kinds: IndexMap<String, GroupStatistics>,
    classes: IndexMap<String, GroupStatistics>,
    series: IndexMap<String, Vec<SeriesPoint>>,
    answered: u64,
}

/// Collects the outcomes of requests.
#[derive(Debug)]
pub struct LoadCollector {
    mix: mix::LoadMix,
    point_duration: Duration,
    state: Mutex<CollectorState>,
}

fn histogram(digits: u8) -> Histogram<u64> {
    let max_micros = MAX_LATENCY.as_micros() as u64;
    Histogram::new_with_max(max_micros, digits)
        .expect("the bounds of the histogram are valid constants")
}

impl Default for GroupStatistics {
    fn default() -> Self {
        Self {
            sent: 0,
            resends: 0,
            answered: 0,
            value: 0,
            latency: histogram(REPORT_SIGNIFICANT_DIGITS),
        }
    }
}

impl Default for SeriesPoint {
    fn default() -> Self {
        Self {
            value: 0,
            latency: histogram(SERIES_SIGNIFICANT_DIGITS),
        }
    }
}

impl GroupStatistics {
    fn add(&mut self, record: &call::CallRecord, value: u32) {
        self.sent += 1;
        self.resends += u64::from(record.sends - 1);
        if record.end == call::SendResult::Answered {
            self.answered += 1;
            self.value += u64::from(value);
            self.latency
                .saturating_record(record.latency.as_micros() as u64);
        }
    }
}

impl LoadCollector {
    /// Creates an empty collector.
    pub fn new(settings: &settings::LoadSettings) -> Self {
        Self {
            mix: settings.mix.clone(),
            point_duration: (settings.duration / MAX_POINTS).max(MIN_POINT_DURATION),
            state: Mutex::default(),
        }
    }

    /// Adds the outcome of a request that was scheduled `planned` after the start.
    pub fn add(&self, planned: Duration, record: call::CallRecord) {
        let kind = &self.mix.kinds()[record.kind];
        let mut state = self.lock();
        let statistics = state.kinds.entry(kind.name.clone()).or_default();
        statistics.add(&record, kind.value);
        let statistics = state.classes.entry(kind.class.clone()).or_default();
        statistics.add(&record, kind.value);
        if record.end == call::SendResult::Answered {
            state.answered += 1;
            let index = (planned.as_secs_f64() / self.point_duration.as_secs_f64()) as usize;
            let points = state.series.entry(kind.class.clone()).or_default();
            if points.len() <= index {
                points.resize_with(index + 1, SeriesPoint::default);
            }
            points[index].value += u64::from(kind.value);
            let micros = record.latency.as_micros() as u64;
            points[index].latency.saturating_record(micros);
        }
        state.records.push(record);
    }

    /// Returns the progress of the load.
    pub fn progress(&self, started: u64, elapsed: Duration) -> LoadProgress {
        let state = self.lock();
        LoadProgress {
            elapsed,
            started,
            answered: state.answered,
            not_answered: state.records.len() as u64 - state.answered,
        }
    }

    /// Returns the outcomes of the requests, in the order in which they ended.
    pub fn records(&self) -> Vec<call::CallRecord> {
        self.lock().records.clone()
    }

    /// Returns the results by kind.
    pub fn kinds(&self) -> IndexMap<String, GroupStatistics> {
        self.lock().kinds.clone()
    }

    /// Returns the results by class.
    pub fn classes(&self) -> IndexMap<String, GroupStatistics> {
        self.lock().classes.clone()
    }

    /// Returns the time series by class, and the time between two points.
    pub fn series(&self) -> (IndexMap<String, Vec<SeriesPoint>>, Duration) {
        (self.lock().series.clone(), self.point_duration)
    }

    fn lock(&self) -> MutexGuard<'_, CollectorState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
