//! The two parts of an offer.

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

/// What repeats for a route is one text, which header compression sends once; the rest is less than a
/// third of what the whole offer takes as one header of hexadecimal.
#[test]
fn terms_repeat() {
    let (one, attempt) = offer("registru-1", 5000).split();
    let (other, _) = offer("registru-2", 1200).split();
    assert_eq!(codec::encode_header(&one), codec::encode_header(&other));
    let bytes = codec::encode_header(&attempt).len();
    let whole = codec::encoded_size(&offer("registru-1", 5000)) * 2;
    assert!(bytes * 3 < whole, "{bytes} of {whole} bytes for each call");
}
