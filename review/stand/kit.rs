//! Stand-ins for the review's scripts: machines on loopback addresses, an operator, servers
//! ("upstreams") and clients. Standard library only.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs,
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The provider's names, which stand in names.txt only.
const NAMES: &str = include_str!("names.txt");

/// Returns one of the provider's names.
pub fn name(key: &str) -> &'static str {
    let mut lines = NAMES.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(known, _)| *known == key);
    found.expect("the name stands in names.txt").1
}

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A small deterministic generator (xorshift).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            lines: Mutex::new(Vec::new()),
        })
    }

    pub fn log(&self, text: impl Into<String>) {
        let now = Instant::now();
        self.lines.lock().unwrap().push((now, text.into()));
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:9.3} s  {text}\n", self.seconds(*at)))
            .collect();
        fs::write(path, text).expect("record.txt can be written");
    }
}

// ---------------------------------------------------------------------------------------------
// Settings: the templates of deploy/, rendered as DEPLOY.md says.

#[derive(Clone)]
pub enum Field {
    Text(String),
    List(Vec<String>),
}

/// Renders the part of the template language that the project's templates use.
pub fn render(template: &str, fields: &HashMap<String, Field>) -> String {
    let mut output = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        output.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a placeholder ends");
        let name = &rest[start + 2..end];
        let after = &rest[end + 2..];
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            let length = after.find(&close).expect("a section ends");
            let (body, tail) = (&after[..length], &after[length + close.len()..]);
            match fields.get(section) {
                Some(Field::List(items)) => {
                    for (index, item) in items.iter().enumerate() {
                        let comma = if index + 1 < items.len() { "," } else { "" };
                        let mut inner = fields.clone();
                        inner.insert(".".into(), Field::Text(item.clone()));
                        inner.insert(",".into(), Field::Text(comma.into()));
                        output.push_str(&render(body, &inner));
                    }
                }
                Some(Field::Text(text)) if text != "false" => {
                    output.push_str(&render(body, fields))
                }
                _ => {}
            }
            rest = tail;
            continue;
        }
        if let Some(Field::Text(text)) = fields.get(name) {
            output.push_str(text);
        }
        rest = after;
    }
    output.push_str(rest);
    output
}

/// Returns the program and arguments of a role in the deploy file, with the path of the settings
/// file replaced.
fn command_of(role: &str, settings: &Path) -> (String, Vec<String>) {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file can be read");
    let section = text
        .split(&format!("[roles.{role}]"))
        .nth(1)
        .expect("the role exists");
    let run = section
        .lines()
        .find(|line| line.trim().starts_with("run"))
        .expect("it has a run");
    let words = run.split('"').nth(1).expect("run is quoted").split(' ');
    let mut words = words.map(|word| {
        if word == "/etc/hazeltiller/settings.json" {
            settings.display().to_string()
        } else {
            word.to_owned()
        }
    });
    let program = words.next().expect("run names a program");
    (program, words.collect())
}

/// The ports of a machine; they are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub ready: u16,
    pub outbound: u16,
    pub inbound: u16,
    pub control: u16,
    pub app: u16,
    pub internal: u16,
}

pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub service: String,
    child: Mutex<Option<Child>>,
    pub starts: AtomicU64,
}

impl Machine {
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, port))
    }
}

/// A deployment of separate processes.
pub struct Fleet {
    pub folder: PathBuf,
    pub ports: Ports,
    pub controls: Vec<Arc<Machine>>,
    pub nodes: Vec<Arc<Machine>>,
    pub record: Arc<Record>,
}

impl Fleet {
    /// Plans `controls` control machines and one node machine for each service named.
    pub fn plan(record: &Arc<Record>, controls: usize, services: &[&str]) -> Arc<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let (second, third) = (20 + (id % 200) as u8, (id / 200 % 250) as u8);
        let ip = |last: usize| Ipv4Addr::new(127, second, third, last as u8);
        let machine = |role, index: usize, last: usize, service: &str| {
            Arc::new(Machine {
                name: format!("{role}-{}", index + 1),
                role,
                zone: format!("zone-{}", index % 3 + 1),
                ip: ip(last),
                service: service.into(),
                child: Mutex::new(None),
                starts: AtomicU64::new(0),
            })
        };
        let controls: Vec<_> = (0..controls)
            .map(|i| machine("control", i, 10 + i, ""))
            .collect();
        let nodes: Vec<_> = services
            .iter()
            .enumerate()
            .map(|(i, service)| machine("node", i, 30 + i, service))
            .collect();
        let ips: Vec<Ipv4Addr> = controls
            .iter()
            .chain(&nodes)
            .map(|machine| machine.ip)
            .collect();
        let ports = free_ports(&ips);
        Arc::new(Self {
            folder,
            ports,
            controls,
            nodes,
            record: Arc::clone(record),
        })
    }

    pub fn start_all(&self) {
        for machine in self.controls.iter().chain(&self.nodes) {
            self.start(machine, true);
        }
    }

    /// Starts the process of a machine, with the settings rendered anew.
    pub fn start(&self, machine: &Machine, bootstrap: bool) {
        let text = |value: &str| Field::Text(value.into());
        let address = |port| Field::Text(machine.address(port).to_string());
        let data = self.folder.join(format!("{}-data", machine.name));
        let seeds = self.controls.iter().take(3);
        let seeds = seeds
            .map(|control| control.address(self.ports.control).to_string())
            .collect();
        let mut fields: HashMap<String, Field> = HashMap::from([
            ("node".into(), text(&machine.name)),
            ("zone".into(), text(&machine.zone)),
            ("region".into(), text("here")),
            ("ip".into(), text(&machine.ip.to_string())),
            (
                "internal_ports.0".into(),
                text(&self.ports.internal.to_string()),
            ),
            ("listen.control".into(), address(self.ports.control)),
            ("seeds".into(), Field::List(seeds)),
            (
                "bootstrap".into(),
                text(if bootstrap { "true" } else { "false" }),
            ),
            ("fault_tolerance.machines".into(), text("1")),
            ("bounds.grace_s".into(), text("6")),
            ("bounds.retry_budget_ratio".into(), text("0.2")),
            ("bounds.budget_slack".into(), text("60")),
            ("limits.link_mbps".into(), text("1000.0")),
        ]);
        if machine.role == "node" {
            fields.insert("service".into(), text(&machine.service));
            fields.insert("listen.outbound".into(), address(self.ports.outbound));
            fields.insert("listen.inbound".into(), address(self.ports.inbound));
            fields.insert("listen.ready".into(), address(self.ports.ready));
        } else {
            fs::create_dir_all(&data).expect("a data folder can be made");
            fields.insert("data_dir".into(), text(&data.display().to_string()));
        }
        let template = format!("deploy/{}.jsonc", machine.role);
        let template = fs::read_to_string(template).expect("the template can be read");
        let settings = self.folder.join(format!("{}.jsonc", machine.name));
        fs::write(&settings, render(&template, &fields)).expect("settings can be written");
        let (program, arguments) = command_of(machine.role, &settings);
        let number = machine.starts.fetch_add(1, Ordering::Relaxed) + 1;
        let log = self.folder.join(format!("{}-{number}.log", machine.name));
        let log = fs::File::create(log).expect("a log can be made");
        let error = log.try_clone().expect("a file handle can be cloned");
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(error)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("hazeltillerd does not start: {error}")));
        self.record
            .log(format!("{} starts (start {number})", machine.name));
        *machine.child.lock().unwrap() = Some(child);
    }

    /// Sends SIGKILL to the process of a machine and waits for its end.
    pub fn kill(&self, machine: &Machine) {
        if let Some(mut child) = machine.child.lock().unwrap().take() {
            drop(child.kill());
            drop(child.wait());
            self.record.log(format!("{} is killed", machine.name));
        }
    }

    /// Sends a named signal to the process of a machine.
    pub fn signal(&self, machine: &Machine, name: &str) {
        if let Some(child) = &*machine.child.lock().unwrap() {
            let pid = child.id().to_string();
            drop(
                Command::new("kill")
                    .args([&format!("-{name}"), &pid])
                    .status(),
            );
            self.record.log(format!("{} gets SIG{name}", machine.name));
        }
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&self, machine: &Machine) -> bool {
        let mut child = machine.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn stop_all(&self) {
        for machine in self.controls.iter().chain(&self.nodes) {
            if let Some(mut child) = machine.child.lock().unwrap().take() {
                drop(child.kill());
                drop(child.wait());
            }
        }
        if std::env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }

    /// Sends a configuration until it is acknowledged, as PROTOCOL.md says; returns the time of the
    /// ack.
    pub fn put_config(
        &self,
        version: u64,
        base: u64,
        services: &str,
        limits: &str,
        hosts: &str,
    ) -> Instant {
        let body = config_body(version, base, services, limits, hosts);
        let give_up = Instant::now() + ms(20_000);
        let mut next = 0;
        while Instant::now() < give_up {
            let mut address = self.controls[next % self.controls.len()].address(self.ports.control);
            next += 1;
            for _redirect in 0..3 {
                let Some(answer) = call(address, "PUT", name("config"), body.as_bytes()) else {
                    break;
                };
                match answer.status {
                    200 => {
                        self.record
                            .log(format!("operator: version {version} is acknowledged"));
                        return Instant::now();
                    }
                    307 => {
                        let to = answer.header("location").unwrap_or_default().to_owned();
                        let host = to
                            .trim_start_matches("http://")
                            .split('/')
                            .next()
                            .unwrap_or("");
                        match host.parse() {
                            Ok(leader) => address = leader,
                            Err(_) => break,
                        }
                    }
                    400..=499 => cannot_run(&format!(
                        "version {version} is refused: {} {}",
                        answer.status,
                        String::from_utf8_lossy(&answer.body)
                    )),
                    _ => break,
                }
            }
            thread::sleep(ms(150));
        }
        cannot_run("a configuration was not acknowledged within 20 s")
    }

    /// Waits until a node says that it is ready.
    pub fn wait_ready(&self, machine: &Machine) {
        let give_up = Instant::now() + ms(20_000);
        while Instant::now() < give_up {
            let answer = call(machine.address(self.ports.ready), "GET", name("ready"), b"");
            if answer.is_some_and(|answer| answer.status == 200) {
                self.record.log(format!("{} is ready", machine.name));
                return;
            }
            thread::sleep(ms(50));
        }
        cannot_run(&format!("{} was not ready within 20 s", machine.name))
    }
}

/// The body of a whole configuration.
pub fn config_body(version: u64, base: u64, services: &str, limits: &str, hosts: &str) -> String {
    format!(
        "{{\"version\":{version},\"base_version\":{base},\"services\":{services},\
         \"limits\":{limits},\"{}\":{hosts}}}",
        name("hosts")
    )
}

/// Ends the script: the case could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    CANNOT_RUN.store(true, Ordering::SeqCst);
    panic!("{reason}");
}

pub static CANNOT_RUN: AtomicBool = AtomicBool::new(false);

fn free_ports(ips: &[Ipv4Addr]) -> Ports {
    let mut candidate = 21_000 + (std::process::id() % 9000) as u16;
    let mut found = Vec::new();
    while found.len() < 6 {
        candidate += 1;
        let is_free = ips
            .iter()
            .all(|ip| TcpListener::bind((*ip, candidate)).is_ok());
        if is_free {
            found.push(candidate);
        }
        if candidate > 32_000 {
            cannot_run("no free ports");
        }
    }
    Ports {
        ready: found[0],
        outbound: found[1],
        inbound: found[2],
        control: found[3],
        app: found[4],
        internal: found[5],
    }
}

/// Runs a case in a folder. `case` returns the reasons why the rule is broken. Exits with 1, 0 or 2.
pub fn run_case(case: impl FnOnce(&Arc<Record>, bool) -> (Arc<Fleet>, Vec<String>)) -> ! {
    let folder = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| ".".into()));
    let is_disturbed = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let inner = Arc::clone(&record);
    // A hung case ends itself, and with it the processes that it started.
    thread::spawn(|| {
        thread::sleep(ms(110_000));
        if let Some(fleet) = FLEET.lock().unwrap().take() {
            fleet.stop_all();
        }
        std::process::exit(2);
    });
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || {
        case(&inner, is_disturbed)
    }));
    let code = match result {
        Ok((fleet, breaks)) => {
            fleet.stop_all();
            for line in &breaks {
                record.log(format!("BROKEN: {line}"));
                println!("BROKEN: {line}");
            }
            if breaks.is_empty() {
                record.log("the rule held");
                println!("the rule held");
            }
            i32::from(!breaks.is_empty())
        }
        Err(_) => {
            if let Some(fleet) = FLEET.lock().unwrap().take() {
                fleet.stop_all();
            }
            2
        }
    };
    record.write(&folder.join("record.txt"));
    std::process::exit(code)
}

/// The fleet to stop if a case fails.
pub static FLEET: Mutex<Option<Arc<Fleet>>> = Mutex::new(None);

// ---------------------------------------------------------------------------------------------
// HTTP/1.1

#[derive(Debug, Clone)]
pub struct Message {
    /// Method and path of a request.
    pub method: String,
    pub path: String,
    /// Status of a response.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.trim_end().splitn(3, ' ');
    let (first, second) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let mut message = Message {
        method: first.into(),
        path: second.into(),
        status: if first.starts_with("HTTP/") {
            second.parse().unwrap_or(0)
        } else {
            0
        },
        headers: Vec::new(),
        body: Vec::new(),
        is_whole: false,
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.trim().to_ascii_lowercase(), value.trim().into()));
        }
    }
}

/// Reads the body of a message whose head has been read.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> std::io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let size = line.trim_end().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| std::io::Error::new(ErrorKind::InvalidData, "chunk size"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                message.is_whole = true;
                return Ok(());
            }
        }
    }
    let length: usize = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = body;
    message.is_whole = true;
    Ok(())
}

/// The head of a client's request without a body.
pub fn client_head(method: &str, path: &str, host: &str, id: &str, time_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{}: {id}\r\n{}: {time_ms}\r\n",
        name("attempt"),
        name("deadline")
    )
}

/// Sends one request on a new connection; `None` without a whole response within a second.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&to, ms(1000)).ok()?;
    stream.set_read_timeout(Some(ms(1000))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    writer.write_all(&[head.as_bytes(), body].concat()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader).ok()??;
    read_body(&mut reader, &mut answer).ok()?;
    Some(answer)
}

// ---------------------------------------------------------------------------------------------
// Servers

/// A run of a request at a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub attempt: String,
    pub method: String,
    pub path: String,
    pub has_run: bool,
}

/// What a server does beyond serving.
#[derive(Default)]
pub struct Faults {
    /// From when until when part of the requests is rejected unrun, and which part.
    pub shed: Mutex<Option<(Instant, Instant, f64)>>,
    /// From when until when part of the answers comes a second time, late, and which part.
    pub extra: Mutex<Option<(Instant, Instant, f64)>>,
}

fn active(span: &Mutex<Option<(Instant, Instant, f64)>>) -> Option<f64> {
    let now = Instant::now();
    let span = *span.lock().unwrap();
    span.filter(|(from, to, _)| *from <= now && now < *to)
        .map(|(_, _, part)| part)
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Where its node takes heartbeats.
    pub registry: SocketAddr,
    pub zone: String,
    pub slots: usize,
    pub work: Duration,
    pub answer_bytes: usize,
    pub faults: Faults,
    pub sequence: AtomicU64,
    pub is_beating: AtomicBool,
    /// Whether it has exited: its listener and connections are closed.
    pub has_exited: AtomicBool,
    running: Mutex<usize>,
    released: Condvar,
    random: Mutex<Random>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub record: Arc<Record>,
}

impl Server {
    pub fn start(
        fleet: &Fleet,
        node: &Machine,
        id: &str,
        slots: usize,
        work: Duration,
        answer_bytes: usize,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> Arc<Self> {
        let address = node.address(fleet.ports.app);
        let seed = id.bytes().fold(0x9e37_79b9_7f4a_7c15, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        let server = Arc::new(Self {
            id: id.into(),
            service: node.service.clone(),
            address,
            registry: node.address(fleet.ports.control),
            zone: node.zone.clone(),
            slots,
            work,
            answer_bytes,
            faults: Faults::default(),
            sequence: AtomicU64::new(0),
            is_beating: AtomicBool::new(true),
            has_exited: AtomicBool::new(false),
            running: Mutex::new(0),
            released: Condvar::new(),
            random: Mutex::new(Random(seed)),
            arrivals: Arc::clone(arrivals),
            record: Arc::clone(&fleet.record),
        });
        let listener = TcpListener::bind(address)
            .unwrap_or_else(|error| cannot_run(&format!("{address}: {error}")));
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                let server = Arc::clone(&accepting);
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        let beating = Arc::clone(&server);
        thread::spawn(move || {
            while beating.is_beating.load(Ordering::SeqCst) {
                let body = beating.beat_body("ready");
                drop(call(
                    beating.registry,
                    "PUT",
                    &beating.path(),
                    body.as_bytes(),
                ));
                thread::sleep(ms(870));
            }
        });
        server
    }

    pub fn path(&self) -> String {
        format!("{}{}", name("instances"), self.id)
    }

    /// The body of its next heartbeat.
    pub fn beat_body(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"{}\":0,\"sequence\":{sequence}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            name("warmup")
        )
    }

    fn draw(&self, share: f64) -> bool {
        self.random.lock().unwrap().unit() < share
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        // A second copy of an answer, which comes where the next answer is expected.
        let mut extra: Option<(String, Vec<u8>)> = None;
        while let Some(mut request) = read_head(&mut reader)? {
            if self.has_exited.load(Ordering::SeqCst) {
                return Ok(());
            }
            let id = request
                .header(name("attempt"))
                .unwrap_or_default()
                .to_owned();
            if let Some((earlier, copy)) = extra.take() {
                self.record.log(format!(
                    "{}: after the head of {id} comes a late second answer, to {earlier}",
                    self.id
                ));
                writer.write_all(&copy)?;
            }
            read_body(&mut reader, &mut request)?;
            if request.path == "/healthz" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{}: {}\r\nContent-Length: 0\r\n\r\n",
                    name("instance"),
                    self.id
                );
                writer.write_all(head.as_bytes())?;
                continue;
            }
            let expected = request.header(name("expected")).unwrap_or(&self.id);
            let mut arrival = Arrival {
                at: Instant::now(),
                server: self.id.clone(),
                attempt: id.clone(),
                method: request.method.clone(),
                path: request.path.clone(),
                has_run: false,
            };
            let (kind, answer) = if expected != self.id {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\n{}: {id}\r\n{}: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    name("attempt"),
                    name("instance"),
                    self.id
                );
                ("421", head.into_bytes())
            } else if active(&self.faults.shed).is_some_and(|share| self.draw(share)) {
                let head = format!(
                    "HTTP/1.1 503 Service Unavailable\r\n{}: {id}\r\n{}: 1\r\n\
                     Content-Length: 0\r\n\r\n",
                    name("attempt"),
                    name("unrun")
                );
                ("503, not executed", head.into_bytes())
            } else {
                arrival.has_run = true;
                self.record.log(format!(
                    "{}: runs {} {} {id}",
                    self.id, request.method, request.path
                ));
                self.arrivals.lock().unwrap().push(arrival.clone());
                if !self.work_on(&reader) {
                    self.record.log(format!(
                        "{}: drops {id}, its connection closed or it exits",
                        self.id
                    ));
                    return Ok(());
                }
                let body: Vec<u8> = (0..self.answer_bytes)
                    .map(|at| b'a' + (at % 26) as u8)
                    .collect();
                let mut answer = format!(
                    "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: 3e1b.07.5a2.{}.0.c9f2a4d1\r\n\
                     Content-Length: {}\r\n\r\n",
                    name("attempt"),
                    name("seal"),
                    body.len(),
                    body.len()
                )
                .into_bytes();
                answer.extend(body);
                ("200", answer)
            };
            if !arrival.has_run {
                self.arrivals.lock().unwrap().push(arrival);
            }
            self.record
                .log(format!("{}: answers {id} with {kind}", self.id));
            writer.write_all(&answer)?;
            if active(&self.faults.extra).is_some_and(|share| self.draw(share)) {
                extra = Some((id, answer));
            }
        }
        Ok(())
    }

    /// Waits for a slot and works. Returns false if the connection was closed meanwhile.
    fn work_on(&self, reader: &BufReader<TcpStream>) -> bool {
        let mut running = self.running.lock().unwrap();
        while *running >= self.slots {
            running = self.released.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        let end = Instant::now() + self.work;
        let is_open = wait_while_open(reader.get_ref(), end, &self.has_exited);
        *self.running.lock().unwrap() -= 1;
        self.released.notify_all();
        is_open
    }
}

/// Waits until a time; returns false as soon as the other side has closed the connection or this
/// side has exited.
pub fn wait_while_open(stream: &TcpStream, end: Instant, has_exited: &AtomicBool) -> bool {
    let mut byte = [0];
    loop {
        if has_exited.load(Ordering::SeqCst) {
            return false;
        }
        let now = Instant::now();
        if now >= end {
            drop(stream.set_read_timeout(None));
            return true;
        }
        drop(stream.set_read_timeout(Some((end - now).min(ms(20)).max(ms(1)))));
        match stream.peek(&mut byte) {
            Ok(0) => return false,
            Ok(_) => thread::sleep((end - now).min(ms(20))),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Clients

static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(0);

/// A new attempt id.
pub fn attempt_id() -> String {
    let number = LAST_ATTEMPT.fetch_add(1, Ordering::SeqCst) + 1;
    format!("{:08x}{number:08x}", std::process::id())
}

/// A kept connection of a client.
pub struct Connection {
    pub writer: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(to: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, ms(1000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ms(6000)))?;
        let writer = stream.try_clone()?;
        let reader = BufReader::new(stream);
        Ok(Self { writer, reader })
    }

    /// Reads one response. The error tells how the connection ended.
    pub fn read(&mut self) -> std::io::Result<Message> {
        let ended = || std::io::Error::new(ErrorKind::UnexpectedEof, "the connection ended");
        let mut answer = read_head(&mut self.reader)?.ok_or_else(ended)?;
        read_body(&mut self.reader, &mut answer)?;
        Ok(answer)
    }
}
