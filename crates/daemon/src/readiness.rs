//! The readiness listener: whether callers may be sent here.
//!
//! A node is ready while it holds a catalogue and nobody asked it to stop. Every path is answered
//! alike, so that whoever watches the instance can ask in its own way.

use std::{convert::Infallible, sync::Arc};

use hazeltiller_units::{code, ids};
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::{drain, http, listener, process};

#[derive(Debug, Serialize)]
struct ReadinessDocument {
    is_ready: bool,
    catalogue_version: ids::CatalogueVersion,
    /// Why it is not ready.
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<code::ResultCode>,
}

/// Serves the listener until the process stops.
pub async fn serve(context: Arc<process::ProcessContext>, listener: TcpListener) {
    loop {
        let (stream, _from) = listener::accept(&listener, "ready").await;
        let context = Arc::clone(&context);
        let service = service::service_fn(move |_request: Request<Incoming>| {
            let response = answer(&context);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let served = http1::Builder::new()
                .serve_connection(rt::TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!("readiness connection ended: {error}");
            }
        });
    }
}

fn answer(context: &process::ProcessContext) -> Response<http::StreamBody> {
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
