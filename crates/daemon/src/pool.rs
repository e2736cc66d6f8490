//! Kept connections: HTTP/2 to other nodes, HTTP/1.1 to own targets.

use snafu::Snafu;

mod nodes;
mod targets;

pub use nodes::NodePool;
pub use targets::{TargetPool, is_listening};

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection could be made: nothing was sent.
    #[snafu(display("not connected: {message}"))]
    NotConnected {
        /// Why.
        message: String,
    },
    /// The connection broke after something may have been sent.
    #[snafu(display("broken off: {source}"))]
    ConnectionLost {
        /// Why.
        source: hyper::Error,
    },
}
