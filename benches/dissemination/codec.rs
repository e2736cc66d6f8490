//! Comparison of codecs for frequent messages: encoded size, and time to encode and decode.

use std::{net::SocketAddr, time::Instant};

use hazeltiller_catalogue::{delta, entry, state};
use hazeltiller_testkit::entries;
use hazeltiller_units::ids;
use hazeltiller_wire::{dissemination, membership, message};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;

/// Repetitions of each measurement.
const REPETITIONS: u32 = 2000;
const COMPRESSION_LEVEL: i32 = 1;
const MAX_DECODED_BYTES: usize = 16 << 20;

/// Measures every codec with every message.
pub(crate) fn measure() {
    let (delta, snapshot) = delta_and_snapshot();
    let dissemination_message = message::PeerMessage::Dissemination;
    let delta = dissemination_message(dissemination::DisseminationMessage::Delta(delta));
    measure_codecs("delta of one change", &delta);
    let entries: Vec<entry::CatalogueEntry> = snapshot.entries.values().cloned().collect();
    measure_codecs("snapshot of 183 entries", &entries);
    let keepalive = dissemination_message(dissemination::DisseminationMessage::Keepalive(
        child_report(),
    ));
    measure_codecs("keepalive", &keepalive);
    let membership_message = message::PeerMessage::Membership;
    let probe = membership_message(membership::MembershipMessage::Probe(gossip_message(
        Vec::new(),
    )));
    measure_codecs("probe", &probe);
    let rumour = membership_message(membership::MembershipMessage::Rumour(gossip_message(vec![
        member_record(117),
    ])));
    measure_codecs("rumour of one record", &rumour);
    let page = (0..64).map(member_record).collect();
    let page = membership_message(membership::MembershipMessage::Records(page));
    measure_codecs("page of 64 records", &page);
}

fn measure_codecs<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    let postcard = |value: &T| postcard::to_stdvec(value).expect("messages can be encoded");
    let json = |value: &T| serde_json::to_vec(value).expect("messages can be encoded");
    let from_postcard =
        |bytes: &[u8]| -> T { postcard::from_bytes(bytes).expect("the bytes were just encoded") };
    let from_json =
        |bytes: &[u8]| -> T { serde_json::from_slice(bytes).expect("the bytes were just encoded") };
    measure_codec(name, "postcard", value, postcard, from_postcard);
    measure_codec(
        name,
        "postcard+zstd",
        value,
        |value| compress(&postcard(value)),
        |bytes| from_postcard(&decompress(bytes)),
    );
    measure_codec(name, "json", value, json, from_json);
    measure_codec(
        name,
        "json+zstd",
        value,
        |value| compress(&json(value)),
        |bytes| from_json(&decompress(bytes)),
    );
}

fn compress(bytes: &[u8]) -> Vec<u8> {
    zstd::bulk::compress(bytes, COMPRESSION_LEVEL).expect("compression into memory succeeds")
}

fn decompress(bytes: &[u8]) -> Vec<u8> {
    zstd::bulk::decompress(bytes, MAX_DECODED_BYTES).expect("the bytes were just compressed")
}

fn measure_codec<T>(
    message_name: &str,
    codec: &str,
    message: &T,
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let bytes = encode(message);
    let started = Instant::now();
    for _ in 0..REPETITIONS {
        std::hint::black_box(encode(std::hint::black_box(message)));
    }
    let encoding_time = started.elapsed();
    let started = Instant::now();
    for _ in 0..REPETITIONS {
        std::hint::black_box(decode(std::hint::black_box(&bytes)));
    }
    let decoding_time = started.elapsed();
    super::print(
        "codec",
        json!({
            "message": message_name, "codec": codec, "bytes": bytes.len(),
            "encode_us": encoding_time.as_secs_f64() * 1e6 / f64::from(REPETITIONS),
            "decode_us": decoding_time.as_secs_f64() * 1e6 / f64::from(REPETITIONS),
        }),
    );
}

fn delta_and_snapshot() -> (delta::CatalogueDelta, state::CatalogueState) {
    let term = ids::LeaderTerm(1);
    let mut base = state::CatalogueState::default();
    for set in [
        entries::base(),
        entries::generated(56),
        entries::put_routed_services(&["registru"]),
    ] {
        base = base.apply(&set, term).expect("the change is valid");
    }
    let set = entries::put_slots("registru", 12);
    let updated = base.apply(&set, term).expect("the change is valid");
    let delta = delta::CatalogueDelta {
        base: base.version,
        steps: vec![delta::DeltaStep { term, set }],
        digest: updated.digest,
    };
    (delta, updated)
}

fn version_summary() -> membership::VersionSummary {
    membership::VersionSummary {
        version: ids::CatalogueVersion(2000),
        digest: membership::ShortDigest(7 << 40),
    }
}

fn child_report() -> dissemination::ChildReport {
    let subtree = dissemination::SubtreeReport {
        floor: ids::CatalogueVersion(2000),
        fingerprint: membership::ShortDigest(9 << 40),
        roster: None,
    };
    dissemination::ChildReport {
        held: version_summary(),
        subtree,
    }
}

fn gossip_message(records: Vec<membership::MemberRecord>) -> membership::GossipMessage {
    let age = |centre: u32| membership::DataCentreAge {
        centre: centre << 20,
        age_ms: 300,
    };
    membership::GossipMessage {
        table: membership::ShortDigest(5 << 40),
        held: version_summary(),
        ages: (0..6).map(age).collect(),
        records,
        suspicions: Vec::new(),
    }
}

/// Returns the record of a node with one target.
pub(crate) fn member_record(index: u8) -> membership::MemberRecord {
    let name = |text: &str| text.to_owned();
    let address = SocketAddr::from(([10, 1, 2, index], 7001));
    membership::MemberRecord {
        identity: membership::PeerIdentity {
            instance: name(&format!("registru-brasov-a-{index}"))
                .parse()
                .expect("the name is valid"),
            data_centre: name("brasov-a").parse().expect("the name is valid"),
            region: name("ro-centru").parse().expect("the name is valid"),
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
                .expect("the name is valid"),
            service: name("registru").parse().expect("the name is valid"),
            address,
            slots: 10,
            connections: 130,
            state: membership::TargetState::Ready,
            incarnation: ids::IncarnationNumber::default(),
            version: None,
        }],
    }
}
