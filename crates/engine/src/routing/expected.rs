//! The target that is expected to answer first.
//!
//! Targets of one service differ several times over in speed, so counts of requests do not tell
//! which one answers first: the time to a free slot and the time of a run do. What other nodes have
//! sent is known only as of the last report, so the choice is checked by the target's own node: the
//! offer says how long a wait is still better than the next best target, and comes back at once
//! where it would be longer.

use std::time::Duration;

use rand::seq::IteratorRandom;

use super::{ChoiceRequest, TargetChoice, table};
use crate::{health, reducer, settings};

/// Time of a run in seconds where none of the targets compared has shown one yet.
const UNKNOWN_RUN_S: f64 = 0.1;
/// Part of a run's time that a target's use adds to it: many slow down when they are nearly full,
/// and of two that have room the one with more of it is as likely to still have it.
const USE_SHARE: f64 = 0.3;
/// What another data centre of the region counts for, as a part of a run: bytes between data centres
/// cost, and a slightly sooner answer does not pay for them.
const REGION_SHARE: f64 = 1.0;
/// What another region counts for, in seconds: a round trip between regions.
const REMOTE_S: f64 = 0.04;
/// Wait at the chosen target that is no reason to look further, in seconds: about a round trip to
/// another data centre and the work of another offer.
const LEAST_PATIENCE_S: f64 = 0.01;

struct ExpectedTarget {
    place: usize,
    wait_s: f64,
    total_s: f64,
}

/// Chooses among targets that are healthy and reachable.
pub(super) fn choose(
    state: &mut reducer::EngineState,
    request: &ChoiceRequest,
) -> Option<TargetChoice> {
    let compared = state.settings.tunables.routing.compared as usize;
    let ejected = health::ejected_targets(state, request.service, request.spill);
    let now = state.now;
    let views = &state.routing.views;
    let targets = state.routing.table.of_service(request.service);
    let is_eligible = |(place, target): &(usize, &table::ReadyTarget)| {
        target.is_reachable
            && (request.spill || target.distance == table::TargetDistance::SameCentre)
            && !ejected.contains(place)
            && !request.tried.contains(&target.target)
            && views[&target.target].has_room(now)
    };
    let eligible = targets.iter().enumerate().filter(is_eligible);
    let places: Vec<usize> = eligible
        .map(|(place, _)| place)
        .sample(&mut state.random, compared);
    let mut expected = weigh(state, request, &places);
    expected.sort_by(|one, other| one.total_s.total_cmp(&other.total_s));
    let best = expected.first()?;
    let patience = expected.get(1).map(|next| {
        let better_until = best.wait_s + next.total_s - best.total_s;
        Duration::from_secs_f64(better_until.max(0.0) + LEAST_PATIENCE_S)
    });
    Some(TargetChoice {
        place: best.place,
        patience,
    })
}

fn weigh(
    state: &reducer::EngineState,
    request: &ChoiceRequest,
    places: &[usize],
) -> Vec<ExpectedTarget> {
    let half_life = settings::millis(state.settings.tunables.routing.load_half_life_ms);
    let targets = state.routing.table.of_service(request.service);
    let run_of = |place: &usize| {
        let view = &state.routing.views[&targets[*place].target];
        view.fresh_service_s(state.now, half_life)
    };
    let known: Vec<f64> = places.iter().filter_map(run_of).collect();
    let typical = if known.is_empty() {
        UNKNOWN_RUN_S
    } else {
        known.iter().sum::<f64>() / known.len() as f64
    };
    let weigh_one = |place: &usize| {
        let target = &targets[*place];
        let view = &state.routing.views[&target.target];
        let run = run_of(place).unwrap_or(typical);
        let slots = f64::from(view.usable_slots(target.slots));
        let pressure = view.pressure(target.slots, state.now, half_life) * f64::from(target.slots);
        // The one that comes is counted in the pressure.
        let wait_s = (pressure - slots).max(0.0) * run / slots.max(1.0);
        let distance_s = match target.distance {
            table::TargetDistance::SameCentre => 0.0,
            table::TargetDistance::SameRegion => REGION_SHARE * run,
            table::TargetDistance::Remote => REMOTE_S,
        };
        let in_use = (pressure / slots.max(1.0)).min(1.0);
        ExpectedTarget {
            place: *place,
            wait_s,
            total_s: wait_s + run * (1.0 + USE_SHARE * in_use) + distance_s,
        }
    };
    places.iter().map(weigh_one).collect()
}
