//! Virtual queue of the callers of one route who were told when to return.
//!
//! The line learns from answered calls how many callers are served per second and how long that
//! takes. Each appointment is one service interval behind the appointments before it, so the
//! returns are spread at the rate at which they are served. A returning caller has no identity. It
//! is recognised by its deadline, which stays the same from one send to the next.

use std::{collections::VecDeque, time::Duration};

use hazeltiller_units::time;

use super::backlog;

/// Time constant of the average rate of answered calls.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Weight of a new sample in the smoothed response time.
const RESPONSE_TIME_SMOOTHING: f64 = 0.1;
/// Shortest time after which a caller is told to return.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Time by which a caller may return before its appointment.
const MAX_EARLY: Duration = Duration::from_millis(20);
/// Time after which an appointment lapses.
const MAX_LATE: Duration = Duration::from_millis(200);
/// Largest difference between the deadlines that one caller states on two sends. It covers the
/// variation of the time between a send and the handling of the request.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(50);

/// Time at which one caller is expected to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReturnAppointment {
    due: time::MonotonicTime,
    /// Deadline that the caller states.
    deadline: time::MonotonicTime,
}

/// How the turns of a line are given out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinePolicy {
    /// Share of the rate at which callers are served that returning callers get.
    pub share: f64,
}

/// A caller's request for a turn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TurnRequest {
    /// Deadline that the caller states.
    pub deadline: time::MonotonicTime,
    /// Longest time for which it can wait.
    pub max_wait: Duration,
    /// Random number from 0 to 1 that selects the time within the turn.
    pub draw: f64,
}

/// Numbers of appointments since the start of the process, by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReturnCounts {
    /// Appointments that were made.
    pub appointed: u64,
    /// Appointments whose callers returned on time.
    pub kept: u64,
    /// Kept appointments whose callers were refused again.
    pub refused: u64,
    /// Appointments that lapsed.
    pub lapsed: u64,
    /// Callers for whom no time was left.
    pub without_turn: u64,
}

/// Callers of one route who were told when to return, and the rate at which callers are served.
#[derive(Debug, Clone)]
pub struct ReturnLine {
    /// Answered calls, each weighted by its age.
    answered: f64,
    created: time::MonotonicTime,
    updated: time::MonotonicTime,
    /// Smoothed time from an offer to its answer.
    response_time: Duration,
    /// Share of the rate that returning callers get.
    share: f64,
    backlog: backlog::ReturnBacklog,
    /// Appointments in the order in which they are due.
    appointments: VecDeque<ReturnAppointment>,
    counts: ReturnCounts,
}

impl ReturnLine {
    /// Creates an empty line.
    pub fn new(now: time::MonotonicTime) -> Self {
        Self {
            answered: 0.0,
            created: now,
            updated: now,
            response_time: Duration::ZERO,
            share: 1.0,
            backlog: backlog::ReturnBacklog::default(),
            appointments: VecDeque::new(),
            counts: ReturnCounts::default(),
        }
    }

    /// Records an answered call.
    pub fn record_answer(&mut self, response_time: Duration, now: time::MonotonicTime) {
        self.update(now);
        self.answered += 1.0;
        self.response_time = if self.response_time.is_zero() {
            response_time
        } else {
            self.response_time.mul_f64(1.0 - RESPONSE_TIME_SMOOTHING)
                + response_time.mul_f64(RESPONSE_TIME_SMOOTHING)
        };
    }

    /// Returns the smoothed time from an offer to its answer.
    pub fn response_time(&self) -> Duration {
        self.response_time
    }

    /// Records that a call that was counted as answered did not run.
    pub fn withdraw_answer(&mut self) {
        self.answered = (self.answered - 1.0).max(0.0);
    }

    /// Returns the number of callers that are served per second.
    fn rate(&self) -> f64 {
        let age = self.updated.since(self.created).as_secs_f64() / RATE_TIME.as_secs_f64();
        let observed_share = 1.0 - (-age).exp();
        self.answered / (RATE_TIME.as_secs_f64() * observed_share).max(f64::EPSILON)
    }

    /// Returns the number of callers per second that are told to return.
    fn return_rate(&self) -> f64 {
        self.rate() * self.share
    }

    /// Makes an appointment for a caller; returns the time until it, or `None` if the line is too
    /// long. The turn is at a random time within the service interval behind the earlier callers,
    /// so that the lines of several nodes do not run in phase.
    pub fn appoint(
        &mut self,
        policy: LinePolicy,
        request: TurnRequest,
        now: time::MonotonicTime,
    ) -> Option<Duration> {
        self.share = policy.share;
        self.update(now);
        let earliest = self.backlog.time_to_drain(self.return_rate()).max(MIN_WAIT);
        let Some(slack) = request.max_wait.checked_sub(earliest) else {
            self.counts.without_turn += 1;
            return None;
        };
        let interval = Duration::try_from_secs_f64(1.0 / self.return_rate());
        let interval = interval.unwrap_or(Duration::MAX).min(slack);
        let wait = earliest + interval.mul_f64(request.draw);
        self.backlog.add(f64::MAX);
        self.counts.appointed += 1;
        let due = now + wait;
        let index = self.appointments.partition_point(|other| other.due <= due);
        let deadline = request.deadline;
        let appointment = ReturnAppointment { due, deadline };
        self.appointments.insert(index, appointment);
        Some(wait)
    }

    /// Returns whether a caller that arrives with this deadline returns on time, and ends its
    /// appointment.
    pub fn keep(&mut self, deadline: time::MonotonicTime, now: time::MonotonicTime) -> bool {
        self.update(now);
        let difference = |appointment: &ReturnAppointment| {
            let other = appointment.deadline;
            deadline.since(other).max(other.since(deadline))
        };
        let appointments = self.appointments.iter().enumerate();
        let kept = appointments
            .take_while(|(_, appointment)| appointment.due <= now + MAX_EARLY)
            .map(|(index, appointment)| (difference(appointment), index))
            .filter(|(difference, _)| *difference <= DEADLINE_TOLERANCE)
            .min();
        if let Some((_, index)) = kept {
            self.appointments.remove(index);
            self.counts.kept += 1;
        }
        kept.is_some()
    }

    /// Records that a caller that returned on time was refused.
    pub fn record_refusal(&mut self) {
        self.counts.refused += 1;
    }

    /// Returns the number of outstanding appointments.
    pub fn len(&self) -> usize {
        self.appointments.len()
    }

    /// Returns whether no appointment is outstanding.
    pub fn is_empty(&self) -> bool {
        self.appointments.is_empty()
    }

    /// Returns the numbers of appointments.
    pub fn counts(&self) -> ReturnCounts {
        self.counts
    }

    /// Advances the line to the present: callers are served, and appointments lapse.
    fn update(&mut self, now: time::MonotonicTime) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.backlog.drain(self.return_rate() * elapsed);
        self.answered *= (-elapsed / RATE_TIME.as_secs_f64()).exp();
        self.updated = now;
        while let Some(first) = self.appointments.front()
            && first.due + MAX_LATE < now
        {
            self.appointments.pop_front();
            self.counts.lapsed += 1;
        }
    }
}
