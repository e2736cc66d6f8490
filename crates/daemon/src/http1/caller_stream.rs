//! The reading half of a caller's connection.

use std::{
    future,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Buf, Bytes};
use tokio::{
    io::{AsyncRead, Interest, ReadBuf, ReadHalf},
    net::tcp::OwnedReadHalf,
    time,
};

/// Interval at which a connection that is not read is checked for its end.
const CLOSE_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// A connection that can tell that its peer has closed it while data is left to read.
pub trait CloseWatch {
    /// Returns once the peer has closed its side. Waits for ever where that cannot be told.
    fn closed(&self) -> impl Future<Output = ()> + Send;
}

impl<T> CloseWatch for ReadHalf<T> {
    fn closed(&self) -> impl Future<Output = ()> + Send {
        future::pending()
    }
}

/// The reading half of a TCP connection, of which some bytes were read already.
#[derive(Debug)]
pub struct CallerStream {
    first: Bytes,
    reader: OwnedReadHalf,
}

impl CallerStream {
    /// Returns a stream that yields these bytes and then what the connection yields.
    pub fn new(first: Bytes, reader: OwnedReadHalf) -> Self {
        Self { first, reader }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.first.has_remaining() {
            let count = self.first.len().min(buf.remaining());
            buf.put_slice(&self.first.split_to(count));
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.reader).poll_read(cx, buf)
    }
}

impl CloseWatch for CallerStream {
    fn closed(&self) -> impl Future<Output = ()> + Send {
        self.reader.closed()
    }
}

impl CloseWatch for OwnedReadHalf {
    async fn closed(&self) {
        loop {
            // Readiness tells the end of a connection apart from the data before it, but is not
            // reported anew when only the former is added.
            match self.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => time::sleep(CLOSE_CHECK_PERIOD).await,
                _ => return,
            }
        }
    }
}
