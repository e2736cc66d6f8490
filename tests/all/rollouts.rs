//! Rollouts ordered with the command line tool: success, automatic rollback and abort.

use std::{net::SocketAddr, process::Output, time::Duration};

use hazeltiller_standin::{behaviour, client, target};
use hazeltiller_testkit::fleet;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tokio::{process::Command, time};

use crate::support;

const TOOL: &str = env!("CARGO_BIN_EXE_hazeltiller");
const OLD_TARGETS: [&str; 2] = ["old-1", "old-2"];
const NEW_TARGETS: [&str; 2] = ["new-1", "new-2"];
/// Pause between two calls of the load.
const CALL_PAUSE: Duration = Duration::from_millis(2);
/// Calls sent after the end of a rollout to check which targets they reach.
const CHECKED_CALLS: u64 = 50;
/// Calls that a failing version may get on top of a tenth of all calls.
const CANARY_SLACK_CALLS: usize = 50;

/// Starts targets with the given names and software version.
async fn start_targets(
    fleet: &mut fleet::Fleet,
    (names, version): ([&str; 2], &str),
    answer: behaviour::ResponseMode,
) -> Vec<target::StandInTarget> {
    let mut targets = Vec::new();
    for name in names {
        let options = support::StandInOptions {
            behaviour: behaviour::StandInBehaviour {
                answer,
                ..behaviour::StandInBehaviour::default()
            },
            version: Some(version),
        };
        targets.push(support::start_stand_in_with_options(fleet, "node-1", name, options).await);
    }
    targets
}

fn rollout_command(fleet: &mut fleet::Fleet, arguments: &[&str]) -> Command {
    let address = fleet.instance("control-1").addresses["operators"];
    let mut rollout_command = Command::new(TOOL);
    rollout_command.arg("rollout").arg(arguments[0]);
    rollout_command.arg("--operators").arg(address.to_string());
    rollout_command.args(&arguments[1..]);
    rollout_command
}

async fn run_command(fleet: &mut fleet::Fleet, arguments: &[&str]) -> (Option<i32>, String) {
    let output = rollout_command(fleet, arguments).output().await;
    let output = output.expect("the command line tool runs");
    (output.status.code(), text(&output))
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

async fn call_node(node: SocketAddr, number: u64) -> Option<StatusCode> {
    let path = format!("/vehicles/{number}");
    let request = Request::get(path).body(Full::default()).ok()?;
    let response = client::exchange(node, request).await.ok()?;
    Some(response.status())
}

/// Sends calls through the node until `rollout watch` ends. Returns its exit code and output and
/// the number of failed calls.
async fn watch_under_load(fleet: &mut fleet::Fleet) -> (Option<i32>, String, u64) {
    let node = fleet.instance("node-1").addresses["callers"];
    let mut rollout_command = rollout_command(fleet, &["watch", "registru"]);
    let watcher = rollout_command.output();
    tokio::pin!(watcher);
    let mut failed = 0;
    for number in 0.. {
        tokio::select! {
            output = &mut watcher => {
                let output = output.expect("the command line tool runs");
                return (output.status.code(), text(&output), failed);
            }
            status = call_node(node, number) => failed += u64::from(status != Some(StatusCode::OK)),
        }
        time::sleep(CALL_PAUSE).await;
    }
    unreachable!("the range is unbounded")
}

fn run_count(targets: &[target::StandInTarget]) -> usize {
    targets.iter().map(|target| target.runs().len()).sum()
}

/// Checks that calls reach only the new targets.
async fn check_new_targets_only(
    fleet: &mut fleet::Fleet,
    old: &[target::StandInTarget],
    new: &[target::StandInTarget],
) {
    let (at_old, at_new) = (run_count(old), run_count(new));
    let node = fleet.instance("node-1").addresses["callers"];
    for number in 0..CHECKED_CALLS {
        assert_eq!(call_node(node, number).await, Some(StatusCode::OK));
    }
    assert_eq!(
        run_count(old),
        at_old,
        "old targets get no calls after the rollout"
    );
    assert!(run_count(new) >= at_new + CHECKED_CALLS as usize);
}

async fn order_rollout(fleet: &mut fleet::Fleet) {
    let arguments = ["start", "--to", "v2", "--within", "12s", "registru"];
    let (code, text) = run_command(fleet, &arguments).await;
    assert_eq!(code, Some(0), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn healthy_version_succeeds() {
    let mut fleet = support::start_small_fleet().await;
    let old = start_targets(
        &mut fleet,
        (OLD_TARGETS, "v1"),
        behaviour::ResponseMode::Whole,
    )
    .await;
    support::wait_for_ok(&fleet, "/vehicles/first").await;
    order_rollout(&mut fleet).await;
    let new = start_targets(
        &mut fleet,
        (NEW_TARGETS, "v2"),
        behaviour::ResponseMode::Whole,
    )
    .await;
    let (code, text, failed) = watch_under_load(&mut fleet).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("succeeded"), "{text}");
    assert_eq!(failed, 0, "calls failed during the rollout: {text}");
    check_new_targets_only(&mut fleet, &old, &new).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn old_targets_announced_late() {
    let mut fleet = support::start_small_fleet().await;
    order_rollout(&mut fleet).await;
    let old = start_targets(
        &mut fleet,
        (OLD_TARGETS, "v1"),
        behaviour::ResponseMode::Whole,
    )
    .await;
    let new = start_targets(
        &mut fleet,
        (NEW_TARGETS, "v2"),
        behaviour::ResponseMode::Whole,
    )
    .await;
    let (code, text, _failed) = watch_under_load(&mut fleet).await;
    assert_eq!(code, Some(0), "{text}");
    check_new_targets_only(&mut fleet, &old, &new).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_version_rolled_back() {
    let mut fleet = support::start_small_fleet().await;
    let old = start_targets(
        &mut fleet,
        (OLD_TARGETS, "v1"),
        behaviour::ResponseMode::Whole,
    )
    .await;
    support::wait_for_ok(&fleet, "/vehicles/first").await;
    order_rollout(&mut fleet).await;
    let new = start_targets(
        &mut fleet,
        (NEW_TARGETS, "v2"),
        behaviour::ResponseMode::Failing,
    )
    .await;
    let (code, text, _failed) = watch_under_load(&mut fleet).await;
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("HZ2019"), "{text}");
    // The leader gives whichever reason it learns of first.
    let reasons = ["of route lookup failed", "2 of 2 targets are unhealthy"];
    assert!(reasons.iter().any(|reason| text.contains(reason)), "{text}");
    assert!(text.contains("0% of the old version's"), "{text}");
    let (at_old, at_new) = (run_count(&old), run_count(&new));
    let bound = (at_old + at_new) / 10 + CANARY_SLACK_CALLS;
    assert!(
        at_new <= bound,
        "the failing version got {at_new} calls, the old one {at_old}"
    );
    let node = fleet.instance("node-1").addresses["callers"];
    for number in 0..CHECKED_CALLS {
        assert_eq!(call_node(node, number).await, Some(StatusCode::OK));
    }
    assert_eq!(
        run_count(&new),
        at_new,
        "a version that was rolled back gets no calls"
    );
    let (code, text) = run_command(&mut fleet, &["show", "registru"]).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("rolled_back"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_by_hand() {
    let mut fleet = support::start_small_fleet().await;
    let (code, text) = run_command(&mut fleet, &["show", "registru"]).await;
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("HZ2015"), "{text}");
    order_rollout(&mut fleet).await;
    let arguments = ["start", "--to", "v3", "--within", "12s", "registru"];
    let (code, text) = run_command(&mut fleet, &arguments).await;
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("HZ2016"), "{text}");
    let (code, text) = run_command(&mut fleet, &["abort", "registru"]).await;
    assert_eq!(code, Some(0), "{text}");
    let (code, text) = run_command(&mut fleet, &["watch", "registru"]).await;
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("aborted by an operator"), "{text}");
}
