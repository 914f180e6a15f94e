//! Clocks of the event loop, and the encoding of times in datagrams.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
    wigeonramp_units::{Instant, Span, UnixMillis},
};

/// Returns the time on a monotonic clock that also counts time spent in suspend.
pub(crate) fn now() -> Instant {
    let now = clock_gettime(ClockId::Boottime);
    let (secs, nanos) = (now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs());
    Instant(secs * 1_000_000 + nanos / 1_000)
}

/// Returns the wall-clock time, which is used for log lines and to distinguish process starts.
pub(crate) fn wall() -> UnixMillis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Returns a time in milliseconds, as messages between hosts carry it; the highest value for longer
/// times.
pub(crate) fn millis(span: Span) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
