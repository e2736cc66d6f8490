//! `hazeltiller rollout`: starts, shows, watches and aborts rollouts of services.

use std::{process::ExitCode, time::Duration};

use bpaf::Bpaf;
use hazeltiller_catalogue::{change, rollout};
use hazeltiller_units::{code, ids};
use serde_json::Value;

use super::read;
use crate::{changes, session};

/// Columns printed for each rollout.
const ROLLOUT_COLUMNS: [&str; 5] = ["service", "to", "phase", "share_permille", "reason"];
/// Columns printed for each version of a rollout.
const VERSION_COLUMNS: [&str; 3] = ["version", "answered", "failed"];
/// Time between two polls of a rollout.
const WATCH_PERIOD: Duration = Duration::from_millis(300);

/// A duration such as `12s`, `1500ms` or `10m`, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DurationArgument(u32);

impl std::str::FromStr for DurationArgument {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED_FORMAT: &str =
            "expected a whole number with the unit ms, s or m, such as 12s";
        let digits = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
        let number: u32 = digits.parse().map_err(|_not_a_number| EXPECTED_FORMAT)?;
        let unit_ms = match &text[digits.len()..] {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            _ => return Err(EXPECTED_FORMAT),
        };
        number.checked_mul(unit_ms).map(Self).ok_or(EXPECTED_FORMAT)
    }
}

/// Roll a service out to another version, or show the progress of a roll-out
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum RolloutCommand {
    /// Move a service's calls to targets of another version, and roll back if that version is worse
    #[bpaf(command)]
    Start {
        #[bpaf(external(session::session_options))]
        session: session::SessionOptions,
        #[bpaf(external(changes::change_options))]
        options: changes::ChangeOptions,
        /// Version to roll out
        #[bpaf(argument("VERSION"))]
        to: ids::SoftwareVersion,
        /// Time within which the roll-out succeeds or is rolled back, such as 12s
        #[bpaf(argument("SPAN"))]
        within: DurationArgument,
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: ids::EntryName,
    },
    /// Print the latest roll-out of each service, or of one with the runs of both versions
    #[bpaf(command)]
    Show {
        #[bpaf(external(session::session_options))]
        session: session::SessionOptions,
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: Option<ids::EntryName>,
    },
    /// Print each phase of a roll-out until it ends; exit code 1 if it is rolled back
    #[bpaf(command)]
    Watch {
        #[bpaf(external(session::session_options))]
        session: session::SessionOptions,
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: ids::EntryName,
    },
    /// Roll a service back
    #[bpaf(command)]
    Abort {
        #[bpaf(external(session::session_options))]
        session: session::SessionOptions,
        #[bpaf(external(changes::change_options))]
        options: changes::ChangeOptions,
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: ids::EntryName,
    },
}

impl RolloutCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        session::finish(self.run().await)
    }

    async fn run(self) -> Result<(), session::CommandError> {
        match self {
            Self::Start {
                session,
                options,
                to,
                within: DurationArgument(within_ms),
                service,
            } => {
                let order = rollout::RolloutOrder {
                    service,
                    to,
                    within_ms,
                };
                send_rollout_request(&session, &options, rollout::RolloutRequest::Start(order))
                    .await
            }
            Self::Abort {
                session,
                options,
                service,
            } => {
                send_rollout_request(&session, &options, rollout::RolloutRequest::Abort(service))
                    .await
            }
            Self::Show {
                session,
                service: None,
            } => list(&session).await,
            Self::Show {
                session,
                service: Some(service),
            } => {
                let document = fetch(&session, &service).await?;
                print(&session, &document);
                Ok(())
            }
            Self::Watch { session, service } => watch(&session, &service).await,
        }
    }
}

async fn send_rollout_request(
    session: &session::SessionOptions,
    options: &changes::ChangeOptions,
    request: rollout::RolloutRequest,
) -> Result<(), session::CommandError> {
    let change = change::ChangeRequest::rollout(options.change_id(), request);
    changes::send_request(session, options, change).await
}

async fn list(session: &session::SessionOptions) -> Result<(), session::CommandError> {
    let document = session.fetch("/v1/rollouts").await?;
    if session.output == session::OutputFormat::Json {
        println!("{document}");
        return Ok(());
    }
    let rows = document["rollouts"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    for line in read::format_table(rows, &ROLLOUT_COLUMNS) {
        println!("{line}");
    }
    Ok(())
}

/// Reads the latest rollout of a service. The leader is asked if it is reachable, since it has the
/// counts of runs.
async fn fetch(
    session: &session::SessionOptions,
    service: &ids::EntryName,
) -> Result<Value, session::CommandError> {
    let path = format!("/v1/rollouts/{service}");
    let document = session.fetch(&path).await?;
    let leader = document["leader"]
        .as_str()
        .and_then(|text| text.parse().ok());
    let Some(leader) = leader else {
        return Ok(document);
    };
    let at_leader = session::SessionOptions {
        operators: vec![leader],
        ..session.clone()
    };
    Ok(at_leader.fetch(&path).await.unwrap_or(document))
}

fn print(session: &session::SessionOptions, document: &Value) {
    if session.output == session::OutputFormat::Json {
        return println!("{document}");
    }
    println!(
        "{} to {}: {}, up to {} of 1000 calls: {}",
        document["service"].as_str().unwrap_or_default(),
        document["to"].as_str().unwrap_or_default(),
        document["phase"].as_str().unwrap_or_default(),
        document["share_permille"],
        document["reason"].as_str().unwrap_or_default()
    );
    let versions = document["versions"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    if !versions.is_empty() {
        for line in read::format_table(versions, &VERSION_COLUMNS) {
            println!("  {line}");
        }
    }
}

async fn watch(
    session: &session::SessionOptions,
    service: &ids::EntryName,
) -> Result<(), session::CommandError> {
    let mut printed = Value::Null;
    loop {
        let document = fetch(session, service).await?;
        let phase = document["phase"].clone();
        if printed != phase {
            print(session, &document);
            printed = phase;
        }
        match printed.as_str() {
            Some("succeeded") => return Ok(()),
            Some("rolled_back") => return Err(rolled_back_error(&document)),
            _ => tokio::time::sleep(WATCH_PERIOD).await,
        }
    }
}

fn rolled_back_error(document: &Value) -> session::CommandError {
    let reason = document["reason"].as_str().unwrap_or_default();
    let code = code::ResultCode::RolloutRolledBack;
    session::CommandError::new(code, reason.into(), session::EXIT_REFUSED)
}
