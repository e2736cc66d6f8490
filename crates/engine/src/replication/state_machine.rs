//! The replicated state machine: the catalogue, and the accepted changes stored for resends.

use std::collections::VecDeque;

use hazeltiller_catalogue::{change, delta, state as catalogue_state};
use hazeltiller_units::ids;
use hazeltiller_wire::{document, replication as wire};
use indexmap::IndexMap;

use crate::dissemination;

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
    /// changes.
    pub(super) fn apply(
        &mut self,
        term: ids::LeaderTerm,
        change: &wire::LoggedChange,
        max_accepted: usize,
    ) -> change::ChangeReceipt {
        self.catalogue.advance(&change.set, term);
        if let Some(revision) = &change.revision {
            let unpacked = document::unpack(&revision.document, &self.revision.document);
            self.revision = change::CatalogueRevision {
                label: revision.label,
                document: unpacked.expect("the document is packed against the previous revision"),
            };
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
        receipt
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
