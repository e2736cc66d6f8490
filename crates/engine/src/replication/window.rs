//! The in-memory part of the log, and the voter configurations that it contains.

use std::collections::VecDeque;

use hazeltiller_units::ids;
use hazeltiller_wire::{codec, replication as wire};

use crate::settings;

/// Soft limit for the entries in one message; only the last entry may exceed it. Together with the
/// largest change that an operator can send, a message stays well below [`codec::MAX_FRAME_BYTES`].
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// An entry with its encoded size.
#[derive(Debug, Clone)]
struct SizedEntry {
    entry: wire::LogEntry,
    bytes: usize,
}

/// Consecutive entries after a base position.
#[derive(Debug, Clone, Default)]
pub(super) struct LogWindow {
    base: wire::LogMark,
    entries: VecDeque<SizedEntry>,
    /// Voter configurations with the position from which each applies; the first applies at the
    /// base.
    groups: Vec<(ids::LogPosition, wire::ControlGroup)>,
    /// Empty configuration, returned where none applies.
    no_group: wire::ControlGroup,
}

impl LogWindow {
    /// Creates an empty window that starts after a snapshot.
    pub(super) fn after(mark: wire::LogMark, group: wire::ControlGroup) -> Self {
        Self {
            base: mark,
            entries: VecDeque::new(),
            groups: vec![(mark.position, group)],
            no_group: wire::ControlGroup::default(),
        }
    }

    /// Term and position of the last entry.
    pub(super) fn last(&self) -> wire::LogMark {
        let last = self.entries.back();
        last.map_or(self.base, |sized| sized.entry.mark())
    }

    /// Term and position of the last entry before the window.
    pub(super) fn base(&self) -> wire::LogMark {
        self.base
    }

    /// Term of the entry at a position, if the window covers it.
    pub(super) fn term_at(&self, position: ids::LogPosition) -> Option<ids::LeaderTerm> {
        if position == self.base.position {
            return Some(self.base.term);
        }
        self.get(position).map(|entry| entry.term)
    }

    /// The entry at a position.
    pub(super) fn get(&self, position: ids::LogPosition) -> Option<&wire::LogEntry> {
        let index = position.0.checked_sub(self.base.position.0 + 1)?;
        self.entries.get(index as usize).map(|sized| &sized.entry)
    }

    /// Entries from a position on for one message to another replica: as many as the tunables allow
    /// and as fit, but at least one, if any exists. The rest follows in later messages, so this is
    /// no basis for a judgement.
    pub(super) fn message_entries(
        &self,
        from: ids::LogPosition,
        tunables: &settings::ReplicationTunables,
    ) -> Vec<wire::LogEntry> {
        let limit = tunables.append_entries as usize;
        let mut bytes = 0;
        let fits = |sized: &&SizedEntry| {
            let is_first = bytes == 0;
            bytes += sized.bytes;
            is_first || bytes <= MAX_MESSAGE_BYTES
        };
        let selected = self.sized_from(from).take(limit).take_while(fits);
        selected.map(|sized| sized.entry.clone()).collect()
    }

    /// All entries from a position on.
    pub(super) fn entries_from(
        &self,
        from: ids::LogPosition,
    ) -> impl Iterator<Item = &wire::LogEntry> {
        self.sized_from(from).map(|sized| &sized.entry)
    }

    fn sized_from(&self, from: ids::LogPosition) -> impl Iterator<Item = &SizedEntry> {
        let skipped = from.0.saturating_sub(self.base.position.0 + 1) as usize;
        self.entries.iter().skip(skipped)
    }

    /// Appends an entry.
    pub(super) fn append(&mut self, entry: wire::LogEntry) {
        assert_eq!(
            entry.position,
            self.last().position.next(),
            "log positions must be consecutive"
        );
        if let wire::LogPayload::Group(group) = &entry.payload {
            self.groups.push((entry.position, group.clone()));
        }
        let bytes = codec::encoded_size(&entry);
        self.entries.push_back(SizedEntry { entry, bytes });
    }

    /// Removes the entry at a position and all after it.
    pub(super) fn truncate(&mut self, from: ids::LogPosition) {
        let remaining = from.0.saturating_sub(self.base.position.0 + 1);
        self.entries.truncate(remaining as usize);
        self.groups.retain(|(position, _)| *position < from);
    }

    /// Removes entries up to a position, which becomes the base.
    pub(super) fn compact(&mut self, position: ids::LogPosition) {
        while self.base.position < position {
            let Some(sized) = self.entries.pop_front() else {
                return;
            };
            self.base = sized.entry.mark();
        }
        let earlier = self.groups.partition_point(|(from, _)| *from <= position);
        self.groups.drain(..earlier.saturating_sub(1));
    }

    /// The latest voter configuration, which applies as soon as it is in the log, committed or not.
    pub(super) fn group(&self) -> &wire::ControlGroup {
        self.groups
            .last()
            .map_or(&self.no_group, |(_, group)| group)
    }

    /// The voter configuration at a position in the window.
    pub(super) fn group_at(&self, position: ids::LogPosition) -> &wire::ControlGroup {
        let earlier = self.groups.iter().rev().find(|(from, _)| *from <= position);
        earlier.map_or(&self.no_group, |(_, group)| group)
    }

    /// Position of the latest voter configuration.
    pub(super) fn group_position(&self) -> ids::LogPosition {
        self.groups
            .last()
            .map_or(self.base.position, |(position, _)| *position)
    }
}
