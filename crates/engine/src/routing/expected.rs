//! The target that is expected to answer first.
//!
//! Targets of one service differ several times over in speed, so counts of requests do not tell
//! which one answers first: the time to a free slot and the time of a run do. What other nodes have
//! sent is known only as of the last report, so the choice is checked by the target's own node: the
//! offer says how long a wait is still better than the next best target, and comes back at once
//! where it would be longer.

use std::time::Duration;

use rand::seq::IndexedRandom;

use super::{SelectionRequest, TargetChoice, table};
use crate::{admission, health, reducer, settings};

/// Time of a run in seconds where none of the targets compared has shown one yet.
const UNKNOWN_RUN_S: f64 = 0.1;
/// Part of a run's time that a target's use adds to it: of two that have room, the one with more of it
/// is as likely to still have it when the offer comes.
const USE_SHARE: f64 = 0.3;
/// What another region counts for, in seconds: a round trip between regions.
const REMOTE_S: f64 = 0.04;

const BYTES_PER_KILOBYTE: f64 = 1e3;

struct ExpectedTarget {
    place: usize,
    wait_s: f64,
    total_s: f64,
    /// Time of a run, where the target has shown one.
    run_s: Option<f64>,
}

/// Chooses among targets that are healthy and reachable.
pub(super) fn choose(
    state: &mut reducer::EngineState,
    request: &SelectionRequest,
) -> Option<TargetChoice> {
    let compared = state.settings.tunables.routing.compared as usize;
    let ejected = health::ejected_targets(state, request.service, request.spill);
    let now = state.now;
    let views = &state.routing.views;
    let targets = state.routing.table.of_service(request.service);
    let is_eligible = |(place, target): &(usize, &table::ReadyTarget)| {
        target.is_reachable
            && (request.spill || target.distance == table::TargetDistance::SameDataCentre)
            && !ejected.contains(place)
            && request.cohort.admits(target.cohort)
            && !request.tried.contains(&target.target)
            && views[&target.target].has_room(now)
    };
    let eligible = targets.iter().enumerate().filter(is_eligible);
    let (near, far): (Vec<usize>, Vec<usize>) = eligible
        .map(|(place, _)| place)
        .partition(|place| targets[*place].distance == table::TargetDistance::SameDataCentre);
    let mut places = draw(state, request, &near, compared.div_ceil(2));
    places.extend(draw(state, request, &far, compared / 2));
    let own = own_place(state, request).filter(|place| near.contains(place));
    places.extend(own.filter(|place| !places.contains(place)));
    let offer_s = state.routing.offer_cost.seconds();
    let mut expected = weigh(state, request, &places);
    expected.sort_by(|one, other| one.total_s.total_cmp(&other.total_s));
    let best = expected.first()?;
    let runs = expected.iter().filter_map(|target| target.run_s);
    let shortest_run_time = runs.min_by(f64::total_cmp).map(Duration::from_secs_f64);
    let patience = expected.get(1).map(|next| {
        let better_until = best.wait_s + next.total_s - best.total_s;
        Duration::from_secs_f64(better_until.max(0.0) + offer_s)
    });
    Some(TargetChoice {
        place: best.place,
        patience,
        shortest_run_time,
    })
}

/// The place of this node's own target.
fn own_place(state: &reducer::EngineState, request: &SelectionRequest) -> Option<usize> {
    let own = &state.settings.identity.instance;
    let targets = state.routing.table.of_service(request.service);
    targets.iter().position(|target| target.instance == *own)
}

/// Draws some of these places, each as likely as its target is able to take calls: by its slots, and
/// by how fast it is.
fn draw(
    state: &mut reducer::EngineState,
    request: &SelectionRequest,
    places: &[usize],
    amount: usize,
) -> Vec<usize> {
    let typical = typical_run(state, request, places);
    let targets = state.routing.table.of_service(request.service);
    let weight = |place: &usize| {
        let target = &targets[*place];
        f64::from(target.slots.max(1)) / run_time(state, request, target).unwrap_or(typical)
    };
    let weights: Vec<(usize, f64)> = places.iter().map(|place| (*place, weight(place))).collect();
    // Weights are positive and finite, so that this does not fail; without it any target may do.
    let drawn = weights.sample_weighted(&mut state.random, amount, |(_, weight)| *weight);
    drawn.map_or_else(
        |_no_weight| Vec::new(),
        |drawn| drawn.map(|(place, _)| *place).collect(),
    )
}

/// Measured time of a run of the call's route at a target by what was last heard of it.
fn run_time(
    state: &reducer::EngineState,
    request: &SelectionRequest,
    target: &table::ReadyTarget,
) -> Option<f64> {
    let half_life = settings::millis(state.settings.tunables.routing.load_half_life_ms);
    let view = &state.routing.views[&target.target];
    view.fresh_run_s(request.route, state.now, half_life)
}

/// Mean time of a run of those places that have shown one.
fn typical_run(state: &reducer::EngineState, request: &SelectionRequest, places: &[usize]) -> f64 {
    let targets = state.routing.table.of_service(request.service);
    let known = places.iter().map(|place| &targets[*place]);
    let known: Vec<f64> = known
        .filter_map(|target| run_time(state, request, target))
        .collect();
    if known.is_empty() {
        UNKNOWN_RUN_S
    } else {
        known.iter().sum::<f64>() / known.len() as f64
    }
}

fn weigh(
    state: &reducer::EngineState,
    request: &SelectionRequest,
    places: &[usize],
) -> Vec<ExpectedTarget> {
    let half_life = settings::millis(state.settings.tunables.routing.load_half_life_ms);
    let targets = state.routing.table.of_service(request.service);
    let typical_use = state.routing.typical.of_service(request.service);
    let tunables = &state.settings.tunables.routing;
    let far_share = tunables.far_run_percent as f64 / settings::PERCENT;
    let kilobytes = state.routing.sizes.of_route(request.route) / BYTES_PER_KILOBYTE;
    let far_s = settings::millis(tunables.far_kilobyte_ms).as_secs_f64() * kilobytes;
    let typical = typical_run(state, request, places);
    let offer_s = state.routing.offer_cost.seconds();
    let weigh_one = |place: &usize| {
        let target = &targets[*place];
        let view = &state.routing.views[&target.target];
        let shown = run_time(state, request, target);
        let run = shown.unwrap_or(typical);
        let held = view.fresh_service_s(state.now, half_life).unwrap_or(run);
        let slots = f64::from(view.usable_slots(target.slots));
        let is_own = target.instance == state.settings.identity.instance;
        // The one that comes is counted in the pressure.
        let pressure = if is_own {
            1.0 + f64::from(admission::in_use(state, &target.target))
        } else {
            f64::from(target.slots) * view.pressure(target.slots, typical_use, state.now, half_life)
        };
        let wait_s = (pressure - slots).max(0.0) * held / slots.max(1.0);
        let distance_s = match target.distance {
            _ if is_own => 0.0,
            table::TargetDistance::SameDataCentre => offer_s,
            table::TargetDistance::SameRegion => offer_s + far_s + far_share * run,
            table::TargetDistance::Remote => offer_s + REMOTE_S,
        };
        let in_use = (pressure / slots.max(1.0)).min(1.0);
        ExpectedTarget {
            place: *place,
            wait_s,
            run_s: shown,
            total_s: wait_s + run * (1.0 + USE_SHARE * in_use) + distance_s,
        }
    };
    places.iter().map(weigh_one).collect()
}
