//! The daemon's decoders of text from outside: settings, announcements; and the load tool's mixes.

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
const CASES: u32 = 1000;
const DEEP: usize = 100_000;
const SETTINGS: &str = r#"{"instance": "a", "data_centre": "b", "region": "c", "roles": ["node"],
    "listen": {"peers": "127.0.0.1:0"}, "control": ["127.0.0.1:1"], "log": {"level": "info"},
    "tunables": {"membership": {"gossip_ms": 250}}} // text may follow"#;
const ANNOUNCEMENT: &str = r#"{"service": "registru", "name": "registru-1",
    "address": "127.0.0.1:80", "slots": 10, "connections": 130, "state": "ready",
    "lease_ms": 3000}"#;
const MIX: &str = r#"{"kinds": [{"name": "lookup", "path": "/v/{n}", "weight": 3}]}"#;
const BEHAVIOUR: &str = r#"{"latency_ms": 5, "answer": "in_part", "health": "always_well"}"#;

/// Decodes a text; says whether it was taken.
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
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

#[test]
fn damaged_texts() {
    for (sound, decode) in DECODERS {
        assert!(decode(sound), "an undamaged text is taken: {sound}");
        let damage = (
            any::<prop::sample::Index>(),
            prop::char::any(),
            any::<Option<prop::sample::Index>>(),
        );
        let tried = runner().run(&damage, |(at, character, cut)| {
            let mut text: Vec<char> = sound.chars().collect();
            let at = at.index(text.len());
            text[at] = character;
            if let Some(cut) = cut {
                text.truncate(cut.index(text.len()));
            }
            // Whether it is taken is the decoder's to say; it must say so.
            decode(&text.into_iter().collect::<String>());
            Ok(())
        });
        tried.expect("no case fails");
    }
}

#[test]
fn hostile_texts() {
    let huge = format!(r#"{{"instance": "{}"}}"#, "a".repeat(DEEP));
    let texts = ["", "\0", "[", "{", "null", &"[".repeat(DEEP), &huge];
    for (_, decode) in DECODERS {
        for text in texts {
            assert!(!decode(text), "{}", &text[..text.len().min(40)]);
        }
    }
}
