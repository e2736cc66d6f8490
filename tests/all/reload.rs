//! Settings read again, and readiness, with real processes.

use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::json;

use crate::support;

async fn readiness(address: std::net::SocketAddr) -> Option<StatusCode> {
    let request = Request::get("/any/path").body(Full::default()).ok()?;
    let answer = hazeltiller_standin::client::exchange(address, request).await;
    answer.ok().map(|answer| answer.status())
}

async fn free_address() -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let address = listener.and_then(|listener| listener.local_addr());
    address.expect("there is a free port")
}

fn signal(fleet: &fleet::Fleet, name: &str, signal: &str) {
    let id = fleet.process_id(name).expect("it runs").to_string();
    let sent = std::process::Command::new("kill")
        .args([signal, &id])
        .status();
    assert!(sent.expect("kill is on every system").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn readiness_told() {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    fleet.add_node("brasov-a", "node-1").await;
    let address = free_address().await;
    let settings = &mut fleet.instance("node-1").settings;
    settings["listen"]["ready"] = json!(address);
    settings["tunables"]["requests"]["leave_ms"] = json!(60_000);
    fleet.start(&["node-1"], &[]).await;
    let before = readiness(address).await;
    assert_eq!(
        before,
        Some(StatusCode::SERVICE_UNAVAILABLE),
        "it holds no catalogue"
    );
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    support::accept_first(&fleet).await;
    assert_eq!(readiness(address).await, Some(StatusCode::OK));
    signal(&fleet, "node-1", "-TERM");
    wait::until("a node that leaves", || async {
        let status = readiness(address).await?;
        (status == StatusCode::SERVICE_UNAVAILABLE).then_some(())
    })
    .await;
}

/// A node that was told of a control that never lived is told of the right one while it runs.
#[tokio::test(flavor = "multi_thread")]
async fn controls_changed() {
    for is_signalled in [true, false] {
        let mut fleet = fleet::Fleet::new(support::DAEMON);
        fleet.add_controls("brasov-a", &["control-1"]).await;
        fleet.add_node("brasov-a", "node-1").await;
        let right = fleet.instance("node-1").settings["control"].clone();
        let wrong = free_address().await;
        fleet.instance("node-1").settings["control"] = json!([wrong]);
        fleet.start(&["control-1"], &["--bootstrap"]).await;
        fleet.start(&["node-1"], &[]).await;
        fleet.instance("node-1").settings["control"] = right;
        let text = fleet.instance("node-1").settings.to_string();
        let path = fleet.folder().join("node-1.jsonc");
        std::fs::write(path, text).expect("the folder is writable");
        if is_signalled {
            signal(&fleet, "node-1", "-HUP");
        }
        support::accept_first(&fleet).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_file_left() {
    let fleet = support::small_fleet().await;
    let path = fleet.folder().join("node-1.jsonc");
    std::fs::write(path, "{").expect("the folder is writable");
    signal(&fleet, "node-1", "-HUP");
    let line = wait::until("a line of the log", || async {
        let log = fleet.log("node-1");
        let line = log
            .lines()
            .find(|line| line.contains("settings not reloaded"))?;
        Some(line.to_owned())
    })
    .await;
    assert!(line.contains("HZ1001"), "{line}");
    assert!(
        fleet.read("node-1", "/v1/status").await.is_some(),
        "it goes on"
    );
}
