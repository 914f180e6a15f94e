//! Writing of an order's status, conditional on the revision of its object.
//!
//! Load: the store may be away for seconds, refuse writes, or lose the response of a write that it
//! has applied. After a lost response, the repeated write meets the changed revision; the store
//! then responds with the current object, which shows whether the first write was applied.

use {
    super::order::{OrderKey, OrderState},
    wigeonramp_units::{Instant, Revision, Span},
};

/// First pause after a failed write; doubles with each further failure.
const FIRST_PAUSE: Span = Span::millis(200);
/// Longest pause after failed writes.
const MAX_PAUSE: Span = Span::millis(1_600);
/// Maximum number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 3;
/// Time after which a write without a result counts as failed; the caller reports timeouts earlier.
const WRITE_TIMEOUT: Span = Span::secs(3);

/// A write of a status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusWrite {
    /// The order.
    pub key: OrderKey,
    /// State to write.
    pub state: OrderState,
    /// Revision that the object must have.
    pub revision: Revision,
}

/// Result of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StatusResult {
    /// The store applied it; the revision is absent if the response does not tell it.
    Written(Option<Revision>),
    /// The object has another revision, and this state if the order is the same.
    Conflict {
        /// Revision of the object.
        revision: Revision,
        /// State in the status of the object.
        state: Option<OrderState>,
    },
    /// There is no such object.
    Missing,
    /// Not known to be applied.
    Failed,
}

/// Writer of the status of one order.
#[derive(Clone, Debug)]
pub struct StatusWriter {
    began: Option<Instant>,
    next_at: Instant,
    failures: u32,
}

impl StatusWriter {
    /// Creates a writer that may write at once.
    pub fn new(now: Instant) -> Self {
        Self { began: None, next_at: now, failures: 0 }
    }

    /// Whether a write may start now.
    pub fn is_ready(&self, now: Instant) -> bool {
        let is_pending = self.began.is_some_and(|began| now.since(began) < WRITE_TIMEOUT);
        !is_pending && now >= self.next_at
    }

    /// Whether the last writes failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records that a write was started.
    pub fn on_started(&mut self, now: Instant) {
        self.began = Some(now);
    }

    /// Records the end of a write that the store has answered.
    pub fn on_answered(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    /// Records a failed write.
    pub fn on_failed(&mut self, now: Instant) {
        self.began = None;
        let pause = FIRST_PAUSE * (1 << self.failures.min(MAX_DOUBLINGS));
        self.next_at = now + pause.min(MAX_PAUSE);
        self.failures += 1;
    }
}
