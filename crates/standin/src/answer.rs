//! Request handler of a stand-in: runs requests as scripted and serves the log, health and load
//! endpoints.

use std::{pin::Pin, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header,
};
use serde::Serialize;
use tokio::time;

use crate::{behaviour, client, endless, headers, repeat, runs, target};

/// Path of the run log.
pub const RUNS_PATH: &str = "/stand-in/runs";
/// Path to which a new behaviour is posted.
pub const BEHAVIOUR_PATH: &str = "/stand-in/behaviour";
const HEALTH_PATH: &str = "/health";
const LOAD_PATH: &str = "/load";

/// Body of a stand-in's response.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Document served at [`RUNS_PATH`].
#[derive(Debug, Serialize)]
struct RunsDocument<'a> {
    name: &'a str,
    shed: u64,
    most_running: u32,
    runs: Vec<runs::RunRecord>,
}

/// Document served at [`LOAD_PATH`].
#[derive(Debug, Serialize)]
struct LoadDocument {
    in_flight: u32,
    slots: u32,
}

/// Responds to a request as scripted.
pub async fn respond(
    target: &target::StandInTarget,
    slot: &repeat::RepeatSlot,
    raw: &endless::RawWriter,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, RUNS_PATH) => serve_runs(target),
        (&Method::POST, BEHAVIOUR_PATH) => set_behaviour(target, request).await,
        (&Method::GET, HEALTH_PATH) => serve_health(target, raw).await,
        (&Method::GET, LOAD_PATH) => serve_load(target),
        _ => {
            let mut response = run(target, slot, raw, request).await;
            set_signals(response.headers_mut(), &target.behaviour());
            response
        }
    }
}

/// Adds the rate limit and the leaving notice to a response, if the script has them.
fn set_signals(headers: &mut hyper::HeaderMap, behaviour: &behaviour::StandInBehaviour) {
    let rate_limit = behaviour.rate_limit.as_ref();
    if let Some(value) = rate_limit.and_then(|text| header::HeaderValue::from_str(text).ok()) {
        headers.insert(headers::RATE_LIMIT, value);
    }
    if behaviour.is_leaving {
        let value = header::HeaderValue::from_static(headers::LEAVING_VALUE);
        headers.insert(headers::LEAVING, value);
    }
}

fn serve_runs(target: &target::StandInTarget) -> Response<ResponseBody> {
    let log = target.log();
    json_response(&RunsDocument {
        name: target.settings().name.as_str(),
        shed: log.shed(),
        most_running: log.most_running(),
        runs: log.records(),
    })
}

async fn set_behaviour(
    target: &target::StandInTarget,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let body = request.into_body().collect().await;
    let bytes = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    match serde_json::from_slice(&bytes) {
        Ok(behaviour) => {
            target.set_behaviour(behaviour);
            text_response(StatusCode::OK, "")
        }
        Err(error) => text_response(StatusCode::UNPROCESSABLE_ENTITY, &error.to_string()),
    }
}

async fn serve_health(
    target: &target::StandInTarget,
    raw: &endless::RawWriter,
) -> Response<ResponseBody> {
    let behaviour = target.behaviour();
    if let Some(script) = behaviour.endless.filter(|script| script.is_at_probes) {
        return write_endless(raw, script, "").await;
    }
    if behaviour.reports_healthy() {
        text_response(StatusCode::OK, "well\n")
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "ill\n")
    }
}

fn serve_load(target: &target::StandInTarget) -> Response<ResponseBody> {
    let scripted = target.behaviour().told_in_flight;
    json_response(&LoadDocument {
        in_flight: scripted.unwrap_or_else(|| target.log().running()),
        slots: target.settings().slots,
    })
}

async fn run(
    target: &target::StandInTarget,
    slot: &repeat::RepeatSlot,
    raw: &endless::RawWriter,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await;
    let Ok(body) = body.map(http_body_util::Collected::to_bytes) else {
        return text_response(StatusCode::BAD_REQUEST, "the request body is truncated\n");
    };
    let number = target.log().record_arrival(parts.uri.path());
    let behaviour = target.behaviour();
    let interval = behaviour.declined_interval;
    if interval > 0 && number.is_multiple_of(interval) {
        return decline(&parts, slot, &behaviour);
    }
    let scripted = behaviour.endless.filter(|script| is_due(script, number));
    if let Some(script) = scripted.filter(|script| !script.place.is_answer()) {
        return write_endless(raw, script, request_id(&parts)).await;
    }
    let slots = behaviour.real_slots.unwrap_or(target.settings().slots);
    let Some(run) = target.log().begin(run_record(&parts, body.len()), slots) else {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no slot is free\n");
    };
    time::sleep(behaviour.latency(target.since_start())).await;
    if is_crash_request(&parts) {
        run.end(runs::RunOutcome::Crashed);
        target.crash_as_scripted(&behaviour);
        return std::future::pending().await;
    }
    if let Some(script) = scripted {
        run.end(runs::RunOutcome::Answered);
        return write_endless(raw, script, request_id(&parts)).await;
    }
    let mut text = format!(
        "{} ran {} {}\n",
        target.settings().name,
        parts.method,
        parts.uri
    );
    let mut status = StatusCode::OK;
    if let Some(next) = next_service(&behaviour, &parts) {
        let (next_status, next_text) = forward(next, &parts, body).await;
        status = next_status;
        text.push_str(&next_text);
    }
    match behaviour.answer {
        behaviour::ResponseMode::Whole => {}
        behaviour::ResponseMode::Failing => status = StatusCode::INTERNAL_SERVER_ERROR,
        behaviour::ResponseMode::Never => return std::future::pending().await,
        behaviour::ResponseMode::InPart => return stream_response(status, text, &behaviour, run),
    }
    if behaviour.pieces > 1 {
        return stream_response(status, text, &behaviour, run);
    }
    run.end(runs::RunOutcome::Answered);
    let text = pad(text, behaviour.answer_bytes);
    let mut response = text_response(status, &text);
    if behaviour.repeated_interval > 0 {
        echo_id(&parts, response.headers_mut());
        if number.is_multiple_of(behaviour.repeated_interval) {
            slot.set(late_copy(&response, &text));
        }
    }
    response
}

/// Whether the request with this number gets bytes without end.
fn is_due(script: &endless::EndlessScript, number: u64) -> bool {
    let is_at_accept = script.place == endless::EndlessPlace::Accept;
    !is_at_accept && script.interval > 0 && number.is_multiple_of(script.interval)
}

fn request_id(parts: &hyper::http::request::Parts) -> &str {
    header_text(parts, headers::REQUEST).unwrap_or_default()
}

/// Writes without end past the HTTP server, then closes the connection.
async fn write_endless(
    raw: &endless::RawWriter,
    script: endless::EndlessScript,
    request: &str,
) -> Response<ResponseBody> {
    if let Err(error) = raw.run(script, request).await {
        log::debug!("bytes without end have ended: {error}");
    }
    let mut response = text_response(StatusCode::OK, "");
    let close = header::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Declines a request, which has not run. The response is sent twice if that is scripted.
fn decline(
    parts: &hyper::http::request::Parts,
    slot: &repeat::RepeatSlot,
    behaviour: &behaviour::StandInBehaviour,
) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "");
    let headers = response.headers_mut();
    headers.insert(headers::DECLINED, header::HeaderValue::from_static("1"));
    echo_id(parts, headers);
    if behaviour.is_decline_repeated {
        slot.set(late_copy(&response, ""));
    }
    response
}

/// Adds the id of a request to the headers of its response.
fn echo_id(parts: &hyper::http::request::Parts, headers: &mut hyper::HeaderMap) {
    if let Some(id) = parts.headers.get(headers::REQUEST) {
        headers.insert(headers::REQUEST, id.clone());
    }
}

/// Returns a response with this body as it is sent on a connection.
fn late_copy(response: &Response<ResponseBody>, body: &str) -> Bytes {
    let lines = response.headers().iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes());
        format!("{name}: {value}\r\n")
    });
    let lines: String = lines.collect();
    let (status, length) = (response.status(), body.len());
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{lines}\r\n{body}").into()
}

fn run_record(parts: &hyper::http::request::Parts, body_bytes: usize) -> runs::RunRecord {
    runs::RunRecord {
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        key: header_text(parts, headers::IDEMPOTENCY_KEY).map(Into::into),
        body_bytes,
        began: 0,
        ended: None,
    }
}

fn header_text<'a>(parts: &'a hyper::http::request::Parts, name: &str) -> Option<&'a str> {
    parts
        .headers
        .get(name)
        .and_then(|value| value.to_str().ok())
}

fn is_crash_request(parts: &hyper::http::request::Parts) -> bool {
    parts.headers.contains_key(behaviour::CRASH_HEADER)
        || parts.uri.path().contains(behaviour::CRASH_MARKER)
}

fn next_service<'a>(
    behaviour: &'a behaviour::StandInBehaviour,
    parts: &hyper::http::request::Parts,
) -> Option<&'a behaviour::NextService> {
    let hops = header_text(parts, behaviour::HOPS_HEADER);
    behaviour.next.as_ref().filter(|_next| hops != Some("0"))
}

/// Calls the next service with the deadline, idempotency key and attempt number of the request and
/// the hop count decremented.
async fn forward(
    next: &behaviour::NextService,
    parts: &hyper::http::request::Parts,
    body: Bytes,
) -> (StatusCode, String) {
    let request_path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let path = next.path.as_deref().unwrap_or(request_path);
    let mut builder = Request::builder().method(parts.method.clone()).uri(path);
    for name in [
        headers::IDEMPOTENCY_KEY,
        headers::DEADLINE,
        headers::ATTEMPT,
    ] {
        if let Some(value) = parts.headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    let hops = header_text(parts, behaviour::HOPS_HEADER).and_then(|hops| hops.parse::<u32>().ok());
    if let Some(hops) = hops {
        builder = builder.header(behaviour::HOPS_HEADER, hops.saturating_sub(1));
    }
    let Ok(request) = builder.body(Full::new(body)) else {
        return (
            StatusCode::BAD_GATEWAY,
            "the path for the next service is not valid\n".into(),
        );
    };
    match client::exchange(next.callers, request).await {
        Ok(response) => {
            let text = String::from_utf8_lossy(response.body()).into_owned();
            (response.status(), text)
        }
        Err(error) => (
            StatusCode::BAD_GATEWAY,
            format!("the next service: {error}\n"),
        ),
    }
}

fn pad(mut text: String, min_bytes: usize) -> String {
    while text.len() < min_bytes {
        text.push('.');
    }
    text
}

/// State of a response body that is being streamed. The pieces are in reverse order, so that the
/// next one is popped from the end.
struct BodyStream {
    pieces: Vec<Bytes>,
    pause: Duration,
    is_truncated: bool,
    run: Option<runs::OpenRun>,
}

fn stream_response(
    status: StatusCode,
    text: String,
    behaviour: &behaviour::StandInBehaviour,
    run: runs::OpenRun,
) -> Response<ResponseBody> {
    let bytes = Bytes::from(pad(text, behaviour.answer_bytes));
    let is_truncated = behaviour.answer == behaviour::ResponseMode::InPart;
    let count = (behaviour.pieces as usize).max(2);
    let size = bytes.len().div_ceil(count).max(1);
    let mut pieces: Vec<Bytes> = (0..bytes.len())
        .step_by(size)
        .map(|from| bytes.slice(from..(from + size).min(bytes.len())))
        .collect();
    pieces.reverse();
    if is_truncated {
        pieces.remove(0);
    }
    let state = BodyStream {
        pieces,
        pause: Duration::from_millis(behaviour.piece_pause_ms),
        is_truncated,
        run: Some(run),
    };
    let length = bytes.len();
    let frames = stream::unfold(state, next_piece);
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, length.into());
    response
}

type BodyFrameFuture = Pin<Box<dyn Future<Output = Option<(BodyFrameResult, BodyStream)>> + Send>>;
type BodyFrameResult = Result<Frame<Bytes>, std::io::Error>;

fn next_piece(mut state: BodyStream) -> BodyFrameFuture {
    Box::pin(async move {
        time::sleep(state.pause).await;
        if let Some(piece) = state.pieces.pop() {
            if state.pieces.is_empty() && !state.is_truncated {
                state.end(runs::RunOutcome::Answered);
            }
            return Some((Ok(Frame::data(piece)), state));
        }
        if !state.is_truncated {
            return None;
        }
        state.end(runs::RunOutcome::Cut);
        Some((
            Err(std::io::Error::other("body truncated as scripted")),
            state,
        ))
    })
}

impl BodyStream {
    fn end(&mut self, end: runs::RunOutcome) {
        if let Some(run) = self.run.take() {
            run.end(end);
        }
    }
}

fn json_response<T: Serialize>(value: &T) -> Response<ResponseBody> {
    let text = serde_json::to_string(value).expect("the document has only text keys");
    text_response(StatusCode::OK, &text)
}

fn text_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let body = Full::new(Bytes::from(text.to_owned())).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}
