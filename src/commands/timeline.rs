//! `hazeltiller timeline`: prints the events of all reachable processes in causal order.

use std::{
    io::{IsTerminal, Write},
    net::SocketAddr,
    process::ExitCode,
    time::Duration,
};

use bpaf::Bpaf;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::message;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::session;

const FOLLOW_PERIOD: Duration = Duration::from_millis(500);
const DAY_MS: u64 = 24 * 60 * 60 * 1000;
const ANSI_RESET: &str = "\x1b[0m";
const ANSI_DIM: &str = "\x1b[2m";
/// Colours of event kinds, by prefix of the kind.
const KIND_COLOURS: [(&str, &str); 5] = [
    ("change_", "\x1b[32m"),
    ("version_", "\x1b[32m"),
    ("leader_", "\x1b[35m"),
    ("target_", "\x1b[36m"),
    ("process_", "\x1b[35m"),
];
const FAILURE_COLOUR: &str = "\x1b[31m";

/// Print the events of all reachable processes in causal order
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct TimelineCommand {
    #[bpaf(external(session::session_options))]
    session: session::SessionOptions,
    /// Only events whose kind has this prefix, such as call or version_in_force; repeatable
    #[bpaf(argument("KIND"), many)]
    kind: Vec<String>,
    /// Only events of this process; repeatable
    #[bpaf(argument("NAME"), many)]
    instance: Vec<ids::InstanceName>,
    /// Only events of this catalogue version and of the change that created it
    #[bpaf(argument("VERSION"))]
    version: Option<ids::CatalogueVersion>,
    /// Only events of the request with this id, which is in the response header hazeltiller-request
    #[bpaf(argument("ID"))]
    request: Option<ids::RequestId>,
    /// Keep printing new events
    follow: bool,
}

/// Response of a process to a timeline request.
#[derive(Debug, Deserialize)]
struct TimelinePage {
    instance: ids::InstanceName,
    last: u64,
    dropped: u64,
    events: Vec<EventDocument>,
}

/// An event of a timeline response. The kind is a string, so that kinds introduced by later
/// versions of the daemon are printed too.
#[derive(Debug, Clone, Deserialize)]
struct EventDocument {
    sequence: u64,
    at: message::HybridTime,
    kind: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// An event and the process that recorded it.
#[derive(Debug, Clone, Serialize)]
struct MergedEvent {
    at: message::HybridTime,
    instance: ids::InstanceName,
    sequence: u64,
    kind: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl TimelineCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        session::finish(self.run().await)
    }

    async fn run(&self) -> Result<(), session::CommandError> {
        let mut since: IndexMap<SocketAddr, u64> = self
            .session
            .operators
            .iter()
            .map(|address| (*address, 0))
            .collect();
        let mut reported = Vec::new();
        loop {
            let (events, failures) = self.fetch(&mut since).await?;
            for failure in failures {
                if !reported.contains(&failure) {
                    eprintln!("{failure}");
                    reported.push(failure);
                }
            }
            // Printing fails if the reader of the pipe has exited, as `head` does.
            if self.print(events).is_err() || !self.follow {
                return Ok(());
            }
            tokio::time::sleep(FOLLOW_PERIOD).await;
        }
    }

    /// Reads the new events of every process. Also returns messages about processes that were not
    /// reached and about events that are no longer kept.
    async fn fetch(
        &self,
        since: &mut IndexMap<SocketAddr, u64>,
    ) -> Result<(Vec<MergedEvent>, Vec<String>), session::CommandError> {
        let mut events = Vec::new();
        let mut failures = Vec::new();
        let mut reached = 0;
        for (address, last) in since.iter_mut() {
            let session = session::SessionOptions {
                operators: vec![*address],
                ..self.session.clone()
            };
            let path = format!("/v1/timeline?since={last}");
            let page = match session.fetch(&path).await {
                Ok(page) => page,
                Err(error) => {
                    failures.push(format!("not reached: {error}"));
                    continue;
                }
            };
            let page: TimelinePage =
                serde_json::from_value(page).map_err(|error| session::invalid_response(&error))?;
            reached += 1;
            if page.last < *last {
                // The process has restarted, so its sequence numbers start at 1 again.
                *last = 0;
                continue;
            }
            *last = page.last;
            if page.dropped > 0 {
                failures.push(format!(
                    "{}: {} older events are no longer kept",
                    page.instance, page.dropped
                ));
            }
            events.extend(merge_instance(page));
        }
        if reached == 0 && !self.follow {
            let code = code::ResultCode::OperatorsUnreachable;
            let message = failures.join("; ");
            return Err(session::CommandError::new(
                code,
                message,
                session::EXIT_REFUSED,
            ));
        }
        events.sort_by(|one, other| sort_key(one).cmp(&sort_key(other)));
        let changes = self.changes_of_version(&events);
        events.retain(|event| self.is_selected(event, &changes));
        Ok((events, failures))
    }

    /// Returns the ids of the changes that created the selected version.
    fn changes_of_version(&self, events: &[MergedEvent]) -> Vec<Value> {
        let Some(version) = self.version else {
            return Vec::new();
        };
        events
            .iter()
            .filter(|event| event.kind == "change_accepted")
            .filter(|event| event.fields["version"] == version.0)
            .map(|event| event.fields["change"].clone())
            .collect()
    }

    fn is_selected(&self, event: &MergedEvent, changes: &[Value]) -> bool {
        let is_kind = |kind: &String| event.kind.starts_with(kind.as_str());
        let has_version = |version: ids::CatalogueVersion| {
            let has_field = event.fields.get("version") == Some(&version.0.into());
            let change = event.fields.get("change");
            has_field || change.is_some_and(|change| changes.contains(change))
        };
        let has_request = |request: &ids::RequestId| {
            event.fields.get("request").and_then(Value::as_str) == Some(request.as_str())
        };
        (self.kind.is_empty() || self.kind.iter().any(is_kind))
            && (self.instance.is_empty() || self.instance.contains(&event.instance))
            && self.version.is_none_or(has_version)
            && self.request.as_ref().is_none_or(has_request)
    }

    fn print(&self, events: Vec<MergedEvent>) -> std::io::Result<()> {
        let mut output = std::io::stdout().lock();
        if self.session.output == session::OutputFormat::Json {
            for event in events {
                let text = serde_json::to_string(&event).expect("an event has only text keys");
                writeln!(output, "{text}")?;
            }
            return output.flush();
        }
        let is_coloured = output.is_terminal() && std::env::var_os("NO_COLOR").is_none();
        let width = |text: fn(&MergedEvent) -> usize| events.iter().map(text).max().unwrap_or(0);
        let instance_width = width(|event| event.instance.as_str().len());
        let kind_width = width(|event| event.kind.len());
        for event in &events {
            let (colour, dim, reset) = if is_coloured {
                (colour(&event.kind), ANSI_DIM, ANSI_RESET)
            } else {
                ("", "", "")
            };
            writeln!(
                output,
                "{dim}{}{reset}  {:instance_width$}  {colour}{:kind_width$}{reset}  {}",
                format_time(event.at),
                event.instance,
                event.kind,
                format_fields(&event.fields),
            )?;
        }
        output.flush()
    }
}

fn merge_instance(page: TimelinePage) -> impl Iterator<Item = MergedEvent> {
    let instance = page.instance;
    page.events.into_iter().map(move |event| MergedEvent {
        at: event.at,
        instance: instance.clone(),
        sequence: event.sequence,
        kind: event.kind,
        fields: event.fields,
    })
}

fn sort_key(event: &MergedEvent) -> (message::HybridTime, &ids::InstanceName, u64) {
    (event.at, &event.instance, event.sequence)
}

fn colour(kind: &str) -> &'static str {
    let is_failure = ["_failed", "_refused", "_lost", "_unknown", "_ejected"]
        .iter()
        .any(|suffix| kind.ends_with(suffix));
    if is_failure {
        return FAILURE_COLOUR;
    }
    let found = KIND_COLOURS
        .iter()
        .find(|(prefix, _)| kind.starts_with(prefix));
    found.map_or("", |(_, colour)| colour)
}

/// Formats a hybrid logical clock as the UTC time of day and the logical counter.
fn format_time(at: message::HybridTime) -> String {
    let day = at.wall.0 % DAY_MS;
    let (seconds, millis) = (day / 1000, day % 1000);
    let (hours, minutes, seconds) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    format!(
        "{hours:02}:{minutes:02}:{seconds:02}.{millis:03}+{:<3}",
        at.count
    )
}

fn format_fields(fields: &Map<String, Value>) -> String {
    let pair = |(name, value): (&String, &Value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    };
    fields.iter().map(pair).collect::<Vec<_>>().join(" ")
}
