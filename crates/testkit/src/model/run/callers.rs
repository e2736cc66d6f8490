//! Callers of the simulation and ingress nodes.

use std::time::Duration;

use hazeltiller_engine::{calls, routing};
use hazeltiller_units::ids;
use rand::RngExt;

use super::{CallModel, ModelAttempt, ModelCall, ModelEvent};
use crate::{model, node};

/// Callers wait at most their remaining time divided by this before a retry.
const MAX_RETRY_WAIT_DIVISOR: u32 = 3;
/// Minimum time before a retry, and the time after a failure.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(10);

impl CallModel {
    /// Sends a new request, and schedules the next one of its kind.
    pub(super) fn send_new(&mut self, phase: usize, kind: usize) {
        if phase != self.phase || self.now >= self.end {
            return;
        }
        self.schedule_next_call(kind);
        let ingress = if self.has_shared_nodes {
            self.ingresses.len() + self.random.random_range(0..self.targets.len())
        } else {
            self.random.random_range(0..self.ingresses.len())
        };
        let call = ModelCall {
            phase,
            kind,
            ingress,
            first_sent_at: self.now,
            sent_at: self.now,
            retries_left: self.kind(kind).caller_policy.retries,
            is_invited: false,
            parent: None,
        };
        self.counts[phase][kind].sent += 1;
        self.send(call);
    }

    pub(super) fn retry(&mut self, number: u64) {
        let call = self.waiting_retries.swap_remove(&number);
        self.send(call.expect("a retry is scheduled once"));
    }

    /// Sends a call to its ingress node.
    pub(super) fn send(&mut self, mut call: ModelCall) {
        call.sent_at = self.now;
        self.sequence += 1;
        let number = self.sequence;
        let ingress = call.ingress;
        self.counts[call.phase][call.kind].arrivals += 1;
        self.calls.insert(number, call);
        if self.processors.is_simulated() {
            self.schedule_at_ingress(ingress, Duration::ZERO, ModelEvent::CallReceived(number));
        } else {
            self.receive_call(number);
        }
    }

    pub(super) fn receive_call(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let kind = self.kind(call.kind);
        let time_left =
            |timeout: Duration| timeout.saturating_sub(self.now.since(call.first_sent_at));
        let arrival = calls::CallArrival {
            deadline_left: kind.caller_policy.timeout.map(time_left),
            caller: self.caller_service(call.ingress),
            ..node::arrival(number, kind.path)
        };
        self.reduce_at_ingress(number, calls::CallEvent::Arrived(arrival));
    }

    /// Returns the service on whose node a call begins.
    fn caller_service(&self, node: usize) -> Option<ids::EntryName> {
        let target = self.targets.get(node.checked_sub(self.ingresses.len())?)?;
        Some(
            target
                .settings
                .service_name
                .parse()
                .expect("the name is valid"),
        )
    }

    /// Schedules a caller's retry after a failure or refusal, unless its retries or time are used
    /// up.
    pub(super) fn schedule_retry(&mut self, mut call: ModelCall, retry_after: Duration) {
        let Some(timeout) = self.kind(call.kind).caller_policy.timeout else {
            return;
        };
        let time_left = timeout.saturating_sub(self.now.since(call.first_sent_at));
        if call.retries_left == 0 || time_left.is_zero() {
            return;
        }
        call.retries_left -= 1;
        let impatient_share = self.kind(call.kind).caller_policy.impatient_share;
        let is_impatient = impatient_share > 0.0 && self.random.random_bool(impatient_share);
        let max_wait = time_left / MAX_RETRY_WAIT_DIVISOR;
        call.is_invited = !is_impatient && retry_after <= max_wait;
        let stats = &mut self.counts[call.phase][call.kind];
        stats.invited += u64::from(call.is_invited);
        let wait = if is_impatient {
            MIN_RETRY_WAIT
        } else {
            retry_after.min(max_wait).max(MIN_RETRY_WAIT)
        };
        self.sequence += 1;
        let number = self.sequence;
        self.waiting_retries.insert(number, call);
        self.schedule(wait, ModelEvent::CallRetried(number));
    }

    /// Returns whether a caller has sent its request before.
    fn is_return(&self, number: u64) -> bool {
        let call = &self.calls[&number];
        call.retries_left < self.kind(call.kind).caller_policy.retries
    }

    pub(super) fn reduce_at_ingress(&mut self, call: u64, event: calls::CallEvent) {
        let ingress = self.calls[&call].ingress;
        let now = self.now;
        let node = self.node_mut(ingress);
        node.now = now;
        let effects = node.call(event);
        for effect in effects {
            match effect {
                calls::CallEffect::Attempt(_, plan) => self.attempt(call, ingress, *plan),
                calls::CallEffect::ForwardResponse(_) => {}
                calls::CallEffect::Refuse(_, refusal) => {
                    let retry_after = Duration::from_millis(u64::from(refusal.retry_after_ms));
                    let refusal_time = self.now.since(self.calls[&call].sent_at);
                    let is_return = self.is_return(call);
                    let is_invited = self.calls[&call].is_invited;
                    let stats = self.stats(call);
                    stats.refusals.push(refusal_time.as_micros() as u64);
                    stats.refused_again += u64::from(is_return);
                    stats.invited_refused += u64::from(is_invited);
                    self.finish(call, Err(retry_after));
                }
                calls::CallEffect::Run(..)
                | calls::CallEffect::Replay(..)
                | calls::CallEffect::ReportSignals(..) => {
                    unreachable!("ingress nodes have no local targets")
                }
            }
        }
    }

    pub(super) fn attempt(&mut self, call: u64, ingress: usize, plan: calls::AttemptPlan) {
        let target = self.choose_target(ingress, &plan.candidate);
        self.in_flight[ingress][target] += 1;
        let mut offer = plan.offer;
        offer.target = format!("target-{target}")
            .parse()
            .expect("the name is valid");
        let time_left = Duration::from_millis(u64::from(offer.deadline_left_ms));
        self.stats(call).attempts += 1;
        self.sequence += 1;
        let number = self.sequence;
        let attempt = ModelAttempt {
            call,
            target,
            offer,
            deadline: self.now + time_left,
            started: self.now,
            result: None,
            inner_calls_left: 0,
            is_work_done: false,
            has_failed: false,
            report: plan.signals,
            signals: None,
            room: None,
            answer_report: None,
        };
        self.attempts.insert(number, attempt);
        if self.now < self.targets[target].cut_until {
            return self.reply(number, calls::AttemptResult::NotReached, None);
        }
        self.schedule_at_owner(
            target,
            self.settings.link,
            ModelEvent::OfferReceived(number),
        );
    }

    pub(super) fn choose_target(
        &mut self,
        ingress: usize,
        candidate: &routing::TargetCandidate,
    ) -> usize {
        match self.settings.policy {
            model::BalancingPolicy::Reducer => {
                let number = candidate.target.as_str().trim_start_matches("target-");
                number.parse().expect("targets are named by number")
            }
            model::BalancingPolicy::RoundRobin => {
                self.next_targets[ingress] += 1;
                (self.next_targets[ingress] + ingress) % self.targets.len()
            }
            model::BalancingPolicy::LeastRequest => {
                self.next_targets[ingress] += 1;
                let count = self.targets.len();
                let start = self.next_targets[ingress] + ingress;
                let announced =
                    |target: usize| f64::from(self.targets[target].settings.announced_slots);
                let in_flight = &self.in_flight[ingress];
                (0..count)
                    .map(|offset| (start + offset) % count)
                    .min_by(|one, other| {
                        let load = |target: usize| f64::from(in_flight[target]) / announced(target);
                        load(*one).total_cmp(&load(*other))
                    })
                    .expect("there are targets")
            }
        }
    }

    pub(super) fn receive_answer(&mut self, number: u64) {
        let attempt = self.attempts.swap_remove(&number);
        let attempt = attempt.expect("an attempt is answered once");
        self.receive_signals(&attempt);
        let (result, load) = attempt
            .result
            .expect("the result is set before the answer is sent");
        let call = attempt.call;
        self.in_flight[self.calls[&call].ingress][attempt.target] -= 1;
        let is_success = result == calls::AttemptResult::Answered { status: 200 };
        let is_answer = matches!(result, calls::AttemptResult::Answered { .. });
        let event = calls::CallEvent::AttemptEnded {
            call: ids::CallId(call),
            result,
            report: calls::AttemptReport {
                load,
                room: attempt.room,
                ..calls::AttemptReport::default()
            },
        };
        self.reduce_at_ingress(call, event);
        if is_answer {
            let failed = Err(MIN_RETRY_WAIT);
            self.finish(call, if is_success { Ok(()) } else { failed });
        }
    }

    /// Ends a call at its ingress node. `result` is an error after a failure or refusal, with the
    /// time that the caller should wait before a retry.
    pub(super) fn finish(&mut self, number: u64, result: Result<(), Duration>) {
        let Some(call) = self.calls.swap_remove(&number) else {
            return;
        };
        let event = calls::CallEvent::Finished(ids::CallId(number));
        self.node_mut(call.ingress).call(event);
        if let Some(parent) = call.parent {
            self.end_inner_call(parent, result.is_ok());
        }
        match result {
            Ok(()) => {
                let stats = &mut self.counts[call.phase][call.kind];
                stats.good += 1;
                let latency = self.now.since(call.first_sent_at);
                stats.latencies.push(latency.as_micros() as u64);
            }
            Err(retry_after) => self.schedule_retry(call, retry_after),
        }
    }
}
