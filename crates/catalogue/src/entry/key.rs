//! What names an entry.

use std::fmt;

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

/// The kind of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// Who calls and services belong to; shares capacity by weight.
    Owner,
    /// Rank and guaranteed share when capacity is short.
    Class,
    /// A group of equal targets.
    Service,
    /// Which requests go to which service.
    Route,
    /// What callers' connections may send and how long they may take.
    Listener,
    /// The move of a service's calls to targets of another version.
    Rollout,
}

impl EntryKind {
    /// Every kind, in the order in which they are listed.
    pub const ALL: [Self; 6] = [
        Self::Owner,
        Self::Class,
        Self::Service,
        Self::Route,
        Self::Listener,
        Self::Rollout,
    ];

    /// The word for the kind in JSON and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Class => "class",
            Self::Service => "service",
            Self::Route => "route",
            Self::Listener => "listener",
            Self::Rollout => "rollout",
        }
    }
}

impl fmt::Display for EntryKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// The text is none of the six kinds.
#[derive(Debug, Clone, PartialEq, Eq, snafu::Snafu)]
#[snafu(display(
    "{text:?} is not a kind: owner, class, service, route, listener or rollout is expected"
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

/// What names an entry: its kind and its name within the kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryKey {
    /// The kind.
    pub kind: EntryKind,
    /// The name within the kind.
    pub name: ids::EntryName,
}

impl fmt::Display for EntryKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}
