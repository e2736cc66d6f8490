//! Version floor: the lowest version that a process without durable state may accept.
//!
//! Such a process does not know which version it held before a restart, so it asks the others. The
//! floor is set by the answer of a control that a majority has just confirmed; after a wait by the
//! answers of a majority of the controls; or else by the answers of the reachable nodes in its data
//! centre. Until then the process accepts no version, so that a single control behind a partition
//! cannot give it a version older than its neighbours have. If nobody answers, it keeps waiting and
//! reports why.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::{dissemination as wire, membership as wire_membership};
use indexmap::{IndexMap, IndexSet};

use crate::{dissemination, event, membership::reach, reducer, replication, settings};

/// Time between two rounds of queries.
const QUERY_PERIOD: Duration = Duration::from_millis(500);

/// Maximum number of queries kept until this control can prove that it is current. Other processes
/// have to ask again.
const MAX_PENDING_QUERIES: usize = 4096;

/// The version floor and the answers collected to determine it.
#[derive(Debug, Clone, Default)]
pub struct FloorState {
    /// The floor, once it is known.
    minimum: Option<ids::CatalogueVersion>,
    /// When the search for the floor began.
    started_at: Option<time::MonotonicTime>,
    next_query_at: time::MonotonicTime,
    /// When nodes of the data centre were first asked.
    peers_asked_at: Option<time::MonotonicTime>,
    /// Latest answer of each process, and whether the process is a control.
    answers: IndexMap<ids::InstanceName, (bool, wire::FloorAnswer)>,
    /// Processes that asked this control while it could not prove that it is current.
    pending_queries: IndexSet<SocketAddr>,
}

impl FloorState {
    /// Creates the state of a process with durable state, which needs no floor.
    pub fn with_durable_state() -> Self {
        Self {
            minimum: Some(ids::CatalogueVersion::default()),
            ..Self::default()
        }
    }

    /// Returns whether the floor is known.
    pub fn is_known(&self) -> bool {
        self.minimum.is_some()
    }

    /// Returns whether a version may be accepted.
    pub fn allows(&self, version: ids::CatalogueVersion) -> bool {
        self.minimum.is_some_and(|minimum| version >= minimum)
    }

    /// Returns whether the version in force is at or above the floor.
    pub fn is_met(&self, state: &reducer::EngineState) -> bool {
        self.allows(state.dissemination.version())
    }

    /// Returns why no version is in force yet; `None` if one is.
    pub fn waiting_reason(&self, state: &reducer::EngineState) -> Option<String> {
        let data_centre = &state.settings.identity.data_centre;
        if self.is_met(state) {
            return None;
        }
        if let Some(minimum) = self.minimum {
            return Some(format!(
                "version {minimum} is known to exist, and nobody has sent it yet"
            ));
        }
        let controls = self.answers.values().filter(|(is_control, _)| *is_control);
        Some(match controls.count() {
            0 => format!("no control answers, and no node of {data_centre} that holds a version"),
            count => format!(
                "{count} of {} controls answer, none can show a majority, and no node of \
                 {data_centre} that holds a version answers",
                state.settings.control.len()
            ),
        })
    }
}

/// Advances timers.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let wait_time = settings::millis(state.settings.tunables.dissemination.floor_wait_ms);
    let floor = &mut state.dissemination.floor;
    if floor.minimum.is_some() {
        return;
    }
    let started_at = *floor.started_at.get_or_insert(now);
    decide(state);
    if state.dissemination.floor.minimum.is_some() || now < state.dissemination.floor.next_query_at
    {
        return;
    }
    state.dissemination.floor.next_query_at = now + QUERY_PERIOD;
    let configured = state.settings.control.iter().copied();
    let mut contacted: Vec<SocketAddr> = configured.chain(state.membership.controls()).collect();
    contacted.sort_unstable();
    contacted.dedup();
    if now.since(started_at) >= wait_time {
        let peers = local_peers(state);
        if !peers.is_empty() {
            state.dissemination.floor.peers_asked_at.get_or_insert(now);
        }
        contacted.extend(peers);
    }
    for to in contacted {
        dissemination::send(output, to, wire::DisseminationMessage::FloorQuestion);
    }
}

/// Returns the peer addresses of the nodes in the data centre that are not unreachable.
fn local_peers(state: &reducer::EngineState) -> Vec<SocketAddr> {
    let data_centre = &state.settings.identity.data_centre;
    let identities = state
        .membership
        .others()
        .map(|member| &member.record.identity);
    identities
        .filter(|identity| identity.is_node && identity.data_centre == *data_centre)
        .filter(|identity| {
            let reachability = state.membership.reachability(&identity.instance);
            reachability != reach::Reachability::Unreachable
        })
        .map(|identity| identity.address)
        .collect()
}

/// Handles a query for the version floor.
pub fn handle_query(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    output: &mut event::ReducerOutput,
) {
    let proof = proof(state);
    if proof == wire::FloorAnswerSource::Control {
        let pending_queries = &mut state.dissemination.floor.pending_queries;
        if pending_queries.len() < MAX_PENDING_QUERIES {
            pending_queries.insert(from.address);
        }
    }
    send_answer(state, from.address, proof, output);
}

/// Answers the pending queries as soon as this control can prove that it is current. After a power
/// loss of all machines the whole fleet waits for this answer, and would otherwise get it only with
/// its next query, up to half a second later.
pub fn answer_pending(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    if state.dissemination.floor.pending_queries.is_empty()
        || !replication::is_proven_current(state)
    {
        return;
    }
    for to in std::mem::take(&mut state.dissemination.floor.pending_queries) {
        send_answer(state, to, wire::FloorAnswerSource::Majority, output);
    }
}

/// Returns what this process can prove about the version that it reports.
fn proof(state: &reducer::EngineState) -> wire::FloorAnswerSource {
    if state.settings.identity.is_control {
        if replication::is_proven_current(state) {
            wire::FloorAnswerSource::Majority
        } else {
            wire::FloorAnswerSource::Control
        }
    } else if state.dissemination.floor.is_met(state) {
        wire::FloorAnswerSource::Peer
    } else {
        wire::FloorAnswerSource::Asking
    }
}

fn send_answer(
    state: &reducer::EngineState,
    to: SocketAddr,
    proof: wire::FloorAnswerSource,
    output: &mut event::ReducerOutput,
) {
    let answer = wire::FloorAnswer {
        version: state.dissemination.version(),
        proof,
    };
    let message = wire::DisseminationMessage::FloorAnswer(answer);
    dissemination::send(output, to, message);
}

/// Handles an answer to a query.
pub fn handle_answer(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    answer: wire::FloorAnswer,
) {
    let floor = &mut state.dissemination.floor;
    if floor.minimum.is_none() {
        floor
            .answers
            .insert(from.instance.clone(), (from.is_control, answer));
        decide(state);
    }
}

/// Sets the floor if the answers so far suffice.
fn decide(state: &mut reducer::EngineState) {
    let wait_time = settings::millis(state.settings.tunables.dissemination.floor_wait_ms);
    let floor = &state.dissemination.floor;
    let answers = || floor.answers.values();
    let has_proof = |proof| answers().any(|(_, answer)| answer.proof == proof);
    let controls = answers().filter(|(is_control, _)| *is_control).count();
    let has_waited = floor
        .started_at
        .is_some_and(|started_at| state.now.since(started_at) >= wait_time);
    // A majority of the controls may consist of followers that have not yet heard of the leader's
    // last commit, so the leader's own proof is awaited first.
    let has_majority = controls > state.settings.control.len() / 2 && has_waited;
    let has_waited_for_peers = floor
        .peers_asked_at
        .is_some_and(|since| state.now.since(since) >= wait_time);
    let has_peers = has_proof(wire::FloorAnswerSource::Peer) && has_waited_for_peers;
    if has_proof(wire::FloorAnswerSource::Majority) || has_majority || has_peers {
        let versions = answers().map(|(_, answer)| answer.version);
        state.dissemination.floor.minimum = versions.max();
    }
}
