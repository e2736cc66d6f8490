//! Log of the members that changed, so that what is derived from the member table can follow it
//! without looking at every member.

use std::collections::VecDeque;

use hazeltiller_units::ids;
use indexmap::IndexSet;

use crate::membership;

/// Number of changes that are logged. A reader that is further behind looks at every member.
const MAX_LOGGED_CHANGES: usize = 512;

/// The latest changes, one for each revision of the member table. `None` stands for a change that
/// concerns more than one member.
#[derive(Debug, Clone, Default)]
pub struct ChangeLog(VecDeque<Option<ids::InstanceName>>);

impl membership::MembershipState {
    /// Starts a new revision, for a change of one member or of several.
    pub fn record_change(&mut self, member: Option<ids::InstanceName>) {
        self.revision += 1;
        self.changes.0.push_back(member);
        if self.changes.0.len() > MAX_LOGGED_CHANGES {
            self.changes.0.pop_front();
        }
    }

    /// Returns the members that have changed since a revision, or `None` if any may have.
    pub fn changes_since(&self, revision: u64) -> Option<IndexSet<ids::InstanceName>> {
        let count = self.revision.checked_sub(revision)? as usize;
        let first = self.changes.0.len().checked_sub(count)?;
        self.changes.0.range(first..).cloned().collect()
    }
}
