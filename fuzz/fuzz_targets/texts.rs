//! Texts that people and targets write: settings, catalogue files, changes, announcements.

#![no_main]

use hazeltiller_catalogue::{change, file};
use hazeltiller_daemon::{
    dialect::{self, TargetDialect},
    settings,
};
use http::Method;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &str| {
    drop(settings::ProcessSettings::parse(text));
    drop(file::parse_file(text));
    drop(serde_json::from_str::<change::ChangeRequest>(text));
    let body = text.as_bytes();
    drop(dialect::native::NativeTargets.read(&Method::POST, "/v1/announce", body));
});
