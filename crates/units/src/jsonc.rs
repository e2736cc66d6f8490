//! JSON with comments, the format of all files that people write.
//!
//! Comments and trailing commas are allowed. Everything else is strict JSON, so that other tools
//! can read a file once these are removed.

use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Error for a text that cannot be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("{message}"))]
pub struct JsoncError {
    /// Description of the error, with line and column if known.
    message: String,
}

/// Parses JSON with comments.
pub fn parse_jsonc<T: DeserializeOwned>(text: &str) -> Result<T, JsoncError> {
    let options = jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    jsonc_parser::parse_to_serde_value(text, &options).map_err(|error| JsoncError {
        message: error.to_string(),
    })
}
