//! Changes of the catalogue: authentication, proposals and the history of accepted changes.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_catalogue::change;
use hazeltiller_engine::{replication, settings, timeline::TimelineEvent};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::replication as wire;
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header};
use serde::Serialize;
use tokio::time;

use crate::{http, process, questions};

/// Maximum size of the body of a change, in bytes: a document of the maximum size, and as much for
/// the entries that it is translated into.
pub(super) const MAX_CHANGE_BYTES: usize = 2 * hazeltiller_wire::document::MAX_DOCUMENT_BYTES;
const BEARER_PREFIX: &str = "Bearer ";

/// An accepted change.
#[derive(Debug, Serialize)]
struct AcceptedDocument {
    version: ids::CatalogueVersion,
    change_id: ids::ChangeId,
    accepted_at_ms: u64,
    operator: Option<ids::OperatorName>,
}

/// The accepted changes that are retained.
#[derive(Debug, Serialize)]
struct HistoryDocument {
    changes: Vec<AcceptedDocument>,
}

/// The current revision.
#[derive(Debug, Serialize)]
struct RevisionDocument {
    version: ids::CatalogueVersion,
    #[serde(flatten)]
    revision: change::CatalogueRevision,
}

/// Returns the current revision, confirmed by a majority of the voters.
pub(super) async fn get_revision(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let local_answer = context.engine.read_revision();
    let answer = answer_or_forward(context, local_answer, questions::LeaderRequest::Revision).await;
    record_read(context, &answer).await;
    proposal_response(answer)
}

/// Records why a read was refused, if it was.
pub(super) async fn record_read(
    context: &process::ProcessContext,
    answer: &replication::ProposalAnswer,
) {
    let replication::ProposalAnswer::Refused { code, .. } = answer else {
        return;
    };
    let view = context.engine.inspect(replication::GroupView::of).await;
    if let Some(view) = view.flatten() {
        context.timeline.record(TimelineEvent::ReadRefused {
            code: *code,
            role: view.role,
            is_proven: view.is_proven_current,
        });
    }
}

/// Proposes a change.
pub(super) async fn propose(
    context: &process::ProcessContext,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let author = match authenticate(context, from, request.headers()) {
        Ok(author) => author,
        Err(code) => return refusal_response(code, Vec::new(), ids::CatalogueVersion::default()),
    };
    let request: change::ChangeRequest = match read_body(context, request).await {
        Ok(request) => request,
        Err(error) => return error.into_response(),
    };
    let change = questions::ForwardedChange { author, request };
    let forwarded = questions::LeaderRequest::Propose(change.clone());
    let local_answer = context.engine.propose(change.into_proposal());
    proposal_response(answer_or_forward(context, local_answer, forwarded).await)
}

/// Lists the accepted changes.
pub(super) async fn list(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let document = context.engine.inspect(|state| {
        let replication = state.replication.as_ref()?;
        let changes = replication.history().map(accepted_document).collect();
        Some(HistoryDocument { changes })
    });
    match document.await.flatten() {
        Some(document) => http::json_response(StatusCode::OK, &document),
        None => not_control_response(),
    }
}

/// Returns one accepted change.
pub(super) async fn get(context: &process::ProcessContext, id: &str) -> Response<http::StreamBody> {
    let Ok(id) = id.parse::<ids::ChangeId>() else {
        return not_found_response(id);
    };
    let change_id = id.clone();
    let document = context.engine.inspect(move |state| {
        let replication = state.replication.as_ref()?;
        Some(replication.accepted(&change_id).map(accepted_document))
    });
    match document.await.flatten() {
        Some(Some(document)) => http::json_response(StatusCode::OK, &document),
        Some(None) => not_found_response(id.as_str()),
        None => not_control_response(),
    }
}

fn accepted_document(accepted: &wire::AcceptedChange) -> AcceptedDocument {
    AcceptedDocument {
        version: accepted.receipt.version,
        change_id: accepted.receipt.change_id.clone(),
        accepted_at_ms: accepted.receipt.accepted_at_ms,
        operator: accepted.operator.clone(),
    }
}

/// Returns the author of a request by its bearer token. If the settings name no token file,
/// requests without a token are trusted if they come from a loopback address.
pub(super) fn authenticate(
    context: &process::ProcessContext,
    from: SocketAddr,
    headers: &HeaderMap,
) -> Result<replication::ChangeAuthor, code::ResultCode> {
    let bearer = headers.get(header::AUTHORIZATION);
    let bearer = bearer.and_then(|value| value.to_str().ok()?.strip_prefix(BEARER_PREFIX));
    match (bearer, context.administrator_hash) {
        (Some(token), administrator_hash) => {
            let hash = change::token_hash(token.trim());
            if administrator_hash == Some(hash) {
                Ok(replication::ChangeAuthor::Administrator)
            } else {
                Ok(replication::ChangeAuthor::Holder(hash))
            }
        }
        (None, None) if from.ip().is_loopback() => Ok(replication::ChangeAuthor::Administrator),
        (None, _) => Err(code::ResultCode::OperatorUnknown),
    }
}

/// A request body that cannot be read or decoded.
pub(super) struct BodyError {
    status: StatusCode,
    message: String,
}

impl BodyError {
    /// Returns the response that reports the error.
    pub(super) fn into_response(self) -> Response<http::StreamBody> {
        super::not_run_response(self.status, code::ResultCode::EntryInvalid, self.message)
    }
}

/// Reads and decodes a JSON body.
pub(super) async fn read_body<T: serde::de::DeserializeOwned>(
    context: &process::ProcessContext,
    request: Request<Incoming>,
) -> Result<T, BodyError> {
    let body_error = |status, message| BodyError { status, message };
    let max_time = settings::millis(context.connection_tunables.body_ms);
    let body = http::collect_body(request.into_body(), MAX_CHANGE_BYTES, max_time).await;
    let bytes = body.map_err(|error| body_error(StatusCode::BAD_REQUEST, error.to_string()))?;
    serde_json::from_slice(&bytes)
        .map_err(|error| body_error(StatusCode::UNPROCESSABLE_ENTITY, error.to_string()))
}

/// Returns the answer of this control, or forwards the request if another control is the leader.
pub(super) async fn answer_or_forward(
    context: &process::ProcessContext,
    local_answer: impl Future<Output = replication::ProposalAnswer>,
    request: questions::LeaderRequest,
) -> replication::ProposalAnswer {
    let timeout = settings::millis(context.operator_timeout_ms);
    let unknown = replication::ProposalAnswer::Unknown;
    let answer = time::timeout(timeout, local_answer).await;
    match answer.unwrap_or(unknown) {
        replication::ProposalAnswer::Elsewhere(leader) => {
            // Longer than the leader's own timeout, so that the leader's answer arrives first.
            let timeout = timeout + Duration::from_secs(1);
            questions::call_leader(context, leader, request, timeout).await
        }
        answer => answer,
    }
}

/// Returns the HTTP response to a proposal.
pub(super) fn proposal_response(answer: replication::ProposalAnswer) -> Response<http::StreamBody> {
    match answer {
        replication::ProposalAnswer::Accepted(receipt) => {
            http::json_response(StatusCode::OK, &receipt)
        }
        replication::ProposalAnswer::GroupChanged(group) => {
            http::json_response(StatusCode::OK, &group)
        }
        replication::ProposalAnswer::Current { version, revision } => {
            let document = RevisionDocument { version, revision };
            http::json_response(StatusCode::OK, &document)
        }
        replication::ProposalAnswer::Refused {
            code,
            version,
            faults,
        } => refusal_response(code, faults, version),
        replication::ProposalAnswer::Elsewhere(_) => refusal_response(
            code::ResultCode::LeaderUnknown,
            Vec::new(),
            ids::CatalogueVersion::default(),
        ),
        replication::ProposalAnswer::Unknown => {
            let code = code::ResultCode::OutcomeUnknown;
            let document = super::RejectionDocument {
                code,
                outcome: "unknown",
                message: format!("{}; {}", code.meaning(), code.advice()),
                version: ids::CatalogueVersion::default(),
                faults: Vec::new(),
            };
            http::json_response(StatusCode::GATEWAY_TIMEOUT, &document)
        }
    }
}

fn refusal_response(
    code: code::ResultCode,
    faults: Vec<change::CatalogueFault>,
    version: ids::CatalogueVersion,
) -> Response<http::StreamBody> {
    let status = match code {
        code::ResultCode::VersionConflict
        | code::ResultCode::RevisionConflict
        | code::ResultCode::RevisionNotNewer
        | code::ResultCode::ChangeIdReused
        | code::ResultCode::RolloutInProgress
        | code::ResultCode::RolloutUnnecessary
        | code::ResultCode::MemberUnsuitable => StatusCode::CONFLICT,
        code::ResultCode::QuorumMissing
        | code::ResultCode::LeaderUnknown
        | code::ResultCode::NotControl
        | code::ResultCode::StoreFailed => StatusCode::SERVICE_UNAVAILABLE,
        code::ResultCode::OperatorUnknown => StatusCode::UNAUTHORIZED,
        code::ResultCode::RolloutNotFound => StatusCode::NOT_FOUND,
        code::ResultCode::OperatorForbidden => StatusCode::FORBIDDEN,
        _ => StatusCode::UNPROCESSABLE_ENTITY,
    };
    let document = super::RejectionDocument {
        code,
        outcome: "not-run",
        message: format!("{}; {}", code.meaning(), code.advice()),
        version,
        faults,
    };
    http::json_response(status, &document)
}

/// Returns the response of a process without the control role.
pub(super) fn not_control_response() -> Response<http::StreamBody> {
    let code = code::ResultCode::NotControl;
    super::not_run_response(StatusCode::SERVICE_UNAVAILABLE, code, code.meaning().into())
}

fn not_found_response(id: &str) -> Response<http::StreamBody> {
    let message = format!("there is no accepted change {id}, or it is older than what is kept");
    let code = code::ResultCode::ChangeNotFound;
    super::not_run_response(StatusCode::NOT_FOUND, code, message)
}
