//! At most once: who alone may run a keyed request that is not idempotent.
//!
//! The node that such a request comes to claims it at a majority of the control instances. Each
//! control keeps at most one claim a request, on its disk, until the claim's own node has said
//! that nothing ran under it; so of all claims on a request at most one ever has a majority, and
//! only its node sends the request on. Any other node that gets the request asks the node that
//! holds the claim what became of it. Where no proof is to be had the answer is a refusal.
//!
//! Invariant: a claim is released only when nothing was sent under it and nothing will be; a claim
//! number is never used twice.

use std::net::SocketAddr;

use hazeltiller_units::code;
use hazeltiller_wire::{calls as wire_calls, ledger as wire, membership, message};

use crate::{calls, event, reducer};

pub mod acceptor;
mod asking;
mod claims;
mod race;

pub use claims::ClaimTable;

/// Records for the control's file of claims.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimBatch {
    /// Number of the batch, growing by one.
    pub batch: u64,
    /// What to write.
    pub records: Vec<wire::ClaimRecord>,
    /// Whether they replace the whole file rather than being appended.
    pub is_whole_file: bool,
}

/// Events of the ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerEvent {
    /// The store has synced a batch and all before it.
    Persisted {
        /// Number of the batch.
        batch: u64,
    },
    /// The store failed and keeps nothing until it is given a whole file.
    StoreFailed,
    /// The whole answer of a claimed call came.
    Answered {
        /// Which call.
        call: hazeltiller_units::ids::CallId,
        /// The answer, unless it is too large to be kept.
        answer: Option<wire::StoredAnswer>,
    },
}

/// Effects of the ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerEffect {
    /// Write and sync, then report [`LedgerEvent::Persisted`].
    Persist(ClaimBatch),
}

/// State of the ledger.
#[derive(Debug, Clone, Default)]
pub struct LedgerState {
    /// Claims that this process keeps for others; absent without the control role.
    pub acceptor: Option<acceptor::AcceptorState>,
    /// Claims of this node, and calls that wait for one.
    pub table: ClaimTable,
}

/// Takes a call that must be claimed; [`calls::CallEvent::Claimed`] follows once it is.
pub fn begin(
    state: &mut reducer::EngineState,
    call: hazeltiller_units::ids::CallId,
    request: wire::RequestDigest,
    output: &mut event::ReducerOutput,
) {
    match state.ledger.table.claim_of(&request) {
        Some(claim) => asking::wait_for(state, call, request, claim, output),
        None => race::start(state, call, request, output),
    }
}

/// The refusal of a request before anything is known of its key: a request that may have been
/// sent before under the same key is not said to be not run.
pub fn early_refusal(
    arrival: &calls::CallArrival,
    code: code::ResultCode,
) -> wire_calls::CallRefusal {
    let is_safe = matches!(
        arrival.method.as_str(),
        "GET" | "HEAD" | "OPTIONS" | "TRACE"
    );
    if arrival.key.is_some() && !is_safe {
        wire_calls::CallRefusal::unknown(code)
    } else {
        wire_calls::CallRefusal::not_run(code)
    }
}

/// Takes the end of a call at its ingress node, however it ended.
pub fn end_call(
    state: &mut reducer::EngineState,
    call: hazeltiller_units::ids::CallId,
    output: &mut event::ReducerOutput,
) {
    state.ledger.table.forget_waiting(call);
    if let Some(request) = state.ledger.table.request_of(call) {
        race::give_up(state, request, output);
    }
}

/// Settles the claims of calls that were refused by the effects from `first` on.
pub fn settle_refusals(
    state: &mut reducer::EngineState,
    first: usize,
    output: &mut event::ReducerOutput,
) {
    if state.ledger.table.has_no_calls() {
        return;
    }
    let refused: Vec<_> = output.effects[first.min(output.effects.len())..]
        .iter()
        .filter_map(|effect| match effect {
            event::Effect::Calls(calls::CallEffect::Refuse(call, refusal)) => {
                Some((*call, refusal.outcome))
            }
            _ => None,
        })
        .collect();
    for (call, outcome) in refused {
        if let Some(request) = state.ledger.table.request_of(call) {
            race::settle(state, request, outcome, output);
        }
    }
}

/// Takes the passing of time.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    acceptor::tick(state, output);
    race::tick(state, output);
    asking::tick(state, output);
    let tunables = &state.settings.tunables.ledger;
    state.ledger.table.expire(state.now, tunables);
}

/// Takes an event.
pub fn take(
    state: &mut reducer::EngineState,
    event: LedgerEvent,
    output: &mut event::ReducerOutput,
) {
    match event {
        LedgerEvent::Persisted { batch } => acceptor::persisted(state, batch, output),
        LedgerEvent::StoreFailed => acceptor::fail(state),
        LedgerEvent::Answered { call, answer } => race::answered(state, call, answer, output),
    }
}

/// Takes a message.
pub fn receive(
    state: &mut reducer::EngineState,
    from: &membership::PeerIdentity,
    message: wire::LedgerMessage,
    output: &mut event::ReducerOutput,
) {
    match message {
        wire::LedgerMessage::Claim {
            request,
            claim,
            voters,
        } => acceptor::take_claim(state, from.address, request, claim, voters, output),
        wire::LedgerMessage::Release { request, claim } => {
            acceptor::release(state, request, claim);
        }
        wire::LedgerMessage::Done { request, claim } => acceptor::mark_done(state, request, claim),
        wire::LedgerMessage::Granted { request, claim } => {
            race::granted(state, from.address, request, claim, output);
        }
        wire::LedgerMessage::Held {
            request,
            claim,
            holder,
            is_done,
        } => {
            let kept = wire::StoredClaim {
                claim: holder,
                is_done,
            };
            race::denied(state, from.address, request, claim, Some(kept), output);
        }
        wire::LedgerMessage::Declined { request, claim } => {
            race::denied(state, from.address, request, claim, None, output);
        }
        wire::LedgerMessage::Ask {
            request,
            holder,
            call,
        } => asking::answer(state, from.address, request, holder, call, output),
        wire::LedgerMessage::Told {
            holder,
            call,
            state: told,
        } => asking::told(state, call, holder, told, output),
    }
}

/// The controls that a claim needs a majority of.
fn voters(state: &reducer::EngineState) -> &[SocketAddr] {
    &state.settings.control
}

/// Digest of the voters, in any order: nodes and controls that count others do not mix.
fn voters_digest(state: &reducer::EngineState) -> u64 {
    let mut voters: Vec<String> = voters(state).iter().map(ToString::to_string).collect();
    voters.sort_unstable();
    let hash = blake3::hash(voters.join(",").as_bytes());
    let bytes = hash.as_bytes().first_chunk().expect("a hash has 32 bytes");
    u64::from_le_bytes(*bytes)
}

/// Sends a message, to this process itself without a link.
fn send(
    state: &reducer::EngineState,
    to: SocketAddr,
    message: wire::LedgerMessage,
    output: &mut event::ReducerOutput,
) {
    let message = message::PeerMessage::Ledger(message);
    if to == state.settings.identity.address {
        let from = state.settings.identity.clone();
        output.enqueue(event::Event::Received { from, message });
    } else {
        output.send(to, message);
    }
}

/// Sends a message to every control.
fn send_voters(
    state: &reducer::EngineState,
    message: &wire::LedgerMessage,
    output: &mut event::ReducerOutput,
) {
    for to in voters(state) {
        send(state, *to, message.clone(), output);
    }
}
