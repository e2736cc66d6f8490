//! Pages that are printed from tables in the code: `HAZELTILLER_WRITE_PAGES=1` writes them anew.

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
        "docs/{name} is behind the code: run the tests with HAZELTILLER_WRITE_PAGES=1"
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
        "each number is given once, in order"
    );
    for code in code::ResultCode::ALL {
        assert_eq!(code.to_string().parse(), Ok(*code));
    }
}

/// What the installation grants decides the tunables that hang on it; those that the file sets go first, and
/// without a figure the defaults hold.
#[test]
fn installation_followed() {
    let tunables = |more: &str| {
        let text = format!(
            r#"{{"instance": "a", "data_centre": "b", "region": "c", "roles": ["node"],
            "control": ["127.0.0.1:1"], {more}}}"#
        );
        let settings = settings::ProcessSettings::parse(&text).expect("the text is sound");
        settings.tunables
    };
    let defaults = hazeltiller_engine::settings::EngineTunables::default();
    assert_eq!(tunables(""), defaults);
    let followed = tunables(
        r#""installation": {"grace_s": 6, "retry_ratio": 0.2, "lost_controls": 1},
        "tunables": {"requests": {"tell_ms": 900}}"#,
    );
    let requests = &followed.requests;
    let times = (requests.leave_ms, requests.tell_ms, requests.finish_ms);
    assert_eq!(times, (2500, 900, 3200));
    assert_eq!(
        (followed.replication.voters, followed.retry.budget_percent),
        (3, 10)
    );
    let short = tunables(r#""installation": {"grace_s": 2.0}"#).requests;
    assert_eq!((short.leave_ms, short.finish_ms), (1000, 700));
}

#[test]
fn settings_faults() {
    let good = r#"{"instance": "a", "data_centre": "b", "region": "c", "roles": ["node"],
        "control": ["127.0.0.1:1"]}"#;
    let settings = settings::ProcessSettings::parse(good).expect("the text is sound");
    assert!(settings.has_role(settings::ProcessRole::Node));
    let faults = |text: &str| {
        let faults = settings::ProcessSettings::parse(text).expect_err("the text is faulty");
        faults.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    let several = faults(
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
            several
                .iter()
                .any(|fault| fault.contains(&format!(": {path}: "))),
            "{path}"
        );
    }
    assert!(
        several
            .iter()
            .any(|fault| fault.contains("did you mean \"data_centre\"?")),
        "{several:?}"
    );
    assert_eq!(several.len(), paths.len() + 1);
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
    for (text, clause) in cases {
        let found = faults(text);
        assert!(found.len() == 1 && found[0].contains(clause), "{found:?}");
    }
}
