//! The callers listener: takes requests, offers them to targets' nodes, passes answers on.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::BytesMut;
use hazeltiller_catalogue::entry;
use hazeltiller_engine::{calls, event};
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

mod attempt;
mod head;
mod kept;

use crate::{dialect, drain, http, http1, listener, process, replay, trace};

/// What a connection of HTTP/2 begins with; no request of HTTP/1.1 does.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// Serves the listener until the process stops; a stopping node first goes on accepting.
pub async fn serve(context: Arc<process::ProcessContext>, listener: TcpListener) {
    loop {
        let (stream, _from) = tokio::select! {
            accepted = listener::accept(&listener, "callers") => accepted,
            () = context.drain.reached(drain::DrainPhase::Closing) => return,
        };
        tokio::spawn(serve_connection(Arc::clone(&context), stream));
    }
}

async fn serve_connection(context: Arc<process::ProcessContext>, mut stream: TcpStream) {
    let flight = context.drain.in_flight();
    let bounds = connection_bounds(&context);
    let mut first = BytesMut::new();
    let is_second = tokio::select! {
        is_second = is_http2(&mut stream, &mut first, bounds.idle_time) => is_second,
        () = context.drain.reached(drain::DrainPhase::Closing) => None,
    };
    let Some(is_second) = is_second else {
        return;
    };
    let (reader, writer) = stream.into_split();
    let reader = std::io::Cursor::new(first.freeze()).chain(reader);
    if is_second {
        serve_http2(&context, tokio::io::join(reader, writer), &bounds).await;
    } else {
        let drain = context.drain.clone();
        let service = Arc::new(CallerService(context));
        http1::serve(reader, writer, bounds, service, drain).await;
    }
    drop(flight);
}

/// Reads enough to tell the version of HTTP; `None` when nothing comes in time.
async fn is_http2(
    stream: &mut TcpStream,
    first: &mut BytesMut,
    patience: Duration,
) -> Option<bool> {
    while HTTP2_PREFACE.starts_with(first) && first.len() < HTTP2_PREFACE.len() {
        let read = time::timeout(patience, stream.read_buf(first)).await;
        if !matches!(read, Ok(Ok(1..))) {
            return None;
        }
    }
    Some(first.starts_with(HTTP2_PREFACE))
}

async fn serve_http2(
    context: &Arc<process::ProcessContext>,
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    bounds: &http1::ConnectionBounds,
) {
    let shared = Arc::clone(context);
    let service = service::service_fn(move |request: Request<Incoming>| {
        let context = Arc::clone(&shared);
        async move {
            let request = request.map(http::stream_body);
            Ok::<_, Infallible>(serve_request(context, request).await)
        }
    });
    let mut server = http2::Builder::new(rt::TokioExecutor::new());
    server
        .timer(rt::TokioTimer::new())
        .max_header_list_size(bounds.head_bytes as u32);
    let connection = server.serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = context.drain.reached(drain::DrainPhase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!("caller's connection ended: {error}");
    }
}

/// Bounds of a connection that opens now: the catalogue's, or those of the settings.
fn connection_bounds(context: &process::ProcessContext) -> http1::ConnectionBounds {
    let settings = &context.requests;
    let limits = context.in_force.borrow().listener_limits();
    let limits = limits.unwrap_or(entry::ListenerLimits {
        head_bytes: settings.head_bytes as u32,
        head_ms: settings.head_ms as u32,
        ..entry::ListenerLimits::default()
    });
    http1::ConnectionBounds {
        head_bytes: limits.head_bytes as usize,
        head_lines: settings.head_lines as usize,
        head_time: Duration::from_millis(u64::from(limits.head_ms)),
        idle_time: Duration::from_millis(u64::from(limits.idle_ms)),
    }
}

/// Serves the requests of one connection.
struct CallerService(Arc<process::ProcessContext>);

impl http1::CallService for CallerService {
    async fn serve(&self, request: http1::CallRequest) -> http1::CallResponse {
        serve_request(Arc::clone(&self.0), request).await
    }
}

async fn serve_request(
    context: Arc<process::ProcessContext>,
    request: http1::CallRequest,
) -> http1::CallResponse {
    let dialect = Arc::clone(&context.dialects.calls);
    let head = dialect.read_head(request.headers());
    let told = head.as_ref().ok().and_then(|head| head.request.clone());
    let id = told.unwrap_or_else(|| context.request_ids.new_id());
    let served = match read_request(&context, id.clone(), request, head).await {
        Ok(call) if call.may_be_claimed() => call.serve_apart().await,
        Ok(call) => call.serve(&AtomicBool::new(false)).await,
        Err(refusal) => Err(refusal),
    };
    match served {
        Ok(mut response) => {
            http::strip_hop_headers(response.headers_mut());
            dialect.tell_caller(response.headers_mut(), &id);
            response
        }
        Err(refusal) => dialect.refuse(&refusal, &id),
    }
}

/// Tells the reducer that the ingress node is done with a call, whichever way it ended.
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

/// A request whose head was checked.
struct CallerRequest {
    context: Arc<process::ProcessContext>,
    id: ids::RequestId,
    arrival: calls::CallArrival,
    parts: hyper::http::request::Parts,
    source: replay::BodySource,
}

async fn read_request(
    context: &Arc<process::ProcessContext>,
    id: ids::RequestId,
    request: http1::CallRequest,
    told: Result<dialect::CallHead, dialect::HeadFault>,
) -> Result<CallerRequest, wire::CallRefusal> {
    let malformed = || wire::CallRefusal::not_run(code::ResultCode::RequestMalformed);
    let caller = context.caller.as_ref();
    let arrival = told.and_then(|told| {
        let call = context.next_call();
        head::describe(call, &request, &told, caller)
    });
    let mut arrival = arrival.map_err(|_ambiguous| malformed())?;
    let body_bytes = check_length(context, &request)?;
    let (mut parts, body) = request.into_parts();
    let is_chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
    head::name_host(&mut parts);
    http::strip_hop_headers(&mut parts.headers);
    http::strip_internal_headers(&mut parts.headers);
    let named = context.dialects.calls.read_head(&parts.headers);
    if named.map_or(true, |head| head.request.as_ref() != Some(&id)) {
        trace::label(&mut parts.headers, &id);
    }
    let bound = context.requests.replay_bytes;
    let length = body.size_hint().exact();
    let source = replay::BodySource::new(limited(body, body_bytes), bound as usize);
    let read = match length {
        Some(length) if length <= bound => source.read_whole().await,
        None if is_chunked => source.read_first().await,
        _ => Ok(()),
    };
    read.map_err(|_broken| {
        if source.is_over_limit() {
            wire::CallRefusal::not_run(code::ResultCode::BodyOverLimit)
        } else {
            malformed()
        }
    })?;
    let body = length
        .filter(|length| *length <= bound)
        .map(|_| source.kept());
    arrival.fingerprint = head::fingerprint(&parts, arrival.key.as_deref(), body);
    Ok(CallerRequest {
        context: Arc::clone(context),
        id,
        arrival,
        parts,
        source,
    })
}

/// Refuses a body that says itself that it is larger than the catalogue allows; returns what it does.
fn check_length(
    context: &process::ProcessContext,
    request: &http1::CallRequest,
) -> Result<Option<u64>, wire::CallRefusal> {
    let limits = context.in_force.borrow().listener_limits();
    let body_bytes = limits.map(|limits| limits.body_bytes);
    let length = request.body().size_hint().lower();
    if body_bytes.is_some_and(|limit| length > limit) {
        return Err(wire::CallRefusal::not_run(code::ResultCode::BodyOverLimit));
    }
    Ok(body_bytes)
}

/// A body that breaks off where it grows beyond a limit; one that tells its length is within it.
fn limited(body: http::StreamBody, limit: Option<u64>) -> http::StreamBody {
    match limit {
        Some(limit) if body.size_hint().exact().is_none() => {
            let limit = usize::try_from(limit).unwrap_or(usize::MAX);
            Limited::new(body, limit).boxed_unsync()
        }
        _ => body,
    }
}

type ServedCall = Result<Response<http::StreamBody>, wire::CallRefusal>;

impl CallerRequest {
    /// Whether its route may have it claimed: then it goes on when its caller goes.
    fn may_be_claimed(&self) -> bool {
        let method = &self.parts.method;
        self.arrival.key.is_some() && !method.is_safe()
    }

    /// Serves the request in a task of its own, which ends with the caller unless it is claimed.
    async fn serve_apart(self) -> ServedCall {
        let (mut sender, receiver) = oneshot::channel();
        let flight = self.context.drain.in_flight();
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
            // The caller may have gone; the answer is kept for its resend.
            drop(sender.send(response));
            drop(flight);
        });
        let response = receiver.await;
        response.unwrap_or_else(|_dropped| Err(stopping()))
    }

    async fn serve(self, is_claimed: &AtomicBool) -> ServedCall {
        let (context, call) = (&self.context, self.arrival.call);
        let arrived = calls::CallEvent::Arrived(self.arrival.clone());
        let mut orders = context.engine.open_call(call, self.id.clone(), arrived);
        let guard = IngressGuard {
            context: Arc::clone(context),
            call,
        };
        let mut answer = None;
        let mut may_have_run = false;
        let sent_bytes = self.source.kept_bytes();
        while let Some(order) = orders.recv().await {
            match order {
                calls::CallEffect::Attempt(_, plan) => {
                    is_claimed.store(plan.is_claimed, Ordering::Relaxed);
                    let Some(body) = self.source.body() else {
                        return Err(not_replayable(may_have_run));
                    };
                    let (attempt, mut report) =
                        attempt::attempt(context, &plan, self.parts.clone(), body).await;
                    if attempt.is_err() && self.source.is_broken() {
                        return Err(broken_request(&self.source));
                    }
                    report.bytes += sent_bytes;
                    let result = match attempt {
                        Ok(response) => {
                            let status = response.status().as_u16();
                            answer = Some(response);
                            calls::AttemptResult::Answered { status }
                        }
                        Err(result) => result,
                    };
                    may_have_run |= leaves_doubt(&result);
                    let ended = calls::CallEvent::AttemptEnded {
                        call,
                        result,
                        report,
                    };
                    context.engine.tell(event::Event::Calls(ended));
                }
                calls::CallEffect::ForwardAnswer(_) => {
                    let answer = answer.expect("an answer has begun before it is passed");
                    if !is_claimed.load(Ordering::Relaxed) {
                        drop(guard);
                        return Ok(answer);
                    }
                    return Ok(kept::keep_answer(context, call, answer).await);
                }
                calls::CallEffect::Replay(_, answer) => return Ok(kept::replay(answer)),
                calls::CallEffect::Refuse(_, refusal) => return Err(refusal),
                calls::CallEffect::Run(..) => unreachable!("runs are ordered at the owner node"),
            }
        }
        Err(stopping())
    }
}

fn leaves_doubt(result: &calls::AttemptResult) -> bool {
    match result {
        calls::AttemptResult::Lost => true,
        calls::AttemptResult::Refused(refusal) => refusal.outcome == wire::CallOutcome::Unknown,
        calls::AttemptResult::Answered { .. } | calls::AttemptResult::NotReached => false,
    }
}

/// The body is no longer kept, so that no other try can be made.
fn not_replayable(may_have_run: bool) -> wire::CallRefusal {
    let code = code::ResultCode::BodyTooLarge;
    if may_have_run {
        wire::CallRefusal::unknown(code)
    } else {
        wire::CallRefusal::not_run(code)
    }
}

/// The caller's body broke after a part of it went out: what the target made of that is unknown.
fn broken_request(source: &replay::BodySource) -> wire::CallRefusal {
    wire::CallRefusal::unknown(if source.is_over_limit() {
        code::ResultCode::BodyOverLimit
    } else {
        code::ResultCode::RequestMalformed
    })
}

fn stopping() -> wire::CallRefusal {
    wire::CallRefusal::unknown(code::ResultCode::NodeStopping).elsewhere()
}
