//! Tracks when each accepted version was in force on all nodes, and which nodes are behind.
//!
//! A control aggregates the reports of its children and of the other controls. A version counts as
//! in force everywhere only if the names in those reports match the known nodes exactly. A node
//! that is partitioned or dead appears in no report, so it is listed as behind and never counted.

use std::collections::VecDeque;

use hazeltiller_units::{ids, time};
use hazeltiller_wire::{dissemination as wire, membership as wire_membership};
use indexmap::{IndexMap, IndexSet};

use crate::{
    dissemination::{self, child, report},
    event,
    membership::{reach, table},
    reducer, settings,
};

/// Number of accepted versions whose convergence is tracked.
const MAX_TRACKED_VERSIONS: usize = 4096;
/// Keepalive periods after which another control's report expires.
const REPORT_EXPIRY_KEEPALIVES: u32 = 3;

/// An accepted version and when it was in force everywhere.
#[derive(Debug, Clone, PartialEq, Eq)]
struct AcceptedVersion {
    version: ids::CatalogueVersion,
    accepted_at_ms: u64,
    committed_at: time::MonotonicTime,
    in_force_everywhere_at: Option<time::MonotonicTime>,
}

/// The last report received from another control.
#[derive(Debug, Clone, PartialEq)]
struct ControlReport {
    floor: ids::CatalogueVersion,
    fingerprint: wire_membership::ShortDigest,
    roster: IndexSet<wire_membership::ShortDigest>,
    received_at: time::MonotonicTime,
}

/// Accepted versions, and the reports exchanged with other controls.
#[derive(Debug, Clone, Default)]
pub struct ConvergenceState {
    versions: VecDeque<AcceptedVersion>,
    control_reports: IndexMap<ids::InstanceName, ControlReport>,
    /// When this control last reported to the other controls, and what.
    last_sent_at: time::MonotonicTime,
    last_sent: Option<(ids::CatalogueVersion, wire_membership::ShortDigest)>,
}

/// A node not known to have a given version in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BehindNode {
    /// Instance name of the node.
    pub instance: ids::InstanceName,
    /// Data centre of the node.
    pub data_centre: ids::DataCentreName,
    /// Reachability of the node as seen by this process.
    pub reachability: reach::Reachability,
}

/// Convergence of one version, as known to this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConvergenceView {
    /// The version described.
    pub version: ids::CatalogueVersion,
    /// Time of acceptance, in milliseconds since the Unix epoch; `None` if the version was accepted
    /// before this process started.
    pub accepted_at_ms: Option<u64>,
    /// Number of known nodes that have not left.
    pub nodes_known: usize,
    /// Number of known nodes that have this version or a later one in force.
    pub nodes_in_force: usize,
    /// Time at which all nodes known at that time had the version in force, in milliseconds since
    /// the Unix epoch.
    pub in_force_everywhere_at_ms: Option<u64>,
    /// Known nodes that are not counted in `nodes_in_force`.
    pub behind: Vec<BehindNode>,
}

/// Starts tracking an accepted version.
pub fn record_accepted(
    state: &mut reducer::EngineState,
    committed: &dissemination::CommittedVersion,
) {
    let versions = &mut state.dissemination.convergence.versions;
    versions.push_back(AcceptedVersion {
        version: committed.state.version,
        accepted_at_ms: committed.accepted_at_ms,
        committed_at: state.now,
        in_force_everywhere_at: None,
    });
    if versions.len() > MAX_TRACKED_VERSIONS {
        versions.pop_front();
    }
}

/// Handles another control's report.
pub fn handle_control_report(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    report: wire::SubtreeReport,
    output: &mut event::ReducerOutput,
) {
    let control_reports = &mut state.dissemination.convergence.control_reports;
    let previous = control_reports.swap_remove(&from.instance);
    let roster: IndexSet<wire_membership::ShortDigest> = match report.roster {
        Some(roster) => roster.into_iter().collect(),
        None => previous.map(|previous| previous.roster).unwrap_or_default(),
    };
    if report::fingerprint(&roster) != report.fingerprint {
        let message = wire::DisseminationMessage::RosterWanted;
        dissemination::send(output, from.address, message);
    }
    let received = ControlReport {
        floor: report.floor,
        fingerprint: report.fingerprint,
        roster,
        received_at: state.now,
    };
    control_reports.insert(from.instance.clone(), received);
    mark_converged(state);
}

/// Includes the roster in the next report to the other controls.
pub fn resend_roster(state: &mut reducer::EngineState) {
    state.dissemination.convergence.last_sent = None;
}

/// Reports to the other controls which version the nodes below this control have in force: whenever
/// that changes, and at least once per keepalive period.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let period = settings::millis(state.settings.tunables.dissemination.keepalive_ms);
    let now = state.now;
    let control_reports = &mut state.dissemination.convergence.control_reports;
    control_reports
        .retain(|_, report| now.since(report.received_at) < period * REPORT_EXPIRY_KEEPALIVES);
    let own = state.settings.identity.address;
    let other_controls: Vec<std::net::SocketAddr> = state
        .settings
        .control
        .iter()
        .copied()
        .filter(|address| *address != own)
        .collect();
    if other_controls.is_empty() {
        return;
    }
    let mut own_report = report::subtree(state);
    let summary = (own_report.floor, own_report.fingerprint);
    let convergence = &state.dissemination.convergence;
    let is_period_over = now.since(convergence.last_sent_at) >= period;
    if !is_period_over && convergence.last_sent == Some(summary) {
        return;
    }
    let sent_fingerprint = convergence.last_sent.map(|(_, fingerprint)| fingerprint);
    if sent_fingerprint != Some(own_report.fingerprint) {
        own_report.roster = Some(report::roster(state));
    }
    state.dissemination.convergence.last_sent_at = now;
    state.dissemination.convergence.last_sent = Some(summary);
    for to in other_controls {
        let message = wire::DisseminationMessage::Tally(own_report.clone());
        dissemination::send(output, to, message);
    }
}

/// Marks the versions that are now in force everywhere.
///
/// The fingerprints are exclusive ors of name digests, so the difference between known and reported
/// nodes is zero exactly when both sets are equal, apart from collisions.
pub fn mark_converged(state: &mut reducer::EngineState) {
    let mut difference = wire_membership::ShortDigest::default();
    let mut nodes = 0;
    for record in state.membership.present() {
        if record.identity.is_node {
            difference ^= child::name_digest(&record.identity.instance);
            nodes += 1;
        }
    }
    let mut floor = state.dissemination.version();
    let own = &state.settings.identity;
    if own.is_node {
        difference ^= child::name_digest(&own.instance);
    }
    for child in state.dissemination.children.values() {
        difference ^= child.fingerprint;
        floor = floor.min(child.subtree_floor);
    }
    for report in state.dissemination.convergence.control_reports.values() {
        difference ^= report.fingerprint;
        floor = floor.min(report.floor);
    }
    if nodes == 0 || difference != wire_membership::ShortDigest::default() {
        return;
    }
    let now = state.now;
    let versions = state.dissemination.convergence.versions.iter_mut().rev();
    let pending = versions
        .skip_while(|accepted| accepted.version > floor)
        .take_while(|accepted| accepted.in_force_everywhere_at.is_none());
    for accepted in pending {
        accepted.in_force_everywhere_at = Some(now);
    }
}

/// Returns the convergence of a version; `None` if the version is later than the one in force here.
pub fn view(
    state: &reducer::EngineState,
    version: ids::CatalogueVersion,
) -> Option<ConvergenceView> {
    if version > state.dissemination.version() {
        return None;
    }
    let in_force = names_in_force(state, version);
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
        let wall_clock_ms = |everywhere: time::MonotonicTime| {
            accepted.accepted_at_ms + everywhere.since(accepted.committed_at).as_millis() as u64
        };
        view.accepted_at_ms = Some(accepted.accepted_at_ms);
        view.in_force_everywhere_at_ms = accepted.in_force_everywhere_at.map(wall_clock_ms);
    }
    Some(view)
}

fn names_in_force(
    state: &reducer::EngineState,
    version: ids::CatalogueVersion,
) -> IndexSet<wire_membership::ShortDigest> {
    let mut names = IndexSet::new();
    let own = &state.settings.identity;
    if own.is_node {
        names.insert(child::name_digest(&own.instance));
    }
    for child in state.dissemination.children.values() {
        if child.subtree_floor >= version {
            names.extend(child.roster.iter().copied());
        }
    }
    for report in state.dissemination.convergence.control_reports.values() {
        if report.floor >= version {
            names.extend(report.roster.iter().copied());
        }
    }
    names
}
