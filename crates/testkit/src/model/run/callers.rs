//! Callers of the model and the ingress nodes that they ask.

use std::time::Duration;

use hazeltiller_engine::{calls, routing};
use hazeltiller_units::ids;
use rand::RngExt;

use super::{CallModel, Happening, ModelCall, ModelTry};
use crate::{model, node};

/// Part of their time left that callers wait at most before they come back.
const LONGEST_RETURN_PART: u32 = 3;
/// Time after which they come back after a failure.
const SHORTEST_RETURN: Duration = Duration::from_millis(10);

impl CallModel {
    pub(super) fn arrive(&mut self, phase: usize, kind: usize) {
        if phase != self.phase || self.now >= self.end {
            return;
        }
        self.plan_arrival(kind);
        let ingress = self.random.random_range(0..self.ingresses.len());
        let call = ModelCall {
            phase,
            kind,
            ingress,
            began: self.now,
            arrived: self.now,
            returns_left: self.kind(kind).caller_policy.retries,
            parent: None,
        };
        self.counts[phase][kind].sent += 1;
        self.send(call);
    }

    pub(super) fn come_back(&mut self, number: u64) {
        let call = self.returning.swap_remove(&number);
        self.send(call.expect("it was kept for its return"));
    }

    /// Hands a call to its ingress node.
    pub(super) fn send(&mut self, mut call: ModelCall) {
        call.arrived = self.now;
        self.sequence += 1;
        let number = self.sequence;
        let ingress = call.ingress;
        self.counts[call.phase][call.kind].arrivals += 1;
        self.calls.insert(number, call);
        if self.processors.is_charged() {
            self.plan_at_ingress(ingress, Duration::ZERO, Happening::Reach(number));
        } else {
            self.reach_ingress(number);
        }
    }

    pub(super) fn reach_ingress(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let kind = self.kind(call.kind);
        let left = |patience: Duration| patience.saturating_sub(self.now.since(call.began));
        let arrival = calls::CallArrival {
            deadline_left: kind.caller_policy.timeout.map(left),
            ..node::arrival(number, kind.path)
        };
        self.ask_ingress(number, calls::CallEvent::Arrived(arrival));
    }

    /// A caller without a good answer comes back, if it still does.
    pub(super) fn send_again(&mut self, mut call: ModelCall, room_in: Duration) {
        let Some(patience) = self.kind(call.kind).caller_policy.timeout else {
            return;
        };
        let left = patience.saturating_sub(self.now.since(call.began));
        if call.returns_left == 0 || left.is_zero() {
            return;
        }
        call.returns_left -= 1;
        let after = room_in.min(left / LONGEST_RETURN_PART).max(SHORTEST_RETURN);
        self.sequence += 1;
        let number = self.sequence;
        self.returning.insert(number, call);
        self.plan(after, Happening::Return(number));
    }

    pub(super) fn ask_ingress(&mut self, call: u64, event: calls::CallEvent) {
        let ingress = self.calls[&call].ingress;
        self.ingresses[ingress].now = self.now;
        let effects = self.ingresses[ingress].call(event);
        for effect in effects {
            match effect {
                calls::CallEffect::Attempt(_, plan) => self.attempt(call, ingress, plan),
                calls::CallEffect::ForwardAnswer(_) => {}
                calls::CallEffect::Refuse(_, refusal) => {
                    let room_in = Duration::from_millis(u64::from(refusal.retry_after_ms));
                    let held = self.now.since(self.calls[&call].arrived);
                    self.count(call).refusals.push(held.as_micros() as u64);
                    self.finish(call, Err(room_in));
                }
                calls::CallEffect::Run(..) | calls::CallEffect::Replay(..) => {
                    unreachable!("ingress nodes own no targets")
                }
            }
        }
    }

    pub(super) fn attempt(&mut self, call: u64, ingress: usize, plan: calls::AttemptPlan) {
        let target = self.choose(ingress, &plan.candidate);
        self.own[ingress][target] += 1;
        let mut offer = plan.offer;
        offer.target = format!("target-{target}").parse().expect("it is a name");
        let left = Duration::from_millis(u64::from(offer.deadline_left_ms));
        self.count(call).tries += 1;
        self.sequence += 1;
        let number = self.sequence;
        let record = ModelTry {
            call,
            target,
            offer,
            due: self.now + left,
            started: self.now,
            result: None,
            inner_left: 0,
            is_work_done: false,
            has_failed: false,
        };
        self.tries.insert(number, record);
        self.plan_at_owner(target, self.settings.link, Happening::Offer(number));
    }

    pub(super) fn choose(&mut self, ingress: usize, candidate: &routing::TargetCandidate) -> usize {
        match self.settings.policy {
            model::BalancingPolicy::Reducer => {
                let number = candidate.target.as_str().trim_start_matches("target-");
                number.parse().expect("the model named it")
            }
            model::BalancingPolicy::RoundRobin => {
                self.turns[ingress] += 1;
                (self.turns[ingress] + ingress) % self.targets.len()
            }
            model::BalancingPolicy::LeastRequest => {
                self.turns[ingress] += 1;
                let count = self.targets.len();
                let start = self.turns[ingress] + ingress;
                let announced =
                    |target: usize| f64::from(self.targets[target].settings.announced_slots);
                let own = &self.own[ingress];
                (0..count)
                    .map(|offset| (start + offset) % count)
                    .min_by(|one, other| {
                        let pressure = |it: usize| f64::from(own[it]) / announced(it);
                        pressure(*one).total_cmp(&pressure(*other))
                    })
                    .expect("there are targets")
            }
        }
    }

    pub(super) fn answer(&mut self, number: u64) {
        let record = self.tries.swap_remove(&number);
        let record = record.expect("a try is answered once");
        let (result, load) = record.result.expect("it was set with the answer");
        let call = record.call;
        self.own[self.calls[&call].ingress][record.target] -= 1;
        let is_good = result == calls::AttemptResult::Answered { status: 200 };
        let is_answer = matches!(result, calls::AttemptResult::Answered { .. });
        let event = calls::CallEvent::AttemptEnded {
            call: ids::CallId(call),
            result,
            report: calls::AttemptReport {
                load,
                ..calls::AttemptReport::default()
            },
        };
        self.ask_ingress(call, event);
        if is_answer {
            let failed = Err(SHORTEST_RETURN);
            self.finish(call, if is_good { Ok(()) } else { failed });
        }
    }

    /// The ingress node is done with a call: answered well, or its caller may come back after a time.
    pub(super) fn finish(&mut self, number: u64, result: Result<(), Duration>) {
        let Some(call) = self.calls.swap_remove(&number) else {
            return;
        };
        let event = calls::CallEvent::Finished(ids::CallId(number));
        self.ingresses[call.ingress].call(event);
        if let Some(parent) = call.parent {
            self.end_inner(parent, result.is_ok());
        }
        match result {
            Ok(()) => {
                let count = &mut self.counts[call.phase][call.kind];
                count.good += 1;
                let took = self.now.since(call.began);
                count.latencies.push(took.as_micros() as u64);
            }
            Err(room_in) => self.send_again(call, room_in),
        }
    }
}
