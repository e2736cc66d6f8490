//! Commit rate and latency of the control group by its size, and its unavailability after the
//! leader is killed.
//!
//! Run with `cargo bench --bench replication`; prints one JSON line per result. Every control
//! stores its log below the system's temporary folder and syncs it to disk; the sync time of that
//! disk is measured for comparison.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use hazeltiller_catalogue::change;
use hazeltiller_daemon::{process, questions, settings};
use hazeltiller_engine::replication;
use hazeltiller_testkit::{fleet, wait};
use serde_json::{Value, json};
use tokio::time;

const GROUP_SIZES: [usize; 3] = [1, 3, 5];
/// Changes that are proposed one after another.
const SEQUENTIAL_CHANGES: u64 = 500;
/// Changes that are proposed concurrently.
const PIPELINED_CHANGES: u64 = 5_000;
const LEADER_KILLS: usize = 10;
const SYNCS: usize = 500;
const SYNC_BYTES: usize = 512;
/// Size of the catalogue that the system is designed for.
const SERVICES: usize = 56;
/// Routes of each service.
const ROUTES: usize = 40;
const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be started");
    measure_disk();
    for size in GROUP_SIZES {
        runtime.block_on(measure_group(size));
    }
    runtime.block_on(measure_full_catalogue());
    runtime.block_on(measure_kills());
}

fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e5).round() / 100.0
}

fn percentile(sorted: &[Duration], percent: usize) -> f64 {
    millis(sorted[(sorted.len() - 1) * percent / 100])
}

fn measure_disk() {
    let mut file = tempfile::tempfile().expect("a temporary file can be created");
    let mut times = Vec::new();
    for _ in 0..SYNCS {
        let started = Instant::now();
        file.write_all(&[1; SYNC_BYTES])
            .expect("the disk accepts writes");
        file.sync_data().expect("the disk accepts writes");
        times.push(started.elapsed());
    }
    times.sort_unstable();
    let line = json!({"bench": "disk_sync", "bytes": SYNC_BYTES,
        "p50_ms": percentile(&times, 50), "p99_ms": percentile(&times, 99)});
    println!("{line}");
}

/// Control group that runs in this process, each control with its own data folder.
struct BenchGroup {
    controls: Vec<process::RunningProcess>,
    _folder: tempfile::TempDir,
}

impl BenchGroup {
    async fn start(size: usize) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let listeners: Vec<TcpListener> = (0..size)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("loopback has a free port"))
            .collect();
        let addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("the listener is bound"))
            .collect();
        drop(listeners);
        let mut controls = Vec::new();
        for (index, address) in addresses.iter().enumerate() {
            let text = json!({
                "instance": format!("control-{index}"), "data_centre": "brasov-a",
                "region": "ro-centru", "roles": ["control"], "listen": {"peers": address},
                "control": addresses, "data_folder": folder.path().join(index.to_string()),
            });
            let parsed = settings::ProcessSettings::parse(&text.to_string());
            let parsed = parsed.expect("the settings are valid");
            let options = process::StartOptions {
                bootstrap: true,
                ..process::StartOptions::default()
            };
            let started = process::start(&parsed, options).await;
            controls.push(started.expect("the control can be started"));
        }
        Self {
            controls,
            _folder: folder,
        }
    }

    /// Waits for a leader and returns it.
    async fn leader(&self) -> &process::RunningProcess {
        loop {
            for control in &self.controls {
                let view = control.context.engine.inspect(replication::GroupView::of);
                let view = view.await.flatten();
                if view.is_some_and(|view| view.role == "leader" && view.is_proven_current) {
                    return control;
                }
            }
            time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn proposal(id: &str, expects: u64, put: &Value) -> replication::ChangeProposal {
    let request = json!({"change_id": id, "expects": expects, "put": put});
    let request: change::ChangeRequest =
        serde_json::from_value(request).expect("the request is valid");
    let author = replication::ChangeAuthor::Administrator;
    questions::ForwardedChange { author, request }.into_proposal()
}

fn initial_entries() -> Vec<Value> {
    vec![
        json!({"kind": "class", "name": "counter", "owner": "registru", "class": "counter"}),
        json!({"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"}),
    ]
}

fn small_change(version: u64) -> replication::ChangeProposal {
    let put = json!([{"kind": "service", "name": "registru", "owner": "registru",
        "class": "counter", "slow_start_ms": version % 1000}]);
    proposal(&format!("change-{version}"), version, &put)
}

async fn commit(control: &process::RunningProcess, proposal: replication::ChangeProposal) {
    let answer = control.context.engine.propose(proposal).await;
    assert!(
        matches!(answer, replication::ProposalAnswer::Accepted(_)),
        "{answer:?}"
    );
}

async fn measure_group(size: usize) {
    let group = BenchGroup::start(size).await;
    let leader = group.leader().await;
    commit(leader, proposal("first", 0, &json!(initial_entries()))).await;
    let (latencies, elapsed) = commit_sequentially(leader, 1).await;
    let line = json!({"bench": "commit_one_by_one", "controls": size,
        "commits_per_s": (SEQUENTIAL_CHANGES as f64 / elapsed.as_secs_f64()).round(),
        "p50_ms": percentile(&latencies, 50), "p99_ms": percentile(&latencies, 99)});
    println!("{line}");
    let first = 1 + SEQUENTIAL_CHANGES;
    let started = Instant::now();
    let proposals: Vec<_> = (first..first + PIPELINED_CHANGES)
        .map(|version| {
            let engine = leader.context.engine.clone();
            async move { engine.propose(small_change(version)).await }
        })
        .collect();
    let answers = futures_util::future::join_all(proposals).await;
    let elapsed = started.elapsed();
    let accepted = |answer: &&replication::ProposalAnswer| {
        matches!(answer, replication::ProposalAnswer::Accepted(_))
    };
    let accepted = answers.iter().filter(accepted).count();
    let line = json!({"bench": "commit_pipelined", "controls": size, "sent": PIPELINED_CHANGES,
        "accepted": accepted, "commits_per_s": (accepted as f64 / elapsed.as_secs_f64()).round()});
    println!("{line}");
}

async fn commit_sequentially(
    leader: &process::RunningProcess,
    first: u64,
) -> (Vec<Duration>, Duration) {
    let mut latencies = Vec::new();
    let started = Instant::now();
    for version in first..first + SEQUENTIAL_CHANGES {
        let proposed = Instant::now();
        commit(leader, small_change(version)).await;
        latencies.push(proposed.elapsed());
    }
    let elapsed = started.elapsed();
    latencies.sort_unstable();
    (latencies, elapsed)
}

/// Measures sequential commits with a catalogue of the size that the system is designed for.
async fn measure_full_catalogue() {
    let group = BenchGroup::start(3).await;
    let leader = group.leader().await;
    commit(leader, proposal("first", 0, &json!(initial_entries()))).await;
    for service in 0..SERVICES {
        let name = format!("service-{service}");
        let mut put = vec![json!({"kind": "service", "name": name, "owner": "registru",
            "class": "counter"})];
        put.extend((0..ROUTES).map(|route| {
            json!({"kind": "route", "name": format!("{name}-route-{route}"), "owner": "registru",
                "class": "counter", "service": name,
                "match": {"path_prefix": format!("/{name}/{route}"), "methods": ["GET"]}})
        }));
        let version = 1 + service as u64;
        commit(leader, proposal(&name, version, &json!(put))).await;
    }
    let (latencies, elapsed) = commit_sequentially(leader, 1 + SERVICES as u64).await;
    let line = json!({"bench": "commit_full_catalogue", "controls": 3,
        "entries": SERVICES * (ROUTES + 1) + 3,
        "commits_per_s": (SEQUENTIAL_CHANGES as f64 / elapsed.as_secs_f64()).round(),
        "p50_ms": percentile(&latencies, 50), "p99_ms": percentile(&latencies, 99)});
    println!("{line}");
}

/// Measures the time from the kill of the leader's process to the next accepted change.
async fn measure_kills() {
    let mut fleet = fleet::Fleet::new(env!("CARGO_BIN_EXE_hazeltillerd"));
    fleet.add_controls("brasov-a", &CONTROLS).await;
    fleet.start(&CONTROLS, &["--bootstrap"]).await;
    let first = json!({"change_id": "first", "expects": 0, "put": initial_entries()});
    wait::until("the first change", || async {
        let (status, _) = fleet.change("control-1", &first).await?;
        (status == 200).then_some(())
    })
    .await;
    let mut outages = Vec::new();
    for version in 1..=LEADER_KILLS as u64 {
        let leader = fleet_leader(&fleet).await;
        let others: Vec<&str> = CONTROLS
            .into_iter()
            .filter(|name| *name != leader)
            .collect();
        fleet.wait_version(&CONTROLS, version).await;
        let change = json!({"change_id": format!("change-{version}"), "expects": version, "put": [
            {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
             "slow_start_ms": version}]});
        fleet.kill(&[leader]).await;
        let killed = Instant::now();
        loop {
            if let Some((200, _)) = fleet.change(others[0], &change).await {
                break;
            }
            time::sleep(Duration::from_millis(5)).await;
        }
        outages.push(killed.elapsed());
        fleet.start(&[leader], &[]).await;
    }
    outages.sort_unstable();
    let line = json!({"bench": "leader_killed", "controls": 3, "kills": LEADER_KILLS,
        "p50_ms": percentile(&outages, 50), "max_ms": percentile(&outages, 100)});
    println!("{line}");
}

async fn fleet_leader(fleet: &fleet::Fleet) -> &'static str {
    wait::until("a leader", || async {
        for name in CONTROLS {
            let view = fleet.read(name, "/v1/control").await;
            if view.is_some_and(|view| view["role"] == "leader") {
                return Some(name);
            }
        }
        None
    })
    .await
}
