//! The settings file of a process.
//!
//! The whole file is validated against a table of keys before any of it is used, so that operators
//! see all faults at once and no process starts with partly invalid settings.

pub mod check;
pub mod fault;
pub mod installation;
pub mod schema;

use std::{net::SocketAddr, ops::RangeInclusive, path::PathBuf};

use hazeltiller_engine::settings as engine_settings;
use hazeltiller_units::{ids, jsonc};
use indexmap::IndexMap;
use serde::{Deserialize, de::Error};

/// Allowed numbers of worker threads.
pub const WORKER_THREADS: RangeInclusive<u64> = 1..=64;
/// Default number of worker threads. A process gets a small share of a machine, next to its target:
/// with a thread for each core, calls would spend their time on waking threads
/// (docs/design/threads.md).
pub const DEFAULT_WORKER_THREADS: usize = 2;

/// Default sampling of successful requests: one of this many is logged.
pub const DEFAULT_SAMPLE_INTERVAL: u64 = 64;

/// Name of the native interface.
pub const NATIVE_INTERFACE: &str = "own";
/// Name of the interface of the platform that the program was built for.
pub const PLATFORM_INTERFACE: &str = "platform";
/// Names of all interfaces.
pub const INTERFACES: [&str; 2] = [NATIVE_INTERFACE, PLATFORM_INTERFACE];

fn default_interface() -> String {
    NATIVE_INTERFACE.into()
}

fn default_worker_threads() -> usize {
    DEFAULT_WORKER_THREADS
}

/// A role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessRole {
    /// Proxies calls and owns targets.
    Node,
    /// Replicates the log of the catalogue.
    Control,
}

/// Addresses that the process listens on. With port 0 the system picks a free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for targets.
    pub target: SocketAddr,
    /// Listener for other processes of the system.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for readiness checks; absent if there is none.
    pub ready: Option<SocketAddr>,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            callers: loopback,
            target: loopback,
            peers: loopback,
            operators: loopback,
            ready: None,
        }
    }
}

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: String,
    /// File to append to; standard output if absent.
    pub file: Option<PathBuf>,
    /// One of this many successful requests is logged, sampled by request id; 0 logs none.
    pub sample: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".into(),
            file: None,
            sample: DEFAULT_SAMPLE_INTERVAL,
        }
    }
}

/// The settings of a process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of the instance, unique in the fleet.
    pub instance: ids::InstanceName,
    /// Data centre of the instance.
    pub data_centre: ids::DataCentreName,
    /// Region of the data centre.
    pub region: ids::RegionName,
    /// Roles of the process.
    pub roles: Vec<ProcessRole>,
    /// Addresses of its listeners.
    #[serde(default)]
    pub listen: ListenSettings,
    /// Address at which other processes reach `listen.peers`; the listening address if absent.
    #[serde(default)]
    pub advertise_peers: Option<SocketAddr>,
    /// Peers addresses of the control instances.
    #[serde(default)]
    pub control: Vec<SocketAddr>,
    /// Port of the controls' peers listeners, for files in which the addresses under `control` are
    /// those of other listeners.
    #[serde(default)]
    pub control_port: Option<u16>,
    /// Whether the instances under `control` form a new group as its voters.
    #[serde(default)]
    pub bootstrap: bool,
    /// Interface that callers, targets and operators use; one of [`INTERFACES`].
    #[serde(default = "default_interface")]
    pub interface: String,
    /// Service of the target on the same machine as the node; its calls are attributed to this
    /// service.
    #[serde(default)]
    pub caller_service: Option<ids::EntryName>,
    /// Folder of the durable state of a control.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// File with the group key.
    #[serde(default)]
    pub group_key_file: Option<PathBuf>,
    /// File with the first administrator's token.
    #[serde(default)]
    pub operators_token_file: Option<PathBuf>,
    /// Number of threads that process calls and messages.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits and requirements of the installation.
    #[serde(default)]
    pub installation: installation::InstallationSettings,
    /// Tunables of the reducer by group, see docs/SETTINGS.md. A tunable that the file doesn't set
    /// is derived from `installation` or has its default.
    #[serde(skip)]
    pub tunables: engine_settings::EngineTunables,
    /// Tunables that the file sets.
    #[serde(default, rename = "tunables")]
    pub(crate) given_tunables: TunableMap,
}

impl ProcessSettings {
    /// Parses the text of a settings file, or returns all its faults.
    pub fn parse(text: &str) -> Result<Self, Vec<fault::SettingsFault>> {
        let document = jsonc::parse_jsonc(text)
            .map_err(|error| vec![fault::SettingsFault::of_file(error.to_string())])?;
        let faults = check::check_document(&document);
        if !faults.is_empty() {
            return Err(faults);
        }
        let parsed = serde_json::from_value(document);
        let parsed = parsed.and_then(|mut settings: Self| {
            settings.tunables = settings.derive_tunables()?;
            Ok(settings)
        });
        parsed.map_err(|error| vec![fault::SettingsFault::of_file(error.to_string())])
    }

    /// Derives tunables from the installation, then applies those that the file sets. Names and
    /// ranges have been checked before.
    fn derive_tunables(&self) -> Result<engine_settings::EngineTunables, serde_json::Error> {
        let mut tunables = engine_settings::EngineTunables::default();
        self.installation.apply(&mut tunables);
        for (group, names) in &self.given_tunables {
            for (name, value) in names {
                let tunable = tunables.value_mut(group, name);
                let unknown = || serde_json::Error::custom(format!("no {group}.{name}"));
                *tunable.ok_or_else(unknown)? = *value;
            }
        }
        Ok(tunables)
    }

    /// Returns the peers addresses at which the controls are contacted.
    pub fn contacts(&self) -> Vec<SocketAddr> {
        let at_port = |address: &SocketAddr| {
            let port = self.control_port.unwrap_or(address.port());
            SocketAddr::new(address.ip(), port)
        };
        self.control.iter().map(at_port).collect()
    }

    /// Returns whether the process has a role.
    pub fn has_role(&self, role: ProcessRole) -> bool {
        self.roles.contains(&role)
    }
}

pub(crate) type TunableMap = IndexMap<String, IndexMap<String, u64>>;
