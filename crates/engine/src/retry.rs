//! Whether a call whose try failed is tried again.
//!
//! A second try is made only where it can do no harm: the call may run more than once, or it is
//! proven not to have run. It is paid for by good first answers of the same service and class, so a service
//! that fails altogether is sent hardly more than its callers sent. A call that is a second try
//! already, anywhere along its way, gets no more for runs that failed: hops do not multiply. The search for a
//! target that has room is paid for in the same way, by calls that found one: a shortage does not multiply offers.

use std::time::Duration;

use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;

use crate::{calls, settings};

/// Status with which a target sheds a call.
const SHED_STATUS: u16 = 503;
/// Smallest status of an answer that says that the target failed.
const FAILED_STATUS: u16 = 500;

/// Whether a try ended with an answer that pays for second tries.
pub fn is_good(result: &calls::AttemptResult) -> bool {
    matches!(result, calls::AttemptResult::Answered { status } if *status < FAILED_STATUS)
}

/// What earns further tries, and how many may be made at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetTerms {
    /// Earned by each good try, in hundredths of a further one.
    pub percent: u64,
    /// Most that are saved up; there before any was earned.
    pub reserve: u64,
}

impl BudgetTerms {
    /// Terms of second tries, which may run a call again.
    pub fn of_retries(tunables: &settings::RetryTunables) -> Self {
        Self {
            percent: tunables.budget_percent,
            reserve: tunables.budget_reserve,
        }
    }

    /// Terms of further offers to nodes that may have room. Each costs the processors of two nodes, so
    /// without a bound the nodes have the most to do when all targets are full, and answers come too late.
    pub fn of_placements(tunables: &settings::RetryTunables) -> Self {
        Self {
            percent: tunables.placement_percent,
            reserve: tunables.placement_reserve,
        }
    }
}

/// Further tries that good ones have paid for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    terms: BudgetTerms,
    /// In hundredths of a try.
    percent: u64,
}

impl RetryBudget {
    /// The budget before any try.
    pub fn new(terms: BudgetTerms) -> Self {
        Self {
            terms,
            percent: terms.reserve * 100,
        }
    }

    /// Takes a good try.
    pub fn earn(&mut self) {
        let most = self.terms.reserve * 100;
        self.percent = (self.percent + self.terms.percent).min(most);
    }

    /// Further tries that it pays for now.
    pub fn tries(&self) -> u64 {
        self.percent / 100
    }

    /// Takes back what was spent on a try that was not made.
    pub fn give_back(&mut self) {
        self.percent += 100;
    }

    /// Pays for a further try, if there is enough.
    pub fn spend(&mut self) -> bool {
        let is_enough = self.percent >= 100;
        if is_enough {
            self.percent -= 100;
        }
        is_enough
    }
}

/// Budgets by service and class, so that refusals of one class spend nothing of another's.
type BudgetTable = IndexMap<(ids::EntryName, ids::EntryName), RetryBudget>;

/// State of retries.
#[derive(Debug, Clone, Default)]
pub struct RetryState {
    budgets: BudgetTable,
    placements: BudgetTable,
}

impl RetryState {
    /// Every budget of second tries with its service and class.
    pub fn budgets(
        &self,
    ) -> impl Iterator<Item = (&ids::EntryName, &ids::EntryName, &RetryBudget)> {
        self.budgets
            .iter()
            .map(|((service, class), budget)| (service, class, budget))
    }

    /// The budget of second tries of a call's service and class.
    pub fn budget(
        &mut self,
        terms: &calls::terms::CallTerms,
        tunables: &settings::RetryTunables,
    ) -> &mut RetryBudget {
        let key = (terms.service.clone(), terms.class.clone());
        let terms = BudgetTerms::of_retries(tunables);
        let budget = self.budgets.entry(key);
        budget.or_insert_with(|| RetryBudget::new(terms))
    }

    /// The budget of further offers of a call's service and class.
    pub fn placements(
        &mut self,
        terms: &calls::terms::CallTerms,
        tunables: &settings::RetryTunables,
    ) -> &mut RetryBudget {
        let key = (terms.service.clone(), terms.class.clone());
        let terms = BudgetTerms::of_placements(tunables);
        let budget = self.placements.entry(key);
        budget.or_insert_with(|| RetryBudget::new(terms))
    }
}

/// Whether an owner node refused because its target is gone or leaving, or itself is.
pub fn is_leaving(refusal: &wire::CallRefusal) -> bool {
    matches!(
        refusal.code,
        code::ResultCode::TargetMissing | code::ResultCode::NodeStopping
    )
}

/// Whether a call that was refused had been sent to a target.
fn was_offered(refusal: &wire::CallRefusal) -> bool {
    matches!(
        refusal.code,
        code::ResultCode::TargetDeclined | code::ResultCode::WrongTarget
    )
}

/// What a failed try proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureProof {
    /// Its target is gone or leaving and took no work for it.
    NotTaken,
    /// Its target's node had no room for it; another target may take it.
    NotOffered,
    /// Its target declined it, and another one may take it.
    NotRun,
    /// It did not run, and trying elsewhere cannot help.
    Useless,
    /// It may have run.
    MayHaveRun,
}

impl FailureProof {
    /// What the end of a try proves; `None` when its answer is passed on.
    pub fn of(result: &calls::AttemptResult) -> Option<Self> {
        match result {
            calls::AttemptResult::Answered { status } if *status != SHED_STATUS => None,
            calls::AttemptResult::NotReached => Some(Self::NotTaken),
            calls::AttemptResult::Lost | calls::AttemptResult::Answered { .. } => {
                Some(Self::MayHaveRun)
            }
            calls::AttemptResult::Refused(refusal) => Some(Self::of_refusal(refusal)),
        }
    }

    fn of_refusal(refusal: &wire::CallRefusal) -> Self {
        match (refusal.outcome, refusal.elsewhere) {
            (wire::CallOutcome::Unknown | wire::CallOutcome::Ran, _) => Self::MayHaveRun,
            (wire::CallOutcome::NotRun, true) if is_leaving(refusal) => Self::NotTaken,
            (wire::CallOutcome::NotRun, true) if was_offered(refusal) => Self::NotRun,
            (wire::CallOutcome::NotRun, true) => Self::NotOffered,
            (wire::CallOutcome::NotRun, false) => Self::Useless,
        }
    }

    /// Times that the search for a place may go on beyond the route's tries: another node gave the call back
    /// before a target was offered it, so that trying elsewhere is no repetition.
    pub fn placements(self, tunables: &settings::RetryTunables) -> u64 {
        match self {
            Self::NotTaken => tunables.free_placements.max(tunables.leaving_placements),
            Self::NotOffered => tunables.free_placements,
            Self::NotRun | Self::Useless | Self::MayHaveRun => 0,
        }
    }

    /// Whether a second try is paid for. Where nothing took the first one it takes that one's
    /// place; how many there are is bounded by the route's tries and by the ejection of the target.
    pub fn is_paid(self) -> bool {
        self != Self::NotTaken
    }
}

/// A call whose try failed.
#[derive(Debug, Clone, Copy)]
pub struct RetryQuestion {
    /// What the failure proves.
    pub proof: FailureProof,
    /// Whether the call may run more than once.
    pub is_idempotent: bool,
    /// Tries of this ingress node so far.
    pub tries: u32,
    /// Tries that the route allows.
    pub most_tries: u32,
    /// Whether this is a search for a place that costs no try.
    pub is_placement: bool,
    /// The largest number of a try along the call's way to this node.
    pub arrived_attempt: u32,
    /// Time until the call must be over.
    pub left: Duration,
    /// Measured time of a run; zero when it is not known.
    pub service_time: Duration,
}

impl RetryQuestion {
    /// Whether a further try can do no harm and may still help; its budget is asked after that.
    pub fn is_allowed(&self) -> bool {
        let is_harmless = match self.proof {
            FailureProof::NotTaken | FailureProof::NotOffered | FailureProof::NotRun => true,
            FailureProof::Useless => false,
            FailureProof::MayHaveRun => self.is_idempotent && self.arrived_attempt <= 1,
        };
        let is_in_time = !self.left.is_zero() && self.left >= self.service_time;
        let is_left = self.is_placement || self.tries < self.most_tries;
        is_harmless && is_in_time && is_left
    }
}

/// What the caller is told when no further try is made.
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
        // An earlier try may have run, so the last one's proof does not cover the call.
        return wire::CallRefusal {
            outcome: wire::CallOutcome::Unknown,
            ..refusal
        };
    }
    refusal
}
