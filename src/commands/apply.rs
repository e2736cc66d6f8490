//! `hazeltiller apply` and `hazeltiller remove`: send one change.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use hazeltiller_catalogue::{change, entry, file};
use hazeltiller_units::ids;

use crate::{changes, session};

/// Put and remove the entries of a file as one change
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ApplyCommand {
    #[bpaf(external(session::session_options))]
    session: session::SessionOptions,
    #[bpaf(external(changes::change_options))]
    options: changes::ChangeOptions,
    /// Replace the whole catalogue by the entries of the file, as a revision with this label
    #[bpaf(argument("LABEL"))]
    replace: Option<ids::RevisionLabel>,
    /// With --replace: label of the revision that it is based on; default: the current one
    #[bpaf(argument("LABEL"))]
    base: Option<ids::RevisionLabel>,
    /// Catalogue file, JSON with comments
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Remove one entry
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct RemoveCommand {
    #[bpaf(external(session::session_options))]
    session: session::SessionOptions,
    #[bpaf(external(changes::change_options))]
    options: changes::ChangeOptions,
    /// Kind of the entry: owner, class, service or route
    #[bpaf(positional("KIND"))]
    kind: entry::EntryKind,
    /// Name of the entry
    #[bpaf(positional("NAME"))]
    name: ids::EntryName,
}

impl ApplyCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        session::finish(self.apply().await)
    }

    async fn apply(self) -> Result<(), session::CommandError> {
        let set = read_change(&self.file)?;
        let Some(label) = self.replace else {
            return changes::send_change(&self.session, &self.options, set).await;
        };
        let base = match self.base {
            Some(base) => base,
            None => changes::fetch_revision(&self.session).await?.label,
        };
        let replacement = change::CatalogueReplacement {
            label,
            base,
            document: session::read_file(&self.file)?,
        };
        let request = change::ChangeRequest::replacement(replacement, set.put);
        changes::send_request(&self.session, &self.options, request).await
    }
}

impl RemoveCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        let key = entry::EntryKey {
            kind: self.kind,
            name: self.name,
        };
        let set = change::ChangeSet {
            put: Vec::new(),
            remove: vec![key],
        };
        session::finish(changes::send_change(&self.session, &self.options, set).await)
    }
}

/// Reads a catalogue file as a change.
pub fn read_change(path: &std::path::Path) -> Result<change::ChangeSet, session::CommandError> {
    let text = session::read_file(path)?;
    file::parse_file(&text).map_err(|error| session::file_error(path, &error.to_string()))
}
