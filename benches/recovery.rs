//! Recovery of a control from its folder by length of the log, and the size of its state.
//!
//! Run with `cargo bench --bench recovery`; prints one JSON line a figure.

use std::time::Instant;

use hazeltiller_catalogue::{change, state as catalogue_state};
use hazeltiller_engine::{replication, settings};
use hazeltiller_store::{LogStore, file};
use hazeltiller_units::ids;
use hazeltiller_wire::{codec, replication as wire};
use serde_json::json;

const LENGTHS: [u64; 3] = [1_000, 10_000, 100_000];
const SNAPSHOT_AT: u64 = 90_000;
const SERVICES: u64 = 56;
const ROUTES: u64 = 40;
const COPIES: usize = 50;
const BATCH: usize = 1_000;
const TERM: ids::LeaderTerm = ids::LeaderTerm(1);

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    // First, while no freed memory hides what it takes.
    measure_size();
    for length in LENGTHS {
        measure_recovery(length, None);
    }
    measure_recovery(LENGTHS[2], Some(SNAPSHOT_AT));
}

fn set(put: serde_json::Value) -> change::ChangeSet {
    serde_json::from_value(json!({"put": put})).expect("the entries are valid")
}

/// A whole catalogue of the size to design for.
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
    set(json!(put))
}

fn route_json(service: u64, route: u64, deadline_ms: u64) -> serde_json::Value {
    json!({"kind": "route", "name": format!("service-{service}-route-{route}"),
        "owner": "registru", "class": "counter", "service": format!("service-{service}"),
        "match": {"path_prefix": format!("/service-{service}/{route}"), "methods": ["GET"]},
        "limits": {"deadline_ms": deadline_ms}})
}

/// Entry `position` of the log: the whole catalogue first, then one route after another.
fn entry(position: u64) -> wire::LogEntry {
    let set = if position == 1 {
        full_set()
    } else {
        let route = position % (SERVICES * ROUTES);
        set(json!([route_json(
            route / ROUTES,
            route % ROUTES,
            1 + position % 9000
        )]))
    };
    wire::LogEntry {
        position: ids::LogPosition(position),
        term: TERM,
        payload: wire::LogPayload::Change(wire::LoggedChange {
            change_id: format!("change-{position}").parse().expect("it is a name"),
            content: ids::StateDigest([1; 32]),
            accepted_at_ms: position,
            operator: None,
            set,
            revision: None,
        }),
    }
}

fn measure_recovery(length: u64, snapshot_at: Option<u64>) {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let hard = wire::HardState {
        replica: ids::ReplicaId(1),
        term: TERM,
        commit: ids::LogPosition(length),
        ..wire::HardState::default()
    };
    let opened = file::FileStore::open(folder.path(), || hard);
    let (mut store, _, _) = opened.expect("the folder is new");
    let entries: Vec<_> = (1..=length).map(entry).collect();
    for entries in entries.chunks(BATCH) {
        let batch = replication::PersistBatch {
            entries: entries.to_vec(),
            ..replication::PersistBatch::default()
        };
        store.write(vec![batch]).expect("the disk is well");
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
        store.write(vec![batch]).expect("the disk is well");
        let line = json!({"bench": "snapshot_written", "log_entries": length,
            "ms": started.elapsed().as_millis()});
        println!("{line}");
    }
    drop(store);
    let started = Instant::now();
    let opened = file::FileStore::open(folder.path(), || hard);
    let (_store, recovered, _) = opened.expect("the folder is whole");
    let read = started.elapsed();
    let tunables = settings::ReplicationTunables::default();
    let state = replication::ReplicationState::recover(recovered, &tunables);
    let took = started.elapsed();
    assert_eq!(
        state.committed().version.0,
        length,
        "everything is recovered"
    );
    let line = json!({"bench": "recovery", "log_entries": length, "snapshot_at": snapshot_at,
        "read_ms": read.as_millis(), "total_ms": took.as_millis()});
    println!("{line}");
}

fn measure_size() {
    let mut catalogue = catalogue_state::CatalogueState::default();
    catalogue.advance(&full_set(), TERM);
    let entries = catalogue.entries.len();
    let before = resident_bytes();
    let copies: Vec<_> = (0..COPIES).map(|_| catalogue.clone()).collect();
    let memory = (resident_bytes() - before) / COPIES as f64;
    let snapshot = wire::LogSnapshot {
        catalogue,
        ..wire::LogSnapshot::default()
    };
    let frame = codec::encode_frame(&snapshot).len();
    let plain = postcard::to_stdvec(&snapshot)
        .expect("maps know their length")
        .len();
    let line = json!({"bench": "state_size", "entries": entries,
        "memory_bytes_per_entry": (memory / entries as f64).round(),
        "disk_bytes_per_entry": plain / entries, "snapshot_disk_bytes": plain,
        "snapshot_frame_bytes": frame});
    println!("{line}");
    drop(copies);
}

/// Memory of this process, by the kernel's accounting.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the kernel tells it");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: f64 = number
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    kilobytes * 1024.0
}
