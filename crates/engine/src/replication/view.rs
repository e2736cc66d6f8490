//! Status of the control group for operators and metrics.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use hazeltiller_wire::replication as wire;
use serde::{Deserialize, Serialize};

use super::{ReplicaRole, ReplicationState};
use crate::{reducer, settings};

/// A voter or learner, as seen by this replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterView {
    /// Name of its instance.
    pub instance: Option<ids::InstanceName>,
    /// Its id, which identifies its data folder.
    pub replica: ids::ReplicaId,
    /// Its peer address.
    pub address: SocketAddr,
    /// Whether it is a voter rather than a learner.
    pub is_voter: bool,
    /// Last log position on its disk; known only to the leader.
    pub matched: Option<ids::LogPosition>,
    /// Whether it has answered within an election timeout; known only to the leader.
    pub is_alive: Option<bool>,
}

/// The group, as seen by this replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// Id of this replica.
    pub replica: ids::ReplicaId,
    /// `leader`, `follower`, `candidate`, `learner` or `forming`.
    pub role: String,
    /// Peer address of the leader, if one is known.
    pub leader: Option<SocketAddr>,
    /// Current term.
    pub term: ids::LeaderTerm,
    /// Last log position.
    pub last: ids::LogPosition,
    /// Last committed position.
    pub commit: ids::LogPosition,
    /// Whether this replica has heard from a majority within an election timeout and holds all that
    /// was committed then.
    pub is_proven_current: bool,
    /// Whether the store has failed and is not yet rewritten.
    pub has_failed: bool,
    /// Whether the latest change of the voters is known to be committed.
    pub is_group_committed: bool,
    /// The voters, then the learners known to the leader.
    pub members: Vec<VoterView>,
}

/// Value of [`GroupView::role`] for the leader.
pub const LEADER_ROLE: &str = "leader";

impl VoterView {
    /// Whether this is a voter that has not answered the leader within an election timeout.
    pub fn is_silent(&self) -> bool {
        self.is_voter && self.is_alive == Some(false)
    }

    /// Whether this is a voter that has answered the leader within an election timeout.
    pub fn is_answering(&self) -> bool {
        self.is_voter && self.is_alive == Some(true)
    }
}

impl GroupView {
    /// Number of voters that have answered the leader within an election timeout, including the
    /// leader; 0 if this replica does not lead.
    pub fn alive_voters(&self) -> usize {
        let voters = self.members.iter();
        voters.filter(|voter| voter.is_answering()).count()
    }

    /// Number of voters that form a majority.
    pub fn majority(&self) -> usize {
        let voters = self.members.iter().filter(|member| member.is_voter).count();
        voters / 2 + 1
    }

    /// Returns the view of a process; `None` without the control role.
    pub fn of(state: &reducer::EngineState) -> Option<Self> {
        let replication = state.replication.as_ref()?;
        let own = state.settings.identity.address;
        let is_leader = matches!(replication.role, ReplicaRole::Leader(_));
        Some(Self {
            replica: replication.hard_state.replica,
            role: replication.role_name().into(),
            leader: if is_leader {
                Some(own)
            } else {
                replication.leader
            },
            term: replication.hard_state.term,
            last: replication.log.last().position,
            commit: replication.commit,
            is_proven_current: super::is_proven_current(state),
            has_failed: replication.has_failed(),
            is_group_committed: replication.log.group_position() <= replication.commit,
            members: replication.members(state),
        })
    }
}

impl ReplicationState {
    /// The accepted changes stored for resends, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &wire::AcceptedChange> {
        self.state_machine.history()
    }

    /// The accepted change with an id, if it is still stored.
    pub fn accepted(&self, id: &ids::ChangeId) -> Option<&wire::AcceptedChange> {
        self.state_machine.accepted(id)
    }

    /// Peer address of the current leader if it is another replica and was heard from within an
    /// election timeout.
    pub fn live_leader(&self, state: &reducer::EngineState) -> Option<SocketAddr> {
        let period = settings::millis(state.settings.tunables.replication.election_ms);
        let heard_at = self.leader_heard_at?;
        let is_alive = state.now.since(heard_at) < period;
        self.leader.filter(|_| is_alive)
    }

    /// Instances of the voters.
    pub fn voters(&self) -> impl Iterator<Item = &ids::InstanceName> {
        let voters = self.log.group().voters.iter();
        voters.map(|voter| &voter.instance)
    }

    /// Returns whether a voter is this replica or has sent it a message within an election timeout.
    pub fn has_heard(&self, state: &reducer::EngineState, voter: ids::ReplicaId) -> bool {
        let period = settings::millis(state.settings.tunables.replication.election_ms);
        let heard_at = self.voters_heard_at.get(&voter);
        voter == self.hard_state.replica
            || heard_at.is_some_and(|heard_at| state.now.since(*heard_at) < period)
    }

    /// Id of this replica.
    pub fn replica(&self) -> ids::ReplicaId {
        self.hard_state.replica
    }

    /// The current term if this replica leads.
    pub fn leading_term(&self) -> Option<ids::LeaderTerm> {
        matches!(self.role, ReplicaRole::Leader(_)).then_some(self.hard_state.term)
    }

    /// Committed entries that are still in memory.
    pub fn committed_entries(&self) -> impl Iterator<Item = &wire::LogEntry> {
        let first = self.log.base().position.0 + 1;
        (first..=self.commit.0).filter_map(|position| self.log.get(ids::LogPosition(position)))
    }

    fn role_name(&self) -> &'static str {
        match (&self.role, self.status()) {
            (ReplicaRole::Leader(_), _) => LEADER_ROLE,
            (_, wire::ReplicaStatus::Forming) => "forming",
            (_, wire::ReplicaStatus::Learner) => "learner",
            (ReplicaRole::Follower, _) => "follower",
            _ => "candidate",
        }
    }

    fn members(&self, state: &reducer::EngineState) -> Vec<VoterView> {
        let period = settings::millis(state.settings.tunables.replication.election_ms);
        let group = self.log.group();
        let mut members: Vec<VoterView> = group.voters.iter().map(voter_view).collect();
        let ReplicaRole::Leader(leader) = &self.role else {
            return members;
        };
        for member in &mut members {
            if member.replica == self.hard_state.replica {
                member.matched = Some(self.write_queue.synced());
                member.is_alive = Some(true);
            }
        }
        for (replica, progress) in &leader.replicas {
            let is_alive = Some(state.now.since(progress.heard_at) < period);
            let matched = Some(progress.matched);
            let known = members.iter_mut().find(|member| member.replica == *replica);
            match known {
                Some(member) => {
                    member.matched = matched;
                    member.is_alive = is_alive;
                }
                None => members.push(VoterView {
                    instance: progress.instance.clone(),
                    replica: *replica,
                    address: progress.address,
                    is_voter: false,
                    matched,
                    is_alive,
                }),
            }
        }
        members
    }
}

fn voter_view(voter: &wire::GroupMember) -> VoterView {
    VoterView {
        instance: Some(voter.instance.clone()),
        replica: voter.replica,
        address: voter.address,
        is_voter: true,
        matched: None,
        is_alive: None,
    }
}
