//! The log, with one JSON object per line, on standard output or in a file.
//!
//! Lines are written by a separate thread that reads from a bounded queue. When the queue is full,
//! lines are dropped and counted, so that a slow or stalled reader of the output never delays
//! requests. Events of the timeline are logged in their typed form; other messages come through the
//! `log` facade and have the kind `message`.

use std::{
    fs::OpenOptions,
    io::{BufWriter, Write},
    sync::{
        Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
};

use hazeltiller_units::time;
use serde::Serialize;
use tracing_appender::non_blocking;

use crate::settings;

/// Capacity of the queue of lines: holds what a busy process logs in the few seconds of a reader's
/// pause.
const QUEUE_CAPACITY_LINES: usize = 8192;
/// Maximum size of a single write, in bytes: the size up to which writes to a pipe are atomic. With
/// larger writes the lines of processes that shared a pipe were interleaved, 38 of 68,000.
const MAX_WRITE_BYTES: usize = 4096;
/// Maximum size of a line, in bytes. A longer one could be interleaved with others, so a line that
/// reports its size is written instead.
const MAX_LINE_BYTES: usize = MAX_WRITE_BYTES;
/// Number of dropped lines after which they are reported.
const DROP_REPORT_INTERVAL_LINES: u64 = 1000;
/// Prefix of the log targets of the project's crates. Messages of libraries are discarded.
const LOG_TARGET_PREFIX: &str = "hazeltiller";

/// The log of the process.
#[derive(Debug)]
struct ProcessLog {
    writer: Mutex<non_blocking::NonBlocking>,
    drop_counter: non_blocking::ErrorCounter,
    /// Number of dropped lines at the last report.
    reported_drops: AtomicU64,
    sample_interval: AtomicU64,
    /// Flushes the queue and stops the writer when dropped.
    guard: Mutex<Option<non_blocking::WorkerGuard>>,
}

static LOG: OnceLock<ProcessLog> = OnceLock::new();

/// A message that is not an event of the timeline.
#[derive(Debug, Serialize)]
struct MessageLine<'a> {
    at_ms: u64,
    level: &'a str,
    kind: &'a str,
    module: &'a str,
    message: String,
}

/// Replaces a line that is too long.
#[derive(Debug, Serialize)]
struct OversizeLine {
    at_ms: u64,
    level: &'static str,
    kind: &'static str,
    bytes: usize,
}

/// Reports that lines were dropped.
#[derive(Debug, Serialize)]
struct DroppedLine {
    at_ms: u64,
    level: &'static str,
    kind: &'static str,
    count: u64,
}

/// Writes the messages of the `log` facade to the log.
#[derive(Debug)]
struct MessageLogger;

impl log::Log for MessageLogger {
    fn enabled(&self, metadata: &log::Metadata) -> bool {
        metadata.target().starts_with(LOG_TARGET_PREFIX)
    }

    fn log(&self, record: &log::Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        write(&MessageLine {
            at_ms: time::WallTime::now().0,
            level: level_name(record.level()),
            kind: "message",
            module: record.target(),
            message: record.args().to_string(),
        });
    }

    fn flush(&self) {}
}

/// Returns the name of a level as it is logged.
pub fn level_name(level: log::Level) -> &'static str {
    match level {
        log::Level::Error => "error",
        log::Level::Warn => "warn",
        log::Level::Info => "info",
        log::Level::Debug => "debug",
        log::Level::Trace => "trace",
    }
}

/// Starts the log. Later calls in the same process only apply the level and the sampling.
pub fn start(settings: &settings::LogSettings) -> std::io::Result<()> {
    let output: Box<dyn Write + Send> = match &settings.file {
        Some(path) => Box::new(OpenOptions::new().create(true).append(true).open(path)?),
        None => Box::new(std::io::stdout()),
    };
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_CAPACITY_LINES)
        .lossy(true)
        .finish(BufWriter::with_capacity(MAX_WRITE_BYTES, output));
    let log = ProcessLog {
        drop_counter: writer.error_counter(),
        writer: Mutex::new(writer),
        reported_drops: AtomicU64::new(0),
        sample_interval: AtomicU64::new(settings.sample),
        guard: Mutex::new(Some(guard)),
    };
    if LOG.set(log).is_ok() {
        // This fails only if a logger is already set, which then stays in use.
        drop(log::set_logger(&MessageLogger));
    }
    apply_settings(settings);
    Ok(())
}

/// Applies the settings that can change at run time: the least severe level that is logged, and the
/// sampling of successful requests.
pub fn apply_settings(settings: &settings::LogSettings) {
    let level = settings.level.parse().unwrap_or(log::LevelFilter::Info);
    log::set_max_level(level);
    if let Some(log) = LOG.get() {
        log.sample_interval
            .store(settings.sample, Ordering::Relaxed);
    }
}

/// Returns the sampling of successful requests: one of this many is logged, none if 0.
pub fn sample_interval() -> u64 {
    LOG.get()
        .map_or(0, |log| log.sample_interval.load(Ordering::Relaxed))
}

/// Queues a line, or counts it as dropped if the queue is full.
pub fn write<T: Serialize>(line: &T) {
    let Some(log) = LOG.get() else {
        return;
    };
    let text = encode(line);
    let mut writer = log
        .writer
        .lock()
        .expect("no thread panics while it holds the lock");
    // The writer is lossy: instead of failing it counts the lines that it drops.
    drop(writer.write_all(&text));
    let dropped = log.drop_counter.dropped_lines() as u64;
    let reported_drops = log.reported_drops.load(Ordering::Relaxed);
    if dropped >= reported_drops + DROP_REPORT_INTERVAL_LINES {
        log.reported_drops.store(dropped, Ordering::Relaxed);
        let line = DroppedLine {
            at_ms: time::WallTime::now().0,
            level: "warn",
            kind: "lines_dropped",
            count: dropped - reported_drops,
        };
        drop(writer.write_all(&encode(&line)));
    }
}

/// Encodes a line with its line break, or its replacement if it is too long.
fn encode<T: Serialize>(line: &T) -> Vec<u8> {
    let mut text = serde_json::to_vec(line).expect("lines have only string keys");
    text.push(b'\n');
    if text.len() <= MAX_LINE_BYTES {
        return text;
    }
    encode(&OversizeLine {
        at_ms: time::WallTime::now().0,
        level: "warn",
        kind: "line_oversize",
        bytes: text.len(),
    })
}

/// Flushes the queue and ends the log. Called once, when the process exits.
pub fn finish() {
    if let Some(log) = LOG.get() {
        drop(
            log.guard
                .lock()
                .expect("no thread panics while it holds the lock")
                .take(),
        );
    }
}
