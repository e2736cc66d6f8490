//! Calls whose request another claim stands for: what became of it is asked of its holder.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire_calls, ledger as wire};
use rand::RngExt;

use crate::{
    calls, event,
    ledger::{self, claims, race},
    reducer, settings,
};

/// Time between two questions to a holder.
const ASK_PERIOD: Duration = Duration::from_millis(300);
/// Longest random wait before a request is claimed again.
const LONGEST_BACKOFF_MS: u64 = 60;

/// Has a call wait for a claim of this node.
pub fn wait_for(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
    output: &mut event::ReducerOutput,
) {
    let is_done = false;
    ask_rival(
        state,
        call,
        request,
        wire::StoredClaim { claim, is_done },
        output,
    );
}

/// Has a call wait for a claim, wherever it is held.
pub fn ask_rival(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    request: wire::RequestDigest,
    rival: wire::StoredClaim,
    output: &mut event::ReducerOutput,
) {
    let waiting = claims::WaitingCall {
        request,
        holder: rival.claim,
        is_done: rival.is_done,
        asked: state.now,
        heard: state.now,
        is_running: false,
    };
    state.ledger.table.waiting.insert(call, waiting);
    let holder = rival.claim;
    let question = wire::LedgerMessage::Ask {
        request,
        holder,
        call,
    };
    ledger::send(state, holder.node, question, output);
}

/// Answers a node that asks about a claim of this one.
pub fn answer(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    request: wire::RequestDigest,
    holder: wire::ClaimId,
    call: ids::CallId,
    output: &mut event::ReducerOutput,
) {
    let waiter = claims::ClaimWaiter { node: from, call };
    let told = state.ledger.table.state_of(&request, holder, waiter);
    tell(state, holder, vec![waiter], &told, output);
}

/// Tells what became of a claim.
pub fn tell(
    state: &reducer::EngineState,
    holder: wire::ClaimId,
    waiters: Vec<claims::ClaimWaiter>,
    told: &wire::ClaimState,
    output: &mut event::ReducerOutput,
) {
    for waiter in waiters {
        let message = wire::LedgerMessage::Told {
            holder,
            call: waiter.call,
            state: told.clone(),
        };
        ledger::send(state, waiter.node, message, output);
    }
}

/// Takes what a holder says.
pub fn told(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    holder: wire::ClaimId,
    told: wire::ClaimState,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let waiting = state.ledger.table.waiting.get_mut(&call);
    let Some(waiting) = waiting.filter(|waiting| waiting.holder == holder) else {
        return;
    };
    if told == wire::ClaimState::Running {
        waiting.heard = now;
        waiting.is_running = true;
        return;
    }
    let (request, is_done) = (waiting.request, waiting.is_done);
    state.ledger.table.waiting.swap_remove(&call);
    match told {
        wire::ClaimState::Finished(Some(answer)) => {
            let effect = calls::CallEffect::Replay(call, answer);
            output.effects.push(event::Effect::Calls(effect));
        }
        wire::ClaimState::Finished(None) => output.refuse(call, already_done()),
        wire::ClaimState::NeverRan => {
            let claim = holder;
            let message = wire::LedgerMessage::Release { request, claim };
            ledger::send_voters(state, &message, output);
            let wait = state.random.random_range(0..=LONGEST_BACKOFF_MS);
            let due = now + Duration::from_millis(wait);
            state.ledger.table.again.insert(call, (due, request));
        }
        wire::ClaimState::Unknown if is_done => output.refuse(call, already_done()),
        wire::ClaimState::Unknown | wire::ClaimState::Running => {
            output.refuse(call, race::unproven());
        }
    }
}

/// Takes the passing of time: holders are asked again, and waiting ends with the deadline.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    start_again(state, output);
    let now = state.now;
    let longest = settings::millis(state.settings.tunables.ledger.ask_ms);
    let mut refused = Vec::new();
    let mut asked = Vec::new();
    for (call, waiting) in &mut state.ledger.table.waiting {
        let record = state.calls.ingress.get(call);
        let is_over = record.is_none_or(|record| record.deadline <= now);
        let is_silent = now.since(waiting.heard) >= longest;
        if is_over || is_silent {
            refused.push((*call, refusal(waiting, is_silent)));
        } else if now.since(waiting.asked) >= ASK_PERIOD {
            waiting.asked = now;
            asked.push((*call, waiting.request, waiting.holder));
        }
    }
    for (call, refusal) in refused {
        state.ledger.table.waiting.swap_remove(&call);
        output.refuse(call, refusal);
    }
    for (call, request, holder) in asked {
        let question = wire::LedgerMessage::Ask {
            request,
            holder,
            call,
        };
        ledger::send(state, holder.node, question, output);
    }
}

fn start_again(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let due = state.ledger.table.again.iter();
    let due: Vec<_> = due
        .filter(|(_, (due, _))| *due <= now)
        .map(|(call, (_, request))| (*call, *request))
        .collect();
    for (call, request) in due {
        state.ledger.table.again.swap_remove(&call);
        let record = state.calls.ingress.get(&call);
        if record.is_none_or(|record| record.deadline <= now) {
            output.refuse(call, race::unproven());
        } else {
            ledger::claim_call(state, call, request, output);
        }
    }
}

fn refusal(waiting: &claims::WaitingCall, is_silent: bool) -> wire_calls::CallRefusal {
    if waiting.is_done {
        already_done()
    } else if waiting.is_running && !is_silent {
        wire_calls::CallRefusal::unknown(code::ResultCode::RunInProgress)
    } else {
        race::unproven()
    }
}

fn already_done() -> wire_calls::CallRefusal {
    wire_calls::CallRefusal {
        outcome: wire_calls::CallOutcome::Ran,
        ..wire_calls::CallRefusal::not_run(code::ResultCode::RunAlreadyDone)
    }
}
