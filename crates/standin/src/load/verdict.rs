//! Checks the outcomes that callers received against the run logs of the stand-ins.

use std::net::SocketAddr;

use http_body_util::Full;
use hyper::Request;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    answer, client,
    load::{call, settings},
    runs,
};

/// Highest number of faulty requests listed in a verdict.
const MAX_LISTED_FAULTS: usize = 20;

/// Run logs read from the stand-ins.
#[derive(Debug, Clone, Default)]
pub struct RunLogs {
    /// Runs of all stand-ins.
    pub runs: Vec<runs::RunRecord>,
    /// Stand-ins whose logs could not be read.
    pub unread: Vec<SocketAddr>,
}

#[derive(Debug, Deserialize)]
struct RunsDocument {
    runs: Vec<runs::RunRecord>,
}

/// Counts of faulty requests. A correct system causes none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LoadVerdict {
    /// Requests that ended without a complete response or a refusal.
    pub lost: u64,
    /// Requests that are not idempotent and ran more than once.
    pub doubled: u64,
    /// Requests of which a response was truncated.
    pub cut: u64,
    /// Requests that received a response to another request.
    pub crossed: u64,
    /// Requests that ran although the results of all sends state that they did not.
    pub wrongly_refused: u64,
    /// Requests that were answered although no log contains a run of them.
    pub answered_without_run: u64,
    /// Number of runs of this load in the logs.
    pub runs: u64,
    /// Stand-ins whose logs could not be read, so that the check is incomplete.
    pub unread_logs: Vec<SocketAddr>,
    /// Whether any log was read.
    pub is_proven: bool,
    /// The first faulty requests: kind, tag and result of the last send.
    pub named: Vec<String>,
}

impl LoadVerdict {
    /// Whether no request is faulty and all logs were read.
    pub fn is_clean(&self) -> bool {
        let faults = [
            self.lost,
            self.doubled,
            self.cut,
            self.crossed,
            self.wrongly_refused,
            self.answered_without_run,
        ];
        faults.iter().all(|count| *count == 0) && self.unread_logs.is_empty()
    }
}

/// Reads the run logs of stand-ins.
pub async fn read_logs(stand_ins: &[SocketAddr]) -> RunLogs {
    let mut logs = RunLogs::default();
    for address in stand_ins {
        match read_log(*address).await {
            Some(document) => logs.runs.extend(document.runs),
            None => logs.unread.push(*address),
        }
    }
    logs
}

async fn read_log(address: SocketAddr) -> Option<RunsDocument> {
    let request = Request::get(answer::RUNS_PATH).body(Full::default()).ok()?;
    let response = client::exchange(address, request).await.ok()?;
    serde_json::from_slice(response.body()).ok()
}

/// Compares the outcomes of the requests of a load with the run logs.
pub fn check(
    settings: &settings::LoadSettings,
    run_name: &str,
    records: &[call::CallRecord],
    logs: &RunLogs,
) -> LoadVerdict {
    let counts = count_runs(run_name, &logs.runs);
    let is_proven = settings.stand_ins.len() > logs.unread.len();
    let mut verdict = LoadVerdict {
        runs: counts.values().sum(),
        unread_logs: logs.unread.clone(),
        is_proven,
        ..LoadVerdict::default()
    };
    for record in records {
        let kind = &settings.mix.kinds()[record.kind];
        let runs = counts.get(&record.number).copied().unwrap_or(0);
        let faults = [
            (&mut verdict.lost, is_lost(&record.end)),
            (&mut verdict.doubled, runs > 1 && !kind.is_idempotent()),
            (&mut verdict.cut, record.truncated_responses > 0),
            (&mut verdict.crossed, record.is_crossed),
            (
                &mut verdict.wrongly_refused,
                record.is_never_run && runs > 0,
            ),
            (
                &mut verdict.answered_without_run,
                is_proven
                    && logs.unread.is_empty()
                    && record.end == call::SendResult::Answered
                    && runs == 0,
            ),
        ];
        let mut is_faulty = false;
        for (count, has_fault) in faults {
            *count += u64::from(has_fault);
            is_faulty |= has_fault;
        }
        if is_faulty && verdict.named.len() < MAX_LISTED_FAULTS {
            let tag = call::call_tag(run_name, record.number);
            verdict
                .named
                .push(format!("{} {tag} {:?}", kind.name, record.end));
        }
    }
    verdict
}

fn is_lost(end: &call::SendResult) -> bool {
    matches!(
        end,
        call::SendResult::Broken | call::SendResult::NotConnected | call::SendResult::Cut
    )
}

fn count_runs(run_name: &str, runs: &[runs::RunRecord]) -> IndexMap<u64, u64> {
    let prefix = format!("call={run_name}-");
    let mut counts = IndexMap::new();
    for run in runs {
        let number = run
            .path
            .split_once(&prefix)
            .and_then(|(_, rest)| rest.split_once('.'))
            .and_then(|(number, _)| number.parse().ok());
        if let Some(number) = number {
            *counts.entry(number).or_insert(0) += 1;
        }
    }
    counts
}
