//! One attempt of a call: run at a local target, or offered to the owner node of the target.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hazeltiller_engine::{bandwidth, calls, event, signals, timeline};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire, signals as wire_signals};
use hyper::{HeaderMap, Request, Response, Uri, body::Body};
use tokio::time;

use super::placement;
use crate::{http, link_shares, owner, pool, process, response_buffer, trace};

/// Extra time after the deadline for the owner node's own refusal to arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(20);

/// Outcome of an attempt: a response whose head has arrived, or the reason why there is none.
pub type AttemptResponse = Result<Response<http::StreamBody>, calls::AttemptResult>;

/// Makes one attempt. Returns its outcome and the load that the owner node reports for its target.
pub async fn make_attempt(
    context: &Arc<process::ProcessContext>,
    id: &ids::RequestId,
    plan: &calls::AttemptPlan,
    parts: hyper::http::request::Parts,
    body: http::StreamBody,
) -> (AttemptResponse, calls::AttemptReport) {
    let mut request = Request::from_parts(parts, body);
    if plan.organisation.is_some() || context.in_force.borrow().requires_keys() {
        // The catalogue may have required no keys yet when the head was read.
        context.dialects.calls.strip_api_key(request.headers_mut());
    }
    if let Some(organisation) = &plan.organisation {
        let name = organisation.as_str().parse();
        let name = name.expect("an entry name is a valid header value");
        let headers = request.headers_mut();
        headers.insert(wire::CALL_ORGANISATION_HEADER, name);
    }
    let is_local = plan.candidate.address == context.credentials.identity.address;
    let started_at = time::Instant::now();
    let time_left = Duration::from_millis(u64::from(plan.offer.deadline_left_ms));
    let mut response = if is_local {
        owner::serve_local(Arc::clone(context), plan.offer.clone(), false, request).await
    } else {
        let deadline = started_at + time_left + DEADLINE_GRACE;
        match offer(context, id, plan, request, deadline).await {
            Ok(response) => response,
            Err(result) => return without_report(result),
        }
    };
    let signals = http::take_record(response.headers_mut(), wire_signals::SIGNALS_HEADER);
    if let Some(report) = signals.filter(|_| !is_local) {
        let received = signals::ReceivedReport {
            target: plan.offer.target.clone(),
            report,
            request: id.clone(),
            source: timeline::SignalSource::OwnerNode,
        };
        let reported = signals::SignalEvent::Reported(received);
        context.engine.tell(event::Event::Signals(reported));
    }
    let backlog_ms: Option<u32> =
        http::take_record(response.headers_mut(), wire::LINK_BACKLOG_HEADER);
    if let Some(backlog_ms) = backlog_ms.filter(|_| !is_local) {
        let reported = bandwidth::BandwidthEvent::Reported {
            target: plan.offer.target.clone(),
            backlog: Duration::from_millis(u64::from(backlog_ms)),
        };
        context.engine.tell(event::Event::Bandwidth(reported));
    }
    let (mut result, report) = split_response(response);
    if !is_local && let Ok(response) = result {
        result = buffer_response(context, response, started_at + time_left + DEADLINE_GRACE).await;
    }
    if let Ok(response) = &mut result {
        let target = plan.offer.target.as_str().parse();
        let target = target.expect("a target name is a valid header value");
        response.headers_mut().insert(wire::TARGET_HEADER, target);
        if let Some(organisation) = &plan.organisation {
            let organisation = link_shares::ResponseOrganisation(organisation.clone());
            response.extensions_mut().insert(organisation);
        }
    }
    (result, report)
}

/// Waits until a small response from another node has arrived in full.
///
/// A response without a declared length is streamed: the target may still be generating it,
/// possibly from request data that the caller has not sent yet.
async fn buffer_response(
    context: &process::ProcessContext,
    response: Response<http::StreamBody>,
    deadline: time::Instant,
) -> AttemptResponse {
    if response.body().size_hint().exact().is_none() {
        return Ok(response);
    }
    let max_bytes = context.request_tunables.answer_hold_bytes;
    let (parts, body) = response.into_parts();
    match response_buffer::buffer(body, &parts, max_bytes, deadline).await {
        Ok(buffered) => Ok(Response::from_parts(parts, buffered.body)),
        Err(response_buffer::BufferError::Truncated { message }) => {
            log::debug!("response from another node was truncated: {message}");
            Err(calls::AttemptResult::Lost)
        }
        Err(response_buffer::BufferError::DeadlineExceeded) => Err(deadline_exceeded()),
    }
}

/// Returns the result of an attempt whose deadline passed after it was offered to another node.
fn deadline_exceeded() -> calls::AttemptResult {
    let refusal = wire::CallRefusal::unknown(code::ResultCode::DeadlineExceeded);
    calls::AttemptResult::Refused(refusal)
}

fn without_report(result: calls::AttemptResult) -> (AttemptResponse, calls::AttemptReport) {
    (Err(result), calls::AttemptReport::default())
}

/// Offers an attempt to the owner node of its target, and returns the node's response. If the
/// request has a large body, the node is asked for a place first.
async fn offer(
    context: &Arc<process::ProcessContext>,
    id: &ids::RequestId,
    plan: &calls::AttemptPlan,
    mut request: Request<http::StreamBody>,
    deadline: time::Instant,
) -> Result<Response<http::StreamBody>, calls::AttemptResult> {
    let mut place = None;
    if placement::is_required(context, plan, request.body()) {
        match placement::ask(context, id, plan, request.headers()).await {
            placement::PlaceAnswer::Given(held) => place = Some(held),
            placement::PlaceAnswer::Refused(response) => return Ok(response),
            placement::PlaceAnswer::NoAnswer(result) => return Err(result),
            placement::PlaceAnswer::Unsupported => {}
        }
    }
    address_to(&mut request, plan.candidate.address);
    let headers = request.headers_mut();
    if let Some(held) = &place {
        headers.remove(wire::CALL_ORGANISATION_HEADER);
        let value = http::unindexed_value(&held.ticket);
        headers.insert(wire::PLACE_TICKET_HEADER, value);
    } else {
        set_offer(headers, wire::OFFER_HEADER, plan);
    }
    trace::set_clock(&context.clock, headers);
    let to = plan.candidate.address;
    let body_bytes = request.body().size_hint().lower();
    context.link.charge(link_shares::HEAD_BYTES + body_bytes);
    let sending = context.nodes.send_before(to, request, deadline);
    let sent = if plan.offer.is_idempotent {
        placement::watch(context, to, sending).await
    } else {
        Some(sending.await)
    };
    drop(place);
    let result = match sent {
        Some(Ok(mut response)) => {
            trace::merge_clock(&context.clock, response.headers_mut());
            return Ok(response.map(http::stream_body));
        }
        Some(Err(pool::SendError::NotConnected { .. })) => {
            return Err(calls::AttemptResult::NotReached);
        }
        Some(Err(pool::SendError::ConnectionLost { .. })) | None => calls::AttemptResult::Lost,
        Some(Err(pool::SendError::TimedOut)) => deadline_exceeded(),
    };
    context.answer_times.record(to, None);
    Err(result)
}

/// Addresses a request to another node.
pub(super) fn address_to(request: &mut Request<http::StreamBody>, node: SocketAddr) {
    let path = request.uri().path_and_query().cloned();
    *request.uri_mut() = Uri::builder()
        .scheme("http")
        .authority(node.to_string())
        .path_and_query(path.unwrap_or_else(|| "/".parse().expect("\"/\" is a valid path")))
        .build()
        .expect("an address and a parsed path form a URI");
    *request.version_mut() = hyper::Version::HTTP_2;
}

/// Adds the headers of an attempt's offer, with its varying part under `name`.
pub(super) fn set_offer(headers: &mut HeaderMap, name: &'static str, plan: &calls::AttemptPlan) {
    let (terms, attempt) = plan.offer.clone().split();
    let sent = wire::SentOffer {
        sent_ms: trace::boot_time().as_millis() as u64,
        attempt,
    };
    headers.insert(wire::OFFER_TERMS_HEADER, http::header_value(&terms));
    headers.insert(name, http::unindexed_value(&sent));
    if plan.offer.precedence != wire::CallPrecedence::default() {
        let value = http::header_value(&plan.offer.precedence);
        headers.insert(wire::PRECEDENCE_HEADER, value);
    }
    if let Some(report) = &plan.signals {
        let value = http::header_value(report);
        headers.insert(wire_signals::SIGNALS_HEADER, value);
    }
}

/// Separates a refusal by the owner node from a response of its target, and removes the load
/// report from the headers.
fn split_response(
    mut response: Response<http::StreamBody>,
) -> (AttemptResponse, calls::AttemptReport) {
    let bytes = response.body().size_hint().lower();
    let headers = response.headers_mut();
    let load = http::take_record(headers, wire::LOAD_HEADER);
    let refusal: Option<wire::CallRefusal> = http::take_record(headers, wire::REFUSAL_HEADER);
    let room = http::take_record(headers, wire::ROOM_HEADER);
    let report = calls::AttemptReport { load, bytes, room };
    match refusal {
        Some(refusal) => (Err(calls::AttemptResult::Refused(refusal)), report),
        None => (Ok(response), report),
    }
}
