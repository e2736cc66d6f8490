//! The HTTP listener for operators. Each submodule serves one group of endpoints.

mod catalogue;
mod changes;
mod control;
mod fleet;
mod observability;
mod revision;
mod rollouts;
mod status;

use std::{net::SocketAddr, sync::Arc};

use hazeltiller_catalogue::change;
use hazeltiller_engine::connections;
use hazeltiller_units::{code, ids};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Incoming},
};
use serde::Serialize;
use tokio::net::TcpListener;

use crate::{client_connections, http, listener, process};

/// Bytes of memory that a request takes besides its body.
const REQUEST_BYTES: u64 = 16_384;

/// Response to a rejected request.
#[derive(Debug, Serialize)]
struct RejectionDocument {
    code: code::ResultCode,
    outcome: &'static str,
    message: String,
    version: ids::CatalogueVersion,
    faults: Vec<change::CatalogueFault>,
}

/// Serves the listener until the process stops.
pub async fn serve(context: Arc<process::ProcessContext>, listener: TcpListener) {
    loop {
        let kind = connections::ListenerKind::Operators;
        let accepted = listener::accept(&context.connections, &listener, kind).await;
        let (context, from) = (Arc::clone(&context), accepted.from);
        tokio::spawn(async move {
            let tunables = &context.connection_tunables;
            let connection = accepted.guard.connection().clone();
            let handler = |request| serve_request(&context, &connection, from, request);
            listener::serve_requests(accepted, tunables, handler).await;
        });
    }
}

/// Serves a request unless its body does not fit into the memory that is left for clients.
async fn serve_request(
    context: &process::ProcessContext,
    connection: &client_connections::ClientConnection,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let body_bytes = request.body().size_hint().upper();
    let body_bytes = body_bytes
        .unwrap_or(u64::MAX)
        .min(changes::MAX_CHANGE_BYTES as u64);
    let Some(_held) = connection.admit(REQUEST_BYTES + body_bytes) else {
        return http::refusal_response(&client_connections::memory_refusal());
    };
    route(context, from, request).await
}

/// Routes a request to the handler of its endpoint.
async fn route(
    context: &process::ProcessContext,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let path = request.uri().path().to_owned();
    if let Some(dialect) = &context.dialects.operators
        && dialect.serves(&path)
    {
        return revision::handle(context, dialect.as_ref(), request).await;
    }
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "changes"]) => changes::propose(context, from, request).await,
        (&Method::GET, ["v1", "changes"]) => changes::list(context).await,
        (&Method::GET, ["v1", "changes", id]) => changes::get(context, id).await,
        (&Method::GET, ["v1", "revision"]) => changes::get_revision(context).await,
        (&Method::GET, ["v1", "control"]) => control::get(context).await,
        (&Method::POST, ["v1", "control"]) => control::change(context, from, request).await,
        (&Method::GET, ["v1", "catalogue"]) => catalogue::list(context),
        (&Method::GET, ["v1", "catalogue", kind, name]) => catalogue::get(context, kind, name),
        (&Method::GET, ["v1", "rollouts"]) => rollouts::list(context).await,
        (&Method::GET, ["v1", "rollouts", service]) => rollouts::get(context, service).await,
        (&Method::GET, ["metrics"]) => observability::metrics(context).await,
        (&Method::GET, ["v1", "timeline"]) => {
            observability::timeline(context, request.uri().query())
        }
        (&Method::GET, ["v1", "status"]) => status::get(context).await,
        (&Method::GET, ["v1", "targets"]) => fleet::list_targets(context).await,
        (&Method::GET, ["v1", "convergence", version]) => {
            fleet::convergence(context, version).await
        }
        _ => {
            let message = format!("there is nothing at {path}");
            not_run_response(
                StatusCode::NOT_FOUND,
                code::ResultCode::EntryNotFound,
                message,
            )
        }
    }
}

/// Returns the response to a request that was rejected without any effect.
fn not_run_response(
    status: StatusCode,
    code: code::ResultCode,
    message: String,
) -> Response<http::StreamBody> {
    let version = ids::CatalogueVersion::default();
    let faults = Vec::new();
    let document = RejectionDocument {
        code,
        outcome: "not-run",
        message,
        version,
        faults,
    };
    http::json_response(status, &document)
}
