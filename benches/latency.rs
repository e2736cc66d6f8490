//! Latency and processor time that the system adds to a call, compared with direct calls.
//!
//! Run with `cargo bench --bench latency`; prints one JSON line per result. Blocks of calls
//! alternate between the paths, so that other load on the machine affects all of them alike.

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

/// Calls per second.
const CALL_RATES_PER_S: [u64; 3] = [100, 400, 1000];
/// Calls per second of the comparison of calls with and without an idempotency key.
const KEYED_CALL_RATES_PER_S: [u64; 2] = [100, 400];
const ROUNDS: usize = 8;
const BLOCK_TIME: Duration = Duration::from_secs(1);
/// Connections that are opened before the first block.
const WARM_CONNECTIONS: usize = 32;
const CLAIM_CALLERS: usize = 64;
const CLAIM_TIME: Duration = Duration::from_secs(4);
const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];
const NODES: [&str; 2] = ["node-1", "node-2"];
/// Clock ticks per second in /proc; fixed on Linux.
const CLOCK_TICKS_PER_S: f64 = 100.0;

fn main() {
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be started");
    runtime.block_on(measure());
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// Path to the target, with the kind of calls that take it.
#[derive(Debug, Clone)]
struct CallPath {
    name: &'static str,
    address: SocketAddr,
    /// Instances whose processor time is measured.
    instances: &'static [&'static str],
    method: &'static str,
    has_key: bool,
}

/// Pool of kept-alive connections to one address.
#[derive(Debug, Clone)]
struct ConnectionPool {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Sender>>>,
}

impl ConnectionPool {
    fn new(address: SocketAddr) -> Self {
        let idle = Arc::default();
        Self { address, idle }
    }

    async fn connect(&self) -> Sender {
        let stream = TcpStream::connect(self.address)
            .await
            .expect("the address accepts connections");
        stream.set_nodelay(true).expect("TCP_NODELAY can be set");
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .expect("the peer speaks HTTP/1.1");
        tokio::spawn(connection);
        sender
    }

    async fn acquire(&self) -> Sender {
        let idle = self.idle.lock().expect("the lock is not poisoned").pop();
        match idle {
            Some(sender) => sender,
            None => self.connect().await,
        }
    }

    /// Makes a call and returns its latency.
    async fn call(&self, path: &CallPath) -> Duration {
        let mut sender = self.acquire().await;
        sender
            .ready()
            .await
            .expect("kept-alive connections stay open");
        let mut request = Request::builder()
            .method(path.method)
            .uri(if path.method == "GET" {
                "/vehicles/7"
            } else {
                "/certificates/7"
            })
            .header("host", "registru");
        if path.has_key {
            request = request.header("idempotency-key", format!("{:x}", rand::random::<u128>()));
        }
        let request = request.body(Full::default()).expect("the request is valid");
        let started = Instant::now();
        let response = sender
            .send_request(request)
            .await
            .expect("there is a response");
        assert_eq!(
            response.status(),
            200,
            "{}: {:?}",
            path.name,
            response.headers()
        );
        response
            .into_body()
            .collect()
            .await
            .expect("the response is complete");
        let latency = started.elapsed();
        self.idle
            .lock()
            .expect("the lock is not poisoned")
            .push(sender);
        latency
    }
}

#[derive(Debug)]
struct PathStats {
    latencies: Histogram<u64>,
    cpu_seconds: f64,
    calls: u64,
}

impl PathStats {
    fn new() -> Self {
        Self {
            latencies: Histogram::new(3).expect("three significant digits are supported"),
            cpu_seconds: 0.0,
            calls: 0,
        }
    }

    fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e6
    }
}

/// Starts the fleet and a target behind `node-1`.
async fn start(fleet: &mut fleet::Fleet) -> target::StandInTarget {
    fleet.add_controls("brasov-a", &CONTROLS).await;
    for node in NODES {
        fleet.add_node("brasov-a", node).await;
    }
    // Instances connect directly, not through the fault-injecting proxies.
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
            let response = fleet.change(control, &catalogue()).await;
            if response.is_some_and(|(status, _)| status == 200) {
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
        "only".parse().expect("the name is valid"),
        "registru".parse().expect("the name is valid"),
        fleet.instance("node-1").addresses["target"],
    )
    .slots(200)
    .connections(400)
    .behaviour(behaviour)
    .build();
    let target = target::StandInTarget::start(settings).await;
    let target = target.expect("loopback has a free port");
    for node in NODES {
        wait::until("a successful response from the target", || async {
            let request = Request::get("/vehicles/7").body(Full::default()).ok()?;
            let response = fleet.send_request(node, "callers", request).await?;
            (response.status() == 200).then_some(())
        })
        .await;
    }
    target
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("the listener is bound")
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
    let path = |name, address, instances, method, has_key| CallPath {
        name,
        address,
        instances,
        method,
        has_key,
    };
    let hops = [
        path("direct", target.address, &[], "GET", false),
        path("one-hop", one, &["node-1"], "GET", false),
        path("two-hops", two, &["node-1", "node-2"], "GET", false),
    ];
    for rate in CALL_RATES_PER_S {
        print_overhead("latency", rate, &measure_paths(&fleet, &hops, rate).await);
    }
    let keyed = [
        path("unkeyed", one, &["node-1"], "POST", false),
        path("keyed", one, &["node-1"], "POST", true),
    ];
    for rate in KEYED_CALL_RATES_PER_S {
        print_overhead("keyed", rate, &measure_paths(&fleet, &keyed, rate).await);
    }
    measure_claims(&keyed[1]).await;
}

async fn measure_paths(
    fleet: &fleet::Fleet,
    paths: &[CallPath],
    rate: u64,
) -> IndexMap<&'static str, PathStats> {
    let mut stats_by_path: IndexMap<&'static str, PathStats> = IndexMap::new();
    let pools: Vec<ConnectionPool> = paths
        .iter()
        .map(|path| ConnectionPool::new(path.address))
        .collect();
    for (path, pool) in paths.iter().zip(&pools) {
        let mut connections = Vec::new();
        for _ in 0..WARM_CONNECTIONS {
            connections.push(pool.connect().await);
        }
        pool.idle
            .lock()
            .expect("the lock is not poisoned")
            .extend(connections);
        for _ in 0..WARM_CONNECTIONS {
            pool.call(path).await;
        }
    }
    for _ in 0..ROUNDS {
        for (path, pool) in paths.iter().zip(&pools) {
            let cpu_before = cpu_seconds(fleet, path.instances);
            let latencies = run_block(path, pool, rate).await;
            let stats = stats_by_path
                .entry(path.name)
                .or_insert_with(PathStats::new);
            stats.cpu_seconds += cpu_seconds(fleet, path.instances) - cpu_before;
            stats.calls += latencies.len() as u64;
            for latency in latencies {
                let nanos = latency.as_nanos() as u64;
                stats
                    .latencies
                    .record(nanos)
                    .expect("the histogram resizes itself");
            }
        }
    }
    stats_by_path
}

/// Sends calls at a constant rate without waiting for earlier ones; returns their latencies.
async fn run_block(path: &CallPath, pool: &ConnectionPool, rate: u64) -> Vec<Duration> {
    let mut calls = JoinSet::new();
    let mut timer = time::interval(Duration::from_secs(1) / rate as u32);
    let started = Instant::now();
    while started.elapsed() < BLOCK_TIME {
        timer.tick().await;
        let (path, pool) = (path.clone(), pool.clone());
        calls.spawn(async move { pool.call(&path).await });
    }
    calls.join_all().await
}

fn print_overhead(bench: &str, rate: u64, stats_by_path: &IndexMap<&'static str, PathStats>) {
    let (_, baseline) = stats_by_path.first().expect("there is a first path");
    for (path, stats) in stats_by_path {
        let line = json!({
            "bench": bench, "way": path, "calls_per_second": rate, "calls": stats.calls,
            "p50_ms": round(stats.latency_ms(0.5)), "p99_ms": round(stats.latency_ms(0.99)),
            "added_p50_ms": round(stats.latency_ms(0.5) - baseline.latency_ms(0.5)),
            "added_p99_ms": round(stats.latency_ms(0.99) - baseline.latency_ms(0.99)),
            "cpu_us_per_call": round(1e6 * stats.cpu_seconds / stats.calls as f64),
        });
        println!("{line}");
    }
}

/// Measures the number of keyed calls, each of which needs a claim, that one node completes per
/// second with many concurrent callers.
async fn measure_claims(path: &CallPath) {
    let pool = ConnectionPool::new(path.address);
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..CLAIM_CALLERS {
        let (path, pool) = (path.clone(), pool.clone());
        callers.spawn(async move {
            let mut calls = 0_u64;
            while started.elapsed() < CLAIM_TIME {
                pool.call(&path).await;
                calls += 1;
            }
            calls
        });
    }
    let calls: u64 = callers.join_all().await.into_iter().sum();
    let rate = calls as f64 / started.elapsed().as_secs_f64();
    let line = json!({"bench": "claims", "callers": CLAIM_CALLERS, "per_second": round(rate)});
    println!("{line}");
}

/// Returns the processor time that instances have used, in seconds.
fn cpu_seconds(fleet: &fleet::Fleet, instances: &[&str]) -> f64 {
    let used_seconds = |name: &&str| {
        let id = fleet.process_id(name)?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let (_, fields) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let user: f64 = fields.get(11)?.parse().ok()?;
        let system: f64 = fields.get(12)?.parse().ok()?;
        Some((user + system) / CLOCK_TICKS_PER_S)
    };
    instances.iter().filter_map(used_seconds).sum()
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
