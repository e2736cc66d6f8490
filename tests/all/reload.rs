//! Reloading of settings, and the readiness endpoint.

use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::json;

use crate::support;

async fn readiness(address: std::net::SocketAddr) -> Option<StatusCode> {
    let request = Request::get("/any/path").body(Full::default()).ok()?;
    let response = hazeltiller_standin::client::exchange(address, request).await;
    response.ok().map(|response| response.status())
}

async fn free_address() -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let address = listener.and_then(|listener| listener.local_addr());
    address.expect("a free loopback port")
}

fn send_signal(fleet: &fleet::Fleet, name: &str, signal: &str) {
    let id = fleet
        .process_id(name)
        .expect("the process is running")
        .to_string();
    let sent = std::process::Command::new("kill")
        .args([signal, &id])
        .status();
    assert!(sent.expect("the kill command is available").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn readiness_reported() {
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
        "the node holds no catalogue"
    );
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    support::apply_first_change(&fleet).await;
    assert_eq!(readiness(address).await, Some(StatusCode::OK));
    send_signal(&fleet, "node-1", "-TERM");
    wait::until("readiness 503 during shutdown", || async {
        let status = readiness(address).await?;
        (status == StatusCode::SERVICE_UNAVAILABLE).then_some(())
    })
    .await;
}

/// A node that starts with the address of a control that does not exist picks up the right one
/// while it runs, with SIGHUP or without.
#[tokio::test(flavor = "multi_thread")]
async fn controls_changed() {
    for is_signalled in [true, false] {
        let mut fleet = fleet::Fleet::new(support::DAEMON);
        fleet.add_controls("brasov-a", &["control-1"]).await;
        fleet.add_node("brasov-a", "node-1").await;
        let right_addresses = fleet.instance("node-1").settings["control"].clone();
        let wrong_address = free_address().await;
        fleet.instance("node-1").settings["control"] = json!([wrong_address]);
        fleet.start(&["control-1"], &["--bootstrap"]).await;
        fleet.start(&["node-1"], &[]).await;
        fleet.instance("node-1").settings["control"] = right_addresses;
        let text = fleet.instance("node-1").settings.to_string();
        let path = fleet.folder().join("node-1.jsonc");
        std::fs::write(path, text).expect("the folder is writable");
        if is_signalled {
            send_signal(&fleet, "node-1", "-HUP");
        }
        support::apply_first_change(&fleet).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_file_ignored() {
    let fleet = support::start_small_fleet().await;
    let path = fleet.folder().join("node-1.jsonc");
    std::fs::write(path, "{").expect("the folder is writable");
    send_signal(&fleet, "node-1", "-HUP");
    let line = wait::until("the log line on the failed reload", || async {
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
        "the node still answers"
    );
}
