//! Accepts TCP connections for all listeners of the process, up to the limit of each.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use hazeltiller_engine::{connections, settings};
use http_body_util::BodyExt;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

use crate::{client_connections, counted_stream, http};

/// Delay after a failed accept, for instance because the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A connection of a client that was accepted and registered.
#[derive(Debug)]
pub struct AcceptedClient {
    /// The connection, with `TCP_NODELAY` set.
    pub stream: TcpStream,
    /// Its remote address.
    pub from: SocketAddr,
    /// Its place among the connections of the listener.
    pub guard: client_connections::ConnectionGuard,
}

/// Accepts the next connection that the limit of the listener allows. One above it is closed.
pub async fn accept(
    registry: &client_connections::ConnectionRegistry,
    listener: &TcpListener,
    kind: connections::ListenerKind,
) -> AcceptedClient {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                // Fails if the connection is already closed, which the first read reports.
                drop(stream.set_nodelay(true));
                if let Some(guard) = registry.register(kind).await {
                    return AcceptedClient {
                        stream,
                        from,
                        guard,
                    };
                }
            }
            Err(error) => {
                log::warn!("{kind} listener failed to accept a connection: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the HTTP/1.1 requests of a connection of a target, an operator or a readiness check, one
/// after the other, until it ends or has to be closed.
pub async fn serve_requests<R>(
    accepted: AcceptedClient,
    tunables: &settings::ConnectionTunables,
    handler: impl Fn(Request<Incoming>) -> R,
) where
    R: Future<Output = Response<http::StreamBody>>,
{
    let AcceptedClient { stream, guard, .. } = accepted;
    let connection = guard.connection();
    let service = service::service_fn(|request| {
        let open = connection.begin_request();
        let response = handler(request);
        async move {
            let charge = |body| client_connections::ChargedBody::new(body, open, u64::MAX);
            let response = response.await.map(|body| charge(body).boxed_unsync());
            Ok::<_, Infallible>(response)
        }
    });
    let stream = counted_stream::CountedStream::new(stream, connection.written());
    let serving = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(settings::millis(tunables.head_ms))
        .serve_connection(rt::TokioIo::new(stream), service);
    let served = tokio::select! {
        served = serving => served,
        () = guard.closed() => Ok(()),
    };
    if let Err(error) = served {
        log::debug!("a connection ended with an error: {error}");
    }
}
