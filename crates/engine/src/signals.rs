//! Signals that targets send in their responses: a rate limit, and the notice that they leave.
//!
//! Invariant: a signal that any node passed on to a caller holds for all requests that begin at that
//! node, also while the target's owner node restarts or is cut off. All requests to a target pass
//! its owner node, which alone counts them against the limit. But what its process has learnt ends
//! with it. Every ingress node therefore keeps what was reported to it with a response, and reports
//! it back with each offer to the target. An owner node takes such a report over until a response
//! of its target tells it more.
//!
//! A signal holds for one incarnation of its target. What a response says counts in the order in
//! which the target wrote the responses, and of two responses that were under way together that
//! order is unknown. A limit is therefore raised or ended only by the response to a run that was
//! sent after the limit had been named last; a lower one counts at once. A leaving notice is never
//! taken back: the next incarnation of the target is used again.

use std::time::Duration;

use hazeltiller_units::{ids, measure, time};
use hazeltiller_wire::signals as wire;
use indexmap::{IndexMap, IndexSet};

use crate::{calls, event, membership, reducer, settings, timeline};

mod backoff;
mod known;
mod limiter;

/// Maximum number of targets whose signals are kept; those of the target that signalled first are
/// dropped first.
const MAX_TARGETS: usize = 1024;
/// Interval at which the signals of targets that are gone are dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

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

/// A report on a target's signals that another node sent.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedReport {
    /// The target.
    pub target: ids::TargetName,
    /// The report.
    pub report: wire::SignalReport,
    /// Request whose offer or response brought the report.
    pub request: ids::RequestId,
    /// Who sent it.
    pub source: timeline::SignalSource,
}

/// Events that concern signals of targets.
#[derive(Debug, Clone, PartialEq)]
pub enum SignalEvent {
    /// The head of a response of an own target arrived. Answered with
    /// [`calls::CallEffect::ReportSignals`].
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
    /// Another node reported what a target signals.
    Reported(ReceivedReport),
}

/// Signals of targets.
#[derive(Debug, Clone, Default)]
pub struct SignalState {
    targets: IndexMap<ids::TargetName, known::KnownSignals>,
    /// Number of the last report made by this process.
    last_sequence: u64,
    cleaned_up_at: time::MonotonicTime,
}

impl SignalState {
    /// Returns the latest report on a target that signals something.
    pub fn report(&self, target: &ids::TargetName) -> Option<wire::SignalReport> {
        let known = self.targets.get(target)?;
        known.report.is_signalling().then_some(known.report)
    }

    /// Returns the rate limit that a target names, if it does.
    pub fn rate_limit(&self, target: &ids::TargetName) -> Option<measure::RequestRate> {
        self.report(target)?.rate_limit
    }

    /// Returns whether an incarnation of a target, or a later one, said that it leaves.
    pub fn is_leaving(
        &self,
        target: &ids::TargetName,
        incarnation: ids::IncarnationNumber,
    ) -> bool {
        let known = self.targets.get(target);
        known
            .is_some_and(|known| known.report.is_leaving && known.report.incarnation >= incarnation)
    }

    /// Returns the latest report on each target that signals something.
    pub fn reports(&self) -> impl Iterator<Item = (&ids::TargetName, &wire::SignalReport)> {
        let reports = self
            .targets
            .iter()
            .map(|(name, known)| (name, &known.report));
        reports.filter(|(_, report)| report.is_signalling())
    }

    /// Returns the time for which this node offers an incarnation of a target no calls of a class
    /// with this rank; zero if it may be offered one.
    pub fn backoff_time(
        &self,
        target: &ids::TargetName,
        incarnation: ids::IncarnationNumber,
        rank: u32,
        now: time::MonotonicTime,
    ) -> Duration {
        let known = self.targets.get(target);
        let known = known.filter(|known| known.report.incarnation >= incarnation);
        known.map_or(Duration::ZERO, |known| known.backoffs.time_left(rank, now))
    }

    /// Offers a target no calls of a class with this rank for a time, since its owner node refused
    /// one.
    pub fn back_off(
        &mut self,
        target: &ids::TargetName,
        incarnation: ids::IncarnationNumber,
        (rank, delay): (u32, Duration),
        now: time::MonotonicTime,
    ) {
        if let Some(known) = self.of_incarnation(target, incarnation, now) {
            known.backoffs.begin(rank, delay, now);
        }
    }

    /// Records that a call of a class with this rank arrived for an own target.
    pub fn record_call(&mut self, target: &ids::TargetName, rank: u32, now: time::MonotonicTime) {
        if let Some(limiter) = self.limiter(target) {
            limiter.record_call(rank, now);
        }
    }

    /// Returns the time until the limit of an own target lets a call of a class with this rank
    /// pass if `ahead` others go first; zero if it may pass now.
    pub fn limit_wait(
        &mut self,
        target: &ids::TargetName,
        rank: u32,
        ahead: usize,
        now: time::MonotonicTime,
    ) -> Duration {
        let limiter = self.limiter(target);
        limiter.map_or(Duration::ZERO, |limiter| limiter.wait(rank, ahead, now))
    }

    /// Counts a request that is sent to an own target against its limit.
    pub fn count_request(&mut self, target: &ids::TargetName, now: time::MonotonicTime) {
        if let Some(limiter) = self.limiter(target) {
            limiter.take(now);
        }
    }

    /// Returns the retry delay of a call that the limit of an own target held back.
    pub fn defer(&mut self, target: &ids::TargetName, now: time::MonotonicTime) -> Duration {
        let limiter = self.limiter(target);
        limiter.map_or(Duration::ZERO, |limiter| limiter.defer(now))
    }

    /// Prepares for a target that announced itself to this node: forgets the signals of its earlier
    /// incarnations, and holds requests to the limit that it is known to name.
    pub fn own_target_announced(
        &mut self,
        target: &ids::TargetName,
        incarnation: ids::IncarnationNumber,
        now: time::MonotonicTime,
    ) {
        self.forget_before(target, incarnation);
        if let Some(known) = self.targets.get_mut(target) {
            known.enforce(now);
        }
    }

    /// Forgets the signals of earlier incarnations of a target.
    fn forget_before(&mut self, target: &ids::TargetName, incarnation: ids::IncarnationNumber) {
        let known = self.targets.get(target);
        if known.is_some_and(|known| known.report.incarnation < incarnation) {
            self.targets.shift_remove(target);
        }
    }

    fn limiter(&mut self, target: &ids::TargetName) -> Option<&mut limiter::RequestLimiter> {
        self.targets.get_mut(target)?.limiter.as_mut()
    }

    /// Returns what is known of an incarnation of a target; `None` if a later one is known.
    fn of_incarnation(
        &mut self,
        target: &ids::TargetName,
        incarnation: ids::IncarnationNumber,
        now: time::MonotonicTime,
    ) -> Option<&mut known::KnownSignals> {
        self.forget_before(target, incarnation);
        if self.targets.len() >= MAX_TARGETS && !self.targets.contains_key(target) {
            self.targets.shift_remove_index(0);
        }
        let known = self.targets.entry(target.clone());
        let known = known.or_insert_with(|| known::KnownSignals::new(incarnation));
        known.touched_at = now;
        (known.report.incarnation == incarnation).then_some(known)
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
        } => {
            let report = observe(state, call, &request, signals, has_run, output);
            let effect = calls::CallEffect::ReportSignals(call, report);
            output.effects.push(event::Effect::Calls(effect));
        }
        SignalEvent::Reported(received) => receive_report(state, &received, output),
    }
}

/// Records changes that came too soon after others, and drops the signals of targets that have been
/// gone for long.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    for (target, known) in &mut state.signals.targets {
        known.record_limit(target, now, output);
    }
    if now.since(state.signals.cleaned_up_at) < CLEANUP_INTERVAL {
        return;
    }
    state.signals.cleaned_up_at = now;
    let retention = settings::millis(state.settings.tunables.membership.departed_ms);
    let is_old = |known: &known::KnownSignals| now.since(known.touched_at) >= retention;
    if !state.signals.targets.values().any(is_old) {
        return;
    }
    let present: IndexSet<&ids::TargetName> = state
        .membership
        .present()
        .flat_map(|member| member.targets.iter().map(|target| &target.name))
        .collect();
    let signals = &mut state.signals.targets;
    signals.retain(|target, known| !is_old(known) || present.contains(target));
}

/// Takes over the signals in a response of an own target. Returns the report for the ingress node.
fn observe(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    request: &ids::RequestId,
    signals: ResponseSignals,
    has_run: bool,
    output: &mut event::ReducerOutput,
) -> Option<wire::SignalReport> {
    let now = state.now;
    let record = state.calls.owner.get(&call)?;
    let (target, incarnation) = (record.offer.target.clone(), record.incarnation);
    let sent_at = record.started.unwrap_or(now);
    let observer = state.settings.identity.incarnation;
    let sequence = state.signals.last_sequence + 1;
    state.signals.last_sequence = sequence;
    let known = state.signals.of_incarnation(&target, incarnation, now)?;
    if signals.has_malformed() {
        known.record_malformed(&target, request, output);
    }
    let before = known.report;
    match signals.rate_limit {
        SignalValue::Present(limit) => known.name_limit(limit, sent_at, now),
        SignalValue::Absent if has_run => known.end_limit(sent_at, now),
        SignalValue::Absent | SignalValue::Malformed => {}
    }
    known.report.is_leaving |= signals.leaving == SignalValue::Present(());
    known.is_observed |= has_run;
    known.report.observer = observer;
    known.report.sequence = sequence;
    let cause = known::SignalCause {
        request: request.clone(),
        source: timeline::SignalSource::Response,
    };
    known.record_changes(&target, before, cause, now, output);
    let report = known.report;
    if report.is_leaving {
        membership::own::drain(state, &target, output);
    }
    Some(report)
}

/// Takes over what another node reports on a target if it is newer than what is known here.
fn receive_report(
    state: &mut reducer::EngineState,
    received: &ReceivedReport,
    output: &mut event::ReducerOutput,
) {
    let (now, target) = (state.now, &received.target);
    let own_target = state.membership.targets.get(target);
    let is_own = own_target.is_some();
    let incarnation = received.report.incarnation;
    if own_target.is_some_and(|own_target| own_target.record.incarnation > incarnation) {
        return;
    }
    let Some(known) = state.signals.of_incarnation(target, incarnation, now) else {
        return;
    };
    let before = known.report;
    if known.is_outdated_by(received) {
        known.adopt(received.report, now);
    }
    known.report.is_leaving = before.is_leaving || received.report.is_leaving;
    if is_own {
        known.enforce(now);
    }
    let cause = known::SignalCause {
        request: received.request.clone(),
        source: received.source,
    };
    known.record_changes(target, before, cause, now, output);
    if known.report.is_leaving && is_own {
        membership::own::drain(state, target, output);
    }
}
