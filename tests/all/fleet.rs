//! Catalogue dissemination, membership and convergence reports of real processes behind fault
//! proxies.

use hazeltiller_testkit::{fleet, proxy, wait};
use serde_json::{Value, json};

use crate::support;

const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];
const NEAR_NODES: [&str; 4] = ["near-1", "near-2", "near-3", "near-4"];
const FAR_NODES: [&str; 4] = ["far-1", "far-2", "far-3", "far-4"];

/// Starts three controls, the second one in the far data centre, and nodes in both data centres,
/// and waits until every node holds version 1.
async fn start_fleet() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet
        .add_controls("brasov-a", &["control-1", "control-3"])
        .await;
    fleet.add_controls("sibiu-a", &["control-2"]).await;
    for name in NEAR_NODES {
        fleet.add_node("brasov-a", name).await;
    }
    for name in FAR_NODES {
        fleet.add_node("sibiu-a", name).await;
    }
    let tunables = json!({"dissemination": {"heads": 1, "fan_out": 2, "keepalive_ms": 300},
                      "membership": {"gossip_ms": 300, "suspect_ms": 800, "confirm_ms": 800,
                                     "centre_silence_ms": 2500, "heal_ms": 600}});
    for name in CONTROLS.iter().chain(&NEAR_NODES).chain(&FAR_NODES) {
        fleet.instance(name).settings["tunables"] = tunables.clone();
    }
    fleet.start(&CONTROLS, &["--bootstrap"]).await;
    fleet.start(&NEAR_NODES, &[]).await;
    fleet.start(&FAR_NODES, &[]).await;
    apply_change(&fleet, &CONTROLS, &support::first_change()).await;
    fleet.wait_version(&NEAR_NODES, 1).await;
    fleet.wait_version(&FAR_NODES, 1).await;
    // The tests inject faults only after every node knows all members.
    let all = CONTROLS.len() + NEAR_NODES.len() + FAR_NODES.len();
    for name in NEAR_NODES.iter().chain(&FAR_NODES) {
        wait::until("all members known", || async {
            let status = fleet.read(name, "/v1/status").await?;
            (status["members"].as_u64()? as usize == all).then_some(())
        })
        .await;
    }
    wait::until("all nodes known at the control", || async {
        let report = fleet.read("control-1", "/v1/convergence/1").await?;
        (report["nodes_known"] == 8).then_some(())
    })
    .await;
    fleet
}

/// Sends a change to the controls in turn until one accepts it and returns its version.
async fn apply_change(fleet: &fleet::Fleet, controls: &[&str], change: &Value) -> u64 {
    wait::until("an accepted change", || async {
        for control in controls {
            if let Some((200, answer)) = fleet.change(control, change).await {
                return answer["version"].as_u64();
            }
        }
        None
    })
    .await
}

fn slots_change(expects: u64) -> Value {
    json!({"change_id": format!("slots-{expects}"), "expects": expects, "put": [
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
         "limits": {"slots": expects + 1}}]})
}

/// Waits until a control reports exactly the expected nodes as behind a version.
async fn wait_for_behind(fleet: &fleet::Fleet, version: u64, expected: &[&str]) -> Value {
    let path = format!("/v1/convergence/{version}");
    wait::until("the expected convergence report", || async {
        let report = fleet.read("control-1", &path).await?;
        let behind = report["behind"].as_array()?.iter();
        let mut behind: Vec<&str> = behind
            .filter_map(|node| node["instance"].as_str())
            .collect();
        behind.sort_unstable();
        (behind == expected).then(|| report.clone())
    })
    .await
}

async fn wait_for_reachability(fleet: &fleet::Fleet, at: &str, of: &str, expected: &str) {
    wait::until(&format!("{of} {expected} at {at}"), || async {
        let status = fleet.read(at, "/v1/status").await?;
        let mut others = status["others"].as_array()?.iter();
        let member = others.find(|member| member["instance"] == of)?;
        (member["reachability"] == expected).then_some(())
    })
    .await;
}

fn partition(fleet: &fleet::Fleet, near: &[&str], far: &[&str], rule: proxy::FaultRule) {
    for one in near {
        for other in far {
            fleet.set_pair_rule(one, other, rule);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn convergence_reported() {
    let mut fleet = start_fleet().await;
    let version = apply_change(&fleet, &CONTROLS, &slots_change(1)).await;
    let report = wait_for_behind(&fleet, version, &[]).await;
    assert_eq!(
        (&report["nodes_known"], &report["nodes_in_force"]),
        (&json!(8), &json!(8))
    );
    let everywhere = wait::until("the time of full convergence", || async {
        let report = fleet.read("control-1", "/v1/convergence/2").await?;
        Some((
            report["in_force_everywhere_at_ms"].as_u64()?,
            report["accepted_at_ms"].as_u64()?,
        ))
    })
    .await;
    assert!(everywhere.0 >= everywhere.1);
    fleet.kill(&["far-2"]).await;
    let others = [
        "control-1",
        "control-2",
        "control-3",
        "near-1",
        "near-2",
        "near-3",
        "near-4",
        "far-1",
        "far-2",
        "far-4",
    ];
    partition(&fleet, &others, &["far-3"], proxy::FaultRule::Silent);
    let version = apply_change(&fleet, &CONTROLS, &slots_change(2)).await;
    fleet
        .wait_version(&["near-1", "near-4", "far-1", "far-4"], version)
        .await;
    let report = wait_for_behind(&fleet, version, &["far-2", "far-3"]).await;
    assert_eq!(report["in_force_everywhere_at_ms"], Value::Null);
    assert_eq!(report["nodes_in_force"], 6);
    partition(&fleet, &others, &["far-3"], proxy::FaultRule::Pass);
    fleet.start(&["far-2"], &[]).await;
    wait_for_behind(&fleet, version, &[]).await;
    assert!(
        fleet
            .read("control-1", "/v1/convergence/99")
            .await
            .is_some_and(|answer| answer["code"].is_string())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_relay() {
    let fleet = start_fleet().await;
    let relay = wait::until("a relay", || async {
        for name in NEAR_NODES {
            let status = fleet.read(name, "/v1/status").await?;
            if status["children"].as_u64()? > 0 {
                return Some(name);
            }
        }
        None
    })
    .await;
    let others: Vec<&str> = CONTROLS
        .iter()
        .chain(&NEAR_NODES)
        .chain(&FAR_NODES)
        .copied()
        .filter(|name| *name != relay)
        .collect();
    partition(&fleet, &others, &[relay], proxy::FaultRule::Silent);
    let version = apply_change(&fleet, &CONTROLS, &slots_change(1)).await;
    let reachable: Vec<&str> = NEAR_NODES
        .into_iter()
        .filter(|name| *name != relay)
        .collect();
    fleet.wait_version(&reachable, version).await;
    fleet.wait_version(&FAR_NODES, version).await;
    wait_for_reachability(&fleet, reachable[0], relay, "unreachable").await;
    partition(&fleet, &others, &[relay], proxy::FaultRule::Pass);
    fleet.wait_version(&[relay], version).await;
    wait_for_reachability(&fleet, reachable[0], relay, "reachable").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centres_partitioned() {
    let mut fleet = start_fleet().await;
    let target = support::start_stand_in(&mut fleet, "far-1", "t-far").await;
    let near: Vec<&str> = ["control-1", "control-3"]
        .into_iter()
        .chain(NEAR_NODES)
        .collect();
    let far: Vec<&str> = ["control-2"].into_iter().chain(FAR_NODES).collect();
    partition(&fleet, &near, &far, proxy::FaultRule::Cut);
    let mut version = 1;
    for _ in 0..5 {
        version = apply_change(&fleet, &["control-1", "control-3"], &slots_change(version)).await;
    }
    fleet.wait_version(&NEAR_NODES, version).await;
    wait_for_reachability(&fleet, "near-2", "far-3", "unreachable").await;
    wait_for_reachability(&fleet, "far-3", "near-2", "unreachable").await;
    wait_for_reachability(&fleet, "far-3", "far-4", "reachable").await;
    // A node on the minority side restarts and gets its version from its peers.
    fleet.kill(&["far-2"]).await;
    fleet.start(&["far-2"], &[]).await;
    fleet.wait_version(&["far-2"], 1).await;
    drop(target);
    partition(&fleet, &near, &far, proxy::FaultRule::Pass);
    fleet.wait_version(&FAR_NODES, version).await;
    wait_for_reachability(&fleet, "near-2", "far-3", "reachable").await;
    wait_for_behind(&fleet, version, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn mass_restart() {
    let mut fleet = start_fleet().await;
    fleet
        .kill(&["control-1", "near-1", "near-2", "far-1", "far-2"])
        .await;
    let version = apply_change(&fleet, &["control-2", "control-3"], &slots_change(1)).await;
    fleet.start(&["near-1", "near-2"], &[]).await;
    fleet.kill(&["near-3", "near-4"]).await;
    fleet
        .start(&["far-1", "far-2", "near-3", "near-4", "control-1"], &[])
        .await;
    fleet.wait_version(&NEAR_NODES, version).await;
    fleet.wait_version(&FAR_NODES, version).await;
    wait_for_behind(&fleet, version, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_node_waits() {
    let mut fleet = start_fleet().await;
    fleet.kill(&["near-1"]).await;
    let others: Vec<&str> = CONTROLS
        .iter()
        .chain(&NEAR_NODES[1..])
        .chain(&FAR_NODES)
        .copied()
        .collect();
    partition(&fleet, &others, &["near-1"], proxy::FaultRule::Cut);
    fleet.start(&["near-1"], &[]).await;
    let status = wait::until("a reason for waiting", || async {
        let status = fleet.read("near-1", "/v1/status").await?;
        status["waiting"].is_string().then_some(status)
    })
    .await;
    assert_eq!(
        (&status["ready"], &status["catalogue_version"]),
        (&json!(false), &json!(0))
    );
    partition(&fleet, &others, &["near-1"], proxy::FaultRule::Pass);
    fleet.wait_version(&["near-1"], 1).await;
}
