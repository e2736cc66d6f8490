//! Which changes are accepted.
//!
//! A leader judges a proposal by the state that its whole log leads to, committed or not, so that
//! proposals follow each other without waiting for the disk. The answer waits until every entry
//! that it rests on is committed.

use hazeltiller_catalogue::{change, check, entry, state as catalogue_state};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{document, replication as wire};

use super::{
    ChangeAuthor, ChangeProposal, ProposalAnswer, ReplicaContext, ReplicaRole, ReplicationState,
    orders, proof::ProvenAnswer,
};

/// Why a proposal is refused.
#[derive(Debug)]
pub(super) struct ProposalRefusal {
    pub(super) code: code::ResultCode,
    pub(super) faults: Vec<change::CatalogueFault>,
}

impl From<code::ResultCode> for ProposalRefusal {
    fn from(code: code::ResultCode) -> Self {
        let faults = Vec::new();
        Self { code, faults }
    }
}

impl ReplicationState {
    /// Why no proposal can be taken here now, if none can.
    pub(super) fn unready(&self, context: &ReplicaContext) -> Option<ProposalAnswer> {
        let refused = |code| {
            Some(ProposalAnswer::Refused {
                code,
                version: self.machine.catalogue.version,
                faults: Vec::new(),
            })
        };
        if self.has_failed() {
            return refused(code::ResultCode::StoreFailed);
        }
        if matches!(self.role, ReplicaRole::Leader(_)) {
            let has_quorum = self.has_quorum(context.now, context.election_time());
            return if has_quorum {
                None
            } else {
                refused(code::ResultCode::QuorumMissing)
            };
        }
        let is_alive = self
            .leader_heard
            .is_some_and(|heard| context.is_fresh(heard));
        match self.leader {
            Some(leader) if is_alive => Some(ProposalAnswer::Elsewhere(leader)),
            _ => refused(code::ResultCode::LeaderUnknown),
        }
    }

    /// Takes a proposal: refuses it, or writes it to the log.
    pub(super) fn propose(&mut self, context: &mut ReplicaContext, proposal: ChangeProposal) {
        if let Some(answer) = self.unready(context) {
            let answer = self.settled(&proposal).unwrap_or(answer);
            return context.answer(proposal.number, answer);
        }
        let number = proposal.number;
        let last = self.log.last().position;
        match self.judge(context, &proposal) {
            Ok(Judgement::Known(receipt)) => {
                let answer = ProposalAnswer::Accepted(receipt);
                self.answer_at(context, last, number, answer);
            }
            Ok(Judgement::New(accepted)) => self.accept(context, proposal, accepted),
            Err((refusal, version)) => {
                let answer = ProposalAnswer::Refused {
                    code: refusal.code,
                    version,
                    faults: refusal.faults,
                };
                if self.machine.accepted(&proposal.request.change_id).is_some() {
                    // What is committed under the id stays so, whoever leads.
                    return self.answer_at(context, last, number, answer);
                }
                self.answer_proven(context, last, number, ProvenAnswer::Judged(answer));
            }
        }
    }

    /// What is known here of a change that cannot be taken here, if it was sent before: what is
    /// committed stays so without any leader, and what is in the log may yet be committed.
    fn settled(&self, proposal: &ChangeProposal) -> Option<ProposalAnswer> {
        let request = &proposal.request;
        let catalogue = &self.machine.catalogue;
        authorize(catalogue, proposal.author, &wanted_set(catalogue, request)).ok()?;
        if let Some(accepted) = self.machine.accepted(&request.change_id) {
            let is_same = accepted.content == proposal.content;
            return is_same.then(|| ProposalAnswer::Accepted(accepted.receipt.clone()));
        }
        let has_id = |entry: &wire::LogEntry| match &entry.payload {
            wire::LogPayload::Change(change) => change.change_id == request.change_id,
            _ => false,
        };
        let tail = self.log.slice(self.commit.next(), usize::MAX);
        let is_leaderless = self.has_failed() || self.leader.is_none();
        (is_leaderless && tail.iter().any(has_id)).then_some(ProposalAnswer::Unknown)
    }

    /// Answers once a position is committed, which may be now.
    pub(super) fn answer_at(
        &mut self,
        context: &mut ReplicaContext,
        position: ids::LogPosition,
        number: super::ProposalNumber,
        answer: ProposalAnswer,
    ) {
        if position <= self.commit {
            return context.answer(number, answer);
        }
        if let ReplicaRole::Leader(leader) = &mut self.role {
            leader.wait(position, number, answer);
        }
    }

    fn judge(
        &self,
        context: &ReplicaContext,
        proposal: &ChangeProposal,
    ) -> Result<Judgement, (ProposalRefusal, ids::CatalogueVersion)> {
        let ReplicaRole::Leader(leader) = &self.role else {
            let refusal = code::ResultCode::LeaderUnknown.into();
            return Err((refusal, self.machine.catalogue.version));
        };
        let catalogue = &leader.head.catalogue;
        let with_version = |refusal| (refusal, catalogue.version);
        let request = &proposal.request;
        if let Some(rollout) = &request.rollout {
            let judged = orders::judge(context, &leader.head, proposal, rollout);
            return judged.map_err(with_version);
        }
        let set = wanted_set(catalogue, request);
        let operator = authorize(catalogue, proposal.author, &set).map_err(with_version)?;
        if let Some(accepted) = leader.head.accepted(&request.change_id) {
            return if accepted.content == proposal.content {
                Ok(Judgement::Known(accepted.receipt.clone()))
            } else {
                Err(with_version(code::ResultCode::ChangeIdReused.into()))
            };
        }
        orders::check_untouched(catalogue, &set).map_err(with_version)?;
        let faults = match &request.replace {
            Some(mark) => {
                check_label(&leader.head.revision, mark)
                    .map_err(|code| with_version(code.into()))?;
                check::check_replacement(&request.put)
            }
            None if request.expects != catalogue.version => {
                return Err(with_version(code::ResultCode::VersionClash.into()));
            }
            None => catalogue.check(&set),
        };
        match faults.first() {
            None => Ok(Judgement::New(AcceptedProposal {
                change_id: request.change_id.clone(),
                operator,
                set,
            })),
            Some(first) => {
                let code = first.code;
                Err(with_version(ProposalRefusal { code, faults }))
            }
        }
    }

    fn accept(
        &mut self,
        context: &mut ReplicaContext,
        proposal: ChangeProposal,
        accepted: AcceptedProposal,
    ) {
        let kept = context.tunables().changes_kept as usize;
        let term = self.hard.term;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let previous = &leader.head.revision.document;
        let revision = proposal.request.replace.as_ref();
        let revision = revision.map(|mark| wire::LoggedRevision {
            label: mark.label,
            document: document::pack(&mark.document, previous),
        });
        let change = wire::LoggedChange {
            change_id: accepted.change_id,
            content: proposal.content,
            accepted_at_ms: proposal.at_ms,
            operator: accepted.operator,
            set: accepted.set,
            revision,
        };
        let receipt = leader.head.apply(term, &change, kept);
        let position = self.write(context, wire::LogPayload::Change(change));
        let answer = ProposalAnswer::Accepted(receipt);
        self.answer_at(context, position, proposal.number, answer);
    }
}

/// What a proposal is that is not refused.
pub(super) enum Judgement {
    /// A resend of an accepted one.
    Known(change::ChangeReceipt),
    /// A new one.
    New(AcceptedProposal),
}

/// What a new change writes to the log.
pub(super) struct AcceptedProposal {
    /// The id that it is remembered by.
    pub(super) change_id: ids::ChangeId,
    /// Who asks for it; absent: the administrator.
    pub(super) operator: Option<ids::OperatorName>,
    /// What it puts and removes.
    pub(super) set: change::ChangeSet,
}

/// What a request puts and removes in a catalogue.
fn wanted_set(
    catalogue: &catalogue_state::CatalogueState,
    request: &change::ChangeRequest,
) -> change::ChangeSet {
    match request.replace {
        Some(_) => catalogue.replacing(request.put.clone()),
        None => request.clone().into_set(),
    }
}

/// Whether a replacement may follow the revision in place.
fn check_label(
    present: &change::CatalogueRevision,
    mark: &change::ReplacementMark,
) -> Result<(), code::ResultCode> {
    if mark.base != present.label {
        return Err(code::ResultCode::RevisionClash);
    }
    if mark.label <= present.label {
        return Err(code::ResultCode::RevisionOld);
    }
    Ok(())
}

/// Who asks for a change, if they may. A token counts only for the owners in whose own entry it
/// stands beside its operator, so that no owner can let itself into another one's entries.
pub(super) fn authorize(
    catalogue: &catalogue_state::CatalogueState,
    author: ChangeAuthor,
    set: &change::ChangeSet,
) -> Result<Option<ids::OperatorName>, ProposalRefusal> {
    let ChangeAuthor::Holder(token) = author else {
        return Ok(None);
    };
    let owners = || catalogue.entries.values().filter_map(owner_entry);
    let holder = owners().find_map(|owner| holder_of(owner, token));
    let Some(holder) = holder else {
        return Err(code::ResultCode::OperatorUnknown.into());
    };
    let may_change = |owner: &ids::EntryName| {
        let owner = catalogue.owner(owner);
        owner.is_some_and(|owner| holder_of(owner, token).is_some())
    };
    let mut faults = Vec::new();
    let keys = set.put.iter().map(entry::CatalogueEntry::key);
    for key in keys.chain(set.remove.iter().cloned()) {
        let present = catalogue.get(&key).map(entry::CatalogueEntry::owner);
        let wanted = set.put.iter().find(|entry| entry.key() == key);
        let wanted = wanted.map(entry::CatalogueEntry::owner);
        for owner in present.into_iter().chain(wanted) {
            if !may_change(owner) {
                faults.push(change::CatalogueFault {
                    code: code::ResultCode::OperatorForbidden,
                    entry: Some(key.clone()),
                    field: "owner".into(),
                    message: format!("{holder} is no operator of {owner}"),
                });
            }
        }
    }
    if faults.is_empty() {
        return Ok(Some(holder));
    }
    let code = code::ResultCode::OperatorForbidden;
    Err(ProposalRefusal { code, faults })
}

fn owner_entry(entry: &entry::CatalogueEntry) -> Option<&entry::OwnerEntry> {
    match entry {
        entry::CatalogueEntry::Owner(owner) => Some(owner),
        _ => None,
    }
}

fn holder_of(owner: &entry::OwnerEntry, token: ids::StateDigest) -> Option<ids::OperatorName> {
    let is_holder = |name: &&ids::OperatorName| owner.tokens.get(*name) == Some(&token);
    owner.operators.iter().find(is_holder).cloned()
}
