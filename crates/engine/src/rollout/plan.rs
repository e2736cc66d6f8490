//! Steps of a rollout, decided by time and evidence.
//!
//! A version may turn bad late, and must not have received many calls by then. The new version's
//! share therefore stays small for most of the rollout, and the rest of the traffic moves quickly
//! at the end. The calls of the trial bound the damage that a bad version can do.

use std::time::Duration;

use hazeltiller_catalogue::rollout;

use super::{cohort, verdict};

/// Share of the time limit, at its end, that is reserved for moving the traffic after the trial.
const SHIFT_TIME_SHARE: f64 = 0.25;
/// Bounds of the time reserved for moving the traffic.
const MIN_SHIFT_TIME: Duration = Duration::from_millis(2500);
const MAX_SHIFT_TIME: Duration = Duration::from_secs(60);
/// Share of the time reserved for moving the traffic that the widening phase lasts.
const WIDENING_TIME_SHARE: f64 = 0.3;
/// Share of calls that the new version gets in the widening phase, in thousandths.
const WIDENING_PERMILLE: u32 = 300;
/// Time before the limit at which the rollout ends, with success or a rollback.
const ROLLOUT_END_MARGIN: Duration = Duration::from_millis(500);
/// Time for which all calls go to the new version before the old targets may stop.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Minimum ratio of the new version's slots to the old version's.
const MIN_SLOT_RATIO: f64 = 0.8;
/// Share of nodes on which the switch may not yet be in force when the time limit is reached.
const MAX_LAGGING_NODE_SHARE: f64 = 0.1;

/// Minimum time for which the new version is observed before it gets more calls.
const MIN_OBSERVED_TIME: Duration = Duration::from_secs(2);
/// Minimum observed time as a share of the time limit.
const MIN_OBSERVED_TIME_SHARE: f64 = 0.125;
/// Minimum number of observed runs of the new version before it gets more calls.
const MIN_RUNS: f64 = 30.0;
/// Minimum ratio of the new version's observed share of runs to its intended one; below that, its
/// targets do not take their calls.
const MIN_SHARE_RATIO: f64 = 0.25;
/// Share of the time limit after which fewer observed runs suffice, for services with few calls.
const LOW_TRAFFIC_TIME_SHARE: f64 = 0.33;
/// Minimum number of observed runs after that time.
const LOW_TRAFFIC_MIN_RUNS: f64 = 5.0;

/// Runs of the new version that have been evaluated.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ObservedRuns {
    /// Number of runs of the new version.
    pub runs: f64,
    /// Number of runs of the old version in the same period.
    pub old_runs: f64,
    /// Observed time since the first run of the new version.
    pub span: Duration,
}

impl ObservedRuns {
    /// Adds the runs of an evaluated window.
    pub fn record(&mut self, window: &verdict::RunWindow) {
        let counts = window.new_version.values();
        self.runs += counts.map(|counts| counts.answered).sum::<f64>();
        if self.runs > 0.0 {
            let baseline = window.baseline.values();
            self.old_runs += baseline.map(|counts| counts.answered).sum::<f64>();
            self.span += window.span;
        }
    }

    /// Returns whether the runs suffice to judge the version, given the time limit of the rollout
    /// and the intended share of calls.
    fn is_sufficient(&self, within: Duration, share: f64) -> bool {
        let min_time = within
            .mul_f64(MIN_OBSERVED_TIME_SHARE)
            .max(MIN_OBSERVED_TIME);
        let low_traffic_time = within.mul_f64(LOW_TRAFFIC_TIME_SHARE);
        let has_enough_runs = self.span >= min_time && self.runs >= MIN_RUNS
            || self.span >= low_traffic_time && self.runs >= LOW_TRAFFIC_MIN_RUNS;
        has_enough_runs && self.runs >= self.old_runs * share * MIN_SHARE_RATIO
    }
}

/// Inputs for the decision on the next step.
#[derive(Debug, Clone)]
pub struct RolloutSituation {
    /// Current phase.
    pub phase: rollout::RolloutPhase,
    /// Maximum share of calls that the new version gets in this phase.
    pub share: f64,
    /// Time limit, counted from the order.
    pub within: Duration,
    /// Time since the order; `None` if this leader cannot know it.
    pub elapsed: Option<Duration>,
    /// Time since the phase came into force on this process.
    pub time_in_phase: Duration,
    /// Evidence against the new version, if there is enough.
    pub finding: Option<verdict::RolloutFinding>,
    /// Runs that have been evaluated.
    pub observed: ObservedRuns,
    /// Slots of both versions.
    pub slots: cohort::SlotCount,
    /// Number of known nodes.
    pub known_nodes: usize,
    /// Number of reachable nodes that do not have the phase in force.
    pub nodes_behind: usize,
    /// Number of calls that run or wait at old targets.
    pub old_in_flight: u32,
}

/// A transition to another phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStep {
    /// Phase to enter.
    pub phase: rollout::RolloutPhase,
    /// Maximum share of calls that the new version gets in that phase, in thousandths.
    pub share_permille: u32,
    /// Reason for the transition, as shown to operators.
    pub reason: String,
}

/// Returns the next step if one is due.
pub fn next_step(situation: &RolloutSituation) -> Option<RolloutStep> {
    let Some(elapsed) = situation.elapsed else {
        let reason = "the controls were restarted and do not know how long it has gone on";
        return Some(roll_back(reason.into()));
    };
    if let Some(finding) = &situation.finding {
        return Some(roll_back(finding.to_string()));
    }
    let remaining = situation.within.saturating_sub(elapsed);
    let shift = shift_time(situation.within);
    match situation.phase {
        _ if remaining <= ROLLOUT_END_MARGIN => Some(final_step(situation)),
        rollout::RolloutPhase::Trial
            if remaining <= shift
                && has_enough_slots(situation)
                && is_sufficiently_observed(situation) =>
        {
            let reason = format!("nothing found against it in {:.1} s", elapsed.as_secs_f64());
            Some(RolloutStep {
                phase: rollout::RolloutPhase::Widening,
                share_permille: WIDENING_PERMILLE,
                reason,
            })
        }
        rollout::RolloutPhase::Widening
            if situation.time_in_phase >= shift.mul_f64(WIDENING_TIME_SHARE) =>
        {
            (situation.nodes_behind == 0).then(|| RolloutStep {
                phase: rollout::RolloutPhase::Switched,
                share_permille: rollout::FULL_SHARE_PERMILLE,
                reason: "nothing found against it at a wider share".into(),
            })
        }
        rollout::RolloutPhase::Switched
            if situation.time_in_phase >= SETTLE_TIME
                && situation.nodes_behind == 0
                && situation.old_in_flight == 0 =>
        {
            Some(succeed(
                "all calls go to it, and the old targets have none left",
            ))
        }
        _ => None,
    }
}

/// Returns the time reserved for moving the traffic after the trial.
fn shift_time(within: Duration) -> Duration {
    let unbounded = within.mul_f64(SHIFT_TIME_SHARE);
    unbounded
        .clamp(MIN_SHIFT_TIME, MAX_SHIFT_TIME)
        .min(within / 2)
}

/// Returns whether enough runs of the new version were observed. The share check applies only
/// during the trial, since only then do the counts match the share.
fn is_sufficiently_observed(situation: &RolloutSituation) -> bool {
    let is_trial = situation.phase == rollout::RolloutPhase::Trial;
    let share = if is_trial { situation.share } else { 0.0 };
    situation.observed.is_sufficient(situation.within, share)
}

fn has_enough_slots(situation: &RolloutSituation) -> bool {
    let min_slots = f64::from(situation.slots.old) * MIN_SLOT_RATIO;
    situation.slots.new > 0 && f64::from(situation.slots.new) >= min_slots
}

/// Returns the step that ends a rollout whose time limit is reached.
fn final_step(situation: &RolloutSituation) -> RolloutStep {
    let is_switched = situation.phase == rollout::RolloutPhase::Switched;
    let nodes_behind = situation.nodes_behind as f64;
    if is_switched && nodes_behind <= situation.known_nodes as f64 * MAX_LAGGING_NODE_SHARE {
        return succeed("all calls go to it");
    }
    if !has_enough_slots(situation) {
        let slots = situation.slots;
        return roll_back(format!(
            "its targets have {} slots ready, the old ones {}",
            slots.new, slots.old
        ));
    }
    if !is_sufficiently_observed(situation) {
        let observed = situation.observed;
        return roll_back(format!(
            "only {:.0} of its runs were seen, over {:.1} s",
            observed.runs,
            observed.span.as_secs_f64()
        ));
    }
    roll_back("it could not be brought to all nodes in its time".into())
}

fn succeed(reason: &str) -> RolloutStep {
    RolloutStep {
        phase: rollout::RolloutPhase::Succeeded,
        share_permille: rollout::FULL_SHARE_PERMILLE,
        reason: reason.into(),
    }
}

fn roll_back(reason: String) -> RolloutStep {
    RolloutStep {
        phase: rollout::RolloutPhase::RolledBack,
        share_permille: 0,
        reason,
    }
}
