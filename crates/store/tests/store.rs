//! A data folder that was cut, flipped, held, filled or lost in part.

use std::{fs, path::Path};

use hazeltiller_catalogue::{change, state};
use hazeltiller_engine::replication;
use hazeltiller_store::{LogStore, error, file, record};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::replication as wire;

type Opened = Result<(file::FileStore, replication::RecoveredLog, bool), error::StoreError>;

fn open(folder: &Path) -> Opened {
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
            change_id: format!("change-{position}").parse().expect("it is a name"),
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
fn written(batches: Vec<replication::PersistBatch>) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let (mut store, _, was_there) = open(folder.path()).expect("it is new");
    assert!(!was_there);
    store.write(batches).expect("the disk is well");
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
fn batches_return() {
    let mut second = batch(vec![entry(2, 3)]);
    second.truncate = Some(ids::LogPosition(2));
    second.hard = Some(hard(3));
    let folder = written(vec![
        batch(vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
        second,
    ]);
    let (_store, recovered, was_there) = open(folder.path()).expect("it is whole");
    assert!(was_there);
    assert_eq!(recovered.hard, hard(3));
    assert_eq!(recovered.entries, [entry(1, 1), entry(2, 3)]);
}

#[test]
fn folder_held() {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let held = open(folder.path()).expect("it is new");
    let error = open(folder.path()).expect_err("another one holds it");
    assert_eq!(error.code(), code::ResultCode::StoreLocked);
    drop(held);
    open(folder.path()).expect("it is free again");
}

#[test]
fn tail_cut() {
    let folder = written(vec![batch(vec![entry(1, 1)])]);
    let path = folder.path().join("log");
    let before = fs::read(&path).expect("it was written").len();
    let (mut store, _, _) = open(folder.path()).expect("it is whole");
    store
        .write(vec![batch(vec![entry(2, 1)])])
        .expect("the disk is well");
    drop(store);
    let whole = fs::read(&path).expect("it was written");
    for length in before..whole.len() {
        fs::write(&path, &whole[..length]).expect("the folder is writable");
        let (mut store, recovered, _) = open(folder.path()).expect("the tail was never kept");
        assert_eq!(positions(&recovered), [1], "cut to {length} bytes");
        store
            .write(vec![batch(vec![entry(2, 5)])])
            .expect("the disk is well");
        drop(store);
        let (_, recovered, _) = open(folder.path()).expect("it is whole again");
        assert_eq!(recovered.entries, [entry(1, 1), entry(2, 5)]);
    }
}

#[test]
fn sectors_missing() {
    let many = (2..60).map(|position| entry(position, 1)).collect();
    let folder = written(vec![batch(vec![entry(1, 1)]), batch(many)]);
    let path = folder.path().join("log");
    let whole = fs::read(&path).expect("it was written");
    let first = 1024;
    assert!(whole.len() > 2 * first, "several sectors were written");
    let mut bytes = whole.clone();
    bytes[first..].fill(0);
    fs::write(&path, &bytes).expect("the folder is writable");
    let (_, recovered, _) = open(folder.path()).expect("the sectors were never kept");
    assert!(recovered.entries.len() > 1 && recovered.entries.len() < 59);
    let mut bytes = whole;
    bytes[first..first + 512].fill(0);
    fs::write(&path, &bytes).expect("the folder is writable");
    let error = open(folder.path()).expect_err("what follows shows that it was kept");
    assert_eq!(error.code(), code::ResultCode::StoreDamaged);
}

#[test]
fn bits_flipped() {
    let folder = written(vec![batch(vec![entry(1, 1), entry(2, 1)])]);
    let path = folder.path().join("log");
    let whole = fs::read(&path).expect("it was written");
    for place in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[place] ^= 1 << (place % 8);
        fs::write(&path, &bytes).expect("the folder is writable");
        let error = open(folder.path()).expect_err("a flipped bit is found");
        assert_eq!(error.code(), code::ResultCode::StoreDamaged, "byte {place}");
        let text = error.to_string();
        assert!(
            text.contains("start the instance with an empty one"),
            "{text}"
        );
        let left = fs::read(&path).expect("it is there");
        assert_eq!(left, bytes, "what is damaged stays as it is found");
    }
}

#[test]
fn other_format() {
    let folder = written(Vec::new());
    let path = folder.path().join("log");
    let mut bytes = fs::read(&path).expect("it was written");
    let mut header = record::LOG_MAGIC.to_vec();
    header.extend_from_slice(&(record::FORMAT_VERSION + 1).to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
    bytes[..header.len()].copy_from_slice(&header);
    fs::write(&path, &bytes).expect("the folder is writable");
    let error = open(folder.path()).expect_err("another version wrote it");
    assert_eq!(error.code(), code::ResultCode::StoreFormat);
}

#[test]
fn snapshot_replaces() {
    let entries = || (1..=6).map(|position| entry(position, 1)).collect();
    // The mark, and the positions that follow it in the log afterwards.
    let table: [(u64, u64, &[u64]); 3] = [(4, 1, &[5, 6]), (4, 2, &[]), (9, 1, &[])];
    for (position, term, kept) in table {
        let mut second = batch(Vec::new());
        second.snapshot = Some(snapshot(position, term));
        let folder = written(vec![batch(entries()), second]);
        let (_, recovered, _) = open(folder.path()).expect("it is whole");
        let held = recovered.snapshot.as_ref().expect("it was written");
        assert_eq!(held.mark, entry(position, term).mark());
        assert_eq!(positions(&recovered), kept);
    }
}

#[test]
fn crash_between() {
    let entries = (1..=6).map(|position| entry(position, 1)).collect();
    let folder = written(vec![batch(entries)]);
    let path = folder.path().join("log");
    let log = fs::read(&path).expect("it was written");
    let (mut store, _, _) = open(folder.path()).expect("it is whole");
    let mut second = batch(Vec::new());
    second.snapshot = Some(snapshot(4, 1));
    store.write(vec![second]).expect("the disk is well");
    drop(store);
    fs::write(&path, &log).expect("the folder is writable");
    let (_, recovered, _) = open(folder.path()).expect("the snapshot came first");
    assert_eq!(positions(&recovered), [5, 6]);
    fs::remove_file(folder.path().join("snapshot")).expect("it is there");
    let error = open(folder.path()).expect_err("entries 1 to 4 are gone");
    assert_eq!(error.code(), code::ResultCode::StoreDamaged);
    fs::remove_file(&path).expect("it is there");
}

/// A whole batch: what a control holds at a position, and the entries after it.
fn whole(position: u64, term: u64, entries: Vec<wire::LogEntry>) -> replication::PersistBatch {
    replication::PersistBatch {
        is_full_rewrite: true,
        hard: Some(hard(term)),
        snapshot: Some(snapshot(position, term)),
        entries,
        ..replication::PersistBatch::default()
    }
}

#[test]
fn whole_replaces() {
    // What the log held, and a whole batch after it.
    let table = [
        (Vec::new(), whole(0, 1, vec![entry(1, 1)])),
        (
            (1..=6).map(|at| entry(at, 1)).collect(),
            whole(4, 2, vec![entry(5, 2)]),
        ),
        (
            (1..=2).map(|at| entry(at, 1)).collect(),
            whole(7, 3, Vec::new()),
        ),
    ];
    for (entries, whole) in table {
        let folder = written(vec![batch(entries), whole.clone()]);
        let (mut store, recovered, _) = open(folder.path()).expect("it is whole");
        assert_eq!(recovered.hard, whole.hard.expect("it holds one"));
        assert_eq!(recovered.snapshot, whole.snapshot.map(|snapshot| *snapshot));
        assert_eq!(recovered.entries, whole.entries);
        let next = recovered.entries.last().map(|last| last.position.next());
        let next = next.unwrap_or(ids::LogPosition(8));
        store
            .write(vec![batch(vec![entry(next.0, 4)])])
            .expect("it goes on behind it");
    }
}

/// A process dies while everything is written anew: the snapshot is there, the log is still the one
/// that the disk refused to go on with, to the byte at which it refused.
#[test]
fn crash_in_whole() {
    let folder = written(vec![batch((1..=6).map(|at| entry(at, 1)).collect())]);
    let path = folder.path().join("log");
    let log = fs::read(&path).expect("it was written");
    let (mut store, _, _) = open(folder.path()).expect("it is whole");
    store
        .write(vec![whole(
            4,
            1,
            vec![entry(5, 1), entry(6, 1), entry(7, 1)],
        )])
        .expect("the disk is well");
    drop(store);
    // Entries that are found behind the snapshot; what was acknowledged up to 4 is in it.
    let behind = |length: usize| {
        fs::write(&path, &log[..length]).expect("the folder is writable");
        let (_, recovered, _) = open(folder.path()).expect("the snapshot came first");
        assert_eq!(
            recovered.snapshot.as_ref().map(|one| one.mark.position.0),
            Some(4)
        );
        positions(&recovered)
    };
    assert_eq!(behind(log.len()), [5, 6]);
    assert_eq!(
        behind(log.len() - 1),
        [5],
        "the record that was refused is torn"
    );
    let header = record::FILE_HEADER_BYTES + record::RECORD_HEADER_BYTES;
    let first = u32::from_le_bytes(log[16..20].try_into().expect("four bytes")) as usize;
    assert!(
        behind(header + first).is_empty(),
        "only the state beside the log"
    );
}

#[test]
fn disk_full() {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let (mut store, _, _) = open(folder.path()).expect("it is new");
    store
        .write(vec![batch(vec![entry(1, 1)])])
        .expect("the disk is well");
    // A folder in the way of the file that is written aside stands for a disk that refuses.
    fs::create_dir(folder.path().join("snapshot.new")).expect("the folder is writable");
    let mut second = batch(Vec::new());
    second.snapshot = Some(snapshot(1, 1));
    let error = store.write(vec![second]).expect_err("the disk refuses");
    assert_eq!(error.code(), code::ResultCode::StoreFailed);
    fs::remove_dir(folder.path().join("snapshot.new")).expect("it is empty");
    let again = store.write(vec![batch(vec![entry(2, 1)])]);
    let error = again.expect_err("what failed once keeps nothing more");
    assert_eq!(error.code(), code::ResultCode::StoreFailed);
    drop(store);
    let (_, recovered, _) = open(folder.path()).expect("it is whole");
    assert_eq!(positions(&recovered), [1]);
}

#[test]
fn refused_then_whole() {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let (mut store, _, _) = open(folder.path()).expect("it is new");
    let obstacle = folder.path().join("snapshot.new");
    fs::create_dir(&obstacle).expect("the folder is writable");
    for _ in 0..2 {
        let refused = store.write(vec![whole(1, 1, vec![entry(2, 1)])]);
        let error = refused.expect_err("the disk refuses");
        assert_eq!(error.code(), code::ResultCode::StoreFailed);
    }
    fs::remove_dir(&obstacle).expect("it is empty");
    let part = store.write(vec![batch(vec![entry(2, 1)])]);
    part.expect_err("only everything can follow what was refused");
    store
        .write(vec![
            whole(1, 1, vec![entry(2, 1)]),
            batch(vec![entry(3, 1)]),
        ])
        .expect("the disk is well again");
    store
        .write(vec![batch(vec![entry(4, 1)])])
        .expect("the store has returned");
    drop(store);
    let (_, recovered, _) = open(folder.path()).expect("it is whole");
    assert_eq!(positions(&recovered), [2, 3, 4]);
}
