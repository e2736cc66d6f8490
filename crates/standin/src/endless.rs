//! Bytes without end that a stand-in sends in a scripted place of a response, until its peer closes
//! the connection.

use std::{
    os::fd::AsFd,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{io::AsyncWriteExt, net::TcpStream, time};

use crate::headers;

/// Minimum size of what is written repeatedly.
const BLOCK_BYTES: usize = 65_536;
/// Time after a complete response until bytes follow it on the idle connection.
const IDLE_PAUSE: Duration = Duration::from_millis(50);

/// Where the bytes without end come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndlessPlace {
    /// On a connection that was just accepted. No request is read from it.
    Accept,
    /// In place of a response; they are no head.
    Garbage,
    /// In a header value.
    Head,
    /// As interim responses, without a final one.
    Interim,
    /// In a declined response, as chunks.
    DeclinedChunks,
    /// In a declined response without a length.
    DeclinedBody,
    /// After a complete declined response.
    DeclinedSurplus,
    /// After a complete declined response, as copies of it.
    DeclinedCopies,
    /// In a response, as chunks.
    Chunks,
    /// In a response without a length.
    Body,
    /// After a complete response.
    Surplus,
    /// After a complete response, once its connection is idle.
    Idle,
    /// In the extension of a chunk.
    ChunkExtension,
    /// In the trailers of a chunked response.
    Trailers,
}

/// Which requests get bytes without end, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndlessScript {
    /// Where the bytes come.
    pub place: EndlessPlace,
    /// Sends them to each request, or on each connection for [`EndlessPlace::Accept`], whose number
    /// is a multiple of this. 0 sends them to none.
    #[serde(default)]
    pub interval: u64,
    /// Whether health probes get them.
    #[serde(default)]
    pub is_at_probes: bool,
    /// Size of a write, in bytes. 0 writes as much as fits a block.
    #[serde(default)]
    pub piece_bytes: usize,
    /// Time before each write, in milliseconds.
    #[serde(default)]
    pub piece_pause_ms: u64,
}

impl EndlessPlace {
    /// All places.
    pub const ALL: [Self; 14] = [
        Self::Accept,
        Self::Garbage,
        Self::Head,
        Self::Interim,
        Self::DeclinedChunks,
        Self::DeclinedBody,
        Self::DeclinedSurplus,
        Self::DeclinedCopies,
        Self::Chunks,
        Self::Body,
        Self::Surplus,
        Self::Idle,
        Self::ChunkExtension,
        Self::Trailers,
    ];

    /// Whether the response states that the request has run.
    pub fn is_answer(self) -> bool {
        match self {
            Self::Chunks
            | Self::Body
            | Self::Surplus
            | Self::Idle
            | Self::ChunkExtension
            | Self::Trailers => true,
            Self::Accept
            | Self::Garbage
            | Self::Head
            | Self::Interim
            | Self::DeclinedChunks
            | Self::DeclinedBody
            | Self::DeclinedSurplus
            | Self::DeclinedCopies => false,
        }
    }

    /// Returns what is sent once, and what is sent repeatedly after it.
    fn texts(self, request: &str) -> (String, String) {
        let ok = |rest: &str| format!("HTTP/1.1 200 OK\r\n{rest}");
        let declined = |rest: &str| {
            let (name, id) = (headers::DECLINED, headers::REQUEST);
            format!(
                "HTTP/1.1 503 Service Unavailable\r\n{name}: 1\r\n{id}: {request}\r\n{rest}\r\n"
            )
        };
        let (chunked, whole) = ("transfer-encoding: chunked\r\n", "content-length: 0\r\n");
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
        let whole_response = ok("content-length: 2\r\n\r\nok");
        let (first, repeated) = match self {
            Self::Accept | Self::Garbage => (String::new(), "garbage "),
            Self::Head => (ok("x-long: "), "x"),
            Self::Interim => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
            Self::DeclinedChunks => (declined(chunked), chunk.as_str()),
            Self::DeclinedBody => (declined(""), "x"),
            Self::DeclinedSurplus => (declined(whole), "x"),
            Self::DeclinedCopies => return (String::new(), declined(whole)),
            Self::Chunks => (ok(chunked) + "\r\n", chunk.as_str()),
            Self::Body => (ok("\r\n"), "x"),
            Self::Surplus | Self::Idle => (whole_response, "x"),
            Self::ChunkExtension => (ok(chunked) + "\r\n2;", "x"),
            Self::Trailers => (ok(chunked) + "\r\n2\r\nok\r\n0\r\n", "x-trailer: x\r\n"),
        };
        (first, repeated.to_owned())
    }
}

/// What was sent without end so far.
#[derive(Debug, Default)]
struct EndlessCounts {
    accepted: AtomicU64,
    begun: AtomicU64,
    ended: AtomicU64,
    bytes: AtomicU64,
}

/// Counts what a stand-in sends without end.
#[derive(Debug, Clone, Default)]
pub struct EndlessLog {
    counts: Arc<EndlessCounts>,
}

impl EndlessLog {
    /// Returns the number of connections on which bytes were sent without end.
    pub fn begun(&self) -> u64 {
        self.counts.begun.load(Ordering::Relaxed)
    }

    /// Returns how many of these have been closed.
    pub fn ended(&self) -> u64 {
        self.counts.ended.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that the connections took.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.load(Ordering::Relaxed)
    }

    /// Logs an accepted connection and returns its number, from 1.
    pub(crate) fn record_accept(&self) -> u64 {
        self.counts.accepted.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// A second handle of a connection, which writes past the HTTP server.
#[derive(Debug, Clone)]
pub struct RawWriter {
    stream: Arc<std::net::TcpStream>,
    log: EndlessLog,
}

/// Logs the end of a connection when it is dropped, which covers a cancelled task.
struct OpenWrite(EndlessLog);

impl Drop for OpenWrite {
    fn drop(&mut self) {
        self.0.counts.ended.fetch_add(1, Ordering::Relaxed);
    }
}

impl RawWriter {
    /// Duplicates the handle of a connection.
    pub fn new(stream: &TcpStream, log: EndlessLog) -> std::io::Result<Self> {
        let stream = stream.as_fd().try_clone_to_owned()?.into();
        let stream = Arc::new(stream);
        Ok(Self { stream, log })
    }

    /// Writes as scripted in response to the request with this id, until the connection is closed.
    pub async fn run(&self, script: EndlessScript, request: &str) -> std::io::Result<()> {
        let (first, repeated) = script.place.texts(request);
        let mut stream = TcpStream::from_std(self.stream.try_clone()?)?;
        self.log.counts.begun.fetch_add(1, Ordering::Relaxed);
        let _open = OpenWrite(self.log.clone());
        stream.write_all(first.as_bytes()).await?;
        if script.place == EndlessPlace::Idle {
            time::sleep(IDLE_PAUSE).await;
        }
        let block = repeated.repeat(BLOCK_BYTES.div_ceil(repeated.len()));
        let piece_bytes = match script.piece_bytes {
            0 => block.len(),
            bytes => bytes,
        };
        let pause = Duration::from_millis(script.piece_pause_ms);
        loop {
            for piece in block.as_bytes().chunks(piece_bytes) {
                if !pause.is_zero() {
                    time::sleep(pause).await;
                }
                stream.write_all(piece).await?;
                let counts = &self.log.counts;
                counts
                    .bytes
                    .fetch_add(piece.len() as u64, Ordering::Relaxed);
            }
        }
    }
}
