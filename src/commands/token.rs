//! `hazeltiller token-hash`: prints the hash of a token for an owner's entry.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use hazeltiller_catalogue::change;

use crate::session;

/// Print the hash of a token for the field "tokens" of an owner's entry
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct TokenCommand {
    /// File that contains the token
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl TokenCommand {
    /// Runs the command.
    pub fn execute(self) -> ExitCode {
        session::finish(self.print())
    }

    fn print(self) -> Result<(), session::CommandError> {
        let token = session::read_file(&self.file)?;
        println!("{}", change::token_hash(token.trim()));
        Ok(())
    }
}
