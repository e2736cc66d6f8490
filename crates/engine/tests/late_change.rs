//! Time from the acceptance of a change until every node has it in force while a control is out of
//! touch or behind, and after its return.
//!
//! `ReducerFleet` checks after every step that no version decreases.

use std::time::Duration;

use hazeltiller_catalogue::delta;
use hazeltiller_engine::{dissemination, event, settings};
use hazeltiller_testkit::{entries, reducers};
use hazeltiller_units::ids;
use hazeltiller_wire::membership;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CENTRES: [&str; 3] = ["brasov-a", "sibiu-a", "cluj-a"];
const CONTROLS: [(&str, &str); 3] = [("c-0", "brasov-a"), ("c-1", "sibiu-a"), ("c-2", "cluj-a")];
const ALL_CONTROLS: [&str; 3] = ["c-0", "c-1", "c-2"];
/// The control that is cut off, and its data centre.
const CUT_CONTROL: &str = "c-0";
const CUT_CENTRE: &str = "brasov-a";
/// Time in which an accepted change must be in force on each node with a way to a majority.
const CHANGE_BOUND: Duration = Duration::from_secs(2);
/// Time after which nodes that were cut off must have what was accepted meanwhile.
const RETURN_BOUND: Duration = Duration::from_secs(3);
const MANY_HEADS: u64 = 24;
/// Rate of a link of 2.3 Mbit/s.
const NODE_LINK_BYTES_PER_S: u64 = 287_500;
const MANY_ROUTES: usize = 1400;
const LINK_TIMEOUT: Duration = Duration::from_secs(1);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
const SEEDS: std::ops::Range<u64> = 7..10;

/// What one control loses.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ControlCut {
    /// Its links to the other controls.
    Controls,
    /// What the other controls send to it.
    FromControls,
    /// All of its links.
    All,
    /// Its links to nodes.
    Nodes,
    /// All links between its data centre and the others.
    Centre,
    /// No link, but its log stays behind.
    Log,
}

impl ControlCut {
    fn drops(self, from: &membership::PeerIdentity, to: &membership::PeerIdentity) -> bool {
        let is_cut =
            |identity: &membership::PeerIdentity| identity.instance.as_str() == CUT_CONTROL;
        let is_near =
            |identity: &membership::PeerIdentity| identity.data_centre.as_str() == CUT_CENTRE;
        match self {
            Self::Controls => (is_cut(from) || is_cut(to)) && from.is_control && to.is_control,
            Self::FromControls => is_cut(to) && from.is_control,
            Self::All => is_cut(from) || is_cut(to),
            Self::Nodes => is_cut(from) && to.is_node || is_cut(to) && from.is_node,
            Self::Centre => is_near(from) != is_near(to),
            Self::Log => false,
        }
    }

    /// The controls whose logs follow the leader during the cut.
    fn majority(self) -> &'static [&'static str] {
        match self {
            Self::Nodes => &ALL_CONTROLS,
            _ => &ALL_CONTROLS[1..],
        }
    }
}

struct ChangeStorm {
    fleet: reducers::ReducerFleet,
    random: ChaCha8Rng,
    nodes: Vec<String>,
    /// Mean time between two changes.
    pause: Duration,
    accepted: Vec<(ids::CatalogueVersion, Duration)>,
    /// Changes that the log of the cut control lacks.
    missed: Vec<dissemination::CommittedVersion>,
}

impl ChangeStorm {
    fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // With many heads the controls feed every node of their data centre.
        let heads = random.random_bool(0.5).then_some(MANY_HEADS);
        let count = random.random_range(7..20);
        Self::with_nodes(seed, heads, count)
    }

    /// Creates a storm over a fleet with this number of nodes in each data centre.
    fn with_nodes(seed: u64, heads: Option<u64>, count: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut tunables = settings::EngineTunables::default();
        tunables.dissemination.heads = heads.unwrap_or(tunables.dissemination.heads);
        let mut fleet = reducers::ReducerFleet::new(seed, tunables, &CONTROLS);
        fleet.link_timeout = random.random_bool(0.5).then_some(LINK_TIMEOUT);
        let mut nodes = Vec::new();
        for centre in CENTRES {
            nodes.extend(fleet.add_nodes(centre, count));
        }
        fleet.accept(entries::base(), &ALL_CONTROLS);
        fleet.accept(entries::put_routed_services(&["registru"]), &ALL_CONTROLS);
        assert!(fleet.run_until(SETTLE_TIMEOUT, |fleet| fleet.has_converged(&nodes)));
        fleet.run(Duration::from_secs(4));
        let pause = Duration::from_millis(random.random_range(50..1500));
        Self {
            fleet,
            random,
            nodes,
            pause,
            accepted: Vec::new(),
            missed: Vec::new(),
        }
    }

    fn change(&mut self, controls: &[&str]) {
        let slots = self.fleet.accepted.version.0 as u32;
        let set = entries::put_slots("registru", slots);
        let term = ids::LeaderTerm(1);
        let version = self.fleet.accept(set.clone(), controls);
        self.accepted.push((version, self.fleet.now()));
        if !controls.contains(&CUT_CONTROL) {
            self.missed.push(dissemination::CommittedVersion {
                state: self.fleet.accepted.clone(),
                step: delta::DeltaStep { term, set },
                accepted_at_ms: 0,
                change: format!("change-{version}").parse().expect("a valid id"),
            });
        }
    }

    /// Accepts changes for a time, all on these controls.
    fn run(&mut self, span: Duration, controls: &[&str]) {
        let end = self.fleet.now() + span;
        while self.fleet.now() < end {
            let pause = self.pause.mul_f64(self.random.random_range(0.2..1.8));
            let left = end.saturating_sub(self.fleet.now());
            self.fleet.run(pause.min(left));
            self.change(controls);
        }
    }

    /// Brings the log of the cut control up to date, one change after the other.
    fn catch_up(&mut self) {
        for committed in std::mem::take(&mut self.missed) {
            let event = dissemination::DisseminationEvent::Committed(committed);
            self.fleet
                .inject(CUT_CONTROL, event::Event::Dissemination(event));
        }
    }

    /// Asserts that each node had every change in force in time. Nodes that were cut off have until
    /// `RETURN_BOUND` after `whole_at`.
    fn assert_in_time(&self, case: &str, is_cut_off: impl Fn(&str) -> bool, whole_at: Duration) {
        for name in &self.nodes {
            let in_force_at = &self.fleet.processes[name].in_force_at;
            for (version, accepted_at) in &self.accepted {
                let later = in_force_at.iter().filter(|(held, _)| *held >= version);
                let at = later.map(|(_, at)| *at).min();
                let mut due = *accepted_at + CHANGE_BOUND;
                if is_cut_off(name) {
                    due = due.max(whole_at + RETURN_BOUND);
                }
                assert!(
                    at.is_some_and(|at| at <= due),
                    "{case}: version {version}, accepted at {accepted_at:?}, is in force on {name} \
                     at {at:?}; the network is whole from {whole_at:?}"
                );
            }
        }
    }
}

fn changes_in_time(cut: ControlCut) {
    for seed in SEEDS {
        let mut storm = ChangeStorm::new(seed);
        storm.run(Duration::from_secs(1), &ALL_CONTROLS);
        storm
            .fleet
            .drop_messages(move |from, to| cut.drops(from, to));
        let cut_time = Duration::from_secs(storm.random.random_range(4..=12));
        storm.run(cut_time, cut.majority());
        storm.fleet.drop_messages(|_, _| false);
        let whole_at = storm.fleet.now();
        let catch_up_time = Duration::from_millis(storm.random.random_range(0..1500));
        storm.run(catch_up_time, cut.majority());
        storm.catch_up();
        storm.run(Duration::from_secs(8), &ALL_CONTROLS);
        storm.fleet.run(CHANGE_BOUND);
        let is_cut_off = |name: &str| cut == ControlCut::Centre && name.starts_with(CUT_CENTRE);
        storm.assert_in_time(&format!("{cut:?}, seed {seed}"), is_cut_off, whole_at);
    }
}

#[test]
fn control_without_controls() {
    changes_in_time(ControlCut::Controls);
}

#[test]
fn control_unheard() {
    changes_in_time(ControlCut::FromControls);
}

#[test]
fn control_isolated() {
    changes_in_time(ControlCut::All);
}

#[test]
fn control_without_nodes() {
    changes_in_time(ControlCut::Nodes);
}

#[test]
fn centre_isolated() {
    changes_in_time(ControlCut::Centre);
}

/// Nodes keep a parent that answers, and learn from their neighbours alone that it is behind.
#[test]
fn control_behind() {
    changes_in_time(ControlCut::Log);
}

/// The frame with a change is lost on the way to one node, whose links stay open.
#[test]
fn lost_delta() {
    let mut storm = ChangeStorm::new(SEEDS.start);
    for name in storm.nodes.clone() {
        let phase = Duration::from_millis(storm.random.random_range(2000..3000));
        storm.fleet.run(phase);
        let deaf = name.clone();
        storm
            .fleet
            .drop_messages(move |_, to| to.instance.as_str() == deaf);
        storm.change(&ALL_CONTROLS);
        storm.fleet.run(Duration::from_millis(50));
        storm.fleet.drop_messages(|_, _| false);
    }
    storm.fleet.run(CHANGE_BOUND);
    storm.assert_in_time("lost delta", |_| false, Duration::ZERO);
}

/// A change of many routes on the narrow links of nodes, most of them below other nodes.
#[test]
fn narrow_links() {
    let mut storm = ChangeStorm::with_nodes(SEEDS.start, Some(4), 10);
    storm.fleet.node_link_rate = Some(NODE_LINK_BYTES_PER_S);
    let cut = ControlCut::Controls;
    storm
        .fleet
        .drop_messages(move |from, to| cut.drops(from, to));
    storm.run(Duration::from_secs(6), cut.majority());
    storm.fleet.drop_messages(|_, _| false);
    storm.catch_up();
    storm.fleet.run(RETURN_BOUND);
    let version = storm
        .fleet
        .accept(entries::generated(MANY_ROUTES / 2), &ALL_CONTROLS);
    storm.accepted = vec![(version, storm.fleet.now())];
    storm.fleet.run(CHANGE_BOUND * 2);
    storm.assert_in_time("narrow links", |_| false, Duration::ZERO);
}
