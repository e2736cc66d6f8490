//! Changes are accepted or refused as a whole, and all faults are reported.

use hazeltiller_catalogue::{change, check, state};
use hazeltiller_units::{code, ids};
use serde_json::{Value, json};

fn set(document: Value) -> change::ChangeSet {
    serde_json::from_value(document).expect("the document is a change")
}

fn base() -> state::CatalogueState {
    let document = json!({"put": [
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter",
         "limits": {"guaranteed_share": 0.6}},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/vehicles", "methods": ["GET"]}},
    ]});
    let empty = state::CatalogueState::default();
    empty
        .apply(&set(document), ids::LeaderTerm(1))
        .expect("the base is valid")
}

fn route(name: &str, service: &str, matches: &Value) -> Value {
    json!({"kind": "route", "name": name, "owner": "registru", "class": "counter",
        "service": service, "match": matches})
}

#[test]
fn faults_named() {
    let prefix = |prefix: &str| json!({"path_prefix": prefix});
    let class = |share: f64| {
        json!({"kind": "class", "name": "late", "owner": "registru", "class": "counter",
            "limits": {"guaranteed_share": share}})
    };
    let cases = [
        ("nothing", json!({}), code::ResultCode::ChangeEmpty),
        (
            "unknown removal",
            json!({"remove": [{"kind": "route", "name": "none"}]}),
            code::ResultCode::EntryNotFound,
        ),
        (
            "dangling service",
            json!({"put": [route("other", "none", &prefix("/other"))]}),
            code::ResultCode::ReferenceMissing,
        ),
        (
            "removal in use",
            json!({"remove": [{"kind": "service", "name": "registru"}]}),
            code::ResultCode::ReferenceInUse,
        ),
        (
            "equal routes",
            json!({"put": [route("other", "registru", &prefix("/vehicles"))]}),
            code::ResultCode::RouteDuplicate,
        ),
        (
            "no slash",
            json!({"put": [route("other", "registru", &prefix("other"))]}),
            code::ResultCode::EntryInvalid,
        ),
        (
            "share above one",
            json!({"put": [class(1.5)]}),
            code::ResultCode::EntryInvalid,
        ),
        (
            "shares add up",
            json!({"put": [class(0.5)]}),
            code::ResultCode::EntryInvalid,
        ),
        (
            "twice in one change",
            json!({"put": [class(0.1), class(0.2)]}),
            code::ResultCode::EntryInvalid,
        ),
    ];
    let base = base();
    for (name, document, code) in cases {
        let faults = base
            .apply(&set(document), ids::LeaderTerm(2))
            .expect_err(name);
        assert!(
            faults.iter().any(|fault| fault.code == code),
            "{name}: {faults:?}"
        );
    }
}

#[test]
fn one_fault_refuses_all() {
    let base = base();
    let good = route("good", "registru", &json!({"path_prefix": "/good"}));
    let bad = route("bad", "none", &json!({"path_prefix": "/bad"}));
    let change = set(json!({"put": [good, bad]}));
    let faults = base
        .apply(&change, ids::LeaderTerm(2))
        .expect_err("one entry is invalid");
    assert_eq!(faults.len(), 1, "{faults:?}");
}

#[test]
fn references_in_any_order() {
    let base = base();
    let service = json!({"kind": "service", "name": "arhiva", "owner": "registru",
        "class": "counter"});
    let reports = route("reports", "arhiva", &json!({"path_prefix": "/reports"}));
    for put in [[&service, &reports], [&reports, &service]] {
        let added = base.apply(&set(json!({"put": put})), ids::LeaderTerm(2));
        let added = added.expect("the order within a change does not matter");
        assert_eq!(added.routes().count(), 2);
        let keys = [("service", "arhiva"), ("route", "reports")];
        let keys = keys.map(|(kind, name)| json!({"kind": kind, "name": name}));
        let first = added.apply(&set(json!({"remove": [keys[0]]})), ids::LeaderTerm(2));
        first.expect_err("a route still refers to the service");
        let both = added.apply(&set(json!({"remove": keys})), ids::LeaderTerm(2));
        let both = both.expect("both can be removed in one change");
        assert_eq!(
            (both.routes().count(), both.version),
            (1, ids::CatalogueVersion(3))
        );
    }
}

/// Returns an organisation whose API keys are given in clear text.
fn organisation(name: &str, keys: &[&str], limits: &Value) -> Value {
    let hashes: Vec<String> = keys
        .iter()
        .map(|key| change::token_hash(key).to_string())
        .collect();
    json!({"kind": "organisation", "name": name, "owner": "registru", "class": "counter",
        "keys": hashes, "limits": limits})
}

#[test]
fn organisations_checked() {
    let none = json!({});
    let many_keys: Vec<String> = (0..=check::MAX_KEYS).map(|key| key.to_string()).collect();
    let many_keys: Vec<&str> = many_keys.iter().map(String::as_str).collect();
    let cases = [
        (
            "a key of two organisations",
            vec![
                organisation("one", &["a"], &none),
                organisation("two", &["b", "a"], &none),
            ],
            code::ResultCode::KeyInvalid,
        ),
        (
            "a key twice",
            vec![organisation("one", &["a", "a"], &none)],
            code::ResultCode::KeyInvalid,
        ),
        (
            "an empty key",
            vec![organisation("one", &[""], &none)],
            code::ResultCode::KeyInvalid,
        ),
        (
            "a burst without a rate",
            vec![organisation("one", &["a"], &json!({"burst": 5}))],
            code::ResultCode::EntryInvalid,
        ),
        (
            "a burst out of range",
            vec![organisation(
                "one",
                &["a"],
                &json!({"rate": "1/s", "burst": 1_000_001}),
            )],
            code::ResultCode::EntryInvalid,
        ),
        (
            "too many keys",
            vec![organisation("one", &many_keys, &none)],
            code::ResultCode::EntryInvalid,
        ),
        (
            "an unknown class of calls",
            vec![
                json!({"kind": "organisation", "name": "one", "owner": "registru",
                "class": "counter", "call_class": "none"}),
            ],
            code::ResultCode::ReferenceMissing,
        ),
        (
            "a public route that does not exist",
            vec![
                json!({"kind": "public_route", "name": "none", "owner": "registru",
                "class": "counter"}),
            ],
            code::ResultCode::ReferenceMissing,
        ),
    ];
    for (what, put, expected) in cases {
        let base = base();
        let faults = base.check(&set(json!({"put": put})));
        let codes: Vec<code::ResultCode> = faults.iter().map(|fault| fault.code).collect();
        assert_eq!(codes, [expected], "{what}: {faults:?}");
        let names_key = faults
            .iter()
            .any(|fault| fault.message.contains(&change::token_hash("a").to_string()));
        assert!(!names_key, "{what}: a message shows the hash of a key");
    }
    let many: Vec<Value> = (0..=check::MAX_ORGANISATIONS)
        .map(|number| organisation(&format!("org-{number}"), &[], &none))
        .collect();
    let faults = base().check(&set(json!({"put": many})));
    assert_eq!(faults.len(), 1, "too many organisations");
    let valid = json!({"put": [
        organisation("one", &["a", "b"], &json!({"rate": "2.5/s", "burst": 10})),
        organisation("two", &["c"], &none),
        {"kind": "public_route", "name": "lookup", "owner": "registru", "class": "counter"},
    ]});
    let state = base().apply(&set(valid), ids::LeaderTerm(1));
    let state = state.expect("the change is valid");
    let lookup = "lookup".parse().expect("a valid name");
    assert!(state.requires_keys() && state.is_public(&lookup));
    let names: Vec<&str> = state
        .organisations()
        .map(|organisation| organisation.name.as_str())
        .collect();
    assert_eq!(names, ["one", "two"]);
    let removal = set(json!({"remove": [{"kind": "route", "name": "lookup"}]}));
    let faults = state.check(&removal);
    assert_eq!(faults[0].code, code::ResultCode::ReferenceInUse);
}
