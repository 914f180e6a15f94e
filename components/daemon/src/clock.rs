//! Monotonic and wall-clock time of the host.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    wigeonramp_units::{Instant, Span, UnixMillis},
};

/// Returns the current time on `CLOCK_BOOTTIME`, a monotonic clock that includes time in suspend.
///
/// `std::time::Instant` stops during suspend, so a resumed host would treat an expired session as
/// valid.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let micros = u64::try_from(time.tv_nsec).unwrap_or_default() / 1_000;
    Instant(secs * 1_000_000 + micros)
}

/// Returns the current wall-clock time; zero before 1970.
pub fn unix_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the wall-clock time at which the monotonic clock reaches `at`.
pub fn unix_at(at: Instant) -> UnixMillis {
    unix_now() + at.since(now())
}

/// Returns the time left until `at`; zero if it has passed.
pub fn until(at: Instant) -> Span {
    at.since(now())
}
