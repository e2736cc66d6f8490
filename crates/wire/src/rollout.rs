//! Results of runs that nodes report to the control group during a rollout.
//!
//! Counts are cumulative since the start of the rollout, so that lost or repeated messages do no
//! harm and a new leader has the complete counts after the next message.

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

/// Number of buckets of the histogram of run durations. The lower bound of each bucket is that of
/// the previous one times the square root of two.
pub const LATENCY_BUCKETS: usize = 20;
/// Lower bound of the second bucket, in milliseconds. The first bucket starts at zero.
const SECOND_BUCKET_START_MS: f64 = 4.0;
/// Number of buckets over which the bound doubles.
pub const BUCKETS_PER_DOUBLING: usize = 2;

/// Returns the index of the bucket for a run duration.
pub fn latency_bucket(duration: std::time::Duration) -> usize {
    let ratio = duration.as_secs_f64() * 1e3 / SECOND_BUCKET_START_MS;
    let buckets_above = ratio.log2() * BUCKETS_PER_DOUBLING as f64;
    // The cast saturates at zero for durations below the second bucket, including zero.
    ((buckets_above.floor() + 1.0) as usize).min(LATENCY_BUCKETS - 1)
}

/// Results of the runs of one route at one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// The route.
    pub route: ids::EntryName,
    /// Runs that ended with a response of the target.
    pub answered: u32,
    /// Answered runs whose response counts as a failure.
    pub failed: u32,
    /// Histogram of the durations of answered runs, by [`latency_bucket`].
    pub times: Vec<u32>,
    /// Histogram of the durations of runs that were abandoned without a response; empty if there
    /// are none.
    pub given_up: Vec<u32>,
}

impl RouteTally {
    /// Creates a tally without runs.
    pub fn new(route: ids::EntryName) -> Self {
        Self {
            route,
            answered: 0,
            failed: 0,
            times: vec![0; LATENCY_BUCKETS],
            given_up: Vec::new(),
        }
    }
}

/// Results of the runs of one target since its owner node learnt of the rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetTally {
    /// Service of the target.
    pub service: ids::EntryName,
    /// Catalogue version that the rollout order created, which identifies the rollout.
    pub order: ids::CatalogueVersion,
    /// The target.
    pub target: ids::TargetName,
    /// Version of the target's software, if known.
    pub version: Option<ids::SoftwareVersion>,
    /// Incarnation of the owner node, and the number of the message within the incarnation. A tally
    /// with a larger stamp replaces one with a smaller.
    pub stamp: (ids::IncarnationNumber, u64),
    /// Calls currently running or waiting at the target.
    pub in_flight: u32,
    /// Whether the owner node considers the target unhealthy, so that calls are routed elsewhere.
    pub is_failing: bool,
    /// Results by route.
    pub routes: Vec<RouteTally>,
}

/// A message about rollouts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutMessage {
    /// Tallies of the sender's targets, or of the targets of a node whose message is forwarded.
    pub tallies: Vec<TargetTally>,
    /// Whether a control has forwarded the message to the leader. It is not forwarded again.
    pub is_passed_on: bool,
}
