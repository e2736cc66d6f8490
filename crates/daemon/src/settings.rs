//! The settings file of a process.
//!
//! A file is checked whole against one table before any of it is used, so that an operator sees
//! every fault at once and a process never starts on half-understood settings.

pub mod check;
pub mod fault;
pub mod installation;
pub mod schema;

use std::{net::SocketAddr, ops::RangeInclusive, path::PathBuf};

use hazeltiller_engine::settings as engine_settings;
use hazeltiller_units::{ids, jsonc};
use indexmap::IndexMap;
use serde::{Deserialize, de::Error};

/// Worker threads that can be set.
pub const WORKER_THREADS: RangeInclusive<u64> = 1..=64;
/// Worker threads where none are set. A process has one small slot beside its target: with a
/// thread for each core its calls spend their time waking threads (docs/design/threads.md).
pub const DEFAULT_WORKER_THREADS: usize = 2;

/// One of how many requests that ended well is logged where the settings do not say.
pub const DEFAULT_SAMPLE: u64 = 64;

/// The project's own interface.
pub const OWN_INTERFACE: &str = "own";
/// The interface of the platform that the program was built for.
pub const PLATFORM_INTERFACE: &str = "platform";
/// Interfaces that can be chosen.
pub const INTERFACES: [&str; 2] = [OWN_INTERFACE, PLATFORM_INTERFACE];

fn default_interface() -> String {
    OWN_INTERFACE.into()
}

fn default_worker_threads() -> usize {
    DEFAULT_WORKER_THREADS
}

/// A role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessRole {
    /// Carries calls and owns targets.
    Node,
    /// Keeps the catalogue's log.
    Control,
}

/// Addresses that the process listens on; port 0 has the system pick one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For targets.
    pub target: SocketAddr,
    /// For other processes of the system.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For whoever watches the instance; absent: nobody is told.
    pub ready: Option<SocketAddr>,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            callers: any,
            target: any,
            peers: any,
            operators: any,
            ready: None,
        }
    }
}

/// Logging.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least important level that is written.
    pub level: String,
    /// File that is appended to; absent: standard output.
    pub file: Option<PathBuf>,
    /// One of so many requests that ended well is logged, chosen by its id; 0: none.
    pub sample: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".into(),
            file: None,
            sample: DEFAULT_SAMPLE,
        }
    }
}

/// The settings of a process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Unique name.
    pub instance: ids::InstanceName,
    /// Its data centre.
    pub data_centre: ids::DataCentreName,
    /// Its region.
    pub region: ids::RegionName,
    /// Its roles.
    pub roles: Vec<ProcessRole>,
    /// Its listeners.
    #[serde(default)]
    pub listen: ListenSettings,
    /// Peers address that others reach it at; absent: the one it listens on.
    #[serde(default)]
    pub advertise_peers: Option<SocketAddr>,
    /// Peers addresses of control instances.
    #[serde(default)]
    pub control: Vec<SocketAddr>,
    /// Port of the controls' peers listeners, where `control` names others of their listeners.
    #[serde(default)]
    pub control_port: Option<u16>,
    /// Whether the instances under `control` become the voters of a new group.
    #[serde(default)]
    pub bootstrap: bool,
    /// How callers, targets and operators speak; one of [`INTERFACES`].
    #[serde(default = "default_interface")]
    pub interface: String,
    /// Service whose target sits beside the node.
    #[serde(default)]
    pub caller_service: Option<ids::EntryName>,
    /// Folder of a control's durable state.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// File with the group key.
    #[serde(default)]
    pub group_key_file: Option<PathBuf>,
    /// File with the first administrator's token.
    #[serde(default)]
    pub operators_token_file: Option<PathBuf>,
    /// Threads that carry calls and messages.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// What the operators of the installation grant and ask.
    #[serde(default)]
    pub installation: installation::InstallationSettings,
    /// Tunables of the reducer, by group; see docs/SETTINGS.md. Those that are not given follow from
    /// `installation` or have their defaults.
    #[serde(skip)]
    pub tunables: engine_settings::EngineTunables,
    /// Tunables that the file gives.
    #[serde(default, rename = "tunables")]
    pub(crate) given_tunables: TunableMap,
}

impl ProcessSettings {
    /// Reads settings from a file's text, or reports every fault in it.
    pub fn parse(text: &str) -> Result<Self, Vec<fault::SettingsFault>> {
        let document = jsonc::parse_jsonc(text)
            .map_err(|error| vec![fault::SettingsFault::of_text(error.to_string())])?;
        let faults = check::check_document(&document);
        if !faults.is_empty() {
            return Err(faults);
        }
        let read = serde_json::from_value(document);
        let read = read.and_then(|mut settings: Self| {
            settings.tunables = settings.derive_tunables()?;
            Ok(settings)
        });
        read.map_err(|error| vec![fault::SettingsFault::of_text(error.to_string())])
    }

    /// Sets what follows from the installation, then what the file gives; names and ranges were checked.
    fn derive_tunables(&self) -> Result<engine_settings::EngineTunables, serde_json::Error> {
        let mut tunables = engine_settings::EngineTunables::default();
        self.installation.apply(&mut tunables);
        for (group, names) in &self.given_tunables {
            for (name, value) in names {
                let place = tunables.value_mut(group, name);
                let unknown = || serde_json::Error::custom(format!("no {group}.{name}"));
                *place.ok_or_else(unknown)? = *value;
            }
        }
        Ok(tunables)
    }

    /// Peers addresses of the controls to ask.
    pub fn contacts(&self) -> Vec<SocketAddr> {
        let at_port = |address: &SocketAddr| {
            let port = self.control_port.unwrap_or(address.port());
            SocketAddr::new(address.ip(), port)
        };
        self.control.iter().map(at_port).collect()
    }

    /// Whether it has a role.
    pub fn has_role(&self, role: ProcessRole) -> bool {
        self.roles.contains(&role)
    }
}

pub(crate) type TunableMap = IndexMap<String, IndexMap<String, u64>>;
