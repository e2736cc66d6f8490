//! At most once: what callers were told against what the targets' logs say, fault by fault.

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
/// Time that a run takes, so that a fault can meet it.
const RUN_MS: u64 = 400;
/// Path of the requests.
const PATH: &str = "/certificates/7";
/// Longest time that a sender gives a request.
const DEADLINE_MS: u64 = 4000;

/// What a sender was told.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Told {
    Answer(String),
    Refusal { code: String, outcome: String },
    Nothing,
}

impl Told {
    fn refusal(code: &str, outcome: &str) -> Self {
        let (code, outcome) = (code.into(), outcome.into());
        Self::Refusal { code, outcome }
    }
}

struct Scene {
    fleet: fleet::Fleet,
    /// Targets at node-2.
    targets: Vec<target::StandInTarget>,
}

impl Scene {
    /// Controls in three data centres, ingress nodes in two, the target at the second node.
    async fn start() -> Self {
        let mut fleet = fleet::Fleet::new(support::DAEMON);
        for (control, data_centre) in CONTROLS.iter().zip(["brasov-a", "sibiu-a", "sibiu-b"]) {
            fleet.add_controls(data_centre, &[control]).await;
        }
        for (node, data_centre) in NODES.iter().zip(["brasov-a", "brasov-a", "sibiu-a"]) {
            fleet.add_node(data_centre, node).await;
        }
        fleet.start(&CONTROLS, &["--bootstrap"]).await;
        fleet.start(&NODES, &[]).await;
        let mut scene = Self {
            fleet,
            targets: Vec::new(),
        };
        scene.accept_first().await;
        scene.add_target("first").await;
        scene.wait_ready(&NODES).await;
        scene
    }

    async fn accept_first(&self) {
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
            latency_ms: RUN_MS,
            crash_pause_ms: Some(100),
            ..behaviour::StandInBehaviour::default()
        };
        let target = support::stand_in_with(&mut self.fleet, "node-2", name, behaviour).await;
        self.targets.push(target);
    }

    /// Waits until nodes reach the target and claims are granted.
    async fn wait_ready(&self, nodes: &[&str]) {
        for node in nodes {
            wait::until(&format!("a run through {node}"), || async {
                let key = format!("ready-{}", rand::random::<u64>());
                let told = self.send(node, &key).await;
                matches!(told, Told::Answer(_)).then_some(())
            })
            .await;
        }
    }

    fn runs(&self, key: &str, path: &str) -> usize {
        let runs = self.targets.iter().flat_map(target::StandInTarget::runs);
        runs.filter(|run| run.key.as_deref() == Some(key) && run.path == path)
            .count()
    }

    async fn send(&self, node: &str, key: &str) -> Told {
        self.send_to(node, key, PATH).await
    }

    /// Sends a request and holds what is told against the targets' logs.
    async fn send_to(&self, node: &str, key: &str, path: &str) -> Told {
        let request = Request::post(path)
            .header("idempotency-key", key)
            .header("hazeltiller-deadline-ms", DEADLINE_MS)
            .body(Full::from("certificate"))
            .expect("it is a request");
        let Some(response) = self.fleet.send_request(node, "callers", request).await else {
            return Told::Nothing;
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
                Told::Refusal { code, outcome }
            }
            _ => {
                assert_eq!(runs, 1, "{key} was answered");
                let body = String::from_utf8_lossy(response.body()).into_owned();
                Told::Answer(body)
            }
        }
    }

    async fn wait_run(&self, key: &str) {
        wait::until(&format!("the run of {key}"), || async {
            (self.runs(key, PATH) == 1).then_some(())
        })
        .await;
    }

    /// Sends a request, runs `fault` once it runs, and returns what its sender was told.
    async fn send_with<F: AsyncFnOnce(&mut fleet::Fleet)>(
        &mut self,
        node: &str,
        key: &str,
        fault: F,
    ) -> Told {
        let address = self.fleet.instance(node).addresses["callers"];
        let request = Request::post(PATH)
            .header("idempotency-key", key)
            .header("hazeltiller-deadline-ms", DEADLINE_MS)
            .body(Full::from("certificate"));
        let request = request.expect("it is a request");
        let sending = tokio::spawn(hazeltiller_standin::client::exchange(address, request));
        self.wait_run(key).await;
        fault(&mut self.fleet).await;
        let Ok(Ok(response)) = sending.await else {
            return Told::Nothing;
        };
        let text = |name: &str| response.headers().get(name)?.to_str().ok();
        match (text("hazeltiller-code"), text("hazeltiller-outcome")) {
            (Some(code), Some(outcome)) => Told::refusal(code, outcome),
            _ => Told::Answer(String::from_utf8_lossy(response.body()).into_owned()),
        }
    }

    async fn restart(&mut self, names: &[&str]) {
        self.fleet.start(names, &[]).await;
        self.fleet.wait_version(names, 1).await;
        if names.contains(&"node-2") {
            for target in &self.targets {
                // The node listens elsewhere now; a target's agent would find it again.
                target.stop();
            }
            let name = format!("after-{}", self.targets.len());
            self.add_target(&name).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resends() {
    let scene = Scene::start().await;
    let (one, two, three) = tokio::join!(
        scene.send("node-1", "at-once"),
        scene.send("node-2", "at-once"),
        scene.send("node-3", "at-once"),
    );
    assert!(matches!(one, Told::Answer(_)), "{one:?}");
    assert_eq!((&one, &one), (&two, &three), "all get the one answer");
    for node in NODES {
        let again = scene.send(node, "at-once").await;
        assert_eq!(one, again, "a late resend through {node}");
    }
    let other = scene.send_to("node-1", "at-once", "/certificates/8").await;
    assert!(
        matches!(other, Told::Answer(_)) && other != one,
        "another request: {other:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let mut scene = Scene::start().await;
    let callers = scene.fleet.instance("node-1").addresses["callers"];
    for (index, node) in NODES.iter().enumerate() {
        let key = format!("gone-{index}");
        let request = Request::post("/certificates/7")
            .header("idempotency-key", &key)
            .body(Full::from("certificate"));
        let request = request.expect("it is a request");
        let sending = hazeltiller_standin::client::exchange(callers, request);
        let gone = time::timeout(Duration::from_millis(RUN_MS / 4), sending).await;
        assert!(gone.is_err(), "the caller goes before the answer");
        let told = scene.send(node, &key).await;
        let Told::Answer(_) = told else {
            panic!("the answer is kept for {node}: {told:?}");
        };
    }
    // Between the ingress node and the target's node.
    let told = scene
        .send_with("node-1", "link", async |fleet| {
            fleet.set_pair_rule("node-1", "node-2", proxy::FaultRule::Cut);
        })
        .await;
    assert_eq!(told, Told::refusal("HZ3016", "unknown"));
    scene
        .fleet
        .set_pair_rule("node-1", "node-2", proxy::FaultRule::Pass);
    for node in NODES {
        let told = scene.send(node, "link").await;
        assert_eq!(told, Told::refusal("HZ3013", "unknown"), "through {node}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn target_killed() {
    let mut scene = Scene::start().await;
    let target = scene.targets[0].clone();
    let told = scene
        .send_with("node-1", "killed", async |_| {
            target.crash(Duration::from_millis(50));
        })
        .await;
    assert_eq!(told, Told::refusal("HZ3007", "unknown"));
    for node in NODES {
        let told = scene.send(node, "killed").await;
        assert_eq!(told, Told::refusal("HZ3013", "unknown"), "through {node}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_killed() {
    let mut scene = Scene::start().await;
    let table: [(&str, &[&str]); 3] = [
        ("ingress", &["node-1"]),
        ("owner", &["node-2"]),
        ("both", &["node-1", "node-2"]),
    ];
    for (row, killed) in table {
        // During the run.
        let during = format!("during-{row}");
        scene
            .send_with("node-1", &during, async |fleet| fleet.kill(killed).await)
            .await;
        let told = scene.send("node-3", &during).await;
        assert_eq!(
            told,
            Told::refusal("HZ3013", "unknown"),
            "{during} from elsewhere"
        );
        scene.restart(killed).await;
        scene.wait_ready(&NODES).await;
        let told = scene.send("node-1", &during).await;
        assert_eq!(
            told,
            Told::refusal("HZ3013", "unknown"),
            "{during} after a restart"
        );
        // After the run.
        let after = format!("after-{row}");
        let answer = scene.send("node-1", &after).await;
        assert!(matches!(answer, Told::Answer(_)), "{after}: {answer:?}");
        // A later claim on the same links proves that the controls know of the first one's end.
        scene.send("node-1", &format!("behind-{row}")).await;
        scene.fleet.kill(killed).await;
        let told = scene.send("node-3", &after).await;
        let ran = Told::refusal("HZ3012", "ran");
        assert!(told == answer || told == ran, "{after}: {told:?}");
        assert_eq!(
            told == ran,
            killed.contains(&"node-1"),
            "{after}: the answer is gone"
        );
        scene.restart(killed).await;
        scene.wait_ready(&NODES).await;
        // Before the run: nothing is up that could have run it.
        let before = format!("before-{row}");
        scene.fleet.kill(killed).await;
        let told = scene.send("node-3", &before).await;
        let is_down = killed.contains(&"node-2");
        assert_eq!(
            matches!(told, Told::Answer(_)),
            !is_down,
            "{before}: {told:?}"
        );
        scene.restart(killed).await;
        scene.wait_ready(&NODES).await;
        let told = wait::until("a resend after the restart", || async {
            let told = scene.send("node-1", &before).await;
            matches!(told, Told::Answer(_)).then_some(told)
        })
        .await;
        assert!(matches!(told, Told::Answer(_)), "{before}: it runs once");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off() {
    let scene = Scene::start().await;
    let first = scene.send("node-1", "before-cut").await;
    assert!(matches!(first, Told::Answer(_)), "{first:?}");
    for rule in [proxy::FaultRule::Cut, proxy::FaultRule::Silent] {
        for control in CONTROLS {
            scene.fleet.set_pair_rule("node-3", control, rule);
        }
        let key = format!("cut-{rule:?}");
        for key in [key.as_str(), "before-cut"] {
            let told = scene.send("node-3", key).await;
            assert_eq!(told, Told::refusal("HZ3013", "unknown"), "{key} {rule:?}");
        }
        let free = Request::get("/vehicles/1").body(Full::default());
        let answer = scene
            .fleet
            .send_request("node-3", "callers", free.expect("a request"))
            .await;
        assert_eq!(
            answer.expect("an answer").status(),
            200,
            "lookups need no control"
        );
        for control in CONTROLS {
            scene
                .fleet
                .set_pair_rule("node-3", control, proxy::FaultRule::Pass);
        }
        let told = wait::until("a resend once the cut is over", || async {
            let told = scene.send("node-3", &key).await;
            matches!(told, Told::Answer(_)).then_some(told)
        })
        .await;
        assert_eq!(scene.send("node-1", &key).await, told);
        assert_eq!(scene.send("node-3", "before-cut").await, first);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn controls_lost() {
    let mut scene = Scene::start().await;
    scene.fleet.kill(&["control-3"]).await;
    let first = scene.send("node-1", "one-lost").await;
    assert!(matches!(first, Told::Answer(_)), "{first:?}");
    scene.fleet.kill(&["control-2"]).await;
    let told = scene.send("node-1", "two-lost").await;
    assert_eq!(told, Told::refusal("HZ3013", "unknown"));
    assert_eq!(scene.runs("two-lost", PATH), 0);
    // All at once, and the node that held the claim with them.
    scene.fleet.kill(&["control-1", "node-1"]).await;
    scene.fleet.start(&CONTROLS, &[]).await;
    scene.restart(&["node-1"]).await;
    scene.wait_ready(&["node-1"]).await;
    let told = scene.send("node-1", "one-lost").await;
    assert_eq!(
        told,
        Told::refusal("HZ3012", "ran"),
        "claims survive on the disks"
    );
    // A control with an empty disk grants nothing, so a majority of old disks is still needed.
    scene.fleet.kill(&["control-1", "control-2"]).await;
    scene.fleet.delete_data("control-1");
    scene.fleet.start(&["control-1"], &[]).await;
    let told = scene.send("node-1", "empty-disk").await;
    assert_eq!(told, Told::refusal("HZ3013", "unknown"));
    let told = scene.send("node-3", "one-lost").await;
    assert!(
        matches!(told, Told::Refusal { ref code, .. } if code != "HZ3002"),
        "{told:?}"
    );
}

/// Settings that still ask for a first start say nothing of what a folder has held: of three controls that
/// kept a claim two are emptied, and neither grants the same request anew.
#[tokio::test(flavor = "multi_thread")]
async fn emptied_while_bootstrapping() {
    let mut scene = Scene::start().await;
    let first = scene.send("node-1", "kept").await;
    assert!(matches!(first, Told::Answer(_)), "{first:?}");
    let emptied = ["control-2", "control-3"];
    scene.fleet.kill(&emptied).await;
    for control in emptied {
        scene.fleet.delete_data(control);
        scene.fleet.instance(control).settings["bootstrap"] = json!(true);
    }
    scene.fleet.start(&emptied, &[]).await;
    // The holder of the claim, which would tell of the run, is gone too.
    scene.fleet.kill(&["node-1"]).await;
    for _ in 0..3 {
        let told = scene.send("node-3", "kept").await;
        assert!(matches!(told, Told::Refusal { .. }), "{told:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn membership_moves() {
    let mut scene = Scene::start().await;
    let first = scene.send("node-1", "moved").await;
    scene.add_target("second").await;
    scene.targets[0].drain().await;
    scene.targets[0].withdraw().await;
    for node in NODES {
        assert_eq!(scene.send(node, "moved").await, first, "through {node}");
    }
}
