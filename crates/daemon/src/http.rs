//! What every HTTP side of the process shares: bodies, answers, refusals.

use bytes::Bytes;
use futures_util::stream;
use hazeltiller_units::code;
use hazeltiller_wire::{calls as wire, codec};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, header};
use serde::{Serialize, de::DeserializeOwned};

/// Error of a body that broke off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of an answer or of a request that is passed on.
pub type StreamBody = UnsyncBoxBody<Bytes, BodyError>;

/// A body of these bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> StreamBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that streams on.
pub fn stream_body<B>(body: B) -> StreamBody
where
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// A body of bytes that were read already and the rest that streams on.
pub fn chain(first: Bytes, rest: StreamBody) -> StreamBody {
    let first = full_body(first);
    let frames = stream::unfold((Some(first), rest), |(mut first, mut rest)| async move {
        if let Some(body) = &mut first {
            if let Some(frame) = body.frame().await {
                return Some((frame, (first, rest)));
            }
            first = None;
        }
        let frame = rest.frame().await?;
        Some((frame, (first, rest)))
    });
    http_body_util::StreamBody::new(frames).boxed_unsync()
}

/// An answer in JSON.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<StreamBody> {
    let text = serde_json::to_vec(value).expect("answers have only text keys");
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalDocument<'a> {
    code: code::ResultCode,
    outcome: &'a str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    limit: Option<String>,
}

/// The answer that tells a caller of a refusal.
pub fn refusal_response(refusal: &wire::CallRefusal) -> Response<StreamBody> {
    let outcome = refusal.outcome.word();
    let message = format!("{}; {}", refusal.code.meaning(), refusal.code.advice());
    let document = RefusalDocument {
        code: refusal.code,
        outcome,
        message,
        limit: refusal.limit.as_ref().map(ToString::to_string),
    };
    let mut response = json_response(refusal_status(refusal.code), &document);
    let headers = response.headers_mut();
    let code = refusal
        .code
        .to_string()
        .parse()
        .expect("a code is a header's value");
    headers.insert(wire::CODE_HEADER, code);
    headers.insert(
        wire::OUTCOME_HEADER,
        header::HeaderValue::from_static(outcome),
    );
    if let Some(limit) = &document.limit {
        let limit = limit.parse().expect("names are a header's value");
        headers.insert(wire::LIMIT_HEADER, limit);
    }
    if refusal.retry_after_ms > 0 {
        let seconds = refusal.retry_after_ms.div_ceil(1000);
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    response
}

fn refusal_status(code: code::ResultCode) -> StatusCode {
    match code {
        code::ResultCode::RouteNotFound => StatusCode::NOT_FOUND,
        code::ResultCode::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
        code::ResultCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        code::ResultCode::TargetFailed | code::ResultCode::PeerLost => StatusCode::BAD_GATEWAY,
        code::ResultCode::RequestMalformed => StatusCode::BAD_REQUEST,
        code::ResultCode::RunInProgress
        | code::ResultCode::RunAlreadyDone
        | code::ResultCode::ProofMissing => StatusCode::CONFLICT,
        code::ResultCode::RequestTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        code::ResultCode::BodyTooLarge | code::ResultCode::BodyOverLimit => {
            StatusCode::PAYLOAD_TOO_LARGE
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Headers that belong to one connection and are never passed on; a wish for trailers stays.
pub fn strip_hop_headers(headers: &mut hyper::HeaderMap) {
    let wants_trailers = list_items(headers, &header::TE).any(|item| item == "trailers");
    let named: Vec<header::HeaderName> = list_items(headers, &header::CONNECTION)
        .filter_map(|name| name.parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let hop = [
        header::CONNECTION,
        header::TE,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::HeaderName::from_static("keep-alive"),
        header::HeaderName::from_static("proxy-connection"),
        header::HeaderName::from_static("http2-settings"),
    ];
    for name in hop {
        headers.remove(name);
    }
    if wants_trailers {
        headers.insert(header::TE, header::HeaderValue::from_static("trailers"));
    }
}

/// Headers that only the system's own processes set; callers and targets cannot pass them in.
pub fn strip_internal_headers(headers: &mut hyper::HeaderMap) {
    let internal: Vec<header::HeaderName> = headers
        .keys()
        .filter(|name| is_internal(name.as_str()))
        .cloned()
        .collect();
    for name in internal {
        headers.remove(name);
    }
}

fn is_internal(name: &str) -> bool {
    name.starts_with(wire::HEADER_PREFIX) || name.starts_with(wire::LINK_PREFIX)
}

/// A record as a header's value.
pub fn record_value<T: Serialize>(record: &T) -> header::HeaderValue {
    let text = codec::encode_header(record);
    text.parse().expect("base64 is a header's value")
}

/// A record that is never the same twice as a header's value: the header compression of a connection
/// does not keep it, for it would only push out what repeats.
pub fn unindexed_value<T: Serialize>(record: &T) -> header::HeaderValue {
    let mut value = record_value(record);
    value.set_sensitive(true);
    value
}

/// Takes the record of a header; `None` where there is none that can be read.
pub fn take_record<T: DeserializeOwned>(headers: &mut hyper::HeaderMap, name: &str) -> Option<T> {
    let value = headers.remove(name)?;
    codec::decode_header(value.to_str().ok()?).ok()
}

fn list_items<'a>(
    headers: &'a hyper::HeaderMap,
    name: &header::HeaderName,
) -> impl Iterator<Item = &'a str> {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
}
