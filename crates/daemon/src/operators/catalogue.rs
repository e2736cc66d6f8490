//! Reads of the catalogue in force on this process.

use hazeltiller_catalogue::entry;
use hazeltiller_units::{code, ids};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::{http, process};

/// The whole catalogue.
#[derive(Debug, Serialize)]
struct CatalogueDocument {
    version: ids::CatalogueVersion,
    digest: ids::StateDigest,
    entries: Vec<entry::CatalogueEntry>,
}

/// Returns the whole catalogue.
pub(super) fn list(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let state = context.in_force.borrow().clone();
    let document = CatalogueDocument {
        version: state.version,
        digest: state.digest,
        entries: state.entries.values().cloned().collect(),
    };
    http::json_response(StatusCode::OK, &document)
}

/// Returns one entry.
pub(super) fn get(
    context: &process::ProcessContext,
    kind: &str,
    name: &str,
) -> Response<http::StreamBody> {
    let state = context.in_force.borrow().clone();
    let key = kind.parse().ok().zip(name.parse().ok());
    let entry = key.and_then(|(kind, name)| state.get(&entry::EntryKey { kind, name }).cloned());
    match entry {
        Some(entry) => http::json_response(StatusCode::OK, &entry),
        None => {
            let message = format!("there is no {kind} {name}");
            super::not_run_response(
                StatusCode::NOT_FOUND,
                code::ResultCode::EntryNotFound,
                message,
            )
        }
    }
}
