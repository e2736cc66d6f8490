//! Sends the HTTP health probes of this node's targets that the engine has scheduled.
//!
//! Each probe opens a new connection, so that it fails if the target no longer accepts any.

use std::net::SocketAddr;

use bytes::Bytes;
use hazeltiller_engine::{event, health};
use http_body_util::Empty;
use hyper::{Request, StatusCode, client::conn::http1, header};
use hyper_util::rt;
use tokio::{net::TcpStream, sync::mpsc, time};

use crate::engine_actor;

type ProbeError = Box<dyn std::error::Error + Send + Sync>;

/// Runs the probes until the process stops.
pub async fn run(
    mut plans: mpsc::UnboundedReceiver<health::ProbePlan>,
    engine: engine_actor::EngineHandle,
) {
    while let Some(plan) = plans.recv().await {
        let engine = engine.clone();
        tokio::spawn(async move {
            let result =
                time::timeout(plan.timeout, request_status(plan.address, &plan.path)).await;
            let is_healthy = matches!(result, Ok(Ok(status)) if status.is_success());
            let target = plan.target;
            let event = health::HealthEvent::Probed { target, is_healthy };
            engine.tell(event::Event::Health(event));
        });
    }
}

/// Requests a target's health page and returns the response status.
async fn request_status(to: SocketAddr, path: &str) -> Result<StatusCode, ProbeError> {
    let stream = TcpStream::connect(to).await?;
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await?;
    let connection_task = tokio::spawn(connection);
    let request = Request::get(path)
        .header(header::HOST, to.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await;
    connection_task.abort();
    Ok(response?.status())
}
