//! When an accepted version was in force everywhere, and who is behind.
//!
//! A control adds up the reports of its children and of the other controls. A version counts as in
//! force everywhere only when the names in those reports are exactly the known nodes; a node that
//! is cut off or dead is in no report, so it is named as behind and never counted.

use std::collections::VecDeque;

use hazeltiller_units::{ids, time};
use hazeltiller_wire::{dissemination as wire, membership as wire_membership};
use indexmap::{IndexMap, IndexSet};

use crate::{
    dissemination::{self, feed, report},
    event,
    membership::{reach, table},
    reducer, settings,
};

/// Accepted versions that are remembered.
const KEPT_VERSIONS: usize = 4096;
/// Keepalives for which another control's report counts.
const TALLY_KEEPALIVES: u32 = 3;

/// An accepted version.
#[derive(Debug, Clone, PartialEq, Eq)]
struct AcceptedVersion {
    version: ids::CatalogueVersion,
    accepted_at_ms: u64,
    committed: time::MonotonicTime,
    everywhere: Option<time::MonotonicTime>,
}

/// Another control's report.
#[derive(Debug, Clone, PartialEq)]
struct TakenTally {
    floor: ids::CatalogueVersion,
    fingerprint: wire_membership::ShortDigest,
    roster: IndexSet<wire_membership::ShortDigest>,
    taken: time::MonotonicTime,
}

/// Accepted versions and the reports of other controls.
#[derive(Debug, Clone, Default)]
pub struct ConvergenceState {
    versions: VecDeque<AcceptedVersion>,
    tallies: IndexMap<ids::InstanceName, TakenTally>,
    told: time::MonotonicTime,
    told_tally: Option<(ids::CatalogueVersion, wire_membership::ShortDigest)>,
}

/// A node that does not have a version in force, as far as is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BehindNode {
    /// Its name.
    pub instance: ids::InstanceName,
    /// Its data centre.
    pub data_centre: ids::DataCentreName,
    /// Whether it can be reached.
    pub reachability: reach::Reachability,
}

/// What is known of a version's convergence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConvergenceView {
    /// The version.
    pub version: ids::CatalogueVersion,
    /// When it was accepted, in milliseconds since 1970; `None` when that was before this process
    /// started.
    pub accepted_at_ms: Option<u64>,
    /// Nodes that are known and have not left.
    pub nodes_known: usize,
    /// Nodes that have it or a later version in force.
    pub nodes_in_force: usize,
    /// When it was in force at all nodes known then, in milliseconds since 1970.
    pub in_force_everywhere_at_ms: Option<u64>,
    /// The other nodes.
    pub behind: Vec<BehindNode>,
}

/// Notes an accepted version.
pub fn accepted(state: &mut reducer::EngineState, committed: &dissemination::CommittedVersion) {
    let versions = &mut state.dissemination.convergence.versions;
    versions.push_back(AcceptedVersion {
        version: committed.state.version,
        accepted_at_ms: committed.accepted_at_ms,
        committed: state.now,
        everywhere: None,
    });
    if versions.len() > KEPT_VERSIONS {
        versions.pop_front();
    }
}

/// Takes another control's report.
pub fn take_tally(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    tally: wire::SubtreeReport,
    output: &mut event::ReducerOutput,
) {
    let tallies = &mut state.dissemination.convergence.tallies;
    let known = tallies.swap_remove(&from.instance);
    let roster: IndexSet<wire_membership::ShortDigest> = match tally.roster {
        Some(roster) => roster.into_iter().collect(),
        None => known.map(|known| known.roster).unwrap_or_default(),
    };
    if report::fingerprint(&roster) != tally.fingerprint {
        let message = wire::DisseminationMessage::RosterWanted;
        dissemination::send(output, from.address, message);
    }
    let taken = TakenTally {
        floor: tally.floor,
        fingerprint: tally.fingerprint,
        roster,
        taken: state.now,
    };
    tallies.insert(from.instance.clone(), taken);
    evaluate(state);
}

/// Has the next report to other controls carry the roster.
pub fn repeat_tally(state: &mut reducer::EngineState) {
    state.dissemination.convergence.told_tally = None;
}

/// Tells the other controls what the nodes behind this one have in force: when that changes, and
/// again with each keepalive.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let period = settings::millis(state.settings.tunables.dissemination.keepalive_ms);
    let now = state.now;
    let tallies = &mut state.dissemination.convergence.tallies;
    tallies.retain(|_, tally| now.since(tally.taken) < period * TALLY_KEEPALIVES);
    let own = state.settings.identity.address;
    let others: Vec<std::net::SocketAddr> = state
        .settings
        .control
        .iter()
        .copied()
        .filter(|address| *address != own)
        .collect();
    if others.is_empty() {
        return;
    }
    let mut tally = report::subtree(state);
    let short = (tally.floor, tally.fingerprint);
    let convergence = &state.dissemination.convergence;
    let is_due = now.since(convergence.told) >= period;
    if !is_due && convergence.told_tally == Some(short) {
        return;
    }
    let told_fingerprint = convergence.told_tally.map(|(_, fingerprint)| fingerprint);
    if told_fingerprint != Some(tally.fingerprint) {
        tally.roster = Some(report::roster(state));
    }
    state.dissemination.convergence.told = now;
    state.dissemination.convergence.told_tally = Some(short);
    for to in others {
        let message = wire::DisseminationMessage::Tally(tally.clone());
        dissemination::send(output, to, message);
    }
}

/// Notes the versions that are in force everywhere by now.
pub fn evaluate(state: &mut reducer::EngineState) {
    let mut missing = wire_membership::ShortDigest::default();
    let mut nodes = 0;
    for record in state.membership.present() {
        if record.identity.is_node {
            missing ^= feed::name_digest(&record.identity.instance);
            nodes += 1;
        }
    }
    let mut floor = state.dissemination.version();
    let own = &state.settings.identity;
    if own.is_node {
        missing ^= feed::name_digest(&own.instance);
    }
    for child in state.dissemination.children.values() {
        missing ^= child.fingerprint;
        floor = floor.min(child.floor);
    }
    for tally in state.dissemination.convergence.tallies.values() {
        missing ^= tally.fingerprint;
        floor = floor.min(tally.floor);
    }
    if nodes == 0 || missing != wire_membership::ShortDigest::default() {
        return;
    }
    let now = state.now;
    let versions = state.dissemination.convergence.versions.iter_mut().rev();
    let pending = versions
        .skip_while(|accepted| accepted.version > floor)
        .take_while(|accepted| accepted.everywhere.is_none());
    for accepted in pending {
        accepted.everywhere = Some(now);
    }
}

/// What is known of a version; `None` when there is no such version here.
pub fn view(
    state: &reducer::EngineState,
    version: ids::CatalogueVersion,
) -> Option<ConvergenceView> {
    if version > state.dissemination.version() {
        return None;
    }
    let in_force = in_force_at(state, version);
    let nodes = state
        .membership
        .present()
        .filter(|record| record.identity.is_node);
    let mut view = ConvergenceView {
        version,
        accepted_at_ms: None,
        nodes_known: 0,
        nodes_in_force: 0,
        in_force_everywhere_at_ms: None,
        behind: Vec::new(),
    };
    for record in nodes {
        view.nodes_known += 1;
        let identity = &record.identity;
        let reachability = state.membership.reachability(&identity.instance);
        let is_in_force = in_force.contains(&table::name_digest(identity.instance.as_str()));
        if is_in_force && reachability != reach::Reachability::Unreachable {
            view.nodes_in_force += 1;
        } else {
            view.behind.push(BehindNode {
                instance: identity.instance.clone(),
                data_centre: identity.data_centre.clone(),
                reachability,
            });
        }
    }
    let versions = &state.dissemination.convergence.versions;
    let accepted = versions.iter().find(|accepted| accepted.version == version);
    if let Some(accepted) = accepted {
        let took = |everywhere: time::MonotonicTime| {
            accepted.accepted_at_ms + everywhere.since(accepted.committed).as_millis() as u64
        };
        view.accepted_at_ms = Some(accepted.accepted_at_ms);
        view.in_force_everywhere_at_ms = accepted.everywhere.map(took);
    }
    Some(view)
}

fn in_force_at(
    state: &reducer::EngineState,
    version: ids::CatalogueVersion,
) -> IndexSet<wire_membership::ShortDigest> {
    let mut names = IndexSet::new();
    let own = &state.settings.identity;
    if own.is_node {
        names.insert(feed::name_digest(&own.instance));
    }
    for child in state.dissemination.children.values() {
        if child.floor >= version {
            names.extend(child.roster.iter().copied());
        }
    }
    for tally in state.dissemination.convergence.tallies.values() {
        if tally.floor >= version {
            names.extend(tally.roster.iter().copied());
        }
    }
    names
}
