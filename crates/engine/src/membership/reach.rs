//! Reachability: suspicion and refutation for single members, time since the last contact for whole
//! data centres.
//!
//! A process that gets no answer from a partner spreads a suspicion. The suspected member refutes
//! it with a newer record, so that one slow link does not eject it. Without a refutation it is
//! considered unreachable, which does not mean that it left the fleet. A data centre from which
//! nothing was heard, directly or through others, is unreachable as a whole, without separate
//! suspicions of its members.

use std::time::Duration;

use hazeltiller_units::{ids, time};
use hazeltiller_wire::membership as wire;
use indexmap::IndexSet;
use rand::seq::IteratorRandom;

use crate::{
    membership::{self, table},
    reducer, settings,
};

/// Whether calls can be sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reachability {
    /// Nothing contradicts that the member answers.
    Reachable,
    /// Some process got no answer from the member, which still has time to refute that.
    Suspected,
    /// The member did not refute a suspicion, or nothing was heard from its data centre.
    Unreachable,
}

impl Reachability {
    /// Returns the name used in status documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Reachable => "reachable",
            Self::Suspected => "suspected",
            Self::Unreachable => "unreachable",
        }
    }
}

impl membership::MembershipState {
    /// Returns the reachability of a member; `Unreachable` if the member is not known.
    pub fn reachability(&self, name: &ids::InstanceName) -> Reachability {
        if *name == self.own.identity.instance {
            return Reachability::Reachable;
        }
        let Some(member) = self.members.get(name) else {
            return Reachability::Unreachable;
        };
        if self
            .silent_centres
            .contains(&member.record.identity.data_centre)
        {
            return Reachability::Unreachable;
        }
        match member.status {
            table::MemberStatus::Alive => Reachability::Reachable,
            table::MemberStatus::Suspected(_) => Reachability::Suspected,
            table::MemberStatus::Unreachable(_) => Reachability::Unreachable,
        }
    }

    /// Returns the data centres that count as partitioned, since nothing was heard from them for
    /// too long.
    pub fn silent_centres(&self) -> impl Iterator<Item = &ids::DataCentreName> {
        self.silent_centres.iter()
    }
}

/// Determines which data centres are silent.
fn update_silent_centres(state: &mut reducer::EngineState) {
    let limit = settings::millis(state.settings.tunables.membership.centre_silence_ms);
    let own = &state.settings.identity.data_centre;
    let membership = &state.membership;
    let is_silent = |centre: &&ids::DataCentreName| {
        let last = membership
            .centre_contacts
            .get(&table::centre_digest(centre));
        *centre != own && last.is_some_and(|last| state.now.since(*last) > limit)
    };
    let records = membership.others().map(|member| &member.record);
    let centres: IndexSet<&ids::DataCentreName> =
        records.map(|record| &record.identity.data_centre).collect();
    let silent: IndexSet<ids::DataCentreName> =
        centres.into_iter().filter(is_silent).cloned().collect();
    if silent != state.membership.silent_centres {
        state.membership.silent_centres = silent;
        state.membership.record_change(None);
    }
}

/// Records that a message came from a peer.
pub fn record_contact(state: &mut reducer::EngineState, from: &wire::PeerIdentity) {
    let now = state.now;
    let centre = table::centre_digest(&from.data_centre);
    state.membership.centre_contacts.insert(centre, now);
    let Some(member) = state.membership.members.get_mut(&from.instance) else {
        return;
    };
    member.last_heard = Some(now);
    state
        .membership
        .timers
        .unanswered_probes
        .swap_remove(&from.instance);
    if member.status != table::MemberStatus::Alive {
        member.status = table::MemberStatus::Alive;
        state.membership.partners.is_stale = true;
        let changed = Some(from.instance.clone());
        state.membership.record_change(changed);
    }
}

/// Returns the time since each other data centre was last heard from.
pub fn centre_ages(state: &reducer::EngineState) -> Vec<wire::DataCentreAge> {
    let own = table::centre_digest(&state.settings.identity.data_centre);
    let centres = state.membership.centre_contacts.iter();
    centres
        .filter(|(centre, _)| **centre != own)
        .map(|(centre, last)| wire::DataCentreAge {
            centre: *centre,
            age_ms: state.now.since(*last).as_millis() as u32,
        })
        .collect()
}

/// Merges a peer's times since the last contact with data centres. This process's own is skipped.
pub fn merge_centre_ages(state: &mut reducer::EngineState, ages: &[wire::DataCentreAge]) {
    let own = table::centre_digest(&state.settings.identity.data_centre);
    for age in ages.iter().filter(|age| age.centre != own) {
        let age_us = Duration::from_millis(u64::from(age.age_ms)).as_micros() as u64;
        let last = time::MonotonicTime(state.now.0.saturating_sub(age_us));
        let latest = state
            .membership
            .centre_contacts
            .entry(age.centre)
            .or_insert(last);
        *latest = (*latest).max(last);
    }
}

/// Handles a suspicion: refutes one of this process, records and spreads one of another member.
pub fn apply_suspicion(state: &mut reducer::EngineState, suspicion: wire::MemberSuspicion) {
    let own = &state.membership.own;
    if suspicion.instance == own.identity.instance {
        let suspected = (suspicion.incarnation, suspicion.sequence);
        if !own.has_left && suspected >= table::record_version(own) {
            membership::own::refute(state);
        }
        return;
    }
    let now = state.now;
    let Some(member) = state.membership.members.get_mut(&suspicion.instance) else {
        return;
    };
    let is_alive = member.status == table::MemberStatus::Alive;
    if is_alive && member.is_copy(suspicion.incarnation, suspicion.sequence) {
        member.status = table::MemberStatus::Suspected(now);
        let name = suspicion.instance.clone();
        let changed = Some(name.clone());
        state.membership.suspicions.insert(name, suspicion);
        state.membership.record_change(changed);
    }
}

/// Suspects silent partners, marks members unreachable that did not refute a suspicion in time, and
/// forgets members that were unreachable for long.
pub fn tick(state: &mut reducer::EngineState) {
    suspect_silent_partners(state);
    if !state.membership.timers.is_table_scan_due(state.now) {
        return;
    }
    update_silent_centres(state);
    let records = state.membership.present();
    state.membership.node_count = records.filter(|record| record.identity.is_node).count();
    let tunables = &state.settings.tunables.membership;
    let confirm_timeout = settings::millis(tunables.confirm_ms);
    let forget_timeout = settings::millis(tunables.forget_ms);
    let tombstone_time = settings::millis(tunables.tombstone_ms);
    let now = state.now;
    let mut forgotten = Vec::new();
    let mut unreachable = Vec::new();
    for (name, member) in &mut state.membership.members {
        match member.status {
            table::MemberStatus::Suspected(since) if now.since(since) > confirm_timeout => {
                member.status = table::MemberStatus::Unreachable(now);
                unreachable.push(name.clone());
            }
            table::MemberStatus::Unreachable(since)
                if now.since(since) > forget_timeout && member.is_present() =>
            {
                forgotten.push(name.clone());
            }
            _ => {}
        }
    }
    for name in unreachable {
        state.membership.partners.is_stale = true;
        state.membership.record_change(Some(name));
    }
    for name in forgotten {
        state.membership.forget(&name);
    }
    state.membership.members.retain(|_, member| {
        member.is_present() || now.since(member.received_at) < forget_timeout + tombstone_time
    });
}

/// Suspects the partners that have left probes unanswered for too long.
fn suspect_silent_partners(state: &mut reducer::EngineState) {
    let limit = settings::millis(state.settings.tunables.membership.suspect_ms);
    let now = state.now;
    let silent: Vec<ids::InstanceName> = state
        .membership
        .timers
        .unanswered_probes
        .iter()
        .filter(|(_, since)| now.since(**since) > limit)
        .map(|(name, _)| name.clone())
        .collect();
    for name in silent {
        state.membership.timers.unanswered_probes.swap_remove(&name);
        if let Some(suspicion) = suspicion_of(state, &name) {
            apply_suspicion(state, suspicion);
        }
    }
}

/// Returns a random sample of the current suspicions, so that over time each is repeated.
pub fn sample_suspicions(
    state: &mut reducer::EngineState,
    count: usize,
) -> Vec<wire::MemberSuspicion> {
    let members = state.membership.members.iter();
    let suspects = members
        .filter(|(_, member)| member.is_present() && member.status != table::MemberStatus::Alive);
    let names = suspects.map(|(name, _)| name.clone());
    let chosen = names.sample(&mut state.random, count);
    let suspicion = |name: &ids::InstanceName| suspicion_of(state, name);
    chosen.iter().filter_map(suspicion).collect()
}

/// Returns a suspicion of the record held for a member.
pub fn suspicion_of(
    state: &reducer::EngineState,
    name: &ids::InstanceName,
) -> Option<wire::MemberSuspicion> {
    let member = state.membership.members.get(name)?;
    Some(wire::MemberSuspicion {
        instance: name.clone(),
        incarnation: member.record.identity.incarnation,
        sequence: member.record.sequence,
    })
}
