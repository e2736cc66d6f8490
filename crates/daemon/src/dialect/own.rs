//! The project's own interface.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_engine::membership;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire, membership as wire_membership};
use hyper::{HeaderMap, Method, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::{
    AnswerVerdict, CallDialect, CallHead, HeadFault, TargetDialect, TargetOrder, TargetWish,
    WishFault, single_text,
};
use crate::{http as bodies, trace};

const ANNOUNCE_PATH: &str = "/v1/announce";

/// Calls in the project's own headers.
#[derive(Debug, Clone, Copy)]
pub struct OwnCalls;

impl CallDialect for OwnCalls {
    fn read_head(&self, headers: &HeaderMap) -> Result<CallHead, HeadFault> {
        let deadline = single_text(headers, wire::DEADLINE_HEADER)?;
        let deadline: Option<u64> = deadline
            .map(str::parse)
            .transpose()
            .map_err(|_no_number| HeadFault)?;
        let attempt = single_text(headers, wire::ATTEMPT_HEADER)?;
        Ok(CallHead {
            request: trace::read(headers),
            deadline_left: deadline.map(Duration::from_millis),
            key: single_text(headers, wire::KEY_HEADER)?.map(Into::into),
            attempt: attempt.and_then(|value| value.parse().ok()),
        })
    }

    fn tell_target(&self, headers: &mut HeaderMap, order: &TargetOrder) {
        let left = order.deadline_left.as_millis() as u64;
        headers.insert(wire::DEADLINE_HEADER, left.into());
        headers.insert(wire::ATTEMPT_HEADER, order.attempt.into());
    }

    fn judge_answer(&self, _head: &http::response::Parts, _order: &TargetOrder) -> AnswerVerdict {
        AnswerVerdict::Sound
    }

    fn tell_caller(&self, headers: &mut HeaderMap, request: &ids::RequestId) {
        trace::label(headers, request);
    }

    fn refuse(
        &self,
        refusal: &wire::CallRefusal,
        request: &ids::RequestId,
    ) -> Response<bodies::StreamBody> {
        let mut response = bodies::refusal_response(refusal);
        trace::label(response.headers_mut(), request);
        response
    }
}

/// A target's announcement as it stands in the request.
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
    /// Its life under this name, where it tells: larger after each restart.
    #[serde(default)]
    incarnation: ids::IncarnationNumber,
    /// Version of its software, where it tells.
    #[serde(default)]
    version: Option<ids::SoftwareVersion>,
}

/// A refusal of an announcement.
#[derive(Debug, Serialize)]
struct AnnounceFault {
    code: code::ResultCode,
    message: String,
}

/// Announcements in the project's own documents.
#[derive(Debug, Clone, Copy)]
pub struct OwnTargets;

impl TargetDialect for OwnTargets {
    fn read(&self, method: &Method, path: &str, body: &[u8]) -> Result<TargetWish, WishFault> {
        let name = path
            .strip_prefix(ANNOUNCE_PATH)
            .and_then(|rest| rest.strip_prefix('/'));
        match (method, name) {
            (&Method::POST, None) if path == ANNOUNCE_PATH => read_announcement(body),
            (&Method::DELETE, Some(name)) => {
                let name = name.parse();
                let name = name.map_err(|error: ids::NameError| malformed(error.to_string()))?;
                Ok(TargetWish::Withdraw(name))
            }
            _ => Err(WishFault {
                is_unknown: true,
                ..malformed(format!(
                    "POST {ANNOUNCE_PATH} and DELETE {ANNOUNCE_PATH}/NAME are served"
                ))
            }),
        }
    }

    fn accept(&self) -> Response<bodies::StreamBody> {
        bodies::json_response(StatusCode::OK, &serde_json::json!({}))
    }

    fn refuse(&self, fault: &WishFault) -> Response<bodies::StreamBody> {
        let status = if fault.is_unknown {
            StatusCode::NOT_FOUND
        } else {
            StatusCode::UNPROCESSABLE_ENTITY
        };
        let document = AnnounceFault {
            code: fault.code,
            message: fault.message.clone(),
        };
        bodies::json_response(status, &document)
    }
}

fn read_announcement(body: &[u8]) -> Result<TargetWish, WishFault> {
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
    Ok(TargetWish::Announce(membership::TargetAnnouncement {
        record,
        lease,
        sequence: None,
        warm_up_left: Duration::ZERO,
    }))
}

fn malformed(message: String) -> WishFault {
    WishFault {
        code: code::ResultCode::RequestMalformed,
        message,
        is_unknown: false,
    }
}
