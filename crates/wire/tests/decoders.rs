//! Every decoder of bytes that come from another process: it never panics, what it takes goes
//! round, and small input never asks for much memory.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
    net::SocketAddr,
};

use hazeltiller_catalogue::{change, delta, entry, state};
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{
    calls, codec, dissemination, handshake, membership, message, replication as wire_replication,
};
use proptest::{
    collection,
    prelude::{Strategy, any, prop},
    test_runner::{Config, RngSeed, TestRunner},
};
use serde::{Serialize, de::DeserializeOwned};

const SEED: u64 = 7;
const CASES: u32 = 2000;
const LONGEST_INPUT: usize = 512;
/// What a decoder may ask for at once for a small frame: serde's own bound on trusted lengths.
const SMALL_ALLOCATION: usize = 2 << 20;

/// Notes the largest block that a thread asks for.
struct NotingAllocator;

thread_local! {
    static LARGEST: Cell<usize> = const { Cell::new(0) };
}

// SAFETY: every call goes on to the system's allocator unchanged.
unsafe impl GlobalAlloc for NotingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        // A thread that ends notes nothing more.
        let _: Result<(), _> =
            LARGEST.try_with(|largest| largest.set(largest.get().max(layout.size())));
        // SAFETY: the caller keeps the contract of this very function.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the block came from `alloc` above, so from the system's allocator.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: NotingAllocator = NotingAllocator;

fn largest_in<T>(work: impl FnOnce() -> T) -> (T, usize) {
    LARGEST.set(0);
    let done = work();
    (done, LARGEST.get())
}

/// What a decoder may ask for at once: a compressed frame may claim up to the limit.
fn allocation_bound(bytes: &[u8]) -> usize {
    if bytes.first() == Some(&1) {
        codec::MAX_FRAME_BYTES
    } else {
        SMALL_ALLOCATION
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

/// Decodes bytes; what is taken must go round.
fn try_body<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> bool {
    let Ok(value) = codec::decode_body::<T>(bytes) else {
        return false;
    };
    let again = codec::encode_body(&value);
    let back: T = codec::decode_body(&again).expect("what was encoded can be decoded");
    assert_eq!(codec::encode_body(&back), again);
    true
}

fn try_header<T: Serialize + DeserializeOwned>(text: &str) -> bool {
    let Ok(value) = codec::decode_header::<T>(text) else {
        return false;
    };
    let again = codec::encode_header(&value);
    let back: T = codec::decode_header(&again).expect("what was encoded can be decoded");
    assert_eq!(codec::encode_header(&back), again);
    true
}

fn try_every_body(bytes: &[u8]) -> usize {
    let taken = [
        try_body::<message::PeerFrame>(bytes),
        try_body::<handshake::LinkHello>(bytes),
        try_body::<handshake::LinkChallenge>(bytes),
        try_body::<handshake::LinkProof>(bytes),
        try_body::<wire_replication::LogSnapshot>(bytes),
    ];
    taken.iter().filter(|is_taken| **is_taken).count()
}

fn try_every_header(text: &str) -> usize {
    let taken = [
        try_header::<calls::CallOffer>(text),
        try_header::<calls::CallRefusal>(text),
        try_header::<calls::LoadReport>(text),
        try_header::<message::HybridTime>(text),
    ];
    taken.iter().filter(|is_taken| **is_taken).count()
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("it is a name")
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
    serde_json::from_str(text).expect("it is a change")
}

/// A frame of each kind that carries most.
fn frames() -> Vec<message::PeerFrame> {
    let set = change_set();
    let term = ids::LeaderTerm(3);
    let state = state::CatalogueState::default();
    let state = state.apply(&set, term).expect("the change is sound");
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
    .unwrap_or_else(|error| panic!("the sample lacks a field of the offer: {error}"));
    offer.key = Some("key-1".into());
    offer
}

#[test]
fn arbitrary_bytes() {
    let bytes = collection::vec(any::<u8>(), 0..LONGEST_INPUT);
    let plain = bytes.prop_map(|mut bytes| {
        // Most arbitrary first bytes are refused at once; a plain frame reads on.
        if let Some(first) = bytes.first_mut() {
            *first %= 4;
        }
        bytes
    });
    let tried = runner().run(&plain, |bytes| {
        let (_taken, largest) = largest_in(|| try_every_body(&bytes));
        let bound = allocation_bound(&bytes);
        assert!(largest <= bound, "{largest} bytes at once");
        Ok(())
    });
    tried.expect("no case fails");
}

#[test]
fn arbitrary_headers() {
    let text =
        prop::string::string_regex("([0-9A-Za-z_-]{2}|[+gé ]){0,64}").expect("it is a pattern");
    let tried = runner().run(&text, |text| {
        try_every_header(&text);
        Ok(())
    });
    tried.expect("no case fails");
    codec::decode_header::<calls::LoadReport>("+1+1+1+1+1").expect_err("a sign is no digit");
}

#[test]
fn damaged_frames() {
    let bodies: Vec<Vec<u8>> = frames().iter().map(codec::encode_body).collect();
    for body in &bodies {
        assert_eq!(try_every_body(body), 1, "an undamaged frame is taken");
    }
    let damage = (
        0..bodies.len(),
        any::<prop::sample::Index>(),
        any::<u8>(),
        any::<prop::sample::Index>(),
    );
    let tried = runner().run(&damage, |(body, at, byte, cut)| {
        let mut bytes = bodies[body].clone();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        bytes.truncate(cut.index(bytes.len()) + 1);
        let (_taken, largest) = largest_in(|| try_every_body(&bytes));
        let bound = allocation_bound(&bytes);
        assert!(largest <= bound, "{largest} bytes at once");
        Ok(())
    });
    tried.expect("no case fails");
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
    let texts = [
        codec::encode_header(&offer()),
        codec::encode_header(&refusal),
    ];
    for text in &texts {
        assert!(try_every_header(text) >= 1, "an undamaged header is taken");
    }
    let damage = (
        0..texts.len(),
        any::<prop::sample::Index>(),
        prop::char::range(' ', '~'),
    );
    let tried = runner().run(&damage, |(text, at, character)| {
        let mut damaged: Vec<char> = texts[text].chars().collect();
        let at = at.index(damaged.len());
        damaged[at] = character;
        try_every_header(&damaged.into_iter().collect::<String>());
        Ok(())
    });
    tried.expect("no case fails");
}

#[test]
fn compressed_bombs() {
    let zeros = vec![0; 4 * codec::MAX_FRAME_BYTES];
    let mut bomb = zstd::bulk::compress(&zeros, 1).expect("memory takes it");
    bomb.insert(0, 1);
    drop(zeros);
    let (taken, largest) = largest_in(|| codec::decode_body::<message::PeerFrame>(&bomb));
    taken.expect_err("it is over the limit");
    assert!(largest <= codec::MAX_FRAME_BYTES, "{largest} bytes at once");
    assert_eq!(
        codec::frame_length([255; codec::LENGTH_PREFIX_BYTES]),
        Err(codec::CodecError::TooLarge {
            size: u32::MAX as usize
        })
    );
    // A frame of a few hundred bytes must not take the memory of the largest one.
    let small = codec::encode_body(&frames()[2]);
    assert_eq!(small[0], 1, "it is compressed");
    let (_taken, largest) = largest_in(|| try_body::<message::PeerFrame>(&small));
    assert!(largest <= SMALL_ALLOCATION, "{largest} bytes at once");
}
