//! Claims under lost, crossed and repeated messages, and controls and nodes that crash.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_engine::{calls, event, ledger, reducer};
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{calls as wire, ledger as wire_ledger, membership, message};
use indexmap::IndexMap;
use proptest::prelude::*;
use serde_json::{Value, json};

const NODES: [&str; 3] = ["node-a", "node-b", "node-c"];

/// One process of the group.
struct Process {
    identity: membership::PeerIdentity,
    state: reducer::EngineState,
    /// What its disk has synced.
    disk: Vec<wire_ledger::ClaimRecord>,
    /// What its disk was handed and has not synced.
    pending: Vec<ledger::ClaimBatch>,
    /// Whether its disk takes no bytes now.
    is_refusing: bool,
    /// Whether its store keeps nothing until a whole file.
    has_failed: bool,
    /// Calls that were offered to a target and have not ended.
    running: Vec<ids::CallId>,
}

struct Group {
    now: time::MonotonicTime,
    processes: Vec<Process>,
    controls: usize,
    mail: Vec<(usize, SocketAddr, message::PeerMessage)>,
    last_call: u64,
    /// Whether the request went to a target without proof that it did not run there.
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

impl Process {
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
            is_refusing: false,
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

impl Group {
    fn new(controls: usize) -> Self {
        let names: Vec<String> = (0..controls)
            .map(|index| format!("control-{index}"))
            .collect();
        let control: Vec<SocketAddr> = names
            .iter()
            .map(|name| node::identity(name, "brasov-a", "ro-centru").address)
            .collect();
        let all = names.iter().map(String::as_str).chain(NODES);
        let mut processes: Vec<Process> =
            all.map(|name| Process::start(name, 1, &control)).collect();
        for process in &mut processes[..controls] {
            process.recover();
        }
        Self {
            now: time::MonotonicTime(1),
            processes,
            controls,
            mail: Vec::new(),
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
            self.run(index, effect);
        }
    }

    fn run(&mut self, index: usize, effect: event::Effect) {
        match effect {
            event::Effect::Send { to, message } => {
                if let message::PeerMessage::Ledger(_) = message {
                    self.mail.push((index, to, message));
                }
            }
            event::Effect::Ledger(ledger::LedgerEffect::Persist(batch)) => {
                self.processes[index].pending.push(batch);
            }
            event::Effect::Calls(calls::CallEffect::Attempt(call, _)) => {
                assert!(!self.may_have_run, "it may run a second time");
                self.may_have_run = true;
                self.runs += 1;
                self.processes[index].running.push(call);
            }
            event::Effect::Calls(calls::CallEffect::Refuse(call, refusal)) => {
                if refusal.outcome == wire::CallOutcome::NotRun {
                    assert!(!self.may_have_run, "refused as not run: {refusal:?}");
                }
                if refusal.outcome == wire::CallOutcome::Ran {
                    assert!(self.answers > 0, "said to have run before an answer came");
                }
                self.finish(index, call);
            }
            event::Effect::Calls(calls::CallEffect::Replay(call, answer)) => {
                assert!(self.answers > 0, "an answer of nothing: {answer:?}");
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
            // Its task is gone without a word.
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

    fn deliver(&mut self, place: usize, is_repeated: bool) {
        if self.mail.is_empty() {
            return;
        }
        let place = place % self.mail.len();
        let (from, to, message) = if is_repeated {
            self.mail[place].clone()
        } else {
            self.mail.remove(place)
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
            if process.has_failed && !batch.is_whole_file {
                continue;
            }
            process.has_failed = process.is_refusing;
            if process.is_refusing {
                self.reduce(
                    index,
                    event::Event::Ledger(ledger::LedgerEvent::StoreFailed),
                );
                continue;
            }
            if batch.is_whole_file {
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
        let is_refusing = old.is_refusing;
        let mut new = Process::start(name.as_str(), next, &control);
        new.disk = disk;
        new.is_refusing = is_refusing;
        if index < self.controls {
            new.recover();
        }
        self.processes[index] = new;
    }

    fn step(&mut self, step: Step) {
        let node = |index: u8| self.controls + index as usize % NODES.len();
        match step {
            Step::Send(index) => self.send_request(node(index)),
            Step::End(index, end) => self.end_run(node(index), end % 4),
            Step::Deliver(place) => self.deliver(place as usize, false),
            Step::Repeat(place) => self.deliver(place as usize, true),
            Step::Lose(place) => {
                if !self.mail.is_empty() {
                    let place = place as usize % self.mail.len();
                    self.mail.remove(place);
                }
            }
            Step::Sync(index) => self.sync(index as usize % self.controls),
            Step::Refuse(index, is_refusing) => {
                self.processes[index as usize % self.controls].is_refusing = is_refusing;
            }
            Step::Crash(index) => self.crash(index as usize % self.processes.len()),
            Step::Pass(millis) => {
                self.now = self.now + Duration::from_millis(u64::from(millis));
                for index in 0..self.processes.len() {
                    self.reduce(index, event::Event::Tick);
                }
            }
        }
    }

    /// Lets everything arrive until nothing is on its way.
    fn settle(&mut self) {
        for _ in 0..200 {
            while !self.mail.is_empty() {
                self.deliver(0, false);
            }
            for index in 0..self.controls {
                self.sync(index);
            }
            self.step(Step::Pass(20));
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Send(u8),
    End(u8, u8),
    Deliver(u8),
    Repeat(u8),
    Lose(u8),
    Sync(u8),
    Crash(u8),
    Refuse(u8, bool),
    Pass(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => any::<u8>().prop_map(Step::Send),
        3 => any::<(u8, u8)>().prop_map(|(index, end)| Step::End(index, end)),
        20 => any::<u8>().prop_map(Step::Deliver),
        2 => any::<u8>().prop_map(Step::Repeat),
        2 => any::<u8>().prop_map(Step::Lose),
        8 => any::<u8>().prop_map(Step::Sync),
        1 => any::<u8>().prop_map(Step::Crash),
        3 => any::<u8>().prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..200)
}

/// The same, with disks that refuse and take writes again.
fn refusing_steps() -> impl Strategy<Value = Vec<Step>> {
    let refusal =
        any::<(u8, bool)>().prop_map(|(index, is_refusing)| Step::Refuse(index, is_refusing));
    let refusals = prop::collection::vec((any::<prop::sample::Index>(), refusal), 0..12);
    (steps(), refusals).prop_map(|(mut steps, refusals)| {
        for (place, refusal) in refusals {
            steps.insert(place.index(steps.len()), refusal);
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

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn never_twice(controls in prop_oneof![Just(1_usize), Just(3), Just(5)], steps in steps()) {
        let mut group = Group::new(controls);
        for step in steps {
            group.step(step);
        }
        group.settle();
    }

    #[test]
    fn never_twice_refusing(
        controls in prop_oneof![Just(1_usize), Just(3), Just(5)],
        steps in refusing_steps(),
    ) {
        let mut group = Group::new(controls);
        for step in steps {
            group.step(step);
        }
        group.settle();
    }
}

/// A control whose disk refuses declines claims at once, and grants them once it takes writes again.
#[test]
fn refusing_declines() {
    let mut group = Group::new(1);
    group.processes[0].is_refusing = true;
    group.send_request(1);
    group.settle();
    assert_eq!(group.runs, 0, "no claim is granted that is not kept");
    group.send_request(2);
    group.settle();
    assert_eq!(group.runs, 0);
    group.processes[0].is_refusing = false;
    group.settle();
    group.send_request(3);
    group.settle();
    assert_eq!(group.runs, 1, "the disk takes writes again");
}

#[test]
fn one_of_many() {
    for controls in [1, 3, 5] {
        let mut group = Group::new(controls);
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
    let mut group = Group::new(3);
    group.send_request(3);
    group.settle();
    group.end_run(3, 1);
    group.send_request(4);
    group.settle();
    assert_eq!(group.runs, 2, "the first was proven not to have run");
}

#[test]
fn granted_once_synced() {
    let mut group = Group::new(1);
    group.send_request(1);
    for _ in 0..20 {
        while !group.mail.is_empty() {
            group.deliver(0, false);
        }
        group.step(Step::Pass(20));
    }
    assert_eq!(group.runs, 0, "the control's disk has not synced");
    group.sync(0);
    group.settle();
    assert_eq!(group.runs, 1);
}

#[test]
fn minority_lost() {
    let mut group = Group::new(3);
    let lost = group.processes[2].identity.address;
    group.send_request(3);
    group.mail.retain(|(_, to, _)| *to != lost);
    group.settle();
    assert_eq!(group.runs, 1);
}

#[test]
fn holder_crashed() {
    let mut group = Group::new(3);
    group.send_request(3);
    group.settle();
    group.crash(3);
    group.send_request(4);
    group.settle();
    assert_eq!(group.runs, 1, "nobody can prove that the first did not run");
}

#[test]
fn lost_disk_waits() {
    let mut group = Group::new(1);
    let lost = wire_ledger::ClaimsCompleteness::Lost;
    let acceptor = ledger::acceptor::AcceptorState::recover(IndexMap::new(), lost);
    group.processes[0].state.ledger.acceptor = Some(acceptor);
    group.send_request(1);
    group.settle();
    assert_eq!(group.runs, 0, "claims that it kept may be missing");
    let tunables = &mut group.processes[0].state.settings.tunables;
    tunables.ledger.retention_ms = 60_000;
    group.now = group.now + Duration::from_mins(1);
    group.step(Step::Pass(20));
    group.send_request(1);
    group.settle();
    assert_eq!(group.runs, 1);
}

#[test]
fn other_voters() {
    let mut group = Group::new(3);
    group.processes[3].state.settings.control.pop();
    group.send_request(3);
    group.settle();
    assert_eq!(
        group.runs, 0,
        "a node that counts other controls gets no claim"
    );
}
