//! How a node and a control speak with those outside: callers, targets and operators.
//!
//! The daemon decides nothing by a header's name or a body's layout. At each of three borders a
//! dialect reads what came into fields that say what they hold, and writes what the system has
//! decided. [`own`] is the project's own interface; a program that links another implementation
//! hands it over at the start of the process.

pub mod native;

use std::{sync::Arc, time::Duration};

use hazeltiller_catalogue::{change, rollout};
use hazeltiller_engine::membership;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use hyper::{HeaderMap, Method, Response, body::Bytes};
use snafu::Snafu;

use crate::http as bodies;

/// What a caller's head says beside method, path and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the request; absent: one is given to it.
    pub request: Option<ids::RequestId>,
    /// Time that the caller leaves.
    pub deadline_left: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The largest number of a try along the call's way here, from 1.
    pub attempt: Option<u32>,
}

/// A header that decides something stands twice or cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("a header is ambiguous"))]
pub struct HeaderError;

/// What a target is told of a call beside the caller's own head.
#[derive(Debug, Clone)]
pub struct AttemptMetadata {
    /// The target that is meant.
    pub target: ids::TargetName,
    /// Id of the request.
    pub request: ids::RequestId,
    /// Time left.
    pub deadline_left: Duration,
    /// Number of the try, from 1.
    pub attempt: u32,
    /// Service whose target the request came from, where it did.
    pub caller: Option<ids::EntryName>,
}

/// What a target's head of an answer proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// It answers this request.
    Valid,
    /// The target did not run it.
    Declined,
    /// Another target stands at the address; it did not run it.
    WrongTarget,
    /// It is no answer to this request, or no success that can be passed on as one.
    Invalid,
}

/// How callers and targets speak of a call.
pub trait CallDialect: std::fmt::Debug + Send + Sync {
    /// Reads a caller's head.
    fn read_head(&self, headers: &HeaderMap) -> Result<CallHead, HeaderError>;

    /// Puts what a target is told into the headers that go to it.
    fn set_target_headers(&self, headers: &mut HeaderMap, order: &AttemptMetadata);

    /// Judges the head of a target's answer.
    fn check_response(
        &self,
        head: &http::response::Parts,
        order: &AttemptMetadata,
    ) -> ResponseVerdict;

    /// Puts what a caller is told into the headers of a target's answer that is passed on.
    fn set_caller_headers(&self, headers: &mut HeaderMap, request: &ids::RequestId);

    /// The answer that tells a caller of a refusal.
    fn refuse(
        &self,
        refusal: &wire::CallRefusal,
        request: &ids::RequestId,
    ) -> Response<bodies::StreamBody>;
}

/// What a target wants of its node.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetRequest {
    /// To be announced; a lease of zero stands for the one of the settings.
    Announce(membership::TargetAnnouncement),
    /// To be withdrawn.
    Withdraw(ids::TargetName),
}

/// Why a message of a target or an operator is not taken.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestError {
    /// Its code.
    pub code: code::ResultCode,
    /// What is wrong with the message.
    pub message: String,
    /// Whether the path or method is at fault rather than the body.
    pub is_unknown_endpoint: bool,
}

/// How targets announce themselves.
pub trait TargetDialect: std::fmt::Debug + Send + Sync {
    /// Reads a message.
    fn read(&self, method: &Method, path: &str, body: &[u8])
    -> Result<TargetRequest, RequestError>;

    /// The answer to a message that was taken.
    fn accept(&self) -> Response<bodies::StreamBody>;

    /// The answer to one that was not.
    fn refuse(&self, fault: &RequestError) -> Response<bodies::StreamBody>;
}

/// What an operator wants of the control group.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// The revision in place.
    Read,
    /// To replace the whole catalogue.
    Replace(Box<change::ChangeRequest>),
    /// To move a service to another version.
    StartRollout(rollout::RolloutOrder),
    /// The latest roll-out of a service.
    ReadRollout(ids::EntryName),
}

/// What an operator is answered.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorResponse {
    /// The replacement is accepted under this label.
    Accepted(ids::RevisionLabel),
    /// The revision in place.
    Revision(change::CatalogueRevision),
    /// There is no revision yet.
    NoRevision,
    /// The order of a roll-out is accepted.
    RolloutOrdered,
    /// The latest roll-out of a service.
    Rollout(Box<rollout::RolloutEntry>),
    /// The service has had no roll-out.
    NoRollout,
    /// It was not accepted; the code says why.
    Refused {
        /// Why.
        code: code::ResultCode,
        /// Its faults, where it has some.
        faults: Vec<change::CatalogueFault>,
    },
    /// The control at this address takes it.
    Redirect(std::net::SocketAddr),
    /// Whether it is accepted cannot be told.
    Unknown,
}

/// How operators speak, beside the project's own pages.
pub trait OperatorDialect: std::fmt::Debug + Send + Sync {
    /// Whether a path belongs to this dialect.
    fn serves(&self, path: &str) -> bool;

    /// Reads a message.
    fn read(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<OperatorRequest, RequestError>;

    /// The answer to one.
    fn answer(&self, path: &str, answer: &OperatorResponse) -> Response<bodies::StreamBody>;

    /// The answer to one that cannot be read.
    fn refuse(&self, fault: &RequestError) -> Response<bodies::StreamBody>;
}

/// The dialects of a process.
#[derive(Debug, Clone)]
pub struct DialectSet {
    /// With callers and targets, of calls.
    pub calls: Arc<dyn CallDialect>,
    /// With targets, of themselves.
    pub targets: Arc<dyn TargetDialect>,
    /// With operators, beside the project's own pages; its callers are not asked for a token.
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

/// A header's text if it is there once.
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
