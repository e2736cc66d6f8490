//! One change of the catalogue: accepted whole or refused whole.

use hazeltiller_units::{code, ids};
use serde::{Deserialize, Serialize};

use crate::{entry, rollout};

/// What a change puts and removes; removals are done first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChangeSet {
    /// Entries that are added, or that replace the one of the same key.
    pub put: Vec<entry::CatalogueEntry>,
    /// Keys of entries that are removed.
    pub remove: Vec<entry::EntryKey>,
}

/// A change as an operator sends it to `POST /v1/changes`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Id that makes a resend known for one.
    pub change_id: ids::ChangeId,
    /// Version that the operator decided on; another current one refuses the change.
    pub expects: ids::CatalogueVersion,
    /// Entries to put.
    #[serde(default)]
    pub put: Vec<entry::CatalogueEntry>,
    /// Entries to remove.
    #[serde(default)]
    pub remove: Vec<entry::EntryKey>,
    /// Makes the entries put the whole catalogue; then `expects` does not count.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replace: Option<ReplacementMark>,
    /// Starts or ends a roll-out; then nothing is put or removed and `expects` does not count.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<rollout::RolloutRequest>,
}

/// Marks a change that replaces the whole catalogue by one document of the operator's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplacementMark {
    /// The operator's label of the new revision.
    pub label: ids::RevisionLabel,
    /// Label of the revision that it builds on; another one in place refuses the change.
    pub base: ids::RevisionLabel,
    /// The operator's document, given back as it is to whoever reads the revision.
    pub document: String,
}

/// A revision in place: what the last replacement left.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueRevision {
    /// Its label.
    pub label: ids::RevisionLabel,
    /// The operator's document.
    pub document: String,
}

impl ChangeRequest {
    /// A replacement whose id stands for its content, so that the same document sent again is
    /// known for one.
    pub fn replacing(mark: ReplacementMark, put: Vec<entry::CatalogueEntry>) -> Self {
        let digest = mark_digest(&mark).to_string();
        let id = format!("revision-{}-{}", mark.label, &digest[..32]);
        Self {
            change_id: id.parse().expect("digits and hyphens make an id"),
            expects: ids::CatalogueVersion::default(),
            put,
            remove: Vec::new(),
            replace: Some(mark),
            rollout: None,
        }
    }

    /// A request about a service's roll-out.
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

    /// An order whose id stands for its content, so that the same order sent again is known for
    /// one.
    pub fn rollout_order(order: rollout::RolloutOrder) -> Self {
        let request = rollout::RolloutRequest::Start(order);
        let digest = rollout_digest(&request).to_string();
        let id = format!("rollout-{}", &digest[..32]);
        let id = id.parse().expect("digits and hyphens make an id");
        Self::rollout(id, request)
    }

    /// What it puts and removes.
    pub fn into_set(self) -> ChangeSet {
        ChangeSet {
            put: self.put,
            remove: self.remove,
        }
    }
}

/// One fault of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueFault {
    /// Its code, of the 2000s.
    pub code: code::ResultCode,
    /// The entry at fault, if it is one's.
    pub entry: Option<entry::EntryKey>,
    /// The field at fault; empty where it is the whole entry.
    pub field: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

/// The answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReceipt {
    /// Version that the change made.
    pub version: ids::CatalogueVersion,
    /// The change's id.
    pub change_id: ids::ChangeId,
    /// When the leader took it, in milliseconds since 1970 by its clock.
    pub accepted_at_ms: u64,
}

/// Digest of what a request asks for, without its id: tells a resend from a reuse of the id.
pub fn content_digest(request: &ChangeRequest) -> ids::StateDigest {
    if let Some(mark) = &request.replace {
        return mark_digest(mark);
    }
    if let Some(rollout) = &request.rollout {
        return rollout_digest(rollout);
    }
    let content = (request.expects, &request.put, &request.remove);
    let text = serde_json::to_vec(&content).expect("entries have only text keys");
    ids::StateDigest(*blake3::hash(&text).as_bytes())
}

/// Digest of what a change of the system's own puts and removes.
pub fn set_digest(set: &ChangeSet) -> ids::StateDigest {
    let text = serde_json::to_vec(&(&set.put, &set.remove)).expect("entries have only text keys");
    ids::StateDigest(*blake3::hash(&text).as_bytes())
}

fn rollout_digest(request: &rollout::RolloutRequest) -> ids::StateDigest {
    let text = serde_json::to_vec(request).expect("its fields are names and numbers");
    ids::StateDigest(*blake3::hash(&text).as_bytes())
}

fn mark_digest(mark: &ReplacementMark) -> ids::StateDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&mark.label.0.to_le_bytes());
    hasher.update(&mark.base.0.to_le_bytes());
    hasher.update(mark.document.as_bytes());
    ids::StateDigest(*hasher.finalize().as_bytes())
}

/// Hash of an operator's token, as it stands in an owner's entry.
pub fn token_hash(token: &str) -> ids::StateDigest {
    ids::StateDigest(*blake3::hash(token.as_bytes()).as_bytes())
}
