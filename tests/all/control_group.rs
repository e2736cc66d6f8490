//! A control group of real processes, for the modules that put it under strain.

use hazeltiller_testkit::{fleet, wait};
use serde_json::{Value, json};

use crate::support;

/// Every control of a group of tests.
pub(crate) const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];
/// A group that was just started, with settings of its own.
pub(crate) async fn started_group(own: impl Fn(&mut Value)) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &CONTROLS).await;
    for name in CONTROLS {
        own(&mut fleet.instance(name).settings);
    }
    fleet.start(&CONTROLS, &["--bootstrap"]).await;
    fleet
}

/// Waits for a leader; returns which control it is.
pub(crate) async fn leader(fleet: &fleet::Fleet) -> &'static str {
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

/// Sends a change to a control until it is accepted; returns the answer.
pub(crate) async fn accepted(fleet: &fleet::Fleet, name: &str, change: &Value) -> Value {
    wait::until("an accepted change", || async {
        let (status, answer) = fleet.change(name, change).await?;
        (status == 200).then_some(answer)
    })
    .await
}

/// A change of one class.
pub(crate) fn class_change(id: &str, expects: u64) -> Value {
    json!({"change_id": id, "expects": expects, "put": [
        {"kind": "class", "name": id, "owner": "registru", "class": "counter"}]})
}

/// Waits until a control has logged a text; returns which.
pub(crate) async fn wait_line(fleet: &fleet::Fleet, text: &str) -> &'static str {
    let has_line = |name: &&str| fleet.log(name).contains(text);
    wait::until(text, || async { CONTROLS.into_iter().find(has_line) }).await
}
