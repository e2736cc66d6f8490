//! A data folder: one log, one snapshot, one lock.
//!
//! The log is only ever appended to; a snapshot and the shorter log behind it are written aside,
//! synced, renamed and their folder synced, the snapshot first. A crash between the two leaves a
//! log that begins before its snapshot, which is shortened when it is opened.

use std::{
    fs,
    io::{Read, Seek, Write},
    path::{Path, PathBuf},
};

use hazeltiller_engine::replication;
use hazeltiller_wire::replication as wire;
use snafu::ResultExt;

use crate::{LogStore, error, record};

const LOCK_FILE: &str = "lock";
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const ASIDE_SUFFIX: &str = "new";

type StoreResult<T> = Result<T, error::StoreError>;

/// A folder that is open.
#[derive(Debug)]
pub struct FileStore {
    folder: PathBuf,
    log: fs::File,
    has_failed: bool,
    /// Holds the folder as long as it is open.
    _lock: fs::File,
}

/// What a log held.
#[derive(Debug, Default)]
struct LogContent {
    hard: Option<wire::HardState>,
    entries: Vec<wire::LogEntry>,
    /// Where the last whole record ends.
    end: usize,
    /// Bytes after it that were never synced.
    torn: usize,
}

impl FileStore {
    /// Opens a folder; one without state becomes that of a new replica, as `first` makes it.
    /// Returns what the folder holds and whether it was there before.
    pub fn open(
        folder: &Path,
        first: impl FnOnce() -> wire::HardState,
    ) -> StoreResult<(Self, replication::RecoveredLog, bool)> {
        fs::create_dir_all(folder).context(error::DiskSnafu {
            action: "making",
            path: folder,
        })?;
        let lock = lock_folder(folder)?;
        let snapshot = read_snapshot(&folder.join(SNAPSHOT_FILE))?;
        let path = folder.join(LOG_FILE);
        let is_new = !path.exists();
        if is_new {
            if snapshot.is_some() {
                return Err(record::damaged(&path, 0, "the log is gone".into()));
            }
            write_log(folder, first(), &[])?;
        }
        let bytes = read_file(&path)?;
        let content = read_log(&path, &bytes)?;
        if content.torn > 0 {
            log::warn!(
                "{}: cut {} bytes of a record that was never kept",
                path.display(),
                content.torn
            );
        }
        let all = content.entries.len();
        let mark = snapshot.as_ref().map(|snapshot| snapshot.mark);
        let entries = after_snapshot(&path, content.entries, mark.unwrap_or_default())?;
        let hard = content.hard.ok_or_else(|| {
            record::damaged(
                &path,
                record::FILE_HEADER_BYTES,
                "the first record is gone".into(),
            )
        })?;
        if entries.len() < all {
            write_log(folder, hard, &entries)?;
        }
        let mut log = open_log(&path)?;
        if entries.len() == all {
            log.set_len(content.end as u64)
                .context(disk("cutting", &path))?;
            log.sync_all().context(disk("syncing", &path))?;
        }
        log.seek(std::io::SeekFrom::End(0))
            .context(disk("seeking in", &path))?;
        let recovered = replication::RecoveredLog {
            hard,
            snapshot,
            entries,
        };
        let store = Self {
            folder: folder.into(),
            log,
            has_failed: false,
            _lock: lock,
        };
        Ok((store, recovered, !is_new))
    }

    /// Writes batches, each in one piece with those beside it, and syncs them before anything else is
    /// written: of two writes that are not synced a loss of power may keep the second alone, and
    /// a record behind a hole is taken for damage.
    fn write_all(&mut self, batches: Vec<replication::PersistBatch>) -> StoreResult<()> {
        let mut bytes = Vec::new();
        for batch in batches {
            if batch.is_full_rewrite {
                bytes.clear();
                self.replace(&batch)?;
                continue;
            }
            push_batch(&mut bytes, &batch);
            if let Some(snapshot) = batch.snapshot {
                // The shorter log behind the snapshot is made of this one, and synced.
                self.append(&std::mem::take(&mut bytes))?;
                self.keep_snapshot(&snapshot)?;
            }
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.append(&bytes)?;
        let path = self.folder.join(LOG_FILE);
        self.log.sync_data().context(disk("syncing", &path))
    }

    fn append(&mut self, bytes: &[u8]) -> StoreResult<()> {
        let path = self.folder.join(LOG_FILE);
        self.log.write_all(bytes).context(disk("writing", &path))
    }

    fn keep_snapshot(&mut self, snapshot: &wire::LogSnapshot) -> StoreResult<()> {
        write_snapshot(&self.folder, snapshot)?;
        let path = self.folder.join(LOG_FILE);
        let content = read_log(&path, &read_file(&path)?)?;
        let entries = after_snapshot(&path, content.entries, snapshot.mark)?;
        let hard = content.hard.unwrap_or_default();
        self.replace_log(hard, &entries)
    }

    /// Puts everything that a batch holds in place of what is there, in files of its own: nothing of
    /// it rests on bytes that an earlier sync may have lost. The snapshot comes first, so that a
    /// crash between the two leaves the old log behind a snapshot that covers its beginning.
    fn replace(&mut self, batch: &replication::PersistBatch) -> StoreResult<()> {
        if let Some(snapshot) = &batch.snapshot {
            write_snapshot(&self.folder, snapshot)?;
        }
        self.replace_log(batch.hard.unwrap_or_default(), &batch.entries)
    }

    fn replace_log(
        &mut self,
        hard: wire::HardState,
        entries: &[wire::LogEntry],
    ) -> StoreResult<()> {
        write_log(&self.folder, hard, entries)?;
        let path = self.folder.join(LOG_FILE);
        self.log = open_log(&path)?;
        self.log
            .seek(std::io::SeekFrom::End(0))
            .context(disk("seeking in", &path))?;
        Ok(())
    }
}

impl LogStore for FileStore {
    fn write(&mut self, batches: Vec<replication::PersistBatch>) -> StoreResult<()> {
        let is_whole = batches.first().is_some_and(|batch| batch.is_full_rewrite);
        if self.has_failed && !is_whole {
            let path = self.folder.clone();
            return Err(error::StoreError::Stopped { path });
        }
        let written = self.write_all(batches);
        self.has_failed = written.is_err();
        written
    }
}

fn disk<'a>(action: &'static str, path: &'a Path) -> error::DiskSnafu<&'static str, &'a Path> {
    error::DiskSnafu { action, path }
}

fn lock_folder(folder: &Path) -> StoreResult<fs::File> {
    let path = folder.join(LOCK_FILE);
    let mut options = fs::OpenOptions::new();
    let options = options.read(true).write(true).create(true).truncate(false);
    let file = options.open(&path).context(disk("opening", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => Err(error::StoreError::Locked { path }),
        Err(fs::TryLockError::Error(source)) => Err(error::StoreError::Disk {
            action: "locking",
            path,
            source,
        }),
    }
}

fn open_log(path: &Path) -> StoreResult<fs::File> {
    let mut options = fs::OpenOptions::new();
    let options = options.read(true).write(true);
    options.open(path).context(disk("opening", path))
}

fn read_file(path: &Path) -> StoreResult<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut file = fs::File::open(path).context(disk("opening", path))?;
    file.read_to_end(&mut bytes)
        .context(disk("reading", path))?;
    Ok(bytes)
}

/// Puts a file in place whole or not at all.
fn write_aside(folder: &Path, name: &str, bytes: &[u8]) -> StoreResult<()> {
    let path = folder.join(name);
    let aside = path.with_extension(ASIDE_SUFFIX);
    let mut file = fs::File::create(&aside).context(disk("making", &aside))?;
    file.write_all(bytes).context(disk("writing", &aside))?;
    file.sync_all().context(disk("syncing", &aside))?;
    fs::rename(&aside, &path).context(disk("renaming to", &path))?;
    let folder_file = fs::File::open(folder).context(disk("opening", folder))?;
    folder_file.sync_all().context(disk("syncing", folder))
}

fn write_snapshot(folder: &Path, snapshot: &wire::LogSnapshot) -> StoreResult<()> {
    let mut bytes = record::file_header(record::SNAPSHOT_MAGIC);
    record::push_record(&mut bytes, snapshot);
    write_aside(folder, SNAPSHOT_FILE, &bytes)
}

fn write_log(folder: &Path, hard: wire::HardState, entries: &[wire::LogEntry]) -> StoreResult<()> {
    let mut bytes = record::file_header(record::LOG_MAGIC);
    record::push_record(&mut bytes, &record::LogRecord::Hard(hard));
    for entry in entries {
        record::push_record(&mut bytes, &record::LogRecord::Entry(entry.clone()));
    }
    write_aside(folder, LOG_FILE, &bytes)
}

fn push_batch(bytes: &mut Vec<u8>, batch: &replication::PersistBatch) {
    if let Some(from) = batch.truncate {
        record::push_record(bytes, &record::LogRecord::Truncate(from));
    }
    for entry in &batch.entries {
        record::push_record(bytes, &record::LogRecord::Entry(entry.clone()));
    }
    if let Some(hard) = batch.hard {
        record::push_record(bytes, &record::LogRecord::Hard(hard));
    }
}

fn read_snapshot(path: &Path) -> StoreResult<Option<wire::LogSnapshot>> {
    if !path.exists() {
        return Ok(None);
    }
    let bytes = read_file(path)?;
    record::check_header(path, &bytes, record::SNAPSHOT_MAGIC)?;
    let first = record::FILE_HEADER_BYTES;
    let snapshot: wire::LogSnapshot = match record::read_record(path, &bytes, first)? {
        record::RecordRead::Whole { value, .. } => value,
        record::RecordRead::End | record::RecordRead::Torn => {
            let message = "the snapshot is cut".into();
            return Err(record::damaged(path, first, message));
        }
    };
    if !snapshot.catalogue.is_sound() {
        let message = "the catalogue does not match its digest".into();
        return Err(record::damaged(path, first, message));
    }
    Ok(Some(snapshot))
}

fn read_log(path: &Path, bytes: &[u8]) -> StoreResult<LogContent> {
    record::check_header(path, bytes, record::LOG_MAGIC)?;
    let mut content = LogContent::default();
    let mut offset = record::FILE_HEADER_BYTES;
    loop {
        match record::read_record(path, bytes, offset)? {
            record::RecordRead::Whole { value, next } => {
                take_record(path, &mut content, offset, value)?;
                offset = next;
            }
            record::RecordRead::End => break,
            record::RecordRead::Torn => {
                content.torn = bytes.len() - offset;
                break;
            }
        }
    }
    content.end = offset;
    Ok(content)
}

fn take_record(
    path: &Path,
    content: &mut LogContent,
    offset: usize,
    value: record::LogRecord,
) -> StoreResult<()> {
    match value {
        record::LogRecord::Hard(hard) => content.hard = Some(hard),
        record::LogRecord::Truncate(from) => {
            content.entries.retain(|entry| entry.position < from);
        }
        record::LogRecord::Entry(entry) => {
            let last = content.entries.last().map(|entry| entry.position);
            if last.is_some_and(|last| entry.position != last.next()) {
                let message = format!("position {} is out of order", entry.position);
                return Err(record::damaged(path, offset, message));
            }
            content.entries.push(entry);
        }
    }
    Ok(())
}

/// The entries that follow a snapshot; none when the snapshot is of another history.
fn after_snapshot(
    path: &Path,
    mut entries: Vec<wire::LogEntry>,
    mark: wire::LogMark,
) -> StoreResult<Vec<wire::LogEntry>> {
    let Some(first) = entries.first().map(|entry| entry.position) else {
        return Ok(entries);
    };
    if first == mark.position.next() {
        return Ok(entries);
    }
    if first > mark.position {
        let message = format!("positions {} to {first} are gone", mark.position.next());
        return Err(record::damaged(path, record::FILE_HEADER_BYTES, message));
    }
    let is_covered = |entry: &wire::LogEntry| entry.mark() == mark;
    match entries.iter().position(is_covered) {
        Some(place) => Ok(entries.split_off(place + 1)),
        None => Ok(Vec::new()),
    }
}
