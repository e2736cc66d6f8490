//! Ready targets by service, kept up to date with membership and the catalogue.
//!
//! A change of one member costs the targets of that member, whatever the size of the fleet. The
//! table is built anew only for a new catalogue version, or after more changes than are logged.

use std::net::SocketAddr;

use hazeltiller_units::ids;
use hazeltiller_wire::membership as wire;
use indexmap::{IndexMap, IndexSet};
use rand::seq;
use rand_chacha::ChaCha8Rng;

use crate::{reducer, rollout::cohort, routing};

/// Distance between this process and the data centre of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
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

/// Owner node and name of a target.
type TargetKey = (ids::InstanceName, ids::TargetName);

/// Place of a target among the ready targets of its service; valid until the table changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TargetIndex {
    distance: TargetDistance,
    position: usize,
}

/// Ready targets of one service, by distance.
#[derive(Debug, Clone, Default)]
pub struct ServiceTargets {
    by_distance: [IndexMap<TargetKey, ReadyTarget>; TargetDistance::ALL.len()],
}

impl ServiceTargets {
    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.by_distance.iter().map(IndexMap::len).sum()
    }

    /// Returns whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns all targets, the nearest first.
    pub fn iter(&self) -> impl Iterator<Item = (TargetIndex, &ReadyTarget)> {
        TargetDistance::ALL
            .into_iter()
            .flat_map(|distance| self.at_distance(distance))
    }

    /// Returns the targets at a distance.
    pub fn at_distance(
        &self,
        distance: TargetDistance,
    ) -> impl Iterator<Item = (TargetIndex, &ReadyTarget)> {
        let targets = self.by_distance[distance as usize].values().enumerate();
        targets.map(move |(position, target)| (TargetIndex { distance, position }, target))
    }

    /// Returns the target with an index.
    pub fn get(&self, index: TargetIndex) -> &ReadyTarget {
        &self.by_distance[index.distance as usize][index.position]
    }

    /// Returns the index of a target by its owner node and name.
    pub fn find(
        &self,
        instance: &ids::InstanceName,
        target: &ids::TargetName,
    ) -> Option<TargetIndex> {
        let key = (instance.clone(), target.clone());
        TargetDistance::ALL.into_iter().find_map(|distance| {
            let position = self.by_distance[distance as usize].get_index_of(&key)?;
            Some(TargetIndex { distance, position })
        })
    }

    /// Returns a random sample of the targets at some distances, without replacement, or all of
    /// them in order if there are no more than `count`. Takes time in proportion to `count`.
    pub fn sample(
        &self,
        distances: &[TargetDistance],
        count: usize,
        random: &mut ChaCha8Rng,
    ) -> Vec<TargetIndex> {
        let group = |distance: TargetDistance| &self.by_distance[distance as usize];
        let total: usize = distances
            .iter()
            .map(|distance| group(*distance).len())
            .sum();
        let index = |mut position: usize| {
            for &distance in distances {
                let length = group(distance).len();
                if position < length {
                    return TargetIndex { distance, position };
                }
                position -= length;
            }
            unreachable!("positions are below the total");
        };
        if total <= count {
            return (0..total).map(index).collect();
        }
        let sampled = seq::index::sample(random, total, count);
        sampled.into_iter().map(index).collect()
    }

    fn insert(&mut self, target: ReadyTarget) {
        let key = (target.instance.clone(), target.target.clone());
        self.by_distance[target.distance as usize].insert(key, target);
    }
}

/// Ready targets by service.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    /// Membership revision and catalogue digest that the table was built from.
    built_from: Option<(u64, ids::StateDigest)>,
    by_service: IndexMap<ids::EntryName, ServiceTargets>,
    /// Services and names of the ready targets of each node.
    by_instance: IndexMap<ids::InstanceName, Vec<(ids::EntryName, ids::TargetName)>>,
    /// Number of nodes at which each target is ready.
    ready_counts: IndexMap<ids::TargetName, u32>,
    /// Largest share of calls that the trial of a new version can carry, by service.
    max_trial_shares: IndexMap<ids::EntryName, f64>,
    /// Targets of a service that has none.
    no_targets: ServiceTargets,
    /// Number of targets that were put into the table or removed since the process started.
    pub update_count: u64,
}

impl TargetTable {
    /// Returns the largest share of a service's calls that the trial of its new version can carry.
    pub fn max_trial_share(&self, service: &ids::EntryName) -> f64 {
        self.max_trial_shares.get(service).copied().unwrap_or(0.0)
    }

    /// Returns the ready targets of a service.
    pub fn of_service(&self, service: &ids::EntryName) -> &ServiceTargets {
        self.by_service.get(service).unwrap_or(&self.no_targets)
    }

    /// Returns the number of slots of a service's ready targets over the whole fleet, unreachable
    /// ones included. During a rollout only the version with more slots counts, since either the
    /// old or the new version carries the service.
    pub fn slots(&self, service: &ids::EntryName) -> u32 {
        let (mut old_slots, mut new_slots) = (0, 0);
        for (_, target) in self.of_service(service).iter() {
            if target.cohort == cohort::TargetCohort::Present {
                old_slots += target.slots;
            } else {
                new_slots += target.slots;
            }
        }
        old_slots.max(new_slots)
    }

    fn insert(&mut self, service: &ids::EntryName, target: ReadyTarget) {
        let of_instance = self.by_instance.entry(target.instance.clone());
        let listed = (service.clone(), target.target.clone());
        of_instance.or_default().push(listed);
        *self.ready_counts.entry(target.target.clone()).or_default() += 1;
        self.update_count += 1;
        let of_service = self.by_service.entry(service.clone()).or_default();
        of_service.insert(target);
    }

    /// Removes the targets of a node. Returns their services and names.
    fn remove_instance(
        &mut self,
        instance: &ids::InstanceName,
    ) -> Vec<(ids::EntryName, ids::TargetName)> {
        let removed = self.by_instance.swap_remove(instance).unwrap_or_default();
        for (service, target) in &removed {
            let key = (instance.clone(), target.clone());
            if let Some(targets) = self.by_service.get_mut(service) {
                for group in &mut targets.by_distance {
                    group.swap_remove(&key);
                }
            }
            if let Some(count) = self.ready_counts.get_mut(target) {
                *count -= 1;
            }
            self.update_count += 1;
        }
        removed
    }
}

/// Brings the table up to date if membership or the catalogue has changed.
pub fn refresh(state: &mut reducer::EngineState) {
    let digest = state.dissemination.in_force.digest;
    let built_from = (state.membership.revision, digest);
    let last = state.routing.table.built_from;
    if last == Some(built_from) {
        return;
    }
    let changes = last
        .filter(|(_, last_digest)| *last_digest == digest)
        .and_then(|(revision, _)| state.membership.changes_since(revision));
    match changes {
        Some(members) => update_members(state, &members),
        None => rebuild(state, last.is_none()),
    }
    state.routing.table.built_from = Some(built_from);
}

/// Replaces the targets of some members.
fn update_members(state: &mut reducer::EngineState, members: &IndexSet<ids::InstanceName>) {
    let mut touched_services = IndexSet::new();
    let mut removed_targets = Vec::new();
    for instance in members {
        for (service, target) in state.routing.table.remove_instance(instance) {
            touched_services.insert(service);
            removed_targets.push(target);
        }
        let record = state.membership.record(instance);
        let Some(record) = record.filter(|_| state.membership.is_present(instance)) else {
            continue;
        };
        for (service, target) in ready_targets(state, record) {
            note_ready(state, &target, false);
            state.routing.table.insert(&service, target);
            touched_services.insert(service);
        }
    }
    drop_views(state, removed_targets);
    let with_rollout: Vec<ids::EntryName> = touched_services
        .into_iter()
        .filter(|service| state.dissemination.in_force.rollout(service).is_some())
        .collect();
    for service in with_rollout {
        assign_cohorts(state, &service);
    }
}

/// Builds the table anew.
fn rebuild(state: &mut reducer::EngineState, is_first_build: bool) {
    let update_count = state.routing.table.update_count;
    let former = std::mem::take(&mut state.routing.table);
    state.routing.table.update_count = update_count;
    let records = state.membership.present();
    let targets: Vec<(ids::EntryName, ReadyTarget)> = records
        .flat_map(|record| ready_targets(state, record))
        .collect();
    for (service, target) in targets {
        note_ready(state, &target, is_first_build);
        state.routing.table.insert(&service, target);
    }
    drop_views(state, former.ready_counts.into_keys().collect());
    let rollouts = state.dissemination.in_force.rollouts();
    let services: Vec<ids::EntryName> = rollouts.map(|rollout| rollout.name.clone()).collect();
    for service in services {
        assign_cohorts(state, &service);
    }
}

/// Returns the ready targets of a member with their services, not yet assigned to cohorts.
fn ready_targets(
    state: &reducer::EngineState,
    record: &wire::MemberRecord,
) -> Vec<(ids::EntryName, ReadyTarget)> {
    let own_identity = &state.settings.identity;
    let identity = &record.identity;
    let ready = record.targets.iter();
    let ready = ready.filter(|target| target.state == wire::TargetState::Ready);
    let is_reachable = state.membership.is_reachable(&identity.instance);
    ready
        .map(|target| {
            let service_entry = state.dissemination.in_force.service(&target.service);
            let ready_target = ReadyTarget {
                target: target.name.clone(),
                instance: identity.instance.clone(),
                address: identity.address,
                distance: TargetDistance::between(own_identity, identity),
                is_reachable,
                slots: service_entry.map_or(target.slots, |service| {
                    target.slots.min(service.limits.slots)
                }),
                incarnation: target.incarnation,
                version: target.version.clone(),
                cohort: cohort::TargetCohort::Present,
            };
            (target.service.clone(), ready_target)
        })
        .collect()
}

/// Opens the view of a ready target, or resets it if the target has restarted.
fn note_ready(state: &mut reducer::EngineState, target: &ReadyTarget, was_ready_before: bool) {
    let now = state.now;
    let view = state.routing.views.entry(target.target.clone());
    let new_view = || routing::TargetView::first_seen(now, was_ready_before, target.incarnation);
    view.or_insert_with(new_view)
        .begin_incarnation(target.incarnation, now);
}

/// Drops the views of those targets that are no longer ready, so that they start slowly again when
/// they return.
fn drop_views(state: &mut reducer::EngineState, targets: Vec<ids::TargetName>) {
    let routing = &mut state.routing;
    for target in targets {
        let count = routing.table.ready_counts.get(&target).copied();
        if count.unwrap_or(0) == 0 {
            routing.table.ready_counts.swap_remove(&target);
            routing.views.swap_remove(&target);
        }
    }
}

/// Assigns the targets of a service to the cohorts of its rollout, and leaves out those that must
/// not be used. Looks at all targets of the service, since the canaries are selected among them.
fn assign_cohorts(state: &mut reducer::EngineState, service: &ids::EntryName) {
    let Some(rollout) = state.dissemination.in_force.rollout(service) else {
        return;
    };
    let records = state.membership.present();
    let mut targets: Vec<ReadyTarget> = records
        .flat_map(|record| ready_targets(state, record))
        .filter(|(of_service, _)| of_service == service)
        .map(|(_, target)| target)
        .collect();
    let known: Vec<ids::TargetName> = targets.iter().map(|target| target.target.clone()).collect();
    let max_share = cohort::assign(rollout, &mut targets);
    let is_used: IndexSet<ids::TargetName> =
        targets.iter().map(|target| target.target.clone()).collect();
    for target in &targets {
        note_ready(state, target, false);
    }
    let table = &mut state.routing.table;
    table.max_trial_shares.insert(service.clone(), max_share);
    let mut of_service = ServiceTargets::default();
    for target in targets {
        of_service.insert(target);
    }
    table.by_service.insert(service.clone(), of_service);
    for target in known.iter().filter(|target| !is_used.contains(*target)) {
        state.routing.views.swap_remove(target);
    }
}
