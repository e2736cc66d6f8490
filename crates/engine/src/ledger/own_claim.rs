//! Lifecycle of a node's own claim, from the request for grants to the end of its call.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire_calls, ledger as wire};

use crate::{
    calls, event,
    ledger::{self, claim_table, holder_query},
    reducer, settings,
};

/// Interval after which missing grants are requested again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the later of two claims withdraws when neither gets a majority.
const SPLIT_TIMEOUT: Duration = Duration::from_millis(150);

/// Requests a claim for a call.
pub fn start_claim(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    request: wire::RequestDigest,
    output: &mut event::ReducerOutput,
) {
    if ledger::voters(state).is_empty() {
        return output.refuse(call, unproven_refusal());
    }
    let identity = &state.settings.identity;
    let (incarnation, node) = (identity.incarnation, identity.address);
    let table = &mut state.ledger.table;
    table.last_number += 1;
    let claim = wire::ClaimId {
        incarnation,
        number: table.last_number,
        node,
    };
    let tally = claim_table::GrantTally {
        began_at: state.now,
        sent_at: state.now,
        ..claim_table::GrantTally::default()
    };
    let own = claim_table::OwnClaim {
        claim,
        call,
        phase: claim_table::ClaimPhase::Collecting(tally),
        waiters: Vec::new(),
    };
    table.claims.insert(request, own);
    table.by_call.insert(call, request);
    let voters = ledger::voters_digest(state);
    let message = wire::LedgerMessage::Claim {
        request,
        claim,
        voters,
    };
    ledger::send_to_voters(state, &message, output);
}

/// The pending grants of a claim, unless it has been decided.
fn tally_of<'a>(
    state: &'a mut reducer::EngineState,
    request: &wire::RequestDigest,
    claim: wire::ClaimId,
) -> Option<&'a mut claim_table::GrantTally> {
    let own = state.ledger.table.claims.get_mut(request)?;
    match &mut own.phase {
        claim_table::ClaimPhase::Collecting(tally) if own.claim == claim => Some(tally),
        _ => None,
    }
}

/// Handles a control's grant; a majority decides the claim.
pub fn handle_grant(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
    output: &mut event::ReducerOutput,
) {
    let majority = majority(state);
    let is_voter = ledger::voters(state).contains(&from);
    let Some(tally) = tally_of(state, &request, claim) else {
        return;
    };
    if is_voter {
        tally.denied.swap_remove(&from);
        tally.granted.insert(from);
    }
    if tally.granted.len() < majority {
        return;
    }
    let own = state.ledger.table.claims.get_mut(&request);
    let own = own.expect("the claim exists");
    own.phase = claim_table::ClaimPhase::Running;
    let claimed = calls::CallEvent::Claimed(own.call);
    output.enqueue(event::Event::Calls(claimed));
}

/// Handles a control's denial. The claim is withdrawn once it can no longer get a majority.
pub fn handle_denial(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
    competing: Option<wire::StoredClaim>,
    output: &mut event::ReducerOutput,
) {
    let (count, majority) = (ledger::voters(state).len(), majority(state));
    let is_voter = ledger::voters(state).contains(&from);
    let Some(tally) = tally_of(state, &request, claim) else {
        return;
    };
    if !is_voter {
        return;
    }
    tally.denied.insert(from);
    tally.competing = match (competing, tally.competing) {
        (Some(new), Some(old)) if new.claim == old.claim => Some(wire::StoredClaim {
            is_done: new.is_done || old.is_done,
            ..new
        }),
        (new, old) => new.or(old),
    };
    if count - tally.denied.len() < majority {
        withdraw(state, request, output);
    }
}

/// Withdraws a claim that cannot get a majority, and queries the holder of the competing claim.
fn withdraw(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    output: &mut event::ReducerOutput,
) {
    let Some(own) = release(state, request, output) else {
        return;
    };
    let claim_table::ClaimPhase::Collecting(tally) = own.phase else {
        unreachable!("only undecided claims are withdrawn");
    };
    match tally.competing {
        Some(competing) => holder_query::query_holder(state, own.call, request, competing, output),
        None => output.refuse(own.call, unproven_refusal()),
    }
}

/// Releases a claim under which nothing was sent, and notifies the calls that wait for it.
fn release(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    output: &mut event::ReducerOutput,
) -> Option<claim_table::OwnClaim> {
    let mut own = state.ledger.table.release(&request)?;
    let claim = own.claim;
    let message = wire::LedgerMessage::Release { request, claim };
    ledger::send_to_voters(state, &message, output);
    let waiters = std::mem::take(&mut own.waiters);
    holder_query::notify_waiters(state, claim, waiters, &wire::ClaimState::NeverRan, output);
    Some(own)
}

/// Handles the end of a call whose task ended without an answer or a refusal.
pub fn settle_abandoned(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    output: &mut event::ReducerOutput,
) {
    let own = state.ledger.table.claims.get(&request);
    let is_undecided =
        own.is_some_and(|own| matches!(own.phase, claim_table::ClaimPhase::Collecting(_)));
    let outcome = if is_undecided {
        wire_calls::CallOutcome::NotRun
    } else {
        wire_calls::CallOutcome::Unknown
    };
    settle(state, request, outcome, output);
}

/// Handles the refusal of a claimed call: releases the claim if the request did not run, and ends
/// it otherwise.
pub fn settle(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    outcome: wire_calls::CallOutcome,
    output: &mut event::ReducerOutput,
) {
    match outcome {
        wire_calls::CallOutcome::NotRun => drop(release(state, request, output)),
        wire_calls::CallOutcome::Unknown | wire_calls::CallOutcome::Ran => {
            end_claim(state, request, claim_table::ClaimPhase::Unknown, output);
        }
    }
}

/// Completes a claim whose call was answered in full.
pub fn complete(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    answer: Option<wire::StoredAnswer>,
    output: &mut event::ReducerOutput,
) {
    let Some(request) = state.ledger.table.request_of(call) else {
        return;
    };
    let Some(claim) = state.ledger.table.claim_of(&request) else {
        return;
    };
    let message = wire::LedgerMessage::Done { request, claim };
    ledger::send_to_voters(state, &message, output);
    end_claim(
        state,
        request,
        claim_table::ClaimPhase::Finished(answer),
        output,
    );
}

/// Ends a claim whose call was sent, and notifies the calls that wait for it.
fn end_claim(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    phase: claim_table::ClaimPhase,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let Some(claim) = state.ledger.table.claim_of(&request) else {
        return;
    };
    let outcome = match &phase {
        claim_table::ClaimPhase::Finished(answer) => wire::ClaimState::Finished(answer.clone()),
        _ => wire::ClaimState::Unknown,
    };
    let waiters = state.ledger.table.end_claim(&request, phase, now);
    holder_query::notify_waiters(state, claim, waiters, &outcome, output);
}

/// Requests missing grants again, and withdraws claims that are too late or lose against an earlier
/// one.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let (now, calls) = (state.now, &state.calls.ingress);
    let claim_timeout = settings::millis(state.settings.tunables.ledger.claim_ms);
    let undecided = state
        .ledger
        .table
        .by_call
        .iter()
        .filter_map(|(call, request)| {
            let own = state.ledger.table.claims.get(request)?;
            let claim_table::ClaimPhase::Collecting(tally) = &own.phase else {
                return None;
            };
            let is_overdue = calls.get(call).is_none_or(|call| call.deadline <= now);
            let is_split = now.since(tally.began_at) >= SPLIT_TIMEOUT
                && tally
                    .competing
                    .is_some_and(|competing| competing.claim < own.claim);
            let is_withdrawn = is_overdue || is_split || now.since(tally.began_at) >= claim_timeout;
            let is_due = now.since(tally.sent_at) >= RESEND_INTERVAL;
            (is_withdrawn || is_due).then_some((*request, own.claim, is_withdrawn))
        });
    let undecided: Vec<_> = undecided.collect();
    for (request, claim, is_withdrawn) in undecided {
        if is_withdrawn {
            withdraw(state, request, output);
        } else {
            resend(state, request, claim, output);
        }
    }
}

/// Requests the missing grants of an undecided claim again.
fn resend(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let voters = ledger::voters_digest(state);
    let Some(tally) = tally_of(state, &request, claim) else {
        return;
    };
    tally.sent_at = now;
    // Controls that stored the competing claim may have released it meanwhile.
    tally.denied.clear();
    let granted = tally.granted.clone();
    let message = wire::LedgerMessage::Claim {
        request,
        claim,
        voters,
    };
    for to in ledger::voters(state) {
        if !granted.contains(to) {
            ledger::send(state, *to, message.clone(), output);
        }
    }
}

fn majority(state: &reducer::EngineState) -> usize {
    ledger::voters(state).len() / 2 + 1
}

/// Refusal of a request that was not sent now, but may have run under an earlier call with its key.
pub fn unproven_refusal() -> wire_calls::CallRefusal {
    wire_calls::CallRefusal::unknown(code::ResultCode::ProofMissing)
}
