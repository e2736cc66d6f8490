//! Retry policy: decides whether a call is attempted again after a failed attempt.
//!
//! A retry is made only if it is harmless: the call is idempotent, or is proven not to have run.
//! Each retry is paid from a budget that successful calls of the same service and class fill, so a
//! service that fails completely receives hardly more calls than its callers sent. A call that is
//! itself a retry, made anywhere on its path, is not retried after a failure that may have run it,
//! so retries do not multiply over hops. Further offers in search of a target with capacity are
//! paid from a second budget that successful calls fill, so a shortage of capacity does not
//! multiply offers.

use std::time::Duration;

use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;

use crate::{calls, settings};

/// HTTP status with which a target sheds a call.
const SHED_STATUS: u16 = 503;
/// Cost of a retry of a call that did not run. With a tenth of an attempt earned by each success
/// and the default half-life, all nodes together stay below a fifth of the requests.
const NOT_RUN_COST: f64 = 0.65;
/// Tolerance for sums of earned fractions, such as ten tenths.
const ROUNDING_ERROR: f64 = 1e-9;
/// Lowest HTTP status of a response that reports a failure of the target.
const FAILED_STATUS: u16 = 500;

/// Returns whether an attempt ended with a response that fills the budgets.
pub fn is_success(result: &calls::AttemptResult) -> bool {
    matches!(result, calls::AttemptResult::Answered { status } if *status < FAILED_STATUS)
}

/// How a budget is filled and emptied.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetPolicy {
    /// Amount added by each successful attempt, in percent of a further attempt.
    earned_percent: u64,
    /// Capacity in attempts.
    capacity: f64,
    /// Attempts that are available before any has succeeded; at most the capacity.
    reserve: f64,
    /// Half-life of what was earned beyond the reserve; `None` if it is kept.
    half_life: Option<Duration>,
}

impl BudgetPolicy {
    /// Returns the policy for retries, which may run a call a second time, on a node of a fleet of
    /// `nodes`.
    ///
    /// Many nodes meet the same shortage at the same moment, so what the services receive is the
    /// sum over all nodes. The reserve is therefore the node's share of a reserve of the whole
    /// fleet, and what was earned long ago is not available any more.
    pub fn for_retries(tunables: &settings::RetryTunables, nodes: usize) -> Self {
        let capacity = tunables.budget_reserve as f64;
        let share = tunables.budget_fleet_reserve as f64 / nodes.max(1) as f64;
        Self {
            earned_percent: tunables.budget_percent,
            capacity,
            reserve: share.min(capacity),
            half_life: Some(settings::millis(tunables.budget_half_life_ms)),
        }
    }

    /// Returns the policy for placements: further offers in search of a target with capacity. Each
    /// offer costs processor time on two nodes; without a bound, the nodes would be busiest when
    /// all targets are full, and responses would be late.
    pub fn for_placements(tunables: &settings::RetryTunables) -> Self {
        let capacity = tunables.placement_reserve as f64;
        Self {
            earned_percent: tunables.placement_percent,
            capacity,
            reserve: capacity,
            half_life: None,
        }
    }

    /// Returns whether a fraction of an attempt may be spent, at random and against later earnings.
    /// A share of the fleet's reserve below one attempt would otherwise never pay for any, and a
    /// node with few calls would never retry.
    fn allows_fractions(&self) -> bool {
        self.reserve < 1.0
    }
}

/// Budget of further attempts, filled by successful ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Attempts earned (positive) or owed (negative) relative to the reserve.
    balance: f64,
    updated_at: time::MonotonicTime,
}

impl RetryBudget {
    /// Returns a budget that holds the reserve.
    pub fn new(now: time::MonotonicTime) -> Self {
        Self {
            balance: 0.0,
            updated_at: now,
        }
    }

    /// Adds the amount that a successful attempt earns.
    pub fn earn(&mut self, policy: &BudgetPolicy, now: time::MonotonicTime) {
        let earned = policy.earned_percent as f64 / settings::PERCENT;
        let capacity = policy.capacity - policy.reserve;
        self.balance = (self.decayed(policy, now) + earned).min(capacity);
        self.updated_at = now;
    }

    /// Returns the number of further attempts that the budget pays for.
    pub fn available(&self, policy: &BudgetPolicy, now: time::MonotonicTime) -> f64 {
        policy.reserve + self.decayed(policy, now)
    }

    /// Adds back the cost of an attempt that was not made.
    pub fn refund(&mut self, cost: f64) {
        self.balance += cost;
    }

    /// Deducts and returns the cost of a further attempt; returns `None` if the budget does not pay
    /// for it. `earned_cost` is the cost if earned attempts pay for it; the reserve pays for whole
    /// ones. `draw` is a random number from 0 to 1, which decides if only a fraction is available.
    pub fn spend(
        &mut self,
        policy: &BudgetPolicy,
        now: time::MonotonicTime,
        earned_cost: f64,
        draw: f64,
    ) -> Option<f64> {
        let balance = self.decayed(policy, now);
        let cost = if balance > 0.0 { earned_cost } else { 1.0 };
        let available = policy.reserve + balance;
        let is_covered = available >= cost - ROUNDING_ERROR
            || policy.allows_fractions() && available > (draw * cost).max(ROUNDING_ERROR);
        is_covered.then(|| {
            self.balance = balance - cost;
            self.updated_at = now;
            cost
        })
    }

    /// Returns the balance after the decay of what was earned. A debt does not decay.
    fn decayed(&self, policy: &BudgetPolicy, now: time::MonotonicTime) -> f64 {
        match policy.half_life {
            Some(half_life) if self.balance > 0.0 => {
                let age = now.since(self.updated_at).as_secs_f64();
                self.balance * (-age / half_life.as_secs_f64()).exp2()
            }
            _ => self.balance,
        }
    }
}

/// Budgets by service and class, so that refusals of one class do not use up another's budget.
type BudgetTable = IndexMap<(ids::EntryName, ids::EntryName), RetryBudget>;

/// Retry and placement budgets of this node.
#[derive(Debug, Clone, Default)]
pub struct RetryState {
    /// Budgets of retries.
    retry_budgets: BudgetTable,
    /// Budgets of further offers in search of a target with capacity.
    placement_budgets: BudgetTable,
}

impl RetryState {
    /// Returns every retry budget with its service and class.
    pub fn budgets(
        &self,
    ) -> impl Iterator<Item = (&ids::EntryName, &ids::EntryName, &RetryBudget)> {
        self.retry_budgets
            .iter()
            .map(|((service, class), budget)| (service, class, budget))
    }

    /// Returns the retry budget of a call's service and class.
    pub fn retry_budget(
        &mut self,
        attributes: &calls::attributes::CallAttributes,
        now: time::MonotonicTime,
    ) -> &mut RetryBudget {
        budget_of(&mut self.retry_budgets, attributes, now)
    }

    /// Returns the placement budget of a call's service and class.
    pub fn placement_budget(
        &mut self,
        attributes: &calls::attributes::CallAttributes,
        now: time::MonotonicTime,
    ) -> &mut RetryBudget {
        budget_of(&mut self.placement_budgets, attributes, now)
    }
}

fn budget_of<'a>(
    budgets: &'a mut BudgetTable,
    attributes: &calls::attributes::CallAttributes,
    now: time::MonotonicTime,
) -> &'a mut RetryBudget {
    let key = (attributes.service.clone(), attributes.class.clone());
    let budget = budgets.entry(key);
    budget.or_insert_with(|| RetryBudget::new(now))
}

/// Returns whether an owner node refused because its target is gone or leaving, or because the node
/// itself is stopping.
pub fn is_target_leaving(refusal: &wire::CallRefusal) -> bool {
    matches!(
        refusal.code,
        code::ResultCode::TargetMissing | code::ResultCode::NodeStopping
    )
}

/// Returns whether a refused call had been sent to a target.
fn was_sent(refusal: &wire::CallRefusal) -> bool {
    matches!(
        refusal.code,
        code::ResultCode::TargetDeclined | code::ResultCode::WrongTarget
    )
}

/// What a failed attempt proves about the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureProof {
    /// The target is at the rate limit that it names, or it or its owner node is unreachable, gone
    /// or leaving; the call was not sent to the target.
    TargetUnavailable,
    /// The owner node did not admit the call; another target may accept it.
    NotAdmitted,
    /// The target did not run the call; another target may accept it.
    NotRun,
    /// The call did not run, and another target could not run it either.
    NotRetryable,
    /// The call may have run.
    MayHaveRun,
}

impl FailureProof {
    /// Returns what the result of an attempt proves, or `None` if its response is forwarded.
    pub fn from_result(result: &calls::AttemptResult) -> Option<Self> {
        match result {
            calls::AttemptResult::Answered { status } if *status != SHED_STATUS => None,
            calls::AttemptResult::NotReached => Some(Self::TargetUnavailable),
            calls::AttemptResult::Lost | calls::AttemptResult::Answered { .. } => {
                Some(Self::MayHaveRun)
            }
            calls::AttemptResult::Refused(refusal) => Some(Self::from_refusal(refusal)),
        }
    }

    fn from_refusal(refusal: &wire::CallRefusal) -> Self {
        match (refusal.outcome, refusal.elsewhere) {
            (wire::CallOutcome::Unknown | wire::CallOutcome::Ran, _) => Self::MayHaveRun,
            (wire::CallOutcome::NotRun, true)
                if is_target_leaving(refusal)
                    || refusal.code == code::ResultCode::TargetLimited =>
            {
                Self::TargetUnavailable
            }
            (wire::CallOutcome::NotRun, true) if was_sent(refusal) => Self::NotRun,
            (wire::CallOutcome::NotRun, true) => Self::NotAdmitted,
            (wire::CallOutcome::NotRun, false) => Self::NotRetryable,
        }
    }

    /// Returns the maximum number of free placements of a call: attempts in excess of the route's
    /// limit. The owner node refused the call before it sent it to the target, so another attempt
    /// repeats nothing.
    pub fn max_free_placements(self, tunables: &settings::RetryTunables) -> u64 {
        match self {
            Self::TargetUnavailable => tunables.free_placements.max(tunables.leaving_placements),
            Self::NotAdmitted => tunables.free_placements,
            Self::NotRun | Self::NotRetryable | Self::MayHaveRun => 0,
        }
    }

    /// Returns the cost of a retry, in attempts, if earned ones pay for it. The repetition of a run
    /// repeats the calls that the run makes to other services; what did not run repeats none.
    pub fn retry_cost(self) -> f64 {
        match self {
            Self::NotRun | Self::NotAdmitted | Self::TargetUnavailable => NOT_RUN_COST,
            Self::MayHaveRun | Self::NotRetryable => 1.0,
        }
    }

    /// Returns whether a retry is paid from the budget. If the call reached no target, the retry
    /// merely replaces the failed attempt; the number of such retries is bounded by the route's
    /// limit on attempts and by the ejection of the target.
    pub fn uses_budget(self) -> bool {
        self != Self::TargetUnavailable
    }
}

/// A call whose attempt failed, with what decides on a retry.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext {
    /// What the failed attempt proves.
    pub proof: FailureProof,
    /// Whether the call may safely run more than once.
    pub is_idempotent: bool,
    /// Attempts of this ingress node so far that count against the route's limit on attempts.
    pub attempts: u32,
    /// Maximum number of attempts that the route allows.
    pub max_attempts: u32,
    /// Whether the next attempt is a free placement, which does not count against the route's limit
    /// on attempts.
    pub is_free_placement: bool,
    /// Highest attempt number on the call's path to this node.
    pub arrived_attempt: u32,
    /// Time left until the call's deadline.
    pub time_left: Duration,
    /// Measured run time at the target; zero if unknown.
    pub run_time: Duration,
}

impl RetryContext {
    /// Returns whether a further attempt is harmless and may still succeed in time. The budget is
    /// checked separately.
    pub fn is_allowed(&self) -> bool {
        let is_harmless = match self.proof {
            FailureProof::TargetUnavailable | FailureProof::NotAdmitted | FailureProof::NotRun => {
                true
            }
            FailureProof::NotRetryable => false,
            FailureProof::MayHaveRun => self.is_idempotent && self.arrived_attempt <= 1,
        };
        let is_in_time = !self.time_left.is_zero() && self.time_left >= self.run_time;
        let has_attempts_left = self.is_free_placement || self.attempts < self.max_attempts;
        is_harmless && is_in_time && has_attempts_left
    }
}

/// Returns the refusal that the caller gets when no further attempt is made.
pub fn final_refusal(result: calls::AttemptResult, may_have_run: bool) -> wire::CallRefusal {
    let refusal = match result {
        calls::AttemptResult::Refused(refusal) => refusal,
        calls::AttemptResult::NotReached => {
            wire::CallRefusal::not_run(code::ResultCode::TargetMissing)
        }
        calls::AttemptResult::Lost | calls::AttemptResult::Answered { .. } => {
            wire::CallRefusal::unknown(code::ResultCode::PeerLost)
        }
    };
    if may_have_run {
        // An earlier attempt may have run the call, so the last attempt's proof does not cover it.
        return wire::CallRefusal {
            outcome: wire::CallOutcome::Unknown,
            ..refusal
        };
    }
    refusal
}
