//! `hazeltiller diff`: prints what applying a file would change.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use hazeltiller_catalogue::entry;
use serde::{Deserialize, Serialize};

use super::apply;
use crate::session;

/// Print what applying a file would change
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct DiffCommand {
    #[bpaf(external(session::session_options))]
    session: session::SessionOptions,
    /// Catalogue file, JSON with comments
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

#[derive(Debug, Deserialize)]
struct EntriesDocument {
    entries: Vec<entry::CatalogueEntry>,
}

/// Change that the file makes to one entry.
#[derive(Debug, Serialize)]
struct EntryDifference {
    change: DifferenceKind,
    key: entry::EntryKey,
    before: Option<entry::CatalogueEntry>,
    after: Option<entry::CatalogueEntry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
enum DifferenceKind {
    Add,
    Replace,
    Remove,
}

impl DiffCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        session::finish(self.diff().await)
    }

    async fn diff(self) -> Result<(), session::CommandError> {
        let set = apply::read_change(&self.file)?;
        let document = self.session.fetch("/v1/catalogue").await?;
        let current: EntriesDocument =
            serde_json::from_value(document).map_err(|error| session::invalid_response(&error))?;
        let find = |key: &entry::EntryKey| {
            current
                .entries
                .iter()
                .find(|entry| entry.key() == *key)
                .cloned()
        };
        let mut differences = Vec::new();
        for key in set.remove {
            let before = find(&key);
            differences.push(EntryDifference {
                change: DifferenceKind::Remove,
                key,
                before,
                after: None,
            });
        }
        for after in set.put {
            let (key, before) = (after.key(), find(&after.key()));
            let change = match &before {
                Some(before) if *before == after => continue,
                Some(_) => DifferenceKind::Replace,
                None => DifferenceKind::Add,
            };
            differences.push(EntryDifference {
                change,
                key,
                before,
                after: Some(after),
            });
        }
        self.print(&differences);
        Ok(())
    }

    fn print(&self, differences: &[EntryDifference]) {
        if self.session.output == session::OutputFormat::Json {
            let text = serde_json::to_string(differences).expect("entries have only text keys");
            return println!("{text}");
        }
        if differences.is_empty() {
            println!("no difference");
        }
        for difference in differences {
            let sign = match difference.change {
                DifferenceKind::Add => '+',
                DifferenceKind::Replace => '~',
                DifferenceKind::Remove => '-',
            };
            println!("{sign} {}", difference.key);
            if difference.change == DifferenceKind::Replace {
                print_fields(difference);
            }
        }
    }
}

/// Prints each field whose value changes.
fn print_fields(difference: &EntryDifference) {
    let value = |entry: &Option<entry::CatalogueEntry>| {
        serde_json::to_value(entry).expect("entries have only text keys")
    };
    let (before, after) = (value(&difference.before), value(&difference.after));
    for (field, new) in after.as_object().into_iter().flatten() {
        if before[field] != *new {
            println!("    {field}: {} -> {new}", before[field]);
        }
    }
}
