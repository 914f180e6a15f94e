//! Timers of requests.

use {
    std::{cmp::Reverse, collections::BinaryHeap},
    wigeonramp_units::Instant,
};

/// A request's timer; outdated ones are recognized by the serial number when they fire.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Timer {
    /// When it fires.
    pub at: Instant,
    /// Index of the request.
    pub key: usize,
    /// Serial number of the request.
    pub serial: u64,
}

/// Timers in order of time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<Timer>>,
}

impl Timers {
    /// Adds a timer.
    pub fn add(&mut self, timer: Timer) {
        self.heap.push(Reverse(timer));
    }

    /// When the next one fires.
    pub fn next_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }

    /// Takes a timer that has fired.
    pub fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer)
    }
}
