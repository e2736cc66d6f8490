//! Propagation of request ids and of the hybrid logical clock in headers.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use hazeltiller_units::ids;
use hazeltiller_wire::calls as wire;
use hyper::{HeaderMap, header};

use crate::{http, timeline};

/// Generates ids for requests that arrive without one.
///
/// An id consists of a random number of the process and a counter, so that no two processes
/// generate the same.
#[derive(Debug)]
pub struct RequestIds {
    process_nonce: u64,
    last: AtomicU64,
}

impl Default for RequestIds {
    fn default() -> Self {
        Self {
            process_nonce: rand::random(),
            last: AtomicU64::new(0),
        }
    }
}

impl RequestIds {
    /// Returns the id in the headers of a request, or generates one.
    pub fn of(&self, headers: &HeaderMap) -> ids::RequestId {
        request_id(headers).unwrap_or_else(|| self.new_id())
    }

    /// Generates an id.
    pub fn new_id(&self) -> ids::RequestId {
        let number = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let text = format!("{:016x}-{number:x}", self.process_nonce);
        text.parse().expect("digits and a hyphen are a valid id")
    }
}

/// Returns the request id in headers.
pub fn request_id(headers: &HeaderMap) -> Option<ids::RequestId> {
    headers
        .get(wire::REQUEST_HEADER)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Sets the request id in headers, replacing any other.
pub fn set_request_id(headers: &mut HeaderMap, request: &ids::RequestId) {
    let value = header::HeaderValue::from_str(request.as_str());
    let value = value.expect("an id is a valid header value");
    headers.insert(wire::REQUEST_HEADER, value);
}

/// Returns the time since the machine booted, including the time for which it was suspended. With a
/// clock that stops during suspension, everything sent after a suspension would seem to be late.
pub fn boot_time() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// Adds the current clock time to the headers of a message to another node.
pub fn set_clock(clock: &timeline::HybridClock, headers: &mut HeaderMap) {
    let value = http::unindexed_value(&clock.tick());
    headers.insert(wire::CLOCK_HEADER, value);
}

/// Removes the clock time from the headers of a message from another node, and merges it into the
/// clock.
pub fn merge_clock(clock: &timeline::HybridClock, headers: &mut HeaderMap) {
    let sent = http::take_record(headers, wire::CLOCK_HEADER);
    if let Some(sent) = sent {
        clock.merge(sent);
    }
}
