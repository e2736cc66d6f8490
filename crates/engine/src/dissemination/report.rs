//! Reports of versions in force. They are aggregated along the tree, so that a control receives one
//! report per child, whatever the size of the fleet.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use hazeltiller_wire::{dissemination as wire, membership as wire_membership};

use crate::{
    dissemination::{self, child},
    event, reducer, settings,
};

/// Keepalive periods after which a subtree that does not advance is left out of the report.
const MAX_LAG_KEEPALIVES: u32 = 2;

/// The last report sent to a parent.
#[derive(Debug, Clone, Default)]
pub struct SentReport {
    floor: ids::CatalogueVersion,
    fingerprint: Option<(SocketAddr, wire_membership::ShortDigest)>,
}

impl SentReport {
    /// Includes the roster in the next report.
    pub fn request_roster(&mut self) {
        self.fingerprint = None;
        self.floor = ids::CatalogueVersion::default();
    }
}

/// Returns the children whose subtrees are included in reports. Excludes those that lag for too
/// long or have not caught up since they were adopted.
fn responsive_children(state: &reducer::EngineState) -> impl Iterator<Item = &child::ChildRecord> {
    let keepalive = settings::millis(state.settings.tunables.dissemination.keepalive_ms);
    let longest_lag = keepalive * MAX_LAG_KEEPALIVES;
    let is_responsive = move |child: &&child::ChildRecord| {
        let lagging_since = child.lagging_since;
        lagging_since.is_none_or(|since| state.now.since(since) <= longest_lag && since.0 > 0)
    };
    state.dissemination.children.values().filter(is_responsive)
}

/// Returns the report for the subtree rooted at this process, without the roster.
pub fn subtree(state: &reducer::EngineState) -> wire::SubtreeReport {
    let own = state.dissemination.version();
    let floors = responsive_children(state).map(|child| child.subtree_floor);
    let mut fingerprint = wire_membership::ShortDigest::default();
    if state.settings.identity.is_node {
        fingerprint ^= child::name_digest(&state.settings.identity.instance);
    }
    for child in responsive_children(state) {
        fingerprint ^= child.fingerprint;
    }
    wire::SubtreeReport {
        floor: floors.fold(own, ids::CatalogueVersion::min),
        fingerprint,
        roster: None,
    }
}

/// Returns the exclusive or of name digests.
pub fn fingerprint<'a>(
    roster: impl IntoIterator<Item = &'a wire_membership::ShortDigest>,
) -> wire_membership::ShortDigest {
    let mut fingerprint = wire_membership::ShortDigest::default();
    for name in roster {
        fingerprint ^= *name;
    }
    fingerprint
}

/// Returns the name digests of the nodes in the subtree.
pub fn roster(state: &reducer::EngineState) -> Vec<wire_membership::ShortDigest> {
    let identity = &state.settings.identity;
    let own = identity
        .is_node
        .then(|| child::name_digest(&identity.instance));
    let below = responsive_children(state).flat_map(|child| child.roster.iter().copied());
    own.into_iter().chain(below).collect()
}

/// Builds the report for a parent. It carries the roster only if the roster or the parent changed.
pub fn build(state: &mut reducer::EngineState, to: SocketAddr) -> wire::ChildReport {
    let mut subtree = subtree(state);
    let fingerprint = Some((to, subtree.fingerprint));
    if state.dissemination.last_report.fingerprint != fingerprint {
        subtree.roster = Some(roster(state));
    }
    state.dissemination.last_report = SentReport {
        floor: subtree.floor,
        fingerprint,
    };
    wire::ChildReport {
        held: dissemination::version_summary(state),
        subtree,
    }
}

/// Reports to the parent at once if the whole subtree has reached a later version. On a control,
/// updates the convergence instead.
pub fn send_progress(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    if state.settings.identity.is_control {
        return dissemination::convergence::mark_converged(state);
    }
    let parent = &state.dissemination.parent;
    let Some(to) = parent.address.filter(|_| parent.is_adopted) else {
        return;
    };
    if subtree(state).floor > state.dissemination.last_report.floor {
        let report = build(state, to);
        dissemination::send(output, to, wire::DisseminationMessage::Ack(report));
    }
}
