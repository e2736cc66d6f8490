//! Fixtures for tests that inject faults into a control group of three processes.

mod reports;

use hazeltiller_testkit::{fleet, wait};
use serde_json::{Value, json};

use crate::support;

/// Names of the controls in the group.
pub(crate) const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Bootstraps a group after `adjust` has changed the settings of each control.
pub(crate) async fn start_group(adjust: impl Fn(&mut Value)) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &CONTROLS).await;
    for name in CONTROLS {
        adjust(&mut fleet.instance(name).settings);
    }
    fleet.start(&CONTROLS, &["--bootstrap"]).await;
    fleet
}

/// Waits until some control reports that it is the leader and returns its name.
pub(crate) async fn wait_for_leader(fleet: &fleet::Fleet) -> &'static str {
    wait::until("a leader", || async {
        for name in CONTROLS {
            let status = fleet.read(name, "/v1/status").await;
            let is_leader = |status: &Value| status["control"]["role"] == "leader";
            if status.is_some_and(|status| is_leader(&status)) {
                return Some(name);
            }
        }
        None
    })
    .await
}

/// Sends a change to a control until it is accepted and returns the response.
pub(crate) async fn apply_change(fleet: &fleet::Fleet, name: &str, change: &Value) -> Value {
    wait::until("an accepted change", || async {
        let (status, answer) = fleet.change(name, change).await?;
        (status == 200).then_some(answer)
    })
    .await
}

/// Returns a change that puts one class, named like the change.
pub(crate) fn class_change(id: &str, expects: u64) -> Value {
    json!({"change_id": id, "expects": expects, "put": [
        {"kind": "class", "name": id, "owner": "registru", "class": "counter"}]})
}

/// Waits until the log of some control contains a text and returns the name of that control.
pub(crate) async fn wait_for_log_line(fleet: &fleet::Fleet, text: &str) -> &'static str {
    let has_line = |name: &&str| fleet.log(name).contains(text);
    wait::until(text, || async { CONTROLS.into_iter().find(has_line) }).await
}

/// Waits until a control counts itself among the voters.
pub(crate) async fn wait_for_voter(fleet: &fleet::Fleet, name: &str) {
    wait::until("a vote", || async {
        let status = fleet.read(name, "/v1/control").await?;
        let replica = status["replica"].clone();
        let members = status["members"].as_array()?;
        let own = members.iter().find(|member| member["replica"] == replica)?;
        (own["is_voter"] == true).then_some(())
    })
    .await;
}
