//! Targets by service, kept until membership or the catalogue changes.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use hazeltiller_wire::membership as wire;
use indexmap::IndexMap;

use crate::{reducer, rollout::cohort, routing};

/// How far a target's data centre is from this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetDistance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region.
    Remote,
}

impl TargetDistance {
    /// Every distance, nearest first.
    pub const ALL: [Self; 3] = [Self::SameDataCentre, Self::SameRegion, Self::Remote];

    fn between(own: &wire::PeerIdentity, other: &wire::PeerIdentity) -> Self {
        if own.data_centre == other.data_centre {
            Self::SameDataCentre
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
    pub incarnation: ids::IncarnationNumber,
    /// Version of its software, where it tells.
    pub version: Option<ids::SoftwareVersion>,
    /// Its part in a roll-out of its service.
    pub cohort: cohort::TargetCohort,
}

/// Ready targets by service.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    /// What it was built from.
    source: Option<(u64, ids::StateDigest)>,
    by_service: IndexMap<ids::EntryName, Vec<ReadyTarget>>,
    /// Largest share of calls that the trial of a new version can carry, by service.
    trial_shares: IndexMap<ids::EntryName, f64>,
}

impl TargetTable {
    /// Largest share of a service's calls that the trial of its new version can carry.
    pub fn max_trial_share(&self, service: &ids::EntryName) -> f64 {
        self.trial_shares.get(service).copied().unwrap_or(0.0)
    }

    /// Ready targets of a service.
    pub fn of_service(&self, service: &ids::EntryName) -> &[ReadyTarget] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Slots of a service's ready targets over the fleet, cut off ones included; of a roll-out under
    /// way, those of the cohort that carries the service.
    pub fn slots(&self, service: &ids::EntryName) -> u32 {
        let targets = self.of_service(service).iter();
        let slots_of = |wanted: fn(&&ReadyTarget) -> bool| -> u32 {
            targets
                .clone()
                .filter(wanted)
                .map(|target| target.slots)
                .sum()
        };
        let present = slots_of(|target| target.cohort == cohort::TargetCohort::Present);
        let coming = slots_of(|target| target.cohort != cohort::TargetCohort::Present);
        present.max(coming)
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
    let mut by_service = build(state);
    let trial_shares = assign_cohorts(state, &mut by_service);
    for target in by_service.values().flatten() {
        let view = state.routing.views.entry(target.target.clone());
        let first = || routing::TargetView::first_seen(state.now, is_first, target.incarnation);
        view.or_insert_with(first)
            .begin_life(target.incarnation, state.now);
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
        trial_shares,
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
                incarnation: record.incarnation,
                version: record.version.clone(),
                cohort: cohort::TargetCohort::Present,
            };
            let of_service = by_service.entry(record.service.clone()).or_default();
            of_service.push(target);
        }
    }
    by_service
}

/// Sets the part of each target in its service's roll-out; returns the shares that trials can carry.
fn assign_cohorts(
    state: &reducer::EngineState,
    by_service: &mut IndexMap<ids::EntryName, Vec<ReadyTarget>>,
) -> IndexMap<ids::EntryName, f64> {
    let mut shares = IndexMap::new();
    for rollout in state.dissemination.in_force.rollouts() {
        if let Some(targets) = by_service.get_mut(&rollout.name) {
            shares.insert(rollout.name.clone(), cohort::assign(rollout, targets));
        }
    }
    shares
}
