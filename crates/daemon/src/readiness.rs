//! The listener for readiness checks, which tell load balancers whether to send callers to this
//! node.
//!
//! A node is ready while it has a catalogue and is not shutting down. All paths return the same
//! response, so that any health checker can be used.

use std::{future, sync::Arc};

use hazeltiller_engine::connections;
use hazeltiller_units::{code, ids};
use hyper::{Response, StatusCode};
use serde::Serialize;
use tokio::net::TcpListener;

use crate::{drain, http, listener, process};

/// Body of the response.
#[derive(Debug, Serialize)]
struct ReadinessDocument {
    is_ready: bool,
    catalogue_version: ids::CatalogueVersion,
    /// Why the node is not ready.
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<code::ResultCode>,
}

/// Serves the listener until the process stops.
pub async fn serve(context: Arc<process::ProcessContext>, listener: TcpListener) {
    loop {
        let kind = connections::ListenerKind::Readiness;
        let accepted = listener::accept(&context.connections, &listener, kind).await;
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let tunables = &context.connection_tunables;
            let handler = |_request| future::ready(respond(&context));
            listener::serve_requests(accepted, tunables, handler).await;
        });
    }
}

fn respond(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let version = context.in_force.borrow().version;
    let code = if context.drain.phase() > drain::DrainPhase::Serving {
        Some(code::ResultCode::NodeStopping)
    } else if version == ids::CatalogueVersion::default() {
        Some(code::ResultCode::CatalogueMissing)
    } else {
        None
    };
    let status = match code {
        Some(_) => StatusCode::SERVICE_UNAVAILABLE,
        None => StatusCode::OK,
    };
    let document = ReadinessDocument {
        is_ready: code.is_none(),
        catalogue_version: version,
        code,
    };
    http::json_response(status, &document)
}
