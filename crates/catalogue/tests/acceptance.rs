//! Changes are accepted or refused as a whole, and all faults are reported.

use hazeltiller_catalogue::{change, state};
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
