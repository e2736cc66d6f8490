//! The status of the process.

use hazeltiller_engine::replication;
use hazeltiller_units::{code, ids};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::fleet;
use crate::{http, process};

/// The status of a process.
#[derive(Debug, Serialize)]
struct StatusDocument {
    instance: ids::InstanceName,
    data_centre: ids::DataCentreName,
    catalogue_version: ids::CatalogueVersion,
    digest: ids::StateDigest,
    #[serde(flatten)]
    fleet: fleet::FleetStatus,
    is_proven_current: Option<bool>,
    control: Option<replication::GroupView>,
}

/// Returns the status.
pub(super) async fn get(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let bytes = context.bytes.summary();
    let document = context
        .engine
        .inspect(move |state| StatusDocument {
            instance: state.settings.identity.instance.clone(),
            data_centre: state.settings.identity.data_centre.clone(),
            catalogue_version: state.dissemination.in_force.version,
            digest: state.dissemination.in_force.digest,
            fleet: fleet::FleetStatus::of(state, bytes),
            is_proven_current: state
                .replication
                .is_some()
                .then(|| replication::is_proven_current(state)),
            control: replication::GroupView::of(state),
        })
        .await;
    match document {
        Some(document) => http::json_response(StatusCode::OK, &document),
        None => {
            let message = code::ResultCode::NodeStopping.meaning().into();
            super::not_run_response(
                StatusCode::SERVICE_UNAVAILABLE,
                code::ResultCode::NodeStopping,
                message,
            )
        }
    }
}
