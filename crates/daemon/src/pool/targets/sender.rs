//! HTTP on one connection to a target, with bounds on what is read before the final response.
//!
//! The HTTP library bounds heads by the size of its read buffer, but not the number of interim
//! responses: while they keep coming, it reads them.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll},
};

use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{TrySendError, http1},
    ext,
};
use hyper_util::rt;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::http;

/// Size of the read buffer of a connection, which holds the head of a response: as much as the head
/// of a request may have by default. The connections of a node, over a hundred, fit its memory.
const READ_BUFFER_BYTES: usize = 65_536;
/// Interim responses to one request. A target that reports progress every ten seconds sends fewer
/// in ten minutes, which is the longest deadline.
const MAX_INTERIM_RESPONSES: u32 = 64;

/// Sends requests on one connection, which closes when this and the last response are dropped.
#[derive(Debug)]
pub struct TargetSender {
    requests: http1::SendRequest<http::StreamBody>,
    /// Interim responses to the latest request.
    interim_count: Arc<AtomicU32>,
}

impl TargetSender {
    /// Starts HTTP on a connection to a target.
    pub async fn open(to: SocketAddr, stream: TcpStream) -> hyper::Result<Self> {
        let interim_count = Arc::new(AtomicU32::new(0));
        let stream = TargetStream {
            stream,
            interim_count: Arc::clone(&interim_count),
        };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let (requests, connection) = builder.handshake(rt::TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to target {to} ended with an error: {error}");
            }
        });
        Ok(Self {
            requests,
            interim_count,
        })
    }

    /// Sends a request and returns the final response.
    pub async fn send(
        &mut self,
        mut request: Request<http::StreamBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<http::StreamBody>>> {
        self.interim_count.store(0, Ordering::Relaxed);
        let count = Arc::clone(&self.interim_count);
        ext::on_informational(&mut request, move |_response| {
            count.fetch_add(1, Ordering::Relaxed);
        });
        self.requests.try_send_request(request).await
    }

    /// Returns whether the connection can take a request at once.
    pub fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }
}

/// Stream of a connection to a target, which fails once too many interim responses have come.
#[derive(Debug)]
struct TargetStream {
    stream: TcpStream,
    interim_count: Arc<AtomicU32>,
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.interim_count.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES {
            let message = format!("more than {MAX_INTERIM_RESPONSES} interim responses");
            return Poll::Ready(Err(std::io::Error::other(message)));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
