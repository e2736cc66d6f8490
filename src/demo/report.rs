//! Compares the outcomes that the callers received with the runs that the targets logged.

use std::fmt;

use hazeltiller_standin::target;
use hyper::Method;
use indexmap::IndexMap;
use serde::Serialize;

use super::traffic;

/// Counts of the requests and the control traffic of a demo.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct DemoReport {
    /// Requests made by callers.
    pub sent: usize,
    /// Requests answered by a target.
    pub answered: usize,
    /// Number of resends.
    pub resends: usize,
    /// Requests whose last send was refused as not run, and that indeed did not run.
    pub refused: usize,
    /// Requests whose last send ended with an unknown outcome.
    pub told_unknown: usize,
    /// Requests that got no response, that ran although they were refused as not run, or that were
    /// answered although no target ran them.
    pub lost: usize,
    /// Certificates issued more than once.
    pub doubled: usize,
    /// Time from sending the change of the route until it was in force on all nodes, in
    /// milliseconds.
    pub convergence_ms: u64,
    /// Bytes of control traffic sent by all processes.
    pub control_bytes: u64,
}

impl DemoReport {
    /// Compares the requests with the targets' run logs.
    pub fn count(requests: &[traffic::CallerRequest], targets: &[target::StandInTarget]) -> Self {
        let mut runs: IndexMap<String, usize> = IndexMap::new();
        for run in targets.iter().flat_map(target::StandInTarget::runs) {
            *runs.entry(run.path).or_default() += 1;
        }
        let mut report = Self {
            sent: requests.len(),
            ..Self::default()
        };
        for request in requests {
            let runs = runs.get(&request.path).copied().unwrap_or(0);
            report.resends += request.sends - 1;
            report.doubled += usize::from(request.method == Method::POST && runs > 1);
            match request.end {
                traffic::RequestOutcome::Answered if runs > 0 => report.answered += 1,
                traffic::RequestOutcome::Refused if runs == 0 => report.refused += 1,
                traffic::RequestOutcome::Unknown => report.told_unknown += 1,
                _ => report.lost += 1,
            }
        }
        report
    }

    /// Whether requests were sent and none was lost or ran twice.
    pub fn is_clean(&self) -> bool {
        self.sent > 0 && self.lost == 0 && self.doubled == 0
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("requests sent", self.sent as u64, ""),
            ("  answered", self.answered as u64, ""),
            ("  refused", self.refused as u64, "(and not run)"),
            (
                "  outcome unknown",
                self.told_unknown as u64,
                "(none ran twice)",
            ),
            ("  lost", self.lost as u64, ""),
            ("  ran twice", self.doubled as u64, ""),
            ("  resends", self.resends as u64, ""),
            (
                "convergence, ms",
                self.convergence_ms,
                "(one route, four nodes)",
            ),
            (
                "control bytes",
                self.control_bytes,
                "(all processes, whole run)",
            ),
        ];
        for (name, count, note) in rows {
            writeln!(f, "{}", format!("{name:17}{count:>9}  {note}").trim_end())?;
        }
        Ok(())
    }
}
