//! The path of a call through this process, as ingress node, owner node or both.
//!
//! The ingress node matches the request to a route, chooses a target and offers the call to the
//! node that owns the target. The owner node admits the call to one of the target's slots and runs
//! it, that is, sends it to the target. Request and response bodies are streamed outside this
//! module, which only learns how each step ended.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{calls as wire, ledger as wire_ledger, signals as wire_signals};
use indexmap::IndexMap;

use crate::{event, ledger, organisations, reducer, returns, rollout::cohort, routing};

pub mod attributes;
pub mod caller_timeout;
mod ingress;
mod owner;
pub mod throttle;
pub mod transit;

pub use owner::{end_incarnation, evict};

/// A request that a caller sent to this node, which is its ingress node.
#[derive(Debug, Clone, PartialEq)]
pub struct CallArrival {
    /// Identifier of the call within this process.
    pub call: ids::CallId,
    /// Requested host without the port.
    pub host: Option<String>,
    /// Path without the query string.
    pub path: String,
    /// HTTP method.
    pub method: String,
    /// Idempotency key that the caller sent.
    pub key: Option<String>,
    /// Time left until the caller's deadline, if it sent one.
    pub deadline_left: Option<Duration>,
    /// Highest attempt number on the call's path to this node; 1 if the request carried none.
    pub attempt: u32,
    /// Digest that identifies the request, if it can be distinguished from other requests.
    pub fingerprint: Option<wire_ledger::RequestDigest>,
    /// Service of the target that sent the request, if a target sent it.
    pub caller: Option<ids::EntryName>,
    /// API key that the request carries.
    pub api_key: organisations::RequestKey,
}

/// How one attempt of a call ended, as seen by the ingress node.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptResult {
    /// The head of the target's response arrived.
    Answered {
        /// HTTP status of the response.
        status: u16,
    },
    /// The owner node refused the call.
    Refused(wire::CallRefusal),
    /// The owner node could not be reached; no part of the request was sent.
    NotReached,
    /// The connection to the owner node broke after part of the request was sent.
    Lost,
}

/// Measurements that accompany the end of an attempt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptReport {
    /// Load of the target as reported by its owner node.
    pub load: Option<wire::LoadReport>,
    /// Size of the request and response bodies together, in bytes; 0 if unknown.
    pub bytes: u64,
    /// What the owner node reports of the room for the calls that runs make.
    pub room: Option<wire::RoomReport>,
}

/// How a run of a call at its target ended, as seen by the owner node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunResult {
    /// The complete response was forwarded.
    Done {
        /// HTTP status of the response.
        status: u16,
    },
    /// No connection to the target could be opened; nothing was sent.
    NotConnected,
    /// The target answered that it did not run the request.
    Declined,
    /// A different target answers at the address; the request did not run.
    WrongTarget,
    /// The target sent something that is not a complete response to the request.
    Invalid,
    /// The target closed the connection before the first byte of a response.
    Crashed,
    /// The first byte of the response did not arrive in time.
    TimedOut,
    /// The target broke off its response midway.
    Truncated,
    /// The caller disconnected.
    CallerGone,
}

/// Events that concern calls.
#[derive(Debug, Clone, PartialEq)]
pub enum CallEvent {
    /// A caller's request arrived at this node.
    Arrived(CallArrival),
    /// An attempt of a call ended.
    AttemptEnded {
        /// The call.
        call: ids::CallId,
        /// How the attempt ended.
        result: AttemptResult,
        /// Measurements of the attempt.
        report: AttemptReport,
    },
    /// The allowance of a call's organisation lets it pass.
    Allowed(ids::CallId),
    /// This node holds the claim on a call with an idempotency key, so the call may be sent.
    Claimed(ids::CallId),
    /// The ingress node has finished a call.
    Finished(ids::CallId),
    /// A call was offered to this node for one of the targets that it owns.
    Offered {
        /// Identifier of the call within this process.
        call: ids::CallId,
        /// The offer.
        offer: wire::CallOffer,
    },
    /// The run of an offered call ended, or its ingress node abandoned the call.
    RunEnded {
        /// The call.
        call: ids::CallId,
        /// How the run ended.
        result: RunResult,
    },
}

/// An attempt that the ingress node is to make.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptPlan {
    /// The chosen target and its owner node.
    pub candidate: routing::TargetCandidate,
    /// The offer to send.
    pub offer: wire::CallOffer,
    /// Whether the call is claimed; a claimed call continues after its caller disconnects.
    pub is_claimed: bool,
    /// Organisation that the call belongs to.
    pub organisation: Option<ids::EntryName>,
    /// What the target is known to signal, to be reported to its owner node.
    pub signals: Option<wire_signals::SignalReport>,
}

/// A run that the owner node is to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunPlan {
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Name of the target.
    pub target: ids::TargetName,
    /// Timeout for the first byte of the response.
    pub first_byte: Duration,
    /// Deadline of the call.
    pub deadline: time::MonotonicTime,
    /// Load of the target, reported to the ingress node with the response.
    pub load: wire::LoadReport,
    /// Room for the calls that runs make, reported to the ingress node with the response.
    pub room: Option<wire::RoomReport>,
    /// Whether the target is known to signal, so that a response without signals says something.
    pub is_signalling: bool,
}

/// Effects on calls, each to be carried out by the task that serves the call.
#[derive(Debug, Clone, PartialEq)]
pub enum CallEffect {
    /// Ingress node: make an attempt.
    Attempt(ids::CallId, Box<AttemptPlan>),
    /// Ingress node: forward the response whose head arrived to the caller.
    ForwardResponse(ids::CallId),
    /// Ingress node: answer with the stored response to an earlier send of the same request.
    Replay(ids::CallId, wire_ledger::StoredAnswer),
    /// Ingress or owner node: refuse the call.
    Refuse(ids::CallId, wire::CallRefusal),
    /// Owner node: run the call.
    Run(ids::CallId, RunPlan),
    /// Owner node: report the signals of the target to the ingress node with its response.
    ReportSignals(ids::CallId, Option<wire_signals::SignalReport>),
}

/// A call at its ingress node.
#[derive(Debug, Clone)]
pub struct IngressCall {
    /// Attributes that the call has from its request and route.
    pub attributes: attributes::CallAttributes,
    /// Organisation that the call belongs to, identified by its API key.
    pub organisation: Option<ids::EntryName>,
    /// Target of the latest attempt; absent before the first.
    pub target: Option<ids::TargetName>,
    /// Deadline of the call.
    pub deadline: time::MonotonicTime,
    /// Deadline that the caller states, which may be later than the route's.
    pub caller_deadline: Option<time::MonotonicTime>,
    /// Targets of all attempts so far, in order.
    pub attempted_targets: Vec<ids::TargetName>,
    /// Maximum number of attempts that the route allows.
    pub max_attempts: u32,
    /// Whether targets in other data centres may be selected.
    pub spill: bool,
    /// Highest attempt number on the call's path to this node.
    pub arrived_attempt: u32,
    /// Attempts that the owner node refused before it sent the call to the target. They count
    /// neither against the route's limit on attempts nor against the retry budget.
    pub free_placements: u32,
    /// Time after which a response exceeds the route's target latency.
    pub latency_deadline: time::MonotonicTime,
    /// Whether a failed attempt may have run the call.
    pub may_have_run: bool,
    /// Whether the current attempt is counted in the target's outstanding calls.
    pub is_outstanding: bool,
    /// Start of the latest attempt.
    pub attempted_at: time::MonotonicTime,
    /// Cohort of the service's targets from which the next attempt may choose during a rollout.
    pub cohort: cohort::CallCohort,
    /// What the caller was told, or did, about its turn; absent if it has none.
    pub turn: Option<returns::CallerTurn>,
}

/// A call at its owner node.
#[derive(Debug, Clone)]
pub struct OwnerCall {
    /// The offer.
    pub offer: wire::CallOffer,
    /// Incarnation of the target when the call was admitted.
    pub incarnation: ids::IncarnationNumber,
    /// Deadline of the call.
    pub deadline: time::MonotonicTime,
    /// When the call got a slot; absent while it is queued.
    pub started: Option<time::MonotonicTime>,
}

/// Calls in progress in this process.
#[derive(Debug, Clone, Default)]
pub struct CallState {
    /// Calls for which this process is the ingress node.
    pub ingress: IndexMap<ids::CallId, IngressCall>,
    /// Calls for which this process is the owner node.
    pub owner: IndexMap<ids::CallId, OwnerCall>,
    /// Typical caller timeout of each route.
    pub caller_timeouts: caller_timeout::TimeoutTable,
    /// Throttles that refuse calls at the ingress node without an offer.
    pub throttles: throttle::ThrottleTable,
    /// Callers that were told when to return.
    pub returns: returns::ReturnState,
}

/// Refuses queued calls that waited too long and starts queued calls on free slots.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    owner::tick(state, output);
}

/// Handles an event that concerns a call.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: CallEvent,
    output: &mut event::ReducerOutput,
) {
    match event {
        CallEvent::Arrived(arrival) => ingress::accept(state, arrival, output),
        CallEvent::AttemptEnded {
            call,
            result,
            report,
        } => ingress::end_attempt(state, call, result, report, output),
        CallEvent::Allowed(call) => ingress::claim(state, call, output),
        CallEvent::Claimed(call) => ingress::begin(state, call, output),
        CallEvent::Finished(call) => {
            ledger::end_call(state, call, output);
            ingress::finish(state, call);
        }
        CallEvent::Offered { call, offer } => owner::handle_offer(state, call, offer, output),
        CallEvent::RunEnded { call, result } => owner::end_run(state, call, result, output),
    }
}

/// Refuses a call that was not run and that no other target could take either.
fn refuse(call: ids::CallId, code: code::ResultCode, output: &mut event::ReducerOutput) {
    output.refuse(call, wire::CallRefusal::not_run(code));
}
