//! Timeline events: one enum for the whole system.
//!
//! Most events are derived from the reducer's events and effects outside the engine, so submodules
//! need no code for them. Events that only a submodule can know are recorded with
//! [`crate::event::ReducerOutput::record_event`].

use std::{fmt, net::SocketAddr};

use hazeltiller_catalogue::rollout;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls, membership};
use serde::{Deserialize, Serialize};

use crate::{returns, rollout::cohort};

mod values;

pub use values::{
    CallFailure, FolderFinding, MemberView, RefusalProof, RouteUsage, SignalSource, VersionSource,
};

/// An event of the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TimelineEvent {
    /// The process started.
    ProcessStarted {
        /// Incarnation of the process.
        incarnation: ids::IncarnationNumber,
    },
    /// A control has opened its data folder.
    FolderOpened {
        /// Id of its replica.
        replica: ids::ReplicaId,
        /// State of the folder.
        found: FolderFinding,
        /// Bytes of an unsynced write that were cut off.
        cut_bytes: u64,
        /// Latest known term.
        term: ids::LeaderTerm,
        /// Last position of the log.
        last: ids::LogPosition,
        /// Last position known to be committed.
        commit: ids::LogPosition,
        /// Instances of the voters.
        voters: Vec<ids::InstanceName>,
        /// Whether this replica is one of them.
        is_voter: bool,
    },
    /// The voters known to this control have changed, or their change is now committed.
    VotersKnown {
        /// Instances of the voters.
        voters: Vec<ids::InstanceName>,
        /// Their replicas, in the same order.
        replicas: Vec<ids::ReplicaId>,
        /// Whether the change that made them voters is committed.
        is_committed: bool,
    },
    /// No leader of the control group is confirmed by a majority. Repeated while that lasts.
    LeaderMissing {
        /// Role of this replica.
        role: String,
        /// Current term.
        term: ids::LeaderTerm,
        /// Duration so far.
        for_ms: u64,
        /// Voters heard from within an election timeout, this replica included if it is one.
        heard: Vec<ids::InstanceName>,
        /// The other voters.
        missing: Vec<ids::InstanceName>,
        /// Number of voters that an election requires.
        majority: usize,
    },
    /// A read of the revision was refused at this control.
    ReadRefused {
        /// Reason of the refusal.
        code: code::ResultCode,
        /// Role of this replica.
        role: String,
        /// Whether a majority has confirmed that it is up to date.
        is_proven: bool,
    },
    /// The process was asked to stop.
    ProcessStopping,
    /// An operator proposed a change at this process.
    ChangeProposed {
        /// Id of the change.
        change: ids::ChangeId,
        /// Catalogue version that the change is based on.
        expects: ids::CatalogueVersion,
    },
    /// A proposed change was accepted.
    ChangeAccepted {
        /// Id of the change.
        change: ids::ChangeId,
        /// Catalogue version that the change produced.
        version: ids::CatalogueVersion,
        /// The operator's label, for a replacement of the whole catalogue.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        label: Option<ids::RevisionLabel>,
    },
    /// A proposed change was refused.
    ChangeRefused {
        /// Id of the change.
        change: ids::ChangeId,
        /// Reason for the refusal.
        code: code::ResultCode,
    },
    /// The result of a proposed change is unknown.
    ChangeUnknown {
        /// Id of the change.
        change: ids::ChangeId,
    },
    /// A proposed change was forwarded to the leader.
    ChangeForwarded {
        /// Id of the change.
        change: ids::ChangeId,
        /// Peer address of the leader.
        leader: SocketAddr,
    },
    /// The replicated log reported something that operators should know.
    LogReported {
        /// Result code.
        code: code::ResultCode,
        /// Description of what happened.
        message: String,
    },
    /// A catalogue version came into force on this process.
    VersionInForce {
        /// Catalogue version.
        version: ids::CatalogueVersion,
        /// Digest of the catalogue.
        digest: ids::StateDigest,
        /// How it came here.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        source: Option<VersionSource>,
        /// Instance that sent it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        from: Option<ids::InstanceName>,
        /// Id of the change that produced it, at a control.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        change: Option<ids::ChangeId>,
        /// Time since its acceptance by the clock of the leader of that time, at a control, in
        /// milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        after_ms: Option<u64>,
        /// Time since its sender queued the frame that brought it, by both clocks, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        frame_ms: Option<u64>,
        /// Time since gossip first named a later version than the one held, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        behind_ms: Option<u64>,
        /// Number of versions in force since the last logged one that have no line of their own.
        #[serde(default, skip_serializing_if = "values::is_zero")]
        passed_over: u64,
    },
    /// A catalogue version was rejected because its digest does not match; the version in force
    /// stays.
    VersionRefused {
        /// Instance that sent it.
        from: ids::InstanceName,
        /// Version that stays in force.
        held: ids::CatalogueVersion,
        /// Reason for the rejection.
        code: code::ResultCode,
    },
    /// The control group has a leader.
    LeaderKnown {
        /// Term of the leader.
        term: ids::LeaderTerm,
        /// Peer address of the leader.
        leader: SocketAddr,
    },
    /// A voter has not answered this leader within an election timeout.
    VoterSilent {
        /// Instance of the voter.
        voter: ids::InstanceName,
        /// Number of responsive voters, this one included.
        alive: usize,
        /// Number of voters that a commit requires.
        majority: usize,
    },
    /// A silent voter answers this leader again.
    VoterBack {
        /// Instance of the voter.
        voter: ids::InstanceName,
        /// Number of responsive voters, this one included.
        alive: usize,
        /// Number of voters that a commit requires.
        majority: usize,
    },
    /// This control no longer knows a leader.
    LeaderLost {
        /// Last known term.
        term: ids::LeaderTerm,
    },
    /// The state of a member has changed.
    MemberChanged {
        /// Instance of the member.
        member: ids::InstanceName,
        /// New state of the member.
        view: MemberView,
    },
    /// The parent in the relay tree was abandoned.
    ParentLost {
        /// Peer address of the parent.
        parent: SocketAddr,
        /// Why the parent was left.
        reason: String,
    },
    /// A link broke or could not be opened.
    LinkLost {
        /// Peer address of the other side.
        address: SocketAddr,
    },
    /// A message arrived again from the other side of a lost link.
    LinkBack {
        /// Peer address of the other side.
        address: SocketAddr,
    },
    /// An announcement of a target was delayed and is already superseded.
    AnnouncementOutdated {
        /// Name of the target.
        target: ids::TargetName,
        /// State in the announcement.
        state: membership::TargetState,
        /// Sequence number of the announcement.
        sequence: u64,
    },
    /// An announcement was ignored because it names a service that the catalogue lacks, together
    /// with the name or address of a known target.
    AnnouncementForeign {
        /// Name of the target in the announcement.
        target: ids::TargetName,
        /// Service in the announcement.
        service: ids::EntryName,
    },
    /// An own target restarted under the same name; the state of its previous incarnation is
    /// discarded.
    TargetRestarted {
        /// Name of the target.
        target: ids::TargetName,
        /// New incarnation of the target.
        incarnation: ids::IncarnationNumber,
    },
    /// The rollout of a service entered another phase.
    RolloutAdvanced {
        /// Service of the rollout.
        service: ids::EntryName,
        /// Version that the rollout moves the calls to.
        to: ids::SoftwareVersion,
        /// New phase.
        phase: rollout::RolloutPhase,
        /// Reason for the transition.
        reason: String,
    },
    /// An own target announced a change.
    TargetAnnounced {
        /// Name of the target.
        target: ids::TargetName,
        /// Service of the target.
        service: ids::EntryName,
        /// State in the announcement.
        state: membership::TargetState,
    },
    /// An own target left, or its lease expired.
    TargetWithdrawn {
        /// Name of the target.
        target: ids::TargetName,
    },
    /// This node refuses part of a route's calls because calls that its runs make find no room.
    DependencyShort {
        /// Name of the route.
        route: ids::EntryName,
        /// Service that has no room.
        service: Option<ids::EntryName>,
        /// Share of the calls that are refused, in thousandths.
        refused_permille: u16,
    },
    /// This node begins all calls of a route again.
    DependencyShortEnded {
        /// Name of the route.
        route: ids::EntryName,
    },
    /// A target named a rate limit, or another one than before.
    TargetLimitNamed {
        /// Name of the target.
        target: ids::TargetName,
        /// Requests per second that the target takes from all nodes together.
        limit: String,
        /// Request whose response or offer brought the limit here.
        request: ids::RequestId,
        /// How it came here.
        source: SignalSource,
    },
    /// A target no longer names a rate limit.
    TargetLimitEnded {
        /// Name of the target.
        target: ids::TargetName,
        /// Request whose response brought the news here.
        request: ids::RequestId,
        /// How it came here.
        source: SignalSource,
    },
    /// A target said that it leaves.
    TargetLeaving {
        /// Name of the target.
        target: ids::TargetName,
        /// Request whose response or offer brought the news here.
        request: ids::RequestId,
        /// How it came here.
        source: SignalSource,
    },
    /// A target sent a signal that is malformed, for the first time in its incarnation; what was
    /// known of the target stays.
    TargetSignalMalformed {
        /// Name of the target.
        target: ids::TargetName,
        /// Request whose response had the malformed signal.
        request: ids::RequestId,
    },
    /// A target was ejected, and gets no calls for a time.
    TargetEjected {
        /// Name of the target.
        target: ids::TargetName,
    },
    /// An ejected target gets calls again.
    TargetReturned {
        /// Name of the target.
        target: ids::TargetName,
    },
    /// This node refused calls because its link could not deliver their responses in time.
    LinkFull {
        /// Calls that it refused since the last such event.
        refused: u64,
        /// Time in which the link sends what waits for it, in milliseconds.
        backlog_ms: u64,
        /// Time in which it sends the expected responses of the calls at this node, in
        /// milliseconds.
        expected_ms: u64,
    },
    /// A request was quarantined because it crashed targets.
    RequestQuarantined {
        /// Fingerprint of the request.
        fingerprint: String,
    },
    /// A request arrived from a caller.
    CallArrived {
        /// Id of the request.
        request: ids::RequestId,
        /// HTTP method.
        method: String,
        /// Path without the query.
        path: String,
        /// Time until the caller's deadline, in milliseconds.
        deadline_left_ms: Option<u64>,
        /// Catalogue version that the request is served with.
        version: ids::CatalogueVersion,
    },
    /// A call was offered to the owner node of a target.
    CallTried {
        /// Id of the request.
        request: ids::RequestId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Selected target.
        target: ids::TargetName,
        /// Peer address of the owner node.
        node: SocketAddr,
        /// Time until the deadline, in milliseconds.
        deadline_left_ms: u32,
        /// Longest queue wait for which no other compared target is better, in milliseconds.
        patience_ms: u32,
        /// Version of the target, while its service has a rollout in progress.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<ids::SoftwareVersion>,
        /// Cohort of the target in that rollout.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cohort: Option<cohort::TargetCohort>,
        /// `kept` if the caller returned when an earlier refusal told it to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        turn: Option<returns::CallerTurn>,
    },
    /// The owner node of a target did not answer in time whether it has a place for a call.
    PlaceUnanswered {
        /// Id of the request.
        request: ids::RequestId,
        /// Peer address of the owner node.
        node: SocketAddr,
        /// Time since the question, in microseconds.
        took_us: u64,
    },
    /// An attempt ended without a response of the target.
    CallTryFailed {
        /// Id of the request.
        request: ids::RequestId,
        /// How the attempt failed.
        failure: CallFailure,
        /// Result code from the owner node, if it sent one.
        code: Option<code::ResultCode>,
        /// Time since the start of the attempt, in microseconds.
        took_us: u64,
    },
    /// The caller gets the response of a target.
    CallAnswered {
        /// Id of the request.
        request: ids::RequestId,
        /// HTTP status of the response.
        status: u16,
        /// Time since the request arrived, in microseconds.
        took_us: u64,
    },
    /// The caller gets a refusal.
    CallRefused {
        /// Id of the request.
        request: ids::RequestId,
        /// Reason for the refusal.
        code: code::ResultCode,
        /// Whether the request was run.
        outcome: calls::CallOutcome,
        /// Retry delay that the caller was given, in milliseconds; 0 if none.
        retry_after_ms: u32,
        /// Limit that caused the refusal, if one did.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<String>,
        /// Whether the retry delay is the caller's turn, or none is left within its time.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        turn: Option<returns::CallerTurn>,
        /// Time since the request arrived, in microseconds.
        took_us: u64,
        /// Catalogue version that the request was judged by.
        version: ids::CatalogueVersion,
    },
    /// A call was offered to this node for an own target.
    CallOffered {
        /// Id of the request.
        request: ids::RequestId,
        /// Name of the target.
        target: ids::TargetName,
        /// Number of the attempt.
        attempt: u32,
    },
    /// This node refused an offered call.
    OfferRefused {
        /// Id of the request.
        request: ids::RequestId,
        /// Reason for the refusal.
        code: code::ResultCode,
        /// Limit that caused the refusal, if one did.
        limit: Option<String>,
        /// Number of calls running at the target.
        running: Option<u32>,
        /// Number of calls queued for the target.
        queued: Option<u32>,
        /// Number of slots of the target.
        slots: Option<u32>,
        /// Time that the offer was held on this node, in microseconds.
        held_us: u64,
        /// What proves that the call did not run.
        proof: RefusalProof,
    },
    /// An offered call started to run at an own target.
    CallRun {
        /// Id of the request.
        request: ids::RequestId,
        /// Name of the target.
        target: ids::TargetName,
    },
    /// A run ended with a complete response.
    RunDone {
        /// Id of the request.
        request: ids::RequestId,
        /// HTTP status of the response.
        status: u16,
        /// Time since the call was offered, in microseconds.
        took_us: u64,
    },
    /// A run ended without a complete response.
    RunFailed {
        /// Id of the request.
        request: ids::RequestId,
        /// How the run failed.
        failure: CallFailure,
        /// What proves that the call did not run; absent if it may have run.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        proof: Option<RefusalProof>,
    },
    /// Resources that the calls of a route used on this process within one second, if not all of
    /// them succeeded.
    RouteUsage {
        /// Route of the calls.
        route: ids::EntryName,
        /// Usage of the route.
        #[serde(flatten)]
        usage: RouteUsage,
    },
    /// A control returned the notice that a target leaves to the restarted owner node.
    WithdrawalReturned {
        /// The target.
        target: ids::TargetName,
        /// Control that held the notice.
        holder: ids::InstanceName,
    },
    /// A notice that a target leaves is not held, since too many are.
    WithdrawalNotHeld {
        /// The target.
        target: ids::TargetName,
        /// Node that owns the target.
        owner: ids::InstanceName,
    },
}

impl TimelineEvent {
    /// Returns the id of the request, for an event of a call.
    pub fn request(&self) -> Option<&ids::RequestId> {
        match self {
            Self::CallArrived { request, .. }
            | Self::CallTried { request, .. }
            | Self::PlaceUnanswered { request, .. }
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

    /// Returns whether the event concerns calls. These are stored apart from configuration events.
    pub fn is_call_event(&self) -> bool {
        self.request().is_some() || matches!(self, Self::RouteUsage { .. })
    }

    /// Returns whether the event deserves an operator's attention.
    pub fn needs_attention(&self) -> bool {
        matches!(
            self,
            Self::ChangeUnknown { .. }
                | Self::LogReported { .. }
                | Self::VersionRefused { .. }
                | Self::LeaderLost { .. }
                | Self::LeaderMissing { .. }
                | Self::ReadRefused { .. }
                | Self::VoterSilent { .. }
                | Self::LinkLost { .. }
                | Self::TargetEjected { .. }
                | Self::RequestQuarantined { .. }
                | Self::PlaceUnanswered { .. }
                | Self::CallTryFailed { .. }
                | Self::CallRefused { .. }
                | Self::RunFailed { .. }
        )
    }
}

/// Formats the fields as `name=value` in order, starting with the kind.
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
