//! A group that replaces lost voters by itself.

use proptest::{collection, prelude::*, test_runner};

use super::{network::FakeNetwork, random_step, random_steps};

#[test]
fn emptied_disk_healed() {
    let mut network = FakeNetwork::healing(3);
    network.change("first");
    for round in 0..6 {
        let index = round % 3;
        network.empty(index, false);
        network.settle(400);
        let leader = network.leader().expect("two of three go on");
        let voters = network.voters(leader);
        assert_eq!(voters.len(), 3, "round {round}");
        assert!(
            voters.contains(&network.replica(index)),
            "the new replica votes, round {round}"
        );
        network.change(&format!("change-{round}"));
    }
    assert_eq!(
        network.acknowledged.len(),
        7,
        "each is checked at every step"
    );
}

#[test]
fn reserve_takes_over() {
    let mut network = FakeNetwork::healing(4);
    network.change("first");
    let leader = network.leader().expect("the founders lead");
    assert_eq!(network.voters(leader).len(), 3);
    let lost = network.replica((leader + 1) % 3);
    network.crash((leader + 1) % 3, 0);
    network.settle(300);
    let leader = network.leader().expect("two of three go on");
    let voters = network.voters(leader);
    assert!(!voters.contains(&lost), "its vote went");
    assert!(voters.contains(&network.replica(3)), "the reserve has it");
    // So a second loss does not stop the group.
    let second = (0..4).find(|index| *index != leader && network.controls[*index].is_up);
    network.crash(second.expect("three are up"), 0);
    network.change("after-two-losses");
}

#[test]
fn lost_voter_returns() {
    let mut network = FakeNetwork::healing(4);
    network.change("first");
    let leader = network.leader().expect("the founders lead");
    let index = (leader + 1) % 3;
    network.crash(index, 0);
    network.settle(300);
    network.restart(index);
    network.settle(300);
    let last = network.change("last");
    network.settle(100);
    assert_eq!(
        network.version(index),
        last.version,
        "it follows without a vote"
    );
}

/// One disk is lost at a time, and the next only once a vote has moved to its successor; messages
/// are lost, doubled and late, and processes crash all the while.
#[test]
fn healing_loses_nothing() {
    let mut runner = test_runner::TestRunner::new(test_runner::Config {
        cases: 60,
        rng_seed: test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..test_runner::Config::default()
    });
    let strategy = (collection::vec(random_steps(60), 4), 3..=4_usize);
    runner
        .run(&strategy, |(rounds, count)| {
            let mut network = FakeNetwork::healing(count);
            network.settle(80);
            for (round, steps) in rounds.into_iter().enumerate() {
                for (kind, one, other) in steps {
                    random_step(&mut network, kind, one, other);
                }
                network.cut.clear();
                (0..count).for_each(|index| network.restart(index));
                network.settle(400);
                let leader = network.leader().expect("all are back");
                let disks: Vec<_> = (0..count).map(|index| network.replica(index)).collect();
                let voters = network.voters(leader);
                prop_assert_eq!(voters.len(), 3);
                prop_assert!(voters.iter().all(|voter| disks.contains(voter)));
                network.empty(round % count, false);
                network.settle(50);
            }
            network.settle(400);
            network.change("last");
            Ok(())
        })
        .expect("nothing acknowledged is lost");
}

/// The instances that everyone was told of lose their disks one after another until one that nobody
/// was told of leads.
#[test]
fn untold_leader_found() {
    let mut network = FakeNetwork::healing(4);
    network.change("first");
    for index in 0..3 {
        network.empty(index, false);
        network.settle(400);
        let leader = network.leader().expect("the others go on");
        assert_eq!(network.voters(leader).len(), 3);
        let disks: Vec<_> = (0..4).map(|index| network.replica(index)).collect();
        let voters = network.voters(leader);
        assert!(
            voters.iter().all(|voter| disks.contains(voter)),
            "no vote is with a lost disk, {index}"
        );
    }
    network.change("last");
}
