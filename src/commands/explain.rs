//! `hazeltiller explain`: traces one request through the logs of the processes that handled it.

use std::{io::Read, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use hazeltiller_units::{code, ids};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::session;

/// Fields of a log line that are printed separately from the others or not at all.
const SEPARATE_FIELDS: [&str; 6] = ["at", "instance", "kind", "level", "request", "sequence"];
/// Lowest status of a response that reports a failure of the target.
const MIN_FAILURE_STATUS: u64 = 500;

/// Trace one request through the logs of the processes and print why it ended as it did
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ExplainCommand {
    /// Output format: text or json
    #[bpaf(argument("FORM"), fallback(session::OutputFormat::Text))]
    output: session::OutputFormat,
    /// Id of the request
    #[bpaf(positional("ID"))]
    request: ids::RequestId,
    /// Log files of the processes; default: standard input. Text before a line's JSON is ignored
    #[bpaf(positional("FILE"))]
    files: Vec<PathBuf>,
}

/// One logged event of the request.
#[derive(Debug, Clone, Serialize)]
struct RequestStep {
    instance: String,
    kind: String,
    #[serde(skip)]
    order: (u64, u64, u64),
    fields: Map<String, Value>,
}

/// The logged events of a request and the cause of its end.
#[derive(Debug, Serialize)]
struct RequestTrace {
    request: ids::RequestId,
    cause: String,
    steps: Vec<RequestStep>,
}

impl ExplainCommand {
    /// Runs the command.
    pub fn execute(self) -> ExitCode {
        session::finish(self.explain())
    }

    fn explain(&self) -> Result<(), session::CommandError> {
        let mut steps = Vec::new();
        for text in self.read_texts()? {
            let lines = text.lines();
            steps.extend(lines.filter_map(|line| parse_step(line, &self.request)));
        }
        steps.sort_by_key(|step| step.order);
        let trace = RequestTrace {
            request: self.request.clone(),
            cause: describe_cause(&steps),
            steps,
        };
        match self.output {
            session::OutputFormat::Json => {
                let text = serde_json::to_string(&trace).expect("a trace has only text keys");
                println!("{text}");
            }
            session::OutputFormat::Text => print_trace(&trace),
        }
        Ok(())
    }

    fn read_texts(&self) -> Result<Vec<String>, session::CommandError> {
        if self.files.is_empty() {
            let mut text = String::new();
            let read = std::io::stdin().read_to_string(&mut text);
            let input = std::path::Path::new("standard input");
            read.map_err(|error| session::file_error(input, &error.to_string()))?;
            return Ok(vec![text]);
        }
        let paths = self.files.iter();
        paths.map(|path| session::read_file(path)).collect()
    }
}

/// Parses a log line. Returns `None` if it is not about the request.
fn parse_step(line: &str, request: &ids::RequestId) -> Option<RequestStep> {
    if !line.contains(request.as_str()) {
        return None;
    }
    let json = &line[line.find('{')?..];
    let Value::Object(mut fields) = serde_json::from_str(json).ok()? else {
        return None;
    };
    if fields.get("request")? != request.as_str() {
        return None;
    }
    let number = |value: Option<&Value>| value.and_then(Value::as_u64).unwrap_or_default();
    let at = fields.get("at");
    let order = (
        number(at.and_then(|at| at.get("wall"))),
        number(at.and_then(|at| at.get("count"))),
        number(fields.get("sequence")),
    );
    let text = |value: Option<&Value>| value.and_then(Value::as_str).unwrap_or_default().into();
    let (instance, kind) = (text(fields.get("instance")), text(fields.get("kind")));
    fields.retain(|name, _| !SEPARATE_FIELDS.contains(&name.as_str()));
    Some(RequestStep {
        instance,
        kind,
        order,
        fields,
    })
}

/// Describes why a request ended as it did, from its last events.
fn describe_cause(steps: &[RequestStep]) -> String {
    let last = |kind: &str| steps.iter().rev().find(|step| step.kind == kind);
    let text = |step: &RequestStep, name: &str| {
        let value = step.fields.get(name);
        value.map_or_else(String::new, |value| {
            value.as_str().map_or_else(|| value.to_string(), Into::into)
        })
    };
    let target = last("call_tried").map(|step| text(step, "target"));
    let target = target.unwrap_or_else(|| "no target".into());
    let version = last("call_tried").map(|step| text(step, "version"));
    let cohort = last("call_tried").map_or_else(String::new, |step| text(step, "cohort"));
    let target = match version.filter(|version| !version.is_empty()) {
        Some(version) => format!("{target} (cohort {cohort}, version {version}, in a roll-out)"),
        None => target,
    };
    if let Some(answered) = last("call_answered") {
        let status = answered.fields.get("status").and_then(Value::as_u64);
        return match status {
            Some(status) if status >= MIN_FAILURE_STATUS => {
                format!("{target} answered with status {status}: the failure is in the target")
            }
            Some(status) => format!("{target} answered with status {status}"),
            None => format!("{target} answered"),
        };
    }
    if let Some(refused) = last("call_refused") {
        let code = text(refused, "code");
        let meaning = code
            .parse::<code::ResultCode>()
            .map(code::ResultCode::meaning);
        let meaning = meaning.unwrap_or("unknown code");
        let run = last("run_failed").map(|step| text(step, "failure"));
        let run = run.map_or_else(String::new, |failure| {
            format!("; the last run at {target} ended: {failure}")
        });
        let named = |limit: &String| !limit.is_empty() && limit != "null";
        let limit = last("offer_refused").map(|step| text(step, "limit"));
        let limit = limit
            .filter(named)
            .or_else(|| Some(text(refused, "limit")).filter(named))
            .map_or_else(String::new, |limit| format!("; limit: {limit}"));
        return format!("refused with {code}: {meaning}{limit}{run}");
    }
    if steps.is_empty() {
        return "no line has this id: not sampled, handled by another process, or never received"
            .into();
    }
    "no end was logged: the caller disconnected, or the process ended before it wrote the line"
        .into()
}

fn print_trace(trace: &RequestTrace) {
    println!("request {}", trace.request);
    let first = trace.steps.first().map_or(0, |step| step.order.0);
    for step in &trace.steps {
        let after = step.order.0.saturating_sub(first);
        let fields: Vec<String> = step
            .fields
            .iter()
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        println!(
            "  +{after} ms  {}  {}  {}",
            step.instance,
            step.kind,
            fields.join(" ")
        );
    }
    println!("cause: {}", trace.cause);
}
