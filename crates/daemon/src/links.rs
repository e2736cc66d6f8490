//! Links that carry messages to other processes, one a peers address, opened when first needed.
//!
//! A link keeps the order of its messages and may lose its tail when it breaks; the reducer is
//! told and asks again for what it misses. A full link drops messages rather than hold the
//! reducer up.

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

use crate::{byte_counts, engine_actor, handshake};

/// Messages that wait on one link.
const QUEUE_LENGTH: usize = 512;
/// Longest time to connect: twice a round trip between distant regions, and once more for a packet
/// that was lost.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Times after the first dial at which another one is made beside it. The packet that opens a connection
/// is lost where the other machine has no power or the link is cut, and the network sends it again only
/// after a second: a fleet whose machines all come back within 0.4 s of each other waited out that second.
/// The first dial stays, for on a choked link its answer is merely late.
const REDIALS: [Duration; 3] = [
    Duration::from_millis(150),
    Duration::from_millis(350),
    Duration::from_millis(650),
];
/// Acknowledgements that are read at once.
const ACKS_AT_ONCE: usize = 64;
/// Time within which the other side says that it has read what was sent. A link that goes silent
/// without a word of the network is found by this; its messages go over a new one, while the old one
/// might wait for seconds more to be tried again by the network's own back-off.
const ACK_TIMEOUT: Duration = Duration::from_millis(1000);
/// What the other side answers to what it has read.
pub const ACK_BYTE: u8 = 1;
/// A link without messages for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

type LinkMap = Arc<Mutex<IndexMap<SocketAddr, mpsc::Sender<Vec<u8>>>>>;

/// Every link of a process.
#[derive(Debug, Clone)]
pub struct LinkTable {
    links: LinkMap,
    credentials: handshake::LinkCredentials,
    losses: mpsc::UnboundedSender<SocketAddr>,
    counts: byte_counts::ByteCounts,
}

impl LinkTable {
    /// A table without links, and where lost links are reported.
    pub fn new(
        credentials: handshake::LinkCredentials,
        counts: byte_counts::ByteCounts,
    ) -> (Self, mpsc::UnboundedReceiver<SocketAddr>) {
        let (losses, receiver) = mpsc::unbounded_channel();
        (
            Self {
                links: LinkMap::default(),
                credentials,
                losses,
                counts,
            },
            receiver,
        )
    }

    /// Sends a message, or drops it when the link is full.
    pub fn send(&self, to: SocketAddr, frame: &message::PeerFrame) {
        let bytes = codec::encode_frame(frame);
        let (reason, size) = (frame.message.category(), bytes.len());
        let mut links = self.links.lock().expect("no holder of the lock panics");
        let link = links.entry(to).or_insert_with(|| self.open(to));
        match link.try_send(bytes) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                return log::warn!("link to {to} is full");
            }
            Err(mpsc::error::TrySendError::Closed(bytes)) => {
                *link = self.open(to);
                drop(link.try_send(bytes));
            }
        }
        self.counts.sent(to, reason, size);
    }

    fn open(&self, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        let (credentials, losses) = (self.credentials.clone(), self.losses.clone());
        tokio::spawn(async move {
            if let Err(error) = carry(&credentials, to, receiver).await {
                log::debug!("link to {to} lost: {error}");
                let _ = losses.send(to);
            }
        });
        sender
    }
}

/// Tells the reducer of lost links until the table is gone.
pub async fn report_losses(
    mut losses: mpsc::UnboundedReceiver<SocketAddr>,
    engine: engine_actor::EngineHandle,
) {
    while let Some(address) = losses.recv().await {
        engine.tell(event::Event::LinkLost { address });
    }
}

async fn carry(
    credentials: &handshake::LinkCredentials,
    to: SocketAddr,
    mut frames: mpsc::Receiver<Vec<u8>>,
) -> Result<(), handshake::GreetingError> {
    let stream = connect(credentials, to, wire::LinkPurpose::Messages).await?;
    let broken = |source| handshake::GreetingError::Broken { source };
    let timed_out = || broken(std::io::ErrorKind::TimedOut.into());
    let (mut reader, mut writer) = stream.into_split();
    let mut unread_since = None;
    loop {
        let until = unread_since.map_or_else(
            || time::Instant::now() + IDLE_TIMEOUT,
            |since| since + ACK_TIMEOUT,
        );
        let mut acks = [0; ACKS_AT_ONCE];
        tokio::select! {
            frame = frames.recv() => {
                let Some(mut bytes) = frame else {
                    return Ok(());
                };
                while let Ok(more) = frames.try_recv() {
                    bytes.extend_from_slice(&more);
                }
                unread_since.get_or_insert_with(time::Instant::now);
                let writing = time::timeout(ACK_TIMEOUT, writer.write_all(&bytes));
                writing.await.map_err(|_late| timed_out())?.map_err(broken)?;
            }
            count = reader.read(&mut acks) => match count.map_err(broken)? {
                0 => return Err(broken(std::io::ErrorKind::UnexpectedEof.into())),
                _ => unread_since = None,
            },
            () = time::sleep_until(until) => {
                return if unread_since.is_some() { Err(timed_out()) } else { Ok(()) };
            }
        }
    }
}

/// Connects to another process and greets it. The connection comes from the address that this
/// process listens on, so that the other side's network can tell who it is from.
pub async fn connect(
    credentials: &handshake::LinkCredentials,
    to: SocketAddr,
    purpose: wire::LinkPurpose,
) -> Result<TcpStream, handshake::GreetingError> {
    let broken = |source| handshake::GreetingError::Broken { source };
    let own = credentials.identity.address.ip();
    let connected = time::timeout(CONNECT_TIMEOUT, dial_repeatedly(own, to)).await;
    let timed_out = |_elapsed| broken(std::io::ErrorKind::TimedOut.into());
    let mut stream = connected.map_err(timed_out)?.map_err(broken)?;
    stream.set_nodelay(true).map_err(broken)?;
    credentials.open(&mut stream, purpose).await?;
    Ok(stream)
}

/// Dials until one of the dials is answered; one that is refused ends them all.
async fn dial_repeatedly(own: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let began = time::Instant::now();
    let mut dials = FuturesUnordered::from_iter([dial(own, to)]);
    for redial in REDIALS {
        tokio::select! {
            Some(dialed) = dials.next() => return dialed,
            () = time::sleep_until(began + redial) => dials.push(dial(own, to)),
        }
    }
    let dialed = dials.next().await;
    dialed.unwrap_or_else(|| Err(std::io::ErrorKind::NotConnected.into()))
}

async fn dial(own: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if to.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    if own.is_ipv4() == to.is_ipv4() && !own.is_unspecified() {
        socket.bind(SocketAddr::new(own, 0))?;
    }
    socket.connect(to).await
}
