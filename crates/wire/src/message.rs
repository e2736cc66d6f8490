//! The message type of links between processes, with one variant per submodule of the reducer, and
//! the hybrid logical clock that each message carries.

use hazeltiller_units::time;
use serde::{Deserialize, Serialize};

use crate::{allowance, dissemination, ledger, membership, quarantine, replication, rollout};

/// A message between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Replication of the control group's log.
    Replication(replication::ReplicationMessage),
    /// Distribution of the catalogue to the nodes.
    Dissemination(dissemination::DisseminationMessage),
    /// Gossip about members and targets.
    Membership(membership::MembershipMessage),
    /// Claims on requests with an idempotency key.
    Ledger(ledger::LedgerMessage),
    /// Requests suspected of crashing targets.
    Quarantine(quarantine::QuarantineMessage),
    /// Results of runs during rollouts.
    Rollout(rollout::RolloutMessage),
    /// Allowances of organisations.
    Allowance(allowance::AllowanceMessage),
}

/// Category under which messages between processes are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TrafficCategory {
    /// Catalogue changes sent to nodes.
    Delta,
    /// Complete catalogues sent to nodes.
    Snapshot,
    /// Maintenance of the relay tree.
    Keepalive,
    /// Reports of the versions in force.
    Ack,
    /// Gossip about members and targets.
    Gossip,
    /// Replication of the control group's log.
    Replication,
    /// Claims on requests with an idempotency key, and requests suspected of crashing targets.
    Claims,
    /// Results of runs during rollouts.
    Rollout,
    /// Allowances of organisations.
    Allowance,
}

impl TrafficCategory {
    /// All categories, in declaration order.
    pub const ALL: [Self; 9] = [
        Self::Delta,
        Self::Snapshot,
        Self::Keepalive,
        Self::Ack,
        Self::Gossip,
        Self::Replication,
        Self::Claims,
        Self::Rollout,
        Self::Allowance,
    ];

    /// Returns the name used in status documents and metrics.
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
            Self::Allowance => "allowance",
        }
    }
}

impl PeerMessage {
    /// Returns the category under which the message's bytes are counted.
    pub fn category(&self) -> TrafficCategory {
        match self {
            Self::Replication(_) => TrafficCategory::Replication,
            Self::Membership(_) => TrafficCategory::Gossip,
            Self::Ledger(_) | Self::Quarantine(_) => TrafficCategory::Claims,
            Self::Rollout(_) => TrafficCategory::Rollout,
            Self::Allowance(_) => TrafficCategory::Allowance,
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

/// A message with the sender's clock, as it is sent over a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Hybrid logical time at which the message was sent.
    pub clock: HybridTime,
    /// The message.
    pub message: PeerMessage,
}

/// Hybrid logical time: close to wall time, never decreasing, and consistent with causality.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// Largest wall time observed so far, locally or in a message.
    pub wall: time::WallTime,
    /// Orders events with the same wall time.
    pub count: u32,
}

/// Maximum lead of a received time over the local wall clock, in milliseconds. Times further ahead
/// are ignored, so that one wrong clock does not move the clocks of all other processes.
const MAX_CLOCK_LEAD_MS: u64 = 60_000;

impl HybridTime {
    /// Returns the time of a local event.
    #[must_use]
    pub fn tick(self, wall: time::WallTime) -> Self {
        if wall > self.wall {
            Self { wall, count: 0 }
        } else {
            self.next()
        }
    }

    /// Returns the time of receiving a message that was sent at `sent`.
    #[must_use]
    pub fn merge(self, sent: Self, wall: time::WallTime) -> Self {
        let is_too_far_ahead = sent.wall.0 > wall.0.saturating_add(MAX_CLOCK_LEAD_MS);
        let latest = if is_too_far_ahead {
            self
        } else {
            self.max(sent)
        };
        latest.tick(wall)
    }

    /// Returns the smallest time after this one.
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
