//! What the entries of the log lead to: the catalogue and the changes remembered for resends.

use std::collections::VecDeque;

use hazeltiller_catalogue::{change, delta, state as catalogue_state};
use hazeltiller_units::ids;
use hazeltiller_wire::{document, replication as wire};
use indexmap::IndexMap;

use crate::dissemination;

/// The state that entries are applied to, in order.
#[derive(Debug, Clone, Default)]
pub(super) struct LogMachine {
    pub(super) catalogue: catalogue_state::CatalogueState,
    /// What the last replacement of the whole catalogue left.
    pub(super) revision: change::CatalogueRevision,
    accepted: IndexMap<ids::ChangeId, wire::AcceptedChange>,
    order: VecDeque<ids::ChangeId>,
}

impl LogMachine {
    /// The state that a snapshot holds.
    pub(super) fn restore(snapshot: &wire::LogSnapshot) -> Self {
        let mut machine = Self {
            catalogue: snapshot.catalogue.clone(),
            revision: snapshot.revision.clone(),
            ..Self::default()
        };
        for accepted in &snapshot.accepted {
            machine.remember(accepted.clone(), usize::MAX);
        }
        machine
    }

    /// Applies a change of a leader, which has checked it; at most `kept` are remembered.
    pub(super) fn apply(
        &mut self,
        term: ids::LeaderTerm,
        change: &wire::LoggedChange,
        kept: usize,
    ) -> change::ChangeReceipt {
        self.catalogue.advance(&change.set, term);
        if let Some(revision) = &change.revision {
            let unpacked = document::unpack(&revision.document, &self.revision.document);
            self.revision = change::CatalogueRevision {
                label: revision.label,
                document: unpacked.expect("the leader packed it against the same document"),
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
        self.remember(accepted, kept);
        receipt
    }

    /// The version that the last change made, as dissemination takes it.
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

    /// The change of an id, if it is remembered.
    pub(super) fn accepted(&self, id: &ids::ChangeId) -> Option<&wire::AcceptedChange> {
        self.accepted.get(id)
    }

    /// When the change that made a version was accepted, in milliseconds since 1970, if it is
    /// remembered.
    pub(super) fn accepted_version(&self, version: ids::CatalogueVersion) -> Option<u64> {
        let mut history = self.history().map(|accepted| &accepted.receipt);
        let receipt = history.find(|receipt| receipt.version == version)?;
        Some(receipt.accepted_at_ms)
    }

    /// Changes that are remembered, oldest first.
    pub(super) fn history(&self) -> impl Iterator<Item = &wire::AcceptedChange> {
        self.order.iter().filter_map(|id| self.accepted.get(id))
    }

    /// The snapshot of this state.
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

    fn remember(&mut self, accepted: wire::AcceptedChange, kept: usize) {
        let id = accepted.receipt.change_id.clone();
        self.accepted.insert(id.clone(), accepted);
        self.order.push_back(id);
        while self.order.len() > kept {
            if let Some(oldest) = self.order.pop_front() {
                self.accepted.swap_remove(&oldest);
            }
        }
    }
}
