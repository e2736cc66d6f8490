//! Mutual authentication of two processes by the shared group key when a link is opened.
//!
//! Both sides send a fresh nonce, and each proves the key by a keyed hash over both nonces and its
//! own side of the connection. A proof cannot be replayed on another connection or reflected to its
//! sender, and neither side reads messages before it has verified the other's proof.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::membership;

/// Version of the handshake and of the messages that follow it.
pub const WIRE_VERSION: u16 = 3;
/// Maximum size of a handshake frame, in bytes.
pub const MAX_HANDSHAKE_FRAME_BYTES: usize = 4096;

/// Purpose of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LinkPurpose {
    /// Framed messages, from the initiator to the responder.
    Messages,
    /// Calls over HTTP/2, from the initiator to the responder.
    Calls,
    /// Requests and responses over JSON-RPC.
    Questions,
}

/// First frame, from the initiator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkHello {
    /// [`WIRE_VERSION`] of the sender.
    pub version: u16,
    /// Purpose of the connection.
    pub purpose: LinkPurpose,
    /// Identity of the initiator.
    pub identity: membership::PeerIdentity,
    /// Random bytes, drawn anew for each connection.
    pub nonce: [u8; 16],
}

/// Second frame, from the responder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkChallenge {
    /// Identity of the responder.
    pub identity: membership::PeerIdentity,
    /// Random bytes, drawn anew for each connection.
    pub nonce: [u8; 16],
    /// Proof of the responder.
    pub proof: [u8; 32],
}

/// Third frame, from the initiator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkProof {
    /// Proof of the initiator.
    pub proof: [u8; 32],
}

/// Side of a connection that a proof comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkSide {
    /// The process that opened the connection.
    Initiator,
    /// The process that accepted the connection.
    Responder,
}

/// The shared key of the group. Its debug output hides the key.
#[derive(Clone)]
pub struct GroupKey(Vec<u8>);

impl std::fmt::Debug for GroupKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("GroupKey(..)")
    }
}

impl GroupKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// Computes the proof of one side over the hello and the responder's identity and nonce.
    pub fn compute_proof(
        &self,
        side: LinkSide,
        hello: &LinkHello,
        responder: &membership::PeerIdentity,
        responder_nonce: [u8; 16],
    ) -> [u8; 32] {
        let mut mac =
            Hmac::<sha2::Sha256>::new_from_slice(&self.0).expect("a key of any length is accepted");
        mac.update(match side {
            LinkSide::Initiator => b"opener",
            LinkSide::Responder => b"listen",
        });
        let transcript = postcard::to_stdvec(&(hello, responder, responder_nonce))
            .expect("the handshake contains no sequences of unknown length");
        mac.update(&transcript);
        mac.finalize().into_bytes().into()
    }

    /// Returns whether a proof is the expected one. The comparison takes constant time.
    pub fn verify_proof(expected: &[u8; 32], proof: &[u8; 32]) -> bool {
        expected.ct_eq(proof).into()
    }
}
