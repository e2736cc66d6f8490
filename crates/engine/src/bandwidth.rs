//! The link of a node as a resource that its responses share.
//!
//! A run whose response the link cannot deliver in time is for nothing, and its response delays all
//! others. The owner node therefore knows the rate of its link, learns how many bytes the responses
//! of each route have, and refuses a call at once whose response would come too late behind what
//! the link has to send already: the measured backlog, and the responses of the calls that run or
//! wait. Other nodes learn the backlog with their responses, and prefer targets whose link is free
//! for routes with large responses. Without a known rate all of this is off.
//!
//! [`shares`] orders what is sent; the process that owns the sockets applies it.

use std::time::Duration;

use hazeltiller_units::{ids, measure, time};
use hazeltiller_wire::calls as wire;
use indexmap::{IndexMap, IndexSet};

use crate::{admission, event, reducer, routing, settings, timeline};

pub mod shares;

/// Maximum number of targets whose link's backlog is kept; those with the oldest reports go first.
const MAX_REPORTED_LINKS: usize = 1024;
/// Share of a link's rate that is left for what is handed to sockets. The rest is taken by the heads
/// of packets and acknowledgements.
const PAYLOAD_PERCENT: u64 = 97;
/// Interval between records of refusals for want of bandwidth.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Events that concern links.
#[derive(Debug, Clone, PartialEq)]
pub enum BandwidthEvent {
    /// The head of a run's response arrived, with the length of its body.
    Responded {
        /// The call.
        call: ids::CallId,
        /// Bytes of the body.
        bytes: u64,
    },
    /// The bytes that wait for this node's link were counted.
    Measured {
        /// Number of bytes.
        bytes: u64,
    },
    /// The owner node of a target reported the time in which its link's backlog drains.
    Reported {
        /// The target.
        target: ids::TargetName,
        /// Time in which the backlog drains.
        backlog: Duration,
    },
}

/// What is known of this node's link and of those of other nodes.
#[derive(Debug, Clone, Default)]
pub struct BandwidthState {
    /// Mean response size by route.
    sizes: routing::size::RouteBodySizes,
    /// Calls whose response is counted in the backlog.
    responded: IndexSet<ids::CallId>,
    /// Time at which this node's link will have sent its backlog.
    free_at: time::MonotonicTime,
    /// Time at which the links of targets of other nodes will have sent their backlogs.
    reported: IndexMap<ids::TargetName, time::MonotonicTime>,
    /// Calls refused for want of bandwidth since the process started.
    refused: u64,
    recorded_refused: u64,
    recorded_at: time::MonotonicTime,
}

/// Why a response would come too late, and by how much.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateDelivery {
    /// Limit that it would exceed: target latency or deadline.
    pub limit: wire::LimitField,
    /// Time after which the link has sent enough for it to come in time.
    pub excess: Duration,
}

impl BandwidthState {
    /// Returns the time in which the link sends the measured backlog.
    pub fn backlog(&self, now: time::MonotonicTime) -> Duration {
        self.free_at.since(now)
    }

    /// Returns the number of calls refused for want of bandwidth since the process started.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Drops the record of a run that ended.
    pub fn end_call(&mut self, call: ids::CallId) {
        self.responded.swap_remove(&call);
    }
}

/// Returns the rate at which a link takes what a node hands to its sockets; `None` if it is unknown.
pub fn payload_rate(tunables: &settings::BandwidthTunables) -> Option<measure::LinkRate> {
    let kbits = (tunables.link_kbits * PAYLOAD_PERCENT).div_ceil(100);
    measure::LinkRate::from_kbits(kbits)
}

/// Handles an event that concerns a link.
pub fn handle_event(state: &mut reducer::EngineState, event: BandwidthEvent) {
    let Some(rate) = own_rate(state) else {
        return;
    };
    match event {
        BandwidthEvent::Responded { call, bytes } => record_response(state, rate, call, bytes),
        BandwidthEvent::Measured { bytes } => {
            state.bandwidth.free_at = state.now + rate.transfer_time(bytes as f64);
        }
        BandwidthEvent::Reported { target, backlog } => {
            let (now, reported) = (state.now, &mut state.bandwidth.reported);
            reported.shift_remove(&target);
            if reported.len() >= MAX_REPORTED_LINKS {
                reported.shift_remove_index(0);
            }
            reported.insert(target, now + backlog);
        }
    }
}

/// Records refusals for want of bandwidth, at most once a second.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let bandwidth = &state.bandwidth;
    let refused = bandwidth.refused - bandwidth.recorded_refused;
    if refused == 0 || state.now.since(bandwidth.recorded_at) < RECORD_INTERVAL {
        return;
    }
    let expected = own_rate(state).map(|rate| rate.transfer_time(expected_bytes(state)));
    output.record_event(timeline::TimelineEvent::LinkFull {
        refused,
        backlog_ms: bandwidth.backlog(state.now).as_millis() as u64,
        expected_ms: expected.unwrap_or_default().as_millis() as u64,
    });
    let bandwidth = &mut state.bandwidth;
    bandwidth.recorded_refused = bandwidth.refused;
    bandwidth.recorded_at = state.now;
}

/// Returns why the response to an offered call would come too late over this node's link; `None` if
/// it would not, or if nothing is known of the link or the response. With nothing to send before it,
/// a call always passes: a wrong estimate must not close a route.
pub(crate) fn late_delivery(
    state: &mut reducer::EngineState,
    offer: &wire::CallOffer,
) -> Option<LateDelivery> {
    let rate = own_rate(state)?;
    let own_bytes = large_bytes(state, &state.bandwidth.sizes, &offer.route)?;
    let ahead = state.bandwidth.backlog(state.now) + rate.transfer_time(expected_bytes(state));
    if ahead.is_zero() {
        return None;
    }
    let transfer = rate.transfer_time(own_bytes);
    let run_time = admission::run_time(state, offer);
    // The link goes on sending while the call runs.
    let delivery = run_time.max(ahead) + transfer;
    let latency_left = Duration::from_millis(u64::from(offer.latency_left_ms));
    let deadline_left = Duration::from_millis(u64::from(offer.deadline_left_ms));
    let (limit, left) = if run_time + transfer <= latency_left {
        (wire::LimitField::TargetLatency, latency_left)
    } else {
        (wire::LimitField::Deadline, deadline_left)
    };
    let excess = delivery.saturating_sub(left);
    if excess.is_zero() {
        return None;
    }
    state.bandwidth.refused += 1;
    Some(LateDelivery { limit, excess })
}

/// Returns the time for which the response of a route would wait for the link of a target's node;
/// zero for routes with small responses.
pub(crate) fn link_wait(
    state: &reducer::EngineState,
    route: &ids::EntryName,
    target: &ids::TargetName,
) -> Duration {
    if own_rate(state).is_none() || large_bytes(state, &state.routing.sizes, route).is_none() {
        return Duration::ZERO;
    }
    if state.membership.targets.contains_key(target) {
        return state.bandwidth.backlog(state.now);
    }
    let free_at = state.bandwidth.reported.get(target);
    free_at.map_or(Duration::ZERO, |free_at| free_at.since(state.now))
}

/// Returns the rate at which this node's link takes what is handed to its sockets, if it is known.
fn own_rate(state: &reducer::EngineState) -> Option<measure::LinkRate> {
    payload_rate(&state.settings.tunables.bandwidth)
}

/// Returns the mean bytes of a route's responses if they are sent by turns.
fn large_bytes(
    state: &reducer::EngineState,
    sizes: &routing::size::RouteBodySizes,
    route: &ids::EntryName,
) -> Option<f64> {
    let paced_bytes = state.settings.tunables.bandwidth.paced_bytes as f64;
    Some(sizes.of_route(route)).filter(|bytes| *bytes >= paced_bytes)
}

/// Returns the bytes of the large responses that the calls at this node will yet have.
fn expected_bytes(state: &reducer::EngineState) -> f64 {
    let bandwidth = &state.bandwidth;
    let calls = state.calls.owner.iter();
    let pending = calls.filter(|(call, _)| !bandwidth.responded.contains(*call));
    let bytes =
        pending.filter_map(|(_, record)| large_bytes(state, &bandwidth.sizes, &record.offer.route));
    bytes.sum()
}

fn record_response(
    state: &mut reducer::EngineState,
    rate: measure::LinkRate,
    call: ids::CallId,
    bytes: u64,
) {
    let Some(record) = state.calls.owner.get(&call) else {
        return;
    };
    let tunables: &settings::BandwidthTunables = &state.settings.tunables.bandwidth;
    let bandwidth = &mut state.bandwidth;
    bandwidth.sizes.record(&record.offer.route, bytes);
    bandwidth.responded.insert(call);
    if bytes >= tunables.paced_bytes {
        let free_at = bandwidth.free_at.max(state.now);
        bandwidth.free_at = free_at + rate.transfer_time(bytes as f64);
    }
}
