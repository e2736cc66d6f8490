//! Admission of callers' requests by what they hold in memory, before anything of them is kept.

use hazeltiller_engine::settings as engine_settings;
use hyper::body::Body;

use crate::{client_connections, http, http1, process};

/// Bytes of memory that a request takes besides its head and its body, until its response is written:
/// its task, and its state in the engine.
pub(super) const REQUEST_OVERHEAD_BYTES: u64 = 16_384;

/// A request whose memory is on the account of its connection.
pub(super) struct AdmittedRequest {
    pub(super) request: http1::CallRequest,
    pub(super) connection: client_connections::ClientConnection,
    pub(super) open: client_connections::OpenRequest,
    pub(super) held: client_connections::HeldBytes,
}

/// Admits a request unless too much is held for callers. The error is the response that refuses it.
pub(super) fn admit(
    context: &process::ProcessContext,
    connection: &client_connections::ClientConnection,
    request: http1::CallRequest,
) -> Result<AdmittedRequest, Box<http1::CallResponse>> {
    let open = connection.begin_request();
    let needed_bytes = needed_bytes(&context.request_tunables, &request);
    match connection.admit(needed_bytes) {
        Some(held) => Ok(AdmittedRequest {
            request,
            connection: connection.clone(),
            open,
            held,
        }),
        None => Err(Box::new(refuse_for_memory(context, &request))),
    }
}

/// Returns the bytes that a request holds until its response comes: its head, of which each attempt
/// has a copy, what is kept of its body, and as much that was received and not read yet.
fn needed_bytes(tunables: &engine_settings::RequestTunables, request: &http1::CallRequest) -> u64 {
    let target_bytes = request
        .uri()
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let head_bytes = http::headers_bytes(request.headers()) + target_bytes as u64;
    let body_bytes = match request.body().size_hint().upper() {
        Some(bytes) => bytes.min(tunables.replay_bytes),
        None => tunables.replay_bytes,
    };
    REQUEST_OVERHEAD_BYTES + 2 * (head_bytes + body_bytes)
}

fn refuse_for_memory(
    context: &process::ProcessContext,
    request: &http1::CallRequest,
) -> http1::CallResponse {
    let dialect = &context.dialects.calls;
    let head = dialect.read_head(request.headers()).ok();
    let id = head.and_then(|head| head.request);
    let id = id.unwrap_or_else(|| context.request_ids.new_id());
    dialect.refuse(&client_connections::memory_refusal(), &id)
}
