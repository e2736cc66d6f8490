//! Calls that are refused where they come in, since no target has had room for most of the latest ones.
//!
//! An offer that is given back costs two nodes their processors and the caller its time. While more comes than
//! targets take, this node offers only twice what they took lately, which is enough to see when they
//! take more again, and refuses the rest at once. What it learns is of one route to one service: routes of a
//! service are not refused alike.

use std::time::Duration;

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;

/// Time over which what was seen fades.
const MEMORY: Duration = Duration::from_millis(500);
/// Calls that are offered for each one that found room.
const OFFERS_PER_ROOM: f64 = 2.0;
/// Largest share of calls that are refused: the others show when there is room again.
const LARGEST_SHARE: f64 = 0.8;
/// Calls within the memory below which nothing is concluded.
const FEWEST_CALLS: f64 = 8.0;
/// Part of what a target says anew in the time after which callers may come back.
const SMOOTHING: f64 = 0.1;
/// Routes that are remembered; the one that was seen first is forgotten first.
const MOST_ROUTES: usize = 512;

/// What became of the latest calls of a route, fading.
#[derive(Debug, Clone, Default)]
pub struct RouteThrottle {
    /// Calls that came.
    asked: f64,
    /// Those of them that were offered.
    offered: f64,
    /// Those of them that found no room.
    without_room: f64,
    at: time::MonotonicTime,
    /// When targets said that there would be room, smoothed.
    room_in: Duration,
    /// The limit that the latest of them named.
    limit: Option<wire::CallLimit>,
}

impl RouteThrottle {
    /// The share of calls that are to be refused now.
    fn refused_share(&mut self, now: time::MonotonicTime) -> f64 {
        self.fade(now);
        if self.asked < FEWEST_CALLS {
            return 0.0;
        }
        let most = OFFERS_PER_ROOM * self.with_room();
        (1.0 - most / self.asked).clamp(0.0, LARGEST_SHARE)
    }

    fn with_room(&self) -> f64 {
        (self.offered - self.without_room).max(0.0)
    }

    fn note_no_room(&mut self, refusal: &wire::CallRefusal) {
        let room_in = Duration::from_millis(u64::from(refusal.retry_after_ms));
        self.without_room += 1.0;
        self.limit.clone_from(&refusal.limit);
        self.room_in = if self.room_in.is_zero() {
            room_in
        } else {
            self.room_in.mul_f64(1.0 - SMOOTHING) + room_in.mul_f64(SMOOTHING)
        };
    }

    fn fade(&mut self, now: time::MonotonicTime) {
        let ages = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        let left = (-ages).exp();
        self.asked *= left;
        self.offered *= left;
        self.without_room *= left;
        self.at = now;
    }
}

/// Throttles of every service and route.
#[derive(Debug, Clone, Default)]
pub struct ThrottleTable(IndexMap<(ids::EntryName, ids::EntryName), RouteThrottle>);

impl ThrottleTable {
    /// The share of calls that are to be refused now.
    pub fn refused_share(
        &mut self,
        service: &ids::EntryName,
        route: &ids::EntryName,
        now: time::MonotonicTime,
    ) -> f64 {
        let key = (service.clone(), route.clone());
        let share = self.0.entry(key).or_default().refused_share(now);
        while self.0.len() > MOST_ROUTES {
            self.0.shift_remove_index(0);
        }
        share
    }

    /// Takes a call that came, and whether it is offered.
    pub fn note(&mut self, service: &ids::EntryName, route: &ids::EntryName, is_offered: bool) {
        if let Some(throttle) = self.0.get_mut(&(service.clone(), route.clone())) {
            throttle.asked += 1.0;
            throttle.offered += f64::from(u8::from(is_offered));
        }
    }

    /// Takes the refusal of a call that found no room.
    pub fn note_no_room(
        &mut self,
        service: &ids::EntryName,
        route: &ids::EntryName,
        refusal: &wire::CallRefusal,
    ) {
        if let Some(throttle) = self.0.get_mut(&(service.clone(), route.clone())) {
            throttle.note_no_room(refusal);
        }
    }

    /// The refusal of a call that is not offered: with what targets said to the latest ones that were.
    pub fn refusal(&self, service: &ids::EntryName, route: &ids::EntryName) -> wire::CallRefusal {
        let throttle = self.0.get(&(service.clone(), route.clone()));
        let room_in = throttle.map_or(Duration::ZERO, |throttle| throttle.room_in);
        wire::CallRefusal {
            retry_after_ms: (room_in.as_millis() as u32).max(1),
            limit: throttle.and_then(|throttle| throttle.limit.clone()),
            ..wire::CallRefusal::not_run(code::ResultCode::ServiceSaturated)
        }
    }
}
