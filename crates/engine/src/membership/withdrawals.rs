//! Notices of leaving targets that outlive the process that acknowledged them.
//!
//! An announcement may arrive seconds after it was sent, also after a restart of the owner node, which
//! then has no memory of what the target said later. The acknowledgement of a departure is therefore
//! given only once a majority of the controls holds a notice of it. A holder that learns of a new
//! incarnation of the owner node returns its notices, so that a restarted node asks nobody, and
//! nothing is sent for nodes without leaving targets.
//!
//! A control writes its notices to disk before it confirms one, so that they outlive a loss of all
//! processes. The owner node's gossip partners hold them in memory, for a node that restarts out of
//! the controls' reach. The owner node entrusts its notices again to a holder that restarts.
//!
//! Which controls make a majority is told by those that confirm a notice: the fleet remembers a
//! control that was replaced for far longer than the group does.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::{membership as wire, message};
use indexmap::IndexMap;

use super::own;
use crate::{event, membership, reducer, replication, settings, timeline};

/// Notices that a process holds for others at most.
const MAX_HELD_NOTICES: usize = 10_000;
/// Time between two sends of a notice that no majority holds yet, or that is to be returned.
const RESEND_PERIOD: Duration = Duration::from_millis(100);
/// Time between two sends of a notice that a majority holds to the other controls.
const SETTLED_RESEND_PERIOD: Duration = Duration::from_secs(1);

/// Name of a process, and the incarnation that holds a notice.
type HolderName = (ids::InstanceName, ids::IncarnationNumber);

/// A notice of one of this node's targets.
#[derive(Debug, Clone)]
struct OwnNotice {
    notice: wire::WithdrawalNotice,
    expires_at: time::MonotonicTime,
    next_send_at: time::MonotonicTime,
    /// Processes that hold the notice, each in the incarnation that confirmed it, with the voters of
    /// the control group that it named.
    holders: IndexMap<HolderName, Vec<ids::InstanceName>>,
    /// Whether a majority of the controls held the notice at some time.
    is_settled: bool,
    /// Whether the target announced itself as ready after what the notice tells, so that the notice
    /// does not cover its next departure.
    is_outdated: bool,
}

/// A notice that this process holds for another one.
#[derive(Debug, Clone)]
struct HeldNotice {
    notice: wire::WithdrawalNotice,
    /// Latest incarnation of the owner node that entrusted the notice as it is held.
    owner: ids::IncarnationNumber,
    expires_at: time::MonotonicTime,
    next_return_at: time::MonotonicTime,
    /// First batch that contains the notice as it is.
    batch: u64,
}

/// All notices that a process holds, to be written to its disk in place of earlier ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoticeBatch {
    /// Number of the batch, larger than those of all earlier ones.
    pub batch: u64,
    /// The notices.
    pub notices: Vec<wire::StoredNotice>,
}

/// Progress of the writes to disk.
#[derive(Debug, Clone, Default)]
struct NoticeWriter {
    last_batch: u64,
    durable_batch: u64,
    is_writing: bool,
    /// Whether a confirmation waits for a write after the current one.
    is_due: bool,
    /// Confirmations that wait for the current write, and for the one after it.
    in_flight: Vec<(SocketAddr, wire::WithdrawalNotice)>,
    waiting: Vec<(SocketAddr, wire::WithdrawalNotice)>,
}

/// The notices of this node's targets, and those held for other nodes.
#[derive(Debug, Clone, Default)]
pub struct WithdrawalState {
    own: IndexMap<ids::TargetName, OwnNotice>,
    held: IndexMap<(ids::InstanceName, ids::TargetName), HeldNotice>,
    /// When the notices are next looked through.
    next_scan_at: time::MonotonicTime,
    /// Absent if this process has no disk.
    writer: Option<NoticeWriter>,
}

impl WithdrawalState {
    /// Restores the state of a process that writes the notices that it holds to disk.
    pub fn recover(notices: Vec<wire::StoredNotice>) -> Self {
        let restore = |stored: wire::StoredNotice| {
            let remaining = settings::millis(u64::from(stored.notice.remaining_ms));
            let key = (stored.owner, stored.notice.target.clone());
            let held = HeldNotice {
                notice: stored.notice,
                owner: stored.incarnation,
                expires_at: time::MonotonicTime::default() + remaining,
                next_return_at: time::MonotonicTime::default(),
                batch: 0,
            };
            (key, held)
        };
        Self {
            held: notices.into_iter().map(restore).collect(),
            writer: Some(NoticeWriter::default()),
            ..Self::default()
        }
    }

    /// Returns whether the departure of a target may be acknowledged: no notice of it waits for a
    /// majority of the controls.
    pub fn is_settled(&self, target: &ids::TargetName) -> bool {
        self.own.get(target).is_none_or(|own| own.is_settled)
    }
}

/// Returns whether a notice makes late all announcements that another one of the same target does.
fn covers(notice: &wire::WithdrawalNotice, other: &wire::WithdrawalNotice) -> bool {
    let last = |notice: &wire::WithdrawalNotice| notice.sequence.unwrap_or(u64::MAX);
    let order = notice.incarnation.cmp(&other.incarnation);
    order.then(last(notice).cmp(&last(other))).is_ge()
}

impl OwnNotice {
    /// Returns whether the departure that another notice tells of is the one that this notice does.
    /// The announcements of a target that follow its first one as draining tell the same.
    fn includes(&self, other: &wire::WithdrawalNotice) -> bool {
        let is_repeated = self.notice.incarnation == other.incarnation
            && !self.is_outdated
            && other.sequence.is_some();
        is_repeated || covers(&self.notice, other)
    }
}

/// Returns a notice with the time for which it is still needed.
fn with_remaining(
    notice: &wire::WithdrawalNotice,
    expires_at: time::MonotonicTime,
    now: time::MonotonicTime,
) -> wire::WithdrawalNotice {
    let remaining = expires_at.since(now).as_millis();
    wire::WithdrawalNotice {
        remaining_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
        ..notice.clone()
    }
}

/// Returns when a notice that was received now expires.
fn expiry(state: &reducer::EngineState, notice: &wire::WithdrawalNotice) -> time::MonotonicTime {
    let retention = settings::millis(state.settings.tunables.membership.departed_ms);
    let remaining = settings::millis(u64::from(notice.remaining_ms));
    state.now + remaining.min(retention)
}

/// Entrusts the notice of a target that leaves to the controls, unless they hold one that tells as
/// much, or targets that left are not remembered at all.
pub(super) fn entrust(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
    incarnation: ids::IncarnationNumber,
    sequence: Option<u64>,
    output: &mut event::ReducerOutput,
) {
    let retention = settings::millis(state.settings.tunables.membership.departed_ms);
    let notice = wire::WithdrawalNotice {
        target: target.clone(),
        incarnation,
        sequence,
        remaining_ms: 0,
    };
    let known = state.membership.withdrawals.own.get(target);
    if retention.is_zero() || known.is_some_and(|known| known.includes(&notice)) {
        return;
    }
    let own = OwnNotice {
        notice,
        expires_at: state.now + retention,
        next_send_at: state.now,
        holders: IndexMap::new(),
        is_settled: false,
        is_outdated: false,
    };
    state.membership.withdrawals.own.insert(target.clone(), own);
    settle(state, target, output);
    send_due(state, output);
}

/// Notes that a target announced itself as ready.
pub(super) fn note_ready(state: &mut reducer::EngineState, target: &ids::TargetName) {
    if let Some(own) = state.membership.withdrawals.own.get_mut(target) {
        own.is_outdated = true;
    }
}

/// Sends and returns the notices that are due, and drops those that are no longer needed.
pub(super) fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let withdrawals = &mut state.membership.withdrawals;
    if now < withdrawals.next_scan_at {
        return;
    }
    withdrawals.next_scan_at = now + RESEND_PERIOD;
    withdrawals.own.retain(|_, own| own.expires_at > now);
    withdrawals.held.retain(|_, held| held.expires_at > now);
    send_due(state, output);
    return_due(state, output);
}

/// A process that can hold notices.
#[derive(Debug)]
struct HolderContact {
    address: SocketAddr,
    /// Name and incarnation; `None` for a control that is known from the settings only.
    holder: Option<HolderName>,
    is_control: bool,
}

impl HolderContact {
    fn has_confirmed(&self, own: &OwnNotice) -> bool {
        let holder = self.holder.as_ref();
        holder.is_some_and(|holder| own.holders.contains_key(holder))
    }
}

/// Returns the controls that this process knows, and its gossip partners. Until it has met a control
/// these are the addresses in its settings.
fn holder_contacts(state: &reducer::EngineState) -> Vec<HolderContact> {
    let membership = &state.membership;
    let is_holder = |identity: &&wire::PeerIdentity| {
        identity.is_control
            || membership
                .partners
                .partners
                .contains_key(&identity.instance)
    };
    let identities = membership.others().map(|member| &member.record.identity);
    let mut contacts: Vec<HolderContact> = identities
        .filter(is_holder)
        .map(|identity| HolderContact {
            address: identity.address,
            holder: Some((identity.instance.clone(), identity.incarnation)),
            is_control: identity.is_control,
        })
        .collect();
    if !contacts.iter().any(|contact| contact.is_control) {
        let own = state.settings.identity.address;
        let listed = state.settings.control.iter().copied();
        let listed = listed.filter(|address| *address != own);
        contacts.extend(listed.map(|address| HolderContact {
            address,
            holder: None,
            is_control: true,
        }));
    }
    contacts
}

/// Returns whether a majority of the control group holds a notice, this process included if it is a
/// control. The group is the one that a holder named. Where no holder has named one it is the controls
/// that this process knows; a process that knows none has nobody to wait for.
fn has_majority(state: &reducer::EngineState, own: &OwnNotice) -> bool {
    let identity = &state.settings.identity;
    let holds = |control: &ids::InstanceName| {
        let mut holders = own.holders.keys();
        *control == identity.instance || holders.any(|(name, _)| name == control)
    };
    let is_majority = |held: usize, size: usize| held > size / 2;
    let mut groups = own.holders.values().filter(|voters| !voters.is_empty());
    if groups.any(|voters| {
        let held = voters.iter().filter(|voter| holds(voter)).count();
        is_majority(held, voters.len())
    }) {
        return true;
    }
    if own.holders.values().any(|voters| !voters.is_empty()) {
        return false;
    }
    let contacts = holder_contacts(state);
    let controls = contacts.iter().filter(|contact| contact.is_control);
    let confirmed = controls
        .clone()
        .filter(|control| control.has_confirmed(own));
    let own_vote = usize::from(identity.is_control);
    let size = controls.count() + own_vote;
    size == 0 || is_majority(confirmed.count() + own_vote, size)
}

/// Reports a notice as settled once a majority of the control group holds it.
fn settle(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
    output: &mut event::ReducerOutput,
) {
    let own = state.membership.withdrawals.own.get(target);
    if !own.is_some_and(|own| !own.is_settled && has_majority(state, own)) {
        return;
    }
    if let Some(own) = state.membership.withdrawals.own.get_mut(target) {
        own.is_settled = true;
        let settled = membership::MembershipEffect::WithdrawalSettled(target.clone());
        output.effects.push(event::Effect::Membership(settled));
    }
}

fn send_due(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let mut own = state.membership.withdrawals.own.values();
    if !own.any(|own| own.next_send_at <= now) {
        return;
    }
    let contacts = holder_contacts(state);
    let own = state.membership.withdrawals.own.values_mut();
    for own in own.filter(|own| own.next_send_at <= now) {
        let pause = if own.is_settled {
            SETTLED_RESEND_PERIOD
        } else {
            RESEND_PERIOD
        };
        own.next_send_at = now + pause;
        let lacking = contacts
            .iter()
            .filter(|contact| !contact.has_confirmed(own));
        for contact in lacking {
            let notice = with_remaining(&own.notice, own.expires_at, now);
            send(
                output,
                contact.address,
                wire::MembershipMessage::Entrust(notice),
            );
        }
    }
}

/// Returns the held notices of nodes that have restarted since.
fn return_due(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let membership = &mut state.membership;
    for ((owner, _), held) in &mut membership.withdrawals.held {
        let Some(member) = membership.members.get(owner) else {
            continue;
        };
        let identity = &member.record.identity;
        if !member.is_present() || identity.incarnation <= held.owner || held.next_return_at > now {
            continue;
        }
        held.next_return_at = now + RESEND_PERIOD;
        let notice = with_remaining(&held.notice, held.expires_at, now);
        send(
            output,
            identity.address,
            wire::MembershipMessage::Returned(notice),
        );
    }
}

fn send(output: &mut event::ReducerOutput, to: SocketAddr, message: wire::MembershipMessage) {
    output.send(to, message::PeerMessage::Membership(message));
}

/// Holds a notice for another process, and confirms it once it is durable.
pub(super) fn hold(
    state: &mut reducer::EngineState,
    from: &wire::PeerIdentity,
    notice: wire::WithdrawalNotice,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let expires_at = expiry(state, &notice);
    let withdrawals = &mut state.membership.withdrawals;
    let held = &mut withdrawals.held;
    let key = (from.instance.clone(), notice.target.clone());
    let is_known = held.contains_key(&key);
    if !is_known && held.len() >= MAX_HELD_NOTICES {
        return output.record_event(timeline::TimelineEvent::WithdrawalNotHeld {
            target: notice.target,
            owner: from.instance.clone(),
        });
    }
    let writer = &mut withdrawals.writer;
    let next_batch = writer.as_ref().map_or(0, |writer| writer.last_batch + 1);
    let current = held.entry(key).or_insert_with(|| HeldNotice {
        notice: notice.clone(),
        owner: from.incarnation,
        expires_at,
        next_return_at: now,
        batch: next_batch,
    });
    current.expires_at = current.expires_at.max(expires_at);
    if !covers(&current.notice, &notice) {
        current.notice = notice.clone();
        current.batch = next_batch;
    }
    // A restarted owner node may have been returned an earlier notice by another holder, and still
    // needs this one.
    if from.incarnation > current.owner && covers(&notice, &current.notice) {
        current.owner = from.incarnation;
        current.batch = next_batch;
    }
    let is_behind = |writer: &&mut NoticeWriter| current.batch > writer.durable_batch;
    match writer.as_mut().filter(is_behind) {
        Some(writer) => {
            writer.waiting.push((from.address, notice));
            writer.is_due = true;
            start_write(state, output);
        }
        None => confirm(state, from.address, notice, output),
    }
}

/// Tells the owner node that this process holds a notice.
fn confirm(
    state: &reducer::EngineState,
    to: SocketAddr,
    notice: wire::WithdrawalNotice,
    output: &mut event::ReducerOutput,
) {
    let replication = state.replication.iter();
    let voters = replication.flat_map(replication::ReplicationState::voters);
    let receipt = wire::NoticeReceipt {
        notice,
        voters: voters.cloned().collect(),
    };
    send(output, to, wire::MembershipMessage::Entrusted(receipt));
}

/// Starts a write of all notices if one is due and none is in progress.
fn start_write(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let now = state.now;
    let withdrawals = &mut state.membership.withdrawals;
    let Some(writer) = &mut withdrawals.writer else {
        return;
    };
    if writer.is_writing || !writer.is_due {
        return;
    }
    writer.is_due = false;
    writer.is_writing = true;
    writer.last_batch += 1;
    writer.in_flight = std::mem::take(&mut writer.waiting);
    let stored = withdrawals.held.iter().map(|((owner, _), held)| {
        let notice = with_remaining(&held.notice, held.expires_at, now);
        wire::StoredNotice {
            owner: owner.clone(),
            incarnation: held.owner,
            notice,
        }
    });
    let batch = NoticeBatch {
        batch: writer.last_batch,
        notices: stored.collect(),
    };
    let persist = membership::MembershipEffect::PersistNotices(batch);
    output.effects.push(event::Effect::Membership(persist));
}

/// Handles the end of a write. Owner nodes send again what was not confirmed, so a failed write is
/// followed by another one.
pub(super) fn finish_write(
    state: &mut reducer::EngineState,
    durable_batch: Option<u64>,
    output: &mut event::ReducerOutput,
) {
    let Some(writer) = &mut state.membership.withdrawals.writer else {
        return;
    };
    writer.is_writing = false;
    let in_flight = std::mem::take(&mut writer.in_flight);
    if let Some(batch) = durable_batch {
        writer.durable_batch = batch;
        for (address, notice) in in_flight {
            confirm(state, address, notice, output);
        }
    }
    start_write(state, output);
}

/// Records that another process holds a notice.
pub(super) fn record_holder(
    state: &mut reducer::EngineState,
    from: &wire::PeerIdentity,
    receipt: wire::NoticeReceipt,
    output: &mut event::ReducerOutput,
) {
    let notice = receipt.notice;
    let Some(own) = state.membership.withdrawals.own.get_mut(&notice.target) else {
        return;
    };
    let held = (notice.incarnation, notice.sequence);
    if held == (own.notice.incarnation, own.notice.sequence) {
        let holder = (from.instance.clone(), from.incarnation);
        own.holders.insert(holder, receipt.voters);
        settle(state, &notice.target, output);
    }
}

/// Takes back a notice that an earlier incarnation of this process entrusted to another one.
pub(super) fn take_back(
    state: &mut reducer::EngineState,
    from: &wire::PeerIdentity,
    notice: wire::WithdrawalNotice,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let target = notice.target.clone();
    let known = state.membership.withdrawals.own.get(&target);
    if known.is_none_or(|known| !covers(&known.notice, &notice)) {
        output.record_event(timeline::TimelineEvent::WithdrawalReturned {
            target: target.clone(),
            holder: from.instance.clone(),
        });
        let expires_at = expiry(state, &notice);
        own::apply_notice(state, &notice, expires_at, output);
        let announced = state.membership.targets.get(&target);
        let incarnation = announced.map(|announced| announced.record.incarnation);
        let own = OwnNotice {
            is_outdated: incarnation == Some(notice.incarnation),
            notice,
            expires_at,
            next_send_at: now,
            holders: IndexMap::new(),
            is_settled: true,
        };
        state.membership.withdrawals.own.insert(target.clone(), own);
    }
    // The holder returns the notice until this incarnation entrusts it, also if the holder is none of
    // the processes that this one would choose now.
    let own = &state.membership.withdrawals.own[&target];
    let notice = with_remaining(&own.notice, own.expires_at, now);
    let entrusted = wire::MembershipMessage::Entrust(notice);
    send(output, from.address, entrusted);
}
