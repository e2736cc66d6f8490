//! One control, four nodes in two data centres and four stand-in targets, all in this process.

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

/// Any error that ends the demo.
pub type DemoError = Box<dyn Error + Send + Sync>;

/// The Register's catalogue, as in examples/.
const CATALOGUE: &str = include_str!("../../examples/register/catalogue.jsonc");
const DATA_CENTRES: [&str; 2] = ["brasov-a", "sibiu-a"];
const SERVICE: &str = "registru";
/// Longest wait for a state that must come.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL_PERIOD: Duration = Duration::from_millis(1);
/// How often a change that was refused for want of a leader is sent again.
const RETRY_PERIOD: Duration = Duration::from_millis(100);

/// The fleet.
#[derive(Debug)]
pub struct DemoFleet {
    /// The control.
    pub control: process::RunningProcess,
    /// The nodes.
    pub nodes: Vec<process::RunningProcess>,
    /// A target at each node.
    pub targets: Vec<target::StandInTarget>,
    /// Holds the control's data folder until the demo is over.
    _folder: tempfile::TempDir,
}

impl DemoFleet {
    /// Starts everything.
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

    /// Addresses of the nodes' callers listeners.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let address = |node: &process::RunningProcess| node.addresses.callers;
        self.nodes.iter().filter_map(address).collect()
    }

    /// Applies the Register's catalogue; returns the time until it was in force on every node.
    pub async fn apply_catalogue(&self) -> Result<Duration, DemoError> {
        let set = file::parse_file(CATALOGUE)?;
        self.apply("demo-first", 0, &set).await
    }

    /// Gives the lookups a longer deadline: one route changes.
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
        let deadline = Instant::now() + PATIENCE;
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
            let is_late = Instant::now() > deadline;
            if is_late || !response.status().is_server_error() {
                return Err(String::from_utf8_lossy(response.body()).into());
            }
            time::sleep(RETRY_PERIOD).await;
        }
    }

    async fn wait_version(&self, version: ids::CatalogueVersion) -> Result<(), DemoError> {
        for node in &self.nodes {
            let mut in_force = node.context.in_force.clone();
            let reached = in_force.wait_for(|state| state.version >= version);
            time::timeout(PATIENCE, reached).await??;
        }
        Ok(())
    }

    /// Waits until every node knows every target.
    pub async fn wait_targets(&self) -> Result<(), DemoError> {
        let wanted = self.targets.len();
        for node in &self.nodes {
            let deadline = Instant::now() + PATIENCE;
            let known = || {
                node.context.engine.inspect(|state| {
                    state
                        .membership
                        .present()
                        .map(|member| member.targets.len())
                        .sum::<usize>()
                })
            };
            while known().await != Some(wanted) {
                if Instant::now() > deadline {
                    return Err("a node does not learn of every target".into());
                }
                time::sleep(POLL_PERIOD).await;
            }
        }
        Ok(())
    }

    /// Bytes of control traffic that all processes have sent.
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

/// An address whose port is free now; the control's voters are known by it before it starts.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
