//! Random losses of power, disks, links and machines, as many at once as a group of three voters has
//! to bear, with the real store. Once everything is back, the group must have a leader that holds all
//! that was acknowledged.

use std::time::Duration;

use hazeltiller_catalogue::change;
use hazeltiller_engine::replication;
use hazeltiller_units::{ids, time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{accepted, network::FakeNetwork};

/// Steps of a case before everything comes back.
const STEPS: usize = 60;
/// Time within which the group has to be readable once everything is back.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Time for which a lost disk counts as lost after its machine is back.
const CATCH_UP_TIME: Duration = Duration::from_secs(6);
const ROUND_TIME: Duration = Duration::from_millis(20);
/// Machines that can replace others, at addresses of their own.
const SPARES: usize = 2;

/// What a loss of power leaves of a write that was not synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TornWrites {
    /// All of it or nothing.
    Whole,
    /// Any of its sectors.
    Sectors,
}

struct RandomCase {
    network: FakeNetwork,
    random: ChaCha8Rng,
    torn: TornWrites,
    /// Whether each machine is part of the site; spares are not, and replaced ones are no longer.
    is_present: Vec<bool>,
    /// The machine whose disk was lost last, and since when it has been running again.
    lost_disk: Option<(usize, Option<time::MonotonicTime>)>,
    changes: u64,
}

impl RandomCase {
    fn new(seed: u64, count: usize, torn: TornWrites) -> Self {
        let mut network = FakeNetwork::with_files(count);
        for _ in 0..SPARES {
            network.add_spare();
        }
        let mut is_present = vec![true; count];
        is_present.resize(count + SPARES, false);
        network.settle(80);
        Self {
            network,
            random: ChaCha8Rng::seed_from_u64(seed),
            torn,
            is_present,
            lost_disk: None,
            changes: 0,
        }
    }

    fn present(&self) -> Vec<usize> {
        let all = 0..self.is_present.len();
        all.filter(|index| self.is_present[*index]).collect()
    }

    fn any_present(&mut self) -> usize {
        let present = self.present();
        present[self.random.random_range(0..present.len())]
    }

    /// Lets time pass while some messages and syncs are late.
    fn pass(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.network.tick(ROUND_TIME);
            self.exchange();
            self.note_return();
        }
    }

    /// Delivers most messages and syncs most disks, in a random order.
    fn exchange(&mut self) {
        for _ in 0..self.random.random_range(4..60) {
            let in_transit = self.network.messages.len();
            if self.random.random_bool(0.3) {
                let index = self.random.random_range(0..self.is_present.len());
                self.network.sync(index);
            } else if in_transit > 0 {
                // Mostly in order, since links are streams.
                let position = if self.random.random_bool(0.9) {
                    0
                } else {
                    self.random.random_range(0..in_transit)
                };
                self.network.deliver(position, true);
            }
        }
    }

    /// Notes since when the machine that lost its disk is back: running, with its links and its disk.
    fn note_return(&mut self) {
        let Some((index, back_at)) = &mut self.lost_disk else {
            return;
        };
        let control = &self.network.controls[*index];
        let mut blocked = self.network.blocked_links.iter();
        let is_cut = blocked.any(|(from, to)| from == index || to == index);
        if !control.is_running || control.disk.is_failing || is_cut {
            *back_at = None;
        } else if back_at.is_none() {
            *back_at = Some(self.network.now);
        }
    }

    /// Whether the loss of a disk leaves no more than one lost.
    fn may_lose_disk(&self) -> bool {
        match self.lost_disk {
            None => true,
            Some((_, None)) => false,
            Some((_, Some(back_at))) => self.network.now.since(back_at) >= CATCH_UP_TIME,
        }
    }

    fn propose(&mut self) -> Option<u64> {
        let leader = self.network.leader()?;
        self.changes += 1;
        let label = self.changes;
        let operators: Vec<String> = (0..self.random.random_range(1..40))
            .map(|number| format!("{number:0>80}"))
            .collect();
        let put = serde_json::json!([
            {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter",
                "operators": operators},
            {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"}]);
        let request = serde_json::json!({"change_id": format!("change-{label}"),
            "expects": self.network.version(leader).0, "put": put});
        let request: change::ChangeRequest =
            serde_json::from_value(request).expect("the request is valid");
        Some(self.network.submit(leader, request))
    }

    /// Has a change acknowledged; returns whether that succeeded within some time.
    fn acknowledge(&mut self) -> bool {
        let Some(number) = self.propose() else {
            return false;
        };
        for _ in 0..40 {
            self.network.tick(ROUND_TIME);
            for _ in 0..12 {
                if accepted(&self.network, number) {
                    return true;
                }
                self.exchange();
                self.note_return();
            }
        }
        false
    }

    fn cut_power(&mut self, index: usize) {
        let luck = self.random.random();
        match self.torn {
            TornWrites::Sectors => self.network.cut_power(index, luck),
            TornWrites::Whole => self.network.crash(index, luck as usize % 3),
        }
    }

    fn restart(&mut self) {
        for index in self.present() {
            self.network.restart(index);
        }
        self.note_return();
    }

    /// Loses a disk right after an acknowledgement; the others may lose power at that moment.
    fn lose_disk(&mut self) {
        if !self.may_lose_disk() {
            return;
        }
        if self.random.random_bool(0.5) {
            self.bring_back();
        }
        if !self.acknowledge() {
            return;
        }
        let lost = self.any_present();
        if self.random.random_bool(0.4) {
            for index in self.present() {
                self.cut_power(index);
            }
        }
        let replacement = (0..self.is_present.len())
            .skip(self.present().len())
            .find(|index| !self.is_present[*index]);
        let spare = replacement.filter(|_| self.random.random_bool(0.3));
        if let Some(spare) = spare {
            self.network.crash(lost, 0);
            self.is_present[lost] = false;
            self.is_present[spare] = true;
            self.network.restart(spare);
            self.lost_disk = Some((spare, None));
        } else {
            self.network.wipe(lost, false);
            self.lost_disk = Some((lost, None));
        }
        self.note_return();
    }

    fn step(&mut self) {
        self.note_return();
        match self.random.random_range(0..100) {
            0..=29 => {
                let rounds = self.random.random_range(1..12);
                self.pass(rounds);
            }
            30..=39 => {
                let rounds = self.random.random_range(50..400);
                self.pass(rounds);
            }
            40..=54 => drop(self.propose()),
            55..=62 => {
                let index = self.any_present();
                self.cut_power(index);
            }
            63..=65 => {
                for index in self.present() {
                    self.cut_power(index);
                }
            }
            66..=73 => self.restart(),
            74..=78 => {
                let index = self.any_present();
                self.network.isolate(index);
            }
            79..=85 => self.network.blocked_links.clear(),
            86..=88 => {
                let index = self.any_present();
                self.network.controls[index].disk.is_failing = true;
            }
            89..=91 => {
                for index in self.present() {
                    self.network.controls[index].disk.is_failing = false;
                }
            }
            _ => self.lose_disk(),
        }
    }

    /// Brings everything back.
    fn bring_back(&mut self) {
        self.network.blocked_links.clear();
        for index in self.present() {
            self.network.controls[index].disk.is_failing = false;
        }
        self.restart();
    }

    /// Brings everything back and returns why the group is not readable in time, if it is not.
    fn recover(mut self) -> Result<(), String> {
        self.bring_back();
        let rounds = RECOVERY_TIME.as_millis() / ROUND_TIME.as_millis();
        let newest = self.network.acknowledged.values();
        let newest = newest.map(|receipt| receipt.version).max();
        for _ in 0..rounds / 10 {
            self.network.settle(10);
            let Some(leader) = self.network.leader() else {
                continue;
            };
            if self.network.revision(leader).is_some()
                && self.network.version(leader) >= newest.unwrap_or_default()
            {
                return Ok(());
            }
        }
        let describe = |index: usize| {
            let control = &self.network.controls[index];
            let view = replication::GroupView::of(&control.state);
            let view = view.expect("the process has the control role");
            let voters: Vec<ids::ReplicaId> = view
                .members
                .iter()
                .filter(|member| member.is_voter)
                .map(|member| member.replica)
                .collect();
            format!(
                "{index}: running {}, replica {:?}, {} in term {:?}, last {:?}, voters {voters:?}",
                control.is_running, view.replica, view.role, view.term, view.last
            )
        };
        let controls: Vec<String> = self.present().into_iter().map(describe).collect();
        Err(controls.join("; "))
    }
}

fn run_case(seed: u64, count: usize, torn: TornWrites) -> Result<(), String> {
    let mut case = RandomCase::new(seed, count, torn);
    for _ in 0..STEPS {
        case.step();
    }
    case.recover()
        .map_err(|text| format!("seed {seed}, {count} controls: {text}"))
}

/// Seeds to run: those of the environment, else these.
fn seeds(default: &[u64]) -> Vec<u64> {
    let configured = std::env::var("HAZELTILLER_POWER_LOSS_SEEDS").ok();
    configured.map_or(default.to_vec(), |text| {
        let (first, end) = text.split_once("..").expect("the seeds are FIRST..END");
        let parse = |number: &str| -> u64 { number.parse().expect("a seed is a number") };
        (parse(first)..parse(end)).collect()
    })
}

fn run_seeds(default: &[u64], torn: TornWrites) {
    let seeds = seeds(default).into_iter();
    let cases: Vec<_> = seeds
        .flat_map(|seed| (3..=5).map(move |count| (seed, count)))
        .collect();
    let run = |(seed, count): &(u64, usize)| run_case(*seed, *count, torn).err();
    let failures: Vec<String> = cases.iter().filter_map(run).collect();
    assert!(
        failures.is_empty(),
        "{} of {} cases:\n{}",
        failures.len(),
        cases.len(),
        failures.join("\n")
    );
}

/// Guards against a group that stays without a leader after losses that it has to bear. Seeds 96 and
/// 687 lost a second disk while the vote of the first had not moved.
#[test]
fn whole_writes_recover() {
    run_seeds(&[1, 96, 687], TornWrites::Whole);
}

/// The same with writes of which a loss of power leaves any of the sectors. With seeds 7, 10 and 11 a
/// control refused its folder.
#[test]
fn torn_writes_recover() {
    run_seeds(&[7, 10, 11], TornWrites::Sectors);
}
