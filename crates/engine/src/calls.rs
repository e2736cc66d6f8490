//! A call's way through this process, as ingress node, as owner node or as both.
//!
//! The ingress node finds the route and offers the call to a target's owner node; the owner node
//! gives it a slot and runs it. Bodies and answers stream beside this module, which sees only how
//! each step ended.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{calls as wire, ledger as wire_ledger};
use indexmap::IndexMap;

use crate::{event, ledger, reducer, rollout::cohort, routing};

mod ingress;
mod owner;
pub mod terms;
pub mod throttle;
pub mod transit;
pub mod usual;

pub use owner::{end_incarnation, evict};

/// A request that a caller sent to this node.
#[derive(Debug, Clone, PartialEq)]
pub struct CallArrival {
    /// Its number.
    pub call: ids::CallId,
    /// Host without port.
    pub host: Option<String>,
    /// Path without query.
    pub path: String,
    /// Method.
    pub method: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Time that the caller leaves.
    pub deadline_left: Option<Duration>,
    /// The largest number of a try along the call's way here; 1 where none was told.
    pub attempt: u32,
    /// Digest that stands for the request, where it can be told from others.
    pub fingerprint: Option<wire_ledger::RequestDigest>,
    /// Service whose target sent it, where one did.
    pub caller: Option<ids::EntryName>,
}

/// How one try ended at the ingress node.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptResult {
    /// The target's answer has begun.
    Answered {
        /// Its HTTP status.
        status: u16,
    },
    /// The owner node refused.
    Refused(wire::CallRefusal),
    /// The owner node was not reached: nothing of the request was sent.
    NotReached,
    /// The link broke after something was sent.
    Lost,
}

/// What came with the end of a try.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptReport {
    /// What the owner node said of its target.
    pub load: Option<wire::LoadReport>,
    /// Bytes of the request's body and of its answer's, where they are known.
    pub bytes: u64,
}

/// How a run ended at the owner node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunResult {
    /// The whole answer passed.
    Done {
        /// HTTP status of the answer.
        status: u16,
    },
    /// No connection to the target could be made: nothing was sent.
    NotConnected,
    /// The target said that it did not run the request.
    Declined,
    /// Another target answers at the address; the request did not run.
    WrongTarget,
    /// What came is no whole answer to this request.
    Malformed,
    /// The target closed the connection before the first byte of an answer.
    Crashed,
    /// The first byte of an answer did not come in time.
    TimedOut,
    /// The target broke off its answer.
    Truncated,
    /// The caller went away.
    CallerGone,
}

/// Events of calls.
#[derive(Debug, Clone, PartialEq)]
pub enum CallEvent {
    /// A caller's request came.
    Arrived(CallArrival),
    /// A try of a call ended.
    AttemptEnded {
        /// Which call.
        call: ids::CallId,
        /// How.
        result: AttemptResult,
        /// What came with it.
        report: AttemptReport,
    },
    /// The claim on a keyed call is this node's: it may be sent.
    Claimed(ids::CallId),
    /// The ingress node is done with a call.
    Finished(ids::CallId),
    /// A call was offered to this node for an own target.
    Offered {
        /// Number of the call in this process.
        call: ids::CallId,
        /// The offer.
        offer: wire::CallOffer,
    },
    /// The run of an offered call ended, or its ingress node gave it up.
    RunEnded {
        /// Which call.
        call: ids::CallId,
        /// How.
        result: RunResult,
    },
}

/// A try that the ingress node makes.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptPlan {
    /// The chosen target and its node.
    pub candidate: routing::TargetCandidate,
    /// What is offered.
    pub offer: wire::CallOffer,
    /// Whether the call is claimed: then it goes on when its caller goes.
    pub is_claimed: bool,
}

/// A run that the owner node makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunPlan {
    /// Where the target listens.
    pub address: SocketAddr,
    /// Its name.
    pub target: ids::TargetName,
    /// Longest time to the first byte of the answer.
    pub first_byte: Duration,
    /// When the call must be over.
    pub deadline: time::MonotonicTime,
    /// Load of the target as it goes with the answer.
    pub load: wire::LoadReport,
}

/// Effects of calls; each is for the task that carries the call.
#[derive(Debug, Clone, PartialEq)]
pub enum CallEffect {
    /// Ingress: make a try.
    Attempt(ids::CallId, AttemptPlan),
    /// Ingress: pass the answer on that has begun.
    ForwardAnswer(ids::CallId),
    /// Ingress: give the answer of an earlier send.
    Replay(ids::CallId, wire_ledger::StoredAnswer),
    /// Ingress or owner: refuse.
    Refuse(ids::CallId, wire::CallRefusal),
    /// Owner: run it.
    Run(ids::CallId, RunPlan),
}

/// A call at its ingress node.
#[derive(Debug, Clone)]
pub struct IngressCall {
    /// What its request and route say of it.
    pub attributes: terms::CallTerms,
    /// Target of the latest try, once there was one.
    pub target: Option<ids::TargetName>,
    /// When it must be over.
    pub deadline: time::MonotonicTime,
    /// Targets that were tried.
    pub tried: Vec<ids::TargetName>,
    /// Times that the route lets it be tried.
    pub most_tries: u32,
    /// Whether targets of other data centres may take it.
    pub spill: bool,
    /// The largest number of a try along its way to this node.
    pub arrived_attempt: u32,
    /// Tries that ended at another node before the target was offered the call, and that cost
    /// neither one of the route's tries nor budget.
    pub placements: u32,
    /// When an answer is no longer within the route's target latency.
    pub latency_until: time::MonotonicTime,
    /// Whether a try that failed may have run it.
    pub may_have_run: bool,
    /// Whether its try is counted at its target.
    pub is_outstanding: bool,
    /// When its latest try began.
    pub tried_at: time::MonotonicTime,
    /// Which part of its service's targets its next try may go to.
    pub cohort: cohort::CallCohort,
}

/// A call at its owner node.
#[derive(Debug, Clone)]
pub struct OwnerCall {
    /// The offer.
    pub offer: wire::CallOffer,
    /// Life of its target that it was admitted to.
    pub life: ids::IncarnationNumber,
    /// When it must be over.
    pub deadline: time::MonotonicTime,
    /// When it got a slot; absent while it waits.
    pub started: Option<time::MonotonicTime>,
}

/// Calls on their way through this process.
#[derive(Debug, Clone, Default)]
pub struct CallState {
    /// As ingress node.
    pub ingress: IndexMap<ids::CallId, IngressCall>,
    /// As owner node.
    pub owner: IndexMap<ids::CallId, OwnerCall>,
    /// How long callers usually wait.
    pub usual: usual::UsualTimes,
    /// Which calls are refused without an offer.
    pub throttles: throttle::ThrottleTable,
}

/// Takes the passing of time.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    owner::tick(state, output);
}

/// Takes an event of a call.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: CallEvent,
    output: &mut event::ReducerOutput,
) {
    match event {
        CallEvent::Arrived(arrival) => ingress::arrive(state, arrival, output),
        CallEvent::AttemptEnded {
            call,
            result,
            report,
        } => ingress::end_attempt(state, call, result, report, output),
        CallEvent::Claimed(call) => ingress::begin(state, call, output),
        CallEvent::Finished(call) => {
            ledger::end_call(state, call, output);
            ingress::finish(state, call);
        }
        CallEvent::Offered { call, offer } => owner::take_offer(state, call, offer, output),
        CallEvent::RunEnded { call, result } => owner::end_run(state, call, result, output),
    }
}

/// Refuses a call that was not run, and that no other target can take either.
fn refuse(call: ids::CallId, code: code::ResultCode, output: &mut event::ReducerOutput) {
    output.refuse(call, wire::CallRefusal::not_run(code));
}
