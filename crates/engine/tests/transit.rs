//! Measurement of the delay of offers on the link between two nodes.

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
fn delay_measured() {
    let mut meter = transit::TransitMeter::default();
    // The receiver's boot clock is ten minutes ahead of the sender's.
    let start = 600_000;
    assert_eq!(meter.record(millis(5), millis(start + 7)), millis(0));
    assert_eq!(meter.record(millis(100), millis(start + 602)), millis(500));
    assert_eq!(meter.record(millis(200), millis(start + 201)), millis(0));
    assert_eq!(meter.record(millis(300), millis(start + 351)), millis(50));
}

/// If the sender's clock stalls for three seconds, its offers seem delayed by that much until the
/// baseline is measured anew a few seconds later.
#[test]
fn stalled_clock() {
    let mut meter = transit::TransitMeter::default();
    meter.record(millis(0), millis(1000));
    let mut delays = Vec::new();
    for second in 1..10 {
        delays.push(meter.record(millis(second * 1000), millis(second * 1000 + 4000)));
    }
    assert_eq!(delays[0], millis(3000));
    assert_eq!(delays[6..], [millis(0); 3]);
}

/// An offer whose deadline passed in transit is refused as not run.
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
    for (delay_ms, is_run) in [(200, true), (300, false)] {
        let mut offer = wire::CallOffer {
            deadline_left_ms: 250,
            latency_left_ms: 100,
            ..node::offer(TARGET, "registru", "counter")
        };
        offer.subtract_elapsed(millis(delay_ms));
        assert_eq!(offer.latency_left_ms, 0);
        let call = ids::CallId(delay_ms);
        let effects = node.call(calls::CallEvent::Offered { call, offer });
        match &*effects {
            [calls::CallEffect::Run(..)] => assert!(is_run),
            [calls::CallEffect::Refuse(_, refusal)] => {
                assert!(!is_run);
                assert_eq!(refusal.code, code::ResultCode::DeadlineExceeded);
                assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
            }
            other => panic!("{other:?}"),
        }
    }
}

/// A link that stays congested for several seconds is not taken for one with a long propagation
/// delay: the measured delay does not shrink.
#[test]
fn long_congestion() {
    let mut meter = transit::TransitMeter::default();
    meter.record(millis(0), millis(1000));
    let delays =
        (1..9).map(|second| meter.record(millis(second * 1000), millis(second * 1000 + 1800)));
    let delays: Vec<Duration> = delays.collect();
    assert_eq!(delays, [millis(800); 8]);
}

/// A connection that opens while the link is congested uses the baseline of the peer's earlier
/// connections. A new incarnation of the peer starts a new baseline, since its machine may have
/// rebooted.
#[test]
fn opened_under_congestion() {
    let meters = transit::TransitMeterTable::default();
    let peer: ids::InstanceName = "node-2".parse().expect("it is a name");
    let record = |incarnation: u64, sent, received| {
        let meter = meters.of_peer(&peer, ids::IncarnationNumber(incarnation));
        let mut meter = meter.lock().expect("no holder of the lock panics");
        meter.record(millis(sent), millis(received))
    };
    assert_eq!(record(1, 0, 1000), millis(0));
    assert_eq!(record(1, 500, 2300), millis(800));
    assert_eq!(record(2, 600, 2400), millis(0));
}
