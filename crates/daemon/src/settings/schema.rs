//! The table of all keys of a settings file, from which docs/SETTINGS.md is generated.

use std::ops::RangeInclusive;

use hazeltiller_engine::settings as engine_settings;

use super::installation;

/// Type of the values of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum SettingKind {
    /// A name of letters, digits, `-`, `_`, `.` or `:`.
    Name,
    /// An address such as `127.0.0.1:7001`.
    Address,
    /// A list of addresses.
    AddressList,
    /// A non-empty list of roles.
    RoleList,
    /// The path of a file or folder.
    Path,
    /// A log level.
    Level,
    /// One of the given strings.
    OneOf(&'static [&'static str]),
    /// `true` or `false`.
    Boolean,
    /// An integer within a range.
    Integer(RangeInclusive<u64>),
    /// A number within a range.
    Decimal(RangeInclusive<f64>),
}

/// Log levels by increasing verbosity.
pub const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Roles of a process.
pub const ROLES: [&str; 2] = ["node", "control"];

impl SettingKind {
    /// Describes the allowed values.
    pub fn allowed(&self) -> String {
        match self {
            Self::Name => "a name of 1 to 96 letters, digits, '-', '_', '.' or ':'".into(),
            Self::Address => {
                "an address \"IP:PORT\"; with port 0 the system picks a free one".into()
            }
            Self::AddressList => "a list of addresses \"IP:PORT\"".into(),
            Self::RoleList => format!("a non-empty list of {}", ROLES.join(", ")),
            Self::Path => "a path".into(),
            Self::Level => format!("one of {}", LOG_LEVELS.join(", ")),
            Self::OneOf(values) => format!("one of {}", values.join(", ")),
            Self::Boolean => "true or false".into(),
            Self::Integer(range) => {
                format!("an integer from {} to {}", range.start(), range.end())
            }
            Self::Decimal(range) => format!("a number from {} to {}", range.start(), range.end()),
        }
    }
}

/// A key of the settings file.
#[derive(Debug, Clone, PartialEq)]
pub struct SettingRow {
    /// Dotted path.
    pub path: String,
    /// Type of its values.
    pub kind: SettingKind,
    /// Whether the file must contain it.
    pub is_required: bool,
    /// Printed default.
    pub default: String,
    /// Description.
    pub doc: &'static str,
}

/// Returns all keys in the order of the documentation.
pub fn rows() -> Vec<SettingRow> {
    let mut rows = process_rows();
    rows.extend(
        engine_settings::EngineTunables::rows()
            .into_iter()
            .map(tunable_row),
    );
    rows
}

fn process_rows() -> Vec<SettingRow> {
    const ANY_PORT: &str = "127.0.0.1:0";
    let row = |path: &str, kind, is_required, default: &str, doc| SettingRow {
        path: path.into(),
        kind,
        is_required,
        default: default.into(),
        doc,
    };
    vec![
        row(
            "instance",
            SettingKind::Name,
            true,
            "",
            "Name of the instance, unique in the fleet.",
        ),
        row(
            "data_centre",
            SettingKind::Name,
            true,
            "",
            "Data centre that the instance is in.",
        ),
        row(
            "region",
            SettingKind::Name,
            true,
            "",
            "Region that the data centre is in.",
        ),
        row(
            "roles",
            SettingKind::RoleList,
            true,
            "",
            "Roles of the process.",
        ),
        row(
            "listen.callers",
            SettingKind::Address,
            false,
            ANY_PORT,
            "Address of the listener for callers.",
        ),
        row(
            "listen.target",
            SettingKind::Address,
            false,
            ANY_PORT,
            "Address of the listener for targets, which announce themselves there.",
        ),
        row(
            "listen.peers",
            SettingKind::Address,
            false,
            ANY_PORT,
            "Address of the listener for other instances.",
        ),
        row(
            "listen.operators",
            SettingKind::Address,
            false,
            ANY_PORT,
            "Address of the listener for operators.",
        ),
        row(
            "listen.ready",
            SettingKind::Address,
            false,
            "none",
            "Address at which a node answers readiness checks, on every path.",
        ),
        row(
            "advertise_peers",
            SettingKind::Address,
            false,
            "listen.peers",
            "Address at which other instances reach listen.peers.",
        ),
        row(
            "control",
            SettingKind::AddressList,
            false,
            "none",
            "Peers addresses of control instances: the first contacts of a node and the voters of a new group.",
        ),
        row(
            "control_port",
            SettingKind::Integer(1..=65_535),
            false,
            "none",
            "Port of the controls' peers listeners, if the addresses under control are those of other listeners.",
        ),
        row(
            "bootstrap",
            SettingKind::Boolean,
            false,
            "false",
            "Form a new group with the instances under control as its voters; ignored if the data folder already contains state.",
        ),
        row(
            "interface",
            SettingKind::OneOf(&super::INTERFACES),
            false,
            "own",
            "Interface that callers, targets and operators use: the native one, or that of the platform that the program was built for.",
        ),
        row(
            "caller_service",
            SettingKind::Name,
            false,
            "none",
            "Service of the target on the same machine as the node; calls that originate on this machine are attributed to it.",
        ),
        row(
            "data_folder",
            SettingKind::Path,
            false,
            "none",
            "Folder of the durable state of a control; required for the control role.",
        ),
        row(
            "group_key_file",
            SettingKind::Path,
            false,
            "none",
            "File with the key that all instances of the group share.",
        ),
        row(
            "operators_token_file",
            SettingKind::Path,
            false,
            "none",
            "File with the token of the first administrator; without it changes are accepted only from loopback addresses.",
        ),
        row(
            "worker_threads",
            SettingKind::Integer(super::WORKER_THREADS),
            false,
            &super::DEFAULT_WORKER_THREADS.to_string(),
            "Number of threads that process calls and messages; more threads wake each other more often.",
        ),
        row(
            "installation.grace_s",
            SettingKind::Decimal(installation::GRACE_RANGE_S),
            false,
            "unknown",
            "Seconds between the request to stop a process and its kill; requests.leave_ms, tell_ms and finish_ms are derived from it.",
        ),
        row(
            "installation.retry_ratio",
            SettingKind::Decimal(installation::RETRY_RATIO_RANGE),
            false,
            "unknown",
            "Retries per request that the services grant the fleet as a whole; retry.budget_percent is derived from it.",
        ),
        row(
            "installation.lost_controls",
            SettingKind::Integer(installation::LOST_CONTROLS_RANGE),
            false,
            "unknown",
            "Number of controls whose simultaneous loss is tolerated; replication.voters is derived from it.",
        ),
        row(
            "installation.retry_slack",
            SettingKind::Decimal(installation::SLACK_RANGE),
            false,
            "unknown",
            "Retries beyond the ratio that each service grants the fleet as a whole; retry.budget_fleet_reserve is derived from it.",
        ),
        row(
            "installation.allowance_slack",
            SettingKind::Decimal(installation::SLACK_RANGE),
            false,
            "unknown",
            "Requests of an organisation beyond its rate and burst that are tolerated; allowance.spare is derived from it.",
        ),
        row(
            "installation.link_mbps",
            SettingKind::Decimal(installation::LINK_RANGE_MBPS),
            false,
            "unknown",
            "Rate of the machine's link, in Mbit/s; bandwidth.link_kbits is derived from it.",
        ),
        row(
            "installation.memory_mb",
            SettingKind::Decimal(installation::MEMORY_RANGE_MB),
            false,
            "unknown",
            "Memory that the process may use, in megabytes; connections.held_bytes is derived from it.",
        ),
        row(
            "installation.descriptors",
            SettingKind::Decimal(installation::DESCRIPTORS_RANGE),
            false,
            "the limit of the operating system",
            "Descriptors that the process may open, if fewer than the operating system allows.",
        ),
        row(
            "installation.canary_share",
            SettingKind::Decimal(installation::CANARY_SHARE_RANGE),
            false,
            "unknown",
            "Largest share of a service's calls that a bad version may have received by the time limit of its roll-out; rollout.trial_permille is derived from it.",
        ),
        row(
            "log.level",
            SettingKind::Level,
            false,
            "info",
            "Least severe level that is logged.",
        ),
        row(
            "log.file",
            SettingKind::Path,
            false,
            "standard output",
            "File that the log is appended to.",
        ),
        row(
            "log.sample",
            SettingKind::Integer(0..=1_000_000),
            false,
            &super::DEFAULT_SAMPLE_INTERVAL.to_string(),
            "One of this many successful requests is logged, sampled by request id so that all nodes log the same ones; 0 logs none. Failed requests are always logged in full.",
        ),
    ]
}

fn tunable_row(row: engine_settings::TunableRow) -> SettingRow {
    SettingRow {
        path: format!("tunables.{}.{}", row.group, row.name),
        kind: SettingKind::Integer(row.range),
        is_required: false,
        default: row.default.to_string(),
        doc: row.doc,
    }
}

/// Renders docs/SETTINGS.md from the table.
pub fn page() -> String {
    let mut page = String::from(
        "# Settings\n\n\
         Each process has one file, in JSON with comments and trailing commas, given to \
         `hazeltillerd --settings FILE`. Keys that are not listed here are rejected. \
         `hazeltillerd --settings FILE --check` prints all faults of a file.\n\n\
         This page is generated from the table in the daemon and checked against it by a test.\n\n\
         | key | value | default | description |\n| --- | --- | --- | --- |\n",
    );
    for row in rows() {
        let default = if row.is_required {
            "required"
        } else {
            &row.default
        };
        let allowed = row.kind.allowed();
        page.push_str(&format!(
            "| `{}` | {allowed} | {default} | {} |\n",
            row.path, row.doc
        ));
    }
    page
}
