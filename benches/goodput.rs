//! What is answered in time when more comes than can run, and what second tries cost.
//!
//! `cargo bench --bench goodput` prints a line of JSON for each figure.

use std::time::Duration;

use hazeltiller_testkit::model;
use serde_json::{Value, json};

const TARGETS: usize = 7;
const SLOTS: u32 = 10;
const SERVICE: Duration = Duration::from_millis(10);
/// Calls a second that the targets can run.
const CAPACITY: f64 = 7.0 * 10.0 * 100.0;
const INGRESSES: usize = 8;
const LINK: Duration = Duration::from_micros(250);
const SPAN: Duration = Duration::from_secs(5);
const UNBOUNDED: u32 = 65_536;

/// Path, share of what is offered, class and owner.
const MIX: [(&str, f64, &str, &str); 4] = [
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

fn entries(tries: u32) -> Value {
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
               "limits": {"queue": 20, "slots": UNBOUNDED}}),
    ];
    for (path, _, class, owner) in MIX {
        entries.push(
            json!({"kind": "route", "name": path.trim_start_matches('/'), "owner": owner,
            "class": class, "service": "registru", "match": {"path_prefix": path},
            "limits": {"tries": tries, "deadline_ms": 500}}),
        );
    }
    Value::Array(entries)
}

fn settings(seed: u64, target: model::ModelTarget, tries: u32) -> model::ModelSettings {
    model::ModelSettings {
        seed,
        ingresses: INGRESSES,
        targets: vec![target; TARGETS],
        entries: entries(tries),
        link: LINK,
        policy: model::BalancingPolicy::Reducer,
    }
}

fn target(announced_slots: u32, queue_capacity: usize) -> model::ModelTarget {
    model::ModelTarget {
        service_name: "registru",
        slots: SLOTS,
        announced_slots,
        mean_run_time: SERVICE,
        queue_capacity,
        is_broken: false,
    }
}

/// One load and seed, the same arrivals for each way.
fn compare_admission(load: f64, seed: u64) {
    let ways = [
        ("admission", target(SLOTS, 0)),
        ("none", target(UNBOUNDED, usize::MAX)),
        ("fifo of 20", target(UNBOUNDED, 20)),
    ];
    for (way, target) in ways {
        let mut model = model::CallModel::new(settings(seed, target, 2));
        let kinds =
            MIX.map(|(path, share, ..)| model::CallKind::plain(path, CAPACITY * load * share));
        let counts = model.run(&kinds, SPAN);
        let good: u64 = counts.iter().map(|count| count.good).sum();
        let mut figure = json!({"bench": "goodput", "way": way, "load": load, "seed": seed,
            "good_of_capacity": good as f64 / SPAN.as_secs_f64() / CAPACITY});
        for ((path, ..), count) in MIX.iter().zip(&counts) {
            figure[*path] = json!({"good_of_sent": count.good as f64 / count.sent as f64,
                "p99_ms": count.latency_quantile(0.99) as f64 / 1000.0});
        }
        println!("{figure}");
    }
}

/// Some targets break every connection for a while, at half the capacity of all.
fn compare_budgets(broken: usize, seed: u64) {
    for (way, percent, reserve) in [("budget", 10, 3), ("no budget", 100, 1_000_000_000)] {
        let settings = settings(seed, target(SLOTS, 0), 4);
        let mut model = model::CallModel::new(settings).with_ingresses(|ingress| {
            let tunables = &mut ingress.state.settings.tunables.retry;
            tunables.budget_percent = percent;
            tunables.budget_reserve = reserve;
        });
        let kinds =
            MIX.map(|(path, share, ..)| model::CallKind::plain(path, CAPACITY * 0.5 * share));
        for (phase, broken) in [("before", 0), ("broken", broken), ("after", 0)] {
            model.set_broken(broken);
            let counts = model.run(&kinds, SPAN);
            let sum = |part: fn(&model::KindStats) -> u64| counts.iter().map(part).sum::<u64>();
            let sent = sum(|count| count.sent);
            let figure = json!({"bench": "retries", "way": way, "phase": phase, "seed": seed,
                "broken_targets": broken,
                "tries_per_call": sum(|count| count.tries) as f64 / sent as f64,
                "good_of_sent": sum(|count| count.good) as f64 / sent as f64});
            println!("{figure}");
        }
    }
}
