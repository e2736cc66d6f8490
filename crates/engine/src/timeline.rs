//! What stands in the time line: one enum for the whole system.
//!
//! Most events are derived where the reducer's events and effects pass, so a submodule has nothing
//! to do for them; for what only it knows it calls [`crate::event::ReducerOutput::note`].

use std::{fmt, net::SocketAddr};

use hazeltiller_catalogue::rollout;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls, membership};
use serde::{Deserialize, Serialize};

use crate::rollout::cohort;

/// How a member is seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberView {
    /// It answers.
    Reachable,
    /// It does not answer; it may still run.
    Unreachable,
    /// It said that it leaves.
    Left,
    /// It is forgotten.
    Forgotten,
}

/// How a try or a run ended, other than by an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallFailure {
    /// The owner node was not reached.
    NotReached,
    /// The link to the owner node broke.
    Lost,
    /// The owner node refused.
    Refused,
    /// The target took no connection.
    NotConnected,
    /// The target said that it did not run the request.
    Declined,
    /// Another target answered at the address.
    Misplaced,
    /// What came was no whole answer to the request.
    Unsound,
    /// The target closed the connection before an answer.
    Crashed,
    /// The first byte of an answer did not come in time.
    TimedOut,
    /// The target broke off its answer.
    Cut,
    /// The caller went away.
    CallerGone,
}

/// An event of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TimelineEvent {
    /// The process started.
    ProcessStarted {
        /// This life of it.
        incarnation: ids::IncarnationNumber,
    },
    /// The process was asked to stop.
    ProcessStopping,
    /// An operator proposed a change here.
    ChangeProposed {
        /// Its id.
        change: ids::ChangeId,
        /// The version that it was decided on.
        expects: ids::CatalogueVersion,
    },
    /// A proposed change is accepted.
    ChangeAccepted {
        /// Its id.
        change: ids::ChangeId,
        /// The version that it made.
        version: ids::CatalogueVersion,
    },
    /// A proposed change is refused.
    ChangeRefused {
        /// Its id.
        change: ids::ChangeId,
        /// Why.
        code: code::ResultCode,
    },
    /// Whether a proposed change is accepted cannot be told.
    ChangeUnknown {
        /// Its id.
        change: ids::ChangeId,
    },
    /// A proposed change went on to the leader.
    ChangeForwarded {
        /// Its id.
        change: ids::ChangeId,
        /// Peers address of the leader.
        leader: SocketAddr,
    },
    /// The log has something that an operator must learn.
    LogReported {
        /// Its code.
        code: code::ResultCode,
        /// What happened.
        message: String,
    },
    /// A version is in force here.
    VersionInForce {
        /// The version.
        version: ids::CatalogueVersion,
        /// Its digest.
        digest: ids::StateDigest,
    },
    /// A version was not taken, for want of the right digest; what was in force stays.
    VersionRefused {
        /// Who sent it.
        from: ids::InstanceName,
        /// The version that stays in force.
        held: ids::CatalogueVersion,
        /// Why.
        code: code::ResultCode,
    },
    /// The control group has a leader.
    LeaderKnown {
        /// Its term.
        term: ids::LeaderTerm,
        /// Its peers address.
        leader: SocketAddr,
    },
    /// A voter has not answered this leader within an election timeout.
    VoterSilent {
        /// The voter's instance.
        voter: ids::InstanceName,
        /// Voters that answer, this one included.
        alive: usize,
        /// Voters that a commit needs.
        majority: usize,
    },
    /// A silent voter answers this leader again.
    VoterBack {
        /// The voter's instance.
        voter: ids::InstanceName,
        /// Voters that answer, this one included.
        alive: usize,
        /// Voters that a commit needs.
        majority: usize,
    },
    /// This control knows of no leader any more.
    LeaderLost {
        /// Its latest term.
        term: ids::LeaderTerm,
    },
    /// A member is seen otherwise than before.
    MemberChanged {
        /// Who.
        member: ids::InstanceName,
        /// How.
        view: MemberView,
    },
    /// The parent in the relay tree was left.
    ParentLost {
        /// Its peers address.
        parent: SocketAddr,
        /// Why.
        reason: String,
    },
    /// A link broke or could not be opened.
    LinkLost {
        /// Peers address of the other side.
        address: SocketAddr,
    },
    /// Something came again from the other side of a lost link.
    LinkBack {
        /// Peers address of the other side.
        address: SocketAddr,
    },
    /// A target's announcement was held up on the way and says nothing new.
    AnnouncementOutdated {
        /// The target.
        target: ids::TargetName,
        /// What it said of itself.
        state: membership::TargetState,
        /// Number of the announcement.
        sequence: u64,
    },
    /// An announcement names a service that the catalogue lacks and the name or address of a target that
    /// is known: the known one stays.
    AnnouncementForeign {
        /// The target that it names.
        target: ids::TargetName,
        /// The service.
        service: ids::EntryName,
    },
    /// An own target started again under its name: nothing of its earlier life holds.
    TargetRestarted {
        /// Its name.
        target: ids::TargetName,
        /// Its new life.
        incarnation: ids::IncarnationNumber,
    },
    /// A service's roll-out came into another phase.
    RolloutAdvanced {
        /// The service.
        service: ids::EntryName,
        /// The version that calls move to.
        to: ids::SoftwareVersion,
        /// The phase.
        phase: rollout::RolloutPhase,
        /// Why.
        reason: String,
    },
    /// An own target announced something new.
    TargetAnnounced {
        /// Its name.
        target: ids::TargetName,
        /// Its service.
        service: ids::EntryName,
        /// What it says of itself.
        state: membership::TargetState,
    },
    /// An own target left or its lease lapsed.
    TargetWithdrawn {
        /// Its name.
        target: ids::TargetName,
    },
    /// A target gets no calls for a time.
    TargetEjected {
        /// Its name.
        target: ids::TargetName,
    },
    /// An ejected target gets calls again.
    TargetReturned {
        /// Its name.
        target: ids::TargetName,
    },
    /// A request is held off because it crashed targets.
    RequestQuarantined {
        /// Its fingerprint.
        fingerprint: String,
    },
    /// A caller's request came.
    CallArrived {
        /// Its id.
        request: ids::RequestId,
        /// Method.
        method: String,
        /// Path without query.
        path: String,
        /// Time that the caller leaves, in milliseconds.
        deadline_left_ms: Option<u64>,
        /// Version of the catalogue that it is served by.
        version: ids::CatalogueVersion,
    },
    /// A call is offered to the node of a target.
    CallTried {
        /// Its id.
        request: ids::RequestId,
        /// Number of the try, from 1.
        attempt: u32,
        /// The chosen target.
        target: ids::TargetName,
        /// Peers address of its node.
        node: SocketAddr,
        /// Time left, in milliseconds.
        deadline_left_ms: u32,
        /// Longest wait there that is better than another target, in milliseconds.
        patience_ms: u32,
        /// Version of the target, while a roll-out of its service is under way.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<ids::SoftwareVersion>,
        /// The target's part in that roll-out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cohort: Option<cohort::TargetCohort>,
    },
    /// A try ended without an answer.
    CallTryFailed {
        /// Its id.
        request: ids::RequestId,
        /// How.
        failure: CallFailure,
        /// Why, where the owner node said so.
        code: Option<code::ResultCode>,
        /// Time since the try began, in microseconds.
        took_us: u64,
    },
    /// The caller gets a target's answer.
    CallAnswered {
        /// Its id.
        request: ids::RequestId,
        /// Status of the answer.
        status: u16,
        /// Time since it came, in microseconds.
        took_us: u64,
    },
    /// The caller gets a refusal.
    CallRefused {
        /// Its id.
        request: ids::RequestId,
        /// Why.
        code: code::ResultCode,
        /// Whether it ran.
        outcome: calls::CallOutcome,
        /// When the caller was told to come back, in milliseconds; 0 where it was not.
        retry_after_ms: u32,
        /// Time since it came, in microseconds.
        took_us: u64,
    },
    /// A call was offered here for an own target.
    CallOffered {
        /// Its id.
        request: ids::RequestId,
        /// The target.
        target: ids::TargetName,
        /// Number of the try.
        attempt: u32,
    },
    /// This node refused an offered call.
    OfferRefused {
        /// Its id.
        request: ids::RequestId,
        /// Why.
        code: code::ResultCode,
        /// The limit that did it, where one did.
        limit: Option<String>,
        /// Requests that ran at the target.
        running: Option<u32>,
        /// Requests that waited for it.
        queued: Option<u32>,
        /// Requests that it was given at once.
        slots: Option<u32>,
        /// Time that the offer was here, in microseconds.
        held_us: u64,
    },
    /// An offered call runs at an own target.
    CallRun {
        /// Its id.
        request: ids::RequestId,
        /// The target.
        target: ids::TargetName,
    },
    /// A run ended with a whole answer.
    RunDone {
        /// Its id.
        request: ids::RequestId,
        /// Status of the answer.
        status: u16,
        /// Time since the call was offered, in microseconds.
        took_us: u64,
    },
    /// A run ended otherwise.
    RunFailed {
        /// Its id.
        request: ids::RequestId,
        /// How.
        failure: CallFailure,
    },
    /// What the calls of a route used here in a second in which not all of them ended well.
    RouteUsage {
        /// The route.
        route: ids::EntryName,
        /// Its use.
        #[serde(flatten)]
        usage: RouteUsage,
    },
}

/// What calls of one route used at one process: the first fields as their callers' node, those from `offers`
/// on as the node of their targets. Sums of times are in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteUsage {
    /// Calls whose callers got a target's answer.
    pub answered: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Time from the arrival of the refused ones to their refusals.
    pub refused_ms: u64,
    /// Offers to targets.
    pub tries: u64,
    /// Those that the targets' nodes gave back.
    pub given_back: u64,
    /// Time from these offers until this node knew.
    pub given_back_ms: u64,
    /// Offers that came.
    pub offers: u64,
    /// Those that were given back.
    pub declined: u64,
    /// Time that these were here.
    pub declined_ms: u64,
    /// Runs that ended well within the target latency.
    pub in_time: u64,
    /// Their slot time.
    pub in_time_ms: u64,
    /// Runs that ended well later.
    pub late: u64,
    /// Their slot time.
    pub late_ms: u64,
    /// Runs that came to nothing.
    pub failed: u64,
    /// Their slot time.
    pub failed_ms: u64,
}

impl RouteUsage {
    /// Whether calls were refused or runs came to nothing.
    pub fn has_failures(&self) -> bool {
        self.refused + self.declined + self.failed > 0
    }
}

impl TimelineEvent {
    /// The request that it is about, for an event of a call.
    pub fn request(&self) -> Option<&ids::RequestId> {
        match self {
            Self::CallArrived { request, .. }
            | Self::CallTried { request, .. }
            | Self::CallTryFailed { request, .. }
            | Self::CallAnswered { request, .. }
            | Self::CallRefused { request, .. }
            | Self::CallOffered { request, .. }
            | Self::OfferRefused { request, .. }
            | Self::CallRun { request, .. }
            | Self::RunDone { request, .. }
            | Self::RunFailed { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Whether it tells of calls: those are kept apart from what happens to the configuration.
    pub fn is_call_event(&self) -> bool {
        self.request().is_some() || matches!(self, Self::RouteUsage { .. })
    }

    /// Whether an operator should look at it.
    pub fn needs_attention(&self) -> bool {
        matches!(
            self,
            Self::ChangeUnknown { .. }
                | Self::LogReported { .. }
                | Self::VersionRefused { .. }
                | Self::LeaderLost { .. }
                | Self::VoterSilent { .. }
                | Self::LinkLost { .. }
                | Self::TargetEjected { .. }
                | Self::RequestQuarantined { .. }
                | Self::CallTryFailed { .. }
                | Self::CallRefused { .. }
                | Self::RunFailed { .. }
        )
    }
}

/// Its fields as `name=value`, in order; the name of the kind goes before them.
impl fmt::Display for TimelineEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = serde_json::to_value(self).expect("an event has only text keys");
        let fields = value.as_object().expect("an event is an object");
        for (index, (name, value)) in fields.iter().enumerate() {
            if index > 0 {
                f.write_str(" ")?;
            }
            match value {
                serde_json::Value::String(text) => write!(f, "{name}={text}")?,
                other => write!(f, "{name}={other}")?,
            }
        }
        Ok(())
    }
}
