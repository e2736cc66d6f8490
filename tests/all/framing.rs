//! Responses of targets whose head and body disagree about the end of the body.

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
