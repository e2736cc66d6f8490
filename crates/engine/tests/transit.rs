//! Time that offers spend on their way.

use std::time::Duration;

use hazeltiller_engine::calls::{self, transit};
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use serde_json::json;

const TARGET: &str = "registru-1";

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn late_told() {
    let mut meter = transit::TransitMeter::default();
    // The receiver has run for ten minutes when the sender starts.
    let start = 600_000;
    assert_eq!(meter.record(millis(5), millis(start + 7)), millis(0));
    assert_eq!(meter.record(millis(100), millis(start + 602)), millis(500));
    assert_eq!(meter.record(millis(200), millis(start + 201)), millis(0));
    assert_eq!(meter.record(millis(300), millis(start + 351)), millis(50));
}

/// A sender whose clock stood still for three seconds seems late by them for a few seconds only.
#[test]
fn stopped_clock() {
    let mut meter = transit::TransitMeter::default();
    meter.record(millis(0), millis(1000));
    let mut late = Vec::new();
    for second in 1..10 {
        late.push(meter.record(millis(second * 1000), millis(second * 1000 + 4000)));
    }
    assert_eq!(late[0], millis(3000));
    assert_eq!(late[6..], [millis(0); 3]);
}

/// A call whose time was over when its offer came did not run, and the node says so.
#[test]
fn overdue_offer_refused() {
    let entries = json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/"}},
    ]);
    let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries);
    node.announce(node::target(TARGET, "registru", 2));
    for (spent_ms, runs) in [(200, true), (300, false)] {
        let mut offer = wire::CallOffer {
            deadline_left_ms: 250,
            latency_left_ms: 100,
            ..node::offer(TARGET, "registru", "counter")
        };
        offer.subtract_elapsed(millis(spent_ms));
        assert_eq!(offer.latency_left_ms, 0);
        let call = ids::CallId(spent_ms);
        let effects = node.call(calls::CallEvent::Offered { call, offer });
        match &*effects {
            [calls::CallEffect::Run(..)] => assert!(runs),
            [calls::CallEffect::Refuse(_, refusal)] => {
                assert!(!runs);
                assert_eq!(refusal.code, code::ResultCode::DeadlineExceeded);
                assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
            }
            other => panic!("{other:?}"),
        }
    }
}

/// A link that is choked for longer than a few seconds does not pass for a slow one: its offers are as
/// late as those that choked it first.
#[test]
fn choked_for_long() {
    let mut meter = transit::TransitMeter::default();
    meter.record(millis(0), millis(1000));
    let late =
        (1..9).map(|second| meter.record(millis(second * 1000), millis(second * 1000 + 1800)));
    let late: Vec<Duration> = late.collect();
    assert_eq!(late, [millis(800); 8]);
}

/// A connection that opens while the link is choked is measured by what the ones before it showed; one of
/// another life of the peer, whose machine may have started again, is not.
#[test]
fn opened_while_choked() {
    let meters = transit::MeterTable::default();
    let peer: ids::InstanceName = "node-2".parse().expect("it is a name");
    let note = |life: u64, sent, came| {
        let meter = meters.of_peer(&peer, ids::IncarnationNumber(life));
        let mut meter = meter.lock().expect("nobody panics");
        meter.record(millis(sent), millis(came))
    };
    assert_eq!(note(1, 0, 1000), millis(0));
    assert_eq!(note(1, 500, 2300), millis(800));
    assert_eq!(note(2, 600, 2400), millis(0));
}
