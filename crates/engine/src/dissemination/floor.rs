//! The least version that a process without memory may take.
//!
//! Its own past is lost, so it asks: a control that a majority has just confirmed, or after a while
//! a majority of the controls, or failing those every reachable node of its data centre. Until one of these
//! has answered it takes nothing, so that one control behind a partition cannot hand it a version
//! older than its neighbours have. With nobody to ask it waits and says why.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::{dissemination as wire, membership as wire_membership};
use indexmap::{IndexMap, IndexSet};

use crate::{dissemination, event, membership::reach, reducer, replication, settings};

/// Time between two rounds of questions.
const ASK_PERIOD: Duration = Duration::from_millis(500);

/// Processes that wait for this control's proof at most; others ask again.
const MOST_WAITING: usize = 4096;

/// What is known of the floor.
#[derive(Debug, Clone, Default)]
pub struct FloorState {
    known: Option<ids::CatalogueVersion>,
    started: Option<time::MonotonicTime>,
    next_ask: time::MonotonicTime,
    peers_since: Option<time::MonotonicTime>,
    answers: IndexMap<ids::InstanceName, (bool, wire::FloorAnswer)>,
    /// At a control: who asked while it could not prove that it is current.
    unproven: IndexSet<SocketAddr>,
}

impl FloorState {
    /// The state of a process whose memory is its disk.
    pub fn with_memory() -> Self {
        Self {
            known: Some(ids::CatalogueVersion::default()),
            ..Self::default()
        }
    }

    /// Whether the floor is known.
    pub fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// Whether a version may be taken.
    pub fn allows(&self, version: ids::CatalogueVersion) -> bool {
        self.known.is_some_and(|known| version >= known)
    }

    /// Whether what is in force is not below the floor.
    pub fn is_met(&self, state: &reducer::EngineState) -> bool {
        self.allows(state.dissemination.version())
    }

    /// Why nothing is in force yet; `None` when something is.
    pub fn waiting_reason(&self, state: &reducer::EngineState) -> Option<String> {
        let centre = &state.settings.identity.data_centre;
        if self.is_met(state) {
            return None;
        }
        if let Some(known) = self.known {
            return Some(format!(
                "version {known} is known to exist, and nobody has sent it yet"
            ));
        }
        let controls = self.answers.values().filter(|(is_control, _)| *is_control);
        Some(match controls.count() {
            0 => format!("no control answers, and no node of {centre} that holds a version"),
            count => format!(
                "{count} of {} controls answer, none can show a majority, and no node of {centre} \
                 that holds a version answers",
                state.settings.control.len()
            ),
        })
    }
}

/// Takes the passing of time.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let wait = settings::millis(state.settings.tunables.dissemination.floor_wait_ms);
    let floor = &mut state.dissemination.floor;
    if floor.known.is_some() {
        return;
    }
    let started = *floor.started.get_or_insert(now);
    decide(state);
    if state.dissemination.floor.known.is_some() || now < state.dissemination.floor.next_ask {
        return;
    }
    state.dissemination.floor.next_ask = now + ASK_PERIOD;
    let contacts = state.settings.control.iter().copied();
    let mut asked: Vec<SocketAddr> = contacts.chain(state.membership.controls()).collect();
    asked.sort_unstable();
    asked.dedup();
    if now.since(started) >= wait {
        let peers = neighbours(state);
        if !peers.is_empty() {
            state.dissemination.floor.peers_since.get_or_insert(now);
        }
        asked.extend(peers);
    }
    for to in asked {
        dissemination::send(output, to, wire::DisseminationMessage::FloorQuestion);
    }
}

fn neighbours(state: &reducer::EngineState) -> Vec<SocketAddr> {
    let centre = &state.settings.identity.data_centre;
    let identities = state
        .membership
        .others()
        .map(|member| &member.record.identity);
    identities
        .filter(|identity| identity.is_node && identity.data_centre == *centre)
        .filter(|identity| {
            let reachability = state.membership.reachability(&identity.instance);
            reachability != reach::Reachability::Unreachable
        })
        .map(|identity| identity.address)
        .collect()
}

/// Answers a process that asks for the floor.
pub fn answer(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    output: &mut event::ReducerOutput,
) {
    let proof = proof(state);
    if proof == wire::FloorProof::Control {
        let unproven = &mut state.dissemination.floor.unproven;
        if unproven.len() < MOST_WAITING {
            unproven.insert(from.address);
        }
    }
    send_answer(state, from.address, proof, output);
}

/// Tells those that asked in vain, as soon as this control can prove that it is current: after a loss of
/// power of all machines the whole fleet waits for that, and asks only twice a second.
pub fn answer_unproven(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    if state.dissemination.floor.unproven.is_empty() || !replication::is_proven_current(state) {
        return;
    }
    for to in std::mem::take(&mut state.dissemination.floor.unproven) {
        send_answer(state, to, wire::FloorProof::Majority, output);
    }
}

fn proof(state: &reducer::EngineState) -> wire::FloorProof {
    if state.settings.identity.is_control {
        if replication::is_proven_current(state) {
            wire::FloorProof::Majority
        } else {
            wire::FloorProof::Control
        }
    } else if state.dissemination.floor.is_met(state) {
        wire::FloorProof::Peer
    } else {
        wire::FloorProof::Asking
    }
}

fn send_answer(
    state: &reducer::EngineState,
    to: SocketAddr,
    proof: wire::FloorProof,
    output: &mut event::ReducerOutput,
) {
    let answer = wire::FloorAnswer {
        version: state.dissemination.version(),
        proof,
    };
    let message = wire::DisseminationMessage::FloorAnswer(answer);
    dissemination::send(output, to, message);
}

/// Takes an answer.
pub fn take_answer(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    answer: wire::FloorAnswer,
) {
    let floor = &mut state.dissemination.floor;
    if floor.known.is_none() {
        floor
            .answers
            .insert(from.instance.clone(), (from.is_control, answer));
        decide(state);
    }
}

fn decide(state: &mut reducer::EngineState) {
    let wait = settings::millis(state.settings.tunables.dissemination.floor_wait_ms);
    let floor = &state.dissemination.floor;
    let answers = || floor.answers.values();
    let has_proof = |proof| answers().any(|(_, answer)| answer.proof == proof);
    let controls = answers().filter(|(is_control, _)| *is_control).count();
    let had_time = floor
        .started
        .is_some_and(|started| state.now.since(started) >= wait);
    // A majority of followers may not know yet what a leader among the others has committed, so
    // a leader's own proof is given time first.
    let has_majority = controls > state.settings.control.len() / 2 && had_time;
    let peers_had_time = floor
        .peers_since
        .is_some_and(|since| state.now.since(since) >= wait);
    let has_peers = has_proof(wire::FloorProof::Peer) && peers_had_time;
    if has_proof(wire::FloorProof::Majority) || has_majority || has_peers {
        let versions = answers().map(|(_, answer)| answer.version);
        state.dissemination.floor.known = versions.max();
    }
}
