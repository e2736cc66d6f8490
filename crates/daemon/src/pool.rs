//! Kept connections: HTTP/2 to other nodes, HTTP/1.1 to own targets.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{http1, http2},
};
use hyper_util::rt;
use indexmap::IndexMap;
use snafu::Snafu;
use tokio::{io::AsyncReadExt, net::TcpStream, time};

use crate::{handshake, http, links};
use hazeltiller_wire::handshake as wire;

/// Longest time to connect to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Silence of a connection with calls on it after which the other node is asked for a sign of life.
const CALLS_SILENCE: Duration = Duration::from_millis(300);
/// Time in which that sign must come. It waits behind what else the link carries: on links of 2 Mbit/s
/// under overload for 0.7 s and more, and a link given up then takes all calls on it along. Calls on a
/// connection that went silent are given up, or tried elsewhere, after both times.
const CALLS_SIGN: Duration = Duration::from_millis(1500);

/// Time in which the last connections to a dying target close.
const DEATH_TIME: Duration = Duration::from_millis(200);

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
    Broken {
        /// Why.
        source: hyper::Error,
    },
}

/// Tells a request that the other node says it did not look at from one that may have run.
///
/// A node that closes a connection politely names the last stream that it takes; a stream that was
/// on its way then fails with that notice, and one that a node has no room for with a refusal.
fn broken(error: hyper::Error) -> SendError {
    let mut cause = std::error::Error::source(&error);
    while let Some(inner) = cause {
        if let Some(inner) = inner.downcast_ref::<h2::Error>() {
            let is_closing = inner.is_go_away() && inner.reason() == Some(h2::Reason::NO_ERROR);
            let is_refused = inner.is_reset() && inner.reason() == Some(h2::Reason::REFUSED_STREAM);
            if inner.is_remote() && (is_closing || is_refused) {
                let message = inner.to_string();
                return SendError::NotConnected { message };
            }
        }
        cause = inner.source();
    }
    SendError::Broken { source: error }
}

/// What became of a request on one connection.
enum Sent {
    Answered(Response<Incoming>),
    Returned(Request<http::StreamBody>),
}

type NodeSender = http2::SendRequest<http::StreamBody>;
type TargetSender = http1::SendRequest<http::StreamBody>;

/// Connections to other nodes, one each; calls share it as streams.
#[derive(Debug)]
pub struct NodePool {
    credentials: handshake::LinkCredentials,
    /// Time in which a silent node must give a sign of life.
    sign_time: Duration,
    senders: Mutex<IndexMap<SocketAddr, Arc<tokio::sync::Mutex<Option<NodeSender>>>>>,
}

impl NodePool {
    /// A pool without connections.
    pub fn new(credentials: handshake::LinkCredentials) -> Self {
        Self::with_sign(credentials, CALLS_SIGN)
    }

    /// The same where a silent node is given another time for its sign of life.
    pub fn with_sign(credentials: handshake::LinkCredentials, sign_time: Duration) -> Self {
        Self {
            credentials,
            sign_time,
            senders: Mutex::default(),
        }
    }

    /// Sends a request to a node.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<http::StreamBody>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.send_once(to, request).await? {
            Sent::Answered(response) => Ok(response),
            // A request that comes back never went out, so it may go on a fresh connection.
            Sent::Returned(request) => match self.send_once(to, request).await? {
                Sent::Answered(response) => Ok(response),
                Sent::Returned(_) => Err(SendError::NotConnected {
                    message: "the connection closed twice before the request went out".into(),
                }),
            },
        }
    }

    async fn send_once(
        &self,
        to: SocketAddr,
        request: Request<http::StreamBody>,
    ) -> Result<Sent, SendError> {
        let mut sender = self.sender(to).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(Sent::Answered(response)),
            Err(mut error) => match error.take_message() {
                Some(request) => Ok(Sent::Returned(request)),
                None => Err(broken(error.into_error())),
            },
        }
    }

    async fn sender(&self, to: SocketAddr) -> Result<NodeSender, SendError> {
        let place = {
            let mut senders = self.senders.lock().expect("no holder of the lock panics");
            Arc::clone(senders.entry(to).or_default())
        };
        let mut held = place.lock().await;
        if let Some(sender) = held.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        let not_connected = |message: String| SendError::NotConnected { message };
        let stream = links::connect(&self.credentials, to, wire::LinkPurpose::Calls)
            .await
            .map_err(|error| not_connected(error.to_string()))?;
        let mut builder = http2::Builder::new(rt::TokioExecutor::new());
        builder
            .timer(rt::TokioTimer::new())
            .keep_alive_interval(CALLS_SILENCE)
            .keep_alive_timeout(self.sign_time);
        let (sender, connection) = builder
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|error| not_connected(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("calls link to {to} ended: {error}");
            }
        });
        *held = Some(sender.clone());
        Ok(sender)
    }
}

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
                        return Err(SendError::Broken {
                            source: error.into_error(),
                        });
                    }
                },
            }
        }
        let mut sender = connect_target(to).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, sender)),
            Err(error) => Err(SendError::Broken {
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
