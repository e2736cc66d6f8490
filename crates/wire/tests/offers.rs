//! Splitting of an offer into terms, which repeat for a route, and the part of one attempt.

use hazeltiller_wire::{calls, codec, ledger};

fn offer(target: &str, deadline_left_ms: u32) -> calls::CallOffer {
    let mut offer: calls::CallOffer = serde_json::from_value(serde_json::json!({
        "target": target, "route": "issue", "service": "registru", "owner": "registru",
        "class": "counter", "cost": 5, "deadline_left_ms": deadline_left_ms, "first_byte_ms": 2000,
        "attempt": 1, "is_idempotent": false, "key": "key-1", "latency_left_ms": 600,
        "patience_ms": 20, "caller": "arhiva",
    }))
    .expect("the sample has every field of an offer");
    offer.fingerprint = Some(ledger::RequestDigest([7; 16]));
    offer
}

#[test]
fn parts_joined() {
    let whole = offer("registru-1", 5000);
    let (terms, attempt) = whole.clone().split();
    let terms = codec::decode_header(&codec::encode_header(&terms)).expect("it was encoded");
    let attempt = codec::decode_header(&codec::encode_header(&attempt)).expect("it was encoded");
    assert_eq!(calls::CallOffer::join(terms, attempt), whole);
}

/// The terms of all calls of a route are encoded identically, so that header compression sends them
/// once. The rest takes less than a third of the whole offer in hexadecimal.
#[test]
fn terms_repeat() {
    let (terms, attempt) = offer("registru-1", 5000).split();
    let (other_terms, _) = offer("registru-2", 1200).split();
    assert_eq!(
        codec::encode_header(&terms),
        codec::encode_header(&other_terms)
    );
    let attempt_bytes = codec::encode_header(&attempt).len();
    let hex_bytes = codec::encoded_size(&offer("registru-1", 5000)) * 2;
    assert!(
        attempt_bytes * 3 < hex_bytes,
        "{attempt_bytes} of {hex_bytes} bytes for each call"
    );
}
