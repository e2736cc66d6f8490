//! Stand-in for an upstream: one process that announces itself, serves requests on a number of slots
//! and tells on its standard output what arrives and what it runs.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{fleet, http, names, record};

/// Requests that a server runs at once, and that it queues beyond them.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// A faulty server spoils one of so many answers while it is in trouble.
const SPOILT_EVERY: u64 = 50;

/// What a server told of a request.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Duration,
    pub server: String,
    /// `arrive`, `run`, `end`, `drop` or `refuse`.
    pub kind: String,
    pub attempt: String,
    pub path: String,
}

pub type Events = Arc<Mutex<Vec<Event>>>;

/// A server process that the case has started.
pub struct Server {
    child: Child,
    pub id: String,
}

impl Server {
    /// Starts a server beside a node. `mode` names its trouble, if it is in any.
    pub fn start(
        record: &record::Record,
        events: &Events,
        beside: fleet::NodeAddresses,
        (id, service, mode): (&str, &str, &str),
    ) -> Self {
        let program = std::env::current_exe().expect("the path of this program");
        let mut child = Command::new(program)
            .args(["server", id, service, mode])
            .arg(beside.app.to_string())
            .arg(beside.heartbeats.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server can be started");
        record.line(&format!(
            "start server {id} of {service} beside node {}, {mode}",
            beside.node
        ));
        let output = child.stdout.take().expect("a pipe");
        let (record, events, server) = (record.clone(), Arc::clone(events), id.to_owned());
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&format!("{server} {line}"));
                let mut words = line.split(' ').map(str::to_owned);
                let mut word = || words.next().unwrap_or_default();
                let (kind, attempt, path) = (word(), word(), word());
                let at = record.now();
                let server = server.clone();
                let event = Event {
                    at,
                    server,
                    kind,
                    attempt,
                    path,
                };
                events.lock().expect("no holder panics").push(event);
            }
        });
        let id = id.to_owned();
        Self { child, id }
    }

    /// Begins or ends the trouble that the mode of the server names.
    pub fn set_troubled(&mut self, record: &record::Record, is_troubled: bool) {
        let word = if is_troubled { "on" } else { "off" };
        record.line(&format!("trouble of {} {word}", self.id));
        if let Some(input) = &mut self.child.stdin {
            let _ = writeln!(input, "{word}");
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("a time after 1970").as_millis()
}

struct Slots {
    used: Mutex<(usize, usize)>,
    freed: Condvar,
}

struct Shared {
    id: String,
    service: String,
    mode: String,
    slots: Slots,
    /// Whether the trouble that the mode names is there at present.
    is_troubled: AtomicBool,
    answers: AtomicU64,
}

/// Runs this process as a server.
pub fn run(arguments: &[String]) -> ! {
    let [id, service, mode, address, heartbeats] = arguments else {
        panic!("server ID SERVICE MODE ADDRESS HEARTBEATS");
    };
    let address: SocketAddr = address.parse().expect("an address");
    let heartbeats: SocketAddr = heartbeats.parse().expect("an address");
    let listener = TcpListener::bind(address).expect("the address of the server is free");
    let shared = Arc::new(Shared {
        id: id.clone(),
        service: service.clone(),
        mode: mode.clone(),
        is_troubled: AtomicBool::new(false),
        answers: AtomicU64::new(0),
        slots: Slots {
            used: Mutex::new((0, 0)),
            freed: Condvar::new(),
        },
    });
    let state = Arc::clone(&shared);
    std::thread::spawn(move || {
        for word in std::io::stdin().lines().map_while(Result::ok) {
            let is_troubled = word == "on";
            state.is_troubled.store(is_troubled, Ordering::Relaxed);
        }
    });
    let announcer = Arc::clone(&shared);
    std::thread::spawn(move || announce(&announcer, address, heartbeats));
    for stream in listener.incoming().flatten() {
        let shared = Arc::clone(&shared);
        std::thread::spawn(move || serve(&shared, stream));
    }
    unreachable!("a listener has no end")
}

fn announce(shared: &Shared, address: SocketAddr, to: SocketAddr) {
    let born = unix_ms();
    for sequence in 1_u64.. {
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"hartford-hall\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"{}\":0,\
             \"sequence\":{sequence},\"born\":{born}}}",
            shared.service,
            names::of("warmup")
        );
        let path = format!("{}{}", names::of("instances"), shared.id);
        let headers = [("Content-Type", "application/json")];
        let request = http::request("PUT", &path, &headers, Some(body.as_bytes()));
        let sent = http::exchange(None, to, &request, Duration::from_secs(1));
        if sequence == 1 && !sent.is_ok_and(|response| response.status == 200) {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        }
        std::thread::sleep(Duration::from_secs_f64(fleet::HEARTBEAT_S));
    }
}

struct Request {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body_bytes: usize,
}

impl Request {
    fn header(&self, wanted: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(name, _)| name.eq_ignore_ascii_case(wanted));
        found.map_or("", |(_, value)| value)
    }
}

/// Reads the head of the next request.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    let mut words = line.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Some(Request {
        method,
        path,
        headers,
        body_bytes: 0,
    })
}

/// Reads and counts the body of a request.
fn read_body(reader: &mut BufReader<TcpStream>, request: &mut Request) -> Option<()> {
    if request
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let mut line = String::new();
            reader
                .read_line(&mut line)
                .ok()
                .filter(|count| *count > 0)?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut data = vec![0; size + 2];
            reader.read_exact(&mut data).ok()?;
            request.body_bytes += size;
            if size == 0 {
                return Some(());
            }
        }
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    let mut data = vec![0; length];
    reader.read_exact(&mut data).ok()?;
    request.body_bytes = length;
    Some(())
}

fn serve(shared: &Shared, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(mut request) = read_head(&mut reader) {
        let attempt = request.header(names::of("attempt")).to_owned();
        let is_probe = request.path == "/healthz";
        if !is_probe {
            tell("arrive", &attempt, &request);
        }
        if read_body(&mut reader, &mut request).is_none() {
            return;
        }
        if is_probe {
            let head = format!(
                "{}: {}\r\nContent-Length: 0\r\n",
                names::of("instance"),
                shared.id
            );
            if write!(writer, "HTTP/1.1 200 OK\r\n{head}\r\n").is_err() {
                return;
            }
            continue;
        }
        let expected = request.header(names::of("expected"));
        let status = if attempt.is_empty() {
            Some("400 Bad Request")
        } else if !expected.is_empty() && expected != shared.id {
            Some("421 Misdirected Request")
        } else if !enter(shared) {
            Some("503 Service Unavailable")
        } else {
            None
        };
        if let Some(status) = status {
            tell("refuse", &attempt, &request);
            let head = format!(
                "{}: {attempt}\r\n{}: 1\r\nContent-Length: 0\r\n",
                names::of("attempt"),
                names::of("unrun")
            );
            if write!(writer, "HTTP/1.1 {status}\r\n{head}\r\n").is_err() {
                return;
            }
            continue;
        }
        let kept = work(shared, &request, &attempt, &mut writer);
        leave(shared);
        if !kept {
            return;
        }
    }
}

/// Takes a slot, or waits for one; false if the queue is full.
fn enter(shared: &Shared) -> bool {
    let mut used = shared.slots.used.lock().expect("no holder panics");
    if used.0 >= SLOTS {
        if used.1 >= QUEUE {
            return false;
        }
        used.1 += 1;
        while used.0 >= SLOTS {
            used = shared.slots.freed.wait(used).expect("no holder panics");
        }
        used.1 -= 1;
    }
    used.0 += 1;
    true
}

fn leave(shared: &Shared) {
    shared.slots.used.lock().expect("no holder panics").0 -= 1;
    shared.slots.freed.notify_one();
}

/// Runs a request and answers it; false if the connection is over.
fn work(shared: &Shared, request: &Request, attempt: &str, writer: &mut TcpStream) -> bool {
    tell("run", attempt, request);
    let has_mode = |mode: &str| shared.mode.split(',').any(|known| known == mode);
    if request.path.contains("/crash") {
        // A request of this kind ends each server that begins to run it.
        std::process::exit(1);
    }
    let work_ms = number_after(&request.path, "/w");
    let until = Instant::now() + Duration::from_millis(work_ms.unwrap_or(20));
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
        if is_closed(writer) {
            tell("drop", attempt, request);
            return false;
        }
    }
    let body = format!("{} ran {}", shared.id, request.path);
    let head = format!(
        "{}: {attempt}\r\n{}: 1.{}\r\n",
        names::of("attempt"),
        names::of("seal"),
        body.len()
    );
    let chunk = |bytes: &str| format!("{:x}\r\n{bytes}\r\n", bytes.len());
    let chunked = format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n");
    let is_faulty = is_troubled_answer(shared);
    if is_faulty && has_mode("breaks") {
        // The answer breaks off in the middle.
        let _ = write!(writer, "{chunked}\r\n{}", chunk(&body[..body.len() / 2]));
        tell("broke", attempt, request);
        return false;
    }
    if is_faulty && has_mode("spoils") {
        // All chunks are there, but a line of the head tells another length.
        let length = body.len() / 2;
        let chunks = chunk(&body);
        tell("spoilt", attempt, request);
        return write!(
            writer,
            "{chunked}Content-Length: {length}\r\n\r\n{chunks}0\r\n\r\n"
        )
        .is_ok();
    }
    let sent = if has_mode("chunked") {
        write!(writer, "{chunked}\r\n{}0\r\n\r\n", chunk(&body))
    } else {
        let length = body.len();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\n{head}Content-Length: {length}\r\n\r\n{body}"
        )
    };
    tell("end", attempt, request);
    sent.is_ok()
}

/// Returns the number after a mark in a path.
fn number_after(path: &str, mark: &str) -> Option<u64> {
    let rest = path.split(mark).nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns whether this answer is one of those that a faulty server spoils: each fiftieth while it is in
/// trouble.
fn is_troubled_answer(shared: &Shared) -> bool {
    shared.is_troubled.load(Ordering::Relaxed)
        && shared.answers.fetch_add(1, Ordering::Relaxed) % SPOILT_EVERY == SPOILT_EVERY - 1
}

/// Returns whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

fn tell(kind: &str, attempt: &str, request: &Request) {
    let attempt = if attempt.is_empty() { "-" } else { attempt };
    let (method, bytes) = (&request.method, request.body_bytes);
    println!("{kind} {attempt} {} {method} {bytes} bytes", request.path);
}
