//! Rollout orders and phase transitions in the replicated log.

use hazeltiller_catalogue::{change, rollout};
use hazeltiller_engine::replication;
use hazeltiller_units::{code, ids};
use serde_json::{Value, json};

use crate::{network::FakeNetwork, refusal};

/// Rounds of `settle` that suffice to elect a new leader.
const ELECTION_ROUNDS: usize = 150;
/// Rounds of `settle` that exceed the time limit of the rollouts below.
const ROLLOUT_ROUNDS: usize = 700;
const ROLLOUT_TIME_LIMIT_MS: u32 = 12_000;

fn service() -> ids::EntryName {
    "registru".parse().expect("the name is valid")
}

fn entries() -> Value {
    json!([
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
    ])
}

/// Returns a group whose catalogue has one service, and its leader.
fn group() -> (FakeNetwork, usize) {
    let mut network = FakeNetwork::new(3);
    network.settle(40);
    let leader = network.leader().expect("the group has a leader");
    let request = json!({"change_id": "first", "expects": 0, "put": entries()});
    let request = serde_json::from_value(request).expect("the request is valid");
    network.submit(leader, request);
    network.settle(10);
    (network, leader)
}

fn order(to: &str, within_ms: u32) -> change::ChangeRequest {
    change::ChangeRequest::rollout_order(rollout::RolloutOrder {
        service: service(),
        to: to.parse().expect("the version is valid"),
        within_ms,
    })
}

fn submit(network: &mut FakeNetwork, at: usize, request: change::ChangeRequest) -> u64 {
    let number = network.submit(at, request);
    network.settle(10);
    number
}

fn receipt(network: &FakeNetwork, number: u64) -> change::ChangeReceipt {
    match network.answers.get(&number) {
        Some(replication::ProposalAnswer::Accepted(receipt)) => receipt.clone(),
        other => panic!("not accepted: {other:?}"),
    }
}

fn latest(network: &FakeNetwork, at: usize) -> Option<rollout::RolloutEntry> {
    network.committed(at).rollout(&service()).cloned()
}

fn phase(network: &FakeNetwork, at: usize) -> Option<rollout::RolloutPhase> {
    latest(network, at).map(|entry| entry.phase)
}

#[test]
fn order_survives_leader() {
    let (mut network, leader) = group();
    let number = submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    let ordered = receipt(&network, number).version;
    network.crash(leader, 0);
    network.settle(ELECTION_ROUNDS);
    let next = network.leader().expect("two of three replicas are running");
    let entry = latest(&network, next).expect("the rollout entry exists");
    assert_eq!(
        (entry.order, entry.phase),
        (ordered, rollout::RolloutPhase::Trial)
    );
    network.settle(ROLLOUT_ROUNDS);
    let entry = latest(&network, next).expect("the rollout entry exists");
    assert_eq!(entry.order, ordered);
    assert_eq!(
        entry.phase,
        rollout::RolloutPhase::RolledBack,
        "no target runs the new version"
    );
    assert_eq!(
        entry.reason,
        "its targets have 0 slots ready, the old ones 0"
    );
}

#[test]
fn resent_order_acknowledged() {
    let (mut network, leader) = group();
    let first = submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    let again = submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    assert_eq!(receipt(&network, first), receipt(&network, again));
    network.settle(ROLLOUT_ROUNDS);
    let late = submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    assert_eq!(receipt(&network, first), receipt(&network, late));
    assert_eq!(
        phase(&network, leader),
        Some(rollout::RolloutPhase::RolledBack)
    );
}

#[test]
fn repeated_order_restarts() {
    let (mut network, leader) = group();
    let first = submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    network.settle(ROLLOUT_ROUNDS);
    submit(&mut network, leader, order("v3", ROLLOUT_TIME_LIMIT_MS));
    network.settle(ROLLOUT_ROUNDS);
    let again = submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    assert!(receipt(&network, first).version < receipt(&network, again).version);
    assert_eq!(phase(&network, leader), Some(rollout::RolloutPhase::Trial));
}

#[test]
fn restart_rolls_back() {
    let (mut network, leader) = group();
    submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    for control in 0..3 {
        network.crash(control, 0);
    }
    for control in 0..3 {
        network.restart(control);
    }
    network.settle(ELECTION_ROUNDS);
    let entry = latest(&network, leader).expect("the rollout entry exists");
    assert_eq!(entry.phase, rollout::RolloutPhase::RolledBack);
    let reason = "the controls were restarted and do not know how long it has gone on";
    assert_eq!(entry.reason, reason);
}

#[test]
fn bad_orders_refused() {
    let (mut network, leader) = group();
    let unknown = rollout::RolloutOrder {
        service: "arhiva".parse().expect("the name is valid"),
        to: "v2".parse().expect("the version is valid"),
        within_ms: ROLLOUT_TIME_LIMIT_MS,
    };
    let unknown = change::ChangeRequest::rollout_order(unknown);
    let abort = rollout::RolloutRequest::Abort(service());
    let id = "abort-1".parse().expect("the id is valid");
    let abort = change::ChangeRequest::rollout(id, abort);
    for (request, expected) in [
        (unknown, code::ResultCode::EntryNotFound),
        (order("v2", 10), code::ResultCode::EntryInvalid),
        (order("v2", u32::MAX), code::ResultCode::EntryInvalid),
        (abort, code::ResultCode::RolloutNotFound),
    ] {
        let number = submit(&mut network, leader, request);
        assert_eq!(refusal(&network, number), Some(expected));
    }
    assert_eq!(latest(&network, leader), None, "no rollout was started");
    submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    let number = submit(&mut network, leader, order("v3", ROLLOUT_TIME_LIMIT_MS));
    let expected = Some(code::ResultCode::RolloutInProgress);
    assert_eq!(refusal(&network, number), expected);
}

#[test]
fn rollout_entry_protected() {
    let (mut network, leader) = group();
    submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    let version = network.version(leader).0;
    let mut forged = serde_json::to_value(latest(&network, leader)).expect("the entry serializes");
    forged["kind"] = json!("rollout");
    forged["phase"] = json!("succeeded");
    let key = json!({"kind": "rollout", "name": "registru"});
    for change in [json!({"put": [forged]}), json!({"remove": [key]})] {
        let mut request = json!({"change_id": "forged", "expects": version});
        let fields = request.as_object_mut().expect("the value is an object");
        fields.extend(change.as_object().expect("the value is an object").clone());
        let request = serde_json::from_value(request).expect("the request is valid");
        let number = submit(&mut network, leader, request);
        let expected = Some(code::ResultCode::RolloutEntryReserved);
        assert_eq!(refusal(&network, number), expected);
    }
}

#[test]
fn replacement_keeps_rollout() {
    let (mut network, leader) = group();
    submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    let mark = change::CatalogueReplacement {
        label: ids::RevisionLabel(2),
        base: ids::RevisionLabel(0),
        document: "a document".into(),
    };
    let put = serde_json::from_value(entries()).expect("the entries are valid");
    let number = submit(
        &mut network,
        leader,
        change::ChangeRequest::replacement(mark, put),
    );
    receipt(&network, number);
    assert_eq!(phase(&network, leader), Some(rollout::RolloutPhase::Trial));
}

#[test]
fn abort_rolls_back() {
    let (mut network, leader) = group();
    submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    let id = "abort-1".parse().expect("the id is valid");
    let abort = rollout::RolloutRequest::Abort(service());
    let number = submit(
        &mut network,
        leader,
        change::ChangeRequest::rollout(id, abort),
    );
    receipt(&network, number);
    let entry = latest(&network, leader).expect("the rollout entry exists");
    assert_eq!(entry.phase, rollout::RolloutPhase::RolledBack);
    assert_eq!(entry.reason, "aborted by an operator");
}

#[test]
fn unknown_token_refused() {
    let (mut network, leader) = group();
    submit(&mut network, leader, order("v2", ROLLOUT_TIME_LIMIT_MS));
    let unknown_holder = replication::ChangeAuthor::Holder(ids::StateDigest([7; 32]));
    let number = network.submit_as(leader, order("v2", ROLLOUT_TIME_LIMIT_MS), unknown_holder);
    network.settle(10);
    let expected = Some(code::ResultCode::OperatorUnknown);
    assert_eq!(refusal(&network, number), expected);
}
