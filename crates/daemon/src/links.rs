//! Outgoing message connections ("links") to other processes, one for each peers address.
//!
//! A link is opened for its first message. It preserves the order of messages, but the last ones
//! can be lost when it breaks. The reducer is notified of the loss and requests again what it is
//! missing. When the queue of a link is full, further messages are dropped, so that the reducer
//! never blocks.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use hazeltiller_engine::event;
use hazeltiller_wire::{codec, handshake as wire, message};
use indexmap::IndexMap;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::mpsc,
    time,
};

use crate::{byte_counts, engine_actor, handshake, link_shares};

/// Capacity of the send queue of a link, in messages.
const QUEUE_CAPACITY_MESSAGES: usize = 512;
/// Maximum time to connect. Allows for two round trips between distant regions, and a
/// retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delays after the first connection attempt at which further ones are started in parallel. A SYN
/// that is sent while the other machine is down or the network is partitioned gets lost, and TCP
/// retransmits it only after one second: machines that all came back within 0.4 s of each other
/// spent that second waiting. The earlier attempts are kept, since on a congested path their
/// answers are merely late.
const PARALLEL_DIAL_DELAYS: [Duration; 3] = [
    Duration::from_millis(150),
    Duration::from_millis(350),
    Duration::from_millis(650),
];
/// Maximum number of acknowledgements, of one byte each, that are read at once.
const ACK_BUFFER_BYTES: usize = 64;
/// Time within which the receiver acknowledges that it has read what was sent. It detects
/// connections that are dead without an error. Later messages use a new connection, while TCP's
/// retransmission back-off might keep those on the old one waiting for seconds more.
const ACK_TIMEOUT: Duration = Duration::from_millis(1000);
/// Acknowledgement that the receiver sends when it has read all that has arrived.
pub const ACK_BYTE: u8 = 1;
/// Time without messages after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

type LinkMap = Arc<Mutex<IndexMap<SocketAddr, mpsc::Sender<Vec<u8>>>>>;

/// The links of a process, by peers address.
#[derive(Debug, Clone)]
pub struct LinkTable {
    links: LinkMap,
    credentials: handshake::LinkCredentials,
    lost_links: mpsc::UnboundedSender<SocketAddr>,
    counts: byte_counts::ByteCounts,
    shares: link_shares::LinkShares,
}

impl LinkTable {
    /// Returns an empty table, and the channel on which the addresses of lost links are reported.
    pub fn new(
        credentials: handshake::LinkCredentials,
        counts: byte_counts::ByteCounts,
    ) -> (Self, mpsc::UnboundedReceiver<SocketAddr>) {
        let (lost_links, receiver) = mpsc::unbounded_channel();
        (
            Self {
                links: LinkMap::default(),
                credentials,
                lost_links,
                counts,
                shares: link_shares::LinkShares::default(),
            },
            receiver,
        )
    }

    /// Charges messages to the link of this node from now on.
    #[must_use]
    pub fn charged_to(self, shares: link_shares::LinkShares) -> Self {
        Self { shares, ..self }
    }

    /// Queues a message for a peers address, or drops it if the queue is full.
    pub fn send(&self, to: SocketAddr, frame: &message::PeerFrame) {
        let bytes = codec::encode_frame(frame);
        let (category, size) = (frame.message.category(), bytes.len());
        let mut links = self
            .links
            .lock()
            .expect("no thread panics while it holds the lock");
        let link = links.entry(to).or_insert_with(|| self.open(to));
        match link.try_send(bytes) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                return log::warn!("send queue of the link to {to} is full; message dropped");
            }
            Err(mpsc::error::TrySendError::Closed(bytes)) => {
                *link = self.open(to);
                drop(link.try_send(bytes));
            }
        }
        self.counts.count_sent(to, category, size);
        self.shares.charge(size as u64);
    }

    fn open(&self, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY_MESSAGES);
        let (credentials, lost_links) = (self.credentials.clone(), self.lost_links.clone());
        tokio::spawn(async move {
            if let Err(error) = run_link(&credentials, to, receiver).await {
                log::debug!("link to {to} lost: {error}");
                let _ = lost_links.send(to);
            }
        });
        sender
    }
}

/// Notifies the reducer of lost links until the table is dropped.
pub async fn report_lost_links(
    mut lost_links: mpsc::UnboundedReceiver<SocketAddr>,
    engine: engine_actor::EngineHandle,
) {
    while let Some(address) = lost_links.recv().await {
        engine.tell(event::Event::LinkLost { address });
    }
}

/// Sends queued frames on a connection until it breaks, is idle or the queue is closed.
async fn run_link(
    credentials: &handshake::LinkCredentials,
    to: SocketAddr,
    mut frames: mpsc::Receiver<Vec<u8>>,
) -> Result<(), handshake::HandshakeError> {
    let stream = connect(credentials, to, wire::LinkPurpose::Messages).await?;
    let io_error = |source| handshake::HandshakeError::Io { source };
    let timed_out = || io_error(std::io::ErrorKind::TimedOut.into());
    let (mut reader, mut writer) = stream.into_split();
    let mut unacked_since = None;
    loop {
        let deadline = unacked_since.map_or_else(
            || time::Instant::now() + IDLE_TIMEOUT,
            |since| since + ACK_TIMEOUT,
        );
        let mut acks = [0; ACK_BUFFER_BYTES];
        tokio::select! {
            frame = frames.recv() => {
                let Some(mut bytes) = frame else {
                    return Ok(());
                };
                while let Ok(more) = frames.try_recv() {
                    bytes.extend_from_slice(&more);
                }
                unacked_since.get_or_insert_with(time::Instant::now);
                let writing = time::timeout(ACK_TIMEOUT, writer.write_all(&bytes));
                writing.await.map_err(|_late| timed_out())?.map_err(io_error)?;
            }
            count = reader.read(&mut acks) => match count.map_err(io_error)? {
                0 => return Err(io_error(std::io::ErrorKind::UnexpectedEof.into())),
                _ => unacked_since = None,
            },
            () = time::sleep_until(deadline) => {
                return if unacked_since.is_some() { Err(timed_out()) } else { Ok(()) };
            }
        }
    }
}

/// Connects to another process and performs the handshake. The local address of the connection is
/// the one that this process listens on, so that the other side's network can identify the sender.
pub async fn connect(
    credentials: &handshake::LinkCredentials,
    to: SocketAddr,
    purpose: wire::LinkPurpose,
) -> Result<TcpStream, handshake::HandshakeError> {
    let io_error = |source| handshake::HandshakeError::Io { source };
    let local_ip = credentials.identity.address.ip();
    let connected = time::timeout(CONNECT_TIMEOUT, dial_in_parallel(local_ip, to)).await;
    let timed_out = |_elapsed| io_error(std::io::ErrorKind::TimedOut.into());
    let mut stream = connected.map_err(timed_out)?.map_err(io_error)?;
    stream.set_nodelay(true).map_err(io_error)?;
    credentials.open(&mut stream, purpose).await?;
    Ok(stream)
}

/// Starts connection attempts until the first one ends, and returns its result: a refused
/// connection ends all attempts.
async fn dial_in_parallel(local_ip: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let started_at = time::Instant::now();
    let mut dials = FuturesUnordered::from_iter([dial(local_ip, to)]);
    for delay in PARALLEL_DIAL_DELAYS {
        tokio::select! {
            Some(dialed) = dials.next() => return dialed,
            () = time::sleep_until(started_at + delay) => dials.push(dial(local_ip, to)),
        }
    }
    let dialed = dials.next().await;
    dialed.unwrap_or_else(|| Err(std::io::ErrorKind::NotConnected.into()))
}

async fn dial(local_ip: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if to.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    if local_ip.is_ipv4() == to.is_ipv4() && !local_ip.is_unspecified() {
        socket.bind(SocketAddr::new(local_ip, 0))?;
    }
    socket.connect(to).await
}
