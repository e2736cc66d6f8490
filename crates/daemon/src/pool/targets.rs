//! Connections to own targets; each carries one request at a time.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt;
use indexmap::IndexMap;
use tokio::{io::AsyncReadExt, net::TcpStream, time};

use super::SendError;
use crate::http;

/// Longest time to connect to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which the last connections to a dying target close.
const DEATH_TIME: Duration = Duration::from_millis(200);

type TargetSender = http1::SendRequest<http::StreamBody>;

/// Connections to own targets; each carries one request at a time.
#[derive(Debug, Default)]
pub struct TargetPool {
    idle: Mutex<IndexMap<SocketAddr, Vec<TargetSender>>>,
}

impl TargetPool {
    /// Sends a request to a target; returns the connection too, to be kept once the answer ended.
    pub async fn send(
        &self,
        to: SocketAddr,
        mut request: Request<http::StreamBody>,
    ) -> Result<(Response<Incoming>, TargetSender), SendError> {
        while let Some(mut sender) = self.take_idle(to) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, sender)),
                Err(mut error) => match error.take_message() {
                    // The kept connection was closed meanwhile, and nothing went out on it.
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

    /// Keeps a connection whose answer ended.
    pub fn keep(&self, to: SocketAddr, sender: TargetSender) {
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

/// Whether a target takes connections now and keeps them: one that dies may still have a listener
/// for a moment.
pub async fn is_listening(address: SocketAddr) -> bool {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(mut stream)) = connecting.await else {
        return false;
    };
    let closed = time::timeout(DEATH_TIME, stream.read_u8()).await;
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
            log::debug!("connection to target {to} ended: {error}");
        }
    });
    Ok(sender)
}
