//! Owner nodes of the model and the targets beside them.

use std::time::Duration;

use hazeltiller_engine::calls;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;

use super::{CallModel, Happening, ModelCall, TICK};
use crate::model;

/// Status of a call that a target's own bounded queue refused.
const REFUSED_STATUS: u16 = 429;
/// Status of a run whose own calls came to nothing.
const FAILED_STATUS: u16 = 500;

impl CallModel {
    pub(super) fn offer(&mut self, number: u64) {
        let record = self.tries[&number].clone();
        let event = calls::CallEvent::Offered {
            call: ids::CallId(number),
            offer: record.offer,
        };
        self.ask_owner(record.target, event);
    }

    pub(super) fn ask_owner(&mut self, target: usize, event: calls::CallEvent) {
        self.targets[target].node.now = self.now;
        let effects = self.targets[target].node.call(event);
        self.follow_owner(target, effects);
    }

    pub(super) fn follow_owner(&mut self, target: usize, effects: Vec<calls::CallEffect>) {
        for effect in effects {
            match effect {
                calls::CallEffect::Run(call, plan) => {
                    self.targets[target].loads.insert(call.0, plan.load);
                    self.start(target, call.0);
                }
                calls::CallEffect::Refuse(call, refusal) => {
                    self.reply(call.0, calls::AttemptResult::Refused(refusal), None);
                }
                other => unreachable!("an owner node makes no {other:?}"),
            }
        }
    }

    /// The target gets a request: it runs it, lets it wait or refuses it.
    pub(super) fn start(&mut self, target: usize, number: u64) {
        let state = &mut self.targets[target];
        if state.settings.is_broken {
            return self.end(number, calls::RunResult::Crashed);
        }
        if state.busy < state.settings.slots {
            state.busy += 1;
            return self.serve(number);
        }
        if state.waiting.len() < state.settings.queue_capacity {
            state.waiting.push_back(number);
            return;
        }
        let status = REFUSED_STATUS;
        self.end(number, calls::RunResult::Done { status });
    }

    pub(super) fn serve(&mut self, number: u64) {
        let record = &mut self.tries[&number];
        record.started = self.now;
        let (call, target, due) = (record.call, record.target, record.due);
        let unit = self.targets[target].settings.mean_run_time.as_secs_f64();
        let mean = unit * f64::from(record.offer.cost);
        self.count(call).runs += 1;
        let took = self.exponential(mean).min(due.since(self.now));
        self.plan(took, Happening::RunOver(number));
        let inner = self.kind(self.calls[&call].kind).inner;
        if inner.is_some_and(|inner| inner.timing == model::CallTiming::AtStart) {
            self.call_inner(number);
        }
    }

    /// Makes the calls of a run.
    fn call_inner(&mut self, number: u64) {
        let record = &self.tries[&number];
        let (target, call) = (record.target, &self.calls[&record.call]);
        let phase = call.phase;
        let Some(inner) = self.kind(call.kind).inner else {
            return;
        };
        self.tries[&number].inner_left = inner.count;
        for _ in 0..inner.count {
            let inner_call = ModelCall {
                phase,
                kind: inner.kind,
                ingress: target % self.ingresses.len(),
                began: self.now,
                arrived: self.now,
                returns_left: 0,
                parent: Some(number),
            };
            self.counts[phase][inner.kind].sent += 1;
            self.send(inner_call);
        }
    }

    pub(super) fn end_work(&mut self, number: u64) {
        let Some(record) = self.tries.get_mut(&number) else {
            return;
        };
        record.is_work_done = true;
        let call = record.call;
        let inner = self.kind(self.calls[&call].kind).inner;
        if inner.is_some_and(|inner| inner.timing == model::CallTiming::AtEnd) {
            self.call_inner(number);
        }
        self.end_run_if_done(number);
    }

    /// Takes the end of a call that a run made.
    pub(super) fn end_inner(&mut self, number: u64, is_good: bool) {
        if let Some(record) = self.tries.get_mut(&number) {
            record.inner_left -= 1;
            record.has_failed |= !is_good;
            self.end_run_if_done(number);
        }
    }

    /// A run ends when its own work and all of its calls have, or with the first call that failed.
    pub(super) fn end_run_if_done(&mut self, number: u64) {
        let record = &self.tries[&number];
        let is_whole = record.is_work_done && record.inner_left == 0;
        if record.result.is_some() || !record.has_failed && !is_whole {
            return;
        }
        let (target, call) = (record.target, record.call);
        let (took, has_failed) = (self.now.since(record.started), record.has_failed);
        self.count(call).slot_time += took;
        let record = &self.tries[&number];
        let result = if has_failed {
            let count = self.count(call);
            count.wasted += 1;
            count.wasted_time += took;
            let status = FAILED_STATUS;
            calls::RunResult::Done { status }
        } else if self.now < record.due {
            calls::RunResult::Done { status: 200 }
        } else {
            calls::RunResult::TimedOut
        };
        self.targets[target].busy -= 1;
        // What waited inside of the target past its deadline is left out, at no cost.
        while let Some(next) = self.targets[target].waiting.pop_front() {
            if self.tries[&next].due > self.now {
                self.targets[target].busy += 1;
                self.serve(next);
                break;
            }
            self.end(next, calls::RunResult::TimedOut);
        }
        self.end(number, result);
    }

    pub(super) fn end(&mut self, number: u64, result: calls::RunResult) {
        let target = self.tries[&number].target;
        let load = self.targets[target].loads.swap_remove(&number);
        let call = ids::CallId(number);
        self.ask_owner(target, calls::CallEvent::RunEnded { call, result });
        let told = match result {
            calls::RunResult::Done { status } => calls::AttemptResult::Answered { status },
            calls::RunResult::TimedOut => refused(code::ResultCode::DeadlineExceeded),
            _ => refused(code::ResultCode::TargetFailed),
        };
        self.reply(number, told, load);
    }

    pub(super) fn reply(
        &mut self,
        number: u64,
        result: calls::AttemptResult,
        load: Option<wire::LoadReport>,
    ) {
        let record = &mut self.tries[&number];
        record.result = Some((result, load));
        let ingress = self.calls[&record.call].ingress;
        self.plan_at_ingress(ingress, self.settings.link, Happening::Answer(number));
    }

    pub(super) fn tick(&mut self) {
        for target in 0..self.targets.len() {
            self.targets[target].node.now = self.now;
            let effects = self.targets[target].node.advance(Duration::ZERO);
            self.follow_owner(target, effects);
        }
        if self.now < self.end || !self.calls.is_empty() || !self.returning.is_empty() {
            self.plan(TICK, Happening::Tick);
        }
    }
}

fn refused(code: code::ResultCode) -> calls::AttemptResult {
    calls::AttemptResult::Refused(wire::CallRefusal::unknown(code))
}
