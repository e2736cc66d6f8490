//! Disks that refuse writes for a time while the group goes on, loses others and is led anew.

use hazeltiller_engine::{event, reducer, replication};
use hazeltiller_units::code;

use super::{network::FakeNetwork, refusal};

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

/// Three voters. The leader's disk refuses for a while, the other two go on; it takes writes again.
/// Then one of the two comes back with an empty disk: two of three votes are on disks that are
/// there, so the group must be led, tell what it acknowledged, and heal.
#[test]
fn full_disk_returns() {
    let mut network = FakeNetwork::healing(3);
    network.change("first");
    let full = network.leader().expect("the group is whole");
    network.controls[full].disk.is_refusing = true;
    network.propose(full, "refused", 1);
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
