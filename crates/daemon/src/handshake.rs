//! Both sides of the handshake on connections between processes, which authenticates them by the
//! group key.

use std::time::Duration;

use hazeltiller_units::code;
use hazeltiller_wire::{codec, handshake as wire, membership};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// Maximum duration of the whole handshake. Bounds the time that a peer can hold a connection by
/// sending one byte at a time.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Error in the handshake or on the connection after it.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    /// Reading, writing or connecting failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// A frame could not be decoded.
    #[snafu(display("{source}"))]
    Decode {
        /// Cause.
        source: codec::CodecError,
    },
    /// The handshake took longer than [`HANDSHAKE_TIMEOUT`].
    #[snafu(display("handshake not complete within {HANDSHAKE_TIMEOUT:?}"))]
    TimedOut {
        /// Error of the timer.
        source: time::error::Elapsed,
    },
    /// The proof of the peer does not match the group key.
    #[snafu(display("the proof of the peer does not match the group key"))]
    ProofMismatch,
    /// The peer uses another protocol version.
    #[snafu(display("the peer uses protocol version {version}"))]
    VersionMismatch {
        /// Version of the peer.
        version: u16,
    },
}

impl HandshakeError {
    /// Returns the result code under which the error is counted, or `None` for a connection
    /// failure.
    pub fn code(&self) -> Option<code::ResultCode> {
        match self {
            Self::Io { .. } => None,
            Self::Decode { .. } | Self::VersionMismatch { .. } => {
                Some(code::ResultCode::MessageInvalid)
            }
            Self::TimedOut { .. } | Self::ProofMismatch => Some(code::ResultCode::PeerRefused),
        }
    }
}

/// What a process authenticates itself with.
#[derive(Debug, Clone)]
pub struct LinkCredentials {
    /// Identity of the process.
    pub identity: membership::PeerIdentity,
    /// The group key.
    pub key: wire::GroupKey,
}

impl LinkCredentials {
    /// Performs the handshake as the side that connected. Returns the identity of the peer.
    pub async fn open(
        &self,
        stream: &mut TcpStream,
        purpose: wire::LinkPurpose,
    ) -> Result<membership::PeerIdentity, HandshakeError> {
        time::timeout(
            HANDSHAKE_TIMEOUT,
            self.open_without_timeout(stream, purpose),
        )
        .await
        .context(TimedOutSnafu)?
    }

    /// Performs the handshake as the side that was connected to. Returns the identity of the peer
    /// and the purpose of the connection.
    pub async fn accept(
        &self,
        stream: &mut TcpStream,
    ) -> Result<(membership::PeerIdentity, wire::LinkPurpose), HandshakeError> {
        time::timeout(HANDSHAKE_TIMEOUT, self.accept_without_timeout(stream))
            .await
            .context(TimedOutSnafu)?
    }

    async fn open_without_timeout(
        &self,
        stream: &mut TcpStream,
        purpose: wire::LinkPurpose,
    ) -> Result<membership::PeerIdentity, HandshakeError> {
        let hello = wire::LinkHello {
            version: wire::WIRE_VERSION,
            purpose,
            identity: self.identity.clone(),
            nonce: rand::random(),
        };
        write_frame(stream, &hello).await?;
        let challenge: wire::LinkChallenge = read_frame(stream).await?;
        let prove = |side| {
            self.key
                .compute_proof(side, &hello, &challenge.identity, challenge.nonce)
        };
        if !wire::GroupKey::verify_proof(&prove(wire::LinkSide::Responder), &challenge.proof) {
            return Err(HandshakeError::ProofMismatch);
        }
        let proof = wire::LinkProof {
            proof: prove(wire::LinkSide::Initiator),
        };
        write_frame(stream, &proof).await?;
        Ok(challenge.identity)
    }

    async fn accept_without_timeout(
        &self,
        stream: &mut TcpStream,
    ) -> Result<(membership::PeerIdentity, wire::LinkPurpose), HandshakeError> {
        let hello: wire::LinkHello = read_frame(stream).await?;
        if hello.version != wire::WIRE_VERSION {
            return Err(HandshakeError::VersionMismatch {
                version: hello.version,
            });
        }
        let nonce = rand::random();
        let prove = |side| self.key.compute_proof(side, &hello, &self.identity, nonce);
        let challenge = wire::LinkChallenge {
            identity: self.identity.clone(),
            nonce,
            proof: prove(wire::LinkSide::Responder),
        };
        write_frame(stream, &challenge).await?;
        let reply: wire::LinkProof = read_frame(stream).await?;
        if !wire::GroupKey::verify_proof(&prove(wire::LinkSide::Initiator), &reply.proof) {
            return Err(HandshakeError::ProofMismatch);
        }
        Ok((hello.identity, hello.purpose))
    }
}

async fn write_frame<T: Serialize>(
    stream: &mut TcpStream,
    frame: &T,
) -> Result<(), HandshakeError> {
    stream
        .write_all(&codec::encode_frame(frame))
        .await
        .context(IoSnafu)
}

async fn read_frame<T: DeserializeOwned>(stream: &mut TcpStream) -> Result<T, HandshakeError> {
    let mut prefix = [0; codec::LENGTH_PREFIX_BYTES];
    stream.read_exact(&mut prefix).await.context(IoSnafu)?;
    let size = codec::frame_length(prefix).context(DecodeSnafu)?;
    if size > wire::MAX_HANDSHAKE_FRAME_BYTES {
        return Err(codec::CodecError::TooLarge { size }).context(DecodeSnafu);
    }
    let mut body = vec![0; size];
    stream.read_exact(&mut body).await.context(IoSnafu)?;
    codec::decode_body(&body).context(DecodeSnafu)
}
