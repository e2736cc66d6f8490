//! Pluggable protocols, called dialects, towards callers, targets and operators.
//!
//! A dialect decodes the headers and bodies of one of these external interfaces into typed requests
//! and encodes the responses, so that the rest of the daemon depends on no header name or body
//! format. [`native`] is the default. A program can link other implementations and pass them in the
//! start options of the process.

pub mod native;

use std::{sync::Arc, time::Duration};

use hazeltiller_catalogue::{change, rollout};
use hazeltiller_engine::{membership, signals};
use hazeltiller_units::{code, ids, measure};
use hazeltiller_wire::calls as wire;
use hyper::{HeaderMap, Method, Response, body::Bytes};
use snafu::Snafu;

use crate::http as bodies;

/// Call metadata from the head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the request. One is generated if absent.
    pub request: Option<ids::RequestId>,
    /// Time left until the caller's deadline.
    pub deadline_left: Option<Duration>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Highest attempt number among the hops that the call has passed, from 1.
    pub attempt: Option<u32>,
    /// API key of the caller's organisation. `Some` but empty if the header that should carry it
    /// contains something else.
    pub api_key: Option<String>,
}

/// A significant header is duplicated or cannot be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("a header is duplicated or cannot be parsed"))]
pub struct HeaderError;

/// Metadata of an attempt that is sent to the target in addition to the caller's request.
#[derive(Debug, Clone)]
pub struct AttemptMetadata {
    /// The intended target.
    pub target: ids::TargetName,
    /// Id of the request.
    pub request: ids::RequestId,
    /// Time left until the deadline.
    pub deadline_left: Duration,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Service of the target that sent the request, if one did.
    pub caller: Option<ids::EntryName>,
    /// Organisation that the request belongs to, if it carried an API key.
    pub organisation: Option<ids::EntryName>,
}

/// What the head of a target's response establishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// It is a response to this request.
    Valid,
    /// The target declined the request without running it.
    Declined,
    /// Another target listens at the address, and did not run the request.
    WrongTarget,
    /// It cannot be proven to be an authentic and unmodified response to this request.
    Invalid,
}

/// Encoding of call metadata in the requests and responses of callers and targets.
pub trait CallDialect: std::fmt::Debug + Send + Sync {
    /// Decodes the headers of a caller's request.
    fn read_head(&self, headers: &HeaderMap) -> Result<CallHead, HeaderError>;

    /// Removes the API key from the headers of a caller's request.
    fn strip_api_key(&self, headers: &mut HeaderMap);

    /// Adds the metadata of an attempt to the headers of a request to a target.
    fn set_target_headers(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata);

    /// Validates the head of a target's response.
    fn check_response(
        &self,
        head: &http::response::Parts,
        metadata: &AttemptMetadata,
    ) -> ResponseVerdict;

    /// Returns whether the head of a response to a health probe says that the target is healthy.
    fn is_healthy(&self, head: &http::response::Parts, target: &ids::TargetName) -> bool;

    /// Decodes the signals in the head of a target's response.
    fn read_signals(&self, headers: &HeaderMap) -> signals::ResponseSignals;

    /// Adds the headers meant for the caller to a response that is passed on.
    fn set_caller_headers(&self, headers: &mut HeaderMap, request: &ids::RequestId);

    /// Returns the response that reports a refusal to a caller.
    fn refuse(
        &self,
        refusal: &wire::CallRefusal,
        request: &ids::RequestId,
    ) -> Response<bodies::StreamBody>;
}

/// A decoded request of a target to its node.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetRequest {
    /// Announces the target or renews its lease. A lease of zero stands for the default lease.
    Announce(membership::TargetAnnouncement),
    /// Withdraws the target.
    Withdraw(ids::TargetName),
}

/// Why a request of a target or an operator is rejected.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestError {
    /// The result code.
    pub code: code::ResultCode,
    /// What is wrong with the request.
    pub message: String,
    /// Whether the path or method is unknown, as opposed to an invalid body.
    pub is_unknown_endpoint: bool,
}

/// Encoding of the requests by which targets announce themselves.
pub trait TargetDialect: std::fmt::Debug + Send + Sync {
    /// Decodes a request.
    fn read(&self, method: &Method, path: &str, body: &[u8])
    -> Result<TargetRequest, RequestError>;

    /// Returns the response to an accepted request.
    fn accept(&self) -> Response<bodies::StreamBody>;

    /// Returns the response to a rejected request.
    fn refuse(&self, rejection: &RequestError) -> Response<bodies::StreamBody>;
}

/// A decoded request of an operator to the control group.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// Reads the current revision.
    Read,
    /// Replaces the whole catalogue.
    Replace(Box<change::ChangeRequest>),
    /// Starts a rollout of a service to another version.
    StartRollout(rollout::RolloutOrder),
    /// Reads the latest rollout of a service.
    ReadRollout(ids::EntryName),
}

/// The result of an operator's request.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorResponse {
    /// The new catalogue was accepted as the revision with this label.
    Accepted(ids::RevisionLabel),
    /// The current revision.
    Revision(change::CatalogueRevision),
    /// There is no revision yet.
    NoRevision,
    /// The rollout was accepted.
    RolloutOrdered,
    /// The latest rollout of a service.
    Rollout(Box<rollout::RolloutEntry>),
    /// The service has had no rollout.
    NoRollout,
    /// The request was rejected.
    Refused {
        /// The reason.
        code: code::ResultCode,
        /// Validation errors, if any.
        faults: Vec<change::CatalogueFault>,
    },
    /// The control at this address serves the request.
    Redirect(std::net::SocketAddr),
    /// It is unknown whether the request was accepted.
    Unknown,
}

/// An additional operator interface beside the native one.
pub trait OperatorDialect: std::fmt::Debug + Send + Sync {
    /// Returns whether a path belongs to this dialect.
    fn serves(&self, path: &str) -> bool;

    /// Decodes a request.
    fn read(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<OperatorRequest, RequestError>;

    /// Encodes the response to a request.
    fn answer(&self, path: &str, response: &OperatorResponse) -> Response<bodies::StreamBody>;

    /// Returns the response to a request that cannot be decoded.
    fn refuse(&self, rejection: &RequestError) -> Response<bodies::StreamBody>;
}

/// The dialects that a process uses.
#[derive(Debug, Clone)]
pub struct DialectSet {
    /// For calls, towards callers and targets.
    pub calls: Arc<dyn CallDialect>,
    /// For announcements of targets.
    pub targets: Arc<dyn TargetDialect>,
    /// For operators, in addition to the native interface. Its requests need no token.
    pub operators: Option<Arc<dyn OperatorDialect>>,
}

impl Default for DialectSet {
    fn default() -> Self {
        Self {
            calls: Arc::new(native::NativeCalls),
            targets: Arc::new(native::NativeTargets),
            operators: None,
        }
    }
}

/// Returns the value of a header that may occur at most once.
pub fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, HeaderError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(HeaderError);
    }
    let text = first.map(hyper::header::HeaderValue::to_str).transpose();
    text.map_err(|_no_text| HeaderError)
}

/// Returns the API key in the `authorization` header: the text after the scheme. An empty text
/// stands for a header of another form. `None` if there is no such header.
pub fn api_key(headers: &HeaderMap, scheme: &str) -> Result<Option<String>, HeaderError> {
    let Some(value) = single_value(headers, hyper::header::AUTHORIZATION.as_str())? else {
        return Ok(None);
    };
    let key = value
        .split_once(' ')
        .filter(|(given, _)| given.eq_ignore_ascii_case(scheme))
        .map_or("", |(_, key)| key.trim());
    Ok(Some(key.into()))
}

/// Value of the header by which a target says that it leaves.
const LEAVING_VALUE: &str = "1";

/// Returns the signals in the two headers that carry them in a dialect.
pub fn signals_in(
    headers: &HeaderMap,
    rate_limit_name: &str,
    leaving_name: &str,
) -> signals::ResponseSignals {
    let parse_limit = |text: &str| text.parse::<measure::RequestRate>().ok();
    let parse_leaving = |text: &str| (text.trim() == LEAVING_VALUE).then_some(());
    signals::ResponseSignals {
        rate_limit: signal_value(headers, rate_limit_name, parse_limit),
        leaving: signal_value(headers, leaving_name, parse_leaving),
    }
}

/// Returns the value of a signal's header. A header that occurs more than once is malformed.
fn signal_value<T>(
    headers: &HeaderMap,
    name: &str,
    parse: impl FnOnce(&str) -> Option<T>,
) -> signals::SignalValue<T> {
    match single_value(headers, name) {
        Ok(None) => signals::SignalValue::Absent,
        Ok(Some(text)) => parse(text).map_or(
            signals::SignalValue::Malformed,
            signals::SignalValue::Present,
        ),
        Err(HeaderError) => signals::SignalValue::Malformed,
    }
}
