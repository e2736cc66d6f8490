//! The subcommands of the command line tool, one per file.

mod apply;
mod check;
mod codes;
mod control;
mod demo;
mod diff;
mod explain;
mod load;
mod read;
mod revision;
mod rollout;
mod stand_in;
mod timeline;
mod token;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Operates a hazeltiller system.
///
/// Exit codes: 0 done, 1 refused, 2 wrong usage or invalid input, 3 outcome unknown.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum RootCommand {
    /// Run a small fleet in one process and report the outcome of the requests sent to it
    ///
    ///
    /// Example: hazeltiller demo --stay
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::demo_command))] demo::DemoCommand),
    /// Check a catalogue file or a settings file offline
    ///
    ///
    /// Example: hazeltiller check examples/register/catalogue.jsonc
    #[bpaf(command)]
    Check(#[bpaf(external(check::check_command))] check::CheckCommand),
    /// Put and remove the entries of a file as one change
    ///
    ///
    /// Example: hazeltiller apply --operators 127.0.0.1:7002 --wait examples/register/catalogue.jsonc
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::apply_command))] apply::ApplyCommand),
    /// Remove one entry
    ///
    ///
    /// Example: hazeltiller remove --operators 127.0.0.1:7002 route reports
    #[bpaf(command)]
    Remove(#[bpaf(external(apply::remove_command))] apply::RemoveCommand),
    /// Print what applying a file would change
    ///
    ///
    /// Example: hazeltiller diff --operators 127.0.0.1:7002 examples/register/catalogue.jsonc
    #[bpaf(command)]
    Diff(#[bpaf(external(diff::diff_command))] diff::DiffCommand),
    /// Print the document that last replaced the whole catalogue
    ///
    ///
    /// Example: hazeltiller revision --operators 127.0.0.1:7002
    #[bpaf(command)]
    Revision(#[bpaf(external(revision::revision_command))] revision::RevisionCommand),
    /// Print one entry
    ///
    ///
    /// Example: hazeltiller get --operators 127.0.0.1:7002 route issue
    #[bpaf(command)]
    Get(#[bpaf(external(read::get_command))] read::GetCommand),
    /// Print every entry, or those of one kind
    ///
    ///
    /// Example: hazeltiller list --operators 127.0.0.1:7002 route
    #[bpaf(command)]
    List(#[bpaf(external(read::list_command))] read::ListCommand),
    /// Print the accepted changes
    #[bpaf(command)]
    History(#[bpaf(external(read::page_command))] read::PageCommand),
    /// Print the status of a process
    #[bpaf(command)]
    Status(#[bpaf(external(read::page_command))] read::PageCommand),
    /// Print the targets that a process knows
    #[bpaf(command)]
    Targets(#[bpaf(external(read::page_command))] read::PageCommand),
    /// Print on how many nodes a version is in force, and which nodes are behind
    ///
    ///
    /// Example: hazeltiller convergence --operators 127.0.0.1:7002 12
    #[bpaf(command)]
    Convergence(#[bpaf(external(read::convergence_command))] read::ConvergenceCommand),
    /// Print the events of all reachable processes in causal order
    ///
    ///
    /// Example: hazeltiller timeline --operators 127.0.0.1:7002 --version 12
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline::timeline_command))] timeline::TimelineCommand),
    /// Trace one request through the logs of the processes and print why it ended as it did
    ///
    ///
    /// Example: hazeltiller explain 9c41d07be2a35f68 node-1.log node-2.log
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::explain_command))] explain::ExplainCommand),
    /// Show or change the voters of the control group
    ///
    ///
    /// Example: hazeltiller control add --operators 127.0.0.1:7002 control-brasov-b-1
    #[bpaf(command)]
    Control(#[bpaf(external(control::control_command))] control::ControlCommand),
    /// Roll a service out to another version, or show the progress of a roll-out
    ///
    ///
    /// Example: hazeltiller rollout start --operators 127.0.0.1:7002 --to v2 --within 12s registru
    #[bpaf(command)]
    Rollout(#[bpaf(external(rollout::rollout_command))] rollout::RolloutCommand),
    /// Run a stand-in target, which announces itself to a node and logs each run
    ///
    ///
    /// Example: hazeltiller stand-in --node 127.0.0.1:7111 --name registru-1 --service registru
    #[bpaf(command)]
    StandIn(#[bpaf(external(stand_in::stand_in_command))] stand_in::StandInCommand),
    /// Send requests at a given rate and check their outcomes against the targets' logs
    ///
    ///
    /// Example: hazeltiller load --node 127.0.0.1:7110 --path '/vehicles/{n}' --rate 200
    #[bpaf(command)]
    Load(#[bpaf(external(load::load_command))] load::LoadCommand),
    /// Print the hash of a token for the field "tokens" of an owner's entry
    ///
    ///
    /// Example: hazeltiller token-hash ana.token
    #[bpaf(command("token-hash"))]
    TokenHash(#[bpaf(external(token::token_command))] token::TokenCommand),
    /// Print all result codes, or one
    ///
    ///
    /// Example: hazeltiller codes HZ3003
    #[bpaf(command)]
    Codes(#[bpaf(external(codes::codes_command))] codes::CodesCommand),
}

/// Columns printed for each accepted change.
const HISTORY_COLUMNS: [&str; 3] = ["version", "accepted_at_ms", "change_id"];
/// Columns printed for each target.
const TARGET_COLUMNS: [&str; 9] = [
    "name",
    "service",
    "state",
    "instance",
    "data_centre",
    "slots",
    "reachability",
    "rate_limit",
    "leaving",
];

impl RootCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        match self {
            Self::Demo(command) => command.execute().await,
            Self::Check(command) => command.execute(),
            Self::Apply(command) => command.execute().await,
            Self::Remove(command) => command.execute().await,
            Self::Diff(command) => command.execute().await,
            Self::Get(command) => command.execute().await,
            Self::List(command) => command.execute().await,
            Self::History(command) => {
                command
                    .execute_rows("/v1/changes", "changes", &HISTORY_COLUMNS)
                    .await
            }
            Self::Status(command) => command.execute("/v1/status").await,
            Self::Targets(command) => {
                command
                    .execute_rows("/v1/targets", "targets", &TARGET_COLUMNS)
                    .await
            }
            Self::Convergence(command) => command.execute().await,
            Self::Revision(command) => command.execute().await,
            Self::Timeline(command) => command.execute().await,
            Self::Explain(command) => command.execute(),
            Self::Control(command) => command.execute().await,
            Self::Rollout(command) => command.execute().await,
            Self::StandIn(command) => command.execute().await,
            Self::Load(command) => command.execute().await,
            Self::TokenHash(command) => command.execute(),
            Self::Codes(command) => command.execute(),
        }
    }
}
