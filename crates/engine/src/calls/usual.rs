//! How long the callers of a route usually wait.
//!
//! A call's worth counts from its caller's first send, but a caller that was refused and comes back
//! says only how much time it has left. Where most callers of a route come with the same time, one that
//! comes with less has spent the rest elsewhere already: on an answer that is of full worth no more, a
//! slot is better spent on a call that can still have one.

use std::{collections::VecDeque, time::Duration};

use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Calls of a route that are looked back on.
const LOOKED_BACK: usize = 64;
/// Fewest calls that show what is usual.
const FEWEST_CALLS: usize = 16;
/// Place of the usual time among those looked back on, from the shortest: callers that come back have
/// less, and are fewer than this part of all but in the worst overload.
const USUAL_SHARE: f64 = 0.8;
/// Part of the calls that must have come with the usual time, and how near to it: where times differ
/// from caller to caller, nothing is concluded from one that is shorter.
const ALIKE_SHARE: f64 = 0.4;
const ALIKE_WITHIN: f64 = 0.05;
/// Routes that are remembered; the one that was seen first is forgotten first.
const MOST_ROUTES: usize = 512;

/// Times with which the latest calls of one route came.
#[derive(Debug, Clone, Default)]
struct RouteTimes {
    latest: VecDeque<Duration>,
    /// What they show; found anew with every few calls.
    usual: Option<Duration>,
    since: usize,
}

impl RouteTimes {
    fn note(&mut self, left: Duration) {
        self.latest.push_back(left);
        if self.latest.len() > LOOKED_BACK {
            self.latest.pop_front();
        }
        self.since += 1;
        if self.since >= FEWEST_CALLS {
            self.since = 0;
            self.usual = self.find_usual();
        }
    }

    fn find_usual(&self) -> Option<Duration> {
        let mut times: Vec<Duration> = self.latest.iter().copied().collect();
        times.sort_unstable();
        let usual = times[(times.len() as f64 * USUAL_SHARE) as usize];
        let least = usual.mul_f64(1.0 - ALIKE_WITHIN);
        let most = usual.mul_f64(1.0 + ALIKE_WITHIN);
        let alike = times.iter().filter(|time| (least..=most).contains(time));
        let is_usual = alike.count() as f64 >= times.len() as f64 * ALIKE_SHARE;
        is_usual.then_some(usual)
    }
}

/// Times of every route.
#[derive(Debug, Clone, Default)]
pub struct UsualTimes(IndexMap<ids::EntryName, RouteTimes>);

impl UsualTimes {
    /// Takes the time with which a call came; returns what its caller has spent already.
    pub fn spent(&mut self, route: &ids::EntryName, left: Duration) -> Duration {
        let times = self.0.entry(route.clone()).or_default();
        times.note(left);
        let usual = times.usual;
        while self.0.len() > MOST_ROUTES {
            self.0.shift_remove_index(0);
        }
        let spent = usual.map_or(Duration::ZERO, |usual| usual.saturating_sub(left));
        let tolerance = usual.map_or(Duration::ZERO, |usual| usual.mul_f64(ALIKE_WITHIN));
        if spent > tolerance {
            spent
        } else {
            Duration::ZERO
        }
    }
}
