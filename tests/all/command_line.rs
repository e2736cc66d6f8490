//! Command line tool: exit codes, error messages and advice.

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

async fn expect(arguments: &[&str], exit: i32, expected: &str) {
    let output = run(arguments).await;
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(exit), "{arguments:?}: {text}");
    assert!(
        text.contains(expected),
        "{arguments:?} should print {expected:?}: {text}"
    );
}

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    path.to_str().expect("the path is UTF-8").into()
}

#[tokio::test]
async fn wrong_usage() {
    let catalogue = example("first/catalogue.jsonc");
    // Nothing listens on port 1 of the loopback address.
    let unreachable = ["--operators", "127.0.0.1:1"];
    expect(&["aply"], 2, "did you mean").await;
    expect(&["apply", &catalogue], 2, "--operators").await;
    expect(
        &["apply", unreachable[0], unreachable[1], "missing.jsonc"],
        2,
        "HZ1004: missing.jsonc",
    )
    .await;
    expect(
        &["apply", unreachable[0], unreachable[1], &catalogue],
        1,
        "HZ1005",
    )
    .await;
    expect(
        &["status", unreachable[0], unreachable[1]],
        1,
        "check --operators",
    )
    .await;
    expect(
        &[
            "status",
            unreachable[0],
            unreachable[1],
            "--token-file",
            "missing",
        ],
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
    let operators = ["--operators", &address];
    wait::until("a leader that takes the catalogue", || async {
        let output = run(&[
            "apply",
            operators[0],
            operators[1],
            "--change-id",
            "one",
            &catalogue,
        ])
        .await;
        (output.status.code() == Some(0)).then_some(())
    })
    .await;
    // The first address is unreachable, so the tool tries the second one.
    expect(
        &[
            "list",
            "--operators",
            "127.0.0.1:1",
            operators[0],
            operators[1],
            "route",
        ],
        0,
        "lookup",
    )
    .await;
    expect(
        &["get", operators[0], operators[1], "route", "lookup"],
        0,
        "/vehicles",
    )
    .await;
    expect(
        &["get", operators[0], operators[1], "route", "other"],
        1,
        "HZ2009",
    )
    .await;
    expect(
        &["diff", operators[0], operators[1], &catalogue],
        0,
        "no difference",
    )
    .await;
    expect(
        &[
            "apply",
            operators[0],
            operators[1],
            "--expects",
            "7",
            &catalogue,
        ],
        1,
        "the current version is 1",
    )
    .await;
    expect(
        &["remove", operators[0], operators[1], "service", "registru"],
        2,
        "refers to service registru",
    )
    .await;
    expect(
        &[
            "remove",
            operators[0],
            operators[1],
            "--output",
            "json",
            "route",
            "issue",
        ],
        0,
        "\"version\":2",
    )
    .await;
    expect(
        &["diff", operators[0], operators[1], &catalogue],
        0,
        "+ route issue",
    )
    .await;
    fleet.wait_version(&["node-1"], 2).await;
    expect(
        &["status", "--operators", &node],
        0,
        "\"catalogue_version\": 2",
    )
    .await;
    expect(
        &["convergence", operators[0], operators[1], "2"],
        0,
        "version 2: in force on",
    )
    .await;
    expect(
        &["apply", operators[0], operators[1], "--wait", &catalogue],
        0,
        "in force everywhere",
    )
    .await;
    expect(&["targets", operators[0], operators[1]], 0, "data_centre").await;
}
