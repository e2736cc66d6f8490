//! The answer of a claimed request: read whole where it is small enough, kept for resends.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use hazeltiller_engine::{event, ledger};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire, ledger as wire_ledger};
use http_body_util::{BodyExt, StreamBody};
use hyper::{HeaderMap, Response, StatusCode, body::Frame, header};

use crate::{http, process};

/// An answer as far as it was read.
enum ReadAnswer {
    Whole(Bytes, Option<HeaderMap>),
    /// What was read, and the rest.
    Large(Bytes, http::StreamBody),
    Broken,
}

/// Reads an answer, has it kept and returns it.
pub async fn keep_answer(
    context: &Arc<process::ProcessContext>,
    call: ids::CallId,
    answer: Response<http::StreamBody>,
) -> Response<http::StreamBody> {
    let (parts, body) = answer.into_parts();
    let bound = context.max_kept_answer_bytes as usize;
    let (kept, body) = match read(body, bound).await {
        ReadAnswer::Whole(bytes, None) => {
            let lines = parts.headers.iter();
            let kept = wire_ledger::KeptAnswer {
                status: parts.status.as_u16(),
                headers: lines
                    .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
                    .collect(),
                body: bytes.to_vec(),
            };
            (Some(kept), http::full_body(bytes))
        }
        ReadAnswer::Whole(bytes, Some(trailers)) => {
            let frames = [Frame::data(bytes), Frame::trailers(trailers)];
            let frames = frames.map(Ok::<_, http::BodyError>);
            let body = StreamBody::new(stream::iter(frames));
            (None, body.boxed_unsync())
        }
        ReadAnswer::Large(bytes, rest) => (None, http::chain(bytes, rest)),
        ReadAnswer::Broken => {
            let code = code::ResultCode::TargetFailed;
            return http::refusal_response(&wire::CallRefusal::unknown(code));
        }
    };
    let answered = ledger::LedgerEvent::Answered { call, answer: kept };
    context.engine.tell(event::Event::Ledger(answered));
    Response::from_parts(parts, body)
}

/// The answer of an earlier send.
pub fn replay(kept: wire_ledger::KeptAnswer) -> Response<http::StreamBody> {
    let mut response = Response::new(http::full_body(kept.body));
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    for (name, value) in kept.headers {
        let name = header::HeaderName::try_from(name);
        let value = header::HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

async fn read(mut body: http::StreamBody, bound: usize) -> ReadAnswer {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return ReadAnswer::Broken;
        };
        match frame.into_data() {
            Ok(data) => bytes.extend_from_slice(&data),
            Err(frame) => return ReadAnswer::Whole(bytes.freeze(), frame.into_trailers().ok()),
        }
        if bytes.len() > bound {
            return ReadAnswer::Large(bytes.freeze(), body);
        }
    }
    ReadAnswer::Whole(bytes.freeze(), None)
}
