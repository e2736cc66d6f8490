//! Counts of the bytes exchanged with other processes, by link and traffic category.
//!
//! The counts cover whole frames, without the overhead of the transport. A frame counts as sent
//! once it is queued on its link, even if the link breaks before it is delivered.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use hazeltiller_wire::message;
use indexmap::IndexMap;
use serde::Serialize;

/// Number of links with counts of their own. Beyond it, the counts of the link with the fewest
/// bytes are merged into a common remainder.
const MAX_COUNTED_LINKS: usize = 256;

/// Frames and bytes of one traffic category.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ByteCount {
    /// Number of frames.
    pub frames: u64,
    /// Number of bytes.
    pub bytes: u64,
}

impl ByteCount {
    fn add(&mut self, frames: u64, bytes: u64) {
        self.frames += frames;
        self.bytes += bytes;
    }
}

type CategoryCounts = IndexMap<&'static str, ByteCount>;

#[derive(Debug, Default)]
struct ByteCountTable {
    sent: IndexMap<SocketAddr, CategoryCounts>,
    /// Counts of links that no longer have counts of their own.
    sent_remainder: CategoryCounts,
    received: CategoryCounts,
}

/// The counts of a process, shared by its links and listeners.
#[derive(Debug, Clone, Default)]
pub struct ByteCounts {
    table: Arc<Mutex<ByteCountTable>>,
}

/// Totals over all links, by traffic category.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ByteSummary {
    /// Counts of the frames sent.
    pub sent: IndexMap<&'static str, ByteCount>,
    /// Counts of the frames received.
    pub received: IndexMap<&'static str, ByteCount>,
}

impl ByteCounts {
    /// Counts a frame that has been queued on a link.
    pub fn count_sent(&self, to: SocketAddr, category: message::TrafficCategory, size: usize) {
        let mut table = self
            .table
            .lock()
            .expect("no thread panics while it holds the lock");
        if !table.sent.contains_key(&to) && table.sent.len() >= MAX_COUNTED_LINKS {
            evict_smallest(&mut table);
        }
        let counts = table.sent.entry(to).or_default();
        counts
            .entry(category.as_str())
            .or_default()
            .add(1, size as u64);
    }

    /// Counts a frame that has been received.
    pub fn count_received(&self, category: message::TrafficCategory, size: usize) {
        let mut table = self
            .table
            .lock()
            .expect("no thread panics while it holds the lock");
        let count = table.received.entry(category.as_str()).or_default();
        count.add(1, size as u64);
    }

    /// Returns the totals over all links, by traffic category.
    pub fn summary(&self) -> ByteSummary {
        let table = self
            .table
            .lock()
            .expect("no thread panics while it holds the lock");
        let mut sent = table.sent_remainder.clone();
        for counts in table.sent.values() {
            merge(&mut sent, counts);
        }
        let received = table.received.clone();
        ByteSummary { sent, received }
    }

    /// Returns the counts of frames sent on each link, by traffic category.
    pub fn links(&self) -> Vec<(SocketAddr, IndexMap<&'static str, ByteCount>)> {
        let table = self
            .table
            .lock()
            .expect("no thread panics while it holds the lock");
        let links = table.sent.iter();
        links.map(|(to, counts)| (*to, counts.clone())).collect()
    }
}

/// Merges the counts of the link with the fewest bytes into the remainder.
fn evict_smallest(table: &mut ByteCountTable) {
    let total = |counts: &CategoryCounts| counts.values().map(|count| count.bytes).sum::<u64>();
    let smallest = table.sent.iter().min_by_key(|(_, counts)| total(counts));
    let Some(address) = smallest.map(|(address, _)| *address) else {
        return;
    };
    if let Some(counts) = table.sent.swap_remove(&address) {
        merge(&mut table.sent_remainder, &counts);
    }
}

fn merge(sum: &mut CategoryCounts, counts: &CategoryCounts) {
    for (category, count) in counts {
        sum.entry(*category)
            .or_default()
            .add(count.frames, count.bytes);
    }
}
