//! Requests that a target declines without running them, and late second copies of such responses.

use hazeltiller_standin::{behaviour, target};
use hazeltiller_testkit::fleet;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use crate::support;

const CALLER_COUNT: usize = 4;
const REQUESTS_PER_CALLER: usize = 60;

/// The second copy of a rejection came in place of the response to the next request on the
/// connection, and was taken as proof that this one had not run.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_declines() {
    let mut fleet = support::start_two_nodes().await;
    let behaviour = behaviour::StandInBehaviour {
        declined_interval: 5,
        is_decline_repeated: true,
        ..behaviour::StandInBehaviour::default()
    };
    let targets = [("node-1", "target-1"), ("node-2", "target-2")];
    let behaviours = targets.map(|target| (target, behaviour.clone()));
    let outcomes = check_outcomes(&mut fleet, &behaviours).await;
    for wanted in [CallerOutcome::Answered, CallerOutcome::Unknown] {
        assert!(count(&outcomes, wanted) > 0, "none is {wanted:?}");
    }
}

/// Most targets decline half of the requests, and all repeat ordinary responses too. The promises
/// hold although few connections are used twice without a late copy.
#[tokio::test(flavor = "multi_thread")]
async fn heavy_declines() {
    let mut fleet = support::start_two_nodes().await;
    let repeating = behaviour::StandInBehaviour {
        is_decline_repeated: true,
        repeated_interval: 3,
        ..behaviour::StandInBehaviour::default()
    };
    let declining = behaviour::StandInBehaviour {
        declined_interval: 2,
        ..repeating.clone()
    };
    let behaviours = [
        (("node-1", "target-1"), repeating),
        (("node-1", "target-2"), declining.clone()),
        (("node-1", "target-3"), declining.clone()),
        (("node-2", "target-4"), declining.clone()),
        (("node-2", "target-5"), declining.clone()),
        (("node-2", "target-6"), declining),
    ];
    let outcomes = check_outcomes(&mut fleet, &behaviours).await;
    for wanted in [
        CallerOutcome::Answered,
        CallerOutcome::NotRun,
        CallerOutcome::Unknown,
    ] {
        let count = count(&outcomes, wanted);
        assert!(count >= outcomes.len() / 20, "{count} are {wanted:?}");
    }
}

/// Sends requests that may run once to targets with these behaviours, and checks what the callers
/// were told against the runs.
async fn check_outcomes(
    fleet: &mut fleet::Fleet,
    behaviours: &[((&str, &str), behaviour::StandInBehaviour)],
) -> Vec<(String, CallerOutcome)> {
    let mut targets = Vec::new();
    for ((node, name), behaviour) in behaviours {
        let behaviour = behaviour.clone();
        targets.push(support::start_stand_in_with(fleet, node, name, behaviour).await);
    }
    support::wait_for_routing(fleet, "node-1").await;
    let callers = (0..CALLER_COUNT).map(|caller| send_requests(fleet, caller));
    let outcomes = futures_util::future::join_all(callers).await.concat();
    let runs = targets.iter().flat_map(target::StandInTarget::runs);
    let runs: Vec<String> = runs.map(|run| run.path).collect();
    for (path, outcome) in &outcomes {
        let count = runs.iter().filter(|run| *run == path).count();
        assert!(count <= 1, "{path} ran {count} times");
        match outcome {
            CallerOutcome::Answered => assert_eq!(count, 1, "{path} was answered"),
            CallerOutcome::NotRun => assert_eq!(count, 0, "{path} was refused as not run"),
            CallerOutcome::Unknown => {}
        }
    }
    outcomes
}

fn count(outcomes: &[(String, CallerOutcome)], wanted: CallerOutcome) -> usize {
    let outcomes = outcomes.iter();
    outcomes.filter(|(_, outcome)| *outcome == wanted).count()
}

/// A declined request was sent again on the same connection, where the second copy of the first
/// response bore its id and was taken as proof that it had not run.
#[tokio::test(flavor = "multi_thread")]
async fn declined_id_resent() {
    let mut fleet = support::start_small_fleet().await;
    let behaviour = behaviour::StandInBehaviour {
        declined_interval: 2,
        is_decline_repeated: true,
        ..behaviour::StandInBehaviour::default()
    };
    let target = support::start_stand_in_with(&mut fleet, "node-1", "target-1", behaviour).await;
    support::wait_for_routing(&fleet, "node-1").await;
    let mut refused = Vec::new();
    for index in 0..REQUESTS_PER_CALLER {
        for resend in 0..3 {
            let path = format!("/certificates/{index}-{resend}");
            let request = Request::post(&path).header("hazeltiller-request", format!("id-{index}"));
            let request = request.body(Full::from("body")).expect("a valid request");
            let response = fleet.send_request("node-1", "callers", request).await;
            let response = response.expect("the node responds");
            let outcome = response.headers().get("hazeltiller-outcome");
            if outcome.is_some_and(|outcome| outcome == "not-run") {
                refused.push(path);
            }
        }
    }
    assert!(!refused.is_empty(), "the target declines requests");
    for run in target.runs() {
        assert!(
            !refused.contains(&run.path),
            "{} was refused as not run",
            run.path
        );
    }
}

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerOutcome {
    Answered,
    NotRun,
    Unknown,
}

/// Sends requests that may run once, one after the other.
async fn send_requests(fleet: &fleet::Fleet, caller: usize) -> Vec<(String, CallerOutcome)> {
    let mut outcomes = Vec::new();
    for index in 0..REQUESTS_PER_CALLER {
        let path = format!("/certificates/{caller}-{index}");
        let request = Request::post(&path).body(Full::from("body"));
        let request = request.expect("a valid request");
        let response = fleet.send_request("node-1", "callers", request).await;
        let response = response.expect("the node responds");
        let outcome = response.headers().get("hazeltiller-outcome");
        let outcome = if response.status() == StatusCode::OK {
            CallerOutcome::Answered
        } else if outcome.is_some_and(|outcome| outcome == "not-run") {
            CallerOutcome::NotRun
        } else {
            CallerOutcome::Unknown
        };
        outcomes.push((path, outcome));
    }
    outcomes
}
