//! Connections that clients have opened, and which of them is closed when there are too many.
//!
//! Anybody who reaches a listener can open connections, and each takes one of the descriptors that
//! the process also needs for its targets, its peers and its disk. So each listener has a limit of its
//! own. At the limit a new connection takes the place of one that serves nobody: one that has never
//! sent a request, one that has been idle, or one whose client does not read its responses, in this
//! order. A connection with a request under way whose client reads is never closed for another one.
//!
//! The table also keeps the account of the [`memory`] that connections hold.

pub mod memory;

use std::{fmt, time::Duration};

use hazeltiller_units::time;
use indexmap::IndexMap;

use crate::settings;

/// Smallest limit of a listener.
const MIN_CONNECTIONS: usize = 16;
/// Divisor of the descriptors that gives the limit of a listener other than the main one.
const SIDE_LISTENER_DIVISOR: u64 = 16;
/// Divisor of the descriptors that gives the limit of peers that have not authenticated themselves.
const PEERS_DIVISOR: u64 = 8;
/// Divisor of a listener's limit that gives the connections that may be closing beyond it.
const CLOSING_DIVISOR: usize = 8;
/// Time that a peer has for its handshake even if others wait. A whole fleet that starts at once
/// takes a while to be served.
const MIN_HANDSHAKE_TIME: Duration = Duration::from_secs(1);

/// Who a listener is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ListenerKind {
    /// Callers.
    Callers,
    /// Targets that announce themselves.
    Targets,
    /// Operators.
    Operators,
    /// Readiness checks.
    Readiness,
    /// Other processes, until they have authenticated themselves.
    Peers,
}

impl ListenerKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Callers,
        Self::Targets,
        Self::Operators,
        Self::Readiness,
        Self::Peers,
    ];

    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Targets => "target",
            Self::Operators => "operators",
            Self::Readiness => "ready",
            Self::Peers => "peers",
        }
    }
}

impl fmt::Display for ListenerKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Most connections of each listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionLimits(IndexMap<ListenerKind, usize>);

impl ConnectionLimits {
    /// Derives the limits from the descriptors that the process may open. `main` is the listener that
    /// most clients connect to.
    pub fn new(
        tunables: &settings::ConnectionTunables,
        descriptors: u64,
        main: ListenerKind,
    ) -> Self {
        let limit = |kind: ListenerKind| {
            let count = if tunables.main_percent == 0 {
                u64::MAX
            } else if kind == main {
                descriptors.saturating_mul(tunables.main_percent) / 100
            } else if kind == ListenerKind::Peers {
                descriptors / PEERS_DIVISOR
            } else {
                descriptors / SIDE_LISTENER_DIVISOR
            };
            usize::try_from(count)
                .unwrap_or(usize::MAX)
                .max(MIN_CONNECTIONS)
        };
        Self(ListenerKind::ALL.map(|kind| (kind, limit(kind))).into())
    }

    /// Returns the limit of a listener.
    pub fn of(&self, kind: ListenerKind) -> usize {
        self.0[&kind]
    }
}

/// Identifies a connection within its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Decision on a connection that a listener has accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptDecision {
    /// It is served. The other connection, if any, has to be closed for it.
    Served(ConnectionId, Option<ConnectionId>),
    /// It is closed at once.
    Refused,
    /// It waits, until a connection has ended or this time has passed.
    Deferred(Duration),
}

/// Numbers of connections of one listener.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ListenerCounts {
    /// Open ones, without those that were told to close.
    pub open: usize,
    /// Those that were told to close and have not ended.
    pub closing: usize,
    /// Connections that were refused, in total.
    pub refused: u64,
    /// Connections that were closed for another one, in total.
    pub closed_for_others: u64,
    /// Connections that were closed because their clients did not read, in total.
    pub closed_as_slow: u64,
}

/// A connection and what its client makes of it.
#[derive(Debug, Clone)]
struct OpenConnection {
    listener: ListenerKind,
    /// Time of its opening or of the end of its last request.
    idle_since: time::MonotonicTime,
    /// Requests whose responses have not been sent.
    open_requests: usize,
    /// Whether it has sent a request.
    is_used: bool,
    is_closing: bool,
    memory: memory::ConnectionMemory,
}

impl OpenConnection {
    /// Returns the order in which connections are closed for others, first ones first; `None` for
    /// one that is not.
    fn closing_rank(&self) -> Option<(u8, u64)> {
        match (self.open_requests, self.is_used) {
            (0, false) => Some((0, self.idle_since.0)),
            (0, true) => Some((1, self.idle_since.0)),
            _ if self.memory.is_slow() => Some((2, u64::MAX - self.memory.held_bytes())),
            _ => None,
        }
    }
}

/// All connections of clients.
#[derive(Debug, Clone)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    memory: memory::MemoryAccount,
    connections: IndexMap<ConnectionId, OpenConnection>,
    counts: IndexMap<ListenerKind, ListenerCounts>,
    last_id: u64,
}

impl ConnectionTable {
    /// Returns a table without connections.
    pub fn new(limits: ConnectionLimits, policy: memory::MemoryPolicy) -> Self {
        let counts = ListenerKind::ALL.map(|kind| (kind, ListenerCounts::default()));
        Self {
            limits,
            memory: memory::MemoryAccount::new(policy),
            connections: IndexMap::new(),
            counts: counts.into(),
            last_id: 0,
        }
    }

    /// Returns the limits of the listeners.
    pub fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    /// Returns the numbers of connections of a listener.
    pub fn counts(&self, kind: ListenerKind) -> ListenerCounts {
        self.counts[&kind]
    }

    /// Decides on a connection that was accepted.
    pub fn accept(&mut self, kind: ListenerKind, now: time::MonotonicTime) -> AcceptDecision {
        let limit = self.limits.of(kind);
        let counts = self.counts[&kind];
        if counts.open < limit {
            return AcceptDecision::Served(self.insert(kind, now), None);
        }
        let may_close = counts.closing < (limit / CLOSING_DIVISOR).max(1);
        let closed = if may_close {
            self.first_to_close(kind)
        } else {
            None
        };
        if kind == ListenerKind::Peers {
            let oldest = closed.map(|id| now.since(self.connections[&id].idle_since));
            let left = MIN_HANDSHAKE_TIME.saturating_sub(oldest.unwrap_or_default());
            if closed.is_none() || !left.is_zero() {
                return AcceptDecision::Deferred(left);
            }
        }
        let Some(closed) = closed else {
            self.counts[&kind].refused += 1;
            return AcceptDecision::Refused;
        };
        self.counts[&kind].closed_for_others += 1;
        self.mark_closing(closed);
        AcceptDecision::Served(self.insert(kind, now), Some(closed))
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.swap_remove(&id) else {
            return;
        };
        let counts = &mut self.counts[&connection.listener];
        if connection.is_closing {
            counts.closing -= 1;
        } else {
            counts.open -= 1;
        }
    }

    /// Notes that a connection has sent the head of a request.
    pub fn begin_request(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open_requests += 1;
            connection.is_used = true;
        }
    }

    /// Notes that the response to a request has been sent or dropped.
    pub fn end_request(&mut self, id: ConnectionId, now: time::MonotonicTime) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open_requests -= 1;
            connection.idle_since = now;
        }
    }

    /// Returns how long a connection has had no request under way; `None` while it has one.
    pub fn idle_time(&self, id: ConnectionId, now: time::MonotonicTime) -> Option<Duration> {
        let connection = self.connections.get(&id)?;
        (connection.open_requests == 0).then(|| now.since(connection.idle_since))
    }

    fn insert(&mut self, listener: ListenerKind, now: time::MonotonicTime) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = OpenConnection {
            listener,
            idle_since: now,
            open_requests: 0,
            is_used: false,
            is_closing: false,
            memory: memory::ConnectionMemory::default(),
        };
        self.connections.insert(id, connection);
        self.counts[&listener].open += 1;
        id
    }

    /// Returns the connection of a listener that is closed first if another one needs its place.
    fn first_to_close(&self, kind: ListenerKind) -> Option<ConnectionId> {
        let connections = self.connections.iter();
        let ranked = connections
            .filter(|(_, connection)| connection.listener == kind && !connection.is_closing)
            .filter_map(|(id, connection)| Some((connection.closing_rank()?, *id)));
        ranked.min().map(|(_, id)| id)
    }

    fn mark_closing(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !connection.is_closing {
            connection.is_closing = true;
            let counts = &mut self.counts[&connection.listener];
            counts.open -= 1;
            counts.closing += 1;
        }
    }
}
