//! A fleet of reducers on a network of messages with faults, in virtual time from a fixed seed.
//!
//! It checks after every step what must always hold: no version falls at any node, also over its
//! restarts, and no route points at a service that the same catalogue lacks.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use hazeltiller_catalogue::{change, delta, state as catalogue_state};
use hazeltiller_engine::{dissemination, event, reducer, settings};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::{codec, membership, message};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_MICROS: u64 = 20_000;
const NEAR_MICROS: u64 = 200;
const FAR_MICROS: u64 = 1_500;
const FIRST_INCARNATION: u64 = 1_000_000;
const PORT: u16 = 7000;

/// What is done to the messages between two processes.
pub type LinkFault = Box<dyn Fn(&membership::PeerIdentity, &membership::PeerIdentity) -> bool>;

/// Frames and bytes by reason.
pub type ReasonBytes = IndexMap<message::TrafficCategory, (u64, u64)>;

/// One reducer.
pub struct SimulatedProcess {
    /// Its state.
    pub state: reducer::EngineState,
    /// Whether it runs.
    pub is_running: bool,
    /// What it has sent since the counts were cleared.
    pub sent: ReasonBytes,
    /// Largest message of gossip that it sent, in bytes.
    pub largest_gossip_bytes: u64,
    /// When it first had each version in force.
    pub in_force_at: IndexMap<ids::CatalogueVersion, Duration>,
    highest: ids::CatalogueVersion,
    events: u64,
    life: u64,
}

enum Delivery {
    Tick,
    Event(Box<event::Event>),
}

struct QueuedDelivery {
    at: u64,
    order: u64,
    to: SocketAddr,
    life: Option<u64>,
    delivery: Delivery,
}

impl PartialEq for QueuedDelivery {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for QueuedDelivery {}

impl PartialOrd for QueuedDelivery {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedDelivery {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A fleet of reducers.
pub struct ReducerFleet {
    /// The processes by name.
    pub processes: IndexMap<String, SimulatedProcess>,
    /// The catalogue that the control group has accepted.
    pub accepted: catalogue_state::CatalogueState,
    /// Tunables of processes that start.
    pub tunables: settings::EngineTunables,
    /// Share of messages that are lost.
    pub loss_rate: f64,
    /// Share of messages that come twice.
    pub duplication_rate: f64,
    /// Whether frames are encoded and counted.
    pub counts_bytes: bool,
    names: IndexMap<SocketAddr, String>,
    controls: Vec<SocketAddr>,
    cut: LinkFault,
    queue: BinaryHeap<Reverse<QueuedDelivery>>,
    last_on_link: IndexMap<(SocketAddr, SocketAddr), u64>,
    random: ChaCha8Rng,
    now: u64,
    order: u64,
    starts: u64,
}

impl std::fmt::Debug for ReducerFleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ReducerFleet").finish_non_exhaustive()
    }
}

impl std::fmt::Debug for SimulatedProcess {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SimulatedProcess").finish_non_exhaustive()
    }
}

impl ReducerFleet {
    /// A fleet with controls as `(name, data centre)`, all running.
    pub fn new(seed: u64, tunables: settings::EngineTunables, controls: &[(&str, &str)]) -> Self {
        let mut fleet = Self {
            processes: IndexMap::new(),
            accepted: catalogue_state::CatalogueState::default(),
            tunables,
            loss_rate: 0.0,
            duplication_rate: 0.0,
            counts_bytes: false,
            names: IndexMap::new(),
            controls: Vec::new(),
            cut: Box::new(|_, _| false),
            queue: BinaryHeap::new(),
            last_on_link: IndexMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            order: 0,
            starts: 0,
        };
        fleet.controls = (0..controls.len()).map(address).collect();
        for (name, centre) in controls {
            fleet.add(name, centre, true);
        }
        fleet
    }

    /// Adds a node and starts it.
    pub fn add_node(&mut self, name: &str, centre: &str) {
        self.add(name, centre, false);
    }

    /// Adds nodes to a data centre, named after it, and starts them; returns their names.
    pub fn add_nodes(&mut self, centre: &str, count: usize) -> Vec<String> {
        let names: Vec<String> = (0..count)
            .map(|index| format!("{centre}-{index}"))
            .collect();
        for name in &names {
            self.add_node(name, centre);
        }
        names
    }

    fn add(&mut self, name: &str, centre: &str, is_control: bool) {
        let address = address(self.processes.len());
        let identity = membership::PeerIdentity {
            instance: name.parse().expect("tests give names"),
            data_centre: centre.parse().expect("tests give names"),
            region: "ro-centru".parse().expect("it is a name"),
            address,
            operators: None,
            is_control,
            is_node: !is_control,
            incarnation: ids::IncarnationNumber::default(),
        };
        let process = SimulatedProcess {
            state: self.fresh_state(identity),
            is_running: false,
            sent: IndexMap::new(),
            largest_gossip_bytes: 0,
            in_force_at: IndexMap::new(),
            highest: ids::CatalogueVersion::default(),
            events: 0,
            life: 0,
        };
        self.processes.insert(name.into(), process);
        self.names.insert(address, name.into());
        self.start(name);
    }

    fn fresh_state(&mut self, mut identity: membership::PeerIdentity) -> reducer::EngineState {
        self.starts += 1;
        let started = FIRST_INCARNATION + self.now / 1000;
        identity.incarnation = ids::IncarnationNumber(started);
        let settings = settings::EngineSettings {
            identity,
            control: self.controls.clone(),
            seed: self.starts,
            tunables: self.tunables.clone(),
        };
        reducer::EngineState::new(settings, None)
    }

    /// Starts a process without memory; a control holds what was accepted.
    pub fn start(&mut self, name: &str) {
        let identity = self.process(name).state.settings.identity.clone();
        let mut state = self.fresh_state(identity);
        if state.settings.identity.is_control {
            state.dissemination.in_force = std::sync::Arc::new(self.accepted.clone());
        }
        let phase = self.random.random_range(0..TICK_MICROS);
        let life = self.starts;
        let to = state.settings.identity.address;
        let process = self.process(name);
        process.state = state;
        process.is_running = true;
        process.life = life;
        self.queue_at(self.now + phase, to, Some(life), Delivery::Tick);
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) {
        self.process(name).is_running = false;
    }

    /// One process.
    pub fn process(&mut self, name: &str) -> &mut SimulatedProcess {
        let process = self.processes.get_mut(name);
        process.expect("tests name their own processes")
    }

    /// Names of the nodes that run.
    pub fn running_nodes(&self) -> Vec<String> {
        let is_node = |process: &SimulatedProcess| {
            process.is_running && process.state.settings.identity.is_node
        };
        let nodes = self.processes.iter();
        nodes
            .filter(|(_, process)| is_node(process))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Sets which messages are swallowed, by sender and receiver; the links seem to stay open.
    pub fn drop_messages(
        &mut self,
        cut: impl Fn(&membership::PeerIdentity, &membership::PeerIdentity) -> bool + 'static,
    ) {
        self.cut = Box::new(cut);
    }

    /// Time since the fleet began.
    pub fn now(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    /// Has the control group accept a change; `controls` learn of it.
    pub fn accept(&mut self, set: change::ChangeSet, controls: &[&str]) -> ids::CatalogueVersion {
        let term = ids::LeaderTerm(1);
        self.accepted = self
            .accepted
            .apply(&set, term)
            .expect("the change is valid");
        let committed = dissemination::CommittedVersion {
            state: self.accepted.clone(),
            step: delta::DeltaStep { term, set },
            accepted_at_ms: self.now / 1000,
        };
        for name in controls {
            let to = self.process(name).state.settings.identity.address;
            let event = dissemination::DisseminationEvent::Committed(committed.clone());
            self.queue_at(
                self.now,
                to,
                None,
                Delivery::Event(Box::new(event::Event::Dissemination(event))),
            );
        }
        self.accepted.version
    }

    /// Gives a process an event now.
    pub fn inject(&mut self, name: &str, event: event::Event) {
        let to = self.process(name).state.settings.identity.address;
        self.queue_at(self.now, to, None, Delivery::Event(Box::new(event)));
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        while let Some(Reverse(next)) = self.queue.peek()
            && next.at <= end
        {
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.deliver(next);
        }
        self.now = end;
    }

    /// Lets time pass until something holds, at most `longest`; whether it came to hold.
    pub fn run_until(&mut self, longest: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now() + longest;
        while !holds(self) {
            if self.now() >= end {
                return false;
            }
            self.run(Duration::from_millis(5));
        }
        true
    }

    /// Whether some processes have the last accepted version in force.
    pub fn has_converged(&self, names: &[String]) -> bool {
        let version = self.accepted.version;
        names
            .iter()
            .all(|name| self.processes[name].state.dissemination.version() == version)
    }

    /// Forgets what was sent so far.
    pub fn clear_counts(&mut self) {
        for process in self.processes.values_mut() {
            process.sent.clear();
            process.events = 0;
        }
    }

    /// Bytes that a process has sent.
    pub fn sent_bytes(&self, name: &str) -> u64 {
        let sent = self.processes[name].sent.values();
        sent.map(|(_, bytes)| bytes).sum()
    }

    /// Events that a process has taken, ticks aside.
    pub fn events(&self, name: &str) -> u64 {
        self.processes[name].events
    }

    fn queue_at(&mut self, at: u64, to: SocketAddr, life: Option<u64>, delivery: Delivery) {
        self.order += 1;
        let queued = QueuedDelivery {
            at,
            order: self.order,
            to,
            life,
            delivery,
        };
        self.queue.push(Reverse(queued));
    }

    fn deliver(&mut self, queued: QueuedDelivery) {
        let name = self.names[&queued.to].clone();
        let now = time::MonotonicTime(self.now);
        let process = &mut self.processes[&name];
        let is_old = queued.life.is_some_and(|life| life != process.life);
        if !process.is_running || is_old {
            return;
        }
        let event = match queued.delivery {
            Delivery::Tick => {
                let next = self.now + TICK_MICROS;
                self.queue_at(next, queued.to, queued.life, Delivery::Tick);
                event::Event::Tick
            }
            Delivery::Event(event) => {
                process.events += 1;
                *event
            }
        };
        let effects = reducer::reduce(&mut self.processes[&name].state, now, event);
        for effect in effects {
            self.run_effect(&name, effect);
        }
    }

    fn run_effect(&mut self, name: &str, effect: event::Effect) {
        match effect {
            event::Effect::Send { to, message } => self.send(name, to, message),
            event::Effect::Dissemination(dissemination::DisseminationEffect::InForce { state }) => {
                self.check(name, &state);
            }
            _ => {}
        }
    }

    fn check(&mut self, name: &str, state: &catalogue_state::CatalogueState) {
        let now = self.now();
        let process = self.process(name);
        assert!(
            state.version >= process.highest,
            "{name} fell from version {} to {}",
            process.highest,
            state.version
        );
        process.highest = state.version;
        process.in_force_at.insert(state.version, now);
        for route in state.routes() {
            let service = state.service(&route.service);
            assert!(service.is_some(), "{name}: route {} dangles", route.name);
        }
    }

    fn send(&mut self, from: &str, to: SocketAddr, message: message::PeerMessage) {
        let sender = self.processes[from].state.settings.identity.clone();
        if self.counts_bytes {
            self.count(from, &message);
        }
        let Some(receiver) = self.names.get(&to).map(|name| &self.processes[name]) else {
            return;
        };
        let latency = latency_between(&sender, &receiver.state.settings.identity);
        if !receiver.is_running {
            let event = event::Event::LinkLost { address: to };
            let delivery = Delivery::Event(Box::new(event));
            return self.queue_at(self.now + 2 * latency, sender.address, None, delivery);
        }
        let is_cut = (self.cut)(&sender, &receiver.state.settings.identity);
        if is_cut || self.random.random_bool(self.loss_rate) {
            return;
        }
        let times = 1 + u32::from(self.random.random_bool(self.duplication_rate));
        for _ in 0..times {
            let last = self.last_on_link.get(&(sender.address, to)).copied();
            let at = (self.now + latency).max(last.unwrap_or(0));
            self.last_on_link.insert((sender.address, to), at);
            let event = event::Event::Received {
                from: sender.clone(),
                message: message.clone(),
            };
            self.queue_at(at, to, None, Delivery::Event(Box::new(event)));
        }
    }

    fn count(&mut self, from: &str, message: &message::PeerMessage) {
        let reason = message.category();
        let frame = message::PeerFrame {
            clock: message::HybridTime {
                wall: time::WallTime(1_800_000_000_000),
                count: 1,
            },
            message: message.clone(),
        };
        let bytes = codec::encode_frame(&frame).len() as u64;
        let process = self.process(from);
        let (frames, sum) = process.sent.entry(reason).or_default();
        *frames += 1;
        *sum += bytes;
        if reason == message::TrafficCategory::Gossip {
            process.largest_gossip_bytes = process.largest_gossip_bytes.max(bytes);
        }
    }
}

fn latency_between(from: &membership::PeerIdentity, to: &membership::PeerIdentity) -> u64 {
    if from.data_centre == to.data_centre {
        NEAR_MICROS
    } else {
        FAR_MICROS
    }
}

/// Names of processes that are cut off from all others.
pub fn isolated(
    names: &[&str],
) -> impl Fn(&membership::PeerIdentity, &membership::PeerIdentity) -> bool + use<> {
    let names: IndexSet<String> = names.iter().map(|name| (*name).to_owned()).collect();
    move |from, to| names.contains(from.instance.as_str()) || names.contains(to.instance.as_str())
}

fn address(index: usize) -> SocketAddr {
    let host = Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250) as u8 + 1);
    SocketAddr::from((host, PORT))
}
