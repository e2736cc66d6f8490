//! What the system adds to a call: the same open loop straight to a target, through its own node
//! and through another node, in turn.
//!
//! Run with `cargo bench --bench calls`; prints one JSON line a figure. Also what a noted event of
//! the time line, a counted event of the reducer and a scrape cost.

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
const RATES: [f64; 2] = [200.0, 1000.0];
const SECONDS: u64 = 3;
const NOTES: u32 = 200_000;

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    measure_notes();
    let runtime = tokio::runtime::Runtime::new().expect("the system gives threads");
    runtime.block_on(measure_calls());
}

fn measure_notes() {
    let instance = "node-1".parse().expect("it is a name");
    let tunables = engine_settings::TimelineTunables::default();
    let timeline = timeline::Timeline::new(instance, timeline::HybridClock::default(), &tunables);
    let request: hazeltiller_units::ids::RequestId = "0-1".parse().expect("it is a name");
    let began = std::time::Instant::now();
    for _ in 0..NOTES {
        timeline.record(engine_timeline::TimelineEvent::CallAnswered {
            request: request.clone(),
            status: 200,
            took_us: 1,
        });
    }
    let note_ns = began.elapsed().as_nanos() / u128::from(NOTES);
    let metrics = metrics::ProcessMetrics::default();
    let began = std::time::Instant::now();
    for _ in 0..NOTES {
        metrics.record_event(Duration::from_micros(1));
    }
    let count_ns = began.elapsed().as_nanos() / u128::from(NOTES);
    println!(
        "{}",
        json!({"bench": "seeing", "note_ns": note_ns as u64, "count_ns": count_ns as u64})
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
    let name = "registru-1".parse().expect("it is a name");
    let service = "registru".parse().expect("it is a name");
    let standin = standin_settings::StandInSettings::builder(name, service, node).slots(100);
    let target = target::StandInTarget::start(standin.build()).await;
    let target = target.expect("loopback has a free port");
    for node in ["node-1", "node-2"] {
        wait::until("an answer", || async {
            let request = Request::get("/vehicles/1").body(Full::default()).ok()?;
            let response = fleet.send_request(node, "callers", request).await?;
            response.status().is_success().then_some(())
        })
        .await;
    }
    let ways = [
        ("direct", target.address),
        ("own_node", fleet.instance("node-2").addresses["callers"]),
        ("other_node", fleet.instance("node-1").addresses["callers"]),
    ];
    for rate in RATES {
        for round in 0..ROUNDS {
            for (way, address) in ways {
                measure_way(way, address, rate, round, target.address).await;
            }
        }
    }
}

async fn measure_way(way: &str, address: SocketAddr, rate: f64, round: usize, target: SocketAddr) {
    let kind = mix::RequestKind::get("/vehicles/{n}");
    let mix = mix::LoadMix::new(vec![kind]).expect("its one kind has a weight");
    let settings = settings::LoadSettings::builder(vec![address], mix)
        .rate(rate)
        .duration(Duration::from_secs(SECONDS))
        .seed(round as u64)
        .stand_ins(vec![target])
        .build();
    let report = load::run(settings, |_progress| {}).await;
    let class = &report.classes["all"];
    println!(
        "{}",
        json!({"bench": "calls", "way": way, "rate": rate, "round": round, "sent": report.sent,
               "answered": report.answered, "p50_ms": class.p50_ms, "p99_ms": class.p99_ms,
               "clean": report.verdict.is_clean()})
    );
}
