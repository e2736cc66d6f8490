//! The log: one JSON object a line, on standard output or in a file.
//!
//! Lines go to a thread of their own over a queue of fixed length. A full queue drops the line and
//! counts it, so that whoever reads the output too slowly, or not at all, holds up no request. What
//! the time line notes is logged from the same typed event; other messages come through the `log`
//! facade and get the kind `message`.

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

/// Lines that wait for the writer: some seconds of a busy process at a reader that pauses.
const WAITING_LINES: usize = 8192;
/// Bytes that are written at once, where so many wait: what a pipe takes whole or not at all. With larger
/// writes a reader of several processes found lines of one in the midst of another's, 38 of 68,000.
const WRITE_SIZE: usize = 4096;
/// Longest line; one that is longer would be cut, so that a note of it is written in its place.
const LONGEST_LINE: usize = WRITE_SIZE;
/// Lines dropped between two lines that say so.
const REPORT_EVERY: u64 = 1000;
/// What messages of the project's own crates begin with; those of libraries are left out.
const OWN_TARGETS: &str = "hazeltiller";

/// The log of the process.
#[derive(Debug)]
struct ProcessLog {
    writer: Mutex<non_blocking::NonBlocking>,
    errors: non_blocking::ErrorCounter,
    reported: AtomicU64,
    sample: AtomicU64,
    /// Ends the writer, after what waits, with the process.
    guard: Mutex<Option<non_blocking::WorkerGuard>>,
}

static LOG: OnceLock<ProcessLog> = OnceLock::new();

/// A message that is no event of the time line.
#[derive(Debug, Serialize)]
struct MessageLine<'a> {
    at_ms: u64,
    level: &'a str,
    kind: &'a str,
    module: &'a str,
    message: String,
}

/// Stands in for a line that is too long.
#[derive(Debug, Serialize)]
struct OversizeLine {
    at_ms: u64,
    level: &'static str,
    kind: &'static str,
    bytes: usize,
}

/// Says that lines were left out.
#[derive(Debug, Serialize)]
struct DroppedLine {
    at_ms: u64,
    level: &'static str,
    kind: &'static str,
    count: u64,
}

/// Hands messages of the `log` facade on.
#[derive(Debug)]
struct MessageLogger;

impl log::Log for MessageLogger {
    fn enabled(&self, metadata: &log::Metadata) -> bool {
        metadata.target().starts_with(OWN_TARGETS)
    }

    fn log(&self, record: &log::Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        write(&MessageLine {
            at_ms: time::WallTime::now().0,
            level: level_word(record.level()),
            kind: "message",
            module: record.target(),
            message: record.args().to_string(),
        });
    }

    fn flush(&self) {}
}

/// The word of a level in a line.
pub fn level_word(level: log::Level) -> &'static str {
    match level {
        log::Level::Error => "error",
        log::Level::Warn => "warn",
        log::Level::Info => "info",
        log::Level::Debug => "debug",
        log::Level::Trace => "trace",
    }
}

/// Starts the log; a second start in one process is without effect.
pub fn start(settings: &settings::LogSettings) -> std::io::Result<()> {
    let output: Box<dyn Write + Send> = match &settings.file {
        Some(path) => Box::new(OpenOptions::new().create(true).append(true).open(path)?),
        None => Box::new(std::io::stdout()),
    };
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .finish(BufWriter::with_capacity(WRITE_SIZE, output));
    let log = ProcessLog {
        errors: writer.error_counter(),
        writer: Mutex::new(writer),
        reported: AtomicU64::new(0),
        sample: AtomicU64::new(settings.sample),
        guard: Mutex::new(Some(guard)),
    };
    if LOG.set(log).is_ok() {
        // Only a second logger is refused, and the first one goes on.
        drop(log::set_logger(&MessageLogger));
    }
    set_level(settings);
    Ok(())
}

/// Sets the least important level that is logged, and the share of requests.
pub fn set_level(settings: &settings::LogSettings) {
    let level = settings.level.parse().unwrap_or(log::LevelFilter::Info);
    log::set_max_level(level);
    if let Some(log) = LOG.get() {
        log.sample.store(settings.sample, Ordering::Relaxed);
    }
}

/// One of how many requests that ended well is logged; 0 for none.
pub fn sample() -> u64 {
    LOG.get()
        .map_or(0, |log| log.sample.load(Ordering::Relaxed))
}

/// Writes a line, or counts it as dropped.
pub fn write<T: Serialize>(line: &T) {
    let Some(log) = LOG.get() else {
        return;
    };
    let text = encode(line);
    let mut writer = log.writer.lock().expect("no holder of the lock panics");
    // A lossy writer takes every line; what it cannot keep it counts.
    drop(writer.write_all(&text));
    let dropped = log.errors.dropped_lines() as u64;
    let reported = log.reported.load(Ordering::Relaxed);
    if dropped >= reported + REPORT_EVERY {
        log.reported.store(dropped, Ordering::Relaxed);
        let line = DroppedLine {
            at_ms: time::WallTime::now().0,
            level: "warn",
            kind: "lines_dropped",
            count: dropped - reported,
        };
        drop(writer.write_all(&encode(&line)));
    }
}

/// A line with its end, or the note that stands in for one that is too long.
fn encode<T: Serialize>(line: &T) -> Vec<u8> {
    let mut text = serde_json::to_vec(line).expect("lines have only text keys");
    text.push(b'\n');
    if text.len() <= LONGEST_LINE {
        return text;
    }
    encode(&OversizeLine {
        at_ms: time::WallTime::now().0,
        level: "warn",
        kind: "line_oversize",
        bytes: text.len(),
    })
}

/// Writes what waits and ends the log; called once, when the process ends.
pub fn finish() {
    if let Some(log) = LOG.get() {
        drop(
            log.guard
                .lock()
                .expect("no holder of the lock panics")
                .take(),
        );
    }
}
