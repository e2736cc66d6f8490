//! Observability across processes: timeline, metrics and logs.

use std::process::Command;

use hazeltiller_standin::behaviour;
use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};

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
        (
            "node-1",
            "hazeltiller_catalogue_in_force_timestamp_milliseconds 1",
        ),
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

fn find_line(log: &str, kind: &str) -> Option<Value> {
    let kind = format!(r#""kind":"{kind}""#);
    let line = log.lines().rfind(|line| line.contains(&kind))?;
    serde_json::from_str(line).ok()
}

/// A refusal alone tells the version that its node held, and the logs tell when and how that came.
#[tokio::test(flavor = "multi_thread")]
async fn version_logged() {
    let fleet = start_fleet().await;
    let change = json!({"change_id": "labelled", "expects": 0, "put": support::first_change()["put"],
        "replace": {"label": 41, "base": 0, "document": "document 41"}});
    let answer = fleet.change("control-1", &change).await;
    assert_eq!(answer.expect("the control answers").0, 200);
    fleet
        .wait_version(&["control-1", "node-1", "node-2"], 2)
        .await;
    let request = Request::get("/nowhere").body(Full::default());
    let request = request.expect("a valid request URI");
    fleet.send_request("node-1", "callers", request).await;
    let table = [
        (
            "node-1",
            "call_refused",
            json!({"code": "HZ3001", "version": 2}),
        ),
        (
            "control-1",
            "change_accepted",
            json!({"change": "labelled", "version": 2, "label": 41}),
        ),
        (
            "control-1",
            "version_in_force",
            json!({"version": 2, "source": "log", "change": "labelled"}),
        ),
        (
            "node-1",
            "version_in_force",
            json!({"version": 2, "level": "info"}),
        ),
        (
            "node-2",
            "version_in_force",
            json!({"version": 2, "level": "info"}),
        ),
    ];
    for (name, kind, fields) in table {
        let line = wait::until(&format!("{kind} of {name}"), || async {
            let line = find_line(&fleet.log(name), kind)?;
            (line["version"] == 2).then_some(line)
        })
        .await;
        for (field, value) in fields.as_object().expect("a JSON object") {
            assert_eq!(&line[field], value, "{name}: {line}");
        }
        assert!(line["at"]["wall"].is_u64(), "{name}: {line}");
        if kind == "version_in_force" && name != "control-1" {
            assert!(line["from"].is_string(), "{name}: {line}");
            assert!(line["frame_ms"].is_u64(), "{name}: {line}");
        }
    }
}

/// Each version of a burst is in the timeline, and the log accounts for all of them in few lines.
#[tokio::test(flavor = "multi_thread")]
async fn version_lines_bounded() {
    const CHANGES: u64 = 40;
    let fleet = start_fleet().await;
    for number in 1..=CHANGES {
        let change = json!({"change_id": format!("burst-{number}"), "expects": number,
            "put": support::first_change()["put"]});
        let answer = fleet.change("control-1", &change).await;
        assert_eq!(answer.expect("the control answers").0, 200);
    }
    let last = CHANGES + 1;
    fleet.wait_version(&["node-1"], last).await;
    let lines: Vec<Value> = wait::until("the line of the last version", || async {
        let log = fleet.log("node-1");
        let lines = log.lines().filter(|line| line.contains("version_in_force"));
        let lines: Vec<Value> = lines
            .map(|line| serde_json::from_str(line).expect("the line is a JSON object"))
            .collect();
        let is_complete = lines.last().is_some_and(|line| line["version"] == last);
        is_complete.then_some(lines)
    })
    .await;
    let walls: Vec<u64> = lines
        .iter()
        .filter_map(|line| line["at"]["wall"].as_u64())
        .collect();
    let seconds = (walls[walls.len() - 1] - walls[0]).div_ceil(1000);
    assert!(lines.len() as u64 <= seconds + 2, "{lines:?}");
    let passed_over = lines.iter().map(|line| line["passed_over"].as_u64());
    let passed_over: u64 = passed_over.map(Option::unwrap_or_default).sum();
    let page = fleet.read("node-1", "/v1/timeline").await;
    let page = page.expect("a running instance answers");
    let events = page["events"].as_array().expect("a page holds events");
    let in_force = events
        .iter()
        .filter(|event| event["kind"] == "version_in_force");
    assert_eq!(passed_over + lines.len() as u64, in_force.count() as u64);
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
