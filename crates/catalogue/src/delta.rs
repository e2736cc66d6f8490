//! Deltas: the changes from one version to a later one, with the digest that verifies the result.

use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{change, state};

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeltaStep {
    /// Term of the leader that accepted the change.
    pub term: ids::LeaderTerm,
    /// Entries that the change put and removed.
    pub set: change::ChangeSet,
}

/// The changes after a base version, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogueDelta {
    /// Version to which the first step applies.
    pub base: ids::CatalogueVersion,
    /// Changes in order. The first one creates the version after `base`.
    pub steps: Vec<DeltaStep>,
    /// Digest of the version that the last step creates.
    pub digest: ids::StateDigest,
}

/// Reason why a delta was rejected. The receiver's state is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DeltaError {
    /// The delta is based on another version than the receiver's.
    #[snafu(display("the delta is based on version {base}, but the receiver has version {held}"))]
    BaseMismatch {
        /// Version on which the delta is based.
        base: ids::CatalogueVersion,
        /// Version of the receiver.
        held: ids::CatalogueVersion,
    },
    /// A step is not a valid change of the state that it applies to.
    #[snafu(display("a step of the delta is not a valid change of its state"))]
    InvalidStep,
    /// The digest of the result differs from that of the delta.
    #[snafu(display("the digest of the result differs from the digest in the delta"))]
    DigestMismatch,
}

impl CatalogueDelta {
    /// Returns the state that results from applying the delta to `held`.
    pub fn apply(&self, held: &state::CatalogueState) -> Result<state::CatalogueState, DeltaError> {
        if self.base != held.version {
            return Err(DeltaError::BaseMismatch {
                base: self.base,
                held: held.version,
            });
        }
        let mut updated = held.clone();
        for step in &self.steps {
            updated = updated
                .apply(&step.set, step.term)
                .map_err(|_faults| DeltaError::InvalidStep)?;
        }
        if updated.digest == self.digest {
            Ok(updated)
        } else {
            Err(DeltaError::DigestMismatch)
        }
    }
}
