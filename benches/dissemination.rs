//! Comparison of dissemination topologies for the catalogue: convergence time and control traffic.
//!
//! Run with `cargo bench --bench dissemination`; prints one JSON line per result. Words after `--`
//! select parts: `ways`, `faults`, `knob`, `slope`, `codec`, `memory`, `live`. The first four run
//! reducers on a simulated network in virtual time, with latencies of 0.2 ms within a data centre
//! and 1.5 ms between two, and count the bytes of encoded frames. `live` runs control and node
//! instances over loopback.

#[path = "dissemination/codec.rs"]
mod codec;
#[path = "dissemination/live.rs"]
mod live;
#[path = "dissemination/virtual_fleet.rs"]
mod virtual_fleet;

use serde_json::json;

/// Numbers of nodes.
const NODE_COUNTS: [usize; 4] = [10, 50, 100, 200];
/// Topologies, with the number of heads per data centre and the fan-out that configure them.
const TOPOLOGIES: [(&str, u64, u64); 7] = [
    ("star", 4096, 0),
    ("relay-2", 2, 2),
    ("relay-4", 4, 4),
    ("relay-8", 8, 8),
    ("relay-16", 16, 16),
    ("heads-2-relay-4", 2, 4),
    ("gossip", 0, 0),
];

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if !arguments.iter().any(|argument| argument == "--bench") {
        return;
    }
    let selected_parts: Vec<&String> = arguments
        .iter()
        .filter(|word| !word.starts_with('-'))
        .collect();
    let is_selected =
        |part: &str| selected_parts.is_empty() || selected_parts.iter().any(|word| *word == part);
    if is_selected("memory") {
        // Must run first, and is most accurate alone: reuse of memory freed by other parts would
        // distort the result.
        virtual_fleet::measure_record_memory();
    }
    if is_selected("codec") {
        codec::measure();
    }
    if is_selected("ways") {
        for (topology, heads, fan_out) in TOPOLOGIES {
            for nodes in NODE_COUNTS {
                virtual_fleet::measure_topology(
                    topology,
                    virtual_fleet::tunables(heads, fan_out),
                    nodes,
                );
            }
        }
    }
    if is_selected("faults") {
        for (topology, heads, fan_out) in TOPOLOGIES {
            virtual_fleet::measure_faults(topology, virtual_fleet::tunables(heads, fan_out), 200);
        }
    }
    if is_selected("knob") {
        for fan_out in [2, 4, 8, 16] {
            for keepalive_ms in [250, 500, 1000, 2000, 4000] {
                virtual_fleet::measure_keepalive(fan_out, keepalive_ms);
            }
        }
    }
    if is_selected("slope") {
        for nodes in [100, 200, 400, 700, 1400] {
            virtual_fleet::measure_scaling(nodes);
        }
    }
    if is_selected("live") {
        for nodes in [10, 50, 100, 200] {
            live::measure(nodes);
        }
    }
}

/// Prints one result.
fn print(what: &str, result: serde_json::Value) {
    let mut line = json!({"bench": "dissemination", "what": what});
    let fields = line.as_object_mut().expect("it is a JSON object");
    fields.extend(result.as_object().expect("results are objects").clone());
    println!("{line}");
}

/// Returns the smallest value that is at least as large as a share of the values; NaN if there are
/// none.
fn percentile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted
        .get(index.saturating_sub(1))
        .copied()
        .unwrap_or(f64::NAN)
}
