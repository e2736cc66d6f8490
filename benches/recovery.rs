//! Recovery of a control from its data folder by length of the log, and the size of the catalogue
//! in memory and on disk.
//!
//! Run with `cargo bench --bench recovery`; prints one JSON line per result.

use std::time::Instant;

use hazeltiller_catalogue::{change, state as catalogue_state};
use hazeltiller_engine::{replication, settings};
use hazeltiller_store::{LogStore, file};
use hazeltiller_units::ids;
use hazeltiller_wire::{codec, replication as wire};
use serde_json::json;

/// Lengths of the log, in entries.
const LOG_LENGTHS: [u64; 3] = [1_000, 10_000, 100_000];
/// Position of the snapshot in the longest log.
const SNAPSHOT_POSITION: u64 = 90_000;
/// Size of the catalogue that the system is designed for.
const SERVICES: u64 = 56;
/// Routes of each service.
const ROUTES: u64 = 40;
/// Copies of the catalogue whose memory is measured.
const CATALOGUE_COPIES: usize = 50;
/// Entries that are written to the store at a time.
const BATCH_ENTRIES: usize = 1_000;
const TERM: ids::LeaderTerm = ids::LeaderTerm(1);

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    // Must run first: reuse of memory freed by other measurements would distort the result.
    measure_catalogue_size();
    for length in LOG_LENGTHS {
        measure_recovery(length, None);
    }
    measure_recovery(LOG_LENGTHS[2], Some(SNAPSHOT_POSITION));
}

fn change_set(put: serde_json::Value) -> change::ChangeSet {
    serde_json::from_value(json!({"put": put})).expect("the entries are valid")
}

/// Returns a change that puts a whole catalogue of the size that the system is designed for.
fn full_set() -> change::ChangeSet {
    let mut put = vec![
        json!({"kind": "class", "name": "counter", "owner": "registru", "class": "counter"}),
        json!({"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"}),
    ];
    for service in 0..SERVICES {
        put.push(
            json!({"kind": "service", "name": format!("service-{service}"),
            "owner": "registru", "class": "counter"}),
        );
        put.extend((0..ROUTES).map(|route| route_json(service, route, 5000)));
    }
    change_set(json!(put))
}

fn route_json(service: u64, route: u64, deadline_ms: u64) -> serde_json::Value {
    json!({"kind": "route", "name": format!("service-{service}-route-{route}"),
        "owner": "registru", "class": "counter", "service": format!("service-{service}"),
        "match": {"path_prefix": format!("/service-{service}/{route}"), "methods": ["GET"]},
        "limits": {"deadline_ms": deadline_ms}})
}

/// Returns the log entry at `position`: the first puts the whole catalogue, each later one changes
/// one route.
fn entry(position: u64) -> wire::LogEntry {
    let set = if position == 1 {
        full_set()
    } else {
        let route = position % (SERVICES * ROUTES);
        change_set(json!([route_json(
            route / ROUTES,
            route % ROUTES,
            1 + position % 9000
        )]))
    };
    wire::LogEntry {
        position: ids::LogPosition(position),
        term: TERM,
        payload: wire::LogPayload::Change(wire::LoggedChange {
            change_id: format!("change-{position}")
                .parse()
                .expect("the name is valid"),
            content: ids::StateDigest([1; 32]),
            accepted_at_ms: position,
            operator: None,
            set,
            revision: None,
        }),
    }
}

fn measure_recovery(length: u64, snapshot_at: Option<u64>) {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let hard = wire::HardState {
        replica: ids::ReplicaId(1),
        term: TERM,
        commit: ids::LogPosition(length),
        ..wire::HardState::default()
    };
    let opened = file::FileStore::open(folder.path(), || hard);
    let (mut store, _, _) = opened.expect("a new folder can be opened");
    let entries: Vec<_> = (1..=length).map(entry).collect();
    for entries in entries.chunks(BATCH_ENTRIES) {
        let batch = replication::PersistBatch {
            entries: entries.to_vec(),
            ..replication::PersistBatch::default()
        };
        store.write(vec![batch]).expect("the disk accepts writes");
    }
    if let Some(position) = snapshot_at {
        let mut catalogue = catalogue_state::CatalogueState::default();
        for entry in &entries[..position as usize] {
            if let wire::LogPayload::Change(change) = &entry.payload {
                catalogue.advance(&change.set, TERM);
            }
        }
        let batch = replication::PersistBatch {
            snapshot: Some(Box::new(wire::LogSnapshot {
                mark: entries[position as usize - 1].mark(),
                catalogue,
                ..wire::LogSnapshot::default()
            })),
            ..replication::PersistBatch::default()
        };
        let started = Instant::now();
        store.write(vec![batch]).expect("the disk accepts writes");
        let line = json!({"bench": "snapshot_written", "log_entries": length,
            "ms": started.elapsed().as_millis()});
        println!("{line}");
    }
    drop(store);
    let started = Instant::now();
    let opened = file::FileStore::open(folder.path(), || hard);
    let (_store, recovered, _) = opened.expect("the folder is intact");
    let read_time = started.elapsed();
    let tunables = settings::ReplicationTunables::default();
    let state = replication::ReplicationState::recover(recovered, &tunables);
    let total_time = started.elapsed();
    assert_eq!(
        state.committed().version.0,
        length,
        "recovery restores every version"
    );
    let line = json!({"bench": "recovery", "log_entries": length, "snapshot_at": snapshot_at,
        "read_ms": read_time.as_millis(), "total_ms": total_time.as_millis()});
    println!("{line}");
}

fn measure_catalogue_size() {
    let mut catalogue = catalogue_state::CatalogueState::default();
    catalogue.advance(&full_set(), TERM);
    let entries = catalogue.entries.len();
    let before = resident_bytes();
    let copies: Vec<_> = (0..CATALOGUE_COPIES).map(|_| catalogue.clone()).collect();
    let memory_bytes = (resident_bytes() - before) / CATALOGUE_COPIES as f64;
    let snapshot = wire::LogSnapshot {
        catalogue,
        ..wire::LogSnapshot::default()
    };
    let frame_bytes = codec::encode_frame(&snapshot).len();
    let encoded_bytes = postcard::to_stdvec(&snapshot)
        .expect("snapshots can be encoded")
        .len();
    let line = json!({"bench": "state_size", "entries": entries,
        "memory_bytes_per_entry": (memory_bytes / entries as f64).round(),
        "disk_bytes_per_entry": encoded_bytes / entries, "snapshot_disk_bytes": encoded_bytes,
        "snapshot_frame_bytes": frame_bytes});
    println!("{line}");
    drop(copies);
}

/// Returns the resident memory of this process.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("/proc is readable");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: f64 = number
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    kilobytes * 1024.0
}
