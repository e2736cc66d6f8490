//! What one node may let pass of an organisation's requests.

use std::{collections::VecDeque, time::Duration};

use hazeltiller_units::{ids, time};

use super::AllowanceLimit;

/// Time constant with which a node's demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Maximum number of requests in one ask.
const MAX_ASKED_REQUESTS: u32 = 10_000;

/// What the node does once its grants are used up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum AccountMode {
    /// It asks the home.
    #[default]
    Asking,
    /// It refuses, since the allowance is exhausted.
    Refusing {
        until: time::MonotonicTime,
        retry_after: Duration,
    },
    /// It lets its own share pass, since the home does not answer.
    OwnShare { until: time::MonotonicTime },
}

/// Decision on the call that has waited longest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitingDecision {
    /// The call may pass.
    Pass(ids::CallId),
    /// The call is refused and may be retried after the delay.
    Refuse(ids::CallId, Duration),
    /// The home has to be asked.
    Ask,
    /// No call waits, or the home's answer is outstanding.
    Wait,
}

/// Grants, demand and waiting calls of one organisation at one node.
#[derive(Debug, Clone, Default)]
pub struct NodeAccount {
    /// Requests that may pass until `granted_until`.
    granted: u32,
    granted_until: time::MonotonicTime,
    /// When the home was asked; `None` if no answer is outstanding.
    pub asked_at: Option<time::MonotonicTime>,
    /// Calls that wait for the home's answer, oldest first.
    pub waiting: VecDeque<ids::CallId>,
    mode: AccountMode,
    /// Recent requests, each weighted by its age.
    demand: f64,
    demand_at: time::MonotonicTime,
    /// The node's own share, in requests. It fills from the start of the process, so that a
    /// restart brings no burst.
    own_share: f64,
    own_share_at: time::MonotonicTime,
}

impl NodeAccount {
    /// Counts a request.
    pub fn record_demand(&mut self, now: time::MonotonicTime) {
        self.demand = self.recent_demand(now) + 1.0;
        self.demand_at = now;
    }

    fn recent_demand(&self, now: time::MonotonicTime) -> f64 {
        let age = now.since(self.demand_at).as_secs_f64();
        self.demand * (-age / DEMAND_TIME.as_secs_f64()).exp()
    }

    /// Uses one granted request; returns false if there is none.
    pub fn take(&mut self, now: time::MonotonicTime) -> bool {
        if now >= self.granted_until {
            self.granted = 0;
        }
        let is_granted = self.granted > 0;
        self.granted -= u32::from(is_granted);
        is_granted
    }

    /// Adds granted requests.
    pub fn add(&mut self, requests: u32, now: time::MonotonicTime, life: Duration) {
        if now >= self.granted_until {
            self.granted = 0;
        }
        self.granted += requests;
        self.granted_until = now + life;
    }

    /// Returns how many requests to ask the home for: the demand of `grant_time`, and at least the
    /// waiting calls.
    pub fn wanted(&self, grant_time: Duration, now: time::MonotonicTime) -> u32 {
        let per_second = self.recent_demand(now) / DEMAND_TIME.as_secs_f64();
        let expected = (per_second * grant_time.as_secs_f64()).ceil() as u32;
        let waiting = self.waiting.len() as u32;
        expected.max(waiting).clamp(1, MAX_ASKED_REQUESTS)
    }

    /// Returns how many requests to ask for ahead of need: none while more than half of the usual
    /// grant is left, and none for rare requests, whose grant would mostly expire.
    pub fn due_ask(&self, grant_time: Duration, now: time::MonotonicTime) -> Option<u32> {
        let wanted = self.wanted(grant_time, now);
        let is_due = wanted > 1 && self.granted * 2 < wanted;
        let missing = wanted.saturating_sub(self.granted);
        (is_due && self.asked_at.is_none() && !self.is_settled(now)).then_some(missing)
    }

    /// Returns whether calls without a grant are decided on without asking the home.
    pub fn is_settled(&self, now: time::MonotonicTime) -> bool {
        match self.mode {
            AccountMode::Asking => false,
            AccountMode::Refusing { until, .. } | AccountMode::OwnShare { until } => now < until,
        }
    }

    /// Asks the home again when the grants are used up.
    pub fn resume(&mut self) {
        self.mode = AccountMode::Asking;
    }

    /// Refuses calls without a grant for a time.
    pub fn refuse(&mut self, until: time::MonotonicTime, retry_after: Duration) {
        self.mode = AccountMode::Refusing { until, retry_after };
    }

    /// Lets calls without a grant pass up to the node's own share for a time.
    pub fn use_own_share(&mut self, until: time::MonotonicTime) {
        self.mode = AccountMode::OwnShare { until };
    }

    /// Decides on the call that has waited longest. `draw` is a random number from 0 to 1.
    pub fn decide(
        &mut self,
        own_limit: AllowanceLimit,
        now: time::MonotonicTime,
        draw: f64,
    ) -> WaitingDecision {
        let Some(call) = self.waiting.front().copied() else {
            return WaitingDecision::Wait;
        };
        let decision = if self.take(now) {
            WaitingDecision::Pass(call)
        } else if !self.is_settled(now) {
            match self.asked_at {
                Some(_) => return WaitingDecision::Wait,
                None => return WaitingDecision::Ask,
            }
        } else if let AccountMode::Refusing { retry_after, .. } = self.mode {
            WaitingDecision::Refuse(call, retry_after)
        } else if self.take_own_share(own_limit, now, draw) {
            WaitingDecision::Pass(call)
        } else {
            WaitingDecision::Refuse(call, Duration::ZERO)
        };
        self.waiting.pop_front();
        decision
    }

    /// Uses one request of the node's own share. A fraction of a request is used at random and owed,
    /// since the share of a small organisation at one node is far below one request.
    fn take_own_share(
        &mut self,
        limit: AllowanceLimit,
        now: time::MonotonicTime,
        draw: f64,
    ) -> bool {
        let earned = now.since(self.own_share_at).as_secs_f64() * limit.per_second;
        self.own_share = (self.own_share + earned).min(limit.burst.max(limit.per_second));
        self.own_share_at = now;
        let may_pass = self.own_share > draw;
        if may_pass {
            self.own_share -= 1.0;
        }
        may_pass
    }
}
