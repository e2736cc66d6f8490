//! Decides which calls ask for a place at their target before their request is sent, and how long
//! the owner node's answer is waited for.
//!
//! A refused offer has already sent its request body, and an offer that is not answered may have
//! run. A call that asks first sends its request only once the owner node has admitted it: a
//! refusal costs no body, and a call without an answer has certainly not run, so it can go to
//! another target at once.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use indexmap::IndexMap;

use super::table;
use crate::settings;

/// Weights of a new sample in the smoothed round trip and in its deviation, and the number of
/// deviations that an answer may be late, as in TCP's retransmission timer.
const ROUND_TRIP_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
const ALLOWED_DEVIATIONS: f64 = 4.0;
/// Shortest time to wait for an answer: a small node may be busy for this long.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(30);
/// Unanswered offers in a row after which a node counts as unreachable.
const MAX_SILENCES: u32 = 3;

/// Returns whether a call with a request body of this size asks for a place before it is sent to a
/// target at this distance. Every call does while the owner node has left the latest offer
/// unanswered.
pub fn asks_first(
    tunables: &settings::PlacementTunables,
    distance: table::TargetDistance,
    body_bytes: u64,
    times: AnswerTimes,
) -> bool {
    let min_body_bytes = match distance {
        table::TargetDistance::SameDataCentre => tunables.near_body_bytes,
        table::TargetDistance::SameRegion | table::TargetDistance::Remote => {
            tunables.far_body_bytes
        }
    };
    min_body_bytes > 0 && (body_bytes >= min_body_bytes || times.silences > 0)
}

/// Round trips of the questions to one node.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnswerTimes {
    /// Smoothed round trip and its mean deviation, in seconds; `None` before the first answer.
    round_trip: Option<(f64, f64)>,
    /// Questions and other offers without an answer since the last answer to a question.
    silences: u32,
}

impl AnswerTimes {
    /// Records an answer and the time that it took.
    pub fn record_answer(&mut self, took: Duration) {
        let sample_s = took.as_secs_f64();
        self.silences = 0;
        self.round_trip = Some(match self.round_trip {
            None => (sample_s, sample_s / 2.0),
            Some((mean_s, deviation_s)) => {
                let error_s = sample_s - mean_s;
                (
                    mean_s + ROUND_TRIP_GAIN * error_s,
                    deviation_s + DEVIATION_GAIN * (error_s.abs() - deviation_s),
                )
            }
        });
    }

    /// Records a question, or an offer with its request, that was not answered in time.
    pub fn record_silence(&mut self) {
        self.silences = self.silences.saturating_add(1);
    }

    /// Returns whether the node has left so many offers in a row unanswered that it counts as
    /// unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.silences >= MAX_SILENCES
    }

    /// Returns the time to wait for the next answer, at most `max_time`. Each offer without an
    /// answer doubles it, so that a link that has become slower is measured anew.
    pub fn answer_time(&self, max_time: Duration) -> Duration {
        let Some((mean_s, deviation_s)) = self.round_trip else {
            return max_time;
        };
        let usual_s = mean_s + ALLOWED_DEVIATIONS * deviation_s;
        let doublings = self.silences.min(MAX_SILENCES);
        let allowed_s = usual_s.max(MIN_ANSWER_TIME.as_secs_f64()) * f64::from(1 << doublings);
        Duration::from_secs_f64(allowed_s).min(max_time)
    }
}

/// Round trips of the questions to all nodes, by peer address.
#[derive(Debug, Default)]
pub struct AnswerTimeTable(Mutex<IndexMap<SocketAddr, AnswerTimes>>);

impl AnswerTimeTable {
    /// Returns the round trips of one node.
    pub fn of_node(&self, address: SocketAddr) -> AnswerTimes {
        let times = self.0.lock().expect("no holder of the lock panics");
        times.get(&address).copied().unwrap_or_default()
    }

    /// Records a node's answer to a question, or with `None` that it did not answer an offer in time. Returns the
    /// node's round trips.
    pub fn record(&self, address: SocketAddr, took: Option<Duration>) -> AnswerTimes {
        let mut all_times = self.0.lock().expect("no holder of the lock panics");
        let times = all_times.entry(address).or_default();
        match took {
            Some(took) => times.record_answer(took),
            None => times.record_silence(),
        }
        *times
    }
}
