//! The callers listener: accepts requests, offers each to the owner node of the chosen target, and
//! passes the response on. The owner node of a target is the one that it announces itself to.

use std::{
    convert::Infallible,
    future,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::BytesMut;
use hazeltiller_catalogue::entry;
use hazeltiller_engine::{
    calls,
    connections::{self, memory},
    event,
};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use http_body_util::{BodyExt, Limited};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header,
    server::conn::http2,
    service,
};
use hyper_util::rt;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::oneshot,
    time,
};

mod admission;
mod attempt;
mod head;
mod placement;
mod stored_response;

use crate::{
    client_connections, counted_stream, dialect, drain, http, http1, listener, process, replay,
    response_buffer, trace,
};

/// Start of the HTTP/2 connection preface. No valid HTTP/1.1 request starts with these bytes.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// Bytes of a request's body that an HTTP/2 stream takes before its handler reads them, and of a
/// response that it buffers.
const STREAM_WINDOW_BYTES: u32 = 65_535;
/// Bytes of all bodies that an HTTP/2 connection takes before they are read.
const CONNECTION_WINDOW_BYTES: u32 = 262_144;
/// Most streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 100;
/// Time in which an idle HTTP/2 connection is shut down gracefully.
const IDLE_SHUTDOWN_TIME: Duration = Duration::from_secs(1);
/// Accepts connections until the drain reaches [`drain::DrainPhase::Closing`]. A node that is
/// leaving still accepts them.
pub async fn serve(context: Arc<process::ProcessContext>, listener: TcpListener) {
    loop {
        let kind = connections::ListenerKind::Callers;
        let accepted = tokio::select! {
            accepted = listener::accept(&context.connections, &listener, kind) => accepted,
            () = context.drain.wait_for_phase(drain::DrainPhase::Closing) => return,
        };
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let listener::AcceptedClient { stream, guard, .. } = accepted;
            tokio::select! {
                () = serve_connection(context, stream, guard.connection()) => {}
                () = guard.closed() => {}
            }
        });
    }
}

async fn serve_connection(
    context: Arc<process::ProcessContext>,
    mut stream: TcpStream,
    connection: &client_connections::ClientConnection,
) {
    let in_flight_guard = context.drain.in_flight();
    let limits = connection_limits(&context);
    let uses_link = uses_link(&stream);
    let mut preface = BytesMut::new();
    let is_http2 = tokio::select! {
        is_http2 = detect_http2(&mut stream, &mut preface, &limits) => is_http2,
        () = context.drain.wait_for_phase(drain::DrainPhase::Closing) => None,
    };
    let Some(is_http2) = is_http2 else {
        return;
    };
    let (reader, writer) = stream.into_split();
    let writer = counted_stream::CountedStream::new(writer, connection.written());
    let reader = http1::CallerStream::new(preface.freeze(), reader);
    if is_http2 {
        let stream = tokio::io::join(reader, writer);
        serve_http2(&context, stream, connection, uses_link, &limits).await;
    } else {
        let drain = context.drain.clone();
        let service = Arc::new(CallerHandler {
            context,
            connection: connection.clone(),
            uses_link,
        });
        http1::serve(reader, writer, limits, service, drain).await;
    }
    drop(in_flight_guard);
}

/// Reads enough bytes to tell HTTP/2 from HTTP/1.1. Returns `None` if the caller closes the
/// connection or a read times out.
async fn detect_http2(
    stream: &mut TcpStream,
    preface: &mut BytesMut,
    limits: &http1::ConnectionLimits,
) -> Option<bool> {
    let mut deadline = time::Instant::now() + limits.idle_timeout;
    while HTTP2_PREFACE.starts_with(preface) && preface.len() < HTTP2_PREFACE.len() {
        let is_first = preface.is_empty();
        let read = time::timeout_at(deadline, stream.read_buf(preface)).await;
        if !matches!(read, Ok(Ok(1..))) {
            return None;
        }
        if is_first {
            deadline = time::Instant::now() + limits.head_timeout;
        }
    }
    Some(preface.starts_with(HTTP2_PREFACE))
}

async fn serve_http2(
    context: &Arc<process::ProcessContext>,
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    connection: &client_connections::ClientConnection,
    uses_link: bool,
    limits: &http1::ConnectionLimits,
) {
    let (shared, client) = (Arc::clone(context), connection.clone());
    let service = service::service_fn(move |request: Request<Incoming>| {
        let context = Arc::clone(&shared);
        let admitted = admission::admit(&context, &client, request.map(http::stream_body));
        let served: Pin<Box<dyn Future<Output = _> + Send>> = match admitted {
            Ok(admitted) => Box::pin(serve_admitted(context, admitted, uses_link, None)),
            Err(refused) => Box::pin(future::ready(*refused)),
        };
        async move { Ok::<_, Infallible>(served.await) }
    });
    let mut server = http2::Builder::new(rt::TokioExecutor::new());
    server
        .timer(rt::TokioTimer::new())
        .max_header_list_size(limits.max_head_bytes as u32)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(STREAM_WINDOW_BYTES as usize)
        .max_concurrent_streams(MAX_STREAMS);
    let serving = server.serve_connection(rt::TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let served = tokio::select! {
        served = serving.as_mut() => served,
        () = context.drain.wait_for_phase(drain::DrainPhase::Closing) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
        () = connection.wait_until_idle(limits.idle_timeout) => {
            serving.as_mut().graceful_shutdown();
            // A caller that does not read never acknowledges the shutdown.
            let ended = time::timeout(IDLE_SHUTDOWN_TIME, serving).await;
            ended.unwrap_or(Ok(()))
        }
    };
    if let Err(error) = served {
        log::debug!("HTTP/2 connection from a caller ended with an error: {error}");
    }
}

/// Returns the limits of a new connection: those of the catalogue's listener entry or, without
/// one, those of the settings.
fn connection_limits(context: &process::ProcessContext) -> http1::ConnectionLimits {
    let settings = &context.request_tunables;
    let limits = context.in_force.borrow().listener_limits();
    let limits = limits.unwrap_or(entry::ListenerLimits {
        head_bytes: settings.head_bytes as u32,
        head_ms: settings.head_ms as u32,
        ..entry::ListenerLimits::default()
    });
    http1::ConnectionLimits {
        max_head_bytes: limits.head_bytes as usize,
        max_headers: settings.head_lines as usize,
        head_timeout: Duration::from_millis(u64::from(limits.head_ms)),
        idle_timeout: Duration::from_millis(u64::from(limits.idle_ms)),
    }
}

/// Handles the requests of an HTTP/1.1 connection.
struct CallerHandler {
    context: Arc<process::ProcessContext>,
    connection: client_connections::ClientConnection,
    uses_link: bool,
}

impl http1::CallHandler for CallerHandler {
    type Admitted = admission::AdmittedRequest;
    type Reservation = client_connections::HeldBytes;

    fn admit(
        &self,
        request: http1::CallRequest,
    ) -> Result<admission::AdmittedRequest, Box<http1::CallResponse>> {
        admission::admit(&self.context, &self.connection, request)
    }

    async fn serve(
        &self,
        admitted: admission::AdmittedRequest,
        position: Arc<http1::PipelinePosition>,
    ) -> http1::CallResponse {
        let context = Arc::clone(&self.context);
        let mut response = serve_admitted(context, admitted, self.uses_link, Some(position)).await;
        if response.extensions().get::<ConnectionEnd>().is_some() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    fn reserve(&self, bytes: u64) -> Option<client_connections::HeldBytes> {
        self.connection.admit(bytes)
    }
}

/// Extension of a response after which an HTTP/1.1 connection closes, so that the rest of a refused
/// body is not read.
#[derive(Debug, Clone, Copy)]
struct ConnectionEnd;

/// Returns whether a caller is on another machine, so that responses to it take this node's link.
fn uses_link(stream: &TcpStream) -> bool {
    match (stream.peer_addr(), stream.local_addr()) {
        (Ok(peer), Ok(own)) => peer.ip() != own.ip(),
        _ => false,
    }
}

/// Serves a request. What its response holds is charged to its connection until it is written.
async fn serve_admitted(
    context: Arc<process::ProcessContext>,
    admitted: admission::AdmittedRequest,
    uses_link: bool,
    position: Option<Arc<http1::PipelinePosition>>,
) -> http1::CallResponse {
    let admission::AdmittedRequest {
        request,
        connection,
        open,
        held,
    } = admitted;
    let link = context.link.clone();
    let max_held_bytes = context.request_tunables.answer_hold_bytes;
    let response = serve_request(context, request, held, position.as_deref()).await;
    let response = if uses_link {
        link.send(response, None)
    } else {
        response
    };
    let held = connection.hold(admission::REQUEST_OVERHEAD_BYTES);
    let charge =
        |body| client_connections::ChargedBody::new(body, open, max_held_bytes).beside(held);
    response.map(|body| charge(body).boxed_unsync())
}

async fn serve_request(
    context: Arc<process::ProcessContext>,
    request: http1::CallRequest,
    held: client_connections::HeldBytes,
    position: Option<&http1::PipelinePosition>,
) -> http1::CallResponse {
    let dialect = Arc::clone(&context.dialects.calls);
    let head = dialect.read_head(request.headers());
    let supplied_id = head.as_ref().ok().and_then(|head| head.request.clone());
    let id = supplied_id.unwrap_or_else(|| context.request_ids.new_id());
    let served = match read_request(&context, id.clone(), request, held, head).await {
        Ok(call) if call.is_claimable() => call.serve_detached().await,
        Ok(call) => call.serve(&AtomicBool::new(false)).await,
        Err(refusal) => Err(refusal),
    };
    let served = match (served, position) {
        (Ok(response), Some(position)) => hold_response(&context, response, position).await,
        (served, _) => served,
    };
    match served {
        Ok(mut response) => {
            http::strip_hop_by_hop_headers(response.headers_mut());
            dialect.set_caller_headers(response.headers_mut(), &id);
            response
        }
        Err(refusal) => {
            let mut response = dialect.refuse(&refusal, &id);
            if refusal.code == code::ResultCode::BodyTooSlow {
                response.extensions_mut().insert(ConnectionEnd);
            }
            response
        }
    }
}

/// Holds a small response of unknown length while requests are behind it on its connection, since one
/// that breaks off after its head was written ends the connection.
async fn hold_response(
    context: &process::ProcessContext,
    response: Response<http::StreamBody>,
    position: &http1::PipelinePosition,
) -> CallResult {
    let tunables = &context.request_tunables;
    let is_open = response.body().size_hint().exact().is_none();
    if tunables.hold_ms == 0 || !is_open || !position.begin_stream() {
        return Ok(response);
    }
    let (parts, body) = response.into_parts();
    let max_bytes = tunables.answer_hold_bytes as usize;
    let max_time = Duration::from_millis(tunables.hold_ms);
    match response_buffer::hold(body, max_bytes, max_time).await {
        Ok(held) => {
            if held.is_complete {
                position.end_stream();
            }
            Ok(Response::from_parts(parts, held.body))
        }
        Err(error) => {
            log::debug!("a response was held and not passed on: {error}");
            position.end_stream();
            let failed = code::ResultCode::TargetFailed;
            Err(wire::CallRefusal::unknown(failed))
        }
    }
}

/// Tells the engine on drop that the ingress node has finished a call, whatever the outcome.
struct IngressGuard {
    context: Arc<process::ProcessContext>,
    call: ids::CallId,
}

impl Drop for IngressGuard {
    fn drop(&mut self) {
        self.context
            .engine
            .tell(event::Event::Calls(calls::CallEvent::Finished(self.call)));
    }
}

/// A request whose head has been validated.
struct CallerRequest {
    context: Arc<process::ProcessContext>,
    id: ids::RequestId,
    arrival: calls::CallArrival,
    parts: hyper::http::request::Parts,
    source: replay::BodySource,
    _held: client_connections::HeldBytes,
}

async fn read_request(
    context: &Arc<process::ProcessContext>,
    id: ids::RequestId,
    request: http1::CallRequest,
    held: client_connections::HeldBytes,
    head: Result<dialect::CallHead, dialect::HeaderError>,
) -> Result<CallerRequest, wire::CallRefusal> {
    let malformed = || wire::CallRefusal::not_run(code::ResultCode::RequestMalformed);
    let caller = context.caller.as_ref();
    let arrival = head.and_then(|head| {
        let call = context.next_call_id();
        head::call_arrival(call, &request, &head, caller)
    });
    let mut arrival = arrival.map_err(|_ambiguous| malformed())?;
    let max_body_bytes = check_body_size(context, &request)?;
    let (mut parts, body) = request.into_parts();
    let is_chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
    head::set_host_header(&mut parts);
    http::strip_hop_by_hop_headers(&mut parts.headers);
    http::strip_internal_headers(&mut parts.headers);
    if context.in_force.borrow().requires_keys() {
        context.dialects.calls.strip_api_key(&mut parts.headers);
    }
    // The dialect may carry the request id in a header of its own, which is kept. Otherwise the id
    // goes into the internal header.
    let stripped_head = context.dialects.calls.read_head(&parts.headers);
    if stripped_head.map_or(true, |head| head.request.as_ref() != Some(&id)) {
        trace::set_request_id(&mut parts.headers, &id);
    }
    let replay_limit = context.request_tunables.replay_bytes;
    let length = body.size_hint().exact();
    let source =
        replay::BodySource::new(limit_body_size(body, max_body_bytes), replay_limit as usize);
    let read = gather_body(context, &source, length, is_chunked).await;
    read.map_err(|error| {
        if error.is::<replay::BodyTooSlow>() {
            wire::CallRefusal::not_run(code::ResultCode::BodyTooSlow)
        } else if source.exceeds_limit() {
            wire::CallRefusal::not_run(code::ResultCode::BodyOverLimit)
        } else {
            malformed()
        }
    })?;
    let content = head::BodyContent {
        frames: source.buffered_frames(),
        is_whole: source.is_ended(),
        length,
    };
    arrival.fingerprint = head::request_fingerprint(&parts, arrival.key.as_deref(), &content);
    Ok(CallerRequest {
        context: Arc::clone(context),
        id,
        arrival,
        parts,
        source,
        _held: held,
    })
}

/// Buffers what is needed of a body before its request is offered: all of a short one, of others
/// enough to tell the request by.
async fn gather_body(
    context: &process::ProcessContext,
    source: &replay::BodySource,
    length: Option<u64>,
    is_chunked: bool,
) -> Result<(), http::BodyError> {
    let tunables = &context.request_tunables;
    if length.is_some_and(|length| length <= tunables.replay_bytes) {
        let policy = memory::MemoryPolicy::new(&context.connection_tunables);
        return source.buffer_all(policy.slow_bytes, policy.window).await;
    }
    if is_chunked {
        // A body that is invalid from the start is never offered.
        source.buffer_next_frame().await?;
    }
    let wanted_bytes = if length.is_some() {
        head::PREFIX_BYTES
    } else {
        tunables.replay_bytes as usize
    };
    let max_time = Duration::from_millis(tunables.gather_ms);
    source.buffer_some(wanted_bytes, max_time).await
}

/// Rejects a body whose declared length exceeds the catalogue's limit. Returns that limit, in
/// bytes.
fn check_body_size(
    context: &process::ProcessContext,
    request: &http1::CallRequest,
) -> Result<Option<u64>, wire::CallRefusal> {
    let limits = context.in_force.borrow().listener_limits();
    let max_body_bytes = limits.map(|limits| limits.body_bytes);
    let length = request.body().size_hint().lower();
    if max_body_bytes.is_some_and(|limit| length > limit) {
        return Err(wire::CallRefusal::not_run(code::ResultCode::BodyOverLimit));
    }
    Ok(max_body_bytes)
}

/// Makes a body of unknown length fail once it exceeds `limit` bytes. A declared length has
/// already been checked.
fn limit_body_size(body: http::StreamBody, limit: Option<u64>) -> http::StreamBody {
    match limit {
        Some(limit) if body.size_hint().exact().is_none() => {
            let limit = usize::try_from(limit).unwrap_or(usize::MAX);
            Limited::new(body, limit).boxed_unsync()
        }
        _ => body,
    }
}

type CallResult = Result<Response<http::StreamBody>, wire::CallRefusal>;

impl CallerRequest {
    /// Returns whether the request may be claimed in the ledger: it has an idempotency key and its
    /// method is not safe. A claimed request continues after its caller disconnects.
    fn is_claimable(&self) -> bool {
        let method = &self.parts.method;
        self.arrival.key.is_some() && !method.is_safe()
    }

    /// Serves the request in a separate task, which is cancelled when the caller disconnects
    /// unless the request has been claimed.
    async fn serve_detached(self) -> CallResult {
        let (mut sender, receiver) = oneshot::channel();
        let in_flight_guard = self.context.drain.in_flight();
        tokio::spawn(async move {
            let is_claimed = AtomicBool::new(false);
            let mut serving = std::pin::pin!(self.serve(&is_claimed));
            let response = tokio::select! {
                response = &mut serving => response,
                () = sender.closed() => {
                    if !is_claimed.load(Ordering::Relaxed) {
                        return;
                    }
                    serving.await
                }
            };
            // The caller may have disconnected. The response is stored for its resend.
            drop(sender.send(response));
            drop(in_flight_guard);
        });
        let response = receiver.await;
        response.unwrap_or_else(|_dropped| Err(node_stopping()))
    }

    async fn serve(self, is_claimed: &AtomicBool) -> CallResult {
        let (context, call) = (&self.context, self.arrival.call);
        let arrived = calls::CallEvent::Arrived(self.arrival.clone());
        let mut effects = context.engine.open_call(call, self.id.clone(), arrived);
        let guard = IngressGuard {
            context: Arc::clone(context),
            call,
        };
        let mut started_response = None;
        let mut may_have_run = false;
        let request_bytes = self.source.buffered_bytes();
        while let Some(effect) = effects.recv().await {
            match effect {
                calls::CallEffect::Attempt(_, plan) => {
                    is_claimed.store(plan.is_claimed, Ordering::Relaxed);
                    let Some(body) = self.source.body() else {
                        return Err(body_not_replayable(may_have_run));
                    };
                    let (attempt, mut report) =
                        attempt::make_attempt(context, &self.id, &plan, self.parts.clone(), body)
                            .await;
                    if attempt.is_err() && self.source.has_failed() {
                        return Err(request_body_error(&self.source));
                    }
                    report.bytes += request_bytes;
                    let result = match attempt {
                        Ok(response) => {
                            let status = response.status().as_u16();
                            started_response = Some(response);
                            calls::AttemptResult::Answered { status }
                        }
                        Err(result) => result,
                    };
                    may_have_run |= is_outcome_unknown(&result);
                    let ended = calls::CallEvent::AttemptEnded {
                        call,
                        result,
                        report,
                    };
                    context.engine.tell(event::Event::Calls(ended));
                }
                calls::CallEffect::ForwardResponse(_) => {
                    let started_response =
                        started_response.expect("an attempt has returned a response");
                    if !is_claimed.load(Ordering::Relaxed) {
                        drop(guard);
                        return Ok(started_response);
                    }
                    return Ok(stored_response::store(context, call, started_response).await);
                }
                calls::CallEffect::Replay(_, stored) => return Ok(stored_response::replay(stored)),
                calls::CallEffect::Refuse(_, refusal) => return Err(refusal),
                calls::CallEffect::Run(..) | calls::CallEffect::ReportSignals(..) => {
                    unreachable!("only the owner node receives run effects")
                }
            }
        }
        Err(node_stopping())
    }
}

/// Returns whether the target may have run the call although its response is not forwarded.
fn is_outcome_unknown(result: &calls::AttemptResult) -> bool {
    match result {
        calls::AttemptResult::Lost | calls::AttemptResult::Answered { .. } => true,
        calls::AttemptResult::Refused(refusal) => refusal.outcome != wire::CallOutcome::NotRun,
        calls::AttemptResult::NotReached => false,
    }
}

/// Returns the refusal of a call that cannot be retried because its body is too large to be
/// buffered for a replay.
fn body_not_replayable(may_have_run: bool) -> wire::CallRefusal {
    let code = code::ResultCode::BodyTooLarge;
    if may_have_run {
        wire::CallRefusal::unknown(code)
    } else {
        wire::CallRefusal::not_run(code)
    }
}

/// Returns the refusal of a call whose request body failed after part of it was sent. Whether the
/// target ran the call is unknown.
fn request_body_error(source: &replay::BodySource) -> wire::CallRefusal {
    wire::CallRefusal::unknown(if source.exceeds_limit() {
        code::ResultCode::BodyOverLimit
    } else {
        code::ResultCode::RequestMalformed
    })
}

fn node_stopping() -> wire::CallRefusal {
    wire::CallRefusal::unknown(code::ResultCode::NodeStopping).elsewhere()
}
