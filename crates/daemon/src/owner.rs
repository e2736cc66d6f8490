//! Runs calls at this node's targets, for which it is the owner node. Offers come from other
//! nodes or from this node's callers listener.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hazeltiller_engine::{
    bandwidth,
    calls::{self, transit},
    event, quarantine, signals, timeline,
};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{
    calls as wire, ledger, quarantine as wire_quarantine, signals as wire_signals,
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    http::response,
};
use tokio::{
    sync::oneshot,
    time::{self, Instant},
};

mod places;
mod remainder;
mod response_body;

use crate::{dialect, engine_actor, http, pool, process, response_buffer, trace};

pub use places::PlaceTable;

/// Backlog of the link from which ingress nodes are told of it. A shorter one is that of turns
/// under way.
const MIN_REPORTED_BACKLOG: Duration = Duration::from_millis(10);

/// Serves a call offered by another node, or a request for whose call this node keeps a place.
pub async fn serve_offer(
    context: Arc<process::ProcessContext>,
    transit: &Mutex<transit::TransitMeter>,
    mut request: Request<Incoming>,
) -> Response<http::StreamBody> {
    let headers = request.headers_mut();
    trace::merge_clock(&context.clock, headers);
    let clock = context.clock.clone();
    let link = context.link.clone();
    let organisation = organisation_of(headers);
    let ticket = http::take_record(headers, wire::PLACE_TICKET_HEADER);
    let mut response = if let Some(ticket) = ticket {
        let request = request.map(http::stream_body);
        places::serve(&context, ticket, request).await
    } else {
        let asked = http::take_record(headers, wire::PLACE_OFFER_HEADER);
        let sent = http::take_record(headers, wire::OFFER_HEADER);
        match (asked, sent) {
            (Some(asked), _) => match receive_call(&context, transit, headers, asked) {
                Some(call) => places::keep(&context, call).await,
                None => invalid_offer(),
            },
            (None, Some(sent)) => match receive_call(&context, transit, headers, sent) {
                Some(call) => call.serve(request.map(http::stream_body)).await,
                None => invalid_offer(),
            },
            (None, None) => invalid_offer(),
        }
    };
    trace::set_clock(&clock, response.headers_mut());
    set_link_backlog(response.headers_mut(), link.backlog());
    link.send(response, organisation)
}

/// Reads an offer by another node and tells the engine; `None` if it is invalid.
fn receive_call(
    context: &Arc<process::ProcessContext>,
    transit: &Mutex<transit::TransitMeter>,
    headers: &mut HeaderMap,
    sent: wire::SentOffer,
) -> Option<OfferedCall> {
    let terms = http::take_record(headers, wire::OFFER_TERMS_HEADER)?;
    let precedence = http::take_record(headers, wire::PRECEDENCE_HEADER);
    let offer = wire::CallOffer {
        precedence: precedence.unwrap_or_default(),
        ..receive_offer(transit, terms, sent)
    };
    let report = http::take_record(headers, wire_signals::SIGNALS_HEADER);
    if let Some(report) = report {
        let received = signals::ReceivedReport {
            target: offer.target.clone(),
            report,
            request: request_id(context, headers),
            source: timeline::SignalSource::IngressNode,
        };
        let reported = signals::SignalEvent::Reported(received);
        context.engine.tell(event::Event::Signals(reported));
    }
    let call = OfferedCall::open(context, offer, report.is_some(), headers);
    Some(call)
}

fn invalid_offer() -> Response<http::StreamBody> {
    offer_refusal(&not_run(code::ResultCode::MessageInvalid))
}

/// Returns the organisation that an offered call belongs to.
fn organisation_of(headers: &HeaderMap) -> Option<ids::EntryName> {
    let name = headers.get(wire::CALL_ORGANISATION_HEADER)?;
    name.to_str().ok()?.parse().ok()
}

/// Tells the ingress node of the backlog of this node's link, if it is worth telling.
fn set_link_backlog(headers: &mut HeaderMap, backlog: Duration) {
    if backlog >= MIN_REPORTED_BACKLOG {
        let millis = u32::try_from(backlog.as_millis()).unwrap_or(u32::MAX);
        let value = http::unindexed_value(&millis);
        headers.insert(wire::LINK_BACKLOG_HEADER, value);
    }
}

/// Joins the terms and the attempt to an offer, and deducts the measured transit time from its
/// time budgets.
fn receive_offer(
    transit: &Mutex<transit::TransitMeter>,
    terms: wire::OfferTerms,
    sent: wire::SentOffer,
) -> wire::CallOffer {
    let mut offer = wire::CallOffer::join(terms, sent.attempt);
    let (sent, received) = (Duration::from_millis(sent.sent_ms), trace::boot_time());
    let mut meter = transit.lock().expect("no holder of the lock panics");
    offer.subtract_elapsed(meter.record(sent, received));
    offer
}

/// Serves a call that this node offers to itself. The response carries the target's load, its signals
/// or the refusal in headers. `is_reported` tells whether the sender of the offer knew of signals,
/// and is to learn if the target sends them no more.
pub async fn serve_local(
    context: Arc<process::ProcessContext>,
    offer: wire::CallOffer,
    is_reported: bool,
    mut request: Request<http::StreamBody>,
) -> Response<http::StreamBody> {
    let call = OfferedCall::open(&context, offer, is_reported, request.headers_mut());
    call.serve(request).await
}

/// A call offered to this node, from the engine's first event on.
struct OfferedCall {
    guard: RunGuard,
    /// Effects of the call from the engine.
    effects: engine_actor::CallEffects,
    /// The first effect, if it has been received.
    decision: Option<calls::CallEffect>,
    deadline: Instant,
    metadata: dialect::AttemptMetadata,
    fingerprint: Option<ledger::RequestDigest>,
    is_reported: bool,
}

impl OfferedCall {
    /// Tells the engine of an offer. Removes the headers of the offer that are not the target's.
    fn open(
        context: &Arc<process::ProcessContext>,
        offer: wire::CallOffer,
        is_reported: bool,
        headers: &mut HeaderMap,
    ) -> Self {
        let call = context.next_call_id();
        let id = request_id(context, headers);
        let organisation = organisation_of(headers);
        headers.remove(wire::CALL_ORGANISATION_HEADER);
        let metadata = dialect::AttemptMetadata {
            target: offer.target.clone(),
            request: id.clone(),
            deadline_left: Duration::ZERO,
            attempt: offer.attempt,
            is_idempotent: offer.is_idempotent,
            caller: offer.caller.clone(),
            organisation,
        };
        let fingerprint = offer.fingerprint;
        let time_left = Duration::from_millis(u64::from(offer.deadline_left_ms));
        let deadline = Instant::now() + time_left;
        let offered = calls::CallEvent::Offered { call, offer };
        let effects = context.engine.open_call(call, id, offered);
        let guard = RunGuard {
            context: Arc::clone(context),
            call,
            result: calls::RunResult::CallerGone,
        };
        Self {
            guard,
            effects,
            decision: None,
            deadline,
            metadata,
            fingerprint,
            is_reported,
        }
    }

    /// Runs the call once it has a slot, unless it is refused.
    async fn serve(mut self, request: Request<http::StreamBody>) -> Response<http::StreamBody> {
        let decision = match self.decision.take() {
            Some(decision) => Some(decision),
            None => self.effects.recv().await,
        };
        match decision {
            Some(calls::CallEffect::Run(_, mut plan)) => {
                plan.is_signalling |= self.is_reported;
                let run = TargetRun {
                    guard: self.guard,
                    plan,
                    deadline: self.deadline,
                    metadata: self.metadata,
                    fingerprint: self.fingerprint,
                    effects: self.effects,
                    report: None,
                };
                run.send(request).await
            }
            Some(calls::CallEffect::Refuse(_, refusal)) => offer_refusal(&refusal),
            _ => offer_refusal(&not_run(code::ResultCode::NodeStopping)),
        }
    }
}

/// Returns the id of a request: from the internal header, else from the caller's headers, else a
/// new one.
fn request_id(context: &process::ProcessContext, headers: &HeaderMap) -> ids::RequestId {
    let dialect_id = || context.dialects.calls.read_head(headers).ok()?.request;
    let id = trace::request_id(headers).or_else(dialect_id);
    id.unwrap_or_else(|| context.request_ids.new_id())
}

/// Tells the engine on drop how a run ended, which covers a cancelled task.
struct RunGuard {
    context: Arc<process::ProcessContext>,
    call: ids::CallId,
    result: calls::RunResult,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let ended = calls::CallEvent::RunEnded {
            call: self.call,
            result: self.result,
        };
        self.context.engine.tell(event::Event::Calls(ended));
    }
}

/// A call that holds a slot of its target.
struct TargetRun {
    guard: RunGuard,
    plan: calls::RunPlan,
    deadline: Instant,
    metadata: dialect::AttemptMetadata,
    fingerprint: Option<ledger::RequestDigest>,
    /// Effects of the call from the engine.
    effects: engine_actor::CallEffects,
    /// Signals of the target to report to the ingress node.
    report: Option<wire_signals::SignalReport>,
}

impl TargetRun {
    async fn send(mut self, request: Request<http::StreamBody>) -> Response<http::StreamBody> {
        let context = Arc::clone(&self.guard.context);
        let mut request = to_target_request(request, self.plan.address);
        self.metadata.deadline_left = self.deadline.saturating_duration_since(Instant::now());
        let calls = Arc::clone(&context.dialects.calls);
        calls.set_target_headers(request.headers_mut(), &self.metadata);
        let (request, uploaded) = UploadBody::with_completion(request);
        let sending = context
            .targets
            .send(self.plan.address, &self.metadata.request, request);
        let first_byte = self.plan.first_byte;
        let timed_out = async {
            // The first-byte timeout starts once the request body has been sent in full, so that a
            // slow upload does not count against the target.
            drop(uploaded.await);
            time::sleep(first_byte).await;
        };
        let exchange = async {
            tokio::select! {
                response = sending => Some(response),
                () = timed_out => None,
                () = time::sleep_until(self.deadline) => None,
            }
        };
        match exchange.await {
            Some(Ok((response, connection))) => self.handle_response(response, connection).await,
            Some(Err(pool::SendError::NotConnected { message })) => {
                log::debug!(
                    "connecting to target {} failed: {message}",
                    self.plan.target
                );
                let not_connected = not_run(code::ResultCode::TargetMissing);
                self.refuse(calls::RunResult::NotConnected, not_connected)
            }
            Some(Err(pool::SendError::ConnectionLost { source })) => {
                log::debug!(
                    "connection to target {} lost during a call: {source}",
                    self.plan.target
                );
                report_crash(&self.guard, &self.plan, self.fingerprint).await;
                let failed = wire::CallRefusal::unknown(code::ResultCode::TargetFailed);
                self.refuse(calls::RunResult::Crashed, failed)
            }
            Some(Err(pool::SendError::TimedOut)) | None => {
                let timed_out = wire::CallRefusal::unknown(code::ResultCode::DeadlineExceeded);
                self.refuse(calls::RunResult::TimedOut, timed_out)
            }
        }
    }

    /// Passes a valid response on; otherwise refuses the call with the reason.
    async fn handle_response(
        mut self,
        response: Response<Incoming>,
        mut connection: pool::TargetConnection,
    ) -> Response<http::StreamBody> {
        let (parts, body) = response.into_parts();
        let context = Arc::clone(&self.guard.context);
        let verdict = if http::has_two_framings(&parts.headers) || !http::is_final(parts.status) {
            dialect::ResponseVerdict::Invalid
        } else {
            let calls = &context.dialects.calls;
            calls.check_response(&parts, &self.metadata)
        };
        self.observe_signals(&parts, verdict).await;
        match verdict {
            dialect::ResponseVerdict::Valid => {}
            dialect::ResponseVerdict::Declined => {
                connection.record_declined(self.metadata.request.clone());
                remainder::drain_and_reuse(context, self.plan.address, body, connection);
                let declined = not_run(code::ResultCode::TargetDeclined);
                return self.refuse(calls::RunResult::Declined, declined);
            }
            dialect::ResponseVerdict::WrongTarget => {
                let wrong_target = not_run(code::ResultCode::WrongTarget);
                return self.refuse(calls::RunResult::WrongTarget, wrong_target);
            }
            dialect::ResponseVerdict::Invalid => {
                log::debug!(
                    "target {} sent no valid response to request {}, but one with status {}",
                    self.plan.target,
                    self.metadata.request,
                    parts.status
                );
                let malformed = wire::CallRefusal::unknown(code::ResultCode::MalformedAnswer);
                return self.refuse(calls::RunResult::Invalid, malformed);
            }
        }
        let max_bytes = context.request_tunables.answer_hold_bytes;
        let buffered = match response_buffer::buffer(body, &parts, max_bytes, self.deadline).await {
            Ok(buffered) => buffered,
            Err(response_buffer::BufferError::Truncated { message }) => {
                log::debug!(
                    "response of target {} was truncated: {message}",
                    self.plan.target
                );
                let truncated = wire::CallRefusal::unknown(code::ResultCode::TargetFailed);
                return self.refuse(calls::RunResult::Truncated, truncated);
            }
            Err(response_buffer::BufferError::DeadlineExceeded) => {
                let timed_out = wire::CallRefusal::unknown(code::ResultCode::DeadlineExceeded);
                return self.refuse(calls::RunResult::TimedOut, timed_out);
            }
        };
        self.guard.result = calls::RunResult::CallerGone;
        let report = self.report;
        // A complete response is passed on however late it is read.
        let deadline = (!buffered.is_complete).then_some(self.deadline);
        let response = Response::from_parts(parts, buffered.body);
        let mut response = stream_response(self.guard, &self.plan, deadline, response, connection);
        set_report(response.headers_mut(), report);
        response
    }

    /// Tells the engine the signals in the head of a response of the target, and gets the report on
    /// them for the ingress node.
    async fn observe_signals(
        &mut self,
        parts: &response::Parts,
        verdict: dialect::ResponseVerdict,
    ) {
        let has_run = match verdict {
            dialect::ResponseVerdict::Valid => true,
            dialect::ResponseVerdict::Declined => false,
            dialect::ResponseVerdict::WrongTarget | dialect::ResponseVerdict::Invalid => return,
        };
        let context = &self.guard.context;
        let signals = context.dialects.calls.read_signals(&parts.headers);
        if signals.is_empty() && !self.plan.is_signalling {
            return;
        }
        let observed = signals::SignalEvent::Observed {
            call: self.guard.call,
            request: self.metadata.request.clone(),
            signals,
            has_run,
        };
        context.engine.tell(event::Event::Signals(observed));
        if let Some(calls::CallEffect::ReportSignals(_, report)) = self.effects.recv().await {
            self.report = report;
        }
    }

    /// Ends the run with a result and returns the refusal, with the target's load added.
    fn refuse(
        mut self,
        result: calls::RunResult,
        refusal: wire::CallRefusal,
    ) -> Response<http::StreamBody> {
        self.guard.result = result;
        let load = Some(self.plan.load);
        let mut response = offer_refusal(&wire::CallRefusal { load, ..refusal });
        set_report(response.headers_mut(), self.report);
        response
    }
}

/// Adds the report on the target's signals, if there is one, to a response to the ingress node.
fn set_report(headers: &mut HeaderMap, report: Option<wire_signals::SignalReport>) {
    if let Some(report) = report {
        let value = http::header_value(&report);
        headers.insert(wire_signals::SIGNALS_HEADER, value);
    }
}

/// Reports a request to the quarantine as the cause of a crash if its target has stopped listening.
/// A connection may be lost for other reasons, and then the target accepts a new one.
async fn report_crash(
    guard: &RunGuard,
    plan: &calls::RunPlan,
    fingerprint: Option<ledger::RequestDigest>,
) {
    let Some(request) = fingerprint else {
        return;
    };
    if pool::is_listening(plan.address).await {
        return;
    }
    let crash = wire_quarantine::CrashRecord {
        request,
        target: plan.target.clone(),
    };
    let crashed = quarantine::QuarantineEvent::Crashed(crash);
    guard.context.engine.tell(event::Event::Quarantine(crashed));
}

/// Rewrites a request to HTTP/1.1 with an origin-form URI. Adds a `host` header if it has none.
fn to_target_request(
    mut request: Request<http::StreamBody>,
    address: std::net::SocketAddr,
) -> Request<http::StreamBody> {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    *request.uri_mut() = path.parse().expect("a parsed path is a valid URI");
    *request.version_mut() = hyper::Version::HTTP_11;
    if !request.headers().contains_key("host") {
        let host = address
            .to_string()
            .parse()
            .expect("an address is a valid header value");
        request.headers_mut().insert("host", host);
    }
    request
}

/// Returns a response whose body is streamed from the target and frees the slot when it ends.
fn stream_response(
    mut guard: RunGuard,
    plan: &calls::RunPlan,
    deadline: Option<Instant>,
    response: Response<http::StreamBody>,
    connection: pool::TargetConnection,
) -> Response<http::StreamBody> {
    let (mut parts, body) = response.into_parts();
    if parts.status.is_server_error() {
        // The ingress node may drop this response unread and retry elsewhere. The run counts as
        // done in that case, too.
        let status = parts.status.as_u16();
        guard.result = calls::RunResult::Done { status };
    } else if guard.context.link.is_known()
        && let Some(bytes) = body.size_hint().exact()
    {
        let call = guard.call;
        let responded = bandwidth::BandwidthEvent::Responded { call, bytes };
        let event = event::Event::Bandwidth(responded);
        guard.context.engine.tell(event);
    }
    http::strip_hop_by_hop_headers(&mut parts.headers);
    http::strip_internal_headers(&mut parts.headers);
    let load = http::unindexed_value(&plan.load);
    parts.headers.insert(wire::LOAD_HEADER, load);
    if let Some(room) = &plan.room {
        let room = http::header_value(room);
        parts.headers.insert(wire::ROOM_HEADER, room);
    }
    let streamed = response_body::OpenResponse {
        body,
        status: parts.status,
        address: plan.address,
        guard,
        connection: Some(connection),
        passed_bytes: 0,
        is_awaited: false,
    };
    let body = response_body::ResponseBody::new(streamed, deadline);
    Response::from_parts(parts, body.boxed_unsync())
}

/// A request body that signals, by dropping `completion`, that all of it has been sent.
struct UploadBody {
    body: http::StreamBody,
    completion: Option<oneshot::Sender<()>>,
}

impl UploadBody {
    fn with_completion(
        request: Request<http::StreamBody>,
    ) -> (UploadRequest, oneshot::Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        let watched = request.map(|body| {
            let completion = (!body.is_end_stream()).then_some(sender);
            Self { body, completion }.boxed_unsync()
        });
        (watched, receiver)
    }
}

type UploadRequest = Request<http::StreamBody>;

impl Body for UploadBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
            self.completion = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns the refusal of a call that did not run here and may be retried at another node.
fn not_run(code: code::ResultCode) -> wire::CallRefusal {
    wire::CallRefusal::not_run(code).elsewhere()
}

/// Returns a response that carries a refusal to the ingress node.
fn offer_refusal(refusal: &wire::CallRefusal) -> Response<http::StreamBody> {
    let mut response = Response::new(http::full_body(""));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let value = http::unindexed_value(refusal);
    response.headers_mut().insert(wire::REFUSAL_HEADER, value);
    response
}
