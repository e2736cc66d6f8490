//! Tests of the verdict on new versions, with seeded runs on machines some of which become slow or
//! fail.

use std::time::Duration;

use hazeltiller_catalogue::rollout;
use hazeltiller_engine::rollout::verdict;
use hazeltiller_testkit::rollouts;

const SEEDS: u64 = 200;
/// Minimum share of the rollouts that must be judged correctly.
const MIN_CORRECT_SHARE: f64 = 0.99;
/// Maximum share of a service's calls that a bad version may have had by the time limit.
const MAX_CALL_SHARE: f64 = 0.1;
/// Number of calls that it may have had in addition.
const CALL_SLACK: f64 = 50.0;

fn scene(seed: u64, fault: rollouts::VersionFault) -> rollouts::RolloutScenario {
    rollouts::RolloutScenario {
        seed,
        fault,
        fault_share: 0.35,
        targets: 56,
        rate: 400.0,
        within: Duration::from_secs(12),
        has_disturbances: true,
    }
}

fn outcomes(fault: rollouts::VersionFault) -> Vec<rollouts::RolloutOutcome> {
    let play = |seed| {
        let mut judge = verdict::SequentialJudge::default();
        rollouts::simulate(scene(seed, fault), &mut judge)
    };
    (0..SEEDS).map(play).collect()
}

fn check(fault: rollouts::VersionFault, phase: rollout::RolloutPhase) {
    let outcomes = outcomes(fault);
    let correct = outcomes.iter().filter(|outcome| outcome.phase == phase);
    let share = correct.count() as f64 / SEEDS as f64;
    assert!(
        share >= MIN_CORRECT_SHARE,
        "{fault:?}: {share} judged correctly"
    );
    if fault == rollouts::VersionFault::None {
        return;
    }
    for (seed, outcome) in outcomes.iter().enumerate() {
        let bound = outcome.runs as f64 * MAX_CALL_SHARE + CALL_SLACK;
        let coming = outcome.new_version_runs as f64;
        assert!(coming <= bound, "{fault:?}, seed {seed}: {outcome:?}");
    }
}

#[test]
fn good_succeeds() {
    let phase = rollout::RolloutPhase::Succeeded;
    check(rollouts::VersionFault::None, phase);
}

#[test]
fn errors_rolled_back() {
    let phase = rollout::RolloutPhase::RolledBack;
    check(rollouts::VersionFault::Errors, phase);
}

#[test]
fn slow_rolled_back() {
    let phase = rollout::RolloutPhase::RolledBack;
    check(rollouts::VersionFault::Slow, phase);
}

#[test]
fn one_route_detected() {
    let phase = rollout::RolloutPhase::RolledBack;
    check(rollouts::VersionFault::OneRoute, phase);
}

#[test]
fn late_fault_detected() {
    let phase = rollout::RolloutPhase::RolledBack;
    check(rollouts::VersionFault::Late, phase);
}

#[test]
fn load_fault_detected() {
    let phase = rollout::RolloutPhase::RolledBack;
    check(rollouts::VersionFault::UnderLoad, phase);
}
