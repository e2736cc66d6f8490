//! Changes of the catalogue: who may send one, what it is answered, which were accepted.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_catalogue::change;
use hazeltiller_engine::{replication, settings};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::replication as wire;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header};
use serde::Serialize;
use tokio::time;

use crate::{http, process, questions};

/// Largest change, in bytes: the largest document and as much for its entries.
const LARGEST_CHANGE: usize = 2 * hazeltiller_wire::document::LARGEST_DOCUMENT;
const BEARER_PREFIX: &str = "Bearer ";

/// An accepted change as it is listed.
#[derive(Debug, Serialize)]
struct AcceptedDocument {
    version: ids::CatalogueVersion,
    change_id: ids::ChangeId,
    accepted_at_ms: u64,
    operator: Option<ids::OperatorName>,
}

/// The accepted changes that are remembered.
#[derive(Debug, Serialize)]
struct HistoryDocument {
    changes: Vec<AcceptedDocument>,
}

/// The revision in place.
#[derive(Debug, Serialize)]
struct RevisionDocument {
    version: ids::CatalogueVersion,
    #[serde(flatten)]
    revision: change::CatalogueRevision,
}

/// Gives the revision in place, proven to be so by a majority.
pub(super) async fn revision(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let here = context.engine.read_revision();
    answer_response(settle(context, here, questions::LeaderQuestion::Revision).await)
}

/// Takes a change.
pub(super) async fn propose(
    context: &process::ProcessContext,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let author = match author(context, from, request.headers()) {
        Ok(author) => author,
        Err(code) => return refused(code, Vec::new(), ids::CatalogueVersion::default()),
    };
    let request: change::ChangeRequest = match read_body(request).await {
        Ok(request) => request,
        Err(fault) => return fault.response(),
    };
    let change = questions::ForwardedChange { author, request };
    let question = questions::LeaderQuestion::Propose(change.clone());
    let here = context.engine.propose(change.into_proposal());
    answer_response(settle(context, here, question).await)
}

/// Lists the accepted changes.
pub(super) async fn history(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let document = context.engine.inspect(|state| {
        let replication = state.replication.as_ref()?;
        let changes = replication.history().map(accepted_document).collect();
        Some(HistoryDocument { changes })
    });
    match document.await.flatten() {
        Some(document) => http::json_response(StatusCode::OK, &document),
        None => not_control(),
    }
}

/// Gives one accepted change.
pub(super) async fn one_change(
    context: &process::ProcessContext,
    id: &str,
) -> Response<http::StreamBody> {
    let Ok(id) = id.parse::<ids::ChangeId>() else {
        return not_found(id);
    };
    let wanted = id.clone();
    let document = context.engine.inspect(move |state| {
        let replication = state.replication.as_ref()?;
        Some(replication.accepted(&wanted).map(accepted_document))
    });
    match document.await.flatten() {
        Some(Some(document)) => http::json_response(StatusCode::OK, &document),
        Some(None) => not_found(id.as_str()),
        None => not_control(),
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

/// Who a request is from. Without a token file the machine itself is trusted and nobody else.
pub(super) fn author(
    context: &process::ProcessContext,
    from: SocketAddr,
    headers: &HeaderMap,
) -> Result<replication::ChangeAuthor, code::ResultCode> {
    let bearer = headers.get(header::AUTHORIZATION);
    let bearer = bearer.and_then(|value| value.to_str().ok()?.strip_prefix(BEARER_PREFIX));
    match (bearer, context.administrator_hash) {
        (Some(token), administrator) => {
            let hash = change::token_hash(token.trim());
            if administrator == Some(hash) {
                Ok(replication::ChangeAuthor::Administrator)
            } else {
                Ok(replication::ChangeAuthor::Holder(hash))
            }
        }
        (None, None) if from.ip().is_loopback() => Ok(replication::ChangeAuthor::Administrator),
        (None, _) => Err(code::ResultCode::OperatorUnknown),
    }
}

/// Why a body was not read.
pub(super) struct BodyFault {
    status: StatusCode,
    message: String,
}

impl BodyFault {
    /// The answer that says so.
    pub(super) fn response(self) -> Response<http::StreamBody> {
        super::refusal(self.status, code::ResultCode::EntryInvalid, self.message)
    }
}

/// Reads a JSON body, or says what is wrong with it.
pub(super) async fn read_body<T: serde::de::DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, BodyFault> {
    let fault = |status, message| BodyFault { status, message };
    let body = Limited::new(request.into_body(), LARGEST_CHANGE);
    let bytes = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Err(fault(StatusCode::BAD_REQUEST, error.to_string())),
    };
    serde_json::from_slice(&bytes)
        .map_err(|error| fault(StatusCode::UNPROCESSABLE_ENTITY, error.to_string()))
}

/// Waits for the answer of this control, or of the leader where this one is not it.
pub(super) async fn settle(
    context: &process::ProcessContext,
    here: impl Future<Output = replication::ProposalAnswer>,
    question: questions::LeaderQuestion,
) -> replication::ProposalAnswer {
    let patience = settings::millis(context.operator_timeout_ms);
    let unknown = replication::ProposalAnswer::Unknown;
    let answer = time::timeout(patience, here).await;
    match answer.unwrap_or(unknown) {
        replication::ProposalAnswer::Elsewhere(leader) => {
            // The leader's own bound comes first, so that its word is heard.
            let patience = patience + Duration::from_secs(1);
            questions::ask(context, leader, question, patience).await
        }
        answer => answer,
    }
}

/// The HTTP answer to a proposal.
pub(super) fn answer_response(answer: replication::ProposalAnswer) -> Response<http::StreamBody> {
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
        } => refused(code, faults, version),
        replication::ProposalAnswer::Elsewhere(_) => refused(
            code::ResultCode::LeaderUnknown,
            Vec::new(),
            ids::CatalogueVersion::default(),
        ),
        replication::ProposalAnswer::Unknown => {
            let code = code::ResultCode::OutcomeUnknown;
            let document = super::RefusedChange {
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

fn refused(
    code: code::ResultCode,
    faults: Vec<change::CatalogueFault>,
    version: ids::CatalogueVersion,
) -> Response<http::StreamBody> {
    let status = match code {
        code::ResultCode::VersionClash
        | code::ResultCode::RevisionClash
        | code::ResultCode::RevisionOld
        | code::ResultCode::ChangeIdReused
        | code::ResultCode::RolloutUnderWay
        | code::ResultCode::RolloutNeedless
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
    let document = super::RefusedChange {
        code,
        outcome: "not-run",
        message: format!("{}; {}", code.meaning(), code.advice()),
        version,
        faults,
    };
    http::json_response(status, &document)
}

/// The answer of a process without the control role.
pub(super) fn not_control() -> Response<http::StreamBody> {
    let code = code::ResultCode::NotControl;
    super::refusal(StatusCode::SERVICE_UNAVAILABLE, code, code.meaning().into())
}

fn not_found(id: &str) -> Response<http::StreamBody> {
    let message = format!("there is no accepted change {id}, or it is older than what is kept");
    let code = code::ResultCode::ChangeNotFound;
    super::refusal(StatusCode::NOT_FOUND, code, message)
}
