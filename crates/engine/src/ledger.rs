//! At-most-once execution of keyed requests that are not idempotent.
//!
//! The node that receives such a request claims it at a majority of the controls. Each control
//! stores at most one claim per request, synced to disk, until the claiming node reports that
//! nothing ran under it. So at most one claim on a request ever gets a majority, and only its node
//! sends the request to a target. Any other node that receives the request asks the holder of that
//! claim for the outcome. If nothing can be proven, the request is refused.
//!
//! Invariants: a claim is released only if nothing was sent under it and nothing will be; a claim
//! number is never reused.

use std::net::SocketAddr;

use hazeltiller_units::code;
use hazeltiller_wire::{calls as wire_calls, ledger as wire, membership, message};

use crate::{calls, event, reducer};

pub mod acceptor;
mod claim_table;
mod holder_query;
mod own_claim;

pub use claim_table::ClaimTable;

/// Records for a control's claims file.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimBatch {
    /// Sequence number of the batch.
    pub batch: u64,
    /// The records to write.
    pub records: Vec<wire::ClaimRecord>,
    /// Whether the records replace the whole file instead of being appended.
    pub is_full_rewrite: bool,
}

/// Input events of the ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerEvent {
    /// The store has synced a batch and all earlier ones.
    Persisted {
        /// Number of the last synced batch.
        batch: u64,
    },
    /// A write or sync failed. The store accepts nothing until it is given a full rewrite.
    StoreFailed,
    /// The response to a claimed call has arrived in full.
    Answered {
        /// The claimed call.
        call: hazeltiller_units::ids::CallId,
        /// The response; `None` if it is too large to be stored.
        answer: Option<wire::StoredAnswer>,
    },
}

/// Output effects of the ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerEffect {
    /// Writes and syncs a batch, then reports [`LedgerEvent::Persisted`].
    Persist(ClaimBatch),
}

/// State of the ledger.
#[derive(Debug, Clone, Default)]
pub struct LedgerState {
    /// Claims stored by this process; `None` without the control role.
    pub acceptor: Option<acceptor::AcceptorState>,
    /// Claims of this node, and calls that wait for the outcome of another call's claim.
    pub table: ClaimTable,
}

/// Claims the request of a call. [`calls::CallEvent::Claimed`] follows once the claim is granted.
pub fn claim_call(
    state: &mut reducer::EngineState,
    call: hazeltiller_units::ids::CallId,
    request: wire::RequestDigest,
    output: &mut event::ReducerOutput,
) {
    match state.ledger.table.claim_of(&request) {
        Some(claim) => holder_query::wait_for_own(state, call, request, claim, output),
        None => own_claim::start_claim(state, call, request, output),
    }
}

/// Returns the refusal of a request whose key has not been looked up yet. The outcome of a keyed
/// request is reported as unknown, since an earlier request with the same key may have run.
pub fn early_refusal(
    arrival: &calls::CallArrival,
    code: code::ResultCode,
) -> wire_calls::CallRefusal {
    if arrival.key.is_some() {
        wire_calls::CallRefusal::unknown(code)
    } else {
        wire_calls::CallRefusal::not_run(code)
    }
}

/// Handles the end of a call at its ingress node, whatever its outcome.
pub fn end_call(
    state: &mut reducer::EngineState,
    call: hazeltiller_units::ids::CallId,
    output: &mut event::ReducerOutput,
) {
    state.ledger.table.remove_waiting(call);
    if let Some(request) = state.ledger.table.request_of(call) {
        own_claim::settle_abandoned(state, request, output);
    }
}

/// Settles the claims of the calls that are refused by the effects from index `first` on.
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
            own_claim::settle(state, request, outcome, output);
        }
    }
}

/// Advances timers: store retries, resends, timeouts and the expiry of claims.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    acceptor::tick(state, output);
    own_claim::tick(state, output);
    holder_query::tick(state, output);
    let tunables = &state.settings.tunables.ledger;
    state.ledger.table.expire(state.now, tunables);
}

/// Handles an event of the ledger.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: LedgerEvent,
    output: &mut event::ReducerOutput,
) {
    match event {
        LedgerEvent::Persisted { batch } => acceptor::handle_persisted(state, batch, output),
        LedgerEvent::StoreFailed => acceptor::handle_store_failure(state),
        LedgerEvent::Answered { call, answer } => own_claim::complete(state, call, answer, output),
    }
}

/// Handles a message from another process.
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
        } => acceptor::handle_claim(state, from.address, request, claim, voters, output),
        wire::LedgerMessage::Release { request, claim } => {
            acceptor::handle_release(state, request, claim);
        }
        wire::LedgerMessage::Done { request, claim } => acceptor::mark_done(state, request, claim),
        wire::LedgerMessage::Granted { request, claim } => {
            own_claim::handle_grant(state, from.address, request, claim, output);
        }
        wire::LedgerMessage::Held {
            request,
            claim,
            holder,
            is_done,
        } => {
            let stored = wire::StoredClaim {
                claim: holder,
                is_done,
            };
            own_claim::handle_denial(state, from.address, request, claim, Some(stored), output);
        }
        wire::LedgerMessage::Declined { request, claim } => {
            own_claim::handle_denial(state, from.address, request, claim, None, output);
        }
        wire::LedgerMessage::Ask {
            request,
            holder,
            call,
        } => holder_query::answer_query(state, from.address, request, holder, call, output),
        wire::LedgerMessage::Told {
            holder,
            call,
            state: outcome,
        } => holder_query::handle_holder_answer(state, call, holder, outcome, output),
    }
}

/// Returns the peer addresses of the controls. A claim needs a majority of them.
fn voters(state: &reducer::EngineState) -> &[SocketAddr] {
    &state.settings.control
}

/// Returns a digest of the set of controls. A control declines claims of nodes with a different
/// set, since their majorities need not overlap.
fn voters_digest(state: &reducer::EngineState) -> u64 {
    let mut voters: Vec<String> = voters(state).iter().map(ToString::to_string).collect();
    voters.sort_unstable();
    let hash = blake3::hash(voters.join(",").as_bytes());
    let bytes = hash.as_bytes().first_chunk().expect("a hash has 32 bytes");
    u64::from_le_bytes(*bytes)
}

/// Sends a message to a process. A message to this process itself is queued as a received one.
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
fn send_to_voters(
    state: &reducer::EngineState,
    message: &wire::LedgerMessage,
    output: &mut event::ReducerOutput,
) {
    for to in voters(state) {
        send(state, *to, message.clone(), output);
    }
}
