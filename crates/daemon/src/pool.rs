//! Connection pools: HTTP/2 to other nodes, HTTP/1.1 to this node's targets.

use snafu::Snafu;

mod nodes;
mod targets;

pub use nodes::{CONNECTION_WINDOW_BYTES, NodePool, STREAM_WINDOW_BYTES};
pub use targets::{TargetConnection, TargetPool, TargetSender, is_listening};

/// Why a request got no response.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The request was not processed: no connection could be made, or the peer reported that it did
    /// not process the request.
    #[snafu(display("not connected: {message}"))]
    NotConnected {
        /// The cause.
        message: String,
    },
    /// The connection was lost after the request may have been sent.
    #[snafu(display("connection lost: {source}"))]
    ConnectionLost {
        /// The cause.
        source: hyper::Error,
    },
    /// The deadline passed after the request may have been sent.
    #[snafu(display("no response before the deadline"))]
    TimedOut,
}
