//! Controls whose data folder is damaged.

use hazeltiller_testkit::fleet;
use serde_json::json;

use crate::{
    control_group::{self, CONTROLS},
    support,
};

const DAMAGED: &str = "control-1";
const OTHER: &str = "control-2";

/// Starts a group that keeps a number of voters by itself, or none, and damages the log of a control
/// that is stopped.
async fn damage_folder(voters: u64) -> fleet::Fleet {
    let mut fleet = control_group::start_group(|settings| {
        settings["tunables"]["replication"]["voters"] = json!(voters);
    })
    .await;
    control_group::apply_change(&fleet, DAMAGED, &support::first_change()).await;
    let change = control_group::class_change("second", 1);
    control_group::apply_change(&fleet, DAMAGED, &change).await;
    fleet.wait_version(&CONTROLS, 2).await;
    fleet.kill(&[DAMAGED]).await;
    let path = fleet.folder().join(DAMAGED).join("log");
    let mut log = std::fs::read(&path).expect("the control has a log");
    let middle = log.len() / 2;
    log[middle] ^= 1;
    std::fs::write(&path, log).expect("the folder is writable");
    fleet
}

/// Guards against a control of a self-healing group that ends at every start, so that the group loses
/// its majority with the next voter. The damaged one gets its vote back, and then another one is
/// lost.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_control_refilled() {
    let mut fleet = damage_folder(3).await;
    fleet.start(&[DAMAGED], &[]).await;
    let change = control_group::class_change("third", 2);
    control_group::apply_change(&fleet, OTHER, &change).await;
    fleet.wait_version(&CONTROLS, 3).await;
    assert!(fleet.log(DAMAGED).contains("HZ5002"));
    let set_aside = fleet.folder().join(DAMAGED).join("log.damaged");
    assert!(set_aside.exists(), "the damaged log is kept");
    control_group::wait_for_voter(&fleet, DAMAGED).await;
    fleet.kill(&[OTHER]).await;
    let change = control_group::class_change("fourth", 3);
    control_group::apply_change(&fleet, DAMAGED, &change).await;
}

/// Without self-healing the folder is an administrator's to replace.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_control_ends() {
    let fleet = damage_folder(0).await;
    let settings = fleet.folder().join(format!("{DAMAGED}.jsonc"));
    let output = std::process::Command::new(support::DAEMON)
        .arg("--settings")
        .arg(settings)
        .output()
        .expect("the daemon can be started");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("HZ5002"), "{text}");
}
