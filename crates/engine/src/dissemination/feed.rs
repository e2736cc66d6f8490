//! The parent's side of the relay tree: who is fed from here, with what, and who is sent on.
//!
//! A control feeds at most `heads` nodes of each data centre and a node at most `fan_out`
//! children; whoever asks beyond that is told of children that may have a place. Whole catalogues
//! go out only a few at a time.

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

/// Children named to one that finds no place.
const REDIRECTS: usize = 3;
/// A child is dropped after silence of this many keepalives.
const LEASE_KEEPALIVES: u32 = 3;
/// Time for which a whole catalogue to a node that is not fed from here counts as on its way: such a one
/// does not say when it has it.
const STRANGER_TIME: Duration = Duration::from_millis(250);
/// After this many keepalives without effect something is sent again.
const RESEND_KEEPALIVES: u32 = 1;

/// A node that is fed from here.
#[derive(Debug, Clone, PartialEq)]
pub struct FedChild {
    /// Who it is.
    pub identity: wire_membership::PeerIdentity,
    /// When it was last heard.
    pub heard: time::MonotonicTime,
    /// What it said it has in force.
    pub held: wire_membership::ShortMark,
    /// Every node of its subtree has this version or a later one in force.
    pub floor: ids::CatalogueVersion,
    /// Digest of the names of its subtree.
    pub fingerprint: wire_membership::ShortDigest,
    /// Digests of the names of its subtree; may be of before the last change.
    pub roster: IndexSet<wire_membership::ShortDigest>,
    /// Since when its floor has been below what is in force here without growing; `None` when it
    /// is not.
    pub lags: Option<time::MonotonicTime>,
    sent: ids::CatalogueVersion,
    sent_at: time::MonotonicTime,
}

impl FedChild {
    /// Whether the roster is the one that the fingerprint is of.
    pub fn has_roster(&self) -> bool {
        report::fingerprint(&self.roster) == self.fingerprint
    }
}

/// Takes a child's keepalive: keeps, adopts or redirects it.
pub fn take_keepalive(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    report: wire::ChildReport,
    output: &mut event::ReducerOutput,
) {
    let known = state.dissemination.children.get(&from.address);
    let is_same = known.is_some_and(|child| child.identity.incarnation == from.incarnation);
    if !is_same {
        state.dissemination.children.shift_remove(&from.address);
        if !may_adopt(state, from) {
            return redirect(state, from, output);
        }
        adopt(state, from, &report);
    }
    take_report(state, from.address, report, true);
    answer(state, from.address, output);
    feed(state, from.address, output);
    report::reached(state, output);
}

/// Takes a child's report that its subtree has reached a version.
pub fn take_ack(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    report: wire::ChildReport,
    output: &mut event::ReducerOutput,
) {
    take_report(state, from.address, report, false);
    feed(state, from.address, output);
    report::reached(state, output);
}

fn may_adopt(state: &reducer::EngineState, from: &wire_membership::PeerIdentity) -> bool {
    let dissemination = &state.dissemination;
    let is_own_parent = dissemination.parent.address == Some(from.address);
    let path_from_control = parent::path_from_control(state);
    let is_above = path_from_control.contains(&parent::path_mark(&from.instance));
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
    let is_counted =
        |child: &&FedChild| !is_control || child.identity.data_centre == from.data_centre;
    dissemination.children.values().filter(is_counted).count() < limit as usize
}

fn adopt(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    report: &wire::ChildReport,
) {
    let child = FedChild {
        identity: from.clone(),
        heard: state.now,
        held: report.held,
        floor: ids::CatalogueVersion::default(),
        fingerprint: wire_membership::ShortDigest::default(),
        roster: IndexSet::new(),
        lags: Some(time::MonotonicTime::default()),
        sent: report.held.version,
        sent_at: state.now,
    };
    state.dissemination.children.insert(from.address, child);
}

fn redirect(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    output: &mut event::ReducerOutput,
) {
    let is_near = |child: &&FedChild| {
        child.identity.data_centre == from.data_centre && child.identity.address != from.address
    };
    let near = state.dissemination.children.values().filter(is_near);
    let addresses = near
        .map(|child| child.identity.address)
        .sample(&mut state.random, REDIRECTS);
    let message = wire::DisseminationMessage::Redirect(addresses);
    dissemination::send(output, from.address, message);
}

fn take_report(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    report: wire::ChildReport,
    may_resend: bool,
) {
    let now = state.now;
    let keepalive = settings::millis(state.settings.tunables.dissemination.keepalive_ms);
    let in_force = state.dissemination.version();
    let Some(child) = state.dissemination.children.get_mut(&from) else {
        return;
    };
    child.heard = now;
    child.held = report.held;
    let has_grown = report.subtree.floor > child.floor;
    child.floor = report.subtree.floor;
    child.fingerprint = report.subtree.fingerprint;
    if let Some(roster) = report.subtree.roster {
        child.roster = roster.into_iter().collect();
    }
    if child.floor >= in_force {
        child.lags = None;
    } else if has_grown && child.lags.is_some() {
        child.lags = Some(now);
    }
    let is_overdue = now.since(child.sent_at) >= keepalive * RESEND_KEEPALIVES;
    if may_resend && is_overdue && child.held.version < child.sent {
        child.sent = child.held.version;
    }
    if child.held.version >= child.sent {
        state.dissemination.snapshots.retain(|(to, _)| *to != from);
    }
}

fn answer(state: &reducer::EngineState, to: SocketAddr, output: &mut event::ReducerOutput) {
    let child = state.dissemination.children.get(&to);
    let mark = wire::ParentMark {
        held: dissemination::short_mark(state),
        path: parent::path_from_control(state),
        wants_roster: child.is_some_and(|child| !child.has_roster()),
    };
    dissemination::send(output, to, wire::DisseminationMessage::Parent(mark));
}

/// Sends every child what it misses.
pub fn feed_all(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let children: Vec<SocketAddr> = state.dissemination.children.keys().copied().collect();
    for to in children {
        if let Some(child) = state.dissemination.children.get_mut(&to) {
            child.lags.get_or_insert(now);
        }
        feed(state, to, output);
    }
}

fn feed(state: &mut reducer::EngineState, to: SocketAddr, output: &mut event::ReducerOutput) {
    let in_force = state.dissemination.version();
    let Some(child) = state.dissemination.children.get(&to) else {
        return;
    };
    let base = child.held.version.max(child.sent);
    if base >= in_force || !send_missing(state, to, base, output) {
        return;
    }
    let now = state.now;
    if let Some(child) = state.dissemination.children.get_mut(&to) {
        child.sent = in_force;
        child.sent_at = now;
    }
}

/// Sends what is missing after a version; false when it is a whole catalogue and too many are on
/// their way.
fn send_missing(
    state: &mut reducer::EngineState,
    to: SocketAddr,
    base: ids::CatalogueVersion,
    output: &mut event::ReducerOutput,
) -> bool {
    match version::catch_up(state, base) {
        version::CatchUp::Delta(delta) => {
            dissemination::send(output, to, wire::DisseminationMessage::Delta(delta));
            true
        }
        version::CatchUp::Snapshot => send_snapshot(state, to, output),
    }
}

fn send_snapshot(
    state: &mut reducer::EngineState,
    to: SocketAddr,
    output: &mut event::ReducerOutput,
) -> bool {
    let tunables = &state.settings.tunables.dissemination;
    let longest = settings::millis(tunables.keepalive_ms) * LEASE_KEEPALIVES;
    let limit = tunables.snapshots_at_once as usize;
    let now = state.now;
    let children = &state.dissemination.children;
    let snapshots = &mut state.dissemination.snapshots;
    snapshots.retain(|(receiver, sent)| {
        let is_fed = children.contains_key(receiver);
        let longest = if is_fed { longest } else { STRANGER_TIME };
        *receiver != to && now.since(*sent) < longest
    });
    if snapshots.len() >= limit {
        return false;
    }
    snapshots.push((to, now));
    let packed = state.dissemination.packed();
    dissemination::send(output, to, wire::DisseminationMessage::Snapshot(packed));
    true
}

/// Takes a question for what is missing after a version, of a child or of any node.
pub fn take_pull(
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
        child.sent = if is_sent { in_force } else { pull.version };
        child.sent_at = now;
    }
}

/// Drops silent children and feeds those that had to wait.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let keepalive = settings::millis(state.settings.tunables.dissemination.keepalive_ms);
    let now = state.now;
    let members = &state.membership.members;
    let has_left = |child: &FedChild| {
        let member = members.get(&child.identity.instance);
        member.is_some_and(|member| member.record.has_left)
            && member.is_some_and(|member| {
                member.record.identity.incarnation >= child.identity.incarnation
            })
    };
    state.dissemination.children.retain(|_, child| {
        now.since(child.heard) < keepalive * LEASE_KEEPALIVES && !has_left(child)
    });
    let in_force = state.dissemination.version();
    let is_waiting = |child: &FedChild| child.held.version.max(child.sent) < in_force;
    let waiting: Vec<SocketAddr> = state
        .dissemination
        .children
        .iter()
        .filter(|(_, child)| is_waiting(child))
        .map(|(address, _)| *address)
        .collect();
    for to in waiting {
        feed(state, to, output);
    }
}

/// Short digest of a child's or the own name.
pub fn name_digest(name: &ids::InstanceName) -> wire_membership::ShortDigest {
    table::name_digest(name.as_str())
}
