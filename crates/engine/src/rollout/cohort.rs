//! Which targets of a service a call may go to while a roll-out goes on.
//!
//! The load that this answers: a version that fails only when it is busy. So a few canary targets
//! get as many calls as an old target does, instead of all new ones a trickle. Which ones they are
//! follows from their names and the order, so every node takes the same ones.

use hazeltiller_catalogue::rollout;
use hazeltiller_units::ids;
use serde::{Deserialize, Serialize};

use crate::{membership::table as members, reducer, routing::table};

/// Canary targets for each present one.
const CANARIES_PER_TARGET: f64 = 0.055;
/// Fewest canary targets: the fault of one machine has to be told from one of the version.
const FEWEST_CANARIES: usize = 2;
/// Part of the calls on trial that go to the canary targets; the others are spread over the rest
/// of the new version's, so that each of them is seen.
pub const CANARY_TRIAL_SHARE: f64 = 0.8;

/// A target's part in a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetCohort {
    /// It is of an old version, or there is no roll-out.
    Present,
    /// It is of the new version and takes a full target's calls while that is on trial.
    Canary,
    /// It is of the new version.
    Reserve,
}

/// Targets that a call may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallCohort {
    /// Any: no roll-out goes on.
    Any,
    /// Those of an old version.
    Old,
    /// The canary targets.
    Canary,
    /// The others of the new version.
    Reserve,
    /// All of the new version.
    New,
}

impl CallCohort {
    /// Whether a target may take the call.
    pub fn admits(self, cohort: TargetCohort) -> bool {
        match self {
            Self::Any => true,
            Self::Old => cohort == TargetCohort::Present,
            Self::Canary => cohort == TargetCohort::Canary,
            Self::Reserve => cohort == TargetCohort::Reserve,
            Self::New => cohort != TargetCohort::Present,
        }
    }

    /// Where the call goes when none of these targets can take it.
    pub fn fallback(self) -> Option<Self> {
        match self {
            Self::Any | Self::Old => None,
            Self::Canary | Self::Reserve | Self::New => Some(Self::Old),
        }
    }

    /// Where its next try may go: a version on trial gets one try of a call at most.
    #[must_use]
    pub fn after_attempt(self) -> Self {
        match self {
            Self::Canary | Self::Reserve => Self::Old,
            other => other,
        }
    }
}

/// Slots of both versions over the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotCount {
    /// Of ready targets of the old versions.
    pub old: u32,
    /// Of ready targets of the new version.
    pub new: u32,
}

impl SlotCount {
    /// Slots of a roll-out's service, as this process knows them.
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

/// Sets the cohorts of a service's ready targets by its latest roll-out and takes out those that
/// may not be used; returns the largest share of calls that a trial can carry.
pub fn assign(entry: &rollout::RolloutEntry, targets: &mut Vec<table::ReadyTarget>) -> f64 {
    let is_new = |target: &table::ReadyTarget| target.version.as_ref() == Some(&entry.to);
    // One that does not tell its version was there before versions were told.
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
            // Old targets stop; while there is nothing else they are still better than none.
            if targets.iter().any(|target| !is_old(target)) {
                targets.retain(|target| !is_old(target));
            }
            return 0.0;
        }
        rollout::RolloutPhase::Trial
        | rollout::RolloutPhase::Widening
        | rollout::RolloutPhase::Switched => {}
    }
    let present = targets.iter().filter(|target| !is_new(target)).count();
    let canaries = canary_count(present);
    let mut coming: Vec<&mut table::ReadyTarget> =
        targets.iter_mut().filter(|target| is_new(target)).collect();
    coming.sort_by_cached_key(|target| canary_rank(entry.order, &target.target));
    for (rank, target) in coming.iter_mut().enumerate() {
        target.cohort = if rank < canaries {
            TargetCohort::Canary
        } else {
            TargetCohort::Reserve
        };
    }
    trial_share(present, canaries.min(coming.len()))
}

/// Canary targets beside so many present ones.
pub fn canary_count(present: usize) -> usize {
    ((present as f64 * CANARIES_PER_TARGET) as usize).max(FEWEST_CANARIES)
}

/// Place of a target among the new ones: canaries come first.
pub fn canary_rank(order: ids::CatalogueVersion, target: &ids::TargetName) -> u64 {
    members::name_digest(&format!("{order} {target}")).0
}

/// Share of the calls with which each canary target has as many as a present one.
fn trial_share(present: usize, canaries: usize) -> f64 {
    let all = (present + canaries).max(1);
    canaries as f64 / all as f64 / CANARY_TRIAL_SHARE
}
