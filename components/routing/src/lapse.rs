//! How long leaves stay in use whose registrations have vanished.
//!
//! A registration vanishes because its leaf has left, or because it lapsed: the leaf could not renew it
//! in time, as the store was away. A leaf that has left must get no more requests soon, counted from
//! the moment at which the store removed its registration, which lies between the last moment of which
//! this host knew all changes and now. A registration that lapsed is back soon after the store is.

use {
    crate::follow::MAX_NEWS_AGE,
    wigeonramp_units::{Instant, Span},
};

/// Minimum share of all registrations that must vanish together to count as lapsed. Fewer are taken to
/// have been removed by their leaves.
const MIN_LAPSED_SHARE: f64 = 0.1;
/// Minimum number of registrations that must vanish together to count as lapsed, in addition to the
/// minimum share.
const MIN_LAPSED_COUNT: usize = 4;
/// Time after the return of the store within which registrations that lapsed are renewed.
pub const RENEWAL_TIME: Span = Span::millis(2_000);
/// Part of the drain time that is left for what follows the end of the use: the sweep that removes the
/// leaf, requests that wait for a connection to it, and their way.
const DRAIN_MARGIN: Span = Span::millis(700);

/// Registrations that vanished together.
#[derive(Clone, Copy, Debug)]
pub struct Vanished {
    /// Their number.
    pub count: usize,
    /// Number of all leaves before.
    pub leaves: usize,
    /// End of the time within which lapsed registrations are renewed, if an outage of the store has
    /// just ended for this host.
    pub renewed_until: Option<Instant>,
    /// Last moment before they vanished of which this host knew all changes; none before the first.
    pub known_until: Option<Instant>,
}

impl Vanished {
    /// Returns the time until which the leaves stay in use; `drain_time` is that from the removal of
    /// a registration to the last request that the leaf may get.
    pub fn used_until(&self, drain_time: Span, now: Instant) -> Instant {
        let min_lapsed = (self.leaves as f64 * MIN_LAPSED_SHARE) as usize;
        let may_have_lapsed = self.count >= min_lapsed.max(MIN_LAPSED_COUNT);
        let until = match self.renewed_until {
            Some(until) => until,
            None if may_have_lapsed => now + RENEWAL_TIME,
            None => return now,
        };
        let known_until = self.known_until.unwrap_or(now);
        let gap = now.since(known_until);
        // The store was away for all hosts: otherwise one with fresher news would have been found.
        let was_away = gap >= drain_time || (self.renewed_until.is_some() && gap >= MAX_NEWS_AGE);
        if was_away {
            return until;
        }
        until.min(known_until + (drain_time - DRAIN_MARGIN)).max(now)
    }
}
