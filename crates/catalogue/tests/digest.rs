//! The digest of a catalogue follows its content and history.

use hazeltiller_catalogue::{change, state};
use hazeltiller_units::ids;
use serde_json::json;

fn set(put: serde_json::Value, remove: serde_json::Value) -> change::ChangeSet {
    serde_json::from_value(json!({"put": put, "remove": remove})).expect("the sets are valid")
}

fn first_state() -> state::CatalogueState {
    let put = json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
    ]);
    let state = state::CatalogueState::default();
    state
        .apply(&set(put, json!([])), ids::LeaderTerm(1))
        .expect("the change is valid")
}

#[test]
fn content_returns() {
    let service = json!({"kind": "service", "name": "a", "owner": "registru", "class": "counter"});
    let put = set(json!([service]), json!([]));
    let changed = set(
        json!([{"kind": "service", "name": "a", "owner": "registru",
                              "class": "counter", "slow_start_ms": 9}]),
        json!([]),
    );
    let removed = set(json!([]), json!([{"kind": "service", "name": "a"}]));
    let (start, mut state) = (first_state(), first_state());
    for step in [&put, &changed, &removed] {
        let before = state.clone();
        state = state
            .apply(step, ids::LeaderTerm(1))
            .expect("each step is valid");
        assert!(state.has_valid_digest(), "the digest follows each change");
        assert_eq!(state.previous, before.digest);
        assert_ne!(
            (state.digest, state.content),
            (before.digest, before.content)
        );
    }
    assert_eq!(
        state.content, start.content,
        "the content equals that of the start"
    );
    assert_ne!(state.digest, start.digest, "the history differs");
}

#[test]
fn forgery_found() {
    let valid = first_state();
    let mut forged = valid.clone();
    forged.entries.pop();
    assert!(!forged.has_valid_digest(), "an entry is missing");
    let mut forged = valid.clone();
    forged.term = ids::LeaderTerm(2);
    assert!(!forged.has_valid_digest(), "the term differs");
    let mut forged = valid;
    forged.previous = ids::StateDigest([1; 32]);
    assert!(!forged.has_valid_digest(), "the previous digest differs");
}
