//! The state of the catalogue at one version, and its digest.
//!
//! The digest covers the content and the previous digest. Processes with equal digests therefore
//! hold the same entries and reached them by the same changes, and a snapshot can be verified
//! against a digest that its receiver learnt elsewhere.
//!
//! The content enters the digest as the sum of the hashes of the entries, so that the cost of
//! updating it depends on the entries in a change and not on the size of the catalogue.

use hazeltiller_units::ids;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{change, check, entry, rollout};

/// Width of the integers into which a digest is divided for addition, in bytes.
const DIGEST_LANE_BYTES: usize = 8;

/// A catalogue at one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogueState {
    /// Version of the catalogue.
    pub version: ids::CatalogueVersion,
    /// Term of the leader that accepted the last change.
    pub term: ids::LeaderTerm,
    /// Digest of the previous version.
    pub previous: ids::StateDigest,
    /// Digest of this version.
    pub digest: ids::StateDigest,
    /// Sum of the hashes of all entries.
    pub content: ids::StateDigest,
    /// Entries, ordered by key.
    pub entries: IndexMap<entry::EntryKey, entry::CatalogueEntry>,
}

impl CatalogueState {
    /// Returns the state after a change, or all faults of the change.
    pub fn apply(
        &self,
        set: &change::ChangeSet,
        term: ids::LeaderTerm,
    ) -> Result<Self, Vec<change::CatalogueFault>> {
        let faults = self.check(set);
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut state = self.clone();
        state.advance(set, term);
        Ok(state)
    }

    /// Returns all faults of a change to this state.
    pub fn check(&self, set: &change::ChangeSet) -> Vec<change::CatalogueFault> {
        let mut faults = check::check_set(self, set);
        let mut entries: check::EntryRefMap = self.entries.iter().collect();
        for key in &set.remove {
            entries.swap_remove(key);
        }
        let keys: Vec<entry::EntryKey> = set.put.iter().map(entry::CatalogueEntry::key).collect();
        entries.extend(keys.iter().zip(&set.put));
        entries.sort_unstable_keys();
        faults.extend(check::check_view(&entries, &set.remove));
        faults
    }

    /// Advances to the next version by a change that has been checked against this state.
    pub fn advance(&mut self, set: &change::ChangeSet, term: ids::LeaderTerm) {
        for key in &set.remove {
            if let Some(old) = self.entries.shift_remove(key) {
                self.content = combine_lanes(self.content, entry_hash(&old), u64::wrapping_sub);
            }
        }
        for entry in &set.put {
            self.content = combine_lanes(self.content, entry_hash(entry), u64::wrapping_add);
            let (_, old) = self.entries.insert_sorted(entry.key(), entry.clone());
            if let Some(old) = old {
                self.content = combine_lanes(self.content, entry_hash(&old), u64::wrapping_sub);
            }
        }
        self.version = self.version.next();
        self.term = term;
        self.previous = self.digest;
        self.digest = self.computed_digest();
    }

    /// Returns whether the digest matches the content. The initial state must be empty.
    pub fn has_valid_digest(&self) -> bool {
        let is_initial = self.version == ids::CatalogueVersion::default();
        if is_initial {
            self.entries.is_empty()
        } else {
            let zero = ids::StateDigest::default();
            let hashes = self.entries.values().map(entry_hash);
            let content = hashes.fold(zero, |total, hash| {
                combine_lanes(total, hash, u64::wrapping_add)
            });
            self.content == content && self.digest == self.computed_digest()
        }
    }

    /// Returns the entry with a key.
    pub fn get(&self, key: &entry::EntryKey) -> Option<&entry::CatalogueEntry> {
        self.entries.get(key)
    }

    /// Returns the owner with a name.
    pub fn owner(&self, name: &ids::EntryName) -> Option<&entry::OwnerEntry> {
        match self.find(entry::EntryKind::Owner, name) {
            Some(entry::CatalogueEntry::Owner(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Returns the class with a name.
    pub fn class(&self, name: &ids::EntryName) -> Option<&entry::ClassEntry> {
        match self.find(entry::EntryKind::Class, name) {
            Some(entry::CatalogueEntry::Class(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &ids::EntryName) -> Option<&entry::ServiceEntry> {
        match self.find(entry::EntryKind::Service, name) {
            Some(entry::CatalogueEntry::Service(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Returns the route with a name.
    pub fn route(&self, name: &ids::EntryName) -> Option<&entry::RouteEntry> {
        match self.find(entry::EntryKind::Route, name) {
            Some(entry::CatalogueEntry::Route(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Returns all routes, ordered by name.
    pub fn routes(&self) -> impl Iterator<Item = &entry::RouteEntry> {
        self.entries.values().filter_map(|entry| match entry {
            entry::CatalogueEntry::Route(route) => Some(route),
            _ => None,
        })
    }

    /// Returns the latest rollout of each service that has had one.
    pub fn rollouts(&self) -> impl Iterator<Item = &rollout::RolloutEntry> {
        let entries = self.of_kind(entry::EntryKind::Rollout);
        entries.filter_map(|entry| match entry {
            entry::CatalogueEntry::Rollout(rollout) => Some(rollout),
            _ => None,
        })
    }

    /// Returns the organisations, ordered by name.
    pub fn organisations(&self) -> impl Iterator<Item = &entry::OrganisationEntry> {
        let entries = self.of_kind(entry::EntryKind::Organisation);
        entries.filter_map(|entry| match entry {
            entry::CatalogueEntry::Organisation(organisation) => Some(organisation),
            _ => None,
        })
    }

    /// Returns whether callers identify themselves with API keys.
    pub fn requires_keys(&self) -> bool {
        self.of_kind(entry::EntryKind::Organisation)
            .next()
            .is_some()
    }

    /// Returns the organisation with a name.
    pub fn organisation(&self, name: &ids::EntryName) -> Option<&entry::OrganisationEntry> {
        match self.find(entry::EntryKind::Organisation, name) {
            Some(entry::CatalogueEntry::Organisation(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Returns whether the route with a name is exempt from API keys.
    pub fn is_public(&self, route: &ids::EntryName) -> bool {
        self.find(entry::EntryKind::PublicRoute, route).is_some()
    }

    /// Returns the entries of a kind. Entries are ordered by key, and by kind first.
    fn of_kind(&self, kind: entry::EntryKind) -> impl Iterator<Item = &entry::CatalogueEntry> {
        let first = self.entries.partition_point(|key, _| key.kind < kind);
        let entries = self.entries.get_range(first..).into_iter();
        entries
            .flat_map(|entries| entries.iter())
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(_, entry)| entry)
    }

    /// Returns the latest rollout of a service.
    pub fn rollout(&self, service: &ids::EntryName) -> Option<&rollout::RolloutEntry> {
        match self.find(entry::EntryKind::Rollout, service) {
            Some(entry::CatalogueEntry::Rollout(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Returns the limits of callers' connections, if an entry sets them.
    pub fn listener_limits(&self) -> Option<entry::ListenerLimits> {
        let mut listeners = self.entries.values().filter_map(|entry| match entry {
            entry::CatalogueEntry::Listener(listener) => Some(&listener.limits),
            _ => None,
        });
        listeners.next().cloned()
    }

    /// Returns the change that makes these entries the whole catalogue. It contains only the entries
    /// that differ from the present ones. The entries must have distinct keys. Rollouts are not part of the
    /// operator's entries; those of services that remain are kept.
    pub fn replacement_set(&self, mut entries: Vec<entry::CatalogueEntry>) -> change::ChangeSet {
        let kept: Vec<entry::CatalogueEntry> = self
            .rollouts()
            .filter_map(|rollout| kept_rollout(rollout, &entries))
            .collect();
        entries.extend(kept);
        let keys: indexmap::IndexSet<entry::EntryKey> =
            entries.iter().map(entry::CatalogueEntry::key).collect();
        let is_removed = |key: &&entry::EntryKey| !keys.contains(*key);
        let is_changed =
            |entry: &entry::CatalogueEntry| self.entries.get(&entry.key()) != Some(entry);
        change::ChangeSet {
            remove: self.entries.keys().filter(is_removed).cloned().collect(),
            put: entries.into_iter().filter(is_changed).collect(),
        }
    }

    fn find(
        &self,
        kind: entry::EntryKind,
        name: &ids::EntryName,
    ) -> Option<&entry::CatalogueEntry> {
        self.entries.get(&entry::EntryKey {
            kind,
            name: name.clone(),
        })
    }

    fn computed_digest(&self) -> ids::StateDigest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.previous.0);
        hasher.update(&self.term.0.to_le_bytes());
        hasher.update(&self.version.0.to_le_bytes());
        hasher.update(&(self.entries.len() as u64).to_le_bytes());
        hasher.update(&self.content.0);
        ids::StateDigest(*hasher.finalize().as_bytes())
    }
}

/// Returns a rollout with the owner and class of its service in a new set of entries, or `None` if
/// the set does not contain the service.
fn kept_rollout(
    rollout: &rollout::RolloutEntry,
    entries: &[entry::CatalogueEntry],
) -> Option<entry::CatalogueEntry> {
    let service = entries.iter().find_map(|entry| match entry {
        entry::CatalogueEntry::Service(service) if service.name == rollout.name => Some(service),
        _ => None,
    })?;
    Some(entry::CatalogueEntry::Rollout(rollout::RolloutEntry {
        owner: service.owner.clone(),
        class: service.class.clone(),
        ..rollout.clone()
    }))
}

fn entry_hash(entry: &entry::CatalogueEntry) -> ids::StateDigest {
    let bytes = postcard::to_stdvec(entry).expect("entries contain no maps of unknown length");
    ids::StateDigest(*blake3::hash(&bytes).as_bytes())
}

/// Combines two digests as four independent 64-bit integers.
fn combine_lanes(
    left: ids::StateDigest,
    right: ids::StateDigest,
    combine: fn(u64, u64) -> u64,
) -> ids::StateDigest {
    let mut total = [0; 32];
    for (index, lane) in total.chunks_exact_mut(DIGEST_LANE_BYTES).enumerate() {
        let number = |digest: &ids::StateDigest| {
            let bytes = &digest.0[index * DIGEST_LANE_BYTES..][..DIGEST_LANE_BYTES];
            u64::from_le_bytes(bytes.try_into().expect("a lane is eight bytes wide"))
        };
        lane.copy_from_slice(&combine(number(&left), number(&right)).to_le_bytes());
    }
    ids::StateDigest(total)
}
