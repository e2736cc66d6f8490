//! The child's side of the relay tree: finding a parent, keeping it, leaving it.
//!
//! A node asks the control that its data centre prefers and follows redirects downwards. It
//! leaves a parent that is silent, that stays behind what the node holds, that has lost its way
//! to a control, or that turns out to be fed by the node itself. All tries but the first wait a
//! random time, so that a herd does not return in step.

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

const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);
const MOST_DOUBLINGS: u32 = 6;
/// A parent that broke its link is not tried for this long.
const LINK_LOST_PAUSE: Duration = Duration::from_millis(500);
/// Keepalives without an answer after which a parent is silent, times two.
const SILENT_HALF_KEEPALIVES: u32 = 5;
/// Keepalives for which a parent may be behind or without a way to a control.
const PATIENCE_KEEPALIVES: u32 = 2;
/// Keepalives for which a parent that was left is not tried again.
const AVOID_KEEPALIVES: u32 = 6;

/// Why a parent was left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveReason {
    /// It did not answer.
    Silent,
    /// The link to it broke.
    LinkLost,
    /// It stayed behind what is held here.
    Stale,
    /// It had no way to a control.
    Unrooted,
    /// It is fed from here.
    Loop,
}

impl LeaveReason {
    /// The word in logs and status.
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

/// The parent and the search for one.
#[derive(Debug, Clone, Default)]
pub struct ParentState {
    /// Peers address of the parent, adopted by it or not yet.
    pub address: Option<SocketAddr>,
    /// Whether the parent has answered.
    pub is_adopted: bool,
    /// Processes from a control down to the parent.
    path: Vec<u32>,
    heard: time::MonotonicTime,
    told: time::MonotonicTime,
    stale: Option<time::MonotonicTime>,
    unrooted: Option<time::MonotonicTime>,
    next_try: time::MonotonicTime,
    tries: u32,
    hints: Vec<SocketAddr>,
    avoided: IndexMap<SocketAddr, time::MonotonicTime>,
}

/// Four bytes of a name's digest, for paths.
pub fn path_mark(name: &ids::InstanceName) -> u32 {
    table::name_digest(name.as_str()).0 as u32
}

/// Processes from a control down to this one; empty without a way to a control.
pub fn path_from_control(state: &reducer::EngineState) -> Vec<u32> {
    let own = path_mark(&state.settings.identity.instance);
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

/// Takes the passing of time.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let period = keepalive_period(state);
    let parent = &mut state.dissemination.parent;
    parent.avoided.retain(|_, until| *until > now);
    let Some(address) = parent.address else {
        return find(state, output);
    };
    let patience = if parent.is_adopted {
        period * SILENT_HALF_KEEPALIVES / 2
    } else {
        period
    };
    let lasts = |since: Option<time::MonotonicTime>| {
        since.is_some_and(|since| now.since(since) > period * PATIENCE_KEEPALIVES)
    };
    if now.since(parent.heard) > patience {
        leave(state, LeaveReason::Silent, output);
    } else if lasts(parent.stale) {
        leave(state, LeaveReason::Stale, output);
    } else if lasts(parent.unrooted) {
        leave(state, LeaveReason::Unrooted, output);
    } else if now.since(parent.told) >= period {
        tell(state, address, output);
    }
}

fn tell(state: &mut reducer::EngineState, to: SocketAddr, output: &mut event::ReducerOutput) {
    state.dissemination.parent.told = state.now;
    let report = report::build(state, to);
    dissemination::send(output, to, wire::DisseminationMessage::Keepalive(report));
}

fn find(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let is_off = state.settings.tunables.dissemination.heads == 0;
    if is_off || state.now < state.dissemination.parent.next_try {
        return;
    }
    let now = state.now;
    let Some(address) = next_candidate(state) else {
        return back_off(state);
    };
    let parent = &mut state.dissemination.parent;
    parent.address = Some(address);
    parent.heard = now;
    tell(state, address, output);
}

fn next_candidate(state: &mut reducer::EngineState) -> Option<SocketAddr> {
    let own = state.settings.identity.address;
    let parent = &mut state.dissemination.parent;
    while let Some(hint) = parent.hints.pop() {
        if hint != own && !parent.avoided.contains_key(&hint) {
            return Some(hint);
        }
    }
    let tries = parent.tries as usize;
    let avoided = parent.avoided.clone();
    let mut controls = controls(state);
    controls.retain(|address| !avoided.contains_key(address));
    let asks_control = tries.is_multiple_of(2) && !controls.is_empty();
    if asks_control {
        return controls.get(tries / 2 % controls.len()).copied();
    }
    let centre = &state.settings.identity.data_centre;
    let is_usable = |identity: &&wire_membership::PeerIdentity| {
        identity.is_node
            && identity.data_centre == *centre
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

/// The controls in the order that this data centre prefers: its own first, then the same order at
/// all of its nodes, so that together they ask one control for places.
fn controls(state: &reducer::EngineState) -> Vec<SocketAddr> {
    let centre = &state.settings.identity.data_centre;
    let known = state
        .membership
        .others()
        .map(|member| &member.record.identity);
    let near: Vec<SocketAddr> = known
        .filter(|identity| identity.is_control && identity.data_centre == *centre)
        .map(|identity| identity.address)
        .collect();
    let seed = u64::from(table::centre_digest(centre));
    let contacts = state.settings.control.iter().copied();
    let mut controls: Vec<SocketAddr> = contacts.chain(state.membership.controls()).collect();
    controls.sort_unstable();
    controls.dedup();
    controls.sort_by_key(|address| {
        let place = table::name_digest(&address.to_string()).0;
        (!near.contains(address), table::mix(place ^ seed))
    });
    controls
}

fn back_off(state: &mut reducer::EngineState) {
    let parent = &mut state.dissemination.parent;
    let longest = FIRST_BACKOFF * 2_u32.pow(parent.tries.min(MOST_DOUBLINGS));
    let longest = longest.min(LONGEST_BACKOFF);
    parent.tries += 1;
    parent.next_try = state.now + longest.mul_f64(state.random.random_range(0.0..1.0));
}

fn leave(state: &mut reducer::EngineState, reason: LeaveReason, output: &mut event::ReducerOutput) {
    let pause = match reason {
        LeaveReason::LinkLost => LINK_LOST_PAUSE,
        _ => keepalive_period(state) * AVOID_KEEPALIVES,
    };
    let until = state.now + pause;
    let parent = &mut state.dissemination.parent;
    let Some(address) = parent.address.take() else {
        return;
    };
    parent.avoided.insert(address, until);
    forget_parent(parent);
    back_off(state);
    let effect = dissemination::DisseminationEffect::ParentLost { address, reason };
    output.effects.push(event::Effect::Dissemination(effect));
}

fn forget_parent(parent: &mut ParentState) {
    parent.address = None;
    parent.is_adopted = false;
    parent.path.clear();
    parent.stale = None;
    parent.unrooted = None;
}

/// Takes a parent's answer.
pub fn take_mark(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    mark: wire::ParentMark,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    if state.dissemination.parent.address != Some(from.address) {
        return;
    }
    if mark
        .path
        .contains(&path_mark(&state.settings.identity.instance))
    {
        return leave(state, LeaveReason::Loop, output);
    }
    let held = state.dissemination.version();
    let is_stale = mark.held.version < held || !state.dissemination.floor.allows(mark.held.version);
    let parent = &mut state.dissemination.parent;
    let is_first = !parent.is_adopted;
    parent.is_adopted = true;
    parent.heard = now;
    parent.tries = 0;
    parent.hints.clear();
    parent.unrooted = mark.path.is_empty().then(|| parent.unrooted.unwrap_or(now));
    parent.stale = is_stale.then(|| parent.stale.unwrap_or(now));
    parent.path = mark.path;
    if is_first || mark.wants_roster {
        state.dissemination.reported.forget();
    }
    if mark.wants_roster {
        tell(state, from.address, output);
    }
}

/// Takes a refusal of a place, with others that may have one.
pub fn take_redirect(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    addresses: Vec<SocketAddr>,
) {
    let parent = &mut state.dissemination.parent;
    if parent.address != Some(from.address) {
        return;
    }
    forget_parent(parent);
    let is_usable = |address: &SocketAddr| !parent.avoided.contains_key(address);
    parent.hints = addresses.into_iter().filter(is_usable).collect();
    if parent.hints.is_empty() {
        back_off(state);
    }
}

/// Leaves the parent if it is the one whose link broke.
pub fn link_lost(
    state: &mut reducer::EngineState,
    address: SocketAddr,
    output: &mut event::ReducerOutput,
) {
    if state.dissemination.parent.address == Some(address) {
        leave(state, LeaveReason::LinkLost, output);
    }
}
