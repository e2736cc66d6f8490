//! Token buckets for owners' rate limits, which each node enforces for its share of a service.
//!
//! A node's share of a limit is its share of the service's live slots, since calls are distributed
//! by slots. The shares therefore add up to the limit without a message for each call, and follow
//! changes of membership.

use std::time::Duration;

use hazeltiller_units::{ids, time};
use indexmap::IndexMap;

/// Token bucket of one owner at one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateBucket {
    /// Tokens in cost units; negative while the bucket is in debt.
    tokens: f64,
    refilled_at: time::MonotonicTime,
}

impl RateBucket {
    /// Returns a full bucket.
    pub fn full(rate: f64, burst: Duration, now: time::MonotonicTime) -> Self {
        Self {
            tokens: capacity(rate, burst),
            refilled_at: now,
        }
    }

    /// Adds the tokens earned since the last refill.
    pub fn refill(&mut self, rate: f64, burst: Duration, now: time::MonotonicTime) {
        let earned = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(capacity(rate, burst));
        self.refilled_at = now;
    }

    /// Returns the time until a call may pass; zero if one may pass now. A call may leave the
    /// bucket in debt, so that calls that cost more than the bucket holds pass too and the rate
    /// still holds.
    pub fn wait(&self, rate: f64) -> Duration {
        if self.tokens > 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64((1.0 - self.tokens) / rate).unwrap_or(Duration::MAX)
    }

    /// Deducts the cost of a call that passes.
    pub fn spend(&mut self, cost: u32) {
        self.tokens -= f64::from(cost);
    }
}

fn capacity(rate: f64, burst: Duration) -> f64 {
    (rate * burst.as_secs_f64()).max(1.0)
}

/// Token buckets by owner and service.
pub type RateBuckets = IndexMap<(ids::EntryName, ids::EntryName), RateBucket>;
