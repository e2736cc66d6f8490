//! Gossip about the members of the fleet and the targets that they own.
//!
//! Each process alone writes its own record. A record with a larger `(incarnation, sequence)`
//! replaces one with a smaller, so that records may arrive out of order and more than once.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

/// Identity, addresses and roles of a process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Name of the instance.
    pub instance: ids::InstanceName,
    /// Data centre of the instance.
    pub data_centre: ids::DataCentreName,
    /// Region of the data centre.
    pub region: ids::RegionName,
    /// Address of the peers listener.
    pub address: SocketAddr,
    /// Address of the operators listener, if it is published.
    pub operators: Option<SocketAddr>,
    /// Whether the process has the control role.
    pub is_control: bool,
    /// Whether the process has the node role.
    pub is_node: bool,
    /// Number that increases with each restart of the process.
    pub incarnation: ids::IncarnationNumber,
}

/// State that a target reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Starting; does not accept requests yet.
    Warming,
    /// Accepts requests.
    Ready,
    /// Completes running requests and accepts no new ones.
    Draining,
}

/// A target as its owner node publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Name of the target.
    pub name: ids::TargetName,
    /// Service that the target belongs to.
    pub service: ids::EntryName,
    /// Address that the target listens on. Only its owner node connects to it.
    pub address: SocketAddr,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Number of connections that the target accepts.
    pub connections: u32,
    /// State that the target reports.
    pub state: TargetState,
    /// Number that increases with each restart of the target under this name; zero if targets do
    /// not report one.
    pub incarnation: ids::IncarnationNumber,
    /// Version of the target's software; absent if targets do not report one.
    pub version: Option<ids::SoftwareVersion>,
}

/// A member as it publishes itself to the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identity of the member.
    pub identity: PeerIdentity,
    /// Number that increases with each change of the record within an incarnation.
    pub sequence: u64,
    /// Whether the member has announced that it leaves.
    pub has_left: bool,
    /// Targets that the member owns.
    pub targets: Vec<TargetRecord>,
}

/// Short digest of a name, a record table or a catalogue version.
///
/// Digests are combined by exclusive or, so that the digest of a table can be updated with each
/// record. A short digest is only good for detecting differences between processes that trust each
/// other; a received catalogue is verified against its full digest.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(from = "[u8; 8]", into = "[u8; 8]")]
pub struct ShortDigest(pub u64);

impl From<[u8; 8]> for ShortDigest {
    fn from(bytes: [u8; 8]) -> Self {
        Self(u64::from_le_bytes(bytes))
    }
}

impl From<ShortDigest> for [u8; 8] {
    fn from(digest: ShortDigest) -> Self {
        digest.0.to_le_bytes()
    }
}

impl std::ops::BitXorAssign for ShortDigest {
    fn bitxor_assign(&mut self, rhs: Self) {
        self.0 ^= rhs.0;
    }
}

/// Version and short digest of the catalogue that a process has in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSummary {
    /// Version in force.
    pub version: ids::CatalogueVersion,
    /// First bytes of the catalogue's digest.
    pub digest: ShortDigest,
}

/// Suspicion that a member is unreachable, since its record has not been renewed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSuspicion {
    /// The suspected member.
    pub instance: ids::InstanceName,
    /// Incarnation of the record.
    pub incarnation: ids::IncarnationNumber,
    /// Sequence of the record. A record with a larger sequence refutes the suspicion.
    pub sequence: u64,
}

/// Time since a data centre was last heard from, directly or through other members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreAge {
    /// Short digest of the data centre's name, truncated to four bytes.
    pub centre: u32,
    /// Time since the last message, in milliseconds.
    pub age_ms: u32,
}

/// A gossip message. Its size is bounded independently of the size of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Digest of the sender's record table.
    pub table: ShortDigest,
    /// Catalogue version that the sender has in force.
    pub held: VersionSummary,
    /// Times since the data centres were last heard from.
    pub ages: Vec<DataCentreAge>,
    /// Records that the sender has recently received or changed.
    pub records: Vec<MemberRecord>,
    /// Suspicions that the sender has recently received or raised.
    pub suspicions: Vec<MemberSuspicion>,
}

/// Version of a record, used to compare record tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Short digest of the member's name.
    pub member: ShortDigest,
    /// Incarnation of the record.
    pub incarnation: ids::IncarnationNumber,
    /// Sequence of the record.
    pub sequence: u64,
}

/// Versions of all records in some buckets of a record table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionPage {
    /// Indices of the buckets.
    pub buckets: Vec<u8>,
    /// Versions of the records in these buckets.
    pub versions: Vec<RecordVersion>,
    /// Whether more buckets differ than the page covers.
    pub has_more: bool,
}

/// Notice that a target leaves, which other processes hold for the target's owner node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalNotice {
    /// The target.
    pub target: ids::TargetName,
    /// Incarnation of the target that leaves.
    pub incarnation: ids::IncarnationNumber,
    /// Announcements of that incarnation up to this sequence number were sent before. `None` if all
    /// of its numbered announcements were, since the target deregistered.
    pub sequence: Option<u64>,
    /// Time for which the notice is still needed, in milliseconds.
    pub remaining_ms: u32,
}

/// Confirmation that the sender holds a notice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeReceipt {
    /// The notice.
    pub notice: WithdrawalNotice,
    /// Instances of the voters of the control group, as the sender knows them; none if it is no
    /// control.
    pub voters: Vec<ids::InstanceName>,
}

/// A [`WithdrawalNotice`] as a holder stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredNotice {
    /// Instance of the owner node.
    pub owner: ids::InstanceName,
    /// Latest incarnation of the owner node that has the notice.
    pub incarnation: ids::IncarnationNumber,
    /// The notice.
    pub notice: WithdrawalNotice,
}

/// Messages of membership.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Gossip that the receiver acknowledges, which proves to the sender that it is alive.
    Probe(GossipMessage),
    /// Reply to [`MembershipMessage::Probe`].
    Alive(GossipMessage),
    /// Gossip that is not acknowledged.
    Rumour(GossipMessage),
    /// Request for members, from a process that knows none.
    Join(MemberRecord),
    /// Addresses of the peers listeners of members that know more of the fleet.
    Introduction(Vec<SocketAddr>),
    /// Digests of the buckets of the sender's record table, sent when the tables differ.
    Buckets(Vec<ShortDigest>),
    /// Versions of the records in differing buckets.
    Versions(VersionPage),
    /// Digests of the names of members whose records the sender requests.
    Wanted(Vec<ShortDigest>),
    /// Records that the receiver lacks or has in an older version.
    Records(Vec<MemberRecord>),
    /// Notice that the receiver is to hold for the sender.
    Entrust(WithdrawalNotice),
    /// Reply to [`MembershipMessage::Entrust`]: the sender holds the notice.
    Entrusted(NoticeReceipt),
    /// A notice that an earlier incarnation of the receiver entrusted to the sender.
    Returned(WithdrawalNotice),
}
