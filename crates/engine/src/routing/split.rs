//! Which service takes the next call of a route that is split.
//!
//! Services take turns by weight: each call adds every part's weight to its credit, and the part
//! with the most gives up the sum of all. So each part is within one call of its share at any
//! moment at this node, which drawing at random is not. A part that is short keeps its share: what
//! it has no room for is refused, not moved to another service.

use hazeltiller_catalogue::entry;
use hazeltiller_units::ids;
use indexmap::IndexMap;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Credits of one route's parts.
#[derive(Debug, Clone, Default)]
struct RouteTurns {
    parts: Vec<entry::RoutePart>,
    credits: Vec<i64>,
}

/// Turns of every split route.
#[derive(Debug, Clone, Default)]
pub struct SplitTurns {
    routes: IndexMap<ids::EntryName, RouteTurns>,
}

impl SplitTurns {
    /// The service that a route's next call goes to.
    pub fn choose(&mut self, route: &entry::RouteEntry, random: &mut ChaCha8Rng) -> ids::EntryName {
        if route.split.is_empty() {
            return route.service.clone();
        }
        let turns = self.routes.entry(route.name.clone()).or_default();
        if turns.parts != route.split {
            *turns = RouteTurns::start(&route.split, random);
        }
        turns.next().unwrap_or_else(|| route.service.clone())
    }
}

impl RouteTurns {
    /// Turns that begin somewhere in their round, so that nodes do not keep step.
    fn start(parts: &[entry::RoutePart], random: &mut ChaCha8Rng) -> Self {
        let credit = |part: &entry::RoutePart| random.random_range(0..=i64::from(part.weight));
        Self {
            credits: parts.iter().map(credit).collect(),
            parts: parts.to_vec(),
        }
    }

    fn next(&mut self) -> Option<ids::EntryName> {
        for (credit, part) in self.credits.iter_mut().zip(&self.parts) {
            *credit += i64::from(part.weight);
        }
        let total: i64 = self.parts.iter().map(|part| i64::from(part.weight)).sum();
        let weighed = self.parts.iter().zip(&mut self.credits);
        let open = weighed.filter(|(part, _)| part.weight > 0);
        let (part, credit) = open.max_by_key(|(_, credit)| **credit)?;
        *credit -= total;
        Some(part.service.clone())
    }
}
