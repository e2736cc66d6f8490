//! Reducers of a few nodes before targets of seeded service times: decisions under load, measured.
//!
//! Callers, links and targets are arithmetic on one clock, so a run takes no real time and comes
//! out the same again. It says what the decisions do to queues; it knows nothing of sockets,
//! schedulers and processors, which only real processes show.

use std::time::Duration;

use serde_json::Value;

mod run;

pub use run::CallModel;

/// Who chooses a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// The reducer of the ingress node.
    Reducer,
    /// Each ingress node goes round.
    RoundRobin,
    /// Each ingress node takes the target with the fewest own calls for its announced slots.
    LeastRequest,
}

/// A target of the model.
#[derive(Debug, Clone, Copy)]
pub struct ModelTarget {
    /// Service that it is of.
    pub service_name: &'static str,
    /// Requests that it really runs at once.
    pub slots: u32,
    /// Requests that it announces.
    pub announced_slots: u32,
    /// Mean time of a run for each cost unit.
    pub mean_run_time: Duration,
    /// Requests that wait inside of it; more are refused.
    pub queue_capacity: usize,
    /// Whether the connection breaks under every request.
    pub is_broken: bool,
}

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct CallKind {
    /// Their path, by which the catalogue knows them.
    pub path: &'static str,
    /// How many a second callers send.
    pub rate: f64,
    /// What their callers do where there is no good answer.
    pub caller_policy: CallerPolicy,
    /// Calls that each run makes itself; it fails if one of them does.
    pub inner: Option<InnerCalls>,
}

impl CallKind {
    /// Requests that are sent once and call nothing.
    pub fn plain(path: &'static str, rate: f64) -> Self {
        Self {
            path,
            rate,
            caller_policy: CallerPolicy::default(),
            inner: None,
        }
    }
}

/// What callers do where there is no good answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerPolicy {
    /// Times that they come back, when a refusal says or at once after a failure.
    pub retries: u32,
    /// Time after which they give up, over all their sends; they tell what is left of it. Absent: the
    /// route's own limit.
    pub timeout: Option<Duration>,
}

/// Calls that a run makes, all at once.
#[derive(Debug, Clone, Copy)]
pub struct InnerCalls {
    /// Place of their kind.
    pub kind: usize,
    /// How many.
    pub count: u32,
    /// When the run makes them.
    pub timing: CallTiming,
}

/// When a run makes its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallTiming {
    /// When it begins, beside its own work.
    AtStart,
    /// When its own work is done.
    AtEnd,
}

/// What a model is made of.
#[derive(Debug, Clone)]
pub struct ModelSettings {
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Ingress nodes.
    pub ingresses: usize,
    /// Targets, each with a node of its own.
    pub targets: Vec<ModelTarget>,
    /// The catalogue.
    pub entries: Value,
    /// One-way time between nodes.
    pub link: Duration,
    /// Who chooses.
    pub policy: BalancingPolicy,
}

/// What became of the requests of a kind.
#[derive(Debug, Clone, Default)]
pub struct KindStats {
    /// Sent by callers.
    pub sent: u64,
    /// Offered to targets' nodes.
    pub tries: u64,
    /// Handed to ingress nodes, by callers and again by those that came back.
    pub arrivals: u64,
    /// Times from an arrival to its refusal, in microseconds.
    pub refusals: Vec<u64>,
    /// Started at targets.
    pub runs: u64,
    /// Slot time of all runs.
    pub slot_time: Duration,
    /// Slot time of the runs that came to nothing.
    pub wasted_time: Duration,
    /// Runs that came to nothing because a call of theirs did.
    pub wasted: u64,
    /// Answered well and in time.
    pub good: u64,
    /// Times of the good ones from their callers' first sends, in microseconds.
    pub latencies: Vec<u64>,
}

impl KindStats {
    /// How many were answered within a time.
    pub fn count_within(&self, aim: Duration) -> usize {
        let in_time = |latency: &&u64| u128::from(**latency) <= aim.as_micros();
        self.latencies.iter().filter(in_time).count()
    }

    /// The time that this share of the good ones stayed under, in microseconds.
    pub fn latency_quantile(&self, share: f64) -> u64 {
        quantile(&self.latencies, share)
    }

    /// The time that this share of the refused ones was held for at most, in microseconds.
    pub fn refusal_quantile(&self, share: f64) -> u64 {
        quantile(&self.refusals, share)
    }

    /// Share of the slot time that went to runs that came to nothing.
    pub fn wasted_share(&self) -> f64 {
        self.wasted_time.as_secs_f64() / self.slot_time.as_secs_f64().max(f64::EPSILON)
    }
}

fn quantile(times: &[u64], share: f64) -> u64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let place = (sorted.len() as f64 * share) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(place.min(last)).copied().unwrap_or(0)
}
