//! Sends the HTTP health probes of this node's targets that the engine has scheduled.
//!
//! Each probe opens a new connection, so that it fails if the target no longer accepts any.

use std::{net::SocketAddr, sync::Arc};

use hazeltiller_engine::{event, health};
use hyper::{Request, client::conn::TrySendError, header, http::response};
use tokio::{net::TcpStream, sync::mpsc, time};

use crate::{dialect, engine_actor, http, pool};

type ProbeError = Box<dyn std::error::Error + Send + Sync>;

/// Runs the probes until the process stops.
pub async fn run(
    mut plans: mpsc::UnboundedReceiver<health::ProbePlan>,
    calls: Arc<dyn dialect::CallDialect>,
    engine: engine_actor::EngineHandle,
) {
    while let Some(plan) = plans.recv().await {
        let (calls, engine) = (Arc::clone(&calls), engine.clone());
        tokio::spawn(async move {
            let probing = request_health(plan.address, &plan.path);
            let result = time::timeout(plan.timeout, probing).await;
            let target = plan.target;
            let is_healthy = matches!(result, Ok(Ok(head)) if calls.is_healthy(&head, &target));
            let event = health::HealthEvent::Probed { target, is_healthy };
            engine.tell(event::Event::Health(event));
        });
    }
}

/// Requests a target's health page and returns the head of the response.
async fn request_health(to: SocketAddr, path: &str) -> Result<response::Parts, ProbeError> {
    let stream = TcpStream::connect(to).await?;
    let mut sender = pool::TargetSender::open(to, stream).await?;
    let request = Request::get(path)
        .header(header::HOST, to.to_string())
        .body(http::full_body(""))?;
    let response = sender.send(request).await;
    let (head, _body) = response.map_err(TrySendError::into_error)?.into_parts();
    Ok(head)
}
