//! A late second copy of a rejection is taken for the answer to the next request.

use std::{
    collections::HashMap,
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Instant,
};

use crate::kit::{self, ms};

/// Servers of the service, one a machine, as limit-desk has.
const SERVERS: usize = 6;
/// Slots of a server.
const SLOTS: usize = 6;
/// One server of six rejects part of its requests (srv_grey, share 0.14).
const GREY_SERVERS: usize = 1;
/// Part of the requests that it rejects (srv_grey shed, x 0.45 at most).
const SHED_PART: f64 = 0.2;
/// Three servers of six send some answers twice (garble, share 0.6).
const GARBLING_SERVERS: usize = 3;
/// Part of the answers that come twice (garble extra late, x 0.03).
const EXTRA_PART: f64 = 0.03;
/// Clients a machine, each with one kept connection.
const CLIENTS: usize = 10;

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
            kit::Server::start(
                &fleet,
                node,
                &format!("i-{i}"),
                SLOTS,
                ms(60),
                600,
                &arrivals,
            )
        })
        .collect();
    fleet.put_config(
        1,
        0,
        r#"[{"name":"limit-desk","health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false}]"#,
        r#"{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}"#,
        r#"[{"host":"limits.example","paths":[{"name":"decision","path_prefix":"/decision/","type":"unsafe","timeout_s":1.5,"target_latency_s":0.6,"priority":1,"service":"limit-desk","max_attempts":2}]}]"#,
    );
    for node in &fleet.nodes {
        fleet.wait_ready(node);
    }
    thread::sleep(ms(1500));

    let is_open = Arc::new(AtomicBool::new(true));
    let answers = Arc::new(Mutex::new(HashMap::new()));
    let mut clients = Vec::new();
    for node in &fleet.nodes {
        for _ in 0..CLIENTS {
            let (is_open, answers) = (Arc::clone(&is_open), Arc::clone(&answers));
            let (to, record) = (node.address(fleet.ports.outbound), Arc::clone(record));
            clients.push(thread::spawn(move || {
                client(to, &is_open, &answers, &record)
            }));
        }
    }
    // Five times: 6.5 s in which a server rejects part of its requests, and 5 s in them in which some
    // answers come twice.
    for round in 0..5 {
        thread::sleep(ms(3500));
        if is_disturbed {
            let now = Instant::now();
            for server in servers.iter().take(GREY_SERVERS) {
                *server.faults.shed.lock().unwrap() = Some((now, now + ms(6500), SHED_PART));
            }
            for server in servers.iter().take(GARBLING_SERVERS) {
                let from = now + ms(500);
                *server.faults.extra.lock().unwrap() = Some((from, from + ms(5000), EXTRA_PART));
            }
            record.log(format!(
                "round {}: srv_grey (shed) and garble (extra late) begin",
                round + 1
            ));
        }
        thread::sleep(ms(7000));
    }
    thread::sleep(ms(1000));
    is_open.store(false, Ordering::SeqCst);
    for client in clients {
        drop(client.join());
    }

    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    let arrivals = arrivals.lock().unwrap().clone();
    for arrival in arrivals.iter().filter(|arrival| arrival.has_run) {
        runs.entry(arrival.attempt.clone())
            .or_default()
            .push(arrival.server.clone());
    }
    let answers = answers.lock().unwrap();
    record.log(format!(
        "{} requests were answered, {} of them with 200; {} ran",
        answers.len(),
        answers.values().filter(|status| **status == 200).count(),
        runs.len()
    ));
    if runs.len() < 1000 {
        kit::cannot_run("too few requests ran to say anything");
    }
    let mut breaks = Vec::new();
    for (attempt, servers) in &runs {
        if servers.len() > 1 {
            breaks.push(format!(
                "TWICE: {attempt} (unsafe) ran at {}",
                servers.join(" and ")
            ));
        }
        if let Some(status @ (429 | 503 | 408 | 421)) = answers.get(attempt) {
            breaks.push(format!(
                "REFUSED: {attempt} (unsafe) ran at {} and was answered {status}",
                servers.join(" and ")
            ));
        }
    }
    breaks.sort();
    (fleet, breaks)
}

/// Sends one request after the other on a kept connection, about 6 a second.
fn client(
    to: std::net::SocketAddr,
    is_open: &AtomicBool,
    answers: &Mutex<HashMap<String, u16>>,
    record: &kit::Record,
) {
    let mut connection = None;
    while is_open.load(Ordering::SeqCst) {
        let id = kit::attempt_id();
        let mut open = match connection
            .take()
            .map_or_else(|| kit::Connection::open(to), Ok)
        {
            Ok(open) => open,
            Err(_) => {
                thread::sleep(ms(200));
                continue;
            }
        };
        let head = kit::client_head(
            "POST",
            &format!("/decision/{id}"),
            "limits.example",
            &id,
            1500,
        );
        let request = head + "Content-Length: 12\r\n\r\noverdraft ok";
        record.log(format!("client: sends {id} to {to}"));
        let answer = open
            .writer
            .write_all(request.as_bytes())
            .and_then(|()| open.read());
        match answer {
            Ok(answer) => {
                let body = if answer.status == 200 {
                    String::new()
                } else {
                    format!(" {}", String::from_utf8_lossy(&answer.body))
                };
                record.log(format!("client: {id} is answered {}{body}", answer.status));
                answers.lock().unwrap().insert(id, answer.status);
                if answer.header("connection") != Some("close") {
                    connection = Some(open);
                }
            }
            Err(error) => record.log(format!("client: {id} gets no answer: {error}")),
        }
        thread::sleep(ms(90));
    }
}
