//! Claims on requests, which ensure that a request runs at most once.
//!
//! A node claims a request at a majority of the controls before it sends the request to a target.
//! Other nodes that receive the same request ask the holder of the claim for the result.

use std::{fmt, net::SocketAddr};

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

/// Digest that identifies a request: of its idempotency key, or of its content if it has none.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 16]);

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Identifies one attempt of a node to claim a request. Never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// Incarnation of the node.
    pub incarnation: ids::IncarnationNumber,
    /// Number of the claim within the incarnation.
    pub number: u64,
    /// Address of the node's peers listener.
    pub node: SocketAddr,
}

/// Whether claims that a control has granted can be missing from its file. Stored records refer to
/// the variants by their position.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimsCompleteness {
    /// Claims can be missing, since the file was lost or damaged.
    #[default]
    Lost,
    /// No claims can be missing.
    Whole,
    /// The file was created together with its data folder. Only the control group knows whether
    /// this replica has had an earlier folder.
    Unproven,
}

/// A record of a control's claims file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// Whether claims can be missing before this record.
    Standing(ClaimsCompleteness),
    /// A claim was granted.
    Kept(RequestDigest, ClaimId),
    /// The request of a claim was run.
    Done(RequestDigest, ClaimId),
    /// A claim was released.
    Released(RequestDigest, ClaimId),
}

/// A claim as a control stores it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredClaim {
    /// The claim.
    pub claim: ClaimId,
    /// Whether the request is known to have run.
    pub is_done: bool,
}

/// A target's response, stored so that it can be replayed when the request is resent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Returns the size of headers and body in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let lines: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        lines + self.body.len()
    }
}

/// State of a claimed request, as the holder of the claim reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request is running or about to run.
    Running,
    /// The request has not been sent to a target under this claim and will not be.
    NeverRan,
    /// The request ran. Holds the response if it is still stored.
    Finished(Option<StoredAnswer>),
    /// The request may have run.
    Unknown,
}

/// Messages about claims. Controls store claims; the holder of a claim knows the result of its
/// request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerMessage {
    /// Node to control: requests a claim, which is granted unless another one is stored.
    Claim {
        /// Digest of the request.
        request: RequestDigest,
        /// The claim.
        claim: ClaimId,
        /// Digest of the set of controls among which the node counts a majority.
        voters: u64,
    },
    /// Control to node: the claim is stored and synced to disk.
    Granted {
        /// Digest of the request.
        request: RequestDigest,
        /// The claim.
        claim: ClaimId,
    },
    /// Control to node: another claim on the request is stored.
    Held {
        /// Digest of the request.
        request: RequestDigest,
        /// The claim that was requested.
        claim: ClaimId,
        /// The claim that is stored.
        holder: ClaimId,
        /// Whether the request is known to have run.
        is_done: bool,
    },
    /// Control to node: the control does not accept claims at present.
    Declined {
        /// Digest of the request.
        request: RequestDigest,
        /// The claim that was requested.
        claim: ClaimId,
    },
    /// Node to control: releases a claim under which nothing ran or will run.
    Release {
        /// Digest of the request.
        request: RequestDigest,
        /// The claim.
        claim: ClaimId,
    },
    /// Node to control: the claimed request has run.
    Done {
        /// Digest of the request.
        request: RequestDigest,
        /// The claim.
        claim: ClaimId,
    },
    /// Node to the holder of a claim: asks for the state of the request.
    Ask {
        /// Digest of the request.
        request: RequestDigest,
        /// The claim.
        holder: ClaimId,
        /// Id of the waiting call at the asking node.
        call: ids::CallId,
    },
    /// Reply to [`LedgerMessage::Ask`]. Sent again when the claimed request has ended.
    Told {
        /// The claim.
        holder: ClaimId,
        /// Id of the waiting call at the asking node.
        call: ids::CallId,
        /// State of the request.
        state: ClaimState,
    },
}
