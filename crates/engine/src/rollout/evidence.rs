//! What the leader has heard of both versions' runs.

use std::time::Duration;

use hazeltiller_catalogue::{entry, rollout, state as catalogue_state};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::rollout as wire;
use indexmap::IndexMap;

use super::{
    cohort, plan,
    verdict::{self, VersionJudge as _},
};

/// Groups that the new version's targets other than canaries are judged in.
const RESERVE_GROUPS: u64 = 4;

/// Runs from which on a target's health says something.
const LEAST_TARGET_RUNS: u64 = 5;
/// Unhealthy targets that convict a version, and by how much their share must be above the old
/// version's.
const FEWEST_UNHEALTHY: u64 = 2;
const UNHEALTHY_EXCESS: f64 = 0.5;

/// Silence after which a target's node is taken to be gone.
const SILENT_TIME: Duration = Duration::from_secs(3);

/// The latest tally of one target.
#[derive(Debug, Clone)]
struct HeldTally {
    latest: wire::TargetTally,
    /// Counts that the judge has had.
    weighed: IndexMap<ids::EntryName, wire::RouteTally>,
    /// When its node was last heard.
    heard: time::MonotonicTime,
}

impl HeldTally {
    /// Answered runs and those that were given up.
    fn runs(&self) -> u64 {
        let routes = self.latest.routes.iter();
        let of_route = |route: &wire::RouteTally| {
            u64::from(route.answered) + route.given_up.iter().copied().map(u64::from).sum::<u64>()
        };
        routes.map(of_route).sum()
    }
}

/// Evidence of one roll-out.
#[derive(Debug, Clone, Default)]
pub struct RolloutEvidence {
    order: ids::CatalogueVersion,
    targets: IndexMap<ids::TargetName, HeldTally>,
    judge: verdict::SequentialJudge,
    observed: plan::ObservedRuns,
}

/// Runs of one version, as operators read them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Runs with an answer.
    pub answered: u64,
    /// Those of them that failed.
    pub failed: u64,
}

impl RolloutEvidence {
    /// Whether it is of an order.
    pub fn is_of(&self, order: ids::CatalogueVersion) -> bool {
        self.order == order
    }

    /// Takes a tally, unless a later one of the same target is held.
    pub fn take(&mut self, tally: wire::TargetTally, now: time::MonotonicTime) {
        self.order = tally.order;
        let held = self.targets.get_mut(&tally.target);
        let Some(held) = held else {
            let held = HeldTally {
                weighed: IndexMap::new(),
                heard: now,
                latest: tally,
            };
            self.targets.insert(held.latest.target.clone(), held);
            return;
        };
        if held.latest.stamp >= tally.stamp {
            return;
        }
        let is_anew = held.latest.stamp.0 != tally.stamp.0 || held.latest.version != tally.version;
        if is_anew {
            held.weighed.clear();
        }
        held.heard = now;
        held.latest = tally;
    }

    /// Has the judge weigh what is new.
    pub fn observe(
        &mut self,
        entry: &rollout::RolloutEntry,
        catalogue: &catalogue_state::CatalogueState,
        span: Duration,
    ) {
        self.order = entry.order;
        let canaries = self.canaries(entry);
        let groups = self.groups(entry, canaries);
        let mut window = verdict::RunWindow {
            span,
            canaries,
            ..verdict::RunWindow::default()
        };
        for (target, held) in &mut self.targets {
            let group = groups.get(target).copied();
            for tally in &held.latest.routes {
                let before = held.weighed.get(&tally.route);
                let counts = verdict::RunCounts::between(before, tally);
                match group {
                    Some(group) => window.record_new_version(group, &tally.route, &counts),
                    None => window.record_baseline(&tally.route, &counts),
                }
                held.weighed.insert(tally.route.clone(), tally.clone());
            }
        }
        let runs_once = |route: &ids::EntryName| {
            let route = catalogue.get(&entry::EntryKey {
                kind: entry::EntryKind::Route,
                name: route.clone(),
            });
            matches!(route, Some(entry::CatalogueEntry::Route(route))
                if route.idempotent == Some(false))
        };
        self.judge.observe(&window, &runs_once);
        self.observed.record(&window);
    }

    /// How much of the new version was seen.
    pub fn observed(&self) -> plan::ObservedRuns {
        self.observed
    }

    /// What speaks against the new version, if enough does.
    pub fn finding(&self, to: &ids::SoftwareVersion) -> Option<verdict::RolloutFinding> {
        self.judge.finding().or_else(|| self.unhealthy(to))
    }

    /// The finding that many targets of the new version are unhealthy and few of the old one: calls
    /// are kept away from such targets, so that their runs would show it late.
    fn unhealthy(&self, to: &ids::SoftwareVersion) -> Option<verdict::RolloutFinding> {
        let count = |is_new: bool| {
            let of_version = self.targets.values().filter(|held| {
                let version = held.latest.version.as_ref();
                (version == Some(to)) == is_new && held.runs() >= LEAST_TARGET_RUNS
            });
            let (failing, sound): (Vec<_>, Vec<_>) =
                of_version.partition(|held| held.latest.is_failing);
            (failing.len() as u64, (failing.len() + sound.len()) as u64)
        };
        let (bad, weighed) = count(true);
        let (bad_present, present) = count(false);
        let present_share = bad_present as f64 / present.max(1) as f64;
        let excess = bad as f64 / weighed.max(1) as f64 - present_share;
        let is_found = bad >= FEWEST_UNHEALTHY && excess >= UNHEALTHY_EXCESS;
        is_found.then_some(verdict::RolloutFinding {
            kind: verdict::FaultKind::Unhealthy,
            route: None,
            weighed,
            bad,
            present_share,
        })
    }

    /// Calls at targets of other versions than the new one, as their nodes told after `since`. One that was
    /// not heard since then may have one, unless it has been silent for long.
    pub fn old_in_flight(
        &self,
        to: &ids::SoftwareVersion,
        since: time::MonotonicTime,
        now: time::MonotonicTime,
    ) -> u32 {
        let is_present = |held: &&HeldTally| held.latest.version.as_ref() != Some(to);
        let present = self.targets.values().filter(is_present);
        let in_flight = |held: &HeldTally| {
            if held.heard > since {
                held.latest.in_flight
            } else {
                u32::from(now.since(held.heard) < SILENT_TIME)
            }
        };
        present.map(in_flight).sum()
    }

    /// Runs by version.
    pub fn by_version(&self) -> IndexMap<Option<ids::SoftwareVersion>, VersionCounts> {
        let mut versions: IndexMap<_, VersionCounts> = IndexMap::new();
        for held in self.targets.values() {
            let counts = versions.entry(held.latest.version.clone()).or_default();
            for route in &held.latest.routes {
                counts.answered += u64::from(route.answered);
                counts.failed += u64::from(route.failed);
            }
        }
        versions
    }

    fn canaries(&self, entry: &rollout::RolloutEntry) -> usize {
        let is_old = |held: &&HeldTally| held.latest.version.as_ref() != Some(&entry.to);
        cohort::canary_count(self.targets.values().filter(is_old).count())
    }

    /// Groups of the new version's targets: each canary is one, so that a fault of one machine is
    /// told from one of the version, and the others share some.
    fn groups(
        &self,
        entry: &rollout::RolloutEntry,
        canaries: usize,
    ) -> IndexMap<ids::TargetName, u64> {
        let is_new = |held: &&HeldTally| held.latest.version.as_ref() == Some(&entry.to);
        let mut coming: Vec<(u64, &ids::TargetName)> = self
            .targets
            .values()
            .filter(is_new)
            .map(|held| &held.latest.target)
            .map(|target| (cohort::canary_rank(entry.order, target), target))
            .collect();
        coming.sort();
        let group = |(place, (rank, target)): (usize, (u64, &ids::TargetName))| {
            let group = if place < canaries {
                place as u64
            } else {
                canaries as u64 + rank % RESERVE_GROUPS
            };
            (target.clone(), group)
        };
        coming.into_iter().enumerate().map(group).collect()
    }
}
