//! Reads of rollouts: their entries, and on the leader the evidence that decides about them.

use std::net::SocketAddr;

use hazeltiller_catalogue::rollout;
use hazeltiller_engine::{reducer, rollout::evidence};
use hazeltiller_units::{code, ids};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::{http, process};

/// Counts of calls that one version of a service has answered.
#[derive(Debug, Serialize)]
struct VersionDocument {
    version: Option<ids::SoftwareVersion>,
    answered: u64,
    failed: u64,
}

/// The latest rollout of a service.
#[derive(Debug, Serialize)]
struct RolloutDocument {
    service: ids::EntryName,
    #[serde(flatten)]
    entry: rollout::RolloutEntry,
    /// Time since the rollout was started, if this process observed the start.
    elapsed_ms: Option<u64>,
    /// Counts by version since the start, as known to the leader; empty on other processes.
    versions: Vec<VersionDocument>,
    /// Operators address of the leader if it is another control.
    leader: Option<SocketAddr>,
}

/// The latest rollouts of all services.
#[derive(Debug, Serialize)]
struct RolloutList {
    rollouts: Vec<RolloutDocument>,
}

fn rollout_document(
    state: &reducer::EngineState,
    entry: &rollout::RolloutEntry,
) -> RolloutDocument {
    let evidence = state.rollout.evidence.get(&entry.name);
    let counts = evidence.map(evidence::RolloutEvidence::by_version);
    let versions = counts.into_iter().flatten();
    let leader = state.replication.as_ref();
    let leader = leader.and_then(|replication| replication.live_leader(state));
    let leader = leader.and_then(|leader| state.membership.member_at(leader)?.operators);
    RolloutDocument {
        service: entry.name.clone(),
        elapsed_ms: state.rollout.elapsed_ms(&entry.name, state.now),
        entry: entry.clone(),
        versions: versions
            .map(|(version, counts)| VersionDocument {
                version,
                answered: counts.answered,
                failed: counts.failed,
            })
            .collect(),
        leader,
    }
}

/// Lists the rollouts in the catalogue in force.
pub(super) async fn list(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let list = context.engine.inspect(|state| {
        let entries = state.dissemination.in_force.rollouts();
        let rollouts = entries
            .map(|entry| rollout_document(state, entry))
            .collect();
        RolloutList { rollouts }
    });
    match list.await {
        Some(list) => http::json_response(StatusCode::OK, &list),
        None => super::fleet::stopping_response(),
    }
}

/// Returns the latest rollout of a service.
pub(super) async fn get(
    context: &process::ProcessContext,
    service: &str,
) -> Response<http::StreamBody> {
    let name = service.parse::<ids::EntryName>().ok();
    let document = context.engine.inspect(move |state| {
        let entry = state.dissemination.in_force.rollout(&name?)?;
        Some(rollout_document(state, entry))
    });
    match document.await {
        Some(Some(document)) => http::json_response(StatusCode::OK, &document),
        Some(None) => {
            let code = code::ResultCode::RolloutNotFound;
            let message = format!("{service}: {}", code.meaning());
            super::not_run_response(StatusCode::NOT_FOUND, code, message)
        }
        None => super::fleet::stopping_response(),
    }
}
