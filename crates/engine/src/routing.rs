//! Which route a request takes and which target it is offered to.
//!
//! Of two random targets the one with less in use per slot is chosen. What is in use comes from
//! the owner nodes, with every answer: targets' own load pages are not asked, for they lag. Near
//! targets go first; calls go further when the near ones have no free slot by that measure, or
//! when none of them is left.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::ids;
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;
use rand::{RngExt, seq::IndexedRandom};

use crate::{health, reducer, rollout::cohort, settings};

mod expected;
pub mod index;
pub mod offer;
pub mod size;
pub mod split;
pub mod table;
pub mod typical;
mod view;

pub use view::TargetView;

/// Most that a slower target's pressure is multiplied by: a full fast one still loses to it.
const MOST_SLOWNESS: f64 = 2.0;
/// Times of runs that differ by less than this are taken for equal: they are measured on few runs.
const LEAST_SLOWNESS: f64 = 1.5;

/// A target that a call can be offered to.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetCandidate {
    /// Its name.
    pub target: ids::TargetName,
    /// The node that owns it.
    pub instance: ids::InstanceName,
    /// Peers address of that node.
    pub address: SocketAddr,
    /// Longest wait for which no other target is better; absent: any.
    pub patience: Option<Duration>,
    /// Shortest time of a run among the targets that it was compared with, where one is known.
    pub shortest_run_time: Option<Duration>,
    /// Its version and its part in the service's roll-out, where one is under way.
    pub rollout_cohort: Option<(ids::SoftwareVersion, cohort::TargetCohort)>,
}

/// A choice among a service's targets.
#[derive(Debug, Clone, Copy)]
struct TargetChoice {
    /// Place in the service's list.
    place: usize,
    patience: Option<Duration>,
    /// Shortest time of a run among those compared.
    shortest_run_time: Option<Duration>,
}

impl TargetChoice {
    /// A choice beside which there is nothing better.
    fn alone(place: usize) -> Self {
        Self {
            place,
            patience: None,
            shortest_run_time: None,
        }
    }
}

/// What a target is chosen for.
#[derive(Debug, Clone)]
pub struct SelectionRequest<'a> {
    /// Service that the call goes to.
    pub service: &'a ids::EntryName,
    /// Whether targets of other data centres may take it.
    pub spill: bool,
    /// Targets that were tried.
    pub tried: &'a [ids::TargetName],
    /// Route that it takes.
    pub route: &'a ids::EntryName,
    /// Whether to look outside the own data centre first, since the own one is over a limit.
    pub prefers_other_centres: bool,
    /// Which part of the service's targets may take it while a roll-out goes on.
    pub cohort: cohort::CallCohort,
}

/// State of routing.
#[derive(Debug, Clone, Default)]
pub struct RoutingState {
    /// Routes of the version in force.
    pub routes: index::RouteIndex,
    /// Whose turn it is where a route is split.
    pub splits: split::SplitTurns,
    /// Ready targets.
    pub table: table::TargetTable,
    /// Bytes of the calls of each route.
    pub sizes: size::RouteSizes,
    /// What an offer to another node costs.
    pub offer_cost: offer::OfferCost,
    /// What other nodes send to a slot of each service.
    pub typical: typical::TypicalUses,
    /// What is known of each ready target.
    pub views: IndexMap<ids::TargetName, TargetView>,
}

impl RoutingState {
    /// Takes a load report that came with the end of a try.
    pub fn record_load_report(
        &mut self,
        service: &ids::EntryName,
        route: &ids::EntryName,
        target: &ids::TargetName,
        load: wire::LoadReport,
        now: hazeltiller_units::time::MonotonicTime,
    ) {
        if let Some(view) = self.views.get_mut(target) {
            view.record_load_report(route, load, now);
            self.typical.note(service, view.others_per_slot());
        }
    }
}

/// A candidate with what it is weighed by.
#[derive(Debug, Clone, Copy)]
struct WeighedTarget {
    place: usize,
    warmth: f64,
    pressure: f64,
    /// Measured time of a run in seconds, where that is known and fresh.
    service_s: Option<f64>,
}

impl WeighedTarget {
    /// What counts against it beside the other of a pair: its pressure, more where it is slower.
    fn score(&self, other: &Self) -> f64 {
        let slowness = match (self.service_s, other.service_s) {
            (Some(own), Some(other)) if own > other * LEAST_SLOWNESS => {
                (own / other).min(MOST_SLOWNESS)
            }
            _ => 1.0,
        };
        (1.0 + self.pressure) * slowness
    }
}

/// The target that a call is offered to next, if there is one that was not tried.
pub fn choose(
    state: &mut reducer::EngineState,
    request: &SelectionRequest,
) -> Option<TargetCandidate> {
    table::refresh(state);
    let compares_all =
        state.settings.tunables.routing.compared > 2 && !request.prefers_other_centres;
    let choice = if compares_all {
        expected::choose(state, request)
    } else {
        choose_healthy(state, request).map(TargetChoice::alone)
    };
    let choice = match choice {
        Some(choice) => choice,
        None => choose_any(state, request).map(TargetChoice::alone)?,
    };
    let target = &state.routing.table.of_service(request.service)[choice.place];
    let is_rolling = request.cohort != cohort::CallCohort::Any;
    let version = target.version.clone().filter(|_| is_rolling);
    Some(TargetCandidate {
        rollout_cohort: version.map(|version| (version, target.cohort)),
        target: target.target.clone(),
        instance: target.instance.clone(),
        address: target.address,
        patience: choice.patience,
        shortest_run_time: choice.shortest_run_time,
    })
}

/// The nearest healthy target that has a free slot by what is known, or failing that the one with
/// the least pressure of the distances that were looked at.
fn choose_healthy(state: &mut reducer::EngineState, request: &SelectionRequest) -> Option<usize> {
    let spill_pressure =
        state.settings.tunables.routing.spill_pressure_percent as f64 / settings::PERCENT;
    let ejected = health::ejected_targets(state, request.service, request.spill);
    let mut best: Option<WeighedTarget> = None;
    for distance in distances(request) {
        let views = &state.routing.views;
        let weighed = weigh(state, request, |place, target| {
            target.distance == distance
                && target.is_reachable
                && !ejected.contains(&place)
                && views[&target.target].has_room(state.now)
        });
        let Some(chosen) = choose_pair(state, &weighed) else {
            continue;
        };
        let is_better = best.is_none_or(|best| chosen.pressure < best.pressure);
        if is_better {
            best = Some(chosen);
        }
        if chosen.pressure <= spill_pressure {
            break;
        }
    }
    best.map(|target| target.place)
}

/// Last resort: a target that is ejected or whose node does not answer may still run; not one whose node
/// could not be connected to just now, for which the call would only wait.
fn choose_any(state: &mut reducer::EngineState, request: &SelectionRequest) -> Option<usize> {
    for distance in distances(request) {
        let views = &state.routing.views;
        let weighed = weigh(state, request, |_, target| {
            target.distance == distance && !views[&target.target].health.is_unreached(state.now)
        });
        if let Some(chosen) = choose_pair(state, &weighed) {
            return Some(chosen.place);
        }
    }
    None
}

fn distances(request: &SelectionRequest) -> Vec<table::TargetDistance> {
    let mut distances = table::TargetDistance::ALL.to_vec();
    if !request.spill {
        distances.truncate(1);
    } else if request.prefers_other_centres {
        distances.rotate_left(1);
    }
    distances
}

fn weigh(
    state: &reducer::EngineState,
    request: &SelectionRequest,
    is_eligible: impl Fn(usize, &table::ReadyTarget) -> bool,
) -> Vec<WeighedTarget> {
    let slow_start = state
        .dissemination
        .in_force
        .service(request.service)
        .map_or(0, |service| service.slow_start_ms);
    let slow_start = Duration::from_millis(u64::from(slow_start));
    let half_life = settings::millis(state.settings.tunables.routing.load_half_life_ms);
    let typical = state.routing.typical.of_service(request.service);
    let targets = state.routing.table.of_service(request.service).iter();
    targets
        .enumerate()
        .filter(|(place, target)| {
            is_eligible(*place, target)
                && request.cohort.admits(target.cohort)
                && !request.tried.contains(&target.target)
        })
        .map(|(place, target)| {
            let view = &state.routing.views[&target.target];
            WeighedTarget {
                place,
                warmth: view.warmth(state.now, slow_start),
                pressure: view.pressure(target.slots, typical, state.now, half_life),
                service_s: view.fresh_run_s(request.route, state.now, half_life),
            }
        })
        .collect()
}

/// Of two random targets, the one with less pressure; one that is not warm yet takes only its
/// share of the calls that it would get.
fn choose_pair(
    state: &mut reducer::EngineState,
    weighed: &[WeighedTarget],
) -> Option<WeighedTarget> {
    let pair: Vec<WeighedTarget> = weighed.sample(&mut state.random, 2).copied().collect();
    let (one, other) = match pair.as_slice() {
        [one, other] => (*one, *other),
        _ => return pair.first().copied(),
    };
    let (better, worse) = if other.score(&one) < one.score(&other) {
        (other, one)
    } else {
        (one, other)
    };
    let share = better.warmth / better.warmth.max(worse.warmth);
    let is_taken = share >= 1.0 || state.random.random_bool(share);
    Some(if is_taken { better } else { worse })
}
