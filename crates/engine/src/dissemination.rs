//! Distributes the catalogue from the control group to every node, and holds the version in force
//! on this process.
//!
//! Nodes form a relay tree below the controls. Each change travels down the tree once, and reports
//! of the versions in force are aggregated on the way back up. Independently of the tree, gossip
//! advertises the version of every process, so that a node whose parent is silent or stale can pull
//! missing versions from another process. A new version is built separately, verified against its
//! digest and then swapped in whole; an older version is never accepted.

pub mod child;
pub mod convergence;
pub mod floor;
pub mod parent;
pub mod pull;
pub mod report;
pub mod version;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hazeltiller_catalogue::{delta, state as catalogue_state};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::{dissemination as wire, membership as wire_membership, message};
use indexmap::IndexMap;

use crate::{event, reducer, settings};

/// A version that the control group has just committed.
#[derive(Debug, Clone, PartialEq)]
pub struct CommittedVersion {
    /// The complete state at this version.
    pub state: catalogue_state::CatalogueState,
    /// The change that produced it from the previous version.
    pub step: delta::DeltaStep,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// Id of the change.
    pub change: ids::ChangeId,
}

/// How a version came to this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionOrigin {
    /// This control committed the change that made it.
    Log {
        /// Id of the change.
        change: ids::ChangeId,
        /// Time of acceptance, in milliseconds since the Unix epoch.
        accepted_at_ms: u64,
    },
    /// From a snapshot of the replicated log.
    LogSnapshot,
    /// From another process.
    Peer {
        /// Instance that sent it.
        from: ids::InstanceName,
        /// Whether that is the parent in the relay tree.
        is_parent: bool,
    },
}

/// Input events of dissemination.
#[derive(Debug, Clone, PartialEq)]
pub enum DisseminationEvent {
    /// The log of this control committed a version.
    Committed(CommittedVersion),
    /// The log of this control installed a snapshot that covers changes it did not receive
    /// individually.
    Restored(catalogue_state::CatalogueState),
}

/// Effects of dissemination, to be run by the caller of the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum DisseminationEffect {
    /// A new version is in force on this process.
    InForce {
        /// The catalogue now in force.
        state: Arc<catalogue_state::CatalogueState>,
        /// How it came to this process.
        origin: VersionOrigin,
        /// Time since another process first advertised a later version than the one held.
        behind: Option<Duration>,
    },
    /// A delta or snapshot did not match its digest or failed validation. After an invalid delta, a
    /// snapshot is requested from its sender.
    InvalidUpdate {
        /// The process that sent the update.
        from: ids::InstanceName,
        /// The version in force on this process when the update arrived.
        held: ids::CatalogueVersion,
    },
    /// This node left its parent in the relay tree.
    ParentLost {
        /// Peer address of the former parent.
        address: SocketAddr,
        /// Why the parent was left.
        reason: parent::LeaveReason,
    },
}

/// State of dissemination on one process.
#[derive(Debug, Clone, Default)]
pub struct DisseminationState {
    /// The catalogue in force.
    pub in_force: Arc<catalogue_state::CatalogueState>,
    /// Lowest version that may be accepted, once it is known.
    pub floor: floor::FloorState,
    /// Children that receive versions from this process, by peer address.
    pub children: IndexMap<SocketAddr, child::ChildRecord>,
    /// The parent that this process receives versions from.
    pub parent: parent::ParentState,
    /// Records when each accepted version was in force on all nodes.
    pub convergence: convergence::ConvergenceState,
    history: version::VersionHistory,
    pull: pull::PullState,
    last_report: report::SentReport,
    /// Receivers of snapshots that are not yet acknowledged, with the time of sending.
    snapshots_in_flight: Vec<(SocketAddr, time::MonotonicTime)>,
    /// Cached encoding of the version in force, with its digest.
    packed: Option<(ids::StateDigest, wire::PackedCatalogue)>,
}

impl DisseminationState {
    /// Creates the state of a process that holds no catalogue yet.
    pub fn new(settings: &settings::EngineSettings) -> Self {
        let floor = if settings.identity.is_control {
            floor::FloorState::with_durable_state()
        } else {
            floor::FloorState::default()
        };
        Self {
            floor,
            ..Self::default()
        }
    }

    /// Returns the version in force, packed for sending. The encoding is reused until the version
    /// changes.
    fn packed(&mut self) -> wire::PackedCatalogue {
        let digest = self.in_force.digest;
        match &self.packed {
            Some((cached, packed)) if *cached == digest => packed.clone(),
            _ => {
                let packed = wire::PackedCatalogue::pack(&self.in_force);
                self.packed = Some((digest, packed.clone()));
                packed
            }
        }
    }

    /// Returns the number of the version in force.
    pub fn version(&self) -> ids::CatalogueVersion {
        self.in_force.version
    }
}

/// Returns the version in force together with a short form of its digest.
pub fn version_summary(state: &reducer::EngineState) -> wire_membership::VersionSummary {
    let in_force = &state.dissemination.in_force;
    let digest = in_force.digest.0.first_chunk().expect("a digest is longer");
    wire_membership::VersionSummary {
        version: in_force.version,
        digest: (*digest).into(),
    }
}

/// Returns whether this process may serve: always true on a control, and on a node once the version
/// in force is at least the version floor. An empty catalogue counts if the floor shows that no
/// version exists yet.
pub fn is_ready(state: &reducer::EngineState) -> bool {
    state.settings.identity.is_control || state.dissemination.floor.is_met(state)
}

/// Records the version that another process advertises by gossip.
pub fn observe_version(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    held: wire_membership::VersionSummary,
) {
    pull::observe(state, from, held);
}

/// Handles the loss of a link to a peer, which may be the parent.
pub fn link_lost(
    state: &mut reducer::EngineState,
    address: SocketAddr,
    output: &mut event::ReducerOutput,
) {
    parent::link_lost(state, address, output);
}

/// Advances timers.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    child::tick(state, output);
    if state.settings.identity.is_control {
        convergence::tick(state, output);
        floor::answer_pending(state, output);
        return;
    }
    floor::tick(state, output);
    if state.dissemination.floor.is_known() {
        parent::tick(state, output);
        pull::tick(state, output);
    }
}

/// Handles a message from a parent, a child or another process.
pub fn receive(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    message: wire::DisseminationMessage,
    output: &mut event::ReducerOutput,
) {
    match message {
        wire::DisseminationMessage::Keepalive(report) => {
            child::handle_keepalive(state, from, report, output);
        }
        wire::DisseminationMessage::Ack(report) => child::handle_ack(state, from, report, output),
        wire::DisseminationMessage::Parent(status) => parent::update(state, from, status, output),
        wire::DisseminationMessage::Redirect(addresses) => {
            parent::handle_redirect(state, from, addresses);
        }
        wire::DisseminationMessage::Delta(delta) => version::on_delta(state, from, delta, output),
        wire::DisseminationMessage::Snapshot(snapshot) => {
            version::on_snapshot(state, from, &snapshot, output);
        }
        wire::DisseminationMessage::Pull(pull) => child::handle_pull(state, from, pull, output),
        wire::DisseminationMessage::FloorQuestion => floor::handle_query(state, from, output),
        wire::DisseminationMessage::FloorAnswer(answer) => {
            floor::handle_answer(state, from, answer);
        }
        wire::DisseminationMessage::Tally(report) => {
            convergence::handle_control_report(state, from, report, output);
        }
        wire::DisseminationMessage::RosterWanted => convergence::resend_roster(state),
    }
}

/// Handles an input event.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: DisseminationEvent,
    output: &mut event::ReducerOutput,
) {
    match event {
        DisseminationEvent::Restored(restored) => version::apply_restored(state, restored, output),
        DisseminationEvent::Committed(committed) => {
            convergence::record_accepted(state, &committed);
            version::apply_committed(state, committed, output);
        }
    }
}

fn send(output: &mut event::ReducerOutput, to: SocketAddr, message: wire::DisseminationMessage) {
    output.send(to, message::PeerMessage::Dissemination(message));
}
