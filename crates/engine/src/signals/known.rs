//! What this process knows of the signals of one target, and the timeline events on their changes.

use std::time::Duration;

use hazeltiller_units::{ids, measure, time};
use hazeltiller_wire::signals as wire;

use super::{backoff, limiter};
use crate::{event, signals, timeline};

/// Shortest time between two timeline events on the limit of one target, which may name another
/// limit with each response.
const MIN_EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// How a signal came to this process.
#[derive(Debug, Clone)]
pub(super) struct SignalCause {
    /// Request whose offer or response brought it.
    pub(super) request: ids::RequestId,
    /// Who sent it.
    pub(super) source: timeline::SignalSource,
}

/// Signals of one incarnation of a target, as known to this process.
#[derive(Debug, Clone, Default)]
pub(super) struct KnownSignals {
    /// The latest report, made or received by this process.
    pub(super) report: wire::SignalReport,
    /// Whether this process has observed a response of the target.
    pub(super) is_observed: bool,
    /// When the rate limit was last named.
    limit_named_at: time::MonotonicTime,
    /// Holds requests to the limit, if the target is this node's own and names one.
    pub(super) limiter: Option<limiter::RequestLimiter>,
    /// Times for which this node as an ingress node offers the target no calls.
    pub(super) backoffs: backoff::BackoffTable,
    /// When the signals were last used or changed.
    pub(super) touched_at: time::MonotonicTime,
    /// Rate limit of the last recorded event.
    recorded_limit: Option<measure::RequestRate>,
    /// When an event on the limit was last recorded.
    recorded_at: Option<time::MonotonicTime>,
    /// How the current rate limit came here.
    limit_cause: Option<SignalCause>,
    /// Whether a malformed signal has been recorded.
    has_recorded_malformed: bool,
}

impl KnownSignals {
    /// Returns what is known of an incarnation that has not signalled anything.
    pub(super) fn new(incarnation: ids::IncarnationNumber) -> Self {
        let report = wire::SignalReport {
            incarnation,
            ..wire::SignalReport::default()
        };
        Self {
            report,
            ..Self::default()
        }
    }

    /// Takes over the limit that the response to a run names, which was sent at `sent_at`, and holds
    /// requests to it.
    pub(super) fn name_limit(
        &mut self,
        limit: measure::RequestRate,
        sent_at: time::MonotonicTime,
        now: time::MonotonicTime,
    ) {
        let is_lower = self.report.rate_limit.is_none_or(|known| limit < known);
        if is_lower || sent_at > self.limit_named_at {
            self.set_rate_limit(Some(limit), now);
        }
        self.limit_named_at = now;
        self.enforce(now);
        if let Some(limiter) = &mut self.limiter {
            limiter.confirm(now);
        }
    }

    /// Ends the limit, since the response to a run that was sent at `sent_at` names none.
    pub(super) fn end_limit(&mut self, sent_at: time::MonotonicTime, now: time::MonotonicTime) {
        if sent_at > self.limit_named_at {
            self.set_rate_limit(None, now);
        }
    }

    /// Returns whether the report of another node is newer than what is known here.
    pub(super) fn is_outdated_by(&self, received: &signals::ReceivedReport) -> bool {
        let (known, report) = (&self.report, &received.report);
        match received.source {
            // An ingress node knows nothing that a response of the target has not told this process.
            timeline::SignalSource::IngressNode => {
                let version = |report: &wire::SignalReport| (report.observer, report.sequence);
                !self.is_observed && version(report) > version(known)
            }
            // The clock of the owner node may have been set back before it restarted, so the latest
            // observer need not have the highest number.
            timeline::SignalSource::OwnerNode | timeline::SignalSource::Response => {
                report.observer != known.observer || report.sequence > known.sequence
            }
        }
    }

    /// Takes over the report of another node.
    pub(super) fn adopt(&mut self, report: wire::SignalReport, now: time::MonotonicTime) {
        self.set_rate_limit(report.rate_limit, now);
        self.report = report;
        self.is_observed = false;
        self.limit_named_at = now;
    }

    fn set_rate_limit(
        &mut self,
        rate_limit: Option<measure::RequestRate>,
        now: time::MonotonicTime,
    ) {
        self.report.rate_limit = rate_limit;
        if let (Some(rate_limit), Some(limiter)) = (rate_limit, &mut self.limiter) {
            limiter.set_rate(rate_limit, now);
        }
        if rate_limit.is_none() {
            self.limiter = None;
            self.backoffs.clear();
        }
    }

    /// Starts to hold requests to the rate limit, if the target names one.
    pub(super) fn enforce(&mut self, now: time::MonotonicTime) {
        if let (Some(rate_limit), None) = (self.report.rate_limit, &self.limiter) {
            self.limiter = Some(limiter::RequestLimiter::new(rate_limit, now));
        }
    }

    /// Records that the target sent a malformed signal, once.
    pub(super) fn record_malformed(
        &mut self,
        target: &ids::TargetName,
        request: &ids::RequestId,
        output: &mut event::ReducerOutput,
    ) {
        if !std::mem::replace(&mut self.has_recorded_malformed, true) {
            output.record_event(timeline::TimelineEvent::TargetSignalMalformed {
                target: target.clone(),
                request: request.clone(),
            });
        }
    }

    /// Records how the signals differ from a report before.
    pub(super) fn record_changes(
        &mut self,
        target: &ids::TargetName,
        before: wire::SignalReport,
        cause: SignalCause,
        now: time::MonotonicTime,
        output: &mut event::ReducerOutput,
    ) {
        if self.report.is_leaving && !before.is_leaving {
            output.record_event(timeline::TimelineEvent::TargetLeaving {
                target: target.clone(),
                request: cause.request.clone(),
                source: cause.source,
            });
        }
        if self.report.rate_limit != before.rate_limit {
            self.limit_cause = Some(cause);
        }
        self.record_limit(target, now, output);
    }

    /// Records the rate limit if it differs from the recorded one and the last event on it is not
    /// too recent.
    pub(super) fn record_limit(
        &mut self,
        target: &ids::TargetName,
        now: time::MonotonicTime,
        output: &mut event::ReducerOutput,
    ) {
        let rate_limit = self.report.rate_limit;
        let last = self.recorded_at;
        let is_due = last.is_none_or(|last| now.since(last) >= MIN_EVENT_INTERVAL);
        if rate_limit == self.recorded_limit || !is_due {
            return;
        }
        let Some(SignalCause { request, source }) = self.limit_cause.clone() else {
            return;
        };
        self.recorded_limit = rate_limit;
        self.recorded_at = Some(now);
        let target = target.clone();
        output.record_event(match rate_limit {
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
}
