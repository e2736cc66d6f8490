//! Validation of proposals.
//!
//! A leader validates a proposal against the state at the end of its log, committed or not, so that
//! successive proposals need not wait for the disk. The answer is held back until every entry that
//! the decision depends on is committed.

use hazeltiller_catalogue::{change, check, entry, state as catalogue_state};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{document, replication as wire};

use super::{
    ChangeAuthor, ChangeProposal, ProposalAnswer, ReplicaContext, ReplicaRole, ReplicationState,
    confirmation::ConfirmedAnswer, rollout_orders,
};

/// Reason for rejecting a proposal.
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
    /// Returns the rejection or redirect if this replica cannot take proposals at present.
    pub(super) fn unavailable_answer(&self, context: &ReplicaContext) -> Option<ProposalAnswer> {
        let refused = |code| {
            Some(ProposalAnswer::Refused {
                code,
                version: self.state_machine.catalogue.version,
                faults: Vec::new(),
            })
        };
        if self.has_failed() {
            return refused(code::ResultCode::StoreFailed);
        }
        if matches!(self.role, ReplicaRole::Leader(_)) {
            let has_quorum = self.has_quorum(context.now, context.election_timeout());
            return if has_quorum {
                None
            } else {
                refused(code::ResultCode::QuorumMissing)
            };
        }
        let is_alive = self
            .leader_heard_at
            .is_some_and(|heard_at| context.is_recent(heard_at));
        match self.leader {
            Some(leader) if is_alive => Some(ProposalAnswer::Elsewhere(leader)),
            _ => refused(code::ResultCode::LeaderUnknown),
        }
    }

    /// Handles a proposal: rejects it or appends it to the log.
    pub(super) fn propose(&mut self, context: &mut ReplicaContext, proposal: ChangeProposal) {
        if let Some(answer) = self.unavailable_answer(context) {
            let answer = self.known_outcome(&proposal).unwrap_or(answer);
            return context.answer(proposal.number, answer);
        }
        let number = proposal.number;
        let log_end = self.log.last().position;
        match self.validate(context, &proposal) {
            Ok(ValidProposal::Resend(receipt)) => {
                let answer = ProposalAnswer::Accepted(receipt);
                self.answer_when_committed(context, log_end, number, answer);
            }
            Ok(ValidProposal::New(accepted)) => self.accept(context, proposal, accepted),
            Err((refusal, version)) => {
                let answer = ProposalAnswer::Refused {
                    code: refusal.code,
                    version,
                    faults: refusal.faults,
                };
                if self
                    .state_machine
                    .accepted(&proposal.request.change_id)
                    .is_some()
                {
                    // The change id is already committed, so no later leader could decide
                    // otherwise.
                    return self.answer_when_committed(context, log_end, number, answer);
                }
                self.answer_confirmed(context, log_end, number, ConfirmedAnswer::Rejection(answer));
            }
        }
    }

    /// Returns the known outcome of a resent change that this replica cannot take. A committed
    /// change keeps its receipt even without a leader; an entry in the uncommitted tail may still
    /// be committed.
    fn known_outcome(&self, proposal: &ChangeProposal) -> Option<ProposalAnswer> {
        let request = &proposal.request;
        let catalogue = &self.state_machine.catalogue;
        authorize(
            catalogue,
            proposal.author,
            &requested_set(catalogue, request),
        )
        .ok()?;
        if let Some(accepted) = self.state_machine.accepted(&request.change_id) {
            let is_same = accepted.content == proposal.content;
            return is_same.then(|| ProposalAnswer::Accepted(accepted.receipt.clone()));
        }
        let has_id = |entry: &wire::LogEntry| match &entry.payload {
            wire::LogPayload::Change(change) => change.change_id == request.change_id,
            _ => false,
        };
        let mut tail = self.log.entries_from(self.commit.next());
        let is_leaderless = self.has_failed() || self.leader.is_none();
        (is_leaderless && tail.any(has_id)).then_some(ProposalAnswer::Unknown)
    }

    /// Answers once a position is committed, which may be at once.
    pub(super) fn answer_when_committed(
        &mut self,
        context: &mut ReplicaContext,
        position: ids::LogPosition,
        number: super::ProposalNumber,
        answer: ProposalAnswer,
    ) {
        match &mut self.role {
            ReplicaRole::Leader(leader) => {
                leader.hold_answer(position, number, answer);
                self.release_answers(context);
            }
            _ if position <= self.commit => context.answer(number, answer),
            _ => context.answer(number, ProposalAnswer::Unknown),
        }
    }

    fn validate(
        &self,
        context: &ReplicaContext,
        proposal: &ChangeProposal,
    ) -> Result<ValidProposal, (ProposalRefusal, ids::CatalogueVersion)> {
        let ReplicaRole::Leader(leader) = &self.role else {
            let refusal = code::ResultCode::LeaderUnknown.into();
            return Err((refusal, self.state_machine.catalogue.version));
        };
        let catalogue = &leader.head.catalogue;
        let with_version = |refusal| (refusal, catalogue.version);
        let request = &proposal.request;
        if let Some(rollout) = &request.rollout {
            let validated = rollout_orders::validate(context, &leader.head, proposal, rollout);
            return validated.map_err(with_version);
        }
        let set = requested_set(catalogue, request);
        let operator = authorize(catalogue, proposal.author, &set).map_err(with_version)?;
        if let Some(accepted) = leader.head.accepted(&request.change_id) {
            return if accepted.content == proposal.content {
                Ok(ValidProposal::Resend(accepted.receipt.clone()))
            } else {
                Err(with_version(code::ResultCode::ChangeIdReused.into()))
            };
        }
        rollout_orders::check_rollouts_unchanged(catalogue, &set).map_err(with_version)?;
        let faults = match &request.replace {
            Some(mark) => {
                check_revision_label(&leader.head.revision, mark)
                    .map_err(|code| with_version(code.into()))?;
                check::check_replacement(&request.put)
            }
            None if request.expects != catalogue.version => {
                return Err(with_version(code::ResultCode::VersionConflict.into()));
            }
            None => catalogue.check(&set),
        };
        match faults.first() {
            None => Ok(ValidProposal::New(AcceptedProposal {
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
        let ReplicaRole::Leader(leader) = &self.role else {
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
        match self.append_change(context, change) {
            Ok((position, receipt)) => {
                let answer = ProposalAnswer::Accepted(receipt);
                self.answer_when_committed(context, position, proposal.number, answer);
            }
            Err(error) => {
                let code = code::ResultCode::EntryInapplicable;
                let fault = change::CatalogueFault {
                    code,
                    entry: None,
                    field: String::new(),
                    message: error.to_string(),
                };
                let answer = ProposalAnswer::Refused {
                    code,
                    version: self.state_machine.catalogue.version,
                    faults: vec![fault],
                };
                context.answer(proposal.number, answer);
            }
        }
    }
}

/// A valid proposal.
pub(super) enum ValidProposal {
    /// A resend of a change that was accepted earlier.
    Resend(change::ChangeReceipt),
    /// A new change.
    New(AcceptedProposal),
}

/// The part of a new change that validation determines.
pub(super) struct AcceptedProposal {
    /// The id under which the change is stored for resends.
    pub(super) change_id: ids::ChangeId,
    /// The operator that requested it; `None` for the administrator.
    pub(super) operator: Option<ids::OperatorName>,
    /// The entries to put and remove.
    pub(super) set: change::ChangeSet,
}

/// Returns the entries that a request puts and removes.
fn requested_set(
    catalogue: &catalogue_state::CatalogueState,
    request: &change::ChangeRequest,
) -> change::ChangeSet {
    match request.replace {
        Some(_) => catalogue.replacement_set(request.put.clone()),
        None => request.clone().into_set(),
    }
}

/// Checks that a replacement is based on the current revision and that its label is newer.
fn check_revision_label(
    current: &change::CatalogueRevision,
    mark: &change::CatalogueReplacement,
) -> Result<(), code::ResultCode> {
    if mark.base != current.label {
        return Err(code::ResultCode::RevisionConflict);
    }
    if mark.label <= current.label {
        return Err(code::ResultCode::RevisionNotNewer);
    }
    Ok(())
}

/// Returns the operator that requests a change, if all entries concerned are its own. A token
/// counts only for owners whose own entry lists both the operator and the token, so that no owner
/// can grant itself access to another owner's entries.
pub(super) fn authorize(
    catalogue: &catalogue_state::CatalogueState,
    author: ChangeAuthor,
    set: &change::ChangeSet,
) -> Result<Option<ids::OperatorName>, ProposalRefusal> {
    let ChangeAuthor::Holder(token) = author else {
        return Ok(None);
    };
    let owners = || catalogue.entries.values().filter_map(owner_entry);
    let holder = owners().find_map(|owner| operator_of_token(owner, token));
    let Some(holder) = holder else {
        return Err(code::ResultCode::OperatorUnknown.into());
    };
    let may_change = |owner: &ids::EntryName| {
        let owner = catalogue.owner(owner);
        owner.is_some_and(|owner| operator_of_token(owner, token).is_some())
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

fn operator_of_token(
    owner: &entry::OwnerEntry,
    token: ids::StateDigest,
) -> Option<ids::OperatorName> {
    let is_holder = |name: &&ids::OperatorName| owner.tokens.get(*name) == Some(&token);
    owner.operators.iter().find(is_holder).cloned()
}
