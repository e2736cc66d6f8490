//! Reports of requests that were in flight when a target crashed.

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

use crate::ledger;

/// A crash of a target attributed to one of the requests that were in flight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub request: ledger::RequestDigest,
    /// The target that crashed.
    pub target: ids::TargetName,
}

/// Message from the owner node of a crashed target to all other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineMessage {
    /// Crashes that have not been reported yet.
    pub crashes: Vec<CrashRecord>,
}
