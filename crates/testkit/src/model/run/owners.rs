//! Owner nodes of the simulation and their targets.

use std::time::Duration;

use hazeltiller_engine::calls;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;

use super::{CallModel, ModelCall, ModelEvent, TICK};
use crate::model;

/// Status of a request that a target refuses because its internal queue is full.
const REFUSED_STATUS: u16 = 429;
/// Status of a run that fails because one of its calls failed.
const FAILED_STATUS: u16 = 500;

impl CallModel {
    pub(super) fn receive_offer(&mut self, number: u64) {
        // An attempt that was lost meanwhile has ended.
        let Some(attempt) = self.attempts.get(&number).cloned() else {
            return;
        };
        if attempt.result.is_some() || self.is_deferred(attempt.target, number) {
            return;
        }
        self.report_to_owner(&attempt);
        let event = calls::CallEvent::Offered {
            call: ids::CallId(number),
            offer: attempt.offer,
        };
        self.reduce_at_owner(attempt.target, event);
    }

    pub(super) fn reduce_at_owner(&mut self, target: usize, event: calls::CallEvent) {
        self.targets[target].node.now = self.now;
        let effects = self.targets[target].node.call(event);
        self.run_owner_effects(target, effects);
    }

    pub(super) fn run_owner_effects(&mut self, target: usize, effects: Vec<calls::CallEffect>) {
        for effect in effects {
            match effect {
                calls::CallEffect::Run(call, plan) => {
                    self.targets[target].loads.insert(call.0, plan.load);
                    self.attempts[&call.0].room = plan.room;
                    self.receive_request(target, call.0);
                }
                calls::CallEffect::ReportSignals(call, report) => {
                    self.attempts[&call.0].answer_report = report;
                }
                calls::CallEffect::Refuse(call, refusal) => {
                    self.reply(call.0, calls::AttemptResult::Refused(refusal), None);
                }
                other => unreachable!("unexpected effect at an owner node: {other:?}"),
            }
        }
    }

    /// Runs, queues or refuses a request that a target receives.
    pub(super) fn receive_request(&mut self, target: usize, number: u64) {
        let call = self.attempts[&number].call;
        self.arrivals.push(model::TargetArrival {
            at: self.now,
            target,
            ingress: self.calls[&call].ingress,
        });
        let state = &mut self.targets[target];
        if state.settings.is_broken {
            return self.end_run(number, calls::RunResult::Crashed);
        }
        if state.running < state.settings.slots {
            state.running += 1;
            return self.start_run(number);
        }
        if state.queue.len() < state.settings.queue_capacity {
            state.queue.push_back(number);
            return;
        }
        let status = REFUSED_STATUS;
        self.end_run(number, calls::RunResult::Done { status });
    }

    pub(super) fn start_run(&mut self, number: u64) {
        let attempt = &mut self.attempts[&number];
        attempt.started = self.now;
        let (call, target, deadline) = (attempt.call, attempt.target, attempt.deadline);
        let mean_per_cost_s = self.targets[target].settings.mean_run_time.as_secs_f64();
        let mean_s = mean_per_cost_s * f64::from(attempt.offer.cost);
        self.stats(call).runs += 1;
        let work_time = self.exponential(mean_s).min(deadline.since(self.now));
        self.schedule(work_time, ModelEvent::WorkEnded(number));
        let inner = self.kind(self.calls[&call].kind).inner;
        if inner.is_some_and(|inner| inner.timing == model::CallTiming::AtStart) {
            self.send_inner_calls(number);
        }
    }

    /// Sends the calls that a run makes.
    fn send_inner_calls(&mut self, number: u64) {
        let attempt = &self.attempts[&number];
        let (target, call) = (attempt.target, &self.calls[&attempt.call]);
        let phase = call.phase;
        let Some(inner) = self.kind(call.kind).inner else {
            return;
        };
        self.attempts[&number].inner_calls_left = inner.count;
        for _ in 0..inner.count {
            let inner_call = ModelCall {
                phase,
                kind: inner.kind,
                ingress: if self.has_shared_nodes {
                    self.ingresses.len() + target
                } else {
                    target % self.ingresses.len()
                },
                first_sent_at: self.now,
                sent_at: self.now,
                retries_left: 0,
                is_invited: false,
                parent: Some(number),
            };
            self.counts[phase][inner.kind].sent += 1;
            self.send(inner_call);
        }
    }

    pub(super) fn end_work(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        let target = attempt.target;
        let written = self.targets[target].signals;
        attempt.signals.get_or_insert(written);
        if self.is_paused(target) {
            let until = self.targets[target].paused_until;
            return self.schedule(until.since(self.now), ModelEvent::WorkEnded(number));
        }
        let attempt = &mut self.attempts[&number];
        attempt.is_work_done = true;
        let call = attempt.call;
        let inner = self.kind(self.calls[&call].kind).inner;
        if inner.is_some_and(|inner| inner.timing == model::CallTiming::AtEnd) {
            self.send_inner_calls(number);
        }
        self.end_run_if_done(number);
    }

    /// Handles the end of a call that a run made.
    pub(super) fn end_inner_call(&mut self, number: u64, is_success: bool) {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.inner_calls_left -= 1;
            attempt.has_failed |= !is_success;
            self.end_run_if_done(number);
        }
    }

    /// Ends a run when its own work and all its calls have ended, or as soon as one of its calls
    /// fails.
    pub(super) fn end_run_if_done(&mut self, number: u64) {
        let attempt = &self.attempts[&number];
        let is_complete = attempt.is_work_done && attempt.inner_calls_left == 0;
        if attempt.result.is_some() || !attempt.has_failed && !is_complete {
            return;
        }
        let (target, call) = (attempt.target, attempt.call);
        let (slot_time, has_failed) = (self.now.since(attempt.started), attempt.has_failed);
        self.stats(call).slot_time += slot_time;
        let attempt = &self.attempts[&number];
        let result = if has_failed {
            let stats = self.stats(call);
            stats.wasted += 1;
            stats.wasted_time += slot_time;
            let status = FAILED_STATUS;
            calls::RunResult::Done { status }
        } else if self.now < attempt.deadline {
            calls::RunResult::Done { status: 200 }
        } else {
            calls::RunResult::TimedOut
        };
        self.targets[target].running -= 1;
        // Requests whose deadline passed in the target's queue are dropped at no cost.
        while let Some(next) = self.targets[target].queue.pop_front() {
            if self.attempts[&next].deadline > self.now {
                self.targets[target].running += 1;
                self.start_run(next);
                break;
            }
            self.end_run(next, calls::RunResult::TimedOut);
        }
        self.end_run(number, result);
    }

    pub(super) fn end_run(&mut self, number: u64, result: calls::RunResult) {
        let target = self.attempts[&number].target;
        let load = self.targets[target].loads.swap_remove(&number);
        let call = ids::CallId(number);
        if matches!(result, calls::RunResult::Done { .. }) {
            self.observe_signals(number);
        }
        self.reduce_at_owner(target, calls::CallEvent::RunEnded { call, result });
        let answer = match result {
            calls::RunResult::Done { status } => calls::AttemptResult::Answered { status },
            calls::RunResult::TimedOut => refusal(code::ResultCode::DeadlineExceeded),
            _ => refusal(code::ResultCode::TargetFailed),
        };
        self.reply(number, answer, load);
    }

    pub(super) fn reply(
        &mut self,
        number: u64,
        result: calls::AttemptResult,
        load: Option<wire::LoadReport>,
    ) {
        let attempt = &mut self.attempts[&number];
        attempt.result = Some((result, load));
        let ingress = self.calls[&attempt.call].ingress;
        self.schedule_at_ingress(
            ingress,
            self.settings.link,
            ModelEvent::AnswerReceived(number),
        );
    }

    /// Handles a tick at all owner nodes and schedules the next one while there are calls.
    pub(super) fn tick(&mut self) {
        for target in 0..self.targets.len() {
            if self.is_paused(target) {
                continue;
            }
            self.targets[target].node.now = self.now;
            let effects = self.targets[target].node.advance(Duration::ZERO);
            self.run_owner_effects(target, effects);
        }
        if self.now < self.end || !self.calls.is_empty() || !self.waiting_retries.is_empty() {
            self.schedule(TICK, ModelEvent::Tick);
        }
    }
}

fn refusal(code: code::ResultCode) -> calls::AttemptResult {
    calls::AttemptResult::Refused(wire::CallRefusal::unknown(code))
}
