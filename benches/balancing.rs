//! Load balancing: latency with one slow target, by balancing policy, and processor time of the
//! reducer per call.
//!
//! Run with `cargo bench --bench balancing`; prints one JSON line per result. With `-- large`, only
//! the reducer with a service of hundreds of targets is measured.

use std::time::{Duration, Instant};

use hazeltiller_engine::calls;
use hazeltiller_testkit::{model, node};
use hazeltiller_units::ids;
use serde_json::{Value, json};

/// Slots of each target.
const SLOTS_PER_TARGET: u32 = 10;
const TARGETS: usize = 10;
/// Mean run time at all targets but one.
const FAST_RUN_TIME: Duration = Duration::from_millis(10);
/// Mean run time at the slow target.
const SLOW_RUN_TIME: Duration = Duration::from_millis(50);
/// Calls per second that all targets can run: nine fast ones and the slow one.
const CAPACITY_CALLS_PER_S: f64 = 9.0 * 1000.0 + 200.0;
/// One-way latency between nodes.
const LINK_LATENCY: Duration = Duration::from_micros(250);
/// Time for which callers send calls.
const LOAD_TIME: Duration = Duration::from_secs(10);

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    for members in [300, 1000, 2000] {
        measure_large_service(members);
    }
    if std::env::args().any(|argument| argument == "large") {
        return;
    }
    for load in [0.3, 0.5, 0.7, 0.85] {
        for ingresses in [20, 200] {
            for seed in [1, 2, 3] {
                compare_policies(load, ingresses, seed);
            }
        }
    }
    measure_reducer();
}

fn entries() -> Value {
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
         "limits": {"queue": 1000}},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/"}, "limits": {"tries": 1}},
    ])
}

/// Measures all policies at one load, with the same arrivals.
fn compare_policies(load: f64, ingresses: usize, seed: u64) {
    let policies = [
        ("p2c with reports", model::BalancingPolicy::Reducer, 1000),
        (
            "p2c with own calls only",
            model::BalancingPolicy::Reducer,
            10,
        ),
        ("round robin", model::BalancingPolicy::RoundRobin, 1000),
        (
            "least of announced slots",
            model::BalancingPolicy::LeastRequest,
            1000,
        ),
    ];
    for (policy_name, policy, half_life_ms) in policies {
        let target = |number| model::ModelTarget {
            service_name: "registru",
            slots: SLOTS_PER_TARGET,
            announced_slots: SLOTS_PER_TARGET,
            mean_run_time: if number == 0 {
                SLOW_RUN_TIME
            } else {
                FAST_RUN_TIME
            },
            queue_capacity: 0,
            is_broken: false,
        };
        let settings = model::ModelSettings {
            seed,
            ingresses,
            targets: (0..TARGETS).map(target).collect(),
            entries: entries(),
            link: LINK_LATENCY,
            policy,
        };
        let mut model = model::CallModel::new(settings).with_ingresses(|ingress| {
            let tunables = &mut ingress.state.settings.tunables.routing;
            tunables.load_half_life_ms = half_life_ms;
        });
        let kind = model::CallKind::plain("/", CAPACITY_CALLS_PER_S * load);
        let stats = model.run(&[kind], LOAD_TIME).remove(0);
        let line = json!({"bench": "balancing", "policy": policy_name, "load": load,
            "ingresses": ingresses, "seed": seed,
            "sent": stats.sent, "good": stats.good,
            "p50_ms": stats.latency_quantile(0.5) as f64 / 1000.0,
            "p99_ms": stats.latency_quantile(0.99) as f64 / 1000.0});
        println!("{line}");
    }
}

/// Measures the reducer's processor time per call at one service with a target at each of its
/// members, and per call while one member's record changes between two calls.
fn measure_large_service(members: usize) {
    const CALLS: u64 = 2000;
    let mut node = node::NodeReducer::new("node-own", "centre-0", &entries());
    node.state.settings.tunables.routing.compared = 3;
    let publish = |node: &mut node::NodeReducer, number: usize, sequence: u64| {
        let data_centre = format!("centre-{}", number % 6);
        let identity = node::identity(&format!("node-{number}"), &data_centre, "ro-centru");
        let target = node::target(&format!("target-{number}"), "registru", 8);
        node.receive_record(&identity, sequence, vec![target]);
    };
    for number in 0..members {
        publish(&mut node, number, 1);
    }
    let mut microseconds = Vec::new();
    for changes in [false, true] {
        let started = Instant::now();
        for number in 0..CALLS {
            if changes {
                publish(&mut node, number as usize % members, 2 + number);
            }
            let call = ids::CallId(number);
            node.now = node.now + Duration::from_millis(400);
            node.call(calls::CallEvent::Arrived(node::arrival(number, "/7")));
            node.call(calls::CallEvent::Finished(call));
        }
        microseconds.push(started.elapsed().as_secs_f64() * 1e6 / CALLS as f64);
    }
    let line = json!({"bench": "large_service", "members": members,
        "call_us": microseconds[0], "call_and_change_us": microseconds[1]});
    println!("{line}");
}

/// Measures the reducer's processor time per call at the size that the system is designed for:
/// 1,400 nodes and 56 services with 40 routes each.
fn measure_reducer() {
    const NODES: usize = 1400;
    const SERVICES: usize = 56;
    const ROUTES: usize = 40;
    const CALLS: u64 = 200_000;
    let mut entries = vec![
        json!({"kind": "class", "name": "counter", "owner": "registru", "class": "counter"}),
        json!({"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"}),
    ];
    for service in 0..SERVICES {
        entries.push(
            json!({"kind": "service", "name": format!("service-{service}"),
            "owner": "registru", "class": "counter"}),
        );
        for route in 0..ROUTES {
            entries.push(
                json!({"kind": "route", "name": format!("route-{service}-{route}"),
                "owner": "registru", "class": "counter", "service": format!("service-{service}"),
                "match": {"path_prefix": format!("/{service}/{route}/")}}),
            );
        }
    }
    let mut node = node::NodeReducer::new("node-own", "centre-0", &Value::Array(entries));
    for number in 0..NODES {
        let data_centre = format!("centre-{}", number % 7);
        let region = if number % 7 < 4 {
            "ro-centru"
        } else {
            "ro-est"
        };
        let identity = node::identity(&format!("node-{number}"), &data_centre, region);
        let service = format!("service-{}", number % SERVICES);
        let record = node::target(&format!("target-{number}"), &service, 10);
        node.receive_record(&identity, 1, vec![record]);
    }
    node.announce(node::target("own", "service-0", 10));
    let started = Instant::now();
    for number in 0..CALLS {
        let call = ids::CallId(number);
        let path = format!(
            "/{}/{}/7",
            number as usize % SERVICES,
            number as usize % ROUTES
        );
        node.now = node.now + Duration::from_micros(2400);
        node.call(calls::CallEvent::Arrived(node::arrival(number, &path)));
        let result = calls::AttemptResult::Answered { status: 200 };
        let load = None;
        node.call(calls::CallEvent::AttemptEnded {
            call,
            result,
            report: calls::AttemptReport {
                load,
                ..calls::AttemptReport::default()
            },
        });
        node.call(calls::CallEvent::Finished(call));
    }
    let ingress_time = started.elapsed();
    let started = Instant::now();
    for number in CALLS..2 * CALLS {
        let call = ids::CallId(number);
        let mut offer = node::offer("own", "registru", "counter");
        offer.service = "service-0".parse().expect("the name is valid");
        node.now = node.now + Duration::from_micros(2400);
        node.call(calls::CallEvent::Offered { call, offer });
        let result = calls::RunResult::Done { status: 200 };
        node.call(calls::CallEvent::RunEnded { call, result });
    }
    let owner_time = started.elapsed();
    let seconds_per_call = (ingress_time + owner_time).as_secs_f64() / CALLS as f64;
    let events = 5.0 * CALLS as f64 / (ingress_time + owner_time).as_secs_f64();
    let line = json!({"bench": "reducer_calls", "nodes": NODES, "services": SERVICES,
        "routes": SERVICES * ROUTES, "events_per_s": events as u64,
        "ingress_us": ingress_time.as_secs_f64() * 1e6 / CALLS as f64,
        "owner_us": owner_time.as_secs_f64() * 1e6 / CALLS as f64,
        // 65,000 requests per second with call chains of depth 9, over 1,400 nodes.
        "core_percent_at_418_per_s": seconds_per_call * 418.0 * 100.0});
    println!("{line}");
}
