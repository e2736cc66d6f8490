//! The steps of a roll-out by time and evidence.
//!
//! A version that turns bad late must not have had too many calls by then: the share stays small
//! for most of the time, and the rest of the move is quick. What was counted before the time limit
//! bounds what a bad version can have had.

use std::time::Duration;

use hazeltiller_catalogue::rollout;

use super::{cohort, verdict};

/// Part of the time, before its limit, that the move after the trial is given.
const MOVE_PART: f64 = 0.25;
/// Shortest and longest time that the move is given.
const SHORTEST_MOVE: Duration = Duration::from_millis(2500);
const LONGEST_MOVE: Duration = Duration::from_secs(60);
/// Part of the move that the wider share lasts.
const WIDE_PART: f64 = 0.3;
/// Share of the calls that the new version gets then, in thousandths.
const WIDE_PERMILLE: u32 = 300;
/// Time before the limit at which the roll-out ends, one way or the other.
const LAST_MARGIN: Duration = Duration::from_millis(500);
/// Time that all calls go to the new version before the old targets may stop.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Slots that the new version must have of those of the old one.
const ENOUGH_SLOTS: f64 = 0.8;
/// Part of the nodes that may still be on their way to the last step when the time is over.
const STRAGGLERS: f64 = 0.1;

/// Time and runs for which a version was watched, at the least, before it gets more calls.
const LEAST_WATCH: Duration = Duration::from_secs(2);
const LEAST_WATCH_PART: f64 = 0.125;
const LEAST_RUNS: f64 = 30.0;
/// Part of its share of the calls that it must have had: less means that its targets take none.
const LEAST_OF_SHARE: f64 = 0.25;
/// The same for a service with few calls.
const LONG_WATCH_PART: f64 = 0.33;
const FEWEST_RUNS: f64 = 5.0;

/// Runs of the new version that were weighed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ObservedRuns {
    /// How many.
    pub runs: f64,
    /// Runs of the old version beside them.
    pub present: f64,
    /// Time since the first.
    pub span: Duration,
}

impl ObservedRuns {
    /// Adds what a judge has weighed.
    pub fn record(&mut self, window: &verdict::RunWindow) {
        let counts = window.coming.values();
        self.runs += counts.map(|counts| counts.answered).sum::<f64>();
        if self.runs > 0.0 {
            let present = window.present.values();
            self.present += present.map(|counts| counts.answered).sum::<f64>();
            self.span += window.span;
        }
    }

    /// Whether it is enough to judge by, given the time of the roll-out and the share of the calls.
    fn is_enough(&self, within: Duration, share: f64) -> bool {
        let short = within.mul_f64(LEAST_WATCH_PART).max(LEAST_WATCH);
        let long = within.mul_f64(LONG_WATCH_PART);
        let is_long_enough = self.span >= short && self.runs >= LEAST_RUNS
            || self.span >= long && self.runs >= FEWEST_RUNS;
        is_long_enough && self.runs >= self.present * share * LEAST_OF_SHARE
    }
}

/// What the next step is decided on.
#[derive(Debug, Clone)]
pub struct RolloutSituation {
    /// Its phase.
    pub phase: rollout::RolloutPhase,
    /// Largest share of the calls that the new version takes in it.
    pub share: f64,
    /// Time from the order to the limit.
    pub within: Duration,
    /// Time since the order; absent where this leader cannot know it.
    pub elapsed: Option<Duration>,
    /// Time since the phase came into force here.
    pub time_in_phase: Duration,
    /// What speaks against the new version.
    pub finding: Option<verdict::RolloutFinding>,
    /// How much of the new version was seen.
    pub observed: ObservedRuns,
    /// Slots of both versions.
    pub slots: cohort::SlotCount,
    /// Nodes that are known.
    pub known_nodes: usize,
    /// Those of them that can be reached and do not have the phase in force.
    pub nodes_behind: usize,
    /// Calls that run or wait at old targets.
    pub old_in_flight: u32,
}

/// A step to the next phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStep {
    /// The phase.
    pub phase: rollout::RolloutPhase,
    /// Largest share of the calls that the new version takes in it, in thousandths.
    pub share_permille: u32,
    /// Why.
    pub reason: String,
}

/// The next step, if it is time for one.
pub fn next_step(situation: &RolloutSituation) -> Option<RolloutStep> {
    let Some(elapsed) = situation.elapsed else {
        let reason = "the controls were restarted and do not know how long it has gone on";
        return Some(take_back(reason.into()));
    };
    if let Some(finding) = &situation.finding {
        return Some(take_back(finding.to_string()));
    }
    let left = situation.within.saturating_sub(elapsed);
    let span = move_time(situation.within);
    match situation.phase {
        _ if left <= LAST_MARGIN => Some(last_step(situation)),
        rollout::RolloutPhase::Trial
            if left <= span && has_slots(situation) && is_watched(situation) =>
        {
            let reason = format!("nothing found against it in {:.1} s", elapsed.as_secs_f64());
            Some(RolloutStep {
                phase: rollout::RolloutPhase::Widening,
                share_permille: WIDE_PERMILLE,
                reason,
            })
        }
        rollout::RolloutPhase::Widening if situation.time_in_phase >= span.mul_f64(WIDE_PART) => {
            (situation.nodes_behind == 0).then(|| RolloutStep {
                phase: rollout::RolloutPhase::Switched,
                share_permille: rollout::WHOLE_PERMILLE,
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

/// Time for the move after the trial.
fn move_time(within: Duration) -> Duration {
    let part = within.mul_f64(MOVE_PART);
    part.clamp(SHORTEST_MOVE, LONGEST_MOVE).min(within / 2)
}

/// Whether enough of the new version was seen. What it had on trial is held against the share of then.
fn is_watched(situation: &RolloutSituation) -> bool {
    let is_trial = situation.phase == rollout::RolloutPhase::Trial;
    let share = if is_trial { situation.share } else { 0.0 };
    situation.observed.is_enough(situation.within, share)
}

fn has_slots(situation: &RolloutSituation) -> bool {
    let wanted = f64::from(situation.slots.old) * ENOUGH_SLOTS;
    situation.slots.new > 0 && f64::from(situation.slots.new) >= wanted
}

/// How a roll-out ends whose time is over.
fn last_step(situation: &RolloutSituation) -> RolloutStep {
    let is_switched = situation.phase == rollout::RolloutPhase::Switched;
    let nodes_behind = situation.nodes_behind as f64;
    if is_switched && nodes_behind <= situation.known_nodes as f64 * STRAGGLERS {
        return succeed("all calls go to it");
    }
    if !has_slots(situation) {
        let slots = situation.slots;
        return take_back(format!(
            "its targets have {} slots ready, the old ones {}",
            slots.new, slots.old
        ));
    }
    if !is_watched(situation) {
        let observed = situation.observed;
        return take_back(format!(
            "only {:.0} of its runs were seen, over {:.1} s",
            observed.runs,
            observed.span.as_secs_f64()
        ));
    }
    take_back("it could not be brought to all nodes in its time".into())
}

fn succeed(reason: &str) -> RolloutStep {
    RolloutStep {
        phase: rollout::RolloutPhase::Succeeded,
        share_permille: rollout::WHOLE_PERMILLE,
        reason: reason.into(),
    }
}

fn take_back(reason: String) -> RolloutStep {
    RolloutStep {
        phase: rollout::RolloutPhase::RolledBack,
        share_permille: 0,
        reason,
    }
}
