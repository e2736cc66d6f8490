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

/// Returns a digest that identifies a request: of its method, path and idempotency key or, without
/// a key, its body. Returns `None` if there is no key and the body is not buffered in full.
pub fn request_fingerprint(
    parts: &hyper::http::request::Parts,
    key: Option<&str>,
    body: Option<Vec<Bytes>>,
) -> Option<ledger::RequestDigest> {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut hasher = blake3::Hasher::new();
    for text in [parts.method.as_str(), path] {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    match (key, body) {
        (Some(key), _) => drop(hasher.update(b"key").update(key.as_bytes())),
        (None, Some(chunks)) => {
            hasher.update(b"body");
            for chunk in chunks {
                hasher.update(&chunk);
            }
        }
        (None, None) => return None,
    }
    let digest = hasher.finalize();
    let digest = digest.as_bytes().first_chunk();
    Some(ledger::RequestDigest(*digest.expect("a hash has 32 bytes")))
}
