//! A fleet of real daemon processes on loopback, each behind its own proxy.

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

/// Fleets whose addresses differ.
const LARGEST_NUMBER: u8 = 250;

/// Fleets that this process has made.
static FLEETS: AtomicU8 = AtomicU8::new(0);

/// One process of a fleet, running or not.
#[derive(Debug)]
pub struct FleetInstance {
    /// Its proxy; other processes reach its peers listener through it.
    pub proxy: proxy::FaultProxy,
    /// Its settings file's content; change it before a restart to change the process.
    pub settings: Value,
    /// Its addresses by the names of the ready line, of its last start.
    pub addresses: IndexMap<String, SocketAddr>,
    child: Option<Child>,
}

/// A fleet.
#[derive(Debug)]
pub struct Fleet {
    binary: PathBuf,
    folder: tempfile::TempDir,
    control: Vec<SocketAddr>,
    /// Part of its instances' addresses, so that a port which one fleet gives up is not taken by
    /// another one while something still sends to it.
    number: u8,
    instances: IndexMap<String, FleetInstance>,
}

impl Fleet {
    /// A fleet without instances; `binary` is the daemon.
    pub fn new(binary: &str) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be made");
        Self {
            binary: binary.into(),
            folder,
            control: Vec::new(),
            number: FLEETS.fetch_add(1, Ordering::Relaxed) % LARGEST_NUMBER + 1,
            instances: IndexMap::new(),
        }
    }

    /// The fleet's folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Adds instances with the control role, without starting them.
    pub async fn add_controls(&mut self, data_centre: &str, names: &[&str]) {
        for name in names {
            let proxy = self.new_proxy().await;
            self.control.push(proxy.address);
            let folder = self.folder.path().join(name);
            let own = json!({"roles": ["control"], "data_folder": folder});
            self.insert(name, data_centre, proxy, own);
        }
        for instance in self.instances.values_mut() {
            instance.settings["control"] = json!(self.control);
        }
    }

    /// Adds an instance with the node role, without starting it.
    pub async fn add_node(&mut self, data_centre: &str, name: &str) {
        let proxy = self.new_proxy().await;
        self.insert(name, data_centre, proxy, json!({"roles": ["node"]}));
    }

    async fn new_proxy(&self) -> proxy::FaultProxy {
        let index = self.instances.len() as u8 + 1;
        let address = Ipv4Addr::new(127, self.number, (std::process::id() % 250) as u8, index);
        proxy::FaultProxy::start(IpAddr::V4(address)).await
    }

    fn insert(&mut self, name: &str, data_centre: &str, proxy: proxy::FaultProxy, own: Value) {
        let any = SocketAddr::new(proxy.address.ip(), 0);
        let mut settings = json!({
            "instance": name,
            "data_centre": data_centre,
            "region": "ro-centru",
            "advertise_peers": proxy.address,
            "control": self.control,
            "listen": {"callers": any, "target": any, "peers": any, "operators": any},
        });
        let all = settings.as_object_mut().expect("it was made as an object");
        all.extend(own.as_object().expect("it was made as an object").clone());
        let addresses = IndexMap::new();
        let instance = FleetInstance {
            proxy,
            settings,
            addresses,
            child: None,
        };
        self.instances.insert(name.into(), instance);
    }

    /// One instance.
    pub fn instance(&mut self, name: &str) -> &mut FleetInstance {
        self.instances
            .get_mut(name)
            .expect("the test names its own instances")
    }

    /// Starts instances that do not run; `arguments` go to the daemon beside its settings.
    pub async fn start(&mut self, names: &[&str], arguments: &[&str]) {
        for name in names {
            let file = self.folder.path().join(format!("{name}.jsonc"));
            let log = self.folder.path().join(format!("{name}.log"));
            let instance = self
                .instances
                .get_mut(*name)
                .expect("the test names its own instances");
            std::fs::write(&file, instance.settings.to_string()).expect("the folder is writable");
            let faults = std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(&log);
            let mut child = Command::new(&self.binary)
                .arg("--settings")
                .arg(&file)
                .args(arguments)
                .stdout(Stdio::piped())
                .stderr(Stdio::from(faults.expect("the folder is writable")))
                .kill_on_drop(true)
                .spawn()
                .expect("the daemon was built");
            let output = child.stdout.take().expect("it was asked for");
            let mut lines = BufReader::new(output).lines();
            let line = loop {
                let line = lines.next_line().await;
                let line = line.expect("the daemon's output is text");
                let line = line.unwrap_or_else(|| panic!("{name} ended before it was ready"));
                if line.starts_with("ready ") {
                    break line;
                }
                append(&log, &line);
            };
            instance.addresses = parse_ready(&line);
            instance.proxy.point_at(instance.addresses["peers"]);
            instance.child = Some(child);
            tokio::spawn(async move {
                while let Ok(Some(line)) = lines.next_line().await {
                    append(&log, &line);
                }
            });
        }
    }

    /// Kills instances at once, as `kill -9` does.
    pub async fn kill(&mut self, names: &[&str]) {
        for name in names {
            if let Some(mut child) = self.instance(name).child.take() {
                child.kill().await.expect("the process is this test's own");
            }
        }
    }

    /// Asks an instance to stop and waits until it has; returns its exit code.
    pub async fn stop(&mut self, name: &str) -> Option<i32> {
        let mut child = self.instance(name).child.take()?;
        let id = child.id()?;
        let sent = Command::new("kill")
            .arg("-TERM")
            .arg(id.to_string())
            .status()
            .await;
        assert!(
            sent.expect("kill is on every system").success(),
            "the signal was sent"
        );
        child
            .wait()
            .await
            .expect("the process is this test's own")
            .code()
    }

    /// Empties the data folder of an instance that does not run.
    pub fn delete_data(&self, name: &str) {
        let folder = self.folder.path().join(name);
        std::fs::remove_dir_all(folder).expect("the instance had a folder");
    }

    /// Process id of an instance that runs.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.instances[name].child.as_ref()?.id()
    }

    /// Everything an instance logged.
    pub fn log(&self, name: &str) -> String {
        let file = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(file).unwrap_or_default()
    }

    /// Sets the rule for all traffic between the peers listeners of two instances, both ways.
    pub fn set_pair_rule(&self, one: &str, other: &str, rule: proxy::FaultRule) {
        let (one, other) = (&self.instances[one].proxy, &self.instances[other].proxy);
        one.set_source(other.address.ip(), rule);
        other.set_source(one.address.ip(), rule);
    }

    /// Sends a request to a listener of an instance; `None` when there is no answer.
    pub async fn send_request(
        &self,
        name: &str,
        listener: &str,
        request: Request<Full<Bytes>>,
    ) -> Option<Response<Bytes>> {
        let address = *self.instances[name].addresses.get(listener)?;
        client::exchange(address, request).await.ok()
    }

    /// Reads a JSON page of an instance's operators listener.
    pub async fn read(&self, name: &str, path: &str) -> Option<Value> {
        let request = Request::get(path)
            .body(Full::default())
            .expect("the path is a URI");
        let response = self.send_request(name, "operators", request).await?;
        serde_json::from_slice(response.body()).ok()
    }

    /// Proposes a change at an instance; returns the status and the answer.
    pub async fn change(&self, name: &str, change: &Value) -> Option<(u16, Value)> {
        let body = Full::from(change.to_string());
        let request = Request::post("/v1/changes")
            .body(body)
            .expect("the path is a URI");
        let response = self.send_request(name, "operators", request).await?;
        let answer = serde_json::from_slice(response.body()).ok()?;
        Some((response.status().as_u16(), answer))
    }

    /// Waits until instances hold a version or a later one.
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

fn parse_ready(line: &str) -> IndexMap<String, SocketAddr> {
    let pair = |word: &str| {
        let (name, address) = word.split_once('=').expect("the ready line holds pairs");
        (
            name.to_owned(),
            address.parse().expect("the ready line holds addresses"),
        )
    };
    line.split_whitespace().skip(1).map(pair).collect()
}

/// Adds a line of an instance's output to its log.
fn append(log: &Path, line: &str) {
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log);
    let written = file.and_then(|mut file| writeln!(file, "{line}"));
    // The folder goes with its test, while the last lines may still be on their way.
    drop(written);
}
