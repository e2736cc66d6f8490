//! Automatic replacement of lost voters.
//!
//! The leader changes one voter at a time, and only by [`super::GroupChange`], so the same safety
//! rules apply: the change is a log entry, a majority of the resulting voters must be alive, and a
//! learner must hold all committed entries before its promotion. A voter counts as lost in two
//! cases:
//!
//! - Its disk is lost: a replica with another id introduces itself under the voter's instance name
//!   or address. The old vote can never be cast again, so the voter is removed first and the new
//!   replica is promoted afterwards.
//! - It has been silent for `replication.replace_ms`. Another replica is promoted first, then the
//!   silent voter is removed. If it comes back later, it is a learner.
//!
//! With one learner in reserve, the group survives the loss of a second voter shortly after the
//! first as well as a group with one more voter would, and a commit waits for one disk fewer.

use hazeltiller_units::ids;
use hazeltiller_wire::replication as wire;

use super::{GroupChange, ReplicaContext, ReplicaRole, ReplicationState, leader};
use crate::settings;

/// Multiple of `replication.replace_ms` after which the leader forgets a silent learner.
const LEARNER_EXPIRY_PERIODS: u32 = 20;

impl ReplicationState {
    /// Replaces a lost voter, if automatic replacement is enabled.
    pub(super) fn tick_healing(&mut self, context: &mut ReplicaContext) {
        let wanted = context.tunables().voters as usize;
        if wanted == 0 || self.has_failed() {
            return;
        }
        self.forget_learners(context);
        let Some(change) = self.healing_change(context, wanted) else {
            return;
        };
        if let Ok(group) = self.group_after(context, &change) {
            let message = format!("the group heals itself: {change:?}");
            context.report(hazeltiller_units::code::ResultCode::VoterReplaced, message);
            self.append_and_replicate(context, wire::LogPayload::Group(group));
        }
    }

    /// Returns the next change towards the wanted number of live voters.
    fn healing_change(&self, context: &ReplicaContext, wanted: usize) -> Option<GroupChange> {
        let ReplicaRole::Leader(leader) = &self.role else {
            return None;
        };
        let voters = &self.log.group().voters;
        if let Some(lost) = voters
            .iter()
            .find(|voter| self.has_lost_disk(context, leader, voter))
        {
            return Some(GroupChange::Remove(lost.instance.clone()));
        }
        let silent = voters
            .iter()
            .find(|voter| self.is_silent(context, leader, voter));
        if voters.len() > wanted {
            let surplus = silent.or_else(|| self.newest_other_voter(voters))?;
            return Some(GroupChange::Remove(surplus.instance.clone()));
        }
        if voters.len() == wanted && silent.is_none() {
            return None;
        }
        let learner = self.promotable_instances(context, leader).next()?;
        Some(GroupChange::Add(learner))
    }

    /// Whether a voter has lost its disk: a caught-up learner has its instance name or address.
    fn has_lost_disk(
        &self,
        context: &ReplicaContext,
        leader: &leader::LeaderState,
        voter: &wire::GroupMember,
    ) -> bool {
        voter.replica != self.hard_state.replica
            && self
                .successors(leader, voter)
                .any(|progress| self.is_caught_up(context, progress))
    }

    /// Whether another replica answers in the place of a voter, caught up or not.
    pub(super) fn has_successor(
        &self,
        context: &ReplicaContext,
        leader: &leader::LeaderState,
        voter: &wire::GroupMember,
    ) -> bool {
        let mut successors = self.successors(leader, voter);
        successors.any(|progress| context.is_recent(progress.heard_at))
    }

    /// Learners with the instance name or address of a voter.
    fn successors<'a>(
        &'a self,
        leader: &'a leader::LeaderState,
        voter: &'a wire::GroupMember,
    ) -> impl Iterator<Item = &'a leader::ReplicaProgress> {
        let learners = self.learners(leader).map(|(_, progress)| progress);
        learners.filter(|progress| {
            progress.instance.as_ref() == Some(&voter.instance) || progress.address == voter.address
        })
    }

    fn is_silent(
        &self,
        context: &ReplicaContext,
        leader: &leader::LeaderState,
        voter: &wire::GroupMember,
    ) -> bool {
        let silence_limit = settings::millis(context.tunables().replace_ms);
        let progress = leader.replicas.get(&voter.replica);
        voter.replica != self.hard_state.replica
            && progress.is_none_or(|progress| context.now.since(progress.heard_at) > silence_limit)
    }

    fn newest_other_voter<'a>(
        &self,
        voters: &'a [wire::GroupMember],
    ) -> Option<&'a wire::GroupMember> {
        let own = self.hard_state.replica;
        voters.iter().rev().find(|voter| voter.replica != own)
    }

    /// Instances of the learners that could be promoted now: caught up, and not at the instance or
    /// address of a voter.
    fn promotable_instances(
        &self,
        context: &ReplicaContext,
        leader: &leader::LeaderState,
    ) -> impl Iterator<Item = ids::InstanceName> {
        let voters = &self.log.group().voters;
        let shares_name_or_address = |progress: &leader::ReplicaProgress| {
            voters.iter().any(|voter| {
                progress.instance.as_ref() == Some(&voter.instance)
                    || progress.address == voter.address
            })
        };
        self.learners(leader)
            .filter(|(_, progress)| {
                self.is_caught_up(context, progress) && !shares_name_or_address(progress)
            })
            .filter_map(|(_, progress)| progress.instance.clone())
            .collect::<Vec<_>>()
            .into_iter()
    }

    fn is_caught_up(&self, context: &ReplicaContext, progress: &leader::ReplicaProgress) -> bool {
        context.is_recent(progress.heard_at) && progress.matched >= self.commit
    }

    pub(super) fn learners<'a>(
        &'a self,
        leader: &'a leader::LeaderState,
    ) -> impl Iterator<Item = (&'a ids::ReplicaId, &'a leader::ReplicaProgress)> {
        let group = self.log.group();
        let replicas = leader.replicas.iter();
        replicas.filter(|(replica, _)| !group.has_voter(**replica))
    }

    /// Forgets learners that have been silent for long, so that nothing more is sent to them.
    fn forget_learners(&mut self, context: &ReplicaContext) {
        let silence_limit =
            settings::millis(context.tunables().replace_ms) * LEARNER_EXPIRY_PERIODS;
        let group = self.log.group();
        if let ReplicaRole::Leader(leader) = &mut self.role {
            leader.replicas.retain(|replica, progress| {
                group.has_voter(*replica) || context.now.since(progress.heard_at) < silence_limit
            });
        }
    }
}
