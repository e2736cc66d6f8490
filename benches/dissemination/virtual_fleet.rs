//! Measurements with fleets of reducers on the simulated network.

use std::time::{Duration, Instant};

use hazeltiller_engine::settings;
use hazeltiller_testkit::{entries, reducers};
use hazeltiller_units::ids;
use hazeltiller_wire::{codec, message};
use serde_json::json;

const DATA_CENTRES: [&str; 4] = ["brasov-a", "brasov-b", "sibiu-a", "sibiu-b"];
const CONTROLS: [(&str, &str); 3] = [("c-0", "brasov-a"), ("c-1", "brasov-b"), ("c-2", "sibiu-a")];
const CONTROL_NAMES: [&str; 3] = ["c-0", "c-1", "c-2"];
/// Time-out for convergence.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which the fleet is measured at rest.
const REST_TIME: Duration = Duration::from_secs(30);
/// Changes whose convergence is measured.
const CHANGES: u32 = 20;
const SERVICES: usize = 56;

/// Returns the default tunables except for those of the dissemination tree.
pub(crate) fn tunables(heads: u64, fan_out: u64) -> settings::EngineTunables {
    let mut tunables = settings::EngineTunables::default();
    tunables.dissemination.heads = heads;
    // The simulated controls form no replication group, so no leader can prove that it is current.
    // Nodes wait for that proof only briefly.
    tunables.dissemination.floor_wait_ms = 100;
    tunables.dissemination.fan_out = fan_out;
    tunables
}

/// Returns a settled fleet and the names of its nodes. Its catalogue has 56 services with two
/// routes each.
fn settled_fleet(
    tunables: settings::EngineTunables,
    nodes: usize,
) -> (reducers::ReducerFleet, Vec<String>) {
    let mut fleet = reducers::ReducerFleet::new(7, tunables, &CONTROLS);
    fleet.accept(entries::base(), &CONTROL_NAMES);
    fleet.accept(entries::generated(SERVICES), &CONTROL_NAMES);
    fleet.accept(entries::put_routed_services(&["registru"]), &CONTROL_NAMES);
    let mut names = Vec::new();
    for (index, centre) in DATA_CENTRES.iter().enumerate() {
        let count = nodes / DATA_CENTRES.len() + usize::from(index < nodes % DATA_CENTRES.len());
        names.extend(fleet.add_nodes(centre, count));
    }
    assert!(
        fleet.run_until(CONVERGENCE_TIMEOUT, |fleet| fleet.has_converged(&names)),
        "every node holds the first versions"
    );
    fleet.run(Duration::from_secs(20));
    fleet.counts_bytes = true;
    fleet.clear_counts();
    (fleet, names)
}

/// Returns the number of bytes that the controls have sent.
fn source_bytes(fleet: &reducers::ReducerFleet) -> u64 {
    CONTROL_NAMES
        .iter()
        .map(|name| fleet.sent_bytes(name))
        .sum()
}

/// Returns the number of bytes sent by a node, on average and at most.
fn node_bytes(fleet: &reducers::ReducerFleet, names: &[String]) -> (f64, f64) {
    let bytes: Vec<u64> = names.iter().map(|name| fleet.sent_bytes(name)).collect();
    let max = bytes.iter().max().copied().unwrap_or_default();
    let sum: u64 = bytes.iter().sum();
    (sum as f64 / names.len() as f64, max as f64)
}

/// Returns the bytes sent per second at rest by the controls, by a node on average and by the
/// busiest node.
fn rest_rates(fleet: &mut reducers::ReducerFleet, names: &[String]) -> (f64, f64, f64) {
    fleet.clear_counts();
    fleet.run(REST_TIME);
    let seconds = REST_TIME.as_secs_f64();
    let (mean, max) = node_bytes(fleet, names);
    (
        source_bytes(fleet) as f64 / seconds,
        mean / seconds,
        max / seconds,
    )
}

/// Makes a change; returns the times from its acceptance until it is in force at each node, in
/// milliseconds, sorted.
fn measure_change(fleet: &mut reducers::ReducerFleet, names: &[String], slots: u32) -> Vec<f64> {
    let set = entries::put_slots("registru", slots);
    let accepted = fleet.now();
    let version = fleet.accept(set, &CONTROL_NAMES);
    fleet.run_until(CONVERGENCE_TIMEOUT, |fleet| fleet.has_converged(names));
    let mut times = convergence_times(fleet, names, version, accepted);
    times.sort_by(f64::total_cmp);
    times
}

fn convergence_times(
    fleet: &reducers::ReducerFleet,
    names: &[String],
    version: ids::CatalogueVersion,
    accepted: Duration,
) -> Vec<f64> {
    let first_in_force = |name: &String| {
        let in_force_at = &fleet.processes[name].in_force_at;
        let later = in_force_at.iter().filter(|(known, _)| **known >= version);
        later.map(|(_, at)| *at).min()
    };
    let times = names.iter().filter_map(first_in_force);
    times
        .map(|at| at.saturating_sub(accepted).as_secs_f64() * 1e3)
        .collect()
}

/// Measures convergence and traffic of one topology and size of the fleet.
pub(crate) fn measure_topology(topology: &str, tunables: settings::EngineTunables, nodes: usize) {
    let (mut fleet, names) = settled_fleet(tunables, nodes);
    let (source_rest, node_rest, busiest_rest) = rest_rates(&mut fleet, &names);
    fleet.clear_counts();
    let started = fleet.now();
    let mut times = Vec::new();
    for slots in 1..=CHANGES {
        times.extend(measure_change(&mut fleet, &names, slots));
        fleet.run(Duration::from_millis(500));
    }
    times.sort_by(f64::total_cmp);
    let seconds = fleet.now().saturating_sub(started).as_secs_f64();
    let per_change = |bytes: f64, rest: f64| (bytes - rest * seconds) / f64::from(CHANGES);
    let (mean, max) = node_bytes(&fleet, &names);
    super::print(
        "way",
        json!({
            "way": topology, "nodes": nodes,
            "p50_ms": super::percentile(&times, 0.5),
            "p99_ms": super::percentile(&times, 0.99),
            "source_bytes_per_change": per_change(source_bytes(&fleet) as f64, source_rest).round(),
            "node_bytes_per_change": per_change(mean, node_rest).round(),
            "busiest_node_bytes_per_change": per_change(max, busiest_rest).round(),
            "source_bytes_per_s_at_rest": source_rest.round(),
            "node_bytes_per_s_at_rest": node_rest.round(),
            "busiest_node_bytes_per_s_at_rest": busiest_rest.round(),
        }),
    );
}

/// Measures convergence with one silent relay, and the simultaneous restart of all nodes.
pub(crate) fn measure_faults(topology: &str, tunables: settings::EngineTunables, nodes: usize) {
    let (mut fleet, names) = settled_fleet(tunables, nodes);
    let children = |name: &&String| fleet.processes[*name].state.dissemination.children.len();
    let relay = names
        .iter()
        .max_by_key(children)
        .expect("there are nodes")
        .clone();
    let child_count = fleet.processes[&relay].state.dissemination.children.len();
    fleet.drop_messages(reducers::isolated(&[relay.as_str()]));
    let others: Vec<String> = names
        .iter()
        .filter(|name| **name != relay)
        .cloned()
        .collect();
    let times = measure_change(&mut fleet, &others, 99);
    super::print(
        "silent relay",
        json!({
            "way": topology, "nodes": nodes, "children_of_relay": child_count,
            "p50_ms": super::percentile(&times, 0.5),
            "p99_ms": super::percentile(&times, 0.99),
            "max_ms": super::percentile(&times, 1.0),
        }),
    );
    fleet.drop_messages(|_, _| false);
    fleet.run(Duration::from_secs(20));
    measure_restart(topology, &mut fleet, &names);
}

/// Measures the simultaneous restart of all nodes.
fn measure_restart(topology: &str, fleet: &mut reducers::ReducerFleet, names: &[String]) {
    for name in names {
        fleet.kill(name);
    }
    fleet.run(Duration::from_secs(1));
    fleet.clear_counts();
    let started = fleet.now();
    for name in names {
        fleet.start(name);
    }
    let has_converged = fleet.run_until(CONVERGENCE_TIMEOUT, |fleet| fleet.has_converged(names));
    let seconds = fleet.now().saturating_sub(started).as_secs_f64();
    let controls_sent = source_bytes(fleet) as f64;
    let mut by_category = serde_json::Map::new();
    for category in message::TrafficCategory::ALL {
        let sent = CONTROL_NAMES
            .iter()
            .filter_map(|name| fleet.processes[*name].sent.get(&category));
        let bytes: u64 = sent.map(|(_, bytes)| bytes).sum();
        by_category.insert(category.as_str().into(), json!(bytes));
    }
    let snapshot_bytes = codec::encode_body(&fleet.accepted).len() as f64;
    let (mean, max) = node_bytes(fleet, names);
    super::print(
        "storm",
        json!({
            "way": topology, "nodes": names.len(), "all_back": has_converged, "seconds": seconds,
            "source_bytes": controls_sent, "by_reason": by_category,
            "snapshot_bytes": snapshot_bytes,
            "share_of_all_snapshots": controls_sent / (snapshot_bytes * names.len() as f64),
            "node_bytes": mean.round(), "busiest_node_bytes": max,
        }),
    );
}

/// Measures the trade-off of the keepalive period: convergence past a silent relay against traffic
/// at rest. The gossip period follows it, because nodes also learn of versions by gossip.
pub(crate) fn measure_keepalive(fan_out: u64, keepalive_ms: u64) {
    let mut tunables = tunables(2, fan_out);
    tunables.dissemination.keepalive_ms = keepalive_ms;
    // Otherwise nodes would learn of versions by gossip before the keepalive.
    tunables.membership.gossip_ms = keepalive_ms;
    tunables.membership.suspect_ms = keepalive_ms * 5 / 2;
    let (mut fleet, names) = settled_fleet(tunables, 100);
    let (source_rest, node_rest, _) = rest_rates(&mut fleet, &names);
    let undisturbed_times = measure_change(&mut fleet, &names, 98);
    let children = |name: &&String| fleet.processes[*name].state.dissemination.children.len();
    let relay = names
        .iter()
        .max_by_key(children)
        .expect("there are nodes")
        .clone();
    fleet.drop_messages(reducers::isolated(&[relay.as_str()]));
    let others: Vec<String> = names
        .iter()
        .filter(|name| **name != relay)
        .cloned()
        .collect();
    let times = measure_change(&mut fleet, &others, 99);
    super::print(
        "knob",
        json!({
            "fan_out": fan_out, "keepalive_ms": keepalive_ms, "nodes": 100,
            "p99_ms": super::percentile(&undisturbed_times, 0.99),
            "silent_relay_max_ms": super::percentile(&times, 1.0),
            "source_bytes_per_s_at_rest": source_rest.round(),
            "node_bytes_per_s_at_rest": node_rest.round(),
        }),
    );
}

/// Measures how convergence, traffic and processor time grow with the fleet at the default
/// settings. The processor time is that of the whole simulation.
pub(crate) fn measure_scaling(nodes: usize) {
    let (mut fleet, names) = settled_fleet(tunables(2, 4), nodes);
    let (source_rest, node_rest, busiest_rest) = rest_rates(&mut fleet, &names);
    fleet.clear_counts();
    let times = measure_change(&mut fleet, &names, 5);
    let controls_sent = source_bytes(&fleet);
    fleet.counts_bytes = false;
    fleet.clear_counts();
    let started = Instant::now();
    fleet.run(Duration::from_secs(5));
    let elapsed = started.elapsed().as_secs_f64();
    let events: u64 = names.iter().map(|name| fleet.events(name)).sum();
    super::print(
        "slope",
        json!({
            "nodes": nodes,
            "p99_ms": super::percentile(&times, 0.99),
            "source_bytes_in_change": controls_sent,
            "source_bytes_per_s_at_rest": source_rest.round(),
            "node_bytes_per_s_at_rest": node_rest.round(),
            "busiest_node_bytes_per_s_at_rest": busiest_rest.round(),
            "messages_per_node_per_s": events as f64 / 5.0 / nodes as f64,
            "core_share_per_node_at_rest": elapsed / 5.0 / nodes as f64,
        }),
    );
}

/// Measures the memory of the record of a member with one target, from many separately decoded
/// copies.
pub(crate) fn measure_record_memory() {
    let bytes = codec::encode_body(&super::codec::member_record(117));
    let before = resident_bytes();
    let count = 100_000;
    let copies: Vec<hazeltiller_wire::membership::MemberRecord> = (0..count)
        .map(|_| codec::decode_body(&bytes).expect("the bytes were just encoded"))
        .collect();
    let growth_bytes = resident_bytes().saturating_sub(before);
    let known_member_bytes = size_of::<hazeltiller_engine::membership::table::KnownMember>();
    let record_bytes = size_of::<hazeltiller_wire::membership::MemberRecord>();
    super::print(
        "memory per member record",
        json!({
            "bytes": growth_bytes / copies.len() + known_member_bytes - record_bytes,
            "encoded_bytes": bytes.len(),
        }),
    );
}

/// Returns the resident memory of this process.
fn resident_bytes() -> usize {
    let page_bytes = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse::<usize>().ok());
    pages.unwrap_or_default() * page_bytes
}
