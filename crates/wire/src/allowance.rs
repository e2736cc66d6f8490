//! Messages by which nodes share the allowances of organisations.

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

/// Message about the allowance of one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowanceMessage {
    /// A node asks the organisation's home node for requests that it may let pass.
    Ask {
        /// The organisation.
        organisation: ids::EntryName,
        /// Requests that the node expects in the next moments.
        requests: u32,
    },
    /// The home node's answer.
    Grant {
        /// The organisation.
        organisation: ids::EntryName,
        /// What the node may do.
        grant: AllowanceGrant,
    },
}

/// Answer to a node that asked for a part of an allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowanceGrant {
    /// The node may let this many requests pass.
    Granted {
        /// Number of requests, at least one and at most as many as asked for.
        requests: u32,
    },
    /// The organisation is over its allowance.
    Exhausted {
        /// Time until another request would fit, in milliseconds.
        retry_after_ms: u32,
    },
    /// The asked node is not the home or has only just started.
    NotHome,
}
