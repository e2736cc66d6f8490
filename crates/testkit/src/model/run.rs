//! Event loop of the simulation, for ingress nodes, owner nodes and targets.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use hazeltiller_engine::{calls, signals};
use hazeltiller_units::time;
use hazeltiller_wire::{calls as wire, signals as wire_signals};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{model, node};

mod callers;
mod owners;
mod processor;
mod target_faults;

const TICK: Duration = Duration::from_millis(20);
const DATA_CENTRE: &str = "brasov-a";
const REGION: &str = "ro-centru";

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    PhaseStarted(usize),
    /// A caller sends the next new request of a phase and kind.
    CallSent(usize, usize),
    /// A caller retries a call.
    CallRetried(u64),
    /// An ingress node has received a call.
    CallReceived(u64),
    OfferReceived(u64),
    /// A run has finished its own work.
    WorkEnded(u64),
    AnswerReceived(u64),
    /// The process of an ingress node loses what it has learnt.
    IngressRestarted(usize),
    /// Starts the scheduled fault with this index.
    FaultStarted(usize),
    /// The target of a restarted owner node announces itself again.
    TargetAnnounced(usize),
    Tick,
}

/// Attempt of a call, from its offer to its answer.
#[derive(Debug, Clone)]
struct ModelAttempt {
    call: u64,
    target: usize,
    offer: wire::CallOffer,
    deadline: time::MonotonicTime,
    /// Time at which it was given a slot.
    started: time::MonotonicTime,
    result: Option<(calls::AttemptResult, Option<wire::LoadReport>)>,
    /// Number of calls of its run that have not ended.
    inner_calls_left: u32,
    /// Whether its run has finished its own work.
    is_work_done: bool,
    /// Whether a call of its run has failed.
    has_failed: bool,
    /// What the ingress node reports of the target's signals.
    report: Option<wire_signals::SignalReport>,
    /// Signals in the response, once the target has written it.
    signals: Option<signals::ResponseSignals>,
    /// What the owner node reports of the room for the calls of runs.
    room: Option<wire::RoomReport>,
    /// What the owner node reports of the target's signals with the response.
    answer_report: Option<wire_signals::SignalReport>,
}

#[derive(Debug, Clone)]
struct ModelCall {
    phase: usize,
    kind: usize,
    ingress: usize,
    /// Time of the caller's first attempt.
    first_sent_at: time::MonotonicTime,
    /// Time of the caller's current attempt.
    sent_at: time::MonotonicTime,
    retries_left: u32,
    /// Whether the caller returns at the time that a refusal named.
    is_invited: bool,
    /// Attempt whose run makes this call.
    parent: Option<u64>,
}

#[derive(Debug, Clone)]
struct TargetState {
    settings: model::ModelTarget,
    node: node::NodeReducer,
    running: u32,
    queue: VecDeque<u64>,
    /// Load report that is sent with the answer of a run, by attempt.
    loads: IndexMap<u64, wire::LoadReport>,
    /// Signals in the responses that the target writes.
    signals: signals::ResponseSignals,
    /// Sequence number of the owner node's member record.
    record_sequence: u64,
    /// Time until which the owner node's process is paused.
    paused_until: time::MonotonicTime,
    /// Time until which the owner node is cut off.
    cut_until: time::MonotonicTime,
}

/// Simulation of callers, nodes and targets.
#[derive(Debug)]
pub struct CallModel {
    settings: model::ModelSettings,
    phases: Vec<(Vec<model::CallKind>, Duration)>,
    /// Index of the current phase.
    phase: usize,
    /// Statistics by phase and kind.
    counts: Vec<Vec<model::KindStats>>,
    /// Calls to be retried, by number.
    waiting_retries: IndexMap<u64, ModelCall>,
    now: time::MonotonicTime,
    /// Time after which no new requests are sent.
    end: time::MonotonicTime,
    random: ChaCha8Rng,
    ingresses: Vec<node::NodeReducer>,
    targets: Vec<TargetState>,
    /// Scheduled events by time and sequence number.
    event_queue: BinaryHeap<Reverse<(time::MonotonicTime, u64, ModelEvent)>>,
    /// Last number given to an event, call or attempt.
    sequence: u64,
    calls: IndexMap<u64, ModelCall>,
    attempts: IndexMap<u64, ModelAttempt>,
    /// Round-robin position of each ingress node.
    next_targets: Vec<usize>,
    /// Calls in flight by ingress node and target.
    in_flight: Vec<Vec<u32>>,
    processors: processor::NodeProcessors,
    /// Whether calls begin at the owner nodes of targets.
    has_shared_nodes: bool,
    faults: Vec<(usize, model::TargetFault)>,
    arrivals: Vec<model::TargetArrival>,
    signalled: Vec<model::SignalledResponse>,
}

impl CallModel {
    /// Creates a simulation without requests.
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
                running: 0,
                queue: VecDeque::new(),
                loads: IndexMap::new(),
                signals: signals::ResponseSignals::default(),
                record_sequence: 1,
                paused_until: time::MonotonicTime::default(),
                cut_until: time::MonotonicTime::default(),
            });
        }
        let in_flight = vec![vec![0; targets.len()]; ingresses.len()];
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            next_targets: vec![0; ingresses.len()],
            in_flight,
            settings,
            phases: Vec::new(),
            phase: 0,
            counts: Vec::new(),
            waiting_retries: IndexMap::new(),
            now: time::MonotonicTime::default(),
            end: time::MonotonicTime::default(),
            ingresses,
            targets,
            event_queue: BinaryHeap::new(),
            sequence: 0,
            calls: IndexMap::new(),
            attempts: IndexMap::new(),
            processors: processor::NodeProcessors::default(),
            has_shared_nodes: false,
            faults: Vec::new(),
            arrivals: Vec::new(),
            signalled: Vec::new(),
        }
    }

    /// Makes every node take this long to handle a message, one message at a time.
    #[must_use]
    pub fn with_processors(mut self, message_time: Duration) -> Self {
        let nodes = self.ingresses.len() + self.targets.len();
        self.processors = processor::NodeProcessors::new(message_time, nodes);
        self
    }

    /// Changes every ingress node, for example its tunables.
    #[must_use]
    pub fn with_ingresses(mut self, change: impl Fn(&mut node::NodeReducer)) -> Self {
        self.ingresses.iter_mut().for_each(change);
        self
    }

    /// Changes every owner node, for example its tunables.
    #[must_use]
    pub fn with_owners(mut self, change: impl Fn(&mut node::NodeReducer)) -> Self {
        let owners = self.targets.iter_mut().map(|target| &mut target.node);
        owners.for_each(change);
        self
    }

    /// Makes all calls begin at the owner nodes of targets: those of callers at any of them, those
    /// of a run at the owner node of its target.
    #[must_use]
    pub fn with_shared_nodes(mut self, change: impl Fn(&mut node::NodeReducer)) -> Self {
        self.has_shared_nodes = true;
        let records: Vec<_> = (0..self.targets.len())
            .map(|target| (self.identity(target), self.target_record(target)))
            .collect();
        for (number, target) in self.targets.iter_mut().enumerate() {
            target.node.state.random =
                ChaCha8Rng::seed_from_u64(self.settings.seed + number as u64);
            for (identity, record) in &records {
                if identity.instance != target.node.state.settings.identity.instance {
                    target
                        .node
                        .receive_record(identity, 1, vec![record.clone()]);
                }
            }
            change(&mut target.node);
        }
        let nodes = self.ingresses.len() + self.targets.len();
        self.in_flight = vec![vec![0; self.targets.len()]; nodes];
        self
    }

    fn identity(&self, target: usize) -> hazeltiller_wire::membership::PeerIdentity {
        let settings = &self.targets[target].node.state.settings;
        settings.identity.clone()
    }

    /// Returns the reducer of the node with this index: an ingress node or, after these, the owner
    /// node of a target.
    fn node_mut(&mut self, index: usize) -> &mut node::NodeReducer {
        let ingresses = self.ingresses.len();
        match index.checked_sub(ingresses) {
            None => &mut self.ingresses[index],
            Some(target) => &mut self.targets[target].node,
        }
    }

    /// Makes the first `count` targets break every connection and the others work.
    pub fn set_broken(&mut self, count: usize) {
        for (number, target) in self.targets.iter_mut().enumerate() {
            target.settings.is_broken = number < count;
        }
    }

    /// Sends requests for a time and runs until all have ended; returns statistics by kind.
    pub fn run(&mut self, kinds: &[model::CallKind], span: Duration) -> Vec<model::KindStats> {
        let mut counts = self.run_phases(vec![(kinds.to_vec(), span)]);
        counts.swap_remove(0)
    }

    /// Runs several phases with their own rates, one directly after the other; returns statistics
    /// by phase and kind. A request counts in the phase of its caller's first attempt.
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
        self.schedule(Duration::ZERO, ModelEvent::PhaseStarted(0));
        self.schedule(TICK, ModelEvent::Tick);
        while let Some(Reverse((at, _, event))) = self.event_queue.pop() {
            self.now = at;
            self.handle_event(event);
        }
        std::mem::take(&mut self.counts)
    }

    fn handle_event(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::PhaseStarted(phase) => self.begin_phase(phase),
            ModelEvent::CallSent(phase, kind) => self.send_new(phase, kind),
            ModelEvent::CallRetried(call) => self.retry(call),
            ModelEvent::CallReceived(call) => self.receive_call(call),
            ModelEvent::OfferReceived(number) => self.receive_offer(number),
            ModelEvent::WorkEnded(number) => self.end_work(number),
            ModelEvent::AnswerReceived(number) => self.receive_answer(number),
            ModelEvent::IngressRestarted(ingress) => self.restart_ingress(ingress),
            ModelEvent::FaultStarted(index) => self.start_fault(index),
            ModelEvent::TargetAnnounced(target) => self.announce_again(target),
            ModelEvent::Tick => self.tick(),
        }
    }

    fn begin_phase(&mut self, phase: usize) {
        let Some((kinds, span)) = self.phases.get(phase) else {
            return;
        };
        let (kinds, span) = (kinds.len(), *span);
        self.phase = phase;
        self.schedule(span, ModelEvent::PhaseStarted(phase + 1));
        for kind in 0..kinds {
            self.schedule_next_call(kind);
        }
    }

    /// Schedules the next new request of a kind, which is not sent if the phase has ended by then.
    fn schedule_next_call(&mut self, kind: usize) {
        let rate = self.kind(kind).rate;
        if rate > 0.0 {
            let next = self.exponential(1.0 / rate);
            self.schedule(next, ModelEvent::CallSent(self.phase, kind));
        }
    }

    /// Returns the settings of a kind in the current phase.
    fn kind(&self, kind: usize) -> model::CallKind {
        self.phases[self.phase].0[kind]
    }

    /// Returns the statistics that a call counts in.
    fn stats(&mut self, call: u64) -> &mut model::KindStats {
        let record = &self.calls[&call];
        &mut self.counts[record.phase][record.kind]
    }

    fn schedule(&mut self, after: Duration, event: ModelEvent) {
        self.sequence += 1;
        let scheduled = (self.now + after, self.sequence, event);
        self.event_queue.push(Reverse(scheduled));
    }

    /// Schedules an event for when an ingress node has handled a message that it receives after
    /// a time.
    fn schedule_at_ingress(&mut self, ingress: usize, after: Duration, event: ModelEvent) {
        let handled_at = self.processors.handle_message(ingress, self.now + after);
        self.schedule(handled_at.since(self.now), event);
    }

    /// Schedules an event for when the owner node of a target has handled a message that it
    /// receives after a time.
    fn schedule_at_owner(&mut self, target: usize, after: Duration, event: ModelEvent) {
        let node = self.ingresses.len() + target;
        let handled_at = self.processors.handle_message(node, self.now + after);
        self.schedule(handled_at.since(self.now), event);
    }

    /// Draws an exponentially distributed duration. `mean` is in seconds.
    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.random.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() * mean)
    }
}
