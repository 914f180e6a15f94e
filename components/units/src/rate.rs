//! Rates that are not whole numbers.

use {
    crate::text::ParseError,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Ordering,
        fmt::{Display, Formatter, Result as FmtResult},
        str::FromStr,
    },
};

/// Requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate of `per_second` requests per second; `None` if that is negative, infinite or
    /// not a number.
    pub fn new(per_second: f64) -> Option<Self> {
        // The addition turns a negative zero into zero.
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second + 0.0))
    }

    /// Returns the requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl Eq for RequestRate {}

impl Ord for RequestRate {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for RequestRate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Display for RequestRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let err = || ParseError::new("request rate", "a number that is not negative", text);
        text.parse().ok().and_then(Self::new).ok_or_else(err)
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = ParseError;

    fn try_from(per_second: f64) -> Result<Self, ParseError> {
        per_second.to_string().parse()
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> f64 {
        rate.0
    }
}
