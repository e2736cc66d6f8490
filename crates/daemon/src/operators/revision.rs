//! Whole replacements and proven reads, in the dialect that the process was started with.

use std::time::Duration;

use hazeltiller_catalogue::{change, rollout};
use hazeltiller_engine::replication;
use hazeltiller_units::{code, ids};
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, body::Incoming};

use super::changes;
use crate::{dialect, http, process, questions};

/// Largest document of a replacement, in bytes.
const LARGEST_DOCUMENT: usize = hazeltiller_wire::document::LARGEST_DOCUMENT;
/// Longest time that a read waits for its proof: a majority answers within a few milliseconds, or
/// there is none.
const READ_PATIENCE: Duration = Duration::from_millis(800);

/// Answers a message of an operator.
pub(super) async fn answer(
    context: &process::ProcessContext,
    dialect: &dyn dialect::OperatorDialect,
    request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let body = match Limited::new(body, LARGEST_DOCUMENT).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return dialect.refuse(&dialect::RequestError {
                code: code::ResultCode::DocumentInvalid,
                message: error.to_string(),
                is_unknown_endpoint: false,
            });
        }
    };
    if let Some(leader) = leader_elsewhere(context).await {
        return dialect.answer(&path, &dialect::OperatorResponse::Redirect(leader));
    }
    let answer = match dialect.read(&parts.method, &path, &body) {
        Ok(dialect::OperatorRequest::Read) => read(context).await,
        Ok(dialect::OperatorRequest::Replace(request)) => replace(context, *request).await,
        Ok(dialect::OperatorRequest::StartRollout(order)) => start_rollout(context, order).await,
        Ok(dialect::OperatorRequest::ReadRollout(service)) => read_rollout(context, service).await,
        Err(fault) => {
            log::info!("{}: document refused: {}", fault.code, fault.message);
            return dialect.refuse(&fault);
        }
    };
    dialect.answer(&path, &answer)
}

/// The operators address of the leader, where that is another control and its address is known.
async fn leader_elsewhere(context: &process::ProcessContext) -> Option<std::net::SocketAddr> {
    let look = |state: &hazeltiller_engine::reducer::EngineState| {
        let leader = state.replication.as_ref()?.live_leader(state)?;
        state.membership.member_at(leader)?.operators
    };
    context.engine.inspect(look).await.flatten()
}

/// The revision in place, once a majority has proven that this control still leads.
async fn proven_revision(context: &process::ProcessContext) -> replication::ProposalAnswer {
    let reading = tokio::time::timeout(READ_PATIENCE, context.engine.read_revision()).await;
    reading.unwrap_or(replication::ProposalAnswer::Refused {
        code: code::ResultCode::QuorumMissing,
        version: ids::CatalogueVersion::default(),
        faults: Vec::new(),
    })
}

async fn read_rollout(
    context: &process::ProcessContext,
    service: ids::EntryName,
) -> dialect::OperatorResponse {
    let is_proven = match proven_revision(context).await {
        replication::ProposalAnswer::Current { .. } => Ok(()),
        replication::ProposalAnswer::Refused { code, .. } => Err(code),
        _ => Err(code::ResultCode::LeaderUnknown),
    };
    if let Err(code) = is_proven {
        let faults = Vec::new();
        return dialect::OperatorResponse::Refused { code, faults };
    }
    // What is committed here by now is at least what was when the proof came.
    let look = move |state: &hazeltiller_engine::reducer::EngineState| {
        let committed = state.replication.as_ref()?.committed();
        committed.rollout(&service).cloned()
    };
    match context.engine.inspect(look).await.flatten() {
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
    match proven_revision(context).await {
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

/// Proposes a request of an operator, here or at the leader.
async fn propose(
    context: &process::ProcessContext,
    request: change::ChangeRequest,
) -> replication::ProposalAnswer {
    let change = questions::ForwardedChange {
        author: replication::ChangeAuthor::Administrator,
        request,
    };
    let question = questions::LeaderQuestion::Propose(change.clone());
    let here = context.engine.propose(change.into_proposal());
    changes::settle(context, here, question).await
}
