//! Control bytes by link and reason, as frames without the transport's own overhead.
//!
//! A frame counts as sent once its link has taken it; one that is lost with a breaking link was
//! paid for all the same.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use hazeltiller_wire::message;
use indexmap::IndexMap;
use serde::Serialize;

/// Links that are counted one by one; the least used is summed into the others beyond that.
const COUNTED_LINKS: usize = 256;

/// Frames and bytes of one reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ByteCount {
    /// Frames.
    pub frames: u64,
    /// Bytes.
    pub bytes: u64,
}

impl ByteCount {
    fn add(&mut self, frames: u64, bytes: u64) {
        self.frames += frames;
        self.bytes += bytes;
    }
}

type ReasonCounts = IndexMap<&'static str, ByteCount>;

#[derive(Debug, Default)]
struct CountTable {
    sent: IndexMap<SocketAddr, ReasonCounts>,
    sent_elsewhere: ReasonCounts,
    received: ReasonCounts,
}

/// The counts of a process, shared by its links.
#[derive(Debug, Clone, Default)]
pub struct ByteCounts {
    table: Arc<Mutex<CountTable>>,
}

/// Counts summed by reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ByteSummary {
    /// What was sent.
    pub sent: IndexMap<&'static str, ByteCount>,
    /// What was received.
    pub received: IndexMap<&'static str, ByteCount>,
}

impl ByteCounts {
    /// Counts a frame that goes out.
    pub fn sent(&self, to: SocketAddr, reason: message::TrafficCategory, size: usize) {
        let mut table = self.table.lock().expect("no holder of the lock panics");
        if !table.sent.contains_key(&to) && table.sent.len() >= COUNTED_LINKS {
            drop_least_used(&mut table);
        }
        let counts = table.sent.entry(to).or_default();
        counts
            .entry(reason.as_str())
            .or_default()
            .add(1, size as u64);
    }

    /// Counts a frame that came in.
    pub fn received(&self, reason: message::TrafficCategory, size: usize) {
        let mut table = self.table.lock().expect("no holder of the lock panics");
        let count = table.received.entry(reason.as_str()).or_default();
        count.add(1, size as u64);
    }

    /// Sums by reason.
    pub fn summary(&self) -> ByteSummary {
        let table = self.table.lock().expect("no holder of the lock panics");
        let mut sent = table.sent_elsewhere.clone();
        for counts in table.sent.values() {
            merge(&mut sent, counts);
        }
        let received = table.received.clone();
        ByteSummary { sent, received }
    }

    /// What was sent on each link, by reason.
    pub fn links(&self) -> Vec<(SocketAddr, IndexMap<&'static str, ByteCount>)> {
        let table = self.table.lock().expect("no holder of the lock panics");
        let links = table.sent.iter();
        links.map(|(to, counts)| (*to, counts.clone())).collect()
    }
}

fn drop_least_used(table: &mut CountTable) {
    let total = |counts: &ReasonCounts| counts.values().map(|count| count.bytes).sum::<u64>();
    let least = table.sent.iter().min_by_key(|(_, counts)| total(counts));
    let Some(address) = least.map(|(address, _)| *address) else {
        return;
    };
    if let Some(counts) = table.sent.swap_remove(&address) {
        merge(&mut table.sent_elsewhere, &counts);
    }
}

fn merge(sum: &mut ReasonCounts, counts: &ReasonCounts) {
    for (reason, count) in counts {
        sum.entry(*reason)
            .or_default()
            .add(count.frames, count.bytes);
    }
}
