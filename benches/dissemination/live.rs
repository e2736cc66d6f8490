//! Measurements with control and node instances over loopback. All instances run in one operating
//! system process, to save resources.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hazeltiller_daemon::{process, settings};
use hazeltiller_standin::client;
use hazeltiller_testkit::entries;
use hazeltiller_units::ids;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use tokio::{runtime, time};

const DATA_CENTRES: [&str; 4] = ["brasov-a", "brasov-b", "sibiu-a", "sibiu-b"];
/// Changes whose convergence is measured.
const CHANGES: u64 = 20;
/// Time between the first changes and the measurement at rest.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// Time for which the fleet is measured at rest.
const REST_TIME: Duration = Duration::from_secs(10);
/// Time-out for the acceptance of a change and for its convergence.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

struct LiveFleet {
    control: process::RunningProcess,
    nodes: Vec<process::RunningProcess>,
    _folder: tempfile::TempDir,
}

/// Measures convergence, traffic and processor time of a fleet with one control.
pub(crate) fn measure(nodes: usize) {
    let runtime = runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("threads can be started");
    runtime.block_on(measure_fleet(nodes));
    runtime.shutdown_timeout(Duration::from_secs(1));
}

async fn measure_fleet(nodes: usize) {
    let fleet = start(nodes).await;
    let mut version = 0;
    for set in [
        entries::base(),
        entries::put_routed_services(&["registru", "arhiva"]),
    ] {
        version = change(&fleet, version, json!({"put": set.put})).await.0;
    }
    time::sleep(SETTLING_TIME).await;
    let before = sent_bytes(&fleet);
    let ticks = processor_ticks();
    time::sleep(REST_TIME).await;
    let ticks = processor_ticks() - ticks;
    let rest_rates = per_second(before, sent_bytes(&fleet), REST_TIME);
    let mut times = Vec::new();
    let before = sent_bytes(&fleet);
    let started = Instant::now();
    for slots in 1..=CHANGES {
        let set = entries::put_slots("registru", slots as u32);
        let (new_version, node_times) = change(&fleet, version, json!({"put": set.put})).await;
        version = new_version;
        times.extend(node_times);
        time::sleep(Duration::from_millis(300)).await;
    }
    let change_rates = per_second(before, sent_bytes(&fleet), started.elapsed());
    let seconds = started.elapsed().as_secs_f64();
    times.sort_by(f64::total_cmp);
    let per_change = |rate: f64, rest_rate: f64| (rate - rest_rate) * seconds / CHANGES as f64;
    super::print(
        "live",
        json!({
            "nodes": nodes,
            "p50_ms": super::percentile(&times, 0.5),
            "p99_ms": super::percentile(&times, 0.99),
            "max_ms": super::percentile(&times, 1.0),
            "source_bytes_per_change": per_change(change_rates.0, rest_rates.0).round(),
            "source_bytes_per_s_at_rest": rest_rates.0.round(),
            "node_bytes_per_s_at_rest": (rest_rates.1 / nodes as f64).round(),
            "core_share_per_process_at_rest":
                ticks as f64 / 100.0 / REST_TIME.as_secs_f64() / (nodes + 1) as f64,
        }),
    );
}

async fn start(nodes: usize) -> LiveFleet {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let control_address = listener.local_addr().expect("the listener is bound");
    drop(listener);
    let settings = json!({
        "instance": "c-0", "data_centre": DATA_CENTRES[0], "region": "ro-centru",
        "roles": ["control"], "listen": {"peers": control_address}, "control": [control_address],
        "data_folder": folder.path().join("c-0"),
    });
    let control = start_process(&settings, true).await;
    let mut node_processes = Vec::new();
    for index in 0..nodes {
        let centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        let host = Ipv4Addr::new(127, 0, 1, (index % 250) as u8 + 1);
        let settings = json!({
            "instance": format!("n-{index}"), "data_centre": centre, "region": "ro-centru",
            "roles": ["node"], "control": [control_address],
            "listen": {"peers": SocketAddr::from((host, 0))},
        });
        node_processes.push(start_process(&settings, false).await);
    }
    LiveFleet {
        control,
        nodes: node_processes,
        _folder: folder,
    }
}

async fn start_process(document: &Value, bootstrap: bool) -> process::RunningProcess {
    let settings = settings::ProcessSettings::parse(&document.to_string());
    let settings = settings.expect("the settings are valid");
    let options = process::StartOptions {
        bootstrap,
        ..process::StartOptions::default()
    };
    let started = process::start(&settings, options).await;
    started.expect("loopback has free ports")
}

/// Makes a change; returns its version and the time from its acceptance until it is in force at
/// each node, in milliseconds.
async fn change(fleet: &LiveFleet, expects: u64, set: Value) -> (u64, Vec<f64>) {
    let mut body = set;
    body["change_id"] = json!(format!("change-{expects}"));
    body["expects"] = json!(expects);
    let version = ids::CatalogueVersion(expects + 1);
    let mut in_force = fleet.control.context.in_force.clone();
    let accepted = tokio::spawn(async move {
        let reached = in_force.wait_for(|state| state.version >= version).await;
        reached.expect("the control is running");
        Instant::now()
    });
    let node_tasks = fleet.nodes.iter().map(|node| {
        let mut in_force = node.context.in_force.clone();
        tokio::spawn(async move {
            let reached = in_force.wait_for(|state| state.version >= version);
            let reached = time::timeout(CHANGE_TIMEOUT, reached).await;
            reached
                .expect("the version is in force before the time-out")
                .expect("the node is running");
            Instant::now()
        })
    });
    let node_tasks: Vec<tokio::task::JoinHandle<Instant>> = node_tasks.collect();
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    loop {
        let request = Request::post("/v1/changes")
            .body(Full::<Bytes>::from(body.to_string()))
            .expect("the path is a URI");
        let response = client::exchange(fleet.control.addresses.operators, request).await;
        if response.is_ok_and(|response| response.status().is_success()) {
            break;
        }
        assert!(Instant::now() < deadline, "the change is accepted");
        time::sleep(Duration::from_millis(50)).await;
    }
    let accepted = accepted.await.expect("the task completes");
    let mut times = Vec::new();
    for task in node_tasks {
        let at = task.await.expect("the task completes");
        times.push(at.saturating_duration_since(accepted).as_secs_f64() * 1e3);
    }
    (expects + 1, times)
}

/// Returns the bytes sent by the control and by all nodes.
fn sent_bytes(fleet: &LiveFleet) -> (u64, u64) {
    let sent = |process: &process::RunningProcess| -> u64 {
        let summary = process.context.bytes.summary();
        summary.sent.values().map(|count| count.bytes).sum()
    };
    (sent(&fleet.control), fleet.nodes.iter().map(sent).sum())
}

fn per_second(before: (u64, u64), after: (u64, u64), span: Duration) -> (f64, f64) {
    let rate = |before: u64, after: u64| (after - before) as f64 / span.as_secs_f64();
    (rate(before.0, after.0), rate(before.1, after.1))
}

/// Returns the processor time of this process, in hundredths of a second.
fn processor_ticks() -> u64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.split_whitespace().collect();
    let ticks = [13, 14].map(|index| fields.get(index).and_then(|word| word.parse::<u64>().ok()));
    ticks.into_iter().flatten().sum()
}
