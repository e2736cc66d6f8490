//! Codecs for what travels often: bytes, and time to encode and decode.

use std::{net::SocketAddr, time::Instant};

use hazeltiller_catalogue::{delta, entry, state};
use hazeltiller_testkit::entries;
use hazeltiller_units::ids;
use hazeltiller_wire::{dissemination, membership, message};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;

const TURNS: u32 = 2000;
const COMPRESSION_LEVEL: i32 = 1;
const LARGEST: usize = 16 << 20;

/// Measures each codec with each message.
pub(crate) fn measure() {
    let (delta, snapshot) = versions();
    let down = message::PeerMessage::Dissemination;
    let delta = down(dissemination::DisseminationMessage::Delta(delta));
    time_codecs("delta of one change", &delta);
    let entries: Vec<entry::CatalogueEntry> = snapshot.entries.values().cloned().collect();
    time_codecs("snapshot of 183 entries", &entries);
    let keepalive = down(dissemination::DisseminationMessage::Keepalive(report()));
    time_codecs("keepalive", &keepalive);
    let around = message::PeerMessage::Membership;
    let probe = around(membership::MembershipMessage::Probe(gossip(Vec::new())));
    time_codecs("probe", &probe);
    let rumour = around(membership::MembershipMessage::Rumour(gossip(vec![record(
        117,
    )])));
    time_codecs("rumour of one record", &rumour);
    let page = (0..64).map(record).collect();
    let page = around(membership::MembershipMessage::Records(page));
    time_codecs("page of 64 records", &page);
}

fn time_codecs<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    let postcard = |value: &T| postcard::to_stdvec(value).expect("messages can be encoded");
    let json = |value: &T| serde_json::to_vec(value).expect("messages can be encoded");
    let from_postcard =
        |bytes: &[u8]| -> T { postcard::from_bytes(bytes).expect("it was encoded") };
    let from_json = |bytes: &[u8]| -> T { serde_json::from_slice(bytes).expect("it was encoded") };
    time_codec(name, "postcard", value, postcard, from_postcard);
    time_codec(
        name,
        "postcard+zstd",
        value,
        |value| compress(&postcard(value)),
        |bytes| from_postcard(&expand(bytes)),
    );
    time_codec(name, "json", value, json, from_json);
    time_codec(
        name,
        "json+zstd",
        value,
        |value| compress(&json(value)),
        |bytes| from_json(&expand(bytes)),
    );
}

fn compress(bytes: &[u8]) -> Vec<u8> {
    zstd::bulk::compress(bytes, COMPRESSION_LEVEL).expect("it fits into memory")
}

fn expand(bytes: &[u8]) -> Vec<u8> {
    zstd::bulk::decompress(bytes, LARGEST).expect("it was compressed")
}

fn time_codec<T>(
    what: &str,
    codec: &str,
    message: &T,
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let bytes = encode(message);
    let began = Instant::now();
    for _ in 0..TURNS {
        std::hint::black_box(encode(std::hint::black_box(message)));
    }
    let encoding = began.elapsed();
    let began = Instant::now();
    for _ in 0..TURNS {
        std::hint::black_box(decode(std::hint::black_box(&bytes)));
    }
    let decoding = began.elapsed();
    super::print(
        "codec",
        json!({
            "message": what, "codec": codec, "bytes": bytes.len(),
            "encode_us": encoding.as_secs_f64() * 1e6 / f64::from(TURNS),
            "decode_us": decoding.as_secs_f64() * 1e6 / f64::from(TURNS),
        }),
    );
}

fn versions() -> (delta::CatalogueDelta, state::CatalogueState) {
    let term = ids::LeaderTerm(1);
    let mut held = state::CatalogueState::default();
    for set in [
        entries::base(),
        entries::generated(56),
        entries::put_routed_services(&["registru"]),
    ] {
        held = held.apply(&set, term).expect("the change is valid");
    }
    let set = entries::put_slots("registru", 12);
    let reached = held.apply(&set, term).expect("the change is valid");
    let delta = delta::CatalogueDelta {
        base: held.version,
        steps: vec![delta::DeltaStep { term, set }],
        digest: reached.digest,
    };
    (delta, reached)
}

fn mark() -> membership::VersionSummary {
    membership::VersionSummary {
        version: ids::CatalogueVersion(2000),
        digest: membership::ShortDigest(7 << 40),
    }
}

fn report() -> dissemination::ChildReport {
    let subtree = dissemination::SubtreeReport {
        floor: ids::CatalogueVersion(2000),
        fingerprint: membership::ShortDigest(9 << 40),
        roster: None,
    };
    dissemination::ChildReport {
        held: mark(),
        subtree,
    }
}

fn gossip(records: Vec<membership::MemberRecord>) -> membership::GossipMessage {
    let age = |centre: u32| membership::DataCentreAge {
        centre: centre << 20,
        age_ms: 300,
    };
    membership::GossipMessage {
        table: membership::ShortDigest(5 << 40),
        held: mark(),
        ages: (0..6).map(age).collect(),
        records,
        suspicions: Vec::new(),
    }
}

/// A record of a node with one target.
pub(crate) fn record(index: u8) -> membership::MemberRecord {
    let name = |text: &str| text.to_owned();
    let address = SocketAddr::from(([10, 1, 2, index], 7001));
    membership::MemberRecord {
        identity: membership::PeerIdentity {
            instance: name(&format!("registru-brasov-a-{index}"))
                .parse()
                .expect("it is a name"),
            data_centre: name("brasov-a").parse().expect("it is a name"),
            region: name("ro-centru").parse().expect("it is a name"),
            address,
            operators: None,
            is_control: false,
            is_node: true,
            incarnation: ids::IncarnationNumber(1_800_000_000_000 + u64::from(index) * 7919),
        },
        sequence: u64::from(index),
        has_left: false,
        targets: vec![membership::TargetRecord {
            name: name(&format!("registru-brasov-a-{index}-t"))
                .parse()
                .expect("it is a name"),
            service: name("registru").parse().expect("it is a name"),
            address,
            slots: 10,
            connections: 130,
            state: membership::TargetState::Ready,
            incarnation: ids::IncarnationNumber::default(),
            version: None,
        }],
    }
}
