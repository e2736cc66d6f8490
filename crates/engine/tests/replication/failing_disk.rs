//! Disks that fail writes for a while, in a group that loses other members or changes its leader.

use hazeltiller_engine::{event, reducer, replication};
use hazeltiller_units::code;

use proptest::{collection, prelude::*};

use super::{fixed_cases, network::FakeNetwork, random_step, refusal};

#[test]
fn failed_disk() {
    let mut network = FakeNetwork::new(3);
    network.commit_change("first");
    let old = network.leader().expect("the group has a leader");
    let number = network.propose(old, "second", 1);
    network.controls[old].disk.is_failing = true;
    let failed = event::Event::Replication(replication::ReplicationEvent::StoreFailed);
    let now = network.now;
    let effects = reducer::reduce(&mut network.controls[old].state, now, failed);
    let unknown = effects.iter().any(|effect| {
        matches!(effect, event::Effect::Replication(replication::ReplicationEffect::Answer {
            number: one, answer: replication::ProposalAnswer::Unknown,
        }) if one.0 == number)
    });
    assert!(unknown, "the change may be on the other disks");
    network.settle(100);
    let new = network.leader().expect("two of three disks work");
    assert_ne!(new, old);
    let rejected = network.propose(old, "third", 1);
    assert_eq!(
        refusal(&network, rejected),
        Some(code::ResultCode::StoreFailed)
    );
}

/// Makes the leader's disk fail during a proposal and returns the leader.
fn fail_leader_disk(network: &mut FakeNetwork) -> usize {
    network.commit_change("first");
    let leader = network.leader().expect("the group has a leader");
    network.controls[leader].disk.is_failing = true;
    network.propose(leader, "refused", 1);
    leader
}

/// The leader's disk of three voters fails for a while and recovers. Then another voter comes back
/// with an empty disk. Two of three voters still have their logs, so the group must elect a leader,
/// return what it acknowledged, and replace the lost voter.
#[test]
fn full_disk_recovers() {
    let mut network = FakeNetwork::self_healing(3);
    let failed = fail_leader_disk(&mut network);
    network.settle(100);
    let acknowledged = network.commit_change("meanwhile");
    network.controls[failed].disk.is_failing = false;
    network.settle(400);
    let wiped = (failed + 1) % 3;
    network.wipe(wiped, false);
    network.settle(400);
    let leader = network
        .leader()
        .expect("two of three replicas have their logs");
    assert!(network.version(leader) >= acknowledged.version);
    assert!(
        network.revision(leader).is_some(),
        "the revision can be read"
    );
    let voters = network.voters(leader);
    assert!(
        voters.contains(&network.replica(wiped)),
        "the wiped instance is a voter again"
    );
    network.commit_change("last");
}

/// A leader whose disk fails steps down, and a replica whose disk still fails grants no vote.
#[test]
fn lasting_disk_failure() {
    let mut network = FakeNetwork::new(3);
    let failed = fail_leader_disk(&mut network);
    network.settle(500);
    let leader = network.leader().expect("two of three disks work");
    assert_ne!(leader, failed);
    let view = replication::GroupView::of(&network.controls[failed].state);
    assert!(view.expect("the process has the control role").has_failed);
    network.isolate(leader);
    network.settle(200);
    let healthy = (0..3).find(|index| *index != leader && *index != failed);
    let rejected = network.propose(healthy.expect("the group has three replicas"), "lone", 2);
    network.settle(10);
    assert_eq!(
        refusal(&network, rejected),
        Some(code::ResultCode::LeaderUnknown),
        "a replica with a failed disk grants no vote"
    );
}

/// A process that crashes while its disk fails recovers what was synced before, and nothing else.
#[test]
fn crash_during_failure() {
    let mut network = FakeNetwork::new(3);
    let failed = fail_leader_disk(&mut network);
    network.settle(100);
    let acknowledged = network.commit_change("meanwhile");
    network.crash(failed, 9);
    network.controls[failed].disk.is_failing = false;
    network.restart(failed);
    network.settle(200);
    assert!(network.version(failed) >= acknowledged.version);
}

proptest! {
    #![proptest_config(fixed_cases(200))]

    /// Any number of disks fail and recover amid lost messages, partitions and crashes.
    #[test]
    fn random_disk_failures(steps in collection::vec((0..106_u8, 0..60_usize, 0..60_usize), 600), count in 3..=5_usize) {
        let mut network = FakeNetwork::new(count);
        network.settle(40);
        for (kind, one, other) in steps {
            match kind {
                100..=102 => network.controls[one % count].disk.is_failing = true,
                103..=105 => network.controls[one % count].disk.is_failing = false,
                _ => random_step(&mut network, kind, one, other),
            }
        }
        network.blocked_links.clear();
        for index in 0..count {
            network.controls[index].disk.is_failing = false;
            network.restart(index);
        }
        let last = network.commit_change("last");
        network.settle(300);
        for index in 0..count {
            prop_assert_eq!(network.version(index), last.version, "all replicas hold the last change");
        }
    }
}
