//! Helpers shared by all HTTP listeners and clients of the process: bodies, JSON responses,
//! refusals and headers.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use hazeltiller_units::code;
use hazeltiller_wire::{calls as wire, codec};
use http_body_util::{BodyExt, BodyStream, Full, Limited, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, body::Frame, header};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

/// Error while a body is read, for instance because its sender disconnected.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or response that is passed on.
pub type StreamBody = UnsyncBoxBody<Bytes, BodyError>;

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> StreamBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Boxes a streaming body.
pub fn stream_body<B>(body: B) -> StreamBody
where
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// Returns a body that yields bytes that have already been read, then streams the rest.
pub fn chain_body(first: Bytes, rest: StreamBody) -> StreamBody {
    chain_frames([Frame::data(first)], rest)
}

/// Returns a body that yields frames that have already been read, then streams the rest.
pub fn chain_frames<I>(first: I, rest: StreamBody) -> StreamBody
where
    I: IntoIterator<Item = Frame<Bytes>>,
    I::IntoIter: Send + 'static,
{
    let first = stream::iter(first.into_iter().map(Ok));
    http_body_util::StreamBody::new(first.chain(BodyStream::new(rest))).boxed_unsync()
}

/// Collects a body of at most `max_bytes` that comes within a time.
pub async fn collect_body<B>(
    body: B,
    max_bytes: usize,
    max_time: Duration,
) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body,
    B::Error: Into<BodyError>,
{
    let collecting = Limited::new(body, max_bytes).collect();
    Ok(time::timeout(max_time, collecting).await??.to_bytes())
}

/// Returns a response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<StreamBody> {
    let text = serde_json::to_vec(value).expect("response documents have only string keys");
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// JSON body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalDocument<'a> {
    code: code::ResultCode,
    outcome: &'a str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    limit: Option<String>,
}

/// Returns the response that reports a refusal to a caller.
pub fn refusal_response(refusal: &wire::CallRefusal) -> Response<StreamBody> {
    let outcome = refusal.outcome.as_str();
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
        .expect("a result code is a valid header value");
    headers.insert(wire::CODE_HEADER, code);
    headers.insert(
        wire::OUTCOME_HEADER,
        header::HeaderValue::from_static(outcome),
    );
    if let Some(limit) = &document.limit {
        let limit = limit
            .parse()
            .expect("entry names are valid in a header value");
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
        code::ResultCode::KeyUnknown => StatusCode::UNAUTHORIZED,
        code::ResultCode::RateExceeded | code::ResultCode::AllowanceExceeded => {
            StatusCode::TOO_MANY_REQUESTS
        }
        code::ResultCode::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
        code::ResultCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        code::ResultCode::TargetFailed
        | code::ResultCode::PeerLost
        | code::ResultCode::MalformedAnswer => StatusCode::BAD_GATEWAY,
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

/// Returns whether a response head declares a length beside a transfer coding (RFC 9112, 6.3). Whoever
/// reads the body by the other of the two finds its end elsewhere.
pub fn has_two_framings(headers: &hyper::HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) && headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether a status is that of a final response (RFC 9110, 15). No request is sent that asks for
/// an upgrade, so that 101 is none either.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns about the number of bytes that headers hold in memory.
pub fn headers_bytes(headers: &hyper::HeaderMap) -> u64 {
    let line_bytes = |(name, value): (&header::HeaderName, &header::HeaderValue)| {
        name.as_str().len() + value.len()
    };
    headers.iter().map(line_bytes).sum::<usize>() as u64
}

/// Removes hop-by-hop headers, which apply to one connection only. `TE: trailers` is retained.
pub fn strip_hop_by_hop_headers(headers: &mut hyper::HeaderMap) {
    let accepts_trailers =
        comma_separated_items(headers, &header::TE).any(|item| item == "trailers");
    let connection_options: Vec<header::HeaderName> =
        comma_separated_items(headers, &header::CONNECTION)
            .filter_map(|name| name.parse().ok())
            .collect();
    for name in connection_options {
        headers.remove(name);
    }
    let hop_by_hop = [
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
    for name in hop_by_hop {
        headers.remove(name);
    }
    if accepts_trailers {
        headers.insert(header::TE, header::HeaderValue::from_static("trailers"));
    }
}

/// Removes internal headers, so that callers and targets cannot inject them.
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
    name.starts_with(wire::HEADER_PREFIX) || name.starts_with(wire::LINK_HEADER_PREFIX)
}

/// Encodes a record as a header value.
pub fn header_value<T: Serialize>(record: &T) -> header::HeaderValue {
    let text = codec::encode_header(record);
    text.parse().expect("base64 is a valid header value")
}

/// Encodes a record that differs in each message as a header value.
///
/// The value is marked as sensitive, so that HPACK does not index it: it would only evict values
/// that repeat.
pub fn unindexed_value<T: Serialize>(record: &T) -> header::HeaderValue {
    let mut value = header_value(record);
    value.set_sensitive(true);
    value
}

/// Removes a header and decodes its record. Returns `None` if it is missing or cannot be decoded.
pub fn take_record<T: DeserializeOwned>(headers: &mut hyper::HeaderMap, name: &str) -> Option<T> {
    let value = headers.remove(name)?;
    codec::decode_header(value.to_str().ok()?).ok()
}

/// Returns the items of a comma-separated list header.
fn comma_separated_items<'a>(
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
