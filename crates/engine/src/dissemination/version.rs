//! Accepts new versions, whole, verified and never older than the current one, and keeps the
//! history from which other processes catch up.

use std::{collections::VecDeque, sync::Arc};

use hazeltiller_catalogue::{check, delta, state as catalogue_state};
use hazeltiller_units::ids;
use hazeltiller_wire::{codec, dissemination as wire, membership as wire_membership};

use crate::{dissemination, event, membership::gossip, reducer};

/// Maximum size of the history, in bytes of encoded steps.
const MAX_HISTORY_BYTES: usize = 1 << 20;
/// Maximum number of steps in a delta. Applying a delta costs one validation of the whole catalogue
/// per step.
const MAX_DELTA_STEPS: usize = 64;
/// Number of steps from which the encoded sizes of delta and snapshot are compared.
const MIN_COMPARED_STEPS: usize = 4;

/// The most recent changes in order; the last one produced the version in force.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    steps: VecDeque<delta::DeltaStep>,
    /// Encoded size of each step, in bytes.
    sizes: VecDeque<usize>,
    /// Encoded size of the whole catalogue at a version, in bytes.
    snapshot_size: Option<(ids::CatalogueVersion, usize)>,
}

impl VersionHistory {
    fn clear(&mut self) {
        self.steps.clear();
        self.sizes.clear();
    }

    /// Appends steps and drops the oldest ones beyond the limits.
    fn extend(&mut self, steps: Vec<delta::DeltaStep>, max_steps: usize) {
        for step in steps {
            self.sizes.push_back(codec::encoded_size(&step));
            self.steps.push_back(step);
        }
        let mut bytes: usize = self.sizes.iter().sum();
        while self.steps.len() > max_steps || bytes > MAX_HISTORY_BYTES {
            self.steps.pop_front();
            let Some(size) = self.sizes.pop_front() else {
                return;
            };
            bytes -= size;
        }
    }
}

/// An update that brings a receiver to the version in force.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogueUpdate {
    /// The missing changes.
    Delta(delta::CatalogueDelta),
    /// The whole catalogue.
    Snapshot,
}

/// Chooses how to bring a receiver from a version to the one in force: a delta if the missing
/// changes are in the history and smaller than a snapshot, else a snapshot.
pub fn catch_up(state: &mut reducer::EngineState, from: ids::CatalogueVersion) -> CatalogueUpdate {
    let dissemination = &mut state.dissemination;
    let missing = (dissemination.in_force.version.0 - from.0) as usize;
    let history = &mut dissemination.history;
    if missing > history.steps.len() || missing > MAX_DELTA_STEPS {
        return CatalogueUpdate::Snapshot;
    }
    let first = history.steps.len() - missing;
    let delta = delta::CatalogueDelta {
        base: from,
        steps: history.steps.range(first..).cloned().collect(),
        digest: dissemination.in_force.digest,
    };
    if missing >= MIN_COMPARED_STEPS {
        let size = match history.snapshot_size {
            Some((version, size)) if version == dissemination.in_force.version => size,
            _ => codec::encode_body(dissemination.in_force.as_ref()).len(),
        };
        history.snapshot_size = Some((dissemination.in_force.version, size));
        if codec::encode_body(&delta).len() > size {
            return CatalogueUpdate::Snapshot;
        }
    }
    CatalogueUpdate::Delta(delta)
}

/// Accepts a version that this control's log has committed.
pub fn apply_committed(
    state: &mut reducer::EngineState,
    committed: dissemination::CommittedVersion,
    output: &mut event::ReducerOutput,
) {
    let is_next = committed.state.version == state.dissemination.version().next();
    let steps = is_next.then(|| vec![committed.step]);
    let origin = dissemination::VersionOrigin::Log {
        change: committed.change,
        accepted_at_ms: committed.accepted_at_ms,
    };
    activate(state, committed.state, steps, origin, output);
}

/// Accepts a version that this control's log reached without the individual changes, by a snapshot.
pub fn apply_restored(
    state: &mut reducer::EngineState,
    restored: catalogue_state::CatalogueState,
    output: &mut event::ReducerOutput,
) {
    let origin = dissemination::VersionOrigin::LogSnapshot;
    activate(state, restored, None, origin, output);
}

/// Handles a delta. Steps already applied are skipped, since deltas may cross on the way. If the
/// base is ahead of the version in force, the sender is asked for the gap; if the result does not
/// match its digest, for a snapshot.
pub fn on_delta(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    mut delta: delta::CatalogueDelta,
    output: &mut event::ReducerOutput,
) {
    if state.settings.identity.is_control || !state.dissemination.floor.is_known() {
        return;
    }
    let held = state.dissemination.version();
    let end = delta.base.0.saturating_add(delta.steps.len() as u64);
    if end <= held.0 {
        return;
    }
    if delta.base > held {
        return request_update(state, from, false, output);
    }
    delta.steps.drain(..(held.0 - delta.base.0) as usize);
    delta.base = held;
    match delta.apply(&state.dissemination.in_force) {
        Ok(updated) => {
            let origin = peer_origin(state, from);
            activate(state, updated, Some(delta.steps), origin, output);
        }
        Err(_invalid) => {
            report_invalid(state, from, output);
            request_update(state, from, true, output);
        }
    }
}

/// Handles a snapshot.
pub fn on_snapshot(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    packed: &wire::PackedCatalogue,
    output: &mut event::ReducerOutput,
) {
    if state.settings.identity.is_control || !state.dissemination.floor.is_known() {
        return;
    }
    if packed.version <= state.dissemination.version() {
        return;
    }
    match packed.unpack() {
        Ok(snapshot)
            if snapshot.version == packed.version
                && snapshot.has_valid_digest()
                && check::check_entries(&snapshot.entries).is_empty() =>
        {
            let origin = peer_origin(state, from);
            activate(state, snapshot, None, origin, output);
        }
        _ => report_invalid(state, from, output),
    }
}

fn peer_origin(
    state: &reducer::EngineState,
    from: &wire_membership::PeerIdentity,
) -> dissemination::VersionOrigin {
    dissemination::VersionOrigin::Peer {
        from: from.instance.clone(),
        is_parent: state.dissemination.parent.address == Some(from.address),
    }
}

fn report_invalid(
    state: &reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    output: &mut event::ReducerOutput,
) {
    let effect = dissemination::DisseminationEffect::InvalidUpdate {
        from: from.instance.clone(),
        held: state.dissemination.version(),
    };
    output.effects.push(event::Effect::Dissemination(effect));
}

fn request_update(
    state: &reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    wants_snapshot: bool,
    output: &mut event::ReducerOutput,
) {
    let pull = wire::VersionPull {
        version: state.dissemination.version(),
        wants_snapshot,
    };
    let message = wire::DisseminationMessage::Pull(pull);
    dissemination::send(output, from.address, message);
}

/// Puts a version in force, unless it is not newer than the current one or is below the version
/// floor, and passes it on. Without the steps that led to it, the history is cleared.
fn activate(
    state: &mut reducer::EngineState,
    updated: catalogue_state::CatalogueState,
    steps: Option<Vec<delta::DeltaStep>>,
    origin: dissemination::VersionOrigin,
    output: &mut event::ReducerOutput,
) {
    let is_newer = updated.version > state.dissemination.version();
    if !is_newer || !state.dissemination.floor.allows(updated.version) {
        return;
    }
    let history_limit = state.settings.tunables.dissemination.history_steps as usize;
    let history = &mut state.dissemination.history;
    match steps {
        Some(steps) => history.extend(steps, history_limit),
        None => history.clear(),
    }
    state.dissemination.in_force = Arc::new(updated);
    let is_bypassed = matches!(
        origin,
        dissemination::VersionOrigin::Peer {
            is_parent: false,
            ..
        }
    );
    let effect = dissemination::DisseminationEffect::InForce {
        state: Arc::clone(&state.dissemination.in_force),
        origin,
        behind: dissemination::pull::take_lag(state),
    };
    output.effects.push(event::Effect::Dissemination(effect));
    dissemination::pull::clear_request(state);
    dissemination::child::update_all(state, output);
    dissemination::report::send_progress(state, output);
    // The neighbours of a node that its parent did not update may have a stale parent as well, and
    // would hear of the version only by one probe after the other.
    gossip::announce_version(state, is_bypassed, output);
}
