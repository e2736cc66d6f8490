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

use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;

use crate::{calls, settings};

/// HTTP status with which a target sheds a call.
const SHED_STATUS: u16 = 503;
/// Lowest HTTP status of a response that reports a failure of the target.
const FAILED_STATUS: u16 = 500;

/// Returns whether an attempt ended with a response that fills the budgets.
pub fn is_success(result: &calls::AttemptResult) -> bool {
    matches!(result, calls::AttemptResult::Answered { status } if *status < FAILED_STATUS)
}

/// Rate at which a budget is filled, and its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetPolicy {
    /// Amount added by each successful attempt, in percent of a further attempt.
    pub earned_percent: u64,
    /// Capacity in attempts; a new budget is full.
    pub capacity: u64,
}

impl BudgetPolicy {
    /// Returns the policy for retries, which may run a call a second time.
    pub fn for_retries(tunables: &settings::RetryTunables) -> Self {
        Self {
            earned_percent: tunables.budget_percent,
            capacity: tunables.budget_reserve,
        }
    }

    /// Returns the policy for further offers to nodes that may have capacity. Each offer costs
    /// processor time on two nodes; without a bound, the nodes would be busiest when all targets
    /// are full, and responses would be late.
    pub fn for_placements(tunables: &settings::RetryTunables) -> Self {
        Self {
            earned_percent: tunables.placement_percent,
            capacity: tunables.placement_reserve,
        }
    }
}

/// Budget of further attempts, filled by successful ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    policy: BudgetPolicy,
    /// Balance in percent of an attempt.
    balance_percent: u64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new(policy: BudgetPolicy) -> Self {
        Self {
            policy,
            balance_percent: policy.capacity * 100,
        }
    }

    /// Adds the amount that a successful attempt earns.
    pub fn earn(&mut self) {
        let capacity_percent = self.policy.capacity * 100;
        self.balance_percent =
            (self.balance_percent + self.policy.earned_percent).min(capacity_percent);
    }

    /// Returns the number of further attempts that the balance pays for.
    pub fn available(&self) -> u64 {
        self.balance_percent / 100
    }

    /// Adds back the cost of an attempt that was not made.
    pub fn refund(&mut self) {
        self.balance_percent += 100;
    }

    /// Deducts the cost of a further attempt; returns false if the balance does not suffice.
    pub fn spend(&mut self) -> bool {
        let is_covered = self.balance_percent >= 100;
        if is_covered {
            self.balance_percent -= 100;
        }
        is_covered
    }
}

/// Budgets by service and class, so that refusals of one class do not spend another's budget.
type BudgetTable = IndexMap<(ids::EntryName, ids::EntryName), RetryBudget>;

/// Budgets of this node.
#[derive(Debug, Clone, Default)]
pub struct RetryState {
    budgets: BudgetTable,
    placements: BudgetTable,
}

impl RetryState {
    /// Returns every retry budget with its service and class.
    pub fn budgets(
        &self,
    ) -> impl Iterator<Item = (&ids::EntryName, &ids::EntryName, &RetryBudget)> {
        self.budgets
            .iter()
            .map(|((service, class), budget)| (service, class, budget))
    }

    /// Returns the retry budget of a call's service and class.
    pub fn budget(
        &mut self,
        attributes: &calls::attributes::CallAttributes,
        tunables: &settings::RetryTunables,
    ) -> &mut RetryBudget {
        let key = (attributes.service.clone(), attributes.class.clone());
        let policy = BudgetPolicy::for_retries(tunables);
        let budget = self.budgets.entry(key);
        budget.or_insert_with(|| RetryBudget::new(policy))
    }

    /// Returns the budget of further offers of a call's service and class.
    pub fn placements(
        &mut self,
        attributes: &calls::attributes::CallAttributes,
        tunables: &settings::RetryTunables,
    ) -> &mut RetryBudget {
        let key = (attributes.service.clone(), attributes.class.clone());
        let policy = BudgetPolicy::for_placements(tunables);
        let budget = self.placements.entry(key);
        budget.or_insert_with(|| RetryBudget::new(policy))
    }
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
    /// The target or its owner node is unreachable, gone or leaving; the call was not sent to the
    /// target.
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
            (wire::CallOutcome::NotRun, true) if is_target_leaving(refusal) => {
                Self::TargetUnavailable
            }
            (wire::CallOutcome::NotRun, true) if was_sent(refusal) => Self::NotRun,
            (wire::CallOutcome::NotRun, true) => Self::NotAdmitted,
            (wire::CallOutcome::NotRun, false) => Self::NotRetryable,
        }
    }

    /// Returns how many further offers a call may make beyond the route's tries. The owner node
    /// turned the call away before its target was offered it, so another attempt repeats nothing.
    pub fn placements(self, tunables: &settings::RetryTunables) -> u64 {
        match self {
            Self::TargetUnavailable => tunables.free_placements.max(tunables.leaving_placements),
            Self::NotAdmitted => tunables.free_placements,
            Self::NotRun | Self::NotRetryable | Self::MayHaveRun => 0,
        }
    }

    /// Returns whether a retry is paid from the budget. If the call reached no target, the retry
    /// merely replaces the failed attempt; the number of such retries is bounded by the route's
    /// tries and by the ejection of the target.
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
    /// Attempts of this ingress node so far that count against the route's tries.
    pub tries: u32,
    /// Tries that the route allows.
    pub max_tries: u32,
    /// Whether the next attempt is a free placement, which does not count against the route's
    /// tries.
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
        let has_attempts_left = self.is_free_placement || self.tries < self.max_tries;
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
