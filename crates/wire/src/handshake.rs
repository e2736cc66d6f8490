//! How two processes prove the group key to each other before anything else is said.
//!
//! Both sides send a fresh nonce, and each answers with a keyed hash over both nonces and its own
//! role. Neither proof can be replayed, and neither side reads a message before it holds the
//! other's proof.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::membership;

/// Version of the handshake and of the messages behind it.
pub const WIRE_VERSION: u16 = 3;
/// Largest frame of the handshake, in bytes.
pub const MAX_HANDSHAKE_FRAME_BYTES: usize = 4096;

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LinkPurpose {
    /// Framed messages, from the side that connected to the other.
    Messages,
    /// Calls as HTTP/2, from the side that connected to the other.
    Calls,
    /// Questions and answers as JSON-RPC.
    Questions,
}

/// First frame, from the side that connected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkHello {
    /// [`WIRE_VERSION`] of the sender.
    pub version: u16,
    /// What the connection is for.
    pub purpose: LinkPurpose,
    /// Who connects.
    pub identity: membership::PeerIdentity,
    /// Fresh random bytes.
    pub nonce: [u8; 16],
}

/// Second frame, from the side that was connected to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkChallenge {
    /// Who answers.
    pub identity: membership::PeerIdentity,
    /// Fresh random bytes.
    pub nonce: [u8; 16],
    /// Proof of the side that was connected to.
    pub proof: [u8; 32],
}

/// Third frame, from the side that connected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkProof {
    /// Proof of the side that connected.
    pub proof: [u8; 32],
}

/// Which side a proof is from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkSide {
    /// The side that connected.
    Initiator,
    /// The side that was connected to.
    Responder,
}

/// The shared key of the group; never printed.
#[derive(Clone)]
pub struct GroupKey(Vec<u8>);

impl std::fmt::Debug for GroupKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("GroupKey(..)")
    }
}

impl GroupKey {
    /// A key of these bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// The proof of one side over both greetings.
    pub fn compute_proof(
        &self,
        side: LinkSide,
        hello: &LinkHello,
        listener: &membership::PeerIdentity,
        listener_nonce: [u8; 16],
    ) -> [u8; 32] {
        let mut mac =
            Hmac::<sha2::Sha256>::new_from_slice(&self.0).expect("a key of any length is accepted");
        mac.update(match side {
            LinkSide::Initiator => b"opener",
            LinkSide::Responder => b"listen",
        });
        let greeting = postcard::to_stdvec(&(hello, listener, listener_nonce))
            .expect("greetings hold no maps");
        mac.update(&greeting);
        mac.finalize().into_bytes().into()
    }

    /// Whether a proof is the expected one, compared in constant time.
    pub fn verify_proof(expected: &[u8; 32], proof: &[u8; 32]) -> bool {
        expected.ct_eq(proof).into()
    }
}
