//! Metadata that nodes exchange about a call, and the headers that carry it.
//!
//! Calls between nodes use HTTP/2. Their metadata is carried in headers, encoded with postcard and
//! base64, so that it is complete before the first byte of the body. On a slow link it is a
//! considerable part of a call's traffic; header names are therefore short, and values that repeat
//! from call to call have a header of their own, which HTTP/2 header compression sends only once.

use std::{fmt, time::Duration};

use hazeltiller_catalogue::entry;
use hazeltiller_units::{code, ids};
use serde::{Deserialize, Serialize};

use crate::ledger;

/// Prefix of the names of the system's own headers.
pub const HEADER_PREFIX: &str = "hazeltiller-";
/// Prefix of the names of headers that are used between nodes only. Short, since every call
/// carries them.
pub const LINK_HEADER_PREFIX: &str = "hz-";
/// Header with the [`OfferTerms`] of a call. Identical for all calls of a route, so that HTTP/2
/// header compression sends it once per connection.
pub const OFFER_TERMS_HEADER: &str = "hz-t";
/// Header with the [`SentOffer`] of a call.
pub const OFFER_HEADER: &str = "hz-o";
/// Header with the [`CallRefusal`] of an offer that was refused.
pub const REFUSAL_HEADER: &str = "hz-r";
/// Response header with a [`LoadReport`].
pub const LOAD_HEADER: &str = "hz-l";
/// Header with the result code of a response that the system generated itself.
pub const CODE_HEADER: &str = "hazeltiller-code";
/// Header with the [`CallOutcome`] of a response that the system generated itself.
pub const OUTCOME_HEADER: &str = "hazeltiller-outcome";
/// Header with the time left until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "hazeltiller-deadline-ms";
/// Header with the largest attempt number among a call and the calls that led to it, from 1. A
/// service that makes further calls while it handles a call passes the header on, so that calls
/// made for a retry are recognised as such.
pub const ATTEMPT_HEADER: &str = "hazeltiller-attempt";
/// Header with the [`CallLimit`] that caused a refusal.
pub const LIMIT_HEADER: &str = "hazeltiller-limit";
/// Header with the id of a request. A service that makes further calls while it handles a call
/// passes the header on.
pub const REQUEST_HEADER: &str = "hazeltiller-request";
/// Header with the sender's hybrid logical time; used between nodes only.
pub const CLOCK_HEADER: &str = "hz-c";
/// Header with the [`CallPrecedence`] of an offer, if it is not that of a new call; used between
/// nodes only.
pub const PRECEDENCE_HEADER: &str = "hz-p";
/// Response header with a [`RoomReport`]; used between nodes only.
pub const ROOM_HEADER: &str = "hz-d";
/// Response header with the time in which the backlog of the owner node's link drains, in
/// milliseconds; absent without a backlog, and used between nodes only.
pub const LINK_BACKLOG_HEADER: &str = "hz-b";
/// Header with the [`SentOffer`] of a call whose request stays at the ingress node until the owner
/// node has admitted the call. A build that does not know the header finds no offer, and refuses the
/// call as not run.
pub const PLACE_OFFER_HEADER: &str = "hz-q";
/// Header with the [`PlaceTicket`] of an admitted call: in the response to such an offer, and in
/// place of an offer in the request that follows it.
pub const PLACE_TICKET_HEADER: &str = "hz-k";
/// Header with the name of the organisation that a call belongs to; used between nodes only.
pub const CALL_ORGANISATION_HEADER: &str = "hz-g";
/// Header with the name of the organisation that a request belongs to, for its target.
pub const ORGANISATION_HEADER: &str = "hazeltiller-organisation";
/// Header with the name of the target that answered.
pub const TARGET_HEADER: &str = "hazeltiller-target";
/// Header with the caller's idempotency key, by which a resent request is recognised.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Whether a request that the system answered with an error was run by a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran when it was sent earlier.
    Ran,
}

impl CallOutcome {
    /// Returns the header value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// Field of a catalogue entry that limits calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LimitField {
    /// Concurrent requests of a target.
    Slots,
    /// Requests waiting for a slot of a target.
    Queue,
    /// Maximum time in a queue.
    QueueTime,
    /// Cost units per second of an owner.
    Rate,
    /// Latency up to which a response has its full value to the caller.
    TargetLatency,
    /// Maximum duration of a call.
    Deadline,
    /// Maximum number of attempts of a call.
    Tries,
    /// Requests per second that a target of a service names in its responses.
    TargetRate,
}

impl LimitField {
    /// Returns the name of the field in catalogue documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::Queue => "queue",
            Self::QueueTime => "queue_ms",
            Self::Rate => "rate",
            Self::TargetLatency => "target_latency_ms",
            Self::Deadline => "deadline_ms",
            Self::Tries => "tries",
            Self::TargetRate => "target_rate",
        }
    }
}

/// The limit that caused a refusal, displayed for example as `owner registru limits.rate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLimit {
    /// The entry that sets the limit.
    pub entry: entry::EntryKey,
    /// The field of the entry.
    pub field: LimitField,
}

impl fmt::Display for CallLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field {
            LimitField::TargetRate => {
                write!(f, "rate limit named by a target of {}", self.entry)
            }
            _ => write!(f, "{} limits.{}", self.entry, self.field.as_str()),
        }
    }
}

/// Refusal of a call by the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRefusal {
    /// Result code that states the reason.
    pub code: code::ResultCode,
    /// Whether the request was run.
    pub outcome: CallOutcome,
    /// Whether another target may accept the call.
    pub elsewhere: bool,
    /// Time after which the call may be retried, in milliseconds; 0 if unknown.
    pub retry_after_ms: u32,
    /// The limit that caused the refusal, if any.
    pub limit: Option<CallLimit>,
    /// Load of the target, if the refusal comes from its owner node.
    pub load: Option<LoadReport>,
}

impl CallRefusal {
    /// Creates a refusal of a call that did not run and that no other target can accept either.
    pub fn not_run(code: code::ResultCode) -> Self {
        Self {
            code,
            outcome: CallOutcome::NotRun,
            elsewhere: false,
            retry_after_ms: 0,
            limit: None,
            load: None,
        }
    }

    /// Creates a refusal of a call that may have run.
    pub fn unknown(code: code::ResultCode) -> Self {
        Self {
            outcome: CallOutcome::Unknown,
            ..Self::not_run(code)
        }
    }

    /// Marks the call as one that another target may accept.
    #[must_use]
    pub fn elsewhere(self) -> Self {
        Self {
            elsewhere: true,
            ..self
        }
    }

    /// Sets the limit that caused the refusal and the time after which the call may be retried.
    #[must_use]
    pub fn with_limit(self, limit: CallLimit, retry_after_ms: u32) -> Self {
        Self {
            limit: Some(limit),
            retry_after_ms,
            ..self
        }
    }
}

/// A call offered to the owner node of the target chosen for it. The node accepts or refuses it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallOffer {
    /// The chosen target.
    pub target: ids::TargetName,
    /// Route that the call matched.
    pub route: ids::EntryName,
    /// Service of the target.
    pub service: ids::EntryName,
    /// Owner that the call is accounted to.
    pub owner: ids::EntryName,
    /// Class that determines the call's priority.
    pub class: ids::EntryName,
    /// Cost of the call, in cost units.
    pub cost: u32,
    /// Time left until the deadline, in milliseconds.
    pub deadline_left_ms: u32,
    /// Maximum time to the first byte of the response, in milliseconds.
    pub first_byte_ms: u32,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Digest that identifies the request; absent if it cannot be distinguished from others.
    pub fingerprint: Option<ledger::RequestDigest>,
    /// Time left within the route's target latency, in milliseconds.
    pub latency_left_ms: u32,
    /// Wait for a slot, in milliseconds, above which another target is preferable. If the expected
    /// wait is longer, the owner node refuses the offer at once instead of queueing it.
    pub patience_ms: u32,
    /// Service of the target that sent the request, if it came from a target.
    pub caller: Option<ids::EntryName>,
    /// Precedence among the calls of the class.
    #[serde(default)]
    pub precedence: CallPrecedence,
}

/// Precedence of a call among the waiting calls of its class and owner, from the first served to
/// the last.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum CallPrecedence {
    /// Made by a run that holds a slot of another target until the call ends.
    Nested,
    /// Sent again at the time that a refusal named.
    Returning,
    /// Any other call.
    #[default]
    New,
}

/// Entitles one request to the place that an owner node keeps for its call. A ticket of an earlier
/// incarnation of the node, or of a call that has been started or given up, entitles to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlaceTicket {
    /// Incarnation of the owner node.
    pub incarnation: ids::IncarnationNumber,
    /// Identifier of the call within that process.
    pub call: ids::CallId,
}

/// The part of an offer that is the same for all calls of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferTerms {
    route: ids::EntryName,
    service: ids::EntryName,
    owner: ids::EntryName,
    class: ids::EntryName,
    cost: u32,
    first_byte_ms: u32,
    is_idempotent: bool,
    caller: Option<ids::EntryName>,
}

/// The part of an offer that differs from call to call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferAttempt {
    target: ids::TargetName,
    deadline_left_ms: u32,
    attempt: u32,
    key: Option<String>,
    fingerprint: Option<ledger::RequestDigest>,
    latency_left_ms: u32,
    patience_ms: u32,
}

/// The part of an offer that differs from call to call, with the time of sending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentOffer {
    /// Time of sending by the sender's boot clock, in milliseconds.
    pub sent_ms: u64,
    /// The part of the offer.
    pub attempt: OfferAttempt,
}

impl CallOffer {
    /// Splits the offer into the two parts that are sent in separate headers.
    pub fn split(self) -> (OfferTerms, OfferAttempt) {
        let terms = OfferTerms {
            route: self.route,
            service: self.service,
            owner: self.owner,
            class: self.class,
            cost: self.cost,
            first_byte_ms: self.first_byte_ms,
            is_idempotent: self.is_idempotent,
            caller: self.caller,
        };
        let attempt = OfferAttempt {
            target: self.target,
            deadline_left_ms: self.deadline_left_ms,
            attempt: self.attempt,
            key: self.key,
            fingerprint: self.fingerprint,
            latency_left_ms: self.latency_left_ms,
            patience_ms: self.patience_ms,
        };
        (terms, attempt)
    }

    /// Subtracts the time spent in transit from the remaining times.
    pub fn subtract_elapsed(&mut self, elapsed: Duration) {
        let millis = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        self.deadline_left_ms = self.deadline_left_ms.saturating_sub(millis);
        self.latency_left_ms = self.latency_left_ms.saturating_sub(millis);
    }

    /// Reassembles an offer from its two parts. Its precedence, which has a header of its own, is
    /// that of a new call.
    pub fn join(terms: OfferTerms, attempt: OfferAttempt) -> Self {
        Self {
            target: attempt.target,
            route: terms.route,
            service: terms.service,
            owner: terms.owner,
            class: terms.class,
            cost: terms.cost,
            deadline_left_ms: attempt.deadline_left_ms,
            first_byte_ms: terms.first_byte_ms,
            attempt: attempt.attempt,
            is_idempotent: terms.is_idempotent,
            key: attempt.key,
            fingerprint: attempt.fingerprint,
            latency_left_ms: attempt.latency_left_ms,
            patience_ms: attempt.patience_ms,
            caller: terms.caller,
            precedence: CallPrecedence::default(),
        }
    }
}

/// What an owner node reports, while there is a shortage, of the calls that runs make.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomReport {
    /// Whether the calls of the route that the report accompanies are made by runs.
    pub is_nested: bool,
    /// Share of the runs of the route that are expected to fail because calls of theirs are
    /// refused, in thousandths.
    pub short_permille: u16,
    /// Service that refuses these calls.
    pub service: Option<ids::EntryName>,
}

/// Load of a target, as its owner node reports it with every response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running at the target.
    pub in_flight: u32,
    /// Length of the queue, expressed in runs of mean duration.
    pub queued: u32,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// Smoothed run duration over all routes, in microseconds; 0 before the first run. Shows how
    /// fast slots become free.
    pub service_us: u32,
    /// Smoothed run duration of the route of the call that the report accompanies, in microseconds.
    /// Shows how fast the target is.
    pub route_us: u32,
    /// Whether the owner node considers the target unhealthy from the outcomes of its runs.
    pub is_failing: bool,
}
