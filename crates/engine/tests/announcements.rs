//! Announcements that are late, crossed or of another life, and what becomes of waiting calls.

use std::time::Duration;

use hazeltiller_engine::{calls, event, membership};
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire, membership as wire_membership};
use serde_json::json;

const LEASE: Duration = Duration::from_secs(8);

fn started() -> node::NodeReducer {
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
    announce_life(node, name, (0, sequence), state)
}

fn announce_life(
    node: &mut node::NodeReducer,
    name: &str,
    (life, sequence): (u64, u64),
    state: wire_membership::TargetState,
) -> Vec<calls::CallEffect> {
    let record = wire_membership::TargetRecord {
        state,
        incarnation: ids::IncarnationNumber(life),
        ..node::target(name, "registru", 1)
    };
    let announcement = membership::TargetAnnouncement {
        record,
        lease: LEASE,
        sequence: Some(sequence),
        warm_in: Duration::ZERO,
    };
    let event = membership::MembershipEvent::Announced(announcement);
    node::of_calls(node.reduce(event::Event::Membership(event)))
}

fn withdraw(node: &mut node::NodeReducer, name: &str) {
    let name = name.parse().expect("it is a name");
    let event = membership::MembershipEvent::Withdrawn(name);
    node.reduce(event::Event::Membership(event));
}

fn state_of(node: &node::NodeReducer, name: &str) -> Option<wire_membership::TargetState> {
    let name: ids::TargetName = name.parse().expect("it is a name");
    let target = node.state.membership.targets.get(&name)?;
    Some(target.record.state)
}

const READY: wire_membership::TargetState = wire_membership::TargetState::Ready;
const DRAINING: wire_membership::TargetState = wire_membership::TargetState::Draining;

#[test]
fn late_ignored() {
    let mut node = started();
    announce(&mut node, "one", 4, READY);
    announce(&mut node, "one", 6, DRAINING);
    announce(&mut node, "one", 5, READY);
    assert_eq!(state_of(&node, "one"), Some(DRAINING));
    withdraw(&mut node, "one");
    announce(&mut node, "one", 7, READY);
    assert_eq!(state_of(&node, "one"), None, "it has left for good");
}

#[test]
fn late_renews_nothing() {
    let mut node = started();
    announce(&mut node, "one", 4, READY);
    node.pass(LEASE / 2);
    announce(&mut node, "one", 3, READY);
    node.pass(LEASE / 2);
    assert_eq!(state_of(&node, "one"), None, "its lease has lapsed");
}

#[test]
fn address_taken_over() {
    let mut node = started();
    announce(&mut node, "old", 9, READY);
    announce(&mut node, "new", 1, READY);
    assert_eq!(state_of(&node, "old"), None);
    assert_eq!(state_of(&node, "new"), Some(READY));
    // It was held up on the way since before the other one started.
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
fn draining_gives_back() {
    let mut node = started();
    announce(&mut node, "one", 1, READY);
    offer(&mut node, 1);
    assert!(offer(&mut node, 2).is_empty(), "it waits for the one slot");
    let effects = announce(&mut node, "one", 2, DRAINING);
    let refusal = refused(&effects, 2).expect("what waits goes elsewhere");
    assert_eq!(refusal.code, code::ResultCode::TargetMissing);
    assert!(refusal.elsewhere && refusal.outcome == wire::CallOutcome::NotRun);
    assert_eq!(refused(&effects, 1), None, "what runs goes on");
}

#[test]
fn misplaced_left() {
    let mut node = started();
    announce(&mut node, "one", 5, READY);
    offer(&mut node, 1);
    let result = calls::RunResult::WrongTarget;
    let call = ids::CallId(1);
    node.call(calls::CallEvent::RunEnded { call, result });
    assert_eq!(state_of(&node, "one"), None);
    announce(&mut node, "one", 5, READY);
    assert_eq!(state_of(&node, "one"), None, "said before it was gone");
    announce(&mut node, "one", 6, READY);
    assert_eq!(state_of(&node, "one"), Some(READY), "it is there again");
}

/// A target that starts again under its name holds nothing of before: not what runs or waits, not that it
/// was draining; what is late of its earlier life changes nothing.
#[test]
fn same_name_restarts() {
    let mut node = started();
    announce_life(&mut node, "one", (100, 7), READY);
    offer(&mut node, 1);
    assert!(offer(&mut node, 2).is_empty(), "it waits for the one slot");
    let effects = announce_life(&mut node, "one", (200, 1), READY);
    let refusal = refused(&effects, 2).expect("what waits goes elsewhere");
    assert!(refusal.elsewhere && refusal.outcome == wire::CallOutcome::NotRun);
    let runs = |effects: &[calls::CallEffect]| matches!(effects, [calls::CallEffect::Run(..)]);
    assert!(runs(&offer(&mut node, 3)), "the new life's slot is free");
    // The run that the old life took along frees no slot of the new one.
    let result = calls::RunResult::Crashed;
    let call = ids::CallId(1);
    node.call(calls::CallEvent::RunEnded { call, result });
    assert!(offer(&mut node, 4).is_empty(), "the slot is taken");
    announce_life(&mut node, "one", (100, 8), DRAINING);
    assert_eq!(state_of(&node, "one"), Some(READY));
    announce_life(&mut node, "one", (200, 2), DRAINING);
    assert_eq!(state_of(&node, "one"), Some(DRAINING));
    announce_life(&mut node, "one", (300, 1), READY);
    assert_eq!(state_of(&node, "one"), Some(READY));
}

#[test]
fn gone_and_back() {
    let mut node = started();
    announce_life(&mut node, "one", (100, 7), READY);
    withdraw(&mut node, "one");
    announce_life(&mut node, "one", (100, 8), READY);
    assert_eq!(
        state_of(&node, "one"),
        None,
        "it was on its way when it left"
    );
    announce_life(&mut node, "one", (200, 1), READY);
    assert_eq!(state_of(&node, "one"), Some(READY));
}

/// Of two at one address the one that started later has it, whatever the numbers of their announcements.
#[test]
fn later_life_has_address() {
    let mut node = started();
    announce_life(&mut node, "old", (100, 9), READY);
    announce_life(&mut node, "new", (200, 5), READY);
    assert_eq!(state_of(&node, "old"), None);
    announce_life(&mut node, "older", (90, 1), READY);
    assert_eq!(state_of(&node, "older"), None);
    assert_eq!(state_of(&node, "new"), Some(READY));
}

/// A clock that stepped back between two starts keeps a target out for its lease only.
#[test]
fn clock_stepped_back() {
    let mut node = started();
    announce_life(&mut node, "one", (500, 7), READY);
    node.pass(LEASE / 2);
    announce_life(&mut node, "one", (300, 1), READY);
    node.pass(LEASE / 2);
    assert_eq!(state_of(&node, "one"), None);
    announce_life(&mut node, "one", (300, 2), READY);
    assert_eq!(state_of(&node, "one"), Some(READY));
}

/// An announcement of another writer, for a service that nobody has named, displaces nobody.
#[test]
fn foreign_displaces_nobody() {
    let mut node = started();
    announce(&mut node, "one", 1, READY);
    for name in ["one", "stranger"] {
        let record = node::target(name, "unknown", 1);
        let announcement = membership::TargetAnnouncement {
            record,
            lease: LEASE,
            sequence: Some(2),
            warm_in: Duration::ZERO,
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
    assert_eq!(state_of(&node, "stranger"), None);
}

#[test]
fn warm_time_kept() {
    let mut node = started();
    let warm_at = |node: &node::NodeReducer| {
        let name: ids::TargetName = "one".parse().expect("it is a name");
        node.state.membership.targets[&name].warm_at
    };
    announce_life(&mut node, "one", (1, 1), READY);
    let first = warm_at(&node);
    node.now = node.now + Duration::from_secs(1);
    announce_life(&mut node, "one", (1, 2), READY);
    assert_eq!(
        warm_at(&node),
        first,
        "a run across an announcement began warm"
    );
    announce_life(&mut node, "one", (2, 1), READY);
    assert_eq!(warm_at(&node), node.now, "a new life starts cold");
}
