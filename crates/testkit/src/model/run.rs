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
const SERVICE: &str = "registru";
/// Status of a call that a target's own bounded queue refused.
const REFUSED_STATUS: u16 = 429;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive(usize),
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
}

#[derive(Debug, Clone)]
struct ModelCall {
    kind: usize,
    ingress: usize,
    began: time::MonotonicTime,
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
    kinds: Vec<model::CallKind>,
    counts: Vec<model::KindCount>,
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
            let record = node::target(&format!("target-{number}"), SERVICE, target.announced);
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
            kinds: Vec::new(),
            counts: Vec::new(),
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
        self.kinds = kinds.to_vec();
        self.counts = vec![model::KindCount::default(); kinds.len()];
        self.end = self.now + span;
        for kind in 0..kinds.len() {
            let first = self.next_arrival(kind);
            self.plan(first, Happening::Arrive(kind));
        }
        self.plan(TICK, Happening::Tick);
        while let Some(Reverse((at, _, happening))) = self.agenda.pop() {
            self.now = at;
            self.happen(happening);
        }
        std::mem::take(&mut self.counts)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(kind) => self.arrive(kind),
            Happening::Offer(number) => self.offer(number),
            Happening::RunOver(number) => self.end_run(number),
            Happening::Answer(number) => self.answer(number),
            Happening::Tick => self.tick(),
        }
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

    fn next_arrival(&mut self, kind: usize) -> Duration {
        let mean = 1.0 / self.kinds[kind].rate;
        self.exponential(mean)
    }

    fn arrive(&mut self, kind: usize) {
        let next = self.next_arrival(kind);
        if self.now + next < self.end {
            self.plan(next, Happening::Arrive(kind));
        }
        self.sequence += 1;
        let call = self.sequence;
        let ingress = self.random.random_range(0..self.ingresses.len());
        let began = self.now;
        self.counts[kind].sent += 1;
        let record = ModelCall {
            kind,
            ingress,
            began,
        };
        self.calls.insert(call, record);
        let arrival = node::arrival(call, self.kinds[kind].path);
        self.ask_ingress(call, calls::CallEvent::Arrived(arrival));
    }

    fn ask_ingress(&mut self, call: u64, event: calls::CallEvent) {
        let ingress = self.calls[&call].ingress;
        self.ingresses[ingress].now = self.now;
        let effects = self.ingresses[ingress].call(event);
        for effect in effects {
            match effect {
                calls::CallEffect::Attempt(_, plan) => self.attempt(call, ingress, plan),
                calls::CallEffect::Pass(_) => {}
                calls::CallEffect::Refuse(..) => self.finish(call),
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
        self.counts[self.calls[&call].kind].tries += 1;
        self.sequence += 1;
        let number = self.sequence;
        let record = ModelTry {
            call,
            target,
            offer,
            due: self.now + left,
            result: None,
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
        let (target, due) = (record.target, record.due);
        let unit = self.targets[target].settings.service.as_secs_f64();
        let mean = unit * f64::from(record.offer.cost);
        self.counts[self.calls[&record.call].kind].runs += 1;
        let took = self.exponential(mean).min(due.since(self.now));
        self.plan(took, Happening::RunOver(number));
    }

    fn end_run(&mut self, number: u64) {
        let record = &self.tries[&number];
        let target = record.target;
        let result = if self.now < record.due {
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
        if is_good {
            let record = &self.calls[&call];
            let count = &mut self.counts[record.kind];
            count.good += 1;
            let took = self.now.since(record.began);
            count.latencies.push(took.as_micros() as u64);
        }
        if is_answer {
            self.finish(call);
        }
    }

    fn finish(&mut self, call: u64) {
        let Some(record) = self.calls.swap_remove(&call) else {
            return;
        };
        let event = calls::CallEvent::Finished(ids::CallId(call));
        self.ingresses[record.ingress].call(event);
    }

    fn tick(&mut self) {
        for target in 0..self.targets.len() {
            self.targets[target].node.now = self.now;
            let effects = self.targets[target].node.pass(Duration::ZERO);
            self.follow_owner(target, effects);
        }
        if self.now < self.end || !self.calls.is_empty() {
            self.plan(TICK, Happening::Tick);
        }
    }
}

fn refused(code: code::ResultCode) -> calls::AttemptResult {
    calls::AttemptResult::Refused(wire::CallRefusal::unknown(code))
}
