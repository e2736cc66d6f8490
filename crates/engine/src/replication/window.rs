//! The part of the log that is held in memory, and the voters that it names.

use std::collections::VecDeque;

use hazeltiller_units::ids;
use hazeltiller_wire::{codec, replication as wire};

/// Bytes of entries in one message, but for the last entry: with the largest change that an
/// operator can send a message stays far below [`codec::LARGEST_FRAME`].
const MESSAGE_BYTES: usize = 4 << 20;

/// An entry with its size in a message.
#[derive(Debug, Clone)]
struct HeldEntry {
    entry: wire::LogEntry,
    bytes: usize,
}

/// Entries after a base, without gaps.
#[derive(Debug, Clone, Default)]
pub(super) struct LogWindow {
    base: wire::LogMark,
    entries: VecDeque<HeldEntry>,
    /// Voters by the position from which they count; the first counts at the base.
    groups: Vec<(ids::LogPosition, wire::ControlGroup)>,
    none: wire::ControlGroup,
}

impl LogWindow {
    /// A window that starts behind a snapshot.
    pub(super) fn after(mark: wire::LogMark, group: wire::ControlGroup) -> Self {
        Self {
            base: mark,
            entries: VecDeque::new(),
            groups: vec![(mark.position, group)],
            none: wire::ControlGroup::default(),
        }
    }

    /// The end of the log.
    pub(super) fn last(&self) -> wire::LogMark {
        let last = self.entries.back();
        last.map_or(self.base, |held| held.entry.mark())
    }

    /// The place before the first entry held.
    pub(super) fn base(&self) -> wire::LogMark {
        self.base
    }

    /// Term of the entry at a position, where that is still known.
    pub(super) fn term_at(&self, position: ids::LogPosition) -> Option<ids::LeaderTerm> {
        if position == self.base.position {
            return Some(self.base.term);
        }
        self.get(position).map(|entry| entry.term)
    }

    /// The entry at a position.
    pub(super) fn get(&self, position: ids::LogPosition) -> Option<&wire::LogEntry> {
        let index = position.0.checked_sub(self.base.position.0 + 1)?;
        self.entries.get(index as usize).map(|held| &held.entry)
    }

    /// Entries from a position on that fit a message: at most `limit`, at least one if there is one.
    pub(super) fn slice(&self, from: ids::LogPosition, limit: usize) -> Vec<wire::LogEntry> {
        let skipped = from.0.saturating_sub(self.base.position.0 + 1) as usize;
        let mut bytes = 0;
        let fits = |held: &&HeldEntry| {
            let is_first = bytes == 0;
            bytes += held.bytes;
            is_first || bytes <= MESSAGE_BYTES
        };
        let wanted = self
            .entries
            .iter()
            .skip(skipped)
            .take(limit)
            .take_while(fits);
        wanted.map(|held| held.entry.clone()).collect()
    }

    /// All entries from a position on.
    pub(super) fn slice_all(&self, from: ids::LogPosition) -> Vec<wire::LogEntry> {
        let skipped = from.0.saturating_sub(self.base.position.0 + 1) as usize;
        let wanted = self.entries.iter().skip(skipped);
        wanted.map(|held| held.entry.clone()).collect()
    }

    /// Puts an entry at the end.
    pub(super) fn append(&mut self, entry: wire::LogEntry) {
        assert_eq!(
            entry.position,
            self.last().position.next(),
            "a log has no gaps"
        );
        if let wire::LogPayload::Group(group) = &entry.payload {
            self.groups.push((entry.position, group.clone()));
        }
        let bytes = codec::encoded_size(&entry);
        self.entries.push_back(HeldEntry { entry, bytes });
    }

    /// Drops the entry at a position and all after it.
    pub(super) fn truncate(&mut self, from: ids::LogPosition) {
        let kept = from.0.saturating_sub(self.base.position.0 + 1);
        self.entries.truncate(kept as usize);
        self.groups.retain(|(position, _)| *position < from);
    }

    /// Drops entries up to a position, which becomes the base.
    pub(super) fn compact(&mut self, position: ids::LogPosition) {
        while self.base.position < position {
            let Some(held) = self.entries.pop_front() else {
                return;
            };
            self.base = held.entry.mark();
        }
        let counts = self.groups.partition_point(|(from, _)| *from <= position);
        self.groups.drain(..counts.saturating_sub(1));
    }

    /// The voters in force: those that the latest entry about them names, committed or not.
    pub(super) fn group(&self) -> &wire::ControlGroup {
        self.groups.last().map_or(&self.none, |(_, group)| group)
    }

    /// The voters at a position that is held.
    pub(super) fn group_at(&self, position: ids::LogPosition) -> &wire::ControlGroup {
        let counts = self.groups.iter().rev().find(|(from, _)| *from <= position);
        counts.map_or(&self.none, |(_, group)| group)
    }

    /// Position of the latest entry about voters.
    pub(super) fn group_position(&self) -> ids::LogPosition {
        self.groups
            .last()
            .map_or(self.base.position, |(position, _)| *position)
    }
}
