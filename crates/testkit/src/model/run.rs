//! The model's one agenda: what happens next, at ingress nodes, owner nodes and targets.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use hazeltiller_engine::calls;
use hazeltiller_units::time;
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{model, node};

mod callers;
mod owners;
mod processor;

const TICK: Duration = Duration::from_millis(20);
const DATA_CENTRE: &str = "brasov-a";
const REGION: &str = "ro-centru";

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Phase(usize),
    /// A caller's first send in a phase.
    Arrive(usize, usize),
    /// Another send of a caller.
    Return(u64),
    /// A call has come up at its ingress node.
    Reach(u64),
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
    /// When it got a slot.
    started: time::MonotonicTime,
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
    /// When it came to its ingress node, this time.
    arrived: time::MonotonicTime,
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
    counts: Vec<Vec<model::KindStats>>,
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
    processors: processor::NodeProcessors,
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
                target.announced_slots,
            );
            for ingress in &mut ingresses {
                ingress.receive_record(&identity, 1, vec![record.clone()]);
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
            processors: processor::NodeProcessors::default(),
        }
    }

    /// Has every node take this long for each message that it handles, one after another.
    #[must_use]
    pub fn with_processors(mut self, message_time: Duration) -> Self {
        let nodes = self.ingresses.len() + self.targets.len();
        self.processors = processor::NodeProcessors::new(message_time, nodes);
        self
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
    pub fn run(&mut self, kinds: &[model::CallKind], span: Duration) -> Vec<model::KindStats> {
        let mut counts = self.run_phases(vec![(kinds.to_vec(), span)]);
        counts.swap_remove(0)
    }

    /// The same for phases of other rates, one right after the other; a request counts in the phase in
    /// which its caller first sent it.
    pub fn run_phases(
        &mut self,
        phases: Vec<(Vec<model::CallKind>, Duration)>,
    ) -> Vec<Vec<model::KindStats>> {
        let counts = |(kinds, _): &(Vec<model::CallKind>, Duration)| {
            vec![model::KindStats::default(); kinds.len()]
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
            Happening::Reach(call) => self.reach_ingress(call),
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

    fn count(&mut self, call: u64) -> &mut model::KindStats {
        let record = &self.calls[&call];
        &mut self.counts[record.phase][record.kind]
    }

    fn plan(&mut self, after: Duration, happening: Happening) {
        self.sequence += 1;
        let entry = (self.now + after, self.sequence, happening);
        self.agenda.push(Reverse(entry));
    }

    /// Plans a message that reaches an ingress node after a time.
    fn plan_at_ingress(&mut self, ingress: usize, after: Duration, happening: Happening) {
        let done = self.processors.take(ingress, self.now + after);
        self.plan(done.since(self.now), happening);
    }

    /// The same for the node of a target.
    fn plan_at_owner(&mut self, target: usize, after: Duration, happening: Happening) {
        let node = self.ingresses.len() + target;
        let done = self.processors.take(node, self.now + after);
        self.plan(done.since(self.now), happening);
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let share: f64 = self.random.random();
        Duration::from_secs_f64(-(1.0 - share).ln() * mean)
    }
}
