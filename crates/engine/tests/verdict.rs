//! Judging of new versions on seeded runs, beside machines that turn slow or fail.

use std::time::Duration;

use hazeltiller_catalogue::rollout;
use hazeltiller_engine::rollout::verdict;
use hazeltiller_testkit::rollouts;

const SEEDS: u64 = 200;
/// Share of the roll-outs that are to be judged right.
const RIGHT_SHARE: f64 = 0.99;
/// Share of a service's calls that a bad version may have had by the limit.
const CANARY_SHARE: f64 = 0.1;
/// Calls that it may have had besides.
const CANARY_SLACK: f64 = 50.0;

fn scene(seed: u64, fault: rollouts::VersionFault) -> rollouts::RolloutScene {
    rollouts::RolloutScene {
        seed,
        fault,
        share: 0.35,
        targets: 56,
        rate: 400.0,
        within: Duration::from_secs(12),
        is_troubled: true,
    }
}

fn outcomes(fault: rollouts::VersionFault) -> Vec<rollouts::RolloutOutcome> {
    let play = |seed| {
        let mut judge = verdict::SequentialJudge::default();
        rollouts::play(scene(seed, fault), &mut judge)
    };
    (0..SEEDS).map(play).collect()
}

fn check(fault: rollouts::VersionFault, phase: rollout::RolloutPhase) {
    let outcomes = outcomes(fault);
    let right = outcomes.iter().filter(|outcome| outcome.phase == phase);
    let share = right.count() as f64 / SEEDS as f64;
    assert!(share >= RIGHT_SHARE, "{fault:?}: {share} judged right");
    if fault == rollouts::VersionFault::None {
        return;
    }
    for (seed, outcome) in outcomes.iter().enumerate() {
        let bound = outcome.runs as f64 * CANARY_SHARE + CANARY_SLACK;
        let coming = outcome.coming as f64;
        assert!(coming <= bound, "{fault:?}, seed {seed}: {outcome:?}");
    }
}

#[test]
fn good_goes_through() {
    let phase = rollout::RolloutPhase::Succeeded;
    check(rollouts::VersionFault::None, phase);
}

#[test]
fn errors_taken_back() {
    let phase = rollout::RolloutPhase::RolledBack;
    check(rollouts::VersionFault::Errors, phase);
}

#[test]
fn slow_taken_back() {
    let phase = rollout::RolloutPhase::RolledBack;
    check(rollouts::VersionFault::Slow, phase);
}

#[test]
fn one_route_seen() {
    let phase = rollout::RolloutPhase::RolledBack;
    check(rollouts::VersionFault::OneRoute, phase);
}

#[test]
fn late_fault_seen() {
    let phase = rollout::RolloutPhase::RolledBack;
    check(rollouts::VersionFault::Late, phase);
}

#[test]
fn load_fault_seen() {
    let phase = rollout::RolloutPhase::RolledBack;
    check(rollouts::VersionFault::UnderLoad, phase);
}
