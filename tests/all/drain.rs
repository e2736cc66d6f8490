//! Graceful shutdown under load: nodes and targets drain without a failed request.

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

const ROUND_COUNT: usize = 20;
const CALLER_COUNT: usize = 8;
const NODES: [&str; 3] = ["node-1", "node-2", "node-3"];
/// Time after which a draining target must receive no new requests.
const DRAIN_DELAY: Duration = Duration::from_secs(2);
/// Time within which an HTTP/2 connection completes its handshake.
const HANDSHAKE_TIME: Duration = Duration::from_millis(500);

/// Results of the requests of all callers.
#[derive(Debug, Default)]
struct CallerTally {
    answered: Mutex<Vec<String>>,
    /// Descriptions of refused requests and broken connections.
    failed: Mutex<Vec<String>>,
    last_number: AtomicU64,
}

struct CallerLoad {
    nodes: watch::Sender<Vec<SocketAddr>>,
    tally: Arc<CallerTally>,
    callers: JoinSet<()>,
}

impl CallerLoad {
    fn start(nodes: Vec<SocketAddr>) -> Self {
        let nodes = watch::Sender::new(nodes);
        let tally = Arc::<CallerTally>::default();
        let mut callers = JoinSet::new();
        for index in 0..CALLER_COUNT {
            callers.spawn(run_caller(index, nodes.subscribe(), Arc::clone(&tally)));
        }
        Self {
            nodes,
            tally,
            callers,
        }
    }

    /// Ends the load and checks the results against the run logs of the targets.
    async fn finish(mut self, targets: &[target::StandInTarget]) {
        self.nodes.send_replace(Vec::new());
        while self.callers.join_next().await.is_some() {}
        let failed = self
            .tally
            .failed
            .lock()
            .expect("the mutex is not poisoned")
            .clone();
        assert!(
            failed.is_empty(),
            "{} requests failed: {:?}",
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
            .expect("the mutex is not poisoned")
            .clone();
        assert!(
            answered.len() > ROUND_COUNT * CALLER_COUNT,
            "too few requests were answered: {}",
            answered.len()
        );
        for path in answered {
            assert_eq!(
                runs.get(&path),
                Some(&1),
                "{path} was answered but did not run once"
            );
        }
    }
}

/// Sends requests one at a time over keep-alive connections until the list of nodes is empty.
async fn run_caller(
    index: usize,
    nodes: watch::Receiver<Vec<SocketAddr>>,
    tally: Arc<CallerTally>,
) {
    let mut sequence = index;
    loop {
        let node_addresses = nodes.borrow().clone();
        if node_addresses.is_empty() {
            return;
        }
        sequence += 1;
        // A refused connection is no failure, since no request was sent.
        let Ok(stream) = TcpStream::connect(node_addresses[sequence % node_addresses.len()]).await
        else {
            time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let Ok((sender, connection)) = http1::handshake(rt::TokioIo::new(stream)).await else {
            continue;
        };
        let connection_task = tokio::spawn(connection);
        call_until_closed(sender, &nodes, &tally).await;
        connection_task.abort();
    }
}

async fn call_until_closed(
    mut sender: http1::SendRequest<Full<Bytes>>,
    nodes: &watch::Receiver<Vec<SocketAddr>>,
    tally: &CallerTally,
) {
    while sender.ready().await.is_ok() && !nodes.borrow().is_empty() {
        let path = format!(
            "/certificates/drained-{}",
            tally.last_number.fetch_add(1, Ordering::Relaxed)
        );
        let request = Request::post(&path)
            .header("host", "registru")
            .body(Full::from("certificate"));
        let sent = sender
            .try_send_request(request.expect("a valid request"))
            .await;
        let answer = match sent {
            Ok(response) => {
                let code = response.headers().get("hazeltiller-code").cloned();
                let collected = response.into_body().collect().await;
                collected.map(|_| code).map_err(|error| error.to_string())
            }
            Err(mut error) => match error.take_message() {
                // The request was never sent, so this is no failure; the next connection continues.
                Some(_unsent) => return,
                None => Err(error.into_error().to_string()),
            },
        };
        match answer {
            Ok(None) => tally
                .answered
                .lock()
                .expect("the mutex is not poisoned")
                .push(path),
            Ok(Some(code)) => record_failure(tally, format!("{path}: {code:?}")),
            Err(error) => return record_failure(tally, format!("{path}: {error}")),
        }
        time::sleep(Duration::from_millis(2)).await;
    }
}

fn record_failure(tally: &CallerTally, text: String) {
    tally
        .failed
        .lock()
        .expect("the mutex is not poisoned")
        .push(text);
}

async fn start_fleet() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(support::DAEMON);
    fleet.add_controls("brasov-a", &["control-1"]).await;
    for (node, data_centre) in NODES.iter().zip(["brasov-a", "brasov-a", "sibiu-a"]) {
        fleet.add_node(data_centre, node).await;
        let tunables = json!({"requests": {"leave_ms": 1000}});
        fleet.instance(node).settings["tunables"] = tunables;
    }
    fleet.start(&["control-1"], &["--bootstrap"]).await;
    fleet.start(&NODES, &[]).await;
    support::apply_first_change(&fleet).await;
    fleet.wait_version(&NODES, 1).await;
    fleet
}

async fn start_target(fleet: &mut fleet::Fleet, node: &str, name: &str) -> target::StandInTarget {
    let behaviour = behaviour::StandInBehaviour {
        latency_ms: 20,
        ..behaviour::StandInBehaviour::default()
    };
    support::start_stand_in_with(fleet, node, name, behaviour).await
}

fn caller_addresses(fleet: &mut fleet::Fleet, nodes: &[&str]) -> Vec<SocketAddr> {
    let address = |node: &&str| fleet.instance(node).addresses["callers"];
    nodes.iter().map(address).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn node_stops() {
    let mut fleet = start_fleet().await;
    let mut targets = Vec::new();
    for node in NODES {
        targets.push(start_target(&mut fleet, node, &format!("at-{node}")).await);
    }
    for node in NODES {
        support::wait_for_routing(&fleet, node).await;
    }
    let load = CallerLoad::start(caller_addresses(&mut fleet, &NODES));
    for round in 0..ROUND_COUNT {
        let stopped_node = NODES[round % 2 + 1];
        let old_address = fleet.instance(stopped_node).addresses["target"];
        assert_eq!(fleet.stop(stopped_node).await, Some(0), "round {round}");
        // Another process may reuse the port and must not receive the announcements of this target.
        let last_target = targets
            .iter()
            .rev()
            .find(|target| target.settings().node == old_address);
        last_target.expect("the node has a target").stop();
        fleet.start(&[stopped_node], &[]).await;
        fleet.wait_version(&[stopped_node], 1).await;
        targets.push(start_target(&mut fleet, stopped_node, &format!("round-{round}")).await);
        support::wait_for_routing(&fleet, stopped_node).await;
        load.nodes
            .send_replace(caller_addresses(&mut fleet, &NODES));
    }
    load.finish(&targets).await;
}

/// A peer that no longer reads its connection never closes it after the node announces its stop.
/// The node must not wait for that connection, although it waits up to `finish_ms` for running
/// calls.
#[tokio::test(flavor = "multi_thread")]
async fn silent_peer_skipped() {
    let mut fleet = start_fleet().await;
    assert_eq!(fleet.stop("node-2").await, Some(0));
    let tunables = json!({"requests": {"leave_ms": 0, "finish_ms": 600_000}});
    fleet.instance("node-2").settings["tunables"] = tunables;
    fleet.start(&["node-2"], &[]).await;
    let address = fleet.instance("node-2").addresses["peers"];
    let credentials = handshake::LinkCredentials {
        identity: node::identity("silent", "brasov-a", "ro-centru"),
        key: wire::GroupKey::new(Vec::new()),
    };
    let stream = links::connect(&credentials, address, wire::LinkPurpose::Calls).await;
    let stream = rt::TokioIo::new(stream.expect("the node listens"));
    let opened = http2::handshake::<_, _, Full<Bytes>>(rt::TokioExecutor::new(), stream).await;
    let (_sender, mut connection) = opened.expect("the node speaks HTTP/2");
    // Drives the connection until the handshake is complete; nothing reads it after that.
    drop(time::timeout(HANDSHAKE_TIME, &mut connection).await);
    let exit = time::timeout(wait::WAIT_TIMEOUT, fleet.stop("node-2")).await;
    assert_eq!(exit, Ok(Some(0)));
    drop(connection);
}

#[tokio::test(flavor = "multi_thread")]
async fn target_drains() {
    let mut fleet = start_fleet().await;
    let mut targets = Vec::new();
    for node in &NODES[1..] {
        for number in 0..2 {
            targets.push(start_target(&mut fleet, node, &format!("{node}-{number}")).await);
        }
    }
    for node in NODES {
        support::wait_for_routing(&fleet, node).await;
    }
    let load = CallerLoad::start(caller_addresses(&mut fleet, &NODES));
    for round in 0..ROUND_COUNT {
        let target = &targets[round % targets.len()];
        target.drain().await;
        time::sleep(DRAIN_DELAY).await;
        let runs = target.runs().len();
        time::sleep(Duration::from_millis(200)).await;
        assert_eq!(
            target.runs().len(),
            runs,
            "round {round}: a draining target received requests"
        );
        target.announce_state(target::TargetState::Ready).await;
        wait::until("requests for the target that is ready again", || async {
            (target.runs().len() > runs).then_some(())
        })
        .await;
    }
    load.finish(&targets).await;
}
