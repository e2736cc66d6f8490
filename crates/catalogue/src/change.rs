//! Changes of the catalogue. A change is either accepted or refused as a whole.

use hazeltiller_units::{code, ids};
use serde::{Deserialize, Serialize};

use crate::{entry, rollout};

/// Entries that a change puts and removes. Removals are applied first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChangeSet {
    /// Entries to add, or to replace the entry with the same key.
    pub put: Vec<entry::CatalogueEntry>,
    /// Keys of the entries to remove.
    pub remove: Vec<entry::EntryKey>,
}

/// A change as an operator sends it to `POST /v1/changes`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Id by which a resend of the change is recognised.
    pub change_id: ids::ChangeId,
    /// Version on which the change is based. The change is refused if another version is current.
    pub expects: ids::CatalogueVersion,
    /// Entries to put.
    #[serde(default)]
    pub put: Vec<entry::CatalogueEntry>,
    /// Entries to remove.
    #[serde(default)]
    pub remove: Vec<entry::EntryKey>,
    /// If present, the entries to put replace the whole catalogue and `expects` is ignored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replace: Option<CatalogueReplacement>,
    /// If present, the request starts or aborts a rollout, puts and removes nothing, and `expects`
    /// is ignored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<rollout::RolloutRequest>,
}

/// Data of a change that replaces the whole catalogue by an operator's document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogueReplacement {
    /// Label that the operator gives the new revision.
    pub label: ids::RevisionLabel,
    /// Label of the revision on which the replacement is based. The change is refused if another
    /// revision is current.
    pub base: ids::RevisionLabel,
    /// The operator's document, returned unchanged to readers of the revision.
    pub document: String,
}

/// The current revision, set by the last replacement of the whole catalogue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueRevision {
    /// Label of the revision.
    pub label: ids::RevisionLabel,
    /// The operator's document.
    pub document: String,
}

impl ChangeRequest {
    /// Creates a replacement of the whole catalogue. Its id is derived from its content, so that a
    /// resend of the same document is recognised.
    pub fn replacement(replacement: CatalogueReplacement, put: Vec<entry::CatalogueEntry>) -> Self {
        let digest = replacement_digest(&replacement).to_string();
        let id = format!("revision-{}-{}", replacement.label, &digest[..32]);
        Self {
            change_id: id
                .parse()
                .expect("an id may consist of letters, digits and hyphens"),
            expects: ids::CatalogueVersion::default(),
            put,
            remove: Vec::new(),
            replace: Some(replacement),
            rollout: None,
        }
    }

    /// Creates a request that starts or aborts a rollout.
    pub fn rollout(change_id: ids::ChangeId, request: rollout::RolloutRequest) -> Self {
        Self {
            change_id,
            expects: ids::CatalogueVersion::default(),
            put: Vec::new(),
            remove: Vec::new(),
            replace: None,
            rollout: Some(request),
        }
    }

    /// Creates a request that starts a rollout. Its id is derived from its content, so that a
    /// resend of the same order is recognised.
    pub fn rollout_order(order: rollout::RolloutOrder) -> Self {
        let request = rollout::RolloutRequest::Start(order);
        let digest = rollout_digest(&request).to_string();
        let id = format!("rollout-{}", &digest[..32]);
        let id = id
            .parse()
            .expect("an id may consist of letters, digits and hyphens");
        Self::rollout(id, request)
    }

    /// Returns the entries that the request puts and removes.
    pub fn into_set(self) -> ChangeSet {
        ChangeSet {
            put: self.put,
            remove: self.remove,
        }
    }
}

/// A reason for which a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueFault {
    /// Result code, from the range 2000 to 2999.
    pub code: code::ResultCode,
    /// The invalid entry, if the fault concerns a single entry.
    pub entry: Option<entry::EntryKey>,
    /// The invalid field; empty if the fault concerns the whole entry.
    pub field: String,
    /// Description of the fault and of the values that are allowed.
    pub message: String,
}

/// Response to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReceipt {
    /// Version that the change created.
    pub version: ids::CatalogueVersion,
    /// Id of the change.
    pub change_id: ids::ChangeId,
    /// Time at which the leader accepted the change, in milliseconds since the Unix epoch by the
    /// leader's clock.
    pub accepted_at_ms: u64,
}

/// Returns the digest of a request without its id, which distinguishes a resend from a reuse of the
/// id.
pub fn content_digest(request: &ChangeRequest) -> ids::StateDigest {
    if let Some(replacement) = &request.replace {
        return replacement_digest(replacement);
    }
    if let Some(rollout) = &request.rollout {
        return rollout_digest(rollout);
    }
    let content = (request.expects, &request.put, &request.remove);
    let text = serde_json::to_vec(&content).expect("entries only contain maps with string keys");
    ids::StateDigest(*blake3::hash(&text).as_bytes())
}

/// Returns the digest of a change that the system makes itself.
pub fn set_digest(set: &ChangeSet) -> ids::StateDigest {
    let text = serde_json::to_vec(&(&set.put, &set.remove))
        .expect("entries only contain maps with string keys");
    ids::StateDigest(*blake3::hash(&text).as_bytes())
}

fn rollout_digest(request: &rollout::RolloutRequest) -> ids::StateDigest {
    let text = serde_json::to_vec(request).expect("a rollout request contains no maps");
    ids::StateDigest(*blake3::hash(&text).as_bytes())
}

/// Returns the digest of a replacement: of its label, the label that it builds on and its document.
pub fn replacement_digest(replacement: &CatalogueReplacement) -> ids::StateDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&replacement.label.0.to_le_bytes());
    hasher.update(&replacement.base.0.to_le_bytes());
    hasher.update(replacement.document.as_bytes());
    ids::StateDigest(*hasher.finalize().as_bytes())
}

/// Returns the hash of an operator's token, as stored in owner entries.
pub fn token_hash(token: &str) -> ids::StateDigest {
    ids::StateDigest(*blake3::hash(token.as_bytes()).as_bytes())
}
