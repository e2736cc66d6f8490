//! Whole processes over loopback, light: all in this one process of the system.

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

const CENTRES: [&str; 4] = ["brasov-a", "brasov-b", "sibiu-a", "sibiu-b"];
const CHANGES: u64 = 20;
const SETTLING: Duration = Duration::from_secs(10);
const REST: Duration = Duration::from_secs(10);
const PATIENCE: Duration = Duration::from_secs(60);

struct LiveFleet {
    control: process::RunningProcess,
    nodes: Vec<process::RunningProcess>,
    _folder: tempfile::TempDir,
}

/// Measures a fleet with one control.
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
    time::sleep(SETTLING).await;
    let before = sent_bytes(&fleet);
    let ticks = processor_ticks();
    time::sleep(REST).await;
    let ticks = processor_ticks() - ticks;
    let rest = per_second(before, sent_bytes(&fleet), REST);
    let mut times = Vec::new();
    let before = sent_bytes(&fleet);
    let began = Instant::now();
    for slots in 1..=CHANGES {
        let set = entries::put_slots("registru", slots as u32);
        let (reached, took) = change(&fleet, version, json!({"put": set.put})).await;
        version = reached;
        times.extend(took);
        time::sleep(Duration::from_millis(300)).await;
    }
    let spent = per_second(before, sent_bytes(&fleet), began.elapsed());
    let seconds = began.elapsed().as_secs_f64();
    times.sort_by(f64::total_cmp);
    let per_change = |spent: f64, rest: f64| (spent - rest) * seconds / CHANGES as f64;
    super::print(
        "live",
        json!({
            "nodes": nodes,
            "p50_ms": super::percentile(&times, 0.5),
            "p99_ms": super::percentile(&times, 0.99),
            "max_ms": super::percentile(&times, 1.0),
            "source_bytes_per_change": per_change(spent.0, rest.0).round(),
            "source_bytes_per_s_at_rest": rest.0.round(),
            "node_bytes_per_s_at_rest": (rest.1 / nodes as f64).round(),
            "core_share_per_process_at_rest":
                ticks as f64 / 100.0 / REST.as_secs_f64() / (nodes + 1) as f64,
        }),
    );
}

async fn start(nodes: usize) -> LiveFleet {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let probe = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let control_address = probe.local_addr().expect("it is bound");
    drop(probe);
    let settings = json!({
        "instance": "c-0", "data_centre": CENTRES[0], "region": "ro-centru", "roles": ["control"],
        "listen": {"peers": control_address}, "control": [control_address],
        "data_folder": folder.path().join("c-0"),
    });
    let control = start_process(&settings, true).await;
    let mut running = Vec::new();
    for index in 0..nodes {
        let centre = CENTRES[index % CENTRES.len()];
        let host = Ipv4Addr::new(127, 0, 1, (index % 250) as u8 + 1);
        let settings = json!({
            "instance": format!("n-{index}"), "data_centre": centre, "region": "ro-centru",
            "roles": ["node"], "control": [control_address],
            "listen": {"peers": SocketAddr::from((host, 0))},
        });
        running.push(start_process(&settings, false).await);
    }
    LiveFleet {
        control,
        nodes: running,
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

/// Makes a change; returns its version and each node's time from its acceptance, in milliseconds.
async fn change(fleet: &LiveFleet, expects: u64, set: Value) -> (u64, Vec<f64>) {
    let mut body = set;
    body["change_id"] = json!(format!("change-{expects}"));
    body["expects"] = json!(expects);
    let version = ids::CatalogueVersion(expects + 1);
    let mut in_force = fleet.control.context.in_force.clone();
    let accepted = tokio::spawn(async move {
        let reached = in_force.wait_for(|state| state.version >= version).await;
        reached.expect("the control runs");
        Instant::now()
    });
    let watches = fleet.nodes.iter().map(|node| {
        let mut in_force = node.context.in_force.clone();
        tokio::spawn(async move {
            let reached = in_force.wait_for(|state| state.version >= version);
            let reached = time::timeout(PATIENCE, reached).await;
            reached.expect("the node follows").expect("the node runs");
            Instant::now()
        })
    });
    let watches: Vec<tokio::task::JoinHandle<Instant>> = watches.collect();
    let deadline = Instant::now() + PATIENCE;
    loop {
        let request = Request::post("/v1/changes")
            .body(Full::<Bytes>::from(body.to_string()))
            .expect("the path is a URI");
        let answer = client::exchange(fleet.control.addresses.operators, request).await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            break;
        }
        assert!(Instant::now() < deadline, "the change is accepted");
        time::sleep(Duration::from_millis(50)).await;
    }
    let accepted = accepted.await.expect("the watch ends");
    let mut times = Vec::new();
    for watch in watches {
        let at = watch.await.expect("the watch ends");
        times.push(at.saturating_duration_since(accepted).as_secs_f64() * 1e3);
    }
    (expects + 1, times)
}

/// Bytes sent by the control and by all nodes.
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

/// Processor time of this process, in hundredths of a second.
fn processor_ticks() -> u64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.split_whitespace().collect();
    let ticks = [13, 14].map(|index| fields.get(index).and_then(|word| word.parse::<u64>().ok()));
    ticks.into_iter().flatten().sum()
}
