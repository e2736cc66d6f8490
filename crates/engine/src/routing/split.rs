//! Selects the service for each call of a split route.
//!
//! Services are selected by smooth weighted round robin: each call adds every part's weight to the
//! part's credit, and the part with the highest credit is selected and has the sum of the weights
//! deducted. Each part thus stays within one call of its share at any time on this node, which
//! random selection does not guarantee. A part without capacity keeps its share: its excess calls
//! are refused, not moved to another service.

use hazeltiller_catalogue::entry;
use hazeltiller_units::ids;
use indexmap::IndexMap;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Round-robin state of one split route.
#[derive(Debug, Clone, Default)]
struct RouteRotation {
    parts: Vec<entry::WeightedService>,
    credits: Vec<i64>,
}

/// Round-robin state of every split route.
#[derive(Debug, Clone, Default)]
pub struct SplitRotations {
    routes: IndexMap<ids::EntryName, RouteRotation>,
}

impl SplitRotations {
    /// Returns the service that the next call of a route goes to.
    pub fn choose(&mut self, route: &entry::RouteEntry, random: &mut ChaCha8Rng) -> ids::EntryName {
        if route.split.is_empty() {
            return route.service.clone();
        }
        let rotation = self.routes.entry(route.name.clone()).or_default();
        if rotation.parts != route.split {
            *rotation = RouteRotation::start(&route.split, random);
        }
        rotation.next().unwrap_or_else(|| route.service.clone())
    }
}

impl RouteRotation {
    /// Starts at random credits, so that the nodes of a fleet do not select the same part in step.
    fn start(parts: &[entry::WeightedService], random: &mut ChaCha8Rng) -> Self {
        let credit =
            |part: &entry::WeightedService| random.random_range(0..=i64::from(part.weight));
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
        let parts = self.parts.iter().zip(&mut self.credits);
        let weighted = parts.filter(|(part, _)| part.weight > 0);
        let (part, credit) = weighted.max_by_key(|(_, credit)| **credit)?;
        *credit -= total;
        Some(part.service.clone())
    }
}
