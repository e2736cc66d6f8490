//! Changes of the catalogue for tests that need many of them.

use hazeltiller_catalogue::change;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

const SEED: u64 = 11;

fn change(value: &Value) -> change::ChangeSet {
    serde_json::from_value(value.clone()).expect("tests give changes")
}

/// The first change: a class and an owner.
pub fn base() -> change::ChangeSet {
    change(&json!({"put": [
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
    ]}))
}

fn service(name: &str) -> Value {
    json!({"kind": "service", "name": name, "owner": "registru", "class": "counter"})
}

fn route(name: &str) -> Value {
    json!({"kind": "route", "name": name, "owner": "registru", "class": "counter",
           "service": name, "match": {"path_prefix": format!("/{name}")}})
}

/// Puts services, each with a route of the same name.
pub fn put_routed_services(names: &[&str]) -> change::ChangeSet {
    let entries = names.iter().flat_map(|name| [service(name), route(name)]);
    change(&json!({"put": entries.collect::<Vec<Value>>()}))
}

/// Changes a service of [`put_routed_services`].
pub fn put_slots(name: &str, slots: u32) -> change::ChangeSet {
    let mut service = service(name);
    service["limits"] = json!({"slots": slots});
    change(&json!({"put": [service]}))
}

/// Removes the entry of a kind and name.
pub fn remove(kind: &str, name: &str) -> change::ChangeSet {
    change(&json!({"remove": [{"kind": kind, "name": name}]}))
}

/// Entries as various as a real catalogue's: services with two routes each, and their owners and
/// classes, from a fixed seed.
pub fn generated(services: usize) -> change::ChangeSet {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut word = || -> String {
        let length = random.random_range(4..10);
        (0..length)
            .map(|_| char::from(random.random_range(b'a'..=b'z')))
            .collect()
    };
    let classes: Vec<String> = (0..4).map(|_| word()).collect();
    let owners: Vec<String> = (0..10).map(|_| word()).collect();
    let mut put = Vec::new();
    for class in &classes {
        put.push(json!({"kind": "class", "name": class, "owner": owners[0], "class": class}));
    }
    for owner in &owners {
        put.push(
            json!({"kind": "owner", "name": owner, "owner": owner, "class": classes[0],
                        "limits": {"rate": "500/s"}, "operators": [word(), word()]}),
        );
    }
    for index in 0..services {
        let (owner, class) = (
            &owners[index % owners.len()],
            &classes[index % classes.len()],
        );
        let service = format!("{}-{}", word(), word());
        put.push(
            json!({"kind": "service", "name": service, "owner": owner, "class": class,
                        "limits": {"slots": 6 + index % 5, "connections": 120 + index % 11},
                        "probe": {"path": format!("/{}", word())}}),
        );
        for method in ["GET", "POST"] {
            put.push(
                json!({"kind": "route", "name": format!("{service}-{}", word()),
                            "owner": owner, "class": class, "service": service,
                            "match": {"path_prefix": format!("/{}/{}", word(), word()),
                                      "methods": [method]},
                            "costs": [{"path_prefix": format!("/{}", word()), "cost": 5}]}),
            );
        }
    }
    change(&json!({"put": put}))
}
