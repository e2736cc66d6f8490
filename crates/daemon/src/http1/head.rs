//! The head of a request, and where its body ends.

use bytes::{Buf, BytesMut};
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri, Version, header,
    http::{HeaderName, HeaderValue, request},
};

use super::{ConnectionLimits, answer, body};

/// A head that was read.
#[derive(Debug)]
pub(super) struct RequestHead {
    pub(super) parts: request::Parts,
    pub(super) framing: body::BodyFraming,
    pub(super) form: answer::AnswerForm,
    /// Whether the caller waits for a word before it sends the body.
    pub(super) expects_continue: bool,
    /// Whether no request may follow on the connection.
    pub(super) is_last: bool,
}

/// Takes a head off the buffer; `None` while it is not there in full. A fault is the status that
/// says so.
pub(super) fn parse(
    buffer: &mut BytesMut,
    limits: &ConnectionLimits,
) -> Result<Option<RequestHead>, StatusCode> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut parsed = httparse::Request::new(&mut lines);
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
    describe(parts).map(Some).ok_or(StatusCode::BAD_REQUEST)
}

fn read_parts(parsed: &httparse::Request) -> Option<request::Parts> {
    let method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    let target: Uri = parsed.path?.parse().ok()?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for line in parsed.headers.iter() {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(line.value).ok()?);
    }
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = target;
    *request.headers_mut() = headers;
    *request.version_mut() = match parsed.version? {
        0 => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    Some(request.into_parts().0)
}

fn describe(mut parts: request::Parts) -> Option<RequestHead> {
    let is_old = parts.version == Version::HTTP_10;
    let is_chunked = is_chunked(&parts.headers)?;
    let length = content_length(&parts.headers)?;
    let framing = match (is_chunked, length) {
        // Old callers know no chunks: what they mean by them is anybody's guess.
        (true, _) if is_old => return None,
        (true, _) => body::BodyFraming::Chunked,
        (false, length) => body::BodyFraming::Length(length.unwrap_or(0)),
    };
    let is_ambiguous = is_chunked && length.is_some();
    if is_ambiguous {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let asks = |name: &header::HeaderName, wanted: &str| {
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
        expects_continue: has_body && !is_old && asks(&header::EXPECT, "100-continue"),
        is_last: is_old || is_ambiguous || asks(&header::CONNECTION, "close"),
        form: answer::AnswerForm {
            is_head: parts.method == Method::HEAD,
            is_old,
            closes: is_old || is_ambiguous || asks(&header::CONNECTION, "close"),
            takes_trailers: asks(&header::TE, "trailers"),
        },
        parts,
    })
}

/// Whether the body comes in chunks; `None` where its coding is another one.
fn is_chunked(headers: &HeaderMap) -> Option<bool> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Some(false);
    };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    (is_chunked && codings.next().is_none()).then_some(true)
}

/// The length that the head names; `None` where it is no number or several differ.
#[expect(
    clippy::option_option,
    reason = "no length and an ambiguous one differ"
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
