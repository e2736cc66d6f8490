//! An answer that its server breaks off takes the requests behind it on the connection with it.

use std::{
    collections::{HashMap, HashSet},
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Instant,
};

use crate::kit::{self, ms};

const SERVERS: usize = 6;
const SLOTS: usize = 6;
/// Two servers of six break answers off (garble, share 0.35).
const GARBLING_SERVERS: usize = 2;
/// Part of their answers that break off (garble, x 0.02).
const CUT_PART: f64 = 0.02;
/// Clients a machine, each with one kept connection.
const CLIENTS: usize = 4;
/// Requests that a client sends before it reads the first answer.
const DEPTH: usize = 4;

pub fn run(record: &Arc<kit::Record>, is_disturbed: bool) -> (Arc<kit::Fleet>, Vec<String>) {
    let fleet = kit::Fleet::plan(record, 3, &["limit-desk"; SERVERS]);
    *kit::FLEET.lock().unwrap() = Some(Arc::clone(&fleet));
    fleet.start_all();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let servers: Vec<_> = fleet
        .nodes
        .iter()
        .enumerate()
        .map(|(i, node)| {
            kit::Server::start(&fleet, node, &format!("i-{i}"), SLOTS, ms(60), 1500, &arrivals)
        })
        .collect();
    for server in &servers {
        server.is_chunked.store(true, Ordering::Relaxed);
    }
    fleet.put_config(
        1,
        0,
        r#"[{"name":"limit-desk","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}]"#,
        r#"{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}"#,
        r#"[{"host":"limits.example","paths":[{"name":"lookup","path_prefix":"/lookup/","type":"safe","timeout_s":1.2,"target_latency_s":0.3,"priority":2,"service":"limit-desk","max_attempts":2}]}]"#,
    );
    for node in &fleet.nodes {
        fleet.wait_ready(node);
    }
    thread::sleep(ms(1500));
    let is_open = Arc::new(AtomicBool::new(true));
    let answered = Arc::new(AtomicU64::new(0));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for node in &fleet.nodes {
        for _ in 0..CLIENTS {
            let (is_open, answered) = (Arc::clone(&is_open), Arc::clone(&answered));
            let (unanswered, record) = (Arc::clone(&unanswered), Arc::clone(record));
            let to = node.address(fleet.ports.outbound);
            clients.push(thread::spawn(move || {
                client(to, &is_open, &answered, &unanswered, &record);
            }));
        }
    }
    for round in 0..3 {
        thread::sleep(ms(4000));
        if is_disturbed {
            let now = Instant::now();
            for server in servers.iter().take(GARBLING_SERVERS) {
                *server.faults.cut.lock().unwrap() = Some((now, now + ms(5500), CUT_PART));
            }
            record.log(format!("round {}: garble begins", round + 1));
        }
        thread::sleep(ms(6000));
    }
    is_open.store(false, Ordering::SeqCst);
    for client in clients {
        drop(client.join());
    }

    // Counted are requests that were passed on to a server that is sound all day, and whose
    // connection was closed without an answer to them.
    let sound: HashSet<&str> =
        servers.iter().skip(GARBLING_SERVERS).map(|server| server.id.as_str()).collect();
    let mut passed_on: HashMap<String, String> = HashMap::new();
    for arrival in arrivals.lock().unwrap().iter() {
        if arrival.has_run && sound.contains(arrival.server.as_str()) {
            passed_on.insert(arrival.attempt.clone(), arrival.server.clone());
        }
    }
    let unanswered = unanswered.lock().unwrap();
    let lost: Vec<_> = unanswered.iter().filter(|attempt| passed_on.contains_key(*attempt)).collect();
    record.log(format!(
        "{} requests were answered, {} got no answer, {} of them had been passed on to a sound server",
        answered.load(Ordering::SeqCst),
        unanswered.len(),
        lost.len()
    ));
    if answered.load(Ordering::SeqCst) < 1000 {
        kit::cannot_run("too few requests were answered to say anything");
    }
    let mut breaks = Vec::new();
    if lost.len() > 3 {
        breaks.push(format!(
            "LOST: {} requests of kept connections were passed on to sound servers, and their \
             connections closed without an answer (more than 3 break the rule)",
            lost.len()
        ));
    }
    (fleet, breaks)
}

/// Sends four requests at once, reads their answers, and so on, about 30 requests a second.
fn client(
    to: std::net::SocketAddr,
    is_open: &AtomicBool,
    answered: &AtomicU64,
    unanswered: &Mutex<Vec<String>>,
    record: &kit::Record,
) {
    let mut connection = None;
    while is_open.load(Ordering::SeqCst) {
        let mut open = match connection.take().map_or_else(|| kit::Connection::open(to), Ok) {
            Ok(open) => open,
            Err(_) => {
                thread::sleep(ms(200));
                continue;
            }
        };
        let ids: Vec<String> = (0..DEPTH).map(|_| kit::attempt_id()).collect();
        let requests: String = ids
            .iter()
            .map(|id| {
                format!(
                    "GET /lookup/{id} HTTP/1.1\r\nHost: limits.example\r\nX-Attempt-Id: {id}\r\n\
                     X-Deadline-Ms: 1200\r\n\r\n"
                )
            })
            .collect();
        if open.writer.write_all(requests.as_bytes()).is_err() {
            continue;
        }
        let mut is_kept = true;
        for (at, id) in ids.iter().enumerate() {
            match open.read() {
                Ok(answer) if answer.is_whole => {
                    answered.fetch_add(1, Ordering::SeqCst);
                    is_kept &= answer.header("connection") != Some("close");
                }
                _ => {
                    let behind = &ids[at + 1..];
                    record.log(format!(
                        "client: the answer to {id} breaks off and the connection ends; no answer to {}",
                        if behind.is_empty() { "none behind it".into() } else { behind.join(", ") }
                    ));
                    unanswered.lock().unwrap().extend(behind.iter().cloned());
                    is_kept = false;
                    break;
                }
            }
        }
        if is_kept {
            connection = Some(open);
        }
        thread::sleep(ms(50));
    }
}
