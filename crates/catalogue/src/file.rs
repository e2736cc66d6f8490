//! Catalogue files. Each file is JSON with comments and holds one change.

use hazeltiller_units::jsonc;

use crate::change;

/// Parses the text of a catalogue file.
pub fn parse_file(text: &str) -> Result<change::ChangeSet, jsonc::JsoncError> {
    jsonc::parse_jsonc(text)
}
