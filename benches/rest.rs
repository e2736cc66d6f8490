//! Processor time, memory and control traffic of idle processes, by size of the fleet.
//!
//! Run with `cargo bench --bench rest`; prints one JSON line per role and size. The slopes over the
//! sizes are documented in docs/CAPACITY.md.

use std::time::{Duration, Instant};

use hazeltiller_testkit::{fleet, wait};
use serde_json::json;

/// Numbers of nodes.
const NODE_COUNTS: [usize; 4] = [5, 15, 30, 60];
/// Time between the discovery of all members and the measurement.
const SETTLING_TIME: Duration = Duration::from_secs(5);
const MEASURED_TIME: Duration = Duration::from_secs(10);
const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];
const DATA_CENTRES: [&str; 4] = ["brasov-a", "brasov-b", "sibiu-a", "sibiu-b"];
/// Clock ticks per second in /proc; fixed on Linux.
const CLOCK_TICKS_PER_S: f64 = 100.0;

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be started");
    for size in NODE_COUNTS {
        runtime.block_on(measure(size));
    }
}

async fn measure(size: usize) {
    let mut fleet = fleet::Fleet::new(env!("CARGO_BIN_EXE_hazeltillerd"));
    fleet.add_controls(DATA_CENTRES[0], &CONTROLS).await;
    let names: Vec<String> = (0..size).map(|index| format!("node-{index}")).collect();
    for (index, name) in names.iter().enumerate() {
        fleet
            .add_node(DATA_CENTRES[index % DATA_CENTRES.len()], name)
            .await;
    }
    fleet.start(&CONTROLS, &["--bootstrap"]).await;
    let nodes: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.start(&nodes, &[]).await;
    wait::until("the first node to know every member", || async {
        let status = fleet.read(nodes[0], "/v1/status").await?;
        let known = status["members"].as_u64()? as usize;
        (known >= size + CONTROLS.len()).then_some(())
    })
    .await;
    tokio::time::sleep(SETTLING_TIME).await;
    let all: Vec<&str> = CONTROLS.into_iter().chain(nodes).collect();
    let mut before = Vec::new();
    for name in &all {
        before.push(usage(&fleet, name).await);
    }
    let started = Instant::now();
    tokio::time::sleep(MEASURED_TIME).await;
    let seconds = started.elapsed().as_secs_f64();
    for (role, range) in [
        ("control", 0..CONTROLS.len()),
        ("node", CONTROLS.len()..all.len()),
    ] {
        let count = range.len() as f64;
        let mut total = ProcessUsage::default();
        for index in range {
            let after = usage(&fleet, all[index]).await;
            total.cpu_seconds += after.cpu_seconds - before[index].cpu_seconds;
            total.memory_kb += after.memory_kb;
            total.control_bytes += after.control_bytes - before[index].control_bytes;
        }
        let line = json!({
            "bench": "rest", "role": role, "nodes": size, "controls": CONTROLS.len(),
            "core_percent": round(100.0 * total.cpu_seconds / seconds / count),
            "memory_mb": round(total.memory_kb / 1024.0 / count),
            "sent_bytes_per_s": round(total.control_bytes / seconds / count),
        });
        println!("{line}");
    }
}

/// Resources that a process has used since its start.
#[derive(Debug, Default)]
struct ProcessUsage {
    cpu_seconds: f64,
    memory_kb: f64,
    control_bytes: f64,
}

async fn usage(fleet: &fleet::Fleet, name: &str) -> ProcessUsage {
    let id = fleet.process_id(name).expect("the process was started");
    let read = |file: &str| {
        std::fs::read_to_string(format!("/proc/{id}/{file}")).expect("the process is running")
    };
    // The command name may contain spaces. After it, user and system time are fields 12 and 13.
    let stat = read("stat");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .expect("the command name ends with a bracket")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| fields[index].parse::<f64>().expect("the field is a number");
    let status = read("status");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    let status_document = fleet.read(name, "/v1/status").await.unwrap_or_default();
    ProcessUsage {
        cpu_seconds: (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_S,
        memory_kb: resident.unwrap_or_default(),
        control_bytes: sent_bytes(&status_document),
    }
}

/// Returns the sum of sent bytes over all traffic categories of a status document.
fn sent_bytes(document: &serde_json::Value) -> f64 {
    let categories = document["bytes"]["sent"].as_object();
    let bytes = |count: &serde_json::Value| count["bytes"].as_f64().unwrap_or_default();
    categories
        .into_iter()
        .flat_map(|counts| counts.values())
        .map(bytes)
        .sum()
}

fn round(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}
