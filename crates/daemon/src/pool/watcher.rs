//! Watches one connection to another node for silence while calls wait on it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use hazeltiller_engine::calls::pulse;
use hazeltiller_wire::calls as wire;
use hyper::{Request, client::conn::http2};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::http;

/// What the calls of a connection and its watcher tell each other.
#[derive(Debug, Default)]
pub(super) struct LinkWatch {
    waiting: AtomicUsize,
    is_doubtful: AtomicBool,
    /// When something last came, or a call began after a time without any.
    heard: Mutex<Option<Instant>>,
    begun: Notify,
}

/// Counts a call as waiting until it is dropped.
#[derive(Debug)]
pub(super) struct WaitingCall<'a>(&'a LinkWatch);

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LinkWatch {
    /// Whether the link gives no sign of life.
    pub(super) fn is_doubtful(&self) -> bool {
        self.is_doubtful.load(Ordering::Relaxed)
    }

    /// Counts a call that is sent.
    pub(super) fn begin_call(&self) -> WaitingCall<'_> {
        if self.waiting.fetch_add(1, Ordering::Relaxed) == 0 {
            self.note_heard();
            self.begun.notify_one();
        }
        WaitingCall(self)
    }

    /// Notes that something came.
    pub(super) fn note_heard(&self) {
        let mut heard = self.heard.lock().expect("no holder of the lock panics");
        *heard = Some(Instant::now());
    }

    /// When the link has been silent long enough to ask; `None` while no call waits on it.
    fn ask_at(&self) -> Option<Instant> {
        let heard = self.heard.lock().expect("no holder of the lock panics");
        let is_waited = self.waiting.load(Ordering::Relaxed) > 0;
        heard
            .filter(|_| is_waited)
            .map(|heard| heard + pulse::SILENCE)
    }
}

/// Asks for signs of life as long as the connection is open.
pub(super) async fn watch(
    link: Arc<LinkWatch>,
    mut sender: http2::SendRequest<http::StreamBody>,
    to: SocketAddr,
) {
    let mut pulse = pulse::LinkPulse::default();
    while !sender.is_closed() {
        let Some(at) = link.ask_at() else {
            link.begun.notified().await;
            continue;
        };
        if at > Instant::now() {
            time::sleep_until(at).await;
            continue;
        }
        let asked = Instant::now();
        let mut sign = std::pin::pin!(sender.send_request(sign_request(to)));
        let in_time = time::timeout(pulse.patience(), sign.as_mut()).await;
        let answer = match in_time {
            Ok(answer) => answer,
            Err(_elapsed) => {
                log::info!(
                    "link to {to} is in doubt: no sign of life in {:?}",
                    pulse.patience()
                );
                link.is_doubtful.store(true, Ordering::Relaxed);
                sign.await
            }
        };
        if answer.is_err() {
            return;
        }
        pulse.note(asked.elapsed());
        link.note_heard();
        if link.is_doubtful.swap(false, Ordering::Relaxed) {
            log::info!("link to {to} gives signs of life again");
        }
    }
}

fn sign_request(to: SocketAddr) -> Request<http::StreamBody> {
    let request = Request::get(format!("http://{to}{}", wire::SIGN_PATH));
    let request = request.body(http::full_body(""));
    request.expect("an address and a path make a URI")
}
