//! Signals of targets as nodes report them to each other, and the header that carries them.
//!
//! The owner node of a target adds its report to a response while there is something to report. An
//! ingress node that has received a report adds it to its offers to the target, so that an owner
//! node that has restarted learns from the first offer what its target said before. The header is
//! separate from those of offers and responses, and absent if there is nothing to report.

use hazeltiller_units::{ids, measure};
use serde::{Deserialize, Serialize};

/// Header with the [`SignalReport`] on a target, on offers to it and on its responses.
pub const SIGNALS_HEADER: &str = "hz-s";

/// What one incarnation of a target signals, as observed by one process of its owner node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct SignalReport {
    /// Incarnation of the target.
    pub incarnation: ids::IncarnationNumber,
    /// Incarnation of the owner node's process that made the report.
    pub observer: ids::IncarnationNumber,
    /// Number of the report; grows with each report of the same observer.
    pub sequence: u64,
    /// Requests per second that the target takes from all nodes together, if it names a limit.
    pub rate_limit: Option<measure::RequestRate>,
    /// Whether the target said that it leaves.
    pub is_leaving: bool,
}

impl SignalReport {
    /// Returns whether the target signals anything.
    pub fn is_signalling(&self) -> bool {
        self.rate_limit.is_some() || self.is_leaving
    }
}
