//! Replacements of the whole configuration, linearizable reads and rollouts, in the operator
//! dialect of the process.

use std::time::Duration;

use hazeltiller_catalogue::{change, rollout};
use hazeltiller_engine::{replication, settings};
use hazeltiller_units::{code, ids};
use hyper::{Request, Response, body::Incoming};

use super::changes;
use crate::{dialect, http, process, questions};

/// Maximum size of the body of a request, in bytes.
const MAX_BODY_BYTES: usize = hazeltiller_wire::document::MAX_DOCUMENT_BYTES;
/// Maximum time that a read waits for confirmation by a majority. If a majority is reachable, it
/// answers within a few milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves a request in the operator dialect.
pub(super) async fn handle(
    context: &process::ProcessContext,
    dialect: &dyn dialect::OperatorDialect,
    request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let max_time = settings::millis(context.connection_tunables.body_ms);
    let body = match http::collect_body(body, MAX_BODY_BYTES, max_time).await {
        Ok(body) => body,
        Err(error) => {
            return dialect.refuse(&dialect::RequestError {
                code: code::ResultCode::DocumentInvalid,
                message: error.to_string(),
                is_unknown_endpoint: false,
            });
        }
    };
    if let Some(leader) = remote_leader(context).await {
        return dialect.answer(&path, &dialect::OperatorResponse::Redirect(leader));
    }
    let response = match dialect.read(&parts.method, &path, &body) {
        Ok(dialect::OperatorRequest::Read) => read(context).await,
        Ok(dialect::OperatorRequest::Replace(request)) => replace(context, *request).await,
        Ok(dialect::OperatorRequest::StartRollout(order)) => start_rollout(context, order).await,
        Ok(dialect::OperatorRequest::ReadRollout(service)) => read_rollout(context, service).await,
        Err(error) => {
            log::info!(
                "{}: operator request rejected: {}",
                error.code,
                error.message
            );
            return dialect.refuse(&error);
        }
    };
    dialect.answer(&path, &response)
}

/// Returns the operators address of the leader if it is another control with a known address.
async fn remote_leader(context: &process::ProcessContext) -> Option<std::net::SocketAddr> {
    let lookup = |state: &hazeltiller_engine::reducer::EngineState| {
        let leader = state.replication.as_ref()?.live_leader(state)?;
        state.membership.member_at(leader)?.operators
    };
    context.engine.inspect(lookup).await.flatten()
}

/// Returns the current revision once a majority has confirmed that this control is still the
/// leader.
async fn confirmed_revision(context: &process::ProcessContext) -> replication::ProposalAnswer {
    let answer = tokio::time::timeout(READ_TIMEOUT, context.engine.read_revision()).await;
    answer.unwrap_or(replication::ProposalAnswer::Refused {
        code: code::ResultCode::QuorumMissing,
        version: ids::CatalogueVersion::default(),
        faults: Vec::new(),
    })
}

async fn read_rollout(
    context: &process::ProcessContext,
    service: ids::EntryName,
) -> dialect::OperatorResponse {
    let confirmation = match confirmed_revision(context).await {
        replication::ProposalAnswer::Current { .. } => Ok(()),
        replication::ProposalAnswer::Refused { code, .. } => Err(code),
        _ => Err(code::ResultCode::LeaderUnknown),
    };
    if let Err(code) = confirmation {
        let faults = Vec::new();
        return dialect::OperatorResponse::Refused { code, faults };
    }
    // The committed state is at least as recent as it was when the majority confirmed.
    let lookup = move |state: &hazeltiller_engine::reducer::EngineState| {
        let committed = state.replication.as_ref()?.committed();
        committed.rollout(&service).cloned()
    };
    match context.engine.inspect(lookup).await.flatten() {
        Some(entry) => dialect::OperatorResponse::Rollout(Box::new(entry)),
        None => dialect::OperatorResponse::NoRollout,
    }
}

async fn start_rollout(
    context: &process::ProcessContext,
    order: rollout::RolloutOrder,
) -> dialect::OperatorResponse {
    let request = change::ChangeRequest::rollout_order(order);
    match propose(context, request).await {
        replication::ProposalAnswer::Accepted(_) => dialect::OperatorResponse::RolloutOrdered,
        replication::ProposalAnswer::Refused { code, faults, .. } => {
            dialect::OperatorResponse::Refused { code, faults }
        }
        _ => dialect::OperatorResponse::Unknown,
    }
}

async fn read(context: &process::ProcessContext) -> dialect::OperatorResponse {
    let answer = confirmed_revision(context).await;
    changes::record_read(context, &answer).await;
    match answer {
        replication::ProposalAnswer::Current { revision, .. }
            if revision.label == ids::RevisionLabel::default() =>
        {
            dialect::OperatorResponse::NoRevision
        }
        replication::ProposalAnswer::Current { revision, .. } => {
            dialect::OperatorResponse::Revision(revision)
        }
        replication::ProposalAnswer::Refused { code, faults, .. } => {
            dialect::OperatorResponse::Refused { code, faults }
        }
        _ => dialect::OperatorResponse::Refused {
            code: code::ResultCode::LeaderUnknown,
            faults: Vec::new(),
        },
    }
}

async fn replace(
    context: &process::ProcessContext,
    request: change::ChangeRequest,
) -> dialect::OperatorResponse {
    let label = request.replace.as_ref().map(|mark| mark.label);
    match propose(context, request).await {
        replication::ProposalAnswer::Accepted(_) => {
            dialect::OperatorResponse::Accepted(label.unwrap_or_default())
        }
        replication::ProposalAnswer::Refused { code, faults, .. } => {
            dialect::OperatorResponse::Refused { code, faults }
        }
        _ => dialect::OperatorResponse::Unknown,
    }
}

/// Proposes a change, locally or by forwarding it to the leader.
async fn propose(
    context: &process::ProcessContext,
    request: change::ChangeRequest,
) -> replication::ProposalAnswer {
    let change = questions::ForwardedChange {
        author: replication::ChangeAuthor::Administrator,
        request,
    };
    let forwarded = questions::LeaderRequest::Propose(change.clone());
    let local_answer = context.engine.propose(change.into_proposal());
    changes::answer_or_forward(context, local_answer, forwarded).await
}
