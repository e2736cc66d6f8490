//! The six kinds of entries, with the defaults and ranges of their fields.
//!
//! People read entries as JSON tagged by `kind`; between processes they travel in a compact form
//! without field names. Both forms come from the same types.

use hazeltiller_units::{ids, measure};
use indexmap::IndexMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::rollout;

mod key;

pub use key::{EntryKey, EntryKind, KindError};

/// Limits of an owner, over all of its calls.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OwnerLimits {
    /// Cost units a second over the whole fleet; absent: no limit.
    pub rate: Option<measure::CallRate>,
}

/// An owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerEntry {
    /// Its name.
    pub name: ids::EntryName,
    /// The owner whose operators may change this entry; may be itself.
    pub owner: ids::EntryName,
    /// Its class.
    pub class: ids::EntryName,
    /// Share of capacity against other owners of the same class, 1 to 1000.
    #[serde(default = "one")]
    pub weight: u32,
    /// Its limits.
    #[serde(default)]
    pub limits: OwnerLimits,
    /// Operators that may change entries of this owner.
    #[serde(default)]
    pub operators: Vec<ids::OperatorName>,
    /// Hashes of the operators' tokens (BLAKE3, hexadecimal); a token itself is never stored.
    #[serde(default)]
    pub tokens: IndexMap<ids::OperatorName, ids::StateDigest>,
}

/// Limits of a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassLimits {
    /// Part of each target's slots kept for the class when capacity is short, 0 to 1.
    pub guaranteed_share: f64,
    /// Longest time in a queue, in milliseconds, 0 to 60000.
    pub queue_ms: u32,
}

impl Default for ClassLimits {
    fn default() -> Self {
        Self {
            guaranteed_share: 0.0,
            queue_ms: 200,
        }
    }
}

/// A class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Its name.
    pub name: ids::EntryName,
    /// The owner whose operators may change it.
    pub owner: ids::EntryName,
    /// Its own class; may be itself.
    pub class: ids::EntryName,
    /// 1 is served first, 100 last.
    #[serde(default = "one")]
    pub rank: u32,
    /// Its limits.
    #[serde(default)]
    pub limits: ClassLimits,
}

/// Limits of a service, each for one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLimits {
    /// Requests that a target runs at once; the smaller of this and what it announced holds.
    pub slots: u32,
    /// Connections to a target; the smaller of this and what it announced holds.
    pub connections: u32,
    /// Requests that wait for a slot of a target.
    pub queue: u32,
    /// Longest time to the first byte of an answer, in milliseconds.
    pub first_byte_ms: u32,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            slots: 1024,
            connections: 1024,
            queue: 20,
            first_byte_ms: 5000,
        }
    }
}

/// How a target is probed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProbeSettings {
    /// Path of the health page.
    pub path: String,
    /// Time between two probes, in milliseconds, 100 to 600000.
    #[serde(default = "probe_period")]
    pub period_ms: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Its name.
    pub name: ids::EntryName,
    /// The owner whose operators may change it.
    pub owner: ids::EntryName,
    /// Its class.
    pub class: ids::EntryName,
    /// Its limits.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// Time over which a new target's share grows to the full one, in milliseconds.
    #[serde(default)]
    pub slow_start_ms: u32,
    /// How its targets are probed; absent: they are not.
    #[serde(default)]
    pub probe: Option<ProbeSettings>,
}

/// Which requests a route takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteMatch {
    /// The request's host without port; absent: every host.
    #[serde(default)]
    pub host: Option<String>,
    /// Beginning of the request's path; the longest wins.
    pub path_prefix: String,
    /// Methods; empty: every method.
    #[serde(default)]
    pub methods: Vec<String>,
}

/// Limits of a route, each for one call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteLimits {
    /// Longest time of a call, in milliseconds, 1 to 600000.
    pub deadline_ms: u32,
    /// Times a call is tried in all, 1 to 10.
    pub tries: u32,
}

impl Default for RouteLimits {
    fn default() -> Self {
        Self {
            deadline_ms: 5000,
            tries: 2,
        }
    }
}

/// Cost of a kind of request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindCost {
    /// Beginning of the request's path.
    pub path_prefix: String,
    /// Methods; empty: every method.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Cost units, 1 to 1000.
    pub cost: u32,
}

/// A service that takes a part of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePart {
    /// The service.
    pub service: ids::EntryName,
    /// Its weight against the other parts, 0 to 1000000; a part of weight 0 gets nothing.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Its name.
    pub name: ids::EntryName,
    /// The owner that its calls are counted for.
    pub owner: ids::EntryName,
    /// The class that its calls are served in.
    pub class: ids::EntryName,
    /// The service that its calls go to, unless they are split.
    pub service: ids::EntryName,
    /// Services that share its calls by weight; empty: all go to `service`.
    #[serde(default)]
    pub split: Vec<RoutePart>,
    /// Time within which an answer is of full worth to callers, in milliseconds; absent: the
    /// deadline.
    #[serde(default)]
    pub target_latency_ms: Option<u32>,
    /// Which requests it takes.
    #[serde(rename = "match")]
    pub matches: RouteMatch,
    /// Whether a request may run more than once; absent: GET, HEAD and OPTIONS may.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Its limits.
    #[serde(default)]
    pub limits: RouteLimits,
    /// Costs by kind of request; the first that fits holds, one unit where none does.
    #[serde(default)]
    pub costs: Vec<KindCost>,
    /// Whether calls may go to targets of other data centres.
    #[serde(default = "yes")]
    pub spill: bool,
}

impl RouteEntry {
    /// Services that its calls go to, with their weights.
    pub fn parts(&self) -> impl Iterator<Item = (&ids::EntryName, u32)> {
        let whole = self.split.is_empty().then_some((&self.service, 1));
        let parts = self.split.iter().map(|part| (&part.service, part.weight));
        whole.into_iter().chain(parts)
    }

    /// Whether a request of this method may run more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent
            .unwrap_or(matches!(method, "GET" | "HEAD" | "OPTIONS"))
    }

    /// Cost of a request, in units.
    pub fn cost(&self, method: &str, path: &str) -> u32 {
        let fits = |cost: &&KindCost| {
            path.starts_with(&cost.path_prefix) && has_method(&cost.methods, method)
        };
        self.costs.iter().find(fits).map_or(1, |cost| cost.cost)
    }
}

impl RouteMatch {
    /// Whether a request fits.
    pub fn fits(&self, host: Option<&str>, path: &str, method: &str) -> bool {
        let host_fits = self
            .host
            .as_deref()
            .is_none_or(|wanted| host == Some(wanted));
        host_fits && path.starts_with(&self.path_prefix) && has_method(&self.methods, method)
    }
}

fn has_method(methods: &[String], method: &str) -> bool {
    methods.is_empty() || methods.iter().any(|known| known == method)
}

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

fn probe_period() -> u32 {
    1000
}

/// Limits of callers' connections, each for one connection or request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenerLimits {
    /// Largest head of a request, in bytes, 1024 to 1048576.
    pub head_bytes: u32,
    /// Largest body of a request, in bytes; a larger one is refused with status 413.
    pub body_bytes: u64,
    /// Longest time that a caller takes to send the head of a request, in milliseconds.
    pub head_ms: u32,
    /// Time that a connection may stay without a request, in milliseconds.
    pub idle_ms: u32,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 65_536,
            body_bytes: u64::MAX,
            head_ms: 30_000,
            idle_ms: 60_000,
        }
    }
}

/// What callers' connections may send and how long they may take. The first by name holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerEntry {
    /// Its name.
    pub name: ids::EntryName,
    /// The owner whose operators may change it.
    pub owner: ids::EntryName,
    /// Its class.
    pub class: ids::EntryName,
    /// Its limits.
    #[serde(default)]
    pub limits: ListenerLimits,
}

/// An entry of any kind.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogueEntry {
    /// An owner.
    Owner(OwnerEntry),
    /// A class.
    Class(ClassEntry),
    /// A service.
    Service(ServiceEntry),
    /// A route.
    Route(RouteEntry),
    /// Limits of callers' connections.
    Listener(ListenerEntry),
    /// A roll-out.
    Rollout(rollout::RolloutEntry),
}

impl CatalogueEntry {
    /// Its key.
    pub fn key(&self) -> EntryKey {
        let (kind, name) = match self {
            Self::Owner(entry) => (EntryKind::Owner, &entry.name),
            Self::Class(entry) => (EntryKind::Class, &entry.name),
            Self::Service(entry) => (EntryKind::Service, &entry.name),
            Self::Route(entry) => (EntryKind::Route, &entry.name),
            Self::Listener(entry) => (EntryKind::Listener, &entry.name),
            Self::Rollout(entry) => (EntryKind::Rollout, &entry.name),
        };
        EntryKey {
            kind,
            name: name.clone(),
        }
    }

    /// Name of its owner.
    pub fn owner(&self) -> &ids::EntryName {
        match self {
            Self::Owner(entry) => &entry.owner,
            Self::Class(entry) => &entry.owner,
            Self::Service(entry) => &entry.owner,
            Self::Route(entry) => &entry.owner,
            Self::Listener(entry) => &entry.owner,
            Self::Rollout(entry) => &entry.owner,
        }
    }

    /// Name of its class.
    pub fn class(&self) -> &ids::EntryName {
        match self {
            Self::Owner(entry) => &entry.class,
            Self::Class(entry) => &entry.class,
            Self::Service(entry) => &entry.class,
            Self::Route(entry) => &entry.class,
            Self::Listener(entry) => &entry.class,
            Self::Rollout(entry) => &entry.class,
        }
    }
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "CatalogueEntry", tag = "kind", rename_all = "snake_case")]
enum TaggedEntry {
    Owner(OwnerEntry),
    Class(ClassEntry),
    Service(ServiceEntry),
    Route(RouteEntry),
    Listener(ListenerEntry),
    Rollout(rollout::RolloutEntry),
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "CatalogueEntry")]
enum CompactEntry {
    Owner(OwnerEntry),
    Class(ClassEntry),
    Service(ServiceEntry),
    Route(RouteEntry),
    Listener(ListenerEntry),
    Rollout(rollout::RolloutEntry),
}

impl Serialize for CatalogueEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            TaggedEntry::serialize(self, serializer)
        } else {
            CompactEntry::serialize(self, serializer)
        }
    }
}

impl<'de> Deserialize<'de> for CatalogueEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            TaggedEntry::deserialize(deserializer)
        } else {
            CompactEntry::deserialize(deserializer)
        }
    }
}
