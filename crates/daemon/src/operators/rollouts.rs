//! Roll-outs as operators read them: the entry, and at the leader the evidence.

use std::net::SocketAddr;

use hazeltiller_catalogue::rollout;
use hazeltiller_engine::{reducer, rollout::evidence};
use hazeltiller_units::{code, ids};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::{http, process};

/// Runs of one version.
#[derive(Debug, Serialize)]
struct VersionDocument {
    version: Option<ids::SoftwareVersion>,
    answered: u64,
    failed: u64,
}

/// A service's latest roll-out.
#[derive(Debug, Serialize)]
struct RolloutDocument {
    service: ids::EntryName,
    #[serde(flatten)]
    entry: rollout::RolloutEntry,
    /// Time since the order, where this process saw it.
    elapsed_ms: Option<u64>,
    /// Runs by version since the order, as the leader knows them; empty elsewhere.
    versions: Vec<VersionDocument>,
    /// Operators address of the leader, where that is another control.
    leader: Option<SocketAddr>,
}

/// Every service's latest roll-out.
#[derive(Debug, Serialize)]
struct RolloutList {
    rollouts: Vec<RolloutDocument>,
}

fn document(state: &reducer::EngineState, entry: &rollout::RolloutEntry) -> RolloutDocument {
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

/// Lists the roll-outs.
pub(super) async fn list(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let list = context.engine.inspect(|state| {
        let entries = state.dissemination.in_force.rollouts();
        let rollouts = entries.map(|entry| document(state, entry)).collect();
        RolloutList { rollouts }
    });
    match list.await {
        Some(list) => http::json_response(StatusCode::OK, &list),
        None => super::fleet::stopping(),
    }
}

/// Gives the latest roll-out of a service.
pub(super) async fn one(
    context: &process::ProcessContext,
    service: &str,
) -> Response<http::StreamBody> {
    let name = service.parse::<ids::EntryName>().ok();
    let found = context.engine.inspect(move |state| {
        let entry = state.dissemination.in_force.rollout(&name?)?;
        Some(document(state, entry))
    });
    match found.await {
        Some(Some(document)) => http::json_response(StatusCode::OK, &document),
        Some(None) => {
            let code = code::ResultCode::RolloutNotFound;
            let message = format!("{service}: {}", code.meaning());
            super::refusal(StatusCode::NOT_FOUND, code, message)
        }
        None => super::fleet::stopping(),
    }
}
