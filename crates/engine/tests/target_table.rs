//! Tests of the table of ready targets: it follows membership at a cost that does not grow with the
//! fleet, and a call's choice looks at a bounded number of targets.

use std::time::Duration;

use hazeltiller_engine::{calls, event, routing::table};
use hazeltiller_testkit::node;
use hazeltiller_units::ids;
use hazeltiller_wire::{membership as wire, message};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

const CENTRES: [&str; 3] = ["brasov-a", "brasov-b", "cluj-a"];
const SERVICES: [&str; 2] = ["registru", "arhiva"];

fn entries(slots: u32) -> Value {
    let service = |name: &str| {
        json!({"kind": "service", "name": name, "owner": "registru", "class": "counter",
            "limits": {"slots": slots}})
    };
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        service("registru"),
        service("arhiva"),
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/"}},
    ])
}

/// A node that knows other nodes, each with one target.
struct KnownFleet {
    node: node::NodeReducer,
    random: ChaCha8Rng,
    sequences: Vec<u64>,
}

impl KnownFleet {
    fn new(members: usize) -> Self {
        let mut fleet = Self {
            node: node::NodeReducer::new("node-own", CENTRES[0], &entries(8)),
            random: ChaCha8Rng::seed_from_u64(5),
            sequences: vec![0; members],
        };
        for index in 0..members {
            fleet.publish(index, wire::TargetState::Ready, 0);
        }
        fleet.refresh();
        fleet
    }

    fn identity(index: usize) -> wire::PeerIdentity {
        let centre = CENTRES[index % CENTRES.len()];
        node::identity(&format!("node-{index}"), centre, "ro-centru")
    }

    /// Receives a newer record of a member.
    fn publish(&mut self, index: usize, state: wire::TargetState, incarnation: u64) {
        let service = SERVICES[(index / 2) % SERVICES.len()];
        let target = wire::TargetRecord {
            state,
            incarnation: ids::IncarnationNumber(incarnation),
            ..node::target(&format!("target-{index}"), service, 10)
        };
        self.publish_targets(index, vec![target], false);
    }

    fn publish_targets(&mut self, index: usize, targets: Vec<wire::TargetRecord>, has_left: bool) {
        self.sequences[index] += 1;
        let identity = Self::identity(index);
        let record = wire::MemberRecord {
            identity: identity.clone(),
            sequence: self.sequences[index],
            has_left,
            targets,
        };
        let records = wire::MembershipMessage::Records(vec![record]);
        self.node.reduce(event::Event::Received {
            from: identity,
            message: message::PeerMessage::Membership(records),
        });
    }

    fn refresh(&mut self) {
        table::refresh(&mut self.node.state);
    }

    fn targets(&self) -> IndexMap<(String, ids::TargetName), table::ReadyTarget> {
        let table = &self.node.state.routing.table;
        let of_service = |service: &'static str| {
            let name = service.parse().expect("a valid name");
            let targets: Vec<table::ReadyTarget> = table
                .of_service(&name)
                .iter()
                .map(|(_, target)| target.clone())
                .collect();
            targets.into_iter().map(move |target| (service, target))
        };
        let mut targets: IndexMap<_, _> = SERVICES
            .into_iter()
            .flat_map(of_service)
            .map(|(service, target)| ((service.to_owned(), target.target.clone()), target))
            .collect();
        targets.sort_keys();
        targets
    }

    /// Makes one random change of one member.
    fn change(&mut self, round: u64) {
        let index = self.random.random_range(0..self.sequences.len());
        match self.random.random_range(0..6) {
            0 => self.publish(index, wire::TargetState::Draining, round),
            1 => self.publish_targets(index, Vec::new(), false),
            2 => self.publish_targets(index, Vec::new(), true),
            3 => {
                let name = Self::identity(index).instance;
                let suspicion = self.node.state.membership.members.get(&name).map(|member| {
                    wire::MemberSuspicion {
                        instance: name.clone(),
                        incarnation: member.record.identity.incarnation,
                        sequence: member.record.sequence,
                    }
                });
                let gossip = wire::GossipMessage {
                    suspicions: suspicion.into_iter().collect(),
                    ..wire::GossipMessage::default()
                };
                let from = Self::identity((index + 1) % self.sequences.len());
                let probe = wire::MembershipMessage::Alive(gossip);
                self.node.reduce(event::Event::Received {
                    from,
                    message: message::PeerMessage::Membership(probe),
                });
            }
            _ => self.publish(index, wire::TargetState::Ready, round),
        }
        if self.random.random_bool(0.1) {
            self.node.advance(Duration::from_millis(700));
        }
    }
}

/// The whole table was built anew for each record that arrived: with a thousand nodes that start at
/// the same time, each built it a thousand times.
#[test]
fn whole_rebuilds() {
    let mut costs = Vec::new();
    for members in [100, 1000] {
        let mut fleet = KnownFleet::new(members);
        let before = fleet.node.state.routing.table.update_count;
        fleet.publish(7, wire::TargetState::Ready, 1);
        fleet.refresh();
        let after = fleet.node.state.routing.table.update_count;
        costs.push(after - before);
    }
    assert_eq!(costs, [2, 2], "one target is removed and put again");
}

#[test]
fn table_follows_members() {
    let mut fleet = KnownFleet::new(40);
    for round in 1..400 {
        fleet.change(round);
        if round % 150 == 0 {
            fleet.node.apply_entries(&entries(8 - (round / 150) as u32));
        }
        fleet.refresh();
        let followed = fleet.targets();
        let views: usize = fleet.node.state.routing.views.len();
        fleet.node.state.routing.table = table::TargetTable::default();
        fleet.refresh();
        assert_eq!(followed, fleet.targets(), "round {round}");
        assert_eq!(
            views,
            followed.len(),
            "round {round}: a view for each target"
        );
    }
}

/// More changes than are logged since the table was last used.
#[test]
fn table_follows_many_changes() {
    let mut fleet = KnownFleet::new(40);
    (1..2000).for_each(|round| fleet.change(round));
    fleet.refresh();
    let followed = fleet.targets();
    fleet.node.state.routing.table = table::TargetTable::default();
    fleet.refresh();
    assert_eq!(followed, fleet.targets());
}

/// Of hundreds of equal targets, those of the own data centre share its calls evenly.
#[test]
fn choice_spread() {
    const MEMBERS: usize = 900;
    const CALLS: u64 = 9000;
    let mut fleet = KnownFleet::new(MEMBERS);
    fleet.node.state.settings.tunables.routing.compared = 3;
    let mut counts: IndexMap<ids::TargetName, u32> = IndexMap::new();
    for call in 1..=CALLS {
        let arrived = calls::CallEvent::Arrived(node::arrival(call, "/"));
        for effect in fleet.node.call(arrived) {
            if let calls::CallEffect::Attempt(_, plan) = effect {
                *counts.entry(plan.candidate.target).or_default() += 1;
            }
        }
        fleet
            .node
            .call(calls::CallEvent::Finished(ids::CallId(call)));
    }
    let near: Vec<u32> = fleet
        .targets()
        .values()
        .filter(|target| target.distance == table::TargetDistance::SameDataCentre)
        .filter_map(|target| counts.get(&target.target).copied())
        .collect();
    let mean = CALLS as f64 / near.len() as f64;
    assert!(
        near.len() >= 140,
        "{} targets of the own data centre",
        near.len()
    );
    let most = near.iter().max().copied().unwrap_or(0);
    let least = near.iter().min().copied().unwrap_or(0);
    assert!(
        f64::from(most) < mean * 1.8,
        "{most} at the most, {mean} on average"
    );
    assert!(
        f64::from(least) > mean * 0.4,
        "{least} at the least, {mean} on average"
    );
}

#[test]
fn sample_bounded() {
    let fleet = KnownFleet::new(900);
    let service = "registru".parse().expect("a valid name");
    let targets = fleet.node.state.routing.table.of_service(&service);
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let sample = targets.sample(&table::TargetDistance::ALL, 32, &mut random);
    let distinct: indexmap::IndexSet<table::TargetIndex> = sample.iter().copied().collect();
    assert_eq!(distinct.len(), 32);
    let all = targets.sample(&table::TargetDistance::ALL, usize::MAX, &mut random);
    assert_eq!(all.len(), targets.len());
}
