//! Parses request heads and determines the framing of the body.

use bytes::{Buf, BytesMut};
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri, Version, header,
    http::{HeaderName, HeaderValue, request},
};

use super::{ConnectionLimits, body, response_writer};

/// A parsed request head.
#[derive(Debug)]
pub(super) struct RequestHead {
    pub(super) parts: request::Parts,
    pub(super) framing: body::BodyFraming,
    pub(super) options: response_writer::ResponseOptions,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
    /// Whether the connection carries no request after this one.
    pub(super) is_last: bool,
}

/// Removes a request head from the buffer. Returns `None` while it is incomplete. The error is the
/// status to respond with.
pub(super) fn parse(
    buffer: &mut BytesMut,
    limits: &ConnectionLimits,
) -> Result<Option<RequestHead>, StatusCode> {
    let mut headers = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > limits.max_head_bytes => {
            return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => {
            return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        Err(_malformed) => return Err(StatusCode::BAD_REQUEST),
    };
    if length > limits.max_head_bytes {
        return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    let parts = read_parts(&parsed).ok_or(StatusCode::BAD_REQUEST)?;
    buffer.advance(length);
    request_head(parts).map(Some).ok_or(StatusCode::BAD_REQUEST)
}

fn read_parts(parsed: &httparse::Request) -> Option<request::Parts> {
    let method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    let uri: Uri = parsed.path?.parse().ok()?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.headers_mut() = headers;
    *request.version_mut() = match parsed.version? {
        0 => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    Some(request.into_parts().0)
}

/// Determines the framing and the response options of a request. Returns `None` if the framing is
/// invalid.
///
/// With both `transfer-encoding` and `content-length` the former applies, and the connection closes
/// after the response.
fn request_head(mut parts: request::Parts) -> Option<RequestHead> {
    let is_http10 = parts.version == Version::HTTP_10;
    let is_chunked = is_chunked(&parts.headers)?;
    let length = content_length(&parts.headers)?;
    let framing = match (is_chunked, length) {
        // HTTP/1.0 has no chunked encoding, so that the framing is undefined.
        (true, _) if is_http10 => return None,
        (true, _) => body::BodyFraming::Chunked,
        (false, length) => body::BodyFraming::Length(length.unwrap_or(0)),
    };
    let is_ambiguous = is_chunked && length.is_some();
    if is_ambiguous {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let has_list_item = |name: &header::HeaderName, wanted: &str| {
        let values = parts.headers.get_all(name).iter();
        let items = values
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','));
        items
            .map(str::trim)
            .any(|item| item.eq_ignore_ascii_case(wanted))
    };
    let has_body = framing != body::BodyFraming::Length(0);
    Some(RequestHead {
        framing,
        expects_continue: has_body && !is_http10 && has_list_item(&header::EXPECT, "100-continue"),
        is_last: is_http10 || is_ambiguous || has_list_item(&header::CONNECTION, "close"),
        options: response_writer::ResponseOptions {
            is_head: parts.method == Method::HEAD,
            is_http10,
            closes_connection: is_http10
                || is_ambiguous
                || has_list_item(&header::CONNECTION, "close"),
            accepts_trailers: has_list_item(&header::TE, "trailers"),
        },
        parts,
    })
}

/// Returns whether the body has chunked encoding; `None` if it has any other transfer coding.
fn is_chunked(headers: &HeaderMap) -> Option<bool> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Some(false);
    };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    (is_chunked && codings.next().is_none()).then_some(true)
}

/// Returns the declared content length, if any. The outer `None` stands for an invalid length:
/// not a number, or several that differ.
#[expect(
    clippy::option_option,
    reason = "a missing length and an invalid one are handled differently"
)]
fn content_length(headers: &HeaderMap) -> Option<Option<u64>> {
    let mut length = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let text = value.to_str().ok()?;
        if !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        let number: u64 = text.parse().ok()?;
        if length.is_some_and(|known| known != number) {
            return None;
        }
        length = Some(number);
    }
    Some(length)
}
