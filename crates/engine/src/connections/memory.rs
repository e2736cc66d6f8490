//! The account of what a process holds in memory for its clients.
//!
//! Requests that were read ahead, bodies kept for another attempt and responses that nobody reads are
//! each bounded, but not their sum over all connections. The account counts them by connection:
//!
//! * A request that would take the sum over three quarters of the budget is refused before its body
//!   is read, unless its connection holds nothing yet: the last quarter is for those.
//! * A connection that holds a sixteenth of the budget gets no further request served, and listeners
//!   that are not for callers hold no more than half of it.
//! * What has begun is finished. While the sum is above that mark, the connections whose clients do
//!   not read are closed, the one that holds most first.
//! * A client reads if it takes [`MemoryPolicy::slow_bytes`] in a window of several seconds, so that
//!   neither a short break of a link nor a slow one counts. One that does not for some minutes is
//!   closed whatever the sum is.

use std::time::Duration;

use hazeltiller_units::{measure, time};

use super::{ConnectionId, ConnectionTable, ListenerKind};
use crate::settings;

/// Divisor of the budget that gives what one connection may hold.
const CONNECTION_DIVISOR: u64 = 16;
/// Divisor of the budget that gives what a listener may hold that is not for callers.
const SIDE_LISTENER_DIVISOR: u64 = 2;
/// Divisor of the budget that gives the reserve for connections that hold nothing.
const RESERVE_DIVISOR: u64 = 4;
/// Windows after which a client that does not read is closed even if memory is free. One that is
/// closed may come back at once and take another slot, so its connection is left to it for a while.
const MAX_SLOW_WINDOWS: u32 = 60;

/// Limits on what clients make a process hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPolicy {
    /// Most bytes held for all clients; zero sets no limit.
    pub budget: measure::ByteSize,
    /// Bytes that a client takes of its responses within a window at least.
    pub slow_bytes: u64,
    /// Length of a window.
    pub window: Duration,
}

impl MemoryPolicy {
    /// Returns the policy that the tunables describe.
    pub fn new(tunables: &settings::ConnectionTunables) -> Self {
        Self {
            budget: measure::ByteSize(tunables.held_bytes),
            slow_bytes: tunables.slow_rate * tunables.slow_ms / 1000,
            window: settings::millis(tunables.slow_ms),
        }
    }

    /// Returns the bytes up to which any connection's requests are served.
    fn open_bytes(&self) -> u64 {
        self.budget.0 - self.budget.0 / RESERVE_DIVISOR
    }

    fn is_unlimited(&self) -> bool {
        self.budget.0 == 0
    }
}

/// What a connection holds, and how its client reads.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ConnectionMemory {
    held_bytes: u64,
    /// Bytes of responses that were handed to the connection and have not been written.
    unwritten_bytes: u64,
    window: Option<ReadWindow>,
    /// Windows in a row in which the client has read too little.
    slow_windows: u32,
}

/// A time in which a connection always had something to write.
#[derive(Debug, Clone, Copy)]
struct ReadWindow {
    began_at: time::MonotonicTime,
    /// Total that had been written when it began.
    written_bytes: u64,
}

impl ConnectionMemory {
    pub(super) fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    pub(super) fn is_slow(&self) -> bool {
        self.slow_windows > 0
    }

    /// Judges the client by the total that has been written to it.
    fn review(&mut self, policy: &MemoryPolicy, written_bytes: u64, now: time::MonotonicTime) {
        if self.unwritten_bytes == 0 {
            self.window = None;
            self.slow_windows = 0;
            return;
        }
        let window = *self.window.get_or_insert(ReadWindow {
            began_at: now,
            written_bytes,
        });
        if now.since(window.began_at) < policy.window {
            return;
        }
        if written_bytes - window.written_bytes < policy.slow_bytes {
            self.slow_windows += 1;
        } else {
            self.slow_windows = 0;
        }
        self.window = Some(ReadWindow {
            began_at: now,
            written_bytes,
        });
    }
}

/// What is held for all clients.
#[derive(Debug, Clone)]
pub(super) struct MemoryAccount {
    policy: MemoryPolicy,
    held_bytes: u64,
    refused_requests: u64,
}

impl MemoryAccount {
    pub(super) fn new(policy: MemoryPolicy) -> Self {
        Self {
            policy,
            held_bytes: 0,
            refused_requests: 0,
        }
    }
}

impl ConnectionTable {
    /// Returns the bytes that are held for all clients.
    pub fn held_bytes(&self) -> u64 {
        self.memory.held_bytes
    }

    /// Returns the number of requests that were refused for want of memory.
    pub fn refused_requests(&self) -> u64 {
        self.memory.refused_requests
    }

    /// Counts the bytes that a new request will hold, unless it has to be refused. Returns whether it
    /// is served.
    pub fn admit(&mut self, id: ConnectionId, bytes: u64) -> bool {
        if !self.fits(id, bytes) {
            self.memory.refused_requests += 1;
            return false;
        }
        self.hold(id, bytes);
        true
    }

    fn fits(&self, id: ConnectionId, bytes: u64) -> bool {
        let MemoryAccount {
            policy, held_bytes, ..
        } = self.memory;
        let connection = self.connections.get(&id);
        let (Some(connection), false) = (connection, policy.is_unlimited()) else {
            return true;
        };
        if held_bytes == 0 {
            // A single request inside its own limits is served, however small the budget is.
            return true;
        }
        if connection.listener != ListenerKind::Callers {
            let of_listener = self.held_for(connection.listener);
            if of_listener + bytes > policy.budget.0 / SIDE_LISTENER_DIVISOR {
                return false;
            }
        }
        let own_bytes = connection.memory.held_bytes;
        if own_bytes == 0 {
            return held_bytes + bytes <= policy.budget.0;
        }
        held_bytes + bytes <= policy.open_bytes()
            && own_bytes + bytes <= policy.budget.0 / CONNECTION_DIVISOR
    }

    /// Returns what the connections of a listener hold.
    fn held_for(&self, listener: ListenerKind) -> u64 {
        let connections = self.connections.values();
        let of_listener = connections.filter(|connection| connection.listener == listener);
        of_listener
            .map(|connection| connection.memory.held_bytes)
            .sum()
    }

    /// Counts bytes that a request which was admitted, or its response, holds.
    pub fn hold(&mut self, id: ConnectionId, bytes: u64) {
        self.memory.held_bytes += bytes;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.memory.held_bytes += bytes;
        }
    }

    /// Takes bytes off the account. Their connection may have ended before.
    pub fn release(&mut self, id: ConnectionId, bytes: u64) {
        self.memory.held_bytes -= bytes;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.memory.held_bytes -= bytes;
        }
    }

    /// Notes that bytes of a response were handed to the connection to be written.
    pub fn hand_over(&mut self, id: ConnectionId, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.memory.unwritten_bytes += bytes;
        }
    }

    /// Notes that bytes which were handed to the connection were written or dropped.
    pub fn written(&mut self, id: ConnectionId, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.memory.unwritten_bytes -= bytes;
        }
    }

    /// Judges all clients, and returns the connections that have to be closed. `written_bytes` returns
    /// the total that has been written to a connection.
    pub fn review(
        &mut self,
        now: time::MonotonicTime,
        written_bytes: impl Fn(ConnectionId) -> u64,
    ) -> Vec<ConnectionId> {
        let policy = self.memory.policy;
        let mut slow = Vec::new();
        let mut left_bytes = self.memory.held_bytes;
        for (id, connection) in &mut self.connections {
            let memory = &mut connection.memory;
            memory.review(&policy, written_bytes(*id), now);
            if connection.is_closing {
                left_bytes -= memory.held_bytes;
            } else if memory.is_slow() {
                slow.push((memory.held_bytes, memory.slow_windows, *id));
            }
        }
        slow.sort_unstable_by(|one, other| other.cmp(one));
        let mut closed = Vec::new();
        for (held_bytes, windows, id) in slow {
            let is_pressed = !policy.is_unlimited() && left_bytes > policy.open_bytes();
            if is_pressed || windows >= MAX_SLOW_WINDOWS {
                left_bytes = left_bytes.saturating_sub(held_bytes);
                closed.push(id);
            }
        }
        for id in &closed {
            let listener = self.connections[id].listener;
            self.counts[&listener].closed_as_slow += 1;
            self.mark_closing(*id);
        }
        closed
    }
}
