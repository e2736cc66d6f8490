//! Replacements that race on one base, under lost messages, crashes, cut links and changes of the
//! leader.

use hazeltiller_engine::replication;
use hazeltiller_units::{code, ids};
use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;

use super::{accepted, fixed_cases, network::FakeNetwork, random_step, random_steps, refusal};

/// Documents that operators send on the same base.
const RIVALS: u64 = 3;

/// A replacement that operators send and send again: its label, base and document.
type Replacement = (u64, u64, String);

#[derive(Default)]
struct ReplacementRace {
    /// Proposals by number, with what they propose.
    sent: IndexMap<u64, Replacement>,
    /// Numbers of those that were acknowledged before they were sent again.
    resent: IndexSet<u64>,
}

impl ReplacementRace {
    /// Sends a replacement on top of the newest acknowledged one or the newest one sent, or one that
    /// was sent before.
    fn send(&mut self, network: &mut FakeNetwork, one: usize, other: usize) {
        let base = match one % 3 {
            0 => self.newest(network),
            _ => self.sent.values().map(|sent| sent.0).max().unwrap_or(0),
        };
        let resent = self.sent.get_index(other).map(|(_, sent)| sent.clone());
        let (label, base, document) =
            resent.filter(|_| one.is_multiple_of(4)).unwrap_or_else(|| {
                let rival = other as u64 % RIVALS;
                (
                    base + 1 + rival / 2,
                    base,
                    format!("document-{base}-{rival}"),
                )
            });
        let any = (one / 4) % network.controls.len();
        let index = network
            .leader()
            .filter(|_| !other.is_multiple_of(4))
            .unwrap_or(any);
        if network.controls[index].is_running {
            let number = network.replace(index, label, base, &document);
            let replacement = (label, base, document);
            if self.acknowledged(network).contains(&replacement) {
                self.resent.insert(number);
            }
            self.sent.insert(number, replacement);
        }
    }

    fn acknowledged(&self, network: &FakeNetwork) -> IndexSet<Replacement> {
        let acknowledged = self.sent.iter();
        acknowledged
            .filter(|(number, _)| accepted(network, **number))
            .map(|(_, sent)| sent.clone())
            .collect()
    }

    fn newest(&self, network: &FakeNetwork) -> u64 {
        let acknowledged = self.acknowledged(network);
        acknowledged.iter().map(|sent| sent.0).max().unwrap_or(0)
    }

    fn assert_consistent(&self, network: &FakeNetwork) {
        let acknowledged = self.acknowledged(network);
        let bases: IndexSet<u64> = acknowledged.iter().map(|sent| sent.1).collect();
        assert_eq!(
            bases.len(),
            acknowledged.len(),
            "two changes on one base are acknowledged: {acknowledged:?}"
        );
        for (number, sent) in &self.sent {
            let code = refusal(network, *number);
            assert_ne!(
                code,
                Some(code::ResultCode::EntryInapplicable),
                "the leader judged {sent:?} by another state than the end of its log"
            );
            assert!(
                code != Some(code::ResultCode::RevisionConflict) || !self.resent.contains(number),
                "{sent:?} is refused after its acknowledgement"
            );
        }
    }
}

fn run_race(mut network: FakeNetwork, steps: Vec<(u8, usize, usize)>) {
    network.settle(40);
    let mut race = ReplacementRace::default();
    for (kind, one, other) in steps {
        match kind {
            85..=92 => race.send(&mut network, one, other),
            _ => random_step(&mut network, kind, one, other),
        }
    }
    network.blocked_links.clear();
    (0..network.controls.len()).for_each(|index| network.restart(index));
    network.settle(200);
    race.assert_consistent(&network);
    let leader = network.leader().expect("the group has a leader again");
    let revision = network.revision(leader).expect("the leader is confirmed");
    let newest = race.newest(&network);
    assert!(revision.label >= ids::RevisionLabel(newest));
    let is_current =
        |sent: &Replacement| (sent.0, &sent.2) == (revision.label.0, &revision.document);
    let mut sent = race.sent.values();
    assert!(
        revision.label.0 == 0 || sent.any(is_current),
        "the text is what was sent"
    );
    for index in 0..network.controls.len() {
        assert_eq!(network.version(index), network.version(leader));
    }
}

proptest! {
    #![proptest_config(fixed_cases(150))]

    #[test]
    fn whole_messages(steps in random_steps(600)) {
        run_race(FakeNetwork::new(3), steps);
    }

    #[test]
    fn one_entry_messages(steps in random_steps(600)) {
        run_race(FakeNetwork::with_short_messages(3), steps);
    }
}

/// A leader is cut off with entries that it alone holds, the others elect a leader and accept a
/// rival on the same base; after the return the former leader answers for both.
#[test]
fn cut_leader_returns() {
    for late_sync in [false, true] {
        let mut network = FakeNetwork::with_short_messages(3);
        network.settle(40);
        let old = network.leader().expect("the group has a leader");
        let first = network.replace(old, 1, 0, "first");
        network.settle(10);
        assert!(accepted(&network, first));
        network.isolate(old);
        let lost = network.replace(old, 2, 1, "lost");
        if !late_sync {
            network.sync(old);
        }
        network.settle(120);
        let new = network.leader().expect("the others elect a leader");
        assert_ne!(new, old);
        let winner = network.replace(new, 3, 1, "winner");
        let rival = network.replace(new, 2, 1, "rival");
        network.settle(10);
        assert!(accepted(&network, winner));
        assert_eq!(
            refusal(&network, rival),
            Some(code::ResultCode::RevisionConflict)
        );
        let cut_off = network.replace(old, 3, 1, "winner");
        assert!(!matches!(
            network.answers.get(&lost),
            Some(replication::ProposalAnswer::Accepted(_))
        ));
        network.blocked_links.clear();
        network.settle(40);
        for document in ["winner", "lost"] {
            let label = if document == "winner" { 3 } else { 2 };
            let resent = network.replace(new, label, 1, document);
            network.settle(10);
            assert_eq!(accepted(&network, resent), document == "winner");
        }
        assert_ne!(
            refusal(&network, cut_off),
            Some(code::ResultCode::RevisionConflict),
            "what is acknowledged is not refused for good"
        );
        let revision = network.revision(new).expect("the leader is confirmed");
        assert_eq!(revision.document, "winner");
        assert_eq!(network.version(old), network.version(new));
    }
}
