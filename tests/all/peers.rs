//! Strangers and broken peers at a peers listener: each loses its own link and nothing else.

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

const KEY: &str = "the group's own key";

async fn keyed_control() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    let file = fleet.folder().join("key");
    std::fs::write(&file, KEY).expect("the folder is writable");
    fleet.add_controls("brasov-a", &["control-1"]).await;
    fleet.instance("control-1").settings["group_key_file"] = json!(file);
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet
}

fn credentials(key: &str) -> handshake::LinkCredentials {
    let identity = membership::PeerIdentity {
        instance: "stranger".parse().expect("it is a name"),
        data_centre: "brasov-a".parse().expect("it is a name"),
        region: "ro-centru".parse().expect("it is a name"),
        address: ([127, 0, 0, 1], 9).into(),
        operators: None,
        is_control: true,
        is_node: false,
        incarnation: ids::IncarnationNumber(1),
    };
    let key = wire::GroupKey::new(key.into());
    handshake::LinkCredentials { identity, key }
}

/// Whether the other side closes the connection, however long that takes within the bound.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    let closing = stream.read_to_end(&mut rest);
    // An error is a reset, which closes it too.
    let closed = tokio::time::timeout(wait::WAIT_TIMEOUT, closing).await;
    closed.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn key_missing() {
    let mut fleet = keyed_control().await;
    let address = fleet.instance("control-1").addresses["peers"];
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let purpose = wire::LinkPurpose::Questions;
    let opened = credentials("guessed").open(&mut stream, purpose).await;
    assert!(
        opened.is_err(),
        "the listener's proof is not the stranger's"
    );
    // A stranger that does not mind the listener's proof fails by its own.
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let hello = wire::LinkHello {
        version: wire::WIRE_VERSION,
        purpose,
        identity: credentials("guessed").identity,
        nonce: [1; 16],
    };
    let proof = wire::LinkProof { proof: [2; 32] };
    let frames = [codec::encode_frame(&hello), codec::encode_frame(&proof)].concat();
    stream.write_all(&frames).await.expect("it is open");
    assert!(
        is_closed(&mut stream).await,
        "nothing is served without the key"
    );
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let opened = credentials(KEY).open(&mut stream, purpose).await;
    assert_eq!(
        opened.expect("the key is right").instance.as_str(),
        "control-1"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_broken() {
    let mut fleet = keyed_control().await;
    let address = fleet.instance("control-1").addresses["peers"];
    let mut well = TcpStream::connect(address).await.expect("it listens");
    let purpose = wire::LinkPurpose::Messages;
    credentials(KEY)
        .open(&mut well, purpose)
        .await
        .expect("the key is right");
    let oversized = u32::MAX.to_le_bytes().to_vec();
    let garbage = [&4_u32.to_le_bytes()[..], &[0, 0xff, 0xff, 0xff]].concat();
    let large_greeting = (wire::MAX_HANDSHAKE_FRAME_BYTES as u32 + 1)
        .to_le_bytes()
        .to_vec();
    // What is sent, and whether the greeting comes first; the last is a byte and then silence.
    let table = [
        (oversized.clone(), true),
        (garbage.clone(), true),
        (oversized, false),
        (garbage, false),
        (large_greeting, false),
        (vec![1], false),
    ];
    for (bytes, is_greeted) in table {
        let mut stream = TcpStream::connect(address).await.expect("it listens");
        if is_greeted {
            let greeted = credentials(KEY).open(&mut stream, purpose).await;
            greeted.expect("the key is right");
        }
        stream.write_all(&bytes).await.expect("it is open");
        assert!(
            is_closed(&mut stream).await,
            "{bytes:?} greeted {is_greeted}"
        );
    }
    let mut byte = [0];
    let silent = tokio::time::timeout(Duration::from_millis(50), well.read(&mut byte)).await;
    assert!(
        silent.is_err(),
        "the link of a peer that is well stays open"
    );
    let status = fleet.read("control-1", "/v1/status").await;
    assert!(status.is_some(), "the process goes on");
    let request = Request::get("/metrics").body(Full::default());
    let request = request.expect("the path is a URI");
    let metrics = fleet.send_request("control-1", "operators", request).await;
    let metrics = metrics.expect("it runs").into_body();
    let text = String::from_utf8_lossy(&metrics).into_owned();
    // Five that cannot be read, and one that said too little for too long.
    for (code, count) in [("HZ4005", 5), ("HZ4004", 1)] {
        let line = format!("hazeltiller_refused_peers_total{{code=\"{code}\"}} {count}");
        assert!(text.contains(&line), "{line} in {text}");
    }
}
