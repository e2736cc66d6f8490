//! Entries of the replicated log and messages between the replicas of the control group.
//!
//! A replica is identified by an id that is stored in its data folder. Addresses only serve for
//! sending: a replica drops messages that are addressed to another replica id.

use std::net::SocketAddr;

use hazeltiller_catalogue::{change, state};
use hazeltiller_units::{ids, time};
use serde::{Deserialize, Serialize};

/// A catalogue change in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedChange {
    /// Id that the operator gave the change.
    pub change_id: ids::ChangeId,
    /// Digest of the change's content, which distinguishes a resend from a reuse of the id.
    pub content: ids::StateDigest,
    /// Time at which the leader accepted the change, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// Operator that requested the change; absent for the administrator.
    pub operator: Option<ids::OperatorName>,
    /// Entries that the change puts and removes.
    pub set: change::ChangeSet,
    /// The new revision, if the change replaces the whole catalogue.
    pub revision: Option<LoggedRevision>,
}

/// A catalogue revision in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedRevision {
    /// Label of the revision.
    pub label: ids::RevisionLabel,
    /// The operator's document, compressed against the previous one (see [`crate::document`]).
    pub document: Vec<u8>,
}

/// A voting member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Id of the replica.
    pub replica: ids::ReplicaId,
    /// Name of the replica's instance.
    pub instance: ids::InstanceName,
    /// Address of the replica's peers listener.
    pub address: SocketAddr,
}

/// The voters of a control group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlGroup {
    /// Id of the group.
    pub id: ids::GroupId,
    /// Voters of the group.
    pub voters: Vec<GroupMember>,
}

impl ControlGroup {
    /// Returns whether a replica is a voter.
    pub fn has_voter(&self, replica: ids::ReplicaId) -> bool {
        self.voters.iter().any(|voter| voter.replica == replica)
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// Payload of a log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogPayload {
    /// The first entry of a new leader's term, without effect on the catalogue.
    Empty,
    /// A catalogue change.
    Change(LoggedChange),
    /// The voters from this entry on. They take effect when the entry is appended, before it is
    /// committed.
    Group(ControlGroup),
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position of the entry.
    pub position: ids::LogPosition,
    /// Term of the leader that appended the entry.
    pub term: ids::LeaderTerm,
    /// Payload of the entry.
    pub payload: LogPayload,
}

impl LogEntry {
    /// Returns term and position of the entry.
    pub fn mark(&self) -> LogMark {
        LogMark {
            term: self.term,
            position: self.position,
        }
    }
}

/// Term and position of a log entry. Of two logs, the one whose last entry has the larger mark is
/// more up to date.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct LogMark {
    /// Term of the entry.
    pub term: ids::LeaderTerm,
    /// Position of the entry.
    pub position: ids::LogPosition,
}

/// State that a replica must persist in addition to its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Id of the replica to which the data folder belongs.
    pub replica: ids::ReplicaId,
    /// Whether the replica was started to form a group that does not exist yet.
    pub is_forming: bool,
    /// Latest term that the replica has seen.
    pub term: ids::LeaderTerm,
    /// Replica that it voted for in this term.
    pub vote: Option<ids::ReplicaId>,
    /// A position known to be committed. May be lower than the group's commit position.
    pub commit: ids::LogPosition,
}

/// An accepted change, stored so that a resend of it can be answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The receipt returned for the first send.
    pub receipt: change::ChangeReceipt,
    /// Digest of the change's content.
    pub content: ids::StateDigest,
    /// Operator that requested the change; absent for the administrator.
    pub operator: Option<ids::OperatorName>,
}

/// State that results from the log up to an entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The last entry that the snapshot covers.
    pub mark: LogMark,
    /// The voters at that entry.
    pub group: ControlGroup,
    /// The catalogue at that entry.
    pub catalogue: state::CatalogueState,
    /// Accepted changes that are stored to answer resends, oldest first.
    pub accepted: Vec<AcceptedChange>,
    /// The current revision.
    pub revision: change::CatalogueRevision,
}

/// Status of a replica with respect to the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaStatus {
    /// Waits for the first group to be formed.
    Forming,
    /// Receives the log but does not vote.
    Learner,
    /// Votes in elections and on commits.
    Voter,
}

/// Information that a replica sends about itself to processes at control addresses whose replicas
/// it may not know yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIntroduction {
    /// Status of the sender.
    pub standing: ReplicaStatus,
    /// The control addresses from the sender's settings, in order.
    pub control: Vec<SocketAddr>,
    /// Voters known to the sender.
    pub voters: Vec<ids::ReplicaId>,
    /// Address of the peers listener of the leader; the sender's own while it is the leader.
    pub leader: Option<SocketAddr>,
    /// Whether the receiver should reply with an introduction of its own.
    pub asks: bool,
}

/// Entries to append after a given entry of the log; a heartbeat if there are none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Term and position of the entry that precedes the new ones.
    pub previous: LogMark,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
    /// Commit position of the leader.
    pub commit: ids::LogPosition,
    /// Whether the leader has recently heard from a majority of voters.
    pub is_proven: bool,
    /// Time of sending by the leader's clock; returned in the reply.
    pub sent: time::MonotonicTime,
    /// Latest time of the receiver's clock that the leader has received. The request was sent after
    /// that time, so that a request delayed in transit is not mistaken for a recent one.
    pub echo: time::MonotonicTime,
}

/// Reply to an [`AppendRequest`] or a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Whether the receiver's log contained the entry that precedes the new ones.
    pub is_accepted: bool,
    /// Last position stored, if accepted; otherwise the position from which to retry.
    pub position: ids::LogPosition,
    /// Time of sending of the request, by the leader's clock.
    pub sent: time::MonotonicTime,
    /// Time of the reply by its sender's clock.
    pub at: time::MonotonicTime,
}

/// Body of a message between replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplicationBody {
    /// Introduction of the sender.
    Introduce(ReplicaIntroduction),
    /// Asks whether the receiver would vote for the sender in the message's term. Holds the last
    /// entry of the sender's log.
    PreVote(LogMark),
    /// Reply to [`ReplicationBody::PreVote`]. Not binding.
    PreVoted {
        /// Whether the vote is granted.
        is_granted: bool,
    },
    /// Requests a vote for the sender. Holds the last entry of the sender's log.
    Vote(LogMark),
    /// Reply to [`ReplicationBody::Vote`].
    Voted {
        /// Whether the vote is granted.
        is_granted: bool,
    },
    /// Entries to append, or a heartbeat.
    Append(AppendRequest),
    /// Reply to [`ReplicationBody::Append`] and [`ReplicationBody::Install`].
    Appended(AppendAnswer),
    /// A snapshot for a replica whose next entry has been compacted away.
    Install {
        /// The snapshot.
        snapshot: Box<LogSnapshot>,
        /// Time of sending by the leader's clock; returned in the reply.
        sent: time::MonotonicTime,
    },
}

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicationMessage {
    /// Group of the sender; 0 if it knows none.
    pub group: ids::GroupId,
    /// Replica that sent the message.
    pub from: ids::ReplicaId,
    /// Replica that the message is addressed to; absent if any replica at the address may handle
    /// it.
    pub to: Option<ids::ReplicaId>,
    /// Term of the sender.
    pub term: ids::LeaderTerm,
    /// Body of the message.
    pub body: ReplicationBody,
}
