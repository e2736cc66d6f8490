//! Headers that callers and targets use.
//!
//! They are defined here independently of the daemon's crates, because callers and targets know
//! only the documented interface.

/// Idempotency key of a caller's request. A resend has the same key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time left until the caller's deadline, in milliseconds.
pub const DEADLINE: &str = "hazeltiller-deadline-ms";
/// Highest attempt number among the hops of a call. A target copies it to the calls that it makes.
pub const ATTEMPT: &str = "hazeltiller-attempt";
/// Result code of a response that the system generated itself.
pub const CODE: &str = "hazeltiller-code";
/// Outcome of the request, in a response that the system generated itself.
pub const OUTCOME: &str = "hazeltiller-outcome";
/// Value of [`OUTCOME`] for a request that did not run.
pub const NOT_RUN_OUTCOME: &str = "not-run";
/// Header of a target's responses with the requests per second that it takes from all nodes
/// together, as a decimal number.
pub const RATE_LIMIT: &str = "target-rate-limit";
/// Header of the responses of a target that leaves; its value is [`LEAVING_VALUE`].
pub const LEAVING: &str = "target-leaving";
/// Value of [`LEAVING`].
pub const LEAVING_VALUE: &str = "1";
/// Id of a request. A target that declines the request echoes it.
pub const REQUEST: &str = "hazeltiller-request";
/// Header of the response of a target that did not run the request.
pub const DECLINED: &str = "target-declined";
