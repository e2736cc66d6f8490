//! Connections to other nodes, one each; calls share it as streams.
//!
//! A dial serves every call that waits for the connection, and goes on when they have given up: where a
//! machine is cut off, a dial ends only after a second, and calls that each made their own in turn waited
//! for all those before them until their deadlines passed.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use hazeltiller_wire::handshake as wire;
use hyper::{Request, Response, body::Incoming, client::conn::http2};
use hyper_util::rt;
use indexmap::IndexMap;
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use super::SendError;
use crate::{handshake, http, links};

/// Silence of a connection with calls on it after which the other node is asked for a sign of life.
const CALLS_SILENCE: Duration = Duration::from_millis(300);
/// Time in which that sign must come. It waits behind what else a narrow link carries, and a link that is given
/// up takes all calls on it along. Calls on a connection that went silent are given up, or tried elsewhere,
/// after both times.
const CALLS_SIGN: Duration = Duration::from_millis(1500);
/// Longest time that a call waits for a connection. Nothing of it was sent by then, so that another node
/// may take it; a dial and its greeting take three round trips, 6 ms between data centres of a region.
const DIAL_PATIENCE: Duration = Duration::from_millis(250);
/// Time after a dial that failed within which calls are told so at once: one dial a second and address
/// finds a machine that is back.
const REDIAL_PAUSE: Duration = Duration::from_millis(200);

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
    SendError::ConnectionLost { source: error }
}

/// What became of a request on one connection.
enum Sent {
    Answered(Response<Incoming>),
    Returned(Request<http::StreamBody>),
}

type NodeSender = http2::SendRequest<http::StreamBody>;
/// How a dial ended; nothing while it goes on.
type DialResult = Option<Result<NodeSender, String>>;

/// The connection to one node.
#[derive(Debug)]
enum NodeLink {
    Open(NodeSender),
    Dialling(watch::Receiver<DialResult>),
    Failed { at: Instant, message: String },
}

type LinkMap = Arc<Mutex<IndexMap<SocketAddr, NodeLink>>>;

/// Connections to other nodes.
#[derive(Debug)]
pub struct NodePool {
    credentials: handshake::LinkCredentials,
    /// Time in which a silent node must give a sign of life.
    sign_time: Duration,
    links: LinkMap,
}

impl NodePool {
    /// A pool without connections.
    pub fn new(credentials: handshake::LinkCredentials) -> Self {
        Self::with_keepalive_timeout(credentials, CALLS_SIGN)
    }

    /// The same where a silent node is given another time for its sign of life.
    pub fn with_keepalive_timeout(
        credentials: handshake::LinkCredentials,
        sign_time: Duration,
    ) -> Self {
        Self {
            credentials,
            sign_time,
            links: LinkMap::default(),
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
        let not_connected = |message: String| SendError::NotConnected { message };
        let mut dial = {
            let mut links = self.links.lock().expect("no holder of the lock panics");
            match links.get(&to) {
                Some(NodeLink::Open(sender)) if !sender.is_closed() => return Ok(sender.clone()),
                Some(NodeLink::Failed { at, message }) if at.elapsed() < REDIAL_PAUSE => {
                    return Err(not_connected(message.clone()));
                }
                Some(NodeLink::Dialling(dial)) => dial.clone(),
                _ => {
                    let dial = self.dial(to);
                    links.insert(to, NodeLink::Dialling(dial.clone()));
                    dial
                }
            }
        };
        let waited = time::timeout(DIAL_PATIENCE, dial.wait_for(Option::is_some)).await;
        match waited {
            Ok(Ok(result)) => match &*result {
                Some(Ok(sender)) => Ok(sender.clone()),
                Some(Err(message)) => Err(not_connected(message.clone())),
                None => Err(not_connected("the dial was given up".into())),
            },
            Ok(Err(closed)) => Err(not_connected(closed.to_string())),
            Err(elapsed) => Err(not_connected(elapsed.to_string())),
        }
    }

    /// Begins to dial; the connection is there for every call once it is open.
    fn dial(&self, to: SocketAddr) -> watch::Receiver<DialResult> {
        let (ended, dial) = watch::channel(None);
        let (credentials, sign_time) = (self.credentials.clone(), self.sign_time);
        let links = Arc::clone(&self.links);
        tokio::spawn(async move {
            let result = open(&credentials, to, sign_time).await;
            let link = match &result {
                Ok(sender) => NodeLink::Open(sender.clone()),
                Err(message) => NodeLink::Failed {
                    at: Instant::now(),
                    message: message.clone(),
                },
            };
            let mut links = links.lock().expect("no holder of the lock panics");
            links.insert(to, link);
            drop(links);
            ended.send_replace(Some(result));
        });
        dial
    }
}

async fn open(
    credentials: &handshake::LinkCredentials,
    to: SocketAddr,
    sign_time: Duration,
) -> Result<NodeSender, String> {
    let stream = links::connect(credentials, to, wire::LinkPurpose::Calls).await;
    let stream = stream.map_err(|error| error.to_string())?;
    let mut builder = http2::Builder::new(rt::TokioExecutor::new());
    builder
        .timer(rt::TokioTimer::new())
        .keep_alive_interval(CALLS_SILENCE)
        .keep_alive_timeout(sign_time);
    let opened = builder.handshake(rt::TokioIo::new(stream)).await;
    let (sender, connection) = opened.map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("calls link to {to} ended: {error}");
        }
    });
    Ok(sender)
}
