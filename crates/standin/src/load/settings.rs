//! Settings of a load.

use std::{net::SocketAddr, time::Duration};

use crate::load::mix;

const DEFAULT_RATE_PER_S: f64 = 100.0;
const DEFAULT_DURATION: Duration = Duration::from_secs(10);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_SENDS: u32 = 3;
const DEFAULT_RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Settings of a load, created by [`LoadSettings::builder`].
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Callers listeners of the nodes, used in turn.
    pub nodes: Vec<SocketAddr>,
    /// Kinds of requests.
    pub mix: mix::LoadMix,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests are started.
    pub duration: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Timeout of one send.
    pub timeout: Duration,
    /// Highest number of sends of a request that may safely be resent.
    pub sends: u32,
    /// Time before the first resend. Doubles with each resend.
    pub resend_pause: Duration,
    /// Stand-ins whose logs the outcomes are checked against.
    pub stand_ins: Vec<SocketAddr>,
}

/// Builds [`LoadSettings`].
#[derive(Debug, Clone)]
pub struct LoadBuilder {
    settings: LoadSettings,
}

impl LoadSettings {
    /// Returns a builder of the settings for a load on `nodes`.
    ///
    /// # Panics
    ///
    /// Panics if `nodes` is empty.
    pub fn builder(nodes: Vec<SocketAddr>, mix: mix::LoadMix) -> LoadBuilder {
        assert!(!nodes.is_empty(), "a load needs at least one node");
        let settings = Self {
            nodes,
            mix,
            rate: DEFAULT_RATE_PER_S,
            duration: DEFAULT_DURATION,
            seed: 0,
            timeout: DEFAULT_TIMEOUT,
            sends: DEFAULT_SENDS,
            resend_pause: DEFAULT_RESEND_PAUSE,
            stand_ins: Vec::new(),
        };
        LoadBuilder { settings }
    }
}

impl LoadBuilder {
    /// Sets the requests per second.
    #[must_use]
    pub fn rate(mut self, rate: f64) -> Self {
        self.settings.rate = rate;
        self
    }

    /// Sets the time during which requests are started.
    #[must_use]
    pub fn duration(mut self, duration: Duration) -> Self {
        self.settings.duration = duration;
        self
    }

    /// Sets the seed of the random number generator.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.settings.seed = seed;
        self
    }

    /// Sets the timeout of one send.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.settings.timeout = timeout;
        self
    }

    /// Sets the highest number of sends of a request that may safely be resent.
    #[must_use]
    pub fn sends(mut self, sends: u32) -> Self {
        self.settings.sends = sends.max(1);
        self
    }

    /// Sets the time before the first resend.
    #[must_use]
    pub fn resend_pause(mut self, pause: Duration) -> Self {
        self.settings.resend_pause = pause;
        self
    }

    /// Sets the stand-ins whose logs the outcomes are checked against.
    #[must_use]
    pub fn stand_ins(mut self, stand_ins: Vec<SocketAddr>) -> Self {
        self.settings.stand_ins = stand_ins;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> LoadSettings {
        self.settings
    }
}
