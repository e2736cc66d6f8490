//! A node that was killed after it acknowledged that its server leaves takes the server's late
//! heartbeat for news.

use std::{
    collections::HashMap,
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::kit::{self, ms};

/// The services of the ten machines, as on the site.
const SERVICES: [&str; 10] = [
    "limit-desk",
    "limit-desk",
    "limit-desk",
    "limit-desk",
    "limit-desk",
    "limit-desk",
    "exposure-ledger",
    "exposure-ledger",
    "exposure-ledger",
    "exposure-ledger",
];
/// Machines whose clients send requests: those of limit-desk.
const CLIENT_MACHINES: usize = 6;
const SLOTS: usize = 6;
const CLIENTS: usize = 3;
/// drain_s of the site.
const DRAIN: Duration = ms(2000);
/// stable_window_s of the site: so long after its start a machine is in touch.
const STABLE: Duration = ms(3000);
/// How late the heartbeat is that was sent before the server said that it leaves.
const LATE: Duration = ms(1600);
/// How long the server goes on serving after the ack.
const SERVES_ON: Duration = ms(9000);

pub fn run(record: &Arc<kit::Record>, is_disturbed: bool) -> (Arc<kit::Fleet>, Vec<String>) {
    let fleet = kit::Fleet::plan(record, 3, &SERVICES);
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
        r#"[{"name":"limit-desk","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false},{"name":"exposure-ledger","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}]"#,
        r#"{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}"#,
        r#"[{"host":"limits.example","paths":[{"name":"decision","path_prefix":"/decision/","type":"unsafe","timeout_s":1.5,"target_latency_s":0.4,"priority":1,"service":"limit-desk","max_attempts":2}]}]"#,
    );
    for node in &fleet.nodes {
        fleet.wait_ready(node);
    }
    thread::sleep(ms(1500));
    let is_open = Arc::new(AtomicBool::new(true));
    let answers = Arc::new(Mutex::new(HashMap::new()));
    let mut clients = Vec::new();
    for node in &fleet.nodes[..CLIENT_MACHINES] {
        for _ in 0..CLIENTS {
            let (is_open, answers) = (Arc::clone(&is_open), Arc::clone(&answers));
            let (to, record) = (node.address(fleet.ports.outbound), Arc::clone(record));
            clients.push(thread::spawn(move || {
                client(to, &is_open, &answers, &record)
            }));
        }
    }
    thread::sleep(ms(5000));

    // The server leaves: its last heartbeat is on its way and late; it says that it is gone, and
    // is told that this is known.
    let (node, server) = (&fleet.nodes[0], &servers[0]);
    server.is_beating.store(false, Ordering::SeqCst);
    thread::sleep(ms(1000));
    let late_beat = server.beat_body("ready");
    let sent_at = Instant::now();
    record.log(format!(
        "{}: sends a heartbeat, which will be late: {late_beat}",
        server.id
    ));
    thread::sleep(ms(100));
    let answer = kit::call(server.registry, "DELETE", &server.path(), b"");
    let acked_at = Instant::now();
    match answer {
        Some(answer) if answer.status / 100 == 2 => {
            record.log(format!(
                "{}: says that it leaves, and is acknowledged",
                server.id
            ));
        }
        _ => kit::cannot_run("the server's leave was not acknowledged"),
    }
    thread::sleep(ms(100));
    if is_disturbed {
        fleet.kill(node);
        thread::sleep(ms(400));
        fleet.start(node, false);
    }
    let restarted_at = Instant::now();
    thread::sleep((sent_at + LATE).saturating_duration_since(Instant::now()));
    let answer = kit::call(server.registry, "PUT", &server.path(), late_beat.as_bytes());
    record.log(format!(
        "{}: the late heartbeat arrives, and is answered {:?}",
        server.id,
        answer.map(|answer| answer.status)
    ));
    thread::sleep((acked_at + SERVES_ON).saturating_duration_since(Instant::now()));
    server.has_exited.store(true, Ordering::SeqCst);
    record.log(format!("{}: exits", server.id));
    thread::sleep(ms(1000));
    is_open.store(false, Ordering::SeqCst);
    for client in clients {
        drop(client.join());
    }

    // Judged from drain_s after the ack on, and once the machine that was killed is in touch again.
    let from = (acked_at + DRAIN).max(restarted_at + STABLE + ms(500));
    let arrivals = arrivals.lock().unwrap().clone();
    let of_server = arrivals
        .iter()
        .filter(|arrival| arrival.server == server.id && arrival.has_run);
    let late: Vec<_> = of_server.filter(|arrival| arrival.at > from).collect();
    let answers = answers.lock().unwrap();
    let served = answers.values().filter(|status| **status == 200).count();
    let is_lost = |attempt: &str| answers.get(attempt) != Some(&200);
    let lost = late.iter().filter(|arrival| is_lost(&arrival.attempt));
    let lost: Vec<&str> = lost.map(|arrival| arrival.attempt.as_str()).collect();
    record.log(format!(
        "{served} requests were served; {} reached {} later than {:.1} s after the ack, and {} of \
         them were cut when it exited: {}",
        late.len(),
        server.id,
        (from - acked_at).as_secs_f64(),
        lost.len(),
        lost.join(", ")
    ));
    if served < 500 {
        kit::cannot_run("too few requests were served to say anything");
    }
    let mut breaks = Vec::new();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        breaks.push(format!(
            "DRAIN: {} requests reached {}, {:.1} s to {:.1} s after the ack of its leave (drain_s is \
             2); {} of them, unsafe, were lost when it exited",
            late.len(),
            server.id,
            (first.at - acked_at).as_secs_f64(),
            (last.at - acked_at).as_secs_f64(),
            lost.len()
        ));
    }
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
        let opened = connection
            .take()
            .map_or_else(|| kit::Connection::open(to), Ok);
        let Ok(mut open) = opened else {
            thread::sleep(ms(200));
            continue;
        };
        let path = format!("/decision/{id}");
        let head = kit::client_head("POST", &path, "limits.example", &id, 1500);
        let request = head + "Content-Length: 12\r\n\r\noverdraft ok";
        record.log(format!("client: sends {id} to {to}"));
        let sent = open.writer.write_all(request.as_bytes());
        let answer = sent.and_then(|()| open.read());
        match &answer {
            Ok(answer) => record.log(format!("client: {id} is answered {}", answer.status)),
            Err(error) => record.log(format!("client: {id} gets no answer: {error}")),
        }
        if let Ok(answer) = answer {
            answers.lock().unwrap().insert(id, answer.status);
            if answer.header("connection") != Some("close") {
                connection = Some(open);
            }
        }
        thread::sleep(ms(40));
    }
}
