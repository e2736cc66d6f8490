//! The message between two processes: one variant a submodule of the reducer.

use hazeltiller_units::time;
use serde::{Deserialize, Serialize};

use crate::{dissemination, ledger, membership, quarantine, replication, rollout};

/// A message between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Of the control group's log.
    Replication(replication::ReplicationMessage),
    /// Of the catalogue's way to the nodes.
    Dissemination(dissemination::DisseminationMessage),
    /// Of members and targets.
    Membership(membership::MembershipMessage),
    /// Of claims on keyed requests.
    Ledger(ledger::LedgerMessage),
    /// Of requests that crash targets.
    Quarantine(quarantine::QuarantineMessage),
    /// Of roll-outs.
    Rollout(rollout::RolloutMessage),
}

/// What control bytes are spent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TrafficCategory {
    /// Changes on their way to nodes.
    Delta,
    /// Whole catalogues on their way to nodes.
    Snapshot,
    /// Keeping the relay tree together.
    Keepalive,
    /// Reports of what is in force.
    Ack,
    /// Members and targets.
    Gossip,
    /// The replicated log.
    Replication,
    /// Claims on keyed requests, and requests that crash targets.
    Claims,
    /// Evidence for and against new versions of targets.
    Rollout,
}

impl TrafficCategory {
    /// Every reason, in the order of its number.
    pub const ALL: [Self; 8] = [
        Self::Delta,
        Self::Snapshot,
        Self::Keepalive,
        Self::Ack,
        Self::Gossip,
        Self::Replication,
        Self::Claims,
        Self::Rollout,
    ];

    /// The word in status and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Delta => "delta",
            Self::Snapshot => "snapshot",
            Self::Keepalive => "keepalive",
            Self::Ack => "ack",
            Self::Gossip => "gossip",
            Self::Replication => "replication",
            Self::Claims => "claims",
            Self::Rollout => "rollout",
        }
    }
}

impl PeerMessage {
    /// What its bytes are spent on.
    pub fn category(&self) -> TrafficCategory {
        match self {
            Self::Replication(_) => TrafficCategory::Replication,
            Self::Membership(_) => TrafficCategory::Gossip,
            Self::Ledger(_) | Self::Quarantine(_) => TrafficCategory::Claims,
            Self::Rollout(_) => TrafficCategory::Rollout,
            Self::Dissemination(message) => match message {
                dissemination::DisseminationMessage::Delta(_) => TrafficCategory::Delta,
                dissemination::DisseminationMessage::Snapshot(_) => TrafficCategory::Snapshot,
                dissemination::DisseminationMessage::Ack(_)
                | dissemination::DisseminationMessage::Tally(_) => TrafficCategory::Ack,
                _ => TrafficCategory::Keepalive,
            },
        }
    }
}

/// A message with the sender's clock, as it travels.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Hybrid logical time of the sending.
    pub clock: HybridTime,
    /// The message.
    pub message: PeerMessage,
}

/// Hybrid logical time: wall time that never goes back and is ordered by cause.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// Largest wall time seen.
    pub wall: time::WallTime,
    /// Counts events of one wall time.
    pub count: u32,
}

/// Furthest that another process's clock may lead this machine's; beyond it is not taken in, so
/// that one wrong clock does not set every other one.
const LARGEST_LEAD_MS: u64 = 60_000;

impl HybridTime {
    /// The time of a local event.
    #[must_use]
    pub fn tick(self, wall: time::WallTime) -> Self {
        if wall > self.wall {
            Self { wall, count: 0 }
        } else {
            self.next()
        }
    }

    /// The time of taking a message that was sent at `sent`.
    #[must_use]
    pub fn merge(self, sent: Self, wall: time::WallTime) -> Self {
        let is_wrong = sent.wall.0 > wall.0.saturating_add(LARGEST_LEAD_MS);
        let latest = if is_wrong { self } else { self.max(sent) };
        latest.tick(wall)
    }

    /// The least time after this one.
    fn next(self) -> Self {
        match self.count.checked_add(1) {
            Some(count) => Self { count, ..self },
            None => Self {
                wall: time::WallTime(self.wall.0.saturating_add(1)),
                count: 0,
            },
        }
    }
}
