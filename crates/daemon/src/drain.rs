//! Graceful shutdown of a process.
//!
//! A node that shuts down first goes on serving, since callers take a while to stop sending to it.
//! Its peers react faster, so they are notified later: until then its target, which only this node
//! can reach, stays in use. Then the node stops accepting connections. The process ends once
//! nothing is in flight.

use std::time::Duration;

use hazeltiller_engine::{event, membership};
use tokio::{sync::watch, time};

use crate::process;

/// Phase of the shutdown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// No shutdown has been requested.
    #[default]
    Serving,
    /// Peers are notified, and responses ask callers to close their connections.
    Leaving,
    /// No connections are accepted. Open ones close once they are idle.
    Closing,
}

/// The phase of the shutdown, and a count of the connections and calls in flight.
#[derive(Debug, Clone, Default)]
pub struct DrainState {
    phase: watch::Sender<DrainPhase>,
    /// Each connection and detached call holds a receiver, so that the channel closes when all have
    /// ended.
    in_flight: watch::Sender<()>,
}

/// Marks a connection or call as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    _receiver: watch::Receiver<()>,
}

impl DrainState {
    /// Returns the current phase.
    pub fn phase(&self) -> DrainPhase {
        *self.phase.borrow()
    }

    /// Counts a connection or call as in flight until the guard is dropped.
    pub fn in_flight(&self) -> InFlightGuard {
        InFlightGuard {
            _receiver: self.in_flight.subscribe(),
        }
    }

    /// Waits until a phase is reached, forever if the process is not shut down.
    pub async fn wait_for_phase(&self, phase: DrainPhase) {
        let mut receiver = self.phase.subscribe();
        let reached = receiver.wait_for(|current| *current >= phase).await;
        drop(reached);
    }
}

/// Shuts a process down gracefully. Returns once nothing is in flight, or after `finish_ms`.
pub async fn stop(context: &process::ProcessContext) {
    let tunables = &context.request_tunables;
    context.drain.phase.send_replace(DrainPhase::Leaving);
    let is_node = context.credentials.identity.is_node;
    let notice_delay = tunables.leave_ms.saturating_sub(tunables.tell_ms);
    if is_node {
        time::sleep(Duration::from_millis(notice_delay)).await;
    }
    let leaving = membership::MembershipEvent::Leave;
    context.engine.tell(event::Event::Membership(leaving));
    if is_node {
        time::sleep(Duration::from_millis(tunables.leave_ms - notice_delay)).await;
    }
    context.drain.phase.send_replace(DrainPhase::Closing);
    let finished = context.drain.in_flight.closed();
    let timeout = Duration::from_millis(tunables.finish_ms);
    if time::timeout(timeout, finished).await.is_err() {
        log::warn!(
            "shutdown timed out after {timeout:?} with connections or calls still in flight"
        );
    }
}
