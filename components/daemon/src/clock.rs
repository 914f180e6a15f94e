//! The clocks of the host.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    wigeonramp_units::{Instant, Span, UnixMillis},
};

/// Now on the monotonic clock that also counts time in suspend.
///
/// `std::time::Instant` stops during suspend; a host that resumes would believe that its session
/// is still valid.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let micros = u64::try_from(time.tv_nsec).unwrap_or_default() / 1_000;
    Instant(secs * 1_000_000 + micros)
}

/// Now on the wall clock; zero before 1970.
pub fn unix_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// The wall-clock time at which the monotonic clock reaches `at`.
pub fn unix_at(at: Instant) -> UnixMillis {
    unix_now() + at.since(now())
}

/// The time from now to `at`; zero when it has passed.
pub fn until(at: Instant) -> Span {
    at.since(now())
}
