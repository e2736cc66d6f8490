//! Rollouts, which move a service's calls to targets with another software version, or roll back.
//!
//! A rollout is a catalogue entry, so that it is as durable as the catalogue and reaches every
//! node in the same way. Operators request a rollout, but only the leader of the control group
//! writes the entry and moves it from phase to phase.

use std::fmt;

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

/// Share of all calls, in thousandths.
pub const FULL_SHARE_PERMILLE: u32 = 1000;
/// Minimum time limit of a rollout, in milliseconds.
pub const MIN_TIME_LIMIT_MS: u32 = 2_000;
/// Maximum time limit of a rollout, in milliseconds.
pub const MAX_TIME_LIMIT_MS: u32 = 7 * 24 * 3_600_000;

/// Phase of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// A few targets with the new version receive a small share of the calls.
    Trial,
    /// All targets with the new version receive a larger share of the calls.
    Widening,
    /// All calls go to the new version; the old targets must not be stopped yet.
    Switched,
    /// The rollout is complete; the old targets may be stopped.
    Succeeded,
    /// All calls go to the old version; the new targets may be stopped.
    RolledBack,
}

impl RolloutPhase {
    /// Returns whether the rollout is still in progress.
    pub fn is_running(self) -> bool {
        matches!(self, Self::Trial | Self::Widening | Self::Switched)
    }

    /// Returns the name of the phase in JSON, in logs and on the command line.
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

/// The latest rollout of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutEntry {
    /// Name of the service.
    pub name: ids::EntryName,
    /// Owner of the service.
    pub owner: ids::EntryName,
    /// Class of the service.
    pub class: ids::EntryName,
    /// Catalogue version that the order created. Identifies the rollout and stays the same in all
    /// of its phases.
    pub order: ids::CatalogueVersion,
    /// Software version that calls move to.
    pub to: ids::SoftwareVersion,
    /// Software versions of the old targets known to the leader at the last step.
    pub from: Vec<ids::SoftwareVersion>,
    /// Time limit of the rollout, counted from the order, in milliseconds.
    pub within_ms: u32,
    /// Current phase.
    pub phase: RolloutPhase,
    /// Maximum share of the calls that the new version receives in this phase, in thousandths.
    pub share_permille: u32,
    /// Reason for which the rollout entered this phase.
    pub reason: String,
}

impl RolloutEntry {
    /// Returns the rollout in another phase.
    #[must_use]
    pub fn in_phase(&self, phase: RolloutPhase, share_permille: u32, reason: String) -> Self {
        Self {
            phase,
            share_permille,
            reason,
            ..self.clone()
        }
    }

    /// Adds versions to the old ones. The leader may not know all targets yet when it accepts the
    /// order.
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

/// Request of an operator that concerns a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutRequest {
    /// Starts a rollout.
    Start(RolloutOrder),
    /// Aborts and rolls back the current rollout of the service.
    Abort(ids::EntryName),
}

/// Order to move a service's calls to another software version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: ids::EntryName,
    /// Software version that calls move to.
    pub to: ids::SoftwareVersion,
    /// Time limit of the rollout, counted from the order, in milliseconds.
    pub within_ms: u32,
}
