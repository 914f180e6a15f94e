//! Points in time and durations.

use {
    crate::text::ParseError,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{Display, Formatter, Result as FmtResult},
        ops::{Add, Div, Mul, Sub},
        str::FromStr,
        time::Duration,
    },
};

/// A point on the monotonic clock of one process, in microseconds since an arbitrary origin.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time elapsed from `earlier` to this point, or zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Display for Instant {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        Span(self.0).fmt(f)
    }
}

impl Add<Span> for Instant {
    type Output = Instant;

    fn add(self, span: Span) -> Instant {
        Instant(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Instant;

    fn sub(self, span: Span) -> Instant {
        Instant(self.0.saturating_sub(span.0))
    }
}

/// A duration in microseconds, written `250us`, `40ms`, `3s` or `10min`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub u64);

/// Unit suffixes and their lengths in microseconds; `s` comes last because `ms` and `us` also end
/// in it.
const SPAN_UNITS: [(&str, u64); 4] =
    [("min", 60_000_000), ("ms", 1_000), ("us", 1), ("s", 1_000_000)];

impl Span {
    /// A duration of zero.
    pub const ZERO: Span = Span(0);

    /// Creates a duration of `n` milliseconds.
    pub const fn millis(n: u64) -> Span {
        Span(n.saturating_mul(1_000))
    }

    /// Creates a duration of `n` seconds.
    pub const fn secs(n: u64) -> Span {
        Span(n.saturating_mul(1_000_000))
    }

    /// Returns the number of whole milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Converts to a standard library duration.
    pub const fn to_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Returns `percent` percent of this duration.
    pub const fn percent(self, percent: u64) -> Span {
        Span(self.0.saturating_mul(percent) / 100)
    }
}

impl From<Duration> for Span {
    fn from(d: Duration) -> Span {
        Span(u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
    }
}

impl Display for Span {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        for (unit, size) in [SPAN_UNITS[0], SPAN_UNITS[3], SPAN_UNITS[1]] {
            if self.0 >= size && self.0.is_multiple_of(size) {
                return write!(f, "{}{unit}", self.0 / size);
            }
        }
        write!(f, "{}us", self.0)
    }
}

impl FromStr for Span {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let err = || ParseError::new("duration", "a whole number with us, ms, s or min", text);
        let (unit, size) =
            SPAN_UNITS.into_iter().find(|(unit, _)| text.ends_with(unit)).ok_or_else(err)?;
        let number: u64 = text[..text.len() - unit.len()].parse().map_err(|_| err())?;
        number.checked_mul(size).map(Span).ok_or_else(err)
    }
}

impl TryFrom<String> for Span {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Span> for String {
    fn from(span: Span) -> String {
        span.to_string()
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<u64> for Span {
    type Output = Span;

    fn mul(self, n: u64) -> Span {
        Span(self.0.saturating_mul(n))
    }
}

impl Div<u64> for Span {
    type Output = Span;

    fn div(self, n: u64) -> Span {
        Span(self.0 / n)
    }
}

/// Wall-clock time in milliseconds since the Unix epoch (1970), used only between machines.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl Display for UnixMillis {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        self.0.fmt(f)
    }
}

impl FromStr for UnixMillis {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let err = |_| ParseError::new("time", "milliseconds since 1970", text);
        text.parse().map(Self).map_err(err)
    }
}

impl Add<Span> for UnixMillis {
    type Output = UnixMillis;

    fn add(self, span: Span) -> UnixMillis {
        UnixMillis(self.0.saturating_add(span.as_millis()))
    }
}
