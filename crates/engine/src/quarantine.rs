//! Quarantine of requests that crash the targets that run them.
//!
//! When a target crashes, its owner node attributes the crash to every request that was in flight
//! there, and tells a few other nodes. In a fleet that has more, each node to which a crash is new
//! passes it on to its gossip partners, so that no node has to open a link to every other one. A
//! request with one attributed crash runs isolated at a target
//! from then on, so that no further request has a crash attributed because of it. A request with
//! two crashes is refused for a time.

use std::time::Duration;

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{calls as wire_calls, ledger as wire_ledger, message, quarantine as wire};
use indexmap::IndexMap;
use rand::seq::IteratorRandom;

use crate::{event, reducer, settings};

/// Number of crashes from which a request is refused.
const QUARANTINE_CRASHES: u32 = 2;
/// Reports of a crash of the same target within this time count as one crash. They may come over
/// several nodes; a target that has crashed is back only after some seconds.
const SAME_CRASH_WINDOW: Duration = Duration::from_millis(1500);
/// Number of nodes that the owner node of a crashed target tells itself.
const MAX_TOLD_NODES: usize = 32;
/// Maximum number of crashes that a node passes on in one message; the rest follow with the next
/// tick.
const MAX_PASSED_ON: usize = 64;

/// Retry delay for a call that could not be isolated, in milliseconds.
const RETRY_AFTER_MS: u32 = 200;

/// Events of quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// An own target crashed while it ran a request.
    Crashed(wire::CrashRecord),
}

/// Whether a request is suspected of crashing targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashSuspicion {
    /// No crash is attributed to it.
    Clear,
    /// It was in flight at one crash, and runs isolated: its target runs no other call meanwhile.
    Suspect,
    /// It was in flight at two crashes, and is refused.
    Quarantined,
}

/// Crashes that are attributed to one request.
#[derive(Debug, Clone)]
struct CrashAttribution {
    /// Number of crashes.
    crashes: u32,
    last_target: ids::TargetName,
    last_crash_at: time::MonotonicTime,
}

/// Quarantine state of this process.
#[derive(Debug, Clone, Default)]
pub struct QuarantineState {
    /// Requests that were in flight at a recent crash.
    attributions: IndexMap<wire_ledger::RequestDigest, CrashAttribution>,
    /// Isolated calls of suspect requests, by the target that runs them.
    isolated: IndexMap<ids::TargetName, ids::CallId>,
    /// Crashes that are passed on to the gossip partners with the next tick.
    pending: Vec<wire::CrashRecord>,
}

impl QuarantineState {
    /// Returns whether a suspect request runs at a target, which then accepts no other call.
    fn runs_isolated(&self, target: &ids::TargetName) -> bool {
        self.isolated.contains_key(target)
    }

    /// Releases the target of a call that has ended.
    pub fn end_call(&mut self, call: ids::CallId) {
        if !self.isolated.is_empty() {
            self.isolated.retain(|_, isolated| *isolated != call);
        }
    }

    /// Attributes a crash to its request. If `max_requests` are remembered, the oldest is evicted.
    /// Returns whether the crash was new.
    fn record_crash(
        &mut self,
        crash: &wire::CrashRecord,
        now: time::MonotonicTime,
        max_requests: usize,
    ) -> bool {
        if let Some(attribution) = self.attributions.get_mut(&crash.request) {
            let is_same_crash = attribution.last_target == crash.target
                && now.since(attribution.last_crash_at) < SAME_CRASH_WINDOW;
            if !is_same_crash {
                attribution.crashes += 1;
                attribution.last_target = crash.target.clone();
                attribution.last_crash_at = now;
            }
            return !is_same_crash;
        }
        if self.attributions.len() >= max_requests {
            self.attributions.shift_remove_index(0);
        }
        let attribution = CrashAttribution {
            crashes: 1,
            last_target: crash.target.clone(),
            last_crash_at: now,
        };
        self.attributions.insert(crash.request, attribution);
        true
    }
}

/// Returns the current standing of a request.
pub fn standing(
    state: &reducer::EngineState,
    request: Option<&wire_ledger::RequestDigest>,
) -> CrashSuspicion {
    if state.quarantine.attributions.is_empty() {
        return CrashSuspicion::Clear;
    }
    let attribution = request.and_then(|request| state.quarantine.attributions.get(request));
    let Some(attribution) = attribution else {
        return CrashSuspicion::Clear;
    };
    let age = state.now.since(attribution.last_crash_at);
    let tunables = &state.settings.tunables.quarantine;
    if attribution.crashes >= QUARANTINE_CRASHES && age < settings::millis(tunables.refuse_ms) {
        CrashSuspicion::Quarantined
    } else if age < settings::millis(tunables.suspect_ms) {
        CrashSuspicion::Suspect
    } else {
        CrashSuspicion::Clear
    }
}

/// Checks an offered call before it runs at its target. Returns a refusal if the request is
/// quarantined, if the target runs an isolated request, or if the request is a suspect and the
/// target runs others. A suspect that is let through occupies the target until its call ends.
pub fn check_offer(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    offer: &wire_calls::CallOffer,
) -> Option<wire_calls::CallRefusal> {
    let refuse_elsewhere = || {
        let code = code::ResultCode::CapacityExceeded;
        let refusal = wire_calls::CallRefusal::not_run(code).elsewhere();
        Some(wire_calls::CallRefusal {
            retry_after_ms: RETRY_AFTER_MS,
            ..refusal
        })
    };
    match standing(state, offer.fingerprint.as_ref()) {
        CrashSuspicion::Quarantined => {
            let code = code::ResultCode::RequestQuarantined;
            Some(wire_calls::CallRefusal::not_run(code))
        }
        _ if state.quarantine.runs_isolated(&offer.target) => refuse_elsewhere(),
        CrashSuspicion::Clear => None,
        CrashSuspicion::Suspect => {
            let admission = state.admission.targets.get(&offer.target);
            if admission.is_some_and(|admission| admission.running > 0) {
                return refuse_elsewhere();
            }
            state.quarantine.isolated.insert(offer.target.clone(), call);
            None
        }
    }
}

/// Passes crashes on, and drops those that no longer count.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    pass_on(state, output);
    let now = state.now;
    let tunables = &state.settings.tunables.quarantine;
    let retention = settings::millis(tunables.refuse_ms.max(tunables.suspect_ms));
    let attributions = &mut state.quarantine.attributions;
    attributions.retain(|_, attribution| now.since(attribution.last_crash_at) < retention);
}

/// Sends the crashes that were new here to the gossip partners.
fn pass_on(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let pending = &mut state.quarantine.pending;
    if pending.is_empty() {
        return;
    }
    let crashes: Vec<wire::CrashRecord> =
        pending.drain(..pending.len().min(MAX_PASSED_ON)).collect();
    let message = wire::QuarantineMessage { crashes };
    for to in state.membership.partner_addresses() {
        output.send(to, message::PeerMessage::Quarantine(message.clone()));
    }
}

/// Records a crash of an own target, and sends it to other nodes at once: to all of them, or to a
/// random sample that passes it on.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: QuarantineEvent,
    output: &mut event::ReducerOutput,
) {
    let QuarantineEvent::Crashed(crash) = event;
    let max_requests = state.settings.tunables.quarantine.blamed as usize;
    let quarantine = &mut state.quarantine;
    quarantine.record_crash(&crash, state.now, max_requests);
    if state.membership.node_count > MAX_TOLD_NODES + 1 {
        quarantine.pending.push(crash.clone());
    }
    let crashes = vec![crash];
    let message = wire::QuarantineMessage { crashes };
    let others = state.membership.others();
    let nodes = others.filter(|member| member.record.identity.is_node);
    let told = nodes.sample(&mut state.random, MAX_TOLD_NODES);
    for member in told {
        let to = member.record.identity.address;
        output.send(to, message::PeerMessage::Quarantine(message.clone()));
    }
}

/// Records the crashes that another node reports.
pub fn receive(state: &mut reducer::EngineState, message: &wire::QuarantineMessage) {
    let max_requests = state.settings.tunables.quarantine.blamed as usize;
    let passes_on = state.membership.node_count > MAX_TOLD_NODES + 1;
    for crash in &message.crashes {
        let quarantine = &mut state.quarantine;
        let is_new = quarantine.record_crash(crash, state.now, max_requests);
        if is_new && passes_on {
            quarantine.pending.push(crash.clone());
        }
    }
}
