//! The listener for readiness checks, which tell load balancers whether to send callers to this
//! node.
//!
//! A node is ready while it has a catalogue and is not shutting down. All paths return the same
//! response, so that any health checker can be used.

use std::{convert::Infallible, sync::Arc};

use hazeltiller_units::{code, ids};
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service};
use hyper_util::rt;
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
        let (stream, _from) = listener::accept(&listener, "ready").await;
        let context = Arc::clone(&context);
        let service = service::service_fn(move |_request: Request<Incoming>| {
            let response = respond(&context);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let served = http1::Builder::new()
                .serve_connection(rt::TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!("readiness connection failed: {error}");
            }
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
