//! Decoders of bytes received from other processes never panic, decoded values survive a round
//! trip, and small inputs cause no large allocations.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
    net::SocketAddr,
};

use hazeltiller_catalogue::{change, delta, entry, state};
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{
    calls, codec, dissemination, handshake, membership, message, replication as wire_replication,
    signals,
};
use proptest::{
    collection,
    prelude::{Strategy, any, prop},
    test_runner::{Config, RngSeed, TestRunner},
};
use serde::{Serialize, de::DeserializeOwned};

const SEED: u64 = 7;
const CASES: u32 = 2000;
const MAX_INPUT_BYTES: usize = 512;
/// Maximum size of one allocation while a small frame is decoded, in bytes. Serde itself
/// preallocates up to a fixed limit for the lengths that the input declares.
const MAX_SMALL_ALLOCATION_BYTES: usize = 2 << 20;

/// Records the largest allocation of each thread.
struct RecordingAllocator;

thread_local! {
    static LARGEST: Cell<usize> = const { Cell::new(0) };
}

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for RecordingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        // The thread-local value is gone while a thread terminates; nothing is recorded then.
        let _: Result<(), _> =
            LARGEST.try_with(|largest| largest.set(largest.get().max(layout.size())));
        // SAFETY: the caller upholds the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the block was allocated by `alloc` above, hence by the system allocator.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: RecordingAllocator = RecordingAllocator;

/// Runs a function and returns its result and its largest allocation in bytes.
fn measure_largest<T>(function: impl FnOnce() -> T) -> (T, usize) {
    LARGEST.set(0);
    let result = function();
    (result, LARGEST.get())
}

/// Returns the maximum size of one allocation in bytes. A compressed frame, whose first byte is 1,
/// may declare any size up to the frame limit.
fn allocation_bound(bytes: &[u8]) -> usize {
    if bytes.first() == Some(&1) {
        codec::MAX_FRAME_BYTES
    } else {
        MAX_SMALL_ALLOCATION_BYTES
    }
}

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

/// Returns whether bytes can be decoded, and checks that the value survives a round trip.
fn round_trip_body<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> bool {
    let Ok(value) = codec::decode_body::<T>(bytes) else {
        return false;
    };
    let encoded = codec::encode_body(&value);
    let decoded: T = codec::decode_body(&encoded).expect("an encoded value can be decoded");
    assert_eq!(codec::encode_body(&decoded), encoded);
    true
}

fn round_trip_header<T: Serialize + DeserializeOwned>(text: &str) -> bool {
    let Ok(value) = codec::decode_header::<T>(text) else {
        return false;
    };
    let encoded = codec::encode_header(&value);
    let decoded: T = codec::decode_header(&encoded).expect("an encoded value can be decoded");
    assert_eq!(codec::encode_header(&decoded), encoded);
    true
}

/// Returns how many of the message types the bytes can be decoded as.
fn count_body_types(bytes: &[u8]) -> usize {
    let decoded = [
        round_trip_body::<message::PeerFrame>(bytes),
        round_trip_body::<handshake::LinkHello>(bytes),
        round_trip_body::<handshake::LinkChallenge>(bytes),
        round_trip_body::<handshake::LinkProof>(bytes),
        round_trip_body::<wire_replication::LogSnapshot>(bytes),
    ];
    decoded.iter().filter(|is_decoded| **is_decoded).count()
}

/// Returns how many of the header types the text can be decoded as.
fn count_header_types(text: &str) -> usize {
    let decoded = [
        round_trip_header::<calls::CallOffer>(text),
        round_trip_header::<calls::CallRefusal>(text),
        round_trip_header::<calls::LoadReport>(text),
        round_trip_header::<message::HybridTime>(text),
        round_trip_header::<signals::SignalReport>(text),
    ];
    decoded.iter().filter(|is_decoded| **is_decoded).count()
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the name is valid")
}

fn identity() -> membership::PeerIdentity {
    membership::PeerIdentity {
        instance: name("registru-brasov-a-1"),
        data_centre: name("brasov-a"),
        region: name("ro-centru"),
        address: SocketAddr::from(([127, 0, 0, 1], 7001)),
        operators: None,
        is_control: true,
        is_node: true,
        incarnation: ids::IncarnationNumber(u64::MAX),
    }
}

fn change_set() -> change::ChangeSet {
    let text = r#"{"put": [
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter",
         "limits": {"rate": "500/s"}},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "issue", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/certificates"}}]}"#;
    serde_json::from_str(text).expect("the change can be parsed")
}

/// Returns frames of the message kinds that carry the most data.
fn frames() -> Vec<message::PeerFrame> {
    let set = change_set();
    let term = ids::LeaderTerm(3);
    let state = state::CatalogueState::default();
    let state = state.apply(&set, term).expect("the change is valid");
    let record = membership::MemberRecord {
        identity: identity(),
        sequence: 9,
        has_left: false,
        targets: vec![membership::TargetRecord {
            name: name("registru-1"),
            service: name("registru"),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            slots: 10,
            connections: 130,
            state: membership::TargetState::Ready,
            incarnation: ids::IncarnationNumber::default(),
            version: None,
        }],
    };
    let step = delta::DeltaStep { term, set };
    let delta = delta::CatalogueDelta {
        base: ids::CatalogueVersion(0),
        steps: vec![step],
        digest: state.digest,
    };
    let packed = dissemination::PackedCatalogue::pack(&state);
    let clock = message::HybridTime {
        wall: time::WallTime(u64::MAX),
        count: u32::MAX,
    };
    [
        message::PeerMessage::Dissemination(dissemination::DisseminationMessage::Delta(delta)),
        message::PeerMessage::Dissemination(dissemination::DisseminationMessage::Snapshot(packed)),
        message::PeerMessage::Membership(membership::MembershipMessage::Records(vec![record; 20])),
    ]
    .map(|message| message::PeerFrame { clock, message })
    .into()
}

fn offer() -> calls::CallOffer {
    let mut offer: calls::CallOffer = serde_json::from_value(serde_json::json!({
        "target": "registru-1", "route": "issue", "service": "registru", "owner": "registru",
        "class": "counter", "cost": 5, "deadline_left_ms": 5000, "first_byte_ms": 2000,
        "attempt": 1, "is_idempotent": false, "key": null, "latency_left_ms": 600, "patience_ms": 20,
    }))
    .unwrap_or_else(|error| panic!("the sample offer cannot be parsed: {error}"));
    offer.key = Some("key-1".into());
    offer
}

#[test]
fn arbitrary_bytes() {
    let bytes = collection::vec(any::<u8>(), 0..MAX_INPUT_BYTES);
    let tagged = bytes.prop_map(|mut bytes| {
        // Most values of the first byte are rejected at once; small ones often reach the decoder.
        if let Some(first) = bytes.first_mut() {
            *first %= 4;
        }
        bytes
    });
    let outcome = runner().run(&tagged, |bytes| {
        let (_decoded, largest) = measure_largest(|| count_body_types(&bytes));
        let bound = allocation_bound(&bytes);
        assert!(largest <= bound, "one allocation of {largest} bytes");
        Ok(())
    });
    outcome.expect("no case fails");
}

#[test]
fn arbitrary_headers() {
    let text = prop::string::string_regex("([0-9A-Za-z_-]{2}|[+gé ]){0,64}")
        .expect("the pattern is valid");
    let outcome = runner().run(&text, |text| {
        count_header_types(&text);
        Ok(())
    });
    outcome.expect("no case fails");
    codec::decode_header::<calls::LoadReport>("+1+1+1+1+1")
        .expect_err("a plus sign is not URL-safe base64");
}

#[test]
fn damaged_frames() {
    let bodies: Vec<Vec<u8>> = frames().iter().map(codec::encode_body).collect();
    for body in &bodies {
        assert_eq!(count_body_types(body), 1, "an intact frame can be decoded");
    }
    let damage = (
        0..bodies.len(),
        any::<prop::sample::Index>(),
        any::<u8>(),
        any::<prop::sample::Index>(),
    );
    let outcome = runner().run(&damage, |(body, at, byte, cut)| {
        let mut bytes = bodies[body].clone();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        bytes.truncate(cut.index(bytes.len()) + 1);
        let (_decoded, largest) = measure_largest(|| count_body_types(&bytes));
        let bound = allocation_bound(&bytes);
        assert!(largest <= bound, "one allocation of {largest} bytes");
        Ok(())
    });
    outcome.expect("no case fails");
}

#[test]
fn damaged_headers() {
    let refusal = calls::CallRefusal::not_run(code::ResultCode::RateExceeded).with_limit(
        calls::CallLimit {
            entry: entry::EntryKey {
                kind: entry::EntryKind::Owner,
                name: name("registru"),
            },
            field: calls::LimitField::Rate,
        },
        100,
    );
    let report = signals::SignalReport {
        rate_limit: Some("2.5".parse().expect("a valid rate")),
        ..signals::SignalReport::default()
    };
    let texts = [
        codec::encode_header(&offer()),
        codec::encode_header(&refusal),
        codec::encode_header(&report),
    ];
    for text in &texts {
        assert!(
            count_header_types(text) >= 1,
            "an intact header can be decoded"
        );
    }
    let damage = (
        0..texts.len(),
        any::<prop::sample::Index>(),
        prop::char::range(' ', '~'),
    );
    let outcome = runner().run(&damage, |(text, at, character)| {
        let mut damaged: Vec<char> = texts[text].chars().collect();
        let at = at.index(damaged.len());
        damaged[at] = character;
        count_header_types(&damaged.into_iter().collect::<String>());
        Ok(())
    });
    outcome.expect("no case fails");
}

#[test]
fn compressed_bombs() {
    let zeros = vec![0; 4 * codec::MAX_FRAME_BYTES];
    let mut bomb = zstd::bulk::compress(&zeros, 1).expect("compression into memory succeeds");
    bomb.insert(0, 1);
    drop(zeros);
    let (decoded, largest) = measure_largest(|| codec::decode_body::<message::PeerFrame>(&bomb));
    decoded.expect_err("the declared size is over the limit");
    assert!(
        largest <= codec::MAX_FRAME_BYTES,
        "one allocation of {largest} bytes"
    );
    assert_eq!(
        codec::frame_length([255; codec::LENGTH_PREFIX_BYTES]),
        Err(codec::CodecError::TooLarge {
            size: u32::MAX as usize
        })
    );
    // Decoding a frame of a few hundred bytes must not allocate memory for the largest one.
    let small = codec::encode_body(&frames()[2]);
    assert_eq!(small[0], 1, "the frame is compressed");
    let (_decoded, largest) = measure_largest(|| round_trip_body::<message::PeerFrame>(&small));
    assert!(
        largest <= MAX_SMALL_ALLOCATION_BYTES,
        "one allocation of {largest} bytes"
    );
}
