//! Lines by what their callers wait for.

use std::hash::Hash;

use hazeltiller_units::time;
use indexmap::IndexMap;

use super::line;

/// Maximum number of lines; the one that was created first is evicted first.
const MAX_LINES: usize = 1024;

/// Lines by key.
#[derive(Debug, Clone)]
pub struct LineTable<K>(IndexMap<K, line::ReturnLine>);

impl<K> Default for LineTable<K> {
    fn default() -> Self {
        Self(IndexMap::new())
    }
}

impl<K: Hash + Eq> LineTable<K> {
    /// Returns all lines.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &line::ReturnLine)> {
        self.0.iter()
    }

    /// Returns the line with a key, which is created if there is none.
    pub fn line_mut(&mut self, key: K, now: time::MonotonicTime) -> &mut line::ReturnLine {
        if self.0.len() >= MAX_LINES && !self.0.contains_key(&key) {
            self.0.shift_remove_index(0);
        }
        let line = self.0.entry(key);
        line.or_insert_with(|| line::ReturnLine::new(now))
    }
}
