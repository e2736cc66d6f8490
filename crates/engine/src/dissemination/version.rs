//! Taking a version: whole, proven, never older; and the history that others catch up by.

use std::{collections::VecDeque, sync::Arc};

use hazeltiller_catalogue::{check, delta, state as catalogue_state};
use hazeltiller_units::ids;
use hazeltiller_wire::{codec, dissemination as wire, membership as wire_membership};

use crate::{dissemination, event, reducer};

/// Encoded steps that the history holds at most, in bytes.
const HISTORY_BYTES: usize = 1 << 20;
/// Steps that a delta holds at most: taking one costs a check of the whole catalogue.
const LONGEST_DELTA: usize = 64;
/// Steps from which on the sizes of delta and snapshot are weighed.
const WEIGHED_FROM: usize = 4;

/// The last changes, in order; the last one led to the version in force.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    steps: VecDeque<delta::DeltaStep>,
    sizes: VecDeque<usize>,
    weighed: Option<(ids::CatalogueVersion, usize)>,
}

impl VersionHistory {
    fn clear(&mut self) {
        self.steps.clear();
        self.sizes.clear();
    }

    /// Adds steps and drops the oldest that are over the limits.
    fn extend(&mut self, steps: Vec<delta::DeltaStep>, most_steps: usize) {
        for step in steps {
            self.sizes.push_back(codec::encoded_size(&step));
            self.steps.push_back(step);
        }
        let mut bytes: usize = self.sizes.iter().sum();
        while self.steps.len() > most_steps || bytes > HISTORY_BYTES {
            self.steps.pop_front();
            let Some(size) = self.sizes.pop_front() else {
                return;
            };
            bytes -= size;
        }
    }
}

/// What brings a receiver up to date.
#[derive(Debug, Clone, PartialEq)]
pub enum CatchUp {
    /// The changes that it misses.
    Delta(delta::CatalogueDelta),
    /// Everything.
    Snapshot,
}

/// What brings a receiver from a version to the one in force: the changes if they are known and
/// shorter than the whole.
pub fn catch_up(state: &mut reducer::EngineState, from: ids::CatalogueVersion) -> CatchUp {
    let dissemination = &mut state.dissemination;
    let missing = (dissemination.in_force.version.0 - from.0) as usize;
    let history = &mut dissemination.history;
    if missing > history.steps.len() || missing > LONGEST_DELTA {
        return CatchUp::Snapshot;
    }
    let first = history.steps.len() - missing;
    let delta = delta::CatalogueDelta {
        base: from,
        steps: history.steps.range(first..).cloned().collect(),
        digest: dissemination.in_force.digest,
    };
    if missing >= WEIGHED_FROM {
        let size = match history.weighed {
            Some((version, size)) if version == dissemination.in_force.version => size,
            _ => codec::encode_body(dissemination.in_force.as_ref()).len(),
        };
        history.weighed = Some((dissemination.in_force.version, size));
        if codec::encode_body(&delta).len() > size {
            return CatchUp::Snapshot;
        }
    }
    CatchUp::Delta(delta)
}

/// Takes a version that this control's log has committed.
pub fn take_committed(
    state: &mut reducer::EngineState,
    committed: dissemination::CommittedVersion,
    output: &mut event::ReducerOutput,
) {
    let is_next = committed.state.version == state.dissemination.version().next();
    let steps = is_next.then(|| vec![committed.step]);
    put_in_force(state, committed.state, steps, output);
}

/// Takes a version that this control's log came to without the changes that led to it.
pub fn take_restored(
    state: &mut reducer::EngineState,
    restored: catalogue_state::CatalogueState,
    output: &mut event::ReducerOutput,
) {
    put_in_force(state, restored, None, output);
}

/// Takes a delta. One that crossed another and begins too early is shortened; one that begins too
/// late, or leads elsewhere than promised, is replaced by asking its sender again.
pub fn take_delta(
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
        return ask_again(state, from, false, output);
    }
    delta.steps.drain(..(held.0 - delta.base.0) as usize);
    delta.base = held;
    match delta.apply(&state.dissemination.in_force) {
        Ok(reached) => put_in_force(state, reached, Some(delta.steps), output),
        Err(_unsound) => {
            report_unsound(state, from, output);
            ask_again(state, from, true, output);
        }
    }
}

/// Takes a whole catalogue.
pub fn take_snapshot(
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
                && snapshot.is_sound()
                && check::check_entries(&snapshot.entries).is_empty() =>
        {
            put_in_force(state, snapshot, None, output);
        }
        _ => report_unsound(state, from, output),
    }
}

fn report_unsound(
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

fn ask_again(
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

/// Swaps a whole version in, unless it is not newer than the one in force or below the floor, and
/// passes it on. Without the steps that led to it the history begins anew.
fn put_in_force(
    state: &mut reducer::EngineState,
    reached: catalogue_state::CatalogueState,
    steps: Option<Vec<delta::DeltaStep>>,
    output: &mut event::ReducerOutput,
) {
    let is_newer = reached.version > state.dissemination.version();
    if !is_newer || !state.dissemination.floor.allows(reached.version) {
        return;
    }
    let longest = state.settings.tunables.dissemination.history_steps as usize;
    let history = &mut state.dissemination.history;
    match steps {
        Some(steps) => history.extend(steps, longest),
        None => history.clear(),
    }
    state.dissemination.in_force = Arc::new(reached);
    let effect = dissemination::DisseminationEffect::InForce {
        state: Arc::clone(&state.dissemination.in_force),
    };
    output.effects.push(event::Effect::Dissemination(effect));
    dissemination::pull::answered(state);
    dissemination::feed::feed_all(state, output);
    dissemination::report::reached(state, output);
}
