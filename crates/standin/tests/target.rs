//! Scripted behaviour of stand-ins, which are called directly, without a node.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hazeltiller_standin::{behaviour, client, runs, settings, target};
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::time;

async fn start(behaviour: behaviour::StandInBehaviour) -> target::StandInTarget {
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let name = "registru-1".parse().expect("valid name");
    let service = "registru".parse().expect("valid name");
    let settings = settings::StandInSettings::builder(name, service, unused)
        .slots(2)
        .behaviour(behaviour);
    target::StandInTarget::start(settings.build())
        .await
        .expect("loopback has a free port")
}

async fn get(
    to: SocketAddr,
    path: &str,
) -> Result<Response<Bytes>, hazeltiller_standin::client::ExchangeError> {
    let request = Request::get(path).header("idempotency-key", "k1");
    let request = request.body(Full::default()).expect("the path is a URI");
    client::exchange(to, request).await
}

async fn status(target: &target::StandInTarget, path: &str) -> Option<u16> {
    let response = get(target.address, path).await.ok()?;
    Some(response.status().as_u16())
}

#[tokio::test]
async fn scripted_responses() {
    let (form, health) = (
        |answer| behaviour::StandInBehaviour {
            answer,
            pieces: 3,
            ..behaviour::StandInBehaviour::default()
        },
        |behaviour: behaviour::StandInBehaviour, health| behaviour::StandInBehaviour {
            health,
            ..behaviour
        },
    );
    let misreporting = health(
        form(behaviour::ResponseMode::Failing),
        behaviour::HealthMode::AlwaysWell,
    );
    let table = [
        (form(behaviour::ResponseMode::Whole), Some(200), Some(200)),
        (form(behaviour::ResponseMode::Failing), Some(500), Some(503)),
        (form(behaviour::ResponseMode::InPart), None, Some(503)),
        (misreporting, Some(500), Some(200)),
    ];
    for (behaviour, answered, health) in table {
        let target = start(behaviour.clone()).await;
        assert_eq!(
            status(&target, "/vehicles/1").await,
            answered,
            "{behaviour:?}"
        );
        assert_eq!(status(&target, "/health").await, health, "{behaviour:?}");
        let runs = target.runs();
        assert_eq!(
            runs.len(),
            1,
            "requests to the endpoints of the stand-in are not runs"
        );
        assert_eq!(runs[0].key.as_deref(), Some("k1"));
    }
}

#[tokio::test]
async fn excess_shed() {
    let target = start(behaviour::StandInBehaviour {
        answer: behaviour::ResponseMode::Never,
        ..behaviour::StandInBehaviour::default()
    })
    .await;
    let address = target.address;
    for path in ["/a", "/b"] {
        tokio::spawn(async move { get(address, path).await.map(drop) });
    }
    while target.log().running() < 2 {
        time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(status(&target, "/c").await, Some(503));
    assert_eq!((target.log().shed(), target.runs().len()), (1, 2));
}

#[tokio::test]
async fn scripted_crash() {
    let target = start(behaviour::StandInBehaviour {
        crash_pause_ms: Some(100),
        ..behaviour::StandInBehaviour::default()
    })
    .await;
    let path = format!("/vehicles/{}", behaviour::CRASH_MARKER);
    assert_eq!(status(&target, &path).await, None);
    while status(&target, "/vehicles/2").await != Some(200) {
        time::sleep(Duration::from_millis(10)).await;
    }
    let runs = target.runs();
    assert_eq!(runs[0].ended, Some((2, runs::RunOutcome::Crashed)));
    assert_eq!(runs[1].ended, Some((4, runs::RunOutcome::Answered)));
    target.stop();
    while status(&target, "/vehicles/3").await.is_some() {
        time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn chain_forwards() {
    let last = start(behaviour::StandInBehaviour::default()).await;
    let first = start(behaviour::StandInBehaviour {
        next: Some(behaviour::NextService {
            callers: last.address,
            path: Some("/deeper".into()),
        }),
        ..behaviour::StandInBehaviour::default()
    })
    .await;
    let response = get(first.address, "/shallow")
        .await
        .expect("both targets respond");
    let text = "registru-1 ran GET /shallow\nregistru-1 ran GET /deeper\n";
    assert_eq!(response.body(), text);
    assert_eq!(
        last.runs()[0].key.as_deref(),
        Some("k1"),
        "the idempotency key is forwarded"
    );
}
