//! Taking a version from a node that is known by gossip to have it, when the parent does not bring
//! it in time.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::{dissemination as wire, membership as wire_membership};

use crate::{dissemination, event, reducer, settings};

/// After this long another question is asked.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// The same while this process holds no version and serves nobody.
const FIRST_PULL_TIMEOUT: Duration = Duration::from_millis(250);

/// A later version that somebody has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct NoticedVersion {
    at: SocketAddr,
    version: ids::CatalogueVersion,
    since: time::MonotonicTime,
}

/// What is noticed and asked for.
#[derive(Debug, Clone, Default)]
pub struct PullState {
    noticed: Option<NoticedVersion>,
    asked: Option<time::MonotonicTime>,
}

/// Notes what another process has in force.
pub fn notice(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    held: wire_membership::ShortMark,
) {
    if state.settings.identity.is_control || held.version <= state.dissemination.version() {
        return;
    }
    let noticed = state.dissemination.pulls.noticed;
    let known = noticed.filter(|noticed| noticed.version > state.dissemination.version());
    if known.is_some_and(|known| known.version > held.version) {
        return;
    }
    state.dissemination.pulls.noticed = Some(NoticedVersion {
        at: from.address,
        version: held.version,
        since: known.map_or(state.now, |known| known.since),
    });
}

/// Takes the passing of time.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let held = state.dissemination.version();
    let pulls = &mut state.dissemination.pulls;
    let Some(noticed) = pulls.noticed.filter(|noticed| noticed.version > held) else {
        pulls.noticed = None;
        return;
    };
    let grace = if state.dissemination.parent.is_adopted {
        settings::millis(state.settings.tunables.dissemination.pull_grace_ms)
    } else {
        Duration::ZERO
    };
    let timeout = if held == ids::CatalogueVersion::default() {
        FIRST_PULL_TIMEOUT
    } else {
        PULL_TIMEOUT
    };
    let waits = |asked: time::MonotonicTime| state.now.since(asked) < timeout;
    if state.now.since(noticed.since) < grace || pulls.asked.is_some_and(waits) {
        return;
    }
    pulls.noticed = None;
    pulls.asked = Some(state.now);
    let pull = wire::VersionPull {
        version: held,
        wants_snapshot: false,
    };
    dissemination::send(output, noticed.at, wire::DisseminationMessage::Pull(pull));
}

/// Forgets the question that was answered.
pub fn answered(state: &mut reducer::EngineState) {
    state.dissemination.pulls.asked = None;
}
