//! The members of the control group, and changes of its voters.

use std::net::SocketAddr;

use hazeltiller_engine::replication;
use hazeltiller_units::code;
use hyper::{Request, Response, StatusCode, body::Incoming};

use super::changes;
use crate::{http, process, questions};

/// Returns the group as this control sees it.
pub(super) async fn get(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let view = context.engine.inspect(replication::GroupView::of).await;
    match view.flatten() {
        Some(view) => http::json_response(StatusCode::OK, &view),
        None => changes::not_control_response(),
    }
}

/// Adds or removes a voter. Only the administrator is permitted to.
pub(super) async fn change(
    context: &process::ProcessContext,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let author = changes::authenticate(context, from, request.headers());
    if author != Ok(replication::ChangeAuthor::Administrator) {
        let code = code::ResultCode::OperatorForbidden;
        let message = "only the administrator changes the control group".into();
        return super::not_run_response(StatusCode::FORBIDDEN, code, message);
    }
    let change: replication::GroupChange = match changes::read_body(context, request).await {
        Ok(change) => change,
        Err(error) => return error.into_response(),
    };
    let forwarded = questions::LeaderRequest::ChangeGroup(change.clone());
    let local_answer = context.engine.change_group(change);
    changes::proposal_response(changes::answer_or_forward(context, local_answer, forwarded).await)
}
