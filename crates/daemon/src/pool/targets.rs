//! HTTP/1.1 connections to this node's targets; each carries one request at a time.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt;
use indexmap::IndexMap;
use tokio::{io::AsyncReadExt, net::TcpStream, time};

use super::SendError;
use crate::http;

/// Maximum time to connect to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a crashing target closes a connection that its listener still accepted.
const CRASH_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

type TargetSender = http1::SendRequest<http::StreamBody>;

/// The pool of idle connections to this node's targets.
#[derive(Debug, Default)]
pub struct TargetPool {
    idle: Mutex<IndexMap<SocketAddr, Vec<TargetSender>>>,
}

impl TargetPool {
    /// Sends a request to a target. Returns the connection with the response, to be returned to the
    /// pool once the response body has ended.
    pub async fn send(
        &self,
        to: SocketAddr,
        mut request: Request<http::StreamBody>,
    ) -> Result<(Response<Incoming>, TargetSender), SendError> {
        while let Some(mut sender) = self.take_idle(to) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, sender)),
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
        let mut sender = connect_target(to).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, sender)),
            Err(error) => Err(SendError::ConnectionLost {
                source: error.into_error(),
            }),
        }
    }

    /// Returns a connection to the pool unless it is closed.
    pub fn put_idle(&self, to: SocketAddr, sender: TargetSender) {
        if !sender.is_closed() {
            let mut idle = self.idle.lock().expect("no holder of the lock panics");
            idle.entry(to).or_default().push(sender);
        }
    }

    fn take_idle(&self, to: SocketAddr) -> Option<TargetSender> {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let senders = idle.get_mut(&to)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

/// Returns whether a target accepts a connection and keeps it open. The listener of a crashing
/// target may still accept connections for a moment.
pub async fn is_listening(address: SocketAddr) -> bool {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(mut stream)) = connecting.await else {
        return false;
    };
    let closed = time::timeout(CRASH_CLOSE_TIMEOUT, stream.read_u8()).await;
    closed.is_err()
}

async fn connect_target(to: SocketAddr) -> Result<TargetSender, SendError> {
    let not_connected = |message: String| SendError::NotConnected { message };
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to))
        .await
        .map_err(|elapsed| not_connected(elapsed.to_string()))?
        .map_err(|error| not_connected(error.to_string()))?;
    drop(stream.set_nodelay(true));
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
        .await
        .map_err(|error| not_connected(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to target {to} ended with an error: {error}");
        }
    });
    Ok(sender)
}
