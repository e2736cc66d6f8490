//! Kinds and keys of catalogue entries.

use std::fmt;

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

/// The kind of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// A party to whom calls and services belong. Owners share capacity by weight.
    Owner,
    /// Priority and guaranteed share of calls when capacity is short.
    Class,
    /// A group of equivalent targets.
    Service,
    /// Assignment of requests to services.
    Route,
    /// Limits of callers' connections.
    Listener,
    /// The move of a service's calls to targets with another software version.
    Rollout,
    /// A party whose callers identify themselves with API keys.
    Organisation,
    /// A route that needs no API key.
    PublicRoute,
}

impl EntryKind {
    /// All kinds, in the order in which entries are listed.
    pub const ALL: [Self; 8] = [
        Self::Owner,
        Self::Class,
        Self::Service,
        Self::Route,
        Self::Listener,
        Self::Rollout,
        Self::Organisation,
        Self::PublicRoute,
    ];

    /// Returns the name of the kind in JSON and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Class => "class",
            Self::Service => "service",
            Self::Route => "route",
            Self::Listener => "listener",
            Self::Rollout => "rollout",
            Self::Organisation => "organisation",
            Self::PublicRoute => "public_route",
        }
    }
}

impl fmt::Display for EntryKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Error for a text that is not the name of a kind.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
#[snafu(display(
    "{text:?} is not a kind: owner, class, service, route, listener, rollout, organisation or public_route is expected"
))]
pub struct KindError {
    text: String,
}

impl std::str::FromStr for EntryKind {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        let found = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| KindError { text: text.into() })
    }
}

/// Key of an entry: its kind and its name, which is unique within the kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryKey {
    /// Kind of the entry.
    pub kind: EntryKind,
    /// Name of the entry.
    pub name: ids::EntryName,
}

impl fmt::Display for EntryKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}
