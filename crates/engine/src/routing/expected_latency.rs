//! Selects the target that is expected to respond first.
//!
//! Targets of one service can differ in speed by a factor of several, so request counts do not tell
//! which one responds first; the time until a slot is free and the run time do. The load that other
//! nodes cause is known only as of the last report, so the owner node of the target checks the
//! selection: the offer carries the longest queue wait with which the target is still better than
//! the second-best one, and the owner node refuses at once if the wait would be longer.

use std::time::Duration;

use rand::seq::IndexedRandom;

use super::{SelectionRequest, TargetSelection, table};
use crate::{admission, bandwidth, health, reducer, routing, settings};

/// Run time in seconds to assume if none of the compared targets has a measured one.
const DEFAULT_RUN_TIME_S: f64 = 0.1;
/// Share of the run time that is added at full utilisation. Of two targets with free slots, the
/// less utilised one is more likely to still have one when the offer arrives.
const UTILISATION_PENALTY_SHARE: f64 = 0.3;
/// Penalty in seconds for a target in another region: one round trip between regions.
const REMOTE_REGION_PENALTY_S: f64 = 0.04;

const BYTES_PER_KILOBYTE: f64 = 1e3;

/// A compared target with its expected times in seconds.
struct ExpectedTarget {
    /// Place among the targets of the service.
    index: table::TargetIndex,
    /// Time until a slot is free.
    queue_wait_s: f64,
    /// Time until the response, including the wait for the link of the target's node and the
    /// penalties for utilisation and distance.
    latency_s: f64,
    /// Measured run time in seconds, if there is a recent one.
    run_time_s: Option<f64>,
}

/// Distances of the targets in this data centre and of all others.
const NEAR: &[table::TargetDistance] = &[table::TargetDistance::SameDataCentre];
const FAR: &[table::TargetDistance] = &[
    table::TargetDistance::SameRegion,
    table::TargetDistance::Remote,
];

/// Selects among the healthy and reachable targets; `None` if none was found.
pub(super) fn choose(
    state: &mut reducer::EngineState,
    request: &SelectionRequest,
) -> Option<TargetSelection> {
    let compared = state.settings.tunables.routing.compared as usize;
    let near = routing::sample(state, request, NEAR);
    let far = if request.spill {
        routing::sample(state, request, FAR)
    } else {
        Vec::new()
    };
    let own_index = own_target_index(state, request);
    let mut sampled = [near.as_slice(), &far].concat();
    sampled.extend(own_index.filter(|index| !near.contains(index)));
    let ejected = health::ejected_targets(state, request.service, &sampled);
    let now = state.now;
    let views = &state.routing.views;
    let targets = state.routing.table.of_service(request.service);
    let is_eligible = |index: &table::TargetIndex| {
        let target = targets.get(*index);
        target.is_reachable
            && !ejected.contains(index)
            && routing::is_open(state, request, target)
            && request.cohort.admits(target.cohort)
            && !request.attempted_targets.contains(&target.target)
            && views[&target.target].admits_call(now)
    };
    let own_index = own_index.filter(is_eligible);
    let [near, far] = [near, far].map(|mut indexes| {
        indexes.retain(is_eligible);
        indexes
    });
    let mut indexes = sample_by_capacity(state, request, &near, compared.div_ceil(2));
    indexes.extend(sample_by_capacity(state, request, &far, compared / 2));
    indexes.extend(own_index.filter(|index| !indexes.contains(index)));
    let offer_cost_s = state.routing.offer_cost.seconds();
    let mut expected = estimate(state, request, &indexes);
    expected.sort_by(|left, right| left.latency_s.total_cmp(&right.latency_s));
    let best = expected.first()?;
    let run_times = expected.iter().filter_map(|target| target.run_time_s);
    let shortest_run_time = run_times
        .min_by(f64::total_cmp)
        .map(Duration::from_secs_f64);
    let max_queue_wait = expected.get(1).map(|next| {
        let max_queue_wait_s = best.queue_wait_s + next.latency_s - best.latency_s;
        Duration::from_secs_f64(max_queue_wait_s.max(0.0) + offer_cost_s)
    });
    Some(TargetSelection {
        index: best.index,
        max_queue_wait,
        shortest_run_time,
    })
}

/// Returns the index of the target that this node owns.
fn own_target_index(
    state: &reducer::EngineState,
    request: &SelectionRequest,
) -> Option<table::TargetIndex> {
    let instance = &state.settings.identity.instance;
    let targets = state.routing.table.of_service(request.service);
    let mut own_targets = state.membership.targets.keys();
    own_targets.find_map(|target| targets.find(instance, target))
}

/// Samples `count` of these targets without replacement, weighted by capacity: slots divided by
/// run time.
fn sample_by_capacity(
    state: &mut reducer::EngineState,
    request: &SelectionRequest,
    indexes: &[table::TargetIndex],
    count: usize,
) -> Vec<table::TargetIndex> {
    let mean_run_time_s = mean_run_time_s(state, request, indexes);
    let targets = state.routing.table.of_service(request.service);
    let weight = |index: &table::TargetIndex| {
        let target = targets.get(*index);
        f64::from(target.slots.max(1))
            / measured_run_time_s(state, request, target).unwrap_or(mean_run_time_s)
    };
    let weights: Vec<(table::TargetIndex, f64)> = indexes
        .iter()
        .map(|index| (*index, weight(index)))
        .collect();
    // The weights are positive and finite, so sampling does not fail. If it did, no target would be
    // sampled, and the caller would fall back to any target.
    let sampled = weights.sample_weighted(&mut state.random, count, |(_, weight)| *weight);
    sampled.map_or_else(
        |_no_weight| Vec::new(),
        |sampled| sampled.map(|(index, _)| *index).collect(),
    )
}

/// Returns the last reported run time of the call's route at a target in seconds, if it is recent.
fn measured_run_time_s(
    state: &reducer::EngineState,
    request: &SelectionRequest,
    target: &table::ReadyTarget,
) -> Option<f64> {
    let half_life = settings::millis(state.settings.tunables.routing.load_half_life_ms);
    let view = &state.routing.views[&target.target];
    view.recent_run_time_s(request.route, state.now, half_life)
}

/// Returns the mean run time in seconds of those targets that have a measured one.
fn mean_run_time_s(
    state: &reducer::EngineState,
    request: &SelectionRequest,
    indexes: &[table::TargetIndex],
) -> f64 {
    let targets = state.routing.table.of_service(request.service);
    let compared = indexes.iter().map(|index| targets.get(*index));
    let measured: Vec<f64> = compared
        .filter_map(|target| measured_run_time_s(state, request, target))
        .collect();
    if measured.is_empty() {
        DEFAULT_RUN_TIME_S
    } else {
        measured.iter().sum::<f64>() / measured.len() as f64
    }
}

/// Estimates the expected times of these targets for the call.
fn estimate(
    state: &reducer::EngineState,
    request: &SelectionRequest,
    indexes: &[table::TargetIndex],
) -> Vec<ExpectedTarget> {
    let half_life = settings::millis(state.settings.tunables.routing.load_half_life_ms);
    let targets = state.routing.table.of_service(request.service);
    let service_load = state.routing.service_loads.of_service(request.service);
    let tunables = &state.settings.tunables.routing;
    let far_run_share = tunables.far_run_percent as f64 / settings::PERCENT;
    let transfer_kilobytes = state.routing.sizes.of_route(request.route) / BYTES_PER_KILOBYTE;
    let transfer_s = settings::millis(tunables.far_kilobyte_ms).as_secs_f64() * transfer_kilobytes;
    let mean_run_time_s = mean_run_time_s(state, request, indexes);
    let offer_cost_s = state.routing.offer_cost.seconds();
    let estimate_one = |index: &table::TargetIndex| {
        let target = targets.get(*index);
        let view = &state.routing.views[&target.target];
        let measured_s = measured_run_time_s(state, request, target);
        let run_time_s = measured_s.unwrap_or(mean_run_time_s);
        let slot_hold_s = view
            .recent_slot_hold_s(state.now, half_life)
            .unwrap_or(run_time_s);
        let slots = f64::from(view.usable_slots(target.slots));
        let is_own = target.instance == state.settings.identity.instance;
        // Both values include the call for which a target is selected.
        let in_flight = if is_own {
            1.0 + f64::from(admission::in_flight(state, &target.target))
        } else {
            f64::from(target.slots)
                * view.pressure(target.slots, service_load, state.now, half_life)
        };
        let queue_wait_s = (in_flight - slots).max(0.0) * slot_hold_s / slots.max(1.0);
        let distance_penalty_s = match target.distance {
            _ if is_own => 0.0,
            table::TargetDistance::SameDataCentre => offer_cost_s,
            table::TargetDistance::SameRegion => {
                offer_cost_s + transfer_s + far_run_share * run_time_s
            }
            table::TargetDistance::Remote => offer_cost_s + REMOTE_REGION_PENALTY_S,
        };
        let link_wait = bandwidth::link_wait(state, request.route, &target.target);
        let utilisation = (in_flight / slots.max(1.0)).min(1.0);
        ExpectedTarget {
            index: *index,
            queue_wait_s,
            run_time_s: measured_s,
            latency_s: queue_wait_s
                + run_time_s * (1.0 + UTILISATION_PENALTY_SHARE * utilisation)
                + distance_penalty_s
                + link_wait.as_secs_f64(),
        }
    };
    indexes.iter().map(estimate_one).collect()
}
