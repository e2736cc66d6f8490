//! This process's own record: its targets, its leaving, and its standing against older copies.

use hazeltiller_units::{ids, time};
use hazeltiller_wire::membership as wire;

use crate::{calls, event, membership, reducer, settings, timeline};

impl membership::MembershipState {
    /// Changes the own record and spreads it.
    pub fn publish(
        &mut self,
        change: impl FnOnce(&mut hazeltiller_wire::membership::MemberRecord),
    ) {
        self.toggle_own();
        change(&mut self.own);
        self.own.sequence += 1;
        self.toggle_own();
        self.revision += 1;
        self.rumours.insert(self.own.identity.instance.clone());
    }

    fn publish_targets(&mut self) {
        let targets = self.targets.values();
        let records = targets.map(|target| target.record.clone()).collect();
        self.publish(|own| own.targets = records);
    }
}

/// First announcements of a target: one with a larger number that is the first to be heard may
/// have been held up since before another target took the address.
const FIRST_SEQUENCES: u64 = 2;

/// A target that left.
#[derive(Debug, Clone, Copy)]
pub struct DepartedTarget {
    /// Its last life.
    incarnation: ids::IncarnationNumber,
    /// Announcements of that life up to this number are older than its leaving; absent: all of them are.
    sequence: Option<u64>,
    until: time::MonotonicTime,
}

/// Takes a target's announcement; only what differs from the last one is published.
pub fn announce(
    state: &mut reducer::EngineState,
    announcement: membership::TargetAnnouncement,
    output: &mut event::ReducerOutput,
) {
    if is_foreign(state, &announcement.record) {
        let record = announcement.record;
        return output.note(timeline::TimelineEvent::AnnouncementForeign {
            target: record.name,
            service: record.service,
        });
    }
    if is_outdated(state, &announcement) {
        let record = announcement.record;
        return output.note(timeline::TimelineEvent::AnnouncementOutdated {
            target: record.name,
            state: record.state,
            sequence: announcement.sequence.unwrap_or_default(),
        });
    }
    let lapses = state.now + announcement.lease;
    let (record, sequence) = (announcement.record, announcement.sequence);
    let name = record.name.clone();
    if sequence.is_some() {
        give_way(state, &record, output);
    }
    let known = state.membership.targets.get(&name);
    let is_restart = known.is_some_and(|known| known.record.incarnation < record.incarnation);
    let is_news = known.is_none_or(|known| known.record != record);
    // Each announcement tells the time left; the earliest end holds within a life.
    let told_warm = state.now + announcement.warm_in;
    let warm_at = known
        .filter(|_| !is_restart)
        .map_or(told_warm, |known| known.warm_at.min(told_warm));
    let is_ready = record.state == wire::TargetState::Ready;
    if is_restart {
        output.note(timeline::TimelineEvent::TargetRestarted {
            target: name.clone(),
            incarnation: record.incarnation,
        });
        calls::end_incarnation(state, &name, output);
    }
    if is_news {
        output.note(timeline::TimelineEvent::TargetAnnounced {
            target: name.clone(),
            service: record.service.clone(),
            state: record.state,
        });
    }
    let target = membership::OwnTarget {
        record,
        lapses,
        sequence,
        warm_at,
    };
    state.membership.targets.insert(name.clone(), target);
    if is_news {
        state.membership.publish_targets();
    }
    if !is_ready {
        calls::evict(state, &name, output);
    }
}

/// Whether an announcement is none of this node's target: it names a service that the catalogue lacks,
/// and the name or the address of one whose service the catalogue has.
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

/// Whether an announcement was held up on the way: something later is known already. The life decides
/// before the number, which begins anew with each life. A life whose lease has lapsed binds nobody, so
/// that a target whose clock stepped back is taken again after that time.
fn is_outdated(
    state: &reducer::EngineState,
    announcement: &membership::TargetAnnouncement,
) -> bool {
    let record = &announcement.record;
    let life = record.incarnation;
    if let Some(known) = state.membership.targets.get(&record.name) {
        let last = known.record.incarnation;
        let is_late = || is_up_to(announcement.sequence, known.sequence);
        return life < last || life == last && is_late();
    }
    if let Some(departed) = state.membership.departed.get(&record.name)
        && departed.until > state.now
    {
        let is_late = || match departed.sequence {
            None => announcement.sequence.is_some(),
            last => is_up_to(announcement.sequence, last),
        };
        return life < departed.incarnation || life == departed.incarnation && is_late();
    }
    let others = state.membership.targets.values();
    let mut others = others.filter(|other| other.record.address == record.address);
    others.any(|other| {
        let taken = other.record.incarnation;
        let are_told = [life, taken].iter().all(|life| life.0 > 0);
        if are_told {
            life < taken
        } else {
            announcement
                .sequence
                .is_some_and(|sequence| sequence > FIRST_SEQUENCES)
        }
    })
}

/// Whether an announcement is not above the last one of its life, where both are counted.
fn is_up_to(sequence: Option<u64>, last: Option<u64>) -> bool {
    sequence
        .zip(last)
        .is_some_and(|(sequence, last)| sequence <= last)
}

/// Ends every other target at the address of one that has just started there.
fn give_way(
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
        depart(state, &name, output);
    }
}

/// Withdraws a target for good: announcements of it that are still on their way count no more.
pub fn depart(
    state: &mut reducer::EngineState,
    name: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    remember(state, name, None);
    withdraw(state, name, output);
}

/// Withdraws a target whose address another one has; a later announcement brings it back.
pub fn misplace(
    state: &mut reducer::EngineState,
    name: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    if let Some(target) = state.membership.targets.get(name)
        && let Some(sequence) = target.sequence
    {
        remember(state, name, Some(sequence));
    }
    withdraw(state, name, output);
}

fn remember(state: &mut reducer::EngineState, name: &ids::TargetName, sequence: Option<u64>) {
    let now = state.now;
    let kept = settings::millis(state.settings.tunables.membership.departed_ms);
    let until = now + kept;
    let departed = &mut state.membership.departed;
    departed.retain(|_, departed| departed.until > now);
    let known = state.membership.targets.get(name);
    let record = DepartedTarget {
        incarnation: known.map_or_else(Default::default, |known| known.record.incarnation),
        sequence,
        until,
    };
    departed.insert(name.clone(), record);
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

/// Withdraws the targets whose leases have lapsed.
pub fn withdraw_lapsed(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let lapsed: Vec<ids::TargetName> = state
        .membership
        .targets
        .iter()
        .filter(|(_, target)| target.lapses <= now)
        .map(|(name, _)| name.clone())
        .collect();
    for name in lapsed {
        withdraw(state, &name, output);
    }
}

/// Says that this process leaves, to its partners at once.
pub fn leave(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    state.membership.publish(|own| own.has_left = true);
    membership::gossip::send_rumours(state, output);
}

/// Answers a suspicion of this process by a newer record.
pub fn refute(state: &mut reducer::EngineState) {
    state.membership.publish(|_unchanged| {});
}

/// Takes a copy of the own record: one that is newer is from an earlier life whose clock was
/// ahead, so this life's incarnation is put above it.
pub fn take_copy(
    state: &mut reducer::EngineState,
    copy: &hazeltiller_wire::membership::MemberRecord,
) {
    let own = &state.membership.own;
    let is_newer =
        (copy.identity.incarnation, copy.sequence) > (own.identity.incarnation, own.sequence);
    let is_other = copy.identity.incarnation == own.identity.incarnation && copy != own;
    if is_newer || is_other && copy.sequence == own.sequence {
        let incarnation = copy.identity.incarnation.next();
        state
            .membership
            .publish(|own| own.identity.incarnation = incarnation);
        state.settings.identity.incarnation = incarnation;
    }
}
