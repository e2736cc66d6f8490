//! The catalogue's way from the control group to every node, and the version in force here.
//!
//! Nodes form a relay tree below the controls; each change goes down it once, reports of what is
//! in force add up on the way back. Beside the tree, gossip tells everybody's version, so that a
//! node whose parent is silent or stale takes the missing part from another. A version is built
//! aside, proven by its digest and then swapped in whole; an older one is never taken.

pub mod convergence;
pub mod feed;
pub mod floor;
pub mod parent;
pub mod pull;
pub mod report;
pub mod version;

use std::{net::SocketAddr, sync::Arc};

use hazeltiller_catalogue::{delta, state as catalogue_state};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::{dissemination as wire, membership as wire_membership, message};
use indexmap::IndexMap;

use crate::{event, reducer, settings};

/// A version that the control group has just accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct CommittedVersion {
    /// The whole state.
    pub state: catalogue_state::CatalogueState,
    /// The step that led to it.
    pub step: delta::DeltaStep,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_at_ms: u64,
}

/// Events of dissemination.
#[derive(Debug, Clone, PartialEq)]
pub enum DisseminationEvent {
    /// The log of this control has committed a version.
    Committed(CommittedVersion),
    /// The log of this control took a snapshot over changes that it never saw.
    Restored(catalogue_state::CatalogueState),
}

/// Effects of dissemination.
#[derive(Debug, Clone, PartialEq)]
pub enum DisseminationEffect {
    /// A version is in force here from now on.
    InForce {
        /// What is in force.
        state: Arc<catalogue_state::CatalogueState>,
    },
    /// A delta or snapshot was not what its digest promises; a snapshot is asked for.
    InvalidUpdate {
        /// Who sent it.
        from: ids::InstanceName,
        /// Version in force here.
        held: ids::CatalogueVersion,
    },
    /// The parent in the relay tree was left.
    ParentLost {
        /// Its peers address.
        address: SocketAddr,
        /// Why.
        reason: parent::LeaveReason,
    },
}

/// State of dissemination.
#[derive(Debug, Clone, Default)]
pub struct DisseminationState {
    /// The catalogue in force.
    pub in_force: Arc<catalogue_state::CatalogueState>,
    /// Least version that may be taken, once it is known.
    pub floor: floor::FloorState,
    /// Who gets versions from here.
    pub children: IndexMap<SocketAddr, feed::FedChild>,
    /// Where versions come from.
    pub parent: parent::ParentState,
    /// When accepted versions were in force everywhere.
    pub convergence: convergence::ConvergenceState,
    history: version::VersionHistory,
    pulls: pull::PullState,
    reported: report::SentReport,
    snapshots: Vec<(SocketAddr, time::MonotonicTime)>,
    /// The version in force as it was last sent whole.
    packed: Option<(ids::StateDigest, wire::PackedCatalogue)>,
}

impl DisseminationState {
    /// The state of a process that holds nothing yet.
    pub fn new(settings: &settings::EngineSettings) -> Self {
        let floor = if settings.identity.is_control {
            floor::FloorState::with_memory()
        } else {
            floor::FloorState::default()
        };
        Self {
            floor,
            ..Self::default()
        }
    }

    /// The version in force, packed for sending.
    fn packed(&mut self) -> wire::PackedCatalogue {
        let digest = self.in_force.digest;
        match &self.packed {
            Some((known, packed)) if *known == digest => packed.clone(),
            _ => {
                let packed = wire::PackedCatalogue::pack(&self.in_force);
                self.packed = Some((digest, packed.clone()));
                packed
            }
        }
    }

    /// The version in force.
    pub fn version(&self) -> ids::CatalogueVersion {
        self.in_force.version
    }
}

/// What is in force here, in short.
pub fn short_mark(state: &reducer::EngineState) -> wire_membership::ShortMark {
    let in_force = &state.dissemination.in_force;
    let digest = in_force.digest.0.first_chunk().expect("a digest is longer");
    wire_membership::ShortMark {
        version: in_force.version,
        digest: (*digest).into(),
    }
}

/// Whether a version is in force, or it is proven that there is none yet.
pub fn is_ready(state: &reducer::EngineState) -> bool {
    state.settings.identity.is_control || state.dissemination.floor.is_met(state)
}

/// Notes what another process has in force.
pub fn notice(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    held: wire_membership::ShortMark,
) {
    pull::notice(state, from, held);
}

/// Notes that a link broke.
pub fn link_lost(
    state: &mut reducer::EngineState,
    address: SocketAddr,
    output: &mut event::ReducerOutput,
) {
    parent::link_lost(state, address, output);
}

/// Takes the passing of time.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    feed::tick(state, output);
    if state.settings.identity.is_control {
        convergence::tick(state, output);
        floor::answer_unproven(state, output);
        return;
    }
    floor::tick(state, output);
    if state.dissemination.floor.is_known() {
        parent::tick(state, output);
        pull::tick(state, output);
    }
}

/// Takes a message of a parent, a child or another node.
pub fn receive(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    message: wire::DisseminationMessage,
    output: &mut event::ReducerOutput,
) {
    match message {
        wire::DisseminationMessage::Keepalive(report) => {
            feed::take_keepalive(state, from, report, output);
        }
        wire::DisseminationMessage::Ack(report) => feed::take_ack(state, from, report, output),
        wire::DisseminationMessage::Parent(mark) => parent::take_mark(state, from, mark, output),
        wire::DisseminationMessage::Redirect(addresses) => {
            parent::take_redirect(state, from, addresses);
        }
        wire::DisseminationMessage::Delta(delta) => version::take_delta(state, from, delta, output),
        wire::DisseminationMessage::Snapshot(snapshot) => {
            version::take_snapshot(state, from, &snapshot, output);
        }
        wire::DisseminationMessage::Pull(pull) => feed::take_pull(state, from, pull, output),
        wire::DisseminationMessage::FloorQuestion => floor::answer(state, from, output),
        wire::DisseminationMessage::FloorAnswer(answer) => {
            floor::take_answer(state, from, answer);
        }
        wire::DisseminationMessage::Tally(report) => {
            convergence::take_tally(state, from, report, output);
        }
        wire::DisseminationMessage::RosterWanted => convergence::repeat_tally(state),
    }
}

/// Takes an event of dissemination.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: DisseminationEvent,
    output: &mut event::ReducerOutput,
) {
    match event {
        DisseminationEvent::Restored(restored) => version::take_restored(state, restored, output),
        DisseminationEvent::Committed(committed) => {
            convergence::accepted(state, &committed);
            version::take_committed(state, committed, output);
        }
    }
}

fn send(output: &mut event::ReducerOutput, to: SocketAddr, message: wire::DisseminationMessage) {
    output.send(to, message::PeerMessage::Dissemination(message));
}
