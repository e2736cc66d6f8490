//! What the logs of a control group without a majority tell.

use hazeltiller_testkit::wait;
use serde_json::Value;

use super::{CONTROLS, apply_change, start_group, wait_for_leader};
use crate::support;

/// Returns the fields of the latest log line of a kind.
fn last_line(log: &str, kind: &str) -> Option<Value> {
    let lines = log.lines().rev();
    let mut documents = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    documents.find(|line| line["kind"] == kind)
}

/// Two of three voters are lost. The log of the third names them, and tells why a read is refused.
/// After its restart it tells that its folder is whole and that it still has its vote.
#[tokio::test(flavor = "multi_thread")]
async fn lost_majority_reported() {
    let mut fleet = start_group(|_| {}).await;
    apply_change(&fleet, "control-1", &support::first_change()).await;
    let leader = wait_for_leader(&fleet).await;
    fleet.wait_version(&CONTROLS, 1).await;
    let lost: Vec<&str> = CONTROLS
        .into_iter()
        .filter(|name| *name != leader)
        .collect();
    fleet.kill(&lost).await;
    let missing = wait::until("a report of the missing leader", || async {
        last_line(&fleet.log(leader), "leader_missing")
    })
    .await;
    assert_eq!(missing["heard"], serde_json::json!([leader]));
    assert_eq!(missing["missing"], serde_json::json!(lost));
    assert_eq!(missing["majority"], 2);
    fleet.read(leader, "/v1/revision").await;
    let refused = wait::until("a report of the refused read", || async {
        last_line(&fleet.log(leader), "read_refused")
    })
    .await;
    assert_eq!(refused["is_proven"], false);
    fleet.kill(&[leader]).await;
    fleet.start(&[leader], &[]).await;
    let opened = wait::until("a report of the second start", || async {
        let lines = last_line(&fleet.log(leader), "folder_opened");
        lines.filter(|line| line["found"] != "new")
    })
    .await;
    assert_eq!(opened["found"], "whole");
    assert_eq!(opened["is_voter"], true);
    assert_eq!(opened["voters"], serde_json::json!(CONTROLS));
}
