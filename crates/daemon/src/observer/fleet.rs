//! Detects changes of members and links, and records them in the timeline.

use std::net::SocketAddr;

use hazeltiller_engine::{
    membership::table as membership,
    reducer,
    timeline::{MemberView, TimelineEvent},
};
use hazeltiller_units::ids;
use indexmap::{IndexMap, IndexSet};

use super::control_group;
use crate::timeline;

/// The state of the fleet as it was last recorded.
#[derive(Debug, Default)]
pub(super) struct FleetMonitor {
    lost_links: IndexSet<SocketAddr>,
    group: control_group::GroupMonitor,
    member_views: IndexMap<ids::InstanceName, MemberView>,
    membership_revision: u64,
}

impl FleetMonitor {
    /// Records what has changed since the last check.
    pub(super) fn check(&mut self, state: &reducer::EngineState, timeline: &timeline::Timeline) {
        self.group.check(state, timeline);
        self.check_members(state, timeline);
    }

    fn check_members(&mut self, state: &reducer::EngineState, timeline: &timeline::Timeline) {
        if self.membership_revision == state.membership.revision {
            return;
        }
        let changes = state.membership.changes_since(self.membership_revision);
        self.membership_revision = state.membership.revision;
        match changes {
            Some(names) => {
                let members = names.iter().filter_map(|name| {
                    let member = state.membership.members.get(name)?;
                    Some((name, member))
                });
                self.record_views(members, state, timeline);
            }
            None => self.record_views(&state.membership.members, state, timeline),
        }
    }

    /// Records members whose view differs from the last recorded one.
    fn record_views<'a>(
        &mut self,
        members: impl IntoIterator<Item = (&'a ids::InstanceName, &'a membership::KnownMember)>,
        state: &reducer::EngineState,
        timeline: &timeline::Timeline,
    ) {
        for (name, member) in members {
            let view = if member.is_forgotten {
                MemberView::Forgotten
            } else if member.record.has_left {
                MemberView::Left
            } else if state.membership.is_reachable(name) {
                MemberView::Reachable
            } else {
                MemberView::Unreachable
            };
            if self.member_views.insert(name.clone(), view) != Some(view) {
                let member = name.clone();
                timeline.record(TimelineEvent::MemberChanged { member, view });
            }
        }
    }

    /// Records that a peer whose link was lost can be heard again.
    pub(super) fn message_received(&mut self, address: SocketAddr, timeline: &timeline::Timeline) {
        if self.lost_links.swap_remove(&address) {
            timeline.record(TimelineEvent::LinkBack { address });
        }
    }

    /// Records a lost link, once for any number of failed attempts to reopen it.
    pub(super) fn link_lost(&mut self, address: SocketAddr, timeline: &timeline::Timeline) {
        if self.lost_links.insert(address) {
            timeline.record(TimelineEvent::LinkLost { address });
        }
    }
}
