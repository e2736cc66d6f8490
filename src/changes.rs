//! Sends a change and waits until it is in force on all nodes.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use hazeltiller_catalogue::change;
use hazeltiller_units::{code, ids};
use hyper::{Method, StatusCode};
use serde::Deserialize;

use crate::session;

/// Time between two polls of the convergence of a change.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Timeout of the wait for convergence. A change stays accepted when it expires.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Options of the commands that send a change.
#[derive(Debug, Clone, Bpaf)]
pub struct ChangeOptions {
    /// Catalogue version that the change is based on; default: the current one
    #[bpaf(argument("VERSION"))]
    expects: Option<ids::CatalogueVersion>,
    /// Id by which a resend of the change is recognised; default: a new one, which is printed
    #[bpaf(argument("ID"))]
    change_id: Option<ids::ChangeId>,
    /// Wait until the change is in force on all nodes, and print the progress
    wait: bool,
}

impl ChangeOptions {
    /// Returns the id given on the command line, or a new one.
    pub fn change_id(&self) -> ids::ChangeId {
        self.change_id.clone().unwrap_or_else(new_change_id)
    }
}

#[derive(Debug, Deserialize)]
struct VersionDocument {
    version: ids::CatalogueVersion,
}

/// Response to a change that is refused.
#[derive(Debug, Deserialize)]
struct RefusalDocument {
    code: code::ResultCode,
    message: String,
    #[serde(default)]
    version: ids::CatalogueVersion,
    #[serde(default)]
    faults: Vec<change::CatalogueFault>,
}

/// Convergence of a catalogue version.
#[derive(Debug, Deserialize)]
pub struct ConvergenceDocument {
    /// The catalogue version.
    pub version: ids::CatalogueVersion,
    /// Time at which the version was accepted, in milliseconds since 1970.
    pub accepted_at_ms: Option<u64>,
    /// Number of known nodes.
    pub nodes_known: u64,
    /// Number of nodes on which this version or a later one is in force.
    pub nodes_in_force: u64,
    /// Time from which the version was in force on all nodes, in milliseconds since 1970. Absent
    /// until then.
    pub in_force_everywhere_at_ms: Option<u64>,
    /// Nodes on which the version is not in force yet, with their name and reachability.
    #[serde(default)]
    pub behind: Vec<serde_json::Value>,
}

/// Builds a change request from the options, sends it and prints the response.
pub async fn send_change(
    session: &session::SessionOptions,
    options: &ChangeOptions,
    set: change::ChangeSet,
) -> Result<(), session::CommandError> {
    let expects = match options.expects {
        Some(version) => version,
        None => current_version(session).await?,
    };
    let change_id = options.change_id();
    let request = change::ChangeRequest {
        rollout: None,
        change_id,
        expects,
        put: set.put,
        remove: set.remove,
        replace: None,
    };
    send_request(session, options, request).await
}

/// Reads the current revision. Its label is 0 if there is none.
pub async fn fetch_revision(
    session: &session::SessionOptions,
) -> Result<change::CatalogueRevision, session::CommandError> {
    let document = session.fetch("/v1/revision").await?;
    serde_json::from_value(document).map_err(|error| session::invalid_response(&error))
}

/// Sends a change request and prints the response.
pub async fn send_request(
    session: &session::SessionOptions,
    options: &ChangeOptions,
    request: change::ChangeRequest,
) -> Result<(), session::CommandError> {
    let body = serde_json::to_vec(&request).expect("entries have only text keys");
    let response = session.send(Method::POST, "/v1/changes", body).await;
    let response = response.map_err(|error| add_resend_advice(error, &request.change_id))?;
    if response.status() != StatusCode::OK {
        return Err(refusal(
            response.status(),
            response.body(),
            &request.change_id,
        ));
    }
    let receipt: change::ChangeReceipt = session::parse_response(response.body())?;
    match session.output {
        session::OutputFormat::Json => println!("{}", String::from_utf8_lossy(response.body())),
        session::OutputFormat::Text => {
            println!(
                "accepted: version {} (change id {})",
                receipt.version, receipt.change_id
            );
        }
    }
    if options.wait {
        return wait_for_convergence(session, receipt.version).await;
    }
    if session.output == session::OutputFormat::Text {
        println!(
            "to follow its convergence, run: hazeltiller convergence {}",
            receipt.version
        );
    }
    Ok(())
}

/// Reads the convergence of a version.
pub async fn fetch_convergence(
    session: &session::SessionOptions,
    version: ids::CatalogueVersion,
) -> Result<ConvergenceDocument, session::CommandError> {
    let document = session.fetch(&format!("/v1/convergence/{version}")).await?;
    serde_json::from_value(document).map_err(|error| session::invalid_response(&error))
}

async fn wait_for_convergence(
    session: &session::SessionOptions,
    version: ids::CatalogueVersion,
) -> Result<(), session::CommandError> {
    let started = Instant::now();
    let mut printed = None;
    while started.elapsed() < CONVERGENCE_TIMEOUT {
        let document = fetch_convergence(session, version).await?;
        let progress = (document.nodes_in_force, document.nodes_known);
        if printed != Some(progress) {
            eprintln!("in force on {} of {} nodes", progress.0, progress.1);
            printed = Some(progress);
        }
        if let Some(at) = document.in_force_everywhere_at_ms {
            let took = document
                .accepted_at_ms
                .map_or(0, |accepted| at.saturating_sub(accepted));
            eprintln!("in force everywhere {took} ms after it was accepted");
            return Ok(());
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    Err(session::CommandError {
        code: code::ResultCode::NotConverged,
        message: format!("version {version} is accepted, but not in force on all nodes after 60 s"),
        advice: "run `hazeltiller convergence` to list the nodes that are behind".into(),
        exit: session::EXIT_REFUSED,
    })
}

async fn current_version(
    session: &session::SessionOptions,
) -> Result<ids::CatalogueVersion, session::CommandError> {
    let response = session
        .send(Method::GET, "/v1/catalogue", Vec::new())
        .await?;
    if response.status() != StatusCode::OK {
        return Err(session::refusal(response.body()));
    }
    let document: VersionDocument = session::parse_response(response.body())?;
    Ok(document.version)
}

fn new_change_id() -> ids::ChangeId {
    let number: u128 = rand::random();
    format!("change-{number:032x}")
        .parse()
        .expect("the generated id has only letters, digits and a dash")
}

fn add_resend_advice(
    mut error: session::CommandError,
    change_id: &ids::ChangeId,
) -> session::CommandError {
    if error.exit == session::EXIT_UNKNOWN {
        error.advice =
            format!("the change may have been accepted: resend it with --change-id {change_id}");
    }
    error
}

fn refusal(status: StatusCode, body: &[u8], change_id: &ids::ChangeId) -> session::CommandError {
    let document: RefusalDocument = match session::parse_response(body) {
        Ok(document) => document,
        Err(error) => return add_resend_advice(error, change_id),
    };
    let mut message = document.message;
    for fault in document.faults {
        let entry = fault
            .entry
            .map_or_else(String::new, |key| format!("{key}: "));
        let field = if fault.field.is_empty() {
            String::new()
        } else {
            fault.field + ": "
        };
        message.push_str(&format!(
            "\n  {}: {entry}{field}{}",
            fault.code, fault.message
        ));
    }
    let exit = match status {
        StatusCode::UNPROCESSABLE_ENTITY | StatusCode::BAD_REQUEST => session::EXIT_INVALID,
        StatusCode::GATEWAY_TIMEOUT => session::EXIT_UNKNOWN,
        _ => session::EXIT_REFUSED,
    };
    let advice = match document.code {
        code::ResultCode::VersionConflict => format!("the current version is {}", document.version),
        _ => String::new(),
    };
    add_resend_advice(
        session::CommandError {
            code: document.code,
            message,
            advice,
            exit,
        },
        change_id,
    )
}
