//! What the operators of an installation grant and ask, and the tunables that follow from it.
//!
//! Figures such as the time between a request to stop and the kill are the installation's, not the
//! system's. They are set under their own names, and every tunable that depends on one is derived here;
//! a tunable that the file sets itself goes first, and one whose figure is missing keeps its default.

use std::ops::RangeInclusive;

use hazeltiller_engine::settings as engine_settings;
use serde::Deserialize;

/// Seconds between a request to stop and the kill that can be set.
pub const GRACE_S: RangeInclusive<f64> = 1.0..=3600.0;
/// Second tries for each request that can be granted.
pub const RETRY_RATIO: RangeInclusive<f64> = 0.0..=1.0;
/// Controls whose loss at once can be asked to be borne.
pub const LOST_CONTROLS: RangeInclusive<u64> = 0..=3;

/// Shares of a service's calls that a bad version may have had that can be set.
pub const CANARY_SHARE: RangeInclusive<f64> = 0.002..=1.0;

/// Time for which a stopping node goes on taking requests: whoever watches readiness asks each second, and
/// sends callers elsewhere after two misses.
const READINESS_MS: u64 = 2500;
/// Largest part of the grace that is spent on that.
const LARGEST_LEAVE_PART: f64 = 0.5;
/// Time before the kill by which a process has ended.
const EXIT_MS: u64 = 300;
/// Part of the second tries granted that calls may spend: the rest is for what these tries call in turn.
const SPENT_PART: f64 = 0.5;
/// Part of a bad version's share that its trial may take: the rest is for what turns bad during the move.
const TRIAL_PART: f64 = 0.6;
const PERMILLE: f64 = 1000.0;
/// Time in which peers learn by gossip that a node leaves: some rounds of rumours.
const TELL_MS: u64 = 700;

/// What is known of the installation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InstallationSettings {
    /// Seconds between a request to stop and the kill.
    pub grace_s: Option<f64>,
    /// Second tries that the services grant the whole fleet for each request.
    pub retry_ratio: Option<f64>,
    /// Controls that may be lost at once.
    pub lost_controls: Option<u64>,
    /// Largest share of a service's calls that a bad version may have had by the limit of its roll-out.
    pub canary_share: Option<f64>,
}

impl InstallationSettings {
    /// Sets the tunables that follow.
    pub fn apply(&self, tunables: &mut engine_settings::EngineTunables) {
        if let Some(grace_s) = self.grace_s {
            let grace_ms = grace_s * 1e3;
            let leave_ms = READINESS_MS.min((grace_ms * LARGEST_LEAVE_PART) as u64);
            let requests = &mut tunables.requests;
            requests.leave_ms = leave_ms;
            requests.tell_ms = TELL_MS;
            requests.finish_ms = (grace_ms as u64).saturating_sub(leave_ms + EXIT_MS);
        }
        if let Some(ratio) = self.retry_ratio {
            tunables.retry.budget_percent = (ratio * SPENT_PART * engine_settings::PERCENT) as u64;
        }
        if let Some(lost) = self.lost_controls {
            tunables.replication.voters = 2 * lost + 1;
        }
        if let Some(share) = self.canary_share {
            let trial = (share * TRIAL_PART * PERMILLE) as u64;
            tunables.rollout.trial_permille = trial.max(1);
        }
    }
}
