//! Rollout orders of operators, and the phase transitions written by the leader.
//!
//! Rollout entries enter the log only from this module: an order creates the entry, the leader
//! moves it through its phases, and each transition carries the catalogue version of its order.

use hazeltiller_catalogue::{change, entry, rollout, state as catalogue_state};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{membership as wire_membership, replication as wire};
use indexmap::IndexSet;

use super::{
    ChangeProposal, ReplicaContext, ReplicaRole, ReplicationState, RolloutTransition,
    acceptance::{self, AcceptedProposal, ProposalRefusal, ValidProposal},
    state_machine,
};
use crate::membership;

/// Validates a rollout request against the state at the end of the log.
pub(super) fn validate(
    context: &ReplicaContext,
    head: &state_machine::StateMachine,
    proposal: &ChangeProposal,
    request: &rollout::RolloutRequest,
) -> Result<ValidProposal, ProposalRefusal> {
    let catalogue = &head.catalogue;
    acceptance::authorize(catalogue, proposal.author, &change::ChangeSet::default())?;
    let mut change_id = proposal.request.change_id.clone();
    if let Some(accepted) = head.accepted(&change_id) {
        return if accepted.content == proposal.content {
            Ok(ValidProposal::Resend(accepted.receipt.clone()))
        } else {
            Err(code::ResultCode::ChangeIdReused.into())
        };
    }
    let entry = match request {
        rollout::RolloutRequest::Start(order) => {
            let derived = change::ChangeRequest::rollout_order(order.clone()).change_id;
            if change_id == derived {
                if let Some(receipt) = resent_receipt(head, order, &derived) {
                    return Ok(ValidProposal::Resend(receipt));
                }
                change_id = order_change_id(&derived, catalogue.version.next());
            }
            start_rollout(context, catalogue, order)?
        }
        rollout::RolloutRequest::Abort(service) => abort_rollout(catalogue, service)?,
    };
    let set = change::ChangeSet {
        put: vec![entry::CatalogueEntry::Rollout(entry)],
        remove: Vec::new(),
    };
    let operator = acceptance::authorize(catalogue, proposal.author, &set)?;
    let faults = catalogue.check(&set);
    match faults.first() {
        None => Ok(ValidProposal::New(AcceptedProposal {
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

/// Returns the receipt of a resent order whose change id is derived from its content. It is a
/// resend if the service has had no other order since; otherwise it is a new order.
fn resent_receipt(
    head: &state_machine::StateMachine,
    order: &rollout::RolloutOrder,
    derived: &ids::ChangeId,
) -> Option<change::ChangeReceipt> {
    let latest = head.catalogue.rollout(&order.service)?;
    if latest.to != order.to || latest.within_ms != order.within_ms {
        return None;
    }
    let accepted = head.accepted(&order_change_id(derived, latest.order))?;
    Some(accepted.receipt.clone())
}

/// Id under which an order with a derived change id is stored. The catalogue version makes it
/// unique, since an order with the same content may be repeated later.
fn order_change_id(derived: &ids::ChangeId, version: ids::CatalogueVersion) -> ids::ChangeId {
    let id = format!("{derived}-{version}");
    id.parse().expect("all characters are valid in a change id")
}

fn start_rollout(
    context: &ReplicaContext,
    catalogue: &catalogue_state::CatalogueState,
    order: &rollout::RolloutOrder,
) -> Result<rollout::RolloutEntry, ProposalRefusal> {
    let service = catalogue.service(&order.service);
    let service = service.ok_or(code::ResultCode::EntryNotFound)?;
    let latest = catalogue.rollout(&order.service);
    if latest.is_some_and(|latest| latest.phase.is_running()) {
        return Err(code::ResultCode::RolloutInProgress.into());
    }
    let versions = target_versions(context.membership, &order.service);
    let is_announced = versions.contains(&Some(order.to.clone()));
    if is_announced && versions.len() == 1 {
        return Err(code::ResultCode::RolloutUnnecessary.into());
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

fn abort_rollout(
    catalogue: &catalogue_state::CatalogueState,
    service: &ids::EntryName,
) -> Result<rollout::RolloutEntry, ProposalRefusal> {
    let running = catalogue.rollout(service);
    let running = running.filter(|latest| latest.phase.is_running());
    let running = running.ok_or(code::ResultCode::RolloutNotFound)?;
    let reason = "aborted by an operator".into();
    Ok(running.in_phase(rollout::RolloutPhase::RolledBack, 0, reason))
}

/// Software versions of a service's known targets; `None` for targets that announce none.
fn target_versions(
    membership: &membership::MembershipState,
    service: &ids::EntryName,
) -> IndexSet<Option<ids::SoftwareVersion>> {
    let targets = membership.present().flat_map(|member| &member.targets);
    let of_service = targets.filter(|target: &&wire_membership::TargetRecord| {
        target.service == *service && target.state != wire_membership::TargetState::Draining
    });
    of_service.map(|target| target.version.clone()).collect()
}

/// Checks that an operator's change neither adds or modifies rollouts nor removes a running one.
pub(super) fn check_rollouts_unchanged(
    catalogue: &catalogue_state::CatalogueState,
    set: &change::ChangeSet,
) -> Result<(), ProposalRefusal> {
    let is_running = |key: &&entry::EntryKey| match catalogue.get(key) {
        Some(entry::CatalogueEntry::Rollout(latest)) => latest.phase.is_running(),
        _ => false,
    };
    // A replacement of the catalogue contains the unchanged rollouts of the services it keeps.
    let is_modified = |entry: &&entry::CatalogueEntry| {
        let entry::CatalogueEntry::Rollout(put) = entry else {
            return false;
        };
        let current = catalogue.rollout(&put.name);
        current.is_none_or(|current| (current.order, current.phase) != (put.order, put.phase))
    };
    let removed = set.remove.iter().find(is_running).cloned();
    let put = set.put.iter().find(is_modified);
    let Some(key) = put.map(entry::CatalogueEntry::key).or(removed) else {
        return Ok(());
    };
    let code = code::ResultCode::RolloutEntryReserved;
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
    /// Appends a rollout's next phase, unless the rollout has changed since the decision.
    pub(super) fn advance_rollout(
        &mut self,
        context: &mut ReplicaContext,
        transition: RolloutTransition,
    ) {
        let ReplicaRole::Leader(leader) = &self.role else {
            return;
        };
        let next = transition.entry;
        let Some(current) = leader.head.catalogue.rollout(&next.name) else {
            return;
        };
        let is_due = current.order == next.order
            && current.phase.is_running()
            && current.phase != next.phase;
        if !is_due {
            return;
        }
        let id = format!("rollout-{}-{}", next.order, next.phase);
        let change_id: ids::ChangeId = id.parse().expect("all characters are valid in a change id");
        let ordered_at_ms = leader.head.acceptance_time_ms(next.order);
        let set = change::ChangeSet {
            put: vec![entry::CatalogueEntry::Rollout(next)],
            remove: Vec::new(),
        };
        let change = wire::LoggedChange {
            content: change::set_digest(&set),
            change_id,
            accepted_at_ms: ordered_at_ms
                .map_or(0, |at| at + transition.elapsed.as_millis() as u64),
            operator: None,
            set,
            revision: None,
        };
        if let Err(error) = self.append_change(context, change) {
            context.report(code::ResultCode::EntryInapplicable, error.to_string());
        }
    }
}

/// Catalogue versions of the orders whose rollouts appear in log entries.
pub(super) fn rollout_orders_in(entries: &[wire::LogEntry]) -> IndexSet<ids::CatalogueVersion> {
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
