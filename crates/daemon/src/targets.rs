//! The target listener: targets announce themselves here, again and again.

use std::{convert::Infallible, sync::Arc};

use hazeltiller_engine::{event, membership, settings};
use hazeltiller_units::code;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use tokio::net::TcpListener;

use crate::{dialect, http, listener, process};

/// Largest announcement, in bytes: one holds a few names and numbers.
const LARGEST_ANNOUNCEMENT: usize = 4096;

/// Serves the listener until the process stops.
pub async fn serve(context: Arc<process::ProcessContext>, listener: TcpListener) {
    loop {
        let (stream, _from) = listener::accept(&listener, "target").await;
        let context = Arc::clone(&context);
        let service = service::service_fn(move |request| {
            let context = Arc::clone(&context);
            async move { Ok::<_, Infallible>(answer(&context, request).await) }
        });
        tokio::spawn(async move {
            let served = http1::Builder::new()
                .serve_connection(rt::TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!("target's connection ended: {error}");
            }
        });
    }
}

async fn answer(
    context: &process::ProcessContext,
    request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let dialect = &context.dialects.targets;
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, LARGEST_ANNOUNCEMENT).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return unreadable(dialect.as_ref(), error.to_string()),
    };
    let read = dialect.read(&parts.method, parts.uri.path(), &body);
    match read {
        Ok(wish) => {
            take(context, wish);
            dialect.accept()
        }
        Err(fault) => {
            log::warn!("{}: announcement refused: {}", fault.code, fault.message);
            dialect.refuse(&fault)
        }
    }
}

/// The answer to a message whose body broke off or is too large: it was not even looked at.
fn unreadable(dialect: &dyn dialect::TargetDialect, message: String) -> Response<http::StreamBody> {
    let fault = dialect::RequestError {
        code: code::ResultCode::RequestMalformed,
        message,
        is_unknown_endpoint: false,
    };
    log::warn!("{}: announcement not read: {}", fault.code, fault.message);
    let mut response = dialect.refuse(&fault);
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}

fn take(context: &process::ProcessContext, wish: dialect::TargetRequest) {
    let event = match wish {
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
