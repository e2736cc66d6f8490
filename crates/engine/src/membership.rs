//! Who is in the fleet, and which targets each node owns.
//!
//! No quorum is asked: each node writes its own record only, and copies of it travel by gossip, so
//! a data centre that is cut off goes on with its own part. What one node sends in rest does not
//! grow with the fleet: a fixed number of partners, a bounded message to each.

pub mod gossip;
pub mod own;
pub mod partners;
pub mod reach;
pub mod sync;
pub mod table;

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::membership as wire;
use indexmap::{IndexMap, IndexSet};

use crate::{event, reducer, settings};

/// A target's own announcement, its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// What it says of itself.
    pub record: wire::TargetRecord,
    /// Time after which it is withdrawn unless it announces itself again.
    pub lease: Duration,
    /// Number of the announcement where its target counts them: one that is not above the last
    /// taken was held up on the way.
    pub sequence: Option<u64>,
    /// Time until the target has its full speed, where it tells.
    pub warm_up_left: Duration,
}

/// Events of membership.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    /// A target announced itself at this node.
    Announced(TargetAnnouncement),
    /// A target left.
    Withdrawn(ids::TargetName),
    /// Another target answered at a target's address.
    WrongTarget(ids::TargetName),
    /// The settings name other controls.
    ControlsChanged(Vec<SocketAddr>),
    /// This process stops: say so.
    Leave,
}

/// Effects of membership.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEffect {
    /// A target is withdrawn: close what is open to it.
    Withdraw(ids::TargetName),
}

/// A target that announced itself here.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnTarget {
    /// What it says of itself.
    pub record: wire::TargetRecord,
    /// When its lease lapses.
    pub lapses: time::MonotonicTime,
    /// Number of its latest announcement, where it counts them.
    pub sequence: Option<u64>,
    /// When it has its full speed.
    pub warm_at: time::MonotonicTime,
}

/// State of membership.
#[derive(Debug, Clone)]
pub struct MembershipState {
    /// This process's own record.
    pub own: wire::MemberRecord,
    /// Own targets by name.
    pub targets: IndexMap<ids::TargetName, OwnTarget>,
    /// Own targets that left or gave way to another one at their address.
    departed: IndexMap<ids::TargetName, own::DepartedTarget>,
    /// Every other member by name, those that left or were forgotten included.
    pub members: IndexMap<ids::InstanceName, table::KnownMember>,
    /// Grows whenever a member, a target or what is known of its reach changes; choices made from
    /// membership are kept until then.
    pub revision: u64,
    /// Data centres that nothing has come from for too long.
    silent: IndexSet<ids::DataCentreName>,
    /// Digests of the table's buckets.
    buckets: Vec<wire::ShortDigest>,
    /// When each data centre was last heard from, directly or through others.
    centres: IndexMap<u32, time::MonotonicTime>,
    /// Members whose records go out with the next rumour.
    rumours: IndexSet<ids::InstanceName>,
    /// Suspicions that go out with the next rumour.
    suspicions: IndexMap<ids::InstanceName, wire::MemberSuspicion>,
    partners: partners::PartnerSet,
    sync: sync::SyncState,
    timers: gossip::GossipTimers,
}

impl MembershipState {
    /// The state of a process that knows only itself.
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
            departed: IndexMap::new(),
            members: IndexMap::new(),
            revision: 0,
            silent: IndexSet::new(),
            buckets: vec![wire::ShortDigest::default(); table::BUCKETS],
            centres: IndexMap::new(),
            rumours: IndexSet::new(),
            suspicions: IndexMap::new(),
            partners: partners::PartnerSet::default(),
            sync: sync::SyncState::default(),
            timers: gossip::GossipTimers::default(),
        };
        state.toggle_own();
        state.rumours.insert(settings.identity.instance.clone());
        state
    }

    /// Members, this process included, that are not known to have left; some may be unreachable.
    pub fn present(&self) -> impl Iterator<Item = &wire::MemberRecord> {
        let others = self.others().map(|member| &member.record);
        std::iter::once(&self.own)
            .filter(|record| !record.has_left)
            .chain(others)
    }

    /// Whether a member answers as far as is known here; one that does not may still run.
    pub fn is_reachable(&self, instance: &ids::InstanceName) -> bool {
        self.reachability(instance) != reach::Reachability::Unreachable
    }

    /// Peers addresses of the other controls that are not known to have left.
    pub fn controls(&self) -> impl Iterator<Item = SocketAddr> {
        let identities = self.others().map(|member| &member.record.identity);
        identities
            .filter(|identity| identity.is_control)
            .map(|identity| identity.address)
    }

    /// The member at a peers address, this process included.
    pub fn member_at(&self, address: SocketAddr) -> Option<&wire::PeerIdentity> {
        let mut identities = self.present().map(|record| &record.identity);
        identities.find(|identity| identity.address == address)
    }

    /// Other members that are not known to have left.
    pub fn others(&self) -> impl Iterator<Item = &table::KnownMember> {
        self.members.values().filter(|member| member.is_present())
    }
}

/// Notes that a peer is alive.
pub fn record_contact(state: &mut reducer::EngineState, from: &wire::PeerIdentity) {
    reach::heard(state, from);
}

/// Notes that a link broke. Silence is judged by the clock, so that one broken link ejects nobody.
pub fn link_lost(_state: &mut reducer::EngineState, _address: SocketAddr) {}

/// Takes the passing of time.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    own::withdraw_lapsed(state, output);
    reach::tick(state);
    gossip::tick(state, output);
}

/// Takes a message of another member.
pub fn receive(
    state: &mut reducer::EngineState,
    from: &wire::PeerIdentity,
    message: wire::MembershipMessage,
    output: &mut event::ReducerOutput,
) {
    match message {
        wire::MembershipMessage::Probe(gossip) => {
            gossip::take(state, from, gossip, output);
            gossip::answer(state, from.address, output);
        }
        wire::MembershipMessage::Alive(gossip) | wire::MembershipMessage::Rumour(gossip) => {
            gossip::take(state, from, gossip, output);
        }
        wire::MembershipMessage::Join(record) => gossip::introduce(state, record, output),
        wire::MembershipMessage::Introduction(addresses) => {
            gossip::take_introduction(state, addresses, output);
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
            sync::take_records(state, from.address, records, output);
        }
    }
}

/// Takes an event of this node's targets.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: MembershipEvent,
    output: &mut event::ReducerOutput,
) {
    match event {
        MembershipEvent::Announced(announcement) => own::announce(state, announcement, output),
        MembershipEvent::Withdrawn(name) => own::depart(state, &name, output),
        MembershipEvent::WrongTarget(name) => own::misplace(state, &name, output),
        MembershipEvent::ControlsChanged(control) => state.settings.control = control,
        MembershipEvent::Leave => own::leave(state, output),
    }
}
