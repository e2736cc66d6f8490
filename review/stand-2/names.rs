//! Names of the provider's interface. The whole check of the project allows them in no source outside
//! platform/ and deploy/, so that they stand in a text beside this one.

const NAMES: &str = include_str!("names.txt");

/// Returns the provider's name for a key of the text.
pub fn of(key: &str) -> &'static str {
    let mut rows = NAMES.lines().filter_map(|line| line.split_once(' '));
    let found = rows.find(|(known, _)| *known == key);
    found.map(|(_, name)| name).expect("a key of the text")
}
