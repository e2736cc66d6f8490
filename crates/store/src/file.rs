//! Data folder with one log file, one snapshot file and one lock file.
//!
//! The log is only appended to, in fragments by sector ([`crate::sector`]). A snapshot and the shortened log after it are each written to a
//! temporary file, synced and renamed, and the folder is synced; the snapshot comes first. A crash
//! between the two leaves a log that starts before the snapshot; it is shortened when the folder is
//! opened.

use std::{
    fs,
    io::{Read, Seek, Write},
    path::{Path, PathBuf},
};

use hazeltiller_engine::replication;
use hazeltiller_wire::replication as wire;
use snafu::ResultExt;

use crate::{LogStore, error, record, sector};

const LOCK_FILE: &str = "lock";
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const TEMPORARY_EXTENSION: &str = "new";
const DAMAGED_EXTENSION: &str = "damaged";

type StoreResult<T> = Result<T, error::StoreError>;

/// An open data folder.
#[derive(Debug)]
pub struct FileStore {
    folder: PathBuf,
    log: fs::File,
    /// Length of the log.
    log_bytes: usize,
    has_failed: bool,
    cut_bytes: u64,
    /// Holds the lock on the folder while it is open.
    _lock: fs::File,
}

/// Contents of a log file.
#[derive(Debug, Default)]
struct LogContent {
    hard_state: Option<wire::HardState>,
    entries: Vec<wire::LogEntry>,
    /// Offset of the end of the last complete record.
    valid_bytes: usize,
    /// Number of bytes after it, which belong to a write that was never synced.
    torn_bytes: usize,
    /// Whether the file is in an earlier format version.
    is_outdated: bool,
}

impl FileStore {
    /// Opens a folder and locks it. A folder without a log is initialized with the state that
    /// `initial_state` returns. Returns the stored state, and whether it existed before.
    pub fn open(
        folder: &Path,
        initial_state: impl FnOnce() -> wire::HardState,
    ) -> StoreResult<(Self, replication::RecoveredLog, bool)> {
        let lock = lock_folder(folder)?;
        Self::open_locked(folder, lock, initial_state)
    }

    /// Opens a folder whose log or snapshot is damaged. Renames both, so that they can be examined,
    /// and initializes the folder with a state that must belong to a new replica.
    pub fn replace_damaged(
        folder: &Path,
        initial_state: wire::HardState,
    ) -> StoreResult<(Self, replication::RecoveredLog)> {
        let lock = lock_folder(folder)?;
        set_aside(folder)?;
        let (store, recovered, _) = Self::open_locked(folder, lock, || initial_state)?;
        Ok((store, recovered))
    }

    fn open_locked(
        folder: &Path,
        lock: fs::File,
        initial_state: impl FnOnce() -> wire::HardState,
    ) -> StoreResult<(Self, replication::RecoveredLog, bool)> {
        let snapshot = read_snapshot(&folder.join(SNAPSHOT_FILE))?;
        let path = folder.join(LOG_FILE);
        let is_new = !path.exists();
        if is_new {
            if snapshot.is_some() {
                return Err(record::damaged(&path, 0, "the log file is missing".into()));
            }
            write_log(folder, initial_state(), &[])?;
        }
        let bytes = read_file(&path)?;
        let content = read_log(&path, &bytes)?;
        if content.torn_bytes > 0 {
            log::warn!(
                "{}: truncated {} bytes of a write that was never synced",
                path.display(),
                content.torn_bytes
            );
        }
        let entry_count = content.entries.len();
        let mark = snapshot.as_ref().map(|snapshot| snapshot.mark);
        let entries = entries_after(&path, content.entries, mark.unwrap_or_default())?;
        let hard = content.hard_state.ok_or_else(|| {
            record::damaged(
                &path,
                record::FILE_HEADER_BYTES,
                "the initial hard state is missing".into(),
            )
        })?;
        let is_replaced = content.is_outdated || entries.len() < entry_count;
        if is_replaced {
            write_log(folder, hard, &entries)?;
        }
        let mut log = open_log(&path)?;
        if !is_replaced {
            log.set_len(content.valid_bytes as u64)
                .context(disk_context("truncating", &path))?;
            log.sync_all().context(disk_context("syncing", &path))?;
        }
        let log_bytes = seek_end(&mut log, &path)?;
        let recovered = replication::RecoveredLog {
            hard,
            snapshot,
            entries,
        };
        let store = Self {
            folder: folder.into(),
            log,
            log_bytes,
            has_failed: false,
            cut_bytes: content.torn_bytes as u64,
            _lock: lock,
        };
        Ok((store, recovered, !is_new))
    }

    /// Number of bytes of an unsynced write that were cut off when the folder was opened.
    pub fn cut_bytes(&self) -> u64 {
        self.cut_bytes
    }

    /// Writes batches, joining adjacent ones into one write, and syncs each write before the next,
    /// as the fragments of the log require.
    fn write_all(&mut self, batches: Vec<replication::PersistBatch>) -> StoreResult<()> {
        let mut write = sector::SectorWrite::at(self.log_bytes);
        for batch in batches {
            if batch.is_full_rewrite {
                self.rewrite(&batch)?;
                write = sector::SectorWrite::at(self.log_bytes);
                continue;
            }
            push_batch(&mut write, &batch);
            if let Some(snapshot) = batch.snapshot {
                // The shortened log that follows the snapshot is derived from this one and synced.
                self.append(write)?;
                self.install_snapshot(&snapshot)?;
                write = sector::SectorWrite::at(self.log_bytes);
            }
        }
        if write.is_empty() {
            return Ok(());
        }
        self.append(write)?;
        let path = self.folder.join(LOG_FILE);
        self.log.sync_data().context(disk_context("syncing", &path))
    }

    fn append(&mut self, write: sector::SectorWrite) -> StoreResult<()> {
        let path = self.folder.join(LOG_FILE);
        let bytes = write.into_bytes();
        self.log
            .write_all(&bytes)
            .context(disk_context("writing", &path))?;
        self.log_bytes += bytes.len();
        Ok(())
    }

    /// Writes a snapshot, and the log without the entries that it covers.
    fn install_snapshot(&mut self, snapshot: &wire::LogSnapshot) -> StoreResult<()> {
        write_snapshot(&self.folder, snapshot)?;
        let path = self.folder.join(LOG_FILE);
        let content = read_log(&path, &read_file(&path)?)?;
        let entries = entries_after(&path, content.entries, snapshot.mark)?;
        let hard = content.hard_state.unwrap_or_default();
        self.replace_log(hard, &entries)
    }

    /// Replaces the stored state by the contents of a batch, in new files, so that nothing depends
    /// on data that an earlier failed sync may have lost. The snapshot is written first, so that a
    /// crash between the two leaves the old log with a snapshot that covers its beginning.
    fn rewrite(&mut self, batch: &replication::PersistBatch) -> StoreResult<()> {
        if let Some(snapshot) = &batch.snapshot {
            write_snapshot(&self.folder, snapshot)?;
        }
        self.replace_log(batch.hard.unwrap_or_default(), &batch.entries)
    }

    /// Replaces the log file and opens the new one for appending.
    fn replace_log(
        &mut self,
        hard: wire::HardState,
        entries: &[wire::LogEntry],
    ) -> StoreResult<()> {
        write_log(&self.folder, hard, entries)?;
        let path = self.folder.join(LOG_FILE);
        self.log = open_log(&path)?;
        self.log_bytes = seek_end(&mut self.log, &path)?;
        Ok(())
    }
}

impl LogStore for FileStore {
    fn write(&mut self, batches: Vec<replication::PersistBatch>) -> StoreResult<()> {
        let is_full_rewrite = batches.first().is_some_and(|batch| batch.is_full_rewrite);
        if self.has_failed && !is_full_rewrite {
            let path = self.folder.clone();
            return Err(error::StoreError::Stopped { path });
        }
        let result = self.write_all(batches);
        self.has_failed = result.is_err();
        result
    }
}

fn disk_context<'a>(
    action: &'static str,
    path: &'a Path,
) -> error::DiskSnafu<&'static str, &'a Path> {
    error::DiskSnafu { action, path }
}

/// Renames the log and the snapshot. A crash between the two leaves one of them, which counts as
/// damage again.
fn set_aside(folder: &Path) -> StoreResult<()> {
    for name in [LOG_FILE, SNAPSHOT_FILE] {
        let path = folder.join(name);
        if path.exists() {
            fs::rename(&path, path.with_extension(DAMAGED_EXTENSION))
                .context(disk_context("renaming", &path))?;
        }
    }
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> StoreResult<()> {
    let folder_file = fs::File::open(folder).context(disk_context("opening", folder))?;
    folder_file
        .sync_all()
        .context(disk_context("syncing", folder))
}

/// Creates the folder if it does not exist, and locks it.
fn lock_folder(folder: &Path) -> StoreResult<fs::File> {
    fs::create_dir_all(folder).context(disk_context("creating", folder))?;
    let path = folder.join(LOCK_FILE);
    let mut options = fs::OpenOptions::new();
    let options = options.read(true).write(true).create(true).truncate(false);
    let file = options
        .open(&path)
        .context(disk_context("opening", &path))?;
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
    options.open(path).context(disk_context("opening", path))
}

/// Moves to the end of a file and returns its length.
fn seek_end(file: &mut fs::File, path: &Path) -> StoreResult<usize> {
    let end = file.seek(std::io::SeekFrom::End(0));
    let end = end.context(disk_context("seeking in", path))?;
    Ok(end as usize)
}

pub(crate) fn read_file(path: &Path) -> StoreResult<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut file = fs::File::open(path).context(disk_context("opening", path))?;
    file.read_to_end(&mut bytes)
        .context(disk_context("reading", path))?;
    Ok(bytes)
}

/// Replaces a file atomically.
pub(crate) fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> StoreResult<()> {
    let path = folder.join(name);
    let temporary_path = path.with_extension(TEMPORARY_EXTENSION);
    let mut file =
        fs::File::create(&temporary_path).context(disk_context("creating", &temporary_path))?;
    file.write_all(bytes)
        .context(disk_context("writing", &temporary_path))?;
    file.sync_all()
        .context(disk_context("syncing", &temporary_path))?;
    fs::rename(&temporary_path, &path).context(disk_context("renaming to", &path))?;
    sync_folder(folder)
}

fn write_snapshot(folder: &Path, snapshot: &wire::LogSnapshot) -> StoreResult<()> {
    let mut bytes = record::file_header(record::SNAPSHOT_MAGIC);
    record::push_record(&mut bytes, snapshot);
    replace_file(folder, SNAPSHOT_FILE, &bytes)
}

fn write_log(folder: &Path, hard: wire::HardState, entries: &[wire::LogEntry]) -> StoreResult<()> {
    let mut records = vec![record::encode(&record::LogRecord::Hard(hard))];
    for entry in entries {
        records.push(record::encode(&record::LogRecord::Entry(entry.clone())));
    }
    let mut bytes = record::file_header(record::LOG_MAGIC);
    let write = sector::SectorWrite::initial(bytes.len(), &records);
    bytes.extend(write.into_bytes());
    replace_file(folder, LOG_FILE, &bytes)
}

fn push_batch(write: &mut sector::SectorWrite, batch: &replication::PersistBatch) {
    if let Some(from) = batch.truncate {
        write.push(&record::encode(&record::LogRecord::Truncate(from)));
    }
    for entry in &batch.entries {
        write.push(&record::encode(&record::LogRecord::Entry(entry.clone())));
    }
    if let Some(hard) = batch.hard {
        write.push(&record::encode(&record::LogRecord::Hard(hard)));
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
        record::RecordRead::Complete { value, .. } => value,
        record::RecordRead::End | record::RecordRead::Torn => {
            let message = "the snapshot is truncated".into();
            return Err(record::damaged(path, first, message));
        }
    };
    if !snapshot.catalogue.has_valid_digest() {
        let message = "the catalogue does not match its digest".into();
        return Err(record::damaged(path, first, message));
    }
    Ok(Some(snapshot))
}

fn read_log(path: &Path, bytes: &[u8]) -> StoreResult<LogContent> {
    let version = record::check_header(path, bytes, record::LOG_MAGIC)?;
    if version == record::UNDIVIDED_VERSION {
        return read_undivided_log(path, bytes);
    }
    let stored = sector::read_records(path, bytes, record::FILE_HEADER_BYTES)?;
    let mut content = LogContent::default();
    for stored in stored.records {
        let value = postcard::from_bytes(&stored.body);
        let value =
            value.map_err(|error| record::damaged(path, stored.offset, error.to_string()))?;
        apply_record(path, &mut content, stored.offset, value)?;
    }
    content.valid_bytes = stored.valid_bytes;
    content.torn_bytes = bytes.len() - stored.valid_bytes;
    Ok(content)
}

/// Reads a log whose records are not divided by sectors.
fn read_undivided_log(path: &Path, bytes: &[u8]) -> StoreResult<LogContent> {
    let mut content = LogContent {
        is_outdated: true,
        ..LogContent::default()
    };
    let mut offset = record::FILE_HEADER_BYTES;
    loop {
        match record::read_record(path, bytes, offset)? {
            record::RecordRead::Complete { value, next } => {
                apply_record(path, &mut content, offset, value)?;
                offset = next;
            }
            record::RecordRead::End => break,
            record::RecordRead::Torn => {
                content.torn_bytes = bytes.len() - offset;
                break;
            }
        }
    }
    content.valid_bytes = offset;
    Ok(content)
}

/// Applies a record to the log content before it.
fn apply_record(
    path: &Path,
    content: &mut LogContent,
    offset: usize,
    value: record::LogRecord,
) -> StoreResult<()> {
    match value {
        record::LogRecord::Hard(hard) => content.hard_state = Some(hard),
        record::LogRecord::Truncate(from) => {
            content.entries.retain(|entry| entry.position < from);
        }
        record::LogRecord::Entry(entry) => {
            let last = content.entries.last().map(|entry| entry.position);
            if last.is_some_and(|last| entry.position != last.next()) {
                let message = format!("log position {} is out of order", entry.position);
                return Err(record::damaged(path, offset, message));
            }
            content.entries.push(entry);
        }
    }
    Ok(())
}

/// Returns the entries that follow a snapshot; none if the log does not contain the snapshot's last
/// entry in the same term.
fn entries_after(
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
        let message = format!(
            "log positions from {} on are missing; the first one present is {first}",
            mark.position.next()
        );
        return Err(record::damaged(path, record::FILE_HEADER_BYTES, message));
    }
    let is_covered = |entry: &wire::LogEntry| entry.mark() == mark;
    match entries.iter().position(is_covered) {
        Some(index) => Ok(entries.split_off(index + 1)),
        None => Ok(Vec::new()),
    }
}
