//! The `demo` command, which runs without any settings: no request is lost or run twice.

use serde_json::Value;
use tokio::process::Command;

#[tokio::test]
async fn nothing_lost() {
    let mut demo = Command::new(env!("CARGO_BIN_EXE_hazeltiller"));
    let output = demo.args(["demo", "--output", "json"]).output().await;
    let output = output.expect("the command line tool runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let report: Value = serde_json::from_str(&text).expect("the report is JSON");
    assert_eq!(output.status.code(), Some(0), "{report}");
    assert_eq!(
        (&report["lost"], &report["doubled"]),
        (&0.into(), &0.into()),
        "{report}"
    );
    assert!(report["answered"].as_u64() > Some(0), "{report}");
    assert!(report["control_bytes"].as_u64() > Some(0), "{report}");
}
