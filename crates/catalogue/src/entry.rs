//! The kinds of catalogue entries, with the defaults and ranges of their fields.
//!
//! In JSON, entries are tagged by `kind`. Between processes they are sent in a compact encoding
//! without field names. Both representations are derived from the same types.

use hazeltiller_units::{ids, measure};
use indexmap::IndexMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::rollout;

mod key;

pub use key::{EntryKey, EntryKind, KindError};

/// Limits of an owner, which apply to the total of its calls.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OwnerLimits {
    /// Cost units per second over the whole fleet; absent for no limit.
    pub rate: Option<measure::CallRate>,
}

/// An owner: a party to whom calls and services belong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerEntry {
    /// Name of the entry.
    pub name: ids::EntryName,
    /// Owner whose operators may change this entry; may be the owner itself.
    pub owner: ids::EntryName,
    /// Class of the owner.
    pub class: ids::EntryName,
    /// Weight in sharing capacity with other owners of the same class, 1 to 1000.
    #[serde(default = "one")]
    pub weight: u32,
    /// Limits that the entry sets.
    #[serde(default)]
    pub limits: OwnerLimits,
    /// Operators who may change entries of this owner.
    #[serde(default)]
    pub operators: Vec<ids::OperatorName>,
    /// BLAKE3 hashes of the operators' tokens, in hexadecimal. The tokens are never stored.
    #[serde(default)]
    pub tokens: IndexMap<ids::OperatorName, ids::StateDigest>,
}

/// Limits of a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassLimits {
    /// Share of each target's slots reserved for the class when capacity is short, 0 to 1.
    pub guaranteed_share: f64,
    /// Maximum time in a queue, in milliseconds, 0 to 60000.
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

/// A class: the priority and guaranteed share of its calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// Name of the entry.
    pub name: ids::EntryName,
    /// Owner whose operators may change this entry.
    pub owner: ids::EntryName,
    /// Class of this entry; may be the class itself.
    pub class: ids::EntryName,
    /// Priority, from 1 (served first) to 100 (served last).
    #[serde(default = "one")]
    pub rank: u32,
    /// Limits that the entry sets.
    #[serde(default)]
    pub limits: ClassLimits,
}

/// Limits of a service, each of which applies to one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceLimits {
    /// Concurrent requests of a target. The smaller of this and the announced number applies.
    pub slots: u32,
    /// Connections to a target. The smaller of this and the announced number applies.
    pub connections: u32,
    /// Requests that may wait for a slot of a target.
    pub queue: u32,
    /// Maximum time to the first byte of a response, in milliseconds.
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

/// Settings of the health probes of a service's targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProbeSettings {
    /// Path that is requested.
    pub path: String,
    /// Interval between probes, in milliseconds, 100 to 600000.
    #[serde(default = "probe_period")]
    pub period_ms: u32,
}

/// A service: a group of equivalent targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the entry.
    pub name: ids::EntryName,
    /// Owner whose operators may change this entry.
    pub owner: ids::EntryName,
    /// Class of the service.
    pub class: ids::EntryName,
    /// Limits that the entry sets.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// Time over which the share of calls of a new target increases to its full share, in
    /// milliseconds.
    #[serde(default)]
    pub slow_start_ms: u32,
    /// Settings of health probes; absent if the targets are not probed.
    #[serde(default)]
    pub probe: Option<ProbeSettings>,
}

/// Conditions that a request must meet to match a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteMatch {
    /// Host of the request, without port; absent to match every host.
    #[serde(default)]
    pub host: Option<String>,
    /// Prefix of the request's path. The route with the longest matching prefix is selected.
    pub path_prefix: String,
    /// Methods of the request; empty to match every method.
    #[serde(default)]
    pub methods: Vec<String>,
}

/// Limits of a route, each of which applies to one call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteLimits {
    /// Maximum duration of a call, in milliseconds, 1 to 600000.
    pub deadline_ms: u32,
    /// Maximum number of attempts of a call, including the first, 1 to 10.
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

/// Cost of the requests of a route with a given path prefix and method.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestCost {
    /// Prefix of the request's path.
    pub path_prefix: String,
    /// Methods of the request; empty to match every method.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Cost units, 1 to 1000.
    pub cost: u32,
}

/// A service that receives a share of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ids::EntryName,
    /// Weight relative to the other parts, 0 to 1000000. A part of weight 0 receives no calls.
    pub weight: u32,
}

/// A route: the requests that it matches and the services that receive them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Name of the entry.
    pub name: ids::EntryName,
    /// Owner that the route's calls are accounted to.
    pub owner: ids::EntryName,
    /// Class that determines the priority of the route's calls.
    pub class: ids::EntryName,
    /// Service that receives the route's calls unless `split` is set.
    pub service: ids::EntryName,
    /// Services that share the route's calls by weight; empty if all calls go to `service`.
    #[serde(default)]
    pub split: Vec<WeightedService>,
    /// Latency up to which a response has its full value to the caller, in milliseconds; defaults
    /// to the deadline.
    #[serde(default)]
    pub target_latency_ms: Option<u32>,
    /// Requests that the route matches.
    #[serde(rename = "match")]
    pub matches: RouteMatch,
    /// Whether a request may run more than once; if absent, GET, HEAD and OPTIONS requests may.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Limits that the entry sets.
    #[serde(default)]
    pub limits: RouteLimits,
    /// Costs of requests. The first match applies; a request without a match costs one unit.
    #[serde(default)]
    pub costs: Vec<RequestCost>,
    /// Whether calls may be sent to targets in other data centres.
    #[serde(default = "yes")]
    pub spill: bool,
}

impl RouteEntry {
    /// Returns the services that receive the route's calls, with their weights.
    pub fn parts(&self) -> impl Iterator<Item = (&ids::EntryName, u32)> {
        let whole = self.split.is_empty().then_some((&self.service, 1));
        let parts = self.split.iter().map(|part| (&part.service, part.weight));
        whole.into_iter().chain(parts)
    }

    /// Returns whether a request with this method may run more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent
            .unwrap_or(matches!(method, "GET" | "HEAD" | "OPTIONS"))
    }

    /// Returns the cost of a request, in cost units.
    pub fn cost(&self, method: &str, path: &str) -> u32 {
        let is_match = |cost: &&RequestCost| {
            path.starts_with(&cost.path_prefix) && matches_method(&cost.methods, method)
        };
        self.costs.iter().find(is_match).map_or(1, |cost| cost.cost)
    }
}

impl RouteMatch {
    /// Returns whether a request meets the conditions.
    pub fn fits(&self, host: Option<&str>, path: &str, method: &str) -> bool {
        let is_host_match = self
            .host
            .as_deref()
            .is_none_or(|expected| host == Some(expected));
        is_host_match
            && path.starts_with(&self.path_prefix)
            && matches_method(&self.methods, method)
    }
}

fn matches_method(methods: &[String], method: &str) -> bool {
    methods.is_empty() || methods.iter().any(|accepted| accepted == method)
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

/// Limits of callers' connections, each of which applies to one connection or request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListenerLimits {
    /// Maximum size of the head of a request, in bytes, 1024 to 1048576.
    pub head_bytes: u32,
    /// Maximum size of the body of a request, in bytes. Larger bodies are refused with status 413.
    pub body_bytes: u64,
    /// Maximum time for a caller to send the head of a request, in milliseconds, 100 to 600000.
    pub head_ms: u32,
    /// Maximum time that a connection may be idle, in milliseconds, 100 to 3600000.
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

/// Limits of callers' connections. If there are several such entries, the first by name applies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerEntry {
    /// Name of the entry.
    pub name: ids::EntryName,
    /// Owner whose operators may change this entry.
    pub owner: ids::EntryName,
    /// Class of the entry.
    pub class: ids::EntryName,
    /// Limits that the entry sets.
    #[serde(default)]
    pub limits: ListenerLimits,
}

/// Limits of an organisation, which apply to the total of its requests over the whole fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrganisationLimits {
    /// Requests per second; absent for no limit.
    pub rate: Option<measure::CallRate>,
    /// Requests that may come at once in addition; needs a rate.
    pub burst: u32,
}

/// An organisation: a party whose callers identify themselves with API keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// Name of the entry, which targets receive with the organisation's requests.
    pub name: ids::EntryName,
    /// Owner whose operators may change this entry.
    pub owner: ids::EntryName,
    /// Class of the entry.
    pub class: ids::EntryName,
    /// Class that the organisation's calls are served in, instead of the class of their route.
    #[serde(default)]
    pub call_class: Option<ids::EntryName>,
    /// BLAKE3 hashes of the API keys, in hexadecimal. The keys are never stored.
    #[serde(default)]
    pub keys: Vec<ids::StateDigest>,
    /// Limits that the entry sets.
    #[serde(default)]
    pub limits: OrganisationLimits,
}

/// Exempts the route of the same name from API keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublicRouteEntry {
    /// Name of the entry and of the route.
    pub name: ids::EntryName,
    /// Owner whose operators may change this entry.
    pub owner: ids::EntryName,
    /// Class of the entry.
    pub class: ids::EntryName,
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
    /// A rollout.
    Rollout(rollout::RolloutEntry),
    /// An organisation.
    Organisation(OrganisationEntry),
    /// A route that needs no API key.
    PublicRoute(PublicRouteEntry),
}

impl CatalogueEntry {
    /// Returns the key of the entry.
    pub fn key(&self) -> EntryKey {
        let (kind, name) = match self {
            Self::Owner(entry) => (EntryKind::Owner, &entry.name),
            Self::Class(entry) => (EntryKind::Class, &entry.name),
            Self::Service(entry) => (EntryKind::Service, &entry.name),
            Self::Route(entry) => (EntryKind::Route, &entry.name),
            Self::Listener(entry) => (EntryKind::Listener, &entry.name),
            Self::Rollout(entry) => (EntryKind::Rollout, &entry.name),
            Self::Organisation(entry) => (EntryKind::Organisation, &entry.name),
            Self::PublicRoute(entry) => (EntryKind::PublicRoute, &entry.name),
        };
        EntryKey {
            kind,
            name: name.clone(),
        }
    }

    /// Returns the name of the entry's owner.
    pub fn owner(&self) -> &ids::EntryName {
        match self {
            Self::Owner(entry) => &entry.owner,
            Self::Class(entry) => &entry.owner,
            Self::Service(entry) => &entry.owner,
            Self::Route(entry) => &entry.owner,
            Self::Listener(entry) => &entry.owner,
            Self::Rollout(entry) => &entry.owner,
            Self::Organisation(entry) => &entry.owner,
            Self::PublicRoute(entry) => &entry.owner,
        }
    }

    /// Returns the name of the entry's class.
    pub fn class(&self) -> &ids::EntryName {
        match self {
            Self::Owner(entry) => &entry.class,
            Self::Class(entry) => &entry.class,
            Self::Service(entry) => &entry.class,
            Self::Route(entry) => &entry.class,
            Self::Listener(entry) => &entry.class,
            Self::Rollout(entry) => &entry.class,
            Self::Organisation(entry) => &entry.class,
            Self::PublicRoute(entry) => &entry.class,
        }
    }
}

/// JSON representation of an entry, tagged by `kind`.
#[derive(Serialize, Deserialize)]
#[serde(remote = "CatalogueEntry", tag = "kind", rename_all = "snake_case")]
enum TaggedEntry {
    Owner(OwnerEntry),
    Class(ClassEntry),
    Service(ServiceEntry),
    Route(RouteEntry),
    Listener(ListenerEntry),
    Rollout(rollout::RolloutEntry),
    Organisation(OrganisationEntry),
    PublicRoute(PublicRouteEntry),
}

/// Representation of an entry between processes: postcard cannot decode enums tagged by a field.
#[derive(Serialize, Deserialize)]
#[serde(remote = "CatalogueEntry")]
enum CompactEntry {
    Owner(OwnerEntry),
    Class(ClassEntry),
    Service(ServiceEntry),
    Route(RouteEntry),
    Listener(ListenerEntry),
    Rollout(rollout::RolloutEntry),
    Organisation(OrganisationEntry),
    PublicRoute(PublicRouteEntry),
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
