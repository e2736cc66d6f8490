//! At-most-once execution: compares the outcomes reported to callers with the run logs of the
//! targets, for each kind of fault.

use std::time::Duration;

use hazeltiller_standin::{behaviour, target};
use hazeltiller_testkit::{fleet, proxy, wait};
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use tokio::time;

use crate::support;

const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];
const NODES: [&str; 3] = ["node-1", "node-2", "node-3"];
/// Duration of a run, long enough to inject a fault during it.
const RUN_LATENCY_MS: u64 = 400;
/// Path of the requests.
const PATH: &str = "/certificates/7";
/// Deadline of each request.
const DEADLINE_MS: u64 = 15_000;
/// Time that a node tries to get a claim stored. The default, a second, is less than a sync takes
/// while other processes write gigabytes to the disk.
const CLAIM_MS: u64 = 5000;

/// Outcome that a sender received for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ReceivedOutcome {
    Response(String),
    Refusal { code: String, outcome: String },
    NoResponse,
}

impl ReceivedOutcome {
    fn refusal(code: &str, outcome: &str) -> Self {
        let (code, outcome) = (code.into(), outcome.into());
        Self::Refusal { code, outcome }
    }
}

struct FaultScenario {
    fleet: fleet::Fleet,
    /// Targets that announce themselves to `node-2`.
    targets: Vec<target::StandInTarget>,
}

impl FaultScenario {
    /// Starts controls in three data centres, nodes in two of them, and a target at `node-2`.
    async fn start() -> Self {
        let mut fleet = fleet::Fleet::new(support::DAEMON);
        for (control, data_centre) in CONTROLS.iter().zip(["brasov-a", "sibiu-a", "sibiu-b"]) {
            fleet.add_controls(data_centre, &[control]).await;
        }
        for (node, data_centre) in NODES.iter().zip(["brasov-a", "brasov-a", "sibiu-a"]) {
            fleet.add_node(data_centre, node).await;
        }
        for node in NODES {
            let tunables = json!({"ledger": {"claim_ms": CLAIM_MS}});
            fleet.instance(node).settings["tunables"] = tunables;
        }
        fleet.start(&CONTROLS, &["--bootstrap"]).await;
        fleet.start(&NODES, &[]).await;
        let mut scenario = Self {
            fleet,
            targets: Vec::new(),
        };
        scenario.apply_first_change().await;
        scenario.add_target("first").await;
        scenario.wait_until_ready(&NODES).await;
        scenario
    }

    async fn apply_first_change(&self) {
        wait::until("the first change", || async {
            for control in CONTROLS {
                let answer = self.fleet.change(control, &support::first_change()).await;
                if answer.is_some_and(|(status, _)| status == 200) {
                    return Some(());
                }
            }
            None
        })
        .await;
        self.fleet.wait_version(&NODES, 1).await;
    }

    async fn add_target(&mut self, name: &str) {
        let behaviour = behaviour::StandInBehaviour {
            latency_ms: RUN_LATENCY_MS,
            crash_pause_ms: Some(100),
            ..behaviour::StandInBehaviour::default()
        };
        let target = support::start_stand_in_with(&mut self.fleet, "node-2", name, behaviour).await;
        self.targets.push(target);
    }

    /// Waits until each node gets a request run, which needs a reachable target and granted claims.
    async fn wait_until_ready(&self, nodes: &[&str]) {
        for node in nodes {
            wait::until(&format!("a run through {node}"), || async {
                let key = format!("ready-{}", rand::random::<u64>());
                let received = self.send(node, &key).await;
                matches!(received, ReceivedOutcome::Response(_)).then_some(())
            })
            .await;
        }
    }

    fn runs(&self, key: &str, path: &str) -> usize {
        let runs = self.targets.iter().flat_map(target::StandInTarget::runs);
        runs.filter(|run| run.key.as_deref() == Some(key) && run.path == path)
            .count()
    }

    async fn send(&self, node: &str, key: &str) -> ReceivedOutcome {
        self.send_to(node, key, PATH).await
    }

    /// Sends a request and checks the outcome against the run logs of the targets.
    async fn send_to(&self, node: &str, key: &str, path: &str) -> ReceivedOutcome {
        let request = Request::post(path)
            .header("idempotency-key", key)
            .header("hazeltiller-deadline-ms", DEADLINE_MS)
            .body(Full::from("certificate"))
            .expect("a valid request");
        let Some(response) = self.fleet.send_request(node, "callers", request).await else {
            return ReceivedOutcome::NoResponse;
        };
        let text = |name: &str| {
            let value = response.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let runs = self.runs(key, path);
        assert!(runs <= 1, "{key} ran {runs} times");
        match (text("hazeltiller-code"), text("hazeltiller-outcome")) {
            (Some(code), Some(outcome)) => {
                assert!(outcome != "not-run" || runs == 0, "{key} ran: {code}");
                assert!(outcome != "ran" || runs == 1, "{key} did not run: {code}");
                ReceivedOutcome::Refusal { code, outcome }
            }
            _ => {
                assert_eq!(runs, 1, "{key} was answered but did not run once");
                let body = String::from_utf8_lossy(response.body()).into_owned();
                ReceivedOutcome::Response(body)
            }
        }
    }

    async fn wait_for_run(&self, key: &str) {
        wait::until(&format!("the run of {key}"), || async {
            (self.runs(key, PATH) == 1).then_some(())
        })
        .await;
    }

    /// Sends a request, injects `fault` during its run and returns the outcome that the sender
    /// received.
    async fn send_with<F: AsyncFnOnce(&mut fleet::Fleet)>(
        &mut self,
        node: &str,
        key: &str,
        fault: F,
    ) -> ReceivedOutcome {
        let address = self.fleet.instance(node).addresses["callers"];
        let request = Request::post(PATH)
            .header("idempotency-key", key)
            .header("hazeltiller-deadline-ms", DEADLINE_MS)
            .body(Full::from("certificate"));
        let request = request.expect("a valid request");
        let sending = tokio::spawn(hazeltiller_standin::client::exchange(address, request));
        self.wait_for_run(key).await;
        fault(&mut self.fleet).await;
        let Ok(Ok(response)) = sending.await else {
            return ReceivedOutcome::NoResponse;
        };
        let text = |name: &str| response.headers().get(name)?.to_str().ok();
        match (text("hazeltiller-code"), text("hazeltiller-outcome")) {
            (Some(code), Some(outcome)) => ReceivedOutcome::refusal(code, outcome),
            _ => ReceivedOutcome::Response(String::from_utf8_lossy(response.body()).into_owned()),
        }
    }

    async fn restart(&mut self, names: &[&str]) {
        self.fleet.start(names, &[]).await;
        self.fleet.wait_version(names, 1).await;
        if names.contains(&"node-2") {
            for target in &self.targets {
                // The restarted node listens on a new port. The agent of a real target would find it
                // again; stand-ins do not.
                target.stop();
            }
            let name = format!("after-{}", self.targets.len());
            self.add_target(&name).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resends_deduplicated() {
    let scenario = FaultScenario::start().await;
    let (one, two, three) = tokio::join!(
        scenario.send("node-1", "at-once"),
        scenario.send("node-2", "at-once"),
        scenario.send("node-3", "at-once"),
    );
    assert!(matches!(one, ReceivedOutcome::Response(_)), "{one:?}");
    assert_eq!(
        (&one, &one),
        (&two, &three),
        "all senders receive the same response"
    );
    for node in NODES {
        let again = scenario.send(node, "at-once").await;
        assert_eq!(one, again, "a late resend through {node}");
    }
    let other = scenario
        .send_to("node-1", "at-once", "/certificates/8")
        .await;
    assert!(
        matches!(other, ReceivedOutcome::Response(_)) && other != one,
        "another request: {other:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn response_lost() {
    let mut scenario = FaultScenario::start().await;
    let callers = scenario.fleet.instance("node-1").addresses["callers"];
    for (index, node) in NODES.iter().enumerate() {
        let key = format!("gone-{index}");
        let request = Request::post("/certificates/7")
            .header("idempotency-key", &key)
            .body(Full::from("certificate"));
        let request = request.expect("a valid request");
        let sending = hazeltiller_standin::client::exchange(callers, request);
        let gone = time::timeout(Duration::from_millis(RUN_LATENCY_MS / 4), sending).await;
        assert!(gone.is_err(), "the caller disconnects before the response");
        let received = scenario.send(node, &key).await;
        let ReceivedOutcome::Response(_) = received else {
            panic!("the stored response is not returned through {node}: {received:?}");
        };
    }
    // The link between the ingress node and the node of the target.
    let received = scenario
        .send_with("node-1", "link", async |fleet| {
            fleet.set_pair_rule("node-1", "node-2", proxy::FaultRule::Cut);
        })
        .await;
    assert_eq!(received, ReceivedOutcome::refusal("HZ3016", "unknown"));
    scenario
        .fleet
        .set_pair_rule("node-1", "node-2", proxy::FaultRule::Pass);
    for node in NODES {
        let received = scenario.send(node, "link").await;
        assert_eq!(
            received,
            ReceivedOutcome::refusal("HZ3013", "unknown"),
            "through {node}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn target_killed() {
    let mut scenario = FaultScenario::start().await;
    let target = scenario.targets[0].clone();
    let received = scenario
        .send_with("node-1", "killed", async |_| {
            target.crash(Duration::from_millis(50));
        })
        .await;
    assert_eq!(received, ReceivedOutcome::refusal("HZ3007", "unknown"));
    for node in NODES {
        let received = scenario.send(node, "killed").await;
        assert_eq!(
            received,
            ReceivedOutcome::refusal("HZ3013", "unknown"),
            "through {node}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_killed() {
    let mut scenario = FaultScenario::start().await;
    let table: [(&str, &[&str]); 3] = [
        ("ingress", &["node-1"]),
        ("owner", &["node-2"]),
        ("both", &["node-1", "node-2"]),
    ];
    for (row, killed) in table {
        // During the run.
        let during = format!("during-{row}");
        scenario
            .send_with("node-1", &during, async |fleet| fleet.kill(killed).await)
            .await;
        let received = scenario.send("node-3", &during).await;
        assert_eq!(
            received,
            ReceivedOutcome::refusal("HZ3013", "unknown"),
            "{during} through another node"
        );
        scenario.restart(killed).await;
        scenario.wait_until_ready(&NODES).await;
        let received = scenario.send("node-1", &during).await;
        assert_eq!(
            received,
            ReceivedOutcome::refusal("HZ3013", "unknown"),
            "{during} after a restart"
        );
        // After the run.
        let after = format!("after-{row}");
        let answer = scenario.send("node-1", &after).await;
        assert!(
            matches!(answer, ReceivedOutcome::Response(_)),
            "{after}: {answer:?}"
        );
        // A later claim over the same links proves that the controls have recorded the end of the
        // first one.
        scenario.send("node-1", &format!("behind-{row}")).await;
        scenario.fleet.kill(killed).await;
        let received = scenario.send("node-3", &after).await;
        let ran = ReceivedOutcome::refusal("HZ3012", "ran");
        assert!(
            received == answer || received == ran,
            "{after}: {received:?}"
        );
        assert_eq!(
            received == ran,
            killed.contains(&"node-1"),
            "{after}: the response is lost only with the ingress node"
        );
        scenario.restart(killed).await;
        scenario.wait_until_ready(&NODES).await;
        // Before the run, while the killed nodes are down.
        let before = format!("before-{row}");
        scenario.fleet.kill(killed).await;
        let received = scenario.send("node-3", &before).await;
        let is_down = killed.contains(&"node-2");
        assert_eq!(
            matches!(received, ReceivedOutcome::Response(_)),
            !is_down,
            "{before}: {received:?}"
        );
        scenario.restart(killed).await;
        scenario.wait_until_ready(&NODES).await;
        let received = wait::until("a resend after the restart", || async {
            let received = scenario.send("node-1", &before).await;
            matches!(received, ReceivedOutcome::Response(_)).then_some(received)
        })
        .await;
        assert!(
            matches!(received, ReceivedOutcome::Response(_)),
            "{before}: the resend is run"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn node_partitioned() {
    let scenario = FaultScenario::start().await;
    let first = scenario.send("node-1", "before-cut").await;
    assert!(matches!(first, ReceivedOutcome::Response(_)), "{first:?}");
    for rule in [proxy::FaultRule::Cut, proxy::FaultRule::Silent] {
        for control in CONTROLS {
            scenario.fleet.set_pair_rule("node-3", control, rule);
        }
        let key = format!("cut-{rule:?}");
        for key in [key.as_str(), "before-cut"] {
            let received = scenario.send("node-3", key).await;
            assert_eq!(
                received,
                ReceivedOutcome::refusal("HZ3013", "unknown"),
                "{key} {rule:?}"
            );
        }
        let lookup = Request::get("/vehicles/1").body(Full::default());
        let response = scenario
            .fleet
            .send_request("node-3", "callers", lookup.expect("a valid request"))
            .await;
        assert_eq!(
            response.expect("a response").status(),
            200,
            "lookups need no control"
        );
        for control in CONTROLS {
            scenario
                .fleet
                .set_pair_rule("node-3", control, proxy::FaultRule::Pass);
        }
        let received = wait::until("an answered resend after the partition", || async {
            let received = scenario.send("node-3", &key).await;
            matches!(received, ReceivedOutcome::Response(_)).then_some(received)
        })
        .await;
        assert_eq!(scenario.send("node-1", &key).await, received);
        assert_eq!(scenario.send("node-3", "before-cut").await, first);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn controls_lost() {
    let mut scenario = FaultScenario::start().await;
    scenario.fleet.kill(&["control-3"]).await;
    let first = scenario.send("node-1", "one-lost").await;
    assert!(matches!(first, ReceivedOutcome::Response(_)), "{first:?}");
    scenario.fleet.kill(&["control-2"]).await;
    let received = scenario.send("node-1", "two-lost").await;
    assert_eq!(received, ReceivedOutcome::refusal("HZ3013", "unknown"));
    assert_eq!(scenario.runs("two-lost", PATH), 0);
    // All controls are down at once, and so is the node that held the claim.
    scenario.fleet.kill(&["control-1", "node-1"]).await;
    scenario.fleet.start(&CONTROLS, &[]).await;
    scenario.restart(&["node-1"]).await;
    scenario.wait_until_ready(&["node-1"]).await;
    let received = scenario.send("node-1", "one-lost").await;
    assert_eq!(
        received,
        ReceivedOutcome::refusal("HZ3012", "ran"),
        "claims survive a restart of all controls"
    );
    // A control with an empty disk grants no claims, so a majority still needs the old disks.
    scenario.fleet.kill(&["control-1", "control-2"]).await;
    scenario.fleet.delete_data("control-1");
    scenario.fleet.start(&["control-1"], &[]).await;
    let received = scenario.send("node-1", "empty-disk").await;
    assert_eq!(received, ReceivedOutcome::refusal("HZ3013", "unknown"));
    let received = scenario.send("node-3", "one-lost").await;
    assert!(
        matches!(received, ReceivedOutcome::Refusal { ref code, .. } if code != "HZ3002"),
        "{received:?}"
    );
}

/// Two of three controls that stored a claim restart with empty data folders while their settings
/// still enable `bootstrap`. They must not treat this as a first start and grant the claim again.
#[tokio::test(flavor = "multi_thread")]
async fn emptied_while_bootstrapping() {
    let mut scenario = FaultScenario::start().await;
    let first = scenario.send("node-1", "kept").await;
    assert!(matches!(first, ReceivedOutcome::Response(_)), "{first:?}");
    let emptied = ["control-2", "control-3"];
    scenario.fleet.kill(&emptied).await;
    for control in emptied {
        scenario.fleet.delete_data(control);
        scenario.fleet.instance(control).settings["bootstrap"] = json!(true);
    }
    scenario.fleet.start(&emptied, &[]).await;
    // The node that holds the claim could still report the run, so it is killed too.
    scenario.fleet.kill(&["node-1"]).await;
    for _ in 0..3 {
        let received = scenario.send("node-3", "kept").await;
        assert!(
            matches!(received, ReceivedOutcome::Refusal { .. }),
            "{received:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn target_replaced() {
    let mut scenario = FaultScenario::start().await;
    let first = scenario.send("node-1", "moved").await;
    scenario.add_target("second").await;
    scenario.targets[0].drain().await;
    scenario.targets[0].withdraw().await;
    for node in NODES {
        assert_eq!(scenario.send(node, "moved").await, first, "through {node}");
    }
}
