//! The keyed greeting on every connection between processes, on both sides of it.

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

/// Longest time for the whole greeting; ends a peer that sends byte by byte.
pub const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a connection was closed during its greeting.
#[derive(Debug, Snafu)]
pub enum GreetingError {
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// Why.
        source: std::io::Error,
    },
    /// A frame was no greeting.
    #[snafu(display("{source}"))]
    Unreadable {
        /// Why.
        source: codec::CodecError,
    },
    /// It took too long.
    #[snafu(display("the greeting took over {GREETING_TIMEOUT:?}"))]
    TooSlow {
        /// The timer's word.
        source: time::error::Elapsed,
    },
    /// The other side lacks the group key.
    #[snafu(display("the other side did not prove the group key"))]
    Unproven,
    /// The other side speaks another version.
    #[snafu(display("the other side speaks version {version}"))]
    OtherVersion {
        /// Its version.
        version: u16,
    },
}

impl GreetingError {
    /// The code that it counts under; `None` for a link that only broke.
    pub fn code(&self) -> Option<code::ResultCode> {
        match self {
            Self::Broken { .. } => None,
            Self::Unreadable { .. } | Self::OtherVersion { .. } => {
                Some(code::ResultCode::MessageInvalid)
            }
            Self::TooSlow { .. } | Self::Unproven => Some(code::ResultCode::PeerRefused),
        }
    }
}

/// What a process greets with.
#[derive(Debug, Clone)]
pub struct LinkCredentials {
    /// Who it is.
    pub identity: membership::PeerIdentity,
    /// The group key.
    pub key: wire::GroupKey,
}

impl LinkCredentials {
    /// Greets as the side that connected; returns who answered.
    pub async fn open(
        &self,
        stream: &mut TcpStream,
        purpose: wire::LinkPurpose,
    ) -> Result<membership::PeerIdentity, GreetingError> {
        time::timeout(GREETING_TIMEOUT, self.open_slowly(stream, purpose))
            .await
            .context(TooSlowSnafu)?
    }

    /// Greets as the side that was connected to; returns who connected and what for.
    pub async fn accept(
        &self,
        stream: &mut TcpStream,
    ) -> Result<(membership::PeerIdentity, wire::LinkPurpose), GreetingError> {
        time::timeout(GREETING_TIMEOUT, self.accept_slowly(stream))
            .await
            .context(TooSlowSnafu)?
    }

    async fn open_slowly(
        &self,
        stream: &mut TcpStream,
        purpose: wire::LinkPurpose,
    ) -> Result<membership::PeerIdentity, GreetingError> {
        let hello = wire::LinkHello {
            version: wire::WIRE_VERSION,
            purpose,
            identity: self.identity.clone(),
            nonce: rand::random(),
        };
        write_greeting(stream, &hello).await?;
        let challenge: wire::LinkChallenge = read_greeting(stream).await?;
        let prove = |side| {
            self.key
                .compute_proof(side, &hello, &challenge.identity, challenge.nonce)
        };
        if !wire::GroupKey::verify_proof(&prove(wire::LinkSide::Responder), &challenge.proof) {
            return Err(GreetingError::Unproven);
        }
        let proof = wire::LinkProof {
            proof: prove(wire::LinkSide::Initiator),
        };
        write_greeting(stream, &proof).await?;
        Ok(challenge.identity)
    }

    async fn accept_slowly(
        &self,
        stream: &mut TcpStream,
    ) -> Result<(membership::PeerIdentity, wire::LinkPurpose), GreetingError> {
        let hello: wire::LinkHello = read_greeting(stream).await?;
        if hello.version != wire::WIRE_VERSION {
            return Err(GreetingError::OtherVersion {
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
        write_greeting(stream, &challenge).await?;
        let answer: wire::LinkProof = read_greeting(stream).await?;
        if !wire::GroupKey::verify_proof(&prove(wire::LinkSide::Initiator), &answer.proof) {
            return Err(GreetingError::Unproven);
        }
        Ok((hello.identity, hello.purpose))
    }
}

async fn write_greeting<T: Serialize>(
    stream: &mut TcpStream,
    greeting: &T,
) -> Result<(), GreetingError> {
    stream
        .write_all(&codec::encode_frame(greeting))
        .await
        .context(BrokenSnafu)
}

async fn read_greeting<T: DeserializeOwned>(stream: &mut TcpStream) -> Result<T, GreetingError> {
    let mut prefix = [0; codec::LENGTH_PREFIX_BYTES];
    stream.read_exact(&mut prefix).await.context(BrokenSnafu)?;
    let size = codec::frame_length(prefix).context(UnreadableSnafu)?;
    if size > wire::MAX_HANDSHAKE_FRAME_BYTES {
        return Err(codec::CodecError::TooLarge { size }).context(UnreadableSnafu);
    }
    let mut body = vec![0; size];
    stream.read_exact(&mut body).await.context(BrokenSnafu)?;
    codec::decode_body(&body).context(UnreadableSnafu)
}
