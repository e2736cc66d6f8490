//! Whether a new version is worse than the old one.
//!
//! Two errors are possible: a good version is taken back, or a bad one is let through. Both
//! versions are compared over the same seconds, route by route, because what shortage, cut links
//! and slow machines do hits both. The new version's runs are weighed in groups, each a machine or
//! a few, and no group alone convicts the version: a machine may be at fault.

use std::{fmt, time::Duration};

use hazeltiller_units::ids;
use hazeltiller_wire::rollout as wire;
use indexmap::IndexMap;

/// Times over which the old version's runs count half as much: what has just begun to hit both
/// versions shows in the shorter one, what few runs show in the longer one.
const HALF_LIVES_S: [f64; 2] = [0.75, 4.0];
/// Runs of the old version that a route's times are compared with at the least.
const LEAST_PRESENT_RUNS: f64 = 20.0;
/// A run is slow that takes four times as long as the old version's median of its route.
const SLOW_CLASSES: usize = 2 * wire::CLASSES_PER_DOUBLING;
/// Sum of log likelihood ratios at which the version is held bad.
const CONVICTION: f64 = 18.0;
/// Part of it that one group can give, by how many canary targets there are.
const GROUP_PARTS: [f64; 4] = [1.0, 1.0, 0.5, 0.34];
/// Part of a canary's bound that a group of other targets has: they have few runs each.
const RESERVE_PART: f64 = 0.5;
/// Weight of runs that cannot be tried again: fewer of them are risked.
const ONCE_WEIGHT: f64 = 1.25;
/// Runs of a group from which on it counts as one.
const LEAST_GROUP_RUNS: f64 = 5.0;

/// How much larger than the old version's a share may be, and how large a bad version's is.
#[derive(Debug, Clone, Copy)]
struct ShareMargins {
    sound: f64,
    bad: f64,
}

const FAILURE_MARGINS: ShareMargins = ShareMargins {
    sound: 0.03,
    bad: 0.15,
};
/// Machines of one service differ in speed.
const SLOW_MARGINS: ShareMargins = ShareMargins {
    sound: 0.08,
    bad: 0.22,
};
/// Added to both while the old version has no runs to compare with in the same seconds.
const ALONE_MARGIN: f64 = 0.15;

/// Runs in some time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunCounts {
    /// With an answer.
    pub answered: f64,
    /// Those of them that failed.
    pub failed: f64,
    /// Answered ones by class of their time.
    pub times: [f64; wire::TIME_CLASSES],
    /// Those given up, by class of the time that they had had.
    pub given_up: [f64; wire::TIME_CLASSES],
}

impl RunCounts {
    /// Runs between two tallies of one target.
    pub fn between(before: Option<&wire::RouteTally>, now: &wire::RouteTally) -> Self {
        let none = wire::RouteTally::new(now.route.clone());
        let before = before.unwrap_or(&none);
        let grown = |now: u32, before: u32| f64::from(now.saturating_sub(before));
        let at = |counts: &[u32], class: usize| counts.get(class).copied().unwrap_or(0);
        let mut counts = Self {
            answered: grown(now.answered, before.answered),
            failed: grown(now.failed, before.failed),
            ..Self::default()
        };
        for class in 0..wire::TIME_CLASSES {
            counts.times[class] = grown(at(&now.times, class), at(&before.times, class));
            counts.given_up[class] = grown(at(&now.given_up, class), at(&before.given_up, class));
        }
        counts
    }

    /// Adds other runs.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        for class in 0..wire::TIME_CLASSES {
            self.times[class] += other.times[class];
            self.given_up[class] += other.given_up[class];
        }
    }

    fn scale(&mut self, factor: f64) {
        self.answered *= factor;
        self.failed *= factor;
        for class in 0..wire::TIME_CLASSES {
            self.times[class] *= factor;
            self.given_up[class] *= factor;
        }
    }

    /// Class that half of the answered runs are below or in.
    fn median_class(&self) -> usize {
        let half = self.times.iter().sum::<f64>() / 2.0;
        let mut below = 0.0;
        let reaches_half = |count: &f64| {
            below += count;
            below >= half
        };
        self.times.iter().position(reaches_half).unwrap_or(0)
    }

    /// Runs whose time tells whether they are slow, and those that are. One that was given up
    /// earlier than a slow one ends tells nothing.
    fn slow(&self, from: usize) -> (f64, f64) {
        let late: f64 = self.times[from..].iter().sum();
        let given_up: f64 = self.given_up[from..].iter().sum();
        (self.answered + given_up, late + given_up)
    }
}

/// Runs of both versions since the last look.
#[derive(Debug, Clone, Default)]
pub struct RunWindow {
    /// How long it is.
    pub span: Duration,
    /// Of the old version, by route.
    pub present: IndexMap<ids::EntryName, RunCounts>,
    /// Canary targets; each is a group, the first ones.
    pub canaries: usize,
    /// Of the new one, by group and route.
    pub coming: IndexMap<(u64, ids::EntryName), RunCounts>,
}

impl RunWindow {
    /// Adds runs of the old version.
    pub fn record_baseline(&mut self, route: &ids::EntryName, counts: &RunCounts) {
        self.present.entry(route.clone()).or_default().add(counts);
    }

    /// Adds runs of the new version.
    pub fn record_new_version(&mut self, group: u64, route: &ids::EntryName, counts: &RunCounts) {
        let key = (group, route.clone());
        self.coming.entry(key).or_default().add(counts);
    }
}

/// What is wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// It fails more often.
    Failing,
    /// More of its runs are slow.
    Slow,
    /// More of its targets are unhealthy; calls are kept away from those, so that they show few runs.
    Unhealthy,
}

/// What speaks against a version.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutFinding {
    /// What is wrong.
    pub kind: FaultKind,
    /// Route that shows it most; absent where whole targets do.
    pub route: Option<ids::EntryName>,
    /// Runs, or targets, of the new version that were weighed.
    pub weighed: u64,
    /// Those of them that failed, were slow or are unhealthy.
    pub bad: u64,
    /// The same share of the old version, in the same time.
    pub present_share: f64,
}

impl fmt::Display for RolloutFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (bad, weighed) = (self.bad, self.weighed);
        let percent = self.present_share * 100.0;
        let what = match self.kind {
            FaultKind::Failing => "failed",
            FaultKind::Slow => "took four times as long as the old version's median",
            FaultKind::Unhealthy => "are unhealthy",
        };
        match &self.route {
            Some(route) => write!(f, "{bad} of {weighed} runs of route {route} {what}")?,
            None => write!(f, "{bad} of {weighed} targets {what}")?,
        }
        write!(f, ", {percent:.0}% of the old version's")
    }
}

/// Weighs runs as they come.
pub trait VersionJudge {
    /// Weighs the runs of some time; `runs_once` tells routes whose calls cannot be tried again.
    fn observe(&mut self, window: &RunWindow, runs_once: &dyn Fn(&ids::EntryName) -> bool);

    /// What speaks against the version, if enough does.
    fn finding(&self) -> Option<RolloutFinding>;
}

/// Evidence of one kind on one route of one group.
#[derive(Debug, Clone, Default)]
struct EvidenceSum {
    /// Cumulative sum of log likelihood ratios, never below zero: a version that turns bad late
    /// is found as fast as one that always was.
    score: f64,
    runs: f64,
    bad: f64,
    present_share: f64,
}

impl EvidenceSum {
    fn observe(
        &mut self,
        runs: f64,
        bad: f64,
        present_share: f64,
        margins: ShareMargins,
        weight: f64,
    ) {
        let sound = (present_share + margins.sound).min(0.9);
        let faulty = (present_share + margins.bad).min(0.95);
        let of_bad = (faulty / sound).ln();
        let of_good = ((1.0 - faulty) / (1.0 - sound)).ln();
        let gain = bad * of_bad + (runs - bad) * of_good;
        self.score = (self.score + gain * weight).clamp(0.0, CONVICTION);
        if self.score > 0.0 {
            self.runs += runs;
            self.bad += bad;
        } else {
            (self.runs, self.bad) = (0.0, 0.0);
        }
        self.present_share = present_share;
    }
}

/// Runs of one route of the old version, over each of the half-lives.
#[derive(Debug, Clone, Default)]
struct PresentRuns {
    faded: [RunCounts; HALF_LIVES_S.len()],
}

impl PresentRuns {
    fn take(&mut self, counts: &RunCounts, span: Duration) {
        for (faded, half_life_s) in self.faded.iter_mut().zip(HALF_LIVES_S) {
            faded.scale((-span.as_secs_f64() / half_life_s).exp2());
            faded.add(counts);
        }
    }

    fn longest(&self) -> &RunCounts {
        &self.faded[HALF_LIVES_S.len() - 1]
    }

    /// The larger of the shares over the half-lives.
    fn larger_share(&self, share: impl Fn(&RunCounts) -> f64) -> f64 {
        self.faded.iter().map(share).fold(0.0, f64::max)
    }

    fn failing_share(&self) -> f64 {
        // A failure in ten runs that nobody saw keeps a route without old runs from extremes.
        self.larger_share(|runs| (runs.failed + 0.5) / (runs.answered + 10.0))
    }

    /// Class from which on a run is slow, where there are runs enough to tell.
    fn slow_from(&self) -> Option<usize> {
        let runs = self.longest();
        let from = (runs.median_class() + SLOW_CLASSES).min(wire::TIME_CLASSES - 1);
        (runs.answered >= LEAST_PRESENT_RUNS).then_some(from)
    }

    fn slow_share(&self, from: usize) -> f64 {
        self.larger_share(|runs| {
            let (all, slow) = runs.slow(from);
            (slow + 0.5) / (all + 10.0)
        })
    }
}

/// A cumulative sum test of each group and route, added up over groups with a bound on each.
#[derive(Debug, Clone, Default)]
pub struct SequentialJudge {
    present: IndexMap<ids::EntryName, PresentRuns>,
    sums: IndexMap<(u64, FaultKind), IndexMap<ids::EntryName, EvidenceSum>>,
    group_runs: IndexMap<u64, f64>,
    canaries: usize,
}

impl SequentialJudge {
    fn remember_present(&mut self, window: &RunWindow) {
        for (route, counts) in &window.present {
            // What was seen last stays while there is nothing newer.
            if counts.answered > 0.0 {
                let held = self.present.entry(route.clone()).or_default();
                held.take(counts, window.span);
            }
        }
    }

    fn weigh_one(
        &mut self,
        group: u64,
        route: &ids::EntryName,
        counts: &RunCounts,
        context: RunContext,
    ) {
        let present = self.present.get(route).cloned().unwrap_or_default();
        let margins = |margins: ShareMargins| ShareMargins {
            sound: margins.sound + context.margin,
            bad: margins.bad + context.margin,
        };
        let mut observe = |kind, (runs, bad): (f64, f64), present_share, bounds| {
            let routes = self.sums.entry((group, kind)).or_default();
            let sum = routes.entry(route.clone()).or_default();
            sum.observe(runs, bad, present_share, margins(bounds), context.weight);
        };
        let failed = (counts.answered, counts.failed);
        let failing = present.failing_share();
        observe(FaultKind::Failing, failed, failing, FAILURE_MARGINS);
        if let Some(from) = present.slow_from() {
            let slow_share = present.slow_share(from);
            observe(FaultKind::Slow, counts.slow(from), slow_share, SLOW_MARGINS);
        }
    }

    /// Canary targets that have had enough runs to count.
    fn canaries(&self) -> usize {
        let groups = self.group_runs.iter();
        let counted = groups
            .filter(|(group, runs)| **group < self.canaries as u64 && **runs >= LEAST_GROUP_RUNS);
        counted.count()
    }

    /// Evidence of a kind over all groups, each with its bound.
    fn total(&self, kind: FaultKind) -> f64 {
        let bound = CONVICTION * GROUP_PARTS[self.canaries().min(GROUP_PARTS.len() - 1)];
        let of_kind = self.sums.iter().filter(|((_, known), _)| *known == kind);
        let bounded = |((group, _), routes): (&(u64, FaultKind), &IndexMap<_, EvidenceSum>)| {
            let is_canary = *group < self.canaries as u64;
            let bound = if is_canary {
                bound
            } else {
                bound * RESERVE_PART
            };
            let score: f64 = routes.values().map(|sum| sum.score).sum();
            score.min(bound)
        };
        of_kind.map(bounded).sum()
    }

    fn worst(&self, kind: FaultKind) -> Option<RolloutFinding> {
        let of_kind = self.sums.iter().filter(|((_, known), _)| *known == kind);
        let mut routes: IndexMap<&ids::EntryName, EvidenceSum> = IndexMap::new();
        for (route, sum) in of_kind.flat_map(|(_, routes)| routes) {
            let total = routes.entry(route).or_default();
            total.score += sum.score;
            total.runs += sum.runs;
            total.bad += sum.bad;
            total.present_share = sum.present_share;
        }
        let worst = routes
            .into_iter()
            .max_by(|(_, one), (_, other)| one.score.total_cmp(&other.score))?;
        let (route, sum) = worst;
        Some(RolloutFinding {
            kind,
            route: Some(route.clone()),
            weighed: sum.runs as u64,
            bad: sum.bad as u64,
            present_share: sum.present_share,
        })
    }
}

/// What a group's runs are weighed beside.
#[derive(Debug, Clone, Copy)]
struct RunContext {
    margin: f64,
    weight: f64,
}

impl VersionJudge for SequentialJudge {
    fn observe(&mut self, window: &RunWindow, runs_once: &dyn Fn(&ids::EntryName) -> bool) {
        self.remember_present(window);
        self.canaries = window.canaries;
        let present_runs: f64 = window.present.values().map(|counts| counts.answered).sum();
        let coming_runs: f64 = window.coming.values().map(|counts| counts.answered).sum();
        let is_alone = present_runs < coming_runs;
        for ((group, route), counts) in &window.coming {
            *self.group_runs.entry(*group).or_default() += counts.answered;
            let context = RunContext {
                margin: if is_alone { ALONE_MARGIN } else { 0.0 },
                weight: if runs_once(route) { ONCE_WEIGHT } else { 1.0 },
            };
            self.weigh_one(*group, route, counts, context);
        }
    }

    fn finding(&self) -> Option<RolloutFinding> {
        let kinds = [FaultKind::Failing, FaultKind::Slow];
        let kind = kinds
            .into_iter()
            .find(|kind| self.total(*kind) >= CONVICTION)?;
        self.worst(kind)
    }
}
