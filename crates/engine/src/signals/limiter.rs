//! Token bucket that holds the requests to one target to the rate limit that it names.
//!
//! Each request that is sent to the target takes a token, whoever sends it and whether or not the
//! target runs it. A new bucket is empty: requests from before it was created, for instance by
//! the previous process of this node, may have reached the target a moment ago. Tokens go to the
//! class with the highest priority first: while calls of such a class arrive, other classes leave
//! it one token.
//!
//! A limit that no response has confirmed lately may have been lowered meanwhile, for instance while
//! this process was paused. Then at most one request a second goes out until a response names it.

use std::time::Duration;

use hazeltiller_units::{measure, time};
use indexmap::IndexMap;

use crate::returns::backlog;

/// Lowest rate at which requests are sent: a target that names a limit of zero shows only in a
/// response that it takes requests again.
const MIN_RATE: f64 = 0.25;
/// Time over which unused tokens add up, besides the one or two that every bucket holds. Longer
/// than a tick, so that the whole rate can be used.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Time for which one token is left for a class after its last call.
const CLASS_RESERVE_TIME: Duration = Duration::from_secs(2);
/// Time for which a response confirms the limit, and interval of requests while none does.
const CONFIRMATION_TIME: Duration = Duration::from_secs(1);
/// Longest retry delay of a refused call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Tolerance for sums of refilled fractions.
const ROUNDING_ERROR: f64 = 1e-9;

/// Token bucket of a target.
#[derive(Debug, Clone)]
pub struct RequestLimiter {
    /// Refill rate in tokens per second.
    rate: f64,
    tokens: f64,
    /// Refused calls that the rate has not yet made up for.
    deferred: backlog::ReturnBacklog,
    updated_at: time::MonotonicTime,
    /// When a response of the target last named the limit.
    confirmed_at: Option<time::MonotonicTime>,
    /// When the last request was sent.
    sent_at: Option<time::MonotonicTime>,
    /// Time of the last call by rank of its class.
    last_calls: IndexMap<u32, time::MonotonicTime>,
}

impl RequestLimiter {
    /// Creates an empty bucket.
    pub fn new(rate_limit: measure::RequestRate, now: time::MonotonicTime) -> Self {
        Self {
            rate: rate_limit.per_second().max(MIN_RATE),
            tokens: 0.0,
            deferred: backlog::ReturnBacklog::default(),
            updated_at: now,
            confirmed_at: None,
            sent_at: None,
            last_calls: IndexMap::new(),
        }
    }

    /// Changes the rate. Tokens that exceed the new capacity are lost.
    pub fn set_rate(&mut self, rate_limit: measure::RequestRate, now: time::MonotonicTime) {
        self.refill(now);
        self.rate = rate_limit.per_second().max(MIN_RATE);
        self.refill(now);
    }

    /// Records that a response of the target named the limit.
    pub fn confirm(&mut self, now: time::MonotonicTime) {
        self.confirmed_at = Some(now);
    }

    /// Records that a call of a class with this rank arrived.
    pub fn record_call(&mut self, rank: u32, now: time::MonotonicTime) {
        self.last_calls.insert(rank, now);
        self.last_calls
            .retain(|_, last| now.since(*last) < CLASS_RESERVE_TIME);
    }

    /// Returns the time until a call of a class with this rank may be sent if `ahead` others go
    /// first; zero if it may be sent now.
    pub fn wait(&mut self, rank: u32, ahead: usize, now: time::MonotonicTime) -> Duration {
        self.refill(now);
        let missing = self.required_tokens(rank, now) + ahead as f64 - self.tokens;
        let refill_wait = if missing <= ROUNDING_ERROR {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(missing / self.rate)
        };
        refill_wait.max(self.confirmation_wait(now))
    }

    /// Returns the time until a request may be sent that is to confirm the limit; zero if the limit
    /// is confirmed.
    fn confirmation_wait(&self, now: time::MonotonicTime) -> Duration {
        let is_recent = |at: time::MonotonicTime| now.since(at) < CONFIRMATION_TIME;
        match self.sent_at {
            Some(sent_at) if is_recent(sent_at) && !self.confirmed_at.is_some_and(is_recent) => {
                CONFIRMATION_TIME.saturating_sub(now.since(sent_at))
            }
            _ => Duration::ZERO,
        }
    }

    /// Takes the token of a request that is sent.
    pub fn take(&mut self, now: time::MonotonicTime) {
        self.refill(now);
        self.tokens -= 1.0;
        self.sent_at = Some(now);
    }

    /// Counts a refused call and returns its retry delay: the time in which the rate makes up for
    /// all calls that were refused lately.
    pub fn defer(&mut self, now: time::MonotonicTime) -> Duration {
        self.refill(now);
        let max_deferred = self.rate * MAX_RETRY_DELAY.as_secs_f64();
        self.deferred.add(max_deferred.max(1.0));
        self.deferred.time_to_drain(self.rate).min(MAX_RETRY_DELAY)
    }

    /// Returns the number of tokens that must be there for a call of a class with this rank.
    fn required_tokens(&self, rank: u32, now: time::MonotonicTime) -> f64 {
        let mut last_calls = self.last_calls.iter();
        let is_reserved =
            last_calls.any(|(other, last)| *other < rank && now.since(*last) < CLASS_RESERVE_TIME);
        if is_reserved {
            self.capacity().min(2.0)
        } else {
            1.0
        }
    }

    /// Returns the largest number of tokens: two and a burst, or fewer for a target that names less
    /// than one request a second.
    fn capacity(&self) -> f64 {
        1.0 + self.rate.min(1.0) + self.rate * BURST_TIME.as_secs_f64()
    }

    fn refill(&mut self, now: time::MonotonicTime) {
        let earned = now.since(self.updated_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.capacity());
        self.deferred.drain(earned);
        self.updated_at = now;
    }
}
