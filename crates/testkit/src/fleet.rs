//! Fleet of daemon processes on loopback, each behind its own proxy.

use std::{
    io::Write as _,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Stdio,
    sync::atomic::{AtomicU8, Ordering},
};

use bytes::Bytes;
use hazeltiller_standin::client;
use http_body_util::Full;
use hyper::{Request, Response};
use indexmap::IndexMap;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
};

use crate::{proxy, wait};

/// Number of fleets after which their addresses repeat.
const MAX_FLEETS: u8 = 250;

/// Number of fleets that this process has created.
static FLEET_COUNT: AtomicU8 = AtomicU8::new(0);

/// Instance of a fleet, whose process may be running or not.
#[derive(Debug)]
pub struct FleetInstance {
    /// Proxy through which other processes reach its peers listener.
    pub proxy: proxy::FaultProxy,
    /// Content of its settings file, written at each start.
    pub settings: Value,
    /// Addresses of its listeners, by the names in the ready line of its last start.
    pub addresses: IndexMap<String, SocketAddr>,
    /// Descriptors that the process may open; the limit of the tests' own process if absent.
    pub max_descriptors: Option<u32>,
    child: Option<Child>,
}

/// Fleet of daemon processes with their settings, data and logs in a temporary folder.
#[derive(Debug)]
pub struct Fleet {
    binary: PathBuf,
    folder: tempfile::TempDir,
    control_addresses: Vec<SocketAddr>,
    /// Second octet of its instances' addresses. Fleets do not share addresses, so a port that one
    /// fleet has released is not reused by another while messages are still sent to it.
    number: u8,
    instances: IndexMap<String, FleetInstance>,
}

impl Fleet {
    /// Creates a fleet without instances. `binary` is the path of the daemon.
    pub fn new(binary: &str) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        Self {
            binary: binary.into(),
            folder,
            control_addresses: Vec::new(),
            number: FLEET_COUNT.fetch_add(1, Ordering::Relaxed) % MAX_FLEETS + 1,
            instances: IndexMap::new(),
        }
    }

    /// Returns the fleet's folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Adds instances with the control role, without starting them.
    pub async fn add_controls(&mut self, data_centre: &str, names: &[&str]) {
        for name in names {
            let proxy = self.start_proxy().await;
            self.control_addresses.push(proxy.address);
            let folder = self.folder.path().join(name);
            let role_settings = json!({"roles": ["control"], "data_folder": folder});
            self.insert(name, data_centre, proxy, role_settings);
        }
        for instance in self.instances.values_mut() {
            instance.settings["control"] = json!(self.control_addresses);
        }
    }

    /// Adds an instance with the node role, without starting it.
    pub async fn add_node(&mut self, data_centre: &str, name: &str) {
        let proxy = self.start_proxy().await;
        self.insert(name, data_centre, proxy, json!({"roles": ["node"]}));
    }

    async fn start_proxy(&self) -> proxy::FaultProxy {
        let index = self.instances.len() as u8 + 1;
        let address = Ipv4Addr::new(127, self.number, (std::process::id() % 250) as u8, index);
        proxy::FaultProxy::start(IpAddr::V4(address)).await
    }

    fn insert(
        &mut self,
        name: &str,
        data_centre: &str,
        proxy: proxy::FaultProxy,
        role_settings: Value,
    ) {
        let any_port = SocketAddr::new(proxy.address.ip(), 0);
        let mut settings = json!({
            "instance": name,
            "data_centre": data_centre,
            "region": "ro-centru",
            "advertise_peers": proxy.address,
            "control": self.control_addresses,
            "listen": {"callers": any_port, "target": any_port, "peers": any_port,
                       "operators": any_port},
        });
        let all = settings.as_object_mut().expect("it is a JSON object");
        all.extend(
            role_settings
                .as_object()
                .expect("it is a JSON object")
                .clone(),
        );
        let addresses = IndexMap::new();
        let instance = FleetInstance {
            proxy,
            settings,
            addresses,
            max_descriptors: None,
            child: None,
        };
        self.instances.insert(name.into(), instance);
    }

    /// Returns an instance.
    pub fn instance(&mut self, name: &str) -> &mut FleetInstance {
        self.instances
            .get_mut(name)
            .expect("the test names its own instances")
    }

    /// Starts instances and waits until each is ready. `arguments` are passed to the daemon in
    /// addition to its settings.
    pub async fn start(&mut self, names: &[&str], arguments: &[&str]) {
        for name in names {
            let file = self.folder.path().join(format!("{name}.jsonc"));
            let log = self.folder.path().join(format!("{name}.log"));
            let instance = self
                .instances
                .get_mut(*name)
                .expect("the test names its own instances");
            std::fs::write(&file, instance.settings.to_string()).expect("the folder is writable");
            let log_file = std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(&log);
            let mut child = daemon_command(&self.binary, instance.max_descriptors)
                .arg("--settings")
                .arg(&file)
                .args(arguments)
                .stdout(Stdio::piped())
                .stderr(Stdio::from(log_file.expect("the folder is writable")))
                .kill_on_drop(true)
                .spawn()
                .expect("the daemon can be started");
            let output = child.stdout.take().expect("standard output is piped");
            let mut lines = BufReader::new(output).lines();
            let line = loop {
                let line = lines.next_line().await;
                let line = line.expect("the daemon's output is text");
                let line = line.unwrap_or_else(|| panic!("{name} exited before it was ready"));
                if line.starts_with("ready ") {
                    break line;
                }
                append(&log, &line);
            };
            instance.addresses = parse_ready_line(&line);
            instance.proxy.set_upstream(instance.addresses["peers"]);
            instance.child = Some(child);
            tokio::spawn(async move {
                while let Ok(Some(line)) = lines.next_line().await {
                    append(&log, &line);
                }
            });
        }
    }

    /// Kills instances with SIGKILL.
    pub async fn kill(&mut self, names: &[&str]) {
        for name in names {
            if let Some(mut child) = self.instance(name).child.take() {
                child
                    .kill()
                    .await
                    .expect("the process is a child of this test");
            }
        }
    }

    /// Sends SIGTERM to an instance and waits for it to exit; returns its exit code.
    pub async fn stop(&mut self, name: &str) -> Option<i32> {
        let mut child = self.instance(name).child.take()?;
        let id = child.id()?;
        let status = Command::new("kill")
            .arg("-TERM")
            .arg(id.to_string())
            .status()
            .await;
        assert!(
            status.expect("the kill command is installed").success(),
            "the signal was sent"
        );
        child
            .wait()
            .await
            .expect("the process is a child of this test")
            .code()
    }

    /// Deletes the data folder of an instance that is not running.
    pub fn delete_data(&self, name: &str) {
        let folder = self.folder.path().join(name);
        std::fs::remove_dir_all(folder).expect("the instance has a data folder");
    }

    /// Returns the process id of a running instance.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.instances[name].child.as_ref()?.id()
    }

    /// Returns everything that an instance has logged.
    pub fn log(&self, name: &str) -> String {
        let file = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(file).unwrap_or_default()
    }

    /// Sets the rule for connections between two instances, in both directions.
    pub fn set_pair_rule(&self, one: &str, other: &str, rule: proxy::FaultRule) {
        let (one, other) = (&self.instances[one].proxy, &self.instances[other].proxy);
        one.set_source(other.address.ip(), rule);
        other.set_source(one.address.ip(), rule);
    }

    /// Sends a request to a listener of an instance; returns `None` if there is no response.
    pub async fn send_request(
        &self,
        name: &str,
        listener: &str,
        request: Request<Full<Bytes>>,
    ) -> Option<Response<Bytes>> {
        let address = *self.instances[name].addresses.get(listener)?;
        client::exchange(address, request).await.ok()
    }

    /// Reads a JSON document from an instance's operators listener.
    pub async fn read(&self, name: &str, path: &str) -> Option<Value> {
        let request = Request::get(path)
            .body(Full::default())
            .expect("the path is a URI");
        let response = self.send_request(name, "operators", request).await?;
        serde_json::from_slice(response.body()).ok()
    }

    /// Proposes a change at an instance; returns the status and body of the response.
    pub async fn change(&self, name: &str, change: &Value) -> Option<(u16, Value)> {
        let body = Full::from(change.to_string());
        let request = Request::post("/v1/changes")
            .body(body)
            .expect("the path is a URI");
        let response = self.send_request(name, "operators", request).await?;
        let document = serde_json::from_slice(response.body()).ok()?;
        Some((response.status().as_u16(), document))
    }

    /// Waits until instances have a version or a later one in force.
    pub async fn wait_version(&self, names: &[&str], version: u64) {
        for name in names {
            wait::until(&format!("version {version} at {name}"), || async {
                let status = self.read(name, "/v1/status").await?;
                (status["catalogue_version"].as_u64()? >= version).then_some(())
            })
            .await;
        }
    }
}

/// Keeps settings, data and logs of a test that fails.
impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            println!("kept {}", self.folder.path().display());
        }
    }
}

/// Returns the command that starts the daemon, with a limit on its descriptors if one is given.
fn daemon_command(binary: &Path, max_descriptors: Option<u32>) -> Command {
    let Some(max_descriptors) = max_descriptors else {
        return Command::new(binary);
    };
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {max_descriptors} && exec \"$0\" \"$@\"");
    command.arg("-c").arg(script).arg(binary);
    command
}

fn parse_ready_line(line: &str) -> IndexMap<String, SocketAddr> {
    let pair = |word: &str| {
        let (name, address) = word
            .split_once('=')
            .expect("the ready line contains name=address pairs");
        (
            name.to_owned(),
            address.parse().expect("the ready line contains addresses"),
        )
    };
    line.split_whitespace().skip(1).map(pair).collect()
}

/// Appends a line of an instance's output to its log.
fn append(log: &Path, line: &str) {
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log);
    let written = file.and_then(|mut file| writeln!(file, "{line}"));
    // The test may delete the folder before the last lines are written.
    drop(written);
}
