//! The table of every key of a settings file; docs/SETTINGS.md is printed from it.

use std::ops::RangeInclusive;

use hazeltiller_engine::settings as engine_settings;

use super::installation;

/// What a key takes.
#[derive(Debug, Clone, PartialEq)]
pub enum SettingKind {
    /// A name of letters, digits, `-`, `_`, `.` or `:`.
    Name,
    /// An address such as `127.0.0.1:7001`.
    Address,
    /// A list of addresses.
    AddressList,
    /// A list of roles, at least one.
    RoleList,
    /// A path of a file or folder.
    Path,
    /// A log level.
    Level,
    /// One of some words.
    Word(&'static [&'static str]),
    /// Yes or no.
    Switch,
    /// A whole number within a range.
    Number(RangeInclusive<u64>),
    /// A number within a range.
    Decimal(RangeInclusive<f64>),
}

/// Log levels, from the least to the most talkative.
pub const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Roles of a process.
pub const ROLES: [&str; 2] = ["node", "control"];

impl SettingKind {
    /// What is allowed, as a clause.
    pub fn allowed(&self) -> String {
        match self {
            Self::Name => "a name of 1 to 96 letters, digits, '-', '_', '.' or ':'".into(),
            Self::Address => "an address \"IP:PORT\"; port 0 has the system pick one".into(),
            Self::AddressList => "a list of addresses \"IP:PORT\"".into(),
            Self::RoleList => format!("a list with at least one of {}", ROLES.join(", ")),
            Self::Path => "a path".into(),
            Self::Level => format!("one of {}", LOG_LEVELS.join(", ")),
            Self::Word(words) => format!("one of {}", words.join(", ")),
            Self::Switch => "true or false".into(),
            Self::Number(range) => {
                format!("a whole number from {} to {}", range.start(), range.end())
            }
            Self::Decimal(range) => format!("a number from {} to {}", range.start(), range.end()),
        }
    }
}

/// One key.
#[derive(Debug, Clone, PartialEq)]
pub struct SettingRow {
    /// Its path, with dots.
    pub path: String,
    /// What it takes.
    pub kind: SettingKind,
    /// Whether it must be given.
    pub is_required: bool,
    /// What holds where it is not given.
    pub default: String,
    /// What it is.
    pub doc: &'static str,
}

/// Every key, in the order in which they are documented.
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
            "Where callers connect.",
        ),
        row(
            "listen.target",
            SettingKind::Address,
            false,
            ANY_PORT,
            "Where targets announce.",
        ),
        row(
            "listen.peers",
            SettingKind::Address,
            false,
            ANY_PORT,
            "Where other instances connect.",
        ),
        row(
            "listen.operators",
            SettingKind::Address,
            false,
            ANY_PORT,
            "Where operators connect.",
        ),
        row(
            "listen.ready",
            SettingKind::Address,
            false,
            "none",
            "Where a node tells whether it is ready for callers, on every path.",
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
            "Peers addresses of control instances: a node's first contacts, a new group's voters.",
        ),
        row(
            "control_port",
            SettingKind::Number(1..=65_535),
            false,
            "none",
            "Port of the controls' peers listeners, where the addresses under control name others of their listeners.",
        ),
        row(
            "bootstrap",
            SettingKind::Switch,
            false,
            "false",
            "Make the instances under control the voters of a new group; without effect on a folder with state.",
        ),
        row(
            "interface",
            SettingKind::Word(&super::INTERFACES),
            false,
            "own",
            "How callers, targets and operators speak: the project's own way, or that of the platform that the program was built for.",
        ),
        row(
            "caller_service",
            SettingKind::Name,
            false,
            "none",
            "Service whose target sits beside the node: what it and its neighbours send counts as sent by it.",
        ),
        row(
            "data_folder",
            SettingKind::Path,
            false,
            "none",
            "Folder of a control's durable state; the control role needs it.",
        ),
        row(
            "group_key_file",
            SettingKind::Path,
            false,
            "none",
            "File with the key that every instance of the group shares.",
        ),
        row(
            "operators_token_file",
            SettingKind::Path,
            false,
            "none",
            "File with the first administrator's token; without it changes come from loopback only.",
        ),
        row(
            "worker_threads",
            SettingKind::Number(super::WORKER_THREADS),
            false,
            &super::DEFAULT_WORKER_THREADS.to_string(),
            "Threads that carry calls and messages; more of them wake each other more often.",
        ),
        row(
            "installation.grace_s",
            SettingKind::Decimal(installation::GRACE_S),
            false,
            "unknown",
            "Seconds between a request to stop and the kill; requests.leave_ms, tell_ms and finish_ms follow from it.",
        ),
        row(
            "installation.retry_ratio",
            SettingKind::Decimal(installation::RETRY_RATIO),
            false,
            "unknown",
            "Second tries that the services grant the whole fleet for each request; retry.budget_percent follows from it.",
        ),
        row(
            "installation.lost_controls",
            SettingKind::Number(installation::LOST_CONTROLS),
            false,
            "unknown",
            "Controls that may be lost at once; replication.voters follows from it.",
        ),
        row(
            "installation.canary_share",
            SettingKind::Decimal(installation::CANARY_SHARE),
            false,
            "unknown",
            "Largest share of a service's calls that a bad version may have had by the limit of its roll-out; rollout.trial_permille follows from it.",
        ),
        row(
            "log.level",
            SettingKind::Level,
            false,
            "info",
            "Least important level that is logged.",
        ),
        row(
            "log.file",
            SettingKind::Path,
            false,
            "standard output",
            "File that the log is added to.",
        ),
        row(
            "log.sample",
            SettingKind::Number(0..=1_000_000),
            false,
            &super::DEFAULT_SAMPLE.to_string(),
            "One of so many requests that ended well is logged, chosen by its id alike on every node; 0 logs none. Those that did not are logged whole.",
        ),
    ]
}

fn tunable_row(row: engine_settings::TunableRow) -> SettingRow {
    SettingRow {
        path: format!("tunables.{}.{}", row.group, row.name),
        kind: SettingKind::Number(row.range),
        is_required: false,
        default: row.default.to_string(),
        doc: row.doc,
    }
}

/// docs/SETTINGS.md as the table gives it.
pub fn page() -> String {
    let mut page = String::from(
        "# Settings\n\n\
         One file a process, JSON with comments and trailing commas, given to \
         `hazeltillerd --settings FILE`. A key that is not listed here is refused. \
         `hazeltillerd --settings FILE --check` prints every fault of a file.\n\n\
         This page is printed from the table in the daemon and checked against it by a test.\n\n\
         | key | takes | default | what it is |\n| --- | --- | --- | --- |\n",
    );
    for row in rows() {
        let default = if row.is_required {
            "must be given"
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
