//! Records read from a disk: whatever stands there, no panic, and only whole records are taken.

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
const LONGEST_INPUT: usize = 2048;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

/// Reads records until there are no more, as a start does.
fn read_all(bytes: &[u8]) -> Vec<record::LogRecord> {
    let mut offset = 0;
    let mut records = Vec::new();
    while let Ok(record::RecordRead::Complete { value, next }) =
        record::read_record(Path::new("log"), bytes, offset)
    {
        assert!(next > offset, "reading goes on");
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
    let bytes = collection::vec(any::<u8>(), 0..LONGEST_INPUT);
    let tried = runner().run(&bytes, |bytes| {
        assert!(
            read_all(&bytes).is_empty(),
            "two checksums do not fit by chance"
        );
        drop(record::check_header(
            Path::new("log"),
            &bytes,
            record::LOG_MAGIC,
        ));
        Ok(())
    });
    tried.expect("no case fails");
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
    let tried = runner().run(&damage, |(at, flip)| {
        let mut damaged = bytes.clone();
        let at = at.index(damaged.len());
        damaged[at] ^= flip;
        let read = read_all(&damaged);
        assert!(read.len() < written.len(), "the damage is noticed");
        assert_eq!(read, written[..read.len()], "what stands before it is kept");
        Ok(())
    });
    tried.expect("no case fails");
}
