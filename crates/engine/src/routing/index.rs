//! Route index of one catalogue version, built when the version comes into force.
//!
//! A mesh of 56 services has a few thousand routes. A request is looked up by its host and by each
//! distinct prefix length, longest first, so lookup time depends on the number of lengths and not
//! on the number of routes.

use hazeltiller_catalogue::{entry, state as catalogue_state};
use hazeltiller_units::ids;
use indexmap::IndexMap;

/// Index of a route among the entries of its catalogue.
type EntryIndex = usize;

/// Routes of one host, or of requests to any host.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    by_prefix: IndexMap<String, Vec<EntryIndex>>,
    /// Distinct prefix lengths, longest first.
    lengths: Vec<usize>,
}

impl HostRoutes {
    fn insert(&mut self, prefix: &str, position: EntryIndex) {
        self.by_prefix
            .entry(prefix.into())
            .or_default()
            .push(position);
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
            .filter_map(|position| route_at(catalogue, *position))
            .find(|route| has_method(route, method))
    }
}

/// Index over every route of one catalogue version.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    /// Digest of the catalogue that the index was built from.
    digest: ids::StateDigest,
    by_host: IndexMap<String, HostRoutes>,
    any_host: HostRoutes,
    /// Highest class rank among the routes to each service.
    max_route_ranks: IndexMap<ids::EntryName, u32>,
    /// Highest class rank among the calls to each service, those of organisations included.
    max_ranks: IndexMap<ids::EntryName, u32>,
}

impl RouteIndex {
    /// Builds the index of a catalogue.
    pub fn build(catalogue: &catalogue_state::CatalogueState) -> Self {
        let mut index = Self {
            digest: catalogue.digest,
            ..Self::default()
        };
        for (position, entry) in catalogue.entries.values().enumerate() {
            let entry::CatalogueEntry::Route(route) = entry else {
                continue;
            };
            let routes = match &route.matches.host {
                Some(host) => index.by_host.entry(host.clone()).or_default(),
                None => &mut index.any_host,
            };
            routes.insert(&route.matches.path_prefix, position);
            let rank = catalogue.class(&route.class).map_or(0, |class| class.rank);
            for (service, _weight) in route.parts() {
                let max_rank = index.max_route_ranks.entry(service.clone()).or_default();
                *max_rank = rank.max(*max_rank);
            }
        }
        index.max_ranks.clone_from(&index.max_route_ranks);
        // Organisations may call every service, in a class of their own.
        let call_classes = catalogue
            .organisations()
            .filter_map(|organisation| catalogue.class(organisation.call_class.as_ref()?));
        if let Some(rank) = call_classes.map(|class| class.rank).max() {
            let max_ranks = index.max_ranks.values_mut();
            max_ranks.for_each(|max_rank| *max_rank = rank.max(*max_rank));
        }
        index
    }

    /// Returns the highest rank, which is served last, among the classes of the routes to a service.
    pub fn max_route_rank(&self, service: &ids::EntryName) -> Option<u32> {
        self.max_route_ranks.get(service).copied()
    }

    /// Returns the highest rank, which is served last, among the classes that calls to a service may
    /// have.
    pub fn max_rank(&self, service: &ids::EntryName) -> Option<u32> {
        self.max_ranks.get(service).copied()
    }

    /// Rebuilds the index if the catalogue has changed.
    pub fn refresh(&mut self, catalogue: &catalogue_state::CatalogueState) {
        if self.digest != catalogue.digest {
            *self = Self::build(catalogue);
        }
    }

    /// Returns the route that a request matches: the one with the longest matching prefix. At equal
    /// length, a route for the named host takes precedence over one for any host.
    pub fn find<'a>(
        &self,
        catalogue: &'a catalogue_state::CatalogueState,
        host: Option<&str>,
        path: &str,
        method: &str,
    ) -> Option<&'a entry::RouteEntry> {
        let host_route = host
            .and_then(|host| self.by_host.get(host))
            .and_then(|routes| routes.find(catalogue, path, method));
        let any_route = self.any_host.find(catalogue, path, method);
        let length = |route: &entry::RouteEntry| route.matches.path_prefix.len();
        match (host_route, any_route) {
            (Some(host_route), Some(any_route)) if length(any_route) > length(host_route) => {
                Some(any_route)
            }
            (Some(host_route), _) => Some(host_route),
            (None, any_route) => any_route,
        }
    }
}

fn route_at(
    catalogue: &catalogue_state::CatalogueState,
    position: EntryIndex,
) -> Option<&entry::RouteEntry> {
    match catalogue.entries.get_index(position)?.1 {
        entry::CatalogueEntry::Route(route) => Some(route),
        _ => None,
    }
}

fn has_method(route: &entry::RouteEntry, method: &str) -> bool {
    let methods = &route.matches.methods;
    methods.is_empty() || methods.iter().any(|known| known == method)
}
