//! HTTP/1.1 connections to this node's targets; each carries one request at a time.

mod sender;

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use hazeltiller_units::ids;
use hyper::{Request, Response, body::Incoming};
use indexmap::IndexMap;
use tokio::{io::AsyncReadExt, net::TcpStream, time};

use super::SendError;
use crate::http;

pub use sender::TargetSender;

/// Maximum time to connect to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a crashing target closes a connection that its listener still accepted.
const CRASH_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Requests that may have been declined on a connection that is used again.
const MAX_DECLINED: usize = 16;

/// A connection to a target.
#[derive(Debug)]
pub struct TargetConnection {
    sender: TargetSender,
    /// Requests that the target declined on this connection. A late copy of such a response would
    /// pass for the response to the same request if that were sent here once more.
    declined: Vec<ids::RequestId>,
}

impl TargetConnection {
    /// Records that the target declined a request on this connection.
    pub fn record_declined(&mut self, request: ids::RequestId) {
        self.declined.push(request);
    }

    fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && self.declined.len() <= MAX_DECLINED
    }
}

/// The pool of idle connections to this node's targets.
#[derive(Debug, Default)]
pub struct TargetPool {
    idle: Mutex<IndexMap<SocketAddr, Vec<TargetConnection>>>,
}

impl TargetPool {
    /// Sends the request with the given id to a target, on a connection on which the target has not
    /// declined it before. Returns the connection with the response, to be returned to the pool once
    /// the response body has ended.
    pub async fn send(
        &self,
        to: SocketAddr,
        id: &ids::RequestId,
        mut request: Request<http::StreamBody>,
    ) -> Result<(Response<Incoming>, TargetConnection), SendError> {
        while let Some(mut connection) = self.take_idle(to, id) {
            match connection.sender.send(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    // The idle connection had been closed, and nothing was sent on it.
                    Some(unsent) => request = unsent,
                    None => {
                        return Err(SendError::ConnectionLost {
                            source: error.into_error(),
                        });
                    }
                },
            }
        }
        let mut connection = connect_target(to).await?;
        match connection.sender.send(request).await {
            Ok(response) => Ok((response, connection)),
            Err(error) => Err(SendError::ConnectionLost {
                source: error.into_error(),
            }),
        }
    }

    /// Returns a connection to the pool unless it cannot be used again.
    pub fn put_idle(&self, to: SocketAddr, connection: TargetConnection) {
        if connection.is_reusable() {
            let mut idle = self.idle.lock().expect("no holder of the lock panics");
            idle.entry(to).or_default().push(connection);
        }
    }

    /// Takes the connection used last on which the target has not declined the request.
    fn take_idle(&self, to: SocketAddr, id: &ids::RequestId) -> Option<TargetConnection> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let connections = idle.get_mut(&to)?;
        for index in (0..connections.len()).rev() {
            if !connections[index].sender.is_ready() {
                connections.remove(index);
            } else if !connections[index].declined.contains(id) {
                return Some(connections.remove(index));
            }
        }
        None
    }
}

/// Returns whether a target accepts a connection and does not close it. The listener of a crashing
/// target may still accept connections for a moment; one that sends bytes unasked is listening.
pub async fn is_listening(address: SocketAddr) -> bool {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(mut stream)) = connecting.await else {
        return false;
    };
    let mut unasked = [0];
    let read = time::timeout(CRASH_CLOSE_TIMEOUT, stream.read(&mut unasked)).await;
    matches!(read, Err(_) | Ok(Ok(1..)))
}

async fn connect_target(to: SocketAddr) -> Result<TargetConnection, SendError> {
    let not_connected = |message: String| SendError::NotConnected { message };
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to))
        .await
        .map_err(|elapsed| not_connected(elapsed.to_string()))?
        .map_err(|error| not_connected(error.to_string()))?;
    drop(stream.set_nodelay(true));
    let sender = TargetSender::open(to, stream).await;
    let sender = sender.map_err(|error| not_connected(error.to_string()))?;
    let declined = Vec::new();
    Ok(TargetConnection { sender, declined })
}
