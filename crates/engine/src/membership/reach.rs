//! Who answers: suspicion with refutation for single members, age for whole data centres.
//!
//! Whoever misses a partner's answer suspects it aloud. The suspected one refutes by a newer
//! record, so one slow link ejects nobody; only without a refutation is it taken to be
//! unreachable, which is not the same as gone. A data centre that nothing has come from, directly
//! or through others, is unreachable as a whole, without a word on each of its members.

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
    /// As far as is known.
    Reachable,
    /// Somebody did not hear from it; it has time to refute.
    Suspected,
    /// It did not refute, or nothing comes from its data centre.
    Unreachable,
}

impl Reachability {
    /// The word in status.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Reachable => "reachable",
            Self::Suspected => "suspected",
            Self::Unreachable => "unreachable",
        }
    }
}

impl membership::MembershipState {
    /// Whether a member can be reached; `Unreachable` when it is not known.
    pub fn reachability(&self, name: &ids::InstanceName) -> Reachability {
        if *name == self.own.identity.instance {
            return Reachability::Reachable;
        }
        let Some(member) = self.members.get(name) else {
            return Reachability::Unreachable;
        };
        if self.silent.contains(&member.record.identity.data_centre) {
            return Reachability::Unreachable;
        }
        match member.silence {
            table::MemberSilence::Answers => Reachability::Reachable,
            table::MemberSilence::Suspected(_) => Reachability::Suspected,
            table::MemberSilence::Unreachable(_) => Reachability::Unreachable,
        }
    }

    /// Data centres that nothing has come from for so long that they count as cut off.
    pub fn silent_centres(&self) -> impl Iterator<Item = &ids::DataCentreName> {
        self.silent.iter()
    }
}

/// Finds the silent data centres.
fn judge_centres(state: &mut reducer::EngineState) {
    let limit = settings::millis(state.settings.tunables.membership.centre_silence_ms);
    let own = &state.settings.identity.data_centre;
    let membership = &state.membership;
    let is_silent = |centre: &&ids::DataCentreName| {
        let last = membership.centres.get(&table::centre_digest(centre));
        *centre != own && last.is_some_and(|last| state.now.since(*last) > limit)
    };
    let records = membership.others().map(|member| &member.record);
    let centres: IndexSet<&ids::DataCentreName> =
        records.map(|record| &record.identity.data_centre).collect();
    let silent: IndexSet<ids::DataCentreName> =
        centres.into_iter().filter(is_silent).cloned().collect();
    if silent != state.membership.silent {
        state.membership.silent = silent;
        state.membership.revision += 1;
    }
}

/// Notes that something came from a peer.
pub fn heard(state: &mut reducer::EngineState, from: &wire::PeerIdentity) {
    let now = state.now;
    let centre = table::centre_digest(&from.data_centre);
    state.membership.centres.insert(centre, now);
    let Some(member) = state.membership.members.get_mut(&from.instance) else {
        return;
    };
    member.heard = Some(now);
    state.membership.timers.probed.swap_remove(&from.instance);
    if member.silence != table::MemberSilence::Answers {
        member.silence = table::MemberSilence::Answers;
        state.membership.partners.is_stale = true;
        state.membership.revision += 1;
    }
}

/// How long ago each data centre was heard from.
pub fn ages(state: &reducer::EngineState) -> Vec<wire::CentreAge> {
    let own = table::centre_digest(&state.settings.identity.data_centre);
    let centres = state.membership.centres.iter();
    centres
        .filter(|(centre, _)| **centre != own)
        .map(|(centre, last)| wire::CentreAge {
            centre: *centre,
            age_ms: state.now.since(*last).as_millis() as u32,
        })
        .collect()
}

/// Takes what a peer says of data centres; its own is fresh by its message itself.
pub fn take_ages(state: &mut reducer::EngineState, ages: &[wire::CentreAge]) {
    let own = table::centre_digest(&state.settings.identity.data_centre);
    for age in ages.iter().filter(|age| age.centre != own) {
        let back = Duration::from_millis(u64::from(age.age_ms)).as_micros() as u64;
        let last = time::MonotonicTime(state.now.0.saturating_sub(back));
        let known = state.membership.centres.entry(age.centre).or_insert(last);
        *known = (*known).max(last);
    }
}

/// Takes a suspicion: of this process it is refuted, of another it is noted and passed on.
pub fn take_suspicion(state: &mut reducer::EngineState, suspicion: wire::MemberSuspicion) {
    let own = &state.membership.own;
    if suspicion.instance == own.identity.instance {
        let suspected = (suspicion.incarnation, suspicion.sequence);
        if !own.has_left && suspected >= table::age(own) {
            membership::own::refute(state);
        }
        return;
    }
    let now = state.now;
    let Some(member) = state.membership.members.get_mut(&suspicion.instance) else {
        return;
    };
    let is_news = member.silence == table::MemberSilence::Answers;
    if is_news && member.is_copy(suspicion.incarnation, suspicion.sequence) {
        member.silence = table::MemberSilence::Suspected(now);
        let name = suspicion.instance.clone();
        state.membership.suspicions.insert(name, suspicion);
        state.membership.revision += 1;
    }
}

/// Suspects silent partners, gives up on suspects, forgets members that are long silent.
pub fn tick(state: &mut reducer::EngineState) {
    suspect_silent(state);
    if !state.membership.timers.is_due(state.now) {
        return;
    }
    judge_centres(state);
    let tunables = &state.settings.tunables.membership;
    let confirm = settings::millis(tunables.confirm_ms);
    let forget = settings::millis(tunables.forget_ms);
    let tombstone = settings::millis(tunables.tombstone_ms);
    let now = state.now;
    let mut forgotten = Vec::new();
    let mut has_changed = false;
    for (name, member) in &mut state.membership.members {
        match member.silence {
            table::MemberSilence::Suspected(since) if now.since(since) > confirm => {
                member.silence = table::MemberSilence::Unreachable(now);
                has_changed = true;
            }
            table::MemberSilence::Unreachable(since)
                if now.since(since) > forget && member.is_present() =>
            {
                forgotten.push(name.clone());
            }
            _ => {}
        }
    }
    state.membership.partners.is_stale |= has_changed;
    state.membership.revision += u64::from(has_changed);
    for name in forgotten {
        state.membership.forget(&name);
    }
    state
        .membership
        .members
        .retain(|_, member| member.is_present() || now.since(member.taken) < forget + tombstone);
}

fn suspect_silent(state: &mut reducer::EngineState) {
    let limit = settings::millis(state.settings.tunables.membership.suspect_ms);
    let now = state.now;
    let silent: Vec<ids::InstanceName> = state
        .membership
        .timers
        .probed
        .iter()
        .filter(|(_, since)| now.since(**since) > limit)
        .map(|(name, _)| name.clone())
        .collect();
    for name in silent {
        state.membership.timers.probed.swap_remove(&name);
        if let Some(suspicion) = suspicion_of(state, &name) {
            take_suspicion(state, suspicion);
        }
    }
}

/// Some of the suspicions that are held, chosen anew each time, so that each is repeated.
pub fn held_suspicions(
    state: &mut reducer::EngineState,
    count: usize,
) -> Vec<wire::MemberSuspicion> {
    let members = state.membership.members.iter();
    let suspects = members.filter(|(_, member)| {
        member.is_present() && member.silence != table::MemberSilence::Answers
    });
    let names = suspects.map(|(name, _)| name.clone());
    let chosen = names.sample(&mut state.random, count);
    let suspicion = |name: &ids::InstanceName| suspicion_of(state, name);
    chosen.iter().filter_map(suspicion).collect()
}

/// A suspicion of the record that is held of a member.
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
