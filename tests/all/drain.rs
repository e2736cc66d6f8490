//! Planned stops under load: nodes and targets leave, and no caller notices.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hazeltiller_daemon::{handshake, links};
use hazeltiller_standin::{behaviour, target};
use hazeltiller_testkit::{fleet, node, wait};
use hazeltiller_wire::handshake as wire;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    client::conn::{http1, http2},
};
use hyper_util::rt;
use indexmap::IndexMap;
use serde_json::json;
use tokio::{net::TcpStream, sync::watch, task::JoinSet, time};

use crate::support;

const ROUNDS: usize = 20;
const CALLERS: usize = 8;
const NODES: [&str; 3] = ["node-1", "node-2", "node-3"];
/// Time after which a target that leaves may get no new work.
const LEAVING_TIME: Duration = Duration::from_secs(2);

/// Time in which a connection that a test opens has surely begun.
const OPENING_TIME: Duration = Duration::from_millis(500);

/// What the callers saw.
#[derive(Debug, Default)]
struct Tally {
    answered: Mutex<Vec<String>>,
    /// Refusals and broken connections, as text.
    failed: Mutex<Vec<String>>,
    last: AtomicU64,
}

struct Load {
    nodes: watch::Sender<Vec<SocketAddr>>,
    tally: Arc<Tally>,
    callers: JoinSet<()>,
}

impl Load {
    fn start(nodes: Vec<SocketAddr>) -> Self {
        let nodes = watch::Sender::new(nodes);
        let tally = Arc::<Tally>::default();
        let mut callers = JoinSet::new();
        for index in 0..CALLERS {
            callers.spawn(call_on(index, nodes.subscribe(), Arc::clone(&tally)));
        }
        Self {
            nodes,
            tally,
            callers,
        }
    }

    /// Ends the load and holds what callers saw against the targets' logs.
    async fn finish(mut self, targets: &[target::StandInTarget]) {
        self.nodes.send_replace(Vec::new());
        while self.callers.join_next().await.is_some() {}
        let failed = self.tally.failed.lock().expect("no holder panics").clone();
        assert!(
            failed.is_empty(),
            "{} failed: {:?}",
            failed.len(),
            &failed[..failed.len().min(5)]
        );
        let mut runs: IndexMap<String, usize> = IndexMap::new();
        for run in targets.iter().flat_map(target::StandInTarget::runs) {
            *runs.entry(run.path).or_default() += 1;
        }
        let answered = self
            .tally
            .answered
            .lock()
            .expect("no holder panics")
            .clone();
        assert!(
            answered.len() > ROUNDS * CALLERS,
            "the load was real: {}",
            answered.len()
        );
        for path in answered {
            assert_eq!(runs.get(&path), Some(&1), "{path} ran once");
        }
    }
}

/// Sends one request after the other on kept connections, until there is no node to send to.
async fn call_on(index: usize, nodes: watch::Receiver<Vec<SocketAddr>>, tally: Arc<Tally>) {
    let mut turn = index;
    loop {
        let list = nodes.borrow().clone();
        if list.is_empty() {
            return;
        }
        turn += 1;
        // A node that no longer listens was not sent anything.
        let Ok(stream) = TcpStream::connect(list[turn % list.len()]).await else {
            time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let Ok((sender, connection)) = http1::handshake(rt::TokioIo::new(stream)).await else {
            continue;
        };
        let carrier = tokio::spawn(connection);
        call_until_closed(sender, &nodes, &tally).await;
        carrier.abort();
    }
}

async fn call_until_closed(
    mut sender: http1::SendRequest<Full<Bytes>>,
    nodes: &watch::Receiver<Vec<SocketAddr>>,
    tally: &Tally,
) {
    while sender.ready().await.is_ok() && !nodes.borrow().is_empty() {
        let path = format!(
            "/certificates/drained-{}",
            tally.last.fetch_add(1, Ordering::Relaxed)
        );
        let request = Request::post(&path)
            .header("host", "registru")
            .body(Full::from("certificate"));
        let sent = sender
            .try_send_request(request.expect("it is a request"))
            .await;
        let answer = match sent {
            Ok(response) => {
                let code = response.headers().get("hazeltiller-code").cloned();
                let whole = response.into_body().collect().await;
                whole.map(|_| code).map_err(|error| error.to_string())
            }
            Err(mut error) => match error.take_message() {
                // It never went out: the next connection takes another one.
                Some(_unsent) => return,
                None => Err(error.into_error().to_string()),
            },
        };
        match answer {
            Ok(None) => tally.answered.lock().expect("no holder panics").push(path),
            Ok(Some(code)) => fail(tally, format!("{path}: {code:?}")),
            Err(error) => return fail(tally, format!("{path}: {error}")),
        }
        time::sleep(Duration::from_millis(2)).await;
    }
}

fn fail(tally: &Tally, text: String) {
    tally.failed.lock().expect("no holder panics").push(text);
}

async fn started() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    for (node, data_centre) in NODES.iter().zip(["brasov-a", "brasov-a", "sibiu-a"]) {
        fleet.add_node(data_centre, node).await;
        let tunables = json!({"requests": {"leave_ms": 1000}});
        fleet.instance(node).settings["tunables"] = tunables;
    }
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&NODES, &[]).await;
    support::accept_first(&fleet).await;
    fleet.wait_version(&NODES, 1).await;
    fleet
}

async fn target_at(fleet: &mut fleet::Fleet, node: &str, name: &str) -> target::StandInTarget {
    let behaviour = behaviour::StandInBehaviour {
        latency_ms: 20,
        ..behaviour::StandInBehaviour::default()
    };
    support::stand_in_with(fleet, node, name, behaviour).await
}

fn callers(fleet: &mut fleet::Fleet, nodes: &[&str]) -> Vec<SocketAddr> {
    let address = |node: &&str| fleet.instance(node).addresses["callers"];
    nodes.iter().map(address).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn node_stops() {
    let mut fleet = started().await;
    let mut targets = Vec::new();
    for node in NODES {
        targets.push(target_at(&mut fleet, node, &format!("at-{node}")).await);
    }
    for node in NODES {
        support::wait_routed(&fleet, node).await;
    }
    let load = Load::start(callers(&mut fleet, &NODES));
    for round in 0..ROUNDS {
        let leaving = NODES[round % 2 + 1];
        let old = fleet.instance(leaving).addresses["target"];
        assert_eq!(fleet.stop(leaving).await, Some(0), "round {round}");
        // Its ports may be another process's soon, which is not to hear of its target.
        let last = targets
            .iter()
            .rev()
            .find(|target| target.settings().node == old);
        last.expect("each node has a target").stop();
        fleet.start(&[leaving], &[]).await;
        fleet.wait_version(&[leaving], 1).await;
        targets.push(target_at(&mut fleet, leaving, &format!("round-{round}")).await);
        support::wait_routed(&fleet, leaving).await;
        load.nodes.send_replace(callers(&mut fleet, &NODES));
    }
    load.finish(&targets).await;
}

/// A peer that is cut off never hears that a node stops; the node does not wait for it, although it would
/// for calls.
#[tokio::test(flavor = "multi_thread")]
async fn silent_peer_left() {
    let mut fleet = started().await;
    assert_eq!(fleet.stop("node-2").await, Some(0));
    let tunables = json!({"requests": {"leave_ms": 0, "finish_ms": 600_000}});
    fleet.instance("node-2").settings["tunables"] = tunables;
    fleet.start(&["node-2"], &[]).await;
    let address = fleet.instance("node-2").addresses["peers"];
    let own = handshake::LinkCredentials {
        identity: node::identity("silent", "brasov-a", "ro-centru"),
        key: wire::GroupKey::new(Vec::new()),
    };
    let stream = links::connect(&own, address, wire::LinkPurpose::Calls).await;
    let stream = rt::TokioIo::new(stream.expect("the node listens"));
    let opened = http2::handshake::<_, _, Full<Bytes>>(rt::TokioExecutor::new(), stream).await;
    let (_sender, mut connection) = opened.expect("the node speaks HTTP/2");
    // It is open once both sides have greeted; nobody reads it any more after that.
    drop(time::timeout(OPENING_TIME, &mut connection).await);
    let stopped = time::timeout(wait::WAIT_TIMEOUT, fleet.stop("node-2")).await;
    assert_eq!(stopped, Ok(Some(0)));
    drop(connection);
}

#[tokio::test(flavor = "multi_thread")]
async fn target_drains() {
    let mut fleet = started().await;
    let mut targets = Vec::new();
    for node in &NODES[1..] {
        for number in 0..2 {
            targets.push(target_at(&mut fleet, node, &format!("{node}-{number}")).await);
        }
    }
    for node in NODES {
        support::wait_routed(&fleet, node).await;
    }
    let load = Load::start(callers(&mut fleet, &NODES));
    for round in 0..ROUNDS {
        let target = &targets[round % targets.len()];
        target.drain().await;
        time::sleep(LEAVING_TIME).await;
        let runs = target.runs().len();
        time::sleep(Duration::from_millis(200)).await;
        assert_eq!(target.runs().len(), runs, "round {round}: no new work");
        target.announce_state(target::TargetState::Ready).await;
        wait::until("work for a target that is back", || async {
            (target.runs().len() > runs).then_some(())
        })
        .await;
    }
    load.finish(&targets).await;
}
