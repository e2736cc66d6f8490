//! Roll-outs ordered by hand and watched to their end, good and bad.

use std::{net::SocketAddr, process::Output, time::Duration};

use hazeltiller_standin::{behaviour, client, target};
use hazeltiller_testkit::fleet;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tokio::{process::Command, time};

use crate::support;

const TOOL: &str = env!("CARGO_BIN_EXE_hazeltiller");
const OLD: [&str; 2] = ["old-1", "old-2"];
const NEW: [&str; 2] = ["new-1", "new-2"];
/// Time between two calls of the load.
const CALL_PAUSE: Duration = Duration::from_millis(2);
/// Calls after the end of a roll-out that show where they go.
const CHECKED_CALLS: u64 = 50;
/// Calls that a bad version may have had beside a tenth of all.
const CANARY_SLACK: usize = 50;

/// Starts the targets of a version.
async fn versions(
    fleet: &mut fleet::Fleet,
    (names, text): ([&str; 2], &str),
    answer: behaviour::AnswerForm,
) -> Vec<target::StandInTarget> {
    let mut targets = Vec::new();
    for name in names {
        let kind = support::StandInOptions {
            behaviour: behaviour::StandInBehaviour {
                answer,
                ..behaviour::StandInBehaviour::default()
            },
            version: Some(text),
        };
        targets.push(support::start_stand_in_with_options(fleet, "node-1", name, kind).await);
    }
    targets
}

fn command(fleet: &mut fleet::Fleet, arguments: &[&str]) -> Command {
    let address = fleet.instance("control-1").addresses["operators"];
    let mut command = Command::new(TOOL);
    command.arg("rollout").arg(arguments[0]);
    command.arg("--operators").arg(address.to_string());
    command.args(&arguments[1..]);
    command
}

async fn run(fleet: &mut fleet::Fleet, arguments: &[&str]) -> (Option<i32>, String) {
    let output = command(fleet, arguments).output().await;
    let output = output.expect("the command line tool runs");
    (output.status.code(), text(&output))
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

async fn ask(node: SocketAddr, number: u64) -> Option<StatusCode> {
    let path = format!("/vehicles/{number}");
    let request = Request::get(path).body(Full::default()).ok()?;
    let answer = client::exchange(node, request).await.ok()?;
    Some(answer.status())
}

/// Calls through the node until the roll-out is over; returns what the watcher printed and how many
/// calls were not answered well.
async fn watch(fleet: &mut fleet::Fleet) -> (Option<i32>, String, u64) {
    let node = fleet.instance("node-1").addresses["callers"];
    let mut command = command(fleet, &["watch", "registru"]);
    let watching = command.output();
    tokio::pin!(watching);
    let mut failed = 0;
    for number in 0.. {
        tokio::select! {
            output = &mut watching => {
                let output = output.expect("the command line tool runs");
                return (output.status.code(), text(&output), failed);
            }
            status = ask(node, number) => failed += u64::from(status != Some(StatusCode::OK)),
        }
        time::sleep(CALL_PAUSE).await;
    }
    unreachable!("numbers do not end")
}

fn runs(targets: &[target::StandInTarget]) -> usize {
    targets.iter().map(|target| target.runs().len()).sum()
}

/// Holds that calls go to the new targets only.
async fn check_left(
    fleet: &mut fleet::Fleet,
    old: &[target::StandInTarget],
    new: &[target::StandInTarget],
) {
    let (at_old, at_new) = (runs(old), runs(new));
    let node = fleet.instance("node-1").addresses["callers"];
    for number in 0..CHECKED_CALLS {
        assert_eq!(ask(node, number).await, Some(StatusCode::OK));
    }
    assert_eq!(runs(old), at_old, "old targets may stop and get nothing");
    assert!(runs(new) >= at_new + CHECKED_CALLS as usize);
}

async fn order(fleet: &mut fleet::Fleet) {
    let arguments = ["start", "--to", "v2", "--within", "12s", "registru"];
    let (code, text) = run(fleet, &arguments).await;
    assert_eq!(code, Some(0), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn good_version_through() {
    let mut fleet = support::start_small_fleet().await;
    let old = versions(&mut fleet, (OLD, "v1"), behaviour::AnswerForm::Whole).await;
    support::wait_for_ok(&fleet, "/vehicles/first").await;
    order(&mut fleet).await;
    let new = versions(&mut fleet, (NEW, "v2"), behaviour::AnswerForm::Whole).await;
    let (code, text, failed) = watch(&mut fleet).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("succeeded"), "{text}");
    assert_eq!(failed, 0, "calls were lost: {text}");
    check_left(&mut fleet, &old, &new).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn old_heard_of_late() {
    let mut fleet = support::start_small_fleet().await;
    order(&mut fleet).await;
    let old = versions(&mut fleet, (OLD, "v1"), behaviour::AnswerForm::Whole).await;
    let new = versions(&mut fleet, (NEW, "v2"), behaviour::AnswerForm::Whole).await;
    let (code, text, _failed) = watch(&mut fleet).await;
    assert_eq!(code, Some(0), "{text}");
    check_left(&mut fleet, &old, &new).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_version_back() {
    let mut fleet = support::start_small_fleet().await;
    let old = versions(&mut fleet, (OLD, "v1"), behaviour::AnswerForm::Whole).await;
    support::wait_for_ok(&fleet, "/vehicles/first").await;
    order(&mut fleet).await;
    let new = versions(&mut fleet, (NEW, "v2"), behaviour::AnswerForm::Failing).await;
    let (code, text, _failed) = watch(&mut fleet).await;
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("HZ2019"), "{text}");
    // Whichever the leader hears of first.
    let reasons = ["of route lookup failed", "2 of 2 targets are unhealthy"];
    assert!(reasons.iter().any(|reason| text.contains(reason)), "{text}");
    assert!(text.contains("0% of the old version's"), "{text}");
    let (at_old, at_new) = (runs(&old), runs(&new));
    let bound = (at_old + at_new) / 10 + CANARY_SLACK;
    assert!(at_new <= bound, "{at_new} of {at_old} calls went to it");
    let node = fleet.instance("node-1").addresses["callers"];
    for number in 0..CHECKED_CALLS {
        assert_eq!(ask(node, number).await, Some(StatusCode::OK));
    }
    assert_eq!(
        runs(&new),
        at_new,
        "a version that was taken back gets nothing"
    );
    let (code, text) = run(&mut fleet, &["show", "registru"]).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("rolled_back"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_by_hand() {
    let mut fleet = support::start_small_fleet().await;
    let (code, text) = run(&mut fleet, &["show", "registru"]).await;
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("HZ2015"), "{text}");
    order(&mut fleet).await;
    let arguments = ["start", "--to", "v3", "--within", "12s", "registru"];
    let (code, text) = run(&mut fleet, &arguments).await;
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("HZ2016"), "{text}");
    let (code, text) = run(&mut fleet, &["abort", "registru"]).await;
    assert_eq!(code, Some(0), "{text}");
    let (code, text) = run(&mut fleet, &["watch", "registru"]).await;
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("aborted by an operator"), "{text}");
}
