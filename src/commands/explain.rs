//! `hazeltiller explain`: the course of one request, from the logs of the processes that it passed.

use std::{io::Read, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use hazeltiller_units::{code, ids};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::session;

/// Fields of a line that are shown apart from the others or not at all.
const SHOWN_APART: [&str; 6] = ["at", "instance", "kind", "level", "request", "sequence"];
/// Smallest status with which a target says that it failed.
const FAILED_STATUS: u64 = 500;

/// Print the course of one request over all processes, and why it ended as it did
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ExplainCommand {
    /// How to print: text or json
    #[bpaf(argument("FORM"), fallback(session::OutputForm::Text))]
    output: session::OutputForm,
    /// Id of the request
    #[bpaf(positional("ID"))]
    request: ids::RequestId,
    /// Log files of the processes; none: standard input. Text before a line's JSON is ignored
    #[bpaf(positional("FILE"))]
    files: Vec<PathBuf>,
}

/// A step of the request.
#[derive(Debug, Clone, Serialize)]
struct RequestStep {
    instance: String,
    kind: String,
    #[serde(skip)]
    order: (u64, u64, u64),
    fields: Map<String, Value>,
}

/// What the logs say of a request.
#[derive(Debug, Serialize)]
struct RequestCourse {
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
            steps.extend(lines.filter_map(|line| read_step(line, &self.request)));
        }
        steps.sort_by_key(|step| step.order);
        let course = RequestCourse {
            request: self.request.clone(),
            cause: find_cause(&steps),
            steps,
        };
        match self.output {
            session::OutputForm::Json => {
                let text = serde_json::to_string(&course).expect("a course has only text keys");
                println!("{text}");
            }
            session::OutputForm::Text => print_course(&course),
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

/// A line's step, if it is one of the request.
fn read_step(line: &str, request: &ids::RequestId) -> Option<RequestStep> {
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
    fields.retain(|name, _| !SHOWN_APART.contains(&name.as_str()));
    Some(RequestStep {
        instance,
        kind,
        order,
        fields,
    })
}

/// Why a request ended as it did, by its last steps.
fn find_cause(steps: &[RequestStep]) -> String {
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
        Some(version) => format!("{target} ({cohort} of version {version} in a roll-out)"),
        None => target,
    };
    if let Some(answered) = last("call_answered") {
        let status = answered.fields.get("status").and_then(Value::as_u64);
        return match status {
            Some(status) if status >= FAILED_STATUS => {
                format!("{target} answered with status {status}: the failure is its own")
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
        let meaning = meaning.unwrap_or("an unknown code");
        let run = last("run_failed").map(|step| text(step, "failure"));
        let run = run.map_or_else(String::new, |failure| {
            format!("; the last run at {target} ended: {failure}")
        });
        let limit = last("offer_refused").map(|step| text(step, "limit"));
        let limit = limit
            .filter(|limit| !limit.is_empty() && limit != "null")
            .map_or_else(String::new, |limit| format!("; by {limit}"));
        return format!("refused with {code}: {meaning}{limit}{run}");
    }
    if steps.is_empty() {
        return "no line names it: it was left out by sampling, came to another process, or never came"
            .into();
    }
    "no end was logged: the caller left, or the process ended before it could write".into()
}

fn print_course(course: &RequestCourse) {
    println!("request {}", course.request);
    let first = course.steps.first().map_or(0, |step| step.order.0);
    for step in &course.steps {
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
    println!("cause: {}", course.cause);
}
