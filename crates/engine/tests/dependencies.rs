//! Runs whose own calls are refused hold slots for nothing: such calls go first, and runs whose
//! calls cannot be had do not begin.

use std::{sync::LazyLock, time::Duration};

use hazeltiller_engine::calls;
use hazeltiller_testkit::{model, node};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use serde_json::{Value, json};

/// Target latency of lookups and issues.
const TARGET_LATENCY: Duration = Duration::from_millis(800);
/// Duration of the phases that are compared.
const PHASE_TIME: Duration = Duration::from_secs(10);
/// Time in which calls flow again once there is room.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Returns entries in which lookups go to `registru` and call `arhiva` twice each, and issues go to
/// `arhiva` in a more urgent class.
fn entries() -> Value {
    let class = |name: &str, rank: u32| {
        json!({"kind": "class", "name": name, "owner": "registru", "class": "urgent", "rank": rank,
               "limits": {"queue_ms": 60_000}})
    };
    let service = |name: &str| {
        json!({"kind": "service", "name": name, "owner": "registru", "class": "urgent",
               "limits": {"queue": 200}})
    };
    let route = |name: &str, class: &str, service: &str, cost: u32, latency_ms: [u32; 2]| {
        json!({"kind": "route", "name": name, "owner": "registru", "class": class, "service": service,
               "match": {"path_prefix": format!("/{name}/")}, "idempotent": true,
               "costs": [{"path_prefix": "/", "methods": ["GET"], "cost": cost}],
               "target_latency_ms": latency_ms[0], "limits": {"deadline_ms": latency_ms[1]}})
    };
    json!([
        class("urgent", 1),
        class("common", 2),
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "urgent"},
        service("registru"),
        service("arhiva"),
        route("lookup", "common", "registru", 20, [800, 2000]),
        route("renewal", "common", "registru", 20, [800, 2000]),
        route("issue", "urgent", "arhiva", 24, [800, 2500]),
        route("detail", "common", "arhiva", 4, [200, 600]),
    ])
}

/// Returns calls of lookups and issues at these rates, per second, and renewals.
fn kinds(lookups: f64, issues: f64) -> Vec<model::CallKind> {
    let caller_policy = model::CallerPolicy {
        retries: 1,
        timeout: Some(Duration::from_secs(3)),
        ..model::CallerPolicy::default()
    };
    let lookups = model::CallKind {
        caller_policy,
        inner: Some(model::NestedCalls {
            kind: 2,
            count: 2,
            timing: model::CallTiming::AtEnd,
        }),
        ..model::CallKind::plain("/lookup/7", lookups)
    };
    let issues = model::CallKind {
        caller_policy,
        ..model::CallKind::plain("/issue/7", issues)
    };
    let renewals = model::CallKind {
        caller_policy,
        ..model::CallKind::plain("/renewal/7", 70.0)
    };
    vec![
        lookups,
        issues,
        model::CallKind::plain("/detail/7", 0.0),
        renewals,
    ]
}

fn ask_for_room(node: &mut node::NodeReducer) {
    let tunables = &mut node.state.settings.tunables.dependencies;
    tunables.nested_first = 1;
    tunables.held_percent = 80;
}

/// Returns two services. In a shortage the second has a third of the slots that it needs.
fn model(seed: u64, change: fn(&mut node::NodeReducer)) -> model::CallModel {
    let target = |service_name: &'static str, slots: u32| model::ModelTarget {
        service_name,
        slots,
        announced_slots: slots,
        mean_run_time: Duration::from_millis(10),
        queue_capacity: 40,
        is_broken: false,
    };
    let settings = model::ModelSettings {
        seed,
        ingresses: 0,
        targets: [[target("registru", 10); 4], [target("arhiva", 2); 4]].concat(),
        entries: entries(),
        link: Duration::from_millis(2),
        policy: model::BalancingPolicy::Reducer,
    };
    model::CallModel::new(settings).with_shared_nodes(|node| {
        node.state.settings.tunables.routing.compared = 3;
        node.state.settings.tunables.retry.free_placements = 3;
        change(node);
    })
}

/// Returns the share of requests that were answered within the target latency.
fn in_time(count: &model::KindStats) -> f64 {
    count.count_within(TARGET_LATENCY) as f64 / count.sent as f64
}

fn summary(counts: &[model::KindStats]) -> String {
    format!(
        "lookups in time {:.3}, issues in time {:.3}, renewals {:.3}, runs wasted {} of {}, {:.3} of slot time",
        in_time(&counts[0]),
        in_time(&counts[1]),
        in_time(&counts[3]),
        counts[0].wasted,
        counts[0].runs,
        counts[0].wasted_share()
    )
}

/// Phases of one run: normal load, a shortage at `arhiva`, the time to recover and normal load.
struct ShortageResult(Vec<Vec<model::KindStats>>);

impl ShortageResult {
    fn run(seed: u64, change: fn(&mut node::NodeReducer)) -> Self {
        let phases = vec![
            (kinds(30.0, 6.0), PHASE_TIME),
            (kinds(150.0, 10.0), PHASE_TIME),
            (kinds(30.0, 6.0), RECOVERY_TIME),
            (kinds(30.0, 6.0), PHASE_TIME),
        ];
        let counts = model(seed, change).run_phases(phases);
        for (phase, counts) in counts.iter().enumerate() {
            println!("seed {seed}, phase {phase}: {}", summary(counts));
        }
        Self(counts)
    }
}

/// Runs with the feature off and on, one of each for each seed.
static RESULTS: LazyLock<[Vec<ShortageResult>; 2]> = LazyLock::new(|| {
    let changes: [fn(&mut node::NodeReducer); 2] = [|_| {}, ask_for_room];
    changes.map(|change| {
        let seeds = 1..=3;
        seeds
            .map(|seed| ShortageResult::run(seed, change))
            .collect()
    })
});

/// Returns the sums over the seeds with the feature off and on.
fn sums(phase: usize, part: impl Fn(&[model::KindStats]) -> f64) -> [f64; 2] {
    [0, 1].map(|index| {
        let results = RESULTS[index].iter();
        results.map(|result| part(&result.0[phase])).sum()
    })
}

/// During the shortage fewer runs are begun in vain.
#[test]
fn runs_not_wasted() {
    let [off, on] = sums(1, |counts| counts[0].wasted as f64);
    assert!(on <= 0.75 * off, "{on} runs wasted, {off} without");
}

/// The slots that are saved serve more calls of the two routes to `registru` in time.
#[test]
fn goodput_not_lost() {
    let served = |count: &model::KindStats| count.count_within(TARGET_LATENCY) as f64;
    let [off, on] = sums(1, |counts| served(&counts[0]) + served(&counts[3]));
    assert!(on >= 1.05 * off, "{on} in time, {off} without");
}

/// The calls of runs take no slots from the more urgent new calls to the same service.
#[test]
fn issues_not_harmed() {
    let [off, on] = sums(1, |counts| in_time(&counts[1]));
    assert!(on >= off - 0.1, "issues {on:.3}, {off:.3} without");
}

/// Two seconds after the shortage all calls flow as before it.
#[test]
fn calls_flow_again() {
    let [_, before] = sums(0, |counts| in_time(&counts[0]));
    let [_, after] = sums(3, |counts| in_time(&counts[0]));
    assert!(after >= 0.95 * before, "{after:.3}, {before:.3} before");
}

/// Returns a node of a fleet with four targets of each service, which asks for room or not.
fn fleet_node(change: fn(&mut node::NodeReducer)) -> node::NodeReducer {
    let mut node = node::NodeReducer::new("node-0", "brasov-a", &entries());
    for number in 1..8 {
        let service = if number < 4 { "arhiva" } else { "registru" };
        let identity = node::identity(&format!("node-{number}"), "brasov-a", "ro-centru");
        let record = node::target(&format!("target-{number}"), service, 10);
        node.receive_record(&identity, 1, vec![record]);
    }
    node.announce(node::target("target-0", "arhiva", 200));
    change(&mut node);
    node.advance(Duration::from_secs(1));
    node
}

/// Returns the precedence that the last of many offers of a route gets whose calls began at the
/// nodes of these services in turn.
fn offered_precedence(
    change: fn(&mut node::NodeReducer),
    route: &str,
    callers: &[&str],
) -> wire::CallPrecedence {
    let mut node = fleet_node(change);
    let mut precedence = wire::CallPrecedence::default();
    for (number, caller) in callers.iter().cycle().take(100).enumerate() {
        let call = ids::CallId(number as u64);
        let offer = wire::CallOffer {
            route: route.parse().expect("the name is valid"),
            service: "arhiva".parse().expect("the name is valid"),
            caller: Some(caller.parse().expect("the name is valid")),
            ..node::offer("target-0", "registru", "common")
        };
        node.call(calls::CallEvent::Offered { call, offer });
        precedence = node.state.calls.owner[&call].offer.precedence;
    }
    precedence
}

#[test]
fn nested_recognised() {
    let (nested, new) = (wire::CallPrecedence::Nested, wire::CallPrecedence::New);
    let precedence = offered_precedence(ask_for_room, "detail", &["registru"]);
    assert_eq!(precedence, nested);
    let precedence = offered_precedence(ask_for_room, "issue", &["registru", "arhiva"]);
    assert_eq!(precedence, new);
    let precedence = offered_precedence(|_| {}, "detail", &["registru"]);
    assert_eq!(precedence, new, "the feature is off");
}

/// Sends lookups, whose responses carry a report of a shortage if `short_permille` is not zero;
/// returns how many were refused without an offer.
fn refused_lookups(node: &mut node::NodeReducer, first: u64, short_permille: u16) -> usize {
    let refused = (first..first + 100).filter(|number| {
        let effects = node.call(calls::CallEvent::Arrived(node::arrival(
            *number,
            "/lookup/7",
        )));
        if let [calls::CallEffect::Refuse(_, refusal)] = &*effects {
            assert_eq!(refusal.code, code::ResultCode::DependencySaturated);
            assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
            return true;
        }
        let room = (short_permille > 0).then(|| wire::RoomReport {
            is_nested: false,
            short_permille,
            service: "arhiva".parse().ok(),
        });
        let call = ids::CallId(*number);
        node.call(calls::CallEvent::AttemptEnded {
            call,
            result: calls::AttemptResult::Answered { status: 200 },
            report: calls::AttemptReport {
                room,
                ..calls::AttemptReport::default()
            },
        });
        node.call(calls::CallEvent::Finished(call));
        false
    });
    refused.count()
}

/// A node that knows nothing begins all calls. One that is told of a total shortage still begins
/// some. Once the reports stop, since their node is gone, all begin within a second.
#[test]
fn old_report_expires() {
    let mut node = fleet_node(ask_for_room);
    assert_eq!(refused_lookups(&mut node, 1000, 0), 0);
    refused_lookups(&mut node, 2000, 1000);
    let refused = refused_lookups(&mut node, 3000, 1000);
    assert!((60..=95).contains(&refused), "{refused} refused");
    node.advance(Duration::from_secs(1));
    assert_eq!(refused_lookups(&mut node, 4000, 0), 0);
}

/// Responses without a report end the shortage as well.
#[test]
fn shortage_ends() {
    let mut node = fleet_node(ask_for_room);
    refused_lookups(&mut node, 1000, 1000);
    refused_lookups(&mut node, 2000, 0);
    assert_eq!(refused_lookups(&mut node, 3000, 0), 0);
}
