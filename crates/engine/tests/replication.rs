//! The replicated log under lost, doubled, late and crossed messages, crashes and lost disks.

#[path = "replication/failing_disk.rs"]
mod failing_disk;
#[path = "replication/healing.rs"]
mod healing;
#[path = "replication/network.rs"]
mod network;
#[path = "replication/rollouts.rs"]
mod rollouts;

use std::time::Duration;

use hazeltiller_engine::replication;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::dissemination::{FloorAnswer, FloorProof};
use network::FakeNetwork;
use proptest::{collection, prelude::*, test_runner};

/// Takes one random step; `one` and `other` choose what it is about.
fn random_step(network: &mut FakeNetwork, kind: u8, one: usize, other: usize) {
    let count = network.controls.len();
    let index = one % count;
    let waiting = network.messages.len().max(1);
    match kind {
        0..=29 => network.deliver(other % waiting, true),
        30..=49 => network.deliver(0, true),
        50..=54 => network.deliver(other % waiting, false),
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
            network.cut.insert((index, other % count));
        }
        _ => network.cut.clear(),
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
        "a group that is whole has a leader"
    );
    for (kind, one, other) in steps {
        random_step(&mut network, kind, one, other);
    }
    network.cut.clear();
    (0..count).for_each(|index| network.restart(index));
    let last = network.change("last");
    network.settle(300);
    for index in 0..count {
        assert_eq!(
            network.version(index),
            last.version,
            "all hold the last change"
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
fn second_loss() {
    let mut network = FakeNetwork::new(3);
    for number in 0..40 {
        network.change(&format!("before-{number}"));
    }
    let leader = network.leader().expect("the group is whole");
    let (lost, second) = ((leader + 1) % 3, (leader + 2) % 3);
    network.empty(lost, false);
    network.change("while-emptied");
    let early = network.change_group(
        leader,
        replication::GroupChange::Add(network::instance(lost)),
    );
    assert_eq!(
        refusal(&network, early),
        Some(code::ResultCode::MemberUnsuitable),
        "the old folder still has the vote"
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
    let last = network.change("after-second-loss");
    assert_eq!(last.version, ids::CatalogueVersion(42));
    assert_eq!(
        network.version(lost),
        last.version,
        "the repaired one holds everything"
    );
    network.crash(leader, 0);
    network.restart(second);
    network.settle(100);
    assert_eq!(
        network.change("by-the-others").version,
        ids::CatalogueVersion(43)
    );
}

#[test]
fn emptied_votes() {
    let mut network = FakeNetwork::new(3);
    network.change("first");
    let leader = network.leader().expect("the group is whole");
    let (emptied, cut_off) = ((leader + 1) % 3, (leader + 2) % 3);
    network.cut_off(cut_off);
    network.change("second");
    network.crash(leader, 0);
    network.empty(emptied, true);
    network.cut.clear();
    network.settle(200);
    assert_eq!(
        network.leader(),
        None,
        "an emptied folder's vote would have let the one that lacks a change lead"
    );
}

#[test]
fn silent_leader() {
    let mut network = FakeNetwork::new(3);
    network.change("first");
    let old = network.leader().expect("the group is whole");
    network.cut_off(old);
    let unknown = network.propose(old, "lost", 1);
    network.settle(15);
    network.settle(100);
    let last = network.change("second");
    assert_eq!(last.version, ids::CatalogueVersion(2));
    assert_eq!(
        network.answers.get(&unknown),
        Some(&replication::ProposalAnswer::Unknown),
        "it was in the log of a leader that lost its majority"
    );
    assert!(!replication::is_proven_current(
        &network.controls[old].state
    ));
    let first = network.propose(old, "first", 0);
    assert!(
        accepted(&network, first),
        "what is committed is known without a leader"
    );
    let resent = network.propose(old, "lost", 1);
    let unknown = Some(&replication::ProposalAnswer::Unknown);
    assert_eq!(
        network.answers.get(&resent),
        unknown,
        "it is in the log and may yet be committed"
    );
    let late = network.propose(old, "late", 1);
    assert_eq!(
        refusal(&network, late),
        Some(code::ResultCode::LeaderUnknown)
    );
    network.cut.clear();
    network.settle(50);
    assert!(replication::is_proven_current(&network.controls[old].state));
    let resent = network.change("lost");
    assert_eq!(
        resent.version,
        ids::CatalogueVersion(3),
        "resending settles it"
    );
}

#[test]
fn snapshot_lost() {
    let mut network = FakeNetwork::new(3);
    network.change("first");
    let leader = network.leader().expect("the group is whole");
    let (lagging, other) = ((leader + 1) % 3, (leader + 2) % 3);
    network.crash(lagging, 0);
    for number in 0..40 {
        network.change(&format!("change-{number}"));
    }
    network.crash(other, 0);
    network.restart(lagging);
    let term = network.term(leader);
    // Whatever is large is lost, again and again; signs of life pass.
    for _ in 0..50 {
        network.tick(Duration::from_millis(20));
        network.drop_snapshots();
        (0..network.messages.len()).for_each(|_| network.deliver(0, true));
        (0..3).for_each(|index| network.sync(index));
    }
    assert_eq!(
        network.leader(),
        Some(leader),
        "it hears a majority all the same"
    );
    network.settle(150);
    assert_eq!(network.term(leader), term, "no election was needed");
    assert_eq!(
        network.version(lagging),
        network.version(leader),
        "the snapshot is sent again"
    );
}

#[test]
fn equal_versions() {
    let mut network = FakeNetwork::new(3);
    network.change("first");
    let leader = network.leader().expect("the group is whole");
    let numbers = ["ana", "ion", "ana"].map(|id| network.propose(leader, id, 1));
    assert!(
        network.answers.get(&numbers[1]).is_none(),
        "a refusal rests on what is not kept yet"
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
    network.change("first");
    let leader = network.leader().expect("the group is whole");
    let emptied = (leader + 1) % 3;
    network.empty(emptied, true);
    network.settle(100);
    let view = replication::GroupView::of(&network.controls[emptied].state);
    let view = view.expect("it is a control");
    assert_eq!(view.role, "learner");
    assert_eq!(
        network.version(emptied),
        ids::CatalogueVersion(1),
        "it follows all the same"
    );
}

/// A control whose disk held a group of three and two entries of term 1.
fn old_leader(network: &mut FakeNetwork) -> usize {
    network.change("first");
    network.leader().expect("the group is whole")
}

#[test]
fn older_term() {
    let mut network = FakeNetwork::new(3);
    let old = old_leader(&mut network);
    let (next, third) = ((old + 1) % 3, (old + 2) % 3);
    let number = network.propose(old, "second", 1);
    for other in [next, third] {
        network.deliver_between(old, other);
        network.sync(other);
    }
    network.crash(old, 0);
    network.lead(next, third);
    let held = network.last(third);
    network.answer_as(third, next, held);
    assert_eq!(
        network.version(next),
        ids::CatalogueVersion(1),
        "an entry of an older term is not committed by counting who keeps it"
    );
    assert!(!network.answers.contains_key(&number));
    network.settle(50);
    assert_eq!(
        network.version(next),
        ids::CatalogueVersion(2),
        "the new term's entry commits it"
    );
}

#[test]
fn shorter_log() {
    let mut network = FakeNetwork::new(3);
    let old = old_leader(&mut network);
    let (next, third) = ((old + 1) % 3, (old + 2) % 3);
    network.cut_off(third);
    network.change("second");
    network.crash(old, 0);
    network.cut.clear();
    network.messages.clear();
    let (pre_vote, vote) = network.ask_votes(third, next);
    assert_eq!(
        pre_vote,
        Some(false),
        "not even a pre-vote for a shorter log"
    );
    assert_eq!(vote, Some(false), "no vote for a shorter log");
    let (pre_vote, vote) = network.ask_votes(next, third);
    assert_eq!((pre_vote, vote), (Some(true), Some(true)));
    network.sync(third);
    let (_, other) = network.ask_votes_as(next, third, ids::ReplicaId(99));
    assert_eq!(other, Some(false), "one vote a term");
}

#[test]
fn unsynced_silence() {
    let mut network = FakeNetwork::new(3);
    let leader = old_leader(&mut network);
    let follower = (leader + 1) % 3;
    network.messages.clear();
    network.propose(leader, "second", 1);
    network.deliver_between(leader, follower);
    assert!(
        !network.has_answer(follower),
        "nothing is said before the disk has it"
    );
    network.sync(follower);
    assert!(network.has_answer(follower));
}

#[test]
fn held_up() {
    let mut network = FakeNetwork::new(3);
    let leader = old_leader(&mut network);
    let follower = (leader + 1) % 3;
    network.settle(10);
    assert!(replication::is_proven_current(
        &network.controls[follower].state
    ));
    // Signs of life that were held up on the way arrive after the group has gone on.
    network.tick(Duration::from_millis(120));
    let held: Vec<_> = network.take_messages(leader, follower);
    network.cut_off(follower);
    network.settle(100);
    network.change("second");
    network.cut.clear();
    network.messages = held;
    (0..network.messages.len()).for_each(|_| network.deliver(0, true));
    assert!(
        !replication::is_proven_current(&network.controls[follower].state),
        "an old sign of life proves nothing"
    );
}

#[test]
fn large_changes() {
    let mut network = FakeNetwork::new(3);
    for control in &mut network.controls {
        // No snapshot stands in for the entries that are missed.
        control.state.settings.tunables.replication.snapshot_entries = 10_000;
    }
    network.settle(40);
    network.change("first");
    let leader = network.leader().expect("the group is whole");
    let behind = (leader + 1) % 3;
    network.cut_off(behind);
    let last = (0..24)
        .map(|number| network.change(&format!("large-{number}")))
        .last();
    network.cut.clear();
    // Each message is checked against the largest frame when it is sent.
    network.settle(100);
    assert_eq!(Some(network.version(behind)), last.map(|last| last.version));
}

fn document(network: &mut FakeNetwork) -> Option<(u64, String)> {
    let leader = network.leader()?;
    let revision = network.revision(leader)?;
    Some((revision.label.0, revision.document))
}

#[test]
fn replaced_whole() {
    let mut network = FakeNetwork::new(3);
    network.settle(40);
    let leader = network.leader().expect("the group is whole");
    let first = network.replace(leader, 5, 0, "first");
    let race = ["one", "other"].map(|document| network.replace(leader, 7, 5, document));
    network.settle(10);
    assert!(accepted(&network, first) && accepted(&network, race[0]));
    assert_eq!(
        refusal(&network, race[1]),
        Some(code::ResultCode::RevisionConflict),
        "equal labels, one base: one wins"
    );
    assert_eq!(document(&mut network), Some((7, "one".into())));
    let again = [(5, 0, "first"), (7, 5, "one")]
        .map(|(label, base, document)| network.replace(leader, label, base, document));
    let old = network.replace(leader, 7, 7, "old");
    network.settle(10);
    assert!(
        again.iter().all(|number| accepted(&network, *number)),
        "resends"
    );
    assert_eq!(
        refusal(&network, old),
        Some(code::ResultCode::RevisionNotNewer)
    );
    let entries = network.controls[leader].state.replication.as_ref();
    let entries = &entries.expect("it is a control").committed().entries;
    assert_eq!(entries.len(), 3, "nothing of the first document is left");
}

#[test]
fn document_restored() {
    let mut network = FakeNetwork::new(3);
    network.settle(40);
    let mut base = 0;
    for label in 1..60 {
        let leader = network.leader().expect("the group is whole");
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

/// A leader is suspended with its clock; others lead on. When it wakes it believes that it has just
/// heard a majority.
#[test]
fn suspended_leader_reads() {
    let mut network = FakeNetwork::new(3);
    network.settle(40);
    let old = network.leader().expect("the group is whole");
    let first = network.replace(old, 1, 0, "first");
    network.settle(20);
    assert!(accepted(&network, first));
    network.suspend(old);
    network.settle(200);
    let new = network.leader().expect("two of three go on");
    assert_ne!(new, old);
    let second = network.replace(new, 2, 1, "second");
    network.settle(20);
    assert!(accepted(&network, second));
    network.messages.clear();
    let read = network.wake_with_read(old);
    assert_eq!(
        network.answers.get(&read),
        None,
        "nothing proves that it leads"
    );
    network.settle(50);
    assert!(
        !matches!(
            network.answers.get(&read),
            Some(replication::ProposalAnswer::Current { revision, .. }) if revision.label.0 < 2
        ),
        "an older revision is told"
    );
}

/// All controls lose power and come back: the group leads again within half a second, and a node that asked
/// meanwhile is told the floor without asking again.
#[test]
fn return_told() {
    let mut network = FakeNetwork::new(3);
    let receipt = network.change("first");
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
            .floors
            .iter()
            .all(|floor| floor.proof == FloorProof::Control)
    );
    network.settle(25);
    let is_proven = |floor: &&FloorAnswer| floor.proof == FloorProof::Majority;
    let told = network.floors.iter().find(is_proven);
    assert_eq!(
        told.expect("a control can prove it").version,
        receipt.version
    );
}
