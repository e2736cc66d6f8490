//! HTTP/1.1 server for callers that handles pipelined requests of a connection concurrently.
//!
//! The hyper server handles pipelined requests one after another, so that each waits for all before
//! it, and does not notice that the caller has disconnected while another request is buffered. This
//! server dispatches each request as soon as its head is read and writes the responses in order. It
//! keeps reading the connection meanwhile, and cancels all requests in flight when the caller
//! disconnects. Behind a response whose end is unknown no request is dispatched until it has ended.
//!
//! Heads are parsed with httparse, as in hyper. A request whose body framing is invalid is
//! rejected, and the connection is closed.

mod body;
mod caller_stream;
mod head;
mod pipeline;
mod response_writer;

use std::{
    future,
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
pub use caller_stream::{CallerStream, CloseWatch};
pub use pipeline::PipelinePosition;

/// Maximum number of responses queued per connection. Further requests are not parsed until the
/// queue has room, and are still answered in order.
const MAX_PIPELINED_REQUESTS: usize = 16;
/// Bytes to buffer while the response queue is full. Reading on detects that the caller
/// disconnects while its next requests wait.
const READ_AHEAD_BYTES: usize = 65_536;
/// Bytes that a connection may buffer without counting them as held for its caller.
const UNCOUNTED_BYTES: usize = 16_384;
/// Time allowed for a caller to close its connection after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of a body that are discarded once its handler has responded, and on a connection that is
/// about to close. Up to there the caller of a request that was refused early is sure to get the
/// response: a connection that closes while its caller is sending may be reset first.
const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// Buffer space reserved for one read.
const MIN_READ_BUFFER_BYTES: usize = 8192;

/// Limits on the request heads and the idle time of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of headers.
    pub max_headers: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Maximum time without a request.
    pub idle_timeout: Duration,
}

/// A request as passed to the handler.
pub type CallRequest = Request<http::StreamBody>;
/// A response as returned by the handler.
pub type CallResponse = Response<http::StreamBody>;

/// Handles the requests of a connection.
pub trait CallHandler: Send + Sync + 'static {
    /// A request that is to be handled.
    type Admitted: Send;
    /// Bytes that are counted as held until it is dropped.
    type Reservation: Send;

    /// Admits a request whose head was read. The error is the response that refuses it, after which
    /// the connection closes: the rest of its body is not read.
    fn admit(&self, request: CallRequest) -> Result<Self::Admitted, Box<CallResponse>>;

    /// Handles one request. The future is dropped if the caller disconnects.
    fn serve(
        &self,
        admitted: Self::Admitted,
        position: Arc<PipelinePosition>,
    ) -> impl Future<Output = CallResponse> + Send;

    /// Counts bytes that the connection is about to read ahead. Returns `None` if it may not.
    fn reserve(&self, bytes: u64) -> Option<Self::Reservation>;
}

/// The task that handles a request. It is aborted on drop, that is when its connection ends.
struct RequestTask(JoinHandle<CallResponse>);

impl Drop for RequestTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An item of the response queue, which is in the order of the requests.
enum QueuedResponse {
    /// An interim `100 Continue` response: the caller waits for it before it sends the body.
    Continue,
    /// The response to a request, once its task has returned it.
    Served {
        request: RequestTask,
        /// Dropped once the response is written.
        position: Arc<PipelinePosition>,
        options: response_writer::ResponseOptions,
    },
    /// The response to a request that was not admitted, after which the connection closes.
    Refused {
        response: Box<CallResponse>,
        options: response_writer::ResponseOptions,
    },
    /// A response with this status, after which the connection closes: no further request can be
    /// read from it.
    Error(StatusCode),
}

/// Serves a connection until it closes. While the node drains, the last response queued carries
/// `connection: close`.
pub async fn serve<R, W, S>(
    reader: R,
    writer: W,
    limits: ConnectionLimits,
    service: Arc<S>,
    drain: drain::DrainState,
) where
    R: AsyncRead + CloseWatch + Unpin,
    W: AsyncWrite + Unpin,
    S: CallHandler,
{
    let (responses, queue) = mpsc::channel(MAX_PIPELINED_REQUESTS);
    let progress = ConnectionProgress::default();
    let mut reading = ConnectionReader {
        reader,
        buffer: BytesMut::with_capacity(MIN_READ_BUFFER_BYTES),
        limits,
        service,
        drain: drain.clone(),
        responses,
        progress: &progress,
        pipeline: Arc::default(),
        held: None,
    };
    let writing = response_writer::ResponseWriter::new(writer, queue, drain, &progress);
    let mut write = std::pin::pin!(writing.run());
    let end = tokio::select! {
        end = reading.run() => Some(end),
        () = &mut write => None,
    };
    let ConnectionReader {
        mut reader,
        responses,
        ..
    } = reading;
    drop(responses);
    match end {
        Some(ReadStopReason::Disconnected) => return,
        // No further requests are read, but pending responses are still written.
        Some(ReadStopReason::Finished) => tokio::select! {
            () = write => {}
            () = wait_for_close(&mut reader) => return,
        },
        None => {}
    }
    // Closing a socket with unread data resets the connection, which can discard the end of the
    // last response. So the caller is given time to close it first.
    if time::timeout(LINGER_TIMEOUT, wait_for_close(&mut reader))
        .await
        .is_err()
    {
        log::debug!(
            "caller did not close its connection within {LINGER_TIMEOUT:?} of the last response"
        );
    }
}

/// State shared by the reader and the writer of a connection, which run in one task.
#[derive(Debug, Default)]
struct ConnectionProgress {
    /// Number of responses that are queued or being written.
    pending: AtomicUsize,
    /// Whether the response being written announces that the connection closes after it.
    is_closing: AtomicBool,
}

/// Returns once the caller has closed its side. What it still sends is discarded, up to a bound; then
/// no more is read.
async fn wait_for_close<R: AsyncRead + Unpin>(reader: &mut R) {
    let mut rest = [0; MIN_READ_BUFFER_BYTES];
    let mut discarded_bytes = 0;
    while let Ok(count @ 1..) = reader.read(&mut rest).await {
        discarded_bytes += count;
        if discarded_bytes > MAX_DISCARDED_BYTES {
            return future::pending().await;
        }
    }
}

/// Why the reader of a connection stopped.
enum ReadStopReason {
    /// The caller has disconnected, or the writer has stopped.
    Disconnected,
    /// No further requests are accepted. Those already read are answered.
    Finished,
}

/// Reads the requests of a connection and dispatches them.
struct ConnectionReader<'a, R, S: CallHandler> {
    reader: R,
    buffer: BytesMut,
    limits: ConnectionLimits,
    service: Arc<S>,
    drain: drain::DrainState,
    responses: mpsc::Sender<QueuedResponse>,
    progress: &'a ConnectionProgress,
    pipeline: Arc<pipeline::PipelineState>,
    /// What is counted for the buffer while it is large.
    held: Option<S::Reservation>,
}

impl<R: AsyncRead + CloseWatch + Unpin, S: CallHandler> ConnectionReader<'_, R, S> {
    async fn run(&mut self) -> ReadStopReason {
        loop {
            let head = match self.next_head().await {
                Ok(head) => head,
                Err(end) => return end,
            };
            let is_last = head.is_last;
            if let Some(end) = self.dispatch(head).await {
                return end;
            }
            if is_last {
                return ReadStopReason::Finished;
            }
        }
    }

    /// Reads the next request head.
    async fn next_head(&mut self) -> Result<head::RequestHead, ReadStopReason> {
        let mut head_started_at = None;
        loop {
            if !self.buffer.is_empty() {
                match head::parse(&mut self.buffer, &self.limits) {
                    Ok(Some(head)) => return Ok(head),
                    Ok(None) => {}
                    Err(status) => return Err(self.enqueue_error(status).await),
                }
            }
            let has_partial_head = !self.buffer.is_empty();
            let deadline = if has_partial_head {
                *head_started_at.get_or_insert_with(time::Instant::now) + self.limits.head_timeout
            } else {
                time::Instant::now() + self.limits.idle_timeout
            };
            if !self.count_buffer() {
                return Err(self.enqueue_error(StatusCode::SERVICE_UNAVAILABLE).await);
            }
            let is_idle = self.progress.pending.load(Ordering::Relaxed) == 0;
            self.buffer.reserve(MIN_READ_BUFFER_BYTES);
            let closing = self.drain.clone();
            tokio::select! {
                count = self.reader.read_buf(&mut self.buffer) => match count {
                    Ok(1..) => {}
                    _ => return Err(ReadStopReason::Disconnected),
                },
                () = time::sleep_until(deadline), if has_partial_head || is_idle => {
                    if has_partial_head {
                        return Err(self.enqueue_error(StatusCode::REQUEST_TIMEOUT).await);
                    }
                    return Err(ReadStopReason::Finished);
                }
                () = closing.wait_for_phase(drain::DrainPhase::Closing), if !has_partial_head => {
                    return Err(ReadStopReason::Finished);
                }
            }
        }
    }

    /// Spawns the handler of a request and reads its body. A request that follows the last response
    /// of the connection is discarded: its caller has to send it again on another connection.
    async fn dispatch(&mut self, head: head::RequestHead) -> Option<ReadStopReason> {
        let position = Arc::new(self.pipeline.announce());
        if let Err(end) = self.wait_for_streams().await {
            return Some(end);
        }
        if self.progress.is_closing.load(Ordering::Relaxed) {
            return Some(ReadStopReason::Finished);
        }
        if head.expects_continue && self.enqueue(QueuedResponse::Continue).await.is_err() {
            return Some(ReadStopReason::Disconnected);
        }
        let (sender, body) = body::open(head.framing, &mut self.buffer);
        let options = head.options;
        let request = Request::from_parts(head.parts, body);
        let admitted = match self.service.admit(request) {
            Ok(admitted) => admitted,
            Err(response) => {
                let refused = QueuedResponse::Refused { response, options };
                let end = self.enqueue(refused).await.err();
                return Some(end.unwrap_or(ReadStopReason::Finished));
            }
        };
        let service = Arc::clone(&self.service);
        let own_position = Arc::clone(&position);
        let task = tokio::spawn(async move { service.serve(admitted, own_position).await });
        let queued = QueuedResponse::Served {
            request: RequestTask(task),
            position,
            options,
        };
        if self.enqueue(queued).await.is_err() {
            return Some(ReadStopReason::Disconnected);
        }
        match sender {
            Some(sender) => self.read_body(sender).await,
            None => None,
        }
    }

    /// Reads a body for its handler. While the handler takes none of it, the connection is not read,
    /// but watched for its end.
    async fn read_body(&mut self, mut sender: body::BodySender) -> Option<ReadStopReason> {
        loop {
            let fed = tokio::select! {
                biased;
                fed = sender.feed(&mut self.buffer) => fed,
                () = self.reader.closed() => return Some(ReadStopReason::Disconnected),
            };
            match fed {
                Ok(body::BodyProgress::Complete) => return None,
                Ok(body::BodyProgress::Incomplete) => {}
                // The handler has been notified. The start of the next request is unknown.
                Err(body::FramingError) => return Some(ReadStopReason::Finished),
            }
            self.buffer.reserve(MIN_READ_BUFFER_BYTES);
            match self.reader.read_buf(&mut self.buffer).await {
                Ok(1..) => {}
                _ => {
                    sender.abort().await;
                    return Some(ReadStopReason::Disconnected);
                }
            }
        }
    }

    /// Counts the buffer as held if it is large. Returns whether more may be read into it.
    fn count_buffer(&mut self) -> bool {
        if self.buffer.len() <= UNCOUNTED_BYTES {
            self.held = None;
        } else if self.held.is_none() {
            self.held = self.service.reserve(READ_AHEAD_BYTES as u64);
            return self.held.is_some();
        }
        true
    }

    async fn enqueue_error(&mut self, status: StatusCode) -> ReadStopReason {
        match self.enqueue(QueuedResponse::Error(status)).await {
            Ok(()) => ReadStopReason::Finished,
            Err(end) => end,
        }
    }

    /// Waits until no response of unknown length is being passed on. Keeps reading to detect a
    /// disconnect.
    async fn wait_for_streams(&mut self) -> Result<(), ReadStopReason> {
        let pipeline = Arc::clone(&self.pipeline);
        let mut streams = std::pin::pin!(pipeline.wait_for_streams());
        loop {
            tokio::select! {
                biased;
                () = &mut streams => return Ok(()),
                read = self.read_ahead() => read?,
            }
        }
    }

    /// Reads into the buffer. Once it is full, the connection is only watched for its end.
    async fn read_ahead(&mut self) -> Result<(), ReadStopReason> {
        if self.buffer.len() >= READ_AHEAD_BYTES || !self.count_buffer() {
            self.reader.closed().await;
            return Err(ReadStopReason::Disconnected);
        }
        self.buffer.reserve(MIN_READ_BUFFER_BYTES);
        match self.reader.read_buf(&mut self.buffer).await {
            Ok(1..) => Ok(()),
            _ => Err(ReadStopReason::Disconnected),
        }
    }

    /// Queues a response. While the queue is full, keeps reading to detect a disconnect.
    async fn enqueue(&mut self, response: QueuedResponse) -> Result<(), ReadStopReason> {
        let responses = self.responses.clone();
        let mut permit = std::pin::pin!(responses.reserve());
        loop {
            tokio::select! {
                biased;
                granted = &mut permit => {
                    let Ok(granted) = granted else {
                        return Err(ReadStopReason::Disconnected);
                    };
                    self.progress.pending.fetch_add(1, Ordering::Relaxed);
                    granted.send(response);
                    return Ok(());
                }
                read = self.read_ahead() => read?,
            }
        }
    }
}
