//! The native dialect: the default interface towards callers and targets.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_engine::{membership, signals};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire, membership as wire_membership};
use hyper::{HeaderMap, Method, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use super::{
    AttemptMetadata, CallDialect, CallHead, HeaderError, RequestError, ResponseVerdict,
    TargetDialect, TargetRequest, api_key, signals_in, single_value,
};
use crate::{http as bodies, trace};

const ANNOUNCE_PATH: &str = "/v1/announce";
/// Header of a target's responses with the requests per second that it takes from all nodes
/// together.
const RATE_LIMIT_HEADER: &str = "target-rate-limit";
/// Header of a target's responses that says that it leaves.
const LEAVING_HEADER: &str = "target-leaving";
/// Header of the response of a target that did not run the request. It counts only beside the id of
/// the request.
const DECLINED_HEADER: &str = "target-declined";
/// Authorization scheme of API keys.
const KEY_SCHEME: &str = "Bearer";

/// Call metadata in the native headers.
#[derive(Debug, Clone, Copy)]
pub struct NativeCalls;

impl CallDialect for NativeCalls {
    fn read_head(&self, headers: &HeaderMap) -> Result<CallHead, HeaderError> {
        let deadline = single_value(headers, wire::DEADLINE_HEADER)?;
        let deadline: Option<u64> = deadline
            .map(str::parse)
            .transpose()
            .map_err(|_no_number| HeaderError)?;
        let attempt = single_value(headers, wire::ATTEMPT_HEADER)?;
        Ok(CallHead {
            request: trace::request_id(headers),
            deadline_left: deadline.map(Duration::from_millis),
            key: single_value(headers, wire::IDEMPOTENCY_KEY_HEADER)?.map(Into::into),
            attempt: attempt.and_then(|value| value.parse().ok()),
            api_key: api_key(headers, KEY_SCHEME)?,
        })
    }

    fn strip_api_key(&self, headers: &mut HeaderMap) {
        headers.remove(header::AUTHORIZATION);
    }

    fn set_target_headers(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata) {
        let time_left = metadata.deadline_left.as_millis() as u64;
        headers.insert(wire::DEADLINE_HEADER, time_left.into());
        headers.insert(wire::ATTEMPT_HEADER, metadata.attempt.into());
        if let Some(organisation) = &metadata.organisation {
            let name = organisation.as_str().parse();
            let name = name.expect("an entry name is a valid header value");
            headers.insert(wire::ORGANISATION_HEADER, name);
        }
    }

    fn check_response(
        &self,
        head: &http::response::Parts,
        metadata: &AttemptMetadata,
    ) -> ResponseVerdict {
        // Targets need not echo the id. One that differs shows that the response is a late one to an
        // earlier request.
        let Ok(echo) = single_value(&head.headers, wire::REQUEST_HEADER) else {
            return ResponseVerdict::Invalid;
        };
        if echo.is_some_and(|id| id != metadata.request.as_str()) {
            return ResponseVerdict::Invalid;
        }
        if echo.is_some() && head.headers.contains_key(DECLINED_HEADER) {
            return ResponseVerdict::Declined;
        }
        ResponseVerdict::Valid
    }

    fn is_healthy(&self, head: &http::response::Parts, _target: &ids::TargetName) -> bool {
        head.status.is_success()
    }

    fn read_signals(&self, headers: &HeaderMap) -> signals::ResponseSignals {
        signals_in(headers, RATE_LIMIT_HEADER, LEAVING_HEADER)
    }

    fn set_caller_headers(&self, headers: &mut HeaderMap, request: &ids::RequestId) {
        trace::set_request_id(headers, request);
    }

    fn refuse(
        &self,
        refusal: &wire::CallRefusal,
        request: &ids::RequestId,
    ) -> Response<bodies::StreamBody> {
        let mut response = bodies::refusal_response(refusal);
        trace::set_request_id(response.headers_mut(), request);
        response
    }
}

/// JSON body of a target's announcement.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnounceDocument {
    service: ids::EntryName,
    name: ids::TargetName,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    state: wire_membership::TargetState,
    lease_ms: u32,
    /// Number that grows with each restart of the target, if it reports one.
    #[serde(default)]
    incarnation: ids::IncarnationNumber,
    /// Number that grows with each announcement of an incarnation, if the target numbers them. Only
    /// numbered announcements can be told from delayed ones.
    #[serde(default)]
    sequence: Option<u64>,
    /// Version of the target's software, if it reports one.
    #[serde(default)]
    version: Option<ids::SoftwareVersion>,
}

/// JSON body of the response to a rejected announcement.
#[derive(Debug, Serialize)]
struct AnnounceFault {
    code: code::ResultCode,
    message: String,
}

/// Announcements as native JSON documents.
#[derive(Debug, Clone, Copy)]
pub struct NativeTargets;

impl TargetDialect for NativeTargets {
    fn read(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<TargetRequest, RequestError> {
        let name = path
            .strip_prefix(ANNOUNCE_PATH)
            .and_then(|rest| rest.strip_prefix('/'));
        match (method, name) {
            (&Method::POST, None) if path == ANNOUNCE_PATH => read_announcement(body),
            (&Method::DELETE, Some(name)) => {
                let name = name.parse();
                let name = name.map_err(|error: ids::NameError| malformed(error.to_string()))?;
                Ok(TargetRequest::Withdraw(name))
            }
            _ => Err(RequestError {
                is_unknown_endpoint: true,
                ..malformed(format!(
                    "POST {ANNOUNCE_PATH} and DELETE {ANNOUNCE_PATH}/NAME are served"
                ))
            }),
        }
    }

    fn accept(&self) -> Response<bodies::StreamBody> {
        bodies::json_response(StatusCode::OK, &serde_json::json!({}))
    }

    fn refuse(&self, rejection: &RequestError) -> Response<bodies::StreamBody> {
        let status = if rejection.is_unknown_endpoint {
            StatusCode::NOT_FOUND
        } else {
            StatusCode::UNPROCESSABLE_ENTITY
        };
        let document = AnnounceFault {
            code: rejection.code,
            message: rejection.message.clone(),
        };
        bodies::json_response(status, &document)
    }
}

fn read_announcement(body: &[u8]) -> Result<TargetRequest, RequestError> {
    let document: AnnounceDocument =
        serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))?;
    if document.slots == 0 || document.connections == 0 || document.lease_ms == 0 {
        let message = "slots, connections and lease_ms are at least 1";
        return Err(malformed(message.into()));
    }
    let record = wire_membership::TargetRecord {
        name: document.name,
        service: document.service,
        address: document.address,
        slots: document.slots,
        connections: document.connections,
        state: document.state,
        incarnation: document.incarnation,
        version: document.version,
    };
    let lease = Duration::from_millis(u64::from(document.lease_ms));
    Ok(TargetRequest::Announce(membership::TargetAnnouncement {
        record,
        lease,
        sequence: document.sequence,
        warm_up_left: Duration::ZERO,
    }))
}

fn malformed(message: String) -> RequestError {
    RequestError {
        code: code::ResultCode::RequestMalformed,
        message,
        is_unknown_endpoint: false,
    }
}
