//! Membership among reducers on a fake network: joining, suspicion, leaving, partitions, churn.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_engine::{
    event,
    membership::{self, reach::Reachability},
    settings,
};
use hazeltiller_testkit::reducers;
use hazeltiller_units::ids;
use hazeltiller_wire::{membership as wire, message};

const CENTRES: [&str; 2] = ["brasov-a", "sibiu-a"];
const LONG: Duration = Duration::from_secs(30);
const LEASE: Duration = Duration::from_secs(600);

fn settled_fleet(seed: u64, nodes: usize) -> (reducers::ReducerFleet, Vec<String>) {
    let controls = [("c-0", "brasov-a")];
    let mut fleet =
        reducers::ReducerFleet::new(seed, settings::EngineTunables::default(), &controls);
    let mut names = Vec::new();
    for centre in CENTRES {
        names.extend(fleet.add_nodes(centre, nodes));
    }
    let count = names.len() + 1;
    let all_known = fleet.run_until(LONG, |fleet| know(fleet, count));
    assert!(all_known, "everybody finds everybody");
    fleet.run(Duration::from_secs(5));
    (fleet, names)
}

/// Whether every running process knows this many members.
fn know(fleet: &reducers::ReducerFleet, count: usize) -> bool {
    let mut running = fleet
        .processes
        .values()
        .filter(|process| process.is_running);
    running.all(|process| process.state.membership.present().count() == count)
}

fn reachability(fleet: &reducers::ReducerFleet, at: &str, of: &str) -> Reachability {
    let name: ids::InstanceName = of.parse().expect("tests give names");
    fleet.processes[at].state.membership.reachability(&name)
}

fn announce(target: &str, state: wire::TargetState) -> event::Event {
    let announcement = membership::TargetAnnouncement {
        record: wire::TargetRecord {
            name: target.parse().expect("tests give names"),
            service: "registru".parse().expect("it is a name"),
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

/// States in which processes know a target.
fn known_states(fleet: &reducers::ReducerFleet, target: &str) -> Vec<Option<wire::TargetState>> {
    let running = fleet
        .processes
        .values()
        .filter(|process| process.is_running);
    let state = |process: &reducers::FakeProcess| {
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
fn everybody_found() {
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
            let reached =
                |at: &String, of: &String| reachability(fleet, at, of) == Reachability::Reachable;
            names
                .iter()
                .all(|at| names.iter().all(|of| reached(at, of)))
        };
        assert!(
            fleet.run_until(LONG, all_found),
            "seed {seed}: nodes know each other"
        );
    }
}

/// Neighbours are stopped and come back one after the other while a control is cut off: they may be told
/// of each other only, and an island of them would serve nothing of the fleet's.
#[test]
fn neighbours_come_back() {
    for seed in 60..100 {
        let controls = [("c-0", "brasov-a"), ("c-1", "sibiu-a"), ("c-2", "brasov-a")];
        let tunables = settings::EngineTunables::default();
        let mut fleet = reducers::ReducerFleet::new(seed, tunables, &controls);
        let names = fleet.add_nodes("brasov-a", 4);
        fleet.add_nodes("sibiu-a", 2);
        fleet.run(Duration::from_secs(8));
        let leave = || event::Event::Membership(membership::MembershipEvent::Leave);
        for name in &names[..3] {
            fleet.tell(name, leave());
            fleet.run(Duration::from_millis(100));
            fleet.kill(name);
        }
        fleet.cut(reducers::isolated(&["c-1"]));
        for name in &names[..3] {
            fleet.run(Duration::from_millis(600));
            fleet.start(name);
        }
        let is_found = |fleet: &reducers::ReducerFleet| {
            let know = |at: &String| reachability(fleet, at, &names[3]) == Reachability::Reachable;
            names[..3].iter().all(know)
        };
        let soon = Duration::from_millis(800);
        assert!(
            fleet.run_until(soon, is_found),
            "seed {seed}: the fleet is found"
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
            .map(|name| fleet.processes[name].largest_gossip);
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
    fleet.tell(&names[0], announce("t-1", wire::TargetState::Ready));
    let is = |state| {
        move |fleet: &reducers::ReducerFleet| {
            known_states(fleet, "t-1")
                .iter()
                .all(|known| *known == Some(state))
        }
    };
    assert!(fleet.run_until(Duration::from_secs(2), is(wire::TargetState::Ready)));
    fleet.tell(&names[0], announce("t-1", wire::TargetState::Draining));
    assert!(fleet.run_until(Duration::from_secs(2), is(wire::TargetState::Draining)));
}

#[test]
fn slow_link_ejects_nobody() {
    let (mut fleet, names) = settled_fleet(4, 10);
    let (one, other) = (names[0].clone(), names[1].clone());
    fleet.cut(move |from, to| {
        let pair = [from.instance.as_str(), to.instance.as_str()];
        pair.contains(&one.as_str()) && pair.contains(&other.as_str())
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
fn dead_found_out() {
    let (mut fleet, names) = settled_fleet(5, 10);
    let dead = names[7].clone();
    fleet.kill(&dead);
    let others: Vec<String> = names.into_iter().filter(|name| *name != dead).collect();
    let is_found_out = |fleet: &reducers::ReducerFleet| {
        let at = |at: &String| reachability(fleet, at, &dead) == Reachability::Unreachable;
        others.iter().all(at)
    };
    assert!(fleet.run_until(Duration::from_secs(10), is_found_out));
    fleet.start(&dead);
    let is_back = |fleet: &reducers::ReducerFleet| {
        let at = |at: &String| reachability(fleet, at, &dead) == Reachability::Reachable;
        others.iter().all(at)
    };
    assert!(
        fleet.run_until(Duration::from_secs(10), is_back),
        "a restart is known at once"
    );
}

#[test]
fn rumours_lost() {
    for seed in 20..26 {
        let (mut fleet, names) = settled_fleet(seed, 10);
        let dead = names[7].clone();
        fleet.kill(&dead);
        // The one rumour about it reaches only some.
        fleet.lost_share = 0.6;
        fleet.run(Duration::from_secs(8));
        fleet.lost_share = 0.0;
        let others: Vec<String> = names.into_iter().filter(|name| *name != dead).collect();
        let is_told_apart = |fleet: &reducers::ReducerFleet| {
            let right = |at: &String, of: &String| {
                let is_dead = *of == dead;
                (reachability(fleet, at, of) == Reachability::Unreachable) == is_dead
            };
            let all = others.iter().chain([&dead]);
            all.into_iter()
                .all(|of| others.iter().all(|at| right(at, of)))
        };
        assert!(
            fleet.run_until(LONG, is_told_apart),
            "seed {seed}: {dead} is found out by all"
        );
    }
}

#[test]
fn leaving_is_said() {
    let (mut fleet, names) = settled_fleet(6, 8);
    let leaver = names[3].clone();
    let copy = fleet.processes[&leaver].state.membership.own.clone();
    let leave = event::Event::Membership(membership::MembershipEvent::Leave);
    fleet.tell(&leaver, leave);
    fleet.run(Duration::from_millis(50));
    fleet.kill(&leaver);
    let count = names.len();
    assert!(fleet.run_until(Duration::from_secs(2), |fleet| know(fleet, count)));
    // An old copy of its record comes from somewhere.
    let from = fleet.processes[&names[0]].state.settings.identity.clone();
    let records = wire::MembershipMessage::Records(vec![copy]);
    let message = message::PeerMessage::Membership(records);
    fleet.tell(&names[5], event::Event::Received { from, message });
    fleet.run(Duration::from_secs(10));
    assert!(know(&fleet, count), "what left is not resurrected");
    fleet.start(&leaver);
    assert!(
        fleet.run_until(LONG, |fleet| know(fleet, count + 1)),
        "it may come back itself"
    );
}

#[test]
fn clock_went_back() {
    let (mut fleet, names) = settled_fleet(7, 6);
    let name = names[2].clone();
    // The record of an earlier life, whose clock was an hour ahead.
    let mut earlier = fleet.processes[&name].state.membership.own.clone();
    earlier.identity.incarnation.0 += 3_600_000;
    earlier.sequence = 9;
    let from = fleet.processes[&names[0]].state.settings.identity.clone();
    let records = wire::MembershipMessage::Records(vec![earlier.clone()]);
    let message = message::PeerMessage::Membership(records);
    fleet.tell(&names[1], event::Event::Received { from, message });
    fleet.tell(&name, announce("t-2", wire::TargetState::Ready));
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
fn centres_parted() {
    let (mut fleet, names) = settled_fleet(8, 10);
    let (near, far) = names.split_at(10);
    let gone = near[4].clone();
    let is_far = |identity: &wire::PeerIdentity| identity.data_centre.as_str() == "sibiu-a";
    fleet.cut(move |from, to| is_far(from) != is_far(to));
    fleet.run(Duration::from_secs(12));
    for (here, there) in [(near, far), (far, near)] {
        assert_eq!(
            reachability(&fleet, &here[0], &here[1]),
            Reachability::Reachable
        );
        for of in there {
            let known = reachability(&fleet, &here[0], of);
            assert_eq!(
                known,
                Reachability::Unreachable,
                "the other side is not reachable"
            );
        }
        let present = fleet.processes[&here[0]].state.membership.present().count();
        assert_eq!(present, names.len() + 1, "and not gone");
    }
    // Targets come and go on both sides; one node leaves on one side.
    for step in 0..60 {
        let (one, other) = (&near[step % 4], &far[step % 5]);
        fleet.tell(
            one,
            announce(&format!("n-{}", step % 7), wire::TargetState::Ready),
        );
        fleet.tell(
            other,
            announce(&format!("f-{}", step % 7), wire::TargetState::Ready),
        );
        fleet.run(Duration::from_secs(2));
    }
    fleet.tell(
        &gone,
        event::Event::Membership(membership::MembershipEvent::Leave),
    );
    fleet.run(Duration::from_millis(50));
    fleet.kill(&gone);
    fleet.run(Duration::from_secs(5));
    fleet.cut(|_, _| false);
    let count = names.len();
    let others: Vec<String> = names
        .iter()
        .filter(|name| **name != gone)
        .cloned()
        .collect();
    let merged = fleet.run_until(LONG, |fleet| {
        let reach = |at: &String| {
            let mut of = others.iter();
            of.all(|of| reachability(fleet, at, of) == Reachability::Reachable)
        };
        know(fleet, count) && others.iter().all(reach) && tables_equal(fleet)
    });
    assert!(
        merged,
        "both sides hold one table again, without the one that left"
    );
    fleet.run(Duration::from_secs(20));
    assert!(know(&fleet, count), "and it stays so");
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
    fleet.lost_share = 0.05;
    for step in 0..100 {
        let state = if step % 3 == 0 {
            wire::TargetState::Draining
        } else {
            wire::TargetState::Ready
        };
        let at = &names[step * 7 % names.len()];
        fleet.tell(at, announce(&format!("t-{}", step % 4), state));
        fleet.run(Duration::from_millis(100));
    }
    assert!(
        fleet.run_until(LONG, tables_equal),
        "all tables come to be equal"
    );
}
