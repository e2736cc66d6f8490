//! A small deployment of real processes on loopback addresses: settings rendered from the templates
//! of the deploy file, one control and one node process per machine.

use std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::{http, names, record};

/// Ports that each machine uses, as offsets from the first one.
const PORT_READY: u16 = 0;
const PORT_OUTBOUND: u16 = 1;
const PORT_INBOUND: u16 = 2;
const PORT_CONTROL: u16 = 3;
const PORT_APP: u16 = 4;
const PORT_PEERS: u16 = 5;
const PORT_COUNT: u16 = 6;

/// Seconds between two heartbeats of a server.
pub const HEARTBEAT_S: f64 = 0.87;
/// Stable window of the deployment, in seconds.
pub const STABLE_WINDOW_S: f64 = 3.0;

/// Fields that the provider fills into a template, by dotted name.
enum Field {
    Text(String),
    List(Vec<String>),
}

type Fields = BTreeMap<&'static str, Field>;

/// Addresses of a node and of the server beside it.
#[derive(Debug, Clone, Copy)]
pub struct NodeAddresses {
    /// Number of the node, from 1.
    pub node: u8,
    /// Address at which its clients send their requests.
    pub outbound: SocketAddr,
    /// Address at which the server sends its heartbeats.
    pub heartbeats: SocketAddr,
    /// Address of the server.
    pub app: SocketAddr,
}

pub struct Fleet {
    folder: PathBuf,
    first_port: u16,
    prefix: [u8; 3],
    controls: u8,
    children: Vec<(String, Child)>,
    record: record::Record,
}

impl Fleet {
    /// Starts `controls` controls and a node for each service in `nodes`, by machine number from 1.
    pub fn start(record: &record::Record, controls: u8, nodes: &[&str]) -> Self {
        let pid = std::process::id();
        let prefix = [127, 60 + (pid % 180) as u8, (pid / 180 % 250) as u8];
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let machines = controls + nodes.len() as u8;
        let first_port = free_ports(prefix, machines);
        let mut fleet = Self {
            folder,
            first_port,
            prefix,
            controls,
            children: Vec::new(),
            record: record.clone(),
        };
        for number in 1..=controls {
            fleet.spawn(&format!("core-{number}"), number, None);
        }
        for (index, service) in nodes.iter().enumerate() {
            let number = controls + 1 + index as u8;
            fleet.spawn(&format!("sidecar-{}", index + 1), number, Some(service));
        }
        fleet
    }

    fn ip(&self, machine: u8) -> Ipv4Addr {
        let [a, b, c] = self.prefix;
        Ipv4Addr::new(a, b, c, machine)
    }

    fn address(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(machine)), self.first_port + port)
    }

    /// Machine number of a node, from 1.
    fn machine_of(&self, node: u8) -> u8 {
        self.controls + node
    }

    /// Addresses of a node, by its number from 1.
    pub fn node(&self, node: u8) -> NodeAddresses {
        let address = |port| self.address(self.machine_of(node), port);
        NodeAddresses {
            node,
            outbound: address(PORT_OUTBOUND),
            heartbeats: address(PORT_CONTROL),
            app: address(PORT_APP),
        }
    }

    /// Address of a node's ready answer.
    pub fn ready(&self, node: u8) -> SocketAddr {
        self.address(self.machine_of(node), PORT_READY)
    }

    fn spawn(&mut self, name: &str, machine: u8, service: Option<&str>) {
        let is_core = service.is_none();
        let text = |value: &str| Field::Text(value.to_owned());
        let address = |port| Field::Text(self.address(machine, port).to_string());
        let seeds = (1..=self.controls.min(3)).map(|seed| self.address(seed, PORT_CONTROL));
        let mut fields: Fields = BTreeMap::from([
            ("node", text(name)),
            ("ip", Field::Text(self.ip(machine).to_string())),
            ("zone", text("hartford-hall")),
            ("region", text("new-england")),
            ("bootstrap", text("true")),
            (
                "seeds",
                Field::List(seeds.map(|seed| seed.to_string()).collect()),
            ),
            (
                "internal_ports.0",
                Field::Text((self.first_port + PORT_PEERS).to_string()),
            ),
            ("listen.control", address(PORT_CONTROL)),
            ("fault_tolerance.machines", text("1")),
            ("bounds.grace_s", text("6")),
            ("bounds.retry_budget_ratio", text("0.2")),
            ("bounds.budget_slack", text("60")),
            ("limits.link_mbps", text("1000.0")),
        ]);
        if is_core {
            let data = self.folder.join(name);
            fs::create_dir_all(&data).expect("a data folder");
            fields.insert("data_dir", Field::Text(data.display().to_string()));
        } else {
            fields.insert("listen.outbound", address(PORT_OUTBOUND));
            fields.insert("listen.inbound", address(PORT_INBOUND));
            fields.insert("listen.ready", address(PORT_READY));
            fields.insert("service", text(service.unwrap_or_default()));
        }
        let root = repository();
        let template = if is_core {
            "deploy/control.jsonc"
        } else {
            "deploy/node.jsonc"
        };
        let template = fs::read_to_string(root.join(template)).expect("a template");
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, render(&template, &fields)).expect("a settings file");
        let output = fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let errors = output.try_clone().expect("a second handle");
        let child = Command::new(root.join("target/release/hazeltillerd"))
            .arg("--settings")
            .arg(&settings)
            .current_dir(&root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LANG", "C")
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => {
                self.record.line(&format!("{name} does not start: {error}"));
                std::process::exit(2);
            }
        };
        self.record.line(&format!("start {name}"));
        self.children.push((name.to_owned(), child));
    }

    /// Sends a configuration as the operator does, to one control after the other, until it is
    /// acknowledged.
    pub fn configure(&self, body: &str) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            for control in 1..=self.controls {
                let mut to = self.address(control, PORT_CONTROL);
                for _redirect in 0..3 {
                    let headers = [("Content-Type", "application/json")];
                    let request =
                        http::request("PUT", names::of("config"), &headers, Some(body.as_bytes()));
                    let timeout = Duration::from_secs(1);
                    let Ok(response) = http::exchange(None, to, &request, timeout) else {
                        break;
                    };
                    if response.status == 200 {
                        self.record.line("the configuration is acknowledged");
                        return;
                    }
                    let location = response.header("location").unwrap_or_default();
                    let location = location.trim_start_matches("http://");
                    let location = location.split('/').next().unwrap_or_default();
                    match (response.status, location.parse()) {
                        (307, Ok(next)) => to = next,
                        _ => break,
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.line("the configuration was not acknowledged");
        self.fail();
    }

    /// Sends the first configuration and waits until the nodes are ready.
    pub fn wait_ready_for(&self, configuration: &str, nodes: u8) {
        self.configure(configuration);
        self.wait_ready(nodes);
    }

    /// Waits until each of the first `nodes` nodes says that it is ready.
    pub fn wait_ready(&self, nodes: u8) {
        let until = Instant::now() + Duration::from_secs(20);
        for node in 1..=nodes {
            loop {
                let request = http::request("GET", names::of("ready"), &[], None);
                let timeout = Duration::from_secs(1);
                let response = http::exchange(None, self.ready(node), &request, timeout);
                if response.is_ok_and(|response| response.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    self.record
                        .line(&format!("node {node} does not become ready"));
                    self.fail();
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all nodes are ready");
    }

    /// Ends the case with the code that says that it could not run.
    fn fail(&self) -> ! {
        for (_, child) in &self.children {
            send_signal(child, SIGKILL);
        }
        std::process::exit(2);
    }

    /// Stops a node with SIGTERM, waits until it has ended or the grace is over, and starts it again.
    pub fn stop_node(&mut self, node: u8, service: &str) {
        const GRACE: Duration = Duration::from_secs(6);
        let name = format!("sidecar-{node}");
        let index = self.children.iter().position(|(known, _)| *known == name);
        let (_, mut child) = self
            .children
            .swap_remove(index.expect("a node of this fleet"));
        self.record.line(&format!("{name} gets SIGTERM"));
        send_signal(&child, SIGTERM);
        let until = Instant::now() + GRACE;
        while Instant::now() < until && !matches!(child.try_wait(), Ok(Some(_))) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.record.line(&format!("{name} has ended"));
        std::thread::sleep(Duration::from_millis(500));
        let machine = self.machine_of(node);
        self.spawn(&name, machine, Some(service));
    }

    /// Returns the names of the processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let children = self.children.iter_mut();
        let ended = children.filter_map(|(name, child)| {
            let status = child.try_wait().ok().flatten()?;
            Some(format!("{name} ({status})"))
        });
        ended.collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

/// Sends a signal to a process that this one has started.
fn send_signal(child: &Child, signal: i32) {
    // SAFETY: the call takes two numbers; the process has not been waited for, so its id is still its own.
    unsafe {
        kill(child.id() as i32, signal);
    }
}

/// Returns the root of the repository, from which the script is started.
fn repository() -> PathBuf {
    std::env::current_dir().expect("a working directory")
}

/// Returns the first of a row of ports that are free on all machines.
fn free_ports(prefix: [u8; 3], machines: u8) -> u16 {
    let start = 21_000 + (std::process::id() % 900) as u16 * 10;
    let [a, b, c] = prefix;
    for first in (start..32_000).step_by(10) {
        let is_free = (1..=machines).all(|machine| {
            (0..PORT_COUNT).all(|port| {
                let ip = Ipv4Addr::new(a, b, c, machine);
                TcpListener::bind((ip, first + port)).is_ok()
            })
        });
        if is_free {
            return first;
        }
    }
    eprintln!("no free ports");
    std::process::exit(2);
}

/// Renders the part of the provider's template language that the templates of the repository use.
fn render(template: &str, fields: &Fields) -> String {
    let mut output = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        output.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a closed placeholder");
        let name = &rest[start + 2..end];
        rest = &rest[end + 2..];
        if let Some(section) = name.strip_prefix('#') {
            let close = format!("{{{{/{section}}}}}");
            let length = rest.find(&close).expect("a closed section");
            let inner = &rest[..length];
            rest = &rest[length + close.len()..];
            match fields.get(section) {
                Some(Field::List(items)) => {
                    for (index, item) in items.iter().enumerate() {
                        let comma = if index + 1 < items.len() { "," } else { "" };
                        let text = inner.replace("{{.}}", item).replace("{{,}}", comma);
                        output.push_str(&text);
                    }
                }
                Some(Field::Text(_)) => output.push_str(&render(inner, fields)),
                None => {}
            }
        } else if let Some(Field::Text(text)) = fields.get(name) {
            output.push_str(text);
        }
    }
    output.push_str(rest);
    output
}

/// Returns the folder of the case, which the script passes.
pub fn case_folder() -> PathBuf {
    let folder = std::env::args().nth(2).unwrap_or_default();
    Path::new(&folder).to_owned()
}
