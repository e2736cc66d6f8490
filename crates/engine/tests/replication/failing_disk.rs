//! Disks that refuse writes for a time while the group goes on, loses others and is led anew.

use hazeltiller_engine::{event, reducer, replication};
use hazeltiller_units::code;

use proptest::{collection, prelude::*};

use super::{fixed_cases, network::FakeNetwork, random_step, refusal};

#[test]
fn failed_disk() {
    let mut network = FakeNetwork::new(3);
    network.change("first");
    let old = network.leader().expect("the group is whole");
    let number = network.propose(old, "second", 1);
    network.controls[old].disk.is_refusing = true;
    let failed = event::Event::Replication(replication::ReplicationEvent::StoreFailed);
    let now = network.now;
    let effects = reducer::reduce(&mut network.controls[old].state, now, failed);
    let unknown = effects.iter().any(|effect| {
        matches!(effect, event::Effect::Replication(replication::ReplicationEffect::Answer {
            number: one, answer: replication::ProposalAnswer::Unknown,
        }) if one.0 == number)
    });
    assert!(unknown, "the change may be on other disks");
    network.settle(100);
    let new = network.leader().expect("two of three are well");
    assert_ne!(new, old);
    let refused = network.propose(old, "third", 1);
    assert_eq!(
        refusal(&network, refused),
        Some(code::ResultCode::StoreFailed)
    );
}

/// Has the leader's disk refuse a change; returns which control it is.
fn leader_refused(network: &mut FakeNetwork) -> usize {
    network.change("first");
    let leader = network.leader().expect("the group is whole");
    network.controls[leader].disk.is_refusing = true;
    network.propose(leader, "refused", 1);
    leader
}

/// Three voters. The leader's disk refuses for a while, the other two go on; it takes writes again.
/// Then one of the two comes back with an empty disk: two of three votes are on disks that are
/// there, so the group must be led, tell what it acknowledged, and heal.
#[test]
fn full_disk_returns() {
    let mut network = FakeNetwork::healing(3);
    let full = leader_refused(&mut network);
    network.settle(100);
    let acknowledged = network.change("meanwhile");
    network.controls[full].disk.is_refusing = false;
    network.settle(400);
    let emptied = (full + 1) % 3;
    network.empty(emptied, false);
    network.settle(400);
    let leader = network.leader().expect("two of three have their disks");
    assert!(network.version(leader) >= acknowledged.version);
    assert!(network.revision(leader).is_some(), "it is told");
    let voters = network.voters(leader);
    assert!(
        voters.contains(&network.replica(emptied)),
        "its vote is back"
    );
    network.change("last");
}

/// A leader whose disk refuses leads no more, and one whose disk goes on refusing does not come back.
#[test]
fn refusal_lasts() {
    let mut network = FakeNetwork::new(3);
    let full = leader_refused(&mut network);
    network.settle(500);
    let leader = network.leader().expect("two of three are well");
    assert_ne!(leader, full);
    let view = replication::GroupView::of(&network.controls[full].state);
    assert!(view.expect("it is a control").has_failed);
    network.cut_off(leader);
    network.settle(200);
    let well = (0..3).find(|index| *index != leader && *index != full);
    let refused = network.propose(well.expect("there are three"), "lone", 2);
    network.settle(10);
    assert_eq!(
        refusal(&network, refused),
        Some(code::ResultCode::LeaderUnknown),
        "a disk that refuses gives no vote"
    );
}

/// A process that dies while its disk refuses has what its disk kept before, and no more.
#[test]
fn dies_while_refusing() {
    let mut network = FakeNetwork::new(3);
    let full = leader_refused(&mut network);
    network.settle(100);
    let acknowledged = network.change("meanwhile");
    network.crash(full, 9);
    network.controls[full].disk.is_refusing = false;
    network.restart(full);
    network.settle(200);
    assert!(network.version(full) >= acknowledged.version);
}

proptest! {
    #![proptest_config(fixed_cases(200))]

    /// Disks refuse and take writes again among lost messages, cuts and crashes, any number at once.
    #[test]
    fn any_refuse(steps in collection::vec((0..106_u8, 0..60_usize, 0..60_usize), 600), count in 3..=5_usize) {
        let mut network = FakeNetwork::new(count);
        network.settle(40);
        for (kind, one, other) in steps {
            match kind {
                100..=102 => network.controls[one % count].disk.is_refusing = true,
                103..=105 => network.controls[one % count].disk.is_refusing = false,
                _ => random_step(&mut network, kind, one, other),
            }
        }
        network.cut.clear();
        for index in 0..count {
            network.controls[index].disk.is_refusing = false;
            network.restart(index);
        }
        let last = network.change("last");
        network.settle(300);
        for index in 0..count {
            prop_assert_eq!(network.version(index), last.version, "all hold the last change");
        }
    }
}
