//! One control and two nodes with lowered limits, and the checks of a crowd.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hazeltiller_standin::{behaviour, target};
use hazeltiller_testkit::{fleet, wait};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::json;
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time,
};

use crate::support;

/// Memory of the machine of each process, in megabytes.
const MEMORY_MB: u64 = 96;
const BYTES_PER_MB: u64 = 1_000_000;
/// Descriptors of a process where crowds are to meet other limits first; those of the smallest machine
/// of the deployments.
const MANY_DESCRIPTORS: u32 = 4096;
/// Descriptors of a process where crowds of connections are to meet that limit.
const FEW_DESCRIPTORS: u32 = 256;
/// A process keeps one of this many descriptors for what is no crowd: targets, peers and its disk.
const RESERVED_FRACTION: usize = 8;
/// Time for which a crowd sends.
const CROWD_TIME: Duration = Duration::from_secs(8);
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);
/// Time after which a client whose connection ended opens another one.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Receive buffer of the crowd's sockets, in bytes, so that few unread bytes stay in the kernel.
const RECEIVE_BUFFER_BYTES: u32 = 4096;

const INSTANCES: [&str; 3] = ["control-1", "node-1", "node-2"];

static TURN: Mutex<()> = Mutex::const_new(());

/// Processes with lowered limits. The crowd sends to `node-1`.
pub(crate) struct CrowdScene {
    pub(crate) fleet: fleet::Fleet,
    max_descriptors: u32,
    process_ids: Vec<u32>,
    peak_descriptors: Arc<[AtomicUsize; INSTANCES.len()]>,
    sampling: JoinSet<()>,
    _targets: Vec<target::StandInTarget>,
    _turn: MutexGuard<'static, ()>,
}

impl CrowdScene {
    /// Starts a scene in which memory is the limit that crowds meet.
    pub(crate) async fn start_with_little_memory(response_bytes: usize) -> Self {
        Self::start(response_bytes, MANY_DESCRIPTORS, "info").await
    }

    /// Starts such a scene whose processes log what they usually don't.
    pub(crate) async fn start_with_debug_log(response_bytes: usize) -> Self {
        Self::start(response_bytes, MANY_DESCRIPTORS, "debug").await
    }

    /// Starts a scene in which descriptors are the limit that crowds meet.
    pub(crate) async fn start_with_few_descriptors() -> Self {
        const RESPONSE_BYTES: usize = 100;
        Self::start(RESPONSE_BYTES, FEW_DESCRIPTORS, "info").await
    }

    async fn start(response_bytes: usize, max_descriptors: u32, log_level: &str) -> Self {
        let turn = TURN.lock().await;
        let mut fleet = fleet::Fleet::new(support::DAEMON);
        fleet.add_controls("brasov-a", &["control-1"]).await;
        fleet.add_node("brasov-a", "node-1").await;
        fleet.add_node("brasov-a", "node-2").await;
        for name in INSTANCES {
            let instance = fleet.instance(name);
            instance.settings["installation"] = json!({"memory_mb": MEMORY_MB});
            instance.settings["log"] = json!({"level": log_level});
            instance.max_descriptors = Some(max_descriptors);
        }
        fleet.start(&["control-1"], &["--bootstrap"]).await;
        fleet.start(&["node-1", "node-2"], &[]).await;
        support::apply_first_change(&fleet).await;
        fleet.wait_version(&["node-2"], 1).await;
        let behaviour = behaviour::StandInBehaviour {
            answer_bytes: response_bytes,
            ..behaviour::StandInBehaviour::default()
        };
        let mut targets = Vec::new();
        for (node, name) in [("node-1", "target-1"), ("node-2", "target-2")] {
            let behaviour = behaviour.clone();
            targets.push(support::start_stand_in_with(&mut fleet, node, name, behaviour).await);
            support::wait_for_routing(&fleet, node).await;
        }
        let process_ids = INSTANCES.map(|name| fleet.process_id(name).expect("it runs"));
        let mut scene = Self {
            fleet,
            max_descriptors,
            process_ids: process_ids.to_vec(),
            peak_descriptors: Arc::default(),
            sampling: JoinSet::new(),
            _targets: targets,
            _turn: turn,
        };
        scene.sample_descriptors();
        scene
    }

    /// Counts the open descriptors of each process again and again.
    fn sample_descriptors(&mut self) {
        let (ids, peaks) = (self.process_ids.clone(), Arc::clone(&self.peak_descriptors));
        self.sampling.spawn(async move {
            loop {
                for (id, peak) in ids.iter().zip(peaks.iter()) {
                    // The process may have ended, which the checks report.
                    let open = std::fs::read_dir(format!("/proc/{id}/fd"));
                    peak.fetch_max(open.map_or(0, Iterator::count), Ordering::Relaxed);
                }
                time::sleep(SAMPLE_PERIOD).await;
            }
        });
    }

    /// Returns the address of a listener of `node-1`.
    pub(crate) fn address(&mut self, listener: &str) -> SocketAddr {
        self.address_at("node-1", listener)
    }

    /// Returns the address of a listener of an instance.
    pub(crate) fn address_at(&mut self, name: &str, listener: &str) -> SocketAddr {
        self.fleet.instance(name).addresses[listener]
    }

    /// Runs a crowd of clients, each of which repeats what `client` does on a connection of its own
    /// whenever that has ended. Checks the processes beside the crowd and after it.
    pub(crate) async fn withstand<F>(
        &self,
        description: &str,
        clients: usize,
        client: impl Fn(usize) -> F + Clone + Send + Sync + 'static,
    ) where
        F: Future<Output = std::io::Result<()>> + Send,
    {
        let mut crowd = JoinSet::new();
        for number in 0..clients {
            let client = client.clone();
            crowd.spawn(async move {
                loop {
                    // A connection that the node has closed is opened again.
                    drop(client(number).await);
                    time::sleep(RECONNECT_PAUSE).await;
                }
            });
        }
        time::sleep(CROWD_TIME).await;
        self.check_service(&format!("beside {description}")).await;
        self.check_limits(description);
        crowd.shutdown().await;
        self.check_service(&format!("after {description}")).await;
        self.check_limits(description);
    }

    /// Checks that an ordinary caller and an operator are answered.
    async fn check_service(&self, moment: &str) {
        for (listener, path) in [
            ("callers", "/vehicles/ordinary"),
            ("operators", "/v1/status"),
        ] {
            let description = format!("an ordinary request to {listener} {moment}");
            wait::until(&description, || async {
                let request = Request::get(path).body(Full::default());
                let request = request.expect("a valid request");
                let sending = self.fleet.send_request("node-1", listener, request);
                let response = time::timeout(Duration::from_secs(5), sending)
                    .await
                    .ok()??;
                (response.status() == StatusCode::OK).then_some(())
            })
            .await;
        }
    }

    fn check_limits(&self, description: &str) {
        let max_descriptors = self.max_descriptors as usize;
        let max_descriptors = max_descriptors - max_descriptors / RESERVED_FRACTION;
        for (index, name) in INSTANCES.iter().enumerate() {
            let id = self.process_ids[index];
            assert_eq!(
                self.fleet.process_id(name),
                Some(id),
                "{description}: {name}"
            );
            let peak_bytes = peak_bytes(id);
            let descriptors = self.peak_descriptors[index].load(Ordering::Relaxed);
            println!("{description}: {name}: {peak_bytes} bytes, {descriptors} descriptors");
            assert!(
                peak_bytes <= MEMORY_MB * BYTES_PER_MB,
                "{description}: {name} took {peak_bytes} bytes"
            );
            assert!(
                descriptors <= max_descriptors,
                "{description}: {name} opened {descriptors} descriptors"
            );
        }
    }
}

/// Returns the peak of the resident memory of a process.
fn peak_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.expect("the process has not ended");
    let peak = peak.trim().strip_suffix(" kB");
    let kilobytes: u64 = peak.expect("a size in kB").parse().expect("a number");
    kilobytes * 1024
}

/// Opens a connection with a small receive buffer.
pub(crate) async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(address).await
}
