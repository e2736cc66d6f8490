//! Tests a data folder whose files are truncated, damaged, locked, incomplete or on a failing disk.

use std::{fs, path::Path};

use hazeltiller_catalogue::{change, state};
use hazeltiller_engine::replication;
use hazeltiller_store::{LogStore, error, file, record};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::replication as wire;

type OpenResult = Result<(file::FileStore, replication::RecoveredLog, bool), error::StoreError>;

fn open(folder: &Path) -> OpenResult {
    file::FileStore::open(folder, || wire::HardState {
        replica: ids::ReplicaId(7),
        ..wire::HardState::default()
    })
}

fn entry(position: u64, term: u64) -> wire::LogEntry {
    wire::LogEntry {
        position: ids::LogPosition(position),
        term: ids::LeaderTerm(term),
        payload: wire::LogPayload::Change(wire::LoggedChange {
            change_id: format!("change-{position}").parse().expect("valid name"),
            content: ids::StateDigest([9; 32]),
            accepted_at_ms: position,
            operator: None,
            set: change::ChangeSet::default(),
            revision: None,
        }),
    }
}

fn batch(entries: Vec<wire::LogEntry>) -> replication::PersistBatch {
    replication::PersistBatch {
        entries,
        ..replication::PersistBatch::default()
    }
}

fn hard(term: u64) -> wire::HardState {
    wire::HardState {
        replica: ids::ReplicaId(7),
        term: ids::LeaderTerm(term),
        ..wire::HardState::default()
    }
}

/// Writes batches to a new folder and closes it.
fn write_folder(batches: Vec<replication::PersistBatch>) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (mut store, _, existed) = open(folder.path()).expect("the folder opens");
    assert!(!existed);
    store.write(batches).expect("the write succeeds");
    folder
}

fn positions(recovered: &replication::RecoveredLog) -> Vec<u64> {
    let positions = recovered.entries.iter().map(|entry| entry.position.0);
    positions.collect()
}

fn snapshot(position: u64, term: u64) -> Box<wire::LogSnapshot> {
    Box::new(wire::LogSnapshot {
        mark: entry(position, term).mark(),
        catalogue: state::CatalogueState::default(),
        ..wire::LogSnapshot::default()
    })
}

#[test]
fn batches_restored() {
    let mut second = batch(vec![entry(2, 3)]);
    second.truncate = Some(ids::LogPosition(2));
    second.hard = Some(hard(3));
    let folder = write_folder(vec![
        batch(vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
        second,
    ]);
    let (_store, recovered, existed) = open(folder.path()).expect("the folder opens");
    assert!(existed);
    assert_eq!(recovered.hard, hard(3));
    assert_eq!(recovered.entries, [entry(1, 1), entry(2, 3)]);
}

#[test]
fn folder_locked() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let locked_store = open(folder.path()).expect("the folder opens");
    let error = open(folder.path()).expect_err("the folder is locked");
    assert_eq!(error.code(), code::ResultCode::StoreLocked);
    drop(locked_store);
    open(folder.path()).expect("the lock is released");
}

#[test]
fn truncated_tail() {
    let folder = write_folder(vec![batch(vec![entry(1, 1)])]);
    let path = folder.path().join("log");
    let before = fs::read(&path).expect("the file exists").len();
    let (mut store, _, _) = open(folder.path()).expect("the folder opens");
    store
        .write(vec![batch(vec![entry(2, 1)])])
        .expect("the write succeeds");
    drop(store);
    let whole = fs::read(&path).expect("the file exists");
    for length in before..whole.len() {
        fs::write(&path, &whole[..length]).expect("the folder is writable");
        let (mut store, recovered, _) =
            open(folder.path()).expect("an incomplete tail is not damage");
        assert_eq!(positions(&recovered), [1], "truncated to {length} bytes");
        store
            .write(vec![batch(vec![entry(2, 5)])])
            .expect("the write succeeds");
        drop(store);
        let (_, recovered, _) = open(folder.path()).expect("the folder opens");
        assert_eq!(recovered.entries, [entry(1, 1), entry(2, 5)]);
    }
}

#[test]
fn missing_sectors() {
    let entries = (2..60).map(|position| entry(position, 1)).collect();
    let folder = write_folder(vec![batch(vec![entry(1, 1)]), batch(entries)]);
    let path = folder.path().join("log");
    let whole = fs::read(&path).expect("the file exists");
    let first = 1024;
    assert!(whole.len() > 2 * first, "the log spans several sectors");
    let mut bytes = whole.clone();
    bytes[first..].fill(0);
    fs::write(&path, &bytes).expect("the folder is writable");
    let (_, recovered, _) = open(folder.path()).expect("an unwritten tail is not damage");
    assert!(recovered.entries.len() > 1 && recovered.entries.len() < 59);
    let mut bytes = whole.clone();
    bytes[first..first + 512].fill(0);
    fs::write(&path, &bytes).expect("the folder is writable");
    let (_, recovered, _) = open(folder.path()).expect("a gap in an unsynced write is not damage");
    assert!(recovered.entries.len() > 1 && recovered.entries.len() < 59);
    fs::write(&path, &whole).expect("the folder is writable");
    let (mut store, _, _) = open(folder.path()).expect("the folder opens");
    store
        .write(vec![batch(vec![entry(60, 1)])])
        .expect("the write succeeds");
    drop(store);
    let mut bytes = fs::read(&path).expect("the file exists");
    bytes[first..first + 512].fill(0);
    fs::write(&path, &bytes).expect("the folder is writable");
    let error = open(folder.path()).expect_err("a later write proves that the gap was written");
    assert_eq!(error.code(), code::ResultCode::StoreDamaged);
}

#[test]
fn flipped_bits() {
    let folder = write_folder(vec![batch(vec![entry(1, 1), entry(2, 1)])]);
    let path = folder.path().join("log");
    let whole = fs::read(&path).expect("the file exists");
    for offset in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[offset] ^= 1 << (offset % 8);
        fs::write(&path, &bytes).expect("the folder is writable");
        let error = open(folder.path()).expect_err("a flipped bit is detected");
        assert_eq!(
            error.code(),
            code::ResultCode::StoreDamaged,
            "byte {offset}"
        );
        let text = error.to_string();
        assert!(
            text.contains("start the instance with an empty one"),
            "{text}"
        );
        let left = fs::read(&path).expect("the file exists");
        assert_eq!(left, bytes, "the damaged file is not modified");
    }
}

#[test]
fn other_format() {
    let folder = write_folder(Vec::new());
    let path = folder.path().join("log");
    let mut bytes = fs::read(&path).expect("the file exists");
    let mut header = record::LOG_MAGIC.to_vec();
    header.extend_from_slice(&(record::FORMAT_VERSION + 1).to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
    bytes[..header.len()].copy_from_slice(&header);
    fs::write(&path, &bytes).expect("the folder is writable");
    let error = open(folder.path()).expect_err("the format version is not supported");
    assert_eq!(error.code(), code::ResultCode::StoreFormat);
}

#[test]
fn snapshot_replaces() {
    let entries = || (1..=6).map(|position| entry(position, 1)).collect();
    // The snapshot's mark, and the positions that remain in the log after it.
    let table: [(u64, u64, &[u64]); 3] = [(4, 1, &[5, 6]), (4, 2, &[]), (9, 1, &[])];
    for (position, term, kept) in table {
        let mut second = batch(Vec::new());
        second.snapshot = Some(snapshot(position, term));
        let folder = write_folder(vec![batch(entries()), second]);
        let (_, recovered, _) = open(folder.path()).expect("the folder opens");
        let stored = recovered.snapshot.as_ref().expect("a snapshot exists");
        assert_eq!(stored.mark, entry(position, term).mark());
        assert_eq!(positions(&recovered), kept);
    }
}

#[test]
fn crash_after_snapshot() {
    let entries = (1..=6).map(|position| entry(position, 1)).collect();
    let folder = write_folder(vec![batch(entries)]);
    let path = folder.path().join("log");
    let log = fs::read(&path).expect("the file exists");
    let (mut store, _, _) = open(folder.path()).expect("the folder opens");
    let mut second = batch(Vec::new());
    second.snapshot = Some(snapshot(4, 1));
    store.write(vec![second]).expect("the write succeeds");
    drop(store);
    fs::write(&path, &log).expect("the folder is writable");
    let (_, recovered, _) = open(folder.path()).expect("the log may start before the snapshot");
    assert_eq!(positions(&recovered), [5, 6]);
    fs::remove_file(folder.path().join("snapshot")).expect("the file exists");
    let error = open(folder.path()).expect_err("entries 1 to 4 are missing");
    assert_eq!(error.code(), code::ResultCode::StoreDamaged);
    fs::remove_file(&path).expect("the file exists");
}

/// Returns a full-rewrite batch: hard state, a snapshot at a position, and the entries after it.
fn full_rewrite(
    position: u64,
    term: u64,
    entries: Vec<wire::LogEntry>,
) -> replication::PersistBatch {
    replication::PersistBatch {
        is_full_rewrite: true,
        hard: Some(hard(term)),
        snapshot: Some(snapshot(position, term)),
        entries,
        ..replication::PersistBatch::default()
    }
}

#[test]
fn rewrite_replaces() {
    // Entries in the log, and the full rewrite that replaces them.
    let table = [
        (Vec::new(), full_rewrite(0, 1, vec![entry(1, 1)])),
        (
            (1..=6).map(|at| entry(at, 1)).collect(),
            full_rewrite(4, 2, vec![entry(5, 2)]),
        ),
        (
            (1..=2).map(|at| entry(at, 1)).collect(),
            full_rewrite(7, 3, Vec::new()),
        ),
    ];
    for (entries, rewrite) in table {
        let folder = write_folder(vec![batch(entries), rewrite.clone()]);
        let (mut store, recovered, _) = open(folder.path()).expect("the folder opens");
        assert_eq!(
            recovered.hard,
            rewrite.hard.expect("the batch has a hard state")
        );
        assert_eq!(
            recovered.snapshot,
            rewrite.snapshot.map(|snapshot| *snapshot)
        );
        assert_eq!(recovered.entries, rewrite.entries);
        let next = recovered.entries.last().map(|last| last.position.next());
        let next = next.unwrap_or(ids::LogPosition(8));
        store
            .write(vec![batch(vec![entry(next.0, 4)])])
            .expect("later entries are accepted");
    }
}

/// The process crashes during a full rewrite: the snapshot is in place, but the log is still the
/// old one, incomplete from the byte at which the disk failed.
#[test]
fn crash_during_rewrite() {
    let folder = write_folder(Vec::new());
    let path = folder.path().join("log");
    let initial = fs::read(&path).expect("the file exists");
    let (mut store, _, _) = open(folder.path()).expect("the folder opens");
    store
        .write(vec![batch((1..=6).map(|at| entry(at, 1)).collect())])
        .expect("the write succeeds");
    drop(store);
    let log = fs::read(&path).expect("the file exists");
    let (mut store, _, _) = open(folder.path()).expect("the folder opens");
    store
        .write(vec![full_rewrite(
            4,
            1,
            vec![entry(5, 1), entry(6, 1), entry(7, 1)],
        )])
        .expect("the write succeeds");
    drop(store);
    // Returns the positions found after the snapshot. Entries acknowledged up to 4 are covered by
    // it.
    let remaining_positions = |length: usize| {
        fs::write(&path, &log[..length]).expect("the folder is writable");
        let (_, recovered, _) = open(folder.path()).expect("the log may start before the snapshot");
        assert_eq!(
            recovered
                .snapshot
                .as_ref()
                .map(|snapshot| snapshot.mark.position.0),
            Some(4)
        );
        positions(&recovered)
    };
    assert_eq!(remaining_positions(log.len()), [5, 6]);
    assert_eq!(
        remaining_positions(log.len() - 1),
        [5],
        "the last record is incomplete"
    );
    assert!(
        remaining_positions(initial.len()).is_empty(),
        "only the hard state remains"
    );
    for length in (initial.len()..log.len()).step_by(3) {
        let remaining = remaining_positions(length);
        assert!([5, 6].starts_with(&remaining) && remaining.len() < 2);
    }
}

/// A file that was synced before it got its name is damaged if any of it is missing.
#[test]
fn initial_content_truncated() {
    let folder = write_folder(vec![full_rewrite(
        0,
        1,
        (1..40).map(|at| entry(at, 1)).collect(),
    )]);
    let path = folder.path().join("log");
    let whole = fs::read(&path).expect("the file exists");
    for length in (record::FILE_HEADER_BYTES..whole.len()).step_by(13) {
        fs::write(&path, &whole[..length]).expect("the folder is writable");
        let error = open(folder.path()).expect_err("all of the file was synced");
        assert_eq!(error.code(), code::ResultCode::StoreDamaged);
    }
}

/// A log without fragments, as earlier versions wrote it, is read and replaced.
#[test]
fn undivided_log_converted() {
    let folder = write_folder(Vec::new());
    let path = folder.path().join("log");
    let mut log = record::LOG_MAGIC.to_vec();
    log.extend_from_slice(&record::UNDIVIDED_VERSION.to_le_bytes());
    log.extend_from_slice(&crc32fast::hash(&log).to_le_bytes());
    record::push_record(&mut log, &record::LogRecord::Hard(hard(3)));
    for position in 1..=3 {
        record::push_record(&mut log, &record::LogRecord::Entry(entry(position, 1)));
    }
    fs::write(&path, &log[..log.len() - 1]).expect("the folder is writable");
    for _ in 0..2 {
        let (_, recovered, existed) = open(folder.path()).expect("the folder opens");
        assert!(existed);
        assert_eq!(recovered.hard, hard(3));
        assert_eq!(
            positions(&recovered),
            [1, 2],
            "the third record is incomplete"
        );
    }
    let converted = fs::read(&path).expect("the file exists");
    assert_eq!(converted[8..12], record::FORMAT_VERSION.to_le_bytes());
    let (mut store, _, _) = open(folder.path()).expect("the folder opens");
    store
        .write(vec![batch(vec![entry(3, 2)])])
        .expect("the write succeeds");
}

#[test]
fn disk_full() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (mut store, _, _) = open(folder.path()).expect("the folder opens");
    store
        .write(vec![batch(vec![entry(1, 1)])])
        .expect("the write succeeds");
    // A folder at the path of the temporary file makes the write fail as on a full disk.
    fs::create_dir(folder.path().join("snapshot.new")).expect("the folder is writable");
    let mut second = batch(Vec::new());
    second.snapshot = Some(snapshot(1, 1));
    let error = store.write(vec![second]).expect_err("the write fails");
    assert_eq!(error.code(), code::ResultCode::StoreFailed);
    fs::remove_dir(folder.path().join("snapshot.new")).expect("the folder is empty");
    let again = store.write(vec![batch(vec![entry(2, 1)])]);
    let error = again.expect_err("writes fail after a failure");
    assert_eq!(error.code(), code::ResultCode::StoreFailed);
    drop(store);
    let (_, recovered, _) = open(folder.path()).expect("the folder opens");
    assert_eq!(positions(&recovered), [1]);
}

#[test]
fn rewrite_after_failure() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (mut store, _, _) = open(folder.path()).expect("the folder opens");
    let obstacle = folder.path().join("snapshot.new");
    fs::create_dir(&obstacle).expect("the folder is writable");
    for _ in 0..2 {
        let refused = store.write(vec![full_rewrite(1, 1, vec![entry(2, 1)])]);
        let error = refused.expect_err("the write fails");
        assert_eq!(error.code(), code::ResultCode::StoreFailed);
    }
    fs::remove_dir(&obstacle).expect("the folder is empty");
    let part = store.write(vec![batch(vec![entry(2, 1)])]);
    part.expect_err("only a full rewrite is accepted after a failure");
    store
        .write(vec![
            full_rewrite(1, 1, vec![entry(2, 1)]),
            batch(vec![entry(3, 1)]),
        ])
        .expect("the full rewrite succeeds");
    store
        .write(vec![batch(vec![entry(4, 1)])])
        .expect("later writes succeed");
    drop(store);
    let (_, recovered, _) = open(folder.path()).expect("the folder opens");
    assert_eq!(positions(&recovered), [2, 3, 4]);
}
