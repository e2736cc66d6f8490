//! The mix of requests of a load: kinds and their weights, read from a file in JSON with comments.

use hazeltiller_units::jsonc;
use serde::Deserialize;

/// Placeholder in a path for the number of the request.
pub const NUMBER_PLACEHOLDER: &str = "{n}";

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name in the report.
    pub name: String,
    /// Class under which the kind is reported.
    #[serde(default = "unnamed_class")]
    pub class: String,
    /// HTTP method.
    #[serde(default = "get")]
    pub method: String,
    /// Path, in which `{n}` is replaced by the number of the request.
    pub path: String,
    /// Host header. Defaults to the address of the node.
    #[serde(default)]
    pub host: Option<String>,
    /// Relative frequency in the mix.
    #[serde(default = "one")]
    pub weight: u32,
    /// Value of an answered request in the goodput.
    #[serde(default = "one")]
    pub value: u32,
    /// Size of the request body, in bytes.
    #[serde(default)]
    pub body_bytes: usize,
    /// Whether requests have an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Whether requests are idempotent. By default, GET, HEAD and OPTIONS requests are.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Deadline sent with requests, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether requests crash the stand-in that runs them.
    #[serde(default)]
    pub crashes: bool,
}

fn unnamed_class() -> String {
    "all".into()
}

fn get() -> String {
    "GET".into()
}

fn one() -> u32 {
    1
}

impl RequestKind {
    /// Returns a kind of GET requests for a path, with all other fields at their defaults.
    pub fn get(path: &str) -> Self {
        Self {
            name: path.into(),
            class: unnamed_class(),
            method: get(),
            path: path.into(),
            host: None,
            weight: 1,
            value: 1,
            body_bytes: 0,
            keyed: false,
            idempotent: None,
            deadline_ms: None,
            crashes: false,
        }
    }

    /// Whether requests of this kind are idempotent.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
            .unwrap_or(matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS"))
    }
}

/// Kinds of requests, with at least one of positive weight.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(try_from = "MixDocument")]
pub struct LoadMix {
    kinds: Vec<RequestKind>,
    total: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MixDocument {
    kinds: Vec<RequestKind>,
}

impl TryFrom<MixDocument> for LoadMix {
    type Error = &'static str;

    fn try_from(document: MixDocument) -> Result<Self, Self::Error> {
        Self::new(document.kinds)
    }
}

impl LoadMix {
    /// Creates a mix. Fails if no kind has a positive weight.
    pub fn new(kinds: Vec<RequestKind>) -> Result<Self, &'static str> {
        let total: u64 = kinds.iter().map(|kind| u64::from(kind.weight)).sum();
        if total == 0 {
            return Err("a mix must have a kind with a weight of at least 1");
        }
        Ok(Self { kinds, total })
    }

    /// Parses the text of a file: `{"kinds": [{"name": ..., "path": ...}]}`.
    pub fn parse(text: &str) -> Result<Self, jsonc::JsoncError> {
        jsonc::parse_jsonc(text)
    }

    /// Returns the kinds.
    pub fn kinds(&self) -> &[RequestKind] {
        &self.kinds
    }

    /// Maps a random number to the index of a kind, with a probability proportional to its weight.
    pub fn choose(&self, random: u64) -> usize {
        let mut remainder = random % self.total;
        for (index, kind) in self.kinds.iter().enumerate() {
            let weight = u64::from(kind.weight);
            if remainder < weight {
                return index;
            }
            remainder -= weight;
        }
        unreachable!("the remainder is less than the sum of the weights")
    }
}
