//! Simulated fleet of reducers on a message network with faults, in virtual time from a fixed seed.
//!
//! Whenever a process puts a version into force, the simulation checks two invariants: the version
//! of a process never decreases, not even after a restart, and every route of the catalogue refers
//! to a service of the same catalogue.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use hazeltiller_catalogue::{change, delta, state as catalogue_state};
use hazeltiller_engine::{calls, dissemination, event, reducer, settings};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::{codec, membership, message};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_MICROS: u64 = 20_000;
/// One-way latency within a data centre.
const LOCAL_LATENCY_MICROS: u64 = 200;
/// One-way latency between data centres.
const REMOTE_LATENCY_MICROS: u64 = 1_500;
const FIRST_INCARNATION: u64 = 1_000_000;
const PEER_PORT: u16 = 7000;

/// Predicate over sender and receiver that selects the messages to be dropped.
pub type LinkFilter = Box<dyn Fn(&membership::PeerIdentity, &membership::PeerIdentity) -> bool>;

/// Number of frames and bytes by traffic category.
pub type ByteCounts = IndexMap<message::TrafficCategory, (u64, u64)>;

/// Simulated process with one reducer.
pub struct SimulatedProcess {
    /// State of the reducer.
    pub state: reducer::EngineState,
    /// Whether the process is running.
    pub is_running: bool,
    /// What it has sent since the counts were last cleared.
    pub sent: ByteCounts,
    /// Size of the largest gossip message that it has sent.
    pub largest_gossip_bytes: u64,
    /// Latest time at which it put each version into force.
    pub in_force_at: IndexMap<ids::CatalogueVersion, Duration>,
    highest_version: ids::CatalogueVersion,
    /// Number of events that it has handled, apart from ticks, since the counts were last cleared.
    events: u64,
    /// Number of its current start, unique in the fleet.
    start_number: u64,
    /// Time of its current start, from which its clock counts.
    started_micros: u64,
}

/// An effect on a call, when it occurred and on which process.
#[derive(Debug, Clone, PartialEq)]
pub struct ObservedEffect {
    /// Time since the start of the simulation.
    pub at: Duration,
    /// Name of the process.
    pub process: String,
    /// The effect.
    pub effect: calls::CallEffect,
}

enum DeliveredInput {
    Tick,
    Event(Box<event::Event>),
}

struct QueuedDelivery {
    at_micros: u64,
    order: u64,
    to: SocketAddr,
    /// Start of the process that it is meant for; `None` for any.
    start_number: Option<u64>,
    delivery: DeliveredInput,
}

impl PartialEq for QueuedDelivery {
    fn eq(&self, other: &Self) -> bool {
        (self.at_micros, self.order) == (other.at_micros, other.order)
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
        (self.at_micros, self.order).cmp(&(other.at_micros, other.order))
    }
}

/// Simulated fleet of reducers.
pub struct ReducerFleet {
    /// Processes by name.
    pub processes: IndexMap<String, SimulatedProcess>,
    /// Latest catalogue that the control group has accepted.
    pub accepted: catalogue_state::CatalogueState,
    /// Tunables of processes that are started.
    pub tunables: settings::EngineTunables,
    /// Probability that a message is lost.
    pub loss_rate: f64,
    /// Probability that a message is delivered twice.
    pub duplication_rate: f64,
    /// Time after which the sender of a message that the filter drops loses its link; `None` leaves
    /// links open.
    pub link_timeout: Option<Duration>,
    /// Rate of the links of nodes, each way, in bytes per second; `None` sends without delay.
    pub node_link_rate: Option<u64>,
    /// Whether frames are encoded and counted.
    pub counts_bytes: bool,
    /// Effects on calls since the list was last cleared.
    pub call_effects: Vec<ObservedEffect>,
    names: IndexMap<SocketAddr, String>,
    controls: Vec<SocketAddr>,
    drop_filter: LinkFilter,
    queue: BinaryHeap<Reverse<QueuedDelivery>>,
    /// Time of the last delivery on each link, which later messages do not overtake.
    last_delivery: IndexMap<(SocketAddr, SocketAddr), u64>,
    /// Time at which each node's link is free again: what it sends, and what it receives.
    links_busy: IndexMap<(SocketAddr, bool), u64>,
    /// Time at which each link that is cut counts as lost.
    link_losses: IndexMap<(SocketAddr, SocketAddr), u64>,
    random: ChaCha8Rng,
    /// Time since the start of the simulation, in microseconds.
    now_micros: u64,
    order: u64,
    start_count: u64,
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
    /// Creates a fleet of running controls, given as `(name, data centre)`.
    pub fn new(seed: u64, tunables: settings::EngineTunables, controls: &[(&str, &str)]) -> Self {
        let mut fleet = Self {
            processes: IndexMap::new(),
            accepted: catalogue_state::CatalogueState::default(),
            tunables,
            loss_rate: 0.0,
            duplication_rate: 0.0,
            link_timeout: None,
            node_link_rate: None,
            counts_bytes: false,
            call_effects: Vec::new(),
            names: IndexMap::new(),
            controls: Vec::new(),
            drop_filter: Box::new(|_, _| false),
            queue: BinaryHeap::new(),
            last_delivery: IndexMap::new(),
            links_busy: IndexMap::new(),
            link_losses: IndexMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now_micros: 0,
            order: 0,
            start_count: 0,
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

    /// Adds nodes to a data centre and starts them; returns their names, `{centre}-{index}`.
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
            instance: name.parse().expect("the name is valid"),
            data_centre: centre.parse().expect("the name is valid"),
            region: "ro-centru".parse().expect("the name is valid"),
            address,
            operators: None,
            is_control,
            is_node: !is_control,
            incarnation: ids::IncarnationNumber::default(),
        };
        let process = SimulatedProcess {
            state: self.new_state(identity),
            is_running: false,
            sent: IndexMap::new(),
            largest_gossip_bytes: 0,
            in_force_at: IndexMap::new(),
            highest_version: ids::CatalogueVersion::default(),
            events: 0,
            start_number: 0,
            started_micros: 0,
        };
        self.processes.insert(name.into(), process);
        self.names.insert(address, name.into());
        self.start(name);
    }

    fn new_state(&mut self, mut identity: membership::PeerIdentity) -> reducer::EngineState {
        self.start_count += 1;
        let started = FIRST_INCARNATION + self.now_micros / 1000;
        identity.incarnation = ids::IncarnationNumber(started);
        let settings = settings::EngineSettings {
            identity,
            control: self.controls.clone(),
            seed: self.start_count,
            tunables: self.tunables.clone(),
        };
        reducer::EngineState::new(settings, None)
    }

    /// Starts a process without its former state. A control starts with the latest accepted
    /// catalogue.
    pub fn start(&mut self, name: &str) {
        let identity = self.process(name).state.settings.identity.clone();
        let mut state = self.new_state(identity);
        if state.settings.identity.is_control {
            state.dissemination.in_force = std::sync::Arc::new(self.accepted.clone());
        }
        let tick_offset = self.random.random_range(0..TICK_MICROS);
        let (start_number, now_micros) = (self.start_count, self.now_micros);
        let to = state.settings.identity.address;
        let process = self.process(name);
        process.state = state;
        process.is_running = true;
        process.start_number = start_number;
        process.started_micros = now_micros;
        self.queue_at(
            self.now_micros + tick_offset,
            to,
            Some(start_number),
            DeliveredInput::Tick,
        );
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) {
        self.process(name).is_running = false;
    }

    /// Returns a process.
    pub fn process(&mut self, name: &str) -> &mut SimulatedProcess {
        let process = self.processes.get_mut(name);
        process.expect("the process exists")
    }

    /// Returns the names of the running nodes.
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

    /// Sets which messages are dropped, by sender and receiver. The links appear to stay open.
    pub fn drop_messages(
        &mut self,
        filter: impl Fn(&membership::PeerIdentity, &membership::PeerIdentity) -> bool + 'static,
    ) {
        self.drop_filter = Box::new(filter);
    }

    /// Returns the time since the start of the simulation.
    pub fn now(&self) -> Duration {
        Duration::from_micros(self.now_micros)
    }

    /// Accepts a change on behalf of the control group and informs `controls` of it; returns the
    /// new version.
    pub fn accept(&mut self, set: change::ChangeSet, controls: &[&str]) -> ids::CatalogueVersion {
        let term = ids::LeaderTerm(1);
        self.accepted = self
            .accepted
            .apply(&set, term)
            .expect("the change is valid");
        let committed = dissemination::CommittedVersion {
            state: self.accepted.clone(),
            step: delta::DeltaStep { term, set },
            accepted_at_ms: self.now_micros / 1000,
            change: "accepted".parse().expect("a valid change id"),
        };
        for name in controls {
            let to = self.process(name).state.settings.identity.address;
            let event = dissemination::DisseminationEvent::Committed(committed.clone());
            self.queue_at(
                self.now_micros,
                to,
                None,
                DeliveredInput::Event(Box::new(event::Event::Dissemination(event))),
            );
        }
        self.accepted.version
    }

    /// Delivers an event to a process at the current time.
    pub fn inject(&mut self, name: &str, event: event::Event) {
        let to = self.process(name).state.settings.identity.address;
        self.queue_at(
            self.now_micros,
            to,
            None,
            DeliveredInput::Event(Box::new(event)),
        );
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now_micros + span.as_micros() as u64;
        while let Some(Reverse(next)) = self.queue.peek()
            && next.at_micros <= end
        {
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now_micros = next.at_micros;
            self.deliver(next);
        }
        self.now_micros = end;
    }

    /// Runs the simulation until a condition holds, for at most `timeout`; returns whether it
    /// holds.
    pub fn run_until(&mut self, timeout: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now() + timeout;
        while !holds(self) {
            if self.now() >= end {
                return false;
            }
            self.run(Duration::from_millis(5));
        }
        true
    }

    /// Returns whether all given processes have the latest accepted version in force.
    pub fn has_converged(&self, names: &[String]) -> bool {
        let version = self.accepted.version;
        names
            .iter()
            .all(|name| self.processes[name].state.dissemination.version() == version)
    }

    /// Resets the counts of sent bytes and handled events.
    pub fn clear_counts(&mut self) {
        for process in self.processes.values_mut() {
            process.sent.clear();
            process.events = 0;
        }
    }

    /// Returns the number of bytes that a process has sent.
    pub fn sent_bytes(&self, name: &str) -> u64 {
        let sent = self.processes[name].sent.values();
        sent.map(|(_, bytes)| bytes).sum()
    }

    /// Returns the number of events that a process has handled, apart from ticks.
    pub fn events(&self, name: &str) -> u64 {
        self.processes[name].events
    }

    fn queue_at(
        &mut self,
        at_micros: u64,
        to: SocketAddr,
        start_number: Option<u64>,
        delivery: DeliveredInput,
    ) {
        self.order += 1;
        let queued = QueuedDelivery {
            at_micros,
            order: self.order,
            to,
            start_number,
            delivery,
        };
        self.queue.push(Reverse(queued));
    }

    fn deliver(&mut self, queued: QueuedDelivery) {
        let name = self.names[&queued.to].clone();
        let process = &mut self.processes[&name];
        let now = time::MonotonicTime(self.now_micros - process.started_micros);
        let is_stale = queued
            .start_number
            .is_some_and(|start_number| start_number != process.start_number);
        if !process.is_running || is_stale {
            return;
        }
        let event = match queued.delivery {
            DeliveredInput::Tick => {
                let next = self.now_micros + TICK_MICROS;
                self.queue_at(next, queued.to, queued.start_number, DeliveredInput::Tick);
                event::Event::Tick
            }
            DeliveredInput::Event(event) => {
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
            event::Effect::Dissemination(dissemination::DisseminationEffect::InForce {
                state,
                ..
            }) => {
                self.check_invariants(name, &state);
            }
            event::Effect::Calls(effect) => {
                let observed = ObservedEffect {
                    at: self.now(),
                    process: name.into(),
                    effect,
                };
                self.call_effects.push(observed);
            }
            _ => {}
        }
    }

    fn check_invariants(&mut self, name: &str, state: &catalogue_state::CatalogueState) {
        let now = self.now();
        let process = self.process(name);
        assert!(
            state.version >= process.highest_version,
            "{name} went back from version {} to {}",
            process.highest_version,
            state.version
        );
        process.highest_version = state.version;
        process.in_force_at.insert(state.version, now);
        for route in state.routes() {
            let service = state.service(&route.service);
            assert!(
                service.is_some(),
                "{name}: the service of route {} is missing",
                route.name
            );
        }
    }

    fn send(&mut self, from: &str, to: SocketAddr, message: message::PeerMessage) {
        let sender = self.processes[from].state.settings.identity.clone();
        if self.counts_bytes {
            self.count_bytes(from, &message);
        }
        let Some(receiver) = self.names.get(&to).map(|name| &self.processes[name]) else {
            return;
        };
        let latency = latency_between(&sender, &receiver.state.settings.identity);
        if !receiver.is_running {
            let event = event::Event::LinkLost { address: to };
            let delivery = DeliveredInput::Event(Box::new(event));
            return self.queue_at(
                self.now_micros + 2 * latency,
                sender.address,
                None,
                delivery,
            );
        }
        let is_dropped = (self.drop_filter)(&sender, &receiver.state.settings.identity);
        if is_dropped {
            return self.lose_link(sender.address, to);
        }
        if self.random.random_bool(self.loss_rate) {
            return;
        }
        let latency = latency + self.transfer_micros(&sender, to, &message);
        let copies = 1 + u32::from(self.random.random_bool(self.duplication_rate));
        for _ in 0..copies {
            let last = self.last_delivery.get(&(sender.address, to)).copied();
            let at_micros = (self.now_micros + latency).max(last.unwrap_or(0));
            self.last_delivery.insert((sender.address, to), at_micros);
            let event = event::Event::Received {
                from: sender.clone(),
                message: message.clone(),
            };
            self.queue_at(at_micros, to, None, DeliveredInput::Event(Box::new(event)));
        }
    }

    /// Occupies the links of the nodes that send and receive a message, and returns the time in which
    /// it passes them and what was queued before it.
    fn transfer_micros(
        &mut self,
        sender: &membership::PeerIdentity,
        to: SocketAddr,
        message: &message::PeerMessage,
    ) -> u64 {
        let Some(rate) = self.node_link_rate else {
            return 0;
        };
        let duration = encoded_frame_bytes(message) * 1_000_000 / rate;
        let receiver = &self.processes[&self.names[&to]].state.settings.identity;
        let ends = [
            (sender.address, true, sender.is_node),
            (to, false, receiver.is_node),
        ];
        let mut passed_at = self.now_micros;
        for (address, is_outgoing, is_node) in ends {
            if is_node {
                let free_at = self.links_busy.entry((address, is_outgoing)).or_default();
                *free_at = (*free_at).max(self.now_micros) + duration;
                passed_at = passed_at.max(*free_at);
            }
        }
        passed_at - self.now_micros
    }

    /// Tells the sender of a dropped message of the loss of its link, once per loss.
    fn lose_link(&mut self, sender: SocketAddr, to: SocketAddr) {
        let Some(timeout) = self.link_timeout else {
            return;
        };
        let known = self.link_losses.get(&(sender, to));
        if known.is_some_and(|lost_at| *lost_at > self.now_micros) {
            return;
        }
        let lost_at = self.now_micros + timeout.as_micros() as u64;
        self.link_losses.insert((sender, to), lost_at);
        let event = event::Event::LinkLost { address: to };
        let delivery = DeliveredInput::Event(Box::new(event));
        self.queue_at(lost_at, sender, None, delivery);
    }

    fn count_bytes(&mut self, from: &str, message: &message::PeerMessage) {
        let category = message.category();
        let bytes = encoded_frame_bytes(message);
        let process = self.process(from);
        let (frames, total_bytes) = process.sent.entry(category).or_default();
        *frames += 1;
        *total_bytes += bytes;
        if category == message::TrafficCategory::Gossip {
            process.largest_gossip_bytes = process.largest_gossip_bytes.max(bytes);
        }
    }
}

fn encoded_frame_bytes(message: &message::PeerMessage) -> u64 {
    let frame = message::PeerFrame {
        clock: message::HybridTime {
            wall: time::WallTime(1_800_000_000_000),
            count: 1,
        },
        message: message.clone(),
    };
    codec::encode_frame(&frame).len() as u64
}

fn latency_between(from: &membership::PeerIdentity, to: &membership::PeerIdentity) -> u64 {
    if from.data_centre == to.data_centre {
        LOCAL_LATENCY_MICROS
    } else {
        REMOTE_LATENCY_MICROS
    }
}

/// Returns a filter for [`ReducerFleet::drop_messages`] that isolates processes from all others.
pub fn isolated(
    names: &[&str],
) -> impl Fn(&membership::PeerIdentity, &membership::PeerIdentity) -> bool + use<> {
    let names: IndexSet<String> = names.iter().map(|name| (*name).to_owned()).collect();
    move |from, to| names.contains(from.instance.as_str()) || names.contains(to.instance.as_str())
}

fn address(index: usize) -> SocketAddr {
    let host = Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250) as u8 + 1);
    SocketAddr::from((host, PEER_PORT))
}
