//! HTTP/1.1 towards callers, with the requests of one connection served side by side.
//!
//! A caller may send further requests before the first is answered. The HTTP library serves them
//! one after another, so that each waits for all before it, and it does not notice that a caller
//! has gone while another request stands in its buffer. Here every request is handed on as soon as
//! its head is read, answers go out in order, and the connection is read all the while: when the
//! caller goes, all that is on its way for it is dropped.
//!
//! Heads are parsed by the parser that the HTTP library uses too. What is ambiguous about where a
//! body ends is refused, and the connection closed.

mod answer;
mod body;
mod head;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::BytesMut;
use hyper::{Request, Response, StatusCode};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite},
    sync::mpsc,
    task::JoinHandle,
    time,
};

use crate::{drain, http};

pub use body::RequestBody;

/// Requests of one connection that are served side by side; more wait to be read. A caller that
/// sends more at once than this has its answers in order all the same.
const PIPELINE_LENGTH: usize = 16;
/// Bytes of requests that wait to be read, beyond the head that is being read: enough to notice
/// that the caller goes while its next requests wait.
const READ_AHEAD: usize = 65_536;
/// Longest time for which a caller that got the last answer of its connection may take to close it.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Room for one read, in bytes.
const READ_SIZE: usize = 8192;

/// Bounds on what a connection may send, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Most header lines.
    pub max_headers: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Longest time without a request.
    pub idle_timeout: Duration,
}

/// A request as it is handed on.
pub type CallRequest = Request<http::StreamBody>;
/// An answer as it is written.
pub type CallResponse = Response<http::StreamBody>;

/// What serves the requests of a connection.
pub trait CallHandler: Send + Sync + 'static {
    /// Serves one request; dropped when the caller goes.
    fn serve(&self, request: CallRequest) -> impl Future<Output = CallResponse> + Send;
}

/// A request that is served, dropped with its connection.
struct ServedRequest(JoinHandle<CallResponse>);

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What is written next, in the order of the requests.
enum QueuedAnswer {
    /// The caller waits for a word before it sends its body.
    Continue,
    /// The answer to a request, once there is one.
    Served {
        request: ServedRequest,
        form: answer::AnswerForm,
    },
    /// The connection cannot be read any further: this status, then it closes.
    Fault(StatusCode),
}

/// Serves a connection until it closes. Before the process stops, the last answer asks the caller
/// to close it.
pub async fn serve<R, W, S>(
    reader: R,
    writer: W,
    limits: ConnectionLimits,
    service: Arc<S>,
    drain: drain::DrainState,
) where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
    S: CallHandler,
{
    let (answers, queue) = mpsc::channel(PIPELINE_LENGTH);
    let progress = ConnectionProgress::default();
    let mut reading = ConnectionReader {
        reader,
        buffer: BytesMut::with_capacity(READ_SIZE),
        limits,
        service,
        drain: drain.clone(),
        answers,
        progress: &progress,
    };
    let writing = answer::AnswerWriter::new(writer, queue, drain, &progress);
    let mut write = std::pin::pin!(writing.run());
    let end = tokio::select! {
        end = reading.run() => Some(end),
        () = &mut write => None,
    };
    let ConnectionReader {
        mut reader,
        answers,
        ..
    } = reading;
    drop(answers);
    match end {
        Some(ReadEnd::Gone) => return,
        // Without further requests, the answers that are owed still go out.
        Some(ReadEnd::Finished) => tokio::select! {
            () = write => {}
            () = wait_gone(&mut reader) => return,
        },
        None => {}
    }
    // Closing a socket to which the caller still sends resets the connection, and with it goes what of the
    // last answer is still on its way: the caller closes first.
    if time::timeout(LINGER_TIME, wait_gone(&mut reader))
        .await
        .is_err()
    {
        log::debug!("a caller did not close its connection after the last answer");
    }
}

/// How far the two sides of a connection are; both run in one task.
#[derive(Debug, Default)]
struct ConnectionProgress {
    /// Answers that are owed or on their way out.
    owed: AtomicUsize,
    /// Whether the answer on its way out says that the connection closes after it.
    is_closing: AtomicBool,
}

/// Returns once the caller has closed its side; what it still sends is not read as requests.
async fn wait_gone<R: AsyncRead + Unpin>(reader: &mut R) {
    let mut rest = [0; READ_SIZE];
    while let Ok(1..) = reader.read(&mut rest).await {}
}

/// Why a connection is read no more.
enum ReadEnd {
    /// The caller has gone.
    Gone,
    /// No further request is taken; what was read is answered.
    Finished,
}

struct ConnectionReader<'a, R, S> {
    reader: R,
    buffer: BytesMut,
    limits: ConnectionLimits,
    service: Arc<S>,
    drain: drain::DrainState,
    answers: mpsc::Sender<QueuedAnswer>,
    progress: &'a ConnectionProgress,
}

impl<R: AsyncRead + Unpin, S: CallHandler> ConnectionReader<'_, R, S> {
    async fn run(&mut self) -> ReadEnd {
        loop {
            let head = match self.next_head().await {
                Ok(head) => head,
                Err(end) => return end,
            };
            let is_last = head.is_last;
            if let Some(end) = self.take(head).await {
                return end;
            }
            if is_last {
                return ReadEnd::Finished;
            }
        }
    }

    /// Reads the next head.
    async fn next_head(&mut self) -> Result<head::RequestHead, ReadEnd> {
        let mut began = None;
        loop {
            if !self.buffer.is_empty() {
                match head::parse(&mut self.buffer, &self.limits) {
                    Ok(Some(head)) => return Ok(head),
                    Ok(None) => {}
                    Err(fault) => return Err(self.refuse(fault).await),
                }
            }
            let has_begun = !self.buffer.is_empty();
            let until = if has_begun {
                *began.get_or_insert_with(time::Instant::now) + self.limits.head_timeout
            } else {
                time::Instant::now() + self.limits.idle_timeout
            };
            let is_quiet = self.progress.owed.load(Ordering::Relaxed) == 0;
            self.buffer.reserve(READ_SIZE);
            let closing = self.drain.clone();
            tokio::select! {
                count = self.reader.read_buf(&mut self.buffer) => match count {
                    Ok(1..) => {}
                    _ => return Err(ReadEnd::Gone),
                },
                () = time::sleep_until(until), if has_begun || is_quiet => {
                    if has_begun {
                        return Err(self.refuse(StatusCode::REQUEST_TIMEOUT).await);
                    }
                    return Err(ReadEnd::Finished);
                }
                () = closing.wait_for_phase(drain::DrainPhase::Closing), if !has_begun => {
                    return Err(ReadEnd::Finished);
                }
            }
        }
    }

    /// Hands a request on and reads its body. One that stands behind the last answer of the
    /// connection is not taken: its caller sends it again elsewhere.
    async fn take(&mut self, head: head::RequestHead) -> Option<ReadEnd> {
        if self.progress.is_closing.load(Ordering::Relaxed) {
            return Some(ReadEnd::Finished);
        }
        if head.expects_continue && self.queue(QueuedAnswer::Continue).await.is_err() {
            return Some(ReadEnd::Gone);
        }
        let (sender, body) = body::open(head.framing, &mut self.buffer);
        let form = head.form;
        let request = Request::from_parts(head.parts, body);
        let service = Arc::clone(&self.service);
        let served = tokio::spawn(async move { service.serve(request).await });
        let request = ServedRequest(served);
        if self
            .queue(QueuedAnswer::Served { request, form })
            .await
            .is_err()
        {
            return Some(ReadEnd::Gone);
        }
        match sender {
            Some(sender) => self.read_body(sender).await,
            None => None,
        }
    }

    async fn read_body(&mut self, mut sender: body::BodySender) -> Option<ReadEnd> {
        loop {
            match sender.feed(&mut self.buffer).await {
                Ok(body::BodyProgress::Whole) => return None,
                Ok(body::BodyProgress::Wanted) => {}
                // Whoever serves the request has been told; where the next one begins is unknown.
                Err(body::BodyFault) => return Some(ReadEnd::Finished),
            }
            self.buffer.reserve(READ_SIZE);
            match self.reader.read_buf(&mut self.buffer).await {
                Ok(1..) => {}
                _ => {
                    sender.break_off().await;
                    return Some(ReadEnd::Gone);
                }
            }
        }
    }

    async fn refuse(&mut self, status: StatusCode) -> ReadEnd {
        match self.queue(QueuedAnswer::Fault(status)).await {
            Ok(()) => ReadEnd::Finished,
            Err(end) => end,
        }
    }

    /// Queues an answer; while the queue is full the caller is still watched.
    async fn queue(&mut self, answer: QueuedAnswer) -> Result<(), ReadEnd> {
        let answers = self.answers.clone();
        let mut permit = std::pin::pin!(answers.reserve());
        loop {
            let has_room = self.buffer.len() < READ_AHEAD;
            self.buffer.reserve(READ_SIZE);
            tokio::select! {
                biased;
                granted = &mut permit => {
                    let Ok(granted) = granted else {
                        return Err(ReadEnd::Gone);
                    };
                    self.progress.owed.fetch_add(1, Ordering::Relaxed);
                    granted.send(answer);
                    return Ok(());
                }
                count = self.reader.read_buf(&mut self.buffer), if has_room => match count {
                    Ok(1..) => {}
                    _ => return Err(ReadEnd::Gone),
                },
            }
        }
    }
}
