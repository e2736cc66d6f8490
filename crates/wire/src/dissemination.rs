//! The catalogue's way from the control group to every node.

use std::net::SocketAddr;

use hazeltiller_catalogue::{delta, state};
use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

use crate::{codec, membership};

/// A whole catalogue, encoded and compressed once for all that it is sent to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedCatalogue {
    /// Its version.
    pub version: ids::CatalogueVersion,
    body: Vec<u8>,
}

impl PackedCatalogue {
    /// Packs a catalogue.
    pub fn pack(catalogue: &state::CatalogueState) -> Self {
        Self {
            version: catalogue.version,
            body: codec::encode_body(catalogue),
        }
    }

    /// The catalogue; its digest is still to be checked.
    pub fn unpack(&self) -> Result<state::CatalogueState, codec::CodecError> {
        codec::decode_body(&self.body)
    }
}

/// What a whole subtree of the relay tree has in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubtreeReport {
    /// Every node of the subtree has this version or a later one in force.
    pub floor: ids::CatalogueVersion,
    /// Exclusive or of the short digests of the nodes' names.
    pub fingerprint: membership::ShortDigest,
    /// Short digests of the nodes' names; sent when they changed or are asked for.
    pub roster: Option<Vec<membership::ShortDigest>>,
}

/// What a node tells its parent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChildReport {
    /// What it has in force itself.
    pub held: membership::VersionSummary,
    /// What its subtree has in force, itself included.
    pub subtree: SubtreeReport,
}

/// What a parent tells a child.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ParentStatus {
    /// What it has in force.
    pub held: membership::VersionSummary,
    /// Processes from a control down to the parent, as four bytes of their names' digests; empty
    /// while the parent itself has no way to a control.
    pub path: Vec<u32>,
    /// Whether the child is to send its roster.
    pub wants_roster: bool,
}

/// A question for the part after a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionPull {
    /// Version that the sender holds.
    pub version: ids::CatalogueVersion,
    /// Whether only a whole catalogue helps.
    pub wants_snapshot: bool,
}

/// How sure an answer to [`DisseminationMessage::FloorQuestion`] is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FloorProof {
    /// A control that a majority has just confirmed.
    Majority,
    /// A control that cannot show a majority.
    Control,
    /// A node that holds a version.
    Peer,
    /// A node that is itself asking.
    Asking,
}

/// What a process knows of the latest version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorAnswer {
    /// Latest version that it knows.
    pub version: ids::CatalogueVersion,
    /// How sure that is.
    pub proof: FloorProof,
}

/// Messages of dissemination.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DisseminationMessage {
    /// A child's keepalive to its parent; the first one asks to be adopted.
    Keepalive(ChildReport),
    /// A child's report that its subtree has reached a version.
    Ack(ChildReport),
    /// A parent's answer to a keepalive.
    Parent(ParentStatus),
    /// No place here; the addresses may have one.
    Redirect(Vec<SocketAddr>),
    /// The changes after the receiver's version.
    Delta(delta::CatalogueDelta),
    /// A whole catalogue.
    Snapshot(PackedCatalogue),
    /// A question for a delta or a snapshot.
    Pull(VersionPull),
    /// A process without memory asks how old the latest version is at least.
    FloorQuestion,
    /// The answer to it.
    FloorAnswer(FloorAnswer),
    /// What the nodes behind one control have in force, for the other controls.
    Tally(SubtreeReport),
    /// The last tally had no roster, and the one held does not fit it.
    RosterWanted,
}
