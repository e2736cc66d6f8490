//! Sends one request and resends it if necessary.
//!
//! A request is resent only if that is safe: it is idempotent, it has an idempotency key, or it has
//! certainly not run.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hazeltiller_units::time as unit_time;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, header};
use tokio::time;

use crate::{
    behaviour, headers,
    load::{connections, mix, settings},
};

/// A scheduled request.
#[derive(Debug, Clone, Copy)]
pub struct PlannedCall {
    /// Number of the request, from 1.
    pub number: u64,
    /// Index of the kind of request.
    pub kind: usize,
    /// Scheduled time of the first send.
    pub planned: time::Instant,
}

/// Result of one send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendResult {
    /// A target sent a complete response with a status below 400.
    Answered,
    /// A target sent a complete response with a status from 400.
    Failed(StatusCode),
    /// The system refused the request.
    Refused {
        /// The result code.
        code: String,
        /// Whether the refusal states that the request did not run.
        is_not_run: bool,
    },
    /// No connection could be established.
    NotConnected,
    /// The connection broke before a response, or the send timed out.
    Broken,
    /// The response was truncated.
    Cut,
}

impl SendResult {
    /// Whether this result proves that the request did not run by this send.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Refused { is_not_run, .. } => *is_not_run,
            Self::NotConnected => true,
            _ => false,
        }
    }

    fn is_final(&self) -> bool {
        matches!(self, Self::Answered | Self::Failed(_))
    }
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// Number of the request.
    pub number: u64,
    /// Index of the kind of request.
    pub kind: usize,
    /// Time from the scheduled time to the end of the last send.
    pub latency: Duration,
    /// Number of sends.
    pub sends: u32,
    /// Result of the last send.
    pub end: SendResult,
    /// Whether the results of all sends prove that the request never ran.
    pub is_never_run: bool,
    /// Whether a response belonged to another request.
    pub is_crossed: bool,
    /// Number of truncated responses.
    pub truncated_responses: u32,
}

/// Sends the requests of a load.
#[derive(Debug)]
pub struct LoadClient {
    settings: Arc<settings::LoadSettings>,
    connections: connections::NodeConnections,
    run_name: String,
}

impl LoadClient {
    /// Creates a client for one load.
    pub fn new(settings: Arc<settings::LoadSettings>) -> Self {
        let run_name = format!("{}-{}", unit_time::WallTime::now(), settings.seed);
        Self {
            settings,
            connections: connections::NodeConnections::default(),
            run_name,
        }
    }

    /// Returns the name of the load, with which the tags of its requests start.
    pub fn run_name(&self) -> &str {
        &self.run_name
    }

    /// Sends a request and resends it if necessary.
    pub async fn perform(&self, call: PlannedCall) -> CallRecord {
        let kind = &self.settings.mix.kinds()[call.kind];
        let tag = call_tag(&self.run_name, call.number);
        let mut record = CallRecord {
            number: call.number,
            kind: call.kind,
            latency: Duration::ZERO,
            sends: 0,
            end: SendResult::NotConnected,
            is_never_run: true,
            is_crossed: false,
            truncated_responses: 0,
        };
        let mut pause = self.settings.resend_pause;
        loop {
            let node = self.node(call.number + u64::from(record.sends));
            let (end, is_crossed) = self.send(node, kind, call.number, &tag).await;
            record.sends += 1;
            record.is_never_run &= end.is_not_run();
            record.is_crossed |= is_crossed;
            record.truncated_responses += u32::from(end == SendResult::Cut);
            let is_safe = kind.is_idempotent() || kind.keyed || record.is_never_run;
            let is_done = end.is_final() || !is_safe || record.sends >= self.settings.sends;
            record.end = end;
            if is_done {
                record.latency = call.planned.elapsed();
                return record;
            }
            time::sleep(pause).await;
            pause *= 2;
        }
    }

    fn node(&self, turn: u64) -> SocketAddr {
        let nodes = &self.settings.nodes;
        nodes[(turn % nodes.len() as u64) as usize]
    }

    async fn send(
        &self,
        node: SocketAddr,
        kind: &mix::RequestKind,
        number: u64,
        tag: &str,
    ) -> (SendResult, bool) {
        let request = prepare(kind, node, number, tag);
        let exchange = async {
            match self.connections.send(node, request).await {
                Ok((response, sender)) => {
                    let (end, is_crossed) = read(response, tag).await;
                    if !matches!(end, SendResult::Cut) {
                        self.connections.keep(node, sender);
                    }
                    (end, is_crossed)
                }
                Err(connections::SendError::NotConnected { .. }) => {
                    (SendResult::NotConnected, false)
                }
                Err(connections::SendError::Broken { .. }) => (SendResult::Broken, false),
            }
        };
        time::timeout(self.settings.timeout, exchange)
            .await
            .unwrap_or((SendResult::Broken, false))
    }
}

/// Returns the tag in the path of a request, by which its runs are found in the logs.
pub fn call_tag(run_name: &str, number: u64) -> String {
    format!("call={run_name}-{number}.")
}

fn prepare(
    kind: &mix::RequestKind,
    node: SocketAddr,
    number: u64,
    tag: &str,
) -> Request<Full<Bytes>> {
    let path = kind
        .path
        .replace(mix::NUMBER_PLACEHOLDER, &number.to_string());
    let separator = if path.contains('?') { '&' } else { '?' };
    let host = kind.host.clone().unwrap_or_else(|| node.to_string());
    let mut builder = Request::builder()
        .method(kind.method.as_str())
        .uri(format!("{path}{separator}{tag}"))
        .header(header::HOST, host);
    if kind.keyed {
        builder = builder.header(headers::IDEMPOTENCY_KEY, tag);
    }
    if let Some(deadline_ms) = kind.deadline_ms {
        builder = builder.header(headers::DEADLINE, deadline_ms);
    }
    if kind.crashes {
        builder = builder.header(behaviour::CRASH_HEADER, "1");
    }
    let body = Full::from(vec![b'.'; kind.body_bytes]);
    builder
        .body(body)
        .expect("the mix was validated before the load was started")
}

/// Whether the method, path and host of a kind are valid.
pub fn is_valid(kind: &mix::RequestKind) -> bool {
    let method = hyper::Method::from_bytes(kind.method.as_bytes());
    let uri = kind.path.parse::<hyper::Uri>();
    let host = kind.host.as_deref().unwrap_or("host");
    let host = header::HeaderValue::from_str(host);
    method.is_ok() && uri.is_ok() && kind.path.starts_with('/') && host.is_ok()
}

/// Reads a whole response. Also returns whether it belongs to another request.
async fn read(response: Response<Incoming>, tag: &str) -> (SendResult, bool) {
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return (SendResult::Cut, false);
    };
    let text = |name: &str| {
        parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    if let Some(code) = text(headers::CODE) {
        let end = SendResult::Refused {
            code: code.into(),
            is_not_run: text(headers::OUTCOME) == Some(headers::NOT_RUN_OUTCOME),
        };
        return (end, false);
    }
    if parts.status.is_client_error() || parts.status.is_server_error() {
        return (SendResult::Failed(parts.status), false);
    }
    let bytes = body.to_bytes();
    let has_tag = bytes
        .windows(tag.len())
        .any(|window| window == tag.as_bytes());
    (SendResult::Answered, !has_tag && !bytes.is_empty())
}
