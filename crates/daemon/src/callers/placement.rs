//! Asks the owner node for a place at its target before the request is sent there.
//!
//! The question carries the offer without the request. The owner node refuses it, or admits the
//! call and answers with a ticket, which the request then carries. Until the request is sent with
//! the ticket the call cannot run, whatever becomes of the question and its answer.
//!
//! An idempotent request that has been sent is watched, so that a node that has become silent leaves
//! time for another attempt.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hazeltiller_engine::{calls, routing::placement, timeline};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire, codec};
use hyper::{HeaderMap, Request, Response};
use tokio::time;

use super::attempt;
use crate::{http, link_shares, pool, process, trace};

/// A place at a target. The owner node frees it on drop unless the request has taken it.
pub struct HeldPlace {
    /// Ticket that the request takes the place with.
    pub ticket: wire::PlaceTicket,
    _response: Response<http::StreamBody>,
}

/// Answer of an owner node that a place was asked for.
pub enum PlaceAnswer {
    /// The target has a place for the call, for as long as this is held.
    Given(HeldPlace),
    /// The owner node refused the call.
    Refused(Response<http::StreamBody>),
    /// The owner node runs a build that gives no places: the call is offered with its request.
    Unsupported,
    /// There was no answer. The call has not run.
    NoAnswer(calls::AttemptResult),
}

/// Returns whether a place is asked for before a request with this body is sent.
pub fn is_required(
    context: &process::ProcessContext,
    plan: &calls::AttemptPlan,
    body: &impl hyper::body::Body,
) -> bool {
    let body_bytes = body.size_hint().lower();
    let tunables = &context.placement_tunables;
    let times = context.answer_times.of_node(plan.candidate.address);
    placement::asks_first(tunables, plan.candidate.distance, body_bytes, times)
}

/// Asks the owner node of an attempt's target for a place.
pub async fn ask(
    context: &Arc<process::ProcessContext>,
    id: &ids::RequestId,
    plan: &calls::AttemptPlan,
    headers: &HeaderMap,
) -> PlaceAnswer {
    let to = plan.candidate.address;
    let max_time = Duration::from_millis(context.placement_tunables.answer_ms);
    let time_left = Duration::from_millis(u64::from(plan.offer.deadline_left_ms));
    let answer_time = context.answer_times.of_node(to).answer_time(max_time);
    let started_at = time::Instant::now();
    let deadline = started_at + answer_time.min(time_left);
    let question = question(context, id, plan, headers);
    context.link.charge(link_shares::HEAD_BYTES);
    let sent = context.nodes.send_before(to, question, deadline).await;
    let answer = match sent {
        Ok(response) => {
            let took = started_at.elapsed();
            context.answer_times.record(to, Some(took));
            read_answer(context, response.map(http::stream_body))
        }
        Err(pool::SendError::NotConnected { .. } | pool::SendError::ConnectionLost { .. }) => {
            PlaceAnswer::NoAnswer(calls::AttemptResult::NotReached)
        }
        Err(pool::SendError::TimedOut) => {
            let times = context.answer_times.record(to, None);
            context
                .timeline
                .record(timeline::TimelineEvent::PlaceUnanswered {
                    request: id.clone(),
                    node: to,
                    took_us: started_at.elapsed().as_micros() as u64,
                });
            PlaceAnswer::NoAnswer(silent_result(times, answer_time))
        }
    };
    let places = &context.metrics.places;
    places.with_label_values(&[answer.label()]).inc();
    answer
}

impl PlaceAnswer {
    /// Returns the label of the metric that counts the answer.
    fn label(&self) -> &'static str {
        match self {
            Self::Given(_) => "given",
            Self::Refused(_) => "refused",
            Self::Unsupported => "unsupported",
            Self::NoAnswer(_) => "none",
        }
    }
}

/// Waits for the response to an idempotent request, and checks at intervals that the node still
/// answers. Returns `None` if it does not.
pub async fn watch<T>(
    context: &process::ProcessContext,
    to: SocketAddr,
    sending: impl Future<Output = T>,
) -> Option<T> {
    let check_time = Duration::from_millis(context.placement_tunables.check_ms);
    if check_time.is_zero() {
        return Some(sending.await);
    }
    let mut sending = std::pin::pin!(sending);
    loop {
        if let Ok(sent) = time::timeout(check_time, sending.as_mut()).await {
            return Some(sent);
        }
        tokio::select! {
            sent = sending.as_mut() => return Some(sent),
            has_answered = has_answered(context, to, check_time) => {
                if !has_answered {
                    return None;
                }
            }
        }
    }
}

/// Returns whether a node answers a request without an offer, which every build refuses at once.
async fn has_answered(
    context: &process::ProcessContext,
    to: SocketAddr,
    max_time: Duration,
) -> bool {
    let mut request = Request::new(http::full_body(""));
    attempt::address_to(&mut request, to);
    let deadline = time::Instant::now() + max_time;
    let answer = context.nodes.send_before(to, request, deadline).await;
    let result = if answer.is_ok() { "answered" } else { "silent" };
    let node_checks = &context.metrics.node_checks;
    node_checks.with_label_values(&[result]).inc();
    answer.is_ok()
}

/// Returns the offer of an attempt without its request.
fn question(
    context: &process::ProcessContext,
    id: &ids::RequestId,
    plan: &calls::AttemptPlan,
    request_headers: &HeaderMap,
) -> Request<http::StreamBody> {
    let mut question = Request::new(http::full_body(""));
    attempt::address_to(&mut question, plan.candidate.address);
    let headers = question.headers_mut();
    attempt::set_offer(headers, wire::PLACE_OFFER_HEADER, plan);
    if let Some(name) = request_headers.get(wire::CALL_ORGANISATION_HEADER) {
        headers.insert(wire::CALL_ORGANISATION_HEADER, name.clone());
    }
    trace::set_request_id(headers, id);
    trace::set_clock(&context.clock, headers);
    question
}

fn read_answer(
    context: &process::ProcessContext,
    mut response: Response<http::StreamBody>,
) -> PlaceAnswer {
    let headers = response.headers_mut();
    trace::merge_clock(&context.clock, headers);
    if let Some(ticket) = http::take_record(headers, wire::PLACE_TICKET_HEADER) {
        return PlaceAnswer::Given(HeldPlace {
            ticket,
            _response: response,
        });
    }
    let refusal = headers.get(wire::REFUSAL_HEADER);
    let refusal = refusal.and_then(|value| {
        let refusal: wire::CallRefusal = codec::decode_header(value.to_str().ok()?).ok()?;
        Some(refusal)
    });
    match refusal {
        Some(refusal) if refusal.code != code::ResultCode::MessageInvalid => {
            PlaceAnswer::Refused(response)
        }
        _ => PlaceAnswer::Unsupported,
    }
}

/// Returns the result of an attempt whose question was not answered in time.
fn silent_result(times: placement::AnswerTimes, waited: Duration) -> calls::AttemptResult {
    if times.is_unreachable() {
        return calls::AttemptResult::NotReached;
    }
    let refusal = wire::CallRefusal::not_run(code::ResultCode::LatencyUnreachable);
    calls::AttemptResult::Refused(wire::CallRefusal {
        retry_after_ms: waited.as_millis() as u32,
        ..refusal.elsewhere()
    })
}
