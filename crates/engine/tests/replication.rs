//! Replication under lost, duplicated, delayed and reordered messages, crashes and lost disks.

#[path = "replication/failing_disk.rs"]
mod failing_disk;
#[path = "replication/healing.rs"]
mod healing;
#[path = "replication/network.rs"]
mod network;
#[path = "replication/power_loss.rs"]
mod power_loss;
#[path = "replication/racing.rs"]
mod racing;
#[path = "replication/rollouts.rs"]
mod rollouts;
#[path = "replication/tail.rs"]
mod tail;

use std::time::Duration;

use hazeltiller_engine::{event, reducer, replication};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{
    dissemination::{FloorAnswer, FloorAnswerSource},
    membership, message,
};
use network::FakeNetwork;
use proptest::{collection, prelude::*, test_runner};

/// Takes a random step. `kind` selects the action; `one` and `other` select its arguments.
fn random_step(network: &mut FakeNetwork, kind: u8, one: usize, other: usize) {
    let count = network.controls.len();
    let index = one % count;
    let in_transit = network.messages.len().max(1);
    match kind {
        0..=29 => network.deliver(other % in_transit, true),
        30..=49 => network.deliver(0, true),
        50..=54 => network.deliver(other % in_transit, false),
        55..=60 => {
            if other < network.messages.len() {
                network.messages.remove(other);
            }
        }
        61..=74 => network.sync(index),
        75..=84 => network.tick(Duration::from_millis(20 + other as u64)),
        85..=92 => {
            let proposer = network.leader().filter(|_| other >= 15).unwrap_or(index);
            let expects = network.version(proposer).0;
            network.propose(proposer, &format!("change-{}", other / 2), expects);
        }
        93 => network.crash(index, other % 3),
        94..=96 => network.restart(index),
        97 => {
            network.blocked_links.insert((index, other % count));
        }
        _ => network.blocked_links.clear(),
    }
}

fn random_steps(steps: usize) -> impl Strategy<Value = Vec<(u8, usize, usize)>> {
    collection::vec((0..100_u8, 0..60_usize, 0..60_usize), steps)
}

fn run_random(count: usize, steps: Vec<(u8, usize, usize)>) {
    let mut network = FakeNetwork::new(count);
    network.settle(40);
    assert!(
        network.leader().is_some(),
        "a group without faults has a leader"
    );
    for (kind, one, other) in steps {
        random_step(&mut network, kind, one, other);
    }
    network.blocked_links.clear();
    (0..count).for_each(|index| network.restart(index));
    let last = network.commit_change("last");
    network.settle(300);
    for index in 0..count {
        assert_eq!(
            network.version(index),
            last.version,
            "all replicas hold the last change"
        );
    }
}

fn fixed_cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_cases(200))]

    #[test]
    fn three_faulty(steps in random_steps(600)) {
        run_random(3, steps);
    }

    #[test]
    fn five_faulty(steps in random_steps(600)) {
        run_random(5, steps);
    }
}

fn accepted(network: &FakeNetwork, number: u64) -> bool {
    matches!(
        network.answers.get(&number),
        Some(replication::ProposalAnswer::Accepted(_))
    )
}

fn refusal(network: &FakeNetwork, number: u64) -> Option<code::ResultCode> {
    match network.answers.get(&number) {
        Some(replication::ProposalAnswer::Refused { code, .. }) => Some(*code),
        _ => None,
    }
}

#[test]
fn sequential_voter_loss() {
    let mut network = FakeNetwork::new(3);
    for number in 0..40 {
        network.commit_change(&format!("before-{number}"));
    }
    let leader = network.leader().expect("the group has a leader");
    let (lost, second) = ((leader + 1) % 3, (leader + 2) % 3);
    network.wipe(lost, false);
    network.commit_change("while-emptied");
    let early = network.change_group(
        leader,
        replication::GroupChange::Add(network::instance(lost)),
    );
    assert_eq!(
        refusal(&network, early),
        Some(code::ResultCode::MemberUnsuitable),
        "the replica of the lost disk is still a voter"
    );
    for change in [
        replication::GroupChange::Remove,
        replication::GroupChange::Add,
    ] {
        network.settle(50);
        let number = network.change_group(leader, change(network::instance(lost)));
        network.settle(10);
        let answer = network.answers.get(&number);
        assert!(
            matches!(answer, Some(replication::ProposalAnswer::GroupChanged(_))),
            "{answer:?}"
        );
    }
    network.crash(second, 0);
    let last = network.commit_change("after-second-loss");
    assert_eq!(last.version, ids::CatalogueVersion(42));
    assert_eq!(
        network.version(lost),
        last.version,
        "the replacement holds all changes"
    );
    network.crash(leader, 0);
    network.restart(second);
    network.settle(100);
    assert_eq!(
        network.commit_change("by-the-others").version,
        ids::CatalogueVersion(43)
    );
}

#[test]
fn wiped_voter_excluded() {
    let mut network = FakeNetwork::new(3);
    network.commit_change("first");
    let leader = network.leader().expect("the group has a leader");
    let (wiped, isolated) = ((leader + 1) % 3, (leader + 2) % 3);
    network.isolate(isolated);
    network.commit_change("second");
    network.crash(leader, 0);
    network.wipe(wiped, true);
    network.blocked_links.clear();
    network.settle(200);
    assert_eq!(
        network.leader(),
        None,
        "a wiped replica's vote would elect a leader that lacks a committed change"
    );
}

#[test]
fn isolated_leader() {
    let mut network = FakeNetwork::new(3);
    network.commit_change("first");
    let old = network.leader().expect("the group has a leader");
    network.isolate(old);
    let unknown = network.propose(old, "lost", 1);
    network.settle(15);
    network.settle(100);
    let last = network.commit_change("second");
    assert_eq!(last.version, ids::CatalogueVersion(2));
    assert_eq!(
        network.answers.get(&unknown),
        Some(&replication::ProposalAnswer::Unknown),
        "the change is in the log of a leader that lost its majority"
    );
    assert!(!replication::is_proven_current(
        &network.controls[old].state
    ));
    let first = network.propose(old, "first", 0);
    assert!(
        accepted(&network, first),
        "a committed change is acknowledged without a leader"
    );
    let resent = network.propose(old, "lost", 1);
    let unknown = Some(&replication::ProposalAnswer::Unknown);
    assert_eq!(
        network.answers.get(&resent),
        unknown,
        "the change is in the log and may still be committed"
    );
    let late = network.propose(old, "late", 1);
    assert_eq!(
        refusal(&network, late),
        Some(code::ResultCode::LeaderUnknown)
    );
    network.blocked_links.clear();
    network.settle(50);
    assert!(replication::is_proven_current(&network.controls[old].state));
    let resent = network.commit_change("lost");
    assert_eq!(
        resent.version,
        ids::CatalogueVersion(3),
        "a resend commits the change"
    );
}

#[test]
fn lost_snapshot_resent() {
    let mut network = FakeNetwork::new(3);
    network.commit_change("first");
    let leader = network.leader().expect("the group has a leader");
    let (lagging, other) = ((leader + 1) % 3, (leader + 2) % 3);
    network.crash(lagging, 0);
    for number in 0..40 {
        network.commit_change(&format!("change-{number}"));
    }
    network.crash(other, 0);
    network.restart(lagging);
    let term = network.term(leader);
    // Every snapshot is lost, while heartbeats get through.
    for _ in 0..50 {
        network.tick(Duration::from_millis(20));
        network.drop_snapshots();
        (0..network.messages.len()).for_each(|_| network.deliver(0, true));
        (0..3).for_each(|index| network.sync(index));
    }
    assert_eq!(
        network.leader(),
        Some(leader),
        "heartbeats alone keep the majority"
    );
    network.settle(150);
    assert_eq!(network.term(leader), term, "no election was needed");
    assert_eq!(
        network.version(lagging),
        network.version(leader),
        "the snapshot is resent"
    );
}

#[test]
fn concurrent_proposals() {
    let mut network = FakeNetwork::new(3);
    network.commit_change("first");
    let leader = network.leader().expect("the group has a leader");
    let numbers = ["ana", "ion", "ana"].map(|id| network.propose(leader, id, 1));
    assert!(
        network.answers.get(&numbers[1]).is_none(),
        "a rejection depends on an entry that is not committed yet"
    );
    network.settle(10);
    assert!(accepted(&network, numbers[0]) && accepted(&network, numbers[2]));
    assert_eq!(
        refusal(&network, numbers[1]),
        Some(code::ResultCode::VersionConflict)
    );
    let reused = network.propose(leader, "ana", 2);
    assert_eq!(
        refusal(&network, reused),
        Some(code::ResultCode::ChangeIdReused)
    );
    assert_eq!(network.version(leader), ids::CatalogueVersion(2));
}

#[test]
fn second_bootstrap() {
    let mut network = FakeNetwork::new(3);
    network.commit_change("first");
    let leader = network.leader().expect("the group has a leader");
    let wiped = (leader + 1) % 3;
    network.wipe(wiped, true);
    network.settle(100);
    let view = replication::GroupView::of(&network.controls[wiped].state);
    let view = view.expect("the process has the control role");
    assert_eq!(view.role, "learner");
    assert_eq!(
        network.version(wiped),
        ids::CatalogueVersion(1),
        "the wiped replica follows as a learner"
    );
}

/// Commits a first change in a group of three and returns the leader of the first term.
fn old_leader(network: &mut FakeNetwork) -> usize {
    network.commit_change("first");
    network.leader().expect("the group has a leader")
}

#[test]
fn older_term_commit() {
    let mut network = FakeNetwork::new(3);
    let old = old_leader(&mut network);
    let (next, third) = ((old + 1) % 3, (old + 2) % 3);
    let number = network.propose(old, "second", 1);
    for other in [next, third] {
        network.deliver_between(old, other);
        network.sync(other);
    }
    network.crash(old, 0);
    network.elect(next, third);
    let matched = network.last(third);
    network.acknowledge_as(third, next, matched);
    assert_eq!(
        network.version(next),
        ids::CatalogueVersion(1),
        "an entry of an older term is not committed by counting replicas"
    );
    assert!(!network.answers.contains_key(&number));
    network.settle(50);
    assert_eq!(
        network.version(next),
        ids::CatalogueVersion(2),
        "the first entry of the new term commits it"
    );
}

#[test]
fn shorter_log_denied() {
    let mut network = FakeNetwork::new(3);
    let old = old_leader(&mut network);
    let (next, third) = ((old + 1) % 3, (old + 2) % 3);
    network.isolate(third);
    network.commit_change("second");
    network.crash(old, 0);
    network.blocked_links.clear();
    network.messages.clear();
    let (pre_vote, vote) = network.request_votes(third, next);
    assert_eq!(pre_vote, Some(false), "no pre-vote for a shorter log");
    assert_eq!(vote, Some(false), "no vote for a shorter log");
    let (pre_vote, vote) = network.request_votes(next, third);
    assert_eq!((pre_vote, vote), (Some(true), Some(true)));
    network.sync(third);
    let (_, other) = network.request_votes_as(next, third, ids::ReplicaId(99));
    assert_eq!(other, Some(false), "one vote per term");
}

#[test]
fn unsynced_not_acknowledged() {
    let mut network = FakeNetwork::new(3);
    let leader = old_leader(&mut network);
    let follower = (leader + 1) % 3;
    network.messages.clear();
    network.propose(leader, "second", 1);
    network.deliver_between(leader, follower);
    assert!(
        !network.has_acknowledged(follower),
        "no acknowledgement before the sync"
    );
    network.sync(follower);
    assert!(network.has_acknowledged(follower));
}

#[test]
fn delayed_heartbeats() {
    let mut network = FakeNetwork::new(3);
    let leader = old_leader(&mut network);
    let follower = (leader + 1) % 3;
    network.settle(10);
    assert!(replication::is_proven_current(
        &network.controls[follower].state
    ));
    // Heartbeats that were delayed in the network arrive after the group has moved on.
    network.tick(Duration::from_millis(120));
    let delayed: Vec<_> = network.take_messages(leader, follower);
    network.isolate(follower);
    network.settle(100);
    network.commit_change("second");
    network.blocked_links.clear();
    network.messages = delayed;
    (0..network.messages.len()).for_each(|_| network.deliver(0, true));
    assert!(
        !replication::is_proven_current(&network.controls[follower].state),
        "a delayed heartbeat proves nothing"
    );
}

#[test]
fn large_changes_split() {
    let mut network = FakeNetwork::new(3);
    for control in &mut network.controls {
        // Without snapshots the lagging follower must receive all entries.
        control.state.settings.tunables.replication.snapshot_entries = 10_000;
    }
    network.settle(40);
    network.commit_change("first");
    let leader = network.leader().expect("the group has a leader");
    let behind = (leader + 1) % 3;
    network.isolate(behind);
    let last = (0..24)
        .map(|number| network.commit_change(&format!("large-{number}")))
        .last();
    network.blocked_links.clear();
    // The network checks each message that is sent against the largest frame.
    network.settle(100);
    assert_eq!(Some(network.version(behind)), last.map(|last| last.version));
}

fn document(network: &mut FakeNetwork) -> Option<(u64, String)> {
    let leader = network.leader()?;
    let revision = network.revision(leader)?;
    Some((revision.label.0, revision.document))
}

#[test]
fn catalogue_replaced() {
    let mut network = FakeNetwork::new(3);
    network.settle(40);
    let leader = network.leader().expect("the group has a leader");
    let first = network.replace(leader, 5, 0, "first");
    let race = ["one", "other"].map(|document| network.replace(leader, 7, 5, document));
    network.settle(10);
    assert!(accepted(&network, first) && accepted(&network, race[0]));
    assert_eq!(
        refusal(&network, race[1]),
        Some(code::ResultCode::RevisionConflict),
        "of two replacements with the same label and base one wins"
    );
    assert_eq!(document(&mut network), Some((7, "one".into())));
    let again = [(5, 0, "first"), (7, 5, "one")]
        .map(|(label, base, document)| network.replace(leader, label, base, document));
    let old = network.replace(leader, 7, 7, "old");
    network.settle(10);
    assert!(
        again.iter().all(|number| accepted(&network, *number)),
        "resends are acknowledged"
    );
    assert_eq!(
        refusal(&network, old),
        Some(code::ResultCode::RevisionNotNewer)
    );
    let entries = network.controls[leader].state.replication.as_ref();
    let entries = &entries
        .expect("the process has the control role")
        .committed()
        .entries;
    assert_eq!(entries.len(), 3, "no entry of the first document is left");
}

#[test]
fn document_restored() {
    let mut network = FakeNetwork::new(3);
    network.settle(40);
    let mut base = 0;
    for label in 1..60 {
        let leader = network.leader().expect("the group has a leader");
        let number = network.replace(leader, label, base, &format!("document-{label}"));
        network.settle(5);
        assert!(accepted(&network, number), "{label}");
        base = label;
    }
    (0..3).for_each(|index| network.crash(index, 9));
    (0..3).for_each(|index| network.restart(index));
    network.settle(200);
    assert_eq!(document(&mut network), Some((59, "document-59".into())));
}

/// Guards against stale reads. A leader is suspended, its clock included, while the others elect a
/// new leader; on waking it still believes that it heard from a majority a moment ago.
#[test]
fn suspended_leader_reads() {
    let mut network = FakeNetwork::new(3);
    network.settle(40);
    let old = network.leader().expect("the group has a leader");
    let first = network.replace(old, 1, 0, "first");
    network.settle(20);
    assert!(accepted(&network, first));
    network.suspend(old);
    network.settle(200);
    let new = network.leader().expect("two of three replicas are left");
    assert_ne!(new, old);
    let second = network.replace(new, 2, 1, "second");
    network.settle(20);
    assert!(accepted(&network, second));
    network.messages.clear();
    let read = network.wake_with_read(old);
    assert_eq!(
        network.answers.get(&read),
        None,
        "the read waits until leadership is confirmed"
    );
    network.settle(50);
    assert!(
        !matches!(
            network.answers.get(&read),
            Some(replication::ProposalAnswer::Current { revision, .. }) if revision.label.0 < 2
        ),
        "an outdated revision was returned"
    );
}

/// After a power loss of all controls the group has a leader again within half a second, and a node
/// that asked for the floor meanwhile is answered without asking again.
#[test]
fn power_loss_recovered() {
    let mut network = FakeNetwork::new(3);
    let receipt = network.commit_change("first");
    for index in 0..3 {
        network.crash(index, 0);
    }
    for index in 0..3 {
        network.restart(index);
    }
    for index in 0..3 {
        network.ask_floor(index);
    }
    assert!(
        network
            .floor_answers
            .iter()
            .all(|floor| floor.proof == FloorAnswerSource::Control)
    );
    network.settle(25);
    let is_proven = |floor: &&FloorAnswer| floor.proof == FloorAnswerSource::Majority;
    let proven = network.floor_answers.iter().find(is_proven);
    assert_eq!(
        proven.expect("a control has heard from a majority").version,
        receipt.version
    );
}

/// A control that confirms the notice of a departure names the voters, by which the owner node tells a
/// majority.
#[test]
fn receipts_name_voters() {
    let mut network = FakeNetwork::new(3);
    network.settle(40);
    let notice = membership::WithdrawalNotice {
        target: "one".parse().expect("a valid name"),
        incarnation: ids::IncarnationNumber(1),
        sequence: None,
        remaining_ms: 60_000,
    };
    let from = membership::PeerIdentity {
        instance: "node-1".parse().expect("a valid name"),
        ..network.controls[1].state.settings.identity.clone()
    };
    let entrusted = membership::MembershipMessage::Entrust(notice.clone());
    let event = event::Event::Received {
        from,
        message: message::PeerMessage::Membership(entrusted),
    };
    let effects = reducer::reduce(&mut network.controls[0].state, network.now, event);
    let receipt = effects.into_iter().find_map(|effect| match effect {
        event::Effect::Send {
            message:
                message::PeerMessage::Membership(membership::MembershipMessage::Entrusted(sent)),
            ..
        } => Some(sent),
        _ => None,
    });
    let receipt = receipt.expect("the notice is confirmed");
    assert_eq!(receipt.notice.target, notice.target);
    let mut voters = receipt.voters;
    voters.sort_unstable();
    assert_eq!(voters, [0, 1, 2].map(network::instance));
}
