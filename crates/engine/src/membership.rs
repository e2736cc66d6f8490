//! Fleet membership, and the targets that each node owns.
//!
//! Membership needs no quorum: each node is the only author of its record, and copies of the record
//! spread by gossip, so a partitioned data centre keeps working with the members on its side. The
//! idle traffic of a node does not grow with the fleet: it has a fixed number of gossip partners
//! and sends bounded messages.

mod changes;
pub mod gossip;
pub mod own;
pub mod partners;
pub mod reach;
pub mod sync;
pub mod table;
pub mod withdrawals;

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::membership as wire;
use indexmap::{IndexMap, IndexSet};

use crate::{event, reducer, settings};

/// A target's announcement, which also serves as its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// The target's description of itself.
    pub record: wire::TargetRecord,
    /// Time after which the target is withdrawn unless it announces itself again.
    pub lease: Duration,
    /// Sequence number of the announcement, if the target numbers them. An announcement whose
    /// number is not above the last accepted one was delayed and is ignored.
    pub sequence: Option<u64>,
    /// Remaining warm-up time, if the target reports it; zero otherwise.
    pub warm_up_left: Duration,
}

/// Input events of membership.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    /// A target announced itself at this node.
    Announced(TargetAnnouncement),
    /// A target deregistered.
    Withdrawn(ids::TargetName),
    /// A request to a target was answered by another one at the same address.
    WrongTarget(ids::TargetName),
    /// The settings were reloaded and name other controls.
    ControlsChanged(Vec<SocketAddr>),
    /// The batch of notices with this number is on disk.
    NoticesPersisted {
        /// Number of the batch.
        batch: u64,
    },
    /// A write of notices failed.
    NoticesFailed,
    /// This process is stopping and announces that it leaves.
    Leave,
}

/// Effects of membership, to be run by the caller of the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEffect {
    /// A target was withdrawn: connections to it must be closed.
    Withdraw(ids::TargetName),
    /// A majority of the controls holds the notice that a target leaves, so that this may be
    /// acknowledged to the target.
    WithdrawalSettled(ids::TargetName),
    /// Writes the notices of leaving targets that this process holds, then reports
    /// [`MembershipEvent::NoticesPersisted`] or [`MembershipEvent::NoticesFailed`].
    PersistNotices(withdrawals::NoticeBatch),
}

/// A target registered at this node.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnTarget {
    /// The target's latest description of itself.
    pub record: wire::TargetRecord,
    /// When the lease expires.
    pub lease_expires_at: time::MonotonicTime,
    /// Sequence number of the latest announcement, if the target numbers them.
    pub sequence: Option<u64>,
    /// When the target is fully warmed up.
    pub warm_at: time::MonotonicTime,
}

/// State of membership on one process.
#[derive(Debug, Clone)]
pub struct MembershipState {
    /// This process's own record.
    pub own: wire::MemberRecord,
    /// Targets registered at this node, by name.
    pub targets: IndexMap<ids::TargetName, OwnTarget>,
    /// Targets that deregistered, or were displaced by another one at their address. Delayed
    /// announcements of these are ignored.
    removed: IndexMap<ids::TargetName, own::RemovedTarget>,
    /// Notices of leaving targets, this node's and those held for others.
    pub withdrawals: withdrawals::WithdrawalState,
    /// Every other member by name, including those that left or were forgotten.
    pub members: IndexMap<ids::InstanceName, table::KnownMember>,
    /// Increases whenever a member, a target or a member's reachability changes. Routing tables
    /// derived from membership stay valid until then.
    pub revision: u64,
    /// Members that changed with the latest revisions.
    changes: changes::ChangeLog,
    /// Number of nodes that have neither left nor been forgotten, this process included, as of the
    /// last scan of the table.
    pub node_count: usize,
    /// Data centres not heard from for longer than the limit.
    silent_centres: IndexSet<ids::DataCentreName>,
    /// Digest of each bucket of the member table.
    buckets: Vec<wire::ShortDigest>,
    /// When each data centre was last heard from, directly or through others, by digest of its
    /// name.
    centre_contacts: IndexMap<u32, time::MonotonicTime>,
    /// Members whose records are sent with the next rumour.
    rumours: IndexSet<ids::InstanceName>,
    /// Suspicions that are sent with the next rumour, by suspected member.
    suspicions: IndexMap<ids::InstanceName, wire::MemberSuspicion>,
    partners: partners::PartnerSet,
    sync: sync::SyncState,
    timers: gossip::GossipTimers,
}

impl MembershipState {
    /// Creates the state of a process that knows no other member.
    pub fn new(settings: &settings::EngineSettings) -> Self {
        let own = wire::MemberRecord {
            identity: settings.identity.clone(),
            sequence: 1,
            has_left: false,
            targets: Vec::new(),
        };
        let mut state = Self {
            own,
            targets: IndexMap::new(),
            removed: IndexMap::new(),
            withdrawals: withdrawals::WithdrawalState::default(),
            members: IndexMap::new(),
            revision: 0,
            changes: changes::ChangeLog::default(),
            node_count: 0,
            silent_centres: IndexSet::new(),
            buckets: vec![wire::ShortDigest::default(); table::BUCKET_COUNT],
            centre_contacts: IndexMap::new(),
            rumours: IndexSet::new(),
            suspicions: IndexMap::new(),
            partners: partners::PartnerSet::default(),
            sync: sync::SyncState::default(),
            timers: gossip::GossipTimers::default(),
        };
        state.toggle_own_digest();
        state.rumours.insert(settings.identity.instance.clone());
        state
    }

    /// Returns the records of the members, including this process, that have neither left nor been
    /// forgotten. Some may be unreachable.
    pub fn present(&self) -> impl Iterator<Item = &wire::MemberRecord> {
        let others = self.others().map(|member| &member.record);
        std::iter::once(&self.own)
            .filter(|record| !record.has_left)
            .chain(others)
    }

    /// Returns whether a member, which may be this process, has neither left nor been forgotten.
    pub fn is_present(&self, instance: &ids::InstanceName) -> bool {
        if *instance == self.own.identity.instance {
            return !self.own.has_left;
        }
        let member = self.members.get(instance);
        member.is_some_and(table::KnownMember::is_present)
    }

    /// Returns whether a member is not considered unreachable. A member that is unreachable from
    /// here may still be running.
    pub fn is_reachable(&self, instance: &ids::InstanceName) -> bool {
        self.reachability(instance) != reach::Reachability::Unreachable
    }

    /// Returns the peer addresses of the other controls that have neither left nor been forgotten.
    pub fn controls(&self) -> impl Iterator<Item = SocketAddr> {
        let identities = self.others().map(|member| &member.record.identity);
        identities
            .filter(|identity| identity.is_control)
            .map(|identity| identity.address)
    }

    /// Returns the member with a peer address, which may be this process.
    pub fn member_at(&self, address: SocketAddr) -> Option<&wire::PeerIdentity> {
        let mut identities = self.present().map(|record| &record.identity);
        identities.find(|identity| identity.address == address)
    }

    /// Returns the peer addresses of the gossip partners.
    pub fn partner_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.partners.partners.values().copied()
    }

    /// Returns the other members that have neither left nor been forgotten.
    pub fn others(&self) -> impl Iterator<Item = &table::KnownMember> {
        self.members.values().filter(|member| member.is_present())
    }
}

/// Records that a peer is alive.
pub fn record_contact(state: &mut reducer::EngineState, from: &wire::PeerIdentity) {
    reach::record_contact(state, from);
}

/// Handles the loss of a link. Members are judged by their silence over time only, so that one
/// broken link does not make a member unreachable.
pub fn link_lost(_state: &mut reducer::EngineState, _address: SocketAddr) {}

/// Advances timers.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    own::withdraw_expired(state, output);
    withdrawals::tick(state, output);
    reach::tick(state);
    gossip::tick(state, output);
}

/// Handles a message from another member.
pub fn receive(
    state: &mut reducer::EngineState,
    from: &wire::PeerIdentity,
    message: wire::MembershipMessage,
    output: &mut event::ReducerOutput,
) {
    match message {
        wire::MembershipMessage::Probe(gossip) => {
            gossip::handle_gossip(state, from, gossip, output);
            gossip::answer_probe(state, from.address, output);
        }
        wire::MembershipMessage::Alive(gossip) | wire::MembershipMessage::Rumour(gossip) => {
            gossip::handle_gossip(state, from, gossip, output);
        }
        wire::MembershipMessage::Join(record) => gossip::answer_join(state, record, output),
        wire::MembershipMessage::Introduction(addresses) => {
            gossip::handle_introduction(state, addresses, output);
        }
        wire::MembershipMessage::Buckets(buckets) => {
            sync::compare_buckets(state, from.address, &buckets, output);
        }
        wire::MembershipMessage::Versions(page) => {
            sync::compare_versions(state, from.address, page, output);
        }
        wire::MembershipMessage::Wanted(members) => {
            sync::send_records(state, from.address, &members, output);
        }
        wire::MembershipMessage::Records(records) => {
            sync::handle_records(state, from.address, records, output);
        }
        wire::MembershipMessage::Entrust(notice) => withdrawals::hold(state, from, notice, output),
        wire::MembershipMessage::Entrusted(receipt) => {
            withdrawals::record_holder(state, from, receipt, output);
        }
        wire::MembershipMessage::Returned(notice) => {
            withdrawals::take_back(state, from, notice, output);
        }
    }
}

/// Handles an input event.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: MembershipEvent,
    output: &mut event::ReducerOutput,
) {
    match event {
        MembershipEvent::Announced(announcement) => own::announce(state, announcement, output),
        MembershipEvent::Withdrawn(name) => own::deregister(state, &name, output),
        MembershipEvent::WrongTarget(name) => own::withdraw_wrong_target(state, &name, output),
        MembershipEvent::ControlsChanged(controls) => state.settings.control = controls,
        MembershipEvent::NoticesPersisted { batch } => {
            withdrawals::finish_write(state, Some(batch), output);
        }
        MembershipEvent::NoticesFailed => withdrawals::finish_write(state, None, output),
        MembershipEvent::Leave => own::leave(state, output),
    }
}
