//! Replacement of the whole catalogue by a labelled document.

use std::process::Command;

use hazeltiller_testkit::{fleet, wait};
use serde_json::{Value, json};

use crate::support;

const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Starts a fleet whose controls bootstrap by a setting, which stays the same for later starts.
async fn start_bootstrapped_fleet() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &CONTROLS).await;
    fleet.add_node("brasov-a", "node-1").await;
    for name in CONTROLS {
        let settings = &mut fleet.instance(name).settings;
        settings["bootstrap"] = json!(true);
        settings["tunables"]["replication"]["voters"] = json!(3);
    }
    fleet.start(&CONTROLS, &[]).await;
    fleet.start(&["node-1"], &[]).await;
    fleet
}

fn write_document(fleet: &fleet::Fleet, name: &str, class: &str) -> std::path::PathBuf {
    let document = json!({"put": [
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "class", "name": class, "owner": "registru", "class": "counter"},
    ]});
    let path = fleet.folder().join(name);
    std::fs::write(&path, document.to_string()).expect("the folder is writable");
    path
}

fn run_tool(fleet: &mut fleet::Fleet, arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hazeltiller"));
    command.args(arguments);
    for name in CONTROLS {
        let address = fleet.instance(name).addresses["operators"].to_string();
        command.args(["--operators", &address]);
    }
    let output = command.output().expect("the command line tool runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), text + &errors)
}

async fn replace_catalogue(
    fleet: &mut fleet::Fleet,
    label: &str,
    base: &str,
    path: &str,
) -> (Option<i32>, String) {
    // Until the group has elected a leader, the change is refused as not run.
    for _ in 0..400 {
        let answer = run_tool(fleet, &["apply", "--replace", label, "--base", base, path]);
        if !answer.1.contains("HZ4003") && !answer.1.contains("HZ4001") {
            return answer;
        }
        tokio::time::sleep(std::time::Duration::from_millis(25)).await;
    }
    panic!("the group elected no leader");
}

#[tokio::test(flavor = "multi_thread")]
async fn catalogue_replaced() {
    let mut fleet = start_bootstrapped_fleet().await;
    let first = write_document(&fleet, "first.jsonc", "first");
    let second = write_document(&fleet, "second.jsonc", "second");
    let (first, second) = (first.display().to_string(), second.display().to_string());
    let (code, text) = replace_catalogue(&mut fleet, "4", "0", &first).await;
    assert_eq!(code, Some(0), "{text}");
    let (code, text) = replace_catalogue(&mut fleet, "4", "0", &first).await;
    assert_eq!(code, Some(0), "a resend succeeds: {text}");
    let (code, text) = replace_catalogue(&mut fleet, "9", "3", &second).await;
    assert!(code == Some(1) && text.contains("HZ2012"), "{text}");
    let (code, text) = replace_catalogue(&mut fleet, "4", "4", &second).await;
    assert!(code == Some(1) && text.contains("HZ2013"), "{text}");
    let (code, text) = replace_catalogue(&mut fleet, "9", "4", &second).await;
    assert_eq!(code, Some(0), "{text}");
    let (code, text) = run_tool(&mut fleet, &["revision"]);
    assert_eq!(code, Some(0), "{text}");
    let read: Value = serde_json::from_str(&text).expect("the document is JSON");
    let written = std::fs::read_to_string(&second).expect("the file is readable");
    assert_eq!(
        read,
        serde_json::from_str::<Value>(&written).expect("the file is JSON")
    );
    fleet.wait_version(&["node-1"], 2).await;
    let removed = fleet.read("node-1", "/v1/catalogue/class/first").await;
    let removed = removed.expect("the node answers");
    assert_eq!(
        removed["code"], "HZ2009",
        "an entry of the first document is left: {removed}"
    );
}

/// `bootstrap` may stay true in the settings: a control with data in its folder ignores it.
#[tokio::test(flavor = "multi_thread")]
async fn bootstrap_ignored_later() {
    let mut fleet = start_bootstrapped_fleet().await;
    let path = write_document(&fleet, "first.jsonc", "first");
    let (code, text) = replace_catalogue(&mut fleet, "1", "0", &path.display().to_string()).await;
    assert_eq!(code, Some(0), "{text}");
    fleet.kill(&CONTROLS).await;
    fleet.start(&CONTROLS, &[]).await;
    let revision = wait::until("a proven read", || async {
        let revision = fleet.read("control-1", "/v1/revision").await?;
        revision["label"].as_u64()
    })
    .await;
    assert_eq!(revision, 1);
}
