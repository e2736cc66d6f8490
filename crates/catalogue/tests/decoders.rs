//! Decoders of text that people write never panic, and decoded values survive a round trip.

use hazeltiller_catalogue::{change, file};
use hazeltiller_units::{code, ids, measure};
use proptest::{
    prelude::{any, prop},
    test_runner::{Config, RngSeed, TestRunner},
};

const SEED: u64 = 7;
const CASES: u32 = 2000;
const NESTING_DEPTH: usize = 100_000;
const VALID_FILE: &str = r#"{
    // A change with an entry of each kind.
    "put": [
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter", "rank": 1},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter",
         "limits": {"rate": "500/s"}, "operators": []},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter",
         "limits": {"slots": 10}},
        {"kind": "route", "name": "issue", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/c"}, "idempotent": false},
    ],
    "remove": [{"kind": "route", "name": "old"}],
}"#;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

/// Returns whether a file can be parsed, and checks that its content survives a round trip as JSON.
fn round_trip_file(text: &str) -> bool {
    let Ok(set) = file::parse_file(text) else {
        return false;
    };
    let encoded = serde_json::to_string(&set).expect("a change only has string keys");
    let decoded = file::parse_file(&encoded).expect("an encoded change can be parsed");
    assert_eq!(serde_json::to_string(&decoded).ok(), Some(encoded));
    true
}

#[test]
fn arbitrary_text() {
    let outcome = runner().run(&any::<String>(), |text| {
        round_trip_file(&text);
        drop(serde_json::from_str::<change::ChangeRequest>(&text));
        drop(text.parse::<ids::EntryName>());
        drop(text.parse::<ids::StateDigest>());
        drop(text.parse::<code::ResultCode>());
        if let Ok(rate) = text.parse::<measure::CallRate>() {
            assert_eq!(rate.to_string().parse(), Ok(rate));
        }
        Ok(())
    });
    outcome.expect("no case fails");
}

#[test]
fn damaged_files() {
    assert!(round_trip_file(VALID_FILE), "an intact file can be parsed");
    let damage = (
        any::<prop::sample::Index>(),
        prop::char::any(),
        any::<prop::sample::Index>(),
        any::<bool>(),
    );
    let outcome = runner().run(&damage, |(at, character, cut, is_truncated)| {
        let mut text: Vec<char> = VALID_FILE.chars().collect();
        let at = at.index(text.len());
        text[at] = character;
        if is_truncated {
            text.truncate(cut.index(text.len()));
        }
        round_trip_file(&text.into_iter().collect::<String>());
        Ok(())
    });
    outcome.expect("no case fails");
}

#[test]
fn deep_nesting() {
    for opening in ["[", "{\"put\":", "[{\"a\":"] {
        let text = opening.repeat(NESTING_DEPTH);
        file::parse_file(&text).expect_err("the nesting is never closed");
        serde_json::from_str::<change::ChangeRequest>(&text)
            .expect_err("the nesting is never closed");
    }
}

#[test]
fn odd_rates() {
    for text in [
        "", "/s", "nan/s", "inf/s", "-1/s", "0/s", "1e999/s", "5", "5 /s/s",
    ] {
        text.parse::<measure::CallRate>().expect_err(text);
    }
}
