//! Detects changes of the control group, and records them in the timeline.
//!
//! A group without a confirmed leader writes nothing by itself, so its state is recorded repeatedly:
//! who is heard and who is missing tells a lost majority from an election that does not succeed.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_engine::{
    reducer, replication,
    timeline::{FolderFinding, TimelineEvent},
};
use hazeltiller_units::{ids, time};
use indexmap::IndexSet;

use crate::timeline;

/// Interval of the records about a missing leader. Elections usually end within it.
const LEADER_MISSING_PERIOD: Duration = Duration::from_secs(2);

/// The state of the control group as it was last recorded.
#[derive(Debug, Default)]
pub(super) struct GroupMonitor {
    leader: Option<SocketAddr>,
    /// Voters that did not answer this process at the last check; empty unless it is the leader.
    silent_voters: IndexSet<ids::InstanceName>,
    voters: VoterRecord,
    /// Since when no leader is confirmed by a majority.
    unproven_since: Option<time::MonotonicTime>,
    /// When the missing leader was last recorded, or the start of its absence.
    missing_recorded_at: time::MonotonicTime,
}

/// The voters, and whether their change is committed.
#[derive(Debug, Default, PartialEq)]
struct VoterRecord {
    instances: Vec<ids::InstanceName>,
    replicas: Vec<ids::ReplicaId>,
    is_committed: bool,
}

impl GroupMonitor {
    /// Records what has changed since the last check.
    pub(super) fn check(&mut self, state: &reducer::EngineState, timeline: &timeline::Timeline) {
        let Some(view) = replication::GroupView::of(state) else {
            return;
        };
        self.check_answers(&view, timeline);
        self.check_voters(&view, timeline);
        self.check_proof(state, &view, timeline);
        if view.leader == self.leader {
            return;
        }
        self.leader = view.leader;
        let term = view.term;
        timeline.record(match view.leader {
            Some(leader) => TimelineEvent::LeaderKnown { term, leader },
            None => TimelineEvent::LeaderLost { term },
        });
    }

    /// Records voters that stop or resume answering, with the remaining margin to the majority. The
    /// group gives no other sign that the loss of one more voter may leave it without a majority.
    fn check_answers(&mut self, view: &replication::GroupView, timeline: &timeline::Timeline) {
        let (alive, majority) = (view.alive_voters(), view.majority());
        let silent = select_voters(view, replication::VoterView::is_silent);
        for voter in silent.difference(&self.silent_voters).cloned() {
            timeline.record(TimelineEvent::VoterSilent {
                voter,
                alive,
                majority,
            });
        }
        let answering = select_voters(view, replication::VoterView::is_answering);
        for voter in self.silent_voters.intersection(&answering).cloned() {
            timeline.record(TimelineEvent::VoterBack {
                voter,
                alive,
                majority,
            });
        }
        self.silent_voters = silent;
    }

    /// Records the voters when they have changed, and again when the change is committed.
    fn check_voters(&mut self, view: &replication::GroupView, timeline: &timeline::Timeline) {
        let voters = || view.members.iter().filter(|member| member.is_voter);
        let replicas = voters().map(|voter| voter.replica);
        let is_same = self.voters.is_committed == view.is_group_committed
            && replicas.clone().eq(self.voters.replicas.iter().copied());
        if is_same {
            return;
        }
        self.voters = VoterRecord {
            instances: voters()
                .filter_map(|voter| voter.instance.clone())
                .collect(),
            replicas: replicas.collect(),
            is_committed: view.is_group_committed,
        };
        timeline.record(TimelineEvent::VotersKnown {
            voters: self.voters.instances.clone(),
            replicas: self.voters.replicas.clone(),
            is_committed: self.voters.is_committed,
        });
    }

    /// Records that no leader is confirmed, once per period.
    fn check_proof(
        &mut self,
        state: &reducer::EngineState,
        view: &replication::GroupView,
        timeline: &timeline::Timeline,
    ) {
        if view.is_proven_current {
            self.unproven_since = None;
            return;
        }
        let Some(since) = self.unproven_since else {
            self.unproven_since = Some(state.now);
            self.missing_recorded_at = state.now;
            return;
        };
        if state.now.since(self.missing_recorded_at) < LEADER_MISSING_PERIOD {
            return;
        }
        self.missing_recorded_at = state.now;
        let is_heard = |voter: &replication::VoterView| {
            let log = state.replication.as_ref();
            voter.is_voter && log.is_some_and(|log| log.has_heard(state, voter.replica))
        };
        let heard = select_voters(view, is_heard);
        let voters = select_voters(view, |voter| voter.is_voter);
        timeline.record(TimelineEvent::LeaderMissing {
            role: view.role.clone(),
            term: view.term,
            for_ms: state.now.since(since).as_millis() as u64,
            missing: voters.difference(&heard).cloned().collect(),
            heard: heard.into_iter().collect(),
            majority: view.majority(),
        });
    }
}

/// Returns the event for a data folder that was opened with this outcome.
pub fn folder_event(view: &replication::GroupView, is_new: bool, cut_bytes: u64) -> TimelineEvent {
    let found = match (is_new, cut_bytes) {
        (true, _) => FolderFinding::New,
        (false, 0) => FolderFinding::Whole,
        (false, _) => FolderFinding::Cut,
    };
    let voters = || view.members.iter().filter(|member| member.is_voter);
    TimelineEvent::FolderOpened {
        replica: view.replica,
        found,
        cut_bytes,
        term: view.term,
        last: view.last,
        commit: view.commit,
        voters: voters()
            .filter_map(|voter| voter.instance.clone())
            .collect(),
        is_voter: voters().any(|voter| voter.replica == view.replica),
    }
}

/// Returns the names of the voters that satisfy a predicate.
fn select_voters(
    view: &replication::GroupView,
    predicate: impl Fn(&replication::VoterView) -> bool,
) -> IndexSet<ids::InstanceName> {
    let voters = view.members.iter().filter(|member| predicate(member));
    voters.filter_map(|voter| voter.instance.clone()).collect()
}
