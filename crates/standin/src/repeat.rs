//! A connection on which a response can arrive a second time, in place of the next one.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Holds the response that is sent a second time on a connection, if there is one.
#[derive(Debug, Clone, Default)]
pub struct RepeatSlot {
    response: Arc<Mutex<Option<Bytes>>>,
}

impl RepeatSlot {
    /// Sets the response, with its head, as it is sent on the connection.
    pub fn set(&self, response: Bytes) {
        let mut slot = self.response.lock().unwrap_or_else(PoisonError::into_inner);
        *slot = Some(response);
    }

    fn take(&self) -> Option<Bytes> {
        let mut slot = self.response.lock().unwrap_or_else(PoisonError::into_inner);
        slot.take()
    }
}

/// Stream of a connection. Writes the response in its slot as soon as it reads from the peer, which
/// is before the server responds to what was read.
#[derive(Debug)]
pub struct RepeatStream {
    stream: TcpStream,
    slot: RepeatSlot,
}

impl RepeatStream {
    /// Wraps the stream of a connection.
    pub fn new(stream: TcpStream, slot: RepeatSlot) -> Self {
        Self { stream, slot }
    }
}

impl AsyncRead for RepeatStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let length = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > length
            && let Some(response) = self.slot.take()
        {
            // The head fits the socket's buffer, which is empty between two responses.
            let written = self.stream.try_write(&response)?;
            log::debug!("sent {written} bytes of a response a second time");
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RepeatStream {
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
}
