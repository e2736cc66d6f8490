//! Tests membership among reducers on a simulated network: joining, suspicion, leaving, partitions
//! and churn.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_engine::{
    event,
    membership::{self, reach::Reachability},
    settings,
};
use hazeltiller_testkit::reducers;
use hazeltiller_units::ids;
use hazeltiller_wire::{membership as wire, message};

const DATA_CENTRES: [&str; 2] = ["brasov-a", "sibiu-a"];
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
const LEASE: Duration = Duration::from_secs(600);

fn settled_fleet(seed: u64, nodes: usize) -> (reducers::ReducerFleet, Vec<String>) {
    let controls = [("c-0", "brasov-a")];
    let mut fleet =
        reducers::ReducerFleet::new(seed, settings::EngineTunables::default(), &controls);
    let mut names = Vec::new();
    for centre in DATA_CENTRES {
        names.extend(fleet.add_nodes(centre, nodes));
    }
    let count = names.len() + 1;
    let all_known = fleet.run_until(SETTLE_TIMEOUT, |fleet| all_know(fleet, count));
    assert!(all_known, "every process knows every member");
    fleet.run(Duration::from_secs(5));
    (fleet, names)
}

/// Returns whether every running process knows this many members, itself included.
fn all_know(fleet: &reducers::ReducerFleet, count: usize) -> bool {
    let mut running = fleet
        .processes
        .values()
        .filter(|process| process.is_running);
    running.all(|process| process.state.membership.present().count() == count)
}

fn reachability(fleet: &reducers::ReducerFleet, at: &str, of: &str) -> Reachability {
    let name: ids::InstanceName = of.parse().expect("valid name");
    fleet.processes[at].state.membership.reachability(&name)
}

fn announce(target: &str, state: wire::TargetState) -> event::Event {
    let announcement = membership::TargetAnnouncement {
        record: wire::TargetRecord {
            name: target.parse().expect("valid name"),
            service: "registru".parse().expect("valid name"),
            address: SocketAddr::from(([127, 0, 0, 1], 9000)),
            slots: 10,
            connections: 130,
            state,
            incarnation: ids::IncarnationNumber::default(),
            version: None,
        },
        lease: LEASE,
        sequence: None,
        warm_up_left: Duration::ZERO,
    };
    event::Event::Membership(membership::MembershipEvent::Announced(announcement))
}

/// Returns the state of a target as known to each running process.
fn known_states(fleet: &reducers::ReducerFleet, target: &str) -> Vec<Option<wire::TargetState>> {
    let running = fleet
        .processes
        .values()
        .filter(|process| process.is_running);
    let state = |process: &reducers::SimulatedProcess| {
        let mut targets = process
            .state
            .membership
            .present()
            .flat_map(|record| &record.targets);
        targets
            .find(|record| record.name.as_str() == target)
            .map(|record| record.state)
    };
    running.map(state).collect()
}

#[test]
fn all_discovered() {
    let (fleet, names) = settled_fleet(1, 40);
    for at in &names {
        for of in &names {
            assert_eq!(
                reachability(&fleet, at, of),
                Reachability::Reachable,
                "{at}: {of}"
            );
        }
    }
}

#[test]
fn controls_gone_early() {
    for seed in 30..50 {
        let controls = [("c-0", "brasov-a"), ("c-1", "sibiu-a"), ("c-2", "brasov-a")];
        let tunables = settings::EngineTunables::default();
        let mut fleet = reducers::ReducerFleet::new(seed, tunables, &controls);
        let mut names = fleet.add_nodes("brasov-a", 3);
        names.extend(fleet.add_nodes("sibiu-a", 3));
        fleet.run(Duration::from_millis(2500));
        for (control, _) in controls {
            fleet.kill(control);
        }
        let all_found = |fleet: &reducers::ReducerFleet| {
            let is_reached =
                |at: &String, of: &String| reachability(fleet, at, of) == Reachability::Reachable;
            names
                .iter()
                .all(|at| names.iter().all(|of| is_reached(at, of)))
        };
        assert!(
            fleet.run_until(SETTLE_TIMEOUT, all_found),
            "seed {seed}: the nodes know each other"
        );
    }
}

/// Neighbours stop and restart one after the other while a control is partitioned. They may be
/// introduced to each other only, and must not form an island that knows nothing of the rest of the
/// fleet.
#[test]
fn neighbours_restart() {
    for seed in 60..100 {
        let controls = [("c-0", "brasov-a"), ("c-1", "sibiu-a"), ("c-2", "brasov-a")];
        let tunables = settings::EngineTunables::default();
        let mut fleet = reducers::ReducerFleet::new(seed, tunables, &controls);
        let names = fleet.add_nodes("brasov-a", 4);
        fleet.add_nodes("sibiu-a", 2);
        fleet.run(Duration::from_secs(8));
        let leave = || event::Event::Membership(membership::MembershipEvent::Leave);
        for name in &names[..3] {
            fleet.inject(name, leave());
            fleet.run(Duration::from_millis(100));
            fleet.kill(name);
        }
        fleet.drop_messages(reducers::isolated(&["c-1"]));
        for name in &names[..3] {
            fleet.run(Duration::from_millis(600));
            fleet.start(name);
        }
        let is_found = |fleet: &reducers::ReducerFleet| {
            let knows = |at: &String| reachability(fleet, at, &names[3]) == Reachability::Reachable;
            names[..3].iter().all(knows)
        };
        let timeout = Duration::from_millis(800);
        assert!(
            fleet.run_until(timeout, is_found),
            "seed {seed}: the restarted nodes know the rest of the fleet"
        );
    }
}

#[test]
fn messages_bounded() {
    let mut largest = Vec::new();
    for nodes in [10, 60] {
        let (mut fleet, names) = settled_fleet(2, nodes);
        fleet.counts_bytes = true;
        fleet.run(Duration::from_secs(20));
        let bytes = names
            .iter()
            .map(|name| fleet.processes[name].largest_gossip_bytes);
        largest.push(bytes.max().unwrap_or_default());
        let sent = names.iter().map(|name| fleet.sent_bytes(name)).max();
        let rate = sent.unwrap_or_default() / 20;
        assert!(
            rate < 1000,
            "{rate} bytes a second at rest with {nodes} nodes a data centre"
        );
    }
    assert!(largest[1] <= largest[0] + 20, "{largest:?}");
}

#[test]
fn draining_spreads() {
    let (mut fleet, names) = settled_fleet(3, 20);
    fleet.inject(&names[0], announce("t-1", wire::TargetState::Ready));
    let all_in_state = |state| {
        move |fleet: &reducers::ReducerFleet| {
            known_states(fleet, "t-1")
                .iter()
                .all(|known| *known == Some(state))
        }
    };
    assert!(fleet.run_until(
        Duration::from_secs(2),
        all_in_state(wire::TargetState::Ready)
    ));
    fleet.inject(&names[0], announce("t-1", wire::TargetState::Draining));
    assert!(fleet.run_until(
        Duration::from_secs(2),
        all_in_state(wire::TargetState::Draining)
    ));
}

#[test]
fn slow_link_ejects_nobody() {
    let (mut fleet, names) = settled_fleet(4, 10);
    let (first, second) = (names[0].clone(), names[1].clone());
    fleet.drop_messages(move |from, to| {
        let pair = [from.instance.as_str(), to.instance.as_str()];
        pair.contains(&first.as_str()) && pair.contains(&second.as_str())
    });
    for _ in 0..60 {
        fleet.run(Duration::from_secs(1));
        for at in &names {
            for of in &names {
                let known = reachability(&fleet, at, of);
                assert_ne!(known, Reachability::Unreachable, "{of} at {at}");
            }
        }
    }
}

#[test]
fn dead_detected() {
    let (mut fleet, names) = settled_fleet(5, 10);
    let dead = names[7].clone();
    fleet.kill(&dead);
    let others: Vec<String> = names.into_iter().filter(|name| *name != dead).collect();
    let is_detected = |fleet: &reducers::ReducerFleet| {
        let at = |at: &String| reachability(fleet, at, &dead) == Reachability::Unreachable;
        others.iter().all(at)
    };
    assert!(fleet.run_until(Duration::from_secs(10), is_detected));
    fleet.start(&dead);
    let is_back = |fleet: &reducers::ReducerFleet| {
        let at = |at: &String| reachability(fleet, at, &dead) == Reachability::Reachable;
        others.iter().all(at)
    };
    assert!(
        fleet.run_until(Duration::from_secs(10), is_back),
        "the restarted node is reachable again"
    );
}

#[test]
fn rumours_lost() {
    for seed in 20..26 {
        let (mut fleet, names) = settled_fleet(seed, 10);
        let dead = names[7].clone();
        fleet.kill(&dead);
        // The only rumour about the dead member reaches some of the others.
        fleet.loss_rate = 0.6;
        fleet.run(Duration::from_secs(8));
        fleet.loss_rate = 0.0;
        let others: Vec<String> = names.into_iter().filter(|name| *name != dead).collect();
        let is_classified = |fleet: &reducers::ReducerFleet| {
            let is_correct = |at: &String, of: &String| {
                let is_dead = *of == dead;
                (reachability(fleet, at, of) == Reachability::Unreachable) == is_dead
            };
            let all = others.iter().chain([&dead]);
            all.into_iter()
                .all(|of| others.iter().all(|at| is_correct(at, of)))
        };
        assert!(
            fleet.run_until(SETTLE_TIMEOUT, is_classified),
            "seed {seed}: only {dead} is unreachable"
        );
    }
}

#[test]
fn leave_announced() {
    let (mut fleet, names) = settled_fleet(6, 8);
    let leaver = names[3].clone();
    let copy = fleet.processes[&leaver].state.membership.own.clone();
    let leave = event::Event::Membership(membership::MembershipEvent::Leave);
    fleet.inject(&leaver, leave);
    fleet.run(Duration::from_millis(50));
    fleet.kill(&leaver);
    let count = names.len();
    assert!(fleet.run_until(Duration::from_secs(2), |fleet| all_know(fleet, count)));
    // An old copy of the leaver's record arrives from another member.
    let from = fleet.processes[&names[0]].state.settings.identity.clone();
    let records = wire::MembershipMessage::Records(vec![copy]);
    let message = message::PeerMessage::Membership(records);
    fleet.inject(&names[5], event::Event::Received { from, message });
    fleet.run(Duration::from_secs(10));
    assert!(all_know(&fleet, count), "the leaver is not restored");
    fleet.start(&leaver);
    assert!(
        fleet.run_until(SETTLE_TIMEOUT, |fleet| all_know(fleet, count + 1)),
        "the leaver can join again"
    );
}

#[test]
fn clock_went_back() {
    let (mut fleet, names) = settled_fleet(7, 6);
    let name = names[2].clone();
    // The record of an earlier run, whose clock was an hour ahead.
    let mut earlier = fleet.processes[&name].state.membership.own.clone();
    earlier.identity.incarnation.0 += 3_600_000;
    earlier.sequence = 9;
    let from = fleet.processes[&names[0]].state.settings.identity.clone();
    let records = wire::MembershipMessage::Records(vec![earlier.clone()]);
    let message = message::PeerMessage::Membership(records);
    fleet.inject(&names[1], event::Event::Received { from, message });
    fleet.inject(&name, announce("t-2", wire::TargetState::Ready));
    fleet.run(Duration::from_secs(8));
    let own = &fleet.processes[&name].state.membership.own;
    assert!(own.identity.incarnation > earlier.identity.incarnation);
    let known = known_states(&fleet, "t-2");
    assert!(
        known
            .iter()
            .all(|state| *state == Some(wire::TargetState::Ready)),
        "{known:?}"
    );
}

#[test]
fn partitioned_centres() {
    let (mut fleet, names) = settled_fleet(8, 10);
    let (local_nodes, remote_nodes) = names.split_at(10);
    let leaver = local_nodes[4].clone();
    let is_remote = |identity: &wire::PeerIdentity| identity.data_centre.as_str() == "sibiu-a";
    fleet.drop_messages(move |from, to| is_remote(from) != is_remote(to));
    fleet.run(Duration::from_secs(12));
    for (own_side, other_side) in [(local_nodes, remote_nodes), (remote_nodes, local_nodes)] {
        assert_eq!(
            reachability(&fleet, &own_side[0], &own_side[1]),
            Reachability::Reachable
        );
        for of in other_side {
            let known = reachability(&fleet, &own_side[0], of);
            assert_eq!(
                known,
                Reachability::Unreachable,
                "the other side is unreachable"
            );
        }
        let present = fleet.processes[&own_side[0]]
            .state
            .membership
            .present()
            .count();
        assert_eq!(present, names.len() + 1, "no member has left");
    }
    // Targets change on both sides, and one node leaves on one side.
    for step in 0..60 {
        let (first, second) = (&local_nodes[step % 4], &remote_nodes[step % 5]);
        fleet.inject(
            first,
            announce(&format!("n-{}", step % 7), wire::TargetState::Ready),
        );
        fleet.inject(
            second,
            announce(&format!("f-{}", step % 7), wire::TargetState::Ready),
        );
        fleet.run(Duration::from_secs(2));
    }
    fleet.inject(
        &leaver,
        event::Event::Membership(membership::MembershipEvent::Leave),
    );
    fleet.run(Duration::from_millis(50));
    fleet.kill(&leaver);
    fleet.run(Duration::from_secs(5));
    fleet.drop_messages(|_, _| false);
    let count = names.len();
    let others: Vec<String> = names
        .iter()
        .filter(|name| **name != leaver)
        .cloned()
        .collect();
    let merged = fleet.run_until(SETTLE_TIMEOUT, |fleet| {
        let reaches_all = |at: &String| {
            let mut of = others.iter();
            of.all(|of| reachability(fleet, at, of) == Reachability::Reachable)
        };
        all_know(fleet, count) && others.iter().all(reaches_all) && tables_equal(fleet)
    });
    assert!(merged, "both sides agree on one table without the leaver");
    fleet.run(Duration::from_secs(20));
    assert!(all_know(&fleet, count), "the member count is stable");
}

fn tables_equal(fleet: &reducers::ReducerFleet) -> bool {
    let running = fleet
        .processes
        .values()
        .filter(|process| process.is_running);
    let mut digests = running.map(|process| process.state.membership.table_digest());
    let first = digests.next();
    digests.all(|digest| Some(digest) == first)
}

#[test]
fn endpoint_churn() {
    let (mut fleet, names) = settled_fleet(9, 20);
    fleet.loss_rate = 0.05;
    for step in 0..100 {
        let state = if step % 3 == 0 {
            wire::TargetState::Draining
        } else {
            wire::TargetState::Ready
        };
        let at = &names[step * 7 % names.len()];
        fleet.inject(at, announce(&format!("t-{}", step % 4), state));
        fleet.run(Duration::from_millis(100));
    }
    assert!(
        fleet.run_until(SETTLE_TIMEOUT, tables_equal),
        "all tables converge"
    );
}
