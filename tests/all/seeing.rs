//! Observability across processes: timeline, metrics and logs.

use std::process::Command;

use hazeltiller_standin::behaviour;
use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::Value;

use crate::support;

async fn start_fleet() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    fleet.add_node("brasov-a", "node-1").await;
    fleet.add_node("sibiu-a", "node-2").await;
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&["node-1", "node-2"], &[]).await;
    wait::until("acceptance of the first change", || async {
        let (status, _) = fleet.change("control-1", &support::first_change()).await?;
        (status == 200).then_some(())
    })
    .await;
    fleet.wait_version(&["node-1", "node-2"], 1).await;
    fleet
}

/// Runs the `timeline` command against every process and one address where nothing listens. Returns
/// the events and the text on standard error.
fn read_timeline(fleet: &mut fleet::Fleet, arguments: &[&str]) -> (Vec<Value>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hazeltiller"));
    command.args(["timeline", "--output", "json", "--operators", "127.0.0.1:9"]);
    for name in ["control-1", "node-1", "node-2"] {
        let address = fleet.instance(name).addresses["operators"];
        command.args(["--operators", &address.to_string()]);
    }
    let output = command
        .args(arguments)
        .output()
        .expect("the command line tool runs");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let events = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line is a JSON event"));
    let errors = String::from_utf8(output.stderr).expect("the output is UTF-8");
    (events.collect(), errors)
}

fn instance_kinds(events: &[Value]) -> Vec<(&str, &str)> {
    events
        .iter()
        .map(|event| {
            let text = |name: &str| event[name].as_str().expect("each event has the field");
            (text("instance"), text("kind"))
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn change_followed() {
    let mut fleet = start_fleet().await;
    let (events, errors) = read_timeline(&mut fleet, &["--version", "1"]);
    let instance_kinds = instance_kinds(&events);
    assert_eq!(
        instance_kinds[0],
        ("control-1", "change_proposed"),
        "{events:?}"
    );
    assert!(instance_kinds.contains(&("control-1", "change_accepted")));
    for name in ["control-1", "node-1", "node-2"] {
        let in_force = instance_kinds
            .iter()
            .filter(|step| **step == (name, "version_in_force"));
        assert_eq!(in_force.count(), 1, "{name}: {events:?}");
    }
    assert!(errors.contains("not reached") && errors.contains("127.0.0.1:9"));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_followed() {
    let mut fleet = start_fleet().await;
    let _target = support::start_stand_in(&mut fleet, "node-2", "registru-sibiu-1").await;
    let response = wait::until("a response through the other node", || async {
        let request = Request::get("/vehicles/7").body(Full::default()).ok()?;
        let response = fleet.send_request("node-1", "callers", request).await?;
        (response.status() == StatusCode::OK).then_some(response)
    })
    .await;
    let id = response.headers()["hazeltiller-request"].to_str();
    let id = id.expect("the id is printable ASCII").to_owned();
    let events = wait::until("the end of the run", || {
        let (events, _) = read_timeline(&mut fleet, &["--request", &id]);
        let has_ended = events.iter().any(|event| event["kind"] == "run_done");
        async move { has_ended.then_some(events) }
    })
    .await;
    let mut found = instance_kinds(&events);
    let expected = [
        ("node-1", "call_arrived"),
        ("node-1", "call_tried"),
        ("node-2", "call_offered"),
        ("node-2", "call_run"),
        ("node-1", "call_answered"),
    ];
    // The end of the run at the owner node and the response at the ingress node are not ordered.
    found.retain(|step| *step != ("node-2", "run_done"));
    assert_eq!(found, expected, "events are in causal order");
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_counted() {
    let mut fleet = start_fleet().await;
    let _target = support::start_stand_in(&mut fleet, "node-2", "registru-sibiu-1").await;
    let get = |path: &'static str| {
        let request = Request::get(path).body(Full::default());
        fleet.send_request("node-1", "callers", request.expect("a valid request URI"))
    };
    wait::until("a response through the other node", || async {
        let response = get("/vehicles/7").await?;
        (response.status() == StatusCode::OK).then_some(())
    })
    .await;
    get("/nowhere").await.expect("the node answers");
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
                let named = head.split(' ').nth(2).expect("a metric name follows");
                assert!(rows.iter().any(|row| row.name == named), "{head}");
            }
            text.contains(line).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_followed() {
    let mut fleet = start_fleet().await;
    let request = Request::get("/nowhere")
        .header("hazeltiller-request", "caller-7")
        .body(Full::default());
    let request = request.expect("a valid request URI");
    let response = fleet.send_request("node-1", "callers", request).await;
    let response = response.expect("the node answers");
    assert_eq!(response.headers()["hazeltiller-request"], "caller-7");
    let (events, _) = read_timeline(&mut fleet, &["--request", "caller-7"]);
    assert_eq!(
        instance_kinds(&events),
        [("node-1", "call_arrived"), ("node-1", "call_refused")]
    );
    assert_eq!(events[1]["code"], "HZ3001");
    let line = wait::until("the log line of the refusal", || async {
        let log = fleet.log("node-1");
        let line = log.lines().find(|line| {
            line.contains(r#""request":"caller-7""#) && line.contains("call_refused")
        })?;
        Some(line.to_owned())
    })
    .await;
    let line: serde_json::Value = serde_json::from_str(&line).expect("the line is a JSON object");
    assert_eq!(
        (&line["kind"], &line["code"], &line["instance"]),
        (&"call_refused".into(), &"HZ3001".into(), &"node-1".into())
    );
    let file = fleet.folder().join("node-1.log");
    let explained = std::process::Command::new(env!("CARGO_BIN_EXE_hazeltiller"))
        .args(["explain", "caller-7"])
        .arg(file)
        .output()
        .expect("the command line tool runs");
    let explained = String::from_utf8_lossy(&explained.stdout).into_owned();
    assert!(
        explained.contains("call_arrived") && explained.contains("cause: refused with HZ3001"),
        "{explained}"
    );
}

/// The owner node logs what proves that a declined call did not run.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_proven() {
    let mut fleet = start_fleet().await;
    let behaviour = behaviour::StandInBehaviour {
        declined_interval: 1,
        ..behaviour::StandInBehaviour::default()
    };
    support::start_stand_in_with(&mut fleet, "node-2", "target-1", behaviour).await;
    let line = wait::until("the log line of a declined run", || async {
        let request = Request::get("/vehicles/7").body(Full::default()).ok()?;
        fleet.send_request("node-1", "callers", request).await?;
        let log = fleet.log("node-2");
        let line = log.lines().find(|line| line.contains("run_failed"))?;
        Some(line.to_owned())
    })
    .await;
    let line: Value = serde_json::from_str(&line).expect("the line is a JSON object");
    let fields = (&line["failure"], &line["proof"]);
    assert_eq!(fields, (&"declined".into(), &"target_declined".into()));
}

/// Failed runs are counted in the usage of their route, at the node of their target.
#[tokio::test(flavor = "multi_thread")]
async fn slots_accounted() {
    let mut fleet = start_fleet().await;
    let target = support::start_stand_in(&mut fleet, "node-2", "registru-sibiu-1").await;
    target.set_behaviour(behaviour::StandInBehaviour {
        answer: behaviour::ResponseMode::Failing,
        ..behaviour::StandInBehaviour::default()
    });
    wait::until("the response of the failed run", || async {
        let request = Request::get("/vehicles/7").body(Full::default()).ok()?;
        let response = fleet.send_request("node-1", "callers", request).await?;
        (response.status() == StatusCode::INTERNAL_SERVER_ERROR).then_some(())
    })
    .await;
    let line = wait::until("the usage of the route in the log", || async {
        let log = fleet.log("node-2");
        let line = log.lines().find(|line| line.contains("route_usage"))?;
        Some(line.to_owned())
    })
    .await;
    let line: Value = serde_json::from_str(&line).expect("the line is a JSON object");
    assert_eq!(line["route"], "lookup", "{line}");
    assert!(line["failed"].as_u64() >= Some(1), "{line}");
    assert_eq!((&line["in_time"], &line["late"]), (&0.into(), &0.into()));
}

/// A log line longer than an atomic pipe write is replaced by a marker; no line is truncated.
#[tokio::test(flavor = "multi_thread")]
async fn log_lines_bounded() {
    let mut fleet = start_fleet().await;
    let path = format!("/vehicles/{}", "x".repeat(10_000));
    let request = Request::get(path).body(Full::default());
    let request = request.expect("a valid request URI");
    let response = fleet.send_request("node-1", "callers", request).await;
    assert_eq!(
        response.expect("the node answers").status(),
        StatusCode::SERVICE_UNAVAILABLE
    );
    fleet.stop("node-1").await;
    let log = fleet.log("node-1");
    assert!(log.contains("line_oversize"), "{log}");
    for line in log.lines().filter(|line| line.starts_with('{')) {
        assert!(line.len() < 4096);
        serde_json::from_str::<Value>(line).expect("each line is complete JSON");
    }
}
