//! Limits and requirements of an installation, and the tunables derived from them.
//!
//! Figures such as the time between the request to stop a process and its kill are given by the
//! environment that the system is installed in. They have settings of their own, from which the
//! tunables that depend on them are derived here. A tunable that the file sets itself takes
//! precedence; one whose figure is not given keeps its default.

use std::ops::RangeInclusive;

use hazeltiller_engine::settings as engine_settings;
use serde::Deserialize;

/// Allowed seconds between the request to stop a process and its kill.
pub const GRACE_RANGE_S: RangeInclusive<f64> = 1.0..=3600.0;
/// Allowed ratios of retries to requests.
pub const RETRY_RATIO_RANGE: RangeInclusive<f64> = 0.0..=1.0;
/// Allowed numbers of controls whose simultaneous loss is tolerated.
pub const LOST_CONTROLS_RANGE: RangeInclusive<u64> = 0..=3;

/// Allowed rates of a machine's link, in Mbit/s.
pub const LINK_RANGE_MBPS: RangeInclusive<f64> = 0.0..=100_000.0;
/// Allowed sizes of a machine's memory, in megabytes.
pub const MEMORY_RANGE_MB: RangeInclusive<f64> = 32.0..=1_000_000.0;
/// Allowed numbers of descriptors that a process may open.
pub const DESCRIPTORS_RANGE: RangeInclusive<f64> = 128.0..=10_000_000.0;
/// Allowed numbers of retries or requests beyond a limit.
pub const SLACK_RANGE: RangeInclusive<f64> = 0.0..=100_000.0;

/// Allowed shares of a service's calls that a bad version may receive.
pub const CANARY_SHARE_RANGE: RangeInclusive<f64> = 0.002..=1.0;

/// Time for which a stopping node goes on accepting requests: load balancers check readiness every
/// second and take a node out of rotation after two failed checks.
const READINESS_LAG_MS: u64 = 2500;
/// Maximum fraction of the grace period for which a stopping node goes on accepting requests.
const MAX_LEAVE_FRACTION: f64 = 0.5;
/// Time before the kill at which a process should have exited.
const EXIT_MARGIN_MS: u64 = 300;
/// Fraction of the granted retries that goes into the retry budget. The rest covers the nested
/// calls that retried requests make in turn.
const RETRY_BUDGET_FRACTION: f64 = 0.5;
/// Fraction of a bad version's allowed share that the trial phase of a rollout may use. The rest
/// covers versions that turn out bad while traffic is being shifted to them.
const TRIAL_FRACTION: f64 = 0.6;
const PERMILLE: f64 = 1000.0;
const KBITS_PER_MBIT: f64 = 1000.0;
/// Divisor of the granted retries beyond the ratio that gives the reserve of one class.
const RETRY_SLACK_DIVISOR: f64 = 4.0;
/// Divisor of the tolerated excess of an organisation's requests that gives what a home may grant
/// at once: a few homes may follow each other within one window.
const ALLOWANCE_SLACK_DIVISOR: f64 = 4.0;
/// Fraction of the process's memory that may be held for clients. The rest is for the catalogue, the
/// members, connections to targets and peers, and what the allocator keeps.
const HELD_FRACTION: f64 = 0.25;
pub(crate) const BYTES_PER_MB: f64 = 1e6;
/// Time in which all peers learn that a node is leaving: a few rounds of gossip.
const LEAVE_GOSSIP_MS: u64 = 700;

/// Limits and requirements of an installation, as far as they are known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InstallationSettings {
    /// Seconds between the request to stop a process and its kill.
    pub grace_s: Option<f64>,
    /// Retries per request that the services grant the fleet as a whole.
    pub retry_ratio: Option<f64>,
    /// Retries beyond the ratio that each service grants the fleet as a whole.
    pub retry_slack: Option<f64>,
    /// Number of controls whose simultaneous loss is tolerated.
    pub lost_controls: Option<u64>,
    /// Maximum share of a service's calls that a bad version may have received by the time limit of
    /// its rollout.
    pub canary_share: Option<f64>,
    /// Requests of an organisation beyond its rate and burst that are tolerated.
    pub allowance_slack: Option<f64>,
    /// Rate of the machine's link, in Mbit/s.
    pub link_mbps: Option<f64>,
    /// Memory that the process may use, in megabytes of 1,000,000 bytes.
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may open, if fewer than the operating system allows.
    pub descriptors: Option<f64>,
}

impl InstallationSettings {
    /// Sets the tunables that are derived from the figures that are given.
    pub fn apply(&self, tunables: &mut engine_settings::EngineTunables) {
        if let Some(grace_s) = self.grace_s {
            let grace_ms = grace_s * 1e3;
            let leave_ms = READINESS_LAG_MS.min((grace_ms * MAX_LEAVE_FRACTION) as u64);
            let requests = &mut tunables.requests;
            requests.leave_ms = leave_ms;
            requests.tell_ms = LEAVE_GOSSIP_MS;
            requests.finish_ms = (grace_ms as u64).saturating_sub(leave_ms + EXIT_MARGIN_MS);
        }
        if let Some(ratio) = self.retry_ratio {
            tunables.retry.budget_percent =
                (ratio * RETRY_BUDGET_FRACTION * engine_settings::PERCENT) as u64;
        }
        if let Some(slack) = self.retry_slack {
            let retry = &mut tunables.retry;
            let reserve = (slack / RETRY_SLACK_DIVISOR) as u64;
            retry.budget_fleet_reserve = retry.budget_fleet_reserve.max(reserve);
        }
        if let Some(lost) = self.lost_controls {
            tunables.replication.voters = 2 * lost + 1;
        }
        if let Some(slack) = self.allowance_slack {
            tunables.allowance.spare = (slack / ALLOWANCE_SLACK_DIVISOR) as u64;
        }
        if let Some(link_mbps) = self.link_mbps {
            tunables.bandwidth.link_kbits = (link_mbps * KBITS_PER_MBIT) as u64;
        }
        if let Some(memory_mb) = self.memory_mb {
            let held_bytes = memory_mb * BYTES_PER_MB * HELD_FRACTION;
            tunables.connections.held_bytes = held_bytes as u64;
        }
        if let Some(share) = self.canary_share {
            let trial = (share * TRIAL_FRACTION * PERMILLE) as u64;
            tunables.rollout.trial_permille = trial.max(1);
        }
    }
}
