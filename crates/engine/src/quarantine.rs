//! Requests that crash the targets that run them.
//!
//! The owner node of a crashed target blames every request that was in flight there, and tells
//! every node. A request blamed for one crash runs alone at a target from then on, so that no
//! other one is blamed with it again; one blamed for two is refused for a time.

use std::time::Duration;

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{calls as wire_calls, ledger as wire_ledger, message, quarantine as wire};
use indexmap::IndexMap;

use crate::{event, reducer, settings};

/// Crashes after which a request is refused.
const MOST_CRASHES: u32 = 2;
/// Blame for the same target within this time is for the same crash.
const SAME_CRASH: Duration = Duration::from_millis(250);

/// When a call that could not run alone is to come back, in milliseconds.
const RETRY_AFTER_MS: u32 = 200;

/// Events of quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// An own target died while it ran a request.
    Crashed(wire::CrashRecord),
}

/// What is held against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestStanding {
    /// Nothing.
    Clear,
    /// It was in flight at one crash: it runs alone.
    Suspect,
    /// It was in flight at two: it is refused.
    Quarantined,
}

#[derive(Debug, Clone)]
struct BlamedRequest {
    crashes: u32,
    last_target: ids::TargetName,
    last: time::MonotonicTime,
}

/// State of quarantine.
#[derive(Debug, Clone, Default)]
pub struct QuarantineState {
    blamed: IndexMap<wire_ledger::RequestDigest, BlamedRequest>,
    /// Suspects that run now, by their target.
    alone: IndexMap<ids::TargetName, ids::CallId>,
}

impl QuarantineState {
    /// Whether a suspect runs at a target, which takes nothing beside it.
    fn runs_alone(&self, target: &ids::TargetName) -> bool {
        self.alone.contains_key(target)
    }

    /// Notes the end of a call.
    pub fn end_call(&mut self, call: ids::CallId) {
        if !self.alone.is_empty() {
            self.alone.retain(|_, alone| *alone != call);
        }
    }

    fn blame(&mut self, crash: &wire::CrashRecord, now: time::MonotonicTime, most: usize) {
        if let Some(blamed) = self.blamed.get_mut(&crash.request) {
            let is_same = blamed.last_target == crash.target && now.since(blamed.last) < SAME_CRASH;
            if !is_same {
                blamed.crashes += 1;
                blamed.last_target = crash.target.clone();
                blamed.last = now;
            }
            return;
        }
        if self.blamed.len() >= most {
            self.blamed.shift_remove_index(0);
        }
        let blamed = BlamedRequest {
            crashes: 1,
            last_target: crash.target.clone(),
            last: now,
        };
        self.blamed.insert(crash.request, blamed);
    }
}

/// What is held against a request now.
pub fn standing(
    state: &reducer::EngineState,
    request: Option<&wire_ledger::RequestDigest>,
) -> RequestStanding {
    if state.quarantine.blamed.is_empty() {
        return RequestStanding::Clear;
    }
    let blamed = request.and_then(|request| state.quarantine.blamed.get(request));
    let Some(blamed) = blamed else {
        return RequestStanding::Clear;
    };
    let age = state.now.since(blamed.last);
    let tunables = &state.settings.tunables.quarantine;
    if blamed.crashes >= MOST_CRASHES && age < settings::millis(tunables.refuse_ms) {
        RequestStanding::Quarantined
    } else if age < settings::millis(tunables.suspect_ms) {
        RequestStanding::Suspect
    } else {
        RequestStanding::Clear
    }
}

/// Why an offered call is not run at its target now, if it is held off: it crashes targets, or it
/// would run beside a suspect, or is one and would run beside others.
pub fn check_offer(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    offer: &wire_calls::CallOffer,
) -> Option<wire_calls::CallRefusal> {
    let elsewhere = || {
        let code = code::ResultCode::CapacityExceeded;
        let refusal = wire_calls::CallRefusal::not_run(code).elsewhere();
        Some(wire_calls::CallRefusal {
            retry_after_ms: RETRY_AFTER_MS,
            ..refusal
        })
    };
    match standing(state, offer.fingerprint.as_ref()) {
        RequestStanding::Quarantined => {
            let code = code::ResultCode::RequestQuarantined;
            Some(wire_calls::CallRefusal::not_run(code))
        }
        _ if state.quarantine.runs_alone(&offer.target) => elsewhere(),
        RequestStanding::Clear => None,
        RequestStanding::Suspect => {
            let admission = state.admission.targets.get(&offer.target);
            if admission.is_some_and(|admission| admission.running > 0) {
                return elsewhere();
            }
            state.quarantine.alone.insert(offer.target.clone(), call);
            None
        }
    }
}

/// Takes the passing of time: old blame is forgotten.
pub fn tick(state: &mut reducer::EngineState) {
    let now = state.now;
    let tunables = &state.settings.tunables.quarantine;
    let longest = settings::millis(tunables.refuse_ms.max(tunables.suspect_ms));
    let blamed = &mut state.quarantine.blamed;
    blamed.retain(|_, blamed| now.since(blamed.last) < longest);
}

/// Takes a crash of an own target, and tells every other node at once.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: QuarantineEvent,
    output: &mut event::ReducerOutput,
) {
    let QuarantineEvent::Crashed(crash) = event;
    let most = state.settings.tunables.quarantine.blamed as usize;
    state.quarantine.blame(&crash, state.now, most);
    let crashes = vec![crash];
    let message = wire::QuarantineMessage { crashes };
    for member in state.membership.others() {
        if member.record.identity.is_node {
            let to = member.record.identity.address;
            output.send(to, message::PeerMessage::Quarantine(message.clone()));
        }
    }
}

/// Takes what another node tells.
pub fn receive(state: &mut reducer::EngineState, message: &wire::QuarantineMessage) {
    let most = state.settings.tunables.quarantine.blamed as usize;
    for crash in &message.crashes {
        state.quarantine.blame(crash, state.now, most);
    }
}
