//! Responses of targets that break off, or whose head and body disagree about the end of the body.

use hazeltiller_testkit::wait;

use crate::{raw, support};

/// A head that declares half of the bytes that its chunks carry.
const TWO_FRAMINGS: &str = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\ntransfer-encoding: chunked\r\n\r\n\
    10\r\nfirst-halfsecond\r\n0\r\n\r\n";

/// Guards against a response with the wrong length, whose rest a caller takes for its next response.
/// The callers of the target's own node and of another one send two requests on one connection.
#[tokio::test(flavor = "multi_thread")]
async fn length_beside_chunks() {
    for name in ["node-1", "node-2"] {
        let mut fleet = support::start_two_nodes().await;
        let node = fleet.instance("node-1").addresses["target"];
        raw::RawTarget::start(node, "spoilt", raw::RawResponse::Bytes(TWO_FRAMINGS)).await;
        wait::until("the target at the node", || async {
            let document = fleet.read(name, "/v1/targets").await?;
            document.to_string().contains("spoilt").then_some(())
        })
        .await;
        let callers = fleet.instance(name).addresses["callers"];
        let request = "GET /vehicles/7 HTTP/1.1\r\nhost: a\r\n\r\n";
        let last = "GET /vehicles/8 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let text = raw::exchange_bytes(callers, &format!("{request}{last}")).await;
        assert_eq!(text.matches("HTTP/1.1 50").count(), 2, "{name}: {text}");
        assert!(text.contains("HZ3020"), "{name}: {text}");
        assert!(!text.contains("first-half"), "{name}: {text}");
    }
}

const BROKEN_CHUNKS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n";
const WHOLE_CHUNKS: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";

/// Guards against a small response in chunks that breaks off and takes the requests behind it along:
/// each of them that reached the target gets its response.
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_break() {
    let mut fleet = support::start_small_fleet().await;
    let node = fleet.instance("node-1").addresses["target"];
    let callers = fleet.instance("node-1").addresses["callers"];
    let response = raw::RawResponse::BreaksOff("/vehicles/break", BROKEN_CHUNKS, WHOLE_CHUNKS);
    let target = raw::RawTarget::start(node, "breaking", response).await;
    support::wait_for_ok(&fleet, "/vehicles/ready").await;
    let mut answered = 0;
    for number in 0..20 {
        let get = |name: &str, close: &str| {
            format!("GET /vehicles/{name}-{number} HTTP/1.1\r\nhost: a\r\n{close}\r\n")
        };
        let requests = [
            get("break", ""),
            get("behind", ""),
            get("behind", "connection: close\r\n"),
        ];
        let text = raw::exchange_bytes(callers, &requests.concat()).await;
        answered += text.matches("\r\nwhole\r\n").count();
    }
    let received = target.received().await.concat();
    let reached = received.matches("GET /vehicles/behind-").count();
    assert!(reached > 0, "no request behind a break reached the target");
    assert_eq!(answered, reached);
}

/// Statuses that are none of a final response (RFC 9110, 15), or none at all.
const NO_STATUSES: [&str; 10] = [
    "000", "001", "099", "100", "101", "199", "600", "999", "20", "2000",
];

/// Guards against a status that is none and reaches a caller as the response.
#[tokio::test(flavor = "multi_thread")]
async fn statuses_that_are_none() {
    let mut fleet = support::start_two_nodes().await;
    let node = fleet.instance("node-1").addresses["target"];
    let target = raw::RawTarget::start(node, "numbered", raw::RawResponse::Status).await;
    for name in ["node-1", "node-2"] {
        wait::until("the target at the node", || async {
            let document = fleet.read(name, "/v1/targets").await?;
            document.to_string().contains("numbered").then_some(())
        })
        .await;
        let callers = fleet.instance(name).addresses["callers"];
        for status in NO_STATUSES {
            let path = format!("/vehicles/{name}/status-{status}");
            let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            let text = raw::exchange_bytes(callers, &request).await;
            assert!(
                text.starts_with("HTTP/1.1 502 "),
                "{name}: {status}: {text}"
            );
            assert!(
                text.contains("outcome: unknown"),
                "{name}: {status}: {text}"
            );
        }
    }
    let received = target.received().await.concat();
    assert!(
        received.contains("status-101"),
        "no request reached the target"
    );
}
