//! The time line over several processes.

use std::process::Command;

use hazeltiller_standin::behaviour;
use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::Value;

use crate::support;

async fn started_fleet() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    fleet.add_node("brasov-a", "node-1").await;
    fleet.add_node("sibiu-a", "node-2").await;
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&["node-1", "node-2"], &[]).await;
    wait::until("the first change", || async {
        let (status, _) = fleet.change("control-1", &support::first_change()).await?;
        (status == 200).then_some(())
    })
    .await;
    fleet.wait_version(&["node-1", "node-2"], 1).await;
    fleet
}

/// Runs the command over every process, and one address where nobody listens.
fn timeline(fleet: &mut fleet::Fleet, arguments: &[&str]) -> (Vec<Value>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hazeltiller"));
    command.args(["timeline", "--output", "json", "--operators", "127.0.0.1:9"]);
    for name in ["control-1", "node-1", "node-2"] {
        let address = fleet.instance(name).addresses["operators"];
        command.args(["--operators", &address.to_string()]);
    }
    let output = command.args(arguments).output().expect("it was built");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("it prints text");
    let events = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line is an event"));
    let errors = String::from_utf8(output.stderr).expect("it prints text");
    (events.collect(), errors)
}

fn steps(events: &[Value]) -> Vec<(&str, &str)> {
    events
        .iter()
        .map(|event| {
            let text = |name: &str| event[name].as_str().expect("each event has it");
            (text("instance"), text("kind"))
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn change_followed() {
    let mut fleet = started_fleet().await;
    let (events, errors) = timeline(&mut fleet, &["--version", "1"]);
    let steps = steps(&events);
    assert_eq!(steps[0], ("control-1", "change_proposed"), "{events:?}");
    assert!(steps.contains(&("control-1", "change_accepted")));
    for name in ["control-1", "node-1", "node-2"] {
        let in_force = steps
            .iter()
            .filter(|step| **step == (name, "version_in_force"));
        assert_eq!(in_force.count(), 1, "{name}: {events:?}");
    }
    assert!(errors.contains("not reached") && errors.contains("127.0.0.1:9"));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_followed() {
    let mut fleet = started_fleet().await;
    let _target = support::stand_in(&mut fleet, "node-2", "registru-sibiu-1").await;
    let answer = wait::until("an answer through the other node", || async {
        let request = Request::get("/vehicles/7").body(Full::default()).ok()?;
        let response = fleet.send_request("node-1", "callers", request).await?;
        (response.status() == StatusCode::OK).then_some(response)
    })
    .await;
    let id = answer.headers()["hazeltiller-request"].to_str();
    let id = id.expect("an id is printable").to_owned();
    let events = wait::until("the end of the run", || {
        let (events, _) = timeline(&mut fleet, &["--request", &id]);
        let is_over = events.iter().any(|event| event["kind"] == "run_done");
        async move { is_over.then_some(events) }
    })
    .await;
    let mut found = steps(&events);
    let way = [
        ("node-1", "call_arrived"),
        ("node-1", "call_tried"),
        ("node-2", "call_offered"),
        ("node-2", "call_run"),
        ("node-1", "call_answered"),
    ];
    // The end of the run at the owner node and the answer at the ingress node race each other.
    found.retain(|step| *step != ("node-2", "run_done"));
    assert_eq!(found, way, "each cause before its consequence");
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_counted() {
    let mut fleet = started_fleet().await;
    let _target = support::stand_in(&mut fleet, "node-2", "registru-sibiu-1").await;
    let ask = |path: &'static str| {
        let request = Request::get(path).body(Full::default());
        fleet.send_request("node-1", "callers", request.expect("it is a path"))
    };
    wait::until("an answer through the other node", || async {
        let response = ask("/vehicles/7").await?;
        (response.status() == StatusCode::OK).then_some(())
    })
    .await;
    ask("/nowhere").await.expect("a refusal is an answer");
    let rows = hazeltiller_daemon::metrics::ProcessMetrics::rows();
    let table = [
        (
            "node-1",
            "hazeltiller_calls_total{class=\"counter\",result=\"answered\",service=\"registru\"} 1",
        ),
        (
            "node-1",
            "hazeltiller_call_seconds_count{class=\"counter\",service=\"registru\"} 1",
        ),
        (
            "node-1",
            "hazeltiller_refusals_total{code=\"HZ3001\",side=\"ingress\"} 1",
        ),
        (
            "node-2",
            "hazeltiller_runs_total{result=\"done\",service=\"registru\"} 1",
        ),
        (
            "node-2",
            "hazeltiller_slot_microseconds_total{class=\"counter\",result=\"in_time\",service=\"registru\"} ",
        ),
        (
            "node-2",
            "hazeltiller_slots{target=\"registru-sibiu-1\"} 10",
        ),
        ("node-1", "hazeltiller_catalogue_version 1"),
        ("control-1", "hazeltiller_is_leader 1"),
        ("control-1", "hazeltiller_members{state=\"reachable\"} 2"),
        ("control-1", "hazeltiller_nodes_in_force 2"),
        ("control-1", "hazeltiller_store_sync_seconds_count "),
        ("control-1", "reason=\"delta\"} "),
    ];
    for (name, line) in table {
        wait::until(line, || async {
            let request = Request::get("/metrics").body(Full::default()).ok()?;
            let response = fleet.send_request(name, "operators", request).await?;
            let text = String::from_utf8(response.body().to_vec()).ok()?;
            for head in text.lines().filter(|line| line.starts_with("# HELP ")) {
                let named = head.split(' ').nth(2).expect("a name follows");
                assert!(rows.iter().any(|row| row.name == named), "{head}");
            }
            text.contains(line).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_followed() {
    let mut fleet = started_fleet().await;
    let request = Request::get("/nowhere")
        .header("hazeltiller-request", "caller-7")
        .body(Full::default());
    let request = request.expect("the path is a URI");
    let answer = fleet.send_request("node-1", "callers", request).await;
    let answer = answer.expect("a refusal is an answer");
    assert_eq!(answer.headers()["hazeltiller-request"], "caller-7");
    let (events, _) = timeline(&mut fleet, &["--request", "caller-7"]);
    assert_eq!(
        steps(&events),
        [("node-1", "call_arrived"), ("node-1", "call_refused")]
    );
    assert_eq!(events[1]["code"], "HZ3001");
    let line = wait::until("a line of the log", || async {
        let log = fleet.log("node-1");
        let line = log.lines().find(|line| {
            line.contains(r#""request":"caller-7""#) && line.contains("call_refused")
        })?;
        Some(line.to_owned())
    })
    .await;
    let line: serde_json::Value = serde_json::from_str(&line).expect("a line is an object");
    assert_eq!(
        (&line["kind"], &line["code"], &line["instance"]),
        (&"call_refused".into(), &"HZ3001".into(), &"node-1".into())
    );
    let file = fleet.folder().join("node-1.log");
    let explained = std::process::Command::new(env!("CARGO_BIN_EXE_hazeltiller"))
        .args(["explain", "caller-7"])
        .arg(file)
        .output()
        .expect("the tool was built");
    let explained = String::from_utf8_lossy(&explained.stdout).into_owned();
    assert!(
        explained.contains("call_arrived") && explained.contains("cause: refused with HZ3001"),
        "{explained}"
    );
}

/// Runs that come to nothing stand in the sums of their route, at the node of their target.
#[tokio::test(flavor = "multi_thread")]
async fn slots_accounted() {
    let mut fleet = started_fleet().await;
    let target = support::stand_in(&mut fleet, "node-2", "registru-sibiu-1").await;
    target.set_behaviour(behaviour::StandInBehaviour {
        answer: behaviour::ResponseMode::Failing,
        ..behaviour::StandInBehaviour::default()
    });
    wait::until("a failed run", || async {
        let request = Request::get("/vehicles/7").body(Full::default()).ok()?;
        let response = fleet.send_request("node-1", "callers", request).await?;
        (response.status() == StatusCode::INTERNAL_SERVER_ERROR).then_some(())
    })
    .await;
    let line = wait::until("the sums of its second", || async {
        let log = fleet.log("node-2");
        let line = log.lines().find(|line| line.contains("route_usage"))?;
        Some(line.to_owned())
    })
    .await;
    let line: Value = serde_json::from_str(&line).expect("a line is an object");
    assert_eq!(line["route"], "lookup", "{line}");
    assert!(line["failed"].as_u64() >= Some(1), "{line}");
    assert_eq!((&line["in_time"], &line["late"]), (&0.into(), &0.into()));
}

/// A line longer than what a pipe takes at once is left out and its place marked; no line is cut.
#[tokio::test(flavor = "multi_thread")]
async fn lines_bounded() {
    let mut fleet = started_fleet().await;
    let path = format!("/vehicles/{}", "x".repeat(10_000));
    let request = Request::get(path).body(Full::default());
    let request = request.expect("it is a path");
    let answer = fleet.send_request("node-1", "callers", request).await;
    assert_eq!(
        answer.expect("the node answers").status(),
        StatusCode::SERVICE_UNAVAILABLE
    );
    fleet.stop("node-1").await;
    let log = fleet.log("node-1");
    assert!(log.contains("line_oversize"), "{log}");
    for line in log.lines().filter(|line| line.starts_with('{')) {
        assert!(line.len() < 4096);
        serde_json::from_str::<Value>(line).expect("each line is whole");
    }
}
