//! Member table: decides which copy of a record is kept, and maintains digests for comparing
//! tables.
//!
//! A record is replaced only by one with a larger `(incarnation, sequence)`. The record of a member
//! that left is kept as a tombstone, which the digests do not cover, so that an old copy from
//! elsewhere cannot restore the member.

use hazeltiller_units::{ids, time};
use hazeltiller_wire::membership as wire;

use crate::{membership, reducer};

/// Number of buckets of the table whose digests are compared separately.
pub const BUCKET_COUNT: usize = 64;

/// Another member, as known to this process.
#[derive(Debug, Clone, PartialEq)]
pub struct KnownMember {
    /// The latest known copy of the member's record.
    pub record: wire::MemberRecord,
    /// Short digest of the member's name.
    pub digest: wire::ShortDigest,
    /// When this copy was received.
    pub received_at: time::MonotonicTime,
    /// When a message last came from the member directly.
    pub last_heard: Option<time::MonotonicTime>,
    /// Liveness of the member, regardless of whether its data centre is silent.
    pub status: MemberStatus,
    /// Whether the member was unreachable for so long that it is no longer counted.
    pub is_forgotten: bool,
}

/// Liveness of a member as known to this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum MemberStatus {
    /// The member is not suspected.
    #[default]
    Alive,
    /// Some process got no answer from the member, which has not refuted that yet; since the given
    /// time.
    Suspected(time::MonotonicTime),
    /// The member did not refute a suspicion in time; since the given time.
    Unreachable(time::MonotonicTime),
}

impl KnownMember {
    /// Returns whether the member has neither left nor been forgotten.
    pub fn is_present(&self) -> bool {
        !self.record.has_left && !self.is_forgotten
    }

    /// Returns whether the member is considered unreachable, regardless of whether its data centre
    /// is silent.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.status, MemberStatus::Unreachable(_))
    }

    /// Returns whether the held record has this incarnation and sequence.
    pub fn is_copy(&self, incarnation: ids::IncarnationNumber, sequence: u64) -> bool {
        record_version(&self.record) == (incarnation, sequence)
    }
}

/// Outcome of applying a received record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The record was unknown or replaced an older one.
    New,
    /// The same version is already held, or the record is of no use.
    Same,
    /// A newer version is already held.
    Older,
}

/// Returns the version of a record, by which copies are ordered.
pub fn record_version(record: &wire::MemberRecord) -> (ids::IncarnationNumber, u64) {
    (record.identity.incarnation, record.sequence)
}

/// Returns the short digest of a name.
pub fn name_digest(name: &str) -> wire::ShortDigest {
    let hash = blake3::hash(name.as_bytes());
    let bytes = hash.as_bytes().first_chunk().expect("a hash is longer");
    wire::ShortDigest::from(*bytes)
}

/// Returns the short digest of a data centre's name, truncated to four bytes.
pub fn centre_digest(centre: &ids::DataCentreName) -> u32 {
    name_digest(centre.as_str()).0 as u32
}

/// Mixes the bits of a number (the finalizer of SplitMix64), so that similar numbers yield
/// unrelated results.
pub fn mix(number: u64) -> u64 {
    let first = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let second = (first ^ (first >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    second ^ (second >> 31)
}

/// Returns the digest of a record's version, which the bucket digests combine by exclusive or.
fn record_digest(name: wire::ShortDigest, record: &wire::MemberRecord) -> wire::ShortDigest {
    let (incarnation, sequence) = record_version(record);
    wire::ShortDigest(mix(name.0 ^ mix(incarnation.0) ^ mix(!sequence)))
}

/// Returns the index of the bucket that a member belongs to, by the digest of its name.
pub fn bucket(name: wire::ShortDigest) -> usize {
    (name.0 % BUCKET_COUNT as u64) as usize
}

impl membership::MembershipState {
    /// Returns the digest of the whole table.
    pub fn table_digest(&self) -> wire::ShortDigest {
        let mut digest = wire::ShortDigest::default();
        for bucket in &self.buckets {
            digest ^= *bucket;
        }
        digest
    }

    /// Removes this process's own record from the digests, or adds it back. Does nothing once this
    /// process has left.
    pub fn toggle_own_digest(&mut self) {
        if self.own.has_left {
            return;
        }
        let name = name_digest(self.own.identity.instance.as_str());
        self.buckets[bucket(name)] ^= record_digest(name, &self.own);
    }

    /// Removes a member's record from the digests, or adds it back.
    fn toggle_digest(&mut self, name: &ids::InstanceName) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        if member.is_present() {
            self.buckets[bucket(member.digest)] ^= record_digest(member.digest, &member.record);
        }
    }

    /// Forgets a member that was unreachable for long. A newer record makes it known again.
    pub fn forget(&mut self, name: &ids::InstanceName) {
        self.toggle_digest(name);
        if let Some(member) = self.members.get_mut(name) {
            member.is_forgotten = true;
            member.record.targets.clear();
        }
        self.partners.is_stale = true;
        self.record_change(Some(name.clone()));
    }
}

/// Applies a received copy of a record.
pub fn apply(state: &mut reducer::EngineState, record: wire::MemberRecord) -> RecordOutcome {
    let name = record.identity.instance.clone();
    if name == state.settings.identity.instance {
        membership::own::apply_own_copy(state, &record);
        return RecordOutcome::Same;
    }
    let known = state.membership.members.get(&name);
    let order = known.map(|known| record_version(&known.record).cmp(&record_version(&record)));
    match order {
        Some(std::cmp::Ordering::Equal) => return RecordOutcome::Same,
        Some(std::cmp::Ordering::Greater) => return RecordOutcome::Older,
        // The tombstone of an unknown member carries no information.
        None if record.has_left => return RecordOutcome::Same,
        _ => {}
    }
    let last_heard = known.and_then(|known| known.last_heard);
    let was_reachable = known.is_some_and(|known| known.is_present() && !known.is_unreachable());
    let has_moved =
        known.is_none_or(|known| known.record.identity.address != record.identity.address);
    if !was_reachable || has_moved || record.has_left {
        state.membership.partners.is_stale = true;
    }
    state.membership.toggle_digest(&name);
    let member = KnownMember {
        digest: name_digest(name.as_str()),
        record,
        received_at: state.now,
        last_heard,
        status: MemberStatus::Alive,
        is_forgotten: false,
    };
    state.membership.members.insert(name.clone(), member);
    state.membership.toggle_digest(&name);
    state.membership.record_change(Some(name.clone()));
    state.membership.suspicions.swap_remove(&name);
    state.membership.rumours.insert(name);
    RecordOutcome::New
}
