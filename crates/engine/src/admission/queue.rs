//! Calls that wait for a slot of one target: by rank of their class, then fair between owners.
//!
//! Classes are served in order of rank, but each one gets at least its guaranteed share of the work
//! that is given out while it waits. Within a class, owners share by weight: each has a virtual
//! time that grows with cost over weight as its calls start, and the one with the least goes next.
//! An owner's own calls start in the order in which they must have started.
//! A full queue gives up the newest call of whoever is furthest over their part.

use std::{collections::VecDeque, time::Duration};

use hazeltiller_units::{ids, time};
use indexmap::IndexMap;

/// Most unused guaranteed work that a class can save up, in cost units.
const MOST_CREDIT: f64 = 100.0;

/// Whose call it is, and what they are entitled to.
#[derive(Debug, Clone, PartialEq)]
pub struct CallShare {
    /// Its class.
    pub class: ids::EntryName,
    /// Rank of the class.
    pub rank: u32,
    /// Guaranteed share of the class.
    pub guaranteed_share: f64,
    /// Its owner.
    pub owner: ids::EntryName,
    /// Weight of the owner.
    pub weight: u32,
}

/// A call that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedCall {
    /// Which call.
    pub call: ids::CallId,
    /// Its cost in units.
    pub cost: u32,
    /// Time that its run is expected to take.
    pub run: Duration,
    /// When it came.
    pub since: time::MonotonicTime,
    /// When it must have started.
    pub until: time::MonotonicTime,
}

/// Waiting calls of one owner in one class.
#[derive(Debug, Clone, Default)]
struct OwnerQueue {
    weight: f64,
    virtual_time: f64,
    waiting: VecDeque<QueuedCall>,
}

impl OwnerQueue {
    fn cost(&self) -> f64 {
        self.waiting.iter().map(|call| f64::from(call.cost)).sum()
    }

    /// Time of all their runs, in seconds of one slot.
    fn work(&self) -> f64 {
        self.waiting.iter().map(|call| call.run.as_secs_f64()).sum()
    }

    /// The same of those that start before one that must have started by then.
    fn work_before(&self, until: time::MonotonicTime) -> f64 {
        let before = self.waiting.iter().take_while(|call| call.until <= until);
        before.map(|call| call.run.as_secs_f64()).sum()
    }

    fn excess(&self) -> f64 {
        self.cost() / self.weight
    }
}

/// Waiting calls of one class.
#[derive(Debug, Clone, Default)]
struct ClassQueue {
    rank: u32,
    share: f64,
    credit: f64,
    virtual_time: f64,
    owners: IndexMap<ids::EntryName, OwnerQueue>,
}

impl ClassQueue {
    fn len(&self) -> usize {
        self.owners.values().map(|owner| owner.waiting.len()).sum()
    }

    fn work(&self) -> f64 {
        self.owners.values().map(OwnerQueue::work).sum()
    }

    fn owner(&mut self, share: &CallShare) -> &mut OwnerQueue {
        let owner = self.owners.entry(share.owner.clone()).or_default();
        owner.weight = f64::from(share.weight.max(1));
        owner
    }

    fn start(&mut self, share_owner: &ids::EntryName, cost: u32) {
        let class_time = self.virtual_time;
        let owner = self
            .owners
            .get_mut(share_owner)
            .expect("its call starts, so it has a queue");
        let start = owner.virtual_time.max(class_time);
        owner.virtual_time = start + f64::from(cost) / owner.weight;
        self.virtual_time = start;
    }

    /// The owner whose call starts next.
    fn next_owner(&self) -> Option<&ids::EntryName> {
        let start = |owner: &OwnerQueue| owner.virtual_time.max(self.virtual_time);
        self.owners
            .iter()
            .filter(|(_, owner)| !owner.waiting.is_empty())
            .min_by(|(_, one), (_, other)| start(one).total_cmp(&start(other)))
            .map(|(name, _)| name)
    }

    fn head(&self) -> Option<&QueuedCall> {
        self.owners[self.next_owner()?].waiting.front()
    }

    /// Takes the newest call of the owner with the most waiting for its weight.
    fn drop_newest(&mut self) -> Option<QueuedCall> {
        self.owners
            .values_mut()
            .max_by(|one, other| one.excess().total_cmp(&other.excess()))?
            .waiting
            .pop_back()
    }

    /// Queued calls that other classes do not displace.
    fn reserved(&self, capacity: usize) -> usize {
        (self.share * capacity as f64).ceil() as usize
    }
}

/// What a full queue does for a call that comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomAnswer {
    /// There is room.
    Free,
    /// A queued call has lost its place to it.
    Displaced(QueuedCall),
    /// There is none.
    Full,
}

/// Calls that wait for one target.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    classes: IndexMap<ids::EntryName, ClassQueue>,
}

impl FairQueue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.classes.values().map(ClassQueue::len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Time of the runs of all that wait, in seconds of one slot.
    pub fn work(&self) -> f64 {
        self.classes.values().map(ClassQueue::work).sum()
    }

    /// Adds a call.
    pub fn push(&mut self, share: &CallShare, call: QueuedCall) {
        let waiting = &mut self.class(share).owner(share).waiting;
        let place = waiting.partition_point(|other| other.until <= call.until);
        waiting.insert(place, call);
    }

    /// Counts a call that starts without waiting.
    pub fn charge(&mut self, share: &CallShare, cost: u32) {
        let class = self.class(share);
        class.owner(share);
        class.start(&share.owner, cost);
    }

    /// Takes out the call that starts next, with the rank of its class.
    pub fn pop(&mut self) -> Option<(QueuedCall, u32)> {
        let chosen = self.next_class(u32::MAX)?.clone();
        self.pop_of(chosen)
    }

    /// The same among the classes of better rank than this.
    pub fn pop_better(&mut self, rank: u32) -> Option<(QueuedCall, u32)> {
        let chosen = self.next_class(rank)?.clone();
        self.pop_of(chosen)
    }

    fn pop_of(&mut self, chosen: ids::EntryName) -> Option<(QueuedCall, u32)> {
        let owner = self.classes[&chosen].next_owner()?.clone();
        let class = &mut self.classes[&chosen];
        let queue = &mut class.owners[&owner];
        let call = queue.waiting.pop_front()?;
        class.start(&owner, call.cost);
        let rank = class.rank;
        self.give_credit(&chosen, f64::from(call.cost));
        Some((call, rank))
    }

    /// Takes a call out.
    pub fn remove(&mut self, call: ids::CallId) {
        for owner in self.owners_mut() {
            owner.waiting.retain(|queued| queued.call != call);
        }
    }

    /// Takes out every call whose time to start is over.
    pub fn expire(&mut self, now: time::MonotonicTime) -> Vec<QueuedCall> {
        let mut expired = Vec::new();
        for owner in self.owners_mut() {
            expired.extend(owner.waiting.iter().filter(|call| call.until <= now));
            owner.waiting.retain(|call| call.until > now);
        }
        expired
    }

    /// Makes room for a call in a queue of `capacity`.
    pub fn make_room(&mut self, share: &CallShare, cost: u32, capacity: usize) -> RoomAnswer {
        if self.len() < capacity {
            return RoomAnswer::Free;
        }
        let arriving = self.class(share);
        let is_entitled = arriving.len() < arriving.reserved(capacity);
        let victim = self
            .classes
            .iter()
            .filter(|(name, class)| {
                **name != share.class
                    && class.len() > class.reserved(capacity)
                    && (is_entitled || class.rank > share.rank)
            })
            .max_by_key(|(_, class)| class.rank)
            .map(|(name, _)| name.clone());
        let displaced = match victim {
            Some(victim) => self.classes[&victim].drop_newest(),
            None => self.displace_within(share, cost),
        };
        displaced.map_or(RoomAnswer::Full, RoomAnswer::Displaced)
    }

    /// Time of the runs that start before a call that comes now and must have started by `until`, by what
    /// waits now, in seconds of one slot.
    pub fn work_ahead(&self, share: &CallShare, until: time::MonotonicTime) -> f64 {
        let Some(own) = self.classes.get(&share.class) else {
            return self.work_of_better(share.rank);
        };
        let own_owner = own.owners.get(&share.owner);
        let mine = own_owner.map_or(0.0, |owner| owner.work_before(until));
        let weight = f64::from(share.weight.max(1));
        let others: f64 = own
            .owners
            .iter()
            .filter(|(name, owner)| **name != share.owner && !owner.waiting.is_empty())
            .map(|(_, owner)| owner.work().min(mine * owner.weight / weight))
            .sum();
        let by_rank = self.work_of_better(share.rank) + mine + others;
        if own.share > 0.0 {
            by_rank.min((mine + others) / own.share)
        } else {
            by_rank
        }
    }

    fn work_of_better(&self, rank: u32) -> f64 {
        let better = self.classes.values().filter(|class| class.rank < rank);
        better.map(ClassQueue::work).sum()
    }

    fn class(&mut self, share: &CallShare) -> &mut ClassQueue {
        let class = self.classes.entry(share.class.clone()).or_default();
        class.rank = share.rank;
        class.share = share.guaranteed_share;
        class
    }

    fn owners_mut(&mut self) -> impl Iterator<Item = &mut OwnerQueue> {
        self.classes
            .values_mut()
            .flat_map(|class| class.owners.values_mut())
    }

    /// The class whose call starts next: one that has its guarantee to come, or the first by rank;
    /// among equal ranks the one whose call waits longest. Only ranks better than `than` count.
    fn next_class(&self, than: u32) -> Option<&ids::EntryName> {
        let heads = self
            .classes
            .iter()
            .filter(|(_, class)| class.rank < than)
            .filter_map(|(name, class)| Some((name, class, class.head()?)));
        heads
            .min_by_key(|(_, class, head)| {
                let is_owed = class.credit >= f64::from(head.cost);
                (!is_owed, class.rank, head.since)
            })
            .map(|(name, ..)| name)
    }

    fn give_credit(&mut self, chosen: &ids::EntryName, cost: f64) {
        for (name, class) in &mut self.classes {
            if class.len() == 0 {
                class.credit = 0.0;
                continue;
            }
            let spent = if name == chosen { cost } else { 0.0 };
            class.credit = (class.credit + class.share * cost - spent).clamp(0.0, MOST_CREDIT);
        }
    }

    fn displace_within(&mut self, share: &CallShare, cost: u32) -> Option<QueuedCall> {
        let class = &mut self.classes[&share.class];
        let own = class.owner(share);
        let excess = (own.cost() + f64::from(cost)) / own.weight;
        let heaviest = class
            .owners
            .values()
            .map(OwnerQueue::excess)
            .fold(0.0, f64::max);
        if heaviest > excess {
            class.drop_newest()
        } else {
            None
        }
    }
}
