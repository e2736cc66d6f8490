//! What nodes tell the control group of runs while a roll-out goes on.
//!
//! Counts grow from the beginning of the roll-out, so that a lost or repeated message does no harm
//! and a new leader has the whole evidence with the next one.

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

/// Classes of run times that are told apart; each begins at the square root of two times the
/// beginning of the one before.
pub const LATENCY_BUCKETS: usize = 20;
/// Time that the second class begins at, in milliseconds.
const SECOND_CLASS_MS: f64 = 4.0;
/// Classes over which times double.
pub const BUCKETS_PER_DOUBLING: usize = 2;

/// The class of a run's time.
pub fn latency_bucket(took: std::time::Duration) -> usize {
    let ratio = took.as_secs_f64() * 1e3 / SECOND_CLASS_MS;
    let above = ratio.log2() * BUCKETS_PER_DOUBLING as f64;
    // The cast takes what is below the second class, also a time of zero, for zero.
    ((above.floor() + 1.0) as usize).min(LATENCY_BUCKETS - 1)
}

/// Runs of one route at one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// The route.
    pub route: ids::EntryName,
    /// Runs that ended with an answer of the target.
    pub answered: u32,
    /// Those of them that failed.
    pub failed: u32,
    /// Answered runs by class of their time.
    pub times: Vec<u32>,
    /// Runs that were given up unanswered, by class of the time that they had had; empty where
    /// there are none.
    pub given_up: Vec<u32>,
}

impl RouteTally {
    /// A tally of no runs.
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

/// Runs of one target since its node learnt of the roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetTally {
    /// Service of the target.
    pub service: ids::EntryName,
    /// Order of the roll-out.
    pub order: ids::CatalogueVersion,
    /// The target.
    pub target: ids::TargetName,
    /// Version of its software.
    pub version: Option<ids::SoftwareVersion>,
    /// Life of its node, and the number of the message within it.
    pub stamp: (ids::IncarnationNumber, u64),
    /// Calls that run or wait at it now.
    pub in_flight: u32,
    /// Whether its node holds it unhealthy, so that calls are kept away from it.
    pub is_failing: bool,
    /// By route.
    pub routes: Vec<RouteTally>,
}

/// A message about roll-outs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutMessage {
    /// Tallies of the sender's targets, or of those of a node that it passes them on for.
    pub tallies: Vec<TargetTally>,
    /// Whether a control passed them on to the leader.
    pub is_passed_on: bool,
}
