//! Routes arranged for lookup, built once for each version in force.
//!
//! A service mesh of 56 services has a few thousand routes. A request is looked up by its host and
//! by each distinct length of a prefix, longest first, so the time depends on how many lengths
//! there are and not on how many routes.

use hazeltiller_catalogue::{entry, state as catalogue_state};
use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Place of a route among the entries of its catalogue.
type EntryPlace = usize;

/// Routes of one host, or of all requests.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    by_prefix: IndexMap<String, Vec<EntryPlace>>,
    /// Distinct lengths of the prefixes, longest first.
    lengths: Vec<usize>,
}

impl HostRoutes {
    fn insert(&mut self, prefix: &str, place: EntryPlace) {
        self.by_prefix.entry(prefix.into()).or_default().push(place);
        if let Err(at) = self
            .lengths
            .binary_search_by(|known| prefix.len().cmp(known))
        {
            self.lengths.insert(at, prefix.len());
        }
    }

    fn find<'a>(
        &self,
        catalogue: &'a catalogue_state::CatalogueState,
        path: &str,
        method: &str,
    ) -> Option<&'a entry::RouteEntry> {
        let prefixes = self
            .lengths
            .iter()
            .filter_map(|length| path.get(..*length))
            .filter_map(|prefix| self.by_prefix.get(prefix));
        prefixes
            .flatten()
            .filter_map(|place| route_at(catalogue, *place))
            .find(|route| has_method(route, method))
    }
}

/// Every route of one version of the catalogue.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    /// Digest of the version that it was built for.
    digest: ids::StateDigest,
    of_hosts: IndexMap<String, HostRoutes>,
    of_any_host: HostRoutes,
    /// Largest rank of the classes that have a route to a service.
    last_ranks: IndexMap<ids::EntryName, u32>,
}

impl RouteIndex {
    /// The index of a catalogue.
    pub fn build(catalogue: &catalogue_state::CatalogueState) -> Self {
        let mut index = Self {
            digest: catalogue.digest,
            ..Self::default()
        };
        for (place, entry) in catalogue.entries.values().enumerate() {
            let entry::CatalogueEntry::Route(route) = entry else {
                continue;
            };
            let routes = match &route.matches.host {
                Some(host) => index.of_hosts.entry(host.clone()).or_default(),
                None => &mut index.of_any_host,
            };
            routes.insert(&route.matches.path_prefix, place);
            let rank = catalogue.class(&route.class).map_or(0, |class| class.rank);
            for (service, _weight) in route.parts() {
                let last = index.last_ranks.entry(service.clone()).or_default();
                *last = rank.max(*last);
            }
        }
        index
    }

    /// Rank of the class that is served last of those with a route to a service.
    pub fn max_rank(&self, service: &ids::EntryName) -> Option<u32> {
        self.last_ranks.get(service).copied()
    }

    /// Builds the index anew if it is for another catalogue.
    pub fn refresh(&mut self, catalogue: &catalogue_state::CatalogueState) {
        if self.digest != catalogue.digest {
            *self = Self::build(catalogue);
        }
    }

    /// The route that a request takes: the longest prefix that fits; a named host goes before none.
    pub fn find<'a>(
        &self,
        catalogue: &'a catalogue_state::CatalogueState,
        host: Option<&str>,
        path: &str,
        method: &str,
    ) -> Option<&'a entry::RouteEntry> {
        let of_host = host
            .and_then(|host| self.of_hosts.get(host))
            .and_then(|routes| routes.find(catalogue, path, method));
        let of_any = self.of_any_host.find(catalogue, path, method);
        let length = |route: &entry::RouteEntry| route.matches.path_prefix.len();
        match (of_host, of_any) {
            (Some(named), Some(any)) if length(any) > length(named) => Some(any),
            (Some(named), _) => Some(named),
            (None, any) => any,
        }
    }
}

fn route_at(
    catalogue: &catalogue_state::CatalogueState,
    place: EntryPlace,
) -> Option<&entry::RouteEntry> {
    match catalogue.entries.get_index(place)?.1 {
        entry::CatalogueEntry::Route(route) => Some(route),
        _ => None,
    }
}

fn has_method(route: &entry::RouteEntry, method: &str) -> bool {
    let methods = &route.matches.methods;
    methods.is_empty() || methods.iter().any(|known| known == method)
}
