//! Stores the response of a claimed request, if it is small enough, to answer resends of the
//! request.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use hazeltiller_engine::{event, ledger};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire, ledger as wire_ledger};
use http_body_util::{BodyExt, StreamBody};
use hyper::{HeaderMap, Response, StatusCode, body::Frame, header};

use crate::{http, process};

/// Result of reading a response body into memory.
enum BufferedBody {
    /// The data and the trailers.
    Complete(Bytes, Option<HeaderMap>),
    /// The data read so far and the rest of the stream.
    TooLarge(Bytes, http::StreamBody),
    /// The stream ended early.
    Truncated,
}

/// Reports a claimed request to the ledger as answered, with its response if that can be stored,
/// and returns the response. Returns a refusal instead of a truncated response.
pub async fn store(
    context: &Arc<process::ProcessContext>,
    call: ids::CallId,
    response: Response<http::StreamBody>,
) -> Response<http::StreamBody> {
    let (parts, body) = response.into_parts();
    let max_bytes = context.max_stored_response_bytes as usize;
    let (stored, body) = match read(body, max_bytes).await {
        BufferedBody::Complete(bytes, None) => {
            let headers = parts.headers.iter();
            let stored = wire_ledger::StoredAnswer {
                status: parts.status.as_u16(),
                headers: headers
                    .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
                    .collect(),
                body: bytes.to_vec(),
            };
            (Some(stored), http::full_body(bytes))
        }
        // A stored response has no trailers, so that this one cannot be stored.
        BufferedBody::Complete(bytes, Some(trailers)) => {
            let frames = [Frame::data(bytes), Frame::trailers(trailers)];
            let frames = frames.map(Ok::<_, http::BodyError>);
            let body = StreamBody::new(stream::iter(frames));
            (None, body.boxed_unsync())
        }
        BufferedBody::TooLarge(bytes, rest) => (None, http::chain_body(bytes, rest)),
        BufferedBody::Truncated => {
            let code = code::ResultCode::TargetFailed;
            return http::refusal_response(&wire::CallRefusal::unknown(code));
        }
    };
    let answered = ledger::LedgerEvent::Answered {
        call,
        answer: stored,
    };
    context.engine.tell(event::Event::Ledger(answered));
    Response::from_parts(parts, body)
}

/// Rebuilds the response to an earlier send of the same request.
pub fn replay(stored: wire_ledger::StoredAnswer) -> Response<http::StreamBody> {
    let mut response = Response::new(http::full_body(stored.body));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for (name, value) in stored.headers {
        let name = header::HeaderName::try_from(name);
        let value = header::HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

async fn read(mut body: http::StreamBody, max_bytes: usize) -> BufferedBody {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return BufferedBody::Truncated;
        };
        match frame.into_data() {
            Ok(data) => bytes.extend_from_slice(&data),
            Err(frame) => {
                return BufferedBody::Complete(bytes.freeze(), frame.into_trailers().ok());
            }
        }
        if bytes.len() > max_bytes {
            return BufferedBody::TooLarge(bytes.freeze(), body);
        }
    }
    BufferedBody::Complete(bytes.freeze(), None)
}
