//! Tests of the return of a whole fleet: all processes start at the same moment and know nobody.

use std::time::Duration;

use hazeltiller_engine::settings;
use hazeltiller_testkit::reducers;

const CENTRES: [&str; 3] = ["brasov-a", "sibiu-a", "cluj-a"];
const CONTROLS: [(&str, &str); 3] = [
    ("control-1", "brasov-a"),
    ("control-2", "sibiu-a"),
    ("control-3", "cluj-a"),
];

/// Returns the time in milliseconds until 99 of 100 nodes know 99 of 100 members, and the gossip
/// messages that a node has sent by then on average.
fn return_of(nodes: usize) -> (u128, f64) {
    let tunables = settings::EngineTunables::default();
    let mut fleet = reducers::ReducerFleet::new(21, tunables, &CONTROLS);
    for centre in CENTRES {
        fleet.add_nodes(centre, nodes / CENTRES.len());
    }
    fleet.counts_bytes = true;
    let members = fleet.processes.len();
    let is_back = |fleet: &reducers::ReducerFleet| {
        let knowing = fleet
            .processes
            .values()
            .filter(|process| process.state.membership.present().count() * 100 >= members * 99);
        knowing.count() * 100 >= members * 99
    };
    let is_done = fleet.run_until(Duration::from_secs(20), is_back);
    assert!(is_done, "{nodes} nodes do not find each other");
    let sent = fleet
        .processes
        .values()
        .flat_map(|process| process.sent.values());
    let frames: u64 = sent.map(|(frames, _bytes)| *frames).sum();
    (fleet.now().as_millis(), frames as f64 / members as f64)
}

#[test]
fn slow_return() {
    for nodes in [99, 300, 999] {
        println!("{nodes}: {:?}", return_of(nodes));
    }
}
