//! Ready targets by service, rebuilt when membership or the catalogue changes.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use hazeltiller_wire::membership as wire;
use indexmap::IndexMap;

use crate::{reducer, rollout::cohort, routing};

/// Distance between this process and the data centre of a target.
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

/// A target that accepts work, as its node publishes it.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadyTarget {
    /// Name of the target.
    pub target: ids::TargetName,
    /// Node that owns the target.
    pub instance: ids::InstanceName,
    /// Peer address of the owner node.
    pub address: SocketAddr,
    /// Distance of the owner node's data centre.
    pub distance: TargetDistance,
    /// Whether the owner node is reachable.
    pub is_reachable: bool,
    /// Number of requests that the target runs at once: the smaller of its announced slots and the
    /// limit of its service.
    pub slots: u32,
    /// Incarnation of the target, which changes when it restarts.
    pub incarnation: ids::IncarnationNumber,
    /// Version of the target's software, if announced.
    pub version: Option<ids::SoftwareVersion>,
    /// Cohort of the target in a rollout of its service.
    pub cohort: cohort::TargetCohort,
}

/// Ready targets by service.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    /// Membership revision and catalogue digest that the table was built from.
    built_from: Option<(u64, ids::StateDigest)>,
    by_service: IndexMap<ids::EntryName, Vec<ReadyTarget>>,
    /// Largest share of calls that the trial of a new version can carry, by service.
    max_trial_shares: IndexMap<ids::EntryName, f64>,
}

impl TargetTable {
    /// Returns the largest share of a service's calls that the trial of its new version can carry.
    pub fn max_trial_share(&self, service: &ids::EntryName) -> f64 {
        self.max_trial_shares.get(service).copied().unwrap_or(0.0)
    }

    /// Returns the ready targets of a service.
    pub fn of_service(&self, service: &ids::EntryName) -> &[ReadyTarget] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of slots of a service's ready targets over the whole fleet, unreachable
    /// ones included. During a rollout only the version with more slots counts, since either the
    /// old or the new version carries the service.
    pub fn slots(&self, service: &ids::EntryName) -> u32 {
        let targets = self.of_service(service).iter();
        let sum_slots = |is_counted: fn(&&ReadyTarget) -> bool| -> u32 {
            targets
                .clone()
                .filter(is_counted)
                .map(|target| target.slots)
                .sum()
        };
        let old_slots = sum_slots(|target| target.cohort == cohort::TargetCohort::Present);
        let new_slots = sum_slots(|target| target.cohort != cohort::TargetCohort::Present);
        old_slots.max(new_slots)
    }
}

/// Rebuilds the table if membership or the catalogue has changed.
pub fn refresh(state: &mut reducer::EngineState) {
    let built_from = (
        state.membership.revision,
        state.dissemination.in_force.digest,
    );
    if state.routing.table.built_from == Some(built_from) {
        return;
    }
    let is_first_build = state.routing.table.built_from.is_none();
    let mut by_service = build(state);
    let max_trial_shares = assign_cohorts(state, &mut by_service);
    for target in by_service.values().flatten() {
        let view = state.routing.views.entry(target.target.clone());
        let new_view =
            || routing::TargetView::first_seen(state.now, is_first_build, target.incarnation);
        view.or_insert_with(new_view)
            .begin_incarnation(target.incarnation, state.now);
    }
    // Drops the views of targets that are no longer ready, so that they start slowly again when
    // they return.
    let ready_names: indexmap::IndexSet<&ids::TargetName> = by_service
        .values()
        .flatten()
        .map(|target| &target.target)
        .collect();
    state
        .routing
        .views
        .retain(|name, _| ready_names.contains(name));
    state.routing.table = TargetTable {
        built_from: Some(built_from),
        by_service,
        max_trial_shares,
    };
}

/// Returns the ready targets by service, not yet assigned to cohorts.
fn build(state: &reducer::EngineState) -> IndexMap<ids::EntryName, Vec<ReadyTarget>> {
    let mut by_service: IndexMap<ids::EntryName, Vec<ReadyTarget>> = IndexMap::new();
    let own_identity = &state.settings.identity;
    let catalogue = &state.dissemination.in_force;
    for member in state.membership.present() {
        let records = member.targets.iter();
        for record in records.filter(|record| record.state == wire::TargetState::Ready) {
            let service_entry = catalogue.service(&record.service);
            let slots = service_entry.map_or(record.slots, |service| {
                record.slots.min(service.limits.slots)
            });
            let target = ReadyTarget {
                target: record.name.clone(),
                instance: member.identity.instance.clone(),
                address: member.identity.address,
                distance: TargetDistance::between(own_identity, &member.identity),
                is_reachable: member.identity.instance == own_identity.instance
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

/// Assigns the targets of each service with a rollout to cohorts; returns the largest share of
/// calls that each trial can carry.
fn assign_cohorts(
    state: &reducer::EngineState,
    by_service: &mut IndexMap<ids::EntryName, Vec<ReadyTarget>>,
) -> IndexMap<ids::EntryName, f64> {
    let mut max_shares = IndexMap::new();
    for rollout in state.dissemination.in_force.rollouts() {
        if let Some(targets) = by_service.get_mut(&rollout.name) {
            max_shares.insert(rollout.name.clone(), cohort::assign(rollout, targets));
        }
    }
    max_shares
}
