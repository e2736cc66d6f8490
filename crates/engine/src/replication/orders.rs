//! Orders of roll-outs, and the phases that the leader writes.
//!
//! Only here an entry of a roll-out gets into the log: an order makes it, the leader moves it on,
//! and each step names the order that it belongs to.

use hazeltiller_catalogue::{change, entry, rollout, state as catalogue_state};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{membership as wire_membership, replication as wire};
use indexmap::IndexSet;

use super::{
    ChangeProposal, ReplicaContext, ReplicaRole, ReplicationState, RolloutTransition,
    acceptance::{self, AcceptedProposal, Judgement, ProposalRefusal},
    machine,
};
use crate::membership;

/// Judges an operator's request about a roll-out by the state that the whole log leads to.
pub(super) fn judge(
    context: &ReplicaContext,
    head: &machine::LogMachine,
    proposal: &ChangeProposal,
    request: &rollout::RolloutRequest,
) -> Result<Judgement, ProposalRefusal> {
    let catalogue = &head.catalogue;
    acceptance::authorize(catalogue, proposal.author, &change::ChangeSet::default())?;
    let mut change_id = proposal.request.change_id.clone();
    if let Some(accepted) = head.accepted(&change_id) {
        return if accepted.content == proposal.content {
            Ok(Judgement::Known(accepted.receipt.clone()))
        } else {
            Err(code::ResultCode::ChangeIdReused.into())
        };
    }
    let entry = match request {
        rollout::RolloutRequest::Start(order) => {
            let derived = change::ChangeRequest::rollout_order(order.clone()).change_id;
            if change_id == derived {
                if let Some(receipt) = repeated(head, order, &derived) {
                    return Ok(Judgement::Known(receipt));
                }
                change_id = order_id(&derived, catalogue.version.next());
            }
            start(context, catalogue, order)?
        }
        rollout::RolloutRequest::Abort(service) => abort(catalogue, service)?,
    };
    let set = change::ChangeSet {
        put: vec![entry::CatalogueEntry::Rollout(entry)],
        remove: Vec::new(),
    };
    let operator = acceptance::authorize(catalogue, proposal.author, &set)?;
    let faults = catalogue.check(&set);
    match faults.first() {
        None => Ok(Judgement::New(AcceptedProposal {
            change_id,
            operator,
            set,
        })),
        Some(first) => Err(ProposalRefusal {
            code: first.code,
            faults,
        }),
    }
}

/// The receipt of an order whose id stands for its content, where it is the service's latest one:
/// then it was sent again. Once another order came in between it is a new one.
fn repeated(
    head: &machine::LogMachine,
    order: &rollout::RolloutOrder,
    derived: &ids::ChangeId,
) -> Option<change::ChangeReceipt> {
    let latest = head.catalogue.rollout(&order.service)?;
    if latest.to != order.to || latest.within_ms != order.within_ms {
        return None;
    }
    let accepted = head.accepted(&order_id(derived, latest.order))?;
    Some(accepted.receipt.clone())
}

/// Id by which an order is remembered whose own id stands for its content.
fn order_id(derived: &ids::ChangeId, version: ids::CatalogueVersion) -> ids::ChangeId {
    let id = format!("{derived}-{version}");
    id.parse().expect("digits and words make an id")
}

fn start(
    context: &ReplicaContext,
    catalogue: &catalogue_state::CatalogueState,
    order: &rollout::RolloutOrder,
) -> Result<rollout::RolloutEntry, ProposalRefusal> {
    let service = catalogue.service(&order.service);
    let service = service.ok_or(code::ResultCode::EntryNotFound)?;
    let latest = catalogue.rollout(&order.service);
    if latest.is_some_and(|latest| latest.phase.is_running()) {
        return Err(code::ResultCode::RolloutUnderWay.into());
    }
    let versions = versions(context.membership, &order.service);
    let is_there = versions.contains(&Some(order.to.clone()));
    if is_there && versions.len() == 1 {
        return Err(code::ResultCode::RolloutNeedless.into());
    }
    let others = versions.into_iter().flatten();
    let share = context.settings.tunables.rollout.trial_permille as u32;
    Ok(rollout::RolloutEntry {
        name: order.service.clone(),
        owner: service.owner.clone(),
        class: service.class.clone(),
        order: catalogue.version.next(),
        to: order.to.clone(),
        from: others.filter(|version| *version != order.to).collect(),
        within_ms: order.within_ms,
        phase: rollout::RolloutPhase::Trial,
        share_permille: share,
        reason: "ordered".into(),
    })
}

fn abort(
    catalogue: &catalogue_state::CatalogueState,
    service: &ids::EntryName,
) -> Result<rollout::RolloutEntry, ProposalRefusal> {
    let running = catalogue.rollout(service);
    let running = running.filter(|latest| latest.phase.is_running());
    let running = running.ok_or(code::ResultCode::RolloutNotFound)?;
    let reason = "aborted by an operator".into();
    Ok(running.in_phase(rollout::RolloutPhase::RolledBack, 0, reason))
}

/// Versions of the known targets of a service; `None` stands for those that do not tell.
fn versions(
    membership: &membership::MembershipState,
    service: &ids::EntryName,
) -> IndexSet<Option<ids::SoftwareVersion>> {
    let targets = membership.present().flat_map(|member| &member.targets);
    let of_service = targets.filter(|target: &&wire_membership::TargetRecord| {
        target.service == *service && target.state != wire_membership::TargetState::Draining
    });
    of_service.map(|target| target.version.clone()).collect()
}

/// Checks that an operator's change leaves roll-outs alone: none is put, none under way removed.
pub(super) fn check_untouched(
    catalogue: &catalogue_state::CatalogueState,
    set: &change::ChangeSet,
) -> Result<(), ProposalRefusal> {
    let is_running = |key: &&entry::EntryKey| match catalogue.get(key) {
        Some(entry::CatalogueEntry::Rollout(latest)) => latest.phase.is_running(),
        _ => false,
    };
    // A replacement keeps those of its services, as they are.
    let is_foreign = |entry: &&entry::CatalogueEntry| {
        let entry::CatalogueEntry::Rollout(put) = entry else {
            return false;
        };
        let present = catalogue.rollout(&put.name);
        present.is_none_or(|present| (present.order, present.phase) != (put.order, put.phase))
    };
    let removed = set.remove.iter().find(is_running).cloned();
    let put = set.put.iter().find(is_foreign);
    let Some(key) = put.map(entry::CatalogueEntry::key).or(removed) else {
        return Ok(());
    };
    let code = code::ResultCode::RolloutForeign;
    let fault = change::CatalogueFault {
        code,
        message: format!("{key}: {}", code.meaning()),
        entry: Some(key),
        field: String::new(),
    };
    Err(ProposalRefusal {
        code,
        faults: vec![fault],
    })
}

impl ReplicationState {
    /// Writes a roll-out's next phase, if it is still under way as the step took it to be.
    pub(super) fn steer(&mut self, context: &mut ReplicaContext, step: RolloutTransition) {
        let kept = context.tunables().changes_kept as usize;
        let term = self.hard.term;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let next = step.entry;
        let Some(present) = leader.head.catalogue.rollout(&next.name) else {
            return;
        };
        let is_due = present.order == next.order
            && present.phase.is_running()
            && present.phase != next.phase;
        if !is_due {
            return;
        }
        let id = format!("rollout-{}-{}", next.order, next.phase);
        let change_id: ids::ChangeId = id.parse().expect("digits and words make an id");
        let ordered = leader.head.accepted_version(next.order);
        let set = change::ChangeSet {
            put: vec![entry::CatalogueEntry::Rollout(next)],
            remove: Vec::new(),
        };
        let change = wire::LoggedChange {
            content: change::set_digest(&set),
            change_id,
            accepted_at_ms: ordered.map_or(0, |at| at + step.elapsed.as_millis() as u64),
            operator: None,
            set,
            revision: None,
        };
        leader.head.apply(term, &change, kept);
        self.write(context, wire::LogPayload::Change(change));
    }
}

/// Orders of the roll-outs that entries of a log begin or move on.
pub(super) fn orders_in(entries: &[wire::LogEntry]) -> IndexSet<ids::CatalogueVersion> {
    let changes = entries.iter().filter_map(|entry| match &entry.payload {
        wire::LogPayload::Change(change) => Some(&change.set.put),
        _ => None,
    });
    let rollouts = changes.flatten().filter_map(|entry| match entry {
        entry::CatalogueEntry::Rollout(rollout) => Some(rollout.order),
        _ => None,
    });
    rollouts.collect()
}
