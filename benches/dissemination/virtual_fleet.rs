//! Fleets of reducers on the fake network.

use std::time::{Duration, Instant};

use hazeltiller_engine::settings;
use hazeltiller_testkit::{entries, reducers};
use hazeltiller_units::ids;
use hazeltiller_wire::{codec, message};
use serde_json::json;

const CENTRES: [&str; 4] = ["brasov-a", "brasov-b", "sibiu-a", "sibiu-b"];
const CONTROLS: [(&str, &str); 3] = [("c-0", "brasov-a"), ("c-1", "brasov-b"), ("c-2", "sibiu-a")];
const NAMES: [&str; 3] = ["c-0", "c-1", "c-2"];
const LONG: Duration = Duration::from_secs(120);
const REST: Duration = Duration::from_secs(30);
const CHANGES: u32 = 20;
const SERVICES: usize = 56;

/// The defaults but for the tree.
pub(crate) fn tunables(heads: u64, fan_out: u64) -> settings::EngineTunables {
    let mut tunables = settings::EngineTunables::default();
    tunables.dissemination.heads = heads;
    // The controls here are no group, so no leader can prove itself: its time is cut short.
    tunables.dissemination.floor_wait_ms = 100;
    tunables.dissemination.fan_out = fan_out;
    tunables
}

/// A fleet at rest that holds 56 services with two routes each.
fn settled(
    tunables: settings::EngineTunables,
    nodes: usize,
) -> (reducers::ReducerFleet, Vec<String>) {
    let mut fleet = reducers::ReducerFleet::new(7, tunables, &CONTROLS);
    fleet.accept(entries::base(), &NAMES);
    fleet.accept(entries::generated(SERVICES), &NAMES);
    fleet.accept(entries::put_routed_services(&["registru"]), &NAMES);
    let mut names = Vec::new();
    for (index, centre) in CENTRES.iter().enumerate() {
        let share = nodes / CENTRES.len() + usize::from(index < nodes % CENTRES.len());
        names.extend(fleet.add_nodes(centre, share));
    }
    assert!(
        fleet.run_until(LONG, |fleet| fleet.has_converged(&names)),
        "the fleet starts"
    );
    fleet.run(Duration::from_secs(20));
    fleet.counts_bytes = true;
    fleet.clear_counts();
    (fleet, names)
}

fn source_bytes(fleet: &reducers::ReducerFleet) -> u64 {
    NAMES.iter().map(|name| fleet.sent_bytes(name)).sum()
}

fn node_bytes(fleet: &reducers::ReducerFleet, names: &[String]) -> (f64, f64) {
    let bytes: Vec<u64> = names.iter().map(|name| fleet.sent_bytes(name)).collect();
    let most = bytes.iter().max().copied().unwrap_or_default();
    let sum: u64 = bytes.iter().sum();
    (sum as f64 / names.len() as f64, most as f64)
}

/// Bytes a second at rest: the source's, a node's on average and the busiest node's.
fn rest(fleet: &mut reducers::ReducerFleet, names: &[String]) -> (f64, f64, f64) {
    fleet.clear_counts();
    fleet.run(REST);
    let seconds = REST.as_secs_f64();
    let (mean, most) = node_bytes(fleet, names);
    (
        source_bytes(fleet) as f64 / seconds,
        mean / seconds,
        most / seconds,
    )
}

/// Times from acceptance to force, of all nodes, in milliseconds, sorted.
fn change(fleet: &mut reducers::ReducerFleet, names: &[String], slots: u32) -> Vec<f64> {
    let set = entries::put_slots("registru", slots);
    let accepted = fleet.now();
    let version = fleet.accept(set, &NAMES);
    fleet.run_until(LONG, |fleet| fleet.has_converged(names));
    let mut times = times(fleet, names, version, accepted);
    times.sort_by(f64::total_cmp);
    times
}

fn times(
    fleet: &reducers::ReducerFleet,
    names: &[String],
    version: ids::CatalogueVersion,
    accepted: Duration,
) -> Vec<f64> {
    let reached = |name: &String| {
        let reached = &fleet.processes[name].in_force_at;
        let later = reached.iter().filter(|(known, _)| **known >= version);
        later.map(|(_, at)| *at).min()
    };
    let times = names.iter().filter_map(reached);
    times
        .map(|at| at.saturating_sub(accepted).as_secs_f64() * 1e3)
        .collect()
}

/// Convergence and bytes of one way at one size.
pub(crate) fn measure_way(way: &str, tunables: settings::EngineTunables, nodes: usize) {
    let (mut fleet, names) = settled(tunables, nodes);
    let (source_rest, node_rest, busiest_rest) = rest(&mut fleet, &names);
    fleet.clear_counts();
    let began = fleet.now();
    let mut times = Vec::new();
    for slots in 1..=CHANGES {
        times.extend(change(&mut fleet, &names, slots));
        fleet.run(Duration::from_millis(500));
    }
    times.sort_by(f64::total_cmp);
    let seconds = fleet.now().saturating_sub(began).as_secs_f64();
    let per_change = |bytes: f64, rest: f64| (bytes - rest * seconds) / f64::from(CHANGES);
    let (mean, most) = node_bytes(&fleet, &names);
    super::print(
        "way",
        json!({
            "way": way, "nodes": nodes,
            "p50_ms": super::percentile(&times, 0.5),
            "p99_ms": super::percentile(&times, 0.99),
            "source_bytes_per_change": per_change(source_bytes(&fleet) as f64, source_rest).round(),
            "node_bytes_per_change": per_change(mean, node_rest).round(),
            "busiest_node_bytes_per_change": per_change(most, busiest_rest).round(),
            "source_bytes_per_s_at_rest": source_rest.round(),
            "node_bytes_per_s_at_rest": node_rest.round(),
            "busiest_node_bytes_per_s_at_rest": busiest_rest.round(),
        }),
    );
}

/// One silent relay, and the return of all nodes at once.
pub(crate) fn measure_faults(way: &str, tunables: settings::EngineTunables, nodes: usize) {
    let (mut fleet, names) = settled(tunables, nodes);
    let children = |name: &&String| fleet.processes[*name].state.dissemination.children.len();
    let relay = names
        .iter()
        .max_by_key(children)
        .expect("there are nodes")
        .clone();
    let fed = fleet.processes[&relay].state.dissemination.children.len();
    fleet.drop_messages(reducers::isolated(&[relay.as_str()]));
    let others: Vec<String> = names
        .iter()
        .filter(|name| **name != relay)
        .cloned()
        .collect();
    let times = change(&mut fleet, &others, 99);
    super::print(
        "silent relay",
        json!({
            "way": way, "nodes": nodes, "children_of_relay": fed,
            "p50_ms": super::percentile(&times, 0.5),
            "p99_ms": super::percentile(&times, 0.99),
            "max_ms": super::percentile(&times, 1.0),
        }),
    );
    fleet.drop_messages(|_, _| false);
    fleet.run(Duration::from_secs(20));
    measure_storm(way, &mut fleet, &names);
}

fn measure_storm(way: &str, fleet: &mut reducers::ReducerFleet, names: &[String]) {
    for name in names {
        fleet.kill(name);
    }
    fleet.run(Duration::from_secs(1));
    fleet.clear_counts();
    let began = fleet.now();
    for name in names {
        fleet.start(name);
    }
    let back = fleet.run_until(LONG, |fleet| fleet.has_converged(names));
    let seconds = fleet.now().saturating_sub(began).as_secs_f64();
    let source = source_bytes(fleet) as f64;
    let mut by_reason = serde_json::Map::new();
    for reason in message::TrafficCategory::ALL {
        let sent = NAMES
            .iter()
            .filter_map(|name| fleet.processes[*name].sent.get(&reason));
        let bytes: u64 = sent.map(|(_, bytes)| bytes).sum();
        by_reason.insert(reason.as_str().into(), json!(bytes));
    }
    let snapshot = codec::encode_body(&fleet.accepted).len() as f64;
    let (mean, most) = node_bytes(fleet, names);
    super::print(
        "storm",
        json!({
            "way": way, "nodes": names.len(), "all_back": back, "seconds": seconds,
            "source_bytes": source, "by_reason": by_reason,
            "snapshot_bytes": snapshot,
            "share_of_all_snapshots": source / (snapshot * names.len() as f64),
            "node_bytes": mean.round(), "busiest_node_bytes": most,
        }),
    );
}

/// What the keepalive trades: time through a silent relay against bytes at rest, without the help
/// of gossip's versions and with it.
pub(crate) fn measure_knob(fan_out: u64, keepalive_ms: u64) {
    let mut tunables = tunables(2, fan_out);
    tunables.dissemination.keepalive_ms = keepalive_ms;
    // Gossip keeps step with the keepalive.
    tunables.membership.gossip_ms = keepalive_ms;
    tunables.membership.suspect_ms = keepalive_ms * 5 / 2;
    let (mut fleet, names) = settled(tunables, 100);
    let (source_rest, node_rest, _) = rest(&mut fleet, &names);
    let calm = change(&mut fleet, &names, 98);
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
    let times = change(&mut fleet, &others, 99);
    super::print(
        "knob",
        json!({
            "fan_out": fan_out, "keepalive_ms": keepalive_ms, "nodes": 100,
            "p99_ms": super::percentile(&calm, 0.99),
            "silent_relay_max_ms": super::percentile(&times, 1.0),
            "source_bytes_per_s_at_rest": source_rest.round(),
            "node_bytes_per_s_at_rest": node_rest.round(),
        }),
    );
}

/// What grows with the fleet at the defaults, with processor time of the whole simulation.
pub(crate) fn measure_slope(nodes: usize) {
    let (mut fleet, names) = settled(tunables(2, 4), nodes);
    let (source_rest, node_rest, busiest_rest) = rest(&mut fleet, &names);
    fleet.clear_counts();
    let times = change(&mut fleet, &names, 5);
    let source = source_bytes(&fleet);
    fleet.counts_bytes = false;
    fleet.clear_counts();
    let began = Instant::now();
    fleet.run(Duration::from_secs(5));
    let busy = began.elapsed().as_secs_f64();
    let events: u64 = names.iter().map(|name| fleet.events(name)).sum();
    super::print(
        "slope",
        json!({
            "nodes": nodes,
            "p99_ms": super::percentile(&times, 0.99),
            "source_bytes_in_change": source,
            "source_bytes_per_s_at_rest": source_rest.round(),
            "node_bytes_per_s_at_rest": node_rest.round(),
            "busiest_node_bytes_per_s_at_rest": busiest_rest.round(),
            "messages_per_node_per_s": events as f64 / 5.0 / nodes as f64,
            "core_share_per_node_at_rest": busy / 5.0 / nodes as f64,
        }),
    );
}

/// Memory of the record of a member with one target, copies decoded one by one.
pub(crate) fn measure_record_memory() {
    let bytes = codec::encode_body(&super::codec::record(117));
    let before = resident_bytes();
    let count = 100_000;
    let copies: Vec<hazeltiller_wire::membership::MemberRecord> = (0..count)
        .map(|_| codec::decode_body(&bytes).expect("it was just encoded"))
        .collect();
    let grown = resident_bytes().saturating_sub(before);
    let known = size_of::<hazeltiller_engine::membership::table::KnownMember>();
    let plain = size_of::<hazeltiller_wire::membership::MemberRecord>();
    super::print(
        "memory per member record",
        json!({
            "bytes": grown / copies.len() + known - plain,
            "encoded_bytes": bytes.len(),
        }),
    );
}

fn resident_bytes() -> usize {
    let page = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse::<usize>().ok());
    pages.unwrap_or_default() * page
}
