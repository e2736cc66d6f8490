//! Child side of the relay tree: finds a parent, keeps it and leaves it.
//!
//! A node asks the control that its data centre prefers and follows redirects down the tree. It
//! leaves a parent that is silent, that stays behind the node's own version, that has lost its path
//! to a control, or that is itself a descendant of the node. Every attempt but the first is delayed
//! by a random time (full jitter), so that nodes that failed together do not return in step.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::{dissemination as wire, membership as wire_membership};
use indexmap::IndexMap;
use rand::{RngExt, seq::IteratorRandom};

use crate::{
    dissemination::{self, report},
    event,
    membership::{reach, table},
    reducer, settings,
};

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Time for which a parent is avoided after its link broke.
const LINK_LOST_AVOID_TIME: Duration = Duration::from_millis(500);
/// Silence after which an adopted parent is left, in half keepalive periods.
const SILENCE_TIMEOUT_HALF_KEEPALIVES: u32 = 5;
/// Keepalive periods for which a parent may be stale or have no path to a control.
const DEGRADED_KEEPALIVES: u32 = 2;
/// Keepalive periods for which a former parent is avoided.
const AVOID_KEEPALIVES: u32 = 6;

/// Why a node left its parent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveReason {
    /// The parent did not answer.
    Silent,
    /// The link to the parent broke.
    LinkLost,
    /// The parent stayed behind the version in force here.
    Stale,
    /// The parent had no path to a control.
    Unrooted,
    /// The parent is a descendant of this node.
    Loop,
}

impl LeaveReason {
    /// Returns the name used in logs and on the timeline.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::LinkLost => "link-lost",
            Self::Stale => "stale",
            Self::Unrooted => "unrooted",
            Self::Loop => "loop",
        }
    }
}

/// The parent, and the search for one.
#[derive(Debug, Clone, Default)]
pub struct ParentState {
    /// Peer address of the parent, or of the process that has been asked to become the parent.
    pub address: Option<SocketAddr>,
    /// Whether the parent has adopted this node.
    pub is_adopted: bool,
    /// Name digests of the processes on the path from a control down to the parent.
    path: Vec<u32>,
    last_heard: time::MonotonicTime,
    last_keepalive_at: time::MonotonicTime,
    /// Since when the parent's version has been older than the one here, or below the version
    /// floor.
    stale_since: Option<time::MonotonicTime>,
    /// Since when the parent has had no path to a control.
    unrooted_since: Option<time::MonotonicTime>,
    /// When the next candidate may be asked.
    next_attempt: time::MonotonicTime,
    /// Attempts since a parent last adopted this node.
    attempts: u32,
    /// Processes named in a redirect, which are asked first.
    candidates: Vec<SocketAddr>,
    /// Former parents, with the time until which each is avoided.
    avoided: IndexMap<SocketAddr, time::MonotonicTime>,
}

/// Returns the lower four bytes of a name's short digest, which identify a process in a path.
pub fn path_id(name: &ids::InstanceName) -> u32 {
    table::name_digest(name.as_str()).0 as u32
}

/// Returns the path from a control down to this process; empty if there is none.
pub fn path_from_control(state: &reducer::EngineState) -> Vec<u32> {
    let own = path_id(&state.settings.identity.instance);
    if state.settings.identity.is_control {
        return vec![own];
    }
    let parent = &state.dissemination.parent;
    if !parent.is_adopted || parent.path.is_empty() {
        return Vec::new();
    }
    let mut path = parent.path.clone();
    path.push(own);
    path
}

fn keepalive_period(state: &reducer::EngineState) -> Duration {
    settings::millis(state.settings.tunables.dissemination.keepalive_ms)
}

/// Advances timers: leaves a faulty parent, sends keepalives or searches for a parent.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let keepalive = keepalive_period(state);
    let parent = &mut state.dissemination.parent;
    parent.avoided.retain(|_, until| *until > now);
    let Some(address) = parent.address else {
        return try_candidate(state, output);
    };
    let silence_limit = if parent.is_adopted {
        keepalive * SILENCE_TIMEOUT_HALF_KEEPALIVES / 2
    } else {
        keepalive
    };
    let is_overdue = |since: Option<time::MonotonicTime>| {
        since.is_some_and(|since| now.since(since) > keepalive * DEGRADED_KEEPALIVES)
    };
    if now.since(parent.last_heard) > silence_limit {
        leave(state, LeaveReason::Silent, output);
    } else if is_overdue(parent.stale_since) {
        leave(state, LeaveReason::Stale, output);
    } else if is_overdue(parent.unrooted_since) {
        leave(state, LeaveReason::Unrooted, output);
    } else if now.since(parent.last_keepalive_at) >= keepalive {
        send_keepalive(state, address, output);
    }
}

fn send_keepalive(
    state: &mut reducer::EngineState,
    to: SocketAddr,
    output: &mut event::ReducerOutput,
) {
    state.dissemination.parent.last_keepalive_at = state.now;
    let report = report::build(state, to);
    dissemination::send(output, to, wire::DisseminationMessage::Keepalive(report));
}

/// Asks the next candidate to adopt this node, or schedules another attempt if there is none.
fn try_candidate(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let is_tree_disabled = state.settings.tunables.dissemination.heads == 0;
    if is_tree_disabled || state.now < state.dissemination.parent.next_attempt {
        return;
    }
    let now = state.now;
    let Some(address) = next_candidate(state) else {
        return back_off(state);
    };
    let parent = &mut state.dissemination.parent;
    parent.address = Some(address);
    parent.last_heard = now;
    send_keepalive(state, address, output);
}

/// Returns the next candidate: a process named in a redirect, else in turn a control and a node of
/// the data centre.
fn next_candidate(state: &mut reducer::EngineState) -> Option<SocketAddr> {
    let own = state.settings.identity.address;
    let parent = &mut state.dissemination.parent;
    while let Some(candidate) = parent.candidates.pop() {
        if candidate != own && !parent.avoided.contains_key(&candidate) {
            return Some(candidate);
        }
    }
    let attempts = parent.attempts as usize;
    let avoided = parent.avoided.clone();
    let mut controls = preferred_controls(state);
    controls.retain(|address| !avoided.contains_key(address));
    let prefers_control = attempts.is_multiple_of(2) && !controls.is_empty();
    if prefers_control {
        return controls.get(attempts / 2 % controls.len()).copied();
    }
    let data_centre = &state.settings.identity.data_centre;
    let is_usable = |identity: &&wire_membership::PeerIdentity| {
        identity.is_node
            && identity.data_centre == *data_centre
            && !avoided.contains_key(&identity.address)
            && state.membership.reachability(&identity.instance) == reach::Reachability::Reachable
    };
    let near = state
        .membership
        .others()
        .map(|member| &member.record.identity);
    let addresses: Vec<SocketAddr> = near
        .filter(is_usable)
        .map(|identity| identity.address)
        .collect();
    let chosen = addresses.into_iter().choose(&mut state.random);
    chosen.or_else(|| controls.first().copied())
}

/// Returns the controls in this data centre's order of preference: those in the data centre first,
/// then an order that is the same on all of its nodes, so that they all ask the same control.
fn preferred_controls(state: &reducer::EngineState) -> Vec<SocketAddr> {
    let data_centre = &state.settings.identity.data_centre;
    let known = state
        .membership
        .others()
        .map(|member| &member.record.identity);
    let near: Vec<SocketAddr> = known
        .filter(|identity| identity.is_control && identity.data_centre == *data_centre)
        .map(|identity| identity.address)
        .collect();
    let seed = u64::from(table::centre_digest(data_centre));
    let configured = state.settings.control.iter().copied();
    let mut controls: Vec<SocketAddr> = configured.chain(state.membership.controls()).collect();
    controls.sort_unstable();
    controls.dedup();
    controls.sort_by_key(|address| {
        let address_digest = table::name_digest(&address.to_string()).0;
        (!near.contains(address), table::mix(address_digest ^ seed))
    });
    controls
}

fn back_off(state: &mut reducer::EngineState) {
    let parent = &mut state.dissemination.parent;
    let longest = INITIAL_BACKOFF * 2_u32.pow(parent.attempts.min(MAX_BACKOFF_DOUBLINGS));
    let longest = longest.min(MAX_BACKOFF);
    parent.attempts += 1;
    parent.next_attempt = state.now + longest.mul_f64(state.random.random_range(0.0..1.0));
}

fn leave(state: &mut reducer::EngineState, reason: LeaveReason, output: &mut event::ReducerOutput) {
    let avoid_time = match reason {
        LeaveReason::LinkLost => LINK_LOST_AVOID_TIME,
        _ => keepalive_period(state) * AVOID_KEEPALIVES,
    };
    let until = state.now + avoid_time;
    let parent = &mut state.dissemination.parent;
    let Some(address) = parent.address.take() else {
        return;
    };
    parent.avoided.insert(address, until);
    clear_parent(parent);
    back_off(state);
    let effect = dissemination::DisseminationEffect::ParentLost { address, reason };
    output.effects.push(event::Effect::Dissemination(effect));
}

fn clear_parent(parent: &mut ParentState) {
    parent.address = None;
    parent.is_adopted = false;
    parent.path.clear();
    parent.stale_since = None;
    parent.unrooted_since = None;
}

/// Updates the parent from its answer to a keepalive. Leaves it if it is a descendant of this node.
pub fn update(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    status: wire::ParentStatus,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    if state.dissemination.parent.address != Some(from.address) {
        return;
    }
    if status
        .path
        .contains(&path_id(&state.settings.identity.instance))
    {
        return leave(state, LeaveReason::Loop, output);
    }
    let held = state.dissemination.version();
    let is_stale =
        status.held.version < held || !state.dissemination.floor.allows(status.held.version);
    let parent = &mut state.dissemination.parent;
    let is_first = !parent.is_adopted;
    parent.is_adopted = true;
    parent.last_heard = now;
    parent.attempts = 0;
    parent.candidates.clear();
    parent.unrooted_since = status
        .path
        .is_empty()
        .then(|| parent.unrooted_since.unwrap_or(now));
    parent.stale_since = is_stale.then(|| parent.stale_since.unwrap_or(now));
    parent.path = status.path;
    if is_first || status.wants_roster {
        state.dissemination.last_report.request_roster();
    }
    if status.wants_roster {
        send_keepalive(state, from.address, output);
    }
}

/// Handles a refusal to adopt this node, with other processes that may have room.
pub fn handle_redirect(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    addresses: Vec<SocketAddr>,
) {
    let parent = &mut state.dissemination.parent;
    if parent.address != Some(from.address) {
        return;
    }
    clear_parent(parent);
    let is_usable = |address: &SocketAddr| !parent.avoided.contains_key(address);
    parent.candidates = addresses.into_iter().filter(is_usable).collect();
    if parent.candidates.is_empty() {
        back_off(state);
    }
}

/// Leaves the parent if its link broke.
pub fn link_lost(
    state: &mut reducer::EngineState,
    address: SocketAddr,
    output: &mut event::ReducerOutput,
) {
    if state.dissemination.parent.address == Some(address) {
        leave(state, LeaveReason::LinkLost, output);
    }
}
