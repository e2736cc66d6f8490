//! Unauthenticated and malformed connections to the peers listener: each is closed without an
//! effect on other links.

use std::time::Duration;

use hazeltiller_daemon::handshake;
use hazeltiller_testkit::{fleet, wait};
use hazeltiller_units::ids;
use hazeltiller_wire::{codec, handshake as wire, membership};
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support;

const GROUP_KEY: &str = "the group's own key";

async fn start_control_with_key() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    let file = fleet.folder().join("key");
    std::fs::write(&file, GROUP_KEY).expect("the folder is writable");
    fleet.add_controls("brasov-a", &["control-1"]).await;
    fleet.instance("control-1").settings["group_key_file"] = json!(file);
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet
}

fn credentials(key: &str) -> handshake::LinkCredentials {
    let identity = membership::PeerIdentity {
        instance: "stranger".parse().expect("a valid name"),
        data_centre: "brasov-a".parse().expect("a valid name"),
        region: "ro-centru".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 9).into(),
        operators: None,
        is_control: true,
        is_node: false,
        incarnation: ids::IncarnationNumber(1),
    };
    let key = wire::GroupKey::new(key.into());
    handshake::LinkCredentials { identity, key }
}

/// Returns whether the other side closes the connection within [`wait::WAIT_TIMEOUT`].
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    let closing = stream.read_to_end(&mut rest);
    // A read error is a reset, which also ends the connection.
    let closed = tokio::time::timeout(wait::WAIT_TIMEOUT, closing).await;
    closed.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_key_rejected() {
    let mut fleet = start_control_with_key().await;
    let address = fleet.instance("control-1").addresses["peers"];
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the control listens");
    let purpose = wire::LinkPurpose::Questions;
    let opened = credentials("guessed").open(&mut stream, purpose).await;
    assert!(
        opened.is_err(),
        "the proof of the listener does not match the guessed key"
    );
    // A peer that does not check the proof of the listener is rejected for its own proof.
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the control listens");
    let hello = wire::LinkHello {
        version: wire::WIRE_VERSION,
        purpose,
        identity: credentials("guessed").identity,
        nonce: [1; 16],
    };
    let proof = wire::LinkProof { proof: [2; 32] };
    let frames = [codec::encode_frame(&hello), codec::encode_frame(&proof)].concat();
    stream
        .write_all(&frames)
        .await
        .expect("the connection is open");
    assert!(
        is_closed(&mut stream).await,
        "a peer without the key is not served"
    );
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the control listens");
    let opened = credentials(GROUP_KEY).open(&mut stream, purpose).await;
    assert_eq!(
        opened.expect("the key is right").instance.as_str(),
        "control-1"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_peers_closed() {
    let mut fleet = start_control_with_key().await;
    let address = fleet.instance("control-1").addresses["peers"];
    let mut healthy = TcpStream::connect(address)
        .await
        .expect("the control listens");
    let purpose = wire::LinkPurpose::Messages;
    credentials(GROUP_KEY)
        .open(&mut healthy, purpose)
        .await
        .expect("the key is right");
    let oversized = u32::MAX.to_le_bytes().to_vec();
    let garbage = [&4_u32.to_le_bytes()[..], &[0, 0xff, 0xff, 0xff]].concat();
    let oversized_handshake = (wire::MAX_HANDSHAKE_FRAME_BYTES as u32 + 1)
        .to_le_bytes()
        .to_vec();
    // Bytes to send, and whether to complete the handshake first. The last row sends one byte and
    // then nothing.
    let table = [
        (oversized.clone(), true),
        (garbage.clone(), true),
        (oversized, false),
        (garbage, false),
        (oversized_handshake, false),
        (vec![1], false),
    ];
    for (bytes, is_authenticated) in table {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the control listens");
        if is_authenticated {
            let handshake_result = credentials(GROUP_KEY).open(&mut stream, purpose).await;
            handshake_result.expect("the key is right");
        }
        stream
            .write_all(&bytes)
            .await
            .expect("the connection is open");
        assert!(
            is_closed(&mut stream).await,
            "{bytes:?} after handshake: {is_authenticated}"
        );
    }
    let mut byte = [0];
    let read_result =
        tokio::time::timeout(Duration::from_millis(50), healthy.read(&mut byte)).await;
    assert!(
        read_result.is_err(),
        "the link of a healthy peer stays open"
    );
    let status = fleet.read("control-1", "/v1/status").await;
    assert!(status.is_some(), "the process still answers");
    let request = Request::get("/metrics").body(Full::default());
    let request = request.expect("a valid request URI");
    let metrics = fleet.send_request("control-1", "operators", request).await;
    let metrics = metrics.expect("the process is running").into_body();
    let text = String::from_utf8_lossy(&metrics).into_owned();
    // Five connections sent malformed frames, and one timed out in the handshake.
    for (code, count) in [("HZ4005", 5), ("HZ4004", 1)] {
        let line = format!("hazeltiller_refused_peers_total{{code=\"{code}\"}} {count}");
        assert!(text.contains(&line), "{line} in {text}");
    }
}
