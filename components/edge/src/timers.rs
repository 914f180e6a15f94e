//! Timers of requests.

use {
    std::{cmp::Reverse, collections::BinaryHeap},
    wigeonramp_units::Instant,
};

/// Timer of a request. An outdated timer stays in the heap; its serial number tells when it fires
/// that the request is gone.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Timer {
    /// Time at which the timer fires.
    pub at: Instant,
    /// Key of the request.
    pub key: usize,
    /// Serial number of the request.
    pub serial: u64,
}

/// Pending timers, ordered by time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<Timer>>,
}

impl Timers {
    /// Adds a timer.
    pub fn add(&mut self, timer: Timer) {
        self.heap.push(Reverse(timer));
    }

    /// Returns the time at which the next timer fires.
    pub fn next_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }

    /// Removes and returns the next timer that is due.
    pub fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer)
    }
}
