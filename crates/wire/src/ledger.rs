//! Claims on keyed requests: who alone may run one, and what became of it.

use std::{fmt, net::SocketAddr};

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

/// Digest that stands for a request: of its key, or of its content where it has none.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 16]);

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// One node's try to become the only one to run a request; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// Life of the node.
    pub incarnation: ids::IncarnationNumber,
    /// Counts the node's claims.
    pub number: u64,
    /// Peers address of the node.
    pub node: SocketAddr,
}

/// Whether claims that a control once granted can be missing from its file. Records number the cases in
/// this order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimsCompleteness {
    /// Some may be: the file was lost or damaged.
    #[default]
    Lost,
    /// None can be.
    Whole,
    /// The file was made together with its folder. Whether the folder was ever there before, only the
    /// control group knows.
    Unproven,
}

/// One record of a control's file of claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// What can be missing before this record.
    Standing(ClaimsCompleteness),
    /// A claim is kept.
    Kept(RequestDigest, ClaimId),
    /// The request of a claim ran.
    Done(RequestDigest, ClaimId),
    /// A claim is forgotten.
    Released(RequestDigest, ClaimId),
}

/// A claim as a control keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredClaim {
    /// Whose it is.
    pub claim: ClaimId,
    /// Whether its request is known to have run.
    pub is_done: bool,
}

/// A target's answer as it is kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header lines.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Bytes that it takes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let lines: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        lines + self.body.len()
    }
}

/// What the node that holds a claim says of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request runs, or is about to.
    Running,
    /// Nothing of it was sent under this claim, and nothing will be.
    NeverRan,
    /// It ran; the answer if it is still kept.
    Finished(Option<StoredAnswer>),
    /// It may have run.
    Unknown,
}

/// Messages about claims. A control keeps claims; the node that holds one knows what became of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerMessage {
    /// Node to control: keep this claim, unless another one is kept.
    Claim {
        /// Which request.
        request: RequestDigest,
        /// Whose claim.
        claim: ClaimId,
        /// Digest of the controls that the node counts.
        voters: u64,
    },
    /// Control to node: the claim is kept and synced.
    Granted {
        /// Which request.
        request: RequestDigest,
        /// Whose claim.
        claim: ClaimId,
    },
    /// Control to node: another claim is kept.
    Held {
        /// Which request.
        request: RequestDigest,
        /// The claim that asked.
        claim: ClaimId,
        /// The claim that is kept.
        holder: ClaimId,
        /// Whether its request is known to have run.
        is_done: bool,
    },
    /// Control to node: it keeps no claims now.
    Declined {
        /// Which request.
        request: RequestDigest,
        /// The claim that asked.
        claim: ClaimId,
    },
    /// Node to control: nothing ran under the claim and nothing will; forget it.
    Release {
        /// Which request.
        request: RequestDigest,
        /// Whose claim.
        claim: ClaimId,
    },
    /// Node to control: the request ran.
    Done {
        /// Which request.
        request: RequestDigest,
        /// Whose claim.
        claim: ClaimId,
    },
    /// Node to the node that holds a claim: what became of it?
    Ask {
        /// Which request.
        request: RequestDigest,
        /// The claim.
        holder: ClaimId,
        /// The call at the asking node.
        call: ids::CallId,
    },
    /// Answer to [`LedgerMessage::Ask`], again when the claim's request has ended.
    Told {
        /// The claim.
        holder: ClaimId,
        /// The call at the asking node.
        call: ids::CallId,
        /// What became of it.
        state: ClaimState,
    },
}
