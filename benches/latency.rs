//! Time and processor that the system adds to a call, against the same call made directly.
//!
//! Run with `cargo bench --bench latency`; prints one JSON line a figure. Blocks of each way follow
//! one another in one run, so that what else the machine does meets them alike.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hazeltiller_standin::{behaviour, settings, target};
use hazeltiller_testkit::{fleet, wait};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt;
use indexmap::IndexMap;
use serde_json::{Value, json};
use tokio::{net::TcpStream, task::JoinSet, time};

const RATES: [u64; 3] = [100, 400, 1000];
const KEYED_RATES: [u64; 2] = [100, 400];
const ROUNDS: usize = 8;
const BLOCK: Duration = Duration::from_secs(1);
const CONNECTIONS: usize = 32;
const CLAIMERS: usize = 64;
const CLAIMING: Duration = Duration::from_secs(4);
const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];
const NODES: [&str; 2] = ["node-1", "node-2"];
/// Clock ticks of the kernel's accounting, a second; fixed on Linux.
const TICKS: f64 = 100.0;

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Runtime::new().expect("the system gives threads");
    runtime.block_on(measure());
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// One way to the target.
#[derive(Debug, Clone)]
struct CallWay {
    name: &'static str,
    address: SocketAddr,
    /// Instances whose processor it uses.
    instances: &'static [&'static str],
    method: &'static str,
    has_key: bool,
}

/// Kept connections to one address.
#[derive(Debug, Clone)]
struct Connections {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Sender>>>,
}

impl Connections {
    fn new(address: SocketAddr) -> Self {
        let idle = Arc::default();
        Self { address, idle }
    }

    async fn connect(&self) -> Sender {
        let stream = TcpStream::connect(self.address).await.expect("it listens");
        stream.set_nodelay(true).expect("a socket takes the option");
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .expect("it speaks HTTP/1.1");
        tokio::spawn(connection);
        sender
    }

    async fn take(&self) -> Sender {
        let idle = self.idle.lock().expect("no holder panics").pop();
        match idle {
            Some(sender) => sender,
            None => self.connect().await,
        }
    }

    /// Makes one call; returns its time.
    async fn call(&self, way: &CallWay) -> Duration {
        let mut sender = self.take().await;
        sender.ready().await.expect("kept connections stay open");
        let mut request = Request::builder()
            .method(way.method)
            .uri(if way.method == "GET" {
                "/vehicles/7"
            } else {
                "/certificates/7"
            })
            .header("host", "registru");
        if way.has_key {
            request = request.header("idempotency-key", format!("{:x}", rand::random::<u128>()));
        }
        let request = request.body(Full::default()).expect("it is a request");
        let started = Instant::now();
        let response = sender.send_request(request).await.expect("an answer");
        assert_eq!(
            response.status(),
            200,
            "{}: {:?}",
            way.name,
            response.headers()
        );
        response
            .into_body()
            .collect()
            .await
            .expect("a whole answer");
        let took = started.elapsed();
        self.idle.lock().expect("no holder panics").push(sender);
        took
    }
}

#[derive(Debug)]
struct WayFigures {
    times: Histogram<u64>,
    cpu_seconds: f64,
    calls: u64,
}

impl WayFigures {
    fn new() -> Self {
        Self {
            times: Histogram::new(3).expect("three digits are allowed"),
            cpu_seconds: 0.0,
            calls: 0,
        }
    }

    fn millis(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1e6
    }
}

async fn start(fleet: &mut fleet::Fleet) -> target::StandInTarget {
    fleet.add_controls("brasov-a", &CONTROLS).await;
    for node in NODES {
        fleet.add_node("brasov-a", node).await;
    }
    // Without the proxies that tests meddle with.
    let addresses: Vec<SocketAddr> = CONTROLS.iter().map(|_| free_address()).collect();
    for (index, name) in CONTROLS.into_iter().chain(NODES).enumerate() {
        let settings = &mut fleet.instance(name).settings;
        let peers = addresses.get(index).copied().unwrap_or_else(free_address);
        settings["listen"] = json!({"peers": peers});
        settings["advertise_peers"] = json!(peers);
        settings["control"] = json!(addresses);
    }
    fleet.start(&CONTROLS, &["--bootstrap"]).await;
    fleet.start(&NODES, &[]).await;
    wait::until("the catalogue", || async {
        for control in CONTROLS {
            let answer = fleet.change(control, &catalogue()).await;
            if answer.is_some_and(|(status, _)| status == 200) {
                return Some(());
            }
        }
        None
    })
    .await;
    fleet.wait_version(&NODES, 1).await;
    let behaviour = behaviour::StandInBehaviour {
        latency_ms: 0,
        ..behaviour::StandInBehaviour::default()
    };
    let settings = settings::StandInSettings::builder(
        "only".parse().expect("it is a name"),
        "registru".parse().expect("it is a name"),
        fleet.instance("node-1").addresses["target"],
    )
    .slots(200)
    .connections(400)
    .behaviour(behaviour)
    .build();
    let target = target::StandInTarget::start(settings).await;
    let target = target.expect("loopback has a free port");
    for node in NODES {
        wait::until("a way to the target", || async {
            let request = Request::get("/vehicles/7").body(Full::default()).ok()?;
            let response = fleet.send_request(node, "callers", request).await?;
            (response.status() == 200).then_some(())
        })
        .await;
    }
    target
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("it is bound")
}

fn catalogue() -> Value {
    json!({"change_id": "first", "expects": 0, "put": [
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
         "limits": {"slots": 200, "connections": 400, "queue": 200}},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/vehicles", "methods": ["GET"]}},
        {"kind": "route", "name": "issue", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/certificates", "methods": ["POST"]}},
    ]})
}

async fn measure() {
    let mut fleet = fleet::Fleet::new(env!("CARGO_BIN_EXE_hazeltillerd"));
    let target = start(&mut fleet).await;
    let mut callers = |name: &str| fleet.instance(name).addresses["callers"];
    let (one, two) = (callers("node-1"), callers("node-2"));
    let way = |name, address, instances, method, has_key| CallWay {
        name,
        address,
        instances,
        method,
        has_key,
    };
    let hops = [
        way("direct", target.address, &[], "GET", false),
        way("one-hop", one, &["node-1"], "GET", false),
        way("two-hops", two, &["node-1", "node-2"], "GET", false),
    ];
    for rate in RATES {
        print_added("latency", rate, &run_ways(&fleet, &hops, rate).await);
    }
    let keyed = [
        way("unkeyed", one, &["node-1"], "POST", false),
        way("keyed", one, &["node-1"], "POST", true),
    ];
    for rate in KEYED_RATES {
        print_added("keyed", rate, &run_ways(&fleet, &keyed, rate).await);
    }
    claims(&keyed[1]).await;
}

async fn run_ways(
    fleet: &fleet::Fleet,
    ways: &[CallWay],
    rate: u64,
) -> IndexMap<&'static str, WayFigures> {
    let mut figures: IndexMap<&'static str, WayFigures> = IndexMap::new();
    let pools: Vec<Connections> = ways
        .iter()
        .map(|way| Connections::new(way.address))
        .collect();
    for (way, pool) in ways.iter().zip(&pools) {
        let mut warm = Vec::new();
        for _ in 0..CONNECTIONS {
            warm.push(pool.connect().await);
        }
        pool.idle.lock().expect("no holder panics").extend(warm);
        for _ in 0..CONNECTIONS {
            pool.call(way).await;
        }
    }
    for _ in 0..ROUNDS {
        for (way, pool) in ways.iter().zip(&pools) {
            let cpu = processor(fleet, way.instances);
            let times = run_block(way, pool, rate).await;
            let figures = figures.entry(way.name).or_insert_with(WayFigures::new);
            figures.cpu_seconds += processor(fleet, way.instances) - cpu;
            figures.calls += times.len() as u64;
            for time in times {
                let nanos = time.as_nanos() as u64;
                figures.times.record(nanos).expect("it resizes itself");
            }
        }
    }
    figures
}

/// Sends calls at a steady rate, whatever the earlier ones do.
async fn run_block(way: &CallWay, pool: &Connections, rate: u64) -> Vec<Duration> {
    let mut calls = JoinSet::new();
    let mut timer = time::interval(Duration::from_secs(1) / rate as u32);
    let started = Instant::now();
    while started.elapsed() < BLOCK {
        timer.tick().await;
        let (way, pool) = (way.clone(), pool.clone());
        calls.spawn(async move { pool.call(&way).await });
    }
    calls.join_all().await
}

fn print_added(bench: &str, rate: u64, figures: &IndexMap<&'static str, WayFigures>) {
    let (_, base) = figures.first().expect("there is a first way");
    for (way, figure) in figures {
        let line = json!({
            "bench": bench, "way": way, "calls_per_second": rate, "calls": figure.calls,
            "p50_ms": round(figure.millis(0.5)), "p99_ms": round(figure.millis(0.99)),
            "added_p50_ms": round(figure.millis(0.5) - base.millis(0.5)),
            "added_p99_ms": round(figure.millis(0.99) - base.millis(0.99)),
            "cpu_us_per_call": round(1e6 * figure.cpu_seconds / figure.calls as f64),
        });
        println!("{line}");
    }
}

/// Claims that one node gets in a second, with many callers at once.
async fn claims(way: &CallWay) {
    let pool = Connections::new(way.address);
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..CLAIMERS {
        let (way, pool) = (way.clone(), pool.clone());
        callers.spawn(async move {
            let mut calls = 0_u64;
            while started.elapsed() < CLAIMING {
                pool.call(&way).await;
                calls += 1;
            }
            calls
        });
    }
    let calls: u64 = callers.join_all().await.into_iter().sum();
    let rate = calls as f64 / started.elapsed().as_secs_f64();
    let line = json!({"bench": "claims", "callers": CLAIMERS, "per_second": round(rate)});
    println!("{line}");
}

/// Seconds of processor that instances have used.
fn processor(fleet: &fleet::Fleet, instances: &[&str]) -> f64 {
    let used = |name: &&str| {
        let id = fleet.process_id(name)?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let (_, fields) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let user: f64 = fields.get(11)?.parse().ok()?;
        let system: f64 = fields.get(12)?.parse().ok()?;
        Some((user + system) / TICKS)
    };
    instances.iter().filter_map(used).sum()
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
