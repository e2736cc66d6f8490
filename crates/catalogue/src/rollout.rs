//! Roll-outs: a service's calls move to targets of another version, or stay.
//!
//! A roll-out is an entry of the catalogue, so that it is as durable as the catalogue and reaches
//! every node in the same way. Operators order one; only the control group's leader writes the
//! entry, from phase to phase.

use std::fmt;

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

/// Thousandths in a whole share.
pub const FULL_SHARE_PERMILLE: u32 = 1000;
/// Shortest time that a roll-out may be given, in milliseconds.
pub const SHORTEST_MS: u32 = 2_000;
/// Longest time that a roll-out may be given, in milliseconds.
pub const LONGEST_MS: u32 = 7 * 24 * 3_600_000;

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// A few targets of the new version take a small share of the calls.
    Trial,
    /// All targets of the new version take a larger share.
    Widening,
    /// All calls go to the new version; the old targets are still there.
    Switched,
    /// The move is done; the old targets may stop.
    Succeeded,
    /// All calls stay with the old version; the new targets may stop.
    RolledBack,
}

impl RolloutPhase {
    /// Whether it goes on.
    pub fn is_running(self) -> bool {
        matches!(self, Self::Trial | Self::Widening | Self::Switched)
    }

    /// The word in JSON, logs and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Widening => "widening",
            Self::Switched => "switched",
            Self::Succeeded => "succeeded",
            Self::RolledBack => "rolled_back",
        }
    }
}

impl fmt::Display for RolloutPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// The latest roll-out of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutEntry {
    /// The service.
    pub name: ids::EntryName,
    /// Owner of the service.
    pub owner: ids::EntryName,
    /// Class of the service.
    pub class: ids::EntryName,
    /// Version of the catalogue that the order made: tells it from every other one, and stays the
    /// same through its phases.
    pub order: ids::CatalogueVersion,
    /// The version that calls move to.
    pub to: ids::SoftwareVersion,
    /// Versions of the old targets, as far as the leader knew them at the last step.
    pub from: Vec<ids::SoftwareVersion>,
    /// Time from the order to its limit, in milliseconds.
    pub within_ms: u32,
    /// How far it is.
    pub phase: RolloutPhase,
    /// Largest share of the calls that the new version takes in this phase, in thousandths.
    pub share_permille: u32,
    /// Why it is in this phase.
    pub reason: String,
}

impl RolloutEntry {
    /// The same roll-out in another phase.
    #[must_use]
    pub fn in_phase(&self, phase: RolloutPhase, share_permille: u32, reason: String) -> Self {
        Self {
            phase,
            share_permille,
            reason,
            ..self.clone()
        }
    }

    /// The same roll-out with these versions among the old ones. Whoever takes an order may not
    /// have heard of all targets yet.
    #[must_use]
    pub fn with_old_versions(mut self, versions: Vec<ids::SoftwareVersion>) -> Self {
        for version in versions {
            if version != self.to && !self.from.contains(&version) {
                self.from.push(version);
            }
        }
        self
    }
}

/// What an operator wants of a service's roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutRequest {
    /// To begin one.
    Start(RolloutOrder),
    /// To take the one under way back.
    Abort(ids::EntryName),
}

/// An order to move a service's calls to another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutOrder {
    /// The service.
    pub service: ids::EntryName,
    /// The version that calls move to.
    pub to: ids::SoftwareVersion,
    /// Time from the order to its limit, in milliseconds.
    pub within_ms: u32,
}
