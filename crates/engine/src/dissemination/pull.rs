//! Pulls a version from a process that advertises it by gossip, if the parent does not deliver it
//! in time.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::{dissemination as wire, membership as wire_membership};

use crate::{dissemination, event, reducer, settings};

/// Time to wait for an answer before another request is sent.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// The same while this process holds no version and cannot serve.
const INITIAL_PULL_TIMEOUT: Duration = Duration::from_millis(250);

/// The latest version advertised by another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AdvertisedVersion {
    holder: SocketAddr,
    version: ids::CatalogueVersion,
    first_seen_at: time::MonotonicTime,
}

/// The advertised version and the outstanding request.
#[derive(Debug, Clone, Default)]
pub struct PullState {
    advertised: Option<AdvertisedVersion>,
    requested_at: Option<time::MonotonicTime>,
    /// Latest version that another process has advertised.
    latest_known: ids::CatalogueVersion,
    /// Since when it has been later than the local one.
    behind_since: Option<time::MonotonicTime>,
}

/// Records the version that another process advertises. Keeps the latest version, and the time
/// since which a newer one than the local version has been known.
pub fn observe(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    held: wire_membership::VersionSummary,
) {
    if state.settings.identity.is_control || held.version <= state.dissemination.version() {
        return;
    }
    let now = state.now;
    let pull_state = &mut state.dissemination.pull;
    pull_state.latest_known = pull_state.latest_known.max(held.version);
    pull_state.behind_since.get_or_insert(now);
    let advertised = state.dissemination.pull.advertised;
    let known = advertised.filter(|advertised| advertised.version > state.dissemination.version());
    if known.is_some_and(|known| known.version > held.version) {
        return;
    }
    state.dissemination.pull.advertised = Some(AdvertisedVersion {
        holder: from.address,
        version: held.version,
        first_seen_at: known.map_or(state.now, |known| known.first_seen_at),
    });
}

/// Requests the advertised version once the parent's grace period is over.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let held = state.dissemination.version();
    let pull_state = &mut state.dissemination.pull;
    let Some(advertised) = pull_state
        .advertised
        .filter(|advertised| advertised.version > held)
    else {
        pull_state.advertised = None;
        return;
    };
    let grace = if state.dissemination.parent.is_adopted {
        settings::millis(state.settings.tunables.dissemination.pull_grace_ms)
    } else {
        Duration::ZERO
    };
    let timeout = if held == ids::CatalogueVersion::default() {
        INITIAL_PULL_TIMEOUT
    } else {
        PULL_TIMEOUT
    };
    let is_pending = |requested_at: time::MonotonicTime| state.now.since(requested_at) < timeout;
    if state.now.since(advertised.first_seen_at) < grace
        || pull_state.requested_at.is_some_and(is_pending)
    {
        return;
    }
    pull_state.advertised = None;
    pull_state.requested_at = Some(state.now);
    let pull = wire::VersionPull {
        version: held,
        wants_snapshot: false,
    };
    dissemination::send(
        output,
        advertised.holder,
        wire::DisseminationMessage::Pull(pull),
    );
}

/// Returns whether a later version than the local one is known.
pub fn is_behind(state: &reducer::EngineState) -> bool {
    state.dissemination.pull.latest_known > state.dissemination.version()
}

/// Returns for how long a later version than the one held so far has been known, and begins anew if
/// the version just taken is not the latest known either.
pub fn take_lag(state: &mut reducer::EngineState) -> Option<Duration> {
    let since = state.dissemination.pull.behind_since.take();
    if is_behind(state) {
        state.dissemination.pull.behind_since = Some(state.now);
    }
    Some(state.now.since(since?))
}

/// Clears the outstanding request after a version was accepted.
pub fn clear_request(state: &mut reducer::EngineState) {
    state.dissemination.pull.requested_at = None;
}
