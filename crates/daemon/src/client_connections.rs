//! The connections that clients have opened to this process. Decisions on them are made by the
//! engine's [`connections::ConnectionTable`], and carried out here.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use hazeltiller_engine::connections::{self, memory};
use hazeltiller_units::{code, time as unit_time};
use hazeltiller_wire::calls as wire;
use indexmap::IndexMap;
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

mod charged_body;

use crate::{counted_stream, metrics};

pub use charged_body::ChargedBody;

/// Interval at which clients are judged by what they read.
const REVIEW_PERIOD: Duration = Duration::from_secs(1);

/// Time after which the caller of a request that was refused for want of memory may return.
/// Connections of clients that do not read are closed meanwhile.
const MEMORY_RETRY_MS: u32 = 1000;

/// Returns the refusal of a request that would have the process hold too much for its clients.
pub fn memory_refusal() -> wire::CallRefusal {
    wire::CallRefusal {
        retry_after_ms: MEMORY_RETRY_MS,
        ..wire::CallRefusal::not_run(code::ResultCode::MemoryExceeded)
    }
}

/// All connections of clients. Clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionRegistry(Arc<SharedRegistry>);

#[derive(Debug)]
struct SharedRegistry {
    started_at: Instant,
    state: Mutex<RegistryState>,
    /// A connection has ended.
    ended: Notify,
}

#[derive(Debug)]
struct RegistryState {
    table: connections::ConnectionTable,
    handles: IndexMap<connections::ConnectionId, ConnectionHandle>,
}

/// What is needed to judge and to close a connection.
#[derive(Debug, Clone, Default)]
struct ConnectionHandle {
    written: counted_stream::WrittenBytes,
    closing: Arc<Notify>,
}

impl SharedRegistry {
    fn state(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn now(&self) -> unit_time::MonotonicTime {
        unit_time::MonotonicTime(self.started_at.elapsed().as_micros() as u64)
    }
}

impl RegistryState {
    fn close(&self, id: connections::ConnectionId) {
        if let Some(handle) = self.handles.get(&id) {
            handle.closing.notify_one();
        }
    }
}

impl ConnectionRegistry {
    /// Returns a registry without connections.
    pub fn new(limits: connections::ConnectionLimits, policy: memory::MemoryPolicy) -> Self {
        let table = connections::ConnectionTable::new(limits, policy);
        let handles = IndexMap::new();
        Self(Arc::new(SharedRegistry {
            started_at: Instant::now(),
            state: Mutex::new(RegistryState { table, handles }),
            ended: Notify::new(),
        }))
    }

    /// Registers a connection that a listener has accepted. Returns `None` if it has to be closed.
    pub async fn register(&self, kind: connections::ListenerKind) -> Option<ConnectionGuard> {
        loop {
            let ended = self.0.ended.notified();
            let wait = match self.decide(kind) {
                AcceptResult::Served(guard) => return Some(guard),
                AcceptResult::Refused => return None,
                AcceptResult::Deferred(wait) => wait,
            };
            tokio::select! {
                () = ended => {}
                () = time::sleep(wait) => {}
            }
        }
    }

    fn decide(&self, kind: connections::ListenerKind) -> AcceptResult {
        let mut state = self.0.state();
        match state.table.accept(kind, self.0.now()) {
            connections::AcceptDecision::Served(id, closed) => {
                if let Some(closed) = closed {
                    state.close(closed);
                }
                let handle = ConnectionHandle::default();
                state.handles.insert(id, handle.clone());
                AcceptResult::Served(ConnectionGuard(ClientConnection {
                    id,
                    handle,
                    registry: Arc::clone(&self.0),
                }))
            }
            connections::AcceptDecision::Refused => AcceptResult::Refused,
            connections::AcceptDecision::Deferred(wait) => AcceptResult::Deferred(wait),
        }
    }

    /// Judges the clients every second and closes connections, until the process ends.
    pub async fn review(self) {
        let mut timer = time::interval(REVIEW_PERIOD);
        timer.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
        let mut reported = TableTotals::default();
        loop {
            timer.tick().await;
            let totals = {
                let mut guard = self.0.state();
                let RegistryState { table, handles } = &mut *guard;
                let written = |id| {
                    let handle = handles.get(&id);
                    handle.map_or(0, |handle: &ConnectionHandle| handle.written.get())
                };
                let closed = table.review(self.0.now(), written);
                for id in closed {
                    guard.close(id);
                }
                TableTotals::of(&guard.table)
            };
            totals.log_changes(&reported);
            reported = totals;
        }
    }

    /// Sets the metrics of connections and of the memory that they hold.
    pub fn update_metrics(&self, metrics: &metrics::ProcessMetrics) {
        let state = self.0.state();
        let held_bytes = metrics.held_bytes.with_label_values::<&str>(&[]);
        held_bytes.set(state.table.held_bytes() as i64);
        metrics.memory_refusals.reset();
        let refusals = metrics.memory_refusals.with_label_values::<&str>(&[]);
        refusals.inc_by(state.table.refused_requests());
        metrics.ended_connections.reset();
        for kind in connections::ListenerKind::ALL {
            let counts = state.table.counts(kind);
            let open = metrics.connections.with_label_values(&[kind.as_str()]);
            open.set((counts.open + counts.closing) as i64);
            let ended = [
                ("refused", counts.refused),
                ("displaced", counts.closed_for_others),
                ("slow", counts.closed_as_slow),
            ];
            for (reason, count) in ended {
                let labels = [kind.as_str(), reason];
                let counter = metrics.ended_connections.with_label_values(&labels);
                counter.inc_by(count);
            }
        }
    }
}

enum AcceptResult {
    Served(ConnectionGuard),
    Refused,
    Deferred(Duration),
}

/// Totals that are logged when they have changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct TableTotals {
    counts: IndexMap<connections::ListenerKind, connections::ListenerCounts>,
    refused_requests: u64,
    held_bytes: u64,
}

impl TableTotals {
    fn of(table: &connections::ConnectionTable) -> Self {
        let kinds = connections::ListenerKind::ALL;
        Self {
            counts: kinds.map(|kind| (kind, table.counts(kind))).into(),
            refused_requests: table.refused_requests(),
            held_bytes: table.held_bytes(),
        }
    }

    /// Logs what was refused or closed since the last report, in one line for each limit.
    fn log_changes(&self, last: &Self) {
        for (kind, counts) in &self.counts {
            let last = last.counts.get(kind).copied().unwrap_or_default();
            let refused = counts.refused - last.refused;
            let displaced = counts.closed_for_others - last.closed_for_others;
            if refused + displaced > 0 {
                log::warn!(
                    "listener {kind} is at its limit with {} connections: {displaced} closed for \
                     others, {refused} refused",
                    counts.open
                );
            }
            let slow = counts.closed_as_slow - last.closed_as_slow;
            if slow > 0 {
                log::warn!("listener {kind}: {slow} connections closed whose clients do not read");
            }
        }
        let refused = self.refused_requests - last.refused_requests;
        if refused > 0 {
            log::warn!(
                "{refused} requests refused because {} bytes are held for clients",
                self.held_bytes
            );
        }
    }
}

/// A connection that a task serves. Removed from the registry on drop.
#[derive(Debug)]
pub struct ConnectionGuard(ClientConnection);

impl ConnectionGuard {
    /// Returns a handle to the connection.
    pub fn connection(&self) -> &ClientConnection {
        &self.0
    }

    /// Returns once the connection has to be closed.
    pub async fn closed(&self) {
        self.0.handle.closing.notified().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let registry = &self.0.registry;
        let mut state = registry.state();
        state.table.remove(self.0.id);
        state.handles.swap_remove(&self.0.id);
        drop(state);
        registry.ended.notify_waiters();
    }
}

/// A connection of a client. Clones stand for the same one.
#[derive(Debug, Clone)]
pub struct ClientConnection {
    id: connections::ConnectionId,
    handle: ConnectionHandle,
    registry: Arc<SharedRegistry>,
}

impl ClientConnection {
    /// Returns the count of the bytes that are written to the connection.
    pub fn written(&self) -> counted_stream::WrittenBytes {
        self.handle.written.clone()
    }

    /// Notes a request that is under way until the guard is dropped.
    pub fn begin_request(&self) -> OpenRequest {
        self.registry.state().table.begin_request(self.id);
        OpenRequest(self.clone())
    }

    /// Counts what a new request will hold. Returns `None` if the request has to be refused.
    pub fn admit(&self, bytes: u64) -> Option<HeldBytes> {
        let is_admitted = self.registry.state().table.admit(self.id, bytes);
        is_admitted.then(|| HeldBytes {
            connection: self.clone(),
            bytes,
        })
    }

    /// Counts what a request that was admitted holds in addition.
    pub fn hold(&self, bytes: u64) -> HeldBytes {
        self.registry.state().table.hold(self.id, bytes);
        let connection = self.clone();
        HeldBytes { connection, bytes }
    }

    /// Returns once no request has been under way for a time.
    pub async fn wait_until_idle(&self, time: Duration) {
        loop {
            let idle = {
                let state = self.registry.state();
                state.table.idle_time(self.id, self.registry.now())
            };
            let left = time.saturating_sub(idle.unwrap_or_default());
            if left.is_zero() {
                return;
            }
            time::sleep(left).await;
        }
    }
}

/// A request under way on a connection.
#[derive(Debug)]
pub struct OpenRequest(ClientConnection);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let registry = &self.0.registry;
        let now = registry.now();
        registry.state().table.end_request(self.0.id, now);
    }
}

/// Bytes that are held for a client until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    connection: ClientConnection,
    bytes: u64,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let table = &mut self.connection.registry.state().table;
        table.release(self.connection.id, self.bytes);
    }
}
