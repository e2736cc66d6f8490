//! Tests decoding of arbitrary and damaged bytes: no input causes a panic, and only intact records
//! are accepted.

use std::path::Path;

use hazeltiller_store::record;
use hazeltiller_units::ids;
use hazeltiller_wire::replication as wire;
use proptest::{
    collection,
    prelude::{any, prop},
    test_runner::{Config, RngSeed, TestRunner},
};

const SEED: u64 = 7;
const CASES: u32 = 2000;
const MAX_INPUT_BYTES: usize = 2048;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

/// Reads records until one is incomplete, damaged or missing, as recovery does.
fn read_all(bytes: &[u8]) -> Vec<record::LogRecord> {
    let mut offset = 0;
    let mut records = Vec::new();
    while let Ok(record::RecordRead::Complete { value, next }) =
        record::read_record(Path::new("log"), bytes, offset)
    {
        assert!(next > offset, "the offset advances");
        records.push(value);
        offset = next;
    }
    records
}

fn entries(count: u64) -> Vec<record::LogRecord> {
    let entry = |position| {
        record::LogRecord::Entry(wire::LogEntry {
            position: ids::LogPosition(position),
            term: ids::LeaderTerm(1),
            payload: wire::LogPayload::Empty,
        })
    };
    (1..=count).map(entry).collect()
}

#[test]
fn arbitrary_records() {
    let bytes = collection::vec(any::<u8>(), 0..MAX_INPUT_BYTES);
    let result = runner().run(&bytes, |bytes| {
        assert!(
            read_all(&bytes).is_empty(),
            "arbitrary bytes do not match two checksums"
        );
        drop(record::check_header(
            Path::new("log"),
            &bytes,
            record::LOG_MAGIC,
        ));
        Ok(())
    });
    result.expect("every case passes");
}

#[test]
fn damaged_records() {
    let written = entries(20);
    let mut bytes = Vec::new();
    for record in &written {
        record::push_record(&mut bytes, record);
    }
    assert_eq!(read_all(&bytes), written);
    let damage = (any::<prop::sample::Index>(), 1..=u8::MAX);
    let result = runner().run(&damage, |(index, flipped_bits)| {
        let mut damaged = bytes.clone();
        let index = index.index(damaged.len());
        damaged[index] ^= flipped_bits;
        let read = read_all(&damaged);
        assert!(read.len() < written.len(), "the damage is detected");
        assert_eq!(
            read,
            written[..read.len()],
            "records before the damage are intact"
        );
        Ok(())
    });
    result.expect("every case passes");
}
