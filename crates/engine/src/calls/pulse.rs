//! When a link to another node is in doubt.
//!
//! A cut swallows what is sent without a word of the network, and until the link is given up every call
//! that is sent there waits for nothing. So while calls wait on a link that has been silent for a moment, the
//! other node is asked for a sign, which it gives at once, whatever its target does. A sign that takes much
//! longer than signs of that link usually do puts the link in doubt: new calls go elsewhere, those on it stay,
//! and the sign that comes after all ends the doubt. What is usual is measured for each link: on a narrow
//! one that is choked, signs are late by half a second and it still carries calls.

use std::time::Duration;

/// Silence of a link with calls on it before a sign is asked for: most runs are shorter, so that most
/// calls cost no sign.
pub const SILENCE: Duration = Duration::from_millis(100);
/// Least time that a sign is given: fifty round trips between data centres of a region, and what a
/// process that has a tenth of a core may stand still.
const LEAST_PATIENCE: Duration = Duration::from_millis(200);
/// Time that the first sign of a link is given, before anything was measured.
const FIRST_PATIENCE: Duration = Duration::from_millis(400);
/// Mean deviations beyond the mean that a sign is given, as TCP gives its acknowledgements.
const DEVIATIONS: f64 = 4.0;
/// Part of a new measurement in the mean and in the deviation, as in TCP's estimate.
const MEAN_PART: f64 = 0.125;
const DEVIATION_PART: f64 = 0.25;

/// How long signs of one link take.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkPulse {
    /// Smoothed time in seconds and its mean deviation; absent before the first sign.
    measured: Option<(f64, f64)>,
}

impl LinkPulse {
    /// Takes the time that a sign took.
    pub fn note(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.measured = Some(match self.measured {
            None => (took, took / 2.0),
            Some((mean, deviation)) => {
                let off = (took - mean).abs();
                (
                    mean + MEAN_PART * (took - mean),
                    deviation + DEVIATION_PART * (off - deviation),
                )
            }
        });
    }

    /// Time after which a sign that has not come puts the link in doubt.
    pub fn patience(&self) -> Duration {
        self.measured.map_or(FIRST_PATIENCE, |(mean, deviation)| {
            Duration::from_secs_f64(mean + DEVIATIONS * deviation).max(LEAST_PATIENCE)
        })
    }
}
