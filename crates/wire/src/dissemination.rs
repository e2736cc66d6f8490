//! Distribution of the catalogue from the control group to every node, over a relay tree.

use std::net::SocketAddr;

use hazeltiller_catalogue::{delta, state};
use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

use crate::{codec, membership};

/// A complete catalogue, encoded and compressed once for all of its receivers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedCatalogue {
    /// Version of the catalogue.
    pub version: ids::CatalogueVersion,
    body: Vec<u8>,
}

impl PackedCatalogue {
    /// Encodes and compresses a catalogue.
    pub fn pack(catalogue: &state::CatalogueState) -> Self {
        Self {
            version: catalogue.version,
            body: codec::encode_body(catalogue),
        }
    }

    /// Decodes the catalogue. Does not verify its digest.
    pub fn unpack(&self) -> Result<state::CatalogueState, codec::CodecError> {
        codec::decode_body(&self.body)
    }
}

/// Versions in force in a subtree of the relay tree.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubtreeReport {
    /// A version that every node of the subtree has reached: this one or a later one is in force.
    pub floor: ids::CatalogueVersion,
    /// Short digests of the names of the subtree's nodes, combined by exclusive or.
    pub fingerprint: membership::ShortDigest,
    /// Short digests of the names of the subtree's nodes. Sent only when they have changed or on
    /// request.
    pub roster: Option<Vec<membership::ShortDigest>>,
}

/// Report of a node to its parent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChildReport {
    /// Version in force at the node itself.
    pub held: membership::VersionSummary,
    /// Versions in force in the node's subtree, which includes the node.
    pub subtree: SubtreeReport,
}

/// Status of a parent, sent to its children.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ParentStatus {
    /// Version in force at the parent.
    pub held: membership::VersionSummary,
    /// Path from a control down to the parent, as digests of the processes' names truncated to four
    /// bytes; empty while the parent has no path to a control.
    pub path: Vec<u32>,
    /// Whether the child should send its roster.
    pub wants_roster: bool,
}

/// Request for the changes after a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionPull {
    /// Version in force at the sender.
    pub version: ids::CatalogueVersion,
    /// Whether the sender needs a snapshot instead of a delta.
    pub wants_snapshot: bool,
}

/// Source of a [`FloorAnswer`], which determines how far it can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FloorAnswerSource {
    /// A control whose state a majority of the control group has just confirmed.
    Majority,
    /// A control without confirmation by a majority.
    Control,
    /// A node that has a version in force.
    Peer,
    /// A node that is itself still asking for the latest version.
    Asking,
}

/// Latest version known to a process, sent in reply to [`DisseminationMessage::FloorQuestion`]. The
/// receiver derives its version floor from the answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorAnswer {
    /// Latest version known.
    pub version: ids::CatalogueVersion,
    /// Source of the answer.
    pub proof: FloorAnswerSource,
}

/// Messages of dissemination.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DisseminationMessage {
    /// Keepalive of a child to its parent. The first one requests a place in the tree.
    Keepalive(ChildReport),
    /// Report of a child that its subtree has a new version in force.
    Ack(ChildReport),
    /// Reply of a parent to a keepalive.
    Parent(ParentStatus),
    /// Reply to a keepalive if the receiver accepts no more children. Lists addresses of possible
    /// parents.
    Redirect(Vec<SocketAddr>),
    /// Changes after the receiver's version.
    Delta(delta::CatalogueDelta),
    /// A complete catalogue.
    Snapshot(PackedCatalogue),
    /// Request for a delta or a snapshot.
    Pull(VersionPull),
    /// Query of a process without durable state, which needs its version floor: the lowest version
    /// that it may accept.
    FloorQuestion,
    /// Reply to [`DisseminationMessage::FloorQuestion`].
    FloorAnswer(FloorAnswer),
    /// Versions in force at the nodes below one control, sent to the other controls.
    Tally(SubtreeReport),
    /// Request for a tally with roster, since the roster known to the sender does not match the
    /// fingerprint of the last tally.
    RosterWanted,
}
