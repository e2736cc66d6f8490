//! Watches what passes through the reducer and derives the time line and counts from it.
//!
//! It stands in the engine's actor, sees each event before it is reduced and each effect before it
//! is run, and changes neither.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hazeltiller_engine::{
    calls, dissemination, event, membership, reducer, replication, timeline as engine_timeline,
};
use hazeltiller_units::{code, ids};
use indexmap::IndexMap;

use crate::{metrics, timeline};

use engine_timeline::{CallFailure, TimelineEvent};

mod fleet;
mod usage;

/// Smallest status of an answer that says that the run came to nothing.
const FAILED_STATUS: u16 = 500;

/// A call that goes through this process.
#[derive(Debug)]
struct OpenCall {
    request: ids::RequestId,
    is_ingress: bool,
    began: Instant,
    /// When its latest try began, or when it got a slot here.
    step_began: Instant,
    /// Time from its offer here within which its answer is of full worth.
    latency_left: Duration,
    status: u16,
    /// What was noted of it, logged when it has ended.
    records: Vec<timeline::TimelineRecord>,
    /// Whether it runs at an own target.
    has_slot: bool,
    /// Known once a target was chosen.
    service: Option<ids::EntryName>,
    class: Option<ids::EntryName>,
    route: Option<ids::EntryName>,
}

/// Derives events of the time line.
#[derive(Debug)]
pub struct EngineObserver {
    timeline: timeline::Timeline,
    metrics: Arc<metrics::ProcessMetrics>,
    calls: IndexMap<ids::CallId, OpenCall>,
    changes: IndexMap<u64, ids::ChangeId>,
    fleet: fleet::FleetWatch,
    usage: usage::UsageTable,
}

impl EngineObserver {
    /// An observer that has seen nothing yet.
    pub fn new(timeline: timeline::Timeline, metrics: Arc<metrics::ProcessMetrics>) -> Self {
        Self {
            timeline,
            metrics,
            calls: IndexMap::new(),
            changes: IndexMap::new(),
            fleet: fleet::FleetWatch::default(),
            usage: usage::UsageTable::default(),
        }
    }

    /// Sees a call before its first event.
    pub fn call_opened(
        &mut self,
        call: ids::CallId,
        request: ids::RequestId,
        event: &calls::CallEvent,
    ) {
        let is_ingress = matches!(event, calls::CallEvent::Arrived(_));
        let began = Instant::now();
        let open = OpenCall {
            request,
            is_ingress,
            began,
            step_began: began,
            latency_left: Duration::MAX,
            status: 0,
            records: Vec::new(),
            has_slot: false,
            service: None,
            class: None,
            route: None,
        };
        self.calls.insert(call, open);
    }

    /// Sees that an event was reduced and its effects were run.
    pub fn after_event(&self, took: Duration) {
        self.metrics.record_event(took);
    }

    /// Sees an event before it is reduced.
    pub fn before_event(&mut self, state: &reducer::EngineState, event: &event::Event) {
        match event {
            event::Event::Tick => {
                self.fleet.look(state, &self.timeline);
                self.usage.look(state.now, &self.timeline);
            }
            event::Event::Received { from, .. } => {
                self.fleet.heard(from.address, &self.timeline);
            }
            event::Event::LinkLost { address } => self.fleet.lost(*address, &self.timeline),
            event::Event::Replication(replication::ReplicationEvent::Propose(proposal)) => {
                self.proposed(proposal);
            }
            event::Event::Calls(event) => {
                let version = state.dissemination.in_force.version;
                self.call_event(event, version);
            }
            _ => {}
        }
    }

    /// Sees an effect before it is run.
    pub fn before_effect(&mut self, state: &reducer::EngineState, effect: &event::Effect) {
        match effect {
            event::Effect::Replication(replication::ReplicationEffect::Answer {
                number,
                answer,
            }) => self.answered(number.0, answer),
            event::Effect::Replication(replication::ReplicationEffect::Report {
                code,
                message,
            }) => self.timeline.record(TimelineEvent::LogReported {
                code: *code,
                message: message.clone(),
            }),
            event::Effect::Dissemination(dissemination::DisseminationEffect::InForce { state }) => {
                self.timeline.record(TimelineEvent::VersionInForce {
                    version: state.version,
                    digest: state.digest,
                });
            }
            event::Effect::Dissemination(dissemination::DisseminationEffect::InvalidUpdate {
                from,
                held,
            }) => self.timeline.record(TimelineEvent::VersionRefused {
                from: from.clone(),
                held: *held,
                code: code::ResultCode::DigestMismatch,
            }),
            event::Effect::Dissemination(dissemination::DisseminationEffect::ParentLost {
                address,
                reason,
            }) => self.timeline.record(TimelineEvent::ParentLost {
                parent: *address,
                reason: reason.as_str().into(),
            }),
            event::Effect::Membership(membership::MembershipEffect::Withdraw(target)) => {
                let target = target.clone();
                self.timeline
                    .record(TimelineEvent::TargetWithdrawn { target });
            }
            event::Effect::Calls(effect) => self.call_effect(state, effect),
            event::Effect::RecordEvent(event) => self.timeline.record(event.clone()),
            _ => {}
        }
    }

    fn proposed(&mut self, proposal: &replication::ChangeProposal) {
        let change = proposal.request.change_id.clone();
        self.changes.insert(proposal.number.0, change.clone());
        self.timeline.record(TimelineEvent::ChangeProposed {
            change,
            expects: proposal.request.expects,
        });
    }

    fn answered(&mut self, number: u64, answer: &replication::ProposalAnswer) {
        let Some(change) = self.changes.swap_remove(&number) else {
            return;
        };
        let event = match answer {
            replication::ProposalAnswer::Accepted(receipt) => TimelineEvent::ChangeAccepted {
                change,
                version: receipt.version,
            },
            replication::ProposalAnswer::Refused { code, .. } => TimelineEvent::ChangeRefused {
                change,
                code: *code,
            },
            replication::ProposalAnswer::Unknown => TimelineEvent::ChangeUnknown { change },
            replication::ProposalAnswer::Elsewhere(leader) => TimelineEvent::ChangeForwarded {
                change,
                leader: *leader,
            },
            // A change of voters, or a read, is no proposal of a change of the catalogue.
            replication::ProposalAnswer::GroupChanged(_)
            | replication::ProposalAnswer::Current { .. } => return,
        };
        self.timeline.record(event);
    }

    fn call_event(&mut self, event: &calls::CallEvent, version: ids::CatalogueVersion) {
        match event {
            calls::CallEvent::Arrived(arrival) => {
                self.note_call(arrival.call, |request| TimelineEvent::CallArrived {
                    request,
                    method: arrival.method.clone(),
                    path: arrival.path.clone(),
                    deadline_left_ms: arrival.deadline_left.map(|left| left.as_millis() as u64),
                    version,
                });
            }
            calls::CallEvent::Offered { call, offer } => {
                self.name_call(*call, [&offer.service, &offer.class, &offer.route]);
                self.usage.of_route(&offer.route).offers += 1;
                if let Some(open) = self.calls.get_mut(call) {
                    open.latency_left = Duration::from_millis(u64::from(offer.latency_left_ms));
                }
                self.note_call(*call, |request| TimelineEvent::CallOffered {
                    request,
                    target: offer.target.clone(),
                    attempt: offer.attempt,
                });
            }
            calls::CallEvent::AttemptEnded { call, result, .. } => self.try_ended(*call, result),
            calls::CallEvent::RunEnded { call, result } => self.run_ended(*call, *result),
            calls::CallEvent::Finished(call) => self.close(*call, None),
            calls::CallEvent::Claimed(_) => {}
        }
    }

    fn try_ended(&mut self, call: ids::CallId, result: &calls::AttemptResult) {
        let (failure, code) = match result {
            calls::AttemptResult::Answered { status } => {
                if let Some(open) = self.calls.get_mut(&call) {
                    open.status = *status;
                }
                return;
            }
            calls::AttemptResult::Refused(refusal) => (CallFailure::Refused, Some(refusal.code)),
            calls::AttemptResult::NotReached => (CallFailure::NotReached, None),
            calls::AttemptResult::Lost => (CallFailure::Lost, None),
        };
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let took = open.step_began.elapsed();
        if failure == CallFailure::Refused {
            let [service, _class] = open.labels();
            let metric = self
                .metrics
                .given_back_seconds
                .with_label_values(&[service]);
            metric.observe(took.as_secs_f64());
            if let Some(route) = &open.route {
                self.usage.of_route(route).note_given_back(took);
            }
        }
        self.note_call(call, |request| TimelineEvent::CallTryFailed {
            request,
            failure,
            code,
            took_us: took.as_micros() as u64,
        });
    }

    fn run_ended(&mut self, call: ids::CallId, result: calls::RunResult) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let failure = match result {
            calls::RunResult::Done { status } => {
                self.count_run(open, "done");
                self.usage
                    .end_run(open, status < FAILED_STATUS, &self.metrics);
                let done = TimelineEvent::RunDone {
                    took_us: open.took_us(),
                    request: open.request.clone(),
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
        self.count_run(open, failure_word(failure));
        self.usage.end_run(open, false, &self.metrics);
        let request = open.request.clone();
        self.close(call, Some(TimelineEvent::RunFailed { request, failure }));
    }

    /// Forgets a call that this process is done with, and has it logged.
    fn close(&mut self, call: ids::CallId, last: Option<TimelineEvent>) {
        let Some(mut open) = self.calls.swap_remove(&call) else {
            return;
        };
        let last = last.map(|event| self.timeline.record_unlogged(event));
        open.records.extend(last);
        self.timeline.log_request(&open.records);
    }

    fn call_effect(&mut self, state: &reducer::EngineState, effect: &calls::CallEffect) {
        match effect {
            calls::CallEffect::Attempt(call, plan) => {
                let offer = &plan.offer;
                self.name_call(*call, [&offer.service, &offer.class, &offer.route]);
                self.count_try(&plan.offer);
                self.usage.of_route(&plan.offer.route).tries += 1;
                self.begin_step(*call);
                self.note_call(*call, |request| TimelineEvent::CallTried {
                    request,
                    attempt: plan.offer.attempt,
                    target: plan.candidate.target.clone(),
                    node: plan.candidate.address,
                    deadline_left_ms: plan.offer.deadline_left_ms,
                    patience_ms: plan.offer.patience_ms,
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
                self.begin_step(*call);
                if let Some(open) = self.calls.get_mut(call) {
                    open.has_slot = true;
                }
                self.note_call(*call, |request| TimelineEvent::CallRun {
                    request,
                    target: plan.target.clone(),
                });
            }
            calls::CallEffect::ForwardAnswer(call) => {
                if let Some(open) = self.calls.get(call) {
                    self.count_call(open, "answered");
                    let latency = self.metrics.call_seconds.with_label_values(&open.labels());
                    latency.observe(open.began.elapsed().as_secs_f64());
                    if let Some(route) = &open.route {
                        self.usage.of_route(route).answered += 1;
                    }
                    let (status, took_us) = (open.status, open.took_us());
                    self.note_call(*call, |request| TimelineEvent::CallAnswered {
                        request,
                        status,
                        took_us,
                    });
                }
            }
            calls::CallEffect::Refuse(call, refusal) => {
                // One that was offered to no target has no name yet.
                if let Some(record) = state.calls.ingress.get(call) {
                    let attributes = &record.attributes;
                    self.name_call(
                        *call,
                        [&attributes.service, &attributes.class, &attributes.route],
                    );
                }
                self.refused(*call, refusal);
            }
            calls::CallEffect::Replay(..) => {}
        }
    }

    fn refused(&mut self, call: ids::CallId, refusal: &hazeltiller_wire::calls::CallRefusal) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let (request, code) = (open.request.clone(), refusal.code);
        let side = if open.is_ingress { "ingress" } else { "owner" };
        let labels = [&code.to_string(), side];
        self.metrics.refusals.with_label_values(&labels).inc();
        if open.is_ingress {
            self.count_call(
                open,
                match refusal.outcome {
                    hazeltiller_wire::calls::CallOutcome::NotRun
                    | hazeltiller_wire::calls::CallOutcome::Ran => "refused",
                    hazeltiller_wire::calls::CallOutcome::Unknown => "unknown",
                },
            );
        }
        let took = open.began.elapsed();
        if let Some(route) = &open.route {
            let usage = self.usage.of_route(route);
            usage.note_refusal(open.is_ingress, took);
        }
        let took_us = took.as_micros() as u64;
        if open.is_ingress {
            let held = self
                .metrics
                .refused_seconds
                .with_label_values(&open.labels());
            held.observe(took.as_secs_f64());
            return self.note_call(call, |request| TimelineEvent::CallRefused {
                request,
                code,
                outcome: refusal.outcome,
                retry_after_ms: refusal.retry_after_ms,
                took_us,
            });
        }
        let load = refusal.load;
        let refused = TimelineEvent::OfferRefused {
            request,
            code,
            limit: refusal.limit.as_ref().map(ToString::to_string),
            running: load.map(|load| load.in_flight),
            queued: load.map(|load| load.queued),
            slots: load.map(|load| load.slots),
            held_us: took_us,
        };
        // Nothing of it runs, so that its end is no failed run.
        self.close(call, Some(refused));
    }

    fn name_call(&mut self, call: ids::CallId, [service, class, route]: [&ids::EntryName; 3]) {
        if let Some(open) = self.calls.get_mut(&call) {
            open.service = Some(service.clone());
            open.class = Some(class.clone());
            open.route = Some(route.clone());
        }
    }

    fn begin_step(&mut self, call: ids::CallId) {
        if let Some(open) = self.calls.get_mut(&call) {
            open.step_began = Instant::now();
        }
    }

    fn count_try(&self, offer: &hazeltiller_wire::calls::CallOffer) {
        let labels = [offer.service.as_str()];
        self.metrics.tries.with_label_values(&labels).inc();
        if offer.attempt > 1 {
            self.metrics.retries.with_label_values(&labels).inc();
        }
    }

    fn count_call(&self, open: &OpenCall, result: &str) {
        let [service, class] = open.labels();
        let labels = [service, class, result];
        self.metrics.calls.with_label_values(&labels).inc();
    }

    fn count_run(&self, open: &OpenCall, result: &str) {
        let [service, _class] = open.labels();
        self.metrics
            .runs
            .with_label_values(&[service, result])
            .inc();
        let took = self.metrics.run_seconds.with_label_values(&[service]);
        took.observe(open.began.elapsed().as_secs_f64());
    }

    fn note_call(
        &mut self,
        call: ids::CallId,
        event: impl FnOnce(ids::RequestId) -> TimelineEvent,
    ) {
        if let Some(open) = self.calls.get_mut(&call) {
            let record = self.timeline.record_unlogged(event(open.request.clone()));
            open.records.push(record);
        }
    }
}

/// The word of a failure in labels.
fn failure_word(failure: CallFailure) -> &'static str {
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
    /// Service and class; empty before a target was chosen.
    fn labels(&self) -> [&str; 2] {
        [
            name_text(self.service.as_ref()),
            name_text(self.class.as_ref()),
        ]
    }

    fn took_us(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }
}

fn name_text(name: Option<&ids::EntryName>) -> &str {
    name.map_or("", ids::EntryName::as_str)
}
