//! Tests of how fast pending records leave a node.

use std::time::Duration;

use hazeltiller_engine::event;
use hazeltiller_testkit::node;
use hazeltiller_wire::{membership as wire, message};
use serde_json::json;

/// Records in the rumours among some effects, and the largest rumour.
fn sent_records(effects: &[event::Effect], to: std::net::SocketAddr) -> usize {
    let records = effects.iter().map(|effect| match effect {
        event::Effect::Send {
            to: receiver,
            message: message::PeerMessage::Membership(wire::MembershipMessage::Rumour(rumour)),
        } if *receiver == to => rumour.records.len(),
        _ => 0,
    });
    records.sum()
}

/// After a loss of all power every record of the fleet is pending on every node. Ten of them left
/// with each tick, so the time until all were sent grew with the fleet.
#[test]
fn queue_drained() {
    let mut ticks_needed = Vec::new();
    for members in [80, 800] {
        let entries = json!([
            {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
            {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        ]);
        let mut node = node::NodeReducer::new("node-own", "brasov-a", &entries);
        for index in 0..members {
            let identity = node::identity(&format!("node-{index}"), "brasov-a", "ro-centru");
            node.receive_record(&identity, 1, Vec::new());
        }
        let (mut ticks, mut sent) = (0, 0);
        while sent < members {
            node.now = node.now + Duration::from_millis(20);
            let effects = node.reduce(event::Event::Tick);
            let partner = node.state.membership.partner_addresses().next();
            sent += sent_records(&effects, partner.expect("the node has partners"));
            ticks += 1;
            assert!(ticks < 100, "{sent} of {members} records are sent");
        }
        ticks_needed.push(ticks);
    }
    // Ten with each tick take 80 ticks.
    assert!(
        ticks_needed[1] <= 40,
        "ticks until 80 and 800 records are sent: {ticks_needed:?}"
    );
}
