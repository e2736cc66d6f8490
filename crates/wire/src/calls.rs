//! What nodes tell each other about one call, beside the call itself.
//!
//! A call goes between nodes as HTTP/2; these records travel in headers of it, as base64 of
//! the compact codec, so that a body never waits for them. On a narrow link they are a good part of
//! what a call costs: names are short, and what repeats stands in a header of its own.

use std::{fmt, time::Duration};

use hazeltiller_catalogue::entry;
use hazeltiller_units::{code, ids};
use serde::{Deserialize, Serialize};

use crate::ledger;

/// What the names of the system's own headers begin with.
pub const HEADER_PREFIX: &str = "hazeltiller-";
/// What the names of headers between nodes only begin with; short, for they go with every call.
pub const LINK_PREFIX: &str = "hz-";
/// Header with the [`OfferTerms`] of a call. The same for every call of a route, so that the
/// connection's header compression sends it once.
pub const TERMS_HEADER: &str = "hz-t";
/// Header with the [`SentOffer`] of a call.
pub const OFFER_HEADER: &str = "hz-o";
/// Header with the [`CallRefusal`] of an offer that was not taken.
pub const REFUSAL_HEADER: &str = "hz-r";
/// Header of an answer with a [`LoadReport`].
pub const LOAD_HEADER: &str = "hz-l";
/// Header with the result code of an answer that the system made.
pub const CODE_HEADER: &str = "hazeltiller-code";
/// Header with the outcome of an answer that the system made.
pub const OUTCOME_HEADER: &str = "hazeltiller-outcome";
/// Header with the time that the caller leaves, in milliseconds.
pub const DEADLINE_HEADER: &str = "hazeltiller-deadline-ms";
/// Header with the largest number of a try along a call's way, from 1: what calls on behalf of a
/// call that is itself a second try passes it on.
pub const ATTEMPT_HEADER: &str = "hazeltiller-attempt";
/// Header with the limit that refused a call.
pub const LIMIT_HEADER: &str = "hazeltiller-limit";
/// Header with the id of a request; what calls on behalf of a call passes it on.
pub const REQUEST_HEADER: &str = "hazeltiller-request";
/// Header with the sender's hybrid logical time, between nodes only.
pub const CLOCK_HEADER: &str = "hz-c";
/// Header with the name of the target that answered.
pub const TARGET_HEADER: &str = "hazeltiller-target";
/// Header with the caller's key for a request that is sent again.
pub const KEY_HEADER: &str = "idempotency-key";

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// It was proven not to have run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, by an earlier send.
    Ran,
}

impl CallOutcome {
    /// The word in the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// A field of a catalogue entry that bounds calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LimitField {
    /// Requests that a target runs at once.
    Slots,
    /// Requests that wait for a slot.
    Queue,
    /// Longest time in a queue.
    QueueTime,
    /// Cost units a second of an owner.
    Rate,
    /// Time within which an answer is of full worth.
    TargetLatency,
    /// Longest time of a call.
    Deadline,
    /// Times that a call is tried.
    Tries,
}

impl LimitField {
    /// The field as operators write it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::Queue => "queue",
            Self::QueueTime => "queue_ms",
            Self::Rate => "rate",
            Self::TargetLatency => "target_latency_ms",
            Self::Deadline => "deadline_ms",
            Self::Tries => "tries",
        }
    }
}

/// The limit that refused a call; written `owner registru limits.rate`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLimit {
    /// The entry that sets it.
    pub entry: entry::EntryKey,
    /// Which of its limits.
    pub field: LimitField,
}

impl fmt::Display for CallLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} limits.{}", self.entry, self.field.as_str())
    }
}

/// A refusal made by the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRefusal {
    /// Why.
    pub code: code::ResultCode,
    /// Whether the request ran.
    pub outcome: CallOutcome,
    /// Whether another target may take it.
    pub elsewhere: bool,
    /// When to come back, in milliseconds; 0 where it is not known.
    pub retry_after_ms: u32,
    /// The limit that did it, where one did.
    pub limit: Option<CallLimit>,
    /// What the owner node says of the target, where one refused.
    pub load: Option<LoadReport>,
}

impl CallRefusal {
    /// A refusal of a call that did not run and that no other target can take either.
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

    /// A refusal of a call that may have run.
    pub fn unknown(code: code::ResultCode) -> Self {
        Self {
            outcome: CallOutcome::Unknown,
            ..Self::not_run(code)
        }
    }

    /// The same refusal, saying that another target may take the call.
    #[must_use]
    pub fn elsewhere(self) -> Self {
        Self {
            elsewhere: true,
            ..self
        }
    }

    /// The same refusal, naming the limit that did it and when to come back.
    #[must_use]
    pub fn with_limit(self, limit: CallLimit, retry_after_ms: u32) -> Self {
        Self {
            limit: Some(limit),
            retry_after_ms,
            ..self
        }
    }
}

/// A call offered to the node that owns the chosen target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallOffer {
    /// Chosen target.
    pub target: ids::TargetName,
    /// Route that the call took.
    pub route: ids::EntryName,
    /// Service of the target.
    pub service: ids::EntryName,
    /// Owner that the call is counted for.
    pub owner: ids::EntryName,
    /// Class that it is served in.
    pub class: ids::EntryName,
    /// Its cost in units.
    pub cost: u32,
    /// Time left, in milliseconds.
    pub deadline_left_ms: u32,
    /// Longest time to the first byte of the answer, in milliseconds.
    pub first_byte_ms: u32,
    /// Number of the try, from 1.
    pub attempt: u32,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// The caller's key.
    pub key: Option<String>,
    /// Digest that stands for the request, where it can be told from others.
    pub fingerprint: Option<ledger::RequestDigest>,
    /// Time left in which an answer is within the route's target latency, in milliseconds.
    pub latency_left_ms: u32,
    /// Longest wait for a slot that is better than another target, in milliseconds: where it would
    /// be longer, the offer is given back at once.
    pub patience_ms: u32,
    /// Service whose target the request came from, where it did.
    pub caller: Option<ids::EntryName>,
}

/// The part of an offer that is the same for every call of a route.
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

/// The part of an offer that differs from call to call, as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentOffer {
    /// The sender's boot clock, in milliseconds.
    pub sent_ms: u64,
    /// The offer's part.
    pub attempt: OfferAttempt,
}

impl CallOffer {
    /// Its two parts, for the wire.
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

    /// Takes time that passed on the way off what is left.
    pub fn subtract_elapsed(&mut self, span: Duration) {
        let millis = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        self.deadline_left_ms = self.deadline_left_ms.saturating_sub(millis);
        self.latency_left_ms = self.latency_left_ms.saturating_sub(millis);
    }

    /// The offer of two parts.
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
        }
    }
}

/// What the owner node says of a target with every answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub in_flight: u32,
    /// Requests that wait, counted in runs of the mean length.
    pub queued: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Smoothed time of a run of any route, in microseconds; 0 before the first. How fast slots free.
    pub service_us: u32,
    /// The same of the route of the call that the report goes with. How fast the target is.
    pub route_us: u32,
    /// Whether its owner node holds it unhealthy by the outcomes that it saw.
    pub is_failing: bool,
}
