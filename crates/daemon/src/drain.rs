//! The graceful stop of a process, step by step.
//!
//! A stopping node first goes on serving, since callers need a moment to turn away. Its peers turn away
//! sooner, so it may tell them later: until then its target, which no other node reaches, does not stand
//! idle. Only then it stops accepting, and it ends when nothing is in flight.

use std::time::Duration;

use hazeltiller_engine::{event, membership};
use tokio::{sync::watch, time};

use crate::process;

/// How far a stop has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// No stop was asked for.
    #[default]
    Serving,
    /// Peers are being told; answers ask their callers to close the connection.
    Leaving,
    /// Nothing is accepted any more; connections close once they are idle.
    Closing,
}

/// The phase, and a count of what is in flight.
#[derive(Debug, Clone, Default)]
pub struct DrainState {
    phase: watch::Sender<DrainPhase>,
    /// Each connection and detached call holds a receiver; none is left when all have ended.
    in_flight: watch::Sender<()>,
}

/// Held as long as something is in flight.
#[derive(Debug)]
pub struct FlightGuard {
    _receiver: watch::Receiver<()>,
}

impl DrainState {
    /// The phase now.
    pub fn phase(&self) -> DrainPhase {
        *self.phase.borrow()
    }

    /// Counts something as in flight until the guard is dropped.
    pub fn in_flight(&self) -> FlightGuard {
        FlightGuard {
            _receiver: self.in_flight.subscribe(),
        }
    }

    /// Returns once a phase is reached; never when the process does not stop.
    pub async fn wait_for_phase(&self, phase: DrainPhase) {
        let mut receiver = self.phase.subscribe();
        let waited = receiver.wait_for(|now| *now >= phase).await;
        drop(waited);
    }
}

/// Stops a process gracefully: returns once nothing is in flight or the longest time is over.
pub async fn stop(context: &process::ProcessContext) {
    let tunables = &context.request_tunables;
    context.drain.phase.send_replace(DrainPhase::Leaving);
    let is_node = context.credentials.identity.is_node;
    let before = tunables.leave_ms.saturating_sub(tunables.tell_ms);
    if is_node {
        time::sleep(Duration::from_millis(before)).await;
    }
    let leaving = membership::MembershipEvent::Leave;
    context.engine.tell(event::Event::Membership(leaving));
    if is_node {
        time::sleep(Duration::from_millis(tunables.leave_ms - before)).await;
    }
    context.drain.phase.send_replace(DrainPhase::Closing);
    let finished = context.drain.in_flight.closed();
    let longest = Duration::from_millis(tunables.finish_ms);
    if time::timeout(longest, finished).await.is_err() {
        log::warn!("stopped with requests in flight after {longest:?}");
    }
}
