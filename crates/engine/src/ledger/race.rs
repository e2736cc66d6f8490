//! A node's own claim: from the first vote to the end of its call.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire_calls, ledger as wire};

use crate::{
    calls, event,
    ledger::{self, asking, claims},
    reducer, settings,
};

/// Time after which votes that have not come are asked for again.
const RESEND_PERIOD: Duration = Duration::from_millis(100);
/// Time after which the later of two claims that split the votes gives in.
const SPLIT_TIME: Duration = Duration::from_millis(150);

/// Starts a claim for a call.
pub fn start(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    request: wire::RequestDigest,
    output: &mut event::ReducerOutput,
) {
    if ledger::voters(state).is_empty() {
        return output.refuse(call, unproven());
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
    let race = claims::ClaimRace {
        began: state.now,
        sent: state.now,
        ..claims::ClaimRace::default()
    };
    let own = claims::OwnClaim {
        claim,
        call,
        phase: claims::ClaimPhase::Racing(race),
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
    ledger::send_voters(state, &message, output);
}

/// The race of a claim, unless it is over.
fn race_of<'a>(
    state: &'a mut reducer::EngineState,
    request: &wire::RequestDigest,
    claim: wire::ClaimId,
) -> Option<&'a mut claims::ClaimRace> {
    let own = state.ledger.table.claims.get_mut(request)?;
    match &mut own.phase {
        claims::ClaimPhase::Racing(race) if own.claim == claim => Some(race),
        _ => None,
    }
}

/// Takes a control's vote for a claim.
pub fn granted(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
    output: &mut event::ReducerOutput,
) {
    let majority = majority(state);
    let is_voter = ledger::voters(state).contains(&from);
    let Some(race) = race_of(state, &request, claim) else {
        return;
    };
    if is_voter {
        race.denied.swap_remove(&from);
        race.granted.insert(from);
    }
    if race.granted.len() < majority {
        return;
    }
    let own = state.ledger.table.claims.get_mut(&request);
    let own = own.expect("its race was just found");
    own.phase = claims::ClaimPhase::Running;
    let claimed = calls::CallEvent::Claimed(own.call);
    output.enqueue(event::Event::Calls(claimed));
}

/// Takes a control's vote against a claim.
pub fn denied(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
    rival: Option<wire::StoredClaim>,
    output: &mut event::ReducerOutput,
) {
    let (count, majority) = (ledger::voters(state).len(), majority(state));
    let is_voter = ledger::voters(state).contains(&from);
    let Some(race) = race_of(state, &request, claim) else {
        return;
    };
    if !is_voter {
        return;
    }
    race.denied.insert(from);
    race.rival = match (rival, race.rival) {
        (Some(new), Some(old)) if new.claim == old.claim => Some(wire::StoredClaim {
            is_done: new.is_done || old.is_done,
            ..new
        }),
        (new, old) => new.or(old),
    };
    if count - race.denied.len() < majority {
        lose(state, request, output);
    }
}

/// Gives a claim up that has no majority, and asks the one that is in its way.
fn lose(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    output: &mut event::ReducerOutput,
) {
    let Some(own) = abandon(state, request, output) else {
        return;
    };
    let claims::ClaimPhase::Racing(race) = own.phase else {
        unreachable!("only a race is lost");
    };
    match race.rival {
        Some(rival) => asking::ask_rival(state, own.call, request, rival, output),
        None => output.refuse(own.call, unproven()),
    }
}

/// Releases a claim that nothing was sent under, and tells who waits for it.
fn abandon(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    output: &mut event::ReducerOutput,
) -> Option<claims::OwnClaim> {
    let mut own = state.ledger.table.abandon(&request)?;
    let claim = own.claim;
    let message = wire::LedgerMessage::Release { request, claim };
    ledger::send_voters(state, &message, output);
    let waiters = std::mem::take(&mut own.waiters);
    asking::tell(state, claim, waiters, &wire::ClaimState::NeverRan, output);
    Some(own)
}

/// Takes the end of a call that was neither answered nor refused: its task is gone.
pub fn give_up(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    output: &mut event::ReducerOutput,
) {
    let own = state.ledger.table.claims.get(&request);
    let is_racing = own.is_some_and(|own| matches!(own.phase, claims::ClaimPhase::Racing(_)));
    let outcome = if is_racing {
        wire_calls::CallOutcome::NotRun
    } else {
        wire_calls::CallOutcome::Unknown
    };
    settle(state, request, outcome, output);
}

/// Takes the refusal of a claimed call.
pub fn settle(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    outcome: wire_calls::CallOutcome,
    output: &mut event::ReducerOutput,
) {
    match outcome {
        wire_calls::CallOutcome::NotRun => drop(abandon(state, request, output)),
        wire_calls::CallOutcome::Unknown | wire_calls::CallOutcome::Ran => {
            end(state, request, claims::ClaimPhase::Unknown, output);
        }
    }
}

/// Takes the whole answer of a claimed call.
pub fn answered(
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
    ledger::send_voters(state, &message, output);
    end(state, request, claims::ClaimPhase::Finished(answer), output);
}

fn end(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    phase: claims::ClaimPhase,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let Some(claim) = state.ledger.table.claim_of(&request) else {
        return;
    };
    let told = match &phase {
        claims::ClaimPhase::Finished(answer) => wire::ClaimState::Finished(answer.clone()),
        _ => wire::ClaimState::Unknown,
    };
    let waiters = state.ledger.table.end(&request, phase, now);
    asking::tell(state, claim, waiters, &told, output);
}

/// Takes the passing of time: votes are asked for again, splits end, late claims are given up.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let (now, calls) = (state.now, &state.calls.ingress);
    let longest = settings::millis(state.settings.tunables.ledger.claim_ms);
    let racing = state
        .ledger
        .table
        .by_call
        .iter()
        .filter_map(|(call, request)| {
            let own = state.ledger.table.claims.get(request)?;
            let claims::ClaimPhase::Racing(race) = &own.phase else {
                return None;
            };
            let is_over = calls.get(call).is_none_or(|call| call.deadline <= now);
            let is_split = now.since(race.began) >= SPLIT_TIME
                && race.rival.is_some_and(|rival| rival.claim < own.claim);
            let is_lost = is_over || is_split || now.since(race.began) >= longest;
            let is_due = now.since(race.sent) >= RESEND_PERIOD;
            (is_lost || is_due).then_some((*request, own.claim, is_lost))
        });
    let racing: Vec<_> = racing.collect();
    for (request, claim, is_lost) in racing {
        if is_lost {
            lose(state, request, output);
        } else {
            send_again(state, request, claim, output);
        }
    }
}

fn send_again(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let voters = ledger::voters_digest(state);
    let Some(race) = race_of(state, &request, claim) else {
        return;
    };
    race.sent = now;
    // Those that kept a rival may have forgotten it meanwhile.
    race.denied.clear();
    let granted = race.granted.clone();
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

/// Nothing was sent now, but the request may have run under an earlier send of its key.
pub fn unproven() -> wire_calls::CallRefusal {
    wire_calls::CallRefusal::unknown(code::ResultCode::ProofMissing)
}
