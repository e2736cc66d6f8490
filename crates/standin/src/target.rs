//! A stand-in target: its listener, its announcements and its crashes.

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

use crate::{answer, behaviour, client, runs, settings};

/// Exit code of a process whose script has a crash end it.
const CRASH_EXIT_CODE: i32 = 70;
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// What a stand-in says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Starting.
    Warming,
    /// Takes work.
    Ready,
    /// Finishes what runs.
    Draining,
}

/// Whether a stand-in is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PowerState {
    Up,
    /// Gone, and back after this long.
    Down(Duration),
    /// Gone for good.
    Stopped,
}

/// Power with the number of crashes, so that a connection notices a crash that is already over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PowerRecord {
    state: PowerState,
    crashes: u64,
}

#[derive(Debug)]
struct SharedState {
    behaviour: behaviour::StandInBehaviour,
    state: TargetState,
    started: Instant,
}

/// A stand-in that runs.
#[derive(Debug, Clone)]
pub struct StandInTarget {
    /// Where it listens.
    pub address: SocketAddr,
    settings: Arc<settings::StandInSettings>,
    log: runs::RunLog,
    shared: Arc<Mutex<SharedState>>,
    power: watch::Sender<PowerRecord>,
}

/// What it tells its node.
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
    version: Option<&'a str>,
}

impl StandInTarget {
    /// Starts a stand-in, which announces itself until it is stopped or the runtime ends.
    pub async fn start(settings: settings::StandInSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let shared = SharedState {
            behaviour: settings.behaviour.clone(),
            state: TargetState::Ready,
            started: Instant::now(),
        };
        let target = Self {
            address: listener.local_addr()?,
            settings: Arc::new(settings),
            log: runs::RunLog::default(),
            shared: Arc::new(Mutex::new(shared)),
            power: watch::Sender::new(PowerRecord {
                state: PowerState::Up,
                crashes: 0,
            }),
        };
        tokio::spawn(target.clone().live(listener));
        tokio::spawn(target.clone().announce_again());
        Ok(target)
    }

    /// What it was started with.
    pub fn settings(&self) -> &settings::StandInSettings {
        &self.settings
    }

    /// The log of its runs.
    pub fn log(&self) -> &runs::RunLog {
        &self.log
    }

    /// The runs so far.
    pub fn runs(&self) -> Vec<runs::RunRecord> {
        self.log.records()
    }

    /// How it behaves now.
    pub fn behaviour(&self) -> behaviour::StandInBehaviour {
        self.lock().behaviour.clone()
    }

    /// Changes how it behaves from now on.
    pub fn behave(&self, behaviour: behaviour::StandInBehaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Time since it started or came back from its last crash.
    pub fn since_start(&self) -> Duration {
        self.lock().started.elapsed()
    }

    /// Says from now on that it drains.
    pub async fn drain(&self) {
        self.say(TargetState::Draining).await;
    }

    /// Says something else of itself from now on.
    pub async fn say(&self, state: TargetState) {
        self.lock().state = state;
        self.announce().await;
    }

    /// Withdraws itself at its node and announces itself no more; its listener stays.
    pub async fn leave(&self) {
        let path = format!("/v1/announce/{}", self.settings.name);
        self.lock().state = TargetState::Draining;
        self.tell_node(Request::delete(path).body(Full::default()))
            .await;
    }

    /// Closes every connection and the listener, and comes back after a pause.
    pub fn crash(&self, pause: Duration) {
        self.fall(PowerState::Down(pause));
    }

    /// Closes every connection and the listener for good, and is silent towards its node.
    pub fn stop(&self) {
        self.fall(PowerState::Stopped);
    }

    fn fall(&self, state: PowerState) {
        self.power.send_modify(|power| {
            power.state = state;
            power.crashes += 1;
        });
    }

    /// Crashes as a script says.
    pub(crate) fn crash_by(&self, behaviour: &behaviour::StandInBehaviour) {
        match behaviour.crash_pause_ms {
            Some(pause) => self.crash(Duration::from_millis(pause)),
            None => std::process::exit(CRASH_EXIT_CODE),
        }
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().expect("no holder of the lock panics")
    }

    /// Serves, is gone after a crash, comes back, until it is stopped.
    async fn live(self, listener: TcpListener) {
        let mut power = self.power.subscribe();
        let mut listener = Some(listener);
        loop {
            let bound = match listener.take() {
                Some(bound) => bound,
                None => self.rebind().await,
            };
            tokio::select! {
                () = self.serve(bound) => {}
                _ = power.wait_for(|power| power.state != PowerState::Up) => {}
            }
            let state = power.borrow_and_update().state;
            match state {
                PowerState::Down(pause) => time::sleep(pause).await,
                PowerState::Stopped => return,
                PowerState::Up => {}
            }
            self.lock().started = Instant::now();
            self.power.send_if_modified(|power| {
                let is_down = power.state == state;
                if is_down {
                    power.state = PowerState::Up;
                }
                is_down
            });
        }
    }

    async fn rebind(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(error) => log::debug!("{} binds again: {error}", self.settings.name),
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
        let mut power = self.power.subscribe();
        let crashes = power.borrow_and_update().crashes;
        let service = service::service_fn(move |request| {
            let target = self.clone();
            async move { Ok::<_, Infallible>(answer::answer(&target, request).await) }
        });
        let served = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
        tokio::select! {
            ended = served => {
                if let Err(error) = ended {
                    log::debug!("stand-in's connection ended: {error}");
                }
            }
            _ = power.wait_for(|power| power.crashes != crashes) => {}
        }
    }

    async fn announce_again(self) {
        let mut timer = time::interval(self.settings.lease / 3);
        loop {
            timer.tick().await;
            let power = self.power.borrow().state;
            match power {
                PowerState::Up => self.announce().await,
                PowerState::Down(_) => {}
                PowerState::Stopped => return,
            }
        }
    }

    async fn announce(&self) {
        let announcement = Announcement {
            service: self.settings.service.as_str(),
            name: self.settings.name.as_str(),
            address: self.address,
            slots: self.settings.slots,
            connections: self.settings.connections,
            state: self.lock().state,
            lease_ms: self.settings.lease.as_millis() as u64,
            version: self
                .settings
                .version
                .as_ref()
                .map(ids::SoftwareVersion::as_str),
        };
        let text = serde_json::to_vec(&announcement).expect("it has only text keys");
        self.tell_node(Request::post("/v1/announce").body(Full::new(text.into())))
            .await;
    }

    async fn tell_node(&self, request: hyper::http::Result<Request<Full<bytes::Bytes>>>) {
        let request = request.expect("the path is a URI");
        if let Err(error) = client::exchange(self.settings.node, request).await {
            log::warn!("{} did not reach its node: {error}", self.settings.name);
        }
    }
}
