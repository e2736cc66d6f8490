//! Bytes without end from a target: in heads, bodies, between responses and in health probes.

use hazeltiller_standin::{
    behaviour,
    endless::{EndlessPlace, EndlessScript},
    target,
};
use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::{Request, StatusCode};

use crate::support;

/// What a node may use at the design size, its peak included.
const MAX_NODE_BYTES: u64 = 64_000_000;
/// Connections on which a target sends without end at once.
const CONCURRENT_REQUESTS: usize = 8;

const DECLINED: [EndlessPlace; 4] = [
    EndlessPlace::DeclinedChunks,
    EndlessPlace::DeclinedBody,
    EndlessPlace::DeclinedSurplus,
    EndlessPlace::DeclinedCopies,
];
const NO_RESPONSE: [EndlessPlace; 3] = [
    EndlessPlace::Garbage,
    EndlessPlace::Head,
    EndlessPlace::Interim,
];

/// A node with one target.
struct EndlessScene {
    fleet: fleet::Fleet,
    target: target::StandInTarget,
}

impl EndlessScene {
    async fn start() -> Self {
        let mut fleet = support::start_small_fleet().await;
        let target = support::start_stand_in(&mut fleet, "node-1", "target-1").await;
        support::wait_for_routing(&fleet, "node-1").await;
        Self { fleet, target }
    }

    /// Starts a scene in which no request ends by a timeout.
    async fn start_untimed() -> Self {
        let scene = Self::start().await;
        support::lengthen_timeouts(&scene.fleet, &["node-1"]).await;
        scene
    }

    fn set_script(&self, script: Option<EndlessScript>) {
        let behaviour = behaviour::StandInBehaviour {
            endless: script,
            ..behaviour::StandInBehaviour::default()
        };
        self.target.set_behaviour(behaviour);
    }

    /// Sends a request; returns the status and the outcome that its caller was told.
    async fn send(&self, path: &str) -> (StatusCode, String) {
        let request = Request::get(path).body(Full::default());
        let request = request.expect("a valid request");
        let sending = self.fleet.send_request("node-1", "callers", request);
        let response = wait::complete("a response to the caller", sending).await;
        let response = response.expect("the node responds");
        let outcome = response.headers().get("hazeltiller-outcome");
        let outcome = outcome.and_then(|outcome| outcome.to_str().ok());
        (response.status(), outcome.unwrap_or_default().to_owned())
    }

    /// Waits until each connection with bytes without end has been closed, checks the node's memory
    /// and that it serves the next request.
    async fn assert_over(&self, place: EndlessPlace) {
        let log = self.target.endless();
        assert!(log.begun() > 0, "{place:?}: no bytes were sent");
        wait::until(&format!("the end of {place:?} connections"), || async {
            (log.ended() == log.begun()).then_some(())
        })
        .await;
        self.set_script(None);
        wait::until("a response to the next request", || async {
            let (status, _) = self.send("/vehicles/next").await;
            (status == StatusCode::OK).then_some(())
        })
        .await;
        let peak = self.peak_bytes();
        assert!(
            peak < MAX_NODE_BYTES,
            "{place:?}: the node held {peak} bytes"
        );
    }

    /// Returns the peak memory of the node.
    fn peak_bytes(&self) -> u64 {
        let id = self.fleet.process_id("node-1").expect("the node runs");
        let status = std::fs::read_to_string(format!("/proc/{id}/status"));
        let status = status.expect("the node runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        let kilobytes: u64 = peak.expect("a size in kB").parse().expect("a number");
        kilobytes * 1024
    }
}

fn script(place: EndlessPlace) -> EndlessScript {
    EndlessScript {
        place,
        interval: 1,
        is_at_probes: false,
        piece_bytes: 0,
        piece_pause_ms: 0,
    }
}

/// The rest of a declined response was collected for 200 ms, however many bytes that took.
#[tokio::test(flavor = "multi_thread")]
async fn endless_declines() {
    for place in DECLINED {
        let scene = EndlessScene::start_untimed().await;
        scene.set_script(Some(script(place)));
        let requests = (0..CONCURRENT_REQUESTS).map(|_| scene.send("/vehicles/declined"));
        for (status, outcome) in futures_util::future::join_all(requests).await {
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{place:?}");
            assert_eq!(outcome, "not-run", "{place:?}");
        }
        scene.assert_over(place).await;
    }
}

/// Interim responses were read for as long as the request had time.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads() {
    for place in NO_RESPONSE {
        let scene = EndlessScene::start_untimed().await;
        scene.set_script(Some(script(place)));
        let requests = (0..CONCURRENT_REQUESTS).map(|_| scene.send("/vehicles/headless"));
        for (status, outcome) in futures_util::future::join_all(requests).await {
            assert_eq!(status, StatusCode::BAD_GATEWAY, "{place:?}");
            assert_eq!(outcome, "unknown", "{place:?}");
        }
        scene.assert_over(place).await;
    }
}
