//! Whether the store tells this host of changes.
//!
//! A host that watches the store may be turned away while other hosts are served, so it finds out
//! for itself: each interval it polls one kind of object, the one that was confirmed longest ago. A
//! store that owes an answer for too long fails for this host, and another one watches in its place.
//! From then on the host asks from time to time whether the store answers again. Answers that may be
//! stale are no proof, nor is a watch that waits.

use {
    crate::list_watch::ListWatch,
    wigeonramp_units::{Instant, Span},
};

/// Interval of probes while this host watches the store. With three kinds of objects, a watch that
/// misses a change is noticed within three of them.
pub const PROBE_INTERVAL: Span = Span::millis(800);
/// Time for which the store may owe an answer until it counts as failing. A slow store answers within
/// half a second.
pub const FAILING_AFTER: Span = Span::millis(600);
/// Interval of probes while the store fails for this host and another host watches in its place.
const RETRY_INTERVAL: Span = Span::secs(5);

/// Health of the store as this host's calls show it.
#[derive(Clone, Debug)]
pub struct StoreHealth {
    watches: bool,
    failing: bool,
    next_probe: Instant,
}

impl StoreHealth {
    /// Creates the health of a host that has not called the store.
    pub fn new(now: Instant) -> Self {
        Self { watches: false, failing: false, next_probe: now }
    }

    /// Records whether this host watches the store. Returns whether that has changed.
    pub fn set_watches(&mut self, watches: bool, now: Instant) -> bool {
        if watches == self.watches {
            return false;
        }
        self.watches = watches;
        self.next_probe = now + if watches { PROBE_INTERVAL } else { RETRY_INTERVAL };
        true
    }

    /// Whether the store fails for this host, so that another one has to watch.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Checks how long the store has owed an answer to any of `calls`. Returns whether it has begun
    /// to fail.
    pub fn check<'a>(&mut self, calls: impl Iterator<Item = &'a ListWatch>, now: Instant) -> bool {
        let unanswered = calls.filter_map(ListWatch::unanswered_since).min();
        let is_overdue = unanswered.is_some_and(|since| now.since(since) >= FAILING_AFTER);
        let has_begun = self.watches && is_overdue && !self.failing;
        self.failing |= has_begun;
        has_begun
    }

    /// Returns the time before which all acknowledged changes have been received, as the calls for
    /// `kinds` show; none unless this host watches the store and has got an answer for each kind.
    pub fn current_until(&self, kinds: &[&ListWatch]) -> Option<Instant> {
        if !self.watches || !kinds.iter().all(|kind| kind.is_current()) {
            return None;
        }
        kinds.iter().filter_map(|kind| kind.confirmed_at()).max()
    }

    /// Records an answer that proves that the store serves this host. Returns whether it was failing.
    pub fn on_proof(&mut self) -> bool {
        std::mem::take(&mut self.failing)
    }

    /// Returns the time of the next probe; none while this host has no need of one.
    pub fn next_probe(&self) -> Option<Instant> {
        (self.watches || self.failing).then_some(self.next_probe)
    }

    /// Returns the index of the kind of object to poll now, if a probe is due: the one that was
    /// confirmed longest ago of those that are watched.
    pub fn start_due_probe(&mut self, kinds: &[&ListWatch], now: Instant) -> Option<usize> {
        if self.next_probe().is_none_or(|at| now < at) {
            return None;
        }
        self.next_probe = now + if self.watches { PROBE_INTERVAL } else { RETRY_INTERVAL };
        let watched = kinds.iter().enumerate().filter(|(_, kind)| kind.position().is_some());
        watched.min_by_key(|(_, kind)| kind.confirmed_at()).map(|(index, _)| index)
    }
}
