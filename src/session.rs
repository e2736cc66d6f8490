//! Requests to the operators listener of one or several processes.

use std::{fmt, net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use bytes::Bytes;
use hazeltiller_standin::client;
use hazeltiller_units::code;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, header};
use serde::de::DeserializeOwned;

/// Output format of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// JSON, for scripts.
    Json,
}

impl std::str::FromStr for OutputFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected text or json"),
        }
    }
}

/// The processes to send requests to, the credentials and the output format.
#[derive(Debug, Clone, Bpaf)]
pub struct SessionOptions {
    /// Operators address of a process; several are tried in the order given
    #[bpaf(
        argument("IP:PORT"),
        some("at least one --operators IP:PORT is needed")
    )]
    pub operators: Vec<SocketAddr>,
    /// File with the operator's token
    #[bpaf(argument("FILE"))]
    pub token_file: Option<PathBuf>,
    /// Output format: text or json
    #[bpaf(argument("FORM"), fallback(OutputFormat::Text))]
    pub output: OutputFormat,
}

/// Why a command failed, with its exit code.
#[derive(Debug)]
pub struct CommandError {
    /// The result code.
    pub code: code::ResultCode,
    /// What happened.
    pub message: String,
    /// What the operator can do. If empty, the advice of the result code is printed.
    pub advice: String,
    /// Exit code: 1 refused, 2 wrong usage or invalid input, 3 outcome unknown.
    pub exit: u8,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let advice = if self.advice.is_empty() {
            self.code.advice()
        } else {
            &self.advice
        };
        if self.message.contains(advice) {
            return write!(f, "{}: {}", self.code, self.message);
        }
        write!(f, "{}: {}; {advice}", self.code, self.message)
    }
}

impl std::error::Error for CommandError {}

/// Exit code of a refusal.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code of wrong usage or invalid input.
pub const EXIT_INVALID: u8 = 2;
/// Exit code of a request whose outcome is unknown.
pub const EXIT_UNKNOWN: u8 = 3;

impl CommandError {
    /// Creates an error with the advice of the result code.
    pub fn new(code: code::ResultCode, message: String, exit: u8) -> Self {
        Self {
            code,
            message,
            advice: String::new(),
            exit,
        }
    }
}

/// Prints the error of a command, if any, and returns the exit code.
pub fn finish(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit)
        }
    }
}

/// Decodes the body of a response.
pub fn parse_response<T: DeserializeOwned>(body: &[u8]) -> Result<T, CommandError> {
    serde_json::from_slice(body).map_err(|error| invalid_response(&error))
}

/// Returns the error for a response that cannot be decoded.
pub fn invalid_response(error: &serde_json::Error) -> CommandError {
    CommandError::new(
        code::ResultCode::AnswerUnreadable,
        error.to_string(),
        EXIT_UNKNOWN,
    )
}

/// Converts the body of a refusal to an error.
pub fn refusal(body: &[u8]) -> CommandError {
    let document: serde_json::Value = match parse_response(body) {
        Ok(document) => document,
        Err(error) => return error,
    };
    let code = document["code"].as_str().and_then(|code| code.parse().ok());
    let code = code.unwrap_or(code::ResultCode::AnswerUnreadable);
    let message = document["message"].as_str().unwrap_or("no message").into();
    CommandError::new(code, message, EXIT_REFUSED)
}

/// Reads a file named on the command line.
pub fn read_file(path: &std::path::Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| file_error(path, &error.to_string()))
}

/// Returns the error for a file that cannot be read or parsed.
pub fn file_error(path: &std::path::Path, message: &str) -> CommandError {
    let message = format!("{}: {message}", path.display());
    CommandError::new(code::ResultCode::FileInvalid, message, EXIT_INVALID)
}

impl SessionOptions {
    /// Sends a request to the addresses in order until one responds.
    ///
    /// A change may reach several processes this way: the change id makes a resend idempotent. If
    /// none responds and one may have received the change, the outcome is unknown.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Response<Bytes>, CommandError> {
        let token = self.token()?;
        let mut failures = Vec::new();
        let mut may_have_been_received = false;
        for address in &self.operators {
            let mut request = Request::new(Full::new(Bytes::from(body.clone())));
            *request.method_mut() = method.clone();
            *request.uri_mut() = path.parse().map_err(|_not_a_path| bad_path(path))?;
            if let Some(token) = &token {
                let value = format!("Bearer {token}").parse();
                let value = value.map_err(|_not_a_value| bad_token())?;
                request.headers_mut().insert(header::AUTHORIZATION, value);
            }
            match client::exchange(*address, request).await {
                Ok(response) => return Ok(response),
                Err(error) => {
                    may_have_been_received |= method == Method::POST && !error.is_unsent();
                    failures.push(format!("{address}: {error}"));
                }
            }
        }
        let exit = if may_have_been_received {
            EXIT_UNKNOWN
        } else {
            EXIT_REFUSED
        };
        let code = code::ResultCode::OperatorsUnreachable;
        Err(CommandError::new(code, failures.join("; "), exit))
    }

    /// Sends a GET request and decodes the response. A refusal is returned as an error.
    pub async fn fetch(&self, path: &str) -> Result<serde_json::Value, CommandError> {
        let response = self.send(Method::GET, path, Vec::new()).await?;
        if response.status() == StatusCode::OK {
            return parse_response(response.body());
        }
        Err(refusal(response.body()))
    }

    fn token(&self) -> Result<Option<String>, CommandError> {
        let Some(path) = &self.token_file else {
            return Ok(None);
        };
        Ok(Some(read_file(path)?.trim().into()))
    }
}

fn bad_path(path: &str) -> CommandError {
    let message = format!("{path:?} is not a valid request path");
    CommandError::new(code::ResultCode::UsageInvalid, message, EXIT_INVALID)
}

fn bad_token() -> CommandError {
    let message = "the token file contains characters that are not allowed in a token".into();
    CommandError::new(code::ResultCode::FileInvalid, message, EXIT_INVALID)
}
