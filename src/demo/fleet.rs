//! A fleet in one process: one control, four nodes in two data centres and four stand-in targets.

use std::{
    error::Error,
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use hazeltiller_catalogue::{change, file};
use hazeltiller_daemon::{process, settings};
use hazeltiller_standin::{client, settings as stand_in_settings, target};
use hazeltiller_units::ids;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use tokio::time;

/// Error that ends the demo.
pub type DemoError = Box<dyn Error + Send + Sync>;

/// Catalogue of the example organisation, the Register.
const CATALOGUE: &str = include_str!("../../examples/register/catalogue.jsonc");
const DATA_CENTRES: [&str; 2] = ["brasov-a", "sibiu-a"];
const SERVICE: &str = "registru";
/// Timeout for the fleet to reach an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_PERIOD: Duration = Duration::from_millis(1);
/// Time before a change that was refused because there is no leader yet is resent.
const RETRY_PERIOD: Duration = Duration::from_millis(100);

/// The running fleet.
#[derive(Debug)]
pub struct DemoFleet {
    /// The control.
    pub control: process::RunningProcess,
    /// The nodes.
    pub nodes: Vec<process::RunningProcess>,
    /// The targets, one at each node.
    pub targets: Vec<target::StandInTarget>,
    /// Data folder of the control, deleted on drop.
    _folder: tempfile::TempDir,
}

impl DemoFleet {
    /// Starts the control, the nodes and the targets.
    pub async fn start() -> Result<Self, DemoError> {
        let folder = tempfile::tempdir()?;
        let peers = free_address()?;
        let control = json!({
            "instance": "control-1", "data_centre": DATA_CENTRES[0], "region": "ro-centru",
            "roles": ["control"], "listen": {"peers": peers}, "control": [peers],
            "data_folder": folder.path(),
        });
        let control = start_process(&control, true).await?;
        let mut nodes = Vec::new();
        let mut targets = Vec::new();
        for index in 0..DATA_CENTRES.len() * 2 {
            let data_centre = DATA_CENTRES[index / 2];
            let node = json!({
                "instance": format!("node-{}", index + 1), "data_centre": data_centre,
                "region": "ro-centru", "roles": ["node"], "control": [peers],
            });
            let node = start_process(&node, false).await?;
            let listener = node.addresses.target.expect("a node has a target listener");
            let name = format!("registru-{}", index + 1).parse()?;
            let service = SERVICE.parse()?;
            let target = stand_in_settings::StandInSettings::builder(name, service, listener);
            targets.push(target::StandInTarget::start(target.build()).await?);
            nodes.push(node);
        }
        Ok(Self {
            control,
            nodes,
            targets,
            _folder: folder,
        })
    }

    /// Returns the addresses of the nodes' callers listeners.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let address = |node: &process::RunningProcess| node.addresses.callers;
        self.nodes.iter().filter_map(address).collect()
    }

    /// Applies the Register's catalogue and returns the time until it is in force on all nodes.
    pub async fn apply_catalogue(&self) -> Result<Duration, DemoError> {
        let set = file::parse_file(CATALOGUE)?;
        self.apply("demo-first", 0, &set).await
    }

    /// Extends the deadline of the route `lookup` and returns the time until the change is in force
    /// on all nodes.
    pub async fn change_route(&self) -> Result<Duration, DemoError> {
        let mut set = file::parse_file(CATALOGUE)?;
        set.put
            .retain(|entry| entry.key().name.as_str() == "lookup");
        if let Some(hazeltiller_catalogue::entry::CatalogueEntry::Route(route)) =
            set.put.first_mut()
        {
            route.limits.deadline_ms += 500;
        }
        self.apply("demo-second", 1, &set).await
    }

    async fn apply(
        &self,
        change_id: &str,
        expects: u64,
        set: &change::ChangeSet,
    ) -> Result<Duration, DemoError> {
        let body = json!({
            "change_id": change_id, "expects": expects, "put": set.put, "remove": set.remove,
        });
        let deadline = Instant::now() + STATE_TIMEOUT;
        loop {
            let body = Full::from(body.to_string());
            let sent = Instant::now();
            let request = Request::post("/v1/changes").body(body)?;
            let response = client::exchange(self.control.addresses.operators, request).await?;
            if response.status().is_success() {
                self.wait_version(ids::CatalogueVersion(expects + 1))
                    .await?;
                return Ok(sent.elapsed());
            }
            let is_expired = Instant::now() > deadline;
            if is_expired || !response.status().is_server_error() {
                return Err(String::from_utf8_lossy(response.body()).into());
            }
            time::sleep(RETRY_PERIOD).await;
        }
    }

    async fn wait_version(&self, version: ids::CatalogueVersion) -> Result<(), DemoError> {
        for node in &self.nodes {
            let mut in_force = node.context.in_force.clone();
            let reached = in_force.wait_for(|state| state.version >= version);
            time::timeout(STATE_TIMEOUT, reached).await??;
        }
        Ok(())
    }

    /// Waits until all nodes know all targets.
    pub async fn wait_targets(&self) -> Result<(), DemoError> {
        let expected = self.targets.len();
        for node in &self.nodes {
            let deadline = Instant::now() + STATE_TIMEOUT;
            let known = || {
                node.context.engine.inspect(|state| {
                    state
                        .membership
                        .present()
                        .map(|member| member.targets.len())
                        .sum::<usize>()
                })
            };
            while known().await != Some(expected) {
                if Instant::now() > deadline {
                    return Err("timed out waiting for a node to learn of all targets".into());
                }
                time::sleep(POLL_PERIOD).await;
            }
        }
        Ok(())
    }

    /// Returns the bytes of control traffic sent by all processes.
    pub fn control_bytes(&self) -> u64 {
        let processes = std::iter::once(&self.control).chain(&self.nodes);
        let sent = processes.map(|process| process.context.bytes.summary().sent);
        sent.flat_map(indexmap::IndexMap::into_values)
            .map(|count| count.bytes)
            .sum()
    }
}

async fn start_process(
    document: &serde_json::Value,
    bootstrap: bool,
) -> Result<process::RunningProcess, DemoError> {
    let parsed = settings::ProcessSettings::parse(&document.to_string());
    let settings = parsed.map_err(|faults| format!("{faults:?}"))?;
    Ok(process::start(
        &settings,
        process::StartOptions {
            bootstrap,
            ..process::StartOptions::default()
        },
    )
    .await?)
}

/// Returns an address with a port that is free now. The address of the control must be in all
/// settings before the control starts.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
