//! The replicated state machine: the catalogue, and the accepted changes stored for resends.

use std::collections::VecDeque;

use hazeltiller_catalogue::{change, delta, state as catalogue_state};
use hazeltiller_units::ids;
use hazeltiller_wire::{document, replication as wire};
use indexmap::IndexMap;
use snafu::{ResultExt, Snafu};

use crate::dissemination;

/// Why a change cannot be applied to a state.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum ApplyError {
    /// The revision's document cannot be unpacked against the current one.
    #[snafu(display("revision {label} does not follow revision {base}: {source}"))]
    Unpack {
        /// Label of the change's revision.
        label: ids::RevisionLabel,
        /// Label of the current revision.
        base: ids::RevisionLabel,
        /// The cause.
        source: document::DocumentError,
    },
    /// The change was made for another revision than the current one.
    #[snafu(display("revision {label} was made for another revision than {base}"))]
    OtherBase {
        /// Label of the change's revision.
        label: ids::RevisionLabel,
        /// Label of the current revision.
        base: ids::RevisionLabel,
    },
    /// The state by which changes are judged does not include the whole log.
    #[snafu(display("the state does not include the log up to position {end}"))]
    NotAtEnd {
        /// Position of the last entry of the log.
        end: ids::LogPosition,
    },
}

/// A committed entry that has no effect, since it does not apply to the state before it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
#[snafu(display("log entry {position} has no effect: {source}"))]
pub(super) struct InapplicableEntry {
    /// Position of the entry.
    pub(super) position: ids::LogPosition,
    /// The cause.
    source: ApplyError,
}

/// State that results from applying log entries in order.
#[derive(Debug, Clone, Default)]
pub(super) struct StateMachine {
    pub(super) catalogue: catalogue_state::CatalogueState,
    /// The revision set by the last replacement of the whole catalogue.
    pub(super) revision: change::CatalogueRevision,
    accepted: IndexMap<ids::ChangeId, wire::AcceptedChange>,
    acceptance_order: VecDeque<ids::ChangeId>,
}

impl StateMachine {
    /// Restores the state from a snapshot.
    pub(super) fn restore(snapshot: &wire::LogSnapshot) -> Self {
        let mut state_machine = Self {
            catalogue: snapshot.catalogue.clone(),
            revision: snapshot.revision.clone(),
            ..Self::default()
        };
        for accepted in &snapshot.accepted {
            state_machine.store_accepted(accepted.clone(), usize::MAX);
        }
        state_machine
    }

    /// Applies a change that its leader has validated. Keeps at most `max_accepted` accepted
    /// changes. A change that was made for another state has no effect; all replicas come to the
    /// same result, since it follows from the log alone.
    pub(super) fn apply(
        &mut self,
        term: ids::LeaderTerm,
        change: &wire::LoggedChange,
        max_accepted: usize,
    ) -> Result<change::ChangeReceipt, ApplyError> {
        let revision = change.revision.as_ref();
        let revision = revision.map(|logged| self.next_revision(change.content, logged));
        let revision = revision.transpose()?;
        self.catalogue.advance(&change.set, term);
        if let Some(revision) = revision {
            self.revision = revision;
        }
        let receipt = change::ChangeReceipt {
            version: self.catalogue.version,
            change_id: change.change_id.clone(),
            accepted_at_ms: change.accepted_at_ms,
        };
        let accepted = wire::AcceptedChange {
            receipt: receipt.clone(),
            content: change.content,
            operator: change.operator.clone(),
        };
        self.store_accepted(accepted, max_accepted);
        Ok(receipt)
    }

    /// Unpacks the revision of a change against the current one. The digest of the change's content
    /// covers the label that the change builds on and the text, so it fails for any other state.
    fn next_revision(
        &self,
        content: ids::StateDigest,
        logged: &wire::LoggedRevision,
    ) -> Result<change::CatalogueRevision, ApplyError> {
        let (label, base) = (logged.label, self.revision.label);
        let unpacked = document::unpack(&logged.document, &self.revision.document);
        let document = unpacked.context(UnpackSnafu { label, base })?;
        let replacement = change::CatalogueReplacement {
            label,
            base,
            document,
        };
        snafu::ensure!(
            change::replacement_digest(&replacement) == content,
            OtherBaseSnafu { label, base }
        );
        let document = replacement.document;
        Ok(change::CatalogueRevision { label, document })
    }

    /// Returns the version made by the last applied change, for dissemination to the nodes.
    pub(super) fn committed_version(
        &self,
        term: ids::LeaderTerm,
        change: &wire::LoggedChange,
    ) -> dissemination::CommittedVersion {
        let step = delta::DeltaStep {
            term,
            set: change.set.clone(),
        };
        dissemination::CommittedVersion {
            state: self.catalogue.clone(),
            step,
            accepted_at_ms: change.accepted_at_ms,
            change: change.change_id.clone(),
        }
    }

    /// The accepted change with an id, if it is still stored.
    pub(super) fn accepted(&self, id: &ids::ChangeId) -> Option<&wire::AcceptedChange> {
        self.accepted.get(id)
    }

    /// Acceptance time of the change that made a version, in milliseconds since the Unix epoch, if
    /// it is still stored.
    pub(super) fn acceptance_time_ms(&self, version: ids::CatalogueVersion) -> Option<u64> {
        let mut history = self.history().map(|accepted| &accepted.receipt);
        let receipt = history.find(|receipt| receipt.version == version)?;
        Some(receipt.accepted_at_ms)
    }

    /// The stored accepted changes, oldest first.
    pub(super) fn history(&self) -> impl Iterator<Item = &wire::AcceptedChange> {
        self.acceptance_order
            .iter()
            .filter_map(|id| self.accepted.get(id))
    }

    /// Takes a snapshot of this state.
    pub(super) fn snapshot(
        &self,
        mark: wire::LogMark,
        group: wire::ControlGroup,
    ) -> wire::LogSnapshot {
        wire::LogSnapshot {
            mark,
            group,
            catalogue: self.catalogue.clone(),
            revision: self.revision.clone(),
            accepted: self.history().cloned().collect(),
        }
    }

    fn store_accepted(&mut self, accepted: wire::AcceptedChange, max_accepted: usize) {
        let id = accepted.receipt.change_id.clone();
        self.accepted.insert(id.clone(), accepted);
        self.acceptance_order.push_back(id);
        while self.acceptance_order.len() > max_accepted {
            if let Some(oldest) = self.acceptance_order.pop_front() {
                self.accepted.swap_remove(&oldest);
            }
        }
    }
}
