//! What a caller is told of a call against what ran, over random orders of offers, runs, losses,
//! restarts and withdrawals: a call that is refused as not run has not run and never will, and one
//! that may run once doesn't run twice.

use std::time::Duration;

use hazeltiller_engine::{calls, event, membership};
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{calls as wire, membership as wire_membership};
use indexmap::IndexMap;
use proptest::prelude::*;
use serde_json::{Value, json};

const OWNERS: usize = 3;

/// Routes of two ranks, so that calls displace one another in the queues.
fn entries() -> Value {
    let class = |name: &str, rank: u32| {
        json!({"kind": "class", "name": name, "owner": "registru", "class": name, "rank": rank,
               "limits": {"queue_ms": 200}})
    };
    let route = |name: &str, idempotent: bool| {
        json!({"kind": "route", "name": format!("{name}-{idempotent}"), "owner": "registru",
               "class": name, "service": "registru", "idempotent": idempotent,
               "match": {"path_prefix": format!("/{name}/{idempotent}/")},
               "limits": {"tries": 3, "deadline_ms": 1000}})
    };
    json!([
        class("urgent", 1),
        class("common", 5),
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "common"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "common",
         "limits": {"queue": 1}},
        route("urgent", true),
        route("urgent", false),
        route("common", true),
        route("common", false),
    ])
}

/// Where an attempt is.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AttemptStage {
    /// Its offer is on the way.
    Offered,
    /// Its owner node has admitted it to the queue.
    Queued,
    /// It holds a slot, and nothing has been sent to the target.
    Admitted,
    /// The target has begun to run it.
    Running,
}

#[derive(Debug, Clone)]
struct Attempt {
    call: u64,
    owner: usize,
    offer: wire::CallOffer,
    stage: AttemptStage,
    /// Whether its request came with the offer, or has followed it.
    has_request: bool,
    /// Whether the ingress node waits for its result.
    is_awaited: bool,
}

#[derive(Debug, Default)]
struct CallerCall {
    is_idempotent: bool,
    runs: u32,
    told: Option<wire::CallOutcome>,
}

struct World {
    ingress: node::NodeReducer,
    owners: Vec<node::NodeReducer>,
    calls: IndexMap<u64, CallerCall>,
    attempts: IndexMap<u64, Attempt>,
    /// Last number given to a call or an attempt.
    last: u64,
}

fn owner(number: usize) -> node::NodeReducer {
    let mut owner = node::NodeReducer::new(&format!("node-{number}"), "brasov-a", &entries());
    owner.announce(node::target(&format!("target-{number}"), "registru", 1));
    owner
}

impl World {
    fn new() -> Self {
        let mut ingress = node::NodeReducer::new("ingress", "brasov-a", &entries());
        ingress.state.settings.tunables.health.ejected_percent = 0;
        for number in 0..OWNERS {
            let identity = node::identity(&format!("node-{number}"), "brasov-a", "ro-centru");
            let target = node::target(&format!("target-{number}"), "registru", 1);
            ingress.receive_record(&identity, 1, vec![target]);
        }
        Self {
            ingress,
            owners: (0..OWNERS).map(owner).collect(),
            calls: IndexMap::new(),
            attempts: IndexMap::new(),
            last: 0,
        }
    }

    fn arrive(&mut self, kind: usize) {
        self.last += 1;
        let (class, is_idempotent) = (["urgent", "common"][kind % 2], kind.is_multiple_of(3));
        let call = CallerCall {
            is_idempotent,
            ..CallerCall::default()
        };
        self.calls.insert(self.last, call);
        let arrival = node::arrival(self.last, &format!("/{class}/{is_idempotent}/"));
        self.reduce_at_ingress(calls::CallEvent::Arrived(arrival));
    }

    fn reduce_at_ingress(&mut self, event: calls::CallEvent) {
        for effect in self.ingress.call(event) {
            match effect {
                calls::CallEffect::Attempt(call, plan) => {
                    self.last += 1;
                    let owner = plan.offer.target.as_str().trim_start_matches("target-");
                    let attempt = Attempt {
                        call: call.0,
                        owner: owner.parse().expect("targets are numbered"),
                        offer: plan.offer,
                        stage: AttemptStage::Offered,
                        has_request: !self.last.is_multiple_of(3),
                        is_awaited: true,
                    };
                    self.attempts.insert(self.last, attempt);
                }
                calls::CallEffect::Refuse(call, refusal) => {
                    let told = &mut self.calls[&call.0];
                    told.told = Some(refusal.outcome);
                    let is_not_run = refusal.outcome == wire::CallOutcome::NotRun;
                    assert!(!is_not_run || told.runs == 0, "it has run: {refusal:?}");
                    self.reduce_at_ingress(calls::CallEvent::Finished(call));
                }
                _ => {}
            }
        }
    }

    /// Tells the ingress node the result of an attempt, if it waits for that.
    fn report(&mut self, number: u64, result: calls::AttemptResult) {
        let attempt = &mut self.attempts[&number];
        if !std::mem::take(&mut attempt.is_awaited) {
            return;
        }
        let call = ids::CallId(attempt.call);
        self.reduce_at_ingress(calls::CallEvent::AttemptEnded {
            call,
            result,
            report: calls::AttemptReport::default(),
        });
    }

    fn reduce_at_owner(&mut self, owner: usize, event: calls::CallEvent) {
        let effects = self.owners[owner].call(event);
        self.apply_at_owner(effects);
    }

    fn apply_at_owner(&mut self, effects: Vec<calls::CallEffect>) {
        for effect in effects {
            match effect {
                calls::CallEffect::Run(call, _) => {
                    if let Some(attempt) = self.attempts.get_mut(&call.0) {
                        attempt.stage = AttemptStage::Admitted;
                    }
                }
                calls::CallEffect::Refuse(call, refusal) => {
                    let Some(attempt) = self.attempts.get(&call.0) else {
                        continue;
                    };
                    let is_pending =
                        matches!(attempt.stage, AttemptStage::Offered | AttemptStage::Queued);
                    assert!(is_pending, "refused after its dispatch: {refusal:?}");
                    self.report(call.0, calls::AttemptResult::Refused(refusal));
                    self.attempts.swap_remove(&call.0);
                }
                _ => {}
            }
        }
    }

    /// Lets the next thing happen to an attempt.
    fn advance(&mut self, number: u64, draw: u8) {
        let attempt = self.attempts[&number].clone();
        match attempt.stage {
            AttemptStage::Offered => {
                self.attempts[&number].stage = AttemptStage::Queued;
                let call = ids::CallId(number);
                let offer = attempt.offer;
                self.reduce_at_owner(attempt.owner, calls::CallEvent::Offered { call, offer });
            }
            // The request takes its place, or comes too late for it.
            AttemptStage::Queued | AttemptStage::Admitted if !attempt.has_request => {
                if draw < 128 && attempt.is_awaited {
                    self.attempts[&number].has_request = true;
                } else {
                    let code = code::ResultCode::LatencyUnreachable;
                    self.end(number, calls::RunResult::CallerGone, not_run(code));
                }
            }
            AttemptStage::Queued => {}
            AttemptStage::Admitted => match draw {
                0..32 => {
                    let refused = not_run(code::ResultCode::TargetMissing);
                    self.end(number, calls::RunResult::NotConnected, refused);
                }
                32..96 => {
                    let refused = not_run(code::ResultCode::TargetDeclined);
                    self.end(number, calls::RunResult::Declined, refused);
                }
                _ => self.run(number),
            },
            AttemptStage::Running => {
                let status = [200, 500, 503][usize::from(draw) % 3];
                let answered = calls::AttemptResult::Answered { status };
                match draw {
                    0..64 => {
                        let code = code::ResultCode::TargetFailed;
                        let failed =
                            calls::AttemptResult::Refused(wire::CallRefusal::unknown(code));
                        self.end(number, calls::RunResult::Crashed, failed);
                    }
                    _ => self.end(number, calls::RunResult::Done { status }, answered),
                }
            }
        }
    }

    fn run(&mut self, number: u64) {
        let attempt = &mut self.attempts[&number];
        attempt.stage = AttemptStage::Running;
        let call = &mut self.calls[&attempt.call];
        call.runs += 1;
        assert!(call.is_idempotent || call.runs == 1, "it runs twice");
        assert_ne!(call.told, Some(wire::CallOutcome::NotRun), "it runs later");
    }

    /// Ends an attempt at its owner node and tells the ingress node.
    fn end(&mut self, number: u64, result: calls::RunResult, told: calls::AttemptResult) {
        let call = ids::CallId(number);
        let owner = self.attempts[&number].owner;
        self.report(number, told);
        self.attempts.swap_remove(&number);
        self.reduce_at_owner(owner, calls::CallEvent::RunEnded { call, result });
    }

    /// Breaks the link under an attempt. Its owner node learns of that later or never.
    fn lose(&mut self, number: u64) {
        let attempt = &self.attempts[&number];
        let is_unsent = attempt.stage == AttemptStage::Offered || !attempt.has_request;
        let lost = if is_unsent {
            calls::AttemptResult::NotReached
        } else {
            calls::AttemptResult::Lost
        };
        self.report(number, lost);
        if is_unsent && self.attempts[&number].stage == AttemptStage::Offered {
            self.attempts.swap_remove(&number);
        }
    }

    fn restart(&mut self, number: usize) {
        let is_lost =
            |attempt: &Attempt| attempt.owner == number && attempt.stage != AttemptStage::Offered;
        let lost = self.attempts.iter().filter(|(_, attempt)| is_lost(attempt));
        let lost: Vec<u64> = lost.map(|(lost, _)| *lost).collect();
        let now = self.owners[number].now;
        self.owners[number] = owner(number);
        self.owners[number].now = now;
        for lost in lost {
            self.lose(lost);
            self.attempts.swap_remove(&lost);
        }
    }

    fn announce(&mut self, number: usize, state: wire_membership::TargetState) {
        let mut record = node::target(&format!("target-{number}"), "registru", 1);
        record.state = state;
        // A target that is ready again has started anew.
        if state == wire_membership::TargetState::Ready {
            record.incarnation = ids::IncarnationNumber(self.last);
        }
        let announced = membership::MembershipEvent::Announced(membership::TargetAnnouncement {
            record,
            lease: Duration::from_hours(1),
            sequence: None,
            warm_up_left: Duration::ZERO,
        });
        let effects = self.owners[number].reduce(event::Event::Membership(announced));
        self.apply_at_owner(node::call_effects(effects));
    }

    fn tick(&mut self, millis: u64) {
        let span = Duration::from_millis(millis);
        self.ingress.advance(span);
        for number in 0..OWNERS {
            let effects = self.owners[number].advance(span);
            self.apply_at_owner(effects);
        }
    }

    fn step(&mut self, kind: u8, draw: u8) {
        let index = usize::from(draw);
        let attempt = self.attempts.get_index(index % self.attempts.len().max(1));
        let attempt = attempt.map(|(number, _)| *number);
        match (kind, attempt) {
            (0..4, _) => self.arrive(index),
            (4..14, Some(number)) => self.advance(number, draw.wrapping_mul(31)),
            (14, Some(number)) => self.lose(number),
            (15, Some(number)) => {
                // The caller has left; its attempt is cancelled at the owner node.
                let call = ids::CallId(self.attempts[&number].call);
                self.attempts[&number].is_awaited = false;
                self.reduce_at_ingress(calls::CallEvent::Finished(call));
                self.end(
                    number,
                    calls::RunResult::CallerGone,
                    calls::AttemptResult::Lost,
                );
            }
            (16, _) => self.restart(index % OWNERS),
            (17, _) => self.announce(index % OWNERS, wire_membership::TargetState::Draining),
            (18, _) => self.announce(index % OWNERS, wire_membership::TargetState::Ready),
            (19, _) => self.tick(u64::from(draw)),
            _ => {}
        }
    }
}

fn not_run(code: code::ResultCode) -> calls::AttemptResult {
    calls::AttemptResult::Refused(wire::CallRefusal::not_run(code).elsewhere())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn promises_kept(steps in proptest::collection::vec((0..20_u8, any::<u8>()), 1..200)) {
        let mut world = World::new();
        for (kind, draw) in steps {
            world.step(kind, draw);
        }
    }
}
