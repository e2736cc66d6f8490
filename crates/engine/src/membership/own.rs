//! This process's own record: its targets, its departure, and conflicts with copies of the record
//! that exist elsewhere.

use hazeltiller_units::{ids, time};
use hazeltiller_wire::membership as wire;

use crate::{calls, event, membership, reducer, settings, timeline};

impl membership::MembershipState {
    /// Changes this process's own record and queues it as a rumour.
    pub fn publish(
        &mut self,
        change: impl FnOnce(&mut hazeltiller_wire::membership::MemberRecord),
    ) {
        self.toggle_own_digest();
        change(&mut self.own);
        self.own.sequence += 1;
        self.toggle_own_digest();
        self.record_change(Some(self.own.identity.instance.clone()));
        self.rumours.insert(self.own.identity.instance.clone());
    }

    fn publish_targets(&mut self) {
        let targets = self.targets.values();
        let records = targets.map(|target| target.record.clone()).collect();
        self.publish(|own| own.targets = records);
    }
}

/// Highest sequence number with which an unknown target may take over an address. A first
/// announcement with a higher number may have been delayed since before another target took the
/// address.
const MAX_INITIAL_SEQUENCE: u64 = 2;

/// A target that was removed from this node.
#[derive(Debug, Clone, Copy)]
pub struct RemovedTarget {
    /// The last incarnation of the target.
    incarnation: ids::IncarnationNumber,
    /// Announcements of that incarnation up to this sequence number were sent before the removal.
    /// `None` if all of its numbered announcements were.
    sequence: Option<u64>,
    expires_at: time::MonotonicTime,
}

/// Handles a target's announcement. This process's record is published again only if the target's
/// description changed.
pub fn announce(
    state: &mut reducer::EngineState,
    announcement: membership::TargetAnnouncement,
    output: &mut event::ReducerOutput,
) {
    if is_foreign(state, &announcement.record) {
        let record = announcement.record;
        return output.record_event(timeline::TimelineEvent::AnnouncementForeign {
            target: record.name,
            service: record.service,
        });
    }
    if is_stale(state, &announcement) {
        let record = announcement.record;
        return output.record_event(timeline::TimelineEvent::AnnouncementOutdated {
            target: record.name,
            state: record.state,
            sequence: announcement.sequence.unwrap_or_default(),
        });
    }
    let lease_expires_at = state.now + announcement.lease;
    let (mut record, sequence) = (announcement.record, announcement.sequence);
    let name = record.name.clone();
    let announces_drain = record.state == wire::TargetState::Draining;
    // What the target said to callers goes before what it announces.
    if state.signals.is_leaving(&name, record.incarnation) {
        record.state = wire::TargetState::Draining;
    }
    if sequence.is_some() {
        remove_displaced(state, &record, output);
    }
    let known = state.membership.targets.get(&name);
    let is_restart = known.is_some_and(|known| known.record.incarnation < record.incarnation);
    let has_changed = known.is_none_or(|known| known.record != record);
    // Each announcement gives the remaining warm-up time; within an incarnation the earliest end is
    // kept.
    let announced_warm_at = state.now + announcement.warm_up_left;
    let warm_at = known
        .filter(|_| !is_restart)
        .map_or(announced_warm_at, |known| {
            known.warm_at.min(announced_warm_at)
        });
    let is_ready = record.state == wire::TargetState::Ready;
    if is_restart {
        output.record_event(timeline::TimelineEvent::TargetRestarted {
            target: name.clone(),
            incarnation: record.incarnation,
        });
        calls::end_incarnation(state, &name, output);
    }
    if has_changed {
        output.record_event(timeline::TimelineEvent::TargetAnnounced {
            target: name.clone(),
            service: record.service.clone(),
            state: record.state,
        });
    }
    let target = membership::OwnTarget {
        record,
        lease_expires_at,
        sequence,
        warm_at,
    };
    let incarnation = target.record.incarnation;
    state.membership.targets.insert(name.clone(), target);
    state
        .signals
        .own_target_announced(&name, incarnation, state.now);
    if has_changed {
        state.membership.publish_targets();
    }
    if !is_ready {
        calls::evict(state, &name, output);
    }
    if !announces_drain {
        membership::withdrawals::note_ready(state, &name);
    } else if sequence.is_some() {
        // Only numbered announcements can be told from delayed ones.
        membership::withdrawals::entrust(state, &name, incarnation, sequence, output);
    }
}

/// Offers a target no more calls, since it said in a response that it leaves. The notice may come
/// before the announcement.
pub fn drain(
    state: &mut reducer::EngineState,
    name: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    let Some(target) = state.membership.targets.get_mut(name) else {
        return;
    };
    if target.record.state == wire::TargetState::Draining {
        return;
    }
    target.record.state = wire::TargetState::Draining;
    state.membership.publish_targets();
    calls::evict(state, name, output);
}

/// Returns whether an announcement does not come from one of this node's targets: it names a
/// service that is not in the catalogue, but the name or address of a target whose service is.
fn is_foreign(state: &reducer::EngineState, record: &wire::TargetRecord) -> bool {
    let catalogue = &state.dissemination.in_force;
    let is_known = |service| catalogue.service(service).is_some();
    let mut targets = state.membership.targets.values();
    !is_known(&record.service)
        && targets.any(|known| {
            let known = &known.record;
            is_known(&known.service)
                && (known.name == record.name || known.address == record.address)
        })
}

/// Returns whether an announcement was delayed and something later is already known. Incarnations
/// are compared before sequence numbers, which restart with each incarnation. Once the lease of an
/// incarnation has expired it no longer takes part, so that a target whose clock was set back is
/// accepted again after that time.
fn is_stale(state: &reducer::EngineState, announcement: &membership::TargetAnnouncement) -> bool {
    let record = &announcement.record;
    let incarnation = record.incarnation;
    if let Some(known) = state.membership.targets.get(&record.name) {
        let latest = known.record.incarnation;
        let is_delayed = || is_not_after(announcement.sequence, known.sequence);
        return incarnation < latest || incarnation == latest && is_delayed();
    }
    if let Some(removed) = state.membership.removed.get(&record.name)
        && removed.expires_at > state.now
    {
        let is_delayed = || match removed.sequence {
            None => announcement.sequence.is_some(),
            latest => is_not_after(announcement.sequence, latest),
        };
        return incarnation < removed.incarnation
            || incarnation == removed.incarnation && is_delayed();
    }
    let others = state.membership.targets.values();
    let mut others = others.filter(|other| other.record.address == record.address);
    others.any(|other| {
        let other_incarnation = other.record.incarnation;
        let are_both_known = [incarnation, other_incarnation]
            .iter()
            .all(|incarnation| incarnation.0 > 0);
        if are_both_known {
            incarnation < other_incarnation
        } else {
            announcement
                .sequence
                .is_some_and(|sequence| sequence > MAX_INITIAL_SEQUENCE)
        }
    })
}

/// Returns whether an announcement is not later than the latest one of the same incarnation; false
/// if one of them is not numbered.
fn is_not_after(sequence: Option<u64>, latest: Option<u64>) -> bool {
    sequence
        .zip(latest)
        .is_some_and(|(sequence, latest)| sequence <= latest)
}

/// Withdraws every other target at the address of one that has started there.
fn remove_displaced(
    state: &mut reducer::EngineState,
    record: &wire::TargetRecord,
    output: &mut event::ReducerOutput,
) {
    let others = state.membership.targets.values();
    let displaced: Vec<ids::TargetName> = others
        .map(|other| &other.record)
        .filter(|other| other.address == record.address && other.name != record.name)
        .map(|other| other.name.clone())
        .collect();
    for name in displaced {
        withdraw_permanently(state, &name, output);
    }
}

/// Withdraws a target that deregistered, and has the controls hold a notice of that.
pub fn deregister(
    state: &mut reducer::EngineState,
    name: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    withdraw_permanently(state, name, output);
    let incarnation = state.membership.removed[name].incarnation;
    membership::withdrawals::entrust(state, name, incarnation, None, output);
}

/// Applies a notice of an earlier incarnation of this process. Withdraws the target if only
/// announcements that were sent before are known of it.
pub(super) fn apply_notice(
    state: &mut reducer::EngineState,
    notice: &wire::WithdrawalNotice,
    expires_at: time::MonotonicTime,
    output: &mut event::ReducerOutput,
) {
    let name = &notice.target;
    if let Some(known) = state.membership.targets.get(name) {
        let is_outdated = known.sequence.is_none_or(|sequence| {
            let last_before = notice.sequence.unwrap_or(u64::MAX);
            sequence <= last_before
        });
        let incarnation = known.record.incarnation;
        let is_earlier =
            incarnation < notice.incarnation || incarnation == notice.incarnation && is_outdated;
        if !is_earlier {
            return;
        }
        withdraw(state, name, output);
    }
    let removed = RemovedTarget {
        incarnation: notice.incarnation,
        sequence: notice.sequence,
        expires_at,
    };
    state.membership.removed.insert(name.clone(), removed);
}

/// Withdraws a target that deregistered or was displaced. Delayed announcements of the same
/// incarnation are ignored.
pub fn withdraw_permanently(
    state: &mut reducer::EngineState,
    name: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    record_removal(state, name, None);
    withdraw(state, name, output);
}

/// Withdraws a target whose address is used by another one. A later announcement registers it
/// again.
pub fn withdraw_wrong_target(
    state: &mut reducer::EngineState,
    name: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    if let Some(target) = state.membership.targets.get(name)
        && let Some(sequence) = target.sequence
    {
        record_removal(state, name, Some(sequence));
    }
    withdraw(state, name, output);
}

/// Remembers a removed target, so that its delayed announcements are ignored. `sequence` has the
/// meaning of [`RemovedTarget::sequence`].
fn record_removal(state: &mut reducer::EngineState, name: &ids::TargetName, sequence: Option<u64>) {
    let now = state.now;
    let retention = settings::millis(state.settings.tunables.membership.departed_ms);
    let expires_at = now + retention;
    let removed = &mut state.membership.removed;
    removed.retain(|_, removed| removed.expires_at > now);
    // A target that is not known now may have been removed before, here or by an earlier incarnation
    // of this process.
    let known = state.membership.targets.get(name);
    let incarnation = known
        .map(|known| known.record.incarnation)
        .max(removed.get(name).map(|removed| removed.incarnation));
    let record = RemovedTarget {
        incarnation: incarnation.unwrap_or_default(),
        sequence,
        expires_at,
    };
    removed.insert(name.clone(), record);
}

/// Withdraws a target.
pub fn withdraw(
    state: &mut reducer::EngineState,
    name: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    if state.membership.targets.shift_remove(name).is_some() {
        state.membership.publish_targets();
        let effect = membership::MembershipEffect::Withdraw(name.clone());
        output.effects.push(event::Effect::Membership(effect));
        calls::evict(state, name, output);
    }
}

/// Withdraws the targets whose leases have expired.
pub fn withdraw_expired(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let expired: Vec<ids::TargetName> = state
        .membership
        .targets
        .iter()
        .filter(|(_, target)| target.lease_expires_at <= now)
        .map(|(name, _)| name.clone())
        .collect();
    for name in expired {
        withdraw(state, &name, output);
    }
}

/// Announces to the partners at once that this process leaves.
pub fn leave(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    state.membership.publish(|own| own.has_left = true);
    membership::gossip::send_rumours(state, output);
}

/// Refutes a suspicion of this process by publishing a newer record.
pub fn refute(state: &mut reducer::EngineState) {
    state.membership.publish(|_unchanged| {});
}

/// Handles a copy of this process's own record. A newer copy stems from an earlier run of the
/// process whose clock was ahead, so the incarnation of this run is raised above it.
pub fn apply_own_copy(
    state: &mut reducer::EngineState,
    copy: &hazeltiller_wire::membership::MemberRecord,
) {
    let own = &state.membership.own;
    let is_newer =
        (copy.identity.incarnation, copy.sequence) > (own.identity.incarnation, own.sequence);
    let is_conflicting = copy.identity.incarnation == own.identity.incarnation && copy != own;
    if is_newer || is_conflicting && copy.sequence == own.sequence {
        let incarnation = copy.identity.incarnation.next();
        state
            .membership
            .publish(|own| own.identity.incarnation = incarnation);
        state.settings.identity.incarnation = incarnation;
    }
}
