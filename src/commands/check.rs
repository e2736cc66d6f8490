//! `hazeltiller check`: checks a file offline.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use hazeltiller_catalogue::{change, state};
use hazeltiller_daemon::settings;
use hazeltiller_units::{code, ids, jsonc};

use super::apply;
use crate::session;

/// Check a catalogue file or a settings file
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct CheckCommand {
    /// Catalogue file (with "put" or "remove") or settings file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl CheckCommand {
    /// Runs the command.
    pub fn execute(self) -> ExitCode {
        session::finish(self.check())
    }

    fn check(&self) -> Result<(), session::CommandError> {
        let text = session::read_file(&self.file)?;
        let document: serde_json::Value = jsonc::parse_jsonc(&text)
            .map_err(|error| session::file_error(&self.file, &error.to_string()))?;
        if document.get("put").is_some() || document.get("remove").is_some() {
            self.check_catalogue()
        } else {
            check_settings(&text)
        }
    }

    fn check_catalogue(&self) -> Result<(), session::CommandError> {
        let set = apply::read_change(&self.file)?;
        let applied = state::CatalogueState::default().apply(&set, ids::LeaderTerm(0));
        let faults = applied.err().unwrap_or_default();
        let (unresolved, invalid): (Vec<_>, Vec<_>) = faults.into_iter().partition(needs_catalogue);
        for fault in &unresolved {
            println!("note: {}: must already be in the catalogue", fault.message);
        }
        if invalid.is_empty() {
            println!(
                "sound: {} to put, {} to remove",
                set.put.len(),
                set.remove.len()
            );
            return Ok(());
        }
        let lines: Vec<String> = invalid.iter().map(describe).collect();
        let code = invalid[0].code;
        Err(session::CommandError::new(
            code,
            lines.join("\n  "),
            session::EXIT_INVALID,
        ))
    }
}

/// Whether a fault depends on the entries that are already in the catalogue, which is not known
/// offline.
fn needs_catalogue(fault: &change::CatalogueFault) -> bool {
    let codes = [
        code::ResultCode::ReferenceMissing,
        code::ResultCode::EntryNotFound,
    ];
    codes.contains(&fault.code)
}

fn describe(fault: &change::CatalogueFault) -> String {
    let entry = fault
        .entry
        .as_ref()
        .map_or_else(String::new, |key| format!("{key}: "));
    format!("{entry}{}: {}", fault.field, fault.message)
}

fn check_settings(text: &str) -> Result<(), session::CommandError> {
    match settings::ProcessSettings::parse(text) {
        Ok(settings) => {
            println!("sound: settings of instance {}", settings.instance);
            Ok(())
        }
        Err(faults) => {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            let code = code::ResultCode::SettingsInvalid;
            let message = format!("{} faults\n  {}\n  ", faults.len(), lines.join("\n  "));
            Err(session::CommandError::new(
                code,
                message,
                session::EXIT_INVALID,
            ))
        }
    }
}
