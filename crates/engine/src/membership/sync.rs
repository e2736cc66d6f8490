//! Finding what two tables differ in, a page at a time.
//!
//! The digests of the buckets show where, the versions of a page of records show what, and only
//! then records travel. A process that has just joined goes on page by page at once; in rest one
//! page in a while is enough.

use std::net::SocketAddr;

use hazeltiller_units::time;
use hazeltiller_wire::{membership as wire, message};
use indexmap::{IndexMap, IndexSet};

use crate::{
    event,
    membership::{self, gossip, table},
    reducer, settings,
};

/// Versions of records in one page, unless one bucket alone has more.
const PAGE_VERSIONS: usize = 64;
/// Records in one message.
const PAGE_RECORDS: usize = 64;

/// The synchronization that goes on.
#[derive(Debug, Clone, Default)]
pub struct SyncState {
    begun: Option<time::MonotonicTime>,
    more_at: Option<SocketAddr>,
}

fn send(output: &mut event::ReducerOutput, to: SocketAddr, message: wire::MembershipMessage) {
    output.send(to, message::PeerMessage::Membership(message));
}

/// Begins to compare tables with these peers, unless that was done a moment ago.
pub fn begin(
    state: &mut reducer::EngineState,
    with: &[SocketAddr],
    output: &mut event::ReducerOutput,
) {
    let pause = settings::millis(state.settings.tunables.membership.sync_ms);
    let pause = gossip::paced(state, pause);
    let begun = state.membership.sync.begun;
    if begun.is_none_or(|begun| state.now.since(begun) >= pause) {
        for peer in with {
            send_buckets(state, *peer, output);
        }
    }
}

fn send_buckets(
    state: &mut reducer::EngineState,
    with: SocketAddr,
    output: &mut event::ReducerOutput,
) {
    state.membership.sync = SyncState {
        begun: Some(state.now),
        more_at: None,
    };
    let buckets = state.membership.buckets.clone();
    send(output, with, wire::MembershipMessage::Buckets(buckets));
}

/// Answers digests of buckets with the versions in those that differ.
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

/// Compares a page of versions: sends what is newer here, asks for what is newer there.
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
        let there = (version.incarnation, version.sequence);
        match known.get(&version.member) {
            Some(record) if table::age(record) > there => newer.push((*record).clone()),
            Some(record) if table::age(record) == there => {}
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
        state.membership.sync.more_at = page.has_more.then_some(from);
    }
}

/// Sends the records of members that a peer wants.
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

fn send_pages(records: Vec<wire::MemberRecord>, to: SocketAddr, output: &mut event::ReducerOutput) {
    for page in records.chunks(PAGE_RECORDS) {
        send(output, to, wire::MembershipMessage::Records(page.to_vec()));
    }
}

/// Takes records of a synchronization and goes on with the next page, if there is one.
pub fn take_records(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    records: Vec<wire::MemberRecord>,
    output: &mut event::ReducerOutput,
) {
    gossip::take_quietly(state, from, records, output);
    if state.membership.sync.more_at == Some(from) {
        send_buckets(state, from, output);
    }
}

impl membership::MembershipState {
    /// The record of a member, its own included, also of one that left.
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
