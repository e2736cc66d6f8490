//! The target listener: targets announce themselves here and renew their lease periodically.

use std::{convert::Infallible, sync::Arc};

use hazeltiller_engine::{event, membership, settings};
use hazeltiller_units::code;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use tokio::net::TcpListener;

use crate::{dialect, http, listener, process};

/// Maximum size of an announcement, which holds a few names and numbers.
const MAX_ANNOUNCEMENT_BYTES: usize = 4096;

/// Accepts connections until the process stops.
pub async fn serve(context: Arc<process::ProcessContext>, listener: TcpListener) {
    loop {
        let (stream, _from) = listener::accept(&listener, "target").await;
        let context = Arc::clone(&context);
        let service = service::service_fn(move |request| {
            let context = Arc::clone(&context);
            async move { Ok::<_, Infallible>(respond(&context, request).await) }
        });
        tokio::spawn(async move {
            let served = http1::Builder::new()
                .serve_connection(rt::TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!("connection from a target ended with an error: {error}");
            }
        });
    }
}

async fn respond(
    context: &process::ProcessContext,
    request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let dialect = &context.dialects.targets;
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, MAX_ANNOUNCEMENT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return refuse_unreadable(dialect.as_ref(), error.to_string()),
    };
    let result = dialect.read(&parts.method, parts.uri.path(), &body);
    match result {
        Ok(message) => {
            apply(context, message);
            dialect.accept()
        }
        Err(error) => {
            log::warn!("{}: announcement rejected: {}", error.code, error.message);
            dialect.refuse(&error)
        }
    }
}

/// Returns the response to a message whose body could not be read or is too large.
fn refuse_unreadable(
    dialect: &dyn dialect::TargetDialect,
    message: String,
) -> Response<http::StreamBody> {
    let error = dialect::RequestError {
        code: code::ResultCode::RequestMalformed,
        message,
        is_unknown_endpoint: false,
    };
    log::warn!(
        "{}: cannot read announcement: {}",
        error.code,
        error.message
    );
    let mut response = dialect.refuse(&error);
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

/// Passes a target's message to the engine, with the default lease where it names none.
fn apply(context: &process::ProcessContext, message: dialect::TargetRequest) {
    let event = match message {
        dialect::TargetRequest::Announce(mut announcement) => {
            if announcement.lease.is_zero() {
                announcement.lease = settings::millis(context.default_lease_ms);
            }
            membership::MembershipEvent::Announced(announcement)
        }
        dialect::TargetRequest::Withdraw(name) => membership::MembershipEvent::Withdrawn(name),
    };
    context.engine.tell(event::Event::Membership(event));
}
