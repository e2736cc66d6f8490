//! Decides whether a new version is worse than the old one.
//!
//! Two errors are possible: a good version is rolled back, or a bad one is let through. Both
//! versions are compared over the same period and by route, because overload, network partitions
//! and slow machines affect both. The runs of the new version are evaluated in groups of one or a
//! few machines, and no single group suffices for a rollback, since a machine may be at fault.

use std::{fmt, time::Duration};

use hazeltiller_units::ids;
use hazeltiller_wire::rollout as wire;
use indexmap::IndexMap;

/// Half-lives, in seconds, of the old version's counts. The shorter one shows what has just begun
/// to affect both versions, the longer one what takes many runs to show.
const HALF_LIVES_S: [f64; 2] = [0.75, 4.0];
/// Minimum number of runs of the old version for a comparison of run times.
const MIN_BASELINE_RUNS: f64 = 20.0;
/// Number of time classes above the old version's median from which a run is slow: four times as
/// long.
const SLOW_CLASS_OFFSET: usize = 2 * wire::BUCKETS_PER_DOUBLING;
/// Sum of log-likelihood ratios at which the version is judged bad.
const REJECTION_SCORE: f64 = 18.0;
/// Share of that sum that one group can contribute, by the number of canary targets.
const GROUP_SCORE_SHARES: [f64; 4] = [1.0, 1.0, 0.5, 0.34];
/// Bound of a group of other targets relative to that of a canary, since each of these targets has
/// few runs.
const RESERVE_SCORE_RATIO: f64 = 0.5;
/// Weight of non-idempotent runs, which cannot be retried; with it a fault is detected after fewer
/// of them.
const NON_IDEMPOTENT_WEIGHT: f64 = 1.25;
/// Minimum number of runs for a canary to count as a group.
const MIN_GROUP_RUNS: f64 = 5.0;

/// Margins over the old version's share of bad runs: the largest that is acceptable, and that of a
/// bad version.
#[derive(Debug, Clone, Copy)]
struct ShareMargins {
    acceptable: f64,
    bad: f64,
}

const FAILURE_MARGINS: ShareMargins = ShareMargins {
    acceptable: 0.03,
    bad: 0.15,
};
/// Larger than the margins of failures, because the machines of one service differ in speed.
const SLOW_MARGINS: ShareMargins = ShareMargins {
    acceptable: 0.08,
    bad: 0.22,
};
/// Added to both margins while the old version has too few runs in the same period to compare with.
const NO_BASELINE_MARGIN: f64 = 0.15;

/// Run counts of some period.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunCounts {
    /// Number of answered runs.
    pub answered: f64,
    /// Number of answered runs that failed.
    pub failed: f64,
    /// Answered runs by time class.
    pub times: [f64; wire::LATENCY_BUCKETS],
    /// Runs that were given up, by class of the time spent.
    pub given_up: [f64; wire::LATENCY_BUCKETS],
}

impl RunCounts {
    /// Returns the runs between two reports of one target.
    pub fn between(previous: Option<&wire::RouteTally>, current: &wire::RouteTally) -> Self {
        let zero = wire::RouteTally::new(current.route.clone());
        let previous = previous.unwrap_or(&zero);
        let increase = |current: u32, previous: u32| f64::from(current.saturating_sub(previous));
        let at = |counts: &[u32], class: usize| counts.get(class).copied().unwrap_or(0);
        let mut counts = Self {
            answered: increase(current.answered, previous.answered),
            failed: increase(current.failed, previous.failed),
            ..Self::default()
        };
        for class in 0..wire::LATENCY_BUCKETS {
            counts.times[class] = increase(at(&current.times, class), at(&previous.times, class));
            counts.given_up[class] =
                increase(at(&current.given_up, class), at(&previous.given_up, class));
        }
        counts
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        for class in 0..wire::LATENCY_BUCKETS {
            self.times[class] += other.times[class];
            self.given_up[class] += other.given_up[class];
        }
    }

    fn scale(&mut self, factor: f64) {
        self.answered *= factor;
        self.failed *= factor;
        for class in 0..wire::LATENCY_BUCKETS {
            self.times[class] *= factor;
            self.given_up[class] *= factor;
        }
    }

    /// Returns the time class of the median answered run.
    fn median_class(&self) -> usize {
        let half = self.times.iter().sum::<f64>() / 2.0;
        let mut cumulative = 0.0;
        let reaches_half = |count: &f64| {
            cumulative += count;
            cumulative >= half
        };
        self.times.iter().position(reaches_half).unwrap_or(0)
    }

    /// Returns the number of runs that can be classified as slow or not, and of those that are
    /// slow. A run that was given up before it would have been slow cannot be classified.
    fn slow_runs(&self, slow_class: usize) -> (f64, f64) {
        let slow: f64 = self.times[slow_class..].iter().sum();
        let given_up: f64 = self.given_up[slow_class..].iter().sum();
        (self.answered + given_up, slow + given_up)
    }
}

/// Runs of both versions since the last evaluation.
#[derive(Debug, Clone, Default)]
pub struct RunWindow {
    /// Length of the period.
    pub span: Duration,
    /// Runs of the old version by route.
    pub baseline: IndexMap<ids::EntryName, RunCounts>,
    /// Number of canary targets; the groups below this number are canaries.
    pub canaries: usize,
    /// Runs of the new version by group and route.
    pub new_version: IndexMap<(u64, ids::EntryName), RunCounts>,
}

impl RunWindow {
    /// Adds runs of the old version.
    pub fn record_baseline(&mut self, route: &ids::EntryName, counts: &RunCounts) {
        self.baseline.entry(route.clone()).or_default().add(counts);
    }

    /// Adds runs of the new version.
    pub fn record_new_version(&mut self, group: u64, route: &ids::EntryName, counts: &RunCounts) {
        let key = (group, route.clone());
        self.new_version.entry(key).or_default().add(counts);
    }
}

/// Ways in which a version can be bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// It fails more often.
    Failing,
    /// A larger share of its runs is slow.
    Slow,
    /// A larger share of its targets is unhealthy. Such targets are ejected, so they show few runs.
    Unhealthy,
}

/// Evidence against a version.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutFinding {
    /// What is wrong.
    pub kind: FaultKind,
    /// Route that shows it most clearly; `None` if the finding concerns whole targets.
    pub route: Option<ids::EntryName>,
    /// Number of evaluated runs, or targets, of the new version.
    pub evaluated: u64,
    /// Number of those that failed, were slow or are unhealthy.
    pub bad: u64,
    /// The same share of the old version in the same period.
    pub baseline_share: f64,
}

impl fmt::Display for RolloutFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (bad, evaluated) = (self.bad, self.evaluated);
        let percent = self.baseline_share * 100.0;
        let what = match self.kind {
            FaultKind::Failing => "failed",
            FaultKind::Slow => "took four times as long as the old version's median",
            FaultKind::Unhealthy => "are unhealthy",
        };
        match &self.route {
            Some(route) => write!(f, "{bad} of {evaluated} runs of route {route} {what}")?,
            None => write!(f, "{bad} of {evaluated} targets {what}")?,
        }
        write!(f, ", {percent:.0}% of the old version's")
    }
}

/// Judges a version from a stream of run counts.
pub trait VersionJudge {
    /// Evaluates the runs of one window. `is_non_idempotent` tells routes whose calls cannot be
    /// retried.
    fn observe(&mut self, window: &RunWindow, is_non_idempotent: &dyn Fn(&ids::EntryName) -> bool);

    /// Returns the evidence against the version, if there is enough.
    fn finding(&self) -> Option<RolloutFinding>;
}

/// Evidence of one kind for one route of one group.
#[derive(Debug, Clone, Default)]
struct CusumScore {
    /// Cumulative sum of log-likelihood ratios, never below zero, so that a version that turns bad
    /// late is detected as fast as one that was bad from the start.
    score: f64,
    runs: f64,
    bad: f64,
    baseline_share: f64,
}

impl CusumScore {
    fn observe(
        &mut self,
        runs: f64,
        bad: f64,
        baseline_share: f64,
        margins: ShareMargins,
        weight: f64,
    ) {
        let acceptable_share = (baseline_share + margins.acceptable).min(0.9);
        let faulty_share = (baseline_share + margins.bad).min(0.95);
        let llr_of_bad = (faulty_share / acceptable_share).ln();
        let llr_of_good = ((1.0 - faulty_share) / (1.0 - acceptable_share)).ln();
        let llr = bad * llr_of_bad + (runs - bad) * llr_of_good;
        self.score = (self.score + llr * weight).clamp(0.0, REJECTION_SCORE);
        if self.score > 0.0 {
            self.runs += runs;
            self.bad += bad;
        } else {
            (self.runs, self.bad) = (0.0, 0.0);
        }
        self.baseline_share = baseline_share;
    }
}

/// Runs of the old version on one route, decayed with each of the half-lives.
#[derive(Debug, Clone, Default)]
struct BaselineRuns {
    decayed: [RunCounts; HALF_LIVES_S.len()],
}

impl BaselineRuns {
    fn add_window(&mut self, counts: &RunCounts, span: Duration) {
        for (decayed, half_life_s) in self.decayed.iter_mut().zip(HALF_LIVES_S) {
            decayed.scale((-span.as_secs_f64() / half_life_s).exp2());
            decayed.add(counts);
        }
    }

    fn long_term(&self) -> &RunCounts {
        &self.decayed[HALF_LIVES_S.len() - 1]
    }

    /// Returns the largest of the shares over the half-lives.
    fn max_share(&self, share: impl Fn(&RunCounts) -> f64) -> f64 {
        self.decayed.iter().map(share).fold(0.0, f64::max)
    }

    fn failing_share(&self) -> f64 {
        // The prior of half a failure in ten runs avoids extreme shares on a route with few old
        // runs.
        self.max_share(|runs| (runs.failed + 0.5) / (runs.answered + 10.0))
    }

    /// Returns the time class from which a run is slow; `None` if there are too few runs to tell.
    fn first_slow_class(&self) -> Option<usize> {
        let runs = self.long_term();
        let slow_class = (runs.median_class() + SLOW_CLASS_OFFSET).min(wire::LATENCY_BUCKETS - 1);
        (runs.answered >= MIN_BASELINE_RUNS).then_some(slow_class)
    }

    fn slow_share(&self, slow_class: usize) -> f64 {
        self.max_share(|runs| {
            let (all, slow_runs) = runs.slow_runs(slow_class);
            (slow_runs + 0.5) / (all + 10.0)
        })
    }
}

/// A CUSUM test per group and route, summed over the groups with an upper bound for each.
#[derive(Debug, Clone, Default)]
pub struct SequentialJudge {
    baseline: IndexMap<ids::EntryName, BaselineRuns>,
    sums: IndexMap<(u64, FaultKind), IndexMap<ids::EntryName, CusumScore>>,
    group_runs: IndexMap<u64, f64>,
    canaries: usize,
}

impl SequentialJudge {
    fn update_baseline(&mut self, window: &RunWindow) {
        for (route, counts) in &window.baseline {
            // The last counts of a route are kept until there are newer ones.
            if counts.answered > 0.0 {
                let route_runs = self.baseline.entry(route.clone()).or_default();
                route_runs.add_window(counts, window.span);
            }
        }
    }

    fn observe_group(
        &mut self,
        group: u64,
        route: &ids::EntryName,
        counts: &RunCounts,
        context: RunContext,
    ) {
        let baseline = self.baseline.get(route).cloned().unwrap_or_default();
        let margins = |margins: ShareMargins| ShareMargins {
            acceptable: margins.acceptable + context.margin,
            bad: margins.bad + context.margin,
        };
        let mut observe = |kind, (runs, bad): (f64, f64), baseline_share, bounds| {
            let routes = self.sums.entry((group, kind)).or_default();
            let sum = routes.entry(route.clone()).or_default();
            sum.observe(runs, bad, baseline_share, margins(bounds), context.weight);
        };
        let failed = (counts.answered, counts.failed);
        let baseline_failing = baseline.failing_share();
        observe(
            FaultKind::Failing,
            failed,
            baseline_failing,
            FAILURE_MARGINS,
        );
        if let Some(slow_class) = baseline.first_slow_class() {
            let slow_share = baseline.slow_share(slow_class);
            observe(
                FaultKind::Slow,
                counts.slow_runs(slow_class),
                slow_share,
                SLOW_MARGINS,
            );
        }
    }

    /// Returns the number of canary targets with enough runs to count.
    fn canaries(&self) -> usize {
        let groups = self.group_runs.iter();
        let counted = groups
            .filter(|(group, runs)| **group < self.canaries as u64 && **runs >= MIN_GROUP_RUNS);
        counted.count()
    }

    /// Returns the evidence of a kind summed over all groups, each limited to its bound.
    fn total_score(&self, kind: FaultKind) -> f64 {
        let bound =
            REJECTION_SCORE * GROUP_SCORE_SHARES[self.canaries().min(GROUP_SCORE_SHARES.len() - 1)];
        let kind_sums = self
            .sums
            .iter()
            .filter(|((_, other_kind), _)| *other_kind == kind);
        let bounded = |((group, _), routes): (&(u64, FaultKind), &IndexMap<_, CusumScore>)| {
            let is_canary = *group < self.canaries as u64;
            let bound = if is_canary {
                bound
            } else {
                bound * RESERVE_SCORE_RATIO
            };
            let score: f64 = routes.values().map(|sum| sum.score).sum();
            score.min(bound)
        };
        kind_sums.map(bounded).sum()
    }

    fn worst_route(&self, kind: FaultKind) -> Option<RolloutFinding> {
        let kind_sums = self
            .sums
            .iter()
            .filter(|((_, other_kind), _)| *other_kind == kind);
        let mut routes: IndexMap<&ids::EntryName, CusumScore> = IndexMap::new();
        for (route, sum) in kind_sums.flat_map(|(_, routes)| routes) {
            let total = routes.entry(route).or_default();
            total.score += sum.score;
            total.runs += sum.runs;
            total.bad += sum.bad;
            total.baseline_share = sum.baseline_share;
        }
        let worst_route = routes
            .into_iter()
            .max_by(|(_, left), (_, right)| left.score.total_cmp(&right.score))?;
        let (route, sum) = worst_route;
        Some(RolloutFinding {
            kind,
            route: Some(route.clone()),
            evaluated: sum.runs as u64,
            bad: sum.bad as u64,
            baseline_share: sum.baseline_share,
        })
    }
}

/// Parameters that a group's runs are evaluated with.
#[derive(Debug, Clone, Copy)]
struct RunContext {
    margin: f64,
    weight: f64,
}

impl VersionJudge for SequentialJudge {
    fn observe(&mut self, window: &RunWindow, is_non_idempotent: &dyn Fn(&ids::EntryName) -> bool) {
        self.update_baseline(window);
        self.canaries = window.canaries;
        let baseline_total: f64 = window.baseline.values().map(|counts| counts.answered).sum();
        let new_total: f64 = window
            .new_version
            .values()
            .map(|counts| counts.answered)
            .sum();
        let lacks_baseline = baseline_total < new_total;
        for ((group, route), counts) in &window.new_version {
            *self.group_runs.entry(*group).or_default() += counts.answered;
            let context = RunContext {
                margin: if lacks_baseline {
                    NO_BASELINE_MARGIN
                } else {
                    0.0
                },
                weight: if is_non_idempotent(route) {
                    NON_IDEMPOTENT_WEIGHT
                } else {
                    1.0
                },
            };
            self.observe_group(*group, route, counts, context);
        }
    }

    fn finding(&self) -> Option<RolloutFinding> {
        let kinds = [FaultKind::Failing, FaultKind::Slow];
        let kind = kinds
            .into_iter()
            .find(|kind| self.total_score(*kind) >= REJECTION_SCORE)?;
        self.worst_route(kind)
    }
}
