//! A node that was killed after it acknowledged that its server leaves takes the server's late
//! heartbeat for news.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::kit::{self, ms};

const SERVERS: usize = 6;
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
    let fleet = kit::Fleet::plan(record, 3, &["limit-desk"; SERVERS]);
    *kit::FLEET.lock().unwrap() = Some(Arc::clone(&fleet));
    fleet.start_all();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let servers: Vec<_> = fleet
        .nodes
        .iter()
        .enumerate()
        .map(|(i, node)| {
            kit::Server::start(&fleet, node, &format!("i-{i}"), SLOTS, ms(60), 600, &arrivals)
        })
        .collect();
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
    let served = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for node in &fleet.nodes {
        for _ in 0..CLIENTS {
            let (is_open, served) = (Arc::clone(&is_open), Arc::clone(&served));
            let to = node.address(fleet.ports.outbound);
            clients.push(thread::spawn(move || client(to, &is_open, &served)));
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
    record.log(format!("{}: sends a heartbeat, which will be late: {late_beat}", server.id));
    thread::sleep(ms(100));
    let answer = kit::call(server.registry, "DELETE", &server.path(), b"");
    let acked_at = Instant::now();
    match answer {
        Some(answer) if answer.status / 100 == 2 => {
            record.log(format!("{}: says that it leaves, and is acknowledged", server.id));
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
    record.log(format!("{}: would end now", server.id));
    is_open.store(false, Ordering::SeqCst);
    for client in clients {
        drop(client.join());
    }

    // Judged from drain_s after the ack on, and once the machine that was killed is in touch again.
    let from = (acked_at + DRAIN).max(restarted_at + STABLE + ms(500));
    let arrivals = arrivals.lock().unwrap().clone();
    let of_server = arrivals.iter().filter(|arrival| arrival.server == server.id && arrival.has_run);
    let late: Vec<_> = of_server.filter(|arrival| arrival.at > from).collect();
    record.log(format!(
        "{} requests were served; {} reached {} later than {:.1} s after the ack",
        served.load(Ordering::SeqCst),
        late.len(),
        server.id,
        (from - acked_at).as_secs_f64()
    ));
    if served.load(Ordering::SeqCst) < 500 {
        kit::cannot_run("too few requests were served to say anything");
    }
    let mut breaks = Vec::new();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        breaks.push(format!(
            "DRAIN: {} requests reached {}, {:.1} s to {:.1} s after the ack of its leave (drain_s is 2)",
            late.len(),
            server.id,
            (first.at - acked_at).as_secs_f64(),
            (last.at - acked_at).as_secs_f64()
        ));
    }
    (fleet, breaks)
}

/// Sends one request after the other on a kept connection, about 10 a second.
fn client(to: std::net::SocketAddr, is_open: &AtomicBool, served: &AtomicU64) {
    let mut connection = None;
    while is_open.load(Ordering::SeqCst) {
        let id = kit::attempt_id();
        let mut open = match connection.take().map_or_else(|| kit::Connection::open(to), Ok) {
            Ok(open) => open,
            Err(_) => {
                thread::sleep(ms(200));
                continue;
            }
        };
        let request = format!(
            "GET /lookup/{id} HTTP/1.1\r\nHost: limits.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 1200\r\n\r\n"
        );
        if let Ok(answer) = open.writer.write_all(request.as_bytes()).and_then(|()| open.read()) {
            served.fetch_add(u64::from(answer.status == 200), Ordering::SeqCst);
            if answer.header("connection") != Some("close") {
                connection = Some(open);
            }
        }
        thread::sleep(ms(40));
    }
}
