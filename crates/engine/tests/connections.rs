//! Which connections of clients are served, refused and closed, and what they may hold.

use std::time::Duration;

use hazeltiller_engine::{
    connections::{
        AcceptDecision, ConnectionId, ConnectionLimits, ConnectionTable, ListenerKind,
        memory::MemoryPolicy,
    },
    settings,
};
use hazeltiller_units::time;
use indexmap::IndexMap;
use proptest::prelude::*;

const DESCRIPTORS: u64 = 256;
const BUDGET_BYTES: u64 = 1_600_000;
/// A sixteenth of the budget.
const CONNECTION_BYTES: u64 = BUDGET_BYTES / 16;
/// Budget for connections that hold something.
const OPEN_BYTES: u64 = BUDGET_BYTES / 4 * 3;
const CALLERS: ListenerKind = ListenerKind::Callers;

fn tunables() -> settings::ConnectionTunables {
    settings::ConnectionTunables {
        held_bytes: BUDGET_BYTES,
        ..settings::ConnectionTunables::default()
    }
}

fn limits() -> ConnectionLimits {
    ConnectionLimits::new(&tunables(), DESCRIPTORS, CALLERS)
}

fn table() -> ConnectionTable {
    ConnectionTable::new(limits(), MemoryPolicy::new(&tunables()))
}

fn at(seconds: u64) -> time::MonotonicTime {
    time::MonotonicTime(seconds * 1_000_000)
}

/// Opens a connection that is expected to be served without closing another one.
fn open(table: &mut ConnectionTable, kind: ListenerKind, seconds: u64) -> ConnectionId {
    match table.accept(kind, at(seconds)) {
        AcceptDecision::Served(id, None) => id,
        decision => panic!("{decision:?}"),
    }
}

/// Opens as many connections of callers as the listener takes.
fn fill(table: &mut ConnectionTable) -> Vec<ConnectionId> {
    let limit = table.limits().of(CALLERS);
    (0..limit).map(|_| open(table, CALLERS, 0)).collect()
}

/// Hands bytes to a connection and reviews it every second, while its client takes some of them each
/// second. Returns the second in which it is closed.
fn closed_after(
    table: &mut ConnectionTable,
    id: ConnectionId,
    bytes_per_second: u64,
) -> Option<u64> {
    table.hand_over(id, BUDGET_BYTES);
    (1..=400).find(|second| {
        let written = |_| second * bytes_per_second;
        table.review(at(*second), written).contains(&id)
    })
}

#[test]
fn limits_derived() {
    let limits = ConnectionLimits::new(&tunables(), 4100, CALLERS);
    assert_eq!(limits.of(CALLERS), 1353);
    assert_eq!(limits.of(ListenerKind::Operators), 256);
    assert_eq!(limits.of(ListenerKind::Peers), 512);
    let sum: usize = ListenerKind::ALL.iter().map(|kind| limits.of(*kind)).sum();
    assert!(
        sum * 4 < 4100 * 3,
        "{sum} leave too few to targets and peers"
    );
}

#[test]
fn limits_disabled() {
    let tunables = settings::ConnectionTunables {
        main_percent: 0,
        held_bytes: 0,
        slow_rate: 0,
        ..tunables()
    };
    let limits = ConnectionLimits::new(&tunables, DESCRIPTORS, CALLERS);
    let mut table = ConnectionTable::new(limits, MemoryPolicy::new(&tunables));
    let ids: Vec<ConnectionId> = (0..1000).map(|_| open(&mut table, CALLERS, 0)).collect();
    assert!(table.admit(ids[0], BUDGET_BYTES));
    assert!(table.admit(ids[0], BUDGET_BYTES));
    assert_eq!(closed_after(&mut table, ids[0], 0), None);
}

#[test]
fn silent_displaced_first() {
    let mut table = table();
    let ids = fill(&mut table);
    for id in &ids[..ids.len() - 1] {
        table.begin_request(*id);
        table.end_request(*id, at(1));
    }
    let silent = ids[ids.len() - 1];
    let decision = table.accept(CALLERS, at(2));
    assert!(matches!(decision, AcceptDecision::Served(_, Some(closed)) if closed == silent));
}

#[test]
fn longest_idle_displaced() {
    let mut table = table();
    let ids = fill(&mut table);
    for (index, id) in ids.iter().enumerate() {
        table.begin_request(*id);
        table.end_request(*id, at(100 - index as u64));
    }
    let decision = table.accept(CALLERS, at(200));
    let longest = ids[ids.len() - 1];
    assert!(matches!(decision, AcceptDecision::Served(_, Some(closed)) if closed == longest));
}

#[test]
fn busy_connections_kept() {
    let mut table = table();
    for id in fill(&mut table) {
        table.begin_request(id);
    }
    assert_eq!(table.accept(CALLERS, at(1)), AcceptDecision::Refused);
    assert_eq!(table.counts(CALLERS).refused, 1);
}

#[test]
fn slow_reader_displaced() {
    let mut table = table();
    let ids = fill(&mut table);
    for id in &ids {
        table.begin_request(*id);
    }
    table.hand_over(ids[3], 10_000);
    for second in 1..=7 {
        assert!(table.review(at(second), |_| 0).is_empty());
    }
    let decision = table.accept(CALLERS, at(8));
    assert!(matches!(decision, AcceptDecision::Served(_, Some(closed)) if closed == ids[3]));
}

/// Connections that were told to close still have their descriptors.
#[test]
fn closing_connections_bounded() {
    let mut table = table();
    let limit = fill(&mut table).len();
    let served = (0..limit).filter(|_| table.accept(CALLERS, at(1)) != AcceptDecision::Refused);
    assert_eq!(served.count(), limit / 8);
    assert_eq!(table.counts(CALLERS).closing, limit / 8);
}

#[test]
fn listeners_separate() {
    let mut table = table();
    fill(&mut table);
    open(&mut table, ListenerKind::Operators, 1);
    open(&mut table, ListenerKind::Peers, 1);
}

/// A whole fleet that starts at once must not lose its handshakes to each other.
#[test]
fn handshakes_deferred() {
    let mut table = table();
    let kind = ListenerKind::Peers;
    let limit = table.limits().of(kind);
    let ids: Vec<ConnectionId> = (0..limit).map(|_| open(&mut table, kind, 5)).collect();
    let deferred = AcceptDecision::Deferred(Duration::from_secs(1));
    assert_eq!(table.accept(kind, at(5)), deferred);
    let decision = table.accept(kind, at(6));
    assert!(matches!(decision, AcceptDecision::Served(_, Some(closed)) if closed == ids[0]));
}

#[test]
fn lone_request_admitted() {
    let mut table = table();
    let id = open(&mut table, CALLERS, 0);
    assert!(table.admit(id, 2 * BUDGET_BYTES));
    assert!(!table.admit(id, 1));
}

#[test]
fn connection_share_kept() {
    let mut table = table();
    let id = open(&mut table, CALLERS, 0);
    assert!(table.admit(id, CONNECTION_BYTES));
    assert!(!table.admit(id, 1));
    let other = open(&mut table, CALLERS, 0);
    assert!(table.admit(other, 1));
}

/// A crowd took all that may be held, so that a caller with one request was refused.
#[test]
fn reserve_for_first_requests() {
    let mut table = table();
    let crowd: Vec<ConnectionId> = (0..40).map(|_| open(&mut table, CALLERS, 0)).collect();
    let request_bytes = CONNECTION_BYTES / 8;
    for _ in 0..8 {
        for id in &crowd {
            table.admit(*id, request_bytes);
        }
    }
    assert!(table.held_bytes() <= OPEN_BYTES);
    assert!(table.refused_requests() > 0);
    let caller = open(&mut table, CALLERS, 1);
    assert!(table.admit(caller, request_bytes));
}

#[test]
fn side_listener_share() {
    let mut table = table();
    let caller = open(&mut table, CALLERS, 0);
    assert!(table.admit(caller, 1));
    let operators = ListenerKind::Operators;
    let ids = [(); 2].map(|()| open(&mut table, operators, 0));
    assert!(table.admit(ids[0], BUDGET_BYTES / 2));
    assert!(!table.admit(ids[1], 1));
    assert!(table.admit(caller, 1));
}

#[test]
fn slow_reader_closed() {
    let mut table = table();
    let id = open(&mut table, CALLERS, 0);
    assert_eq!(closed_after(&mut table, id, 100), Some(301));
}

#[test]
fn steady_reader_kept() {
    let mut table = table();
    let id = open(&mut table, CALLERS, 0);
    table.hold(id, BUDGET_BYTES);
    assert_eq!(closed_after(&mut table, id, 1024), None);
}

/// A link that is cut for a few seconds does not make its callers slow readers.
#[test]
fn paused_reader_kept() {
    let mut table = table();
    let id = open(&mut table, CALLERS, 0);
    table.hold(id, BUDGET_BYTES);
    table.hand_over(id, BUDGET_BYTES);
    let written = |second: u64| {
        if second % 10 < 5 {
            100_000 * (second / 10 + 1)
        } else {
            0
        }
    };
    let mut total = 0;
    for second in 1..=60 {
        total = total.max(written(second));
        let total = total + 10_000 * second;
        assert!(table.review(at(second), |_| total).is_empty(), "{second}");
    }
}

#[test]
fn largest_closed_first() {
    let mut table = table();
    let ids = [1, 3, 2].map(|share| {
        let id = open(&mut table, CALLERS, 0);
        table.hold(id, share * BUDGET_BYTES / 6);
        table.hand_over(id, share * BUDGET_BYTES / 6);
        id
    });
    let waiting = open(&mut table, CALLERS, 0);
    table.hold(waiting, BUDGET_BYTES / 16);
    let closed = (1..=10).map(|second| table.review(at(second), |_| 0));
    let closed: Vec<ConnectionId> = closed.flatten().collect();
    assert_eq!(closed, [ids[1]]);
}

#[derive(Debug, Clone)]
enum TableStep {
    Open(usize),
    Admit(usize, u64),
    HandOver(usize, u64),
    Release(usize),
    Remove(usize),
    Review,
}

fn table_step() -> impl Strategy<Value = TableStep> {
    prop_oneof![
        (0..5_usize).prop_map(TableStep::Open),
        (0..99_usize, 1..CONNECTION_BYTES)
            .prop_map(|(index, bytes)| TableStep::Admit(index, bytes)),
        (0..99_usize, 1..9000_u64).prop_map(|(index, bytes)| TableStep::HandOver(index, bytes)),
        (0..99_usize).prop_map(TableStep::Release),
        (0..99_usize).prop_map(TableStep::Remove),
        Just(TableStep::Review),
    ]
}

/// What a test connection has admitted and handed over.
#[derive(Debug, Default)]
struct ModelConnection {
    admitted: Vec<u64>,
    handed: u64,
}

proptest! {
    /// The account is the sum of what was admitted, also of connections that have ended, and never
    /// passes the budget by more than the one request that is always served.
    #[test]
    fn account_balanced(steps in prop::collection::vec(table_step(), 1..300)) {
        let mut table = table();
        let mut model = IndexMap::<ConnectionId, ModelConnection>::new();
        let mut sum = 0;
        for (second, step) in steps.into_iter().enumerate() {
            let now = at(second as u64);
            let pick = |index: usize| (!model.is_empty()).then(|| index % model.len().max(1));
            match step {
                TableStep::Open(kind) => {
                    if let AcceptDecision::Served(id, _) = table.accept(ListenerKind::ALL[kind], now) {
                        model.insert(id, ModelConnection::default());
                    }
                }
                TableStep::Admit(index, bytes) => if let Some(index) = pick(index) {
                    let (id, connection) = model.get_index_mut(index).expect("an open one");
                    if table.admit(*id, bytes) {
                        connection.admitted.push(bytes);
                        sum += bytes;
                    }
                },
                TableStep::HandOver(index, bytes) => if let Some(index) = pick(index) {
                    let (id, connection) = model.get_index_mut(index).expect("an open one");
                    table.hand_over(*id, bytes);
                    connection.handed += bytes;
                },
                TableStep::Release(index) => if let Some(index) = pick(index) {
                    let (id, connection) = model.get_index_mut(index).expect("an open one");
                    if let Some(bytes) = connection.admitted.pop() {
                        table.release(*id, bytes);
                        sum -= bytes;
                    }
                    table.written(*id, connection.handed);
                    connection.handed = 0;
                },
                TableStep::Remove(index) => if let Some(index) = pick(index) {
                    let (id, connection) = model.swap_remove_index(index).expect("an open one");
                    table.remove(id);
                    for bytes in connection.admitted {
                        table.release(id, bytes);
                        sum -= bytes;
                    }
                },
                TableStep::Review => {
                    for id in table.review(now, |_| 0) {
                        prop_assert!(model[&id].handed > 0, "a client that reads was closed");
                    }
                }
            }
            prop_assert_eq!(table.held_bytes(), sum);
            prop_assert!(sum <= BUDGET_BYTES);
        }
    }
}
