//! Rates in the notation of the catalogue.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Error for a text that is not a rate.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a rate: a number and \"/s\" are expected, such as \"500/s\""))]
pub struct RateError {
    text: String,
}

/// Rate of calls, weighted by their cost; written `500/s`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallRate(f64);

impl CallRate {
    /// Returns the rate in cost units per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for CallRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let number = text
            .strip_suffix("/s")
            .and_then(|number| number.trim().parse::<f64>().ok());
        match number {
            Some(number) if number.is_finite() && number > 0.0 => Ok(Self(number)),
            _ => Err(RateError { text: text.into() }),
        }
    }
}

impl TryFrom<String> for CallRate {
    type Error = RateError;

    fn try_from(text: String) -> Result<Self, RateError> {
        text.parse()
    }
}

impl From<CallRate> for String {
    fn from(rate: CallRate) -> Self {
        rate.to_string()
    }
}
