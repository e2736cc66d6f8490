//! Discrete-event simulation of load: the reducers of some nodes, with simulated callers, links and
//! targets.
//!
//! All events are on one virtual clock and random times are seeded, so a run takes little real time
//! and is reproducible. It shows how the reducers' decisions affect queues. It does not model
//! sockets or schedulers, whose effects only show in tests with processes.

use std::time::Duration;

use hazeltiller_engine::signals;
use hazeltiller_units::time;
use serde_json::Value;

mod run;

pub use run::CallModel;

/// How the target of a call is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// By the reducer of the ingress node.
    Reducer,
    /// Round robin at each ingress node.
    RoundRobin,
    /// The target with the fewest calls of the ingress node itself in flight, relative to its
    /// announced slots.
    LeastRequest,
}

/// Target of the simulation.
#[derive(Debug, Clone, Copy)]
pub struct ModelTarget {
    /// Service of the target.
    pub service_name: &'static str,
    /// Number of requests that it can run at a time.
    pub slots: u32,
    /// Number of slots that it announces.
    pub announced_slots: u32,
    /// Mean duration of a run per unit of cost; durations are exponentially distributed.
    pub mean_run_time: Duration,
    /// Capacity of its internal queue, beyond which it refuses requests.
    pub queue_capacity: usize,
    /// Whether the connection breaks during every request.
    pub is_broken: bool,
}

/// One kind of requests.
#[derive(Debug, Clone, Copy)]
pub struct CallKind {
    /// Path of the requests, which selects their route.
    pub path: &'static str,
    /// Rate at which callers send them, per second.
    pub rate: f64,
    /// What their callers do after a failure or refusal.
    pub caller_policy: CallerPolicy,
    /// Calls that each run makes itself; the run fails if one of them fails.
    pub inner: Option<NestedCalls>,
}

impl CallKind {
    /// Creates requests that are sent once and whose runs make no calls.
    pub fn plain(path: &'static str, rate: f64) -> Self {
        Self {
            path,
            rate,
            caller_policy: CallerPolicy::default(),
            inner: None,
        }
    }
}

/// What callers do after a failure or refusal.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerPolicy {
    /// Maximum number of retries. A caller retries after the time that a refusal names, but waits
    /// for at most a third of its remaining time, and 10 ms after a failure.
    pub retries: u32,
    /// Time-out over all attempts of the caller, which sends the remaining time as the deadline.
    /// `None` applies the deadline of the route and disables retries.
    pub timeout: Option<Duration>,
    /// Share of the callers that retry after 10 ms whatever the time that a refusal names.
    pub impatient_share: f64,
}

/// Concurrent calls that a run makes.
#[derive(Debug, Clone, Copy)]
pub struct NestedCalls {
    /// Index of their kind.
    pub kind: usize,
    /// Number of calls.
    pub count: u32,
    /// Time at which the run makes them.
    pub timing: CallTiming,
}

/// Time at which a run makes its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallTiming {
    /// At its start, concurrently with its own work.
    AtStart,
    /// After its own work.
    AtEnd,
}

/// Fault or change at a target or its owner node, scheduled with [`CallModel::schedule_fault`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TargetFault {
    /// From now on the responses of the target have these signals.
    Signals(signals::ResponseSignals),
    /// The process of the owner node is killed and starts anew at once; its calls are lost.
    OwnerRestarted,
    /// The process of the owner node is paused for a time. Offers and responses wait.
    OwnerPaused(Duration),
    /// The owner node is cut off from all ingress nodes for a time.
    OwnerCut(Duration),
}

/// A request that reached a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetArrival {
    /// Time of the arrival.
    pub at: time::MonotonicTime,
    /// Index of the target.
    pub target: usize,
    /// Index of the ingress node at which the request began.
    pub ingress: usize,
}

/// A response with signals that an ingress node passed on to a caller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SignalledResponse {
    /// Time at which the ingress node received it.
    pub at: time::MonotonicTime,
    /// Index of the target.
    pub target: usize,
    /// Index of the ingress node.
    pub ingress: usize,
    /// The signals.
    pub signals: signals::ResponseSignals,
}

/// Settings of a simulation.
#[derive(Debug, Clone)]
pub struct ModelSettings {
    /// Seed of arrivals and run times.
    pub seed: u64,
    /// Number of ingress nodes.
    pub ingresses: usize,
    /// Targets, each with its own owner node.
    pub targets: Vec<ModelTarget>,
    /// Entries of the catalogue.
    pub entries: Value,
    /// One-way latency between nodes.
    pub link: Duration,
    /// How targets are chosen.
    pub policy: BalancingPolicy,
}

/// Statistics of one kind of requests.
#[derive(Debug, Clone, Default)]
pub struct KindStats {
    /// Requests sent by callers, without retries.
    pub sent: u64,
    /// Attempts, each an offer sent to an owner node.
    pub attempts: u64,
    /// Requests that arrived at ingress nodes, including retries of callers.
    pub arrivals: u64,
    /// Times from arrival to refusal, in microseconds.
    pub refusals: Vec<u64>,
    /// Requests that were refused again when their callers returned.
    pub refused_again: u64,
    /// Requests whose callers were told to return within the time that they wait, and did.
    pub invited: u64,
    /// Of these, requests that were refused when their callers returned.
    pub invited_refused: u64,
    /// Runs started at targets.
    pub runs: u64,
    /// Total time that runs occupied slots.
    pub slot_time: Duration,
    /// Time that runs occupied slots and then failed because one of their own calls failed.
    pub wasted_time: Duration,
    /// Runs that failed because one of their own calls failed.
    pub wasted: u64,
    /// Requests answered successfully before their deadline.
    pub good: u64,
    /// Latencies of these from the caller's first attempt, in microseconds.
    pub latencies: Vec<u64>,
}

impl KindStats {
    /// Returns the number of requests answered successfully within a latency.
    pub fn count_within(&self, limit: Duration) -> usize {
        let in_time = |latency: &&u64| u128::from(**latency) <= limit.as_micros();
        self.latencies.iter().filter(in_time).count()
    }

    /// Returns a quantile of the latencies, in microseconds.
    pub fn latency_quantile(&self, share: f64) -> u64 {
        quantile(&self.latencies, share)
    }

    /// Returns a quantile of the times to refusal, in microseconds.
    pub fn refusal_quantile(&self, share: f64) -> u64 {
        quantile(&self.refusals, share)
    }

    /// Returns the share of slot time that was spent on wasted runs.
    pub fn wasted_share(&self) -> f64 {
        self.wasted_time.as_secs_f64() / self.slot_time.as_secs_f64().max(f64::EPSILON)
    }
}

fn quantile(times: &[u64], share: f64) -> u64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * share) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or(0)
}
