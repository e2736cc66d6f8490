//! Tests of the steps of a rollout, the cohorts of its targets and the evidence that it counts.

use std::time::Duration;

use hazeltiller_catalogue::rollout;
use hazeltiller_engine::{
    calls,
    rollout::{cohort, evidence, plan, tally, verdict},
    routing::table,
};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::rollout as wire;

const ROLLOUT_TIME_LIMIT: Duration = Duration::from_secs(12);

fn entry(phase: rollout::RolloutPhase) -> rollout::RolloutEntry {
    rollout::RolloutEntry {
        name: name("registru"),
        owner: name("operators"),
        class: name("common"),
        order: ids::CatalogueVersion(7),
        to: version("v2"),
        from: vec![version("v1")],
        within_ms: ROLLOUT_TIME_LIMIT.as_millis() as u32,
        phase,
        share_permille: 60,
        reason: String::new(),
    }
}

fn name(text: &str) -> ids::EntryName {
    text.parse().expect("it is a name")
}

fn version(text: &str) -> ids::SoftwareVersion {
    text.parse().expect("it is a version")
}

fn targets(version: &str, count: usize) -> Vec<table::ReadyTarget> {
    let target = |number| {
        let name = format!("{version}-{number}");
        table::ReadyTarget {
            target: name.parse().expect("it is a name"),
            instance: name.parse().expect("it is a name"),
            address: ([10, 0, 0, 1], 7660).into(),
            distance: table::TargetDistance::SameDataCentre,
            is_reachable: true,
            slots: 6,
            incarnation: ids::IncarnationNumber(1),
            version: version.parse().ok(),
            cohort: cohort::TargetCohort::Present,
        }
    };
    (0..count).map(target).collect()
}

fn both_versions(old: usize, new: usize) -> Vec<table::ReadyTarget> {
    let mut all = targets("v1", old);
    all.extend(targets("v2", new));
    all
}

fn count(targets: &[table::ReadyTarget], wanted: cohort::TargetCohort) -> usize {
    let is_wanted = |target: &&table::ReadyTarget| target.cohort == wanted;
    targets.iter().filter(is_wanted).count()
}

fn situation(phase: rollout::RolloutPhase, elapsed: Duration) -> plan::RolloutSituation {
    plan::RolloutSituation {
        phase,
        share: 0.06,
        within: ROLLOUT_TIME_LIMIT,
        elapsed: Some(elapsed),
        time_in_phase: elapsed,
        finding: None,
        observed: plan::ObservedRuns {
            runs: 500.0,
            old_runs: 8000.0,
            span: elapsed,
        },
        slots: cohort::SlotCount { old: 60, new: 60 },
        known_nodes: 20,
        nodes_behind: 0,
        old_in_flight: 0,
    }
}

fn next_phase(situation: &plan::RolloutSituation) -> Option<rollout::RolloutPhase> {
    plan::next_step(situation).map(|step| step.phase)
}

fn finding() -> verdict::RolloutFinding {
    verdict::RolloutFinding {
        kind: verdict::FaultKind::Failing,
        route: Some(name("issue")),
        evaluated: 20,
        bad: 9,
        baseline_share: 0.01,
    }
}

#[test]
fn canaries_loaded_fully() {
    let mut all = both_versions(56, 56);
    let share = cohort::assign(&entry(rollout::RolloutPhase::Trial), &mut all);
    let canaries = count(&all, cohort::TargetCohort::Canary);
    assert_eq!(canaries, 3);
    assert_eq!(count(&all, cohort::TargetCohort::Reserve), 53);
    assert_eq!(count(&all, cohort::TargetCohort::Present), 56);
    let canary_share = share * cohort::CANARY_TRIAL_SHARE / canaries as f64;
    let old_share = 1.0 / (56.0 + 3.0);
    assert!(
        (canary_share - old_share).abs() < 1e-9,
        "{canary_share} of a canary, {old_share} of an old target"
    );
}

#[test]
fn canaries_deterministic() {
    let trial = entry(rollout::RolloutPhase::Trial);
    let names = |mut all: Vec<table::ReadyTarget>| {
        cohort::assign(&trial, &mut all);
        let canary = all
            .into_iter()
            .filter(|target| target.cohort == cohort::TargetCohort::Canary);
        let mut names: Vec<ids::TargetName> = canary.map(|target| target.target).collect();
        names.sort();
        names
    };
    let mut reversed = both_versions(20, 20);
    reversed.reverse();
    assert_eq!(names(both_versions(20, 20)), names(reversed));
}

#[test]
fn rolled_back_unused() {
    let mut all = both_versions(4, 4);
    cohort::assign(&entry(rollout::RolloutPhase::RolledBack), &mut all);
    assert!(
        all.iter()
            .all(|target| target.version == Some(version("v1")))
    );
}

#[test]
fn old_unused_after_success() {
    let mut all = both_versions(4, 4);
    cohort::assign(&entry(rollout::RolloutPhase::Succeeded), &mut all);
    assert!(
        all.iter()
            .all(|target| target.version == Some(version("v2")))
    );
    let mut unversioned = both_versions(0, 4);
    unversioned.extend(targets("", 2));
    cohort::assign(&entry(rollout::RolloutPhase::Succeeded), &mut unversioned);
    assert_eq!(unversioned.len(), 4, "targets without a version are old");
    let mut only_old = targets("v1", 4);
    cohort::assign(&entry(rollout::RolloutPhase::Succeeded), &mut only_old);
    assert_eq!(only_old.len(), 4, "old targets are better than none");
}

#[test]
fn second_try_elsewhere() {
    for cohort in [cohort::CallCohort::Canary, cohort::CallCohort::Reserve] {
        assert_eq!(cohort.after_attempt(), cohort::CallCohort::Old);
        assert_eq!(cohort.fallback(), Some(cohort::CallCohort::Old));
    }
    assert_eq!(cohort::CallCohort::Old.fallback(), None);
}

#[test]
fn steps_in_time() {
    let trial = rollout::RolloutPhase::Trial;
    let at = |seconds| situation(trial, Duration::from_secs_f64(seconds));
    assert_eq!(next_phase(&at(8.0)), None);
    assert_eq!(next_phase(&at(9.2)), Some(rollout::RolloutPhase::Widening));
    let widening = situation(rollout::RolloutPhase::Widening, Duration::from_secs(10));
    assert_eq!(next_phase(&widening), Some(rollout::RolloutPhase::Switched));
    let switched = situation(rollout::RolloutPhase::Switched, Duration::from_secs(11));
    assert_eq!(
        next_phase(&switched),
        Some(rollout::RolloutPhase::Succeeded)
    );
}

#[test]
fn finding_rolls_back() {
    let phases = [
        rollout::RolloutPhase::Trial,
        rollout::RolloutPhase::Widening,
        rollout::RolloutPhase::Switched,
    ];
    for phase in phases {
        let found = plan::RolloutSituation {
            finding: Some(finding()),
            ..situation(phase, Duration::from_secs(3))
        };
        let step = plan::next_step(&found).expect("it is rolled back");
        assert_eq!(step.phase, rollout::RolloutPhase::RolledBack);
        assert_eq!(
            step.reason,
            "9 of 20 runs of route issue failed, 1% of the old version's"
        );
    }
}

#[test]
fn waits_for_old_calls() {
    let switched = rollout::RolloutPhase::Switched;
    let busy = plan::RolloutSituation {
        old_in_flight: 3,
        ..situation(switched, Duration::from_secs(11))
    };
    assert_eq!(next_phase(&busy), None);
    let nodes_behind = plan::RolloutSituation {
        nodes_behind: 1,
        ..situation(switched, Duration::from_secs(11))
    };
    assert_eq!(next_phase(&nodes_behind), None);
}

#[test]
fn missing_slots_reported() {
    let late = plan::RolloutSituation {
        slots: cohort::SlotCount { old: 60, new: 12 },
        ..situation(rollout::RolloutPhase::Trial, Duration::from_secs_f64(11.7))
    };
    let step = plan::next_step(&late).expect("the time limit is reached");
    assert_eq!(step.phase, rollout::RolloutPhase::RolledBack);
    assert_eq!(
        step.reason,
        "its targets have 12 slots ready, the old ones 60"
    );
}

#[test]
fn unknown_elapsed_rolled_back() {
    let lost = plan::RolloutSituation {
        elapsed: None,
        ..situation(rollout::RolloutPhase::Trial, Duration::from_secs(1))
    };
    assert_eq!(next_phase(&lost), Some(rollout::RolloutPhase::RolledBack));
}

#[test]
fn only_answers_counted() {
    let mut table = tally::RunTallyTable::default();
    let target = "t-1".parse().expect("it is a name");
    let trial = entry(rollout::RolloutPhase::Trial);
    let target_tally = table.target_tally(&target, &trial, Some(&trial.to));
    let took = Duration::from_millis(100);
    let route = name("issue");
    for result in [
        calls::RunResult::Done { status: 200 },
        calls::RunResult::Done { status: 500 },
        calls::RunResult::Done { status: 503 },
        calls::RunResult::Declined,
        calls::RunResult::Truncated,
        calls::RunResult::Invalid,
        calls::RunResult::NotConnected,
        calls::RunResult::TimedOut,
        calls::RunResult::CallerGone,
    ] {
        target_tally.record(&route, took, result);
    }
    let (_, _, tally) = table.iter().next().expect("a route had runs");
    assert_eq!((tally.answered, tally.failed), (2, 1));
    let bucket = wire::latency_bucket(took);
    assert_eq!((tally.times[bucket], tally.given_up[bucket]), (2, 2));
}

#[test]
fn new_version_restarts_count() {
    let mut table = tally::RunTallyTable::default();
    let target: ids::TargetName = "t-1".parse().expect("it is a name");
    let trial = entry(rollout::RolloutPhase::Trial);
    let route = name("issue");
    for version in ["v1", "v2"] {
        let version = self::version(version);
        let target_tally = table.target_tally(&target, &trial, Some(&version));
        target_tally.record(
            &route,
            Duration::ZERO,
            calls::RunResult::Done { status: 200 },
        );
    }
    let runs: Vec<u32> = table.iter().map(|(_, _, tally)| tally.answered).collect();
    assert_eq!(runs, [1]);
}

fn tally(target: &str, sequence: u64, in_flight: u32) -> wire::TargetTally {
    wire::TargetTally {
        service: name("registru"),
        order: ids::CatalogueVersion(7),
        target: target.parse().expect("it is a name"),
        version: Some(version("v1")),
        stamp: (ids::IncarnationNumber(1), sequence),
        in_flight,
        is_failing: false,
        routes: Vec::new(),
    }
}

#[test]
fn stale_report_not_trusted() {
    let at = |millis: u64| time::MonotonicTime(millis * 1000);
    let mut evidence = evidence::RolloutEvidence::default();
    evidence.record_tally(tally("t-1", 1, 0), at(900));
    let in_flight = |evidence: &evidence::RolloutEvidence, now| {
        evidence.old_in_flight(&version("v2"), at(1000), at(now))
    };
    assert_eq!(
        in_flight(&evidence, 1200),
        1,
        "it may have got a call since the report"
    );
    evidence.record_tally(tally("t-1", 2, 2), at(1300));
    assert_eq!(in_flight(&evidence, 1400), 2);
    evidence.record_tally(tally("t-1", 3, 0), at(1600));
    assert_eq!(in_flight(&evidence, 1700), 0);
    evidence.record_tally(tally("t-2", 1, 4), at(950));
    assert_eq!(in_flight(&evidence, 1700), 1);
    assert_eq!(in_flight(&evidence, 9000), 0, "its node is presumed gone");
}

#[test]
fn unobserved_not_widened() {
    let trial = rollout::RolloutPhase::Trial;
    let at = |seconds, runs, span| plan::RolloutSituation {
        observed: plan::ObservedRuns {
            runs,
            old_runs: runs * 16.0,
            span: Duration::from_secs_f64(span),
        },
        ..situation(trial, Duration::from_secs_f64(seconds))
    };
    // Targets that have just appeared or are still cold have shown nothing.
    assert_eq!(next_phase(&at(9.5, 0.0, 0.0)), None);
    assert_eq!(next_phase(&at(9.5, 400.0, 1.0)), None);
    assert_eq!(
        next_phase(&at(9.5, 400.0, 2.5)),
        Some(rollout::RolloutPhase::Widening)
    );
    // For a service with few calls, fewer runs suffice after a longer time.
    assert_eq!(next_phase(&at(9.5, 6.0, 3.0)), None);
    assert_eq!(
        next_phase(&at(9.5, 6.0, 5.0)),
        Some(rollout::RolloutPhase::Widening)
    );
    let step = plan::next_step(&at(11.7, 12.0, 1.5)).expect("the time limit is reached");
    assert_eq!(step.phase, rollout::RolloutPhase::RolledBack);
    assert_eq!(step.reason, "only 12 of its runs were seen, over 1.5 s");
}

#[test]
fn starved_canaries_not_widened() {
    let trial = rollout::RolloutPhase::Trial;
    let starved = plan::RolloutSituation {
        observed: plan::ObservedRuns {
            runs: 60.0,
            old_runs: 8000.0,
            span: Duration::from_secs(8),
        },
        ..situation(trial, Duration::from_secs_f64(9.5))
    };
    assert_eq!(next_phase(&starved), None);
}

#[test]
fn ejected_canaries_rolled_back() {
    let mut evidence = evidence::RolloutEvidence::default();
    let mut record_tally = |target: &str, text: &str, is_failing| {
        let route = wire::RouteTally {
            answered: 9,
            ..wire::RouteTally::new(name("issue"))
        };
        let report = wire::TargetTally {
            version: Some(version(text)),
            is_failing,
            routes: vec![route],
            ..tally(target, 1, 0)
        };
        evidence.record_tally(report, time::MonotonicTime(1));
        evidence.finding(&version("v2"))
    };
    for old in ["a", "b", "c", "d"] {
        assert_eq!(record_tally(old, "v1", old == "a"), None);
    }
    assert_eq!(
        record_tally("e", "v2", true),
        None,
        "one machine may be at fault"
    );
    let found = record_tally("f", "v2", true).expect("two of two targets are unhealthy");
    let text = "2 of 2 targets are unhealthy, 25% of the old version's";
    assert_eq!(found.to_string(), text);
}

#[test]
fn old_versions_completed() {
    let ordered = rollout::RolloutEntry {
        from: Vec::new(),
        ..entry(rollout::RolloutPhase::Succeeded)
    };
    let versions = ["v1", "v2", "v1"].map(version).to_vec();
    let ended = ordered.with_old_versions(versions);
    assert_eq!(ended.from, [version("v1")]);
    let mut all = both_versions(4, 4);
    cohort::assign(&ended, &mut all);
    assert!(
        all.iter()
            .all(|target| target.version == Some(version("v2")))
    );
}
