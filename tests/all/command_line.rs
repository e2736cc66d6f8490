//! The command line as a person and a script meet it: exit codes, one clear line, advice.

use std::{path::PathBuf, process::Output};

use hazeltiller_testkit::{fleet, wait};
use tokio::process::Command;

use crate::support;

const TOOL: &str = env!("CARGO_BIN_EXE_hazeltiller");

async fn run(arguments: &[&str]) -> Output {
    Command::new(TOOL)
        .args(arguments)
        .output()
        .await
        .expect("the command line tool runs")
}

async fn expect(arguments: &[&str], exit: i32, clause: &str) {
    let output = run(arguments).await;
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(exit), "{arguments:?}: {text}");
    assert!(
        text.contains(clause),
        "{arguments:?} should say {clause:?}: {text}"
    );
}

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    path.to_str().expect("the path is text").into()
}

#[tokio::test]
async fn wrong_usage() {
    let catalogue = example("first/catalogue.jsonc");
    // Nothing listens on port 1 of loopback.
    let dead = ["--operators", "127.0.0.1:1"];
    expect(&["aply"], 2, "did you mean").await;
    expect(&["apply", &catalogue], 2, "--operators").await;
    expect(
        &["apply", dead[0], dead[1], "missing.jsonc"],
        2,
        "HZ1004: missing.jsonc",
    )
    .await;
    expect(&["apply", dead[0], dead[1], &catalogue], 1, "HZ1005").await;
    expect(&["status", dead[0], dead[1]], 1, "check --operators").await;
    expect(
        &["status", dead[0], dead[1], "--token-file", "missing"],
        2,
        "HZ1004",
    )
    .await;
    expect(&["codes", "HZ3003"], 0, "no free slot").await;
    expect(&["codes", "HZ1"], 2, "is not a result code").await;
    expect(&["check", &catalogue], 0, "sound: 5 to put").await;
    expect(
        &["check", &example("first/control.jsonc")],
        0,
        "sound: settings of instance",
    )
    .await;
    expect(&["check", &example("../Cargo.toml")], 2, "HZ1004").await;
    expect(&["--bpaf-complete-rev=8", "li"], 0, "list").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_session() {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    fleet.add_node("brasov-a", "node-1").await;
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&["node-1"], &[]).await;
    let address = fleet.instance("control-1").addresses["operators"].to_string();
    let node = fleet.instance("node-1").addresses["operators"].to_string();
    let catalogue = example("first/catalogue.jsonc");
    let to = ["--operators", &address];
    wait::until("a leader that takes the catalogue", || async {
        let output = run(&["apply", to[0], to[1], "--change-id", "one", &catalogue]).await;
        (output.status.code() == Some(0)).then_some(())
    })
    .await;
    // The first address is dead: the second is tried.
    expect(
        &["list", "--operators", "127.0.0.1:1", to[0], to[1], "route"],
        0,
        "lookup",
    )
    .await;
    expect(&["get", to[0], to[1], "route", "lookup"], 0, "/vehicles").await;
    expect(&["get", to[0], to[1], "route", "other"], 1, "HZ2009").await;
    expect(&["diff", to[0], to[1], &catalogue], 0, "no difference").await;
    expect(
        &["apply", to[0], to[1], "--expects", "7", &catalogue],
        1,
        "the current version is 1",
    )
    .await;
    expect(
        &["remove", to[0], to[1], "service", "registru"],
        2,
        "refers to service registru",
    )
    .await;
    expect(
        &["remove", to[0], to[1], "--output", "json", "route", "issue"],
        0,
        "\"version\":2",
    )
    .await;
    expect(&["diff", to[0], to[1], &catalogue], 0, "+ route issue").await;
    fleet.wait_version(&["node-1"], 2).await;
    expect(
        &["status", "--operators", &node],
        0,
        "\"catalogue_version\": 2",
    )
    .await;
    expect(
        &["convergence", to[0], to[1], "2"],
        0,
        "version 2: in force on",
    )
    .await;
    expect(
        &["apply", to[0], to[1], "--wait", &catalogue],
        0,
        "in force everywhere",
    )
    .await;
    expect(&["targets", to[0], to[1]], 0, "data_centre").await;
}
