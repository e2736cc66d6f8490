//! What the observer reads off the state: leaders, members, links that are lost and come back.

use std::net::SocketAddr;

use hazeltiller_engine::{
    reducer, replication,
    timeline::{MemberView, TimelineEvent},
};
use hazeltiller_units::ids;
use indexmap::{IndexMap, IndexSet};

use crate::timeline;

/// What was last noted of the fleet.
#[derive(Debug, Default)]
pub(super) struct FleetWatch {
    lost_links: IndexSet<SocketAddr>,
    leader: Option<SocketAddr>,
    /// Voters that did not answer this process at the last look; empty unless it leads.
    silent_voters: IndexSet<ids::InstanceName>,
    views: IndexMap<ids::InstanceName, MemberView>,
    revision: u64,
}

impl FleetWatch {
    /// Notes what has changed in the state.
    pub(super) fn look(&mut self, state: &reducer::EngineState, timeline: &timeline::Timeline) {
        self.look_at_group(state, timeline);
        self.look_at_members(state, timeline);
    }

    fn look_at_group(&mut self, state: &reducer::EngineState, timeline: &timeline::Timeline) {
        let Some(view) = replication::GroupView::of(state) else {
            return;
        };
        self.look_at_voters(&view, timeline);
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

    /// Notes voters that fall silent or answer again, with what is left of the group: the next loss may
    /// be one too many, and the group goes on without a sign of it.
    fn look_at_voters(&mut self, view: &replication::GroupView, timeline: &timeline::Timeline) {
        let (alive, majority) = (view.alive_voters(), view.majority());
        let silent = voters_that(view, replication::VoterView::is_silent);
        for voter in silent.difference(&self.silent_voters).cloned() {
            timeline.record(TimelineEvent::VoterSilent {
                voter,
                alive,
                majority,
            });
        }
        let answering = voters_that(view, replication::VoterView::is_answering);
        for voter in self.silent_voters.intersection(&answering).cloned() {
            timeline.record(TimelineEvent::VoterBack {
                voter,
                alive,
                majority,
            });
        }
        self.silent_voters = silent;
    }

    fn look_at_members(&mut self, state: &reducer::EngineState, timeline: &timeline::Timeline) {
        if self.revision == state.membership.revision {
            return;
        }
        self.revision = state.membership.revision;
        for (name, member) in &state.membership.members {
            let view = if member.is_forgotten {
                MemberView::Forgotten
            } else if member.record.has_left {
                MemberView::Left
            } else if state.membership.is_reachable(name) {
                MemberView::Reachable
            } else {
                MemberView::Unreachable
            };
            if self.views.insert(name.clone(), view) != Some(view) {
                let member = name.clone();
                timeline.record(TimelineEvent::MemberChanged { member, view });
            }
        }
    }

    /// Notes that something came again over a lost link.
    pub(super) fn heard(&mut self, address: SocketAddr, timeline: &timeline::Timeline) {
        if self.lost_links.swap_remove(&address) {
            timeline.record(TimelineEvent::LinkBack { address });
        }
    }

    /// Notes a lost link once, however often it is tried again.
    pub(super) fn lost(&mut self, address: SocketAddr, timeline: &timeline::Timeline) {
        if self.lost_links.insert(address) {
            timeline.record(TimelineEvent::LinkLost { address });
        }
    }
}

fn voters_that(
    view: &replication::GroupView,
    is_such: impl Fn(&replication::VoterView) -> bool,
) -> IndexSet<ids::InstanceName> {
    let voters = view.members.iter().filter(|member| is_such(member));
    voters.filter_map(|voter| voter.instance.clone()).collect()
}
