//! Tests announcements that are delayed, reordered or from another incarnation, and their effect on
//! queued calls.

use std::time::Duration;

use hazeltiller_engine::{calls, event, membership};
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire, membership as wire_membership};
use serde_json::json;

const LEASE: Duration = Duration::from_secs(8);

fn new_node() -> node::NodeReducer {
    let entries = json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/"}},
    ]);
    node::NodeReducer::new("node-1", "brasov-a", &entries)
}

fn announce(
    node: &mut node::NodeReducer,
    name: &str,
    sequence: u64,
    state: wire_membership::TargetState,
) -> Vec<calls::CallEffect> {
    announce_incarnation(node, name, (0, sequence), state)
}

fn announce_incarnation(
    node: &mut node::NodeReducer,
    name: &str,
    (incarnation, sequence): (u64, u64),
    state: wire_membership::TargetState,
) -> Vec<calls::CallEffect> {
    let record = wire_membership::TargetRecord {
        state,
        incarnation: ids::IncarnationNumber(incarnation),
        ..node::target(name, "registru", 1)
    };
    let announcement = membership::TargetAnnouncement {
        record,
        lease: LEASE,
        sequence: Some(sequence),
        warm_up_left: Duration::ZERO,
    };
    let event = membership::MembershipEvent::Announced(announcement);
    node::call_effects(node.reduce(event::Event::Membership(event)))
}

fn withdraw(node: &mut node::NodeReducer, name: &str) {
    let name = name.parse().expect("valid name");
    let event = membership::MembershipEvent::Withdrawn(name);
    node.reduce(event::Event::Membership(event));
}

fn state_of(node: &node::NodeReducer, name: &str) -> Option<wire_membership::TargetState> {
    let name: ids::TargetName = name.parse().expect("valid name");
    let target = node.state.membership.targets.get(&name)?;
    Some(target.record.state)
}

const READY: wire_membership::TargetState = wire_membership::TargetState::Ready;
const DRAINING: wire_membership::TargetState = wire_membership::TargetState::Draining;

#[test]
fn delayed_ignored() {
    let mut node = new_node();
    announce(&mut node, "one", 4, READY);
    announce(&mut node, "one", 6, DRAINING);
    announce(&mut node, "one", 5, READY);
    assert_eq!(state_of(&node, "one"), Some(DRAINING));
    withdraw(&mut node, "one");
    announce(&mut node, "one", 7, READY);
    assert_eq!(state_of(&node, "one"), None, "the target deregistered");
}

#[test]
fn lease_not_renewed() {
    let mut node = new_node();
    announce(&mut node, "one", 4, READY);
    node.advance(LEASE / 2);
    announce(&mut node, "one", 3, READY);
    node.advance(LEASE / 2);
    assert_eq!(state_of(&node, "one"), None, "the lease has expired");
}

#[test]
fn address_taken_over() {
    let mut node = new_node();
    announce(&mut node, "old", 9, READY);
    announce(&mut node, "new", 1, READY);
    assert_eq!(state_of(&node, "old"), None);
    assert_eq!(state_of(&node, "new"), Some(READY));
    // These were delayed since before the new target started.
    announce(&mut node, "old", 10, READY);
    announce(&mut node, "older", 30, READY);
    assert_eq!(state_of(&node, "old"), None);
    assert_eq!(state_of(&node, "older"), None);
    assert_eq!(state_of(&node, "new"), Some(READY));
}

fn offer(node: &mut node::NodeReducer, call: u64) -> Vec<calls::CallEffect> {
    let offer = node::offer("one", "registru", "counter");
    let call = ids::CallId(call);
    node.call(calls::CallEvent::Offered { call, offer })
}

fn refused(effects: &[calls::CallEffect], call: u64) -> Option<&wire::CallRefusal> {
    effects.iter().find_map(|effect| match effect {
        calls::CallEffect::Refuse(refused, refusal) if refused.0 == call => Some(refusal),
        _ => None,
    })
}

#[test]
fn draining_rejects_queued() {
    let mut node = new_node();
    announce(&mut node, "one", 1, READY);
    offer(&mut node, 1);
    assert!(
        offer(&mut node, 2).is_empty(),
        "the call waits for the only slot"
    );
    let effects = announce(&mut node, "one", 2, DRAINING);
    let refusal = refused(&effects, 2).expect("the queued call is rejected");
    assert_eq!(refusal.code, code::ResultCode::TargetMissing);
    assert!(refusal.elsewhere && refusal.outcome == wire::CallOutcome::NotRun);
    assert_eq!(refused(&effects, 1), None, "the running call continues");
}

#[test]
fn wrong_target_withdrawn() {
    let mut node = new_node();
    announce(&mut node, "one", 5, READY);
    offer(&mut node, 1);
    let result = calls::RunResult::WrongTarget;
    let call = ids::CallId(1);
    node.call(calls::CallEvent::RunEnded { call, result });
    assert_eq!(state_of(&node, "one"), None);
    announce(&mut node, "one", 5, READY);
    assert_eq!(
        state_of(&node, "one"),
        None,
        "the announcement predates the withdrawal"
    );
    announce(&mut node, "one", 6, READY);
    assert_eq!(
        state_of(&node, "one"),
        Some(READY),
        "a later announcement registers the target"
    );
}

/// A target that restarts under its name keeps nothing of its earlier incarnation: no running or
/// queued calls and no draining state. Delayed announcements of the earlier incarnation have no
/// effect.
#[test]
fn same_name_restarts() {
    let mut node = new_node();
    announce_incarnation(&mut node, "one", (100, 7), READY);
    offer(&mut node, 1);
    assert!(
        offer(&mut node, 2).is_empty(),
        "the call waits for the only slot"
    );
    let effects = announce_incarnation(&mut node, "one", (200, 1), READY);
    let refusal = refused(&effects, 2).expect("the queued call is rejected");
    assert!(refusal.elsewhere && refusal.outcome == wire::CallOutcome::NotRun);
    let is_run = |effects: &[calls::CallEffect]| matches!(effects, [calls::CallEffect::Run(..)]);
    assert!(
        is_run(&offer(&mut node, 3)),
        "the slot of the new incarnation is free"
    );
    // The end of a run of the earlier incarnation does not free a slot of the new one.
    let result = calls::RunResult::Crashed;
    let call = ids::CallId(1);
    node.call(calls::CallEvent::RunEnded { call, result });
    assert!(offer(&mut node, 4).is_empty(), "the slot is taken");
    announce_incarnation(&mut node, "one", (100, 8), DRAINING);
    assert_eq!(state_of(&node, "one"), Some(READY));
    announce_incarnation(&mut node, "one", (200, 2), DRAINING);
    assert_eq!(state_of(&node, "one"), Some(DRAINING));
    announce_incarnation(&mut node, "one", (300, 1), READY);
    assert_eq!(state_of(&node, "one"), Some(READY));
}

#[test]
fn restart_after_withdrawal() {
    let mut node = new_node();
    announce_incarnation(&mut node, "one", (100, 7), READY);
    withdraw(&mut node, "one");
    announce_incarnation(&mut node, "one", (100, 8), READY);
    assert_eq!(
        state_of(&node, "one"),
        None,
        "the announcement predates the withdrawal"
    );
    announce_incarnation(&mut node, "one", (200, 1), READY);
    assert_eq!(state_of(&node, "one"), Some(READY));
}

/// Of two targets at one address the one that started later keeps it, regardless of sequence
/// numbers.
#[test]
fn later_incarnation_wins() {
    let mut node = new_node();
    announce_incarnation(&mut node, "old", (100, 9), READY);
    announce_incarnation(&mut node, "new", (200, 5), READY);
    assert_eq!(state_of(&node, "old"), None);
    announce_incarnation(&mut node, "older", (90, 1), READY);
    assert_eq!(state_of(&node, "older"), None);
    assert_eq!(state_of(&node, "new"), Some(READY));
}

/// A clock that was set back between two starts locks a target out for its lease only.
#[test]
fn clock_stepped_back() {
    let mut node = new_node();
    announce_incarnation(&mut node, "one", (500, 7), READY);
    node.advance(LEASE / 2);
    announce_incarnation(&mut node, "one", (300, 1), READY);
    node.advance(LEASE / 2);
    assert_eq!(state_of(&node, "one"), None);
    announce_incarnation(&mut node, "one", (300, 2), READY);
    assert_eq!(state_of(&node, "one"), Some(READY));
}

/// An announcement for a service that is not in the catalogue displaces no target.
#[test]
fn foreign_ignored() {
    let mut node = new_node();
    announce(&mut node, "one", 1, READY);
    for name in ["one", "foreign"] {
        let record = node::target(name, "unknown", 1);
        let announcement = membership::TargetAnnouncement {
            record,
            lease: LEASE,
            sequence: Some(2),
            warm_up_left: Duration::ZERO,
        };
        let event = membership::MembershipEvent::Announced(announcement);
        node.reduce(event::Event::Membership(event));
        assert_eq!(state_of(&node, "one"), Some(READY));
        assert!(matches!(
            offer(&mut node, 1)[..],
            [calls::CallEffect::Run(..)]
        ));
        let (call, result) = (ids::CallId(1), calls::RunResult::Done { status: 200 });
        node.call(calls::CallEvent::RunEnded { call, result });
    }
    assert_eq!(state_of(&node, "foreign"), None);
}

#[test]
fn warm_time_kept() {
    let mut node = new_node();
    let warm_at = |node: &node::NodeReducer| {
        let name: ids::TargetName = "one".parse().expect("valid name");
        node.state.membership.targets[&name].warm_at
    };
    announce_incarnation(&mut node, "one", (1, 1), READY);
    let first = warm_at(&node);
    node.now = node.now + Duration::from_secs(1);
    announce_incarnation(&mut node, "one", (1, 2), READY);
    assert_eq!(
        warm_at(&node),
        first,
        "an announcement does not postpone the end of the warm-up"
    );
    announce_incarnation(&mut node, "one", (2, 1), READY);
    assert_eq!(
        warm_at(&node),
        node.now,
        "a new incarnation starts its own warm-up"
    );
}
