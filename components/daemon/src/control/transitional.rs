//! Bounds of a configured duration while a change of it spreads to all hosts.
//!
//! A holder must never rely on a longer session time than an assigner waits for, and an entry host
//! must never accept a request id whose claim may have been deleted. After a change the side that
//! relies on the duration uses the lower bound, and the side that waits for it uses the upper
//! bound, until every host has had time to adopt the new document.

use {
    wigeonramp_control::session::takeover_time,
    wigeonramp_units::{Instant, Span},
};

/// Time for a change to spread, in multiples of 125% of the longer value.
const TRANSITION_TAKEOVERS: u64 = 2;

/// Configured duration with bounds that differ during a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TransitionalSpan {
    upper: Span,
    current: Span,
    lower: Span,
    settles_at: Instant,
}

impl TransitionalSpan {
    /// Creates a duration with equal bounds.
    pub fn new(time: Span) -> Self {
        Self { upper: time, current: time, lower: time, settles_at: Instant::default() }
    }

    /// Starts a transition to `time` from a newly adopted document.
    pub fn change(&mut self, time: Span, now: Instant) {
        if time == self.current {
            return;
        }
        let (lower, upper) = (self.lower_bound(now).min(time), self.upper_bound(now).max(time));
        let settles_at = now + takeover_time(upper) * TRANSITION_TAKEOVERS;
        *self = Self { upper, current: time, lower, settles_at };
    }

    /// Duration for the side that relies on it.
    pub fn lower_bound(&self, now: Instant) -> Span {
        if now < self.settles_at { self.lower } else { self.current }
    }

    /// Duration for the side that waits for it to pass.
    pub fn upper_bound(&self, now: Instant) -> Span {
        if now < self.settles_at { self.upper } else { self.current }
    }
}
