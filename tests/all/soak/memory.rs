//! Memory of the processes of the soak.

use super::{CONTROLS, NODES, SoakRun};

/// What a node may take by the design for 1,400 machines, in kilobytes: 64 MB. The load of the soak
/// adds next to nothing to that.
const MAX_NODE_KB: u64 = 62_500;
/// Memory of the smallest machine that nodes and controls run on, in kilobytes: 160 MB, above which
/// a process is killed. The design's bound leaves out changes of megabytes, which only controls hold
/// as text.
const MAX_CONTROL_KB: u64 = 156_250;
/// Rise of a peak that is printed, to tell what caused it.
const REPORTED_RISE_KB: u64 = 5000;

impl SoakRun {
    /// Checks the peaks of the processes that run now.
    pub(super) fn check_memory(&mut self, seed: u64) {
        let nodes = NODES.map(|name| (name, MAX_NODE_KB));
        for (name, max_kb) in CONTROLS
            .map(|name| (name, MAX_CONTROL_KB))
            .iter()
            .chain(&nodes)
        {
            let Some(peak_kb) = self.fleet.process_id(name).and_then(peak_kb) else {
                continue;
            };
            let peak = self.memory_peaks.entry((*name).into()).or_default();
            if peak_kb > *peak + REPORTED_RISE_KB {
                println!("{name} took {peak_kb} kB");
            }
            *peak = peak_kb.max(*peak);
            assert!(peak_kb <= *max_kb, "seed {seed}: {name} took {peak_kb} kB");
        }
    }
}

/// Returns the peak of the resident memory of a process, in kilobytes.
fn peak_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
