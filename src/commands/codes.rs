//! `hazeltiller codes`: prints the table of result codes.

use std::process::ExitCode;

use bpaf::Bpaf;
use hazeltiller_units::code;

/// Print all result codes, or one
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct CodesCommand {
    /// A code, such as HZ3001
    #[bpaf(positional("CODE"))]
    code: Option<code::ResultCode>,
}

impl CodesCommand {
    /// Runs the command.
    pub fn execute(self) -> ExitCode {
        let is_wanted = |code: &&code::ResultCode| self.code.is_none_or(|wanted| wanted == **code);
        for code in code::ResultCode::ALL.iter().filter(is_wanted) {
            println!("{code}  {}; {}", code.meaning(), code.advice());
        }
        ExitCode::SUCCESS
    }
}
