//! Claims under lost, reordered and duplicated messages and crashes of controls and nodes.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_engine::{calls, event, ledger, reducer};
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{calls as wire, ledger as wire_ledger, membership, message};
use indexmap::IndexMap;
use proptest::prelude::*;
use serde_json::{Value, json};

const NODES: [&str; 3] = ["node-a", "node-b", "node-c"];

/// A process of the group.
struct FakeProcess {
    identity: membership::PeerIdentity,
    state: reducer::EngineState,
    /// Records that are synced to disk.
    disk: Vec<wire_ledger::ClaimRecord>,
    /// Batches that are not synced yet.
    pending: Vec<ledger::ClaimBatch>,
    /// Whether writes fail at present.
    is_failing: bool,
    /// Set from a failed write until the next full rewrite.
    has_failed: bool,
    /// Calls that were sent to a target and have not ended.
    running: Vec<ids::CallId>,
}

struct FakeGroup {
    now: time::MonotonicTime,
    processes: Vec<FakeProcess>,
    control_count: usize,
    messages: Vec<(usize, SocketAddr, message::PeerMessage)>,
    last_call: u64,
    /// Whether the request was sent to a target without a later proof that it did not run.
    may_have_run: bool,
    answers: usize,
    runs: usize,
}

fn entries() -> Value {
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "issue", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/certificates"}, "idempotent": false},
    ])
}

impl FakeProcess {
    fn start(name: &str, incarnation: u64, control: &[SocketAddr]) -> Self {
        let mut reducer = node::NodeReducer::new(name, "brasov-a", &entries());
        reducer.announce(node::target(&format!("{name}-target"), "registru", 10));
        let mut state = reducer.state;
        state.settings.control = control.to_vec();
        state.settings.identity.incarnation = ids::IncarnationNumber(incarnation);
        Self {
            identity: state.settings.identity.clone(),
            state,
            disk: Vec::new(),
            pending: Vec::new(),
            is_failing: false,
            has_failed: false,
            running: Vec::new(),
        }
    }

    fn recover(&mut self) {
        let mut stored = IndexMap::new();
        for record in &self.disk {
            match *record {
                wire_ledger::ClaimRecord::Kept(request, claim) => {
                    let is_done = false;
                    stored.insert(request, wire_ledger::StoredClaim { claim, is_done });
                }
                wire_ledger::ClaimRecord::Released(request, claim) => {
                    stored.retain(|of, kept| *of != request || kept.claim != claim);
                }
                wire_ledger::ClaimRecord::Done(request, claim) => {
                    let kept: Option<&mut wire_ledger::StoredClaim> = stored.get_mut(&request);
                    if let Some(kept) = kept.filter(|kept| kept.claim == claim) {
                        kept.is_done = true;
                    }
                }
                wire_ledger::ClaimRecord::Standing(_) => {}
            }
        }
        let whole = wire_ledger::ClaimsCompleteness::Whole;
        let acceptor = ledger::acceptor::AcceptorState::recover(stored, whole);
        self.state.ledger.acceptor = Some(acceptor);
    }
}

impl FakeGroup {
    fn new(control_count: usize) -> Self {
        let names: Vec<String> = (0..control_count)
            .map(|index| format!("control-{index}"))
            .collect();
        let control: Vec<SocketAddr> = names
            .iter()
            .map(|name| node::identity(name, "brasov-a", "ro-centru").address)
            .collect();
        let all = names.iter().map(String::as_str).chain(NODES);
        let mut processes: Vec<FakeProcess> = all
            .map(|name| FakeProcess::start(name, 1, &control))
            .collect();
        for process in &mut processes[..control_count] {
            process.recover();
        }
        Self {
            now: time::MonotonicTime(1),
            processes,
            control_count,
            messages: Vec::new(),
            last_call: 0,
            may_have_run: false,
            answers: 0,
            runs: 0,
        }
    }

    fn reduce(&mut self, index: usize, event: event::Event) {
        let now = self.now;
        let effects = reducer::reduce(&mut self.processes[index].state, now, event);
        for effect in effects {
            self.apply_effect(index, effect);
        }
    }

    fn apply_effect(&mut self, index: usize, effect: event::Effect) {
        match effect {
            event::Effect::Send { to, message } => {
                if let message::PeerMessage::Ledger(_) = message {
                    self.messages.push((index, to, message));
                }
            }
            event::Effect::Ledger(ledger::LedgerEffect::Persist(batch)) => {
                self.processes[index].pending.push(batch);
            }
            event::Effect::Calls(calls::CallEffect::Attempt(call, _)) => {
                assert!(!self.may_have_run, "the request may run a second time");
                self.may_have_run = true;
                self.runs += 1;
                self.processes[index].running.push(call);
            }
            event::Effect::Calls(calls::CallEffect::Refuse(call, refusal)) => {
                if refusal.outcome == wire::CallOutcome::NotRun {
                    assert!(!self.may_have_run, "refused as not run: {refusal:?}");
                }
                if refusal.outcome == wire::CallOutcome::Ran {
                    assert!(self.answers > 0, "reported as run before any answer");
                }
                self.finish(index, call);
            }
            event::Effect::Calls(calls::CallEffect::Replay(call, answer)) => {
                assert!(
                    self.answers > 0,
                    "replayed an answer that never came: {answer:?}"
                );
                self.finish(index, call);
            }
            _ => {}
        }
    }

    fn finish(&mut self, index: usize, call: ids::CallId) {
        let finished = calls::CallEvent::Finished(call);
        self.reduce(index, event::Event::Calls(finished));
    }

    fn send_request(&mut self, index: usize) {
        self.last_call += 1;
        let mut arrival = node::arrival(self.last_call, "/certificates/7");
        arrival.method = "POST".into();
        arrival.key = Some("key".into());
        arrival.fingerprint = Some(wire_ledger::RequestDigest([7; 16]));
        self.reduce(
            index,
            event::Event::Calls(calls::CallEvent::Arrived(arrival)),
        );
    }

    /// Ends the latest run of a node: `end` 0 stands for an answer, 1 for a refusal that proves
    /// that the request did not run, 2 for a failure with unknown outcome, and 3 for a call whose
    /// task ends without a result.
    fn end_run(&mut self, index: usize, end: u8) {
        let Some(call) = self.processes[index].running.pop() else {
            return;
        };
        if end == 0 {
            self.answers += 1;
            let answer = wire_ledger::StoredAnswer {
                status: 200,
                headers: Vec::new(),
                body: Vec::new(),
            };
            let answer = Some(answer);
            let answered = ledger::LedgerEvent::Answered { call, answer };
            self.reduce(index, event::Event::Ledger(answered));
            return self.finish(index, call);
        }
        if end == 3 {
            // The call's task ends without an answer or a refusal.
            return self.finish(index, call);
        }
        let refusal = if end == 1 {
            self.may_have_run = false;
            wire::CallRefusal::not_run(code::ResultCode::CapacityExceeded)
        } else {
            wire::CallRefusal::unknown(code::ResultCode::TargetFailed)
        };
        let result = calls::AttemptResult::Refused(refusal);
        let load = None;
        let ended = calls::CallEvent::AttemptEnded {
            call,
            result,
            report: calls::AttemptReport {
                load,
                ..calls::AttemptReport::default()
            },
        };
        self.reduce(index, event::Event::Calls(ended));
    }

    fn deliver(&mut self, position: usize, is_duplicate: bool) {
        if self.messages.is_empty() {
            return;
        }
        let position = position % self.messages.len();
        let (from, to, message) = if is_duplicate {
            self.messages[position].clone()
        } else {
            self.messages.remove(position)
        };
        let from = self.processes[from].identity.clone();
        let index = self
            .processes
            .iter()
            .position(|process| process.identity.address == to);
        if let Some(index) = index {
            self.reduce(index, event::Event::Received { from, message });
        }
    }

    fn sync(&mut self, index: usize) {
        for batch in std::mem::take(&mut self.processes[index].pending) {
            let process = &mut self.processes[index];
            if process.has_failed && !batch.is_full_rewrite {
                continue;
            }
            process.has_failed = process.is_failing;
            if process.is_failing {
                self.reduce(
                    index,
                    event::Event::Ledger(ledger::LedgerEvent::StoreFailed),
                );
                continue;
            }
            if batch.is_full_rewrite {
                process.disk.clear();
            }
            process.disk.extend(batch.records);
            let event = ledger::LedgerEvent::Persisted { batch: batch.batch };
            self.reduce(index, event::Event::Ledger(event));
        }
    }

    fn crash(&mut self, index: usize) {
        let old = &mut self.processes[index];
        let next = old.identity.incarnation.0 + 1;
        let name = old.identity.instance.clone();
        let control = old.state.settings.control.clone();
        let disk = std::mem::take(&mut old.disk);
        let is_failing = old.is_failing;
        let mut new = FakeProcess::start(name.as_str(), next, &control);
        new.disk = disk;
        new.is_failing = is_failing;
        if index < self.control_count {
            new.recover();
        }
        self.processes[index] = new;
    }

    fn apply_step(&mut self, step: RandomStep) {
        let node = |index: u8| self.control_count + index as usize % NODES.len();
        match step {
            RandomStep::SendRequest(index) => self.send_request(node(index)),
            RandomStep::EndRun(index, end) => self.end_run(node(index), end % 4),
            RandomStep::Deliver(position) => self.deliver(position as usize, false),
            RandomStep::Duplicate(position) => self.deliver(position as usize, true),
            RandomStep::Drop(position) => {
                if !self.messages.is_empty() {
                    let position = position as usize % self.messages.len();
                    self.messages.remove(position);
                }
            }
            RandomStep::Sync(index) => self.sync(index as usize % self.control_count),
            RandomStep::FailDisk(index, is_failing) => {
                self.processes[index as usize % self.control_count].is_failing = is_failing;
            }
            RandomStep::Crash(index) => self.crash(index as usize % self.processes.len()),
            RandomStep::AdvanceTime(millis) => {
                self.now = self.now + Duration::from_millis(u64::from(millis));
                for index in 0..self.processes.len() {
                    self.reduce(index, event::Event::Tick);
                }
            }
        }
    }

    /// Delivers all messages, syncs all disks and advances time, in 200 rounds of 20 ms.
    fn settle(&mut self) {
        for _ in 0..200 {
            while !self.messages.is_empty() {
                self.deliver(0, false);
            }
            for index in 0..self.control_count {
                self.sync(index);
            }
            self.apply_step(RandomStep::AdvanceTime(20));
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum RandomStep {
    SendRequest(u8),
    EndRun(u8, u8),
    Deliver(u8),
    Duplicate(u8),
    Drop(u8),
    Sync(u8),
    Crash(u8),
    FailDisk(u8, bool),
    AdvanceTime(u8),
}

fn steps() -> impl Strategy<Value = Vec<RandomStep>> {
    let step = prop_oneof![
        3 => any::<u8>().prop_map(RandomStep::SendRequest),
        3 => any::<(u8, u8)>().prop_map(|(index, end)| RandomStep::EndRun(index, end)),
        20 => any::<u8>().prop_map(RandomStep::Deliver),
        2 => any::<u8>().prop_map(RandomStep::Duplicate),
        2 => any::<u8>().prop_map(RandomStep::Drop),
        8 => any::<u8>().prop_map(RandomStep::Sync),
        1 => any::<u8>().prop_map(RandomStep::Crash),
        3 => any::<u8>().prop_map(RandomStep::AdvanceTime),
    ];
    prop::collection::vec(step, 1..200)
}

/// Random steps with disks that fail and recover.
fn failing_disk_steps() -> impl Strategy<Value = Vec<RandomStep>> {
    let failure =
        any::<(u8, bool)>().prop_map(|(index, is_failing)| RandomStep::FailDisk(index, is_failing));
    let failures = prop::collection::vec((any::<prop::sample::Index>(), failure), 0..12);
    (steps(), failures).prop_map(|(mut steps, failures)| {
        for (position, failure) in failures {
            steps.insert(position.index(steps.len()), failure);
        }
        steps
    })
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

/// A keyed GET that no route was found for was refused as not run, although its route may be one
/// whose requests run once, and an earlier send may have run.
#[test]
fn routeless_keys() {
    let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
    for method in ["GET", "POST"] {
        let arrival = calls::CallArrival {
            method: method.into(),
            key: Some("key".into()),
            ..node::arrival(1, "/nowhere")
        };
        let effects = node.call(calls::CallEvent::Arrived(arrival));
        let [calls::CallEffect::Refuse(_, refusal)] = effects.as_slice() else {
            panic!("{effects:?}");
        };
        assert_eq!(refusal.outcome, wire::CallOutcome::Unknown, "{method}");
    }
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn at_most_once(controls in prop_oneof![Just(1_usize), Just(3), Just(5)], steps in steps()) {
        let mut group = FakeGroup::new(controls);
        for step in steps {
            group.apply_step(step);
        }
        group.settle();
    }

    #[test]
    fn failing_disks_once(
        controls in prop_oneof![Just(1_usize), Just(3), Just(5)],
        steps in failing_disk_steps(),
    ) {
        let mut group = FakeGroup::new(controls);
        for step in steps {
            group.apply_step(step);
        }
        group.settle();
    }
}

/// A control whose disk fails declines claims at once, and grants them again once writes succeed.
#[test]
fn failing_disk_declines() {
    let mut group = FakeGroup::new(1);
    group.processes[0].is_failing = true;
    group.send_request(1);
    group.settle();
    assert_eq!(group.runs, 0, "a claim that is not stored is not granted");
    group.send_request(2);
    group.settle();
    assert_eq!(group.runs, 0);
    group.processes[0].is_failing = false;
    group.settle();
    group.send_request(3);
    group.settle();
    assert_eq!(group.runs, 1, "the disk works again");
}

#[test]
fn concurrent_claims() {
    for controls in [1, 3, 5] {
        let mut group = FakeGroup::new(controls);
        for index in 0..NODES.len() {
            group.send_request(controls + index);
        }
        group.settle();
        assert_eq!(group.runs, 1, "{controls} controls");
        for index in 0..NODES.len() {
            group.end_run(controls + index, 0);
        }
        group.settle();
        group.send_request(controls);
        group.settle();
        assert_eq!((group.runs, group.answers), (1, 1), "{controls} controls");
    }
}

#[test]
fn released_runs_again() {
    let mut group = FakeGroup::new(3);
    group.send_request(3);
    group.settle();
    group.end_run(3, 1);
    group.send_request(4);
    group.settle();
    assert_eq!(
        group.runs, 2,
        "the first run was proven not to have happened"
    );
}

#[test]
fn granted_after_sync() {
    let mut group = FakeGroup::new(1);
    group.send_request(1);
    for _ in 0..20 {
        while !group.messages.is_empty() {
            group.deliver(0, false);
        }
        group.apply_step(RandomStep::AdvanceTime(20));
    }
    assert_eq!(group.runs, 0, "the control's disk has not synced");
    group.sync(0);
    group.settle();
    assert_eq!(group.runs, 1);
}

#[test]
fn minority_unreachable() {
    let mut group = FakeGroup::new(3);
    let lost = group.processes[2].identity.address;
    group.send_request(3);
    group.messages.retain(|(_, to, _)| *to != lost);
    group.settle();
    assert_eq!(group.runs, 1);
}

#[test]
fn holder_crashed() {
    let mut group = FakeGroup::new(3);
    group.send_request(3);
    group.settle();
    group.crash(3);
    group.send_request(4);
    group.settle();
    assert_eq!(
        group.runs, 1,
        "there is no proof that the first did not run"
    );
}

#[test]
fn lost_claims_expire() {
    let mut group = FakeGroup::new(1);
    let lost = wire_ledger::ClaimsCompleteness::Lost;
    let acceptor = ledger::acceptor::AcceptorState::recover(IndexMap::new(), lost);
    group.processes[0].state.ledger.acceptor = Some(acceptor);
    group.send_request(1);
    group.settle();
    assert_eq!(group.runs, 0, "claims may be missing from the disk");
    let tunables = &mut group.processes[0].state.settings.tunables;
    tunables.ledger.retention_ms = 60_000;
    group.now = group.now + Duration::from_mins(1);
    group.apply_step(RandomStep::AdvanceTime(20));
    group.send_request(1);
    group.settle();
    assert_eq!(group.runs, 1);
}

#[test]
fn mismatched_voters() {
    let mut group = FakeGroup::new(3);
    group.processes[3].state.settings.control.pop();
    group.send_request(3);
    group.settle();
    assert_eq!(
        group.runs, 0,
        "a node with another set of controls is granted no claim"
    );
}
