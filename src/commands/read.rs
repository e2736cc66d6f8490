//! The read-only subcommands `get`, `list`, `history`, `status`, `targets` and `convergence`.

use std::process::ExitCode;

use bpaf::Bpaf;
use hazeltiller_catalogue::entry;
use hazeltiller_units::ids;
use serde_json::Value;

use crate::{changes, session};

/// Print one entry
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct GetCommand {
    #[bpaf(external(session::session_options))]
    session: session::SessionOptions,
    /// Kind of entry: owner, class, service, route, listener, rollout, organisation or public_route
    #[bpaf(positional("KIND"))]
    kind: entry::EntryKind,
    /// Name of the entry
    #[bpaf(positional("NAME"))]
    name: ids::EntryName,
}

/// Print every entry, or those of one kind
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ListCommand {
    #[bpaf(external(session::session_options))]
    session: session::SessionOptions,
    /// Kind of entry: owner, class, service, route, listener, rollout, organisation or public_route
    #[bpaf(positional("KIND"))]
    kind: Option<entry::EntryKind>,
}

/// Print a document of the operators interface
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct PageCommand {
    #[bpaf(external(session::session_options))]
    session: session::SessionOptions,
}

/// Print on how many nodes a version is in force, and which nodes are behind
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ConvergenceCommand {
    #[bpaf(external(session::session_options))]
    session: session::SessionOptions,
    /// Version of the catalogue
    #[bpaf(positional("VERSION"))]
    version: ids::CatalogueVersion,
}

impl GetCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        let path = format!("/v1/catalogue/{}/{}", self.kind, self.name);
        session::finish(print(&self.session, &path).await)
    }
}

impl PageCommand {
    /// Prints the document at a path.
    pub async fn execute(self, path: &str) -> ExitCode {
        session::finish(print(&self.session, path).await)
    }

    /// Prints the list under a key of a document as a table.
    pub async fn execute_rows(self, path: &str, key: &str, columns: &[&str]) -> ExitCode {
        session::finish(print_rows(&self.session, path, key, columns).await)
    }
}

impl ListCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        session::finish(self.list().await)
    }

    async fn list(self) -> Result<(), session::CommandError> {
        let mut document = self.session.fetch("/v1/catalogue").await?;
        if let Some(kind) = self.kind
            && let Some(entries) = document["entries"].as_array_mut()
        {
            entries.retain(|entry| entry["kind"] == kind.as_str());
        }
        if self.session.output == session::OutputFormat::Json {
            println!("{document}");
            return Ok(());
        }
        println!("version {}", document["version"]);
        if self.kind == Some(entry::EntryKind::Organisation) {
            for line in format_table(&organisation_rows(&document), &ORGANISATION_COLUMNS) {
                println!("{line}");
            }
            return Ok(());
        }
        let columns = ["kind", "name", "owner", "class"];
        for line in format_table(rows(&document, "entries"), &columns) {
            println!("{line}");
        }
        Ok(())
    }
}

impl ConvergenceCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        session::finish(self.print().await)
    }

    async fn print(self) -> Result<(), session::CommandError> {
        if self.session.output == session::OutputFormat::Json {
            return print(&self.session, &format!("/v1/convergence/{}", self.version)).await;
        }
        let document = changes::fetch_convergence(&self.session, self.version).await?;
        println!(
            "version {}: in force on {} of {} nodes",
            document.version, document.nodes_in_force, document.nodes_known
        );
        if let (Some(at), Some(accepted)) =
            (document.in_force_everywhere_at_ms, document.accepted_at_ms)
        {
            let took = at.saturating_sub(accepted);
            println!("in force everywhere {took} ms after it was accepted");
        }
        for behind in document.behind {
            println!("behind: {}", format_value(&behind));
        }
        Ok(())
    }
}

async fn print(session: &session::SessionOptions, path: &str) -> Result<(), session::CommandError> {
    let document = session.fetch(path).await?;
    match session.output {
        session::OutputFormat::Json => println!("{document}"),
        session::OutputFormat::Text => println!("{document:#}"),
    }
    Ok(())
}

async fn print_rows(
    session: &session::SessionOptions,
    path: &str,
    key: &str,
    columns: &[&str],
) -> Result<(), session::CommandError> {
    let document = session.fetch(path).await?;
    if session.output == session::OutputFormat::Json {
        println!("{document}");
        return Ok(());
    }
    for line in format_table(rows(&document, key), columns) {
        println!("{line}");
    }
    Ok(())
}

/// Columns of the list of organisations.
const ORGANISATION_COLUMNS: [&str; 6] = ["name", "owner", "call_class", "rate", "burst", "keys"];

/// Returns the organisations of a catalogue document with their limits and numbers of keys.
fn organisation_rows(document: &Value) -> Vec<Value> {
    let entries = rows(document, "entries").iter();
    entries
        .map(|entry| {
            serde_json::json!({
                "name": entry["name"], "owner": entry["owner"], "call_class": entry["call_class"],
                "rate": entry["limits"]["rate"], "burst": entry["limits"]["burst"],
                "keys": entry["keys"].as_array().map_or(0, Vec::len),
            })
        })
        .collect()
}

fn rows<'a>(document: &'a Value, key: &str) -> &'a [Value] {
    document[key].as_array().map_or(&[], Vec::as_slice)
}

/// Formats rows as aligned lines below a header line with the names of the columns.
pub(super) fn format_table(rows: &[Value], columns: &[&str]) -> Vec<String> {
    let cells = |row: &Value| -> Vec<String> {
        columns
            .iter()
            .map(|column| format_value(&row[*column]))
            .collect()
    };
    let names = columns.iter().map(ToString::to_string).collect();
    let lines: Vec<Vec<String>> = std::iter::once(names)
        .chain(rows.iter().map(cells))
        .collect();
    let width = |index: usize| {
        lines
            .iter()
            .map(|line| line[index].len())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let align = |line: &Vec<String>| {
        let padded = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    lines.iter().map(align).collect()
}

/// Formats a value, without quotes if it is a string.
fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}
