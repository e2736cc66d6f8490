//! Rates: of calls in the notation of the catalogue, and of requests as targets name them.

use std::{fmt, str::FromStr, time::Duration};

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

/// Error for a text or number that is not a rate of requests.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a rate of requests: a decimal number without sign is expected"))]
pub struct RequestRateError {
    text: String,
}

/// Rate of requests per second; a finite number that is not negative, written `2.5`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    fn from_str(text: &str) -> Result<Self, RequestRateError> {
        let text = text.trim();
        let is_decimal = text.chars().all(|c| c.is_ascii_digit() || c == '.');
        let number = text.parse::<f64>().ok().filter(|_| is_decimal);
        let rate = number.and_then(|number| Self::try_from(number).ok());
        rate.ok_or_else(|| RequestRateError { text: text.into() })
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RequestRateError;

    fn try_from(number: f64) -> Result<Self, RequestRateError> {
        if number.is_finite() && number >= 0.0 {
            Ok(Self(number))
        } else {
            let text = number.to_string();
            Err(RequestRateError { text })
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

const BYTES_PER_KILOBIT: f64 = 125.0;

/// Error for a text that is not the rate of a link.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not the rate of a link: a positive number of kbit/s is expected"))]
pub struct LinkRateError {
    text: String,
}

/// Rate of a link in kbit/s, written `11000`; never zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkRate(u64);

impl LinkRate {
    /// Returns the rate of a link of that many kbit/s; `None` for zero.
    pub fn from_kbits(kbits: u64) -> Option<Self> {
        (kbits > 0).then_some(Self(kbits))
    }

    /// Returns the time in which the link sends a number of bytes.
    pub fn transfer_time(self, bytes: f64) -> Duration {
        Duration::from_secs_f64(bytes / self.bytes_per_second())
    }

    /// Returns the number of bytes that the link sends in a time.
    pub fn bytes_in(self, span: Duration) -> f64 {
        span.as_secs_f64() * self.bytes_per_second()
    }

    fn bytes_per_second(self) -> f64 {
        self.0 as f64 * BYTES_PER_KILOBIT
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for LinkRate {
    type Err = LinkRateError;

    fn from_str(text: &str) -> Result<Self, LinkRateError> {
        let rate = text.parse().ok().and_then(Self::from_kbits);
        rate.ok_or_else(|| LinkRateError { text: text.into() })
    }
}

/// Error for a text that is not a size.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a size: a whole number of bytes is expected"))]
pub struct ByteSizeError {
    text: String,
}

/// A number of bytes, written `65536`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for ByteSize {
    type Err = ByteSizeError;

    fn from_str(text: &str) -> Result<Self, ByteSizeError> {
        let bytes = text.parse();
        bytes
            .map(Self)
            .map_err(|_not_a_number| ByteSizeError { text: text.into() })
    }
}
