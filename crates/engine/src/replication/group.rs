//! Who belongs to the group: how it is founded, how learners make themselves known, how voters
//! change.
//!
//! A group is founded once every address of the settings is held by a replica that was started for
//! it, so no instance that knows an older group can be passed over. From then on voters change one
//! at a time by entries of the log: two groups that differ by one voter share one in every two
//! majorities.

use std::net::SocketAddr;

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{membership as wire_membership, replication as wire};
use rand::RngExt;

use super::{
    GroupChange, ProposalAnswer, ProposalNumber, ReplicaContext, ReplicaRole, ReplicationState,
    leader,
};
use crate::settings;

/// Most voters of a group.
pub const MOST_VOTERS: usize = 7;

/// A replica as it introduced itself.
#[derive(Debug, Clone)]
pub(super) struct KnownReplica {
    member: wire::GroupMember,
    introduction: wire::ReplicaIntroduction,
    heard: time::MonotonicTime,
}

impl ReplicationState {
    /// Introduces this replica as long as it has no leader or no vote; founds the group.
    pub(super) fn tick_group(&mut self, context: &mut ReplicaContext) {
        if self.has_failed() {
            return;
        }
        if self.hard.is_forming && !may_found(context) {
            self.hard.is_forming = false;
            self.writes.keep_hard();
        }
        if self.hard.is_forming {
            self.found(context);
        }
        let has_leader = self.leader.is_some() || matches!(self.role, ReplicaRole::Leader(_));
        if has_leader && self.is_voter() {
            return;
        }
        let period = settings::millis(context.tunables().introduction_ms);
        if self
            .introduced
            .is_some_and(|last| context.now.since(last) < period)
        {
            return;
        }
        self.introduced = Some(context.now);
        let own = context.settings.identity.address;
        let voters = self.other_voters();
        let known = voters.iter().map(|voter| voter.address);
        let mut addresses: Vec<SocketAddr> = control_addresses(context)
            .chain(known)
            .chain(context.membership.controls())
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses.into_iter().filter(|address| *address != own) {
            self.introduce(context, address, None, true);
        }
    }

    fn introduce(
        &self,
        context: &mut ReplicaContext,
        to: SocketAddr,
        replica: Option<ids::ReplicaId>,
        asks: bool,
    ) {
        let mut control: Vec<SocketAddr> = control_addresses(context).collect();
        control.sort_unstable();
        control.dedup();
        let voters = self.log.group().voters.iter();
        let introduction = wire::ReplicaIntroduction {
            standing: self.standing(),
            control,
            voters: voters.map(|voter| voter.replica).collect(),
            leader: if matches!(self.role, ReplicaRole::Leader(_)) {
                Some(context.settings.identity.address)
            } else {
                self.leader
            },
            asks,
        };
        let body = wire::ReplicationBody::Introduce(introduction);
        let message = self.message(replica, body);
        context.output.send(to, message);
    }

    /// Whether the log shows that this replica, and so its folder, is one of those that founded the group.
    /// A folder that was emptied since then belongs to a replica that came later, whatever the settings
    /// say of a first start; so does one whose log no longer reaches back to the founding.
    pub fn has_founded(&self) -> bool {
        let first = ids::LogPosition(1);
        let founding = self.log.get(first).filter(|_| self.commit >= first);
        founding.is_some_and(|entry| match &entry.payload {
            wire::LogPayload::Group(group) => group.has(self.hard.replica),
            _ => false,
        })
    }

    pub(super) fn standing(&self) -> wire::ReplicaStanding {
        if self.is_voter() {
            wire::ReplicaStanding::Voter
        } else if self.hard.is_forming {
            wire::ReplicaStanding::Forming
        } else {
            wire::ReplicaStanding::Learner
        }
    }

    /// Takes another replica's introduction.
    pub(super) fn introduced(
        &mut self,
        context: &mut ReplicaContext,
        from: &wire_membership::PeerIdentity,
        replica: ids::ReplicaId,
        introduction: wire::ReplicaIntroduction,
    ) {
        if introduction.asks {
            self.introduce(context, from.address, Some(replica), false);
        }
        // A voter of an older group, whose vote went while it was away, is a learner of this one.
        let is_forming = introduction.standing == wire::ReplicaStanding::Forming;
        if !is_forming && !self.log.group().has(replica) {
            self.meet_learner(context, from, replica);
        }
        // The leader may be one that nobody's settings name: whoever follows it says where it is.
        let own = context.settings.identity.address;
        if let Some(leader) = introduction.leader
            && self.leader.is_none()
            && leader != own
            && leader != from.address
        {
            self.introduce(context, leader, None, false);
        }
        if !self.hard.is_forming {
            return;
        }
        let has_group = !introduction.voters.is_empty();
        if has_group && !introduction.voters.contains(&self.hard.replica) {
            self.refuse_bootstrap(context, &from.instance);
            return;
        }
        let member = wire::GroupMember {
            replica,
            instance: from.instance.clone(),
            address: from.address,
        };
        let known = KnownReplica {
            member,
            introduction,
            heard: context.now,
        };
        self.introductions.insert(from.address, known);
    }

    /// A leader copies its log to a replica without a vote, too.
    fn meet_learner(
        &mut self,
        context: &mut ReplicaContext,
        from: &wire_membership::PeerIdentity,
        replica: ids::ReplicaId,
    ) {
        let next = self.log.last().position.next();
        let heard = context.now;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let is_voter = |id: &ids::ReplicaId| self.log.group().has(*id);
        leader
            .replicas
            .retain(|id, known| known.address != from.address || is_voter(id) || *id == replica);
        let instance = Some(from.instance.clone());
        leader
            .replicas
            .entry(replica)
            .or_insert_with(|| leader::ReplicaProgress::new(instance, from.address, next, heard));
    }

    fn refuse_bootstrap(&mut self, context: &mut ReplicaContext, by: &ids::InstanceName) {
        self.hard.is_forming = false;
        self.writes.keep_hard();
        self.introductions.clear();
        let message = format!("{by} is in a control group that this instance does not belong to");
        context.report(code::ResultCode::GroupPresent, message);
    }

    /// Founds the group, where this replica is the one to do so and every other one is there.
    fn found(&mut self, context: &mut ReplicaContext) {
        if !self.log.group().voters.is_empty() {
            self.hard.is_forming = false;
            self.writes.keep_hard();
            return;
        }
        let own = wire::GroupMember {
            replica: self.hard.replica,
            instance: context.settings.identity.instance.clone(),
            address: context.settings.identity.address,
        };
        let mut control: Vec<SocketAddr> = control_addresses(context).collect();
        control.push(own.address);
        control.sort_unstable();
        control.dedup();
        if control.first() != Some(&own.address) || control.len() > MOST_VOTERS {
            return;
        }
        let mut voters = vec![own];
        for address in &control[1..] {
            let Some(known) = self.introductions.get(address) else {
                return;
            };
            let introduction = &known.introduction;
            let is_ready = introduction.standing == wire::ReplicaStanding::Forming
                && introduction.control == control
                && context.is_fresh(known.heard);
            if !is_ready {
                return;
            }
            voters.push(known.member.clone());
        }
        let id = ids::GroupId(context.random.random_range(1..=u64::MAX));
        let group = wire::ControlGroup { id, voters };
        self.hard.is_forming = false;
        self.hard.term = ids::LeaderTerm(1);
        self.hard.vote = Some(self.hard.replica);
        self.writes.keep_hard();
        let entry = wire::LogEntry {
            position: ids::LogPosition(1),
            term: self.hard.term,
            payload: wire::LogPayload::Group(group),
        };
        self.log.append(entry.clone());
        self.writes.keep_entry(entry);
        // It stands for election at once; the others learn of the group from the log.
        self.election_at = Some(context.now);
    }

    /// Takes the administrator's wish for other voters.
    pub(super) fn change_group(
        &mut self,
        context: &mut ReplicaContext,
        number: ProposalNumber,
        change: &GroupChange,
    ) {
        if let Some(answer) = self.unready(context) {
            return context.answer(number, answer);
        }
        match self.changed_group(context, change) {
            Ok(group) => {
                let payload = wire::LogPayload::Group(group.clone());
                let position = self.write(context, payload);
                let answer = ProposalAnswer::GroupChanged(group);
                self.answer_at(context, position, number, answer);
            }
            Err(message) => {
                let code = code::ResultCode::MemberUnsuitable;
                let fault = hazeltiller_catalogue::change::CatalogueFault {
                    code,
                    entry: None,
                    field: String::new(),
                    message,
                };
                let answer = ProposalAnswer::Refused {
                    code,
                    version: self.machine.catalogue.version,
                    faults: vec![fault],
                };
                context.answer(number, answer);
            }
        }
    }

    /// The group after a change, or why it cannot be made now.
    pub(super) fn changed_group(
        &self,
        context: &ReplicaContext,
        change: &GroupChange,
    ) -> Result<wire::ControlGroup, String> {
        let ReplicaRole::Leader(leader) = &self.role else {
            return Err("this control does not lead".into());
        };
        if self.commit < leader.first || self.log.group_position() > self.commit {
            return Err("another change of the group is under way".into());
        }
        let mut group = self.log.group().clone();
        match change {
            GroupChange::Add(instance) => {
                let member = self.ready_learner(context, leader, instance)?;
                group.voters.push(member);
            }
            GroupChange::Remove(instance) => {
                let place = group
                    .voters
                    .iter()
                    .position(|one| one.instance == *instance);
                let place = place.ok_or_else(|| format!("{instance} has no vote"))?;
                if group.voters.len() == 1 {
                    return Err("the last voter cannot be removed".into());
                }
                group.voters.remove(place);
            }
        }
        let is_alive = |voter: &&wire::GroupMember| {
            let progress = leader.replicas.get(&voter.replica);
            voter.replica == self.hard.replica
                || progress.is_some_and(|progress| context.is_fresh(progress.heard))
        };
        if group.voters.iter().filter(is_alive).count() < group.majority() {
            return Err("too few of the voters that would be left can be reached".into());
        }
        Ok(group)
    }

    fn ready_learner(
        &self,
        context: &ReplicaContext,
        leader: &leader::LeaderState,
        instance: &ids::InstanceName,
    ) -> Result<wire::GroupMember, String> {
        let group = self.log.group();
        if group.voters.len() >= MOST_VOTERS {
            return Err(format!("a group has at most {MOST_VOTERS} voters"));
        }
        let mut learners = leader.replicas.iter();
        let found = learners.find(|(replica, progress)| {
            !group.has(**replica) && progress.instance.as_ref() == Some(instance)
        });
        let Some((replica, progress)) = found else {
            if group.voters.iter().any(|one| one.instance == *instance) {
                return Err(format!("{instance} has a vote already"));
            }
            return Err(format!("{instance} is no learner that the leader has met"));
        };
        let is_namesake = |voter: &wire::GroupMember| {
            voter.instance == *instance || voter.address == progress.address
        };
        if group.voters.iter().any(is_namesake) {
            return Err(format!(
                "{instance} still has the vote of its earlier folder; remove it first"
            ));
        }
        if !context.is_fresh(progress.heard) || progress.matched < self.commit {
            return Err(format!(
                "{instance} has not caught up yet: it holds {} of {}",
                progress.matched, self.commit
            ));
        }
        Ok(wire::GroupMember {
            replica: *replica,
            instance: instance.clone(),
            address: progress.address,
        })
    }
}

/// Whether this replica is one of those that found the group. A group that heals itself is
/// founded by the instances that everyone was told of; others join it.
fn may_found(context: &ReplicaContext) -> bool {
    let own = context.settings.identity.address;
    let heals = context.tunables().voters > 0;
    !heals || control_addresses(context).any(|address| address == own)
}

fn control_addresses<'a>(context: &ReplicaContext<'a>) -> impl Iterator<Item = SocketAddr> + 'a {
    context.settings.control.iter().copied()
}
