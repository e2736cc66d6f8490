//! Cohorts of a service's targets during a rollout.
//!
//! A version may fail only under load. A few canary targets therefore get as many calls as an old
//! target does, instead of every new target getting a trickle. The canaries follow from the target
//! names and the rollout order, so every node chooses the same ones.

use hazeltiller_catalogue::rollout;
use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

use crate::{membership::table as members, reducer, routing::table};

/// Canary targets per old target.
const CANARIES_PER_OLD_TARGET: f64 = 0.055;
/// Minimum number of canary targets: with a single one, a fault of the machine could not be told
/// from a fault of the version.
const MIN_CANARIES: usize = 2;
/// Share of the trial calls that go to the canary targets. The rest is spread over the other new
/// targets, so that each of them is observed.
pub const CANARY_TRIAL_SHARE: f64 = 0.8;

/// The role of a target in a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetCohort {
    /// Runs an old version, or the service has no rollout.
    Present,
    /// Runs the new version, and gets as many calls as an old target during the trial.
    Canary,
    /// Runs the new version, and is not a canary.
    Reserve,
}

/// The set of targets that a call may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallCohort {
    /// Any target; no rollout is running.
    Any,
    /// Targets of an old version.
    Old,
    /// Canary targets.
    Canary,
    /// Targets of the new version that are not canaries.
    Reserve,
    /// All targets of the new version.
    New,
}

impl CallCohort {
    /// Returns whether a target may take the call.
    pub fn admits(self, cohort: TargetCohort) -> bool {
        match self {
            Self::Any => true,
            Self::Old => cohort == TargetCohort::Present,
            Self::Canary => cohort == TargetCohort::Canary,
            Self::Reserve => cohort == TargetCohort::Reserve,
            Self::New => cohort != TargetCohort::Present,
        }
    }

    /// Returns the cohort that the call goes to if no target of this one can take it.
    pub fn fallback(self) -> Option<Self> {
        match self {
            Self::Any | Self::Old => None,
            Self::Canary | Self::Reserve | Self::New => Some(Self::Old),
        }
    }

    /// Returns the cohort for the next attempt: a version on trial gets at most one attempt of a
    /// call.
    #[must_use]
    pub fn after_attempt(self) -> Self {
        match self {
            Self::Canary | Self::Reserve => Self::Old,
            other => other,
        }
    }
}

/// Slots of both versions over the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotCount {
    /// Slots of the ready targets of the old versions.
    pub old: u32,
    /// Slots of the ready targets of the new version.
    pub new: u32,
}

impl SlotCount {
    /// Counts the slots of a rollout's service as known to this process.
    pub fn of(state: &reducer::EngineState, entry: &rollout::RolloutEntry) -> Self {
        let targets = state
            .membership
            .present()
            .flat_map(|member| &member.targets);
        let ready = targets.filter(|target| {
            target.service == entry.name
                && target.state == hazeltiller_wire::membership::TargetState::Ready
        });
        let mut count = Self::default();
        for target in ready {
            if target.version.as_ref() == Some(&entry.to) {
                count.new += target.slots;
            } else {
                count.old += target.slots;
            }
        }
        count
    }
}

/// Assigns the ready targets of a service to cohorts according to its latest rollout, and removes
/// those that must not be used. Returns the largest share of calls that a trial can carry.
pub fn assign(entry: &rollout::RolloutEntry, targets: &mut Vec<table::ReadyTarget>) -> f64 {
    let is_new = |target: &table::ReadyTarget| target.version.as_ref() == Some(&entry.to);
    // A target without a version was deployed before versions were announced, so it is old.
    let is_old = |target: &table::ReadyTarget| {
        let version = target.version.as_ref();
        version.is_none_or(|version| entry.from.contains(version))
    };
    match entry.phase {
        rollout::RolloutPhase::RolledBack => {
            targets.retain(|target| !is_new(target));
            return 0.0;
        }
        rollout::RolloutPhase::Succeeded => {
            // Old targets are about to stop, but are better than none while no other target is
            // ready.
            if targets.iter().any(|target| !is_old(target)) {
                targets.retain(|target| !is_old(target));
            }
            return 0.0;
        }
        rollout::RolloutPhase::Trial
        | rollout::RolloutPhase::Widening
        | rollout::RolloutPhase::Switched => {}
    }
    let old_count = targets.iter().filter(|target| !is_new(target)).count();
    let canaries = canary_count(old_count);
    let mut new_targets: Vec<&mut table::ReadyTarget> =
        targets.iter_mut().filter(|target| is_new(target)).collect();
    new_targets.sort_by_cached_key(|target| canary_rank(entry.order, &target.target));
    for (rank, target) in new_targets.iter_mut().enumerate() {
        target.cohort = if rank < canaries {
            TargetCohort::Canary
        } else {
            TargetCohort::Reserve
        };
    }
    max_trial_share(old_count, canaries.min(new_targets.len()))
}

/// Returns the number of canary targets for a number of old targets.
pub fn canary_count(old_count: usize) -> usize {
    ((old_count as f64 * CANARIES_PER_OLD_TARGET) as usize).max(MIN_CANARIES)
}

/// Returns a pseudo-random rank of a target among the new ones; the lowest ranks become canaries.
pub fn canary_rank(order: ids::CatalogueVersion, target: &ids::TargetName) -> u64 {
    members::name_digest(&format!("{order} {target}")).0
}

/// Returns the share of calls at which each canary target gets as many as an old target.
fn max_trial_share(old_count: usize, canaries: usize) -> f64 {
    let total = (old_count + canaries).max(1);
    canaries as f64 / total as f64 / CANARY_TRIAL_SHARE
}
