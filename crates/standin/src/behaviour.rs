//! Scripted behaviour of a stand-in, which can be changed while it runs.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::endless;

/// Header that makes a request crash the target that runs it. Its value is ignored.
pub const CRASH_HEADER: &str = "stand-in-crash";
/// Substring of a path that makes a request crash the target that runs it.
pub const CRASH_MARKER: &str = "crash-target";
/// Header with the number of times that a request may still be forwarded. Without it, each target
/// that has a next service forwards the request.
pub const HOPS_HEADER: &str = "stand-in-hops";

/// How a stand-in responds to requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseMode {
    /// With a complete response.
    #[default]
    Whole,
    /// With status 500.
    Failing,
    /// Not at all; the connection stays open.
    Never,
    /// With a truncated body; the connection is closed in the middle of it.
    InPart,
}

/// What the health endpoint reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthMode {
    /// Status 200 if requests get complete responses, else 503.
    #[default]
    Truth,
    /// Status 200, however requests are responded to.
    AlwaysWell,
    /// Status 503, however requests are responded to.
    AlwaysIll,
}

/// The service that requests are forwarded to, through the target's own node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NextService {
    /// Callers listener of the node.
    pub callers: SocketAddr,
    /// Path of the forwarded requests. Defaults to that of the original request.
    #[serde(default)]
    pub path: Option<String>,
}

/// The scripted behaviour of a stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandInBehaviour {
    /// Latency of the responses, in milliseconds.
    pub latency_ms: u64,
    /// Number of concurrent requests above which requests are shed with status 503. Defaults to the
    /// announced slots.
    pub real_slots: Option<u32>,
    /// Time after a start during which the latency is `cold_latency_ms`, in milliseconds.
    pub cold_start_ms: u64,
    /// Latency of the responses after a start, in milliseconds.
    pub cold_latency_ms: u64,
    /// How requests are responded to.
    pub answer: ResponseMode,
    /// Minimum size of a response body, in bytes.
    pub answer_bytes: usize,
    /// Number of pieces in which a response body is sent.
    pub pieces: u32,
    /// Time before each piece, in milliseconds.
    pub piece_pause_ms: u64,
    /// Time until the stand-in restarts after a crash, in milliseconds. If absent, the process
    /// exits.
    pub crash_pause_ms: Option<u64>,
    /// What the health endpoint reports.
    pub health: HealthMode,
    /// Number of requests in flight that the load endpoint reports. Defaults to the actual number.
    pub told_in_flight: Option<u32>,
    /// Service that requests are forwarded to, if any.
    pub next: Option<NextService>,
    /// Rate limit that every response names, in requests per second; sent as written, so that it
    /// may be malformed.
    pub rate_limit: Option<String>,
    /// Whether every response says that the target leaves.
    pub is_leaving: bool,
    /// Declines, without running it, each request whose number is a multiple of this. 0 declines
    /// none.
    pub declined_interval: u64,
    /// Sends the response to each declined request a second time on its connection, once the next
    /// request has arrived there and before that is answered.
    pub is_decline_repeated: bool,
    /// Echoes the id of each request that it runs, and sends the response a second time in the same
    /// way if the number of the request is a multiple of this. 0 does neither.
    pub repeated_interval: u64,
    /// Bytes without end, if any.
    pub endless: Option<endless::EndlessScript>,
}

impl Default for StandInBehaviour {
    fn default() -> Self {
        Self {
            latency_ms: 1,
            real_slots: None,
            cold_start_ms: 0,
            cold_latency_ms: 0,
            answer: ResponseMode::Whole,
            answer_bytes: 0,
            pieces: 1,
            piece_pause_ms: 0,
            crash_pause_ms: Some(500),
            health: HealthMode::Truth,
            told_in_flight: None,
            next: None,
            rate_limit: None,
            is_leaving: false,
            declined_interval: 0,
            is_decline_repeated: false,
            repeated_interval: 0,
            endless: None,
        }
    }
}

impl StandInBehaviour {
    /// Returns the latency of a response, given the time since the start.
    pub fn latency(&self, since_start: Duration) -> Duration {
        let is_cold = since_start < Duration::from_millis(self.cold_start_ms);
        Duration::from_millis(if is_cold {
            self.cold_latency_ms
        } else {
            self.latency_ms
        })
    }

    /// Whether the health endpoint reports the target as healthy.
    pub fn reports_healthy(&self) -> bool {
        match self.health {
            HealthMode::Truth => self.answer == ResponseMode::Whole,
            HealthMode::AlwaysWell => true,
            HealthMode::AlwaysIll => false,
        }
    }
}
