//! Signals that targets send in their responses: a rate limit, and the notice that they leave.
//!
//! A signal holds for one incarnation of its target. What a response says counts in the order in
//! which the target wrote the responses, and of two responses that were under way together that
//! order is unknown. A limit is therefore raised or ended only by the response to a run that was
//! sent after the limit had been named last; a lower one counts at once, and a leaving notice is
//! never taken back.

use hazeltiller_units::{ids, measure, time};
use indexmap::IndexMap;

use crate::{event, reducer, timeline};

/// Value of one signal in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SignalValue<T> {
    /// The response has no such signal.
    #[default]
    Absent,
    /// The response has the signal.
    Present(T),
    /// The response has something else in its place.
    Malformed,
}

/// Signals in the head of a target's response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResponseSignals {
    /// Requests per second that the target takes from all nodes together.
    pub rate_limit: SignalValue<measure::RequestRate>,
    /// Notice that the target leaves.
    pub leaving: SignalValue<()>,
}

impl ResponseSignals {
    /// Returns whether the response has no signal.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    fn has_malformed(&self) -> bool {
        self.rate_limit == SignalValue::Malformed || self.leaving == SignalValue::Malformed
    }
}

/// Events that concern signals of targets.
#[derive(Debug, Clone, PartialEq)]
pub enum SignalEvent {
    /// The head of a response of an own target arrived.
    Observed {
        /// Call that the target responds to.
        call: ids::CallId,
        /// Id of its request.
        request: ids::RequestId,
        /// Signals in the response.
        signals: ResponseSignals,
        /// Whether the target ran the request. A response that only declines it names signals but
        /// does not end any.
        has_run: bool,
    },
}

/// Signals of one incarnation of a target, as known to this process.
#[derive(Debug, Clone, Default)]
struct KnownSignals {
    /// Incarnation of the target.
    incarnation: ids::IncarnationNumber,
    /// Rate limit that the target names at present.
    rate_limit: Option<measure::RequestRate>,
    /// Whether the target said that it leaves.
    is_leaving: bool,
    /// When the rate limit was last named.
    limit_named_at: time::MonotonicTime,
    /// Whether a malformed signal has been reported.
    has_reported_malformed: bool,
}

/// Signals of targets.
#[derive(Debug, Clone, Default)]
pub struct SignalState {
    targets: IndexMap<ids::TargetName, KnownSignals>,
}

impl SignalState {
    /// Returns the rate limit that a target names, if it does.
    pub fn rate_limit(&self, target: &ids::TargetName) -> Option<measure::RequestRate> {
        self.targets.get(target)?.rate_limit
    }

    /// Returns whether a target is known to signal.
    pub fn is_signalling(&self, target: &ids::TargetName) -> bool {
        self.rate_limit(target).is_some() || self.is_leaving(target)
    }

    /// Returns whether a target said that it leaves.
    pub fn is_leaving(&self, target: &ids::TargetName) -> bool {
        self.targets
            .get(target)
            .is_some_and(|known| known.is_leaving)
    }
}

/// Handles an event that concerns signals of targets.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: SignalEvent,
    output: &mut event::ReducerOutput,
) {
    match event {
        SignalEvent::Observed {
            call,
            request,
            signals,
            has_run,
        } => observe(state, call, &request, signals, has_run, output),
    }
}

/// Takes over the signals in a response of an own target.
fn observe(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    request: &ids::RequestId,
    signals: ResponseSignals,
    has_run: bool,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let Some(record) = state.calls.owner.get(&call) else {
        return;
    };
    let (target, incarnation) = (record.offer.target.clone(), record.incarnation);
    let sent_at = record.started.unwrap_or(now);
    let known = state.signals.targets.entry(target.clone()).or_default();
    if known.incarnation > incarnation {
        return;
    }
    if known.incarnation < incarnation {
        *known = KnownSignals {
            incarnation,
            ..KnownSignals::default()
        };
    }
    let source = timeline::SignalSource::Response;
    if signals.has_malformed() && !known.has_reported_malformed {
        known.has_reported_malformed = true;
        output.record_event(timeline::TimelineEvent::TargetSignalMalformed {
            target: target.clone(),
            request: request.clone(),
        });
    }
    if signals.leaving == SignalValue::Present(()) && !known.is_leaving {
        known.is_leaving = true;
        output.record_event(timeline::TimelineEvent::TargetLeaving {
            target: target.clone(),
            request: request.clone(),
            source,
        });
    }
    let before = known.rate_limit;
    let is_newer = sent_at > known.limit_named_at;
    match signals.rate_limit {
        SignalValue::Present(limit) => {
            if is_newer || before.is_none_or(|before| limit < before) {
                known.rate_limit = Some(limit);
            }
            known.limit_named_at = now;
        }
        SignalValue::Absent if has_run && is_newer => known.rate_limit = None,
        SignalValue::Absent | SignalValue::Malformed => {}
    }
    if known.rate_limit == before {
        return;
    }
    let request = request.clone();
    output.record_event(match known.rate_limit {
        Some(limit) => timeline::TimelineEvent::TargetLimitNamed {
            target,
            limit: limit.to_string(),
            request,
            source,
        },
        None => timeline::TimelineEvent::TargetLimitEnded {
            target,
            request,
            source,
        },
    });
}
