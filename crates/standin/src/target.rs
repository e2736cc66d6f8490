//! A stand-in target: its listener, announcements and simulated crashes.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use hazeltiller_units::ids;
use http_body_util::Full;
use hyper::{Request, server::conn::http1, service};
use hyper_util::rt;
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

use crate::{answer, behaviour, client, endless, repeat, runs, settings};

/// Exit code of a process that ends itself in a scripted crash.
const CRASH_EXIT_CODE: i32 = 70;
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// The state that a stand-in announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Starting.
    Warming,
    /// Accepts requests.
    Ready,
    /// Finishes running requests.
    Draining,
}

/// Whether a stand-in is running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LifecycleState {
    Up,
    /// Crashed; restarts after this time.
    Down(Duration),
    /// Stopped permanently.
    Stopped,
}

/// State of a stand-in and the number of its crashes, by which a connection detects a crash even
/// after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LifecycleRecord {
    state: LifecycleState,
    crashes: u64,
}

#[derive(Debug)]
struct SharedState {
    behaviour: behaviour::StandInBehaviour,
    state: TargetState,
    is_withdrawn: bool,
    started: Instant,
    /// Number of the latest announcement.
    sequence: u64,
}

/// A running stand-in.
#[derive(Debug, Clone)]
pub struct StandInTarget {
    /// Address of the listener.
    pub address: SocketAddr,
    settings: Arc<settings::StandInSettings>,
    log: runs::RunLog,
    endless: endless::EndlessLog,
    shared: Arc<Mutex<SharedState>>,
    lifecycle: watch::Sender<LifecycleRecord>,
}

/// Body of an announcement to the node.
#[derive(Debug, Serialize)]
struct Announcement<'a> {
    service: &'a str,
    name: &'a str,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    state: TargetState,
    lease_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    sequence: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<&'a str>,
}

impl StandInTarget {
    /// Starts a stand-in, which renews its announcement until it is stopped or the runtime ends.
    pub async fn start(settings: settings::StandInSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let shared = SharedState {
            behaviour: settings.behaviour.clone(),
            state: TargetState::Ready,
            is_withdrawn: false,
            started: Instant::now(),
            sequence: 0,
        };
        let target = Self {
            address: listener.local_addr()?,
            settings: Arc::new(settings),
            log: runs::RunLog::default(),
            endless: endless::EndlessLog::default(),
            shared: Arc::new(Mutex::new(shared)),
            lifecycle: watch::Sender::new(LifecycleRecord {
                state: LifecycleState::Up,
                crashes: 0,
            }),
        };
        tokio::spawn(target.clone().run(listener));
        tokio::spawn(target.clone().renew_announcements());
        Ok(target)
    }

    /// Returns the settings.
    pub fn settings(&self) -> &settings::StandInSettings {
        &self.settings
    }

    /// Returns the run log.
    pub fn log(&self) -> &runs::RunLog {
        &self.log
    }

    /// Returns the counts of what was sent without end.
    pub fn endless(&self) -> &endless::EndlessLog {
        &self.endless
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<runs::RunRecord> {
        self.log.records()
    }

    /// Returns the current behaviour.
    pub fn behaviour(&self) -> behaviour::StandInBehaviour {
        self.lock().behaviour.clone()
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: behaviour::StandInBehaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Returns the time since the start or the last restart.
    pub fn since_start(&self) -> Duration {
        self.lock().started.elapsed()
    }

    /// Announces itself as draining from now on.
    pub async fn drain(&self) {
        self.announce_state(TargetState::Draining).await;
    }

    /// Announces itself with another state from now on.
    pub async fn announce_state(&self, state: TargetState) {
        self.lock().state = state;
        self.announce().await;
    }

    /// Withdraws itself from its node; returns whether that was acknowledged. The listener stays
    /// open, and no announcement is renewed any more.
    pub async fn withdraw(&self) -> bool {
        let path = format!("/v1/announce/{}", self.settings.name);
        self.lock().is_withdrawn = true;
        self.send_to_node(Request::delete(path).body(Full::default()))
            .await
    }

    /// Simulates a crash: closes the listener and all connections, and restarts after `pause`.
    pub fn crash(&self, pause: Duration) {
        self.take_down(LifecycleState::Down(pause));
    }

    /// Closes the listener and all connections permanently and stops announcing itself.
    pub fn stop(&self) {
        self.take_down(LifecycleState::Stopped);
    }

    fn take_down(&self, state: LifecycleState) {
        self.lifecycle.send_modify(|lifecycle| {
            lifecycle.state = state;
            lifecycle.crashes += 1;
        });
    }

    /// Crashes as scripted.
    pub(crate) fn crash_as_scripted(&self, behaviour: &behaviour::StandInBehaviour) {
        match behaviour.crash_pause_ms {
            Some(pause) => self.crash(Duration::from_millis(pause)),
            None => std::process::exit(CRASH_EXIT_CODE),
        }
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().expect("no holder of the lock panics")
    }

    /// Serves connections and restarts after crashes until it is stopped.
    async fn run(self, listener: TcpListener) {
        let mut lifecycle = self.lifecycle.subscribe();
        let mut listener = Some(listener);
        loop {
            let bound = match listener.take() {
                Some(bound) => bound,
                None => self.rebind().await,
            };
            tokio::select! {
                () = self.serve(bound) => {}
                _ = lifecycle.wait_for(|lifecycle| lifecycle.state != LifecycleState::Up) => {}
            }
            let state = lifecycle.borrow_and_update().state;
            match state {
                LifecycleState::Down(pause) => time::sleep(pause).await,
                LifecycleState::Stopped => return,
                LifecycleState::Up => {}
            }
            self.lock().started = Instant::now();
            self.lifecycle.send_if_modified(|lifecycle| {
                let is_down = lifecycle.state == state;
                if is_down {
                    lifecycle.state = LifecycleState::Up;
                }
                is_down
            });
        }
    }

    async fn rebind(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(error) => log::debug!(
                    "{}: cannot bind its listener again, retrying: {error}",
                    self.settings.name
                ),
            }
            time::sleep(REBIND_PAUSE).await;
        }
    }

    async fn serve(&self, listener: TcpListener) {
        while let Ok((stream, _from)) = listener.accept().await {
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let mut lifecycle = self.lifecycle.subscribe();
        let crashes = lifecycle.borrow_and_update().crashes;
        let raw = match endless::RawWriter::new(&stream, self.endless.clone()) {
            Ok(raw) => raw,
            Err(error) => {
                log::warn!("cannot duplicate the handle of a connection: {error}");
                return;
            }
        };
        let slot = repeat::RepeatSlot::default();
        let stream = repeat::RepeatStream::new(stream, slot.clone());
        let at_accept = self.accept_script();
        let writer = raw.clone();
        let service = service::service_fn(move |request| {
            let (target, slot, raw) = (self.clone(), slot.clone(), raw.clone());
            async move { Ok::<_, Infallible>(answer::respond(&target, &slot, &raw, request).await) }
        });
        let served = async {
            if let Some(script) = at_accept {
                return writer.run(script, "").await.map_err(Into::into);
            }
            let stream = rt::TokioIo::new(stream);
            let serving = http1::Builder::new().serve_connection(stream, service);
            serving
                .await
                .map_err(Box::<dyn std::error::Error + Send + Sync>::from)
        };
        tokio::select! {
            ended = served => {
                if let Err(error) = ended {
                    log::debug!("connection of stand-in failed: {error}");
                }
            }
            _ = lifecycle.wait_for(|lifecycle| lifecycle.crashes != crashes) => {}
        }
    }

    /// Counts an accepted connection; returns the script if it gets bytes without end at once.
    fn accept_script(&self) -> Option<endless::EndlessScript> {
        let number = self.endless.record_accept();
        let script = self.behaviour().endless?;
        let is_scripted = script.interval > 0 && number.is_multiple_of(script.interval);
        (is_scripted && script.place == endless::EndlessPlace::Accept).then_some(script)
    }

    async fn renew_announcements(self) {
        let mut timer = time::interval(self.settings.lease / 3);
        loop {
            timer.tick().await;
            let lifecycle = self.lifecycle.borrow().state;
            match lifecycle {
                LifecycleState::Up if !self.lock().is_withdrawn => self.announce().await,
                LifecycleState::Up | LifecycleState::Down(_) => {}
                LifecycleState::Stopped => return,
            }
        }
    }

    async fn announce(&self) {
        let announcement = self.next_announcement();
        self.send_announcement(announcement).await;
    }

    /// Returns the next announcement, so that it can be sent late.
    pub fn next_announcement(&self) -> bytes::Bytes {
        let (state, sequence) = {
            let mut shared = self.lock();
            shared.sequence += 1;
            (shared.state, shared.sequence)
        };
        let announcement = Announcement {
            service: self.settings.service.as_str(),
            name: self.settings.name.as_str(),
            address: self.address,
            slots: self.settings.slots,
            connections: self.settings.connections,
            state,
            lease_ms: self.settings.lease.as_millis() as u64,
            sequence: self.settings.is_numbered.then_some(sequence),
            version: self
                .settings
                .version
                .as_ref()
                .map(ids::SoftwareVersion::as_str),
        };
        let text = serde_json::to_vec(&announcement);
        text.expect("an announcement has only text keys").into()
    }

    /// Sends an announcement to the node.
    pub async fn send_announcement(&self, announcement: bytes::Bytes) {
        let request = Request::post("/v1/announce").body(Full::new(announcement));
        self.send_to_node(request).await;
    }

    /// Sends a request to the node; returns whether it was acknowledged.
    async fn send_to_node(
        &self,
        request: hyper::http::Result<Request<Full<bytes::Bytes>>>,
    ) -> bool {
        let request = request.expect("the path is a URI");
        match client::exchange(self.settings.node, request).await {
            Ok(response) => response.status().is_success(),
            Err(error) => {
                log::warn!("{}: cannot reach its node: {error}", self.settings.name);
                false
            }
        }
    }
}
