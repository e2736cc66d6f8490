//! Latency that the system adds to calls, under open-loop load: directly to a target, through the
//! target's owner node and through another node, in alternating rounds.
//!
//! Run with `cargo bench --bench calls`; prints one JSON line per result. Also measures the cost of
//! recording a timeline event and of counting an event of the reducer.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_daemon::{metrics, timeline};
use hazeltiller_engine::{settings as engine_settings, timeline as engine_timeline};
use hazeltiller_standin::{
    load::{self, mix, settings},
    settings as standin_settings, target,
};
use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::Request;
use serde_json::json;

const ROUNDS: usize = 3;
/// Calls per second.
const CALL_RATES_PER_S: [f64; 2] = [200.0, 1000.0];
/// Duration of a round, in seconds.
const ROUND_SECONDS: u64 = 3;
const RECORDED_EVENTS: u32 = 200_000;

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    measure_recording();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be started");
    runtime.block_on(measure_calls());
}

fn measure_recording() {
    let instance = "node-1".parse().expect("the name is valid");
    let tunables = engine_settings::TimelineTunables::default();
    let timeline = timeline::Timeline::new(instance, timeline::HybridClock::default(), &tunables);
    let request: hazeltiller_units::ids::RequestId = "0-1".parse().expect("the name is valid");
    let started = std::time::Instant::now();
    for _ in 0..RECORDED_EVENTS {
        timeline.record(engine_timeline::TimelineEvent::CallAnswered {
            request: request.clone(),
            status: 200,
            took_us: 1,
        });
    }
    let record_ns = started.elapsed().as_nanos() / u128::from(RECORDED_EVENTS);
    let metrics = metrics::ProcessMetrics::default();
    let started = std::time::Instant::now();
    for _ in 0..RECORDED_EVENTS {
        metrics.record_event(Duration::from_micros(1));
    }
    let count_ns = started.elapsed().as_nanos() / u128::from(RECORDED_EVENTS);
    println!(
        "{}",
        json!({"bench": "seeing", "note_ns": record_ns as u64, "count_ns": count_ns as u64})
    );
}

async fn measure_calls() {
    let mut fleet = fleet::Fleet::new(env!("CARGO_BIN_EXE_hazeltillerd"));
    fleet.add_controls("brasov-a", &["control-1"]).await;
    fleet.add_node("brasov-a", "node-1").await;
    fleet.add_node("brasov-a", "node-2").await;
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&["node-1", "node-2"], &[]).await;
    let change = json!({"change_id": "first", "expects": 0, "put": [
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
         "limits": {"slots": 100}},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/vehicles"}}]});
    wait::until("the first change", || async {
        let (status, _) = fleet.change("control-1", &change).await?;
        (status == 200).then_some(())
    })
    .await;
    let node = fleet.instance("node-2").addresses["target"];
    let name = "registru-1".parse().expect("the name is valid");
    let service = "registru".parse().expect("the name is valid");
    let settings = standin_settings::StandInSettings::builder(name, service, node).slots(100);
    let target = target::StandInTarget::start(settings.build()).await;
    let target = target.expect("loopback has a free port");
    for node in ["node-1", "node-2"] {
        wait::until("a successful response", || async {
            let request = Request::get("/vehicles/1").body(Full::default()).ok()?;
            let response = fleet.send_request(node, "callers", request).await?;
            response.status().is_success().then_some(())
        })
        .await;
    }
    let paths = [
        ("direct", target.address),
        ("own_node", fleet.instance("node-2").addresses["callers"]),
        ("other_node", fleet.instance("node-1").addresses["callers"]),
    ];
    for rate in CALL_RATES_PER_S {
        for round in 0..ROUNDS {
            for (path, address) in paths {
                measure_path(path, address, rate, round, target.address).await;
            }
        }
    }
}

async fn measure_path(
    path: &str,
    address: SocketAddr,
    rate: f64,
    round: usize,
    target: SocketAddr,
) {
    let kind = mix::RequestKind::get("/vehicles/{n}");
    let mix = mix::LoadMix::new(vec![kind]).expect("its only kind has a weight");
    let settings = settings::LoadSettings::builder(vec![address], mix)
        .rate(rate)
        .duration(Duration::from_secs(ROUND_SECONDS))
        .seed(round as u64)
        .stand_ins(vec![target])
        .build();
    let report = load::run(settings, |_progress| {}).await;
    let class = &report.classes["all"];
    println!(
        "{}",
        json!({"bench": "calls", "way": path, "rate": rate, "round": round, "sent": report.sent,
               "answered": report.answered, "p50_ms": class.p50_ms, "p99_ms": class.p99_ms,
               "clean": report.verdict.is_clean()})
    );
}
