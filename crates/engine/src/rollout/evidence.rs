//! Run counts of both versions, as collected by the leader.

use std::time::Duration;

use hazeltiller_catalogue::{entry, rollout, state as catalogue_state};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::rollout as wire;
use indexmap::IndexMap;

use super::{
    cohort, plan,
    verdict::{self, VersionJudge as _},
};

/// Number of groups in which the non-canary targets of the new version are evaluated.
const NON_CANARY_GROUPS: u64 = 4;

/// Minimum number of runs for a target's health to count.
const MIN_TARGET_RUNS: u64 = 5;
/// Minimum number of unhealthy targets of the new version for a rollback.
const MIN_UNHEALTHY_TARGETS: u64 = 2;
/// Minimum excess of their share over the share of unhealthy targets of the old version.
const MIN_UNHEALTHY_EXCESS: f64 = 0.5;

/// Silence after which the node of a target is presumed gone.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// The latest report of one target.
#[derive(Debug, Clone)]
struct TargetEvidence {
    latest: wire::TargetTally,
    /// Cumulative counts by route as of the last evaluation.
    evaluated: IndexMap<ids::EntryName, wire::RouteTally>,
    /// When the last report arrived.
    reported_at: time::MonotonicTime,
}

impl TargetEvidence {
    /// Returns the number of runs that were answered or given up.
    fn runs(&self) -> u64 {
        let routes = self.latest.routes.iter();
        let route_runs = |route: &wire::RouteTally| {
            u64::from(route.answered) + route.given_up.iter().copied().map(u64::from).sum::<u64>()
        };
        routes.map(route_runs).sum()
    }
}

/// Evidence for one rollout.
#[derive(Debug, Clone, Default)]
pub struct RolloutEvidence {
    order: ids::CatalogueVersion,
    targets: IndexMap<ids::TargetName, TargetEvidence>,
    judge: verdict::SequentialJudge,
    observed: plan::ObservedRuns,
}

/// Run counts of one version, as shown to operators.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Number of answered runs.
    pub answered: u64,
    /// Number of answered runs that failed.
    pub failed: u64,
}

impl RolloutEvidence {
    /// Returns whether the evidence belongs to an order.
    pub fn belongs_to(&self, order: ids::CatalogueVersion) -> bool {
        self.order == order
    }

    /// Records the report of a target, unless a later one is known.
    pub fn record_tally(&mut self, tally: wire::TargetTally, now: time::MonotonicTime) {
        self.order = tally.order;
        let evidence = self.targets.get_mut(&tally.target);
        let Some(evidence) = evidence else {
            let evidence = TargetEvidence {
                evaluated: IndexMap::new(),
                reported_at: now,
                latest: tally,
            };
            self.targets
                .insert(evidence.latest.target.clone(), evidence);
            return;
        };
        if evidence.latest.stamp >= tally.stamp {
            return;
        }
        let has_restarted =
            evidence.latest.stamp.0 != tally.stamp.0 || evidence.latest.version != tally.version;
        if has_restarted {
            evidence.evaluated.clear();
        }
        evidence.reported_at = now;
        evidence.latest = tally;
    }

    /// Evaluates the runs that were reported since the last call.
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
        for (target, evidence) in &mut self.targets {
            let group = groups.get(target).copied();
            for tally in &evidence.latest.routes {
                let previous = evidence.evaluated.get(&tally.route);
                let counts = verdict::RunCounts::between(previous, tally);
                match group {
                    Some(group) => window.record_new_version(group, &tally.route, &counts),
                    None => window.record_baseline(&tally.route, &counts),
                }
                evidence
                    .evaluated
                    .insert(tally.route.clone(), tally.clone());
            }
        }
        let is_non_idempotent = |route: &ids::EntryName| {
            let route = catalogue.get(&entry::EntryKey {
                kind: entry::EntryKind::Route,
                name: route.clone(),
            });
            matches!(route, Some(entry::CatalogueEntry::Route(route))
                if route.idempotent == Some(false))
        };
        self.judge.observe(&window, &is_non_idempotent);
        self.observed.record(&window);
    }

    /// Returns the number of runs that have been evaluated.
    pub fn observed(&self) -> plan::ObservedRuns {
        self.observed
    }

    /// Returns the evidence against the new version, if there is enough.
    pub fn finding(&self, to: &ids::SoftwareVersion) -> Option<verdict::RolloutFinding> {
        self.judge.finding().or_else(|| self.unhealthy_finding(to))
    }

    /// Returns a finding if a much larger share of the new version's targets is unhealthy than of
    /// the old one's. Ejected targets get few calls, so their runs alone would show the fault late.
    fn unhealthy_finding(&self, to: &ids::SoftwareVersion) -> Option<verdict::RolloutFinding> {
        let count = |is_new: bool| {
            let version_targets = self.targets.values().filter(|evidence| {
                let version = evidence.latest.version.as_ref();
                (version == Some(to)) == is_new && evidence.runs() >= MIN_TARGET_RUNS
            });
            let (failing, healthy): (Vec<_>, Vec<_>) =
                version_targets.partition(|evidence| evidence.latest.is_failing);
            (failing.len() as u64, (failing.len() + healthy.len()) as u64)
        };
        let (bad, evaluated) = count(true);
        let (bad_baseline, baseline_total) = count(false);
        let baseline_share = bad_baseline as f64 / baseline_total.max(1) as f64;
        let excess = bad as f64 / evaluated.max(1) as f64 - baseline_share;
        let is_significant = bad >= MIN_UNHEALTHY_TARGETS && excess >= MIN_UNHEALTHY_EXCESS;
        is_significant.then_some(verdict::RolloutFinding {
            kind: verdict::FaultKind::Unhealthy,
            route: None,
            evaluated,
            bad,
            baseline_share,
        })
    }

    /// Returns the number of calls at targets of other versions than the new one, as reported after
    /// `since`. A target without a report since then counts as one call, unless it has been silent
    /// for so long that its node is presumed gone.
    pub fn old_in_flight(
        &self,
        to: &ids::SoftwareVersion,
        since: time::MonotonicTime,
        now: time::MonotonicTime,
    ) -> u32 {
        let is_old = |evidence: &&TargetEvidence| evidence.latest.version.as_ref() != Some(to);
        let old_targets = self.targets.values().filter(is_old);
        let in_flight = |evidence: &TargetEvidence| {
            if evidence.reported_at > since {
                evidence.latest.in_flight
            } else {
                u32::from(now.since(evidence.reported_at) < SILENCE_TIMEOUT)
            }
        };
        old_targets.map(in_flight).sum()
    }

    /// Returns the run counts by version.
    pub fn by_version(&self) -> IndexMap<Option<ids::SoftwareVersion>, VersionCounts> {
        let mut versions: IndexMap<_, VersionCounts> = IndexMap::new();
        for evidence in self.targets.values() {
            let counts = versions.entry(evidence.latest.version.clone()).or_default();
            for route in &evidence.latest.routes {
                counts.answered += u64::from(route.answered);
                counts.failed += u64::from(route.failed);
            }
        }
        versions
    }

    /// Returns the number of canary targets that the number of reporting old targets gives.
    fn canaries(&self, entry: &rollout::RolloutEntry) -> usize {
        let is_old =
            |evidence: &&TargetEvidence| evidence.latest.version.as_ref() != Some(&entry.to);
        cohort::canary_count(self.targets.values().filter(is_old).count())
    }

    /// Returns the group of each target of the new version. Each canary is a group of its own, so
    /// that the fault of one machine can be told from a fault of the version; the other targets
    /// share a few groups.
    fn groups(
        &self,
        entry: &rollout::RolloutEntry,
        canaries: usize,
    ) -> IndexMap<ids::TargetName, u64> {
        let is_new =
            |evidence: &&TargetEvidence| evidence.latest.version.as_ref() == Some(&entry.to);
        let mut new_targets: Vec<(u64, &ids::TargetName)> = self
            .targets
            .values()
            .filter(is_new)
            .map(|evidence| &evidence.latest.target)
            .map(|target| (cohort::canary_rank(entry.order, target), target))
            .collect();
        new_targets.sort();
        let group = |(position, (rank, target)): (usize, (u64, &ids::TargetName))| {
            let group = if position < canaries {
                position as u64
            } else {
                canaries as u64 + rank % NON_CANARY_GROUPS
            };
            (target.clone(), group)
        };
        new_targets.into_iter().enumerate().map(group).collect()
    }
}
