//! Sending one change, and waiting until it is in force everywhere.

use std::time::{Duration, Instant};

use bpaf::Bpaf;
use hazeltiller_catalogue::change;
use hazeltiller_units::{code, ids};
use hyper::{Method, StatusCode};
use serde::Deserialize;

use crate::session;

/// Time between two looks at how far a change has come.
const WAIT_PERIOD: Duration = Duration::from_millis(100);
/// Longest wait; the change stays accepted all the same.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// How a change is sent.
#[derive(Debug, Clone, Bpaf)]
pub struct ChangeOptions {
    /// Version that the change was decided on; absent: the one read just before
    #[bpaf(argument("VERSION"))]
    expects: Option<ids::CatalogueVersion>,
    /// Id that makes a resend known for one; absent: a new one is made and printed
    #[bpaf(argument("ID"))]
    change_id: Option<ids::ChangeId>,
    /// Wait until the change is in force everywhere, printing how far it has come
    wait: bool,
}

impl ChangeOptions {
    /// The id that was given, or a new one.
    pub fn change_id(&self) -> ids::ChangeId {
        self.change_id.clone().unwrap_or_else(new_change_id)
    }
}

#[derive(Debug, Deserialize)]
struct VersionDocument {
    version: ids::CatalogueVersion,
}

/// What a refused change is answered with.
#[derive(Debug, Deserialize)]
struct RefusalDocument {
    code: code::ResultCode,
    message: String,
    #[serde(default)]
    version: ids::CatalogueVersion,
    #[serde(default)]
    faults: Vec<change::CatalogueFault>,
}

/// How far a version has come.
#[derive(Debug, Deserialize)]
pub struct ConvergenceDocument {
    /// The version.
    pub version: ids::CatalogueVersion,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_at_ms: Option<u64>,
    /// Nodes that are known.
    pub nodes_known: u64,
    /// Nodes that have it, or a later one, in force.
    pub nodes_in_force: u64,
    /// When the last one had it, in milliseconds since 1970; absent while one has not.
    pub in_force_everywhere_at_ms: Option<u64>,
    /// Names of those that have not, with what is known of them.
    #[serde(default)]
    pub behind: Vec<serde_json::Value>,
}

/// Sends a change as the options say and prints the answer.
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

/// Reads the revision in place; of label 0 where there is none.
pub async fn revision(
    session: &session::SessionOptions,
) -> Result<change::CatalogueRevision, session::CommandError> {
    let document = session.fetch("/v1/revision").await?;
    serde_json::from_value(document).map_err(|error| session::unreadable(&error))
}

/// Sends a change request and prints the answer.
pub async fn send_request(
    session: &session::SessionOptions,
    options: &ChangeOptions,
    request: change::ChangeRequest,
) -> Result<(), session::CommandError> {
    let body = serde_json::to_vec(&request).expect("entries have only text keys");
    let response = session.send(Method::POST, "/v1/changes", body).await;
    let response = response.map_err(|error| with_change_id(error, &request.change_id))?;
    if response.status() != StatusCode::OK {
        return Err(refusal(
            response.status(),
            response.body(),
            &request.change_id,
        ));
    }
    let receipt: change::ChangeReceipt = session::read_answer(response.body())?;
    match session.output {
        session::OutputForm::Json => println!("{}", String::from_utf8_lossy(response.body())),
        session::OutputForm::Text => {
            println!(
                "accepted: version {} (change id {})",
                receipt.version, receipt.change_id
            );
        }
    }
    if options.wait {
        return wait_in_force(session, receipt.version).await;
    }
    if session.output == session::OutputForm::Text {
        println!(
            "see how far it has come: hazeltiller convergence {}",
            receipt.version
        );
    }
    Ok(())
}

/// Reads how far a version has come.
pub async fn convergence(
    session: &session::SessionOptions,
    version: ids::CatalogueVersion,
) -> Result<ConvergenceDocument, session::CommandError> {
    let document = session.fetch(&format!("/v1/convergence/{version}")).await?;
    serde_json::from_value(document).map_err(|error| session::unreadable(&error))
}

async fn wait_in_force(
    session: &session::SessionOptions,
    version: ids::CatalogueVersion,
) -> Result<(), session::CommandError> {
    let started = Instant::now();
    let mut shown = None;
    while started.elapsed() < LONGEST_WAIT {
        let document = convergence(session, version).await?;
        let progress = (document.nodes_in_force, document.nodes_known);
        if shown != Some(progress) {
            eprintln!("in force on {} of {} nodes", progress.0, progress.1);
            shown = Some(progress);
        }
        if let Some(at) = document.in_force_everywhere_at_ms {
            let took = document
                .accepted_at_ms
                .map_or(0, |accepted| at.saturating_sub(accepted));
            eprintln!("in force everywhere {took} ms after it was accepted");
            return Ok(());
        }
        tokio::time::sleep(WAIT_PERIOD).await;
    }
    Err(session::CommandError {
        code: code::ResultCode::NotConverged,
        message: format!("version {version} is accepted, but nodes are behind after 60 s"),
        advice: "hazeltiller convergence names the nodes that are behind".into(),
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
    let document: VersionDocument = session::read_answer(response.body())?;
    Ok(document.version)
}

fn new_change_id() -> ids::ChangeId {
    let number: u128 = rand::random();
    format!("change-{number:032x}")
        .parse()
        .expect("letters, digits and a dash make a name")
}

fn with_change_id(
    mut error: session::CommandError,
    change_id: &ids::ChangeId,
) -> session::CommandError {
    if error.exit == session::EXIT_UNKNOWN {
        error.advice = format!("it may have been accepted: resend it with --change-id {change_id}");
    }
    error
}

fn refusal(status: StatusCode, body: &[u8], change_id: &ids::ChangeId) -> session::CommandError {
    let document: RefusalDocument = match session::read_answer(body) {
        Ok(document) => document,
        Err(error) => return with_change_id(error, change_id),
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
    with_change_id(
        session::CommandError {
            code: document.code,
            message,
            advice,
            exit,
        },
        change_id,
    )
}
