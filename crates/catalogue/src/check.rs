//! Validation of changes. All faults are reported, not only the first.

use hazeltiller_units::{code, ids};
use indexmap::IndexMap;

use crate::{change, entry, rollout, state};

/// Maximum number of organisations in a catalogue.
pub const MAX_ORGANISATIONS: usize = 10_000;
/// Maximum number of API keys of an organisation.
pub const MAX_KEYS: usize = 256;
/// Maximum burst of an organisation, in requests.
const MAX_BURST: u32 = 1_000_000;

/// Entries by key.
pub type EntryMap = IndexMap<entry::EntryKey, entry::CatalogueEntry>;

/// Borrowed entries by key, which may come from several collections.
pub type EntryRefMap<'a> = IndexMap<&'a entry::EntryKey, &'a entry::CatalogueEntry>;

/// Returns the faults of a change that do not depend on its result: an empty change, removals of
/// missing entries and keys that occur twice.
pub fn check_set(
    state: &state::CatalogueState,
    set: &change::ChangeSet,
) -> Vec<change::CatalogueFault> {
    let mut faults = Vec::new();
    if set.put.is_empty() && set.remove.is_empty() {
        faults.push(fault(
            code::ResultCode::ChangeEmpty,
            None,
            "",
            "nothing is put or removed",
        ));
    }
    for key in &set.remove {
        if !state.entries.contains_key(key) {
            let message = format!("there is no {key} to remove");
            faults.push(fault(
                code::ResultCode::EntryNotFound,
                Some(key),
                "",
                &message,
            ));
        }
    }
    let keys = set.put.iter().map(entry::CatalogueEntry::key);
    faults.extend(check_duplicates(keys.chain(set.remove.iter().cloned())));
    faults
}

/// Returns the faults of entries that are to replace the whole catalogue.
pub fn check_replacement(entries: &[entry::CatalogueEntry]) -> Vec<change::CatalogueFault> {
    let keys: Vec<entry::EntryKey> = entries.iter().map(entry::CatalogueEntry::key).collect();
    let mut faults = check_duplicates(keys.iter().cloned());
    let view: EntryRefMap = keys.iter().zip(entries).collect();
    faults.extend(check_view(&view, &[]));
    faults
}

fn check_duplicates(keys: impl Iterator<Item = entry::EntryKey>) -> Vec<change::CatalogueFault> {
    let mut seen = indexmap::IndexSet::new();
    let mut faults = Vec::new();
    for key in keys {
        if !seen.insert(key.clone()) {
            let message = format!("{key} stands twice in one change");
            let code = code::ResultCode::EntryInvalid;
            faults.push(fault(code, Some(&key), "", &message));
        }
    }
    faults
}

/// Returns the faults of a complete catalogue: values out of range, dangling references, and routes
/// that match the same requests.
pub fn check_entries(entries: &EntryMap) -> Vec<change::CatalogueFault> {
    check_view(&entries.iter().collect(), &[])
}

/// Returns the same faults as [`check_entries`], for borrowed entries. `removed` lists the keys
/// that the change removes, so that a reference to one of them is reported as such and not as a
/// reference to an entry that never existed.
pub fn check_view(
    entries: &EntryRefMap,
    removed: &[entry::EntryKey],
) -> Vec<change::CatalogueFault> {
    let mut faults = Vec::new();
    for (&key, &entry) in entries {
        check_ranges(key, entry, &mut faults);
        check_references(entries, removed, key, entry, &mut faults);
    }
    check_shares(entries, &mut faults);
    check_routes(entries, &mut faults);
    check_organisations(entries, &mut faults);
    faults
}

fn check_ranges(
    key: &entry::EntryKey,
    entry: &entry::CatalogueEntry,
    faults: &mut Vec<change::CatalogueFault>,
) {
    let mut check_range = |field: &str, value: u32, low: u32, high: u32| {
        if !(low..=high).contains(&value) {
            let message = format!("{value} is out of range: {low} to {high} is allowed");
            faults.push(fault(
                code::ResultCode::EntryInvalid,
                Some(key),
                field,
                &message,
            ));
        }
    };
    match entry {
        entry::CatalogueEntry::Owner(owner) => check_range("weight", owner.weight, 1, 1000),
        entry::CatalogueEntry::Class(class) => {
            check_range("rank", class.rank, 1, 100);
            check_range("limits.queue_ms", class.limits.queue_ms, 0, 60_000);
            if !(0.0..=1.0).contains(&class.limits.guaranteed_share) {
                let message = "a share is from 0 to 1";
                let field = "limits.guaranteed_share";
                faults.push(fault(
                    code::ResultCode::EntryInvalid,
                    Some(key),
                    field,
                    message,
                ));
            }
        }
        entry::CatalogueEntry::Service(service) => {
            check_range("limits.slots", service.limits.slots, 1, 65_536);
            check_range("limits.connections", service.limits.connections, 1, 65_536);
            check_range("limits.queue", service.limits.queue, 0, 65_536);
            check_range(
                "limits.first_byte_ms",
                service.limits.first_byte_ms,
                1,
                600_000,
            );
            check_range("slow_start_ms", service.slow_start_ms, 0, 600_000);
            if let Some(probe) = &service.probe {
                check_range("probe.period_ms", probe.period_ms, 100, 600_000);
                check_path(key, "probe.path", &probe.path, faults);
            }
        }
        entry::CatalogueEntry::Route(route) => {
            check_range("limits.deadline_ms", route.limits.deadline_ms, 1, 600_000);
            check_range("limits.tries", route.limits.tries, 1, 10);
            if let Some(latency) = route.target_latency_ms {
                check_range("target_latency_ms", latency, 1, 600_000);
            }
            for part in &route.split {
                check_range("split.weight", part.weight, 0, 1_000_000);
            }
            for cost in &route.costs {
                check_range("costs.cost", cost.cost, 1, 1000);
            }
            check_path(key, "match.path_prefix", &route.matches.path_prefix, faults);
            check_split(key, route, faults);
        }
        entry::CatalogueEntry::Listener(listener) => {
            let limits = &listener.limits;
            check_range("limits.head_bytes", limits.head_bytes, 1024, 1_048_576);
            check_range("limits.head_ms", limits.head_ms, 100, 600_000);
            check_range("limits.idle_ms", limits.idle_ms, 100, 3_600_000);
        }
        entry::CatalogueEntry::Rollout(entry) => {
            let (low, high) = (rollout::MIN_TIME_LIMIT_MS, rollout::MAX_TIME_LIMIT_MS);
            check_range("within_ms", entry.within_ms, low, high);
            let full = rollout::FULL_SHARE_PERMILLE;
            check_range("share_permille", entry.share_permille, 0, full);
        }
        entry::CatalogueEntry::Organisation(organisation) => {
            check_range("limits.burst", organisation.limits.burst, 0, MAX_BURST);
            check_range("keys", organisation.keys.len() as u32, 0, MAX_KEYS as u32);
            if organisation.limits.rate.is_none() && organisation.limits.burst > 0 {
                let message = "a burst needs a rate";
                let code = code::ResultCode::EntryInvalid;
                faults.push(fault(code, Some(key), "limits.burst", message));
            }
        }
        entry::CatalogueEntry::PublicRoute(_) => {}
    }
}

fn check_split(
    key: &entry::EntryKey,
    route: &entry::RouteEntry,
    faults: &mut Vec<change::CatalogueFault>,
) {
    let weights = route.split.iter().map(|part| u64::from(part.weight));
    if !route.split.is_empty() && weights.sum::<u64>() == 0 {
        let message = "the weights add up to 0: one at least must be larger";
        let code = code::ResultCode::EntryInvalid;
        faults.push(fault(code, Some(key), "split", message));
    }
    let mut seen = indexmap::IndexSet::new();
    for part in &route.split {
        if !seen.insert(&part.service) {
            let message = format!("service {} stands twice", part.service);
            let code = code::ResultCode::EntryInvalid;
            faults.push(fault(code, Some(key), "split", &message));
        }
    }
}

fn check_path(
    key: &entry::EntryKey,
    field: &str,
    path: &str,
    faults: &mut Vec<change::CatalogueFault>,
) {
    if !path.starts_with('/') {
        let message = format!("{path:?} does not begin with a slash");
        faults.push(fault(
            code::ResultCode::EntryInvalid,
            Some(key),
            field,
            &message,
        ));
    }
}

fn check_references(
    entries: &EntryRefMap,
    removed: &[entry::EntryKey],
    key: &entry::EntryKey,
    entry: &entry::CatalogueEntry,
    faults: &mut Vec<change::CatalogueFault>,
) {
    let mut must_exist = |field: &str, kind: entry::EntryKind, name: &ids::EntryName| {
        let referenced = entry::EntryKey {
            kind,
            name: name.clone(),
        };
        if !entries.contains_key(&referenced) {
            let (code, reason) = if removed.contains(&referenced) {
                (
                    code::ResultCode::ReferenceInUse,
                    "which this change removes",
                )
            } else {
                (code::ResultCode::ReferenceMissing, "which does not exist")
            };
            let message = format!("{key} refers to {referenced}, {reason}");
            faults.push(fault(code, Some(key), field, &message));
        }
    };
    must_exist("owner", entry::EntryKind::Owner, entry.owner());
    must_exist("class", entry::EntryKind::Class, entry.class());
    if let entry::CatalogueEntry::Route(route) = entry {
        must_exist("service", entry::EntryKind::Service, &route.service);
        for part in &route.split {
            must_exist("split.service", entry::EntryKind::Service, &part.service);
        }
    }
    if let entry::CatalogueEntry::Rollout(rollout) = entry {
        must_exist("name", entry::EntryKind::Service, &rollout.name);
    }
    if let entry::CatalogueEntry::PublicRoute(public) = entry {
        must_exist("name", entry::EntryKind::Route, &public.name);
    }
    if let entry::CatalogueEntry::Organisation(organisation) = entry
        && let Some(class) = &organisation.call_class
    {
        must_exist("call_class", entry::EntryKind::Class, class);
    }
}

/// Checks the number of organisations, and that no key is empty or identifies two of them. Messages
/// name the organisations and neither keys nor hashes.
fn check_organisations(entries: &EntryRefMap, faults: &mut Vec<change::CatalogueFault>) {
    let organisations = entries.iter().filter_map(|(key, entry)| match entry {
        entry::CatalogueEntry::Organisation(organisation) => Some((*key, organisation)),
        _ => None,
    });
    let empty_key = change::token_hash("");
    let mut holders = IndexMap::new();
    let mut count = 0;
    for (key, organisation) in organisations {
        count += 1;
        for hash in &organisation.keys {
            let code = code::ResultCode::KeyInvalid;
            if *hash == empty_key {
                let message = "an API key is empty";
                faults.push(fault(code, Some(key), "keys", message));
            } else if let Some(holder) = holders.insert(*hash, &organisation.name) {
                let message = format!("an API key is also one of organisation {holder}");
                faults.push(fault(code, Some(key), "keys", &message));
            }
        }
    }
    if count > MAX_ORGANISATIONS {
        let message = format!("{count} organisations: {MAX_ORGANISATIONS} at most are allowed");
        let code = code::ResultCode::EntryInvalid;
        faults.push(fault(code, None, "", &message));
    }
}

fn check_shares(entries: &EntryRefMap, faults: &mut Vec<change::CatalogueFault>) {
    let share = |entry: &entry::CatalogueEntry| match entry {
        entry::CatalogueEntry::Class(class) => class.limits.guaranteed_share,
        _ => 0.0,
    };
    let total: f64 = entries.values().copied().map(share).sum();
    if total > 1.0 + f64::EPSILON {
        let message = format!("the classes' guaranteed shares add up to {total}, above 1");
        let field = "limits.guaranteed_share";
        faults.push(fault(code::ResultCode::EntryInvalid, None, field, &message));
    }
}

fn check_routes(entries: &EntryRefMap, faults: &mut Vec<change::CatalogueFault>) {
    let routes: Vec<&entry::RouteEntry> = entries
        .values()
        .copied()
        .filter_map(|entry| match entry {
            entry::CatalogueEntry::Route(route) => Some(route),
            _ => None,
        })
        .collect();
    let mut by_prefix: IndexMap<_, Vec<&entry::RouteEntry>> = IndexMap::new();
    for route in routes {
        let prefix = (&route.matches.host, &route.matches.path_prefix);
        let same_prefix = by_prefix.entry(prefix).or_default();
        if let Some(duplicate) = same_prefix
            .iter()
            .find(|earlier| methods_overlap(earlier, route))
        {
            let key = entry::EntryKey {
                kind: entry::EntryKind::Route,
                name: route.name.clone(),
            };
            let message = format!("route {} takes the same requests", duplicate.name);
            faults.push(fault(
                code::ResultCode::RouteDuplicate,
                Some(&key),
                "match",
                &message,
            ));
        }
        same_prefix.push(route);
    }
}

fn methods_overlap(left: &entry::RouteEntry, right: &entry::RouteEntry) -> bool {
    let (left_methods, right_methods) = (&left.matches.methods, &right.matches.methods);
    left_methods.is_empty()
        || right_methods.is_empty()
        || left_methods
            .iter()
            .any(|method| right_methods.contains(method))
}

fn fault(
    code: code::ResultCode,
    entry: Option<&entry::EntryKey>,
    field: &str,
    message: &str,
) -> change::CatalogueFault {
    change::CatalogueFault {
        code,
        entry: entry.cloned(),
        field: field.into(),
        message: message.into(),
    }
}
