//! Targets by service, kept until membership or the catalogue changes.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use hazeltiller_wire::membership as wire;
use indexmap::IndexMap;

use crate::{reducer, routing};

/// How far a target's data centre is from this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetDistance {
    /// In the same data centre.
    SameCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region.
    Remote,
}

impl TargetDistance {
    /// Every distance, nearest first.
    pub const ALL: [Self; 3] = [Self::SameCentre, Self::SameRegion, Self::Remote];

    fn between(own: &wire::PeerIdentity, other: &wire::PeerIdentity) -> Self {
        if own.data_centre == other.data_centre {
            Self::SameCentre
        } else if own.region == other.region {
            Self::SameRegion
        } else {
            Self::Remote
        }
    }
}

/// A target that takes work, as its node publishes it.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadyTarget {
    /// Its name.
    pub target: ids::TargetName,
    /// The node that owns it.
    pub instance: ids::InstanceName,
    /// Peers address of that node.
    pub address: SocketAddr,
    /// How far it is.
    pub distance: TargetDistance,
    /// Whether its node answers.
    pub is_reachable: bool,
    /// Requests that it runs at once, by its announcement and its service's limit.
    pub slots: u32,
    /// Its life under its name.
    pub life: ids::IncarnationNumber,
}

/// Ready targets by service.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    /// What it was built from.
    source: Option<(u64, ids::StateDigest)>,
    by_service: IndexMap<ids::EntryName, Vec<ReadyTarget>>,
}

impl TargetTable {
    /// Ready targets of a service.
    pub fn of_service(&self, service: &ids::EntryName) -> &[ReadyTarget] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Slots of a service's ready targets over the fleet, cut off ones included.
    pub fn slots(&self, service: &ids::EntryName) -> u32 {
        let targets = self.of_service(service).iter();
        targets.map(|target| target.slots).sum()
    }
}

/// Brings the table up to date; cheap when nothing changed.
pub fn refresh(state: &mut reducer::EngineState) {
    let source = (
        state.membership.revision,
        state.dissemination.in_force.digest,
    );
    if state.routing.table.source == Some(source) {
        return;
    }
    let is_first = state.routing.table.source.is_none();
    let by_service = build(state);
    for target in by_service.values().flatten() {
        let view = state.routing.views.entry(target.target.clone());
        let first = || routing::TargetView::first_seen(state.now, is_first, target.life);
        view.or_insert_with(first)
            .begin_life(target.life, state.now);
    }
    // A target that was away and is ready again starts slowly again.
    let known: indexmap::IndexSet<&ids::TargetName> = by_service
        .values()
        .flatten()
        .map(|target| &target.target)
        .collect();
    state.routing.views.retain(|name, _| known.contains(name));
    state.routing.table = TargetTable {
        source: Some(source),
        by_service,
    };
}

fn build(state: &reducer::EngineState) -> IndexMap<ids::EntryName, Vec<ReadyTarget>> {
    let mut by_service: IndexMap<ids::EntryName, Vec<ReadyTarget>> = IndexMap::new();
    let own = &state.settings.identity;
    let catalogue = &state.dissemination.in_force;
    for member in state.membership.present() {
        let ready = member.targets.iter();
        for record in ready.filter(|record| record.state == wire::TargetState::Ready) {
            let limit = catalogue.service(&record.service);
            let slots = limit.map_or(record.slots, |service| {
                record.slots.min(service.limits.slots)
            });
            let target = ReadyTarget {
                target: record.name.clone(),
                instance: member.identity.instance.clone(),
                address: member.identity.address,
                distance: TargetDistance::between(own, &member.identity),
                is_reachable: member.identity.instance == own.instance
                    || state.membership.is_reachable(&member.identity.instance),
                slots,
                life: record.incarnation,
            };
            let of_service = by_service.entry(record.service.clone()).or_default();
            of_service.push(target);
        }
    }
    by_service
}
