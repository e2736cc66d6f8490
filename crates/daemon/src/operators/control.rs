//! The control group: who votes, who could, and changes of that.

use std::net::SocketAddr;

use hazeltiller_engine::replication;
use hazeltiller_units::code;
use hyper::{Request, Response, StatusCode, body::Incoming};

use super::changes;
use crate::{http, process, questions};

/// Shows the group as this control sees it.
pub(super) async fn show(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let view = context.engine.inspect(replication::GroupView::of).await;
    match view.flatten() {
        Some(view) => http::json_response(StatusCode::OK, &view),
        None => changes::not_control(),
    }
}

/// Adds or removes a voter; only the administrator may.
pub(super) async fn change(
    context: &process::ProcessContext,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let author = changes::author(context, from, request.headers());
    if author != Ok(replication::ChangeAuthor::Administrator) {
        let code = code::ResultCode::OperatorForbidden;
        let message = "only the administrator changes the control group".into();
        return super::refusal(StatusCode::FORBIDDEN, code, message);
    }
    let change: replication::GroupChange = match changes::read_body(request).await {
        Ok(change) => change,
        Err(fault) => return fault.response(),
    };
    let question = questions::LeaderRequest::ChangeGroup(change.clone());
    let here = context.engine.change_group(change);
    changes::answer_response(changes::settle(context, here, question).await)
}
