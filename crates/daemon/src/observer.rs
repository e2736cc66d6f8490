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

/// A call that goes through this process.
#[derive(Debug)]
struct OpenCall {
    request: ids::RequestId,
    is_ingress: bool,
    began: Instant,
    status: u16,
    /// What was noted of it, logged when it has ended.
    records: Vec<timeline::TimelineRecord>,
    /// Known once a target was chosen.
    service: Option<ids::EntryName>,
    class: Option<ids::EntryName>,
}

/// Derives events of the time line.
#[derive(Debug)]
pub struct EngineObserver {
    timeline: timeline::Timeline,
    metrics: Arc<metrics::ProcessMetrics>,
    calls: IndexMap<ids::CallId, OpenCall>,
    changes: IndexMap<u64, ids::ChangeId>,
    fleet: fleet::FleetWatch,
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
        }
    }

    /// Sees a call before its first event.
    pub fn open(&mut self, call: ids::CallId, request: ids::RequestId, event: &calls::CallEvent) {
        let is_ingress = matches!(event, calls::CallEvent::Arrived(_));
        let open = OpenCall {
            request,
            is_ingress,
            began: Instant::now(),
            status: 0,
            records: Vec::new(),
            service: None,
            class: None,
        };
        self.calls.insert(call, open);
    }

    /// Sees that an event was reduced and its effects were run.
    pub fn reduced(&self, took: Duration) {
        self.metrics.note_event(took);
    }

    /// Sees an event before it is reduced.
    pub fn event(&mut self, state: &reducer::EngineState, event: &event::Event) {
        match event {
            event::Event::Tick => self.fleet.look(state, &self.timeline),
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
    pub fn effect(&mut self, effect: &event::Effect) {
        match effect {
            event::Effect::Replication(replication::ReplicationEffect::Answer {
                number,
                answer,
            }) => self.answered(number.0, answer),
            event::Effect::Replication(replication::ReplicationEffect::Report {
                code,
                message,
            }) => self.timeline.note(TimelineEvent::LogReported {
                code: *code,
                message: message.clone(),
            }),
            event::Effect::Dissemination(dissemination::DisseminationEffect::InForce { state }) => {
                self.timeline.note(TimelineEvent::VersionInForce {
                    version: state.version,
                    digest: state.digest,
                });
            }
            event::Effect::Dissemination(dissemination::DisseminationEffect::Unsound {
                from,
                held,
            }) => self.timeline.note(TimelineEvent::VersionRefused {
                from: from.clone(),
                held: *held,
                code: code::ResultCode::DigestMismatch,
            }),
            event::Effect::Dissemination(dissemination::DisseminationEffect::ParentLost {
                address,
                reason,
            }) => self.timeline.note(TimelineEvent::ParentLost {
                parent: *address,
                reason: reason.word().into(),
            }),
            event::Effect::Membership(membership::MembershipEffect::Withdraw(target)) => {
                let target = target.clone();
                self.timeline
                    .note(TimelineEvent::TargetWithdrawn { target });
            }
            event::Effect::Calls(effect) => self.call_effect(effect),
            event::Effect::Note(event) => self.timeline.note(event.clone()),
            _ => {}
        }
    }

    fn proposed(&mut self, proposal: &replication::ChangeProposal) {
        let change = proposal.request.change_id.clone();
        self.changes.insert(proposal.number.0, change.clone());
        self.timeline.note(TimelineEvent::ChangeProposed {
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
        self.timeline.note(event);
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
                self.name_call(*call, offer);
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
        self.note_call(call, |request| TimelineEvent::CallTryFailed {
            request,
            failure,
            code,
        });
    }

    fn run_ended(&mut self, call: ids::CallId, result: calls::RunResult) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let failure = match result {
            calls::RunResult::Done { status } => {
                self.count_run(open, "done");
                let done = TimelineEvent::RunDone {
                    took_us: open.took_us(),
                    request: open.request.clone(),
                    status,
                };
                return self.close(call, Some(done));
            }
            calls::RunResult::NotConnected => CallFailure::NotConnected,
            calls::RunResult::Declined => CallFailure::Declined,
            calls::RunResult::Misplaced => CallFailure::Misplaced,
            calls::RunResult::Unsound => CallFailure::Unsound,
            calls::RunResult::Crashed => CallFailure::Crashed,
            calls::RunResult::TimedOut => CallFailure::TimedOut,
            calls::RunResult::Cut => CallFailure::Cut,
            calls::RunResult::CallerGone => CallFailure::CallerGone,
        };
        self.count_run(open, failure_word(failure));
        let request = open.request.clone();
        self.close(call, Some(TimelineEvent::RunFailed { request, failure }));
    }

    /// Forgets a call that this process is done with, and has it logged.
    fn close(&mut self, call: ids::CallId, last: Option<TimelineEvent>) {
        let Some(mut open) = self.calls.swap_remove(&call) else {
            return;
        };
        let last = last.map(|event| self.timeline.keep(event));
        open.records.extend(last);
        self.timeline.log_request(&open.records);
    }

    fn call_effect(&mut self, effect: &calls::CallEffect) {
        match effect {
            calls::CallEffect::Attempt(call, plan) => {
                self.name_call(*call, &plan.offer);
                self.count_try(&plan.offer);
                self.note_call(*call, |request| TimelineEvent::CallTried {
                    request,
                    attempt: plan.offer.attempt,
                    target: plan.candidate.target.clone(),
                    node: plan.candidate.address,
                    deadline_left_ms: plan.offer.deadline_left_ms,
                    patience_ms: plan.offer.patience_ms,
                });
            }
            calls::CallEffect::Run(call, plan) => {
                self.note_call(*call, |request| TimelineEvent::CallRun {
                    request,
                    target: plan.target.clone(),
                });
            }
            calls::CallEffect::Pass(call) => {
                if let Some(open) = self.calls.get(call) {
                    self.count_call(open, "answered");
                    let latency = self.metrics.call_seconds.with_label_values(&open.labels());
                    latency.observe(open.began.elapsed().as_secs_f64());
                    let (status, took_us) = (open.status, open.took_us());
                    self.note_call(*call, |request| TimelineEvent::CallAnswered {
                        request,
                        status,
                        took_us,
                    });
                }
            }
            calls::CallEffect::Refuse(call, refusal) => self.refused(*call, refusal),
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
        let is_ingress = open.is_ingress;
        let took_us = open.took_us();
        if is_ingress {
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
        };
        // Nothing of it runs, so that its end is no failed run.
        self.close(call, Some(refused));
    }

    fn name_call(&mut self, call: ids::CallId, offer: &hazeltiller_wire::calls::CallOffer) {
        if let Some(open) = self.calls.get_mut(&call) {
            open.service = Some(offer.service.clone());
            open.class = Some(offer.class.clone());
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
            let record = self.timeline.keep(event(open.request.clone()));
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
