//! What operators see of the log.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use hazeltiller_wire::replication as wire;
use serde::{Deserialize, Serialize};

use super::{ReplicaRole, ReplicationState};
use crate::{reducer, settings};

/// A voter or a learner as this replica sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterView {
    /// Its instance.
    pub instance: Option<ids::InstanceName>,
    /// Its durable state.
    pub replica: ids::ReplicaId,
    /// Its peers address.
    pub address: SocketAddr,
    /// Whether it has a vote.
    pub is_voter: bool,
    /// Up to where it keeps the log; only a leader knows.
    pub matched: Option<ids::LogPosition>,
    /// Whether it has answered within an election timeout; only a leader knows.
    pub is_alive: Option<bool>,
}

/// The group as this replica sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// This replica.
    pub replica: ids::ReplicaId,
    /// `leader`, `follower`, `candidate`, `learner` or `forming`.
    pub role: String,
    /// The leader's peers address, where one is known.
    pub leader: Option<SocketAddr>,
    /// Latest term.
    pub term: ids::LeaderTerm,
    /// End of the log.
    pub last: ids::LogPosition,
    /// Committed up to here.
    pub commit: ids::LogPosition,
    /// Whether a majority was heard within an election timeout.
    pub is_proven_current: bool,
    /// Whether the store has failed.
    pub has_failed: bool,
    /// Voters, then the learners that the leader has met.
    pub members: Vec<VoterView>,
}

/// Role word of a leader in [`GroupView::role`].
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
    /// Voters that have answered the leader within an election timeout, itself included; 0 unless
    /// this replica leads.
    pub fn alive_voters(&self) -> usize {
        let voters = self.members.iter();
        voters.filter(|voter| voter.is_answering()).count()
    }

    /// Voters that a commit needs.
    pub fn majority(&self) -> usize {
        let voters = self.members.iter().filter(|member| member.is_voter).count();
        voters / 2 + 1
    }

    /// The view of a process; `None` without the control role.
    pub fn of(state: &reducer::EngineState) -> Option<Self> {
        let replication = state.replication.as_ref()?;
        let own = state.settings.identity.address;
        let is_leader = matches!(replication.role, ReplicaRole::Leader(_));
        Some(Self {
            replica: replication.hard.replica,
            role: replication.role_word().into(),
            leader: if is_leader {
                Some(own)
            } else {
                replication.leader
            },
            term: replication.hard.term,
            last: replication.log.last().position,
            commit: replication.commit,
            is_proven_current: super::is_proven_current(state),
            has_failed: replication.has_failed(),
            members: replication.members(state),
        })
    }
}

impl ReplicationState {
    /// Accepted changes that are remembered, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &wire::AcceptedChange> {
        self.machine.history()
    }

    /// The accepted change of an id, if it is remembered.
    pub fn accepted(&self, id: &ids::ChangeId) -> Option<&wire::AcceptedChange> {
        self.machine.accepted(id)
    }

    /// Peers address of another replica that leads, as far as was heard within an election timeout.
    pub fn live_leader(&self, state: &reducer::EngineState) -> Option<SocketAddr> {
        let period = settings::millis(state.settings.tunables.replication.election_ms);
        let heard = self.leader_heard?;
        let is_alive = state.now.since(heard) < period;
        self.leader.filter(|_| is_alive)
    }

    /// This replica's durable id.
    pub fn replica(&self) -> ids::ReplicaId {
        self.hard.replica
    }

    /// Whether this replica leads, and in which term.
    pub fn leading_term(&self) -> Option<ids::LeaderTerm> {
        matches!(self.role, ReplicaRole::Leader(_)).then_some(self.hard.term)
    }

    /// Committed entries that are still in memory.
    pub fn committed_entries(&self) -> impl Iterator<Item = &wire::LogEntry> {
        let first = self.log.base().position.0 + 1;
        (first..=self.commit.0).filter_map(|position| self.log.get(ids::LogPosition(position)))
    }

    fn role_word(&self) -> &'static str {
        match (&self.role, self.standing()) {
            (ReplicaRole::Leader(_), _) => LEADER_ROLE,
            (_, wire::ReplicaStanding::Forming) => "forming",
            (_, wire::ReplicaStanding::Learner) => "learner",
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
            if member.replica == self.hard.replica {
                member.matched = Some(self.writes.synced());
                member.is_alive = Some(true);
            }
        }
        for (replica, progress) in &leader.replicas {
            let is_alive = Some(state.now.since(progress.heard) < period);
            let matched = Some(progress.matched);
            let known = members.iter_mut().find(|one| one.replica == *replica);
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
