//! The id of a request and the clock, as they travel in headers.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use hazeltiller_units::ids;
use hazeltiller_wire::calls as wire;
use hyper::{HeaderMap, header};

use crate::{http, timeline};

/// Gives ids to requests that come without one.
///
/// An id is a random number of the process and a number that grows in it, so that two processes
/// never give the same.
#[derive(Debug)]
pub struct RequestIds {
    process: u64,
    last: AtomicU64,
}

impl Default for RequestIds {
    fn default() -> Self {
        Self {
            process: rand::random(),
            last: AtomicU64::new(0),
        }
    }
}

impl RequestIds {
    /// The id of a caller's request: its own, or a new one.
    pub fn of(&self, headers: &HeaderMap) -> ids::RequestId {
        read(headers).unwrap_or_else(|| self.new_id())
    }

    /// A new id.
    pub fn new_id(&self) -> ids::RequestId {
        let number = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let text = format!("{:016x}-{number:x}", self.process);
        text.parse().expect("digits and a hyphen make a name")
    }
}

/// The id in headers.
pub fn read(headers: &HeaderMap) -> Option<ids::RequestId> {
    headers
        .get(wire::REQUEST_HEADER)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Puts an id into headers, in place of any other.
pub fn label(headers: &mut HeaderMap, request: &ids::RequestId) {
    let value = header::HeaderValue::from_str(request.as_str());
    let value = value.expect("a name is a header's value");
    headers.insert(wire::REQUEST_HEADER, value);
}

/// Time since the machine started, the time in which it was suspended included: a clock that stood
/// still meanwhile would make all that is sent after it seem late.
pub fn boot_time() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// Puts the time into the headers of what is sent to another node.
pub fn send_clock(clock: &timeline::HybridClock, headers: &mut HeaderMap) {
    let value = http::unindexed_value(&clock.tick());
    headers.insert(wire::CLOCK_HEADER, value);
}

/// Takes the time off the headers of what came from another node.
pub fn take_clock(clock: &timeline::HybridClock, headers: &mut HeaderMap) {
    let sent = http::take_record(headers, wire::CLOCK_HEADER);
    if let Some(sent) = sent {
        clock.merge(sent);
    }
}
