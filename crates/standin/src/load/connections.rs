//! Pool of persistent connections to nodes, each of which carries one request at a time.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt;
use indexmap::IndexMap;
use snafu::Snafu;
use tokio::{net::TcpStream, time};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A pooled connection.
pub type NodeSender = http1::SendRequest<Full<Bytes>>;

/// Why no response was received.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The connection could not be established, so nothing was sent.
    #[snafu(display("not connected: {message}"))]
    NotConnected {
        /// The cause.
        message: String,
    },
    /// The connection broke.
    #[snafu(display("broken: {source}"))]
    Broken {
        /// The cause.
        source: hyper::Error,
    },
}

/// Idle connections by node.
#[derive(Debug, Default)]
pub struct NodeConnections {
    idle: Mutex<IndexMap<SocketAddr, Vec<NodeSender>>>,
}

impl NodeConnections {
    /// Sends a request. Returns the response and the connection, which the caller passes to
    /// [`Self::keep`] after it has read the whole response.
    pub async fn send(
        &self,
        to: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, NodeSender), SendError> {
        while let Some(mut sender) = self.take_idle(to) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, sender)),
                Err(mut error) => match error.take_message() {
                    // The node had closed the idle connection, and nothing was sent on it.
                    Some(unsent) => request = unsent,
                    None => {
                        let source = error.into_error();
                        return Err(SendError::Broken { source });
                    }
                },
            }
        }
        let mut sender = connect(to).await?;
        match sender.send_request(request).await {
            Ok(response) => Ok((response, sender)),
            Err(source) => Err(SendError::Broken { source }),
        }
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub fn keep(&self, to: SocketAddr, sender: NodeSender) {
        if !sender.is_closed() {
            self.lock().entry(to).or_default().push(sender);
        }
    }

    fn take_idle(&self, to: SocketAddr) -> Option<NodeSender> {
        let mut idle = self.lock();
        let senders = idle.get_mut(&to)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Vec<NodeSender>>> {
        self.idle.lock().expect("no holder of the lock panics")
    }
}

async fn connect(to: SocketAddr) -> Result<NodeSender, SendError> {
    let not_connected = |message: String| SendError::NotConnected { message };
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to))
        .await
        .map_err(|elapsed| not_connected(elapsed.to_string()))?
        .map_err(|error| not_connected(error.to_string()))?;
    drop(stream.set_nodelay(true));
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
        .await
        .map_err(|error| not_connected(error.to_string()))?;
    tokio::spawn(connection);
    Ok(sender)
}
