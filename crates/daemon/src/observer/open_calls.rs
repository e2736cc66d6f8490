//! Derives events and metrics of calls: as ingress node, as owner node or as both.

use std::time::{Duration, Instant};

use hazeltiller_engine::{calls, reducer, returns, timeline as engine_timeline};
use hazeltiller_units::{code, ids};

use super::EngineObserver;
use crate::timeline;

use engine_timeline::{CallFailure, RefusalProof, TimelineEvent};

/// Smallest HTTP status that counts as a failed run.
const MIN_FAILURE_STATUS: u16 = 500;

/// A call in progress on this process, either from a caller or as an offer from another node.
#[derive(Debug)]
pub(super) struct OpenCall {
    pub(super) request: ids::RequestId,
    /// Whether the call came from a caller.
    pub(super) is_ingress: bool,
    pub(super) started_at: Instant,
    /// When the latest attempt started, or when the call was admitted to a slot.
    pub(super) step_started_at: Instant,
    /// Time left until the target latency when the call was offered to this node.
    pub(super) latency_left: Duration,
    /// Catalogue version in force when it arrived, by which its route was chosen.
    pub(super) version: ids::CatalogueVersion,
    pub(super) status: u16,
    /// Events of the call, logged when it has ended.
    pub(super) records: Vec<timeline::TimelineRecord>,
    /// Target that it was last offered to.
    pub(super) target: Option<ids::TargetName>,
    /// Whether it occupies a slot of a local target.
    pub(super) has_slot: bool,
    /// Known once a target has been selected, as are class and route.
    pub(super) service: Option<ids::EntryName>,
    pub(super) class: Option<ids::EntryName>,
    pub(super) route: Option<ids::EntryName>,
}

impl EngineObserver {
    /// Registers a call before its first event is reduced.
    pub fn call_opened(
        &mut self,
        call: ids::CallId,
        request: ids::RequestId,
        event: &calls::CallEvent,
    ) {
        let is_ingress = matches!(event, calls::CallEvent::Arrived(_));
        let started_at = Instant::now();
        let open_call = OpenCall {
            request,
            is_ingress,
            started_at,
            step_started_at: started_at,
            latency_left: Duration::MAX,
            version: ids::CatalogueVersion::default(),
            status: 0,
            records: Vec::new(),
            target: None,
            has_slot: false,
            service: None,
            class: None,
            route: None,
        };
        self.calls.insert(call, open_call);
    }

    /// Observes an event of a call before it is reduced.
    pub(super) fn call_event(&mut self, event: &calls::CallEvent, version: ids::CatalogueVersion) {
        match event {
            calls::CallEvent::Arrived(arrival) => {
                if let Some(open_call) = self.calls.get_mut(&arrival.call) {
                    open_call.version = version;
                }
                self.record_call(arrival.call, |request| TimelineEvent::CallArrived {
                    request,
                    method: arrival.method.clone(),
                    path: arrival.path.clone(),
                    deadline_left_ms: arrival.deadline_left.map(|left| left.as_millis() as u64),
                    version,
                });
            }
            calls::CallEvent::Offered { call, offer } => {
                self.set_call_names(*call, [&offer.service, &offer.class, &offer.route]);
                self.usage.of_route(&offer.route).offers += 1;
                if let Some(open_call) = self.calls.get_mut(call) {
                    open_call.target = Some(offer.target.clone());
                    open_call.latency_left =
                        Duration::from_millis(u64::from(offer.latency_left_ms));
                }
                self.record_call(*call, |request| TimelineEvent::CallOffered {
                    request,
                    target: offer.target.clone(),
                    attempt: offer.attempt,
                });
            }
            calls::CallEvent::AttemptEnded { call, result, .. } => self.end_attempt(*call, result),
            calls::CallEvent::RunEnded { call, result } => self.run_ended(*call, *result),
            calls::CallEvent::Finished(call) => self.close(*call, None),
            calls::CallEvent::Allowed(_) | calls::CallEvent::Claimed(_) => {}
        }
    }

    fn end_attempt(&mut self, call: ids::CallId, result: &calls::AttemptResult) {
        let (failure, code) = match result {
            calls::AttemptResult::Answered { status } => {
                if let Some(open_call) = self.calls.get_mut(&call) {
                    open_call.status = *status;
                }
                return;
            }
            calls::AttemptResult::Refused(refusal) => (CallFailure::Refused, Some(refusal.code)),
            calls::AttemptResult::NotReached => (CallFailure::NotReached, None),
            calls::AttemptResult::Lost => (CallFailure::Lost, None),
        };
        let Some(open_call) = self.calls.get(&call) else {
            return;
        };
        let duration = open_call.step_started_at.elapsed();
        if failure == CallFailure::Refused {
            let [service, _class] = open_call.labels();
            let metric = self
                .metrics
                .given_back_seconds
                .with_label_values(&[service]);
            metric.observe(duration.as_secs_f64());
            if let Some(route) = &open_call.route {
                self.usage.of_route(route).add_refused_attempt(duration);
            }
        }
        self.record_call(call, |request| TimelineEvent::CallTryFailed {
            request,
            failure,
            code,
            took_us: duration.as_micros() as u64,
        });
    }

    fn run_ended(&mut self, call: ids::CallId, result: calls::RunResult) {
        let Some(open_call) = self.calls.get(&call) else {
            return;
        };
        let failure = match result {
            calls::RunResult::Done { status } => {
                self.count_run(open_call, "done");
                self.usage
                    .end_run(open_call, status < MIN_FAILURE_STATUS, &self.metrics);
                let done = TimelineEvent::RunDone {
                    took_us: open_call.elapsed_us(),
                    request: open_call.request.clone(),
                    status,
                };
                return self.close(call, Some(done));
            }
            calls::RunResult::NotConnected => CallFailure::NotConnected,
            calls::RunResult::Declined => CallFailure::Declined,
            calls::RunResult::WrongTarget => CallFailure::Misplaced,
            calls::RunResult::Invalid => CallFailure::Unsound,
            calls::RunResult::Crashed => CallFailure::Crashed,
            calls::RunResult::TimedOut => CallFailure::TimedOut,
            calls::RunResult::Truncated => CallFailure::Cut,
            calls::RunResult::CallerGone => CallFailure::CallerGone,
        };
        self.count_run(open_call, failure_label(failure));
        self.usage.end_run(open_call, false, &self.metrics);
        let failed = TimelineEvent::RunFailed {
            request: open_call.request.clone(),
            failure,
            proof: refusal_proof(open_call, result),
        };
        self.close(call, Some(failed));
    }

    /// Removes a call that has ended on this process, records its last event, if any, and logs all
    /// its events.
    fn close(&mut self, call: ids::CallId, last_event: Option<TimelineEvent>) {
        let Some(mut open_call) = self.calls.swap_remove(&call) else {
            return;
        };
        let last_record = last_event.map(|event| self.timeline.record_unlogged(event));
        open_call.records.extend(last_record);
        self.timeline.log_request(&open_call.records);
    }

    /// Observes an effect of a call before it is carried out.
    pub(super) fn call_effect(&mut self, state: &reducer::EngineState, effect: &calls::CallEffect) {
        match effect {
            calls::CallEffect::Attempt(call, plan) => {
                let offer = &plan.offer;
                self.set_call_names(*call, [&offer.service, &offer.class, &offer.route]);
                self.count_attempt(&plan.offer);
                self.usage.of_route(&plan.offer.route).attempts += 1;
                self.start_step(*call);
                if let Some(open_call) = self.calls.get_mut(call) {
                    open_call.target = Some(plan.candidate.target.clone());
                }
                self.record_call(*call, |request| TimelineEvent::CallTried {
                    request,
                    attempt: plan.offer.attempt,
                    target: plan.candidate.target.clone(),
                    node: plan.candidate.address,
                    deadline_left_ms: plan.offer.deadline_left_ms,
                    patience_ms: plan.offer.patience_ms,
                    turn: turn_of(state, *call),
                    version: plan
                        .candidate
                        .rollout_cohort
                        .as_ref()
                        .map(|(version, _)| version.clone()),
                    cohort: plan
                        .candidate
                        .rollout_cohort
                        .as_ref()
                        .map(|(_, cohort)| *cohort),
                });
            }
            calls::CallEffect::Run(call, plan) => {
                self.start_step(*call);
                if let Some(open_call) = self.calls.get_mut(call) {
                    open_call.has_slot = true;
                }
                self.record_call(*call, |request| TimelineEvent::CallRun {
                    request,
                    target: plan.target.clone(),
                });
            }
            calls::CallEffect::ForwardResponse(call) => {
                if let Some(open_call) = self.calls.get(call) {
                    self.count_call(open_call, "answered");
                    let call_seconds = self
                        .metrics
                        .call_seconds
                        .with_label_values(&open_call.labels());
                    call_seconds.observe(open_call.started_at.elapsed().as_secs_f64());
                    if let Some(route) = &open_call.route {
                        self.usage.of_route(route).answered += 1;
                    }
                    let (status, took_us) = (open_call.status, open_call.elapsed_us());
                    self.record_call(*call, |request| TimelineEvent::CallAnswered {
                        request,
                        status,
                        took_us,
                    });
                }
            }
            calls::CallEffect::Refuse(call, refusal) => {
                // The names of a call that was never offered to a target are not set yet.
                if let Some(record) = state.calls.ingress.get(call) {
                    let attributes = &record.attributes;
                    self.set_call_names(
                        *call,
                        [&attributes.service, &attributes.class, &attributes.route],
                    );
                }
                let limit = self.describe_limit(state, *call, refusal);
                let turn = turn_of(state, *call);
                self.call_refused(*call, refusal, limit, turn);
            }
            calls::CallEffect::Replay(..) | calls::CallEffect::ReportSignals(..) => {}
        }
    }

    /// Describes the limit that caused a refusal, with its value if the target named it.
    fn describe_limit(
        &self,
        state: &reducer::EngineState,
        call: ids::CallId,
        refusal: &hazeltiller_wire::calls::CallRefusal,
    ) -> Option<String> {
        let limit = refusal.limit.as_ref()?;
        let target = self.calls.get(&call)?.target.as_ref();
        let target = target.filter(|_| refusal.code == code::ResultCode::TargetLimited);
        let named = target.and_then(|target| Some((target, state.signals.rate_limit(target)?)));
        Some(match named {
            Some((target, rate)) => format!("{limit}: {target} takes {rate}/s"),
            None => limit.to_string(),
        })
    }

    fn call_refused(
        &mut self,
        call: ids::CallId,
        refusal: &hazeltiller_wire::calls::CallRefusal,
        limit: Option<String>,
        turn: Option<returns::CallerTurn>,
    ) {
        let Some(open_call) = self.calls.get(&call) else {
            return;
        };
        let (request, code) = (open_call.request.clone(), refusal.code);
        let side = if open_call.is_ingress {
            "ingress"
        } else {
            "owner"
        };
        let labels = [&code.to_string(), side];
        self.metrics.refusals.with_label_values(&labels).inc();
        if open_call.is_ingress {
            self.count_call(
                open_call,
                match refusal.outcome {
                    hazeltiller_wire::calls::CallOutcome::NotRun
                    | hazeltiller_wire::calls::CallOutcome::Ran => "refused",
                    hazeltiller_wire::calls::CallOutcome::Unknown => "unknown",
                },
            );
        }
        let duration = open_call.started_at.elapsed();
        if let Some(route) = &open_call.route {
            let usage = self.usage.of_route(route);
            usage.add_refusal(open_call.is_ingress, duration);
        }
        let took_us = duration.as_micros() as u64;
        let version = open_call.version;
        if open_call.is_ingress {
            let refused_seconds = self
                .metrics
                .refused_seconds
                .with_label_values(&open_call.labels());
            refused_seconds.observe(duration.as_secs_f64());
            return self.record_call(call, |request| TimelineEvent::CallRefused {
                request,
                code,
                outcome: refusal.outcome,
                retry_after_ms: refusal.retry_after_ms,
                limit,
                turn,
                took_us,
                version,
            });
        }
        let load = refusal.load;
        let refused = TimelineEvent::OfferRefused {
            request,
            code,
            limit,
            running: load.map(|load| load.in_flight),
            queued: load.map(|load| load.queued),
            slots: load.map(|load| load.slots),
            held_us: took_us,
            proof: RefusalProof::NeverDispatched,
        };
        // The call never ran, so it is closed here and not counted as a failed run.
        self.close(call, Some(refused));
    }

    fn set_call_names(&mut self, call: ids::CallId, [service, class, route]: [&ids::EntryName; 3]) {
        if let Some(open_call) = self.calls.get_mut(&call) {
            open_call.service = Some(service.clone());
            open_call.class = Some(class.clone());
            open_call.route = Some(route.clone());
        }
    }

    fn start_step(&mut self, call: ids::CallId) {
        if let Some(open_call) = self.calls.get_mut(&call) {
            open_call.step_started_at = Instant::now();
        }
    }

    fn count_attempt(&self, offer: &hazeltiller_wire::calls::CallOffer) {
        let labels = [offer.service.as_str()];
        self.metrics.attempts.with_label_values(&labels).inc();
        if offer.attempt > 1 {
            self.metrics.retries.with_label_values(&labels).inc();
        }
    }

    fn count_call(&self, open_call: &OpenCall, result: &str) {
        let [service, class] = open_call.labels();
        let labels = [service, class, result];
        self.metrics.calls.with_label_values(&labels).inc();
    }

    fn count_run(&self, open_call: &OpenCall, result: &str) {
        let [service, _class] = open_call.labels();
        self.metrics
            .runs
            .with_label_values(&[service, result])
            .inc();
        let run_seconds = self.metrics.run_seconds.with_label_values(&[service]);
        run_seconds.observe(open_call.started_at.elapsed().as_secs_f64());
    }

    fn record_call(
        &mut self,
        call: ids::CallId,
        event: impl FnOnce(ids::RequestId) -> TimelineEvent,
    ) {
        if let Some(open_call) = self.calls.get_mut(&call) {
            let record = self
                .timeline
                .record_unlogged(event(open_call.request.clone()));
            open_call.records.push(record);
        }
    }
}

/// Returns what the caller of a call was told, or did, about its turn.
fn turn_of(state: &reducer::EngineState, call: ids::CallId) -> Option<returns::CallerTurn> {
    state.calls.ingress.get(&call)?.turn
}

/// Returns what proves that a call did not run, or `None` if it may have run.
fn refusal_proof(open_call: &OpenCall, result: calls::RunResult) -> Option<RefusalProof> {
    match result {
        _ if !open_call.has_slot => Some(RefusalProof::NeverDispatched),
        calls::RunResult::NotConnected => Some(RefusalProof::NotConnected),
        calls::RunResult::Declined => Some(RefusalProof::TargetDeclined),
        calls::RunResult::WrongTarget => Some(RefusalProof::WrongTarget),
        _ => None,
    }
}

/// Returns the metric label of a failure.
fn failure_label(failure: CallFailure) -> &'static str {
    match failure {
        CallFailure::NotReached => "not_reached",
        CallFailure::Lost => "lost",
        CallFailure::Refused => "refused",
        CallFailure::NotConnected => "not_connected",
        CallFailure::Declined => "declined",
        CallFailure::Misplaced => "misplaced",
        CallFailure::Unsound => "unsound",
        CallFailure::Crashed => "crashed",
        CallFailure::TimedOut => "timed_out",
        CallFailure::Cut => "cut",
        CallFailure::CallerGone => "caller_gone",
    }
}

impl OpenCall {
    /// Returns the service and class, which are empty until a target has been selected.
    pub(super) fn labels(&self) -> [&str; 2] {
        [
            name_text(self.service.as_ref()),
            name_text(self.class.as_ref()),
        ]
    }

    fn elapsed_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }
}

fn name_text(name: Option<&ids::EntryName>) -> &str {
    name.map_or("", ids::EntryName::as_str)
}
