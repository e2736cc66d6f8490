//! Signals in the responses of targets: which of them count, how calls are held to a rate limit, and
//! what becomes of the calls that it keeps from their target.

use std::time::Duration;

use hazeltiller_engine::{calls, event, signals, timeline};
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids, measure};
use hazeltiller_wire::{calls as wire, membership, signals as wire_signals};
use serde_json::{Value, json};

const TARGET: &str = "registru-1";
const OTHER: &str = "registru-2";

fn entries() -> Value {
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter", "rank": 1,
         "limits": {"queue_ms": 500}},
        {"kind": "class", "name": "batch", "owner": "registru", "class": "counter", "rank": 5,
         "limits": {"queue_ms": 500}},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
         "limits": {"queue": 8}, "probe": {"path": "/health", "period_ms": 1000}},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/"}, "limits": {"tries": 1}},
        {"kind": "route", "name": "night", "owner": "registru", "class": "batch",
         "service": "registru", "match": {"path_prefix": "/night"}, "limits": {"tries": 1}},
    ])
}

fn rate(per_second: f64) -> measure::RequestRate {
    per_second.try_into().expect("a valid rate")
}

fn naming(limit: f64) -> signals::ResponseSignals {
    signals::ResponseSignals {
        rate_limit: signals::SignalValue::Present(rate(limit)),
        ..signals::ResponseSignals::default()
    }
}

fn request() -> ids::RequestId {
    "request-1".parse().expect("a valid id")
}

fn name(target: &str) -> ids::TargetName {
    target.parse().expect("a valid name")
}

/// An owner node with one target.
struct OwnerNode {
    node: node::NodeReducer,
    last_call: u64,
}

impl OwnerNode {
    fn new() -> Self {
        let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
        node.announce(node::target(TARGET, "registru", 10));
        Self { node, last_call: 0 }
    }

    /// Offers a call that cannot wait; returns its id and what becomes of it.
    fn offer(&mut self, class: &str) -> (ids::CallId, calls::CallEffect) {
        self.last_call += 1;
        let call = ids::CallId(self.last_call);
        let offer = wire::CallOffer {
            patience_ms: 0,
            ..node::offer(TARGET, "registru", class)
        };
        let mut effects = self.node.call(calls::CallEvent::Offered { call, offer });
        (call, effects.remove(0))
    }

    fn run(&mut self) -> ids::CallId {
        let (call, effect) = self.offer("counter");
        assert!(matches!(effect, calls::CallEffect::Run(..)), "{effect:?}");
        call
    }

    fn refusal(&mut self) -> wire::CallRefusal {
        match self.offer("counter").1 {
            calls::CallEffect::Refuse(_, refusal) => refusal,
            other => panic!("not refused: {other:?}"),
        }
    }

    /// Handles the head of a response of the target; returns the recorded events.
    fn respond(
        &mut self,
        call: ids::CallId,
        signals: signals::ResponseSignals,
    ) -> Vec<timeline::TimelineEvent> {
        self.respond_as(call, signals, true)
    }

    fn respond_as(
        &mut self,
        call: ids::CallId,
        signals: signals::ResponseSignals,
        has_run: bool,
    ) -> Vec<timeline::TimelineEvent> {
        let observed = signals::SignalEvent::Observed {
            call,
            request: request(),
            signals,
            has_run,
        };
        let effects = self.node.reduce(event::Event::Signals(observed));
        let result = calls::RunResult::Done { status: 200 };
        self.node.call(calls::CallEvent::RunEnded { call, result });
        let recorded = effects.into_iter().filter_map(|effect| match effect {
            event::Effect::RecordEvent(event) => Some(event),
            _ => None,
        });
        recorded.collect()
    }

    /// Names a limit with the response to a run, some time before now.
    fn limit(&mut self, limit: f64) {
        let call = self.run();
        self.advance(10);
        self.respond(call, naming(limit));
        self.advance(10);
    }

    fn advance(&mut self, millis: u64) {
        self.node.advance(Duration::from_millis(millis));
    }

    fn rate_limit(&self) -> Option<f64> {
        let limit = self.node.state.signals.rate_limit(&name(TARGET));
        limit.map(measure::RequestRate::per_second)
    }

    fn receive(&mut self, report: wire_signals::SignalReport) {
        let reported = signals::SignalEvent::Reported(signals::ReceivedReport {
            target: name(TARGET),
            report,
            request: request(),
            source: timeline::SignalSource::IngressNode,
        });
        self.node.reduce(event::Event::Signals(reported));
    }
}

/// A response that was under way when the limit was named may have been written before.
#[test]
fn late_response_ends_nothing() {
    let mut owner = OwnerNode::new();
    let (early, limited) = (owner.run(), owner.run());
    owner.advance(10);
    owner.respond(limited, naming(5.0));
    owner.respond(early, signals::ResponseSignals::default());
    assert_eq!(owner.rate_limit(), Some(5.0));
    owner.advance(1000);
    let later = owner.run();
    owner.advance(10);
    owner.respond(later, signals::ResponseSignals::default());
    assert_eq!(owner.rate_limit(), None);
}

#[test]
fn late_response_raises_nothing() {
    let mut owner = OwnerNode::new();
    let runs = [owner.run(), owner.run(), owner.run()];
    owner.advance(10);
    owner.respond(runs[0], naming(5.0));
    owner.respond(runs[1], naming(50.0));
    assert_eq!(owner.rate_limit(), Some(5.0));
    owner.respond(runs[2], naming(2.0));
    assert_eq!(owner.rate_limit(), Some(2.0));
}

#[test]
fn declined_response_names_only() {
    let mut owner = OwnerNode::new();
    let call = owner.run();
    owner.advance(10);
    owner.respond_as(call, naming(5.0), false);
    owner.advance(1000);
    let call = owner.run();
    owner.advance(10);
    owner.respond_as(call, signals::ResponseSignals::default(), false);
    assert_eq!(owner.rate_limit(), Some(5.0));
}

#[test]
fn malformed_changes_nothing() {
    let mut owner = OwnerNode::new();
    owner.limit(5.0);
    let malformed = signals::ResponseSignals {
        rate_limit: signals::SignalValue::Malformed,
        leaving: signals::SignalValue::Malformed,
    };
    let mut recorded = Vec::new();
    for _ in 0..20 {
        owner.advance(1000);
        let call = owner.run();
        owner.advance(10);
        recorded.extend(owner.respond(call, malformed));
    }
    assert_eq!(owner.rate_limit(), Some(5.0));
    assert_eq!(recorded.len(), 1, "{recorded:?}");
}

/// A limit that changes with each response is recorded once a second at most.
#[test]
fn changes_recorded_sparsely() {
    let mut owner = OwnerNode::new();
    let mut recorded = Vec::new();
    for number in 0..100 {
        let call = owner.run();
        owner.advance(50);
        recorded.extend(owner.respond(call, naming(1000.0 + f64::from(number))));
        owner.advance(50);
    }
    assert_eq!(owner.rate_limit(), Some(1099.0));
    assert!(recorded.len() <= 11, "{} events in 10 s", recorded.len());
    owner.node.now = owner.node.now + Duration::from_secs(1);
    let effects = owner.node.reduce(event::Event::Tick);
    let is_last = |effect: &event::Effect| {
        matches!(effect, event::Effect::RecordEvent(
            timeline::TimelineEvent::TargetLimitNamed { limit, .. }) if limit == "1099")
    };
    assert!(effects.iter().any(is_last), "the last limit is recorded");
}

#[test]
fn excess_refused_at_once() {
    let mut owner = OwnerNode::new();
    owner.limit(2.0);
    let refusal = owner.refusal();
    assert_eq!(refusal.code, code::ResultCode::TargetLimited);
    assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
    assert!(refusal.elsewhere);
    let limit = refusal.limit.expect("it names the limit").to_string();
    assert_eq!(limit, "rate limit named by a target of service registru");
    // At two a second the next one may pass after half a second, the one after it after a second.
    assert_eq!(refusal.retry_after_ms, 500);
    assert_eq!(owner.refusal().retry_after_ms, 1000);
    owner.advance(1000);
    owner.run();
}

#[test]
fn better_class_first() {
    let mut owner = OwnerNode::new();
    owner.limit(5.0);
    let mut passed = [0, 0];
    for _ in 0..400 {
        for (index, class) in ["batch", "counter"].into_iter().enumerate() {
            let (call, effect) = owner.offer(class);
            if matches!(effect, calls::CallEffect::Run(..)) {
                passed[index] += 1;
                owner.respond(call, naming(5.0));
            }
        }
        owner.advance(50);
    }
    let [batch, counter] = passed;
    assert!(
        (80..=104).contains(&(batch + counter)),
        "5/s for 20 s: {passed:?}"
    );
    assert!(batch * 20 < counter, "{passed:?}");
}

#[test]
fn lesser_class_gets_the_rest() {
    let mut owner = OwnerNode::new();
    owner.limit(5.0);
    let mut passed = 0;
    for _ in 0..400 {
        let (call, effect) = owner.offer("batch");
        if matches!(effect, calls::CallEffect::Run(..)) {
            passed += 1;
            owner.respond(call, naming(5.0));
        }
        owner.advance(50);
    }
    assert!(passed >= 95, "{passed} of 100 with no other class");
}

/// A health check reaches the target like a call.
#[test]
fn probes_counted() {
    let mut owner = OwnerNode::new();
    owner.limit(0.3);
    let mut requests = 0;
    for _ in 0..400 {
        owner.node.now = owner.node.now + Duration::from_millis(50);
        let effects = owner.node.reduce(event::Event::Tick);
        let is_probe = |effect: &&event::Effect| matches!(effect, event::Effect::Health(_));
        requests += effects.iter().filter(is_probe).count();
        if let (call, calls::CallEffect::Run(..)) = owner.offer("counter") {
            requests += 1;
            owner.respond(call, naming(0.3));
        }
    }
    assert!(requests <= 8, "{requests} in 20 s at 0.3/s");
}

#[test]
fn report_adopted() {
    let report = wire_signals::SignalReport {
        observer: ids::IncarnationNumber(1),
        sequence: 3,
        rate_limit: Some(rate(2.0)),
        ..wire_signals::SignalReport::default()
    };
    let mut owner = OwnerNode::new();
    owner.receive(report);
    assert_eq!(owner.rate_limit(), Some(2.0));
    // The previous process of the node may have sent requests a moment ago.
    assert_eq!(owner.refusal().code, code::ResultCode::TargetLimited);
    owner.advance(1000);
    let call = owner.run();
    owner.advance(10);
    owner.respond(call, signals::ResponseSignals::default());
    owner.receive(wire_signals::SignalReport {
        sequence: 4,
        ..report
    });
    assert_eq!(
        owner.rate_limit(),
        None,
        "the target itself said more since"
    );
}

#[test]
fn report_before_announcement() {
    let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
    let report = wire_signals::SignalReport {
        observer: ids::IncarnationNumber(1),
        sequence: 1,
        rate_limit: Some(rate(2.0)),
        ..wire_signals::SignalReport::default()
    };
    let mut owner = OwnerNode { node, last_call: 0 };
    owner.receive(report);
    node = owner.node;
    node.announce(node::target(TARGET, "registru", 10));
    let mut owner = OwnerNode { node, last_call: 0 };
    assert_eq!(owner.refusal().code, code::ResultCode::TargetLimited);
}

#[test]
fn next_incarnation_unlimited() {
    let mut owner = OwnerNode::new();
    let incarnation = |number| membership::TargetRecord {
        incarnation: ids::IncarnationNumber(number),
        ..node::target(TARGET, "registru", 10)
    };
    owner.node.announce(incarnation(1));
    let call = owner.run();
    owner.advance(10);
    let leaving = signals::ResponseSignals {
        leaving: signals::SignalValue::Present(()),
        ..naming(1.0)
    };
    owner.respond(call, leaving);
    owner.node.announce(incarnation(1));
    let refusal = owner.refusal();
    assert_eq!(refusal.code, code::ResultCode::TargetMissing);
    owner.node.announce(incarnation(2));
    assert_eq!(owner.rate_limit(), None);
    owner.run();
    // What is late of the earlier incarnation counts no more.
    owner.receive(wire_signals::SignalReport {
        incarnation: ids::IncarnationNumber(1),
        observer: ids::IncarnationNumber(9),
        sequence: 9,
        rate_limit: Some(rate(1.0)),
        is_leaving: true,
    });
    owner.run();
}

/// An ingress node that knows two targets of other nodes.
struct IngressNode {
    node: node::NodeReducer,
    last_call: u64,
}

impl IngressNode {
    fn new(targets: &[&str]) -> Self {
        let mut node = node::NodeReducer::new("ingress", "brasov-a", &entries());
        for target in targets {
            let identity = node::identity(&format!("node-of-{target}"), "brasov-a", "ro-centru");
            node.receive_record(&identity, 1, vec![node::target(target, "registru", 10)]);
        }
        Self { node, last_call: 0 }
    }

    fn arrive(&mut self, path: &str) -> (ids::CallId, calls::CallEffect) {
        self.last_call += 1;
        let arrival = node::arrival(self.last_call, path);
        let mut effects = self.node.call(calls::CallEvent::Arrived(arrival));
        (ids::CallId(self.last_call), effects.remove(0))
    }

    /// Ends an attempt with a refusal for the rate limit of its target.
    fn refuse(&mut self, call: ids::CallId, retry_after_ms: u32) -> calls::CallEffect {
        let refusal = wire::CallRefusal {
            retry_after_ms,
            ..wire::CallRefusal::not_run(code::ResultCode::TargetLimited).elsewhere()
        };
        let ended = calls::CallEvent::AttemptEnded {
            call,
            result: calls::AttemptResult::Refused(refusal),
            report: calls::AttemptReport::default(),
        };
        self.node.call(ended).remove(0)
    }
}

fn attempted(effect: &calls::CallEffect) -> &str {
    match effect {
        calls::CallEffect::Attempt(_, plan) => plan.candidate.target.as_str(),
        other => panic!("no attempt: {other:?}"),
    }
}

/// Calls that a limit held back go elsewhere although the route allows one attempt only and the
/// retry budget pays for none.
#[test]
fn excess_placed_elsewhere() {
    let mut ingress = IngressNode::new(&[TARGET, OTHER]);
    ingress.node.state.settings.tunables.retry.budget_reserve = 0;
    ingress
        .node
        .state
        .settings
        .tunables
        .retry
        .budget_fleet_reserve = 0;
    let (call, effect) = ingress.arrive("/");
    let limited = attempted(&effect).to_owned();
    let effect = ingress.refuse(call, 400);
    let other = attempted(&effect).to_owned();
    assert_ne!(limited, other);
    for _ in 0..20 {
        let (_, effect) = ingress.arrive("/");
        assert_eq!(attempted(&effect), other, "the limited target is left out");
    }
    ingress.node.advance(Duration::from_millis(400));
    let again = (0..20).any(|_| attempted(&ingress.arrive("/").1) == limited);
    assert!(again, "it is offered calls again when the time is over");
}

#[test]
fn limited_service_refuses() {
    let mut ingress = IngressNode::new(&[TARGET]);
    let (call, effect) = ingress.arrive("/night");
    assert_eq!(attempted(&effect), TARGET);
    let effect = ingress.refuse(call, 400);
    assert!(
        matches!(effect, calls::CallEffect::Refuse(..)),
        "{effect:?}"
    );
    let (_, effect) = ingress.arrive("/night");
    let calls::CallEffect::Refuse(_, refusal) = effect else {
        panic!("not refused without an offer: {effect:?}");
    };
    assert_eq!(refusal.code, code::ResultCode::TargetLimited);
    assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
    assert!((300..=600).contains(&refusal.retry_after_ms), "{refusal:?}");
    let (_, effect) = ingress.arrive("/");
    assert_eq!(attempted(&effect), TARGET, "a better class is offered");
}

#[test]
fn reports_given_back() {
    let mut ingress = IngressNode::new(&[TARGET]);
    let report = wire_signals::SignalReport {
        observer: ids::IncarnationNumber(4),
        sequence: 7,
        rate_limit: Some(rate(2.0)),
        ..wire_signals::SignalReport::default()
    };
    let mut receive = |report, expected| {
        let reported = signals::SignalEvent::Reported(signals::ReceivedReport {
            target: name(TARGET),
            report,
            request: request(),
            source: timeline::SignalSource::OwnerNode,
        });
        ingress.node.reduce(event::Event::Signals(reported));
        let (_, effect) = ingress.arrive("/");
        let calls::CallEffect::Attempt(_, plan) = effect else {
            panic!("no attempt: {effect:?}");
        };
        assert_eq!(plan.signals, expected);
    };
    receive(report, Some(report));
    let older = wire_signals::SignalReport {
        sequence: 6,
        rate_limit: None,
        ..report
    };
    receive(older, Some(report));
    // The clock of the owner node was set back before it restarted.
    let restarted = wire_signals::SignalReport {
        observer: ids::IncarnationNumber(3),
        sequence: 1,
        rate_limit: Some(rate(9.0)),
        ..report
    };
    receive(restarted, Some(restarted));
    let ended = wire_signals::SignalReport {
        sequence: 2,
        rate_limit: None,
        ..restarted
    };
    receive(ended, None);
}

/// A part of a split route that is at its limit keeps its share; what does not fit is refused there.
#[test]
fn limited_part_refused() {
    let mut ingress = IngressNode::new(&[TARGET]);
    let identity = node::identity("node-of-archive", "brasov-a", "ro-centru");
    let archive = node::target("archive-1", "archive", 10);
    ingress.node.receive_record(&identity, 1, vec![archive]);
    ingress.node.apply_entries(&json!([
        {"kind": "service", "name": "archive", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "split", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/split"}, "limits": {"tries": 1},
         "split": [{"service": "registru", "weight": 1}, {"service": "archive", "weight": 1}]},
    ]));
    let (call, effect) = ingress.arrive("/");
    assert_eq!(attempted(&effect), TARGET);
    ingress.refuse(call, 4000);
    let (mut refused, mut placed) = (0, 0);
    for _ in 0..100 {
        match ingress.arrive("/split").1 {
            calls::CallEffect::Refuse(_, refusal) => {
                assert_eq!(refusal.code, code::ResultCode::TargetLimited);
                refused += 1;
            }
            effect => {
                assert_eq!(attempted(&effect), "archive-1");
                placed += 1;
            }
        }
    }
    assert_eq!((refused, placed), (50, 50));
}
