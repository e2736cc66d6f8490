//! Identifies the organisation that a request belongs to by its API key.
//!
//! Once the catalogue has organisations, a request needs the key of one of them, unless its route
//! is public. Keys are looked up by their hash, so that a look-up takes the same time whatever the
//! number of keys, and the time does not tell how close a wrong key is to a right one. A key that a
//! version of the catalogue removes is unknown as soon as the version is in force.

use hazeltiller_catalogue::{entry, state as catalogue_state};
use hazeltiller_units::{code, ids};
use indexmap::IndexMap;

use crate::reducer;

/// The API key of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKey {
    /// The request carries no key.
    Absent,
    /// BLAKE3 hash of the key that the request carries.
    Hashed(ids::StateDigest),
    /// The request carries something that cannot be a key.
    Malformed,
}

/// Organisations by the hashes of their API keys, for one catalogue version.
#[derive(Debug, Clone, Default)]
pub struct KeyIndex {
    /// Digest of the catalogue that the index was built from.
    digest: ids::StateDigest,
    organisations: IndexMap<ids::StateDigest, ids::EntryName>,
}

impl KeyIndex {
    /// Rebuilds the index if the catalogue has changed.
    pub fn refresh(&mut self, catalogue: &catalogue_state::CatalogueState) {
        if self.digest == catalogue.digest {
            return;
        }
        self.digest = catalogue.digest;
        self.organisations = catalogue
            .organisations()
            .flat_map(|organisation| {
                let keys = organisation.keys.iter();
                keys.map(|key| (*key, organisation.name.clone()))
            })
            .collect();
    }

    /// Returns the organisation that holds a key.
    pub fn holder(&self, key: &ids::StateDigest) -> Option<&ids::EntryName> {
        self.organisations.get(key)
    }
}

/// Returns the organisation that a request belongs to, or `None` for a request that needs no key
/// and carries none that is known. Calls that targets make carry no key; the routes that they use
/// are public.
pub fn identify(
    state: &mut reducer::EngineState,
    catalogue: &catalogue_state::CatalogueState,
    route: &entry::RouteEntry,
    key: RequestKey,
) -> Result<Option<ids::EntryName>, code::ResultCode> {
    if !catalogue.requires_keys() {
        return Ok(None);
    }
    let index = &mut state.keys;
    index.refresh(catalogue);
    let holder = match key {
        RequestKey::Hashed(key) => index.holder(&key).cloned(),
        RequestKey::Absent | RequestKey::Malformed => None,
    };
    if holder.is_none() && !catalogue.is_public(&route.name) {
        return Err(code::ResultCode::KeyUnknown);
    }
    Ok(holder)
}
