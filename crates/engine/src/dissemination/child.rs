//! Parent side of the relay tree: adopts children, sends them updates, and redirects nodes when it
//! is full.
//!
//! A control adopts at most `heads` nodes of each data centre, and a node at most `fan_out`
//! children. A node that asks for more is redirected to existing children, which may have room. The
//! number of snapshots in flight is bounded as well.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::{dissemination as wire, membership as wire_membership};
use indexmap::IndexSet;
use rand::seq::IteratorRandom;

use crate::{
    dissemination::{self, parent, report, version},
    event,
    membership::table,
    reducer, settings,
};

/// Maximum number of children named in a redirect.
const MAX_REDIRECTS: usize = 3;
/// Keepalive periods of silence after which a child is dropped.
const CHILD_EXPIRY_KEEPALIVES: u32 = 3;
/// Time for which a snapshot sent to a node that is not a child counts as in flight. Such a node
/// does not acknowledge what it received.
const UNATTACHED_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(250);
/// Keepalive periods without acknowledgement after which an update is sent again.
const RESEND_TIMEOUT_KEEPALIVES: u32 = 1;

/// A node that receives updates from this process.
#[derive(Debug, Clone, PartialEq)]
pub struct ChildRecord {
    /// Identity of the child.
    pub identity: wire_membership::PeerIdentity,
    /// Time of the last report from the child.
    pub last_heard: time::MonotonicTime,
    /// The version that the child last reported as in force on itself.
    pub held: wire_membership::VersionSummary,
    /// Every node of the child's subtree has this version or a later one in force.
    pub subtree_floor: ids::CatalogueVersion,
    /// Exclusive or of the name digests of the nodes in the child's subtree.
    pub fingerprint: wire_membership::ShortDigest,
    /// Name digests of the nodes in the child's subtree. May be outdated until the child sends its
    /// roster again; see [`Self::has_roster`].
    pub roster: IndexSet<wire_membership::ShortDigest>,
    /// Since when `subtree_floor` has been below the version in force here without advancing;
    /// `None` if it is not below. Zero for a child that has not caught up since it was adopted.
    pub lagging_since: Option<time::MonotonicTime>,
    /// The version up to which changes have been sent to the child.
    sent_version: ids::CatalogueVersion,
    sent_at: time::MonotonicTime,
}

impl ChildRecord {
    /// Returns whether the roster matches the fingerprint.
    pub fn has_roster(&self) -> bool {
        report::fingerprint(&self.roster) == self.fingerprint
    }
}

/// Handles a keepalive: renews the child, adopts it or redirects it.
pub fn handle_keepalive(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    report: wire::ChildReport,
    output: &mut event::ReducerOutput,
) {
    let existing = state.dissemination.children.get(&from.address);
    let is_known_process =
        existing.is_some_and(|child| child.identity.incarnation == from.incarnation);
    if !is_known_process {
        state.dissemination.children.shift_remove(&from.address);
        if !can_adopt(state, from) {
            return redirect(state, from, output);
        }
        adopt(state, from, &report);
    }
    apply_report(state, from.address, report, true);
    send_parent_status(state, from.address, output);
    update_child(state, from.address, output);
    report::send_progress(state, output);
}

/// Handles a child's report that its subtree has reached a version.
pub fn handle_ack(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    report: wire::ChildReport,
    output: &mut event::ReducerOutput,
) {
    apply_report(state, from.address, report, false);
    update_child(state, from.address, output);
    report::send_progress(state, output);
}

/// Returns whether a node may become a child: this process has a path to a control that does not
/// lead through the node, and the limit on children is not reached.
fn can_adopt(state: &reducer::EngineState, from: &wire_membership::PeerIdentity) -> bool {
    let dissemination = &state.dissemination;
    let is_own_parent = dissemination.parent.address == Some(from.address);
    let path_from_control = parent::path_from_control(state);
    let is_above = path_from_control.contains(&parent::path_id(&from.instance));
    if path_from_control.is_empty() || is_own_parent || is_above || !from.is_node {
        return false;
    }
    let tunables = &state.settings.tunables.dissemination;
    let is_control = state.settings.identity.is_control;
    let limit = if is_control {
        tunables.heads
    } else {
        tunables.fan_out
    };
    let counts_towards_limit =
        |child: &&ChildRecord| !is_control || child.identity.data_centre == from.data_centre;
    dissemination
        .children
        .values()
        .filter(counts_towards_limit)
        .count()
        < limit as usize
}

fn adopt(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    report: &wire::ChildReport,
) {
    let child = ChildRecord {
        identity: from.clone(),
        last_heard: state.now,
        held: report.held,
        subtree_floor: ids::CatalogueVersion::default(),
        fingerprint: wire_membership::ShortDigest::default(),
        roster: IndexSet::new(),
        lagging_since: Some(time::MonotonicTime::default()),
        sent_version: report.held.version,
        sent_at: state.now,
    };
    state.dissemination.children.insert(from.address, child);
}

fn redirect(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    output: &mut event::ReducerOutput,
) {
    let is_candidate = |child: &&ChildRecord| {
        child.identity.data_centre == from.data_centre && child.identity.address != from.address
    };
    let candidates = state.dissemination.children.values().filter(is_candidate);
    let addresses = candidates
        .map(|child| child.identity.address)
        .sample(&mut state.random, MAX_REDIRECTS);
    let message = wire::DisseminationMessage::Redirect(addresses);
    dissemination::send(output, from.address, message);
}

/// Updates the record of a child from its report. With `can_resend`, changes that the child has not
/// acknowledged in time are sent again.
fn apply_report(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    report: wire::ChildReport,
    can_resend: bool,
) {
    let now = state.now;
    let keepalive = settings::millis(state.settings.tunables.dissemination.keepalive_ms);
    let in_force = state.dissemination.version();
    let Some(child) = state.dissemination.children.get_mut(&from) else {
        return;
    };
    child.last_heard = now;
    child.held = report.held;
    let has_advanced = report.subtree.floor > child.subtree_floor;
    child.subtree_floor = report.subtree.floor;
    child.fingerprint = report.subtree.fingerprint;
    if let Some(roster) = report.subtree.roster {
        child.roster = roster.into_iter().collect();
    }
    if child.subtree_floor >= in_force {
        child.lagging_since = None;
    } else if has_advanced && child.lagging_since.is_some() {
        child.lagging_since = Some(now);
    }
    let is_overdue = now.since(child.sent_at) >= keepalive * RESEND_TIMEOUT_KEEPALIVES;
    if can_resend && is_overdue && child.held.version < child.sent_version {
        child.sent_version = child.held.version;
    }
    if child.held.version >= child.sent_version {
        state
            .dissemination
            .snapshots_in_flight
            .retain(|(to, _)| *to != from);
    }
}

fn send_parent_status(
    state: &reducer::EngineState,
    to: SocketAddr,
    output: &mut event::ReducerOutput,
) {
    let child = state.dissemination.children.get(&to);
    let status = wire::ParentStatus {
        held: dissemination::version_summary(state),
        path: parent::path_from_control(state),
        wants_roster: child.is_some_and(|child| !child.has_roster()),
    };
    dissemination::send(output, to, wire::DisseminationMessage::Parent(status));
}

/// Sends every child the changes it is missing.
pub fn update_all(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let children: Vec<SocketAddr> = state.dissemination.children.keys().copied().collect();
    for to in children {
        if let Some(child) = state.dissemination.children.get_mut(&to) {
            child.lagging_since.get_or_insert(now);
        }
        update_child(state, to, output);
    }
}

/// Sends a child the changes that have not been sent to it yet.
fn update_child(
    state: &mut reducer::EngineState,
    to: SocketAddr,
    output: &mut event::ReducerOutput,
) {
    let in_force = state.dissemination.version();
    let Some(child) = state.dissemination.children.get(&to) else {
        return;
    };
    let base = child.held.version.max(child.sent_version);
    if base >= in_force || !send_missing(state, to, base, output) {
        return;
    }
    let now = state.now;
    if let Some(child) = state.dissemination.children.get_mut(&to) {
        child.sent_version = in_force;
        child.sent_at = now;
    }
}

/// Sends the changes after a version, as a delta or snapshot. Returns false if a snapshot is needed
/// and too many are in flight.
fn send_missing(
    state: &mut reducer::EngineState,
    to: SocketAddr,
    base: ids::CatalogueVersion,
    output: &mut event::ReducerOutput,
) -> bool {
    match version::catch_up(state, base) {
        version::CatalogueUpdate::Delta(delta) => {
            dissemination::send(output, to, wire::DisseminationMessage::Delta(delta));
            true
        }
        version::CatalogueUpdate::Snapshot => send_snapshot(state, to, output),
    }
}

fn send_snapshot(
    state: &mut reducer::EngineState,
    to: SocketAddr,
    output: &mut event::ReducerOutput,
) -> bool {
    let tunables = &state.settings.tunables.dissemination;
    let timeout = settings::millis(tunables.keepalive_ms) * CHILD_EXPIRY_KEEPALIVES;
    let limit = tunables.snapshots_at_once as usize;
    let now = state.now;
    let children = &state.dissemination.children;
    let in_flight = &mut state.dissemination.snapshots_in_flight;
    in_flight.retain(|(receiver, sent)| {
        let is_child = children.contains_key(receiver);
        let timeout = if is_child {
            timeout
        } else {
            UNATTACHED_SNAPSHOT_TIMEOUT
        };
        *receiver != to && now.since(*sent) < timeout
    });
    if in_flight.len() >= limit {
        return false;
    }
    in_flight.push((to, now));
    let packed = state.dissemination.packed();
    dissemination::send(output, to, wire::DisseminationMessage::Snapshot(packed));
    true
}

/// Handles a request for the changes after a version, from a child or any other node.
pub fn handle_pull(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    pull: wire::VersionPull,
    output: &mut event::ReducerOutput,
) {
    let in_force = state.dissemination.version();
    if pull.version >= in_force {
        return;
    }
    let is_sent = if pull.wants_snapshot {
        send_snapshot(state, from.address, output)
    } else {
        send_missing(state, from.address, pull.version, output)
    };
    let now = state.now;
    if let Some(child) = state.dissemination.children.get_mut(&from.address) {
        child.sent_version = if is_sent { in_force } else { pull.version };
        child.sent_at = now;
    }
}

/// Drops children that are silent or have left, and updates those whose snapshot was postponed.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let keepalive = settings::millis(state.settings.tunables.dissemination.keepalive_ms);
    let now = state.now;
    let members = &state.membership.members;
    let has_left = |child: &ChildRecord| {
        let member = members.get(&child.identity.instance);
        member.is_some_and(|member| member.record.has_left)
            && member.is_some_and(|member| {
                member.record.identity.incarnation >= child.identity.incarnation
            })
    };
    state.dissemination.children.retain(|_, child| {
        now.since(child.last_heard) < keepalive * CHILD_EXPIRY_KEEPALIVES && !has_left(child)
    });
    let in_force = state.dissemination.version();
    let is_waiting = |child: &ChildRecord| child.held.version.max(child.sent_version) < in_force;
    let waiting: Vec<SocketAddr> = state
        .dissemination
        .children
        .iter()
        .filter(|(_, child)| is_waiting(child))
        .map(|(address, _)| *address)
        .collect();
    for to in waiting {
        update_child(state, to, output);
    }
}

/// Returns the short digest of an instance name.
pub fn name_digest(name: &ids::InstanceName) -> wire_membership::ShortDigest {
    table::name_digest(name.as_str())
}
