//! Generated documentation pages match the tables in the code, and settings files are parsed and
//! checked. `HAZELTILLER_WRITE_PAGES=1` regenerates the pages.

use std::path::Path;

use hazeltiller_daemon::{
    metrics,
    settings::{self, schema},
};
use hazeltiller_units::code;

fn check_page(name: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name);
    if std::env::var_os("HAZELTILLER_WRITE_PAGES").is_some() {
        std::fs::write(&path, expected).expect("the docs folder is writable");
    }
    let page = std::fs::read_to_string(&path).expect("the page is committed");
    assert_eq!(
        page, expected,
        "docs/{name} is outdated: run the tests with HAZELTILLER_WRITE_PAGES=1"
    );
}

#[test]
fn settings_page() {
    check_page("SETTINGS.md", &schema::page());
}

#[test]
fn metrics_page() {
    check_page("METRICS.md", &metrics::page());
}

#[test]
fn codes_page() {
    check_page("CODES.md", &code::page());
}

#[test]
fn code_numbers() {
    let numbers: Vec<u16> = code::ResultCode::ALL
        .iter()
        .map(|code| code.number())
        .collect();
    assert!(
        numbers.is_sorted_by(|one, next| one < next),
        "numbers are unique and ascending"
    );
    for code in code::ResultCode::ALL {
        assert_eq!(code.to_string().parse(), Ok(*code));
    }
}

/// The `installation` settings determine the tunables derived from them. Tunables in the file take
/// precedence, and without `installation` settings the defaults apply.
#[test]
fn installation_applied() {
    let tunables = |more: &str| {
        let text = format!(
            r#"{{"instance": "a", "data_centre": "b", "region": "c", "roles": ["node"],
            "control": ["127.0.0.1:1"], {more}}}"#
        );
        let settings = settings::ProcessSettings::parse(&text).expect("the settings are valid");
        settings.tunables
    };
    let defaults = hazeltiller_engine::settings::EngineTunables::default();
    assert_eq!(tunables(""), defaults);
    let derived = tunables(
        r#""installation": {"grace_s": 6, "retry_ratio": 0.2, "lost_controls": 1},
        "tunables": {"requests": {"tell_ms": 900}}"#,
    );
    let requests = &derived.requests;
    let stop_times_ms = (requests.leave_ms, requests.tell_ms, requests.finish_ms);
    assert_eq!(stop_times_ms, (2500, 900, 3200));
    assert_eq!(
        (derived.replication.voters, derived.retry.budget_percent),
        (3, 10)
    );
    let link = tunables(r#""installation": {"link_mbps": 2.3}"#).bandwidth;
    assert_eq!(link.link_kbits, 2300);
    let short_grace = tunables(r#""installation": {"grace_s": 2.0}"#).requests;
    assert_eq!((short_grace.leave_ms, short_grace.finish_ms), (1000, 700));
}

#[test]
fn settings_faults() {
    let valid_text = r#"{"instance": "a", "data_centre": "b", "region": "c", "roles": ["node"],
        "control": ["127.0.0.1:1"]}"#;
    let settings = settings::ProcessSettings::parse(valid_text).expect("the settings are valid");
    assert!(settings.has_role(settings::ProcessRole::Node));
    let faults = |text: &str| {
        let faults = settings::ProcessSettings::parse(text).expect_err("the settings are invalid");
        faults.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    let found_faults = faults(
        r#"{"instance": "a b", "data_center": "b", "region": "c", "roles": [],
        "listen": {"peers": "here"}, "tunables": {"membership": {"gossip_ms": 1}}}"#,
    );
    let paths = [
        "instance",
        "data_centre",
        "roles",
        "listen.peers",
        "tunables.membership.gossip_ms",
    ];
    for path in paths {
        assert!(
            found_faults
                .iter()
                .any(|fault| fault.contains(&format!(": {path}: "))),
            "{path}"
        );
    }
    assert!(
        found_faults
            .iter()
            .any(|fault| fault.contains("did you mean \"data_centre\"?")),
        "{found_faults:?}"
    );
    assert_eq!(found_faults.len(), paths.len() + 1);
    let cases = [
        ("{", "HZ1001"),
        ("[]", "one object"),
        (
            r#"{"instance": "a", "data_centre": "b", "region": "c", "roles": ["control"]}"#,
            "folder",
        ),
        (
            r#"{"instance": "a", "data_centre": "b", "region": "c", "roles": ["node"]}"#,
            "control",
        ),
    ];
    for (text, expected_text) in cases {
        let found = faults(text);
        assert!(
            found.len() == 1 && found[0].contains(expected_text),
            "{found:?}"
        );
    }
}
