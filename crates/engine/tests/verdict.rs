//! Tests of the verdict on new versions, with seeded runs on machines some of which become slow or
//! fail.

use std::time::Duration;

use hazeltiller_catalogue::rollout;
use hazeltiller_engine::rollout::verdict;
use hazeltiller_testkit::rollouts;

/// Number of rollouts that are simulated for each fault.
const SEED_COUNT: u64 = 200;
/// Minimum share of the rollouts that must be judged correctly.
const MIN_CORRECT_SHARE: f64 = 0.99;
/// Maximum share of a service's calls that a bad version may have had by the time limit.
const MAX_BAD_VERSION_CALL_SHARE: f64 = 0.1;
/// Number of calls that a bad version may have had in addition.
const BAD_VERSION_SLACK_CALLS: f64 = 50.0;

fn scenario(seed: u64, fault: rollouts::VersionFault) -> rollouts::RolloutScenario {
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

/// Simulates a rollout with this fault for each seed.
fn outcomes(fault: rollouts::VersionFault) -> Vec<rollouts::RolloutOutcome> {
    let simulate = |seed| {
        let mut judge = verdict::SequentialJudge::default();
        rollouts::simulate(scenario(seed, fault), &mut judge)
    };
    (0..SEED_COUNT).map(simulate).collect()
}

/// Checks that rollouts with this fault end in `phase`, and that a bad version got few calls.
fn check(fault: rollouts::VersionFault, phase: rollout::RolloutPhase) {
    let outcomes = outcomes(fault);
    let correct = outcomes.iter().filter(|outcome| outcome.phase == phase);
    let share = correct.count() as f64 / SEED_COUNT as f64;
    assert!(
        share >= MIN_CORRECT_SHARE,
        "{fault:?}: {share} judged correctly"
    );
    if fault == rollouts::VersionFault::None {
        return;
    }
    for (seed, outcome) in outcomes.iter().enumerate() {
        let bound = outcome.runs as f64 * MAX_BAD_VERSION_CALL_SHARE + BAD_VERSION_SLACK_CALLS;
        let new_version_runs = outcome.new_version_runs as f64;
        assert!(
            new_version_runs <= bound,
            "{fault:?}, seed {seed}: {outcome:?}"
        );
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
