//! The cases: what the clients do, and the check of the rule.

use std::{
    collections::HashMap,
    io::Write as _,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{fleet, http, names, record, server};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

fn verdict(is_broken: bool) -> Verdict {
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

pub fn play(name: &str, record: &record::Record, is_troubled: bool) -> Verdict {
    match name {
        "crash" => crash(record, is_troubled, CrashSetting::Chunks),
        "crash-length" => crash(record, is_troubled, CrashSetting::Length),
        "crash-restarts" => crash(record, is_troubled, CrashSetting::Restarts),
        "foreign" => foreign(record, is_troubled),
        "pipeline" => pipeline(record, is_troubled),
        "gone" => gone(record, is_troubled),
        "spoilt" => spoilt(record, is_troubled),
        _ => Verdict::NotRun,
    }
}

/// How long a server is in trouble at a time, and the pause before the next time.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const CALM_TIME: Duration = Duration::from_secs(3);

static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(0);

fn attempt_id() -> String {
    let number = LAST_ATTEMPT.fetch_add(1, Ordering::Relaxed) + 1;
    format!("{number:016x}")
}

/// A configuration with a route for each row: prefix, type, service and time-out in seconds.
fn configuration(services: &[&str], routes: &[(&str, &str, &str, f64)]) -> String {
    configuration_within(services, routes, 0.4)
}

/// The same, with this target latency in seconds on all routes.
fn configuration_within(
    services: &[&str],
    routes: &[(&str, &str, &str, f64)],
    latency_s: f64,
) -> String {
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":120,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let routes = routes
        .iter()
        .enumerate()
        .map(|(index, (prefix, kind, service, timeout_s))| {
            format!(
                "{{\"name\":\"r-{index}\",\"path_prefix\":\"{prefix}\",\"type\":\"{kind}\",\
             \"timeout_s\":{timeout_s},\"target_latency_s\":{latency_s},\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":2}}"
            )
        });
    format!(
        "{{\"version\":3,\"base_version\":0,\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\
         \"idle_timeout_s\":15}},\"{}\":[{{\"host\":\"system.example\",\
         \"paths\":[{}]}}]}}",
        services.collect::<Vec<_>>().join(","),
        names::of("hosts"),
        routes.collect::<Vec<_>>().join(",")
    )
}

/// Encodes a request of a client.
fn encode(
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    body: Option<&[u8]>,
) -> Vec<u8> {
    let deadline = deadline_ms.to_string();
    let headers = [
        (names::of("attempt"), attempt),
        (names::of("deadline"), &deadline),
    ];
    http::request(method, path, &headers, body)
}

/// Encodes a request whose body is sent in chunks.
fn encode_chunked(path: &str, attempt: &str, deadline_ms: u64, body: &str) -> Vec<u8> {
    let deadline = deadline_ms.to_string();
    let headers = [
        (names::of("attempt"), attempt),
        (names::of("deadline"), &deadline),
        ("Transfer-Encoding", "chunked"),
    ];
    let mut bytes = http::request("POST", path, &headers, None);
    bytes.extend_from_slice(format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()).as_bytes());
    bytes
}

/// Records that a client sends a request.
fn record_sent(record: &record::Record, to: SocketAddr, attempt: &str, bytes: &[u8]) {
    let line = bytes
        .split(|byte| *byte == b'\r')
        .next()
        .unwrap_or_default();
    let line = String::from_utf8_lossy(line);
    record.line(&format!("client {attempt} sends {line} at {to}"));
}

/// Sends a request on a new connection at a node and records both it and the answer.
fn send(record: &record::Record, to: SocketAddr, attempt: &str, bytes: &[u8], ms: u64) -> u16 {
    record_sent(record, to, attempt, bytes);
    let sent = http::connect_local(to).and_then(|stream| {
        let mut connection = http::Connection::new(stream);
        connection.send(bytes)?;
        connection.receive(Instant::now() + Duration::from_millis(ms + 500))
    });
    match sent {
        Ok(response) => {
            record.line(&format!("client {attempt} got {}", response.status));
            response.status
        }
        Err(error) => {
            record.line(&format!("client {attempt} got no answer: {error}"));
            0
        }
    }
}

/// Waits until requests on a path are answered with success at all nodes.
fn wait_served(record: &record::Record, fleet: &fleet::Fleet, nodes: u8, path: &str) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    for node in 1..=nodes {
        loop {
            let attempt = attempt_id();
            let bytes = encode("GET", path, &attempt, 1000, None);
            if send(record, fleet.node(node).outbound, &attempt, &bytes, 1000) == 200 {
                break;
            }
            if Instant::now() > until {
                record.line(&format!("node {node} serves nothing on {path}"));
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    true
}

/// Waits for a calm time of more than the stable window.
fn settle() {
    std::thread::sleep(Duration::from_secs_f64(fleet::STABLE_WINDOW_S + 1.0));
}

fn new_events() -> server::Events {
    Arc::new(Mutex::new(Vec::new()))
}

fn ended(record: &record::Record, fleet: &mut fleet::Fleet) {
    for name in fleet.ended() {
        record.line(&format!("{name} has ended by itself"));
    }
}

/// What else happens while a request that crashes servers comes again and again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashSetting {
    /// Nothing; the body of the request is sent in chunks.
    Chunks,
    /// Nothing; the body is sent with a length.
    Length,
    /// All nodes are stopped and started in turn; the body is sent with a length.
    Restarts,
}

/// A request that crashes each server that begins to run it comes again and again.
fn crash(record: &record::Record, is_troubled: bool, setting: CrashSetting) -> Verdict {
    const BACK_AFTER: Duration = Duration::from_secs(3);
    const FIRST_STOP_AFTER: Duration = Duration::from_secs(12);
    const STOP_GAP: Duration = Duration::from_millis(1300);
    let (node_count, length) = match setting {
        CrashSetting::Restarts => (10, Duration::from_secs(80)),
        CrashSetting::Chunks | CrashSetting::Length => (4, Duration::from_secs(45)),
    };
    let mut fleet = fleet::Fleet::start(record, 3, &vec!["desk"; usize::from(node_count)]);
    fleet.wait_ready_for(
        &configuration(
            &["desk"],
            &[
                ("/read/", "safe", "desk", 1.2),
                ("/pay/", "unsafe", "desk", 1.5),
            ],
        ),
        node_count,
    );
    let nodes: Vec<fleet::NodeAddresses> = (1..=node_count).map(|node| fleet.node(node)).collect();
    let events = new_events();
    let start = |node: fleet::NodeAddresses, life: u32| {
        let id = format!("i-{}-{life}", node.node);
        server::Server::start(record, &events, node, (&id, "desk", "sound"))
    };
    let mut servers: Vec<(server::Server, u32, Option<Instant>)> = nodes
        .iter()
        .map(|node| (start(*node, 1), 1, None))
        .collect();
    if !wait_served(record, &fleet, node_count, "/read/w20") {
        return Verdict::NotRun;
    }
    settle();
    let began = Instant::now();
    // Nodes and when they were started again.
    let restarts = Arc::new(Mutex::new(Vec::new()));
    let stopping = std::thread::spawn({
        let (record, restarts) = (record.clone(), Arc::clone(&restarts));
        move || {
            if is_troubled && setting == CrashSetting::Restarts {
                std::thread::sleep(FIRST_STOP_AFTER);
                for node in 1..=node_count {
                    fleet.stop_node(node, "desk");
                    let mut restarts = restarts.lock().expect("no holder panics");
                    restarts.push((node, record.now()));
                    drop(restarts);
                    std::thread::sleep(STOP_GAP);
                }
            }
            fleet
        }
    });
    let mut sent = HashMap::new();
    let mut next_bad = began;
    let mut turn = 0;
    while began.elapsed() < length {
        for ((server, life, ended_at), node) in servers.iter_mut().zip(&nodes) {
            match ended_at {
                None if server.has_ended() => {
                    record.line(&format!("server {} has crashed", server.id));
                    *ended_at = Some(Instant::now());
                }
                Some(at) if at.elapsed() >= BACK_AFTER => {
                    *life += 1;
                    *server = start(*node, *life);
                    *ended_at = None;
                }
                _ => {}
            }
        }
        turn = (turn + 1) % nodes.len();
        let fleet::NodeAddresses { node, outbound, .. } = nodes[turn];
        let attempt = attempt_id();
        if is_troubled && Instant::now() >= next_bad {
            next_bad += Duration::from_secs(1);
            let body = "limit=1000&franchise=77";
            let bytes = if setting == CrashSetting::Chunks {
                encode_chunked("/pay/crash", &attempt, 1500, body)
            } else {
                encode("POST", "/pay/crash", &attempt, 1500, Some(body.as_bytes()))
            };
            sent.insert(attempt.clone(), (record.now(), node));
            send(record, outbound, &attempt, &bytes, 1500);
        } else {
            let bytes = encode("GET", "/read/w20", &attempt, 1200, None);
            send(record, outbound, &attempt, &bytes, 1200);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let mut fleet = stopping.join().expect("the nodes were started again");
    let events = events.lock().expect("no holder panics").clone();
    let crashes: Vec<&server::Event> = events
        .iter()
        .filter(|event| event.kind == "run" && event.path == "/pay/crash")
        .collect();
    record.line(&format!("{} sent, {} crashes", sent.len(), crashes.len()));
    ended(record, &mut fleet);
    let Some(third) = crashes.get(2) else {
        return Verdict::Held;
    };
    let window = Duration::from_secs_f64(fleet::STABLE_WINDOW_S);
    let restarts = restarts.lock().expect("no holder panics");
    // A node is in touch again after the window, with half a second to start.
    let in_touch_after = window + Duration::from_millis(500);
    let is_in_touch = |node: u8, at: Duration| {
        let mut started = restarts.iter().filter(|(known, _)| *known == node);
        started.all(|(_, started)| at < *started || at > *started + in_touch_after)
    };
    let is_late = |event: &&server::Event| {
        event.kind == "arrive"
            && event.path == "/pay/crash"
            && sent
                .get(&event.attempt)
                .is_some_and(|(at, node)| *at > third.at + window && is_in_touch(*node, *at))
    };
    let late = events.iter().filter(is_late).count();
    record.line(&format!(
        "third crash at {:.3}; {late} retries sent more than 3 s later, at nodes in touch, reached \
         servers (3 allowed)",
        third.at.as_secs_f64()
    ));
    verdict(late > 3)
}

/// A heartbeat of another writer, with fields missing, names a server of one service as one of
/// another.
fn foreign(record: &record::Record, is_troubled: bool) -> Verdict {
    let mut fleet = fleet::Fleet::start(record, 3, &["desk", "desk", "ledger"]);
    fleet.wait_ready_for(
        &configuration(
            &["desk", "ledger"],
            &[
                ("/limit/", "unsafe", "desk", 1.5),
                ("/ledger/", "safe", "ledger", 1.2),
                ("/read/", "safe", "desk", 1.2),
            ],
        ),
        3,
    );
    let events = new_events();
    let rows = [
        (1, "i-desk-1", "desk"),
        (2, "i-desk-2", "desk"),
        (3, "i-ledger-1", "ledger"),
    ];
    let _servers: Vec<server::Server> = rows
        .into_iter()
        .map(|(node, id, service)| {
            server::Server::start(record, &events, fleet.node(node), (id, service, "sound"))
        })
        .collect();
    let is_served = wait_served(record, &fleet, 3, "/read/w20")
        && wait_served(record, &fleet, 3, "/ledger/w20");
    if !is_served {
        return Verdict::NotRun;
    }
    settle();
    if is_troubled {
        // Of the fields that the page lists, zone, version and the warm-up are missing.
        let body = format!(
            "{{\"service\":\"ledger\",\"address\":\"{}\",\"slots\":6,\"state\":\"ready\",\
             \"sequence\":1,\"born\":{}}}",
            fleet.node(1).app,
            server::unix_ms()
        );
        let headers = [("Content-Type", "application/json")];
        let request = http::request(
            "PUT",
            &format!("{}i-desk-1", names::of("instances")),
            &headers,
            Some(body.as_bytes()),
        );
        let answer = http::exchange(
            None,
            fleet.node(1).heartbeats,
            &request,
            Duration::from_secs(1),
        );
        let answer = answer.map_or(0, |response| response.status);
        record.line(&format!(
            "the heartbeat of another writer, {body}, got {answer}"
        ));
    }
    for round in 0..120 {
        let node = round % 3 + 1;
        let attempt = attempt_id();
        let bytes = encode("GET", &format!("/ledger/w20-{round}"), &attempt, 1200, None);
        send(record, fleet.node(node).outbound, &attempt, &bytes, 1200);
        let attempt = attempt_id();
        let bytes = encode(
            "POST",
            &format!("/limit/w20-{round}"),
            &attempt,
            1500,
            Some(b"x"),
        );
        send(record, fleet.node(node).outbound, &attempt, &bytes, 1500);
        std::thread::sleep(Duration::from_millis(50));
    }
    let events = events.lock().expect("no holder panics").clone();
    let wrong = events.iter().filter(|event| {
        event.kind == "run"
            && event.path.starts_with("/ledger/")
            && event.server.starts_with("i-desk")
    });
    let wrong = wrong.count();
    ended(record, &mut fleet);
    record.line(&format!(
        "{wrong} requests of the ledger's route ran at a server of the desk"
    ));
    verdict(wrong > 0)
}

/// Clients send further requests before the first is answered; one of three servers breaks off some
/// answers.
fn pipeline(record: &record::Record, is_troubled: bool) -> Verdict {
    const BATCH: usize = 8;
    const TIMES: u32 = 4;
    let length = (TROUBLE_TIME + CALM_TIME) * TIMES;
    let mut fleet = fleet::Fleet::start(record, 3, &["desk", "desk", "desk"]);
    fleet.wait_ready_for(
        &configuration(&["desk"], &[("/read/", "safe", "desk", 2.0)]),
        3,
    );
    let events = new_events();
    let mode = if is_troubled {
        "chunked,breaks"
    } else {
        "chunked"
    };
    let mut servers = [
        server::Server::start(record, &events, fleet.node(1), ("i-faulty", "desk", mode)),
        server::Server::start(
            record,
            &events,
            fleet.node(2),
            ("i-sound-1", "desk", "chunked"),
        ),
        server::Server::start(
            record,
            &events,
            fleet.node(3),
            ("i-sound-2", "desk", "chunked"),
        ),
    ];
    if !wait_served(record, &fleet, 3, "/read/w20") {
        return Verdict::NotRun;
    }
    settle();
    let lost = Arc::new(Mutex::new(Vec::new()));
    let clients = (0..6_u8).map(|client| {
        let to = fleet.node(client % 3 + 1).outbound;
        let (record, lost) = (record.clone(), Arc::clone(&lost));
        std::thread::spawn(move || {
            let began = Instant::now();
            let mut kept = None;
            while began.elapsed() < length {
                let mut connection = match kept.take() {
                    Some(connection) => connection,
                    None => match first_request(&record, to) {
                        Some(connection) => connection,
                        None => continue,
                    },
                };
                let attempts: Vec<String> = (0..BATCH).map(|_| attempt_id()).collect();
                let mut batch = Vec::new();
                for attempt in &attempts {
                    batch.extend(encode("GET", "/read/w100", attempt, 2000, None));
                }
                record.line(&format!(
                    "client {client} sends GET /read/w100 at {to}, in one go: {}",
                    attempts.join(" ")
                ));
                if connection.send(&batch).is_err() {
                    continue;
                }
                let until = Instant::now() + Duration::from_secs(3);
                let mut answered = 0;
                for attempt in &attempts {
                    match connection.receive(until) {
                        Ok(response) => {
                            record.line(&format!("client {attempt} got {}", response.status));
                            answered += 1;
                        }
                        Err(error) => {
                            record.line(&format!("client {attempt} got no answer: {error}"));
                            break;
                        }
                    }
                }
                if answered == BATCH {
                    kept = Some(connection);
                } else {
                    // The one whose answer broke off isn't counted, only those behind it.
                    let behind = attempts.into_iter().skip(answered + 1);
                    lost.lock().expect("no holder panics").extend(behind);
                }
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    for _ in 0..TIMES {
        servers[0].set_troubled(record, true);
        std::thread::sleep(TROUBLE_TIME);
        servers[0].set_troubled(record, false);
        std::thread::sleep(CALM_TIME);
    }
    for client in clients {
        let _ = client.join();
    }
    ended(record, &mut fleet);
    let events = events.lock().expect("no holder panics").clone();
    let lost = lost.lock().expect("no holder panics");
    let at_sound = lost.iter().filter(|attempt| {
        let mut runs = events.iter().filter(|event| event.attempt == **attempt);
        runs.any(|event| event.kind == "run" && event.server.starts_with("i-sound"))
    });
    let at_sound = at_sound.count();
    let broken = events.iter().filter(|event| event.kind == "broke").count();
    record.line(&format!(
        "{broken} answers broken off by the faulty server; {} requests behind them got no answer, \
         {at_sound} of them were passed on to the sound server (3 allowed)",
        lost.len()
    ));
    verdict(at_sound > 3)
}

/// Opens a connection and keeps it after a first request that was answered.
fn first_request(record: &record::Record, to: SocketAddr) -> Option<http::Connection> {
    let mut connection = http::Connection::new(http::connect_local(to).ok()?);
    let attempt = attempt_id();
    let bytes = encode("GET", "/read/w20", &attempt, 2000, None);
    record_sent(record, to, &attempt, &bytes);
    connection.send(&bytes).ok()?;
    let response = connection
        .receive(Instant::now() + Duration::from_secs(3))
        .ok()?;
    record.line(&format!(
        "client {attempt} got {} on a new connection",
        response.status
    ));
    Some(connection)
}

/// A share of the clients leaves while their requests with long bodies wait for a slot.
fn gone(record: &record::Record, is_troubled: bool) -> Verdict {
    const ROUNDS: usize = 4;
    const CLIENTS: usize = 20;
    /// One of so many clients leaves.
    const LEAVING_EVERY: usize = 5;
    const BODY_BYTES: usize = 120_000;
    let mut fleet = fleet::Fleet::start(record, 3, &["desk", "other"]);
    // Figures of a small deployment: a target latency of 1.5 s and runs of at most 0.7 s.
    let routes = [
        ("/read/", "safe", "desk", 5.0),
        ("/pay/", "unsafe", "desk", 5.0),
    ];
    fleet.wait_ready_for(&configuration_within(&["desk", "other"], &routes, 1.5), 2);
    let events = new_events();
    let _servers = [
        server::Server::start(record, &events, fleet.node(1), ("i-1", "desk", "sound")),
        server::Server::start(record, &events, fleet.node(2), ("i-2", "other", "sound")),
    ];
    if !wait_served(record, &fleet, 2, "/read/w20") {
        return Verdict::NotRun;
    }
    settle();
    let to = fleet.node(2).outbound;
    let closed = Arc::new(Mutex::new(HashMap::new()));
    for _round in 0..ROUNDS {
        let mut clients = Vec::new();
        for _ in 0..12 {
            let record = record.clone();
            clients.push(std::thread::spawn(move || {
                let attempt = attempt_id();
                let bytes = encode("POST", "/pay/w700", &attempt, 5000, Some(b"x"));
                send(&record, to, &attempt, &bytes, 5000);
            }));
        }
        std::thread::sleep(Duration::from_millis(200));
        for index in 0..CLIENTS {
            let (record, closed) = (record.clone(), Arc::clone(&closed));
            clients.push(std::thread::spawn(move || {
                let attempt = attempt_id();
                let body = vec![b'y'; BODY_BYTES];
                let bytes = encode("POST", "/pay/w50", &attempt, 5000, Some(&body));
                if !is_troubled || index % LEAVING_EVERY != 0 {
                    send(&record, to, &attempt, &bytes, 5000);
                    return;
                }
                let Ok(mut stream) = http::connect_local(to) else {
                    return;
                };
                record_sent(&record, to, &attempt, &bytes);
                let was_sent = stream.write_all(&bytes).is_ok();
                std::thread::sleep(Duration::from_millis(300));
                let own = stream.local_addr();
                drop(stream);
                std::thread::sleep(Duration::from_millis(100));
                let has_arrived = own.is_ok_and(|own| http::has_close_arrived(to, own));
                record.line(&format!(
                    "client {attempt} left; all was sent: {was_sent}; its close is there: \
                     {has_arrived}"
                ));
                if !has_arrived {
                    return;
                }
                closed
                    .lock()
                    .expect("no holder panics")
                    .insert(attempt, record.now());
            }));
        }
        for client in clients {
            let _ = client.join();
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    ended(record, &mut fleet);
    let events = events.lock().expect("no holder panics").clone();
    let closed = closed.lock().expect("no holder panics");
    let is_late = |event: &&server::Event| {
        let left_at = closed.get(&event.attempt);
        left_at.is_some_and(|left| event.at > *left + Duration::from_millis(500))
    };
    let late = events.iter().filter(is_late);
    let late: Vec<&server::Event> = late.collect();
    let count = |kind: &str| late.iter().filter(|event| event.kind == kind).count();
    let (arrived, run) = (count("arrive"), count("run"));
    record.line(&format!(
        "{} clients left; {arrived} of their requests reached a server over half a second later, \
         {run} were run there (a few, 5, allowed)",
        closed.len()
    ));
    verdict(arrived > 5)
}

/// One of three servers spoils some answers: a line of the head tells another length than the chunks.
fn spoilt(record: &record::Record, is_troubled: bool) -> Verdict {
    const TIMES: u32 = 2;
    let length = (TROUBLE_TIME + CALM_TIME) * TIMES;
    let mut fleet = fleet::Fleet::start(record, 3, &["desk", "desk", "desk"]);
    fleet.wait_ready_for(
        &configuration(&["desk"], &[("/read/", "safe", "desk", 2.0)]),
        3,
    );
    let events = new_events();
    let mode = if is_troubled {
        "chunked,spoils"
    } else {
        "chunked"
    };
    let mut servers = [
        server::Server::start(record, &events, fleet.node(1), ("i-faulty", "desk", mode)),
        server::Server::start(
            record,
            &events,
            fleet.node(2),
            ("i-sound-1", "desk", "chunked"),
        ),
        server::Server::start(
            record,
            &events,
            fleet.node(3),
            ("i-sound-2", "desk", "chunked"),
        ),
    ];
    if !wait_served(record, &fleet, 3, "/read/w20") {
        return Verdict::NotRun;
    }
    settle();
    let faults = Arc::new(AtomicU64::new(0));
    let answers = Arc::new(AtomicU64::new(0));
    let clients = (0..6_u8).map(|client| {
        let to = fleet.node(client % 3 + 1).outbound;
        let (record, faults) = (record.clone(), Arc::clone(&faults));
        let answers = Arc::clone(&answers);
        std::thread::spawn(move || {
            let began = Instant::now();
            let mut kept = None;
            while began.elapsed() < length {
                let connection = match kept.take() {
                    Some(connection) => Ok(connection),
                    None => http::connect_local(to).map(http::Connection::new),
                };
                let Ok(mut connection) = connection else {
                    continue;
                };
                let attempt = attempt_id();
                let bytes = encode("GET", "/read/w20", &attempt, 2000, None);
                record_sent(&record, to, &attempt, &bytes);
                if connection.send(&bytes).is_err() {
                    continue;
                }
                let until = Instant::now() + Duration::from_secs(3);
                match connection.receive(until) {
                    Ok(response) => {
                        answers.fetch_add(1, Ordering::Relaxed);
                        let text = String::from_utf8_lossy(&response.body).into_owned();
                        let id = response
                            .header(names::of("attempt"))
                            .unwrap_or("none")
                            .to_owned();
                        record.line(&format!("client {attempt} got {} {text}", response.status));
                        let is_whole = text.ends_with(" ran /read/w20");
                        if response.status == 200 && (!is_whole || id != attempt) {
                            faults.fetch_add(1, Ordering::Relaxed);
                            record.line(&format!(
                                "client {attempt}: a success that is not the whole body: {text:?}"
                            ));
                        }
                        kept = Some(connection);
                    }
                    Err(error) if error.kind() == std::io::ErrorKind::InvalidData => {
                        faults.fetch_add(1, Ordering::Relaxed);
                        record.line(&format!(
                            "client {attempt}: bytes that are no answer on the kept connection"
                        ));
                    }
                    Err(error) => {
                        record.line(&format!("client {attempt} got no answer: {error}"));
                    }
                }
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    for _ in 0..TIMES {
        servers[0].set_troubled(record, true);
        std::thread::sleep(TROUBLE_TIME);
        servers[0].set_troubled(record, false);
        std::thread::sleep(CALM_TIME);
    }
    for client in clients {
        let _ = client.join();
    }
    ended(record, &mut fleet);
    let events = events.lock().expect("no holder panics").clone();
    let spoilt = events.iter().filter(|event| event.kind == "spoilt").count();
    let (answers, faults) = (
        answers.load(Ordering::Relaxed),
        faults.load(Ordering::Relaxed),
    );
    record.line(&format!(
        "{answers} answers, {spoilt} spoilt by the faulty server; {faults} successes that were not \
         the whole body or belonged to another request, or bytes that are no answer (0 allowed)"
    ));
    verdict(faults > 0)
}
