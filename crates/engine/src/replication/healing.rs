//! A group that replaces lost voters by itself.
//!
//! The leader moves one vote at a time and only as [`super::GroupChange`]s, so whatever is proven of
//! those holds here: the log decides, a majority of the group that results must be alive, and a
//! replica without a vote must hold all that is committed before it gets one. What is lost:
//!
//! - the disk of a voter, when an instance of its name or address comes back as another replica:
//!   the old vote can never be cast again, so it goes at once, then the new replica gets one;
//! - a voter that has been silent for `replication.replace_ms`: another replica gets a vote first,
//!   then the silent one loses its own. One that comes back later is a replica without a vote.
//!
//! With as many voters as wanted and one replica in reserve, the loss of a second voter a moment
//! after the first costs no more than with one voter more, and every commit waits for one disk less.

use hazeltiller_units::ids;
use hazeltiller_wire::replication as wire;

use super::{GroupChange, ReplicaContext, ReplicaRole, ReplicationState, leader};
use crate::settings;

/// Multiples of `replication.replace_ms` after which a silent replica without a vote is forgotten.
const FORGET_SILENCES: u32 = 20;

impl ReplicationState {
    /// Moves the vote of a lost voter, if there is one and the group heals itself.
    pub(super) fn tick_healing(&mut self, context: &mut ReplicaContext) {
        let wanted = context.tunables().voters as usize;
        if wanted == 0 || self.has_failed() {
            return;
        }
        self.forget_learners(context);
        let Some(change) = self.healing_change(context, wanted) else {
            return;
        };
        if let Ok(group) = self.changed_group(context, &change) {
            let message = format!("the group heals itself: {change:?}");
            context.report(hazeltiller_units::code::ResultCode::VoterReplaced, message);
            self.write(context, wire::LogPayload::Group(group));
        }
    }

    /// The next change on the way to as many live voters as wanted.
    fn healing_change(&self, context: &ReplicaContext, wanted: usize) -> Option<GroupChange> {
        let ReplicaRole::Leader(leader) = &self.role else {
            return None;
        };
        let voters = &self.log.group().voters;
        if let Some(emptied) = voters
            .iter()
            .find(|one| self.is_emptied(context, leader, one))
        {
            return Some(GroupChange::Remove(emptied.instance.clone()));
        }
        let silent = voters
            .iter()
            .find(|one| self.is_silent(context, leader, one));
        if voters.len() > wanted {
            let surplus = silent.or_else(|| self.newest_other(voters))?;
            return Some(GroupChange::Remove(surplus.instance.clone()));
        }
        if voters.len() == wanted && silent.is_none() {
            return None;
        }
        let ready = self.ready_instances(context, leader).next()?;
        Some(GroupChange::Add(ready))
    }

    /// Whether a voter's disk is gone: its place is taken by a replica that holds the whole log.
    fn is_emptied(
        &self,
        context: &ReplicaContext,
        leader: &leader::LeaderState,
        voter: &wire::GroupMember,
    ) -> bool {
        let successors = self.learners(leader).filter(|(_, progress)| {
            progress.instance.as_ref() == Some(&voter.instance) || progress.address == voter.address
        });
        voter.replica != self.hard.replica
            && successors
                .into_iter()
                .any(|(_, progress)| self.is_ready(context, progress))
    }

    fn is_silent(
        &self,
        context: &ReplicaContext,
        leader: &leader::LeaderState,
        voter: &wire::GroupMember,
    ) -> bool {
        let patience = settings::millis(context.tunables().replace_ms);
        let progress = leader.replicas.get(&voter.replica);
        voter.replica != self.hard.replica
            && progress.is_none_or(|progress| context.now.since(progress.heard) > patience)
    }

    fn newest_other<'a>(&self, voters: &'a [wire::GroupMember]) -> Option<&'a wire::GroupMember> {
        let own = self.hard.replica;
        voters.iter().rev().find(|voter| voter.replica != own)
    }

    /// Instances that could get a vote now.
    fn ready_instances(
        &self,
        context: &ReplicaContext,
        leader: &leader::LeaderState,
    ) -> impl Iterator<Item = ids::InstanceName> {
        let voters = &self.log.group().voters;
        let is_namesake = |progress: &leader::ReplicaProgress| {
            voters.iter().any(|voter| {
                progress.instance.as_ref() == Some(&voter.instance)
                    || progress.address == voter.address
            })
        };
        self.learners(leader)
            .filter(|(_, progress)| self.is_ready(context, progress) && !is_namesake(progress))
            .filter_map(|(_, progress)| progress.instance.clone())
            .collect::<Vec<_>>()
            .into_iter()
    }

    fn is_ready(&self, context: &ReplicaContext, progress: &leader::ReplicaProgress) -> bool {
        context.is_fresh(progress.heard) && progress.matched >= self.commit
    }

    fn learners<'a>(
        &'a self,
        leader: &'a leader::LeaderState,
    ) -> impl Iterator<Item = (&'a ids::ReplicaId, &'a leader::ReplicaProgress)> {
        let group = self.log.group();
        let replicas = leader.replicas.iter();
        replicas.filter(|(replica, _)| !group.has(**replica))
    }

    /// Drops replicas without a vote that have been silent for long: nothing is sent to them.
    fn forget_learners(&mut self, context: &ReplicaContext) {
        let patience = settings::millis(context.tunables().replace_ms) * FORGET_SILENCES;
        let group = self.log.group();
        if let ReplicaRole::Leader(leader) = &mut self.role {
            leader.replicas.retain(|replica, progress| {
                group.has(*replica) || context.now.since(progress.heard) < patience
            });
        }
    }
}
