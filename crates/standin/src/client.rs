//! Sends a single HTTP request on a new connection, for tools and tests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn::http1, header};
use hyper_util::rt;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpStream, time};

/// Timeout of a request, from connecting to the end of the response.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why no response was received.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// The connection could not be established, so nothing was sent.
    #[snafu(display("not connected: {source}"))]
    NotConnected {
        /// The cause.
        source: std::io::Error,
    },
    /// The connection broke. The request may have been processed.
    #[snafu(display("connection broken: {source}"))]
    Broken {
        /// The cause.
        source: hyper::Error,
    },
    /// The response did not arrive in time. The request may have been processed.
    #[snafu(display("no answer within {EXCHANGE_TIMEOUT:?}"))]
    TimedOut {
        /// The error of the timer.
        source: time::error::Elapsed,
    },
}

impl ExchangeError {
    /// Whether nothing was sent for certain.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotConnected { .. })
    }
}

/// Sends a request on a new connection and reads the whole response.
pub async fn exchange(
    to: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, ExchangeError> {
    let host = header::HeaderValue::from_str(&to.to_string());
    let host = host.expect("an address is a valid header value");
    request.headers_mut().entry(header::HOST).or_insert(host);
    let exchange = exchange_without_timeout(to, request);
    time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .context(TimedOutSnafu)?
}

async fn exchange_without_timeout(
    to: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, ExchangeError> {
    let stream = TcpStream::connect(to).await.context(NotConnectedSnafu)?;
    stream.set_nodelay(true).context(NotConnectedSnafu)?;
    let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.context(BrokenSnafu)?;
    let connection_task = tokio::spawn(connection);
    let response = sender.send_request(request).await.context(BrokenSnafu)?;
    let (parts, body) = response.into_parts();
    let bytes = body.collect().await.context(BrokenSnafu)?.to_bytes();
    connection_task.abort();
    Ok(Response::from_parts(parts, bytes))
}
