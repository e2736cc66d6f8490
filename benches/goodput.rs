//! Goodput under overload, with and without admission control, and the cost of retries with and
//! without a retry budget.
//!
//! Run with `cargo bench --bench goodput`; prints one JSON line per result.

use std::time::Duration;

use hazeltiller_testkit::model;
use serde_json::{Value, json};

const TARGETS: usize = 7;
const SLOTS_PER_TARGET: u32 = 10;
/// Mean run time per unit of cost.
const MEAN_RUN_TIME: Duration = Duration::from_millis(10);
/// Calls per second that the targets can run.
const CAPACITY_CALLS_PER_S: f64 = 7.0 * 10.0 * 100.0;
const INGRESSES: usize = 8;
/// One-way latency between nodes.
const LINK_LATENCY: Duration = Duration::from_micros(250);
/// Time for which callers send calls.
const LOAD_TIME: Duration = Duration::from_secs(5);
/// Number of slots that disables admission control.
const UNLIMITED_SLOTS: u32 = 65_536;

/// Path, share of the offered load, class and owner of each kind of calls.
const CALL_MIX: [(&str, f64, &str, &str); 4] = [
    ("/lookup", 0.25, "counter", "members"),
    ("/heavy", 0.25, "desk", "registru"),
    ("/light", 0.25, "desk", "rally"),
    ("/night", 0.25, "batch", "archive"),
];

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    for load in [0.5, 1.0, 1.5, 2.0, 3.0] {
        for seed in [1, 2, 3] {
            compare_admission(load, seed);
        }
    }
    for broken in [2, 7] {
        for seed in [1, 2, 3] {
            compare_budgets(broken, seed);
        }
    }
}

fn entries(max_attempts: u32) -> Value {
    let class = |name: &str, rank: u32, share: f64| {
        json!({"kind": "class", "name": name, "owner": "registru", "class": name, "rank": rank,
               "limits": {"queue_ms": 200, "guaranteed_share": share}})
    };
    let owner = |name: &str, weight: u32| json!({"kind": "owner", "name": name, "owner": name, "class": "desk", "weight": weight});
    let mut entries = vec![
        class("counter", 1, 0.0),
        class("desk", 2, 0.0),
        class("batch", 5, 0.1),
        owner("members", 1),
        owner("registru", 3),
        owner("rally", 1),
        owner("archive", 1),
        json!({"kind": "service", "name": "registru", "owner": "registru", "class": "desk",
               "limits": {"queue": 20, "slots": UNLIMITED_SLOTS}}),
    ];
    for (path, _, class, owner) in CALL_MIX {
        entries.push(
            json!({"kind": "route", "name": path.trim_start_matches('/'), "owner": owner,
            "class": class, "service": "registru", "match": {"path_prefix": path},
            "limits": {"tries": max_attempts, "deadline_ms": 500}}),
        );
    }
    Value::Array(entries)
}

fn settings(seed: u64, target: model::ModelTarget, max_attempts: u32) -> model::ModelSettings {
    model::ModelSettings {
        seed,
        ingresses: INGRESSES,
        targets: vec![target; TARGETS],
        entries: entries(max_attempts),
        link: LINK_LATENCY,
        policy: model::BalancingPolicy::Reducer,
    }
}

fn target(announced_slots: u32, queue_capacity: usize) -> model::ModelTarget {
    model::ModelTarget {
        service_name: "registru",
        slots: SLOTS_PER_TARGET,
        announced_slots,
        mean_run_time: MEAN_RUN_TIME,
        queue_capacity,
        is_broken: false,
    }
}

/// Measures goodput with and without admission control at one load, with the same arrivals.
fn compare_admission(load: f64, seed: u64) {
    let variants = [
        ("admission", target(SLOTS_PER_TARGET, 0)),
        ("none", target(UNLIMITED_SLOTS, usize::MAX)),
        ("fifo of 20", target(UNLIMITED_SLOTS, 20)),
    ];
    for (variant, target) in variants {
        let mut model = model::CallModel::new(settings(seed, target, 2));
        let kinds = CALL_MIX.map(|(path, share, ..)| {
            model::CallKind::plain(path, CAPACITY_CALLS_PER_S * load * share)
        });
        let stats = model.run(&kinds, LOAD_TIME);
        let good: u64 = stats.iter().map(|kind_stats| kind_stats.good).sum();
        let mut line = json!({"bench": "goodput", "way": variant, "load": load, "seed": seed,
            "good_of_capacity": good as f64 / LOAD_TIME.as_secs_f64() / CAPACITY_CALLS_PER_S});
        for ((path, ..), count) in CALL_MIX.iter().zip(&stats) {
            line[*path] = json!({"good_of_sent": count.good as f64 / count.sent as f64,
                "p99_ms": count.latency_quantile(0.99) as f64 / 1000.0});
        }
        println!("{line}");
    }
}

/// Measures retries while some targets break every connection, at half the capacity of all.
fn compare_budgets(broken: usize, seed: u64) {
    for (variant, percent, reserve) in [("budget", 10, 3), ("no budget", 100, 1_000_000_000)] {
        let settings = settings(seed, target(SLOTS_PER_TARGET, 0), 4);
        let mut model = model::CallModel::new(settings).with_ingresses(|ingress| {
            let tunables = &mut ingress.state.settings.tunables.retry;
            tunables.budget_percent = percent;
            tunables.budget_reserve = reserve;
            tunables.budget_fleet_reserve = reserve.max(tunables.budget_fleet_reserve);
        });
        let kinds = CALL_MIX.map(|(path, share, ..)| {
            model::CallKind::plain(path, CAPACITY_CALLS_PER_S * 0.5 * share)
        });
        for (phase, broken) in [("before", 0), ("broken", broken), ("after", 0)] {
            model.set_broken(broken);
            let stats = model.run(&kinds, LOAD_TIME);
            let sum = |field: fn(&model::KindStats) -> u64| stats.iter().map(field).sum::<u64>();
            let sent = sum(|count| count.sent);
            let line = json!({"bench": "retries", "way": variant, "phase": phase, "seed": seed,
                "broken_targets": broken,
                "tries_per_call": sum(|count| count.attempts) as f64 / sent as f64,
                "good_of_sent": sum(|count| count.good) as f64 / sent as f64});
            println!("{line}");
        }
    }
}
