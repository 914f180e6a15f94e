//! The clock of the event loop.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
    wigeonramp_units::{Instant, UnixMillis},
};

/// Now, on a steady clock that also counts time in suspend.
pub(crate) fn now() -> Instant {
    let now = clock_gettime(ClockId::Boottime);
    let (secs, nanos) = (now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs());
    Instant(secs * 1_000_000 + nanos / 1_000)
}

/// The time of day; used for log lines and to tell starts of a process apart.
pub(crate) fn wall() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
