//! Members of the fleet and the targets that they own.
//!
//! Each node is the only author of its own record; a larger `(incarnation, sequence)` replaces a
//! smaller one, so copies may cross and repeat.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

/// Who a process is and where its peers listener is reached.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Its name.
    pub instance: ids::InstanceName,
    /// Its data centre.
    pub data_centre: ids::DataCentreName,
    /// Its region.
    pub region: ids::RegionName,
    /// Address that its peers listener is reached at.
    pub address: SocketAddr,
    /// Address that its operators listener is reached at, where it is told.
    pub operators: Option<SocketAddr>,
    /// Whether it has the control role.
    pub is_control: bool,
    /// Whether it has the node role.
    pub is_node: bool,
    /// Larger after each restart.
    pub incarnation: ids::IncarnationNumber,
}

/// What a target says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Starting: takes no work yet.
    Warming,
    /// Takes work.
    Ready,
    /// Finishes what runs and takes no new work.
    Draining,
}

/// A target as its node publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Its name.
    pub name: ids::TargetName,
    /// Its service.
    pub service: ids::EntryName,
    /// Where it listens; only its own node connects to it.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
    /// What it says of itself.
    pub state: TargetState,
    /// Its life under this name, larger after each restart; zero where targets do not tell.
    pub incarnation: ids::IncarnationNumber,
    /// Version of its software; absent where targets do not tell.
    pub version: Option<ids::SoftwareVersion>,
}

/// A member as it publishes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Who it is.
    pub identity: PeerIdentity,
    /// Grows with each change of the record within one incarnation.
    pub sequence: u64,
    /// Whether it has said that it leaves.
    pub has_left: bool,
    /// Its targets.
    pub targets: Vec<TargetRecord>,
}

/// Short digest of a name, a table or a version, for comparing; combined by exclusive or, so that
/// a table's changes with each record.
///
/// It finds differences between honest processes; what is taken is proven by the whole digest.
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

/// What a process holds of the catalogue, in short.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSummary {
    /// Version in force.
    pub version: ids::CatalogueVersion,
    /// First bytes of its digest.
    pub digest: ShortDigest,
}

/// A record that its author has not been heard to renew.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSuspicion {
    /// The member.
    pub instance: ids::InstanceName,
    /// Incarnation of the record.
    pub incarnation: ids::IncarnationNumber,
    /// Sequence of the record; a larger one refutes the suspicion.
    pub sequence: u64,
}

/// Time since anything was heard from a data centre, directly or through others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreAge {
    /// Short digest of the data centre's name, cut to four bytes.
    pub centre: u32,
    /// The time, in milliseconds.
    pub age_ms: u32,
}

/// One message of gossip: bounded, whatever the size of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Digest of the sender's table.
    pub table: ShortDigest,
    /// What the sender holds of the catalogue.
    pub held: VersionSummary,
    /// When data centres were last heard from.
    pub ages: Vec<DataCentreAge>,
    /// Records that are news at the sender.
    pub records: Vec<MemberRecord>,
    /// Suspicions that are news at the sender.
    pub suspicions: Vec<MemberSuspicion>,
}

/// Version of a record, for comparing tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Short digest of the member's name.
    pub member: ShortDigest,
    /// Its incarnation.
    pub incarnation: ids::IncarnationNumber,
    /// Its sequence.
    pub sequence: u64,
}

/// Versions of all records in some buckets of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionPage {
    /// The buckets.
    pub buckets: Vec<u8>,
    /// The records in them.
    pub versions: Vec<RecordVersion>,
    /// Whether other buckets differ too.
    pub has_more: bool,
}

/// Messages of membership.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Gossip that is answered, so that the sender knows the receiver to be alive.
    Probe(GossipMessage),
    /// The answer to a probe.
    Alive(GossipMessage),
    /// Gossip that is not answered.
    Rumour(GossipMessage),
    /// A process without members asks for some.
    Join(MemberRecord),
    /// Peers addresses of members that know more.
    Introduction(Vec<SocketAddr>),
    /// Digests of the buckets of the sender's table, which differs from the receiver's.
    Buckets(Vec<ShortDigest>),
    /// Versions of the records in buckets that differ.
    Versions(VersionPage),
    /// Members whose records the sender wants.
    Wanted(Vec<ShortDigest>),
    /// Records that the receiver lacks.
    Records(Vec<MemberRecord>),
}
