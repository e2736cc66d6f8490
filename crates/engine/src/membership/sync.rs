//! Synchronization of member tables (anti-entropy), one page at a time.
//!
//! Two processes first compare bucket digests, then the record versions in the buckets that differ,
//! and only then transfer records. A process that has just joined requests page after page;
//! otherwise a page every `sync_ms` is enough.

use std::net::SocketAddr;

use hazeltiller_units::time;
use hazeltiller_wire::{membership as wire, message};
use indexmap::{IndexMap, IndexSet};

use crate::{
    event,
    membership::{self, gossip, table},
    reducer, settings,
};

/// Number of record versions from which a page is complete. A single bucket may hold more.
const PAGE_VERSIONS: usize = 64;
/// Maximum number of records in one message.
const MAX_MESSAGE_RECORDS: usize = 64;

/// The synchronization in progress.
#[derive(Debug, Clone, Default)]
pub struct SyncState {
    last_started_at: Option<time::MonotonicTime>,
    /// Peer to ask for the next page once the records of this page have arrived.
    next_page_peer: Option<SocketAddr>,
}

fn send(output: &mut event::ReducerOutput, to: SocketAddr, message: wire::MembershipMessage) {
    output.send(to, message::PeerMessage::Membership(message));
}

/// Starts comparing tables with some peers, unless the last start was less than `sync_ms` ago.
pub fn start(
    state: &mut reducer::EngineState,
    peers: &[SocketAddr],
    output: &mut event::ReducerOutput,
) {
    let pause = settings::millis(state.settings.tunables.membership.sync_ms);
    let pause = gossip::startup_paced(state, pause);
    let last_started_at = state.membership.sync.last_started_at;
    if last_started_at.is_none_or(|last_started_at| state.now.since(last_started_at) >= pause) {
        for peer in peers {
            send_buckets(state, *peer, output);
        }
    }
}

fn send_buckets(
    state: &mut reducer::EngineState,
    to: SocketAddr,
    output: &mut event::ReducerOutput,
) {
    state.membership.sync = SyncState {
        last_started_at: Some(state.now),
        next_page_peer: None,
    };
    let buckets = state.membership.buckets.clone();
    send(output, to, wire::MembershipMessage::Buckets(buckets));
}

/// Answers bucket digests with the record versions in the first buckets that differ.
pub fn compare_buckets(
    state: &reducer::EngineState,
    from: SocketAddr,
    buckets: &[wire::ShortDigest],
    output: &mut event::ReducerOutput,
) {
    let mut by_bucket: IndexMap<usize, Vec<wire::RecordVersion>> = IndexMap::new();
    for (index, own) in state.membership.buckets.iter().enumerate() {
        if buckets.get(index).is_some_and(|other| other != own) {
            by_bucket.insert(index, Vec::new());
        }
    }
    for record in state.membership.present() {
        let member = table::name_digest(record.identity.instance.as_str());
        if let Some(versions) = by_bucket.get_mut(&table::bucket(member)) {
            versions.push(wire::RecordVersion {
                member,
                incarnation: record.identity.incarnation,
                sequence: record.sequence,
            });
        }
    }
    if by_bucket.is_empty() {
        return;
    }
    let count = by_bucket.len();
    let mut page = wire::VersionPage {
        buckets: Vec::new(),
        versions: Vec::new(),
        has_more: false,
    };
    for (index, versions) in by_bucket {
        page.buckets.push(index as u8);
        page.versions.extend(versions);
        if page.versions.len() >= PAGE_VERSIONS {
            break;
        }
    }
    page.has_more = page.buckets.len() < count;
    send(output, from, wire::MembershipMessage::Versions(page));
}

/// Compares a page of record versions: sends the records that are newer here and requests those
/// that are newer at the peer.
pub fn compare_versions(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    page: wire::VersionPage,
    output: &mut event::ReducerOutput,
) {
    let membership = &state.membership;
    let mut newer = Vec::new();
    let mut wanted = Vec::new();
    let own = table::name_digest(membership.own.identity.instance.as_str());
    let known: IndexMap<wire::ShortDigest, &wire::MemberRecord> = membership
        .members
        .values()
        .map(|member| (member.digest, &member.record))
        .chain(std::iter::once((own, &membership.own)))
        .collect();
    for version in &page.versions {
        let remote = (version.incarnation, version.sequence);
        match known.get(&version.member) {
            Some(record) if table::record_version(record) > remote => newer.push((*record).clone()),
            Some(record) if table::record_version(record) == remote => {}
            _ => wanted.push(version.member),
        }
    }
    let listed: IndexSet<wire::ShortDigest> =
        page.versions.iter().map(|version| version.member).collect();
    for record in membership.present() {
        let member = table::name_digest(record.identity.instance.as_str());
        let is_in_page = page.buckets.contains(&(table::bucket(member) as u8));
        if is_in_page && !listed.contains(&member) {
            newer.push(record.clone());
        }
    }
    send_pages(newer, from, output);
    if !wanted.is_empty() {
        send(output, from, wire::MembershipMessage::Wanted(wanted));
        state.membership.sync.next_page_peer = page.has_more.then_some(from);
    }
}

/// Sends the records that a peer requested.
pub fn send_records(
    state: &reducer::EngineState,
    to: SocketAddr,
    members: &[wire::ShortDigest],
    output: &mut event::ReducerOutput,
) {
    let wanted: IndexSet<&wire::ShortDigest> = members.iter().collect();
    let is_wanted = |record: &&wire::MemberRecord| {
        wanted.contains(&table::name_digest(record.identity.instance.as_str()))
    };
    let records = state.membership.present().filter(is_wanted).cloned();
    send_pages(records.collect(), to, output);
}

/// Sends records in messages of bounded size.
fn send_pages(records: Vec<wire::MemberRecord>, to: SocketAddr, output: &mut event::ReducerOutput) {
    for page in records.chunks(MAX_MESSAGE_RECORDS) {
        send(output, to, wire::MembershipMessage::Records(page.to_vec()));
    }
}

/// Applies received records and requests the next page, if there is one.
pub fn handle_records(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    records: Vec<wire::MemberRecord>,
    output: &mut event::ReducerOutput,
) {
    gossip::apply_synced_records(state, from, records, output);
    if state.membership.sync.next_page_peer == Some(from) {
        send_buckets(state, from, output);
    }
}

impl membership::MembershipState {
    /// Returns the record of a member, which may be this process or one that left.
    pub fn record(
        &self,
        name: &hazeltiller_units::ids::InstanceName,
    ) -> Option<&wire::MemberRecord> {
        if *name == self.own.identity.instance {
            return Some(&self.own);
        }
        self.members.get(name).map(|member| &member.record)
    }
}
