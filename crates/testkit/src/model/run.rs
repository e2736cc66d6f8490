//! The model's one agenda: what happens next, at ingress nodes, owner nodes and targets.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use hazeltiller_engine::{calls, routing};
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{model, node};

const TICK: Duration = Duration::from_millis(20);
const DATA_CENTRE: &str = "brasov-a";
const REGION: &str = "ro-centru";
/// Status of a call that a target's own bounded queue refused.
const REFUSED_STATUS: u16 = 429;
/// Status of a run whose own calls came to nothing.
const FAILED_STATUS: u16 = 500;
/// Part of their time left that callers wait at most before they come back.
const LONGEST_RETURN_PART: u32 = 3;
/// Time after which they come back after a failure.
const SHORTEST_RETURN: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Phase(usize),
    /// A caller's first send in a phase.
    Arrive(usize, usize),
    /// Another send of a caller.
    Return(u64),
    Offer(u64),
    RunOver(u64),
    Answer(u64),
    Tick,
}

/// One try of a call on its way.
#[derive(Debug, Clone)]
struct ModelTry {
    call: u64,
    target: usize,
    offer: wire::CallOffer,
    due: time::MonotonicTime,
    result: Option<(calls::AttemptResult, Option<wire::LoadReport>)>,
    /// Calls of its run that have not ended, and whether its own work has.
    inner_left: u32,
    is_work_done: bool,
    /// Whether a call of its run came to nothing.
    has_failed: bool,
}

#[derive(Debug, Clone)]
struct ModelCall {
    phase: usize,
    kind: usize,
    ingress: usize,
    /// When its caller first sent it.
    began: time::MonotonicTime,
    returns_left: u32,
    /// The run that makes it.
    parent: Option<u64>,
}

#[derive(Debug, Clone)]
struct TargetState {
    settings: model::ModelTarget,
    node: node::NodeReducer,
    busy: u32,
    waiting: VecDeque<u64>,
    /// Load that goes with the answer of a run.
    loads: IndexMap<u64, wire::LoadReport>,
}

/// A model that runs.
#[derive(Debug)]
pub struct CallModel {
    settings: model::ModelSettings,
    phases: Vec<(Vec<model::CallKind>, Duration)>,
    phase: usize,
    counts: Vec<Vec<model::KindCount>>,
    /// Callers that come back, by the number of their next call.
    returning: IndexMap<u64, ModelCall>,
    now: time::MonotonicTime,
    end: time::MonotonicTime,
    random: ChaCha8Rng,
    ingresses: Vec<node::NodeReducer>,
    targets: Vec<TargetState>,
    agenda: BinaryHeap<Reverse<(time::MonotonicTime, u64, Happening)>>,
    sequence: u64,
    calls: IndexMap<u64, ModelCall>,
    tries: IndexMap<u64, ModelTry>,
    turns: Vec<usize>,
    own: Vec<Vec<u32>>,
}

impl CallModel {
    /// A model before its first request.
    pub fn new(settings: model::ModelSettings) -> Self {
        let mut ingresses: Vec<node::NodeReducer> = (0..settings.ingresses)
            .map(|number| {
                let name = format!("ingress-{number}");
                let mut ingress = node::NodeReducer::new(&name, DATA_CENTRE, &settings.entries);
                ingress.state.random = ChaCha8Rng::seed_from_u64(settings.seed + number as u64);
                ingress
            })
            .collect();
        let mut targets = Vec::new();
        for (number, target) in settings.targets.iter().enumerate() {
            let name = format!("node-{number}");
            let identity = node::identity(&name, DATA_CENTRE, REGION);
            let record = node::target(
                &format!("target-{number}"),
                target.service_name,
                target.announced,
            );
            for ingress in &mut ingresses {
                ingress.hear(&identity, 1, vec![record.clone()]);
            }
            let mut owner = node::NodeReducer::new(&name, DATA_CENTRE, &settings.entries);
            owner.announce(record);
            targets.push(TargetState {
                settings: *target,
                node: owner,
                busy: 0,
                waiting: VecDeque::new(),
                loads: IndexMap::new(),
            });
        }
        let own = vec![vec![0; targets.len()]; ingresses.len()];
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            turns: vec![0; ingresses.len()],
            own,
            settings,
            phases: Vec::new(),
            phase: 0,
            counts: Vec::new(),
            returning: IndexMap::new(),
            now: time::MonotonicTime::default(),
            end: time::MonotonicTime::default(),
            ingresses,
            targets,
            agenda: BinaryHeap::new(),
            sequence: 0,
            calls: IndexMap::new(),
            tries: IndexMap::new(),
        }
    }

    /// Changes every ingress node, say a tunable.
    #[must_use]
    pub fn with_ingresses(mut self, change: impl Fn(&mut node::NodeReducer)) -> Self {
        self.ingresses.iter_mut().for_each(change);
        self
    }

    /// Breaks the first targets or mends them.
    pub fn set_broken(&mut self, count: usize) {
        for (number, target) in self.targets.iter_mut().enumerate() {
            target.settings.is_broken = number < count;
        }
    }

    /// Sends requests for a time, and waits until each has ended; returns what became of them.
    pub fn run(&mut self, kinds: &[model::CallKind], span: Duration) -> Vec<model::KindCount> {
        let mut counts = self.run_phases(vec![(kinds.to_vec(), span)]);
        counts.swap_remove(0)
    }

    /// The same for phases of other rates, one right after the other; a request counts in the phase in
    /// which its caller first sent it.
    pub fn run_phases(
        &mut self,
        phases: Vec<(Vec<model::CallKind>, Duration)>,
    ) -> Vec<Vec<model::KindCount>> {
        let counts = |(kinds, _): &(Vec<model::CallKind>, Duration)| {
            vec![model::KindCount::default(); kinds.len()]
        };
        self.counts = phases.iter().map(counts).collect();
        self.end = self.now + phases.iter().map(|(_, span)| *span).sum();
        self.phases = phases;
        self.plan(Duration::ZERO, Happening::Phase(0));
        self.plan(TICK, Happening::Tick);
        while let Some(Reverse((at, _, happening))) = self.agenda.pop() {
            self.now = at;
            self.happen(happening);
        }
        std::mem::take(&mut self.counts)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Phase(phase) => self.begin_phase(phase),
            Happening::Arrive(phase, kind) => self.arrive(phase, kind),
            Happening::Return(call) => self.come_back(call),
            Happening::Offer(number) => self.offer(number),
            Happening::RunOver(number) => self.end_work(number),
            Happening::Answer(number) => self.answer(number),
            Happening::Tick => self.tick(),
        }
    }

    fn begin_phase(&mut self, phase: usize) {
        let Some((kinds, span)) = self.phases.get(phase) else {
            return;
        };
        let (kinds, span) = (kinds.len(), *span);
        self.phase = phase;
        self.plan(span, Happening::Phase(phase + 1));
        for kind in 0..kinds {
            self.plan_arrival(kind);
        }
    }

    /// Plans the next request of a kind, which does not come where its phase is over by then.
    fn plan_arrival(&mut self, kind: usize) {
        let rate = self.kind(kind).rate;
        if rate > 0.0 {
            let next = self.exponential(1.0 / rate);
            self.plan(next, Happening::Arrive(self.phase, kind));
        }
    }

    fn kind(&self, kind: usize) -> model::CallKind {
        self.phases[self.phase].0[kind]
    }

    fn count(&mut self, call: u64) -> &mut model::KindCount {
        let record = &self.calls[&call];
        &mut self.counts[record.phase][record.kind]
    }

    fn plan(&mut self, after: Duration, happening: Happening) {
        self.sequence += 1;
        let entry = (self.now + after, self.sequence, happening);
        self.agenda.push(Reverse(entry));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let share: f64 = self.random.random();
        Duration::from_secs_f64(-(1.0 - share).ln() * mean)
    }

    fn arrive(&mut self, phase: usize, kind: usize) {
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
            returns_left: self.kind(kind).habit.returns,
            parent: None,
        };
        self.counts[phase][kind].sent += 1;
        self.send(call);
    }

    fn come_back(&mut self, number: u64) {
        let call = self.returning.swap_remove(&number);
        self.send(call.expect("it was kept for its return"));
    }

    /// Hands a call to its ingress node.
    fn send(&mut self, call: ModelCall) {
        self.sequence += 1;
        let number = self.sequence;
        let kind = self.kind(call.kind);
        let left = |patience: Duration| patience.saturating_sub(self.now.since(call.began));
        let arrival = calls::CallArrival {
            deadline_left: kind.habit.patience.map(left),
            ..node::arrival(number, kind.path)
        };
        self.calls.insert(number, call);
        self.ask_ingress(number, calls::CallEvent::Arrived(arrival));
    }

    /// A caller without a good answer comes back, if it still does.
    fn send_again(&mut self, mut call: ModelCall, room_in: Duration) {
        let Some(patience) = self.kind(call.kind).habit.patience else {
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

    fn ask_ingress(&mut self, call: u64, event: calls::CallEvent) {
        let ingress = self.calls[&call].ingress;
        self.ingresses[ingress].now = self.now;
        let effects = self.ingresses[ingress].call(event);
        for effect in effects {
            match effect {
                calls::CallEffect::Attempt(_, plan) => self.attempt(call, ingress, plan),
                calls::CallEffect::Pass(_) => {}
                calls::CallEffect::Refuse(_, refusal) => {
                    let room_in = Duration::from_millis(u64::from(refusal.retry_after_ms));
                    self.finish(call, Err(room_in));
                }
                calls::CallEffect::Run(..) | calls::CallEffect::Replay(..) => {
                    unreachable!("ingress nodes own no targets")
                }
            }
        }
    }

    fn attempt(&mut self, call: u64, ingress: usize, plan: calls::AttemptPlan) {
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
            result: None,
            inner_left: 0,
            is_work_done: false,
            has_failed: false,
        };
        self.tries.insert(number, record);
        self.plan(self.settings.link, Happening::Offer(number));
    }

    fn choose(&mut self, ingress: usize, candidate: &routing::TargetCandidate) -> usize {
        match self.settings.policy {
            model::ChoicePolicy::Reducer => {
                let number = candidate.target.as_str().trim_start_matches("target-");
                number.parse().expect("the model named it")
            }
            model::ChoicePolicy::RoundRobin => {
                self.turns[ingress] += 1;
                (self.turns[ingress] + ingress) % self.targets.len()
            }
            model::ChoicePolicy::LeastAnnounced => {
                self.turns[ingress] += 1;
                let count = self.targets.len();
                let start = self.turns[ingress] + ingress;
                let announced = |target: usize| f64::from(self.targets[target].settings.announced);
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

    fn offer(&mut self, number: u64) {
        let record = self.tries[&number].clone();
        let event = calls::CallEvent::Offered {
            call: ids::CallId(number),
            offer: record.offer,
        };
        self.ask_owner(record.target, event);
    }

    fn ask_owner(&mut self, target: usize, event: calls::CallEvent) {
        self.targets[target].node.now = self.now;
        let effects = self.targets[target].node.call(event);
        self.follow_owner(target, effects);
    }

    fn follow_owner(&mut self, target: usize, effects: Vec<calls::CallEffect>) {
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
    fn start(&mut self, target: usize, number: u64) {
        let state = &mut self.targets[target];
        if state.settings.is_broken {
            return self.end(number, calls::RunResult::Crashed);
        }
        if state.busy < state.settings.slots {
            state.busy += 1;
            return self.serve(number);
        }
        if state.waiting.len() < state.settings.queue {
            state.waiting.push_back(number);
            return;
        }
        let status = REFUSED_STATUS;
        self.end(number, calls::RunResult::Done { status });
    }

    fn serve(&mut self, number: u64) {
        let record = &self.tries[&number];
        let (call, target, due) = (record.call, record.target, record.due);
        let unit = self.targets[target].settings.service.as_secs_f64();
        let mean = unit * f64::from(record.offer.cost);
        self.count(call).runs += 1;
        let took = self.exponential(mean).min(due.since(self.now));
        self.plan(took, Happening::RunOver(number));
        let phase = self.calls[&call].phase;
        let Some(inner) = self.kind(self.calls[&call].kind).inner else {
            return;
        };
        self.tries[&number].inner_left = inner.count;
        for _ in 0..inner.count {
            let inner_call = ModelCall {
                phase,
                kind: inner.kind,
                ingress: target % self.ingresses.len(),
                began: self.now,
                returns_left: 0,
                parent: Some(number),
            };
            self.counts[phase][inner.kind].sent += 1;
            self.send(inner_call);
        }
    }

    fn end_work(&mut self, number: u64) {
        if let Some(record) = self.tries.get_mut(&number) {
            record.is_work_done = true;
            self.end_run_if_done(number);
        }
    }

    /// Takes the end of a call that a run made.
    fn end_inner(&mut self, number: u64, is_good: bool) {
        if let Some(record) = self.tries.get_mut(&number) {
            record.inner_left -= 1;
            record.has_failed |= !is_good;
            self.end_run_if_done(number);
        }
    }

    /// A run ends when its own work and all of its calls have, or with the first call that failed.
    fn end_run_if_done(&mut self, number: u64) {
        let record = &self.tries[&number];
        let is_whole = record.is_work_done && record.inner_left == 0;
        if record.result.is_some() || !record.has_failed && !is_whole {
            return;
        }
        let (target, call) = (record.target, record.call);
        let result = if record.has_failed {
            self.count(call).wasted += 1;
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

    fn end(&mut self, number: u64, result: calls::RunResult) {
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

    fn reply(&mut self, number: u64, result: calls::AttemptResult, load: Option<wire::LoadReport>) {
        self.tries[&number].result = Some((result, load));
        self.plan(self.settings.link, Happening::Answer(number));
    }

    fn answer(&mut self, number: u64) {
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
    fn finish(&mut self, number: u64, result: Result<(), Duration>) {
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

    fn tick(&mut self) {
        for target in 0..self.targets.len() {
            self.targets[target].node.now = self.now;
            let effects = self.targets[target].node.pass(Duration::ZERO);
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
