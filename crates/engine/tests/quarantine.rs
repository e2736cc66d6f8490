//! Tests of quarantine: attribution of crashes, isolation, refusal and expiry.

use std::time::Duration;

use hazeltiller_engine::{calls, event, quarantine, settings};
use hazeltiller_testkit::{node, reducers};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{
    calls as wire, ledger::RequestDigest, message, quarantine as wire_quarantine,
};
use serde_json::json;

fn crash(request: u8, target: &str) -> wire_quarantine::CrashRecord {
    wire_quarantine::CrashRecord {
        request: RequestDigest([request; 16]),
        target: target.parse().expect("it is a name"),
    }
}

fn reducer() -> node::NodeReducer {
    let entries = json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/vehicles"}},
    ]);
    let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries);
    node.announce(node::target("first", "registru", 10));
    node
}

fn offer(node: &mut node::NodeReducer, call: u64, request: u8) -> Option<wire::CallRefusal> {
    let mut offer = node::offer("first", "registru", "counter");
    offer.fingerprint = Some(RequestDigest([request; 16]));
    let call = ids::CallId(call);
    let effects = node.call(calls::CallEvent::Offered { call, offer });
    effects.into_iter().find_map(|effect| match effect {
        calls::CallEffect::Refuse(_, refusal) => Some(refusal),
        _ => None,
    })
}

fn end_run(node: &mut node::NodeReducer, call: u64) {
    let (call, result) = (ids::CallId(call), calls::RunResult::Done { status: 200 });
    node.call(calls::CallEvent::RunEnded { call, result });
}

fn record_crash(node: &mut node::NodeReducer, crash: wire_quarantine::CrashRecord) {
    let event = quarantine::QuarantineEvent::Crashed(crash);
    node.reduce(event::Event::Quarantine(event));
}

#[test]
fn suspect_alone() {
    let mut node = reducer();
    record_crash(&mut node, crash(1, "second"));
    assert_eq!(offer(&mut node, 10, 2), None, "other requests run");
    let refusal = offer(&mut node, 11, 1).expect("the target runs another request");
    assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
    assert!(refusal.elsewhere, "another target may be free");
    end_run(&mut node, 10);
    assert_eq!(
        offer(&mut node, 12, 1),
        None,
        "the target runs no other request"
    );
    let refusal = offer(&mut node, 13, 2).expect("the target runs an isolated request");
    assert!(refusal.elsewhere && refusal.outcome == wire::CallOutcome::NotRun);
    end_run(&mut node, 12);
    assert_eq!(offer(&mut node, 14, 2), None);
}

#[test]
fn two_crashes() {
    let mut node = reducer();
    record_crash(&mut node, crash(1, "second"));
    record_crash(&mut node, crash(1, "second"));
    assert_eq!(
        offer(&mut node, 10, 1),
        None,
        "both reports are of one crash"
    );
    end_run(&mut node, 10);
    record_crash(&mut node, crash(1, "third"));
    let refusal = offer(&mut node, 11, 1).expect("it crashed two targets");
    assert_eq!(refusal.code, code::ResultCode::RequestQuarantined);
    assert_eq!(
        (refusal.outcome, refusal.elsewhere),
        (wire::CallOutcome::NotRun, false)
    );
    let mut arrival = node::arrival(12, "/vehicles/7");
    arrival.fingerprint = Some(RequestDigest([1; 16]));
    let effects = node.call(calls::CallEvent::Arrived(arrival));
    let refused = matches!(
        &*effects,
        [calls::CallEffect::Refuse(_, refusal)]
            if refusal.code == code::ResultCode::RequestQuarantined
    );
    assert!(refused, "refused by the ingress node: {effects:?}");
    node.advance(Duration::from_mins(6));
    assert_eq!(offer(&mut node, 13, 1), None, "the quarantine has expired");
}

#[test]
fn peers_told() {
    let mut node = reducer();
    let peer = node::identity("node-2", "sibiu-a", "ro-centru");
    node.receive_record(&peer, 1, Vec::new());
    let crashed = quarantine::QuarantineEvent::Crashed(crash(1, "first"));
    let effects = node.reduce(event::Event::Quarantine(crashed));
    let sent = effects.into_iter().find_map(|effect| match effect {
        event::Effect::Send {
            to,
            message: message::PeerMessage::Quarantine(message),
        } if to == peer.address => Some(message),
        _ => None,
    });
    let sent = sent.expect("the crash is sent to the other node");
    let mut other = reducer();
    let from = node::identity("node-1", "brasov-a", "ro-centru");
    for crashed in [
        sent.clone(),
        wire_quarantine::QuarantineMessage {
            crashes: vec![crash(1, "third")],
        },
    ] {
        let message = message::PeerMessage::Quarantine(crashed);
        other.reduce(event::Event::Received {
            from: from.clone(),
            message,
        });
    }
    let refusal = offer(&mut other, 20, 1).expect("crashes of all nodes count");
    assert_eq!(refusal.code, code::ResultCode::RequestQuarantined);
}

/// The owner node of a crashed target sent a message to every other node, for each request that was
/// in flight, and opened a link to each.
#[test]
fn crash_told_to_everybody() {
    for per_centre in [20, 70] {
        let controls = [("control-1", "brasov-a"), ("control-2", "sibiu-a")];
        let tunables = settings::EngineTunables::default();
        let mut fleet = reducers::ReducerFleet::new(9, tunables, &controls);
        for centre in ["brasov-a", "sibiu-a", "cluj-a"] {
            fleet.add_nodes(centre, per_centre);
        }
        fleet.run(Duration::from_secs(7));
        fleet.clear_counts();
        fleet.counts_bytes = true;
        for request in 0..5 {
            let crashed = quarantine::QuarantineEvent::Crashed(crash(request, "first"));
            fleet.inject("sibiu-a-3", event::Event::Quarantine(crashed));
        }
        fleet.run(Duration::from_millis(600));
        let nodes = fleet.running_nodes();
        for name in &nodes {
            let process = &fleet.processes[name];
            let sent = process.sent.get(&message::TrafficCategory::Claims);
            let frames = sent.map_or(0, |(frames, _bytes)| *frames);
            let most = if name == "sibiu-a-3" { 5 * 32 + 30 } else { 30 };
            assert!(frames <= most, "{name} of {} sends {frames}", nodes.len());
            for request in 0..5 {
                let digest = RequestDigest([request; 16]);
                let standing = quarantine::standing(&process.state, Some(&digest));
                assert_eq!(
                    standing,
                    quarantine::CrashSuspicion::Suspect,
                    "{name} of {}: one crash",
                    nodes.len()
                );
            }
        }
    }
}
