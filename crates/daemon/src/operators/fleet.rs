//! Reads of members, targets and the convergence of versions.

use hazeltiller_engine::{
    dissemination::{self, convergence},
    membership::reach,
    reducer,
};
use hazeltiller_units::{code, ids, measure};
use hazeltiller_wire::membership as wire;
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::{byte_counts, http, process};

/// A member of the fleet.
#[derive(Debug, Serialize)]
struct MemberDocument {
    instance: ids::InstanceName,
    data_centre: ids::DataCentreName,
    is_control: bool,
    reachability: &'static str,
    incarnation: ids::IncarnationNumber,
}

/// Status of the fleet, as part of the status of the process.
#[derive(Debug, Serialize)]
pub(super) struct FleetStatus {
    members: usize,
    suspected: usize,
    unreachable: usize,
    /// Whether a version is in force, or it has been proven that none exists yet.
    ready: bool,
    /// Why no version is in force yet.
    waiting: Option<String>,
    /// Parent in the relay tree; null on a control and while there is none.
    parent: Option<std::net::SocketAddr>,
    /// Hops to a control in the relay tree; 0 while there is no path.
    depth: usize,
    /// Number of children in the relay tree.
    children: usize,
    bytes: byte_counts::ByteSummary,
    others: Vec<MemberDocument>,
}

impl FleetStatus {
    /// Reads the status from the state of the reducer.
    pub(super) fn of(state: &reducer::EngineState, bytes: byte_counts::ByteSummary) -> Self {
        let others: Vec<MemberDocument> = state
            .membership
            .others()
            .map(|member| member_document(state, &member.record))
            .collect();
        let count = |reachability: reach::Reachability| {
            let label = reachability.as_str();
            others
                .iter()
                .filter(|member| member.reachability == label)
                .count()
        };
        let parent = &state.dissemination.parent;
        Self {
            members: state.membership.present().count(),
            suspected: count(reach::Reachability::Suspected),
            unreachable: count(reach::Reachability::Unreachable),
            ready: dissemination::is_ready(state),
            waiting: state.dissemination.floor.waiting_reason(state),
            parent: parent.address.filter(|_| parent.is_adopted),
            depth: dissemination::parent::path_from_control(state).len(),
            children: state.dissemination.children.len(),
            bytes,
            others,
        }
    }
}

fn member_document(state: &reducer::EngineState, record: &wire::MemberRecord) -> MemberDocument {
    let identity = &record.identity;
    MemberDocument {
        instance: identity.instance.clone(),
        data_centre: identity.data_centre.clone(),
        is_control: identity.is_control,
        reachability: state.membership.reachability(&identity.instance).as_str(),
        incarnation: identity.incarnation,
    }
}

/// A target as this process sees it.
#[derive(Debug, Serialize)]
struct TargetDocument {
    #[serde(flatten)]
    record: wire::TargetRecord,
    instance: ids::InstanceName,
    data_centre: ids::DataCentreName,
    reachability: &'static str,
    /// Rate limit that the target names in its responses, in requests per second, if this process
    /// knows of one.
    rate_limit: Option<measure::RequestRate>,
    /// Whether this process knows that the target said in a response that it leaves.
    leaving: bool,
}

/// All known targets.
#[derive(Debug, Serialize)]
struct TargetList {
    targets: Vec<TargetDocument>,
}

/// Lists the targets.
pub(super) async fn list_targets(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let list = context.engine.inspect(|state| {
        let documents = state.membership.present().flat_map(|member| {
            let identity = member.identity.clone();
            let reachability = state.membership.reachability(&identity.instance).as_str();
            member.targets.iter().map(move |target| TargetDocument {
                record: target.clone(),
                instance: identity.instance.clone(),
                data_centre: identity.data_centre.clone(),
                reachability,
                rate_limit: state.signals.rate_limit(&target.name),
                leaving: state.signals.is_leaving(&target.name, target.incarnation),
            })
        });
        let targets = documents.collect();
        TargetList { targets }
    });
    match list.await {
        Some(list) => http::json_response(StatusCode::OK, &list),
        None => stopping_response(),
    }
}

/// A node on which a version is not yet in force.
#[derive(Debug, Serialize)]
struct BehindDocument {
    instance: ids::InstanceName,
    data_centre: ids::DataCentreName,
    reachability: &'static str,
}

/// Convergence of a version.
#[derive(Debug, Serialize)]
struct ConvergenceDocument {
    version: ids::CatalogueVersion,
    accepted_at_ms: Option<u64>,
    nodes_known: usize,
    nodes_in_force: usize,
    in_force_everywhere_at_ms: Option<u64>,
    behind: Vec<BehindDocument>,
}

impl From<convergence::ConvergenceView> for ConvergenceDocument {
    fn from(view: convergence::ConvergenceView) -> Self {
        let behind = view.behind.into_iter().map(|node| BehindDocument {
            instance: node.instance,
            data_centre: node.data_centre,
            reachability: node.reachability.as_str(),
        });
        Self {
            version: view.version,
            accepted_at_ms: view.accepted_at_ms,
            nodes_known: view.nodes_known,
            nodes_in_force: view.nodes_in_force,
            in_force_everywhere_at_ms: view.in_force_everywhere_at_ms,
            behind: behind.collect(),
        }
    }
}

/// Returns on how many nodes a version is in force and which are behind. Served by controls only.
pub(super) async fn convergence(
    context: &process::ProcessContext,
    version: &str,
) -> Response<http::StreamBody> {
    let not_found_response = |message: String| {
        let code = code::ResultCode::EntryNotFound;
        super::not_run_response(StatusCode::NOT_FOUND, code, message)
    };
    if !context.credentials.identity.is_control {
        let code = code::ResultCode::NotControl;
        return super::not_run_response(
            StatusCode::SERVICE_UNAVAILABLE,
            code,
            code.meaning().into(),
        );
    }
    let Ok(number) = version.parse() else {
        return not_found_response(format!("{version} is not a version"));
    };
    let view = context
        .engine
        .inspect(move |state| convergence::view(state, number));
    match view.await {
        Some(Some(view)) => http::json_response(StatusCode::OK, &ConvergenceDocument::from(view)),
        Some(None) => not_found_response(format!("there is no version {version} here")),
        None => stopping_response(),
    }
}

/// Returns the response of a process that is shutting down.
pub(super) fn stopping_response() -> Response<http::StreamBody> {
    let code = code::ResultCode::NodeStopping;
    super::not_run_response(StatusCode::SERVICE_UNAVAILABLE, code, code.meaning().into())
}
