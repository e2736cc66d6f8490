//! The command line tool of operators. It uses the HTTP interface that is open to any other client.

mod changes;
mod commands;
mod demo;
mod session;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match commands::root_command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(failure),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the operating system provides threads and timers at start");
    runtime.block_on(command.execute())
}

/// Prints the help text, a shell completion or the error in the arguments.
fn print_parse_failure(failure: bpaf::ParseFailure) -> ExitCode {
    const HELP_WIDTH: usize = 100;
    failure.print_message(HELP_WIDTH);
    match failure {
        bpaf::ParseFailure::Stderr(_) => ExitCode::from(session::EXIT_INVALID),
        bpaf::ParseFailure::Stdout(..) | bpaf::ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}
