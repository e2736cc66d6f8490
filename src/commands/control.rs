//! `hazeltiller control`: shows and changes the voters of the control group.

use std::process::ExitCode;

use bpaf::Bpaf;
use hazeltiller_units::{code, ids};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use super::read;
use crate::session;

/// Columns printed for each member of the group.
const MEMBER_COLUMNS: [&str; 5] = ["instance", "is_voter", "is_alive", "matched", "address"];

/// Show or change the voters of the control group
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum ControlCommand {
    /// Print the voters and the learners known to the leader
    #[bpaf(command)]
    List {
        #[bpaf(external(session::session_options))]
        session: session::SessionOptions,
    },
    /// Promote a learner whose log has caught up to a voter
    #[bpaf(command)]
    Add {
        #[bpaf(external(session::session_options))]
        session: session::SessionOptions,
        /// Name of the instance
        #[bpaf(positional("INSTANCE"))]
        instance: ids::InstanceName,
    },
    /// Remove a voter, permanently or before it is replaced
    #[bpaf(command)]
    Remove {
        #[bpaf(external(session::session_options))]
        session: session::SessionOptions,
        /// Name of the instance
        #[bpaf(positional("INSTANCE"))]
        instance: ids::InstanceName,
    },
}

impl ControlCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        session::finish(self.run().await)
    }

    async fn run(self) -> Result<(), session::CommandError> {
        match self {
            Self::List { session } => list(&session).await,
            Self::Add { session, instance } => {
                change_voters(&session, json!({"add": instance})).await
            }
            Self::Remove { session, instance } => {
                change_voters(&session, json!({"remove": instance})).await
            }
        }
    }
}

async fn list(session: &session::SessionOptions) -> Result<(), session::CommandError> {
    let document = session.fetch("/v1/control").await?;
    if session.output == session::OutputFormat::Json {
        println!("{document}");
        return Ok(());
    }
    println!(
        "this control is {} in term {}, committed up to {}",
        document["role"].as_str().unwrap_or_default(),
        document["term"],
        document["commit"]
    );
    print_members(&document["members"]);
    Ok(())
}

async fn change_voters(
    session: &session::SessionOptions,
    change: Value,
) -> Result<(), session::CommandError> {
    let body = change.to_string().into_bytes();
    let response = session.send(Method::POST, "/v1/control", body).await?;
    if response.status() != StatusCode::OK {
        return Err(refusal(response.status(), response.body()));
    }
    let document: Value = session::parse_response(response.body())?;
    match session.output {
        session::OutputFormat::Json => println!("{document}"),
        session::OutputFormat::Text => {
            println!("voters changed; the voters are now:");
            print_members(&document["voters"]);
        }
    }
    Ok(())
}

fn print_members(members: &Value) {
    for line in read::format_table(
        members.as_array().map_or(&[], Vec::as_slice),
        &MEMBER_COLUMNS,
    ) {
        println!("{line}");
    }
}

fn refusal(status: StatusCode, body: &[u8]) -> session::CommandError {
    let mut error = session::refusal(body);
    let document: Value = serde_json::from_slice(body).unwrap_or_default();
    for fault in document["faults"].as_array().into_iter().flatten() {
        let message = fault["message"].as_str().unwrap_or_default();
        error.message.push_str(&format!("\n  {message}"));
    }
    if error.code == code::ResultCode::OutcomeUnknown || status == StatusCode::GATEWAY_TIMEOUT {
        error.advice = "check `hazeltiller control list`, then run the command again".into();
        error.exit = session::EXIT_UNKNOWN;
    }
    error
}
