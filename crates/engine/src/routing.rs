//! Selects the route of a request and the target that the request is offered to.
//!
//! Selection uses the power of two choices: of two random targets, the one with fewer requests per
//! slot is chosen. Load is reported by the owner nodes with every response; the load endpoints of
//! the targets are not polled, because they lag behind. Targets in the same data centre are
//! preferred. A call goes to another data centre when no near target has a free slot according to
//! its last report, or when no near target is left.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::ids;
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;
use rand::{RngExt, seq::IndexedRandom};

use crate::{health, reducer, rollout::cohort, settings};

mod expected_latency;
pub mod index;
pub mod mean_load;
pub mod offer;
pub mod placement;
pub mod size;
pub mod split;
pub mod table;
mod view;

pub use view::TargetView;

/// Number of targets near and far that are looked at for one call. A service may have hundreds;
/// the cost of a call must not grow with them. A service with fewer is looked at as a whole.
const MAX_SAMPLED_TARGETS: usize = 32;
/// Upper bound of the factor that a slower target's score is multiplied by, so that a full fast
/// target still scores worse than a slow idle one.
const MAX_SLOWNESS_FACTOR: f64 = 2.0;
/// Run times that differ by less than this factor count as equal, since they are measured on few
/// runs.
const MIN_SLOWNESS_FACTOR: f64 = 1.5;

/// A target that a call can be offered to.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetCandidate {
    /// Name of the target.
    pub target: ids::TargetName,
    /// Node that owns the target.
    pub instance: ids::InstanceName,
    /// Peer address of the owner node.
    pub address: SocketAddr,
    /// Distance of the owner node's data centre.
    pub distance: table::TargetDistance,
    /// Longest queue wait at the target for which no other compared target is better; `None` if
    /// there is no alternative.
    pub max_queue_wait: Option<Duration>,
    /// Shortest known run time among the compared targets.
    pub shortest_run_time: Option<Duration>,
    /// Software version and cohort of the target while its service has a rollout in progress.
    pub rollout_cohort: Option<(ids::SoftwareVersion, cohort::TargetCohort)>,
}

/// The result of selecting among the targets of a service.
#[derive(Debug, Clone, Copy)]
struct TargetSelection {
    /// Place among the targets of the service.
    index: table::TargetIndex,
    /// Longest queue wait for which no other compared target is better.
    max_queue_wait: Option<Duration>,
    /// Shortest known run time among the compared targets.
    shortest_run_time: Option<Duration>,
}

impl TargetSelection {
    /// Returns a selection that was compared with no alternative.
    fn without_alternative(index: table::TargetIndex) -> Self {
        Self {
            index,
            max_queue_wait: None,
            shortest_run_time: None,
        }
    }
}

/// The constraints under which a target is selected.
#[derive(Debug, Clone)]
pub struct SelectionRequest<'a> {
    /// Service that the call goes to.
    pub service: &'a ids::EntryName,
    /// Whether targets of other data centres may take the call.
    pub spill: bool,
    /// Targets of the call's earlier attempts, which are left out.
    pub attempted_targets: &'a [ids::TargetName],
    /// Route that the call matched.
    pub route: &'a ids::EntryName,
    /// Whether to prefer other data centres, because a node of this one refused the call for its
    /// owner's rate limit.
    pub prefers_other_centres: bool,
    /// Cohorts of the service's targets that may take the call while a rollout is in progress.
    pub cohort: cohort::CallCohort,
    /// Rank of the call's class.
    pub rank: u32,
}

/// Routing state of the ingress side.
#[derive(Debug, Clone, Default)]
pub struct RoutingState {
    /// Route index of the catalogue version in force.
    pub routes: index::RouteIndex,
    /// Weighted round-robin state of the split routes.
    pub splits: split::SplitRotations,
    /// Ready targets by service.
    pub table: table::TargetTable,
    /// Mean body size of the calls by route.
    pub sizes: size::RouteBodySizes,
    /// Cost of an offer that another node refuses.
    pub offer_cost: offer::RefusedOfferCost,
    /// Mean load from other nodes per slot, by service.
    pub service_loads: mean_load::ServiceMeanLoads,
    /// Load and health of each ready target.
    pub views: IndexMap<ids::TargetName, TargetView>,
}

impl RoutingState {
    /// Records the load report that came with the end of an attempt.
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
            self.service_loads.record(service, view.others_per_slot());
        }
    }
}

/// A candidate target with the values that its score is computed from.
#[derive(Debug, Clone, Copy)]
struct ScoredTarget {
    index: table::TargetIndex,
    /// Share of its calls that the target gets during its slow start.
    slow_start_share: f64,
    /// Requests per slot, including one more call.
    pressure: f64,
    /// Measured run time in seconds, if there is a recent one.
    run_time_s: Option<f64>,
}

impl ScoredTarget {
    /// Returns the score in comparison with another target; lower is better. The score grows with
    /// pressure, and with run time if this target is clearly slower than the other.
    fn score(&self, alternative: &Self) -> f64 {
        let slowness = match (self.run_time_s, alternative.run_time_s) {
            (Some(own_s), Some(other_s)) if own_s > other_s * MIN_SLOWNESS_FACTOR => {
                (own_s / other_s).min(MAX_SLOWNESS_FACTOR)
            }
            _ => 1.0,
        };
        (1.0 + self.pressure) * slowness
    }
}

/// Selects the target for the next attempt of a call; `None` if there is none that the call has not
/// been offered to yet.
pub fn choose(
    state: &mut reducer::EngineState,
    request: &SelectionRequest,
) -> Option<TargetCandidate> {
    table::refresh(state);
    let uses_expected_latency =
        state.settings.tunables.routing.compared > 2 && !request.prefers_other_centres;
    let selection = if uses_expected_latency {
        expected_latency::choose(state, request)
    } else {
        choose_healthy(state, request).map(TargetSelection::without_alternative)
    };
    let selection = match selection {
        Some(selection) => selection,
        None => choose_any(state, request).map(TargetSelection::without_alternative)?,
    };
    let targets = state.routing.table.of_service(request.service);
    let target = targets.get(selection.index);
    let has_rollout = request.cohort != cohort::CallCohort::Any;
    let version = target.version.clone().filter(|_| has_rollout);
    Some(TargetCandidate {
        rollout_cohort: version.map(|version| (version, target.cohort)),
        target: target.target.clone(),
        instance: target.instance.clone(),
        address: target.address,
        distance: target.distance,
        max_queue_wait: selection.max_queue_wait,
        shortest_run_time: selection.shortest_run_time,
    })
}

/// Returns the nearest healthy target whose pressure is within the spill limit, or else the one
/// with the least pressure among all distances that the request allows.
fn choose_healthy(
    state: &mut reducer::EngineState,
    request: &SelectionRequest,
) -> Option<table::TargetIndex> {
    let spill_pressure =
        state.settings.tunables.routing.spill_pressure_percent as f64 / settings::PERCENT;
    let distances = distances(request);
    let samples: Vec<Vec<table::TargetIndex>> = distances
        .iter()
        .map(|distance| sample(state, request, &[*distance]))
        .collect();
    let ejected = health::ejected_targets(state, request.service, &samples.concat());
    let mut best: Option<ScoredTarget> = None;
    for sampled in samples {
        let views = &state.routing.views;
        let candidates = score_targets(state, request, &sampled, |index, target| {
            target.is_reachable
                && !ejected.contains(&index)
                && views[&target.target].admits_call(state.now)
        });
        let Some(chosen) = choose_of_two(state, &candidates) else {
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
    best.map(|target| target.index)
}

/// Selects among all targets as the last resort. A target that is ejected or whose node is
/// unreachable may still run the call. Targets whose node could not be connected to a moment ago
/// are left out, because the call would only wait there.
fn choose_any(
    state: &mut reducer::EngineState,
    request: &SelectionRequest,
) -> Option<table::TargetIndex> {
    for distance in distances(request) {
        let views = &state.routing.views;
        let targets = state.routing.table.of_service(request.service);
        let indexes: Vec<table::TargetIndex> = targets
            .at_distance(distance)
            .map(|(index, _)| index)
            .collect();
        let candidates = score_targets(state, request, &indexes, |_, target| {
            !views[&target.target].health.is_connect_failing(state.now)
        });
        if let Some(chosen) = choose_of_two(state, &candidates) {
            return Some(chosen.index);
        }
    }
    None
}

/// Returns whether the signals of a target let it be offered a call.
fn is_open(
    state: &reducer::EngineState,
    request: &SelectionRequest,
    target: &table::ReadyTarget,
) -> bool {
    let (name, incarnation) = (&target.target, target.incarnation);
    let signals = &state.signals;
    let backoff_time = signals.backoff_time(name, incarnation, request.rank, state.now);
    backoff_time.is_zero() && !signals.is_leaving(name, incarnation)
}

/// Returns the time until the first target of a service that is at the rate limit it names is
/// offered calls of a class with this rank again; `None` if there is no such target.
pub fn shortest_backoff(
    state: &reducer::EngineState,
    service: &ids::EntryName,
    rank: u32,
) -> Option<Duration> {
    let targets = state.routing.table.of_service(service).iter();
    let backoff_times = targets.map(|(_, target)| {
        let (name, incarnation) = (&target.target, target.incarnation);
        state
            .signals
            .backoff_time(name, incarnation, rank, state.now)
    });
    backoff_times.filter(|time| !time.is_zero()).min()
}

/// Returns the distances that a request allows, in order of preference.
fn distances(request: &SelectionRequest) -> Vec<table::TargetDistance> {
    let mut distances = table::TargetDistance::ALL.to_vec();
    if !request.spill {
        distances.truncate(1);
    } else if request.prefers_other_centres {
        distances.rotate_left(1);
    }
    distances
}

/// Returns the targets at some distances that are looked at for a call. A call that is limited to a
/// few targets by a rollout looks at all.
fn sample(
    state: &mut reducer::EngineState,
    request: &SelectionRequest,
    distances: &[table::TargetDistance],
) -> Vec<table::TargetIndex> {
    let count = if request.cohort == cohort::CallCohort::Any {
        MAX_SAMPLED_TARGETS
    } else {
        usize::MAX
    };
    let targets = state.routing.table.of_service(request.service);
    targets.sample(distances, count, &mut state.random)
}

/// Returns those of the targets that satisfy `is_eligible` and the request, with the inputs of their
/// scores.
fn score_targets(
    state: &reducer::EngineState,
    request: &SelectionRequest,
    indexes: &[table::TargetIndex],
    is_eligible: impl Fn(table::TargetIndex, &table::ReadyTarget) -> bool,
) -> Vec<ScoredTarget> {
    let slow_start = state
        .dissemination
        .in_force
        .service(request.service)
        .map_or(0, |service| service.slow_start_ms);
    let slow_start = Duration::from_millis(u64::from(slow_start));
    let half_life = settings::millis(state.settings.tunables.routing.load_half_life_ms);
    let service_load = state.routing.service_loads.of_service(request.service);
    let targets = state.routing.table.of_service(request.service);
    let targets = indexes.iter().map(|index| (*index, targets.get(*index)));
    targets
        .filter(|(index, target)| {
            is_eligible(*index, target)
                && is_open(state, request, target)
                && request.cohort.admits(target.cohort)
                && !request.attempted_targets.contains(&target.target)
        })
        .map(|(index, target)| {
            let view = &state.routing.views[&target.target];
            ScoredTarget {
                index,
                slow_start_share: view.slow_start_share(state.now, slow_start),
                pressure: view.pressure(target.slots, service_load, state.now, half_life),
                run_time_s: view.recent_run_time_s(request.route, state.now, half_life),
            }
        })
        .collect()
}

/// Returns the target with the better score of two random ones. During its slow start a target
/// takes only its slow-start share of the calls that it would otherwise get.
fn choose_of_two(
    state: &mut reducer::EngineState,
    candidates: &[ScoredTarget],
) -> Option<ScoredTarget> {
    let pair: Vec<ScoredTarget> = candidates.sample(&mut state.random, 2).copied().collect();
    let (left, right) = match pair.as_slice() {
        [left, right] => (*left, *right),
        _ => return pair.first().copied(),
    };
    let (better, worse) = if right.score(&left) < left.score(&right) {
        (right, left)
    } else {
        (left, right)
    };
    let share = better.slow_start_share / better.slow_start_share.max(worse.slow_start_share);
    let takes_call = share >= 1.0 || state.random.random_bool(share);
    Some(if takes_call { better } else { worse })
}
