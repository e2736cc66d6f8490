//! Slots and queues of the targets that this node owns, and owners' rates.
//!
//! Every call of a target passes here, whichever node its caller asked, so its slots are counted in
//! one place. A call runs at once while a slot is free; else it waits, for a short time and in a
//! short queue, unless it is plain that it could not start or end in time. Each refusal names the
//! limit that did it and is given at once: none of these calls ran.

use std::time::Duration;

use hazeltiller_catalogue::entry;
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{calls as wire, membership as wire_membership};
use indexmap::IndexMap;

use crate::{calls, health, membership, reducer, rollout, routing, settings};

pub mod pace;
pub mod queue;
pub mod rate;
mod refusal;
pub mod reserve;
mod standing;
mod urgency;

pub use refusal::{refuse_displaced, refuse_waited};

/// Rank of a class that this node does not know yet: it is served last.
const UNKNOWN_RANK: u32 = 100;

/// What is done with an offered call.
#[derive(Debug, Clone, PartialEq)]
pub enum AdmissionAnswer {
    /// It runs now.
    Run,
    /// It waits for a slot; a call that waited may have lost its place to it.
    Wait {
        /// That call.
        displaced: Option<ids::CallId>,
    },
    /// It is refused; it did not run.
    Refuse(wire::CallRefusal),
}

/// Slots and queue of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetAdmission {
    /// Calls that run.
    pub running: u32,
    /// Those of them that are of the class that is served last.
    pub running_last: u32,
    /// What the others use.
    pub urgent: reserve::UrgentUse,
    /// Calls that wait.
    pub queue: queue::FairQueue,
    /// What its runs show.
    pub pace: pace::TargetPace,
    /// How long its queue has not been empty.
    standing: standing::QueueStanding,
}

impl TargetAdmission {
    /// Time until a call that comes now gets a slot: until what goes before it has run, on the slots that its
    /// class gets, and the next one frees. Counts of calls do not tell: one that waits may run ten times as
    /// long as the mean of all runs, most of which are short.
    fn wait(
        &self,
        share: &queue::CallShare,
        offer: &wire::CallOffer,
        until: time::MonotonicTime,
        room: SlotRoom,
    ) -> Duration {
        let ahead = self.queue.work_ahead(share, until) / f64::from(room.of_class);
        let next = self.pace.time_for(f64::from(offer.cost), room.of_target);
        Duration::from_secs_f64(ahead) + next
    }

    /// Notes whether anybody waits now.
    fn watch_queue(&mut self, now: time::MonotonicTime) {
        self.standing.note(!self.queue.is_empty(), now);
    }

    /// Time until all that waits has run.
    fn time_to_drain(&self, slots: u32) -> Duration {
        Duration::from_secs_f64(self.queue.work() / f64::from(slots.max(1)))
    }

    /// Whether a free slot may go to the class that is served last.
    fn is_open_to_last(&self, slots: u32, now: time::MonotonicTime) -> bool {
        let turnover = self.pace.time_for(1.0, slots);
        let reserved = self.urgent.reserved(slots, turnover, now);
        self.running_last + reserved < slots
    }
}

/// Slots that a call may come to.
#[derive(Debug, Clone, Copy)]
struct SlotRoom {
    /// Slots of the target.
    of_target: u32,
    /// Those of them that better classes leave to the call's own on average; at least one.
    of_class: u32,
}

/// State of admission.
#[derive(Debug, Clone, Default)]
pub struct AdmissionState {
    /// By target.
    pub targets: IndexMap<ids::TargetName, TargetAdmission>,
    /// Rate limits of owners.
    pub rates: rate::RateBuckets,
}

/// Admits a call to an own target.
pub fn admit(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    offer: &wire::CallOffer,
) -> AdmissionAnswer {
    let own = state.membership.targets.get(&offer.target);
    let is_ready =
        |own: &membership::OwnTarget| own.record.state == wire_membership::TargetState::Ready;
    let is_open = own.is_some_and(|own| is_ready(own) && !rollout::is_rolled_back(state, own));
    if !is_open {
        let missing = wire::CallRefusal::not_run(code::ResultCode::TargetMissing);
        return AdmissionAnswer::Refuse(missing.elsewhere());
    }
    if let Some(refusal) = check_rate(state, offer) {
        return AdmissionAnswer::Refuse(refusal);
    }
    let answer = take_place(state, call, offer);
    if !matches!(answer, AdmissionAnswer::Refuse(_)) {
        let key = (offer.owner.clone(), offer.service.clone());
        if let Some(bucket) = state.admission.rates.get_mut(&key) {
            bucket.spend(offer.cost);
        }
    }
    answer
}

/// Gives a free slot to a waiting call, if there are both; the call runs.
pub fn next(state: &mut reducer::EngineState, target: &ids::TargetName) -> Option<ids::CallId> {
    let slots = slots(state, target);
    let now = state.now;
    let service = &state.membership.targets.get(target)?.record.service;
    let last_rank = state.routing.routes.max_rank(service);
    let admission = state.admission.targets.get_mut(target)?;
    if admission.running >= slots {
        return None;
    }
    let is_open = admission.is_open_to_last(slots, now);
    let (queued, rank) = if is_open {
        admission.queue.pop()?
    } else {
        admission.queue.pop_better(last_rank?)?
    };
    admission.watch_queue(now);
    admission.running += 1;
    admission.running_last += u32::from(Some(rank) >= last_rank);
    Some(queued.call)
}

/// Takes a waiting call out of the queue of a target that takes no more.
pub fn evict(state: &mut reducer::EngineState, target: &ids::TargetName) -> Option<ids::CallId> {
    let admission = state.admission.targets.get_mut(target)?;
    admission.queue.pop().map(|(queued, _rank)| queued.call)
}

/// Forgets the slots in use, the queue and the pace of a target that started again.
pub fn end_life(state: &mut reducer::EngineState, target: &ids::TargetName) {
    state.admission.targets.shift_remove(target);
}

/// Frees the slot of a run that ended and learns from it.
pub fn end_run(
    state: &mut reducer::EngineState,
    offer: &wire::CallOffer,
    took: Duration,
    result: calls::RunResult,
) {
    let announced = announced_slots(state, &offer.target);
    let is_last = urgency::is_bounded(state, offer);
    let now = state.now;
    let Some(admission) = state.admission.targets.get_mut(&offer.target) else {
        return;
    };
    match result {
        calls::RunResult::Done { status: 503 } | calls::RunResult::Declined => {
            admission.pace.note_shed(admission.running, announced);
        }
        calls::RunResult::Done { status } if status < 500 => {
            admission
                .pace
                .note_run(&offer.route, took, offer.cost, announced, admission.running);
        }
        _ => {}
    }
    admission.running = admission.running.saturating_sub(1);
    if is_last {
        admission.running_last = admission.running_last.saturating_sub(1);
    } else {
        let latency = Duration::from_millis(u64::from(offer.latency_left_ms));
        admission.urgent.note_run(took, latency, now);
    }
}

/// Takes a call out of its queue.
pub fn forget(state: &mut reducer::EngineState, target: &ids::TargetName, call: ids::CallId) {
    if let Some(admission) = state.admission.targets.get_mut(target) {
        admission.queue.remove(call);
        admission.watch_queue(state.now);
    }
}

/// Takes out every call whose time to start is over.
pub fn expire(state: &mut reducer::EngineState) -> Vec<ids::CallId> {
    let now = state.now;
    let queues = state.admission.targets.values_mut();
    queues
        .flat_map(|admission| {
            let expired = admission.queue.expire(now);
            admission.watch_queue(now);
            expired
        })
        .map(|queued| queued.call)
        .collect()
}

/// What is reported of an own target with the answer to a call.
pub fn report(state: &reducer::EngineState, offer: &wire::CallOffer) -> wire::LoadReport {
    let admission = state.admission.targets.get(&offer.target);
    let run = admission.map_or(Duration::ZERO, |admission| {
        admission.pace.run_time(&offer.route, offer.cost)
    });
    wire::LoadReport {
        route_us: u32::try_from(run.as_micros()).unwrap_or(u32::MAX),
        ..load(state, &offer.target)
    }
}

/// Load of an own target, of no route.
pub fn load(state: &reducer::EngineState, target: &ids::TargetName) -> wire::LoadReport {
    let admission = state.admission.targets.get(target);
    wire::LoadReport {
        in_flight: admission.map_or(0, |admission| admission.running),
        queued: admission.map_or(0, queued_runs),
        slots: slots(state, target),
        service_us: admission.map_or(0, |admission| admission.pace.service_us()),
        route_us: 0,
        is_failing: health::is_failing(state, target),
    }
}

/// Requests of an own target that run or wait, those that wait in runs of the mean length.
pub fn in_use(state: &reducer::EngineState, target: &ids::TargetName) -> u32 {
    let admission = state.admission.targets.get(target);
    admission.map_or(0, |admission| admission.running + queued_runs(admission))
}

/// How many runs of the mean length take as long as what waits.
fn queued_runs(admission: &TargetAdmission) -> u32 {
    let mean = f64::from(admission.pace.service_us()) / 1e6;
    if mean > 0.0 {
        (admission.queue.work() / mean).round() as u32
    } else {
        admission.queue.len() as u32
    }
}

/// Slots of an own target that are used.
pub fn slots(state: &reducer::EngineState, target: &ids::TargetName) -> u32 {
    let announced = announced_slots(state, target);
    let admission = state.admission.targets.get(target);
    admission.map_or(announced, |admission| admission.pace.slots(announced))
}

fn announced_slots(state: &reducer::EngineState, target: &ids::TargetName) -> u32 {
    let Some(own) = state.membership.targets.get(target) else {
        return 0;
    };
    let catalogue = &state.dissemination.in_force;
    // Each run takes a connection of its own, so that those bound the slots too.
    let limit = catalogue
        .service(&own.record.service)
        .map_or(u32::MAX, |service| {
            service.limits.slots.min(service.limits.connections)
        });
    own.record.slots.min(own.record.connections).min(limit)
}

fn take_place(
    state: &mut reducer::EngineState,
    call: ids::CallId,
    offer: &wire::CallOffer,
) -> AdmissionAnswer {
    let slots = slots(state, &offer.target);
    let share = share(state, offer);
    let useful = urgency::useful_time(state, offer);
    let is_last = urgency::is_bounded(state, offer);
    let is_overdue = urgency::is_overdue(state, offer);
    let class_wait = longest_wait(state, offer);
    let now = state.now;
    let admission = state
        .admission
        .targets
        .entry(offer.target.clone())
        .or_default();
    let is_open = !is_last || admission.is_open_to_last(slots, now);
    if admission.running < slots && admission.queue.is_empty() && is_open {
        admission.running += 1;
        admission.running_last += u32::from(is_last);
        admission.queue.charge(&share, offer.cost);
        return AdmissionAnswer::Run;
    }
    let is_anyone_waiting = !admission.queue.is_empty();
    let by_better = if is_last {
        admission.urgent.used(now)
    } else {
        0
    };
    let room = SlotRoom {
        of_target: slots,
        of_class: slots.saturating_sub(by_better).max(1),
    };
    let run = admission.pace.run_time(&offer.route, offer.cost);
    // One that is overdue gets the next slot or none.
    let longest = if is_overdue {
        class_wait.min(run)
    } else {
        class_wait
    };
    let longest_useful = useful.saturating_sub(run);
    let until = now + longest.min(longest_useful);
    let wait = admission.wait(&share, offer, until, room);
    let left = Duration::from_millis(u64::from(offer.deadline_left_ms));
    if wait + run > left {
        return AdmissionAnswer::Refuse(refusal::refuse_unreachable(state, offer, wait));
    }
    let turnover = admission.pace.time_for(1.0, slots);
    let bearable = if is_last {
        let standing = admission.standing;
        standing.bearable_wait(longest_useful, turnover, now)
    } else {
        longest_useful
    };
    let is_late = wait > bearable || run > useful || is_overdue && is_anyone_waiting;
    if is_late || wait > Duration::from_millis(u64::from(offer.patience_ms)) {
        // Room is there once those ahead are so few that the call would be admitted.
        let excess = wait.saturating_sub(bearable);
        return AdmissionAnswer::Refuse(refusal::refuse_late(state, offer, excess.max(turnover)));
    }
    if wait > class_wait {
        let limit = refusal::limit(
            entry::EntryKind::Class,
            &offer.class,
            wire::LimitField::QueueTime,
        );
        return AdmissionAnswer::Refuse(refusal::refuse_capacity(state, offer, limit));
    }
    let queued = queue::QueuedCall {
        call,
        cost: offer.cost,
        run,
        since: now,
        until,
    };
    enqueue(state, offer, &share, queued)
}

fn enqueue(
    state: &mut reducer::EngineState,
    offer: &wire::CallOffer,
    share: &queue::CallShare,
    queued: queue::QueuedCall,
) -> AdmissionAnswer {
    let now = state.now;
    let service = state.dissemination.in_force.service(&offer.service);
    let capacity = service.map_or(0, |service| service.limits.queue as usize);
    let admission = &mut state.admission.targets[&offer.target];
    let displaced = match admission.queue.make_room(share, offer.cost, capacity) {
        queue::RoomAnswer::Free => None,
        queue::RoomAnswer::Displaced(displaced) => Some(displaced.call),
        queue::RoomAnswer::Full => {
            let field = if capacity == 0 {
                wire::LimitField::Slots
            } else {
                wire::LimitField::Queue
            };
            let limit = refusal::limit(entry::EntryKind::Service, &offer.service, field);
            return AdmissionAnswer::Refuse(refusal::refuse_capacity(state, offer, limit));
        }
    };
    admission.queue.push(share, queued);
    admission.watch_queue(now);
    AdmissionAnswer::Wait { displaced }
}

fn share(state: &reducer::EngineState, offer: &wire::CallOffer) -> queue::CallShare {
    let catalogue = &state.dissemination.in_force;
    let class = catalogue.class(&offer.class);
    let owner = catalogue.owner(&offer.owner);
    queue::CallShare {
        class: offer.class.clone(),
        rank: class.map_or(UNKNOWN_RANK, |class| class.rank),
        guaranteed_share: class.map_or(0.0, |class| class.limits.guaranteed_share),
        owner: offer.owner.clone(),
        weight: owner.map_or(1, |owner| owner.weight),
    }
}

fn longest_wait(state: &reducer::EngineState, offer: &wire::CallOffer) -> Duration {
    let class = state.dissemination.in_force.class(&offer.class);
    let limits = class.map_or_else(entry::ClassLimits::default, |class| class.limits.clone());
    Duration::from_millis(u64::from(limits.queue_ms))
}

/// The refusal of a call whose owner is over its rate here; `None` when it may pass.
fn check_rate(
    state: &mut reducer::EngineState,
    offer: &wire::CallOffer,
) -> Option<wire::CallRefusal> {
    let limit_of_owner = state
        .dissemination
        .in_force
        .owner(&offer.owner)?
        .limits
        .rate;
    let whole = limit_of_owner?.per_second();
    routing::table::refresh(state);
    let rate = whole * own_part(state, &offer.service);
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
    let limit = refusal::limit(
        entry::EntryKind::Owner,
        &offer.owner,
        wire::LimitField::Rate,
    );
    let refusal = wire::CallRefusal::not_run(code::ResultCode::RateExceeded)
        .elsewhere()
        .with_limit(limit, refusal::whole_millis(wait));
    Some(refusal::with_load(state, offer, refusal))
}

/// This node's part of a service's live slots.
fn own_part(state: &reducer::EngineState, service: &ids::EntryName) -> f64 {
    let table = &state.routing.table;
    let own = &state.settings.identity.instance;
    let of_own = table.of_service(service).iter();
    let own_slots: u32 = of_own
        .filter(|target| target.instance == *own)
        .map(|target| target.slots)
        .sum();
    f64::from(own_slots) / f64::from(table.slots(service).max(1))
}
