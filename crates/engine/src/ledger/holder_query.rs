//! Calls whose request is claimed already: the outcome is queried from the holder of the claim.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire_calls, ledger as wire};
use rand::RngExt;

use crate::{
    calls, event,
    ledger::{self, claim_table, own_claim},
    reducer, settings,
};

/// Interval between two queries to a holder.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);
/// Longest random delay before a request is claimed again.
const MAX_BACKOFF_MS: u64 = 60;

/// Lets a call wait for the outcome of a claim of this node.
pub fn wait_for_own(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
    output: &mut event::ReducerOutput,
) {
    let is_done = false;
    query_holder(
        state,
        call,
        request,
        wire::StoredClaim { claim, is_done },
        output,
    );
}

/// Lets a call wait for the outcome of a claim and queries its holder.
pub fn query_holder(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    request: wire::RequestDigest,
    competing: wire::StoredClaim,
    output: &mut event::ReducerOutput,
) {
    let waiting = claim_table::WaitingCall {
        request,
        holder: competing.claim,
        is_done: competing.is_done,
        queried_at: state.now,
        heard_at: state.now,
        is_running: false,
    };
    state.ledger.table.waiting_calls.insert(call, waiting);
    let holder = competing.claim;
    let query = wire::LedgerMessage::Ask {
        request,
        holder,
        call,
    };
    ledger::send(state, holder.node, query, output);
}

/// Answers a query about a claim of this node.
pub fn answer_query(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    request: wire::RequestDigest,
    holder: wire::ClaimId,
    call: ids::CallId,
    output: &mut event::ReducerOutput,
) {
    let waiter = claim_table::ClaimWaiter { node: from, call };
    let outcome = state.ledger.table.state_of(&request, holder, waiter);
    notify_waiters(state, holder, vec![waiter], &outcome, output);
}

/// Sends the state of a claim to the calls that wait for it.
pub fn notify_waiters(
    state: &reducer::EngineState,
    holder: wire::ClaimId,
    waiters: Vec<claim_table::ClaimWaiter>,
    outcome: &wire::ClaimState,
    output: &mut event::ReducerOutput,
) {
    for waiter in waiters {
        let message = wire::LedgerMessage::Told {
            holder,
            call: waiter.call,
            state: outcome.clone(),
        };
        ledger::send(state, waiter.node, message, output);
    }
}

/// Handles the holder's answer to a query.
pub fn handle_holder_answer(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    holder: wire::ClaimId,
    outcome: wire::ClaimState,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let waiting = state.ledger.table.waiting_calls.get_mut(&call);
    let Some(waiting) = waiting.filter(|waiting| waiting.holder == holder) else {
        return;
    };
    if outcome == wire::ClaimState::Running {
        waiting.heard_at = now;
        waiting.is_running = true;
        return;
    }
    let (request, is_done) = (waiting.request, waiting.is_done);
    state.ledger.table.waiting_calls.swap_remove(&call);
    match outcome {
        wire::ClaimState::Finished(Some(answer)) => {
            let effect = calls::CallEffect::Replay(call, answer);
            output.effects.push(event::Effect::Calls(effect));
        }
        wire::ClaimState::Finished(None) => output.refuse(call, already_done()),
        wire::ClaimState::NeverRan => {
            let claim = holder;
            let message = wire::LedgerMessage::Release { request, claim };
            ledger::send_to_voters(state, &message, output);
            let wait = state.random.random_range(0..=MAX_BACKOFF_MS);
            let due = now + Duration::from_millis(wait);
            state.ledger.table.backoffs.insert(call, (due, request));
        }
        wire::ClaimState::Unknown if is_done => output.refuse(call, already_done()),
        wire::ClaimState::Unknown | wire::ClaimState::Running => {
            output.refuse(call, own_claim::unproven_refusal());
        }
    }
}

/// Claims the requests whose backoff is over, repeats queries, and refuses calls whose deadline has
/// passed or whose holder does not answer.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    claim_again(state, output);
    let now = state.now;
    let holder_timeout = settings::millis(state.settings.tunables.ledger.ask_ms);
    let mut refused = Vec::new();
    let mut queries = Vec::new();
    for (call, waiting) in &mut state.ledger.table.waiting_calls {
        let record = state.calls.ingress.get(call);
        let is_overdue = record.is_none_or(|record| record.deadline <= now);
        let is_silent = now.since(waiting.heard_at) >= holder_timeout;
        if is_overdue || is_silent {
            refused.push((*call, refusal(waiting, is_silent)));
        } else if now.since(waiting.queried_at) >= QUERY_INTERVAL {
            waiting.queried_at = now;
            queries.push((*call, waiting.request, waiting.holder));
        }
    }
    for (call, refusal) in refused {
        state.ledger.table.waiting_calls.swap_remove(&call);
        output.refuse(call, refusal);
    }
    for (call, request, holder) in queries {
        let query = wire::LedgerMessage::Ask {
            request,
            holder,
            call,
        };
        ledger::send(state, holder.node, query, output);
    }
}

/// Claims the requests whose backoff is over.
fn claim_again(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let due = state.ledger.table.backoffs.iter();
    let due: Vec<_> = due
        .filter(|(_, (due, _))| *due <= now)
        .map(|(call, (_, request))| (*call, *request))
        .collect();
    for (call, request) in due {
        state.ledger.table.backoffs.swap_remove(&call);
        let record = state.calls.ingress.get(&call);
        if record.is_none_or(|record| record.deadline <= now) {
            output.refuse(call, own_claim::unproven_refusal());
        } else {
            ledger::claim_call(state, call, request, output);
        }
    }
}

/// Refusal of a call whose deadline has passed, or whose holder has not answered in time
/// (`is_silent`).
fn refusal(waiting: &claim_table::WaitingCall, is_silent: bool) -> wire_calls::CallRefusal {
    if waiting.is_done {
        already_done()
    } else if waiting.is_running && !is_silent {
        wire_calls::CallRefusal::unknown(code::ResultCode::RunInProgress)
    } else {
        own_claim::unproven_refusal()
    }
}

/// Refusal of a request that has run, but whose answer is not available.
fn already_done() -> wire_calls::CallRefusal {
    wire_calls::CallRefusal {
        outcome: wire_calls::CallOutcome::Ran,
        ..wire_calls::CallRefusal::not_run(code::ResultCode::RunAlreadyDone)
    }
}
