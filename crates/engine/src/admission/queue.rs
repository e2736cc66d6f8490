//! Queue of the calls that wait for a slot of one target: priority scheduling between classes and
//! weighted fair queueing between owners.
//!
//! Classes are served in order of rank, lowest number first, but each class gets at least its
//! guaranteed share of the work that starts while its calls wait. Within a class, owners share by
//! weight: each owner has a virtual time that advances by cost divided by weight as its calls
//! start, and the owner with the smallest virtual time is served next. The calls of one owner start
//! in order of their precedence, and with equal precedence in order of their start deadlines. A full queue drops the last call of the owner that exceeds
//! its share the most.

use std::{collections::VecDeque, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;

/// Maximum unused guaranteed work that a class can accumulate, in cost units.
const MAX_CREDIT_COST_UNITS: f64 = 100.0;

/// Class and owner of a call with the parameters by which the call is scheduled.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulingParams {
    /// Class of the call.
    pub class: ids::EntryName,
    /// Rank of the class; a lower number is served first.
    pub rank: u32,
    /// Guaranteed share of the class in the work, from 0 to 1.
    pub guaranteed_share: f64,
    /// Owner of the call.
    pub owner: ids::EntryName,
    /// Weight of the owner among the owners of the class.
    pub weight: u32,
}

/// A queued call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedCall {
    /// Identifier of the call.
    pub call: ids::CallId,
    /// Cost of the call, in cost units.
    pub cost: u32,
    /// Expected run time.
    pub expected_run_time: Duration,
    /// When the call was queued.
    pub queued_at: time::MonotonicTime,
    /// Position among the calls of its owner.
    pub place: QueuePlace,
}

impl QueuedCall {
    /// Returns the time at which the call expires unless it has started.
    pub fn start_deadline(&self) -> time::MonotonicTime {
        self.place.start_deadline
    }
}

/// Position of a call among the queued calls of its owner; the lowest starts first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePlace {
    /// Precedence of the call.
    pub precedence: wire::CallPrecedence,
    /// Time at which the call expires unless it has started.
    pub start_deadline: time::MonotonicTime,
}

/// Queued calls of one owner in one class, in order of their places.
#[derive(Debug, Clone, Default)]
struct OwnerQueue {
    weight: f64,
    virtual_time: f64,
    queued_calls: VecDeque<QueuedCall>,
}

impl OwnerQueue {
    fn queued_cost(&self) -> f64 {
        self.queued_calls
            .iter()
            .map(|call| f64::from(call.cost))
            .sum()
    }

    /// Returns the expected run time of all queued calls, in slot-seconds.
    fn queued_work_s(&self) -> f64 {
        self.queued_calls
            .iter()
            .map(|call| call.expected_run_time.as_secs_f64())
            .sum()
    }

    /// Returns the expected run time of the calls that start before one with this place, in
    /// slot-seconds.
    fn work_before_s(&self, place: QueuePlace) -> f64 {
        let before = self
            .queued_calls
            .iter()
            .take_while(|call| call.place <= place);
        before
            .map(|call| call.expected_run_time.as_secs_f64())
            .sum()
    }

    /// Returns the queued cost divided by the owner's weight.
    fn weighted_cost(&self) -> f64 {
        self.queued_cost() / self.weight
    }
}

/// Queued calls of one class.
#[derive(Debug, Clone, Default)]
struct ClassQueue {
    rank: u32,
    guaranteed_share: f64,
    /// Unused guaranteed work, in cost units.
    credit: f64,
    virtual_time: f64,
    owners: IndexMap<ids::EntryName, OwnerQueue>,
}

impl ClassQueue {
    fn len(&self) -> usize {
        self.owners
            .values()
            .map(|owner| owner.queued_calls.len())
            .sum()
    }

    fn queued_work_s(&self) -> f64 {
        self.owners.values().map(OwnerQueue::queued_work_s).sum()
    }

    fn owner_mut(&mut self, params: &SchedulingParams) -> &mut OwnerQueue {
        let owner = self.owners.entry(params.owner.clone()).or_default();
        owner.weight = f64::from(params.weight.max(1));
        owner
    }

    /// Advances the virtual times for a call that starts.
    fn start(&mut self, owner_name: &ids::EntryName, cost: u32) {
        let class_virtual_time = self.virtual_time;
        let owner = self
            .owners
            .get_mut(owner_name)
            .expect("its call starts, so it has a queue");
        let virtual_start = owner.virtual_time.max(class_virtual_time);
        owner.virtual_time = virtual_start + f64::from(cost) / owner.weight;
        self.virtual_time = virtual_start;
    }

    /// Returns the owner whose call starts next.
    fn next_owner(&self) -> Option<&ids::EntryName> {
        let virtual_start = |owner: &OwnerQueue| owner.virtual_time.max(self.virtual_time);
        self.owners
            .iter()
            .filter(|(_, owner)| !owner.queued_calls.is_empty())
            .min_by(|(_, one), (_, other)| virtual_start(one).total_cmp(&virtual_start(other)))
            .map(|(name, _)| name)
    }

    /// Returns the call that starts next.
    fn head(&self) -> Option<&QueuedCall> {
        self.owners[self.next_owner()?].queued_calls.front()
    }

    /// Removes the last call of the owner with the highest queued cost for its weight.
    fn drop_last(&mut self) -> Option<QueuedCall> {
        self.owners
            .values_mut()
            .max_by(|one, other| one.weighted_cost().total_cmp(&other.weighted_cost()))?
            .queued_calls
            .pop_back()
    }

    /// Returns the number of places in the queue from which other classes cannot displace calls.
    fn reserved_places(&self, capacity: usize) -> usize {
        (self.guaranteed_share * capacity as f64).ceil() as usize
    }
}

/// Outcome of making room in the queue for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueEvictionResult {
    /// The queue has a free place.
    Free,
    /// This queued call lost its place to the arriving one.
    Displaced(QueuedCall),
    /// The queue is full and no queued call yields its place.
    Full,
}

/// Queue of calls that wait for a slot of one target.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    classes: IndexMap<ids::EntryName, ClassQueue>,
}

impl FairQueue {
    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.classes.values().map(ClassQueue::len).sum()
    }

    /// Returns whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the expected run time of all queued calls, in slot-seconds.
    pub fn queued_work_s(&self) -> f64 {
        self.classes.values().map(ClassQueue::queued_work_s).sum()
    }

    /// Adds a call to the queue.
    pub fn push(&mut self, params: &SchedulingParams, call: QueuedCall) {
        let queued_calls = &mut self.class_mut(params).owner_mut(params).queued_calls;
        let index = queued_calls.partition_point(|other| other.place <= call.place);
        queued_calls.insert(index, call);
    }

    /// Charges a call that starts without waiting to its owner's virtual time.
    pub fn charge(&mut self, params: &SchedulingParams, cost: u32) {
        let class = self.class_mut(params);
        class.owner_mut(params);
        class.start(&params.owner, cost);
    }

    /// Returns the rank of the class whose call starts next among those with a lower rank number
    /// than `rank`.
    pub fn next_rank(&self, rank: u32) -> Option<u32> {
        Some(self.classes[self.next_class(rank)?].rank)
    }

    /// Returns the number of queued calls of classes with this rank or a higher priority.
    pub fn calls_ahead(&self, rank: u32) -> usize {
        let classes = self.classes.values().filter(|class| class.rank <= rank);
        classes.map(ClassQueue::len).sum()
    }

    /// Removes the call that starts next and returns it with the rank of its class.
    pub fn pop(&mut self) -> Option<(QueuedCall, u32)> {
        let class_name = self.next_class(u32::MAX)?.clone();
        self.pop_from(class_name)
    }

    /// Removes the call that starts next among the classes with a lower rank number than `rank`,
    /// and returns it with the rank of its class.
    pub fn pop_higher_priority(&mut self, rank: u32) -> Option<(QueuedCall, u32)> {
        let class_name = self.next_class(rank)?.clone();
        self.pop_from(class_name)
    }

    fn pop_from(&mut self, class_name: ids::EntryName) -> Option<(QueuedCall, u32)> {
        let owner = self.classes[&class_name].next_owner()?.clone();
        let class = &mut self.classes[&class_name];
        let queue = &mut class.owners[&owner];
        let call = queue.queued_calls.pop_front()?;
        class.start(&owner, call.cost);
        let rank = class.rank;
        self.update_credits(&class_name, f64::from(call.cost));
        Some((call, rank))
    }

    /// Removes a call.
    pub fn remove(&mut self, call: ids::CallId) {
        for owner in self.owners_mut() {
            owner.queued_calls.retain(|queued| queued.call != call);
        }
    }

    /// Removes and returns every call whose start deadline has passed.
    pub fn expire(&mut self, now: time::MonotonicTime) -> Vec<QueuedCall> {
        let mut expired = Vec::new();
        for owner in self.owners_mut() {
            expired.extend(
                owner
                    .queued_calls
                    .iter()
                    .filter(|call| call.start_deadline() <= now),
            );
            owner
                .queued_calls
                .retain(|call| call.start_deadline() > now);
        }
        expired
    }

    /// Makes room for a call in a queue of `capacity` places, if necessary by displacing a queued
    /// call.
    ///
    /// A call of another class yields its place if that class exceeds its reserved places, and if
    /// it has lower priority or the arriving class is within its own reserved places. Otherwise a
    /// call of the same class may yield if its owner exceeds its share by more than the arriving
    /// call's owner.
    pub fn make_room(
        &mut self,
        params: &SchedulingParams,
        cost: u32,
        capacity: usize,
    ) -> QueueEvictionResult {
        if self.len() < capacity {
            return QueueEvictionResult::Free;
        }
        let arriving_class = self.class_mut(params);
        let is_within_reserve = arriving_class.len() < arriving_class.reserved_places(capacity);
        let yielding = self
            .classes
            .iter()
            .filter(|(name, class)| {
                **name != params.class
                    && class.len() > class.reserved_places(capacity)
                    && (is_within_reserve || class.rank > params.rank)
            })
            .max_by_key(|(_, class)| class.rank)
            .map(|(name, _)| name.clone());
        let displaced = match yielding {
            Some(yielding) => self.classes[&yielding].drop_last(),
            None => self.displace_within_class(params, cost),
        };
        displaced.map_or(QueueEvictionResult::Full, QueueEvictionResult::Displaced)
    }

    /// Returns the expected run time of the queued calls that would start before a call that
    /// arrives now and would take this place, in slot-seconds.
    pub fn work_ahead_s(&self, params: &SchedulingParams, place: QueuePlace) -> f64 {
        let Some(own_class) = self.classes.get(&params.class) else {
            return self.higher_priority_work_s(params.rank);
        };
        let own_queue = own_class.owners.get(&params.owner);
        let own_work_s = own_queue.map_or(0.0, |owner| owner.work_before_s(place));
        let weight = f64::from(params.weight.max(1));
        let other_work_s: f64 = own_class
            .owners
            .iter()
            .filter(|(name, owner)| **name != params.owner && !owner.queued_calls.is_empty())
            .map(|(_, owner)| {
                owner
                    .queued_work_s()
                    .min(own_work_s * owner.weight / weight)
            })
            .sum();
        let by_rank_s = self.higher_priority_work_s(params.rank) + own_work_s + other_work_s;
        if own_class.guaranteed_share > 0.0 {
            by_rank_s.min((own_work_s + other_work_s) / own_class.guaranteed_share)
        } else {
            by_rank_s
        }
    }

    /// Returns the expected run time of all queued calls of higher-priority classes, in
    /// slot-seconds.
    fn higher_priority_work_s(&self, rank: u32) -> f64 {
        let higher = self.classes.values().filter(|class| class.rank < rank);
        higher.map(ClassQueue::queued_work_s).sum()
    }

    fn class_mut(&mut self, params: &SchedulingParams) -> &mut ClassQueue {
        let class = self.classes.entry(params.class.clone()).or_default();
        class.rank = params.rank;
        class.guaranteed_share = params.guaranteed_share;
        class
    }

    fn owners_mut(&mut self) -> impl Iterator<Item = &mut OwnerQueue> {
        self.classes
            .values_mut()
            .flat_map(|class| class.owners.values_mut())
    }

    /// Returns the class whose call starts next: first classes whose guaranteed share is due, then
    /// by rank, then by the longest wait. Considers only classes with a lower rank number than
    /// `rank`.
    fn next_class(&self, rank: u32) -> Option<&ids::EntryName> {
        let heads = self
            .classes
            .iter()
            .filter(|(_, class)| class.rank < rank)
            .filter_map(|(name, class)| Some((name, class, class.head()?)));
        heads
            .min_by_key(|(_, class, head)| {
                let is_guarantee_due = class.credit >= f64::from(head.cost);
                (!is_guarantee_due, class.rank, head.queued_at)
            })
            .map(|(name, ..)| name)
    }

    /// Credits every class that has queued calls with its guaranteed share of the work that starts,
    /// and charges the work to the class that it belongs to.
    fn update_credits(&mut self, class_name: &ids::EntryName, cost: f64) {
        for (name, class) in &mut self.classes {
            if class.len() == 0 {
                class.credit = 0.0;
                continue;
            }
            let spent = if name == class_name { cost } else { 0.0 };
            class.credit = (class.credit + class.guaranteed_share * cost - spent)
                .clamp(0.0, MAX_CREDIT_COST_UNITS);
        }
    }

    /// Displaces a call of the arriving call's class, if an owner there has a higher weighted cost
    /// than the arriving call's owner would have.
    fn displace_within_class(
        &mut self,
        params: &SchedulingParams,
        cost: u32,
    ) -> Option<QueuedCall> {
        let class = &mut self.classes[&params.class];
        let own_queue = class.owner_mut(params);
        let weighted_cost = (own_queue.queued_cost() + f64::from(cost)) / own_queue.weight;
        let max_weighted_cost = class
            .owners
            .values()
            .map(OwnerQueue::weighted_cost)
            .fold(0.0, f64::max);
        if max_weighted_cost > weighted_cost {
            class.drop_last()
        } else {
            None
        }
    }
}
