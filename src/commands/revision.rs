//! `hazeltiller revision`: prints the document that last replaced the whole catalogue.

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::{changes, session};

/// Print the document that last replaced the whole catalogue
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct RevisionCommand {
    #[bpaf(external(session::session_options))]
    session: session::SessionOptions,
}

impl RevisionCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        session::finish(self.print().await)
    }

    async fn print(&self) -> Result<(), session::CommandError> {
        let revision = changes::fetch_revision(&self.session).await?;
        println!("{}", revision.document);
        Ok(())
    }
}
