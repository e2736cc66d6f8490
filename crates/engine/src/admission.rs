//! Admission control: slots and queues of the targets that this node owns, and rate limits.
//!
//! Every call to a target passes through the target's owner node, whichever node is its ingress, so
//! the slots are counted in one place. A call runs immediately if a slot is free. Otherwise it
//! waits in a short queue for a bounded time, unless it is certain to start or finish too late. A
//! refusal is returned without delay, names the limit that caused it and guarantees that the call
//! did not run.

use std::time::Duration;

use hazeltiller_catalogue::entry;
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{calls as wire, membership as wire_membership};
use indexmap::IndexMap;

use crate::{bandwidth, calls, health, membership, reducer, rollout, routing, settings};

pub mod estimate;
mod latency;
pub mod queue;
pub mod rate;
mod refusal;
pub mod reserve;
mod standing;

pub use refusal::{displaced_refusal, expired_refusal, target_rate_limit};

/// Rank of a class that is not in the catalogue that this node holds: the lowest priority.
const UNKNOWN_CLASS_RANK: u32 = 100;

/// Decision on an offered call.
#[derive(Debug, Clone, PartialEq)]
pub enum AdmissionDecision {
    /// The call runs now.
    Run,
    /// The call waits for a slot.
    Wait {
        /// Queued call that lost its place to this one, if the queue was full.
        displaced: Option<ids::CallId>,
    },
    /// The call is refused and did not run.
    Refuse(wire::CallRefusal),
}

/// Slots and queue of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetAdmission {
    /// Number of running calls.
    pub running: u32,
    /// Number of running calls of the lowest-priority class with a route to the service.
    pub running_lowest: u32,
    /// Slot usage by higher-priority classes.
    pub priority_usage: reserve::PriorityUsage,
    /// Queued calls.
    pub queue: queue::FairQueue,
    /// Service time and capacity as estimated from runs.
    pub estimate: estimate::TargetEstimate,
    /// Whether the queue is a standing queue.
    standing: standing::StandingDetector,
    /// When a call was last turned away that could still be answered within its target latency.
    turned_away_at: Option<time::MonotonicTime>,
}

impl TargetAdmission {
    /// Returns the expected queue wait of a call that arrives now: the time to run the work ahead
    /// of it on the slots available to its class, and the time until the next slot is released. The
    /// work is measured in expected run time rather than in calls, since a queued call may run ten
    /// times as long as the mean of all runs, most of which are short.
    fn queue_wait(
        &self,
        params: &queue::SchedulingParams,
        offer: &wire::CallOffer,
        place: queue::QueuePlace,
        available: AvailableSlots,
    ) -> Duration {
        let ahead_s = self.queue.work_ahead_s(params, place) / f64::from(available.of_class);
        let next_slot = self
            .estimate
            .time_for(f64::from(offer.cost), available.of_target);
        Duration::from_secs_f64(ahead_s) + next_slot
    }

    /// Returns whether a call that could still be answered within its target latency was turned away
    /// less than `calm_time` ago.
    fn turned_away_lately(&self, calm_time: Duration, now: time::MonotonicTime) -> bool {
        self.turned_away_at
            .is_some_and(|at| now.since(at) < calm_time)
    }

    /// Updates the standing-queue detector with whether the queue is empty.
    fn update_standing(&mut self, now: time::MonotonicTime) {
        self.standing.record(!self.queue.is_empty(), now);
    }

    /// Returns the time until all queued work has run.
    fn time_to_drain(&self, slots: u32) -> Duration {
        Duration::from_secs_f64(self.queue.queued_work_s() / f64::from(slots.max(1)))
    }

    /// Returns whether a free slot may be given to the lowest-priority class.
    fn admits_lowest(&self, slots: u32, now: time::MonotonicTime) -> bool {
        let release_interval = self.estimate.time_for(1.0, slots);
        let reserved = self.priority_usage.reserved(slots, release_interval, now);
        self.running_lowest + reserved < slots
    }
}

/// Slots available to a call.
#[derive(Debug, Clone, Copy)]
struct AvailableSlots {
    /// Usable slots of the target.
    of_target: u32,
    /// Slots that higher-priority classes leave to the call's class on average; at least one.
    of_class: u32,
}

/// Admission state of the node.
#[derive(Debug, Clone, Default)]
pub struct AdmissionState {
    /// Slots and queues by target.
    pub targets: IndexMap<ids::TargetName, TargetAdmission>,
    /// Token buckets of owners.
    pub rates: rate::RateBuckets,
}

/// Decides on a call that is offered to a target of this node.
pub fn admit(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    offer: &wire::CallOffer,
) -> AdmissionDecision {
    let own_target = state.membership.targets.get(&offer.target);
    let is_ready = |own_target: &membership::OwnTarget| {
        own_target.record.state == wire_membership::TargetState::Ready
    };
    let is_open = own_target.is_some_and(|own_target| {
        is_ready(own_target) && !rollout::is_rolled_back(state, own_target)
    });
    if !is_open {
        let refusal = wire::CallRefusal::not_run(code::ResultCode::TargetMissing);
        return AdmissionDecision::Refuse(refusal.elsewhere());
    }
    if let Some(refusal) = check_rate(state, offer) {
        return AdmissionDecision::Refuse(refusal);
    }
    if let Some(late) = bandwidth::late_delivery(state, offer) {
        return AdmissionDecision::Refuse(refusal::link_refusal(state, offer, late));
    }
    let decision = place_call(state, call, offer);
    if !matches!(decision, AdmissionDecision::Refuse(_)) {
        let key = (offer.owner.clone(), offer.service.clone());
        if let Some(bucket) = state.admission.rates.get_mut(&key) {
            bucket.spend(offer.cost);
        }
    }
    decision
}

/// Gives a free slot to a queued call and returns the call, which runs now; returns `None` if no
/// slot is free or no queued call may take it.
pub fn start_next(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
) -> Option<ids::CallId> {
    let slots = slots(state, target);
    let now = state.now;
    let service = &state.membership.targets.get(target)?.record.service;
    let max_rank = state.routing.routes.max_rank(service);
    let admission = state.admission.targets.get_mut(target)?;
    if admission.running >= slots {
        return None;
    }
    let below_rank = if admission.admits_lowest(slots, now) {
        u32::MAX
    } else {
        max_rank?
    };
    let next_rank = admission.queue.next_rank(below_rank)?;
    if !state
        .signals
        .limit_wait(target, next_rank, 0, now)
        .is_zero()
    {
        return None;
    }
    let (queued, rank) = admission.queue.pop_higher_priority(below_rank)?;
    admission.update_standing(now);
    admission.running += 1;
    admission.running_lowest += u32::from(Some(rank) >= max_rank);
    Some(queued.call)
}

/// Removes a call from the queue of a target that accepts no more calls.
pub fn evict(state: &mut reducer::EngineState, target: &ids::TargetName) -> Option<ids::CallId> {
    let admission = state.admission.targets.get_mut(target)?;
    admission.queue.pop().map(|(queued, _rank)| queued.call)
}

/// Discards the slots in use, the queue and the estimates of a target that restarted.
pub fn end_incarnation(state: &mut reducer::EngineState, target: &ids::TargetName) {
    state.admission.targets.shift_remove(target);
}

/// Releases the slot of a run that ended and updates the target's estimates.
pub fn end_run(
    state: &mut reducer::EngineState,
    offer: &wire::CallOffer,
    elapsed: Duration,
    result: calls::RunResult,
) {
    let announced = announced_slots(state, &offer.target);
    let is_lowest = latency::is_lowest_priority(state, offer);
    let now = state.now;
    let Some(admission) = state.admission.targets.get_mut(&offer.target) else {
        return;
    };
    match result {
        calls::RunResult::Done { status: 503 } | calls::RunResult::Declined => {
            admission.estimate.record_shed(admission.running, announced);
        }
        calls::RunResult::Done { status } if status < 500 => {
            admission.estimate.record_run(
                &offer.route,
                elapsed,
                offer.cost,
                announced,
                admission.running,
            );
        }
        _ => {}
    }
    admission.running = admission.running.saturating_sub(1);
    if is_lowest {
        admission.running_lowest = admission.running_lowest.saturating_sub(1);
    } else {
        let latency = Duration::from_millis(u64::from(offer.latency_left_ms));
        admission.priority_usage.record_run(elapsed, latency, now);
    }
}

/// Removes a call from its queue.
pub fn remove_queued(
    state: &mut reducer::EngineState,
    target: &ids::TargetName,
    call: ids::CallId,
) {
    if let Some(admission) = state.admission.targets.get_mut(target) {
        admission.queue.remove(call);
        admission.update_standing(state.now);
    }
}

/// Removes every queued call that can no longer start in time.
pub fn expire(state: &mut reducer::EngineState) -> Vec<ids::CallId> {
    let now = state.now;
    let queues = state.admission.targets.values_mut();
    queues
        .flat_map(|admission| {
            let expired = admission.queue.expire(now);
            admission.update_standing(now);
            expired
        })
        .map(|queued| queued.call)
        .collect()
}

/// Returns the load report on an own target that accompanies the response to a call.
pub fn load_report(state: &reducer::EngineState, offer: &wire::CallOffer) -> wire::LoadReport {
    let run_time = run_time(state, offer);
    wire::LoadReport {
        route_us: u32::try_from(run_time.as_micros()).unwrap_or(u32::MAX),
        ..load(state, &offer.target)
    }
}

/// Returns the expected run time of an offered call; zero before the first run.
pub(crate) fn run_time(state: &reducer::EngineState, offer: &wire::CallOffer) -> Duration {
    let admission = state.admission.targets.get(&offer.target);
    admission.map_or(Duration::ZERO, |admission| {
        admission.estimate.run_time(&offer.route, offer.cost)
    })
}

/// Returns the load of an own target without a route's service time.
pub fn load(state: &reducer::EngineState, target: &ids::TargetName) -> wire::LoadReport {
    let admission = state.admission.targets.get(target);
    wire::LoadReport {
        in_flight: admission.map_or(0, |admission| admission.running),
        queued: admission.map_or(0, queued_runs),
        slots: slots(state, target),
        service_us: admission.map_or(0, |admission| admission.estimate.service_us()),
        route_us: 0,
        is_failing: health::is_failing(state, target),
    }
}

/// Returns the number of running and queued calls of an own target, the queued ones counted in runs
/// of mean length.
pub fn in_flight(state: &reducer::EngineState, target: &ids::TargetName) -> u32 {
    let admission = state.admission.targets.get(target);
    admission.map_or(0, |admission| admission.running + queued_runs(admission))
}

/// Returns the number of runs of mean length that take as long as the queued work.
fn queued_runs(admission: &TargetAdmission) -> u32 {
    let mean_run_s = f64::from(admission.estimate.service_us()) / 1e6;
    if mean_run_s > 0.0 {
        (admission.queue.queued_work_s() / mean_run_s).round() as u32
    } else {
        admission.queue.len() as u32
    }
}

/// Returns the slots of an own target that may be used at once.
pub fn slots(state: &reducer::EngineState, target: &ids::TargetName) -> u32 {
    let announced = announced_slots(state, target);
    let admission = state.admission.targets.get(target);
    admission.map_or(announced, |admission| admission.estimate.slots(announced))
}

/// Returns the announced slots of an own target within the limits of its service.
fn announced_slots(state: &reducer::EngineState, target: &ids::TargetName) -> u32 {
    let Some(own_target) = state.membership.targets.get(target) else {
        return 0;
    };
    let catalogue = &state.dissemination.in_force;
    // Each run takes a connection of its own, so the connection limit bounds the slots too.
    let limit = catalogue
        .service(&own_target.record.service)
        .map_or(u32::MAX, |service| {
            service.limits.slots.min(service.limits.connections)
        });
    own_target
        .record
        .slots
        .min(own_target.record.connections)
        .min(limit)
}

/// Gives a call a free slot or a place in the queue, or refuses it.
fn place_call(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    offer: &wire::CallOffer,
) -> AdmissionDecision {
    let slots = slots(state, &offer.target);
    let params = scheduling_params(state, offer);
    let useful_time = latency::useful_time(state, offer);
    let is_lowest = latency::is_lowest_priority(state, offer);
    let is_held = latency::is_held_to_latency(state, offer);
    let is_overdue = latency::is_overdue(state, offer);
    let max_class_wait = max_queue_time(state, offer);
    let calm_time = settings::millis(state.settings.tunables.admission.overdue_calm_ms);
    let now = state.now;
    state.signals.record_call(&offer.target, params.rank, now);
    let admission = state
        .admission
        .targets
        .entry(offer.target.clone())
        .or_default();
    let ahead = admission.queue.calls_ahead(params.rank);
    let limit_wait = state
        .signals
        .limit_wait(&offer.target, params.rank, ahead, now);
    let is_open = limit_wait.is_zero() && (!is_lowest || admission.admits_lowest(slots, now));
    let yields = is_overdue && admission.turned_away_lately(calm_time, now);
    if admission.running < slots && admission.queue.is_empty() && is_open && !yields {
        admission.running += 1;
        admission.running_lowest += u32::from(is_lowest);
        admission.queue.charge(&params, offer.cost);
        return AdmissionDecision::Run;
    }
    let is_queue_occupied = !admission.queue.is_empty();
    let used_by_higher = if is_lowest {
        admission.priority_usage.used(now)
    } else {
        0
    };
    let available = AvailableSlots {
        of_target: slots,
        of_class: slots.saturating_sub(used_by_higher).max(1),
    };
    let run_time = admission.estimate.run_time(&offer.route, offer.cost);
    // An overdue call gets the next free slot or none.
    let wait_limit = if is_overdue {
        max_class_wait.min(run_time)
    } else {
        max_class_wait
    };
    let useful_wait = useful_time.saturating_sub(run_time);
    let place = queue::QueuePlace {
        precedence: offer.precedence,
        start_deadline: now + wait_limit.min(useful_wait),
    };
    let slot_wait = admission.queue_wait(&params, offer, place, available);
    let wait = slot_wait.max(limit_wait);
    let left = Duration::from_millis(u64::from(offer.deadline_left_ms));
    let release_interval = admission.estimate.time_for(1.0, slots);
    let admissible_wait = if is_held {
        let standing = admission.standing;
        standing.max_queue_wait(useful_wait, release_interval, now)
    } else {
        useful_wait
    };
    let patience = Duration::from_millis(u64::from(offer.patience_ms));
    let max_limit_wait = wait_limit
        .min(admissible_wait)
        .min(patience)
        .min(left.saturating_sub(run_time));
    if limit_wait > slot_wait && limit_wait > max_limit_wait {
        let retry_delay = state.signals.defer(&offer.target, now);
        return AdmissionDecision::Refuse(refusal::limit_refusal(state, offer, retry_delay));
    }
    if wait + run_time > left {
        return AdmissionDecision::Refuse(refusal::deadline_refusal(state, offer, wait));
    }
    let is_late = wait > admissible_wait
        || run_time > useful_time
        || yields
        || is_overdue && is_queue_occupied;
    if is_late || wait > patience {
        if !is_overdue {
            admission.turned_away_at = Some(now);
        }
        // The call would be admitted once the queue has shrunk by the excess wait.
        let excess = wait.saturating_sub(admissible_wait);
        return AdmissionDecision::Refuse(refusal::latency_refusal(
            state,
            offer,
            excess.max(release_interval),
        ));
    }
    if wait > max_class_wait {
        let limit = refusal::call_limit(
            entry::EntryKind::Class,
            &offer.class,
            wire::LimitField::QueueTime,
        );
        return AdmissionDecision::Refuse(refusal::capacity_refusal(state, offer, limit));
    }
    let queued = queue::QueuedCall {
        call,
        cost: offer.cost,
        expected_run_time: run_time,
        queued_at: now,
        place,
    };
    enqueue(state, offer, &params, queued)
}

/// Queues a call, or refuses it if the queue is full and no queued call yields its place.
fn enqueue(
    state: &mut reducer::EngineState,
    offer: &wire::CallOffer,
    params: &queue::SchedulingParams,
    queued: queue::QueuedCall,
) -> AdmissionDecision {
    let now = state.now;
    let service = state.dissemination.in_force.service(&offer.service);
    let capacity = service.map_or(0, |service| service.limits.queue as usize);
    let admission = &mut state.admission.targets[&offer.target];
    let displaced = match admission.queue.make_room(params, offer.cost, capacity) {
        queue::QueueEvictionResult::Free => None,
        queue::QueueEvictionResult::Displaced(displaced) => Some(displaced.call),
        queue::QueueEvictionResult::Full => {
            let field = if capacity == 0 {
                wire::LimitField::Slots
            } else {
                wire::LimitField::Queue
            };
            let limit = refusal::call_limit(entry::EntryKind::Service, &offer.service, field);
            return AdmissionDecision::Refuse(refusal::capacity_refusal(state, offer, limit));
        }
    };
    admission.queue.push(params, queued);
    admission.update_standing(now);
    AdmissionDecision::Wait { displaced }
}

fn scheduling_params(
    state: &reducer::EngineState,
    offer: &wire::CallOffer,
) -> queue::SchedulingParams {
    let catalogue = &state.dissemination.in_force;
    let class = catalogue.class(&offer.class);
    let owner = catalogue.owner(&offer.owner);
    queue::SchedulingParams {
        class: offer.class.clone(),
        rank: class_rank(state, &offer.class),
        guaranteed_share: class.map_or(0.0, |class| class.limits.guaranteed_share),
        owner: offer.owner.clone(),
        weight: owner.map_or(1, |owner| owner.weight),
    }
}

/// Returns the rank of a class.
pub fn class_rank(state: &reducer::EngineState, class: &ids::EntryName) -> u32 {
    let class = state.dissemination.in_force.class(class);
    class.map_or(UNKNOWN_CLASS_RANK, |class| class.rank)
}

/// Returns the maximum queue wait of the call's class.
fn max_queue_time(state: &reducer::EngineState, offer: &wire::CallOffer) -> Duration {
    let class = state.dissemination.in_force.class(&offer.class);
    let limits = class.map_or_else(entry::ClassLimits::default, |class| class.limits.clone());
    Duration::from_millis(u64::from(limits.queue_ms))
}

/// Returns the refusal of a call whose owner exceeds its rate at this node, or `None` if the call
/// may pass.
fn check_rate(
    state: &mut reducer::EngineState,
    offer: &wire::CallOffer,
) -> Option<wire::CallRefusal> {
    let rate_limit = state
        .dissemination
        .in_force
        .owner(&offer.owner)?
        .limits
        .rate;
    let service_rate = rate_limit?.per_second();
    routing::table::refresh(state);
    let rate = service_rate * local_share(state, &offer.service);
    let burst = settings::millis(state.settings.tunables.admission.burst_ms);
    let now = state.now;
    let key = (offer.owner.clone(), offer.service.clone());
    let bucket = state
        .admission
        .rates
        .entry(key)
        .or_insert_with(|| rate::RateBucket::full(rate, burst, now));
    bucket.refill(rate, burst, now);
    let wait = bucket.wait(rate);
    if wait.is_zero() {
        return None;
    }
    let limit = refusal::call_limit(
        entry::EntryKind::Owner,
        &offer.owner,
        wire::LimitField::Rate,
    );
    let refusal = wire::CallRefusal::not_run(code::ResultCode::RateExceeded)
        .elsewhere()
        .with_limit(limit, refusal::nonzero_millis(wait));
    Some(refusal::with_load(state, offer, refusal))
}

/// Returns this node's share of a service's live slots.
fn local_share(state: &reducer::EngineState, service: &ids::EntryName) -> f64 {
    let table = &state.routing.table;
    let own_instance = &state.settings.identity.instance;
    let targets = table.of_service(service).iter();
    let own_slots: u32 = targets
        .filter(|(_, target)| target.instance == *own_instance)
        .map(|(_, target)| target.slots)
        .sum();
    f64::from(own_slots) / f64::from(table.slots(service).max(1))
}
