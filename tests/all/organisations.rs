//! API keys of organisations, from callers' requests to what the target receives.

use std::{convert::Infallible, net::SocketAddr};

use hazeltiller_catalogue::change;
use hazeltiller_daemon::http;
use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Bytes, body::Incoming, server::conn::http1, service,
};
use hyper_util::rt;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::support;

const FIRST_KEY: &str = "d52r69ec9ujim93b772w";
const SECOND_KEY: &str = "56r386c5v4t7222kyhmw";

fn organisation(name: &str, keys: &[&str], limits: &Value) -> Value {
    let hashes: Vec<String> = keys
        .iter()
        .map(|key| change::token_hash(key).to_string())
        .collect();
    json!({"kind": "organisation", "name": name, "owner": "registru", "class": "counter",
        "keys": hashes, "limits": limits})
}

fn entries() -> Value {
    json!([
        organisation("growers", &[FIRST_KEY], &json!({})),
        organisation("stalls", &[SECOND_KEY], &json!({"rate": "0.01/s", "burst": 1})),
        {"kind": "route", "name": "notice", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/notices"}},
        {"kind": "public_route", "name": "notice", "owner": "registru", "class": "counter"},
    ])
}

/// Responds to every request with its headers as a JSON object.
async fn serve_headers(listener: TcpListener) {
    loop {
        let Ok((stream, _from)) = listener.accept().await else {
            continue;
        };
        let answer = service::service_fn(|request: Request<Incoming>| async move {
            let headers: serde_json::Map<String, Value> = request
                .headers()
                .iter()
                .map(|(name, value)| {
                    let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                    (name.to_string(), Value::String(value))
                })
                .collect();
            let body = Value::Object(headers).to_string();
            Ok::<_, Infallible>(Response::new(http::full_body(body)))
        });
        tokio::spawn(http1::Builder::new().serve_connection(rt::TokioIo::new(stream), answer));
    }
}

async fn announce(fleet: &fleet::Fleet, node: &str, address: SocketAddr) {
    let document = json!({"service": "registru", "name": "echo", "address": address, "slots": 10,
        "connections": 100, "state": "ready", "lease_ms": 60_000});
    let request = Request::post("/v1/announce").body(Full::new(document.to_string().into()));
    let request = request.expect("a valid request");
    let announced = fleet.send_request(node, "target", request).await;
    let announced = announced.expect("the node answers");
    assert_eq!(announced.status(), StatusCode::OK);
}

/// A fleet of two nodes, of which the second has the target, with organisations in the catalogue.
async fn start_fleet() -> fleet::Fleet {
    start_fleet_with(&entries()).await
}

/// A fleet of two nodes, of which the second has the target, with these entries beside the usual ones.
async fn start_fleet_with(entries: &Value) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    fleet.add_node("brasov-a", "node-1").await;
    fleet.add_node("brasov-a", "node-2").await;
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&["node-1", "node-2"], &[]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(serve_headers(listener));
    let mut first = support::first_change();
    let put = first["put"]
        .as_array_mut()
        .expect("the change puts entries");
    put.extend(entries.as_array().into_iter().flatten().cloned());
    apply(&fleet, &first).await;
    fleet.wait_version(&["node-1", "node-2"], 1).await;
    announce(&fleet, "node-2", address).await;
    wait::until("the target", || async {
        let sent = send(&fleet, "node-1", "/notices/1", None).await?;
        (sent.status() == StatusCode::OK).then_some(())
    })
    .await;
    fleet
}

async fn apply(fleet: &fleet::Fleet, change: &Value) {
    wait::until("acceptance of the change", || async {
        let (status, _answer) = fleet.change("control-1", change).await?;
        (status == 200).then_some(())
    })
    .await;
}

async fn send(
    fleet: &fleet::Fleet,
    node: &str,
    path: &str,
    authorization: Option<&str>,
) -> Option<Response<Bytes>> {
    let mut request = Request::get(path).header("hazeltiller-organisation", "forged");
    if let Some(value) = authorization {
        request = request.header("authorization", value);
    }
    let request = request.body(Full::default()).expect("a valid request");
    fleet.send_request(node, "callers", request).await
}

async fn answered(
    fleet: &fleet::Fleet,
    path: &str,
    authorization: Option<&str>,
) -> Response<Bytes> {
    let sent = send(fleet, "node-1", path, authorization).await;
    sent.expect("the node answers")
}

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_checked() {
    let fleet = start_fleet().await;
    let received = |response: &Response<Bytes>| -> Value {
        serde_json::from_slice(response.body()).expect("the target answers in JSON")
    };
    let known = answered(&fleet, "/vehicles/1", Some(&bearer(FIRST_KEY))).await;
    assert_eq!(known.status(), StatusCode::OK);
    let headers = received(&known);
    assert_eq!(headers["hazeltiller-organisation"], "growers");
    assert_eq!(
        headers["authorization"],
        Value::Null,
        "the key is not passed on"
    );
    let wrong = [
        Some(bearer("wrong")),
        Some(bearer(&FIRST_KEY[..10])),
        Some(format!("Basic {FIRST_KEY}")),
        Some("Bearer".into()),
        None,
    ];
    for authorization in wrong {
        let refused = answered(&fleet, "/vehicles/1", authorization.as_deref()).await;
        assert_eq!(
            refused.status(),
            StatusCode::UNAUTHORIZED,
            "{authorization:?}"
        );
        assert_eq!(refused.headers()["hazeltiller-code"], "HZ3024");
        let public = answered(&fleet, "/notices/1", authorization.as_deref()).await;
        assert_eq!(public.status(), StatusCode::OK, "{authorization:?}");
        let headers = received(&public);
        assert_eq!(headers["hazeltiller-organisation"], Value::Null);
        assert_eq!(headers["authorization"], Value::Null);
    }
}

/// A request whose head was read before the catalogue had organisations carried its key to the target.
#[tokio::test(flavor = "multi_thread")]
async fn keys_required_midway() {
    let route = json!([{"kind": "route", "name": "notice", "owner": "registru", "class": "counter",
        "service": "registru", "match": {"path_prefix": "/notices"}}]);
    let mut fleet = start_fleet_with(&route).await;
    let callers = fleet.instance("node-1").addresses["callers"];
    let mut stream = TcpStream::connect(callers).await.expect("the node accepts");
    let head = format!(
        "GET /vehicles/1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {FIRST_KEY}\r\n\
         expect: 100-continue\r\nconnection: close\r\ncontent-length: 4\r\n\r\n"
    );
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the node reads");
    let mut interim = [0; 25];
    let read = stream.read_exact(&mut interim).await;
    read.expect("the node asks for the body once it has read the head");
    let change = json!({"change_id": "organisations", "expects": 1,
        "put": [organisation("growers", &[FIRST_KEY], &json!({}))]});
    apply(&fleet, &change).await;
    fleet.wait_version(&["node-1", "node-2"], 2).await;
    let sent = stream.write_all(b"body").await;
    sent.expect("the node reads");
    let mut response = String::new();
    let read = stream.read_to_string(&mut response).await;
    read.expect("the response is text");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(
        !response.contains(FIRST_KEY),
        "the key is not passed on: {response}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn key_removed() {
    let fleet = start_fleet().await;
    let key = bearer(FIRST_KEY);
    let before = answered(&fleet, "/vehicles/1", Some(&key)).await;
    assert_eq!(before.status(), StatusCode::OK);
    let removal = json!({"change_id": "revoke", "expects": 1, "put": [
        organisation("growers", &["another-key"], &json!({}))]});
    apply(&fleet, &removal).await;
    fleet.wait_version(&["node-1", "node-2"], 2).await;
    let after = answered(&fleet, "/vehicles/1", Some(&key)).await;
    assert_eq!(after.status(), StatusCode::UNAUTHORIZED);
    let added = answered(&fleet, "/vehicles/1", Some(&bearer("another-key"))).await;
    assert_eq!(added.status(), StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn allowance_exceeded() {
    let fleet = start_fleet().await;
    let key = bearer(SECOND_KEY);
    let mut passed = 0;
    let mut refused = None;
    for number in 0..20 {
        let response = answered(&fleet, &format!("/vehicles/{number}"), Some(&key)).await;
        match response.status() {
            StatusCode::OK => passed += 1,
            StatusCode::TOO_MANY_REQUESTS => refused = Some(response),
            other => panic!("status {other}"),
        }
    }
    assert!(passed <= 1, "{passed} requests at a burst of one");
    let refused = refused.expect("some requests are beyond the allowance");
    let headers = refused.headers();
    assert_eq!(headers["hazeltiller-code"], "HZ3025");
    assert_eq!(headers["hazeltiller-outcome"], "not-run");
    assert_eq!(
        headers["hazeltiller-limit"],
        "organisation stalls limits.rate"
    );
    assert!(headers.contains_key("retry-after"));
    let other = answered(&fleet, "/vehicles/1", Some(&bearer(FIRST_KEY))).await;
    assert_eq!(
        other.status(),
        StatusCode::OK,
        "others have their own allowance"
    );
}
