//! Membership of the control group: its bootstrap, the discovery of learners and changes of voters.
//!
//! The group is bootstrapped only once a replica that was started for bootstrap answers at every
//! control address in the settings. This way no instance that belongs to an older group is
//! overlooked. Afterwards voters change one at a time, by log entries: the majorities of two groups
//! that differ by one voter always overlap.

use std::net::SocketAddr;

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{membership as wire_membership, replication as wire};
use rand::RngExt;

use super::{
    GroupChange, ProposalAnswer, ProposalNumber, ReplicaContext, ReplicaRole, ReplicationState,
    leader,
};
use crate::settings;

/// Largest number of voters in a group.
pub const MAX_VOTERS: usize = 7;

/// The latest introduction received from a replica.
#[derive(Debug, Clone)]
pub(super) struct IntroducedReplica {
    member: wire::GroupMember,
    introduction: wire::ReplicaIntroduction,
    heard_at: time::MonotonicTime,
}

impl ReplicationState {
    /// Bootstraps the group if it can, and introduces this replica to the other controls while it
    /// has no leader or no vote.
    pub(super) fn tick_group(&mut self, context: &mut ReplicaContext) {
        if self.has_failed() {
            return;
        }
        if self.hard_state.is_forming && !may_bootstrap(context) {
            self.hard_state.is_forming = false;
            self.write_queue.queue_hard_state();
        }
        if self.hard_state.is_forming {
            self.bootstrap(context);
        }
        let has_leader = self.leader.is_some() || matches!(self.role, ReplicaRole::Leader(_));
        if has_leader && self.is_voter() {
            return;
        }
        let period = settings::millis(context.tunables().introduction_ms);
        if self
            .introduced_at
            .is_some_and(|last| context.now.since(last) < period)
        {
            return;
        }
        self.introduce(context);
    }

    /// Introduces this replica to all other controls, which introduce themselves in return.
    pub(super) fn introduce(&mut self, context: &mut ReplicaContext) {
        self.introduced_at = Some(context.now);
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
            self.send_introduction(context, address, None, true);
        }
    }

    /// Introduces this replica to another one. If `asks` is set, the receiver introduces itself in
    /// return.
    fn send_introduction(
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
            standing: self.status(),
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

    /// Whether the log shows that this replica took part in the bootstrap of the group. This is
    /// false for a data folder that was emptied since, even if the settings ask for a bootstrap,
    /// and for a log that no longer reaches back to its first entry.
    pub fn is_founding_replica(&self) -> bool {
        let first = ids::LogPosition(1);
        let founding = self.log.get(first).filter(|_| self.commit >= first);
        founding.is_some_and(|entry| match &entry.payload {
            wire::LogPayload::Group(group) => group.has_voter(self.hard_state.replica),
            _ => false,
        })
    }

    /// Whether this replica is a voter, waits for the bootstrap or is a learner.
    pub(super) fn status(&self) -> wire::ReplicaStatus {
        if self.is_voter() {
            wire::ReplicaStatus::Voter
        } else if self.hard_state.is_forming {
            wire::ReplicaStatus::Forming
        } else {
            wire::ReplicaStatus::Learner
        }
    }

    /// Handles the introduction of another replica.
    pub(super) fn handle_introduction(
        &mut self,
        context: &mut ReplicaContext,
        from: &wire_membership::PeerIdentity,
        replica: ids::ReplicaId,
        introduction: wire::ReplicaIntroduction,
    ) {
        if introduction.asks {
            self.send_introduction(context, from.address, Some(replica), false);
        }
        // A voter of an older configuration that was removed while it was away is a learner now.
        let is_forming = introduction.standing == wire::ReplicaStatus::Forming;
        if !is_forming && !self.log.group().has_voter(replica) {
            self.track_learner(context, from, replica);
        }
        // The leader need not be listed in any settings; other replicas give its address in their
        // introductions.
        let own = context.settings.identity.address;
        if let Some(leader) = introduction.leader
            && self.leader.is_none()
            && leader != own
            && leader != from.address
        {
            self.send_introduction(context, leader, None, false);
        }
        if !self.hard_state.is_forming {
            return;
        }
        let has_group = !introduction.voters.is_empty();
        if has_group && !introduction.voters.contains(&self.hard_state.replica) {
            self.abandon_bootstrap(context, &from.instance);
            return;
        }
        let member = wire::GroupMember {
            replica,
            instance: from.instance.clone(),
            address: from.address,
        };
        let known = IntroducedReplica {
            member,
            introduction,
            heard_at: context.now,
        };
        self.introductions.insert(from.address, known);
    }

    /// Starts replicating the log to a learner if this replica leads.
    fn track_learner(
        &mut self,
        context: &mut ReplicaContext,
        from: &wire_membership::PeerIdentity,
        replica: ids::ReplicaId,
    ) {
        let next = self.log.last().position.next();
        let heard_at = context.now;
        let ReplicaRole::Leader(leader) = &mut self.role else {
            return;
        };
        let is_voter = |id: &ids::ReplicaId| self.log.group().has_voter(*id);
        leader
            .replicas
            .retain(|id, known| known.address != from.address || is_voter(id) || *id == replica);
        let instance = Some(from.instance.clone());
        leader.replicas.entry(replica).or_insert_with(|| {
            leader::ReplicaProgress::new(instance, from.address, next, heard_at)
        });
    }

    /// Gives up the bootstrap because a group that excludes this replica already exists.
    fn abandon_bootstrap(&mut self, context: &mut ReplicaContext, by: &ids::InstanceName) {
        self.hard_state.is_forming = false;
        self.write_queue.queue_hard_state();
        self.introductions.clear();
        let message = format!("{by} is in a control group that this instance does not belong to");
        context.report(code::ResultCode::GroupExists, message);
    }

    /// Bootstraps the group if this replica has the lowest control address and all others are
    /// ready.
    fn bootstrap(&mut self, context: &mut ReplicaContext) {
        if !self.log.group().voters.is_empty() {
            self.hard_state.is_forming = false;
            self.write_queue.queue_hard_state();
            return;
        }
        let own = wire::GroupMember {
            replica: self.hard_state.replica,
            instance: context.settings.identity.instance.clone(),
            address: context.settings.identity.address,
        };
        let mut control: Vec<SocketAddr> = control_addresses(context).collect();
        control.push(own.address);
        control.sort_unstable();
        control.dedup();
        if control.first() != Some(&own.address) || control.len() > MAX_VOTERS {
            return;
        }
        let mut voters = vec![own];
        for address in &control[1..] {
            let Some(known) = self.introductions.get(address) else {
                return;
            };
            let introduction = &known.introduction;
            let is_ready = introduction.standing == wire::ReplicaStatus::Forming
                && introduction.control == control
                && context.is_recent(known.heard_at);
            if !is_ready {
                return;
            }
            voters.push(known.member.clone());
        }
        let id = ids::GroupId(context.random.random_range(1..=u64::MAX));
        let group = wire::ControlGroup { id, voters };
        self.hard_state.is_forming = false;
        self.hard_state.term = ids::LeaderTerm(1);
        self.hard_state.vote = Some(self.hard_state.replica);
        self.write_queue.queue_hard_state();
        let entry = wire::LogEntry {
            position: ids::LogPosition(1),
            term: self.hard_state.term,
            payload: wire::LogPayload::Group(group),
        };
        self.log.append(entry.clone());
        self.write_queue.queue_entry(entry);
        // Starts the election at once; the other replicas learn of the group from the log.
        self.election_at = Some(context.now);
    }

    /// Handles the administrator's request to add or remove a voter.
    pub(super) fn change_group(
        &mut self,
        context: &mut ReplicaContext,
        number: ProposalNumber,
        change: &GroupChange,
    ) {
        if let Some(answer) = self.unavailable_answer(context) {
            return context.answer(number, answer);
        }
        match self.group_after(context, change) {
            Ok(group) => {
                let payload = wire::LogPayload::Group(group.clone());
                let position = self.append_and_replicate(context, payload);
                let answer = ProposalAnswer::GroupChanged(group);
                self.answer_when_committed(context, position, number, answer);
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
                    version: self.state_machine.catalogue.version,
                    faults: vec![fault],
                };
                context.answer(number, answer);
            }
        }
    }

    /// Returns the voters after a change, or the reason why the change is not possible now.
    pub(super) fn group_after(
        &self,
        context: &ReplicaContext,
        change: &GroupChange,
    ) -> Result<wire::ControlGroup, String> {
        let ReplicaRole::Leader(leader) = &self.role else {
            return Err("this control does not lead".into());
        };
        if self.commit < leader.term_start || self.log.group_position() > self.commit {
            return Err("another change of the group is under way".into());
        }
        let mut group = self.log.group().clone();
        match change {
            GroupChange::Add(instance) => {
                let member = self.promotable_learner(context, leader, instance)?;
                group.voters.push(member);
            }
            GroupChange::Remove(instance) => {
                let index = group
                    .voters
                    .iter()
                    .position(|voter| voter.instance == *instance);
                let index = index.ok_or_else(|| format!("{instance} has no vote"))?;
                if group.voters.len() == 1 {
                    return Err("the last voter cannot be removed".into());
                }
                group.voters.remove(index);
            }
        }
        let is_alive = |voter: &&wire::GroupMember| {
            let progress = leader.replicas.get(&voter.replica);
            voter.replica == self.hard_state.replica
                || progress.is_some_and(|progress| context.is_recent(progress.heard_at))
        };
        if group.voters.iter().filter(is_alive).count() < group.majority() {
            return Err("too few of the voters that would be left can be reached".into());
        }
        Ok(group)
    }

    /// Returns the learner at an instance, or the reason why it cannot be promoted now.
    fn promotable_learner(
        &self,
        context: &ReplicaContext,
        leader: &leader::LeaderState,
        instance: &ids::InstanceName,
    ) -> Result<wire::GroupMember, String> {
        let group = self.log.group();
        if group.voters.len() >= MAX_VOTERS {
            return Err(format!("a group has at most {MAX_VOTERS} voters"));
        }
        let mut learners = leader.replicas.iter();
        let found = learners.find(|(replica, progress)| {
            !group.has_voter(**replica) && progress.instance.as_ref() == Some(instance)
        });
        let Some((replica, progress)) = found else {
            if group.voters.iter().any(|voter| voter.instance == *instance) {
                return Err(format!("{instance} has a vote already"));
            }
            return Err(format!("{instance} is no learner that the leader has met"));
        };
        let shares_name_or_address = |voter: &wire::GroupMember| {
            voter.instance == *instance || voter.address == progress.address
        };
        if group.voters.iter().any(shares_name_or_address) {
            return Err(format!(
                "{instance} still has the vote of its earlier folder; remove it first"
            ));
        }
        if !context.is_recent(progress.heard_at) || progress.matched < self.commit {
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

/// Whether this replica may take part in the bootstrap. A self-healing group is bootstrapped by the
/// instances that the settings name; all others join it as learners.
fn may_bootstrap(context: &ReplicaContext) -> bool {
    let own = context.settings.identity.address;
    let is_self_healing = context.tunables().voters > 0;
    !is_self_healing || control_addresses(context).any(|address| address == own)
}

fn control_addresses<'a>(context: &ReplicaContext<'a>) -> impl Iterator<Item = SocketAddr> + 'a {
    context.settings.control.iter().copied()
}
