//! One try of a call: at this node's own target, or offered to another node.

use std::{sync::Arc, time::Duration};

use hazeltiller_engine::calls;
use hazeltiller_units::code;
use hazeltiller_wire::calls as wire;
use hyper::{Request, Response, Uri, body::Body};
use tokio::time;

use crate::{http, owner, pool, process, response_buffer, trace};

/// Time past the deadline in which the owner node's own refusal may still come.
const DEADLINE_GRACE: Duration = Duration::from_millis(20);

/// How a try ended: an answer that has begun, or why there is none.
pub type AttemptAnswer = Result<Response<http::StreamBody>, calls::AttemptResult>;

/// Makes one try; returns what the owner node says of its target with it.
pub async fn attempt(
    context: &Arc<process::ProcessContext>,
    plan: &calls::AttemptPlan,
    parts: hyper::http::request::Parts,
    body: http::StreamBody,
) -> (AttemptAnswer, calls::AttemptReport) {
    let mut request = Request::from_parts(parts, body);
    let own = plan.candidate.address == context.credentials.identity.address;
    let began = time::Instant::now();
    let left = Duration::from_millis(u64::from(plan.offer.deadline_left_ms));
    let response = if own {
        owner::serve_local(Arc::clone(context), plan.offer.clone(), request).await
    } else {
        prepare(&mut request, plan);
        trace::send_clock(&context.clock, request.headers_mut());
        let sending = context.nodes.send(plan.candidate.address, request);
        match time::timeout(left + DEADLINE_GRACE, sending).await {
            Ok(Ok(mut response)) => {
                trace::take_clock(&context.clock, response.headers_mut());
                response.map(http::stream_body)
            }
            Ok(Err(pool::SendError::NotConnected { .. })) => {
                return without_report(calls::AttemptResult::NotReached);
            }
            Ok(Err(pool::SendError::ConnectionLost { .. })) => {
                return without_report(calls::AttemptResult::Lost);
            }
            Err(_elapsed) => return without_report(late()),
        }
    };
    let (mut answer, report) = read_answer(response);
    if !own && let Ok(response) = answer {
        answer = hold_answer(context, response, began + left + DEADLINE_GRACE).await;
    }
    if let Ok(response) = &mut answer {
        let target = plan.offer.target.as_str().parse();
        let target = target.expect("a name is a header's value");
        response.headers_mut().insert(wire::TARGET_HEADER, target);
    }
    (answer, report)
}

/// Waits until a small answer of another node is whole. One that does not tell its length is still being made,
/// perhaps of what its caller is yet to send, and streams on.
async fn hold_answer(
    context: &process::ProcessContext,
    response: Response<http::StreamBody>,
    due: time::Instant,
) -> AttemptAnswer {
    if response.body().size_hint().exact().is_none() {
        return Ok(response);
    }
    let bound = context.request_tunables.answer_hold_bytes;
    let (parts, body) = response.into_parts();
    match response_buffer::buffer(body, &parts, bound, due).await {
        Ok(body) => Ok(Response::from_parts(parts, body)),
        Err(response_buffer::BufferError::Interrupted { message }) => {
            log::debug!("answer of another node: {message}");
            Err(calls::AttemptResult::Lost)
        }
        Err(response_buffer::BufferError::DeadlineExceeded) => Err(late()),
    }
}

/// The deadline passed while the other node had the call.
fn late() -> calls::AttemptResult {
    let refusal = wire::CallRefusal::unknown(code::ResultCode::DeadlineExceeded);
    calls::AttemptResult::Refused(refusal)
}

fn without_report(result: calls::AttemptResult) -> (AttemptAnswer, calls::AttemptReport) {
    (Err(result), calls::AttemptReport::default())
}

fn prepare(request: &mut Request<http::StreamBody>, plan: &calls::AttemptPlan) {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = Uri::builder()
        .scheme("http")
        .authority(plan.candidate.address.to_string())
        .path_and_query(path.unwrap_or_else(|| "/".parse().expect("it is a path")))
        .build()
        .expect("an address and a checked path make a URI");
    *request.version_mut() = hyper::Version::HTTP_2;
    let (terms, attempt) = plan.offer.clone().split();
    let sent = wire::SentOffer {
        sent_ms: trace::boot_time().as_millis() as u64,
        attempt,
    };
    let headers = request.headers_mut();
    headers.insert(wire::TERMS_HEADER, http::record_value(&terms));
    headers.insert(wire::OFFER_HEADER, http::unindexed_value(&sent));
}

/// Tells a refusal of the owner node from an answer of its target, and takes what the owner node says
/// of loads off it.
fn read_answer(mut response: Response<http::StreamBody>) -> (AttemptAnswer, calls::AttemptReport) {
    let bytes = response.body().size_hint().lower();
    let headers = response.headers_mut();
    let load = http::take_record(headers, wire::LOAD_HEADER);
    let refusal: Option<wire::CallRefusal> = http::take_record(headers, wire::REFUSAL_HEADER);
    let report = calls::AttemptReport { load, bytes };
    match refusal {
        Some(refusal) => (Err(calls::AttemptResult::Refused(refusal)), report),
        None => (Ok(response), report),
    }
}
