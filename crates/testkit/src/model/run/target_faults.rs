//! Signals of the simulated targets, and faults of their owner nodes.

use std::time::Duration;

use hazeltiller_engine::{calls, event, retry, routing, signals, timeline};
use hazeltiller_units::ids;
use hazeltiller_wire::signals as wire;

use super::{CallModel, DATA_CENTRE, ModelAttempt, ModelEvent, REGION};
use crate::{model, node};

/// Time from the start of an owner node's process to the announcement of its target.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(300);

impl CallModel {
    /// Starts a fault at a target or its owner node after a time.
    pub fn schedule_fault(&mut self, after: Duration, target: usize, fault: model::TargetFault) {
        self.faults.push((target, fault));
        self.schedule(after, ModelEvent::FaultStarted(self.faults.len() - 1));
    }

    /// Returns the requests that reached targets, in order.
    pub fn arrivals(&self) -> &[model::TargetArrival] {
        &self.arrivals
    }

    /// Returns the responses with signals that ingress nodes passed on, in order.
    pub fn signalled(&self) -> &[model::SignalledResponse] {
        &self.signalled
    }

    pub(super) fn start_fault(&mut self, index: usize) {
        let (target, fault) = self.faults[index];
        let now = self.now;
        let state = &mut self.targets[target];
        match fault {
            model::TargetFault::Signals(signals) => state.signals = signals,
            model::TargetFault::OwnerPaused(span) => {
                state.paused_until = state.paused_until.max(now + span);
            }
            model::TargetFault::OwnerCut(span) => {
                state.cut_until = state.cut_until.max(now + span);
                self.lose_attempts(target);
            }
            model::TargetFault::OwnerRestarted => self.restart_owner(target),
        }
    }

    /// Restarts an ingress node after a time. Its process loses all that it has learnt from calls,
    /// and still ends the calls that are under way.
    pub fn schedule_ingress_restart(&mut self, after: Duration, ingress: usize) {
        self.schedule(after, ModelEvent::IngressRestarted(ingress));
    }

    pub(super) fn restart_ingress(&mut self, ingress: usize) {
        let state = &mut self.ingresses[ingress].state;
        let under_way = std::mem::take(&mut state.calls.ingress);
        state.calls = calls::CallState {
            ingress: under_way,
            ..calls::CallState::default()
        };
        state.retry = retry::RetryState::default();
        state.routing = routing::RoutingState::default();
    }

    fn restart_owner(&mut self, target: usize) {
        self.lose_attempts(target);
        let entries = self.settings.entries.clone();
        let state = &mut self.targets[target];
        let mut identity = state.node.state.settings.identity.clone();
        let name = identity.instance.clone();
        state.node = node::NodeReducer::new(name.as_str(), DATA_CENTRE, &entries);
        identity.incarnation = identity.incarnation.next();
        state.node.state.settings.identity = identity;
        state.running = 0;
        state.queue.clear();
        state.loads.clear();
        state.paused_until = self.now;
        self.publish_record(target, false);
        self.schedule(ANNOUNCEMENT_DELAY, ModelEvent::TargetAnnounced(target));
    }

    pub(super) fn announce_again(&mut self, target: usize) {
        let record = self.target_record(target);
        self.targets[target].node.now = self.now;
        self.targets[target].node.announce(record);
        self.publish_record(target, true);
    }

    pub(super) fn target_record(
        &self,
        target: usize,
    ) -> hazeltiller_wire::membership::TargetRecord {
        let settings = &self.targets[target].settings;
        let name = format!("target-{target}");
        node::target(&name, settings.service_name, settings.announced_slots)
    }

    /// Sends the owner node's member record, with or without its target, to all ingress nodes.
    fn publish_record(&mut self, target: usize, has_target: bool) {
        let records = if has_target {
            vec![self.target_record(target)]
        } else {
            Vec::new()
        };
        let state = &mut self.targets[target];
        state.record_sequence += 1;
        let mut identity = node::identity(&format!("node-{target}"), DATA_CENTRE, REGION);
        identity.incarnation = state.node.state.settings.identity.incarnation;
        for ingress in &mut self.ingresses {
            ingress.now = self.now;
            ingress.receive_record(&identity, state.record_sequence, records.clone());
        }
    }

    /// Breaks the links of a target's owner node: attempts under way get no answer.
    fn lose_attempts(&mut self, target: usize) {
        let is_lost = |attempt: &ModelAttempt| attempt.target == target && attempt.result.is_none();
        let attempts = self.attempts.iter();
        let lost: Vec<u64> = attempts
            .filter(|(_, attempt)| is_lost(attempt))
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            self.abandon_run(target, number);
            self.reply(number, calls::AttemptResult::Lost, None);
        }
    }

    /// Ends an attempt at the owner node and the target, since its ingress node is gone.
    fn abandon_run(&mut self, target: usize, number: u64) {
        let state = &mut self.targets[target];
        let was_sent = state.loads.swap_remove(&number).is_some();
        let is_queued = state.queue.contains(&number);
        state.queue.retain(|queued| *queued != number);
        if was_sent && !is_queued {
            state.running -= 1;
        }
        let event = calls::CallEvent::RunEnded {
            call: ids::CallId(number),
            result: calls::RunResult::CallerGone,
        };
        self.reduce_at_owner(target, event);
    }

    pub(super) fn is_paused(&self, target: usize) -> bool {
        self.now < self.targets[target].paused_until
    }

    /// Returns whether an offer waits because its owner node is paused.
    pub(super) fn is_deferred(&mut self, target: usize, number: u64) -> bool {
        let is_paused = self.is_paused(target);
        if is_paused {
            let left = self.targets[target].paused_until.since(self.now);
            self.schedule(left, ModelEvent::OfferReceived(number));
        }
        is_paused
    }

    /// Hands the report of an offer to the owner node.
    pub(super) fn report_to_owner(&mut self, attempt: &ModelAttempt) {
        let source = timeline::SignalSource::IngressNode;
        if let Some(event) = report_event(attempt, attempt.report, source) {
            let target = attempt.target;
            self.targets[target].node.now = self.now;
            let effects = self.targets[target].node.reduce(event);
            self.run_owner_effects(target, node::call_effects(effects));
        }
    }

    /// Hands the signals of a response to the owner node.
    pub(super) fn observe_signals(&mut self, number: u64) {
        let attempt = &self.attempts[&number];
        let (target, is_reported) = (attempt.target, attempt.report.is_some());
        let signals = attempt.signals.unwrap_or(self.targets[target].signals);
        let name = attempt.offer.target.clone();
        let owner = &self.targets[target].node.state;
        if signals.is_empty() && !is_reported && owner.signals.report(&name).is_none() {
            return;
        }
        self.attempts[&number].signals = Some(signals);
        let event = signals::SignalEvent::Observed {
            call: ids::CallId(number),
            request: request_id(number),
            signals,
            has_run: true,
        };
        self.targets[target].node.now = self.now;
        let effects = self.targets[target]
            .node
            .reduce(event::Event::Signals(event));
        self.run_owner_effects(target, node::call_effects(effects));
    }

    /// Hands the report of a response to the ingress node, and notes the signals that it passes on.
    pub(super) fn receive_signals(&mut self, attempt: &ModelAttempt) {
        let ingress = self.calls[&attempt.call].ingress;
        let is_answer = matches!(
            attempt.result,
            Some((calls::AttemptResult::Answered { .. }, _))
        );
        if let Some(signals) = attempt.signals.filter(|_| is_answer) {
            self.signalled.push(model::SignalledResponse {
                at: self.now,
                target: attempt.target,
                ingress,
                signals,
            });
        }
        let source = timeline::SignalSource::OwnerNode;
        let report = attempt.answer_report.filter(|_| is_answer);
        if let Some(event) = report_event(attempt, report, source) {
            self.ingresses[ingress].now = self.now;
            self.ingresses[ingress].reduce(event);
        }
    }
}

fn report_event(
    attempt: &ModelAttempt,
    report: Option<wire::SignalReport>,
    source: timeline::SignalSource,
) -> Option<event::Event> {
    let received = signals::ReceivedReport {
        target: attempt.offer.target.clone(),
        report: report?,
        request: request_id(attempt.call),
        source,
    };
    let reported = signals::SignalEvent::Reported(received);
    Some(event::Event::Signals(reported))
}

fn request_id(number: u64) -> ids::RequestId {
    let id = format!("request-{number}");
    id.parse().expect("the id is valid")
}
