//! Types of the fields of timeline events.

use serde::{Deserialize, Serialize};

/// State of a member as seen by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberView {
    /// The member is reachable.
    Reachable,
    /// The member does not respond; it may still run.
    Unreachable,
    /// The member has announced that it leaves.
    Left,
    /// The member has been removed from the table of members.
    Forgotten,
}

/// The way in which an attempt or a run failed to produce a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallFailure {
    /// The owner node could not be reached.
    NotReached,
    /// The link to the owner node broke.
    Lost,
    /// The owner node refused the offer.
    Refused,
    /// The target accepted no connection.
    NotConnected,
    /// The target answered that it did not run the request.
    Declined,
    /// Another target answered at the target's address.
    Misplaced,
    /// The response was malformed or incomplete.
    Unsound,
    /// The target closed the connection before the first byte of a response.
    Crashed,
    /// The first byte of the response did not arrive in time.
    TimedOut,
    /// The target broke off its response.
    Cut,
    /// The caller disconnected.
    CallerGone,
}

/// What proves to the owner node that an offered call did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalProof {
    /// The call never got a slot, so no part of it was sent to the target.
    NeverDispatched,
    /// No connection to the target could be opened.
    NotConnected,
    /// The target answered, with the id of the request, that it did not run it.
    TargetDeclined,
    /// Another target answered, with the id of the request, that it did not run it.
    WrongTarget,
}

/// How a signal of a target came to this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SignalSource {
    /// In a response of this node's own target.
    Response,
    /// From the target's owner node, with a response.
    OwnerNode,
    /// From an ingress node, with an offer.
    IngressNode,
}

/// How a version of the catalogue came to this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionSource {
    /// This control committed the change that made it.
    Log,
    /// From a snapshot of the replicated log.
    LogSnapshot,
    /// From the parent in the relay tree.
    Parent,
    /// From another process, which this one asked for it or whose child it was.
    Pull,
}

/// State of a control's data folder when it was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FolderFinding {
    /// It held no log; the replica is new.
    New,
    /// It held a complete log.
    Whole,
    /// It held a log whose last write was never synced; that write was cut off.
    Cut,
}

/// Resources that the calls of one route used on one process. The fields before `offers` are
/// counted as the ingress node, those from `offers` on as the owner node. Times are sums in
/// milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteUsage {
    /// Calls that were answered by a target.
    pub answered: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Time from the arrival of refused calls to their refusal.
    pub refused_ms: u64,
    /// Offers to targets.
    pub tries: u64,
    /// Offers that the owner nodes refused.
    pub given_back: u64,
    /// Time from the refused offers until this node learnt of the refusal.
    pub given_back_ms: u64,
    /// Offers received.
    pub offers: u64,
    /// Offers received that this node refused.
    pub declined: u64,
    /// Time that refused offers were held on this node.
    pub declined_ms: u64,
    /// Successful runs within the target latency.
    pub in_time: u64,
    /// Slot time of these runs.
    pub in_time_ms: u64,
    /// Successful runs beyond the target latency.
    pub late: u64,
    /// Slot time of these runs.
    pub late_ms: u64,
    /// Failed runs.
    pub failed: u64,
    /// Slot time of these runs.
    pub failed_ms: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
pub(super) fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl RouteUsage {
    /// Returns whether calls were refused or runs failed.
    pub fn has_failures(&self) -> bool {
        self.refused + self.declined + self.failed > 0
    }
}
