//! Automatic replacement of lost voters.

use std::time::Duration;

use proptest::{collection, prelude::*, test_runner};

use super::{accepted, network::FakeNetwork, random_step, random_steps};

#[test]
fn wiped_voter_replaced() {
    let mut network = FakeNetwork::self_healing(3);
    network.commit_change("first");
    for round in 0..6 {
        let index = round % 3;
        network.wipe(index, false);
        network.settle(400);
        let leader = network.leader().expect("two of three replicas are left");
        let voters = network.voters(leader);
        assert_eq!(voters.len(), 3, "round {round}");
        assert!(
            voters.contains(&network.replica(index)),
            "the new replica is a voter, round {round}"
        );
        network.commit_change(&format!("change-{round}"));
    }
    assert_eq!(
        network.acknowledged.len(),
        7,
        "all changes were acknowledged and checked at every step"
    );
}

#[test]
fn reserve_promoted() {
    let mut network = FakeNetwork::self_healing(4);
    network.commit_change("first");
    let leader = network.leader().expect("an initial voter leads");
    assert_eq!(network.voters(leader).len(), 3);
    let lost = network.replica((leader + 1) % 3);
    network.crash((leader + 1) % 3, 0);
    network.settle(300);
    let leader = network.leader().expect("two of three replicas are left");
    let voters = network.voters(leader);
    assert!(!voters.contains(&lost), "the silent voter is removed");
    assert!(
        voters.contains(&network.replica(3)),
        "the reserve replica is promoted"
    );
    // The group therefore survives a second loss.
    let second = (0..4).find(|index| *index != leader && network.controls[*index].is_running);
    network.crash(second.expect("three replicas are running"), 0);
    network.commit_change("after-two-losses");
}

#[test]
fn lost_voter_returns() {
    let mut network = FakeNetwork::self_healing(4);
    network.commit_change("first");
    let leader = network.leader().expect("an initial voter leads");
    let index = (leader + 1) % 3;
    network.crash(index, 0);
    network.settle(300);
    network.restart(index);
    network.settle(300);
    let last = network.commit_change("last");
    network.settle(100);
    assert_eq!(
        network.version(index),
        last.version,
        "the returned replica follows as a learner"
    );
}

/// Disks are lost one at a time, the next only after the previous voter has been replaced, while
/// messages are lost, duplicated and delayed and processes crash.
#[test]
fn healing_keeps_changes() {
    let mut runner = test_runner::TestRunner::new(test_runner::Config {
        cases: 60,
        rng_seed: test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..test_runner::Config::default()
    });
    let strategy = (collection::vec(random_steps(60), 4), 3..=4_usize);
    runner
        .run(&strategy, |(rounds, count)| {
            let mut network = FakeNetwork::self_healing(count);
            network.settle(80);
            for (round, steps) in rounds.into_iter().enumerate() {
                for (kind, one, other) in steps {
                    random_step(&mut network, kind, one, other);
                }
                network.blocked_links.clear();
                (0..count).for_each(|index| network.restart(index));
                network.settle(400);
                let leader = network.leader().expect("all replicas are running");
                let disks: Vec<_> = (0..count).map(|index| network.replica(index)).collect();
                let voters = network.voters(leader);
                prop_assert_eq!(voters.len(), 3);
                prop_assert!(voters.iter().all(|voter| disks.contains(voter)));
                network.wipe(round % count, false);
                network.settle(50);
            }
            network.settle(400);
            network.commit_change("last");
            Ok(())
        })
        .expect("no acknowledged change is lost");
}

/// All instances listed in the settings lose their disks one after another, until the leader is one
/// that no settings list.
#[test]
fn unlisted_leader_found() {
    let mut network = FakeNetwork::self_healing(4);
    network.commit_change("first");
    for index in 0..3 {
        network.wipe(index, false);
        network.settle(400);
        let leader = network.leader().expect("the other replicas are left");
        assert_eq!(network.voters(leader).len(), 3);
        let disks: Vec<_> = (0..4).map(|index| network.replica(index)).collect();
        let voters = network.voters(leader);
        assert!(
            voters.iter().all(|voter| disks.contains(voter)),
            "a lost disk still has a vote, {index}"
        );
    }
    network.commit_change("last");
}

/// Has a change accepted, delivering one message or sync at a time, and stops at its answer.
fn accept_and_stop(network: &mut FakeNetwork, id: &str) {
    let mut number = None;
    for _ in 0..400 {
        network.tick(Duration::from_millis(20));
        for _ in 0..20 {
            if number.is_none()
                && let Some(leader) = network.leader()
            {
                let version = network.version(leader).0;
                number = Some(network.propose(leader, id, version));
            }
            network.deliver(0, true);
            (0..3).for_each(|index| network.sync(index));
            if number.is_some_and(|number| accepted(network, number)) {
                return;
            }
        }
    }
    panic!("no change was accepted");
}

/// Guards against an answer while the group still needs each of its voters: a disk was lost while
/// another voter was down, so its vote could not move. The next disk is lost right after the answer.
#[test]
fn answer_before_repair() {
    for rounds in 0..16 {
        let mut network = FakeNetwork::self_healing(3);
        network.commit_change("first");
        let leader = network.leader().expect("the group has a leader");
        let (down, wiped) = ((leader + 1) % 3, (leader + 2) % 3);
        network.crash(down, 0);
        network.wipe(wiped, false);
        network.settle(300 + rounds);
        network.restart(down);
        accept_and_stop(&mut network, "second");
        let leader = network.leader().expect("the change was accepted");
        network.wipe(leader, false);
        network.settle(750);
        let leader = network.leader();
        let leader = leader.unwrap_or_else(|| panic!("no leader, {rounds} rounds"));
        assert_eq!(network.version(leader).0, 2, "{rounds} rounds");
    }
}

/// A replacement that cannot be completed delays an answer, but does not prevent it.
#[test]
fn answer_without_repair() {
    let mut network = FakeNetwork::self_healing(3);
    network.commit_change("first");
    let leader = network.leader().expect("the group has a leader");
    let wiped = (leader + 2) % 3;
    network.wipe(wiped, false);
    // The new replica is heard, but never gets the log.
    let number = network.propose(leader, "second", 1);
    for _ in 0..100 {
        network.tick(Duration::from_millis(20));
        network.drop_entries(wiped);
        (0..network.messages.len()).for_each(|_| network.deliver(0, true));
        (0..3).for_each(|index| network.sync(index));
    }
    assert!(accepted(&network, number));
}
