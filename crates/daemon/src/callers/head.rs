//! Reads the head of a caller's request. Routing fields are read once, and a request in which they
//! are ambiguous is rejected.

use bytes::Bytes;
use hazeltiller_catalogue::change;
use hazeltiller_engine::{calls, organisations};
use hazeltiller_units::ids;
use hazeltiller_wire::ledger;
use hyper::{Request, header};

use crate::{dialect, http};

/// Returns the description of a request that the engine decides on.
pub fn call_arrival(
    call: ids::CallId,
    request: &Request<http::StreamBody>,
    head: &dialect::CallHead,
    caller: Option<&ids::EntryName>,
) -> Result<calls::CallArrival, dialect::HeaderError> {
    let host_header = dialect::single_value(request.headers(), header::HOST.as_str())?;
    let host = request.uri().host().or(host_header);
    Ok(calls::CallArrival {
        call,
        host: host.map(|host| host.split(':').next().unwrap_or(host).into()),
        path: request.uri().path().into(),
        method: request.method().as_str().into(),
        key: head.key.clone(),
        deadline_left: head.deadline_left,
        fingerprint: None,
        attempt: head.attempt.unwrap_or(1),
        caller: caller.cloned(),
        api_key: request_key(head.api_key.as_deref()),
    })
}

/// Returns the hash of the API key that a request carries. The engine never sees the key.
fn request_key(api_key: Option<&str>) -> organisations::RequestKey {
    match api_key {
        None => organisations::RequestKey::Absent,
        Some("") => organisations::RequestKey::Malformed,
        Some(key) => organisations::RequestKey::Hashed(change::token_hash(key)),
    }
}

/// Sets the `host` header from the URI's authority, where HTTP/2 carries the host. The nodes and
/// targets downstream read the header.
pub fn set_host_header(parts: &mut hyper::http::request::Parts) {
    let Some(authority) = parts.uri.authority() else {
        return;
    };
    let host = authority.as_str().parse();
    let host = host.expect("an authority is a valid header value");
    parts.headers.insert(header::HOST, host);
}

/// Bytes at the beginning of a long body by which its request is told from others.
pub const PREFIX_BYTES: usize = 4096;

/// What is known of a request's body before the request is offered.
#[derive(Debug)]
pub struct BodyContent {
    /// The frames that have arrived.
    pub frames: Vec<Bytes>,
    /// Whether they are the whole body.
    pub is_whole: bool,
    /// The declared length, in bytes.
    pub length: Option<u64>,
}

impl BodyContent {
    /// Adds the content to a digest: the whole body, or the length and the beginning of a long one.
    /// Returns whether it identifies the body.
    fn hash(&self, hasher: &mut blake3::Hasher) -> bool {
        if self.is_whole {
            hasher.update(b"body");
            for frame in &self.frames {
                hasher.update(frame);
            }
            return true;
        }
        let Some(length) = self.length else {
            return false;
        };
        hasher.update(b"prefix").update(&length.to_le_bytes());
        let mut left = PREFIX_BYTES;
        for frame in &self.frames {
            let part = &frame[..left.min(frame.len())];
            hasher.update(part);
            left -= part.len();
        }
        left == 0
    }
}

/// Returns a digest that identifies a request: of its method, path and idempotency key or, without
/// a key, its body. Returns `None` if there is no key and too little of the body has arrived.
pub fn request_fingerprint(
    parts: &hyper::http::request::Parts,
    key: Option<&str>,
    content: &BodyContent,
) -> Option<ledger::RequestDigest> {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut hasher = blake3::Hasher::new();
    for text in [parts.method.as_str(), path] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    match key {
        Some(key) => drop(hasher.update(b"key").update(key.as_bytes())),
        None if content.hash(&mut hasher) => {}
        None => return None,
    }
    let digest = hasher.finalize();
    let digest = digest.as_bytes().first_chunk();
    Some(ledger::RequestDigest(*digest.expect("a hash has 32 bytes")))
}
