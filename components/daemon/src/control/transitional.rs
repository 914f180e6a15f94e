//! A time from the configuration while a change of it spreads over the hosts.
//!
//! A holder must never count on a longer session time than an assigner waits for, and an entry host
//! must never accept a request id whose claim may have been deleted. After a change the side that
//! relies on a time uses the shorter value, and the side that waits uses the longer one, until
//! every host has had time to adopt the new document.

use {
    wigeonramp_control::session::takeover_time,
    wigeonramp_units::{Instant, Span},
};

/// How long a change is given, in multiples of 125% of the longer value.
const SPREAD: u64 = 2;

/// One time on both sides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TransitionalSpan {
    longest: Span,
    newest: Span,
    shortest: Span,
    spread: Instant,
}

impl TransitionalSpan {
    /// `time` holds on both sides.
    pub fn new(time: Span) -> Self {
        Self { longest: time, newest: time, shortest: time, spread: Instant::default() }
    }

    /// A document with this time was adopted.
    pub fn change(&mut self, time: Span, now: Instant) {
        if time == self.newest {
            return;
        }
        let (shortest, longest) =
            (self.lower_bound(now).min(time), self.upper_bound(now).max(time));
        let spread = now + takeover_time(longest) * SPREAD;
        *self = Self { longest, newest: time, shortest, spread };
    }

    /// For the side that relies on it.
    pub fn lower_bound(&self, now: Instant) -> Span {
        if now < self.spread { self.shortest } else { self.newest }
    }

    /// For the side that waits for it to pass.
    pub fn upper_bound(&self, now: Instant) -> Span {
        if now < self.spread { self.longest } else { self.newest }
    }
}
