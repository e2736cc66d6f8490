//! HTTP/2 connections to other nodes: one per node, on which each call is a stream.
//!
//! All calls that wait for a connection share one dial, which continues after they have timed out.
//! A dial to an unreachable machine takes a second to fail. If each call dialled in turn, it would
//! wait for all dials before it until its deadline passed.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hazeltiller_wire::handshake as wire;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{TrySendError, http2},
};
use hyper_util::rt;
use indexmap::IndexMap;
use tokio::{
    sync::{Notify, watch},
    time::{self, Instant},
};

use super::SendError;
use crate::{handshake, http, links};

/// Idle time of a connection with open streams after which an HTTP/2 PING is sent.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(300);
/// Time allowed for the PING to be acknowledged. On a slow link the acknowledgement queues behind
/// other data, and closing the connection fails all its calls. Calls on a dead connection fail, or
/// are retried on another node, after the interval plus this timeout.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time that a call waits for a connection. Nothing has been sent by then, so that the call
/// can go to another node. A dial with its handshake takes three round trips, 6 ms between data
/// centres of a region.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after a failed dial during which calls to the node fail at once. One dial per second and
/// address is enough to detect that a machine is back.
const REDIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Bytes of one response, or of one request body, that may be under way on a connection between two
/// nodes. Whatever is under way on a narrow link delays all heads behind it: six large responses of
/// 2 MB each, the default, take nine seconds at 11 Mbit/s.
pub const STREAM_WINDOW_BYTES: u32 = 32 * 1024;
/// Bytes of all streams that may be under way on a connection between two nodes. Large enough that
/// the callers that do not read their responses do not hold up those of others.
pub const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// Distinguishes a request that the other node did not process from one that may have run.
///
/// A request was not processed if it fails with GOAWAY and `NO_ERROR` or with `REFUSED_STREAM`. A
/// node that shuts a connection down gracefully sends the former for streams above the last one
/// that it accepts. A node at its limit of streams sends the latter.
fn classify_error(error: hyper::Error) -> SendError {
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
    SendError::ConnectionLost { source: error }
}

/// Outcome of sending a request on one connection.
enum SendOutcome {
    Response(Response<Incoming>),
    Unsent(Request<http::StreamBody>),
}

/// Sends requests on one connection.
#[derive(Debug, Clone)]
struct NodeSender {
    requests: http2::SendRequest<http::StreamBody>,
    keepalive: Arc<Notify>,
}

impl NodeSender {
    /// Sends a request. If the response takes longer than the keepalive interval, the connection's
    /// task is polled again, so that it notices the open stream and sends a PING. It may have run
    /// last between the sending of the stream's first frame and the registration of the stream, and
    /// counts as idle in that case: it would then wait on a silent connection without any timer.
    async fn send(
        &mut self,
        request: Request<http::StreamBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<http::StreamBody>>> {
        let sending = self.requests.try_send_request(request);
        let mut sending = std::pin::pin!(sending);
        if let Ok(sent) = time::timeout(KEEPALIVE_INTERVAL, sending.as_mut()).await {
            return sent;
        }
        self.keepalive.notify_one();
        sending.await
    }
}

/// Executor of a connection's tasks. The first task drives the connection and is also polled on
/// each keepalive notification; the others belong to single streams.
#[derive(Debug, Clone, Default)]
struct ConnectionExecutor {
    keepalive: Arc<Notify>,
    has_connection_task: Arc<AtomicBool>,
}

impl<F> hyper::rt::Executor<F> for ConnectionExecutor
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    fn execute(&self, fut: F) {
        if self.has_connection_task.swap(true, Ordering::Relaxed) {
            tokio::spawn(fut);
            return;
        }
        let keepalive = Arc::clone(&self.keepalive);
        tokio::spawn(async move {
            let mut task = std::pin::pin!(fut);
            loop {
                tokio::select! {
                    _output = task.as_mut() => return,
                    () = keepalive.notified() => {}
                }
            }
        });
    }
}

/// Result of a dial; `None` while it is in progress.
type DialResult = Option<Result<NodeSender, String>>;

/// The connection to one node.
#[derive(Debug)]
enum NodeConnection {
    Open(NodeSender),
    Dialling(watch::Receiver<DialResult>),
    Failed { failed_at: Instant, message: String },
}

type ConnectionMap = Arc<Mutex<IndexMap<SocketAddr, NodeConnection>>>;

/// The pool of connections to other nodes.
#[derive(Debug)]
pub struct NodePool {
    credentials: handshake::LinkCredentials,
    /// Time allowed for a PING to be acknowledged.
    keepalive_timeout: Duration,
    connections: ConnectionMap,
}

impl NodePool {
    /// Creates an empty pool.
    pub fn new(credentials: handshake::LinkCredentials) -> Self {
        Self::with_keepalive_timeout(credentials, KEEPALIVE_TIMEOUT)
    }

    /// Creates an empty pool with a different keepalive timeout.
    pub fn with_keepalive_timeout(
        credentials: handshake::LinkCredentials,
        keepalive_timeout: Duration,
    ) -> Self {
        Self {
            credentials,
            keepalive_timeout,
            connections: ConnectionMap::default(),
        }
    }

    /// Sends a request to a node, dialling it if necessary. A request that has no connection by the
    /// deadline has not been sent.
    pub async fn send_before(
        &self,
        to: SocketAddr,
        request: Request<http::StreamBody>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        let not_connected = |elapsed: time::error::Elapsed| SendError::NotConnected {
            message: elapsed.to_string(),
        };
        let connecting = time::timeout_at(deadline, self.sender(to));
        connecting.await.map_err(not_connected)??;
        let sent = time::timeout_at(deadline, self.send(to, request)).await;
        sent.unwrap_or(Err(SendError::TimedOut))
    }

    /// Sends a request to a node, dialling it if necessary.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<http::StreamBody>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.send_once(to, request).await? {
            SendOutcome::Response(response) => Ok(response),
            // The request was not sent, so that it can be retried on a new connection.
            SendOutcome::Unsent(request) => match self.send_once(to, request).await? {
                SendOutcome::Response(response) => Ok(response),
                SendOutcome::Unsent(_) => Err(SendError::NotConnected {
                    message: "connection closed twice before the request was sent".into(),
                }),
            },
        }
    }

    async fn send_once(
        &self,
        to: SocketAddr,
        request: Request<http::StreamBody>,
    ) -> Result<SendOutcome, SendError> {
        let mut sender = self.sender(to).await?;
        match sender.send(request).await {
            Ok(response) => Ok(SendOutcome::Response(response)),
            Err(mut error) => match error.take_message() {
                Some(request) => Ok(SendOutcome::Unsent(request)),
                None => Err(classify_error(error.into_error())),
            },
        }
    }

    async fn sender(&self, to: SocketAddr) -> Result<NodeSender, SendError> {
        let not_connected = |message: String| SendError::NotConnected { message };
        let mut dial = {
            let mut connections = self
                .connections
                .lock()
                .expect("no holder of the lock panics");
            match connections.get(&to) {
                Some(NodeConnection::Open(sender)) if !sender.requests.is_closed() => {
                    return Ok(sender.clone());
                }
                Some(NodeConnection::Failed { failed_at, message })
                    if failed_at.elapsed() < REDIAL_BACKOFF =>
                {
                    return Err(not_connected(message.clone()));
                }
                Some(NodeConnection::Dialling(dial)) => dial.clone(),
                _ => {
                    let dial = self.dial(to);
                    connections.insert(to, NodeConnection::Dialling(dial.clone()));
                    dial
                }
            }
        };
        let dial_result = time::timeout(DIAL_TIMEOUT, dial.wait_for(Option::is_some)).await;
        match dial_result {
            Ok(Ok(result)) => match &*result {
                Some(Ok(sender)) => Ok(sender.clone()),
                Some(Err(message)) => Err(not_connected(message.clone())),
                None => Err(not_connected("dial was abandoned".into())),
            },
            Ok(Err(closed)) => Err(not_connected(closed.to_string())),
            Err(elapsed) => Err(not_connected(elapsed.to_string())),
        }
    }

    /// Starts to dial in the background. Once open, the connection is available to all calls.
    fn dial(&self, to: SocketAddr) -> watch::Receiver<DialResult> {
        let (result_sender, dial) = watch::channel(None);
        let (credentials, keepalive_timeout) = (self.credentials.clone(), self.keepalive_timeout);
        let connections = Arc::clone(&self.connections);
        tokio::spawn(async move {
            let result = open(&credentials, to, keepalive_timeout).await;
            let connection_entry = match &result {
                Ok(sender) => NodeConnection::Open(sender.clone()),
                Err(message) => NodeConnection::Failed {
                    failed_at: Instant::now(),
                    message: message.clone(),
                },
            };
            let mut connections = connections.lock().expect("no holder of the lock panics");
            connections.insert(to, connection_entry);
            drop(connections);
            result_sender.send_replace(Some(result));
        });
        dial
    }
}

async fn open(
    credentials: &handshake::LinkCredentials,
    to: SocketAddr,
    keepalive_timeout: Duration,
) -> Result<NodeSender, String> {
    let stream = links::connect(credentials, to, wire::LinkPurpose::Calls).await;
    let stream = stream.map_err(|error| error.to_string())?;
    let executor = ConnectionExecutor::default();
    let keepalive = Arc::clone(&executor.keepalive);
    let mut builder = http2::Builder::new(executor);
    builder
        .timer(rt::TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(keepalive_timeout);
    let opened = builder.handshake(rt::TokioIo::new(stream)).await;
    let (requests, connection) = opened.map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("calls connection to node {to} ended with an error: {error}");
        }
    });
    Ok(NodeSender {
        requests,
        keepalive,
    })
}
