//! Accepts TCP connections for all listeners of the process.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

/// Delay after a failed accept, for instance because the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts the next connection, with `TCP_NODELAY` set, and returns it with its remote address.
/// `name` identifies the listener in the log if accepting fails.
pub async fn accept(listener: &TcpListener, name: &str) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                // Fails if the connection is already closed, which the first read reports.
                drop(stream.set_nodelay(true));
                return (stream, from);
            }
            Err(error) => {
                log::warn!("{name} listener failed to accept a connection: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
