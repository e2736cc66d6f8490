//! The head of a caller's request: what decides is read once, and nothing ambiguous passes.

use bytes::Bytes;
use hazeltiller_engine::calls;
use hazeltiller_units::ids;
use hazeltiller_wire::ledger;
use hyper::{Request, header};

use crate::{dialect, http};

/// What the reducer is told of a request.
pub fn describe(
    call: ids::CallId,
    request: &Request<http::StreamBody>,
    told: &dialect::CallHead,
    caller: Option<&ids::EntryName>,
) -> Result<calls::CallArrival, dialect::HeaderError> {
    let named = dialect::single_value(request.headers(), header::HOST.as_str())?;
    let host = request.uri().host().or(named);
    Ok(calls::CallArrival {
        call,
        host: host.map(|host| host.split(':').next().unwrap_or(host).into()),
        path: request.uri().path().into(),
        method: request.method().as_str().into(),
        key: told.key.clone(),
        deadline_left: told.deadline_left,
        fingerprint: None,
        attempt: told.attempt.unwrap_or(1),
        caller: caller.cloned(),
    })
}

/// A request of HTTP/2 names its host in its URI; those behind this node read the header.
pub fn name_host(parts: &mut hyper::http::request::Parts) {
    let Some(authority) = parts.uri.authority() else {
        return;
    };
    let host = authority.as_str().parse();
    let host = host.expect("an authority is a header's value");
    parts.headers.insert(header::HOST, host);
}

/// The digest that stands for a request: of its key, or of its body where that is kept whole.
pub fn fingerprint(
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
        (None, Some(pieces)) => {
            hasher.update(b"body");
            for piece in pieces {
                hasher.update(&piece);
            }
        }
        (None, None) => return None,
    }
    let digest = hasher.finalize();
    let digest = digest.as_bytes().first_chunk();
    Some(ledger::RequestDigest(*digest.expect("a hash has 32 bytes")))
}
