//! Targets that name limits or leave while their owner node restarts, is paused and is cut off, over
//! many seeds. The rules are checked on what the targets got.
//!
//! `HAZELTILLER_SIGNAL_SEEDS=60` runs that many seeds instead of the default number.

use std::time::Duration;

use hazeltiller_engine::signals;
use hazeltiller_testkit::model;
use hazeltiller_units::{measure, time};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

const DEFAULT_SEED_COUNT: u64 = 12;
const INGRESSES: usize = 6;
/// One-way latency between nodes.
const LINK: Duration = Duration::from_millis(1);
/// Time that a call may wait in a queue, as the classes allow.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(500);
/// Time after the first naming of a limit from which it must be kept.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Length of the sliding windows.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from which a node that passed a limit on is held to it.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Time after which a node that passed a leaving notice on sends the target nothing.
const LEAVING_TIME: Duration = Duration::from_secs(2);
/// Largest share of the calls that a limit may cost while the other targets have room.
const MAX_LOSS: f64 = 0.03;
/// Smallest share of the calls that one of two equal targets gets, half of an even one.
const MIN_SHARE: f64 = 0.25;
const NAMED_AT: Duration = Duration::from_secs(2);
const SPAN: Duration = Duration::from_secs(24);

/// Returns the seeds to run.
fn seeds() -> std::ops::Range<u64> {
    let configured = std::env::var("HAZELTILLER_SIGNAL_SEEDS").ok();
    let count = configured.map(|count| count.parse().expect("the number of seeds"));
    0..count.unwrap_or(DEFAULT_SEED_COUNT)
}

fn entries() -> Value {
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter", "rank": 1,
         "limits": {"queue_ms": 500}},
        {"kind": "class", "name": "batch", "owner": "registru", "class": "counter", "rank": 5,
         "limits": {"queue_ms": 500}},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
         "limits": {"queue": 8}},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/"}, "idempotent": true,
         "limits": {"deadline_ms": 2000}, "target_latency_ms": 500},
        {"kind": "route", "name": "night", "owner": "registru", "class": "batch",
         "service": "registru", "match": {"path_prefix": "/night"}, "idempotent": true,
         "limits": {"deadline_ms": 2000}, "target_latency_ms": 500},
    ])
}

fn target() -> model::ModelTarget {
    model::ModelTarget {
        service_name: "registru",
        slots: 6,
        announced_slots: 6,
        mean_run_time: Duration::from_millis(60),
        queue_capacity: 4,
        is_broken: false,
    }
}

fn new_model(seed: u64, targets: usize) -> model::CallModel {
    model::CallModel::new(model::ModelSettings {
        seed,
        ingresses: INGRESSES,
        targets: vec![target(); targets],
        entries: entries(),
        link: LINK,
        policy: model::BalancingPolicy::Reducer,
    })
}

fn naming(limit: Option<f64>) -> signals::ResponseSignals {
    let rate = limit.map(|limit| measure::RequestRate::try_from(limit).expect("a valid rate"));
    signals::ResponseSignals {
        rate_limit: rate.map_or(signals::SignalValue::Absent, signals::SignalValue::Present),
        ..signals::ResponseSignals::default()
    }
}

fn leaving() -> signals::ResponseSignals {
    signals::ResponseSignals {
        leaving: signals::SignalValue::Present(()),
        ..signals::ResponseSignals::default()
    }
}

/// Limits that a target names, each from a time on.
type LimitScript = Vec<(Duration, Option<f64>)>;

/// Schedules the limits and a series of overlapping faults of the owner node.
fn schedule(model: &mut model::CallModel, script: &LimitScript, random: &mut StdRng) {
    for (at, limit) in script {
        let signals = model::TargetFault::Signals(naming(*limit));
        model.schedule_fault(*at, 0, signals);
    }
    for _ in 0..6 {
        let at = Duration::from_millis(random.random_range(2000..20_000));
        let span = Duration::from_millis(random.random_range(50..2500));
        let fault = match random.random_range(0..4) {
            0 => model::TargetFault::OwnerPaused(span),
            1 => model::TargetFault::OwnerCut(span),
            _ => model::TargetFault::OwnerRestarted,
        };
        model.schedule_fault(at, 0, fault);
    }
}

/// Returns what a limit that the target named allows in a window; `None` if it named none at some
/// time of it.
fn allowed(script: &LimitScript, start: Duration) -> Option<f64> {
    let end = start + WINDOW;
    let mut requests = 0.0;
    for (index, (from, limit)) in script.iter().enumerate() {
        let until = script.get(index + 1).map_or(Duration::MAX, |next| next.0);
        let overlap = until.min(end).saturating_sub(start.max(*from));
        if !overlap.is_zero() {
            requests += (*limit)? * overlap.as_secs_f64();
        }
    }
    Some(1.5 * requests + 5.0)
}

fn since_start(at: time::MonotonicTime) -> Duration {
    at.since(time::MonotonicTime::default())
}

/// Asserts that in each window the nodes that had passed a limit on kept within it. Returns the number of
/// windows.
fn check_limit(model: &model::CallModel, script: &LimitScript, seed: u64) -> usize {
    let told: Vec<Option<Duration>> = (0..INGRESSES)
        .map(|ingress| {
            let mut responses = model.signalled().iter();
            let first = responses.find(|response| {
                response.target == 0
                    && response.ingress == ingress
                    && response.signals.rate_limit != signals::SignalValue::Absent
            });
            first.map(|response| since_start(response.at) + TOLD_TIME)
        })
        .collect();
    let arrivals = model
        .arrivals()
        .iter()
        .filter(|arrival| arrival.target == 0);
    let counted: Vec<Duration> = arrivals
        .filter(|arrival| {
            let at = since_start(arrival.at);
            told[arrival.ingress].is_some_and(|told| at >= told)
        })
        .map(|arrival| since_start(arrival.at))
        .collect();
    let mut windows = 0;
    for start in counted.iter().filter(|at| **at >= NAMED_AT + SETTLING_TIME) {
        let Some(allowed) = allowed(script, *start) else {
            continue;
        };
        let in_window = |at: &&Duration| **at >= *start && **at < *start + WINDOW;
        let count = counted.iter().filter(in_window).count();
        assert!(
            count as f64 <= allowed,
            "seed {seed}: {count} requests in the 4 s from {start:?}, allowed {allowed}"
        );
        windows += 1;
    }
    windows
}

fn check_series(script: &LimitScript) {
    let mut windows = 0;
    for seed in seeds() {
        let run = |script: &LimitScript| {
            let mut model = new_model(seed, 3);
            let mut random = StdRng::seed_from_u64(seed);
            schedule(&mut model, script, &mut random);
            let stats = model.run(&[model::CallKind::plain("/", 60.0)], SPAN);
            let served = stats[0].good as f64 / stats[0].sent as f64;
            (model, served)
        };
        let (model, served) = run(script);
        let (_, served_unlimited) = run(&Vec::new());
        windows += check_limit(&model, script, seed);
        assert!(
            served > served_unlimited - MAX_LOSS,
            "seed {seed}: {served} of the calls served, {served_unlimited} without a limit"
        );
    }
    assert!(windows > 0, "the limited target is still used");
}

#[test]
fn high_limit_kept() {
    check_series(&vec![(NAMED_AT, Some(21.0))]);
}

#[test]
fn low_limit_kept() {
    check_series(&vec![(NAMED_AT, Some(2.1))]);
}

#[test]
fn limit_below_one() {
    check_series(&vec![(NAMED_AT, Some(0.3))]);
}

#[test]
fn limit_of_zero() {
    check_series(&vec![(NAMED_AT, Some(0.0))]);
}

#[test]
fn limit_lowered() {
    let lowered = Duration::from_secs(9);
    check_series(&vec![(NAMED_AT, Some(21.0)), (lowered, Some(2.1))]);
}

#[test]
fn limit_ended_and_renamed() {
    let (ended, renamed) = (Duration::from_secs(8), Duration::from_secs(12));
    check_series(&vec![
        (NAMED_AT, Some(5.0)),
        (ended, None),
        (renamed, Some(2.1)),
    ]);
}

#[test]
fn recovered_target_used() {
    for seed in seeds() {
        let mut model = new_model(seed, 2);
        let ended = Duration::from_secs(10);
        model.schedule_fault(NAMED_AT, 0, model::TargetFault::Signals(naming(Some(0.0))));
        model.schedule_fault(ended, 0, model::TargetFault::Signals(naming(None)));
        model.run(&[model::CallKind::plain("/", 60.0)], SPAN);
        // A limit of zero shows to be over in the next request that is sent to find that out, and
        // no node holds back longer than it was told to.
        let from = ended + 2 * WINDOW + TOLD_TIME;
        let arrivals = model.arrivals().iter();
        let recent = arrivals.filter(|arrival| since_start(arrival.at) >= from);
        let counts = recent.fold([0, 0], |mut counts, arrival| {
            counts[arrival.target] += 1;
            counts
        });
        let share = f64::from(counts[0]) / f64::from(counts[0] + counts[1]);
        assert!(
            share > MIN_SHARE,
            "seed {seed}: the recovered target gets {share}"
        );
    }
}

#[test]
fn leaving_target_avoided() {
    for seed in seeds() {
        let run = |signals: signals::ResponseSignals| {
            let mut model = new_model(seed, 3);
            let mut random = StdRng::seed_from_u64(seed);
            schedule(&mut model, &Vec::new(), &mut random);
            model.schedule_fault(NAMED_AT, 0, model::TargetFault::Signals(signals));
            let stats = model.run(&[model::CallKind::plain("/", 60.0)], SPAN);
            let served = stats[0].good as f64 / stats[0].sent as f64;
            (model, served)
        };
        let (model, served) = run(leaving());
        let (_, served_staying) = run(naming(None));
        let told: Vec<_> = model
            .signalled()
            .iter()
            .filter(|response| response.signals == leaving())
            .collect();
        assert!(!told.is_empty(), "seed {seed}: the notice was passed on");
        for arrival in model
            .arrivals()
            .iter()
            .filter(|arrival| arrival.target == 0)
        {
            let first = told.iter().find(|told| told.ingress == arrival.ingress);
            assert!(
                first.is_none_or(|told| arrival.at <= told.at + LEAVING_TIME),
                "seed {seed}: a request from node {} at {:?}",
                arrival.ingress,
                arrival.at
            );
        }
        assert!(
            served > served_staying - MAX_LOSS,
            "seed {seed}: {served} of the calls served, {served_staying} if the target stays"
        );
    }
}

/// All targets of a service name limits, together 15 a second, and callers ask for 60: the better
/// class is served, the rest of the limits is used, and the excess is refused soon.
#[test]
fn limited_service_shared() {
    for seed in seeds() {
        let mut model = new_model(seed, 3);
        for target in 0..3 {
            let signals = model::TargetFault::Signals(naming(Some(5.0)));
            model.schedule_fault(Duration::ZERO, target, signals);
        }
        let kinds = [
            model::CallKind::plain("/", 8.0),
            model::CallKind::plain("/night", 52.0),
        ];
        let phases = vec![(kinds.to_vec(), 2 * WINDOW), (kinds.to_vec(), SPAN)];
        let stats = &model.run_phases(phases)[1];
        let [better, lesser] = [&stats[0], &stats[1]];
        let share = better.good as f64 / better.sent as f64;
        assert!(share > 0.9, "seed {seed}: {share} of the better class");
        let total = (better.good + lesser.good) as f64;
        let limit = 15.0 * SPAN.as_secs_f64();
        assert!(
            total > 0.9 * limit,
            "seed {seed}: {total} of {limit} served"
        );
        let refusal_time = |quantile| Duration::from_micros(lesser.refusal_quantile(quantile));
        assert!(refusal_time(0.5) < LINK * 10, "seed {seed}: refused late");
        assert!(refusal_time(0.99) <= MAX_QUEUE_TIME, "seed {seed}: kept");
    }
}
