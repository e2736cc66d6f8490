//! Decoders of external text: settings, announcements, load mixes and stand-in behaviours reject
//! damaged and hostile input without a panic.

use hazeltiller_daemon::{
    dialect::{TargetDialect, native},
    settings,
};
use hazeltiller_standin::{behaviour, load::mix};
use hazeltiller_units::jsonc;
use hyper::Method;
use proptest::{
    prelude::{any, prop},
    test_runner::{Config, RngSeed, TestRunner},
};

const SEED: u64 = 7;
const CASE_COUNT: u32 = 1000;
const HOSTILE_LENGTH: usize = 100_000;
const SETTINGS: &str = r#"{"instance": "a", "data_centre": "b", "region": "c", "roles": ["node"],
    "listen": {"peers": "127.0.0.1:0"}, "control": ["127.0.0.1:1"], "log": {"level": "info"},
    "tunables": {"membership": {"gossip_ms": 250}}} // text may follow"#;
const ANNOUNCEMENT: &str = r#"{"service": "registru", "name": "registru-1",
    "address": "127.0.0.1:80", "slots": 10, "connections": 130, "state": "ready",
    "lease_ms": 3000}"#;
const MIX: &str = r#"{"kinds": [{"name": "lookup", "path": "/v/{n}", "weight": 3}]}"#;
const BEHAVIOUR: &str = r#"{"latency_ms": 5, "answer": "in_part", "health": "always_well"}"#;

/// Decodes a text and returns whether it was valid.
type Decoder = fn(&str) -> bool;

const DECODERS: [(&str, Decoder); 4] = [
    (SETTINGS, |text| {
        settings::ProcessSettings::parse(text).is_ok()
    }),
    (ANNOUNCEMENT, |text| {
        native::NativeTargets
            .read(&Method::POST, "/v1/announce", text.as_bytes())
            .is_ok()
    }),
    (MIX, |text| mix::LoadMix::parse(text).is_ok()),
    (BEHAVIOUR, |text| {
        jsonc::parse_jsonc::<behaviour::StandInBehaviour>(text).is_ok()
    }),
];

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: CASE_COUNT,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

#[test]
fn damaged_texts() {
    for (valid, decode) in DECODERS {
        assert!(decode(valid), "an undamaged text is rejected: {valid}");
        let damage_strategy = (
            any::<prop::sample::Index>(),
            prop::char::any(),
            any::<Option<prop::sample::Index>>(),
        );
        let result = runner().run(&damage_strategy, |(at, character, truncation)| {
            let mut text: Vec<char> = valid.chars().collect();
            let at = at.index(text.len());
            text[at] = character;
            if let Some(truncation) = truncation {
                text.truncate(truncation.index(text.len()));
            }
            // The damaged text may still be valid; only panics fail this test.
            decode(&text.into_iter().collect::<String>());
            Ok(())
        });
        result.expect("no decoder panics");
    }
}

#[test]
fn hostile_texts() {
    let huge = format!(r#"{{"instance": "{}"}}"#, "a".repeat(HOSTILE_LENGTH));
    let texts = [
        "",
        "\0",
        "[",
        "{",
        "null",
        &"[".repeat(HOSTILE_LENGTH),
        &huge,
    ];
    for (_, decode) in DECODERS {
        for text in texts {
            assert!(!decode(text), "{}", &text[..text.len().min(40)]);
        }
    }
}
