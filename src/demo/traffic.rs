//! Callers that look up vehicles and issue certificates, and resend requests that fail.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use hazeltiller_standin::client;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use tokio::{task::JoinSet, time};

const CALLER_COUNT: usize = 16;
/// One in this many requests issues a certificate; the others look up a vehicle.
const ISSUE_INTERVAL: u64 = 5;
/// Time between the requests of a caller. Keeps the callers below the rate limits of their owners
/// in the catalogue.
const REQUEST_PAUSE: Duration = Duration::from_millis(80);
const MAX_SENDS: usize = 20;
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A target answered.
    Answered,
    /// The request was refused as not run.
    Refused,
    /// The request was refused with an unknown outcome, or ran but its response cannot be repeated.
    Unknown,
    /// No response was received.
    Unanswered,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path, which is unique to this request.
    pub path: String,
    /// Outcome of the last send.
    pub end: RequestOutcome,
    /// Number of sends.
    pub sends: usize,
}

/// Callers that send requests until they are stopped.
#[derive(Debug)]
pub struct DemoTraffic {
    callers: JoinSet<Vec<CallerRequest>>,
    is_stopped: Arc<AtomicBool>,
}

impl DemoTraffic {
    /// Starts the callers, which use the nodes in turn.
    pub fn start(nodes: &[SocketAddr]) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let next_number = Arc::new(AtomicU64::new(0));
        let mut callers = JoinSet::new();
        for _ in 0..CALLER_COUNT {
            callers.spawn(run_caller(
                nodes.to_vec(),
                Arc::clone(&next_number),
                Arc::clone(&is_stopped),
            ));
        }
        Self {
            callers,
            is_stopped,
        }
    }

    /// Stops the callers after their current requests and returns all requests.
    pub async fn stop(self) -> Vec<CallerRequest> {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.callers
            .join_all()
            .await
            .into_iter()
            .flatten()
            .collect()
    }
}

async fn run_caller(
    nodes: Vec<SocketAddr>,
    next_number: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
) -> Vec<CallerRequest> {
    let mut requests = Vec::new();
    while !is_stopped.load(Ordering::Relaxed) {
        let number = next_number.fetch_add(1, Ordering::Relaxed);
        requests.push(call(&nodes, number).await);
        time::sleep(REQUEST_PAUSE).await;
    }
    requests
}

/// Sends a request, and resends it with the same idempotency key through the next node until it is
/// answered or [`MAX_SENDS`] is reached.
async fn call(nodes: &[SocketAddr], number: u64) -> CallerRequest {
    let is_issue = number.is_multiple_of(ISSUE_INTERVAL);
    let (method, path) = if is_issue {
        (Method::POST, format!("/certificates/{number}"))
    } else {
        (Method::GET, format!("/vehicles/{number}"))
    };
    let mut request = CallerRequest {
        method,
        path,
        end: RequestOutcome::Unanswered,
        sends: 0,
    };
    for attempt in 0..MAX_SENDS {
        let node = nodes[(number as usize + attempt) % nodes.len()];
        request.sends += 1;
        request.end = send(node, &request, number).await;
        if request.end == RequestOutcome::Answered {
            break;
        }
        time::sleep(RESEND_PAUSE).await;
    }
    request
}

async fn send(node: SocketAddr, request: &CallerRequest, number: u64) -> RequestOutcome {
    let sent = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .header("idempotency-key", format!("demo-{number}"))
        .body(Full::default())
        .expect("the path is a URI");
    let Ok(response) = client::exchange(node, sent).await else {
        return RequestOutcome::Unanswered;
    };
    let outcome = response.headers().get("hazeltiller-outcome");
    match outcome.map(hyper::header::HeaderValue::as_bytes) {
        Some(b"not-run") => RequestOutcome::Refused,
        None if response.status() == StatusCode::OK => RequestOutcome::Answered,
        _ => RequestOutcome::Unknown,
    }
}
