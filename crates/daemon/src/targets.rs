//! The target listener: targets announce themselves here and renew their lease periodically.

use std::{sync::Arc, time::Duration};

use hazeltiller_engine::{connections, event, membership, settings};
use hazeltiller_units::code;
use hazeltiller_wire::membership as wire;
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::{net::TcpListener, time};

use crate::{dialect, http, listener, process};

/// Maximum size of an announcement, which holds a few names and numbers.
const MAX_ANNOUNCEMENT_BYTES: usize = 4096;

/// Maximum time for which the acknowledgement of a departure waits for the controls. Targets wait for
/// a second and then send it again.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_millis(800);

/// Accepts connections until the process stops.
pub async fn serve(context: Arc<process::ProcessContext>, listener: TcpListener) {
    loop {
        let kind = connections::ListenerKind::Targets;
        let accepted = listener::accept(&context.connections, &listener, kind).await;
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let tunables = &context.connection_tunables;
            let handler = |request| respond(&context, request);
            listener::serve_requests(accepted, tunables, handler).await;
        });
    }
}

async fn respond(
    context: &process::ProcessContext,
    request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let dialect = &context.dialects.targets;
    let (parts, body) = request.into_parts();
    let max_time = settings::millis(context.connection_tunables.body_ms);
    let body = match http::collect_body(body, MAX_ANNOUNCEMENT_BYTES, max_time).await {
        Ok(body) => body,
        Err(error) => return refuse_unreadable(dialect.as_ref(), error.to_string()),
    };
    let result = dialect.read(&parts.method, parts.uri.path(), &body);
    match result {
        Ok(message) => match apply(context, message).await {
            Ok(()) => dialect.accept(),
            Err(error) => {
                log::warn!("{}: not acknowledged: {}", error.code, error.message);
                let mut response = dialect.refuse(&error);
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                response
            }
        },
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

/// Passes a target's message to the engine, with the default lease where it names none. Waits until
/// the departure of a target that leaves may be acknowledged.
async fn apply(
    context: &process::ProcessContext,
    message: dialect::TargetRequest,
) -> Result<(), dialect::RequestError> {
    let (event, leaving) = match message {
        dialect::TargetRequest::Announce(mut announcement) => {
            if announcement.lease.is_zero() {
                announcement.lease = settings::millis(context.default_lease_ms);
            }
            let record = &announcement.record;
            let is_draining = record.state == wire::TargetState::Draining;
            let leaving = is_draining.then(|| record.name.clone());
            (
                membership::MembershipEvent::Announced(announcement),
                leaving,
            )
        }
        dialect::TargetRequest::Withdraw(name) => {
            let event = membership::MembershipEvent::Withdrawn(name.clone());
            (event, Some(name))
        }
    };
    context.engine.tell(event::Event::Membership(event));
    let Some(target) = leaving else {
        return Ok(());
    };
    let settled = context.engine.withdrawal_settled(target.clone());
    match time::timeout(WITHDRAWAL_TIMEOUT, settled).await {
        Ok(true) => Ok(()),
        Ok(false) | Err(_) => Err(dialect::RequestError {
            code: code::ResultCode::WithdrawalUnsettled,
            message: format!("{target} gets no requests, but too few controls hold that it leaves"),
            is_unknown_endpoint: false,
        }),
    }
}
