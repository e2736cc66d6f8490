//! The replicated log's entries and messages.
//!
//! A replica is named by an id that lives in its data folder. Addresses only say where to send: a
//! message that is meant for another replica than the one that now stands at an address is dropped.

use std::net::SocketAddr;

use hazeltiller_catalogue::{change, state};
use hazeltiller_units::{ids, time};
use serde::{Deserialize, Serialize};

/// A change in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedChange {
    /// The operator's id of it.
    pub change_id: ids::ChangeId,
    /// Digest of the change's content; tells a resend from a reuse of the id.
    pub content: ids::StateDigest,
    /// When the leader took it, in milliseconds since 1970.
    pub accepted_at_ms: u64,
    /// Who asked for it; absent: the administrator.
    pub operator: Option<ids::OperatorName>,
    /// What it puts and removes.
    pub set: change::ChangeSet,
    /// The revision that it makes, where it replaced the whole catalogue.
    pub revision: Option<LoggedRevision>,
}

/// A revision in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedRevision {
    /// Its label.
    pub label: ids::RevisionLabel,
    /// The operator's document, packed against the one before it (see [`crate::document`]).
    pub document: Vec<u8>,
}

/// A replica that votes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Its durable state.
    pub replica: ids::ReplicaId,
    /// Name of its instance.
    pub instance: ids::InstanceName,
    /// Where its peers listener is reached.
    pub address: SocketAddr,
}

/// The voters of a control group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlGroup {
    /// Which group.
    pub id: ids::GroupId,
    /// Its voters.
    pub voters: Vec<GroupMember>,
}

impl ControlGroup {
    /// Whether a replica votes.
    pub fn has_voter(&self, replica: ids::ReplicaId) -> bool {
        self.voters.iter().any(|voter| voter.replica == replica)
    }

    /// Voters that a decision needs.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// What an entry of the log says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogPayload {
    /// A new leader's first entry.
    Empty,
    /// A change of the catalogue.
    Change(LoggedChange),
    /// The voters from this entry on; they count from when it is written, not committed.
    Group(ControlGroup),
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its position.
    pub position: ids::LogPosition,
    /// Term of the leader that wrote it.
    pub term: ids::LeaderTerm,
    /// What it says.
    pub payload: LogPayload,
}

impl LogEntry {
    /// Its place in the log.
    pub fn mark(&self) -> LogMark {
        LogMark {
            term: self.term,
            position: self.position,
        }
    }
}

/// A place in the log. The later of two logs' ends has the larger mark.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct LogMark {
    /// Term of the entry.
    pub term: ids::LeaderTerm,
    /// Its position.
    pub position: ids::LogPosition,
}

/// What a replica must never forget beside its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Which replica this folder is.
    pub replica: ids::ReplicaId,
    /// Whether it was started to found a group that does not exist yet.
    pub is_forming: bool,
    /// Latest term that it has seen.
    pub term: ids::LeaderTerm,
    /// Whom it voted for in that term.
    pub vote: Option<ids::ReplicaId>,
    /// A position that is known to be committed; may lag behind.
    pub commit: ids::LogPosition,
}

/// An accepted change as it is remembered for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The first answer.
    pub receipt: change::ChangeReceipt,
    /// Digest of the change's content.
    pub content: ids::StateDigest,
    /// Who asked for it; absent: the administrator.
    pub operator: Option<ids::OperatorName>,
}

/// Everything that the log up to a place led to.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The last entry that it covers.
    pub mark: LogMark,
    /// The voters at that place.
    pub group: ControlGroup,
    /// The catalogue at that place.
    pub catalogue: state::CatalogueState,
    /// Changes that are remembered for resends, oldest first.
    pub accepted: Vec<AcceptedChange>,
    /// The revision in place.
    pub revision: change::CatalogueRevision,
}

/// Where a replica stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaStatus {
    /// Waits for the first group to be founded.
    Forming,
    /// Has no vote.
    Learner,
    /// Has a vote.
    Voter,
}

/// What a replica says of itself to those that it cannot know yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIntroduction {
    /// Where it stands.
    pub standing: ReplicaStatus,
    /// The control addresses of its settings, in order.
    pub control: Vec<SocketAddr>,
    /// The voters that it knows of.
    pub voters: Vec<ids::ReplicaId>,
    /// Peers address of the leader that it follows, or its own while it leads.
    pub leader: Option<SocketAddr>,
    /// Whether the other side is to introduce itself too.
    pub asks: bool,
}

/// Entries that follow a place in the log; a heartbeat when there are none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The place before the first entry.
    pub previous: LogMark,
    /// The entries.
    pub entries: Vec<LogEntry>,
    /// Position up to which the leader has committed.
    pub commit: ids::LogPosition,
    /// Whether the leader has just heard a majority.
    pub is_proven: bool,
    /// The leader's clock; comes back in the answer.
    pub sent: time::MonotonicTime,
    /// The receiver's clock as the leader last heard it: this was sent after that, so a request
    /// that was held up on the way does not pass for a fresh one.
    pub echo: time::MonotonicTime,
}

/// The answer to [`AppendRequest`] and to a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Whether the place before the entries was held.
    pub is_accepted: bool,
    /// Kept up to here when accepted; otherwise where to try next.
    pub position: ids::LogPosition,
    /// The clock of the request.
    pub sent: time::MonotonicTime,
    /// The sender's clock.
    pub at: time::MonotonicTime,
}

/// What a replica says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplicationBody {
    /// Who it is.
    Introduce(ReplicaIntroduction),
    /// Would you vote for me? The message's term is the one it would stand in.
    PreVote(LogMark),
    /// The answer to that; binds nobody.
    PreVoted {
        /// Yes or no.
        is_granted: bool,
    },
    /// Vote for me; the end of my log is given.
    Vote(LogMark),
    /// The answer to that.
    Voted {
        /// Yes or no.
        is_granted: bool,
    },
    /// Entries, or a sign of life.
    Append(AppendRequest),
    /// The answer to that and to a snapshot.
    Appended(AppendAnswer),
    /// All that the log led to, for a replica whose next entry is no longer kept.
    Install {
        /// The snapshot.
        snapshot: Box<LogSnapshot>,
        /// The leader's clock; comes back in the answer.
        sent: time::MonotonicTime,
    },
}

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicationMessage {
    /// The sender's group; 0 while it knows none.
    pub group: ids::GroupId,
    /// Who says it.
    pub from: ids::ReplicaId,
    /// Whom it is meant for; absent: whoever stands at the address.
    pub to: Option<ids::ReplicaId>,
    /// The sender's term.
    pub term: ids::LeaderTerm,
    /// What it says.
    pub body: ReplicationBody,
}
